//! The JSON events that `milletturn fleet hold` prints and the calls that its member sends, compared with a golden file.

use crate::PROGRAM;
use crate::fake_coordinator::{FakeCoordinator, NO_LEADER};
use crate::golden::{assert_matches_golden, masked};
use milletturn_cluster_harness::Process;
use milletturn_cluster_harness::process::wait_until;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

/// A response with status 200.
fn ok(text: impl Into<String>) -> Option<(u16, String)> {
    Some((200, text.into()))
}

/// Answers a member's calls so that the member reports every kind of event; `stage` counts the steps of the scenario.
fn scenario(stage: &Mutex<u32>, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stage = stage.lock().expect("not poisoned");
    match path {
        "/v1/open" => open(&mut stage),
        "/v1/order" if body.starts_with("{\"claim\"") => claim(*stage),
        "/v1/order" => command(&mut stage, body),
        "/v1/renew" => heartbeat(&mut stage),
        _ => Some((404, NO_LEADER.to_string())),
    }
}

fn open(stage: &mut u32) -> Option<(u16, String)> {
    match *stage {
        0 => {
            *stage = 1;
            ok(r#"{"refused":{"name_taken":{"name":"by-hand","session":3}}}"#)
        }
        1 => ok(r#"{"opened":{"session":7,"lease":3000000}}"#),
        _ => ok(r#"{"opened":{"session":8,"lease":3000000}}"#),
    }
}

fn claim(stage: u32) -> Option<(u16, String)> {
    let (term, acts) = match stage {
        1 => (3, 5),
        2 => (3, 7),
        3 | 4 => (3, 8),
        5 | 6 => (4, 0),
        7..=10 => (5, 0),
        _ => (6, 0),
    };
    ok(format!(
        r#"{{"owned":{{"term":{term},"acts":{acts},"cursor":"row 12"}}}}"#
    ))
}

fn command(stage: &mut u32, body: &str) -> Option<(u16, String)> {
    let is_write = |term: u64, number: u64| {
        body.starts_with("{\"act\"")
            && body.contains(&format!("\"term\":{term},\"number\":{number},"))
    };
    match *stage {
        1 if is_write(3, 8) => {
            *stage = 2;
            ok(r#"{"refused":{"out_of_order":{"work":"list","term":3,"number":8,"last":7}}}"#)
        }
        // no response: the member sends the write again on another connection before the write's deadline
        2 | 3 if is_write(3, 9) => {
            *stage += 1;
            None
        }
        4 if is_write(3, 9) => {
            *stage = 5;
            ok("\"done\"")
        }
        6 if is_write(4, 1) => {
            *stage = 7;
            ok(r#"{"refused":{"fenced":{"work":"list","term":4,"now":5}}}"#)
        }
        _ => ok("\"done\""),
    }
}

fn heartbeat(stage: &mut u32) -> Option<(u16, String)> {
    let owned = |owned: &str| ok(format!(r#"{{"Ok":{{"owns":[{owned}]}}}}"#));
    match *stage {
        5 => {
            *stage = 6;
            owned("")
        }
        6 => owned(r#"["list",4]"#),
        // no responses until the lease expires by the member's own clock
        7 | 8 => {
            *stage += 1;
            None
        }
        9 => {
            *stage = 10;
            owned(r#"["list",5]"#)
        }
        10 => {
            *stage = 11;
            ok(r#"{"Err":{"no_session":{"session":7}}}"#)
        }
        11 => owned(r#"["list",6]"#),
        _ => owned(r#"["list",3],["other",9]"#),
    }
}

/// Whether a printed event or a recorded request is compared with the golden file. Of the writes, only the first one of
/// each term is compared, since the number of writes differs from run to run.
fn is_compared(record: &str) -> bool {
    let is_about_write = ["\"acting\":", "\"acted\":", "\"act\":"]
        .iter()
        .any(|mark| record.contains(mark));
    let first_of_initial_term = ["\"acting\":6,", "\"acted\":6,\"term\":3", "\"number\":6,"];
    let first_of_later_term = ["\"acting\":1,", "\"acted\":1,", "\"number\":1,"];
    let is_of_term = |term: u64| {
        record.contains(&format!("\"under\":{term}}}"))
            || record.contains(&format!("\"term\":{term}"))
    };
    let contains_any = |marks: &[&str]| marks.iter().any(|mark| record.contains(mark));
    !is_about_write
        || (contains_any(&first_of_initial_term) && is_of_term(3))
        || (contains_any(&first_of_later_term) && !is_of_term(3))
}

#[test]
fn events_and_calls_of_fleet_hold_match_the_golden_file() {
    let stage = Mutex::new(0);
    let coordinator =
        FakeCoordinator::start(Arc::new(move |path, body| scenario(&stage, path, body)));
    let address = coordinator.address.to_string();
    let arguments = [
        "fleet",
        "hold",
        "list",
        "--name",
        "by-hand",
        "--every",
        "100",
        "--format",
        "json",
        "--group",
        "north",
        "--steward",
        &address,
    ];
    let process = Process::start(&PROGRAM.into(), "hold", &arguments.map(String::from));
    process.wait_for_lines(1, |event| event.contains("{\"acted\":1,\"term\":6}"));
    process.terminate();
    let requests = || coordinator.requests.lock().expect("not poisoned").clone();
    wait_until("the member closes its session", || {
        requests()
            .iter()
            .any(|request| request.contains("\"close\""))
    });
    let mask = |text: &String| {
        masked(
            &coordinator.mask(text),
            &["within ", "\"at_us\":", "\"last_safe_us\":", "\"nonce\":"],
        )
    };
    let printed: BTreeSet<String> = process
        .lines()
        .iter()
        .filter(|event| is_compared(event))
        .map(mask)
        .collect();
    let requests: BTreeSet<String> = requests()
        .iter()
        .filter(|request| is_compared(request))
        .map(mask)
        .collect();
    let text = |records: BTreeSet<String>| records.into_iter().collect::<Vec<_>>().join("\n");
    assert_matches_golden(
        "hold.txt",
        &format!("{}\n----\n{}\n", text(printed), text(requests)),
    );
}
