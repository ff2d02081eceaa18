//! What the end of a call means for each of its messages.

use crate::call_codec::{ends_of, report_of, wait_of};
use hyper::StatusCode;
use hyper::http::response::Parts;
use milletturn_engine::{Call, EndCause};
use milletturn_logging::RateLimitedLog;
use milletturn_policy::Outcome;

/// The outcome of a message, and whether it needs no further attempt.
pub(crate) type End = (Outcome, bool);

/// What came of the whole call.
pub(crate) struct Answer {
    pub(crate) ends: Ends,
    /// The load report, in the order of the settings, or empty.
    pub(crate) report: Vec<f64>,
    /// The response may be a copy of an earlier one: whatever the outcome, the call may have run.
    pub(crate) ambiguous: bool,
    pub(crate) cause: EndCause,
}

pub(crate) enum Ends {
    All(End),
    /// By position in the call.
    Each(Vec<End>),
}

impl Answer {
    /// All messages fare alike, and nothing else is known.
    pub(crate) fn all(outcome: Outcome, cause: EndCause) -> Self {
        Answer {
            ends: Ends::All((outcome, outcome == Outcome::Success)),
            report: Vec::new(),
            ambiguous: false,
            cause,
        }
    }

    /// The meaning of a complete response, by the table of the protocol page.
    pub(crate) fn of_response(
        call: &Call,
        head: &Parts,
        body: &[u8],
        report_fields: &[String],
        faults: &RateLimitedLog,
    ) -> Self {
        let wait = wait_of(&head.headers);
        let ends = match head.status {
            StatusCode::OK if call.items.len() == 1 => Ends::All((Outcome::Success, true)),
            StatusCode::OK => Ends::Each(ends_of(body, &call.items, wait)),
            _ => Ends::All(end_of_status(call, head, faults)),
        };
        Answer {
            ends,
            report: report_of(&head.headers, report_fields),
            ambiguous: false,
            cause: EndCause::Response(head.status.as_u16()),
        }
    }

    /// The end of the message at a position; one that the response does not name may have run.
    pub(crate) fn end_at(&self, position: usize) -> End {
        match &self.ends {
            Ends::All(end) => *end,
            Ends::Each(ends) => ends
                .get(position)
                .copied()
                .unwrap_or((Outcome::Error, false)),
        }
    }

    /// Whether every message was delivered.
    pub(crate) fn is_all_delivered(&self) -> bool {
        let is_delivered = |end: &End| end.0 == Outcome::Success;
        match &self.ends {
            Ends::All(end) => is_delivered(end),
            Ends::Each(ends) => ends.iter().all(is_delivered),
        }
    }
}

/// What a status other than 200 means for all messages of a call.
fn end_of_status(call: &Call, head: &Parts, faults: &RateLimitedLog) -> End {
    let wait = wait_of(&head.headers);
    let unsent = Outcome::Unsent { no_slot: false };
    let address = call.address;
    match head.status {
        StatusCode::TOO_MANY_REQUESTS => (Outcome::Rejected { retry_after: wait }, false),
        StatusCode::SERVICE_UNAVAILABLE => {
            let slots_taken = head.headers.get("slots-taken");
            match slots_taken.is_some_and(|value| value == "1") {
                true => (Outcome::Unsent { no_slot: true }, false),
                false => (Outcome::Rejected { retry_after: wait }, false),
            }
        }
        StatusCode::GATEWAY_TIMEOUT => (unsent, false),
        StatusCode::GONE => (unsent, true),
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE if call.items.len() > 1 => {
            faults.log(format_args!(
                "calls: {address} answered a bulk call with {}",
                head.status
            ));
            (unsent, false)
        }
        status => {
            if status != StatusCode::INTERNAL_SERVER_ERROR {
                faults.log(format_args!("calls: {address} answered {status}"));
            }
            (Outcome::Error, false)
        }
    }
}
