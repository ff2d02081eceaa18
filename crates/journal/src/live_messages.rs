//! The messages that are unfinished according to all records applied so far, and the number of bytes that a compacted
//! file needs for them.

use crate::codec::encode;
use crate::recently_ended::RecentlyEndedMessages;
use crate::records::{DetailEffect, Details, PriorAttempt, Record, encode_unfinished};
use milletturn_engine::{
    Accepted, AttemptStarted, EndReason, Ending, JournalError, MessageEnd, RecentlyEnded,
    Unfinished,
};
use milletturn_policy::Effect;
use std::collections::BTreeMap;
use std::io::Write;

/// The unfinished messages by number.
#[derive(Debug, Default)]
pub(crate) struct LiveMessages {
    messages: BTreeMap<u64, LiveMessage>,
    recently_ended: RecentlyEndedMessages,
    /// Sum of [`LiveMessage::bytes`] over all messages.
    bytes: u64,
}

#[derive(Debug)]
struct LiveMessage {
    message: Unfinished,
    /// Size of the records that a compacted file needs for this message.
    bytes: u64,
}

impl LiveMessages {
    /// No messages. The ids of recently ended messages may take up `max_recently_ended_bytes` in a compacted file.
    pub(crate) fn new(max_recently_ended_bytes: u64) -> Self {
        LiveMessages {
            recently_ended: RecentlyEndedMessages::new(max_recently_ended_bytes),
            ..LiveMessages::default()
        }
    }

    /// Upper bound for the size of a compacted file in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes + self.recently_ended.max_bytes()
    }

    /// At-most-once messages that ended lately and may have run, oldest first.
    pub(crate) fn recently_ended(&self) -> Vec<RecentlyEnded> {
        self.recently_ended
            .iter()
            .map(RecentlyEnded::from)
            .collect()
    }

    /// How many messages are unfinished.
    pub(crate) fn count(&self) -> usize {
        self.messages.len()
    }

    /// Whether the message is unfinished; false also for a number that is unknown.
    pub(crate) fn contains(&self, number: u64) -> bool {
        self.messages.contains_key(&number)
    }

    /// A copy of the messages, by number.
    pub(crate) fn unfinished(&self) -> BTreeMap<u64, Unfinished> {
        self.messages
            .iter()
            .map(|(&number, live)| (number, live.message.clone()))
            .collect()
    }

    /// Writes the content of a compacted file, and returns its size in bytes.
    ///
    /// # Errors
    /// When a record can't be encoded or written.
    pub(crate) fn write_to(&self, writer: &mut impl Write) -> Result<u64, JournalError> {
        let mut written = 0;
        for bytes in self.recently_ended.encode()? {
            writer.write_all(&bytes).map_err(JournalError::Write)?;
            written += bytes.len() as u64;
        }
        for (&number, live) in &self.messages {
            let bytes = encode_unfinished(number, &live.message)?;
            writer.write_all(&bytes).map_err(JournalError::Write)?;
            written += bytes.len() as u64;
        }
        Ok(written)
    }

    /// Applies a record that takes up `bytes` in the file. Records of messages that are finished, or unknown because
    /// of damage, change nothing.
    pub(crate) fn apply(&mut self, record: Record, bytes: u64) {
        match record {
            Record::Accepted(number, accepted) => self.insert(number, fresh(accepted), bytes),
            Record::AcceptedWithEffect(number, accepted, effect) => {
                self.insert(number, fresh(with_effect(accepted, effect)), bytes);
            }
            Record::AcceptedWithDetails(number, accepted, details) => {
                self.insert(number, fresh(with_details(accepted, details)), bytes);
            }
            Record::Redriven(number, accepted, prior_attempt) => {
                self.insert(number, redriven(accepted, prior_attempt), bytes);
            }
            Record::Finished(number) => {
                if let Some(old) = self.messages.remove(&number) {
                    self.bytes -= old.bytes;
                    self.recently_ended.add(&old.message);
                }
            }
            Record::RecentlyEnded(ended) => self.recently_ended.extend(ended),
            Record::AttemptStarted(number, attempt) => {
                self.update(number, bytes, |message| message.attempts.push(attempt));
            }
            Record::AttemptOutcome {
                message,
                attempt,
                never_ran,
            } => self.update(message, 0, |message| {
                if let Some(attempt) = message.attempts.get_mut(attempt as usize) {
                    attempt.never_ran = never_ran;
                }
            }),
            Record::EndedWithoutReason(number, ending) => self.end_without_reason(number, ending),
            Record::Ended(number, end) => {
                self.update(number, bytes, |message| message.end = Some(end));
            }
            // the only possible error is a message that can't be encoded, and such a message was never in a file
            Record::DamageBefore => drop(self.presume_attempts()),
        }
    }

    /// Adds to each message an attempt that may have run, without an endpoint's name, because the record of such an
    /// attempt may have been lost to the damage.
    ///
    /// # Errors
    /// When a message can't be encoded.
    pub(crate) fn presume_attempts(&mut self) -> Result<(), JournalError> {
        for (&number, live) in &mut self.messages {
            let message = &mut live.message;
            let presumed = AttemptStarted {
                uid: String::new(),
                sent_at: message.accepted.accepted_at,
                never_ran: false,
            };
            message.attempts.insert(message.prior_attempts, presumed);
            self.bytes -= live.bytes;
            live.bytes = encode_unfinished(number, message)?.len() as u64;
            self.bytes += live.bytes;
        }
        Ok(())
    }

    /// Applies the record of an older build, which a compacted file replaces by a longer one.
    fn end_without_reason(&mut self, number: u64, ending: Ending) {
        let Some(live) = self.messages.get(&number) else {
            return;
        };
        let end = MessageEnd {
            ending,
            reason: EndReason::Unknown,
            at: live.message.accepted.deadline,
        };
        // a record of numbers only can always be encoded
        let bytes = encode(&Record::Ended(number, end)).map_or(0, |bytes| bytes.len() as u64);
        self.update(number, bytes, |message| message.end = Some(end));
    }

    fn insert(&mut self, number: u64, message: Unfinished, bytes: u64) {
        self.bytes += bytes;
        if let Some(old) = self.messages.insert(number, LiveMessage { message, bytes }) {
            self.bytes -= old.bytes;
        }
    }

    fn update(&mut self, number: u64, bytes: u64, change: impl FnOnce(&mut Unfinished)) {
        if let Some(live) = self.messages.get_mut(&number) {
            live.bytes += bytes;
            self.bytes += bytes;
            change(&mut live.message);
        }
    }
}

/// A newly accepted message without attempts.
fn fresh(accepted: Accepted) -> Unfinished {
    Unfinished {
        accepted,
        attempts: Vec::new(),
        end: None,
        redriven: false,
        prior_attempts: 0,
    }
}

fn redriven(accepted: Accepted, prior_attempt: Option<PriorAttempt>) -> Unfinished {
    let attempts: Vec<AttemptStarted> = prior_attempt
        .into_iter()
        .map(|PriorAttempt(attempt)| attempt)
        .collect();
    Unfinished {
        prior_attempts: attempts.len(),
        attempts,
        redriven: true,
        ..fresh(accepted)
    }
}

fn with_effect(accepted: Accepted, effect: Effect) -> Accepted {
    Accepted {
        effect: Some(effect),
        ..accepted
    }
}

fn with_details(accepted: Accepted, details: Details) -> Accepted {
    Accepted {
        effect: details.effect.map(|DetailEffect(effect)| effect),
        subject: details.subject,
        tenant: details.tenant,
        ..accepted
    }
}
