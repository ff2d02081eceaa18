//! `run` is started again while the old process serves, with a dead-letter store beside the sender. Then the sender is
//! ended and started again, at the times that the page has for an upgrade.

use crate::parts::*;
use std::sync::Arc;

const STORE: &str = r#"
[store]
file = "undelivered.db"
max_mb = 0.4
max_messages = 1000
max_age_days = 30
keep_returned = false
clients_retry = true
"#;

pub fn with_store(place: &Workplace, trouble: bool) -> Verdict {
    let record = &place.record;
    let answers: Behaviour = Arc::new(|_| Reply::Status(200, Vec::new(), 20));
    let hangs: Behaviour = Arc::new(|_| Reply::Hang);
    let endpoint = Endpoint::start(record, "s-1", 7, answers.clone()).unwrap();
    let other = Endpoint::start(record, "s-2", 8, answers.clone()).unwrap();
    let discovery = Discovery::start(record, vec![endpoint.target("up"), other.target("up")]).unwrap();
    let config = Config::new(&discovery, vec![class("webhook", "deduplicated", 4.0, 20.0, 12.0)]);
    place.write_config(&config);
    let store = place.folder.join("undelivered.toml");
    std::fs::write(&store, STORE).unwrap();
    let variables = || {
        [
            ("MILLETTURN_UNDELIVERED", store.display().to_string()),
            ("RELAY_MANAGEMENT", free_address().to_string()),
        ]
    };
    let old = place.start_sender(&variables());
    if !place.wait_ready(config.listen) {
        return Verdict::CouldNotRun("the sender is not ready".to_string());
    }
    // ordinary traffic: ten messages of 40 KB to another destination, all delivered; the one that hangs later gets 3 of 13
    let deliver = |id: &str| {
        let mut message = Submission::new("webhook", id, 8, 20_000).key(&format!("key-{id}"));
        message.body = vec![b'x'; 40_000];
        submit(record, config.listen, &message)
    };
    for number in 1..=10 {
        if deliver(&format!("before-{number}")) != Some(202) {
            return Verdict::CouldNotRun("a message before the upgrade is not taken on".to_string());
        }
    }
    sleep_ms(500);
    // the times of an upgrade: 6 s for the new process, SIGTERM, SIGKILL 3.7 s later, the next start 0.6 s after that
    let new = trouble.then(|| place.start_sender(&variables()));
    sleep_ms(1_000);
    record.line("the endpoint takes calls and answers none from here on");
    endpoint.set_behaviour(hangs);
    sleep_ms(3_000);
    let mut taken = Vec::new();
    for number in 1..=3 {
        let id = format!("after-{number}");
        if submit(record, config.listen, &Submission::new("webhook", &id, 7, 16_000).key(&format!("key-{id}"))) == Some(202) {
            taken.push(id);
        }
    }
    if taken.is_empty() {
        return Verdict::CouldNotRun("no message is taken on behind the second start".to_string());
    }
    sleep_ms(2_000);
    if let Some(new) = new {
        record.line(format!("the second process after 6 s: {}", place.ended(new).unwrap_or("runs".to_string())));
        if place.ended(new).is_none() {
            // it has taken over, so that the old process alone ends
            record.line("the second process goes on");
        }
    }
    place.signal(old, "TERM");
    sleep_ms(3_700);
    place.kill(old);
    sleep_ms(600);
    record.line("the endpoint answers again");
    endpoint.set_behaviour(answers);
    let calls_before = endpoint.calls().len();
    if new.is_none_or(|new| place.ended(new).is_some()) {
        place.start_sender(&variables());
    }
    if !place.wait_ready(config.listen) {
        return Verdict::CouldNotRun("the sender is not ready after the restart".to_string());
    }
    // all messages' time, 300 ms, and some more for the restart: 16 s from when they were handed in, 6.3 s before
    sleep_ms(13_000);
    record.line(format!("{} calls behind the restart", endpoint.calls().len() - calls_before));
    let is_answered = |id: &String| {
        !discovery.notices_of(id).is_empty()
            || endpoint.calls_of(id).iter().any(|call| call.reply.starts_with("Status(200"))
    };
    let lost: Vec<&String> = taken.iter().filter(|id| !is_answered(id)).collect();
    match lost.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken(format!("of {} messages taken on, {} were neither delivered nor ended by a notice", taken.len(), lost.len())),
    }
}
