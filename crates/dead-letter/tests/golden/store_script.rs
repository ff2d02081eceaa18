//! The steps that wrote the golden store, which has every state, ending, reason, outcome and kind of audit entry.

use super::{NOW, default_limits, open_service};
use bytes::Bytes;
use milletturn_dead_letter::redrive_service::{RedriveService, Resolution, SaveReport};
use milletturn_dead_letter::store::StoreLimits;
use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_engine::{AttemptRecord, EndReason, Ending, RedriveOutcome, SharedStr};
use milletturn_policy::{MILLISECOND, Micros, Outcome, SECOND};
use std::collections::BTreeSet;
use std::path::Path;

/// The time this many milliseconds after [`NOW`].
fn at(millis: Micros) -> Micros {
    NOW + millis * MILLISECOND
}

fn attempt(uid: &str, sent_at: Micros, outcome: Option<Outcome>) -> AttemptRecord {
    AttemptRecord {
        uid: uid.into(),
        sent_at,
        outcome,
        latency: outcome.map(|_| 1500),
        may_have_run: outcome.is_none_or(|outcome| !outcome.never_ran()),
    }
}

fn message(
    number: u64,
    class: &str,
    reason: EndReason,
    attempts: Vec<AttemptRecord>,
) -> EndedMessage {
    let shared = |text: String| SharedStr::new(text.as_bytes()).expect("a short text");
    EndedMessage {
        number,
        id: shared(format!("m-{number}")),
        key: Some(shared(format!("key-{number}"))),
        class: class.into(),
        effect: None,
        destination: number % 3,
        body: Bytes::from(format!("body of {number}\n")),
        accepted_at: NOW + number as Micros,
        deadline: NOW + 20 * SECOND,
        ended_at: NOW + SECOND + number as Micros,
        ending: Ending::Failed,
        reason,
        attempts,
        redriven: false,
    }
}

/// A list of one attempt that failed to connect, so the destination can't have processed it.
fn never_ran(uid: &str) -> Vec<AttemptRecord> {
    vec![attempt(uid, at(1), Some(Outcome::NoConnection))]
}

/// One attempt for each outcome other than `Success` and `Unsent`, and one without an outcome.
fn every_outcome() -> Vec<AttemptRecord> {
    let outcomes = [
        Some(Outcome::Error),
        Some(Outcome::Rejected { retry_after: None }),
        Some(Outcome::TimedOut),
        Some(Outcome::NoConnection),
        Some(Outcome::Reset),
        Some(Outcome::Cancelled),
        None,
    ];
    outcomes
        .into_iter()
        .zip(1..)
        .map(|(outcome, number)| attempt(&format!("s-{number}"), at(number), outcome))
        .collect()
}

/// Messages 1 to 14, as the engine first offers them to the store.
fn messages() -> Vec<EndedMessage> {
    use EndReason::{AttemptsExhausted, DeadlineExceeded, NotRetryable, Rejected, Unknown};
    let uncertain = vec![attempt("s-1", at(40), Some(Outcome::Reset))];
    let succeeded_late = vec![
        attempt("s-1", at(1), None),
        attempt("s-2", at(2), Some(Outcome::Success)),
    ];
    vec![
        message(1, "licence", NotRetryable, every_outcome()),
        EndedMessage {
            key: None,
            ending: Ending::Returned {
                after_ms: Some(250),
            },
            ..message(2, "order", Rejected, Vec::new())
        },
        message(3, "licence", DeadlineExceeded, never_ran("s-1")),
        message(4, "licence", AttemptsExhausted, never_ran("s-2")),
        EndedMessage {
            body: Bytes::from(vec![0, 255, 10, 13]),
            ..message(5, "licence", DeadlineExceeded, never_ran("s-3"))
        },
        message(6, "order", NotRetryable, succeeded_late),
        EndedMessage {
            body: Bytes::from(vec![b'x'; 20_000]),
            ..message(7, "order", NotRetryable, uncertain.clone())
        },
        message(8, "order", NotRetryable, uncertain.clone()),
        message(9, "webhook", AttemptsExhausted, uncertain.clone()),
        EndedMessage {
            destination: u64::MAX - 1,
            ..message(10, "gone", Unknown, Vec::new())
        },
        EndedMessage {
            redriven: true,
            ..message(11, "licence", DeadlineExceeded, never_ran("s-4"))
        },
        message(12, "licence", DeadlineExceeded, uncertain),
        message(13, "licence", DeadlineExceeded, never_ran("s-5")),
        message(14, "licence", DeadlineExceeded, never_ran("s-6")),
    ]
}

fn saved_report(saved: impl IntoIterator<Item = u64>) -> SaveReport {
    SaveReport {
        saved: saved.into_iter().collect(),
        unsaved: 0,
    }
}

fn redrive(service: &mut RedriveService, number: u64, outcome: Option<RedriveOutcome>) {
    let order = service
        .request_redrive(number, "rule-1", "by rule", at(2000))
        .expect("the redrive is allowed");
    assert_eq!(order.number, number);
    if let Some(outcome) = outcome {
        service
            .on_redrive_outcome(number, outcome, at(2001))
            .expect("written");
    }
}

/// Saves the end of a redrive that delivered message 5.
fn deliver_redriven(service: &mut RedriveService, message: &EndedMessage) {
    let delivered = EndedMessage {
        accepted_at: at(2002),
        ended_at: at(2500),
        ending: Ending::Delivered,
        reason: EndReason::Delivered,
        attempts: vec![attempt("s-3", at(2003), Some(Outcome::Success))],
        redriven: true,
        ..message.clone()
    };
    assert_eq!(
        service.save(&[delivered], at(2501)).expect("written"),
        saved_report([5])
    );
}

/// Writes the complete golden store.
pub(super) fn write_store(path: &Path) {
    let mut service = open_service(path, default_limits());
    let messages = messages();
    assert_eq!(
        service.save(&messages, at(1000)).expect("written"),
        saved_report(1..=14)
    );
    // messages 13 and 14 lose their redrives in a restart: 13's was accepted, 14's only requested, and the journal has
    // neither
    redrive(&mut service, 13, Some(RedriveOutcome::Accepted));
    redrive(&mut service, 14, None);
    service
        .recover(&BTreeSet::new(), true, at(3000))
        .expect("an intact store");
    redrive(&mut service, 3, None);
    redrive(&mut service, 4, Some(RedriveOutcome::Accepted));
    redrive(&mut service, 5, Some(RedriveOutcome::Accepted));
    redrive(&mut service, 9, Some(RedriveOutcome::Busy));
    deliver_redriven(&mut service, &messages[4]);
    let resolved = service.resolve(7, Resolution::Done, "ann", "paid by hand", at(3500));
    assert!(resolved.is_ok());
    let confirmed = service.resolve(8, Resolution::DidNotRun, "ben", "asked them", at(3600));
    assert!(confirmed.is_ok());
    drop(service);
    // a smaller limit forces the store to drop the bodies of resolved messages
    let small = StoreLimits {
        max_bytes: 55_000,
        ..default_limits()
    };
    let mut service = open_service(path, small);
    let last = message(15, "webhook", EndReason::DeadlineExceeded, Vec::new());
    assert_eq!(
        service.save(&[last], at(4000)).expect("written"),
        saved_report([15])
    );
    let resolved = service.resolve(14, Resolution::Done, "ann", "", at(4100));
    assert!(resolved.is_ok());
}
