//! Messages of one subject in a class with `oneAtATime` are sent one at a time, also across restarts: the next one waits
//! until the one before it has ended, whether delivered or not. If the platform is notified of that end, the next one
//! also waits until the platform has acknowledged the notification.

mod node;

use node::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Submits a message with this subject; returns the status of the response.
fn submit_for_subject(node: &Node, subject: &str, id: &str, time_ms: u64) -> u16 {
    let text = String::from_utf8(message_request("posting", id, 7, time_ms, b"x")).expect("text");
    node.raw(
        text.replace(
            "POST /posting ",
            &format!("POST /posting?subject={subject} "),
        )
        .as_bytes(),
    )
    .0
}

fn discovery_with(endpoint: &FakeEndpoint) -> FakeDiscovery {
    FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "one",
        7,
        "up",
    )])])
}

/// Position of a message's first call among all calls that the endpoint received.
fn first_call_position(endpoint: &FakeEndpoint, id: &str) -> Option<usize> {
    let requests = endpoint.requests.lock().expect("not poisoned");
    requests
        .iter()
        .position(|call| call.message_ids().iter().any(|other| other == id))
}

#[test]
fn messages_of_one_subject_are_sent_one_at_a_time_also_across_a_kill() {
    let succeeds = Arc::new(AtomicBool::new(false));
    let succeeds_now = succeeds.clone();
    let endpoint = FakeEndpoint::new(move |request, _| {
        let fails = ["m1", "m2"].contains(&request.header("x-request-id"))
            && !succeeds_now.load(Ordering::SeqCst);
        if fails {
            Reply::Respond("500 Oops", String::new())
        } else {
            OK
        }
    });
    let discovery = discovery_with(&endpoint);
    let node = Node::new(&discovery).ready();
    assert_eq!(submit_for_subject(&node, "a", "m1", 20_000), 202);
    wait_until("the first is sent", || endpoint.attempt_count("m1") >= 1);
    assert_eq!(
        (
            submit_for_subject(&node, "a", "m2", 20_000),
            submit_for_subject(&node, "b", "other", 20_000)
        ),
        (202, 202)
    );
    wait_until("a message of another subject is delivered", || {
        endpoint.attempt_count("other") == 1
    });
    wait_until("the first is retried", || endpoint.attempt_count("m1") >= 3);
    assert_eq!(
        endpoint.attempt_count("m2"),
        0,
        "the message before it has not ended"
    );
    let node = node.restart().ready();
    assert!(node.logged("2 messages owed"));
    let before = endpoint.attempt_count("m1");
    wait_until("the first is retried after the restart", || {
        endpoint.attempt_count("m1") > before
    });
    assert_eq!(
        endpoint.attempt_count("m2"),
        0,
        "the second still waits after the restart"
    );
    succeeds.store(true, Ordering::SeqCst);
    wait_until("the second is sent", || endpoint.attempt_count("m2") >= 1);
    assert!(first_call_position(&endpoint, "m1") < first_call_position(&endpoint, "m2"));
    // two subjects in one request are ambiguous, and an empty subject is invalid
    assert_eq!(submit_for_subject(&node, "a&subject=b", "m3", 20_000), 400);
    assert_eq!(submit_for_subject(&node, "", "m4", 20_000), 400);
}

#[test]
fn the_next_message_of_a_subject_waits_until_the_previous_notification_is_acknowledged() {
    let endpoint = FakeEndpoint::new(|request, _| {
        let busy = Reply::Respond("503 Busy", String::new());
        if request.header("x-request-id") == "m1" {
            busy
        } else {
            OK
        }
    });
    let discovery = discovery_with(&endpoint);
    discovery
        .remaining_faults
        .store(usize::MAX, Ordering::SeqCst);
    let node = Node::new(&discovery).ready();
    assert_eq!(submit_for_subject(&node, "a", "m1", 400), 202);
    assert_eq!(submit_for_subject(&node, "a", "m2", 20_000), 202);
    wait_until("the first has ended, and its notification fails", || {
        node.logged("notices answered 500")
    });
    assert_eq!(submit_for_subject(&node, "b", "other", 20_000), 202);
    wait_until("a message of another subject is delivered", || {
        endpoint.attempt_count("other") == 1
    });
    assert_eq!(
        endpoint.attempt_count("m2"),
        0,
        "the previous notification has not been acknowledged"
    );
    // a new process still has the notification to send
    let node = node.restart().ready();
    wait_until("the notification is attempted again", || {
        node.logged("notices answered 500")
    });
    assert_eq!(submit_for_subject(&node, "b", "another", 20_000), 202);
    wait_until("a message of another subject is delivered", || {
        endpoint.attempt_count("another") == 1
    });
    assert_eq!(
        endpoint.attempt_count("m2"),
        0,
        "the previous notification has still not been acknowledged"
    );
    discovery.remaining_faults.store(0, Ordering::SeqCst);
    wait_until(
        "the second is sent once the notification has arrived",
        || endpoint.attempt_count("m2") >= 1,
    );
    assert!(
        discovery
            .notifications()
            .iter()
            .any(|notification| notification.contains("m1"))
    );
}
