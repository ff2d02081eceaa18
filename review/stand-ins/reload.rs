//! New configurations in a row while a client's request is coming in, and behind an upgrade.

use crate::parts::*;
use std::sync::Arc;

/// An endpoint that runs each call and answers 500, "it may have run".
fn runs_and_fails() -> Behaviour {
    Arc::new(|_| Reply::Status(500, Vec::new(), 20))
}

fn answers_ok() -> Behaviour {
    Arc::new(|_| Reply::Status(200, Vec::new(), 20))
}

/// For so long destinations drop a repeat of an `order` message, in the first configuration. In the other two it may not
/// be repeated at all.
const WINDOW_S: f64 = 2.0;

/// The effect of `order` and the number of attempts change, then a class is added and the number of attempts changes.
fn configurations(base: &Config) -> [Config; 3] {
    let webhook = class("webhook", "deduplicated", 4.0, 20.0, 12.0);
    let unsafe_order = class("order", "at_most_once", 4.0, 20.0, 0.0);
    let with = |most_tries, classes: Vec<String>| Config { classes, most_tries, ..base.clone() };
    [
        with(12, vec![webhook.clone(), class("order", "deduplicated", 4.0, 20.0, WINDOW_S)]),
        with(11, vec![webhook.clone(), unsafe_order.clone()]),
        with(10, vec![webhook, unsafe_order, class("bulletin", "idempotent", 4.0, 20.0, 0.0)]),
    ]
}

/// Four messages to another destination, so that the one that fails gets at most a fifth of the traffic.
fn ordinary_traffic(place: &Workplace, sender: std::net::SocketAddr) -> bool {
    (1..=4).all(|number| {
        let id = format!("ordinary-{number}");
        submit(&place.record, sender, &Submission::new("webhook", &id, 8, 10_000).key(&format!("key-{id}"))) == Some(202)
    })
}

/// A client's request comes in pieces while two new configurations come in a row.
pub fn pieces(place: &Workplace, trouble: bool) -> Verdict {
    let record = &place.record;
    let endpoint = Endpoint::start(record, "s-1", 7, runs_and_fails()).unwrap();
    let other = Endpoint::start(record, "s-2", 8, answers_ok()).unwrap();
    let discovery = Discovery::start(record, vec![endpoint.target("up"), other.target("up")]).unwrap();
    let base = Config::new(&discovery, Vec::new());
    let [first, second, third] = configurations(&base);
    place.write_config(&first);
    let sender = place.start_sender(&[]);
    if !place.wait_ready(base.listen) {
        return Verdict::CouldNotRun("the sender is not ready".to_string());
    }
    if !ordinary_traffic(place, base.listen) {
        return Verdict::CouldNotRun("an ordinary message is not taken on".to_string());
    }
    let order = Submission::new("order", "order-1", 7, 12_000).key("key-1");
    let mut client = Client::connect(record, base.listen).unwrap();
    record.line("client: sends head and half of the body of order-1");
    let _ = client.write(order.head().as_bytes());
    let half = order.body.len() / 2;
    let _ = client.write(&order.body[..half]);
    for config in [&second, &third] {
        sleep_ms(300);
        if trouble {
            place.write_config(config);
            place.signal(sender, "HUP");
        }
    }
    sleep_ms(400);
    record.line("client: sends the rest of the body of order-1");
    let _ = client.write(&order.body[half..]);
    let Some(answer) = client.answer("order order-1", 400) else {
        return Verdict::CouldNotRun("no answer".to_string());
    };
    sleep_ms(13_000);
    let calls = endpoint.calls_of("order-1");
    let Some(first_call) = calls.first() else {
        return match answer.status() {
            202 => Verdict::CouldNotRun("order-1 was taken on and never called".to_string()),
            _ => Verdict::Held,
        };
    };
    // each limit is 50 ms longer on sockets; twice that is allowed here
    let limit = std::time::Duration::from_secs_f64(WINDOW_S + 0.1);
    let late: Vec<f64> =
        calls.iter().map(|call| call.at - first_call.at).filter(|after| *after > limit).map(|after| after.as_secs_f64()).collect();
    record.line(format!("order-1 ran {} times; answer {}; {} of them later than {limit:?}", calls.len(), answer.status(), late.len()));
    match late.first() {
        None => Verdict::Held,
        Some(after) => Verdict::Broken(format!(
            "order-1 may be repeated for 2 s by the first configuration and never by the others; it ran {} times, {} of them \
             more than 2.1 s after the first, the earliest of these after {after:.2} s",
            calls.len(),
            late.len()
        )),
    }
}

/// An upgrade, then a new configuration in which the effect of a class has changed; the client uses the connection that
/// it has to the old process.
pub fn upgrade(place: &Workplace, trouble: bool) -> Verdict {
    let record = &place.record;
    let endpoint = Endpoint::start(record, "s-1", 7, runs_and_fails()).unwrap();
    let other = Endpoint::start(record, "s-2", 8, answers_ok()).unwrap();
    let discovery = Discovery::start(record, vec![endpoint.target("up"), other.target("up")]).unwrap();
    let mut config = Config::new(&discovery, vec![class("webhook", "deduplicated", 4.0, 20.0, 12.0)]);
    place.write_config(&config);
    let old = place.start_sender(&[("RELAY_MANAGEMENT", free_address().to_string())]);
    if !place.wait_ready(config.listen) {
        return Verdict::CouldNotRun("the sender is not ready".to_string());
    }
    if !ordinary_traffic(place, config.listen) {
        return Verdict::CouldNotRun("an ordinary message is not taken on".to_string());
    }
    let mut client = Client::connect(record, config.listen).unwrap();
    if client.submit(&Submission::new("webhook", "before", 8, 5_000).key("k0")) != Some(202) {
        return Verdict::CouldNotRun("the first message is not taken on".to_string());
    }
    let management = free_address();
    let new = place.start_sender(&[("RELAY_MANAGEMENT", management.to_string())]);
    if !wait_for(6_000, || get_status(management, "/-/ready") == 200) {
        return Verdict::CouldNotRun("the new process does not say yes within 6 s".to_string());
    }
    record.line("the new process says yes");
    sleep_ms(200);
    if trouble {
        config.classes = vec![class("webhook", "at_most_once", 4.0, 20.0, 0.0)];
        place.write_config(&config);
        place.signal(old, "HUP");
        place.signal(new, "HUP");
    }
    sleep_ms(1_400);
    let status = client.submit(&Submission::new("webhook", "after", 7, 5_000).key("k1"));
    sleep_ms(8_000);
    let calls = endpoint.calls_of("after");
    record.line(format!("after ran {} times; answer {status:?}", calls.len()));
    let Some(first_call) = calls.first() else {
        return Verdict::CouldNotRun("the message behind the upgrade was never called".to_string());
    };
    // without the disruption the class is `deduplicated` with a window of 12 s, which is 50 ms longer on sockets
    let window = std::time::Duration::from_millis(if trouble { 0 } else { 12_050 });
    match calls.iter().skip(1).filter(|call| call.at - first_call.at > window).count() {
        0 => Verdict::Held,
        repeats => Verdict::Broken(format!(
            "message 'after' of class webhook, at_most_once since 1.4 s, ran {} times, {repeats} of them not allowed",
            calls.len()
        )),
    }
}
