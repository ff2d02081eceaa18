//! The observer that writes the access records of one sender to its log.

use crate::record::{AbandonReason, AccessEvent, AccessRecord, AttemptOutcome, RECORD_PREFIX};
use milletturn_engine::{Attribution, CloseReason, EndCause, EndReason, EngineEvent, Observer};
use milletturn_policy::Outcome;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// An observer that logs the engine's events as access records, and passes each event on to the next observer.
pub struct AccessLogObserver {
    /// The names of the classes by position.
    class_names: Vec<String>,
    next: Box<dyn Observer>,
}

impl AccessLogObserver {
    /// Creates an observer that passes each event on to `next`.
    #[must_use]
    pub fn new(next: Box<dyn Observer>) -> Self {
        Self {
            class_names: Vec::new(),
            next,
        }
    }
}

impl Observer for AccessLogObserver {
    fn observe(&mut self, event: &EngineEvent<'_>) {
        if let EngineEvent::Classes(names) = event {
            self.class_names = names.to_vec();
        }
        if let Some(access_event) = access_event(event, &self.class_names) {
            let since_epoch = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let record = AccessRecord {
                at_us: u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX),
                event: access_event,
            };
            if let Ok(text) = serde_json::to_string(&record) {
                milletturn_logging::log(format_args!("{RECORD_PREFIX}{text}"));
            }
        }
        self.next.observe(event);
    }
}

/// Converts an engine event into an access event. `None` for events that are not logged.
fn access_event(event: &EngineEvent<'_>, class_names: &[String]) -> Option<AccessEvent> {
    Some(match *event {
        EngineEvent::Accepted {
            id,
            class,
            destination,
            ..
        } => AccessEvent::Accepted {
            id: id.to_string(),
            class: class_names.get(class).cloned().unwrap_or_default(),
            destination,
        },
        EngineEvent::Rejected {
            id, destination, ..
        } => AccessEvent::Rejected {
            id: id.to_string(),
            destination,
        },
        EngineEvent::AttemptStarted { .. }
        | EngineEvent::AttemptEnded { .. }
        | EngineEvent::ConnectionClosed { .. } => {
            return transport_event(event);
        }
        EngineEvent::Delivered {
            id,
            destination,
            age,
            ..
        } => AccessEvent::Delivered {
            id: id.to_string(),
            destination,
            age_us: non_negative(age),
        },
        EngineEvent::Abandoned {
            id,
            destination,
            age,
            reason,
            never_attempted,
            ..
        } => AccessEvent::Abandoned {
            id: id.to_string(),
            destination,
            age_us: non_negative(age),
            reason: abandon_reason(reason),
            never_attempted,
        },
        EngineEvent::RetryAfter { uid, retry_after } => AccessEvent::RetryAfter {
            uid: uid.to_string(),
            delay_us: non_negative(retry_after),
        },
        EngineEvent::PolicyLog(text) => AccessEvent::PolicyLog {
            text: text.to_string(),
        },
        EngineEvent::Classes(_) | EngineEvent::JournalFailed(_) => return None,
    })
}

/// Converts an engine event about an attempt or a connection. `None` for other events.
fn transport_event(event: &EngineEvent<'_>) -> Option<AccessEvent> {
    Some(match *event {
        EngineEvent::ConnectionClosed {
            uid,
            connection,
            calls,
            reason,
            unsolicited,
        } => AccessEvent::ConnectionClosed {
            uid: uid.to_string(),
            connection,
            calls,
            reason: close_text(reason).to_string(),
            unsolicited_status: unsolicited.and_then(|data| data.status),
            unsolicited_after_us: unsolicited.and_then(|data| microseconds(data.after_request)),
        },
        EngineEvent::AttemptStarted {
            id,
            destination,
            attempt,
            ..
        } => AccessEvent::AttemptStarted {
            id: id.to_string(),
            destination,
            attempt,
        },
        EngineEvent::AttemptEnded {
            id,
            attempt,
            uid,
            call,
            cause,
            destination,
            outcome,
            report,
            connection_use,
            ..
        } => AccessEvent::AttemptEnded {
            id: id.to_string(),
            attempt,
            uid: uid.to_string(),
            call,
            cause: cause_text(cause),
            retry_after_us: retry_after_us(&outcome).map(non_negative),
            destination,
            outcome: attempt_outcome(&outcome),
            report: report.to_vec(),
            connection: connection_use.map(|at| at.connection),
            call_on_connection: connection_use.map(|at| at.call_on_connection),
            response_after_us: connection_use
                .and_then(|at| at.response_after)
                .and_then(microseconds),
            attributed_by: connection_use
                .and_then(|at| at.attributed_by)
                .map(|attribution| attribution_text(attribution).to_string()),
        },
        _ => return None,
    })
}

fn microseconds(duration: Duration) -> Option<u64> {
    u64::try_from(duration.as_micros()).ok()
}

fn non_negative(microseconds: i64) -> u64 {
    u64::try_from(microseconds).unwrap_or(0)
}

fn attempt_outcome(outcome: &Outcome) -> AttemptOutcome {
    match outcome {
        Outcome::Success => AttemptOutcome::Success,
        Outcome::Rejected { .. } => AttemptOutcome::Rejected,
        Outcome::Cancelled | Outcome::Unsent { .. } => AttemptOutcome::NotSent,
        _ => AttemptOutcome::Failed,
    }
}

fn retry_after_us(outcome: &Outcome) -> Option<i64> {
    match outcome {
        Outcome::Rejected { retry_after } => *retry_after,
        _ => None,
    }
}

fn abandon_reason(reason: EndReason) -> AbandonReason {
    match reason {
        EndReason::DeadlineExceeded => AbandonReason::DeadlineExceeded,
        EndReason::Rejected => AbandonReason::Rejected,
        EndReason::AttemptsExhausted => AbandonReason::AttemptsExhausted,
        EndReason::NotRetryable => AbandonReason::NotRetryable,
        EndReason::Delivered | EndReason::Unknown => AbandonReason::Unknown,
    }
}

/// The text of a cause in the log. Programs that read logs depend on these texts, so they must not change.
fn cause_text(cause: EndCause) -> String {
    match cause {
        EndCause::Response(status) => format!("answer {status}"),
        EndCause::NoConnection => "no connection".into(),
        EndCause::RequestIncomplete => "not written".into(),
        EndCause::NoResponseHead => "no head".into(),
        EndCause::ResponseIncomplete(status) => format!("no body behind {status}"),
        EndCause::DuplicateResponse(status) => format!("perhaps a copy of a {status}"),
        EndCause::TimedOut => "expired".into(),
        EndCause::Cancelled => "called off".into(),
        EndCause::NotStarted => "withheld".into(),
        EndCause::ForeignProcess => "another process".into(),
    }
}

/// The text of a close reason in the log. Programs that read logs depend on these texts, so they must not change.
fn close_text(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::CallFailed => "call failed",
        CloseReason::Evicted => "evicted",
        CloseReason::ClosedByPeer => "closed by peer",
        CloseReason::UnsolicitedData => "unsolicited data",
        CloseReason::NotReusable => "not reusable",
    }
}

/// The text of an attribution in the log. Programs that read logs depend on these texts, so they must not change.
fn attribution_text(attribution: Attribution) -> &'static str {
    match attribution {
        Attribution::FirstCall => "first call",
        Attribution::NamesMessages => "names messages",
        Attribution::LastCall => "last call",
    }
}
