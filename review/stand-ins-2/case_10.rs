//! Case 10: a reload (SIGHUP) reaches the new process of an upgrade while it waits for the old one's end, since the sender has a
//! store of dead letters. The class becomes one that must never run twice.

mod parts;

use parts::*;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const BEFORE: &str = r#""name":"order","aim":4.0,"deadline":20.0,"effect":"idempotent""#;
const AFTER: &str = r#""name":"order","aim":4.0,"deadline":20.0,"effect":"at_most_once""#;

/// How long a new process has to say yes before the old one gets SIGTERM.
const TIME_TO_SAY_YES: Duration = Duration::from_secs(6);

fn main() {
    let case = begin();
    // each call runs; the answer to the first call of m1 gets lost
    let effects: Arc<Mutex<Vec<String>>> = Arc::default();
    let ran = effects.clone();
    let endpoint = Endpoint::start(move |call| {
        let id = call.header("x-request-id").to_string();
        let mut ran = ran.lock().unwrap();
        let is_lost = id == "m1" && !ran.contains(&id);
        let what = if is_lost { "the answer gets lost" } else { "answered 200" };
        record(format!("endpoint: {id} runs, {what}"));
        ran.push(id);
        reply(if is_lost { "" } else { "200 OK" }, 5)
    });
    let targets = [target("s-1", endpoint.address, "one", 7)];
    let discovery = Discovery::start(&targets);
    let classes = format!("{{{BEFORE}}}");
    let sender = Sender::new(
        &case,
        &Setup {
            discovery: discovery.address,
            known: &targets,
            classes: &classes,
            disk_mb: 30.0,
            max_open: 50,
            call_slots: 8,
            store: Some("[store]\nmax_mb = 2\n"),
        },
    );
    let mut old = sender.start(&case);
    require_ready(sender.address);

    // the upgrade: the new process waits for the folder
    let new = sender.start(&case);
    let started = Instant::now();
    require("the new process waits", || new.logged("waiting for its end"));
    let reload = |old: &mut Process| {
        sender.change_config(BEFORE, AFTER);
        if !old.has_ended() {
            old.signal("HUP");
        }
        new.signal("HUP");
    };
    if case.trouble {
        reload(&mut old);
    }
    // it has had its time to say yes; the old process ends
    std::thread::sleep(TIME_TO_SAY_YES.saturating_sub(started.elapsed()));
    old.signal("TERM");
    old.wait();
    require("the new process listens", || new.logged("listening on"));
    require_ready(sender.address);
    if !case.trouble {
        reload(&mut old);
    }
    sleep_ms(3_000);

    for id in ["w1", "w2", "w3", "w4", "m1"] {
        let submission = Submission {
            class: "order",
            id,
            key: None,
            destination: 7,
            timeout_ms: 10_000,
            body: b"order 1",
            subject: None,
        };
        let status = submission.submit(sender.address);
        record(format!("client: {id} answered {status}"));
        if status != 202 {
            cannot_run("a message was not accepted");
        }
    }
    sleep_ms(6_000);
    let runs = effects.lock().unwrap().iter().filter(|id| *id == "m1").count();
    let told = new.log_count("SIGHUP");
    record(format!(
        "endpoint: m1 ran {runs} times; lines of the new process about its SIGHUP: {told}"
    ));
    new.signal("TERM");
    finish((runs > 1).then(|| {
        format!("m1, handed in long after the reload made its class at_most_once, ran {runs} times")
    }));
}
