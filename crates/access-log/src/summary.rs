//! The summary of the records of all senders, by destination and interval.

use crate::record::{AbandonReason, AccessEvent, AccessRecord, AttemptOutcome};
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of rows of a summary. Records that would need further rows are dropped and counted.
///
/// A day in intervals of one second with 50 destinations needs 4.32 million rows.
const MAX_ROWS: usize = 4_500_000;

/// Counts of the events of all senders for one destination in one interval.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct IntervalTotals {
    /// Messages that were accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Messages that were rejected on arrival.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Attempts that were started.
    #[serde(rename = "sent")]
    pub attempts: u64,
    /// Started attempts that were not the first of their message.
    #[serde(rename = "again")]
    pub retries: u64,
    /// Attempts that succeeded.
    #[serde(rename = "ok")]
    pub succeeded_attempts: u64,
    /// Attempts that the endpoint rejected.
    #[serde(rename = "refused")]
    pub rejected_attempts: u64,
    /// Attempts with the outcome [`AttemptOutcome::Failed`].
    #[serde(rename = "failed")]
    pub failed_attempts: u64,
    /// Messages that were delivered.
    pub delivered: u64,
    /// Sum of the ages of the delivered messages, in microseconds.
    pub age_us: u64,
    /// Messages that were abandoned.
    #[serde(rename = "given_up")]
    pub abandoned: u64,
    /// Abandoned messages of which no attempt was sent, by reason.
    #[serde(rename = "untried")]
    pub never_attempted: BTreeMap<AbandonReason, u64>,
    /// Number of times that a sender ejected the destination.
    #[serde(rename = "fell_sick")]
    pub ejections: u64,
    /// Number of times that a sender found the destination recovered.
    #[serde(rename = "returned")]
    pub recoveries: u64,
    /// Number of load reports with at least two values.
    pub reports: u64,
    /// Sum of the first values of these reports.
    pub report_first: f64,
    /// Sum of the second values of these reports.
    pub report_second: f64,
}

/// The summary of any number of logs. Records may be added in any order.
#[derive(Debug)]
pub struct AccessLogSummary {
    interval_us: u64,
    /// Keyed by destination and number of the interval since the Unix epoch.
    rows: BTreeMap<(u64, u64), IntervalTotals>,
    dropped_records: u64,
}

/// One row of a summary.
#[derive(Debug, Clone, PartialEq)]
pub struct SummaryRow<'a> {
    /// Number of the destination.
    pub destination: u64,
    /// Start of the interval, in seconds since the start of the earliest interval in the summary.
    pub from_s: f64,
    /// Accepted messages that are neither delivered nor abandoned at the end of the interval. Negative if the logs lack
    /// the acceptance of some messages that they show as ended.
    pub in_flight: i128,
    /// Counts for this destination in this interval.
    pub totals: &'a IntervalTotals,
}

impl AccessLogSummary {
    /// Creates an empty summary with intervals of `interval_us` microseconds. A value of 0 is taken as 1.
    #[must_use]
    pub fn new(interval_us: u64) -> Self {
        AccessLogSummary {
            interval_us: interval_us.max(1),
            rows: BTreeMap::new(),
            dropped_records: 0,
        }
    }

    /// Adds one record to the summary.
    pub fn add(&mut self, record: &AccessRecord) {
        let Some(destination) = record.event.destination() else {
            return;
        };
        let key = (destination, record.at_us / self.interval_us);
        if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&key) {
            self.dropped_records += 1;
            return;
        }
        self.rows.entry(key).or_default().add(&record.event);
    }

    /// Number of records that were dropped because the summary has reached its maximum number of rows.
    #[must_use]
    pub fn dropped_records(&self) -> u64 {
        self.dropped_records
    }

    /// The rows, ordered by destination and then by time.
    pub fn rows(&self) -> impl Iterator<Item = SummaryRow<'_>> {
        let intervals = self.rows.keys().map(|(_, interval)| *interval);
        let first = intervals.min().unwrap_or(0);
        let (mut previous, mut in_flight) = (None, 0i128);
        self.rows
            .iter()
            .map(move |((destination, interval), totals)| {
                if previous != Some(*destination) {
                    in_flight = 0;
                }
                previous = Some(*destination);
                in_flight += i128::from(totals.accepted)
                    - i128::from(totals.delivered)
                    - i128::from(totals.abandoned);
                SummaryRow {
                    destination: *destination,
                    from_s: ((interval - first) * self.interval_us) as f64 / 1e6,
                    in_flight,
                    totals,
                }
            })
    }
}

impl IntervalTotals {
    fn add(&mut self, event: &AccessEvent) {
        match event {
            AccessEvent::Accepted { .. } => self.accepted += 1,
            AccessEvent::Rejected { .. } => self.rejected += 1,
            AccessEvent::AttemptStarted { attempt, .. } => {
                self.attempts += 1;
                self.retries += u64::from(*attempt > 0);
            }
            AccessEvent::AttemptEnded {
                outcome, report, ..
            } => self.add_attempt_end(*outcome, report),
            AccessEvent::Delivered { age_us, .. } => {
                self.delivered += 1;
                self.age_us = self.age_us.saturating_add(*age_us);
            }
            AccessEvent::Abandoned {
                reason,
                never_attempted,
                ..
            } => {
                self.abandoned += 1;
                if *never_attempted {
                    *self.never_attempted.entry(*reason).or_default() += 1;
                }
            }
            AccessEvent::ConnectionClosed { .. } | AccessEvent::RetryAfter { .. } => {}
            AccessEvent::PolicyLog { text } => {
                self.ejections += u64::from(text.contains(" sick"));
                self.recoveries += u64::from(text.ends_with(" returns"));
            }
        }
    }

    fn add_attempt_end(&mut self, outcome: AttemptOutcome, report: &[f64]) {
        match outcome {
            AttemptOutcome::Success => self.succeeded_attempts += 1,
            AttemptOutcome::Rejected => self.rejected_attempts += 1,
            AttemptOutcome::Failed => self.failed_attempts += 1,
            AttemptOutcome::NotSent => {}
        }
        if let [first, second, ..] = *report {
            self.reports += 1;
            self.report_first += first;
            self.report_second += second;
        }
    }
}
