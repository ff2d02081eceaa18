//! Reloads that reach a process before it serves clients.

mod node;

use node::*;

const STORE: &str = "[store]\nmax_mb = 2\n";
const KEYED_WEBHOOK: &str = r#""name":"webhook","aim":4.0,"deadline":20.0,"effect":"deduplicated","group":"all","window":12.0"#;
const AT_MOST_ONCE_WEBHOOK: &str =
    r#""name":"webhook","aim":4.0,"deadline":20.0,"effect":"at_most_once""#;

/// Starts a sender with a dead-letter store, whose endpoint runs each call and loses the response to the first one.
fn sender_with_store() -> (FakeEndpoint, Node) {
    let endpoint = FakeEndpoint::new(|_, number| match number {
        0 => Reply::Close,
        _ => OK,
    });
    let list = list_json(&[("s-1", endpoint.address, "one", 7, "up")]);
    let node = Node::with_store(&FakeDiscovery::new(vec![list]), STORE).ready();
    (endpoint, node)
}

/// Starts a second process beside `old`, and returns once it waits for the state folder.
fn start_waiting_process(old: &Node) -> StartingNode {
    let new = old.start_second_process();
    wait_until("the new process waits", || {
        new.logged("waiting for its end")
    });
    new
}

/// Ends the old process, and returns the new one once it is ready.
fn replace(mut old: Node, new: StartingNode) -> Node {
    old.terminate();
    old.process.wait().expect("ended");
    new.listening().ready()
}

/// Guards against an at-most-once message that runs twice because a SIGHUP was dropped while its process waited for the
/// state folder.
#[test]
fn a_reload_while_a_process_waits_for_its_state_folder_applies_before_it_serves_clients() {
    let (endpoint, old) = sender_with_store();
    let new = start_waiting_process(&old);
    old.replace_config(|text| text.replace(KEYED_WEBHOOK, AT_MOST_ONCE_WEBHOOK));
    new.hang_up();
    let new = replace(old, new);
    assert_eq!(new.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("the message has ended", || new.metric("active") == 0);
    assert_eq!(endpoint.attempt_count("m1"), 1);
    assert_eq!(new.metric("responses.webhook.errors"), 1);
    assert_eq!(new.metric("config_applied"), 1);
}

/// Guards against a process that starts with an invalid file, or without an account of it, because a reload reached the
/// process while it waited for the state folder.
#[test]
fn an_invalid_file_while_a_process_waits_for_its_state_folder_is_counted_and_changes_nothing() {
    let (endpoint, old) = sender_with_store();
    let new = start_waiting_process(&old);
    old.replace_config(|text| text.replace("\"mostTries\":12", "\"mostTries\":0"));
    new.hang_up();
    let new = replace(old, new);
    wait_until("the rejection is counted", || {
        new.metric("config_rejected") == 1
    });
    assert_eq!(new.metric("config_applied"), 0);
    assert!(new.logged("SIGHUP, nothing changed"));
    // the keyed message is sent again after the lost response
    assert_eq!(new.submit("webhook", "m1", 7, 20_000, b"x"), 202);
    wait_until("the message is delivered", || {
        new.metric("responses.webhook.ok") == 1
    });
    assert_eq!(endpoint.attempt_count("m1"), 2);
}
