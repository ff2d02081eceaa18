//! Tests of the control socket: each request, and each line of the answer to it.

use super::{COMMANDS_AT, assert_matches_golden, copy_golden_store, effects, golden_text};
use milletturn_dead_letter::config::Config;
use milletturn_dead_letter::control::{self, Request, Response};
use milletturn_dead_letter::store_worker::{StoreWorker, StoreWorkerOptions};
use milletturn_engine::{Clock, Input, RedriveOutcome};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write as _};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

fn start_worker(folder: &Path, engine: mpsc::UnboundedSender<Input>) -> StoreWorker {
    copy_golden_store(folder);
    StoreWorker::start(StoreWorkerOptions {
        state_dir: folder.to_path_buf(),
        config: Config::default(),
        effects: effects(),
        redriving: BTreeSet::from([3, 4]),
        journal_intact: true,
        clock: Clock::new(COMMANDS_AT),
        engine,
        max_total_bytes: u64::MAX,
    })
    .expect("a store")
}

/// A fake engine, which answers requests for redrives with each [`RedriveOutcome`] in turn.
async fn answer_redrives(mut inputs: mpsc::UnboundedReceiver<Input>) {
    use RedriveOutcome::{Accepted, Busy, InFlight, NoCapacity, TooLate};
    let mut answers = [Accepted, InFlight, Busy, NoCapacity, TooLate]
        .into_iter()
        .cycle();
    while let Some(input) = inputs.recv().await {
        if let Input::Redrive(request) = input {
            let answer = answers.next().expect("endless");
            request
                .reply
                .send(answer)
                .expect("the store's thread waits for the answer");
        }
    }
}

/// Serves a copy of the golden store on its control socket while `scenario` runs on another thread.
fn serve_while(folder: &Path, scenario: impl FnOnce() + Send) {
    let (engine, inputs) = mpsc::unbounded_channel();
    let worker = start_worker(folder, engine);
    assert_eq!(worker.first_number, 16);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let listener = {
        let _guard = runtime.enter();
        control::listen(folder).expect("a socket")
    };
    std::thread::scope(|threads| {
        let client = threads.spawn(scenario);
        LocalSet::new().block_on(&runtime, async move {
            spawn_local(control::serve(listener, worker.jobs.clone()));
            spawn_local(answer_redrives(inputs));
            while !client.is_finished() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        });
    });
}

/// Sends one line, and returns the lines of the answer.
fn exchange(folder: &Path, request: &str) -> Vec<String> {
    let mut stream = UnixStream::connect(folder.join(control::SOCKET_NAME)).expect("connected");
    stream
        .write_all(format!("{request}\n").as_bytes())
        .expect("sent");
    BufReader::new(stream)
        .lines()
        .map(|line| line.expect("a line"))
        .collect()
}

#[test]
fn each_request_on_the_socket_gets_the_same_responses() {
    let folder = tempfile::tempdir().expect("a folder");
    let wanted = golden_text("control.txt");
    let requests: Vec<&str> = wanted
        .lines()
        .filter_map(|line| line.strip_prefix("> "))
        .collect();
    assert_eq!(requests.len(), 14);
    serve_while(folder.path(), || {
        let mut actual = String::new();
        for request in requests {
            writeln!(actual, "> {request}").expect("text");
            for response in exchange(folder.path(), request) {
                writeln!(actual, "< {response}").expect("text");
            }
        }
        assert_matches_golden("control.txt", &actual);
    });
}

#[test]
fn requests_and_responses_are_written_as_they_were_read() {
    let (mut requests, mut kinds) = (0, BTreeSet::new());
    for text in golden_text("control.txt").lines() {
        if let Some(text) = text.strip_prefix("< ") {
            let read: Response = serde_json::from_str(text).expect("a response");
            assert_eq!(serde_json::to_string(&read).expect("text"), text);
            kinds.insert(text.split("\"").nth(1).expect("a kind").to_string());
        } else if let Some(text) = text.strip_prefix("> ")
            && let Ok(read) = serde_json::from_str::<Request>(text)
        {
            assert_eq!(serde_json::to_string(&read).expect("text"), text);
            requests += 1;
        }
    }
    assert_eq!(requests, 12);
    let wanted = ["done", "end", "error", "record", "stats", "summary"].map(str::to_string);
    assert_eq!(kinds, BTreeSet::from(wanted));
}
