//! `run` is started again while the old process serves, with a dead-letter store beside the sender. Then the sender is
//! killed and started again.

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
    // the endpoint tells the sender to wait, so what is taken on stays with the sender
    let told_to_wait: Behaviour = Arc::new(|_| Reply::Status(429, vec!["Retry-After: 3.0".to_string()], 5));
    let endpoint = Endpoint::start(record, "s-1", 7, answers.clone()).unwrap();
    let discovery = Discovery::start(record, vec![endpoint.target("up")]).unwrap();
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
    // ordinary traffic: ten messages of 40 KB, all delivered
    let deliver = |id: &str| {
        let mut message = Submission::new("webhook", id, 7, 20_000).key(&format!("key-{id}"));
        message.body = vec![b'x'; 40_000];
        submit(record, config.listen, &message)
    };
    for number in 1..=10 {
        if deliver(&format!("before-{number}")) != Some(202) {
            return Verdict::CouldNotRun("a message before the upgrade is not taken on".to_string());
        }
    }
    sleep_ms(500);
    if trouble {
        let new = place.start_sender(&variables());
        sleep_ms(3_000);
        record.line(format!("the second process: {}", place.ended(new).unwrap_or("runs".to_string())));
    } else {
        sleep_ms(3_000);
    }
    endpoint.set_behaviour(told_to_wait);
    sleep_ms(100);
    let mut taken = Vec::new();
    for number in 1..=3 {
        let id = format!("after-{number}");
        if submit(record, config.listen, &Submission::new("webhook", &id, 7, 15_000).key(&format!("key-{id}"))) == Some(202) {
            taken.push(id);
        }
    }
    if taken.is_empty() {
        return Verdict::CouldNotRun("no message is taken on behind the second start".to_string());
    }
    sleep_ms(300);
    place.kill(old);
    sleep_ms(600);
    endpoint.set_behaviour(answers);
    let delivered_before = endpoint.calls().len();
    let _restarted = place.start_sender(&variables());
    if !place.wait_ready(config.listen) {
        return Verdict::CouldNotRun("the sender is not ready after the kill".to_string());
    }
    // the time of all messages, 300 ms, and some more for the restart
    sleep_ms(17_000);
    record.line(format!("{} calls behind the restart", endpoint.calls().len() - delivered_before));
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
