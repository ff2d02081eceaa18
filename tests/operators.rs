//! Tests of the admin listener and of reloads: readiness, metrics, drain and resume, with misbehaving clients.

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
fn metrics_count_each_outcome_and_the_pending_messages() {
    let endpoint = FakeEndpoint::new(|request, _| match request.header("x-request-id") {
        "hangs" => Reply::NoResponse,
        "fails" => Reply::Respond("500 Oops", String::new()),
        _ => OK,
    });
    let node = Node::new(&discovery_with(&endpoint)).ready();
    for id in ["a", "b"] {
        assert_eq!(node.submit("webhook", id, 7, 20_000, b"x"), 202);
    }
    // an at-most-once message fails after a 500, since it may have run
    assert_eq!(node.submit("order", "fails", 7, 20_000, b"x"), 202);
    wait_until("all three have ended", || {
        node.metric("responses.order.errors") == 1 && node.metric("responses.webhook.ok") == 2
    });
    assert_eq!(node.submit("order", "hangs", 7, 20_000, b"x"), 202);
    // an attempt is counted while it is in flight, not at its end
    wait_until("the fourth attempt is counted", || {
        node.metric("tries") == 4
    });
    assert_eq!((node.metric("active"), node.metric("pool_size")), (1, 1));
    // no endpoint of destination 99 was ever listed
    assert_eq!(node.submit("webhook", "nowhere", 99, 20_000, b"x"), 429);
    wait_until("the rejection is counted", || {
        node.metric("responses.webhook.shed") == 1
    });
    node.reload(|_| "{".to_string());
    wait_until("the invalid reload is counted", || {
        node.metric("config_rejected") == 1
    });
    assert_eq!(node.metric("config_applied"), 0);
}

#[test]
fn a_drained_sender_closes_client_connections_and_accepts_messages_again_after_a_resume() {
    // guards against idle connections that stay open through a drain, and against a drain that never ends
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let mut idle = Client::new(node.address);
    assert_eq!(
        idle.send(&message_request("webhook", "m1", 7, 20_000, b"x"))
            .map(|response| response.0),
        Some(202)
    );
    let mut used = Client::new(node.address);
    assert_eq!(
        used.send(&message_request("webhook", "m2", 7, 20_000, b"x"))
            .map(|response| response.0),
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
    // a client that does not know of the drain is served, and its connection is closed after the response
    let response = used
        .send(&message_request("webhook", "m3", 7, 20_000, b"x"))
        .expect("a response");
    assert_eq!(
        (response.0, response.1.header("connection")),
        (202, "close")
    );
    wait_until("the idle connection is closed", || idle.is_closed());
    wait_until("no message is accepted any more", || {
        node.submit("webhook", "late", 7, 20_000, b"x") == 503
    });
    wait_until("all messages are delivered", || {
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
        let response = client
            .send(&message_request("webhook", id, 7, 20_000, b"x"))
            .expect("connections stay open again");
        assert_eq!(response.0, 202);
    }
}

#[test]
fn incomplete_admin_requests_do_not_block_other_admin_requests() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let node = Node::new(&discovery_with(&endpoint)).ready();
    let admin_address = node.admin_address.expect("an address");
    let mut idle: Vec<Client> = (0..8).map(|_| Client::new(admin_address)).collect();
    idle.iter_mut()
        .skip(4)
        .for_each(|client| client.write(b"GET /-/metr"));
    let began = Instant::now();
    assert_eq!(node.admin_status("GET", "/-/ready"), 200);
    // within 1 s, which is before the idle connections are closed
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
    assert_eq!(
        node.readiness_status(),
        200,
        "a GET of /-/drain must not drain the sender"
    );
    wait_until("the idle connections are closed", || {
        idle.iter_mut().all(Client::is_closed)
    });
}

/// Replacement for the text `{"name":"order"` in a configuration. It inserts the class `licence` before the class
/// `order`.
const LICENCE_BEFORE_ORDER: &str =
    r#"{"name":"licence","aim":4.0,"deadline":20.0,"effect":"idempotent"},{"name":"order""#;

#[test]
fn a_reload_adds_and_removes_classes_and_pending_messages_keep_their_effect() {
    // guards against a reload that changes the effect of a message in flight, or that mixes up classes because their
    // positions change
    let endpoint =
        FakeEndpoint::new(
            |request, _| match request.header("x-request-id").split('-').next() {
                Some("bad") => Reply::Respond("500 Oops", String::new()),
                Some("slow") => Reply::NoResponse,
                _ => OK,
            },
        );
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    assert_eq!(node.submit("licence", "m1", 7, 20_000, b"x"), 400);
    // an at-most-once message that may have run must never be sent again, even if its class gets another effect
    assert_eq!(node.submit("order", "slow-order", 7, 3_000, b"x"), 202);
    wait_until("the message is sent", || {
        endpoint.attempt_count("slow-order") == 1
    });
    node.reload(|text| {
        text.replace(r#"{"name":"order""#, LICENCE_BEFORE_ORDER)
            .replace("at_most_once", "idempotent")
            .replace("\"mostTries\":12", "\"mostTries\":2")
    });
    wait_until("the reload is applied", || {
        node.metric("config_applied") == 1
    });
    assert_eq!(node.submit("licence", "m2", 7, 20_000, b"x"), 202);
    wait_until("the new class has its own metric", || {
        node.metric("responses.licence.ok") == 1
    });
    // orders are idempotent now, with at most 2 attempts
    assert_eq!(node.submit("order", "bad-order", 7, 20_000, b"x"), 202);
    // The order submitted after the reload is idempotent: after its last attempt it is returned, and counted as shed.
    // The earlier order is still an at-most-once message and may have run, so it fails.
    wait_until("the new order is returned", || {
        node.metric("responses.order.shed") == 1
    });
    wait_until("the old order has failed", || {
        node.metric("responses.order.errors") == 1
    });
    assert_eq!(
        (
            endpoint.attempt_count("bad-order"),
            endpoint.attempt_count("slow-order")
        ),
        (2, 1)
    );
    wait_until("the failure is notified", || {
        discovery.notifications().iter().any(|notification| {
            notification.contains("slow-order") && notification.contains("failed")
        })
    });
    // another reload removes the new class
    node.reload(|text| text.replace(LICENCE_BEFORE_ORDER, r#"{"name":"order""#));
    wait_until("the reload is applied", || {
        node.metric("config_applied") == 2
    });
    assert_eq!(node.submit("licence", "m3", 7, 20_000, b"x"), 400);
    assert_eq!(node.submit("order", "m4", 7, 20_000, b"x"), 202);
}

#[test]
fn a_reload_from_an_invalid_file_changes_nothing() {
    let endpoint = FakeEndpoint::new(|_, _| OK);
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    let valid =
        std::fs::read_to_string(node.folder.join("config.json")).expect("the configuration");
    let with_new = valid.replace(r#"{"name":"order""#, LICENCE_BEFORE_ORDER);
    let with_new_address = with_new.replace(&discovery.address.to_string(), "127.0.0.1:1");
    let mut invalid = vec![String::new(), "{}".to_string(), "null".to_string()];
    invalid.extend([1, 3, 10].map(|part| {
        with_new_address[..with_new_address.len() - with_new_address.len() / part].to_string()
    }));
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
        assert!(with_new_address.contains(from), "{from}");
        invalid.push(with_new_address.replacen(from, to, 1));
    }
    for (number, text) in invalid.iter().enumerate() {
        node.reload(|_| text.clone());
        wait_until(text, || node.metric("config_rejected") == number as u64 + 1);
    }
    assert_eq!(node.metric("config_applied"), 0);
    assert_eq!(node.submit("licence", "m1", 7, 20_000, b"x"), 400);
    node.reload(|_| with_new.clone());
    wait_until("a valid file is applied", || {
        node.metric("config_applied") == 1
    });
}

#[test]
fn a_pending_message_keeps_its_effect_across_a_reload_and_a_kill() {
    // guards against an at-most-once message that is sent again because a reload gave its class another effect
    let endpoint = FakeEndpoint::new(|request, _| match request.header("x-request-id") {
        "m1" | "m2" => Reply::NoResponse,
        _ => OK,
    });
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    for (class, id) in [("order", "m1"), ("webhook", "m2")] {
        assert_eq!(node.submit(class, id, 7, 20_000, b"x"), 202);
        wait_until("the message is sent", || endpoint.attempt_count(id) == 1);
    }
    node.reload(|text| {
        text.replace("at_most_once", "idempotent")
            .replace("\"webhook\"", "\"licence\"")
    });
    wait_until("the reload is applied", || {
        node.metric("config_applied") == 1
    });
    // the restarted process reads the changed file
    let node = node.restart_keeping_config().ready();
    wait_until("the at-most-once message has failed", || {
        discovery
            .notifications()
            .iter()
            .any(|notification| notification.contains("m1") && notification.contains("failed"))
    });
    wait_until(
        "the keyed message is sent again, though its class was removed",
        || endpoint.attempt_count("m2") == 2,
    );
    assert_eq!(endpoint.attempt_count("m1"), 1);
    assert_eq!(node.submit("order", "m3", 7, 20_000, b"x"), 202);
}

/// Guards against a message that is sent by the rules of a class that its client did not name, because two reloads were
/// applied while its request came in.
#[test]
fn a_request_that_spans_two_reloads_gets_the_class_that_it_names() {
    let endpoint = FakeEndpoint::new(|_, _| Reply::Respond("500 Oops", String::new()));
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    let request = message_request("order", "m1", 7, 3_000, b"in pieces");
    let (beginning, rest) = request.split_at(request.len() - 4);
    let mut client = Client::new(node.address);
    client.write(beginning);
    // the first reload replaces the class order by one of the same name, the second one adds an idempotent class
    node.reload(|text| {
        text.replace("\"mostTries\":12", "\"mostTries\":11")
            .replace(
                r#""aim":4.0,"deadline":20.0,"effect":"at_most_once""#,
                r#""aim":3.0,"deadline":20.0,"effect":"at_most_once""#,
            )
    });
    wait_until("the first reload is applied", || {
        node.metric("config_applied") == 1
    });
    node.reload(|text| text.replace(r#"{"name":"order""#, LICENCE_BEFORE_ORDER));
    wait_until("the second reload is applied", || {
        node.metric("config_applied") == 2
    });
    let (status, _) = client.send(rest).expect("a response");
    assert_eq!(status, 202);
    wait_until("the message has ended", || {
        !discovery.notifications().is_empty()
    });
    assert_eq!(
        endpoint.attempt_count("m1"),
        1,
        "an at-most-once message that may have run is not sent again"
    );
    assert_eq!(node.metric("responses.order.errors"), 1);
}
