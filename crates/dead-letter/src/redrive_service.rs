//! The redrive service, which combines the store with the redrive rules.
//!
//! The service decides which messages are sent again and when, and records who requested each redrive. It accesses the
//! store's file, but no clock, thread or socket, so that tests can drive it step by step. All times are Unix time in
//! microseconds.

use crate::config::Config;
use crate::effect_history::EffectHistory;
use crate::error::{RedriveError, Rejection, StoreError};
use crate::record::{BodyMode, Filter, Record, State, Stats, Summary, parse_ending, parse_reason};
use crate::redrive_candidates::RedriveCandidates;
use crate::redrive_decision::{DecisionInput, Denial, RedriveDecision, decide_redrive};
use crate::redrive_order::build_order;
use crate::redrive_schedule::{Candidate, RedriveSchedule};
use crate::row::Row;
use crate::store::{DeadLetterStore, Page, SaveOutcome, StoreLimits};
use milletturn_engine::dead_letter_sink::EndedMessage;
use milletturn_engine::{EndReason, Ending, RedriveOrder, RedriveOutcome};
use milletturn_logging::RateLimitedLog;
use milletturn_policy::{Effect, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of redrives that one tick requests, which bounds the time of a tick.
const MAX_REDRIVES_PER_TICK: usize = 32;
/// Page size, in messages, of the search for candidates after a start.
const RECOVERY_PAGE: usize = 1000;

/// How an operator resolves a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// An operator has dealt with the message outside the sender; nothing more is to be done.
    Done,
    /// The message did not run, or its client does not resubmit it, so the message may be redriven.
    DidNotRun,
}

/// Which messages of a batch were saved.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SaveReport {
    /// Numbers of the messages that the store holds now.
    pub saved: Vec<u64>,
    /// Number of messages that were not saved because the store is full.
    pub unsaved: usize,
}

/// Whether the store's file holds the effects of the classes as they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EffectsFile {
    Current,
    /// The file lacks a change, which the next tick writes.
    Outdated,
    /// The file lacks the effect under which a message was accepted. The message is saved only after it.
    OutdatedForMessages,
}

/// The store, the redrive rules, and for each class whether its messages may be processed more than once, now and in the
/// past.
#[derive(Debug)]
pub struct RedriveService {
    store: DeadLetterStore,
    effects: EffectHistory,
    /// Whether the file holds `effects` as they are.
    effects_file: EffectsFile,
    schedule: RedriveSchedule,
    candidates: RedriveCandidates,
    clients_retry: bool,
    /// True if the last save left out messages because the store is full.
    full: bool,
    fault_log: RateLimitedLog,
}

impl RedriveService {
    /// Creates a service on an open store; `effects` says by class name whether a message may be processed more than
    /// once. Effects of earlier processes are unknown until [`RedriveService::load_effects`].
    #[must_use]
    pub fn new(store: DeadLetterStore, config: &Config, effects: BTreeMap<String, Effect>) -> Self {
        let mut history = EffectHistory::default();
        history.replace(effects, 0);
        RedriveService {
            store,
            effects: history,
            effects_file: EffectsFile::Outdated,
            schedule: RedriveSchedule::new(config.rules.clone()),
            candidates: RedriveCandidates::default(),
            clients_retry: config.clients_retry,
            full: false,
            fault_log: RateLimitedLog::default(),
        }
    }

    /// The store's limits from the settings.
    #[must_use]
    pub fn limits(config: &Config) -> StoreLimits {
        StoreLimits {
            max_bytes: config.max_bytes,
            max_messages: config.max_messages,
            max_age: config.max_age,
        }
    }

    /// After a start, verifies the whole file, sets the state of each message that was being redriven according to the
    /// journal, and finds the messages that rules may redrive.
    ///
    /// `redriving` holds the numbers of the messages that the journal lists as unfinished redrives; `journal_intact` is
    /// true if the journal lost no entries.
    ///
    /// # Errors
    /// When the file is damaged or can't be used.
    pub fn recover(
        &mut self,
        redriving: &BTreeSet<u64>,
        journal_intact: bool,
        now: Micros,
    ) -> Result<(), StoreError> {
        self.store.verify()?;
        self.store.reconcile(redriving, journal_intact, now)?;
        self.load_effects(now)?;
        self.find_candidates(now)
    }

    /// Reads from the file which effects the classes had in earlier processes, and writes those that they have now.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn load_effects(&mut self, now: Micros) -> Result<(), StoreError> {
        let current = self.effects.current().clone();
        self.effects = self.store.effects()?;
        let changed = self.effects.replace(current, now);
        if !changed {
            self.effects_file = EffectsFile::Current;
        }
        self.save_effects(now);
        Ok(())
    }

    /// Applies the effects of new settings: for each class, whether its messages may be processed more than once. A
    /// message stays bound by the effects that its class has had since the message was accepted.
    ///
    /// # Errors
    /// When the file can't be read. The effects apply nevertheless.
    pub fn set_effects(
        &mut self,
        effects: BTreeMap<String, Effect>,
        now: Micros,
    ) -> Result<(), StoreError> {
        if !self.effects.replace(effects, now) {
            return Ok(());
        }
        if self.effects_file == EffectsFile::Current {
            self.effects_file = EffectsFile::Outdated;
        }
        self.save_effects(now);
        self.find_candidates(now)
    }

    /// Records the effects under which messages were accepted, in the file too, before the messages themselves are saved.
    fn record_effects(&mut self, messages: &[EndedMessage], now: Micros) -> Result<(), StoreError> {
        let mut has_changed = false;
        for message in messages {
            if let Some(effect) = message.effect {
                has_changed |=
                    self.effects
                        .record_accepted(&message.class, effect, message.accepted_at);
            }
        }
        if has_changed {
            self.effects_file = EffectsFile::OutdatedForMessages;
        }
        match self.effects_file {
            EffectsFile::OutdatedForMessages => self.write_effects(now),
            EffectsFile::Current | EffectsFile::Outdated => Ok(()),
        }
    }

    fn write_effects(&mut self, now: Micros) -> Result<(), StoreError> {
        let oldest = self.store.oldest_accepted_at()?;
        self.effects.forget_unused(oldest, now);
        self.store.save_effects(&self.effects)?;
        self.effects_file = EffectsFile::Current;
        Ok(())
    }

    /// Writes the effects of the classes if the file does not hold them yet. A failure is logged, and the next tick
    /// tries again.
    fn save_effects(&mut self, now: Micros) {
        if self.effects_file == EffectsFile::Current {
            return;
        }
        if let Err(error) = self.write_effects(now) {
            self.fault_log.log(format_args!(
                "undelivered: the effects of the classes can't be saved: {error}"
            ));
        }
    }

    /// Finds the messages that rules may redrive.
    fn find_candidates(&mut self, now: Micros) -> Result<(), StoreError> {
        if self.schedule.is_empty() {
            return Ok(());
        }
        let filter = Filter {
            state: Some(State::Unresolved),
            ..Filter::default()
        };
        let mut next_after = Some(0);
        while let Some(after) = next_after {
            let page = self.store.list(&filter, after, RECOVERY_PAGE)?;
            for summary in &page.messages {
                self.add_candidate(summary, now);
            }
            next_after = page.next_after;
        }
        Ok(())
    }

    /// Saves messages that ended undelivered, and the results of redrives.
    ///
    /// # Errors
    /// When the file can't be written, in which case no message is saved; or when a saved row can't be read back, in
    /// which case the messages are saved nevertheless.
    pub fn save(
        &mut self,
        messages: &[EndedMessage],
        now: Micros,
    ) -> Result<SaveReport, StoreError> {
        self.record_effects(messages, now)?;
        let outcomes = self.store.save(messages, now)?;
        let mut report = SaveReport::default();
        for (message, outcome) in messages.iter().zip(&outcomes) {
            if *outcome == SaveOutcome::Saved {
                report.saved.push(message.number);
                if message.redriven {
                    self.schedule.on_redrive_end(message.destination);
                }
                if !self.schedule.is_empty()
                    && let Some(row) = self.store.row(message.number)?
                {
                    self.add_candidate(&row.summary(), now);
                }
            }
        }
        report.unsaved = outcomes.len() - report.saved.len();
        self.full = report.unsaved > 0;
        Ok(report)
    }

    /// Records that an attempt at a destination ended; the attempts of all messages count, not only those of redrives.
    pub fn on_attempt_end(&mut self, destination: u64, succeeded: bool, now: Micros) {
        if !self.schedule.is_empty() {
            self.schedule.on_attempt_end(destination, succeeded, now);
        }
    }

    /// Adds a message to the candidates if a rule may redrive it.
    fn add_candidate(&mut self, summary: &Summary, now: Micros) {
        let decision = decide_redrive(&self.decision_input(summary), now);
        if summary.state == State::Unresolved
            && self.schedule.covers(&candidate_of(summary), now)
            && !matches!(decision, RedriveDecision::Denied(_))
        {
            self.candidates.insert(summary.destination, summary.number);
        }
    }

    fn decision_input(&self, summary: &Summary) -> DecisionInput {
        DecisionInput {
            effect: self
                .effects
                .effect_since(&summary.class, summary.accepted_at),
            has_key: summary.key.is_some(),
            ending: parse_ending(&summary.ending).unwrap_or(Ending::Failed),
            first_uncertain_at: summary.first_uncertain_at,
            confirmed_not_run: summary.confirmed_not_run,
            clients_retry: self.clients_retry,
            has_body: summary.body_bytes.is_some(),
        }
    }

    /// Decides whether an operator may redrive the message now.
    ///
    /// # Errors
    /// When the message may not be redriven now; the [`Rejection`] says why.
    pub fn decide(&self, summary: &Summary, now: Micros) -> Result<RedriveDecision, Rejection> {
        match summary.state {
            State::RedriveRequested | State::Redriving => return Err(Rejection::InProgress),
            State::Resolved => return Err(Rejection::Resolved),
            State::Unresolved | State::Delivered => {}
        }
        match decide_redrive(&self.decision_input(summary), now) {
            RedriveDecision::Denied(denial) => Err(Rejection::Denied(denial)),
            decision => Ok(decision),
        }
    }

    /// Records the request to redrive a message, and returns the order to pass to the engine. If the process ends
    /// before the redrive does, the next start sets the message's state according to the journal.
    ///
    /// # Errors
    /// When the message may not be redriven now, or the file can't be read or written.
    pub fn request_redrive(
        &mut self,
        number: u64,
        actor: &str,
        reason: &str,
        now: Micros,
    ) -> Result<RedriveOrder, RedriveError> {
        let row = self.store.row(number)?.ok_or(Rejection::NotFound)?;
        self.decide(&row.summary(), now)?;
        let effect = self.effects.effect_since(&row.class, row.accepted_at);
        let effect = effect.ok_or(Rejection::Denied(Denial::UnknownClass))?;
        let order = build_order(&row, effect).ok_or(Rejection::Denied(Denial::NoBody))?;
        let changed = self.store.change(number, |row| {
            row.state = State::RedriveRequested;
            row.redrive_requested_at = now;
            row.audit(now, "ordered", actor, reason);
            Some(())
        })?;
        self.candidates.remove(order.destination, number);
        changed.ok_or(Rejection::NotFound)?;
        Ok(order)
    }

    /// Records whether the engine accepted a redrive. A redrive that was not accepted is not in the journal.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn on_redrive_outcome(
        &mut self,
        number: u64,
        outcome: RedriveOutcome,
        now: Micros,
    ) -> Result<(), StoreError> {
        let accepted = outcome == RedriveOutcome::Accepted;
        self.store.change(number, |row| {
            // the end of the redrive may have been saved already
            if row.state != State::RedriveRequested {
                return None;
            }
            if accepted {
                row.state = State::Redriving;
            } else {
                row.state = State::Unresolved;
                let reason = Rejection::Engine(outcome).to_string();
                row.audit(now, "not taken", "sender", &reason);
            }
            Some(())
        })?;
        if !accepted
            && !self.schedule.is_empty()
            && let Some(row) = self.store.row(number)?
        {
            self.schedule.on_redrive_end(row.destination);
            self.add_candidate(&row.summary(), now);
        }
        Ok(())
    }

    /// Requests the redrives that the rules allow now, in round-robin order of destinations.
    ///
    /// # Errors
    /// When the file can't be read or written.
    pub fn tick(&mut self, now: Micros) -> Result<Vec<RedriveOrder>, StoreError> {
        self.save_effects(now);
        let mut orders = Vec::new();
        for destination in self.candidates.destinations_in_order() {
            while orders.len() < MAX_REDRIVES_PER_TICK
                && let Some(number) = self.candidates.first(destination)
            {
                let Some(summary) = self.candidate_summary(number, now)? else {
                    self.candidates.remove(destination, number);
                    continue;
                };
                let Some(rule) = self.schedule.try_acquire(&candidate_of(&summary), now) else {
                    break;
                };
                let actor = rule.name.clone();
                self.candidates.mark_served(destination);
                match self.request_redrive(number, &actor, "by rule", now) {
                    Ok(order) => orders.push(order),
                    Err(RedriveError::Rejected(_)) => {}
                    Err(RedriveError::Store(error)) => return Err(error),
                }
            }
        }
        Ok(orders)
    }

    /// The summary of a candidate; `None` if rules may no longer redrive it.
    fn candidate_summary(&self, number: u64, now: Micros) -> Result<Option<Summary>, StoreError> {
        let summary = self.store.row(number)?.map(|row| row.summary());
        Ok(summary.filter(|summary| {
            self.decide(summary, now).is_ok() && self.schedule.covers(&candidate_of(summary), now)
        }))
    }

    /// Resolves a message, and records who did it and why in the message's audit log.
    ///
    /// # Errors
    /// When the message may not be resolved now, or the file can't be written.
    pub fn resolve(
        &mut self,
        number: u64,
        resolution: Resolution,
        actor: &str,
        reason: &str,
        now: Micros,
    ) -> Result<(), RedriveError> {
        let resolved = self.store.change(number, |row| {
            Some(resolve_row(row, resolution, actor, reason, now))
        })?;
        resolved.unwrap_or(Err(Rejection::NotFound))?;
        if let Some(row) = self.store.row(number)? {
            self.candidates.remove(row.destination, number);
            self.add_candidate(&row.summary(), now);
        }
        Ok(())
    }

    /// Drops resolved messages that exceed the maximum age, a bounded number in one call; returns how many.
    ///
    /// # Errors
    /// When the file can't be written.
    pub fn prune(&mut self, now: Micros) -> Result<usize, StoreError> {
        self.store.prune(now)
    }

    /// The messages after the number `after` that match a filter, at most `limit`, in the order of their numbers. The
    /// page may be short or empty although more matching messages follow.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn list(&self, filter: &Filter, after: u64, limit: usize) -> Result<Page, StoreError> {
        self.store.list(filter, after, limit)
    }

    /// Everything that the store holds about a message; `None` if the store does not hold it.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn record(&self, number: u64, body: BodyMode) -> Result<Option<Record>, StoreError> {
        self.store.record(number, body)
    }

    /// The store's statistics.
    ///
    /// # Errors
    /// When the file can't be read.
    pub fn stats(&self, now: Micros) -> Result<Stats, StoreError> {
        Ok(Stats {
            full: self.full,
            ..self.store.stats(now)?
        })
    }
}

fn resolve_row(
    row: &mut Row,
    resolution: Resolution,
    actor: &str,
    reason: &str,
    now: Micros,
) -> Result<(), Rejection> {
    if matches!(row.state, State::RedriveRequested | State::Redriving) {
        return Err(Rejection::InProgress);
    }
    let delivered = row.ending == Ending::Delivered || row.state == State::Delivered;
    match resolution {
        Resolution::Done => {
            row.state = State::Resolved;
            row.audit(now, "settled", actor, reason);
        }
        Resolution::DidNotRun if delivered => return Err(Rejection::Denied(Denial::Delivered)),
        Resolution::DidNotRun => {
            row.state = State::Unresolved;
            row.confirmed_not_run = true;
            row.first_uncertain_at = None;
            row.audit(now, "stated: did not run", actor, reason);
        }
    }
    Ok(())
}

fn candidate_of(summary: &Summary) -> Candidate<'_> {
    Candidate {
        class: &summary.class,
        destination: summary.destination,
        reason: parse_reason(&summary.reason).unwrap_or(EndReason::Unknown),
        accepted_at: summary.accepted_at,
        redrives: summary.redrives,
    }
}
