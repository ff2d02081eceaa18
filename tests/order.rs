//! Messages of one subject go one at a time, where their class asks for it: whatever ends the one before.

mod node;

use node::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Hands a message about something in.
fn about(node: &Node, subject: &str, id: &str, time_ms: u64) -> u16 {
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

fn agent(endpoint: &FakeEndpoint) -> FakeDiscovery {
    FakeDiscovery::new(vec![list_json(&[(
        "s-1",
        endpoint.address,
        "one",
        7,
        "up",
    )])])
}

/// Position of a message's first call, among all calls.
fn first_of(endpoint: &FakeEndpoint, id: &str) -> Option<usize> {
    let seen = endpoint.requests.lock().expect("not poisoned");
    seen.iter()
        .position(|call| call.message_ids().iter().any(|other| other == id))
}

#[test]
fn messages_of_one_subject_go_one_at_a_time_also_across_a_kill() {
    let open = Arc::new(AtomicBool::new(false));
    let answers = open.clone();
    let endpoint = FakeEndpoint::new(move |request, _| {
        let held = ["m1", "m2"].contains(&request.header("x-request-id"))
            && !answers.load(Ordering::SeqCst);
        if held {
            Reply::Respond("500 Oops", String::new())
        } else {
            OK
        }
    });
    let agent = agent(&endpoint);
    let node = Node::new(&agent).ready();
    assert_eq!(about(&node, "a", "m1", 20_000), 202);
    wait_until("the first is out", || endpoint.attempt_count("m1") >= 1);
    assert_eq!(
        (
            about(&node, "a", "m2", 20_000),
            about(&node, "b", "other", 20_000)
        ),
        (202, 202)
    );
    wait_until("another subject goes on", || {
        endpoint.attempt_count("other") == 1
    });
    wait_until("the first is tried again", || {
        endpoint.attempt_count("m1") >= 3
    });
    assert_eq!(
        endpoint.attempt_count("m2"),
        0,
        "the one before it is not over"
    );
    let node = node.restart().ready();
    assert!(node.logged("2 messages owed"));
    let before = endpoint.attempt_count("m1");
    wait_until("the first is tried in the new life", || {
        endpoint.attempt_count("m1") > before
    });
    assert_eq!(endpoint.attempt_count("m2"), 0, "nor is it in the new life");
    open.store(true, Ordering::SeqCst);
    wait_until("the second goes", || endpoint.attempt_count("m2") >= 1);
    assert!(first_of(&endpoint, "m1") < first_of(&endpoint, "m2"));
    // a subject that stands twice is none that anybody meant
    assert_eq!(about(&node, "a&subject=b", "m3", 20_000), 400);
    assert_eq!(about(&node, "", "m4", 20_000), 400);
}

#[test]
fn the_next_of_a_subject_waits_until_the_platform_knows_of_the_end_before() {
    let endpoint = FakeEndpoint::new(|request, _| {
        let busy = Reply::Respond("503 Busy", String::new());
        if request.header("x-request-id") == "m1" {
            busy
        } else {
            OK
        }
    });
    let agent = agent(&endpoint);
    agent.remaining_faults.store(usize::MAX, Ordering::SeqCst);
    let node = Node::new(&agent).ready();
    assert_eq!(about(&node, "a", "m1", 400), 202);
    assert_eq!(about(&node, "a", "m2", 20_000), 202);
    wait_until("the first has ended, and nobody knows", || {
        node.logged("notices answered 500")
    });
    assert_eq!(about(&node, "b", "other", 20_000), 202);
    wait_until("another subject goes on", || {
        endpoint.attempt_count("other") == 1
    });
    assert_eq!(
        endpoint.attempt_count("m2"),
        0,
        "the end of the one before is not known"
    );
    // nor does a new process forget it
    let node = node.restart().ready();
    wait_until("the notice is owed again", || {
        node.logged("notices answered 500")
    });
    assert_eq!(about(&node, "b", "another", 20_000), 202);
    wait_until("another subject goes on", || {
        endpoint.attempt_count("another") == 1
    });
    assert_eq!(
        endpoint.attempt_count("m2"),
        0,
        "the end of the one before is still not known"
    );
    agent.remaining_faults.store(0, Ordering::SeqCst);
    wait_until("the second goes once the notice is in", || {
        endpoint.attempt_count("m2") >= 1
    });
    assert!(agent.notifications().iter().any(|line| line.contains("m1")));
}
