//! The operators' door: readiness, figures, drain and resume, beside clients and callers that misbehave.

mod node;

use node::*;
use std::time::{Duration, Instant};

fn discovery_with(endpoint: &FakeEndpoint) -> FakeDiscovery {
    FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "one",
        7,
        "up",
    )])])
}

#[test]
fn the_figures_tell_each_end_and_what_is_held() {
    let endpoint = FakeEndpoint::new(|request, _| match request.header("x-request-id") {
        "hangs" => Reply::NoResponse,
        "fails" => Reply::Respond("500 Oops", String::new()),
        _ => OK,
    });
    let node = Node::new(&discovery_with(&endpoint)).ready();
    for id in ["a", "b"] {
        assert_eq!(node.submit("webhook", id, 7, 20_000, b"x"), 202);
    }
    // known to have run perhaps, and unsafe: its end is a failure
    assert_eq!(node.submit("order", "fails", 7, 20_000, b"x"), 202);
    wait_until("ended", || {
        node.metric("responses.order.errors") == 1 && node.metric("responses.webhook.ok") == 2
    });
    assert_eq!(node.submit("order", "hangs", 7, 20_000, b"x"), 202);
    // counted while it is out, not at its end
    wait_until("written", || node.metric("tries") == 4);
    assert_eq!((node.metric("active"), node.metric("pool_size")), (1, 1));
    // no endpoint for it was ever listed
    assert_eq!(node.submit("webhook", "nowhere", 99, 20_000, b"x"), 429);
    wait_until("turned away", || node.metric("responses.webhook.shed") == 1);
    node.reload(|_| "{".to_string());
    wait_until("turned down", || node.metric("config_rejected") == 1);
    assert_eq!(node.metric("config_applied"), 0);
}

#[test]
fn a_drained_sender_loses_its_clients_and_a_resumed_one_takes_them_again() {
    // guards against idle connections that stay through a drain, and against one that never ends
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let mut idle = Client::new(node.address);
    assert_eq!(
        idle.send(&message_request("webhook", "m1", 7, 20_000, b"x"))
            .map(|answer| answer.0),
        Some(202)
    );
    let mut used = Client::new(node.address);
    assert_eq!(
        used.send(&message_request("webhook", "m2", 7, 20_000, b"x"))
            .map(|answer| answer.0),
        Some(202)
    );
    assert_eq!(node.admin_status("GET", "/-/ready"), 200);
    assert_eq!(node.admin_status("POST", "/-/drain"), 200);
    assert_eq!(
        (
            node.readiness_status(),
            node.admin_status("GET", "/-/ready")
        ),
        (503, 503)
    );
    // a client that has not heard of it is served, and its connection closed behind that
    let answer = used
        .send(&message_request("webhook", "m3", 7, 20_000, b"x"))
        .expect("an answer");
    assert_eq!((answer.0, answer.1.header("connection")), (202, "close"));
    wait_until("the idle one is closed", || idle.is_closed());
    wait_until("nothing is taken on any more", || {
        node.submit("webhook", "late", 7, 20_000, b"x") == 503
    });
    wait_until("all is delivered", || {
        endpoint.request_count() >= 3 && node.metric("active") == 0
    });
    assert_eq!(node.admin_status("POST", "/-/resume"), 200);
    assert_eq!(
        (
            node.readiness_status(),
            node.admin_status("GET", "/-/ready")
        ),
        (200, 200)
    );
    let mut client = Client::new(node.address);
    for id in ["m4", "m5"] {
        let answer = client
            .send(&message_request("webhook", id, 7, 20_000, b"x"))
            .expect("kept open again");
        assert_eq!(answer.0, 202);
    }
}

#[test]
fn callers_that_do_not_finish_keep_nobody_out() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let operators = node.admin_address.expect("an address");
    let mut silent: Vec<Client> = (0..8).map(|_| Client::new(operators)).collect();
    silent
        .iter_mut()
        .skip(4)
        .for_each(|client| client.write(b"GET /-/metr"));
    let began = Instant::now();
    assert_eq!(node.admin_status("GET", "/-/ready"), 200);
    // before the silent ones are closed
    assert!(
        began.elapsed() < Duration::from_millis(1000),
        "{:?}",
        began.elapsed()
    );
    for (method, path, status) in [
        ("POST", "/-/ready", 405),
        ("GET", "/-/drain", 405),
        ("GET", "/-/x", 404),
        ("GET", "/ready", 404),
    ] {
        assert_eq!(node.admin_status(method, path), status, "{method} {path}");
    }
    assert_eq!(node.readiness_status(), 200, "a GET of the drain drained");
    wait_until("they are closed", || {
        silent.iter_mut().all(Client::is_closed)
    });
}

const NEW: &str =
    r#"{"name":"licence","aim":4.0,"deadline":20.0,"effect":"idempotent"},{"name":"order""#;

#[test]
fn a_reload_brings_classes_and_takes_them_away_and_what_is_open_keeps_its_own() {
    // guards against rules that change under a message that is out, and against positions that are mixed up
    let endpoint =
        FakeEndpoint::new(
            |request, _| match request.header("x-request-id").split('-').next() {
                Some("bad") => Reply::Respond("500 Oops", String::new()),
                Some("slow") => Reply::NoResponse,
                _ => OK,
            },
        );
    let agent = discovery_with(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(node.submit("licence", "m1", 7, 20_000, b"x"), 400);
    // unsafe, and may run: it must never go out again, whatever its class's name means later
    assert_eq!(node.submit("order", "slow-order", 7, 3_000, b"x"), 202);
    wait_until("it is out", || endpoint.attempt_count("slow-order") == 1);
    node.reload(|text| {
        text.replace(r#"{"name":"order""#, NEW)
            .replace("at_most_once", "idempotent")
            .replace("\"mostTries\":12", "\"mostTries\":2")
    });
    wait_until("taken over", || node.metric("config_applied") == 1);
    assert_eq!(node.submit("licence", "m2", 7, 20_000, b"x"), 202);
    wait_until("counted under its name", || {
        node.metric("responses.licence.ok") == 1
    });
    // an order may be repeated now, but only so often
    assert_eq!(node.submit("order", "bad-order", 7, 20_000, b"x"), 202);
    // handed back, since a repeat does no harm now; the other may have run, and has failed
    wait_until("handed back", || node.metric("responses.order.shed") == 1);
    wait_until("failed", || node.metric("responses.order.errors") == 1);
    assert_eq!(
        (
            endpoint.attempt_count("bad-order"),
            endpoint.attempt_count("slow-order")
        ),
        (2, 1)
    );
    wait_until("told", || {
        agent
            .notifications()
            .iter()
            .any(|line| line.contains("slow-order") && line.contains("failed"))
    });
    // and the new one goes again
    node.reload(|text| text.replace(NEW, r#"{"name":"order""#));
    wait_until("taken over", || node.metric("config_applied") == 2);
    assert_eq!(node.submit("licence", "m3", 7, 20_000, b"x"), 400);
    assert_eq!(node.submit("order", "m4", 7, 20_000, b"x"), 202);
}

#[test]
fn nothing_is_taken_from_a_broken_file() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let agent = discovery_with(&endpoint);
    let node = Node::new(&agent).ready();
    let sound =
        std::fs::read_to_string(node.folder.join("config.json")).expect("the configuration");
    let with_new = sound.replace(r#"{"name":"order""#, NEW);
    let elsewhere = with_new.replace(&agent.address.to_string(), "127.0.0.1:1");
    let mut broken = vec![String::new(), "{}".to_string(), "null".to_string()];
    broken.extend(
        [1, 3, 10].map(|part| elsewhere[..elsewhere.len() - elsewhere.len() / part].to_string()),
    );
    for (from, to) in [
        ("\"deadline\":20.0", "\"deadline\":0"),
        ("\"deadline\":20.0", "\"deadline\":-4.0"),
        ("\"deadline\":20.0", "\"deadline\":\"20\""),
        ("\"deadline\":20.0", "\"deadline\":null"),
        ("\"deadline\":20.0,", ""),
        ("\"effect\":\"idempotent\"", "\"effect\":\"twice\""),
        ("\"mostTries\":12", "\"mostTries\":0"),
        ("\"mostTries\":12", "\"mostTries\":-1"),
        ("\"mostTries\":12", "\"mostTries\":\"many\""),
        ("\"mostTries\":12,", ""),
        ("\"maxOpen\":50,", ""),
        ("\"mayCancel\":true,", ""),
        ("\"seed\":\"8c1f\",", ""),
        ("\"sockets\":1024,", ""),
        ("\"discovery\":\"127.0.0.1:1\"", "\"discovery\":\"nowhere\""),
        ("\"discovery\":\"127.0.0.1:1\",", ""),
    ] {
        assert!(elsewhere.contains(from), "{from}");
        broken.push(elsewhere.replacen(from, to, 1));
    }
    for (number, text) in broken.iter().enumerate() {
        node.reload(|_| text.clone());
        wait_until(text, || node.metric("config_rejected") == number as u64 + 1);
    }
    assert_eq!(node.metric("config_applied"), 0);
    assert_eq!(node.submit("licence", "m1", 7, 20_000, b"x"), 400);
    node.reload(|_| with_new.clone());
    wait_until("a sound one is taken", || {
        node.metric("config_applied") == 1
    });
}

#[test]
fn a_message_keeps_its_effect_through_a_kill_behind_a_reload() {
    // guards against an unsafe message that goes again since its class's name means another effect by then
    let endpoint = FakeEndpoint::new(|request, _| match request.header("x-request-id") {
        "m1" | "m2" => Reply::NoResponse,
        _ => OK,
    });
    let agent = discovery_with(&endpoint);
    let node = Node::new(&agent).ready();
    for (class, id) in [("order", "m1"), ("webhook", "m2")] {
        assert_eq!(node.submit(class, id, 7, 20_000, b"x"), 202);
        wait_until("it is out", || endpoint.attempt_count(id) == 1);
    }
    node.reload(|text| {
        text.replace("at_most_once", "idempotent")
            .replace("\"webhook\"", "\"licence\"")
    });
    wait_until("taken over", || node.metric("config_applied") == 1);
    // the next life reads the changed file
    let node = node.restart_keeping_config().ready();
    wait_until("the unsafe one has failed", || {
        agent
            .notifications()
            .iter()
            .any(|line| line.contains("m1") && line.contains("failed"))
    });
    wait_until("the keyed one goes again, though its class is gone", || {
        endpoint.attempt_count("m2") == 2
    });
    assert_eq!(endpoint.attempt_count("m1"), 1);
    assert_eq!(node.submit("order", "m3", 7, 20_000, b"x"), 202);
}
