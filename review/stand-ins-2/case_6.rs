//! Case 6: a message of a class that must never run twice is redriven from the store of dead letters, after a reload has
//! given its class another effect. The sender is killed while the redrive's call runs.

mod parts;

use parts::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

const CLASS: &str = r#""name":"order","aim":4.0,"deadline":20.0,"effect":"at_most_once""#;
const CHANGED: &str = r#""name":"order","aim":4.0,"deadline":20.0,"effect":"idempotent""#;
/// How long the endpoint takes for the redriven message, in milliseconds.
const RUN_MS: u64 = 2_000;

fn main() {
    let case = begin();
    // The first call of m1 is cut off before anything runs, with no answer. All other calls run and are answered 200, those of m1
    // after `RUN_MS`. The endpoint knows no keys, since the class has none.
    let cut_off = flag(false);
    let effects: Arc<Mutex<Vec<String>>> = Arc::default();
    let ran = effects.clone();
    let endpoint = Endpoint::start(move |call| {
        let id = call.header("x-request-id");
        if id != "m1" {
            record(format!("endpoint: {id} runs, answered 200"));
            return reply("200 OK", 5);
        }
        if !cut_off.swap(true, Ordering::SeqCst) {
            record("endpoint: m1 does not run, its connection ends with no answer");
            return reply("", 5);
        }
        record("endpoint: m1 runs");
        ran.lock().unwrap().push(id.to_string());
        reply("200 OK", RUN_MS)
    });
    let targets = [target("s-1", endpoint.address, "one", 7)];
    let discovery = Discovery::start(&targets);
    let classes = format!("{{{CLASS}}}");
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
    let mut process = sender.start(&case);
    require_ready(sender.address);

    // a message that may have run: it ends as failed and is kept
    for id in ["w1", "w2", "w3", "w4", "m1"] {
        let submission = Submission {
            class: "order",
            id,
            key: None,
            destination: 7,
            timeout_ms: 20_000,
            body: b"licence 5",
            subject: None,
        };
        let status = submission.submit(sender.address);
        record(format!("client: {id} answered {status}"));
        if status != 202 {
            cannot_run("a message was not accepted");
        }
    }
    require("the notice of m1", || !discovery.notices_of("m1").is_empty());
    let dead_letter = |arguments: &[&str]| {
        let command = [&["dead-letter", "--format", "json"], arguments].concat();
        run_command(&case, &command, &sender.variables)
    };
    let mut number = None;
    require("m1 is kept", || {
        number = number_field(&dead_letter(&["list"]).1, "number");
        number.is_some()
    });
    let number = number.unwrap().to_string();

    // the operator has asked the destination: m1 did not run there
    let why = "asked them, not in their log";
    let resolve = ["resolve", "--as", "did-not-run", "--why", why, &number];
    if dead_letter(&resolve).0 != 0 {
        cannot_run("m1 was not resolved");
    }
    // the class gets another effect, for what comes in from now on
    sender.change_config(CLASS, CHANGED);
    process.signal("HUP");
    require("the reload", || process.logged("SIGHUP, discovery at"));

    if dead_letter(&["redrive", &number]).0 != 0 {
        cannot_run("m1 was not redriven");
    }
    require("the redrive's call", || !effects.lock().unwrap().is_empty());
    if case.trouble {
        // in the middle of the call, which goes on at the endpoint
        sleep_ms(300);
        process.kill();
        sleep_ms(600);
        process = sender.start(&case);
        require_ready(sender.address);
    }
    // long enough for a retry, with each backoff and the start's own rest
    sleep_ms(15_000);
    let runs = effects.lock().unwrap().len();
    dead_letter(&["show", &number]);
    process.signal("TERM");
    process.wait();
    record(format!("endpoint: m1 ran {runs} times"));
    finish((runs > 1).then(|| format!("m1, of a class that must never run twice, ran {runs} times")));
}
