//! Case 7: an upgrade under load (hot restart) while many messages are held. A keyed message that may have run is sent
//! again after its destination has forgotten the key.

mod parts;

use parts::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The window of the class, for which the destination drops a repeat.
const WINDOW: Duration = Duration::from_millis(5_000);
/// The protocol page makes each time limit 50 ms longer, and the page on full size allows windows another 150 ms in which a
/// sender is held up.
const SLACK: Duration = Duration::from_millis(50 + 150);
/// The wait that the destination tells ends so long before the window does.
const BEFORE_END: Duration = Duration::from_millis(60);
const HELD: usize = 2_000;
const BODY_BYTES: usize = 64 * 1024;

/// What the destination knows of a key.
struct Known {
    first_call: Instant,
    calls: usize,
    effects: usize,
}

fn main() {
    let case = begin();
    let known: Arc<Mutex<BTreeMap<String, Known>>> = Arc::default();
    let keys = known.clone();
    let endpoint = Endpoint::start(move |call| {
        let key = call.header("idempotency-key").to_string();
        let now = Instant::now();
        let mut keys = keys.lock().unwrap();
        let entry = keys.entry(key.clone()).or_insert(Known {
            first_call: now,
            calls: 0,
            effects: 0,
        });
        entry.calls += 1;
        let since = now.duration_since(entry.first_call);
        let watched = key == "k-m1";
        if watched && entry.calls == 2 {
            // turned away with an honest wait: nothing runs
            let wait = (WINDOW - BEFORE_END).saturating_sub(since);
            record(format!("endpoint: {key}, 429, to wait {:.3} s", wait.as_secs_f64()));
            let mut answer = reply("429 Too Many Requests", 0);
            answer.headers = format!("Retry-After: {:.3}\r\n", wait.as_secs_f64());
            return answer;
        }
        let remembers = entry.effects > 0 && since < WINDOW + SLACK;
        if !remembers {
            entry.effects += 1;
        }
        if watched {
            let what = if remembers { "repeat dropped" } else { "takes effect" };
            record(format!(
                "endpoint: {key}, call {}, {:.3} s after the first: {what}",
                entry.calls,
                since.as_secs_f64()
            ));
            if entry.calls == 1 {
                // it has taken effect, but the answer is an error
                return reply("500 Internal Server Error", 5);
            }
        }
        reply("200 OK", 5)
    });
    let targets = [target("s-1", endpoint.address, "one", 7)];
    let discovery = Discovery::start(&targets);
    let sender = Sender::new(
        &case,
        &Setup {
            discovery: discovery.address,
            known: &targets,
            classes: r#"{"name":"webhook","aim":10.0,"deadline":20.0,"effect":"deduplicated","group":"all","window":5.0}"#,
            disk_mb: 256.0,
            max_open: HELD + 100,
            call_slots: 20,
            store: None,
        },
    );
    let process = sender.start(&case);
    require_ready(sender.address);
    let submit = |id: &str, timeout_ms: u64, body: &[u8]| {
        let key = format!("k-{id}");
        Submission {
            class: "webhook",
            id,
            key: Some(&key),
            destination: 7,
            timeout_ms,
            body,
            subject: None,
        }
        .submit(sender.address)
    };
    let calls_of_m1 = || known.lock().unwrap().get("k-m1").map_or(0, |key| key.calls);
    if submit("m1", 20_000, b"payment 1") != 202 {
        cannot_run("m1 was not accepted");
    }
    require("the wait is told", || calls_of_m1() == 2);
    let body = vec![b'x'; BODY_BYTES];
    let accepted = (0..HELD)
        .filter(|number| submit(&format!("h{number}"), 9_000, &body) == 202)
        .count();
    record(format!("client: {accepted} more messages accepted, which wait"));
    if accepted < HELD / 2 {
        cannot_run("too few messages were accepted");
    }
    let mut next = None;
    if case.trouble {
        let new = sender.start(&case);
        require("the new process takes over", || new.logged("takes over"));
        require_ready(sender.address);
        next = Some(new);
    }
    // the wait ends, and m1 is sent once more
    let sent_again = wait_for(Duration::from_secs(12), || calls_of_m1() >= 3);
    record(format!("m1 was sent again after its wait: {sent_again}"));
    sleep_ms(500);
    let (calls, effects) = {
        let known = known.lock().unwrap();
        let key = &known["k-m1"];
        (key.calls, key.effects)
    };
    record(format!("endpoint: m1 had {calls} calls and took effect {effects} times"));
    for process in next.iter().chain([&process]) {
        record(format!("{}: largest memory {}", process.name, process.largest_memory()));
    }
    process.signal("TERM");
    if let Some(new) = &next {
        new.signal("TERM");
    }
    finish((effects > 1).then(|| {
        format!("m1 was sent after the window of its key, and took effect {effects} times")
    }));
}
