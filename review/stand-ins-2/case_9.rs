//! Case 9: a sidecar tells its application that handing a keyed message in again is harmless, after a time that lies behind
//! the window of the message's key. The application does as it is told.

mod parts;

use parts::*;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// For so long the destination drops a repeat of a key, as in examples/sidecar/billing.toml; 50 ms longer on sockets.
const WINDOW: Duration = Duration::from_millis(12_000 + 50);
/// How long the destination fails its calls.
const OUTAGE: Duration = Duration::from_secs(12);

/// What the destination knows of a key: its first call, and how often it took effect.
struct Known {
    first_call: Instant,
    effects: usize,
}

/// A final answer that the application has read.
#[derive(Clone)]
struct Answer {
    id: String,
    state: String,
    after_ms: Option<u64>,
    at: Instant,
}

fn main() {
    let case = begin();
    let known: Arc<Mutex<BTreeMap<String, Known>>> = Arc::default();
    let (keys, trouble, start) = (known.clone(), case.trouble, Instant::now());
    let endpoint = Endpoint::start(move |call| {
        let key = call.header("idempotency-key").to_string();
        let now = Instant::now();
        let mut keys = keys.lock().unwrap();
        let entry = keys.entry(key.clone()).or_insert(Known {
            first_call: now,
            effects: 0,
        });
        let since = now.duration_since(entry.first_call);
        let is_repeat = entry.effects > 0 && since < WINDOW;
        if !is_repeat {
            entry.effects += 1;
        }
        let what = if is_repeat { "repeat dropped" } else { "takes effect" };
        // in an outage a call that has taken effect is answered with an error
        let fails = trouble && start.elapsed() < OUTAGE;
        let status = if fails { "500 Internal Server Error" } else { "200 OK" };
        record(format!(
            "endpoint: {} key {key}, {:.3} s after its first call: {what}, answered {status}",
            call.header("x-request-id"),
            since.as_secs_f64()
        ));
        reply(status, 5)
    });
    let sender = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let outcomes = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let config = case.folder.join("billing.toml");
    std::fs::write(
        &config,
        format!(
            "name = \"billing\"\nstate = \"billing.state\"\n\
             [listen]\nhttp = \"{sender}\"\noutcomes = \"{outcomes}\"\n\
             [class.notice]\neffect = \"keyed\"\nwindow = \"12s\"\naim = \"4s\"\ndeadline = \"12s\"\n\
             [destination.acme]\nid = 7\nendpoints = [\"{}\"]\nwindow = \"12s\"\n",
            endpoint.address
        ),
    )
    .expect("the configuration");
    let command = format!(
        "exec target/release/milletturn sidecar --config '{}'",
        config.display()
    );
    let mut process = Process::start(&case, "sidecar", &command, &[]);
    require_ready(sender);
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let read = answers.clone();
    thread::spawn(move || read_answers(outcomes, &read));
    let answer_of = |id: &str| {
        let answers = answers.lock().unwrap();
        answers.iter().find(|answer| answer.id == id).cloned()
    };
    let submit = |id: &str| {
        let submission = Submission {
            class: "notice",
            id,
            key: Some("k1"),
            destination: 7,
            timeout_ms: 11_000,
            body: b"licence payment 1",
            subject: None,
        };
        let status = submission.submit(sender);
        record(format!("application: {id} answered {status}"));
        status
    };

    if submit("m1") != 202 {
        cannot_run("m1 was not accepted");
    }
    require("the final answer of m1", || answer_of("m1").is_some());
    let first = answer_of("m1").unwrap();
    if first.state == "returned" {
        // "handing it in again is harmless, after after_ms"
        let wait = Duration::from_millis(first.after_ms.unwrap_or(0));
        thread::sleep(wait.saturating_sub(first.at.elapsed()));
        let mut accepted = false;
        for number in 2..12 {
            accepted = submit(&format!("m{number}")) == 202;
            if accepted {
                break;
            }
            sleep_ms(3_000);
        }
        if !accepted {
            cannot_run("the message was not accepted again");
        }
        wait_for(Duration::from_secs(15), || answers.lock().unwrap().len() >= 2);
    }
    sleep_ms(300);
    let effects = known.lock().unwrap().get("k1").map_or(0, |key| key.effects);
    process.signal("TERM");
    process.wait();
    record(format!("endpoint: the message took effect {effects} times"));
    finish((effects > 1).then(|| {
        format!("what the sidecar called harmless took effect: {effects} effects of one message")
    }));
}

/// Reads the stream of final answers.
fn read_answers(outcomes: SocketAddr, answers: &Mutex<Vec<Answer>>) {
    let mut stream = TcpStream::connect(outcomes).expect("the outcomes' address");
    let request = "GET /v1/outcomes?from=0 HTTP/1.1\r\nHost: app\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("written");
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        if line.contains("\"state\"") {
            record(format!("application: final answer {line}"));
            answers.lock().unwrap().push(Answer {
                id: text_field(&line, "id"),
                state: text_field(&line, "state"),
                after_ms: number_field(&line, "after_ms"),
                at: Instant::now(),
            });
        }
    }
}
