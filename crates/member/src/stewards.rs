//! Calls to whichever steward leads.

use milletturn_fleet::{Answer, Entry};
use milletturn_fleet_wire::words::{ORDER, Trouble};
use milletturn_fleet_wire::{Line, LineError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest wait for one steward's answer before another one is asked: it is stopped, or cut off. Longer than a
/// steward waits for its majority, so that its own word comes first where it has one.
const EACH: Duration = Duration::from_millis(2_500);
/// Rest after all have been asked in vain.
const REST: Duration = Duration::from_millis(100);

/// The stewards of a group, as seen from here.
#[derive(Debug)]
pub struct Stewards {
    lines: Vec<(Line, Option<u64>)>,
    at: usize,
}

/// No steward answered what was asked, until the time was over.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no steward answered: {why}{}", if *.may_have_happened { " (what was asked may have been done)" } else { "" })]
pub struct Unanswered {
    /// What the last one that was asked said, or why it was not reached.
    pub why: String,
    /// The call may have been done all the same.
    pub may_have_happened: bool,
}

impl Stewards {
    /// At these addresses, for this group.
    pub fn new(group: &str, addresses: &[String]) -> Self {
        Self { lines: addresses.iter().map(|address| (Line::new(address, group), None)).collect(), at: 0 }
    }

    /// Asks until one answers or the time is over. What is asked must be such that asking again is safe.
    ///
    /// # Errors
    /// Without an answer.
    pub async fn ask<A: DeserializeOwned>(
        &mut self, path: &str, body: Option<&impl Serialize>, until: Instant,
    ) -> Result<A, Unanswered> {
        let mut failed = Unanswered { why: "there was no time".to_string(), may_have_happened: false };
        let mut asked = 0;
        while self.at < self.lines.len() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(failed);
            }
            let (line, number) = &mut self.lines[self.at];
            let (why, may_have_happened, leader) = match line.call(path, body, left.min(EACH)).await {
                Ok(reply) => {
                    *number = reply.steward.or(*number);
                    match reply.result {
                        Ok(answer) => return Ok(answer),
                        Err(Trouble { why, leader, may_have_happened }) => {
                            (format!("{}: {why}", line.address()), may_have_happened, leader)
                        }
                    }
                }
                Err(error @ LineError::NotSent { .. }) => (error.to_string(), false, None),
                Err(error @ LineError::Unknown { .. }) => (error.to_string(), true, None),
            };
            failed.why = why;
            failed.may_have_happened |= may_have_happened;
            asked += 1;
            self.turn_to(leader);
            // one hint of a leader is followed at once; two stewards that point at each other are no loop
            if leader.is_none() || asked > 1 {
                sleep(if asked % self.lines.len() == 0 { REST } else { REST / 10 }).await;
            }
        }
        Err(failed)
    }

    /// Writes an order into the book.
    ///
    /// # Errors
    /// Without an answer.
    pub async fn order(&mut self, entry: &Entry, until: Instant) -> Result<Answer, Unanswered> {
        self.ask(ORDER, Some(entry), until).await
    }

    /// To the leader if its address is known, and otherwise to the next one: an answer tells who it is.
    fn turn_to(&mut self, leader: Option<u64>) {
        let known =
            leader.and_then(|leader| self.lines.iter().position(|(_, number)| *number == Some(leader)));
        self.at = match known {
            Some(known) if known != self.at => known,
            _ => (self.at + 1) % self.lines.len(),
        };
    }
}
