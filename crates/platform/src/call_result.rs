//! Maps the end of a call to a result for each of its messages.

use crate::call_codec::{max_retry_after, parse_load_report, parse_message_results};
use hyper::StatusCode;
use hyper::http::response::Parts;
use milletturn_engine::{Call, EndCause};
use milletturn_logging::RateLimitedLog;
use milletturn_policy::Outcome;

/// The outcome of a message, and whether no further attempt is needed.
pub(crate) type MessageResult = (Outcome, bool);

/// The result of a call.
pub(crate) struct CallResult {
    pub(crate) messages: MessageResults,
    /// Values of the load report in the order of the configured fields; empty without a valid report.
    pub(crate) load_report: Vec<f64>,
    /// Whether the response may duplicate an earlier one: the call may then have run, whatever the outcome says.
    pub(crate) may_be_duplicate: bool,
    pub(crate) cause: EndCause,
}

pub(crate) enum MessageResults {
    /// All messages have the same result.
    All(MessageResult),
    /// The result of each message, by position in the call.
    Each(Vec<MessageResult>),
}

impl CallResult {
    /// The result of a call whose messages all have the same outcome, without a load report.
    pub(crate) fn uniform(outcome: Outcome, cause: EndCause) -> Self {
        CallResult {
            messages: MessageResults::All((outcome, outcome == Outcome::Success)),
            load_report: Vec::new(),
            may_be_duplicate: false,
            cause,
        }
    }

    /// Interprets a complete response by the table in the platform's protocol specification.
    pub(crate) fn from_response(
        call: &Call,
        head: &Parts,
        body: &[u8],
        report_fields: &[String],
        fault_log: &RateLimitedLog,
    ) -> Self {
        let retry_after = max_retry_after(&head.headers);
        let messages = match head.status {
            StatusCode::OK if call.items.len() == 1 => {
                MessageResults::All((Outcome::Success, true))
            }
            StatusCode::OK => {
                MessageResults::Each(parse_message_results(body, &call.items, retry_after))
            }
            _ => MessageResults::All(result_of_status(call, head, fault_log)),
        };
        CallResult {
            messages,
            load_report: parse_load_report(&head.headers, report_fields),
            may_be_duplicate: false,
            cause: EndCause::Response(head.status.as_u16()),
        }
    }

    /// The result of the message at a position. A message without a result may have run.
    pub(crate) fn message_result(&self, position: usize) -> MessageResult {
        match &self.messages {
            MessageResults::All(result) => *result,
            MessageResults::Each(messages) => messages
                .get(position)
                .copied()
                .unwrap_or((Outcome::Error, false)),
        }
    }

    pub(crate) fn is_all_delivered(&self) -> bool {
        let is_delivered = |result: &MessageResult| result.0 == Outcome::Success;
        match &self.messages {
            MessageResults::All(result) => is_delivered(result),
            MessageResults::Each(messages) => messages.iter().all(is_delivered),
        }
    }
}

/// The result of all messages of a call for a status other than 200.
fn result_of_status(call: &Call, head: &Parts, fault_log: &RateLimitedLog) -> MessageResult {
    let retry_after = max_retry_after(&head.headers);
    let unsent = Outcome::Unsent { no_slot: false };
    let address = call.address;
    match head.status {
        StatusCode::TOO_MANY_REQUESTS => (Outcome::Rejected { retry_after }, false),
        StatusCode::SERVICE_UNAVAILABLE => {
            let slots_taken = head.headers.get("slots-taken");
            match slots_taken.is_some_and(|value| value == "1") {
                true => (Outcome::Unsent { no_slot: true }, false),
                false => (Outcome::Rejected { retry_after }, false),
            }
        }
        StatusCode::GATEWAY_TIMEOUT => (unsent, false),
        StatusCode::GONE => (unsent, true),
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE if call.items.len() > 1 => {
            fault_log.log(format_args!(
                "calls: {address} responded to a batch call with {}",
                head.status
            ));
            (unsent, false)
        }
        status => {
            if status != StatusCode::INTERNAL_SERVER_ERROR {
                fault_log.log(format_args!("calls: {address} responded with {status}"));
            }
            (Outcome::Error, false)
        }
    }
}
