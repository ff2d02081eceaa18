//! The records of the journal file, as they are stored.
//!
//! Records are encoded by position (postcard): the order of variants and fields is the format, and variants may only be
//! added at the end. The engine's types are mirrored here, so that a change to an engine type can't change the format.

use bytes::Bytes;
use milletturn_engine::{
    Accepted, AttemptStarted, EndReason, Ending, JournalError, MessageEnd, RecentlyEnded,
    Unfinished,
};
use milletturn_policy::Effect;
use serde::{Deserialize, Serialize};

/// Stored form of an accepted message. The skipped fields were added by later builds; the variants of [`Record`] that
/// were added with them store these fields after this form.
#[derive(Debug, Serialize, Deserialize)]
#[serde(remote = "Accepted")]
struct StoredAccepted {
    id: String,
    key: Option<String>,
    class: String,
    #[serde(skip)]
    effect: Option<Effect>,
    #[serde(skip)]
    subject: Option<String>,
    #[serde(skip)]
    tenant: Option<String>,
    destination: u64,
    accepted_at: i64,
    deadline: i64,
    body: Bytes,
}

/// Stored form of a class's rule for duplicate deliveries.
#[derive(Debug, Serialize, Deserialize)]
#[serde(remote = "Effect")]
enum StoredEffect {
    Repeatable,
    Keyed { window: i64, zone_only: bool },
    Unsafe,
}

/// Stored form of an attempt.
#[derive(Debug, Serialize, Deserialize)]
#[serde(remote = "AttemptStarted")]
struct StoredAttempt {
    uid: String,
    sent_at: i64,
    never_ran: bool,
}

/// Stored form of [`Ending`]: how a message ended.
#[derive(Debug, Serialize, Deserialize)]
#[serde(remote = "Ending")]
enum StoredEnding {
    Failed,
    Returned { after_ms: Option<u64> },
    Delivered,
}

/// Stored form of [`EndReason`]: why a message ended.
#[derive(Debug, Serialize, Deserialize)]
#[serde(remote = "EndReason")]
enum StoredEndReason {
    Unknown,
    DeadlineExceeded,
    NotRetryable,
    AttemptsExhausted,
    Rejected,
    Delivered,
}

/// Stored form of a message's end.
#[derive(Debug, Serialize, Deserialize)]
#[serde(remote = "MessageEnd")]
struct StoredEnd {
    #[serde(with = "StoredEnding")]
    ending: Ending,
    #[serde(with = "StoredEndReason")]
    reason: EndReason,
    at: i64,
}

/// The attempt, made before a redrive, that the redrive could duplicate. The deduplication window counts from this
/// attempt.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct PriorAttempt(#[serde(with = "StoredAttempt")] pub(crate) AttemptStarted);

/// The fields of an accepted message that [`StoredAccepted`] skips.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Details {
    pub(crate) effect: Option<DetailEffect>,
    pub(crate) subject: Option<String>,
    pub(crate) tenant: Option<String>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct DetailEffect(#[serde(with = "StoredEffect")] pub(crate) Effect);

/// One record of the journal. The `u64` at the start of most variants is the number of the message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Record {
    /// A message is accepted. The record does not contain the effect of the message's class.
    Accepted(u64, #[serde(with = "StoredAccepted")] Accepted),
    /// An attempt starts.
    AttemptStarted(u64, #[serde(with = "StoredAttempt")] AttemptStarted),
    /// An attempt ended. This build writes the record only if the outcome proves that the destination did not process
    /// the attempt.
    AttemptOutcome {
        message: u64,
        /// Position of the attempt among those of the message, from 0.
        attempt: u32,
        never_ran: bool,
    },
    /// A message has ended; the record does not contain the reason and the time. Only older builds write this record.
    EndedWithoutReason(u64, #[serde(with = "StoredEnding")] Ending),
    /// No further work is due for a message: neither a notification nor storage as a dead letter. Attempts may still be
    /// in flight.
    Finished(u64),
    /// A message from the dead-letter store is redriven.
    Redriven(
        u64,
        #[serde(with = "StoredAccepted")] Accepted,
        Option<PriorAttempt>,
    ),
    /// A message has ended; its notification, or its storage as a dead letter, is still due.
    Ended(u64, #[serde(with = "StoredEnd")] MessageEnd),
    /// A message is accepted, with the effect of its class at that time.
    AcceptedWithEffect(
        u64,
        #[serde(with = "StoredAccepted")] Accepted,
        #[serde(with = "StoredEffect")] Effect,
    ),
    /// A message with a subject or a tenant is accepted.
    AcceptedWithDetails(u64, #[serde(with = "StoredAccepted")] Accepted, Details),
    /// The file was damaged before this record: an attempt of each message that is unfinished here may have been lost.
    DamageBefore,
    /// At-most-once messages that had ended before the file was compacted, and may have run, oldest first.
    RecentlyEnded(Vec<StoredRecentlyEnded>),
}

/// Stored form of [`RecentlyEnded`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct StoredRecentlyEnded {
    pub(crate) id: String,
    pub(crate) is_delivered: bool,
}

impl From<&StoredRecentlyEnded> for RecentlyEnded {
    fn from(stored: &StoredRecentlyEnded) -> Self {
        RecentlyEnded {
            id: stored.id.clone(),
            is_delivered: stored.is_delivered,
        }
    }
}

impl Record {
    /// The record for a message that is accepted. Uses the oldest variant that can hold all fields of the message.
    pub(crate) fn accepted(number: u64, mut accepted: Accepted) -> Self {
        if accepted.subject.is_some() || accepted.tenant.is_some() {
            let details = Details {
                effect: accepted.effect.map(DetailEffect),
                subject: accepted.subject.take(),
                tenant: accepted.tenant.take(),
            };
            return Record::AcceptedWithDetails(number, accepted, details);
        }
        match accepted.effect {
            Some(effect) => Record::AcceptedWithEffect(number, accepted, effect),
            None => Record::Accepted(number, accepted),
        }
    }

    /// The record for a message that is redriven.
    pub(crate) fn redriven(
        number: u64,
        accepted: Accepted,
        prior_attempt: Option<AttemptStarted>,
    ) -> Self {
        Record::Redriven(number, accepted, prior_attempt.map(PriorAttempt))
    }
}

/// Encodes the records that a compacted file needs for one unfinished message.
///
/// # Errors
/// When a record can't be encoded.
pub(crate) fn encode_unfinished(
    number: u64,
    message: &Unfinished,
) -> Result<Vec<u8>, JournalError> {
    let accepted = message.accepted.clone();
    let first = if message.redriven {
        let prior_attempt = message
            .attempts
            .first()
            .filter(|_| message.prior_attempts > 0);
        Record::redriven(number, accepted, prior_attempt.cloned())
    } else {
        Record::accepted(number, accepted)
    };
    let mut bytes = crate::codec::encode(&first)?;
    for attempt in message.attempts.iter().skip(message.prior_attempts) {
        let record = Record::AttemptStarted(number, attempt.clone());
        bytes.extend(crate::codec::encode(&record)?);
    }
    if let Some(end) = message.end {
        bytes.extend(crate::codec::encode(&Record::Ended(number, end))?);
    }
    Ok(bytes)
}
