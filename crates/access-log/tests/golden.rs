//! Access records compared with logs of earlier builds: each record is read with all its values, and written again as
//! exactly the same text. Guards against a rename in the code that changes the format.

use milletturn_access_log::{
    AbandonReason, AccessEvent, AccessLogObserver, AccessLogSummary, AccessRecord, AttemptOutcome,
};
use milletturn_engine::observer::NoopObserver;
use milletturn_engine::{
    ArrivalOutcome, Attribution, CloseReason, ConnectionUse, EndCause, EndReason, Ending,
    EngineEvent, Observer, SharedStr, UnsolicitedData,
};
use milletturn_policy::Outcome;
use std::time::Duration;

const STORED_LOG: &str = include_str!("golden/lines.log");
/// The log that the current code writes for `emit_events`, with ids, connections and close reasons.
const LOG_WITH_IDS: &str = include_str!("golden/lines_with_ids.log");

fn json_objects(text: &str) -> Vec<&str> {
    text.lines()
        .filter_map(|line| line.split_once("trace ").map(|(_, object)| object))
        .collect()
}

fn ended(
    attempt: usize,
    cause: &str,
    retry_after_us: Option<u64>,
    outcome: AttemptOutcome,
    report: &[f64],
) -> AccessEvent {
    AccessEvent::AttemptEnded {
        id: "m-1".to_string(),
        attempt,
        uid: "s-1".to_string(),
        call: 40 + attempt as u64,
        cause: cause.to_string(),
        retry_after_us,
        destination: 7,
        outcome,
        report: report.to_vec(),
        connection: None,
        call_on_connection: None,
        response_after_us: None,
        attributed_by: None,
    }
}

fn expected_attempts() -> Vec<AccessEvent> {
    vec![
        AccessEvent::AttemptStarted {
            id: "m-1".to_string(),
            destination: 7,
            attempt: 0,
        },
        AccessEvent::AttemptStarted {
            id: "m-1".to_string(),
            destination: 7,
            attempt: 1,
        },
        ended(
            0,
            "answer 200",
            None,
            AttemptOutcome::Success,
            &[0.25, 46.0],
        ),
        ended(
            1,
            "answer 503",
            Some(1_500_000),
            AttemptOutcome::Rejected,
            &[0.0],
        ),
        ended(2, "answer 429", None, AttemptOutcome::Rejected, &[]),
        ended(3, "no connection", None, AttemptOutcome::Failed, &[]),
        ended(4, "not written", None, AttemptOutcome::NotSent, &[]),
        ended(5, "no head", None, AttemptOutcome::Failed, &[]),
        ended(6, "no body behind 200", None, AttemptOutcome::Failed, &[]),
        ended(7, "expired", None, AttemptOutcome::Failed, &[]),
        ended(8, "called off", None, AttemptOutcome::NotSent, &[]),
        ended(9, "withheld", None, AttemptOutcome::NotSent, &[]),
        ended(10, "another process", None, AttemptOutcome::Failed, &[]),
    ]
}

fn expected() -> Vec<AccessEvent> {
    let abandoned = |reason, never_attempted| AccessEvent::Abandoned {
        id: String::new(),
        destination: 7,
        age_us: 20_000_000,
        reason,
        never_attempted,
    };
    let arrivals = vec![
        AccessEvent::Accepted {
            id: String::new(),
            class: String::new(),
            destination: 7,
        },
        AccessEvent::Rejected {
            id: String::new(),
            destination: 9,
        },
    ];
    let endings = vec![
        AccessEvent::Delivered {
            id: String::new(),
            destination: 7,
            age_us: 2_500_000,
        },
        abandoned(AbandonReason::DeadlineExceeded, true),
        abandoned(AbandonReason::Rejected, false),
        abandoned(AbandonReason::AttemptsExhausted, false),
        abandoned(AbandonReason::NotRetryable, false),
        abandoned(AbandonReason::Unknown, false),
        AccessEvent::RetryAfter {
            uid: "s-1".to_string(),
            delay_us: 1_500_000,
        },
        AccessEvent::PolicyLog {
            text: "destination 7 sick: shut".to_string(),
        },
        AccessEvent::PolicyLog {
            text: "destination 7 returns".to_string(),
        },
    ];
    [arrivals, expected_attempts(), endings].concat()
}

#[test]
fn each_stored_record_is_read_with_every_value_and_written_as_it_was() {
    let records: Vec<AccessRecord> = STORED_LOG
        .lines()
        .map(|line| AccessRecord::parse(line).expect("a record"))
        .collect();
    let events: Vec<AccessEvent> = records.iter().map(|record| record.event.clone()).collect();
    assert_eq!(events, expected());
    for (number, (record, object)) in records.iter().zip(json_objects(STORED_LOG)).enumerate() {
        let at_us = 1_764_000_000_000_000 + 250_000 * number as u64;
        assert_eq!(record.at_us, at_us);
        assert_eq!(serde_json::to_string(record).expect("JSON"), object);
    }
}

#[test]
fn records_with_ids_and_connections_are_read_and_written_as_they_were() {
    for object in json_objects(LOG_WITH_IDS) {
        let record = AccessRecord::parse(&format!("trace {object}")).expect("a record");
        assert_eq!(serde_json::to_string(&record).expect("JSON"), object);
    }
}

#[test]
fn records_of_older_senders_are_read_with_what_they_have() {
    let read = |object: &str| {
        AccessRecord::parse(&format!("trace {object}"))
            .expect("a line")
            .event
    };
    assert_eq!(
        read(r#"{"at":1,"what":"ended","to":4,"how":"refused","report":[]}"#),
        AccessEvent::AttemptEnded {
            id: String::new(),
            attempt: 0,
            uid: String::new(),
            call: 0,
            cause: String::new(),
            retry_after_us: None,
            destination: 4,
            outcome: AttemptOutcome::Rejected,
            report: Vec::new(),
            connection: None,
            call_on_connection: None,
            response_after_us: None,
            attributed_by: None,
        }
    );
    assert_eq!(
        read(r#"{"at":1,"what":"given_up","to":4,"age":5}"#),
        AccessEvent::Abandoned {
            id: String::new(),
            destination: 4,
            age_us: 5,
            reason: AbandonReason::Unknown,
            never_attempted: false
        }
    );
    assert_eq!(
        read(r#"{"at":1,"what":"sent","to":4,"attempt":2}"#),
        AccessEvent::AttemptStarted {
            id: String::new(),
            destination: 4,
            attempt: 2
        }
    );
}

#[test]
fn the_summary_over_the_stored_records_has_the_same_keys() {
    let mut summary = AccessLogSummary::new(2_000_000);
    STORED_LOG
        .lines()
        .filter_map(AccessRecord::parse)
        .for_each(|record| summary.add(&record));
    let rows = summary.rows().map(|row| {
        format!(
            "{} {} {} {}\n",
            row.destination,
            row.from_s,
            row.in_flight,
            serde_json::to_string(row.totals).expect("JSON")
        )
    });
    let text: String = rows.collect();
    assert_eq!(text, include_str!("golden/rows.txt"));
}

const EMIT: &str = "MILLETTURN_TEST_EMITS_RECORDS";

fn emit_attempts(observe: &mut impl FnMut(&EngineEvent<'_>)) {
    let id = SharedStr::new(b"m-1").expect("an id");
    let connection_use = |connection, call_on_connection, response_after| ConnectionUse {
        connection,
        call_on_connection,
        response_after,
        attributed_by: None,
    };
    let connection_uses = [
        connection_use(3, 2, Some(Duration::from_millis(80))),
        connection_use(4, 1, None),
    ];
    for attempt in 0..2 {
        observe(&EngineEvent::AttemptStarted {
            id: &id,
            destination: 7,
            uid: "s-1",
            attempt,
            at: 0,
        });
    }
    let rejected = |wait| Outcome::Rejected { retry_after: wait };
    for (attempt, (cause, outcome, report)) in [
        (EndCause::Response(200), Outcome::Success, &[0.25, 46.0][..]),
        (
            EndCause::Response(503),
            rejected(Some(1_500_000)),
            &[0.0][..],
        ),
        (EndCause::Response(429), rejected(None), &[][..]),
        (EndCause::NoConnection, Outcome::NoConnection, &[][..]),
        (
            EndCause::RequestIncomplete,
            Outcome::Unsent { no_slot: false },
            &[][..],
        ),
        (EndCause::NoResponseHead, Outcome::Reset, &[][..]),
        (EndCause::ResponseIncomplete(200), Outcome::Reset, &[][..]),
        (EndCause::TimedOut, Outcome::TimedOut, &[][..]),
        (EndCause::Cancelled, Outcome::Cancelled, &[][..]),
        (EndCause::NotStarted, Outcome::Cancelled, &[][..]),
        (EndCause::ForeignProcess, Outcome::Error, &[][..]),
    ]
    .into_iter()
    .enumerate()
    {
        observe(&EngineEvent::AttemptEnded {
            id: &id,
            uid: "s-1",
            attempt,
            call: 40 + attempt as u64,
            cause,
            destination: 7,
            outcome,
            latency: 0,
            report,
            connection_use: connection_uses.get(attempt).copied(),
        });
    }
}

fn emit_endings(observe: &mut impl FnMut(&EngineEvent<'_>)) {
    observe(&EngineEvent::Delivered {
        id: "m-1",
        class: 0,
        destination: 7,
        age: 2_500_000,
    });
    for (reason, never_attempted) in [
        (EndReason::DeadlineExceeded, true),
        (EndReason::Rejected, false),
        (EndReason::AttemptsExhausted, false),
        (EndReason::NotRetryable, false),
        (EndReason::Unknown, false),
    ] {
        let ending = Ending::Failed;
        observe(&EngineEvent::Abandoned {
            id: "m-1",
            class: 0,
            destination: 7,
            ending,
            reason,
            never_attempted,
            age: 20_000_000,
        });
    }
    observe(&EngineEvent::RetryAfter {
        uid: "s-1",
        retry_after: 1_500_000,
    });
    observe(&EngineEvent::PolicyLog("destination 7 sick: shut"));
    observe(&EngineEvent::PolicyLog("destination 7 returns"));
    observe(&EngineEvent::Classes(&[]));
}

/// An attempt whose response came on the first call of its connection, and the close of this connection after it had
/// received a second response that belongs to no call.
fn emit_attributed(observe: &mut impl FnMut(&EngineEvent<'_>)) {
    observe(&EngineEvent::AttemptEnded {
        id: &SharedStr::new(b"m-3").expect("an id"),
        uid: "s-1",
        attempt: 0,
        call: 51,
        cause: EndCause::Response(200),
        destination: 7,
        outcome: Outcome::Success,
        latency: 0,
        report: &[],
        connection_use: Some(ConnectionUse {
            connection: 7,
            call_on_connection: 1,
            response_after: Some(Duration::from_millis(20)),
            attributed_by: Some(Attribution::FirstCall),
        }),
    });
    observe(&EngineEvent::ConnectionClosed {
        uid: "s-1",
        connection: 7,
        calls: 1,
        reason: CloseReason::UnsolicitedData,
        unsolicited: Some(UnsolicitedData {
            status: Some(503),
            after_request: Duration::from_millis(90),
        }),
    });
}

fn emit_events(mut observe: impl FnMut(&EngineEvent<'_>)) {
    observe(&EngineEvent::Accepted {
        id: "m-1",
        class: 0,
        destination: 7,
        at: 0,
    });
    observe(&EngineEvent::Rejected {
        id: "m-2",
        class: 0,
        destination: 9,
        at: 0,
        outcome: ArrivalOutcome::NoCapacity,
    });
    emit_attempts(&mut observe);
    emit_endings(&mut observe);
    for (connection, reason) in [
        (3, CloseReason::CallFailed),
        (4, CloseReason::Evicted),
        (5, CloseReason::ClosedByPeer),
        (6, CloseReason::UnsolicitedData),
    ] {
        observe(&EngineEvent::ConnectionClosed {
            uid: "s-1",
            connection,
            calls: 2,
            reason,
            unsolicited: None,
        });
    }
    emit_attributed(&mut observe);
}

/// The log is written to standard error, so the events are emitted in a child process, which runs this same test with
/// the environment variable `EMIT` set.
#[test]
fn each_event_is_logged_as_the_stored_record() {
    if std::env::var_os(EMIT).is_some() {
        let mut observer = AccessLogObserver::new(Box::new(NoopObserver));
        emit_events(|event| observer.observe(event));
        return;
    }
    let output = std::process::Command::new(std::env::current_exe().expect("this test"))
        .args([
            "--exact",
            "--nocapture",
            "each_event_is_logged_as_the_stored_record",
        ])
        .env(EMIT, "1")
        .output()
        .expect("the child process runs");
    let text = String::from_utf8(output.stderr).expect("text");
    let without_time = |object: &str| -> String {
        let (head, remainder) = object.split_once(',').expect("a time, and more");
        assert!(head.starts_with(r#"{"at":"#), "{object}");
        remainder.to_string()
    };
    let logged: Vec<String> = json_objects(&text).into_iter().map(without_time).collect();
    let stored: Vec<String> = json_objects(LOG_WITH_IDS)
        .into_iter()
        .map(without_time)
        .collect();
    assert_eq!(logged, stored);
}
