//! A dead-letter store beside the sender, and a new configuration in which the effect of a class has changed.

use crate::parts::*;
use std::sync::Arc;

/// The settings of `deploy/undelivered.toml`, but for the size: the folder has 3 MB.
const STORE: &str = r#"
[store]
file = "undelivered.db"
max_mb = 0.4
max_messages = 100000
max_age_days = 30
keep_returned = false
clients_retry = true

[[rule]]
name = "never-ran"
classes = []
destinations = []
reasons = ["time-up", "attempts-used", "turned-away"]
well_for_s = 60
most_resends = 3
not_older_than_s = 86400
per_second = 1
"#;

pub fn effect_changed(place: &Workplace, trouble: bool) -> Verdict {
    let record = &place.record;
    // runs each call; the answer to the first call of licence-1 gets lost
    let behaviour: Behaviour = Arc::new(|got| match got.earlier {
        0 if got.id == "licence-1" => Reply::Hang,
        _ => Reply::Status(200, Vec::new(), 20),
    });
    let endpoint = Endpoint::start(record, "s-1", 7, behaviour).unwrap();
    let answers: Behaviour = Arc::new(|_| Reply::Status(200, Vec::new(), 20));
    let other = Endpoint::start(record, "s-2", 8, answers).unwrap();
    let discovery = Discovery::start(record, vec![endpoint.target("up"), other.target("up")]).unwrap();
    let effects = |effect: &str| vec![class("webhook", "deduplicated", 4.0, 20.0, 12.0), class("licence", effect, 4.0, 20.0, 0.0)];
    let mut config = Config::new(&discovery, effects(if trouble { "idempotent" } else { "at_most_once" }));
    place.write_config(&config);
    let store = place.folder.join("undelivered.toml");
    std::fs::write(&store, STORE).unwrap();
    let sender = place.start_sender(&[("MILLETTURN_UNDELIVERED", store.display().to_string())]);
    if !place.wait_ready(config.listen) {
        return Verdict::CouldNotRun("the sender is not ready".to_string());
    }
    if trouble {
        config.classes = effects("at_most_once");
        place.write_config(&config);
        place.signal(sender, "HUP");
    }
    sleep_ms(2_000);
    // four messages to another destination: the one whose answer gets lost is a fifth of the traffic
    for number in 1..=4 {
        let id = format!("ordinary-{number}");
        if submit(record, config.listen, &Submission::new("webhook", &id, 8, 10_000).key(&format!("key-{id}"))) != Some(202) {
            return Verdict::CouldNotRun("an ordinary message is not taken on".to_string());
        }
    }
    let licence = Submission::new("licence", "licence-1", 7, 3_000);
    if submit(record, config.listen, &licence) != Some(202) {
        return Verdict::CouldNotRun("licence-1 is not taken on".to_string());
    }
    sleep_ms(18_000);
    if endpoint.calls_of("licence-1").is_empty() {
        return Verdict::CouldNotRun("licence-1 was never called".to_string());
    }
    match endpoint.calls_of("licence-1").len() {
        1 => Verdict::Held,
        calls => Verdict::Broken(format!("licence-1 of class licence, at_most_once when it was taken on, ran {calls} times")),
    }
}
