//! Makes the sender's decisions. Their types, events and actions are in `interface.rs`, and the records of
//! messages, attempts, calls and endpoints are plain data in `state.rs`. The decisions are which messages to
//! send, to hedge, to cancel or to end, and how many calls each destination gets.
//!
//! Order of this file: the constants; `handle`, which runs one turn (it applies a list of events and makes
//! the decisions that follow from them); the handlers of events; the checks of the delivery rules; and the
//! choices that these rules leave open.

use crate::interface::{
    Action, DestinationId, Effect, EndpointId, Event, MILLISECOND, MessageId, Micros, NewMessage,
    Outcome, SECOND, Safety, Settings, SettingsError,
};
use crate::outage_evidence::{EJECTION_THRESHOLD, OutageEvidence};
use crate::rejection_correlation::RateAdvice;
use crate::scheduler::{BlockedUntil, QueueKey, SendScheduler, SheddingOrder, UrgencyPhase};
use crate::state::{
    Attempt, Call, ClassHealth, Endpoint, Health, HealthScope, HealthScopeId, PendingMessage,
    RefillRate, Sender, seconds, slot_share,
};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Delay before a hedged request if the health scope has no recorded latency, and lower bound of the delay
/// while it has fewer than `MIN_LATENCY_SAMPLES`. Shorter values find slow calls sooner, longer ones send
/// fewer unnecessary hedged requests.
const DEFAULT_HEDGE_DELAY: Micros = SECOND;
/// Number of the most recent latencies that are kept for each health scope.
const LATENCY_SAMPLES: usize = 40;
/// Quantile of the recorded latencies that is used as the hedge delay, in twentieths: 19 is the 95th
/// percentile.
const HEDGE_DELAY_RANK: usize = 19;
/// Initial concurrency window of a health scope, as a share of the call slots.
const INITIAL_WINDOW_SHARE: f64 = 0.25;
/// Upper bound of the concurrency window of a health scope, and of the calls in flight to all scopes of a
/// destination together, as a share of the call slots.
const MAX_WINDOW_SHARE: f64 = 0.75;
/// Upper bound to which an ejection reduces the concurrency window of the scope, and upper bound of the calls
/// in flight to all slow and ejected scopes together, as a share of the call slots.
const MAX_DEGRADED_SHARE: f64 = 0.5;
/// Share of the call slots that hedged requests may use. Larger values hedge more slow messages, smaller ones
/// leave more slots to first attempts.
const MAX_HEDGE_SHARE: f64 = 0.5;
/// Factor by which congestion reduces the concurrency window. Smaller values drain queues sooner but cost
/// more throughput.
const WINDOW_REDUCTION: f64 = 0.7;
/// Factor by which a rejection reduces the rate limit if calls have succeeded since the last reduction.
/// Smaller values cause fewer rejections. With larger ones, the sender keeps more of a limit that it shares
/// with other senders.
const RATE_REDUCTION: f64 = 0.8;
/// Factor by which a rejection or failure reduces the rate limit if no call has succeeded since the last
/// reduction. Not used if a limit is announced; `RATE_REDUCTION` applies then. Smaller values cause fewer
/// rejections. With larger ones, the sender keeps more of a limit that it shares with other senders.
const RATE_REDUCTION_WITHOUT_SUCCESS: f64 = 0.5;
/// Increase of the rate limit with each success, in calls per second. It is larger while the rate limit is
/// below the best rate so far, or if only failures have reduced the rate. Because the increase follows
/// successes rather than time, the share of rejected calls does not depend on how many calls a sender makes.
const RATE_INCREASE_PER_SUCCESS: f64 = 0.25;
/// Largest increase of the rate limit with one success, as a share of the rate limit.
const MAX_RATE_INCREASE_SHARE: f64 = 0.5;
/// Smallest rate limit, in calls per second, after the first rejection by a scope that had no rate limit.
/// Also the smallest rate limit that the first load report sets if it contains a limit but no remaining
/// share. Larger values retry sooner, smaller ones put less load on a destination that hundreds of senders
/// share.
const MIN_RATE_AFTER_FIRST_REJECTION: f64 = 0.35;
/// Lower bound, in calls per second, of the sum of the rate limits of all senders after a reduction, if no
/// limit is announced. During a rate probe, it is the lower bound of this sender's rate limit alone. Larger
/// values retry sooner, smaller ones put less load on a destination that hundreds of senders share.
const MIN_FLEET_RATE: f64 = 1.5;
/// Initial rate limit of a new health scope, in calls per second, if load reports contain a limit
/// (`report_limit_index`) and this is the only sender. With several senders, this rate is divided by the
/// square of their number, because all start at once and each receives only its share of the responses.
const INITIAL_RATE_FACTOR: f64 = 5000.0;
/// Seconds in which the arriving messages are assumed to fill the sender's capacity for pending messages
/// (`max_pending`), if none are sent. The initial rate limit of a health scope is at least the resulting
/// arrival rate divided by the number of listed destinations.
const CAPACITY_FILL_SECONDS: f64 = 6.0;
/// Longest delay of the first call after a restart, as a share of the latency objective or of the time for
/// which the message may still be sent, whichever is shorter.
const MAX_RESUME_DELAY_SHARE: f64 = 0.75;
/// Upper bound of the rate limit while few messages wait, as a multiple of the recent success rate. Successes
/// at a rate that only the demand limits do not show that the destination can serve a higher rate (RFC 7661).
/// Larger values follow demand sooner, smaller ones let fewer simultaneous bursts of all senders through.
const APPLICATION_LIMITED_MULTIPLE: f64 = 2.0;
/// The upper bound of the rate limit while few messages wait (see `APPLICATION_LIMITED_MULTIPLE`) is at least
/// this multiple of the fair share. Larger values follow demand sooner, smaller ones let fewer simultaneous
/// bursts of all senders through.
const APPLICATION_LIMITED_FAIR_SHARES: f64 = 1.1;
/// Capacity of the token bucket of the rate limit: the tokens that are added in this many seconds, but at
/// least one. Longer bursts send queued messages faster, shorter ones cause fewer rejections.
const BURST_SECONDS: f64 = 0.3;
/// Additional tokens that may be saved for random bursts of messages, in standard deviations of the number of
/// messages that arrive in one second. The bursts of independent senders rarely coincide, so that they hardly
/// raise the total load.
const BURST_DEVIATIONS: f64 = 2.0;
/// Outage evidence above which a health scope counts as unreliable, even if it is not ejected.
const MAX_RELIABLE_EVIDENCE: f64 = 4.5;
/// Upper bound of the outage evidence when an ejected scope starts to recover.
const MAX_RECOVERY_EVIDENCE: f64 = 11.0;
/// Outage evidence at or above which an outage counts as confirmed. Below it, an outage that has just been
/// detected may stay unconfirmed for one overload window.
const CONFIRMED_OUTAGE_EVIDENCE: f64 = 2.0 * EJECTION_THRESHOLD;
/// Maximum number of concurrent calls to a scope with an unconfirmed outage; these calls show whether the
/// scope is down. Larger values end a false alarm sooner, smaller ones waste fewer calls on an outage.
const MAX_UNCONFIRMED_OUTAGE_CALLS: usize = 2;
/// Baseline failure rate at or above which a newly detected outage is at first unconfirmed: the failures may
/// be noise.
const NOISY_BASELINE_RATE: f64 = 0.15;
/// Number of observed calls below which the baseline failure rate of a busy scope counts as unknown: the
/// scope may be noisy, which means that many of its calls fail at random although it is not down.
const MIN_KNOWN_CALLS: f64 = 50.0;
/// Calls per second at or above which a scope counts as busy.
const BUSY_CALLS_PER_S: f64 = 20.0;
/// Number of slow-start durations after which an unhealthy scope that still has occasional successes counts
/// as noisy rather than down.
const MAX_OUTAGE_SLOW_STARTS: i64 = 3;
/// Weight of each new call in the moving average of a class's failure rate at an endpoint.
const CLASS_FAILURE_WEIGHT: f64 = 0.05;
/// Number of hedge delays after which a call counts as unresponsive if its scope has sent no response since
/// the call was sent. This time, but at least `MIN_UNRESPONSIVE_AGE`, is called the unresponsive limit.
const UNRESPONSIVE_HEDGE_DELAYS: i64 = 2;
/// Smallest age at which a call counts as unresponsive or slow.
const MIN_UNRESPONSIVE_AGE: Micros = SECOND;
/// Number of unresponsive limits after which a call to an ejected scope that sends no response is cancelled;
/// one limit if slots are scarce. Smaller values free slots sooner, larger ones wait longer for a response.
const CANCEL_AFTER_LIMITS: i64 = 2;
/// Factor by which the time before cancellation is longer if the scope is not ejected, or has sent a response
/// since the call was sent, but the class of the call has had no success at the endpoint since then.
const CLASS_CANCEL_FACTOR: i64 = 2;
/// Age, in halves of the unresponsive limit, at which a call is cancelled if a call of the same class that
/// was sent to the same endpoint at least half an unresponsive limit later has succeeded. The age is
/// multiplied by the number of the message's attempt, counted from 1.
const OVERTAKEN_HALF_LIMITS: i64 = 3;
/// Share of the call slots in use at or above which slots count as scarce: overdue calls are then cancelled
/// sooner, and calls that carry unsafe messages are cancelled too. Smaller values abandon more messages,
/// larger ones free fewer slots.
const SCARCE_SLOTS_SHARE: f64 = 0.7;
/// Share of the latency objective up to which the oldest message of equal priority weight is sent first.
/// Beyond it, the message whose delivery still has the highest value is sent first.
const OLDEST_FIRST_SHARE: f64 = 0.9;
/// A call that has been in flight for more than this many typical latencies makes its scope slow. Slow and
/// ejected scopes share a bounded part of the slots. Smaller values isolate slow scopes sooner, larger ones
/// leave room for long but healthy calls.
const SLOW_CALL_MULTIPLE: i64 = 4;
/// The typical latency is a moving average, in which each new latency has a weight of one divided by this
/// number: small enough that a short disturbance hardly changes the average.
const TYPICAL_LATENCY_DIVISOR: i64 = 50;
/// Number of latencies needed before the hedge delay may fall below its default. Smaller values find slow
/// calls sooner, larger ones send fewer hedged requests to destinations with little traffic.
const MIN_LATENCY_SAMPLES: usize = 8;
/// Weight of a connection reset relative to other failures. A connection may break although the process at
/// its other end is healthy; if the process has died, the connections that follow are refused too. Larger
/// values detect a dead process sooner, smaller ones avoid ejecting destinations behind unreliable
/// connections.
const RESET_FAILURE_WEIGHT: f64 = 0.3;
/// Smallest number of consecutive rejections after which the destination is assumed to reject all calls (an
/// open circuit) rather than those above a limit, if the rejections have lasted for `MIN_CIRCUIT_OPEN_SPAN`.
const MIN_CIRCUIT_OPEN_REJECTIONS: u32 = 4;
/// Shortest duration of consecutive rejections after which an open circuit is assumed.
const MIN_CIRCUIT_OPEN_SPAN: Micros = SECOND;
/// Share of the recovery budget that this sender uses; `allowed_refill` describes the budget. Larger values
/// recover sooner, smaller ones leave room for other senders.
const RECOVERY_BUDGET_SHARE: f64 = 0.7;
/// Smallest number of probes that all senders together may send to an ejected scope in each overload window,
/// even if the recovery budget allows fewer. Larger values detect recovery sooner, smaller ones put less load
/// on a small destination.
const MIN_FLEET_PROBES: f64 = 3.0;
/// Weight of a call in the connection rejection score, which is a moving average, if no connection could be
/// opened for the call or the endpoint's connection table was full.
const CONNECTION_REJECTION_WEIGHT: f64 = 0.2;
/// Connection rejection score above which idle connections are closed. Smaller values relieve busy endpoints
/// sooner, larger ones save handshakes.
const CONNECTION_REJECTION_THRESHOLD: f64 = 0.1;
/// A reported remaining share may exceed 1 by up to this amount, because reports may contain noise. Reports
/// with a larger or a negative share are ignored.
const REMAINING_SHARE_TOLERANCE: f64 = 0.2;
/// A reported remaining share above this value is treated as this value when the upper bound of the rate
/// limit is computed. With 0.3, the bound is at most about two fair shares; with a larger value, all senders
/// together would exceed the limit before they receive the next report.
const MAX_COUNTED_REMAINING_SHARE: f64 = 0.3;
/// Relative change of the rate limit with each report, per unit by which the remaining share differs from the
/// target. Larger values follow the demand sooner but oscillate.
const REMAINING_SHARE_GAIN: f64 = 0.15;
/// Remaining share of an announced limit at which the rate limit neither rises nor falls.
const TARGET_REMAINING_SHARE: f64 = 0.5;
/// Lower bound of the rate limit if a limit is announced, as a share of the fair share: no sender starves. As
/// the value is below 1, the sum of these lower bounds over all senders stays below the limit.
const MIN_FAIR_SHARE: f64 = 0.7;
/// Backoff before the first retry of a message. Longer values save attempts, shorter ones save time.
const INITIAL_RETRY_BACKOFF: Micros = 150 * MILLISECOND;
/// Longest backoff before a retry. Longer values save attempts, shorter ones save time.
const MAX_RETRY_BACKOFF: Micros = 2 * SECOND;
/// Safety margin before a deadline, and before the end of a deduplication window: no attempt starts within
/// it.
pub(crate) const DEADLINE_MARGIN: Micros = 30 * MILLISECOND;
/// Share of the capacity for pending messages (`max_pending`) above which messages are shed if their
/// destination has no healthy scope.
const SHEDDING_THRESHOLD: f64 = 0.85;
/// Average wait between the first failed subscription to the endpoint list and the next attempt. It doubles
/// with each further failure.
pub(crate) const INITIAL_LIST_BACKOFF: Micros = 300 * MILLISECOND;
/// Upper bound of the average wait after a failed subscription to the endpoint list.
const MAX_LIST_BACKOFF: Micros = 4 * SECOND;
/// Largest announced limit, in calls per second, that is accepted. Load reports with a larger limit are
/// ignored.
const MAX_ANNOUNCED_LIMIT: f64 = 1e5;
/// Capacity of a tenant's token bucket: the tokens that are added in this many seconds, but at least one.
const TENANT_BURST_SECONDS: f64 = 2.0;

impl Sender {
    /// Creates a sender that knows no endpoints and holds no messages. The same `seed` and the same events
    /// always result in the same decisions.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let list_retry_at = settings.list_requires_subscription.then_some(Micros::MIN);
        let tenant_tokens = settings.tenants.iter().map(|_| (f64::MAX, 0)).collect();
        Ok(Sender {
            settings,
            random: Pcg32::seed_from_u64(seed),
            now: 0,
            alarm: Micros::MAX,
            endpoints: BTreeMap::new(),
            endpoints_by_destination: BTreeMap::new(),
            last_listed_at: BTreeMap::new(),
            scopes: BTreeMap::new(),
            idle_scopes: BTreeMap::new(),
            idle_scan_position: None,
            removable_endpoints: BTreeSet::new(),
            unlisted_destinations: BTreeSet::new(),
            removable_scopes: BTreeSet::new(),
            messages: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            hedges_in_flight: 0,
            connection_rejection_scores: BTreeMap::new(),
            tenant_tokens,
            list_retry_at,
            list_retry_backoff: INITIAL_LIST_BACKOFF,
            shutdown_at: None,
            next_due_at: Micros::MAX,
            scheduler: SendScheduler::default(),
            degraded_calls: 0,
            incremental_scheduling: true,
        })
    }

    /// Runs one turn: applies all events in order, then makes the decisions that are due. The resulting
    /// actions are appended to `actions`. If `now` is earlier than in the previous turn, the previous time is
    /// used, so that time never goes backwards.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.alarm <= self.now {
            self.alarm = Micros::MAX;
        }
        self.rebuild_schedule();
        for event in events {
            self.on_event(event, actions);
        }
        self.next_due_at = Micros::MAX;
        if self.list_retry_at.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.update_changed_entries();
        self.detect_unresponsive_calls(actions);
        self.end_undeliverable(actions);
        self.dispatch_due(actions);
        self.set_alarm(actions);
        self.compact_idle_scopes();
    }

    fn on_event(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { list_kind, entries } => {
                self.on_endpoint_list(*list_kind, entries);
            }
            Event::EndpointListFailed => {
                let jitter = Micros::from(self.random.next_u32()) % self.list_retry_backoff;
                self.list_retry_at = Some(self.now + self.list_retry_backoff / 2 + jitter);
                self.list_retry_backoff = (self.list_retry_backoff * 2).min(MAX_LIST_BACKOFF);
            }
            Event::Accepted(message) => {
                self.on_accepted(message);
                // A destination is unknown if endpoint lists have been received but none has named it, or if
                // its last endpoint was removed more than a retention period ago. The message is rejected at
                // once. The client may retry, because a later list may contain the destination.
                let destination_unknown = !self.last_listed_at.is_empty()
                    && !self.last_listed_at.contains_key(&message.destination);
                let is_rejected = destination_unknown || self.would_wait_too_long(message);
                if let Some(pending) = self.messages.get_mut(&message.id).filter(|_| is_rejected) {
                    pending.rejected_on_arrival = true;
                }
                self.scheduler.mark_changed(message.id);
            }
            Event::Resumed { message, attempts } => self.on_resumed(message, attempts),
            Event::Stopping { ends_at } => self.shutdown_at = Some(*ends_at),
            Event::Notification {
                message,
                key,
                acknowledged,
            } => self.on_notification(*message, *key, *acknowledged),
            Event::RetryAfter {
                endpoint,
                retry_after,
            } => {
                let scope_id = self.scope_of(*endpoint);
                self.apply_retry_after(scope_id, *retry_after, actions);
            }
            Event::AttemptEnded { .. } => self.on_attempt_ended(event, actions),
            Event::MessageCancelled(message) => {
                self.close_message(*message, actions);
                self.remove_if_finished(*message);
            }
            Event::ResponseStarted { .. }
            | Event::Probed { .. }
            | Event::GossipReceived { .. }
            | Event::Alarm => {}
        }
    }

    /// Adds an accepted message. Messages beyond the allowance of their tenant get a lower priority weight.
    pub(crate) fn on_accepted(&mut self, new: &NewMessage) {
        let deadline = self.now + new.time_left;
        let class = self.settings.classes.get(new.class);
        let (mut priority_weight, ordered) =
            class.map_or((1.0, false), |class| (class.priority_weight, class.ordered));
        let accepted_at = class.map_or(self.now, |class| deadline - class.deadline);
        if let Some(tenant) = new
            .tenant
            .and_then(|index| self.settings.tenants.get(index))
        {
            let rate = tenant.allowance / f64::from(self.settings.senders);
            let (tokens, updated_at) = &mut self.tenant_tokens[new.tenant.unwrap_or_default()];
            *tokens = (*tokens + rate * seconds(self.now - *updated_at))
                .min((rate * TENANT_BURST_SECONDS).max(1.0));
            *updated_at = self.now;
            let within_share = *tokens >= 1.0;
            *tokens -= f64::from(u8::from(within_share));
            priority_weight *= if within_share {
                1.0
            } else {
                self.settings.over_share_weight
            };
        }
        let key = new.key.filter(|_| ordered);
        if let Some(key) = key {
            self.key_queues
                .entry(key)
                .or_default()
                .messages
                .push_back(new.id);
            if self.key_queues.len() > 2 * self.settings.max_pending {
                self.remove_idle_key_queues();
            }
        }
        let mut message = PendingMessage {
            key,
            accepted_at,
            deadline,
            priority_weight,
            open: true,
            ..PendingMessage::default()
        };
        (message.class, message.destination, message.retry_backoff) =
            (new.class, new.destination, INITIAL_RETRY_BACKOFF);
        (message.deferred, message.max_attempts) = (new.deferred, self.settings.max_attempts);
        self.messages.insert(new.id, message);
        self.scheduler.mark_changed(new.id);
        self.expand_scopes_of(new.destination);
    }

    /// Delays the first calls to a destination after a restart by a random time: at most the interval between
    /// two calls at the rate limit, and at most `MAX_RESUME_DELAY_SHARE` of the time available. If all
    /// senders restart at once, each would otherwise send a call immediately, before any of them knows a
    /// limit. If only this sender was restarted, the delay is unnecessary, but the sender cannot detect this
    /// case. A later message with less time left shortens the delay.
    pub(crate) fn stagger_after_restart(
        &mut self,
        class: usize,
        destination: DestinationId,
        time_left: Micros,
    ) {
        let time_available = self
            .settings
            .classes
            .get(class)
            .map_or(0, |class| class.latency_objective.min(time_left));
        for endpoint in self
            .endpoints_by_destination
            .get(&destination)
            .cloned()
            .unwrap_or_default()
        {
            let (scope_id, phase) = (self.scope_of(endpoint), self.random_phase());
            let (is_known, scope) = (
                self.scopes.contains_key(&scope_id),
                self.scope_mut(scope_id),
            );
            let max_delay_tokens =
                (scope.rate_limit * MAX_RESUME_DELAY_SHARE * seconds(time_available)).min(1.0);
            let min_tokens = if scope.last_sent_at == 0 {
                1.0 - max_delay_tokens
            } else {
                f64::MIN
            };
            scope.tokens = if is_known {
                scope.tokens.max(min_tokens)
            } else {
                scope.tokens - phase * max_delay_tokens
            };
        }
        self.scheduler.activate_destination(destination);
    }

    /// Applies the outcome of an attempt to its message, its call and its health scope.
    pub(crate) fn on_outcome(
        &mut self,
        id: MessageId,
        index: usize,
        outcome: Outcome,
        latency: Micros,
        report: &[f64],
        actions: &mut Vec<Action>,
    ) {
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let Some(attempt) = message
            .attempts
            .get_mut(index)
            .filter(|attempt| attempt.in_flight)
        else {
            return;
        };
        attempt.in_flight = false;
        attempt.may_have_run = !outcome.never_ran();
        let (call_id, endpoint_id, sent_at) = (attempt.call_id, attempt.endpoint, attempt.sent_at);
        let class = message.class;
        let scope = self
            .calls
            .get(&call_id)
            .and_then(|call| self.scopes.get(&call.scope));
        // If a destination announces a limit, each response that its application sends contains a load
        // report. A rejection without a report was caused by a full connection table, not by the limit.
        let announced_limit = scope
            .and_then(|scope| scope.announced_limit)
            .filter(|_| report.is_empty());
        let connections_full =
            announced_limit.is_some() && outcome == Outcome::Rejected { retry_after: None };
        // The backoff also applies after an attempt that the host could not send; otherwise a lasting fault
        // on the host would use up all attempts at once. It does not apply if only a free slot was missing.
        if !matches!(
            outcome,
            Outcome::Success | Outcome::Unsent { no_slot: true }
        ) {
            let backoff = message.retry_backoff;
            message.retry_backoff = (backoff * 2).min(MAX_RETRY_BACKOFF);
            // With a rate limit or a retry-after delay, the health scope already delays the retry.
            let is_rate_limited = scope.is_some_and(|scope| {
                scope.announced_limit.is_some() || scope.rate_limit.is_finite()
            });
            let delayed_by_rate = matches!(
                outcome,
                Outcome::Rejected { retry_after }
                    if is_rate_limited && !connections_full || retry_after.is_some()
            );
            message.retry_at = self.now + if delayed_by_rate { 0 } else { backoff };
        }
        let may_still_run = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(key_queue) = message
            .key
            .filter(|_| may_still_run)
            .and_then(|key| self.key_queues.get_mut(&key))
        {
            key_queue.blocked_until = key_queue
                .blocked_until
                .max(self.now + self.settings.safety.ordered_key_backoff);
            key_queue
                .messages
                .front()
                .into_iter()
                .for_each(|&head| self.scheduler.mark_changed(head));
        }
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        let (scope_id, is_first_outcome, is_hedge) = (
            call.scope,
            call.pending_outcomes == call.batch_size,
            call.is_hedge,
        );
        call.pending_outcomes -= 1;
        let is_finished = call.pending_outcomes == 0;
        self.scheduler.activate_destination(scope_id.0);
        if is_finished {
            self.calls.remove(&call_id);
            self.scheduler.call_ended(endpoint_id);
            self.hedges_in_flight -= usize::from(is_hedge);
            let scope = self.scope_mut(scope_id);
            scope.in_flight = scope.in_flight.saturating_sub(1);
            scope.reset_responsiveness();
            self.release_idle_connections(scope_id, endpoint_id, actions);
        }
        if let Outcome::Rejected {
            retry_after: Some(delay),
        } = outcome
        {
            self.apply_retry_after(scope_id, delay, actions);
        }
        if is_first_outcome {
            self.on_load_report(scope_id, report);
            self.on_call_result(
                scope_id,
                (endpoint_id, class, sent_at),
                (outcome, connections_full),
                latency,
                actions,
            );
        }
        self.settle_scope_tokens(scope_id);
    }

    /// Updates the health of the endpoint and its health scope from the first outcome of a call.
    /// `connections_full`: the rejection came from a full connection table.
    fn on_call_result(
        &mut self,
        scope_id: HealthScopeId,
        (endpoint_id, class, sent_at): (EndpointId, usize, Micros),
        (outcome, connections_full): (Outcome, bool),
        latency: Micros,
        actions: &mut Vec<Action>,
    ) {
        let (now, overload_window, slow_start) = (
            self.now,
            self.settings.safety.overload_window,
            self.settings.safety.slow_start,
        );
        let (slots, senders) = (
            self.settings.call_slots as f64,
            f64::from(self.settings.senders),
        );
        let phase = self.random_phase();
        let unresponsive_after = self.scope_mut(scope_id).unresponsive_after();
        // Failure rate of this class at this endpoint if another class has succeeded there since the failures
        // began; otherwise 0.
        let mut class_failure_rate = 0.0;
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) {
            for score in [
                self.connection_rejection_scores
                    .entry(endpoint.kind)
                    .or_default(),
                &mut endpoint.connection_rejection_score,
            ] {
                if connections_full || outcome == Outcome::NoConnection {
                    *score += CONNECTION_REJECTION_WEIGHT * (1.0 - *score);
                } else if outcome == Outcome::Success {
                    *score -= CONNECTION_REJECTION_WEIGHT * CONNECTION_REJECTION_THRESHOLD * *score;
                }
            }
            // Health is also recorded for each class, because one class may fail or get no response at an
            // endpoint where other classes succeed. A cancelled attempt counts as a failure if it was in
            // flight for longer than the unresponsive limit.
            let record = endpoint.class_health.entry(class).or_default();
            if outcome == Outcome::Success {
                (record.consecutive_failures, record.last_success_at) = (0, now);
                record.last_success_sent_at = record.last_success_sent_at.max(sent_at);
                record.failure_rate -= CLASS_FAILURE_WEIGHT * record.failure_rate;
            } else if outcome.is_failure()
                || outcome == Outcome::Cancelled && latency > unresponsive_after
            {
                record.consecutive_failures += 1;
                record.avoided_until =
                    now + ((overload_window / 4) << record.consecutive_failures.min(3));
                record.failure_rate += CLASS_FAILURE_WEIGHT * (1.0 - record.failure_rate);
                record.first_failure_sent_at = if record.consecutive_failures == 1 {
                    sent_at
                } else {
                    record.first_failure_sent_at
                };
                let (first_failure_sent_at, failure_rate) =
                    (record.first_failure_sent_at, record.failure_rate);
                let succeeded_since = |(&other, health): (&usize, &ClassHealth)| {
                    other != class && health.last_success_at > first_failure_sent_at
                };
                class_failure_rate = if endpoint.class_health.iter().any(succeeded_since) {
                    failure_rate
                } else {
                    0.0
                };
            }
        }
        let reports_remaining = self.settings.report_remaining_index.is_some();
        let implies_limit = self
            .scopes
            .get(&scope_id)
            .is_some_and(|scope| scope.rejections_imply_limit(&self.settings, now));
        let scope = self.scope_mut(scope_id);
        if matches!(
            outcome,
            Outcome::Success | Outcome::Error | Outcome::Rejected { .. }
        ) {
            scope.last_alive_at = now;
        }
        match outcome {
            Outcome::Success => {
                scope.record_latency(latency);
                scope.consecutive_rejections = 0;
                scope.succeeded_since_reduction = true;
                // An outage, including the recovery from it, is assumed to last for at most
                // `MAX_OUTAGE_SLOW_STARTS` slow starts. A scope that has been unhealthy for longer and still
                // has successes is noisy rather than down. So may be a busy scope whose outage is unconfirmed
                // and whose baseline is unknown.
                let baseline_unknown = scope.outage_evidence.observed_calls() < MIN_KNOWN_CALLS
                    && scope.average_send_rate(now, overload_window / 30) >= BUSY_CALLS_PER_S;
                let is_noise = now - scope.unhealthy_since > MAX_OUTAGE_SLOW_STARTS * slow_start
                    || now < scope.outage_unconfirmed_until && baseline_unknown;
                let updates_baseline = scope.health == Health::Healthy || is_noise;
                scope
                    .outage_evidence
                    .record_success(updates_baseline, CONFIRMED_OUTAGE_EVIDENCE);
                scope.success_times.push(now, usize::MAX);
                let success_rate = scope.success_rate(now, overload_window);
                if !implies_limit {
                    let recent_rate = scope.recent_success_rate(now, overload_window);
                    let advice = scope.rejections.on_response(
                        false,
                        sent_at,
                        now,
                        scope.rate_limit,
                        recent_rate,
                    );
                    scope.apply_rate_advice(advice, recent_rate);
                }
                if !(scope.rejections.is_probing_rate()
                    || reports_remaining && scope.announced_limit.is_some())
                {
                    scope.increase_rate();
                }
                // Calls served during recovery must not raise the budget of that recovery.
                scope.best_rate = scope.best_rate.max(if scope.health == Health::Healthy {
                    success_rate
                } else {
                    0.0
                });
                scope.concurrency_window = (scope.concurrency_window
                    + 1.0 / scope.concurrency_window)
                    .min(MAX_WINDOW_SHARE * slots);
                match scope.health {
                    // With little outage evidence, rejections or missing responses caused the ejection. If
                    // the first probe then succeeds, the scope was throttled or slow, not down. After a
                    // longer ejection by rejections, it still gets a slow start.
                    Health::Ejected {
                        unresponsive,
                        since,
                    } if scope.outage_evidence.evidence() < MAX_RELIABLE_EVIDENCE
                        && (unresponsive || now - since < 2 * overload_window) =>
                    {
                        scope.health = Health::Healthy;
                    }
                    Health::Ejected { .. } if now < scope.outage_unconfirmed_until => {}
                    Health::Ejected { .. } => {
                        scope.outage_evidence.set_evidence(
                            scope.outage_evidence.evidence().min(MAX_RECOVERY_EVIDENCE),
                        );
                        // The recovery began at some time between the last failed call and this one. The
                        // midpoint is used, but at most half a slow start before this call was sent.
                        let since = sent_at
                            - (sent_at - scope.last_failed_sent_at).clamp(0, slow_start) / 2;
                        (scope.health, scope.slow_start_ends_at) =
                            (Health::Recovering { since }, now + slow_start);
                        actions.push(Action::Log(format!("destination {} returns", scope_id.0)));
                    }
                    Health::Recovering { .. } if now > scope.slow_start_ends_at => {
                        scope.health = Health::Healthy;
                    }
                    _ => {}
                }
            }
            Outcome::Rejected { retry_after } => {
                scope.last_failed_sent_at = scope.last_failed_sent_at.max(sent_at);
                scope.rejected_since = if scope.consecutive_rejections == 0 {
                    now
                } else {
                    scope.rejected_since
                };
                scope.consecutive_rejections += 1;
                let success_rate = scope.success_rate(now, overload_window);
                let limit_known = retry_after.is_some() || implies_limit;
                let baseline_rate = if limit_known {
                    0.0
                } else {
                    scope.rejections.baseline_rate()
                };
                let min_rejections = MIN_CIRCUIT_OPEN_REJECTIONS.max(if limit_known {
                    0
                } else {
                    (EJECTION_THRESHOLD
                        / OutageEvidence::failure_log_likelihood_ratio(baseline_rate))
                    .ceil() as u32
                });
                let circuit_open = scope.consecutive_rejections >= min_rejections
                    && now - scope.rejected_since >= MIN_CIRCUIT_OPEN_SPAN;
                let recent_rate = scope.recent_success_rate(now, overload_window);
                let advice = match limit_known {
                    true if connections_full => RateAdvice::Keep,
                    true => RateAdvice::Reduce,
                    false => scope.rejections.on_response(
                        true,
                        sent_at,
                        now,
                        scope.rate_limit,
                        recent_rate,
                    ),
                };
                scope.apply_rate_advice(advice, recent_rate);
                // An open circuit needs a finite rate limit: calls continue at this rate and show when the
                // circuit closes again.
                let needs_rate_limit =
                    circuit_open && !limit_known && scope.rate_limit.is_infinite();
                if (advice == RateAdvice::Reduce && scope.reduce_window(sent_at, now))
                    || needs_rate_limit
                {
                    scope.reduce_rate(success_rate, senders, phase);
                    scope.limited_by_rejection = true;
                }
                if circuit_open {
                    self.eject(scope_id, false, "shut", actions);
                }
            }
            _ if outcome.is_failure() => {
                scope.last_failed_sent_at = scope.last_failed_sent_at.max(sent_at);
                let is_reset = outcome == Outcome::Reset;
                let evidence = scope.outage_evidence.record_failure(
                    if is_reset { RESET_FAILURE_WEIGHT } else { 1.0 },
                    class_failure_rate,
                );
                let (success_rate, without_success) = (
                    scope.success_rate(now, overload_window),
                    !scope.succeeded_since_reduction,
                );
                let congested = outcome != Outcome::Error
                    || without_success && evidence > EJECTION_THRESHOLD / 2.0;
                let window_reduced = !is_reset && congested && scope.reduce_window(sent_at, now);
                // In an outage of a scope with at least one call per overload window, the outage evidence
                // soon leads to an ejection. The rate is reduced only for scopes with fewer calls.
                let is_rarely_called =
                    scope.average_send_rate(now, slow_start) * seconds(overload_window) < 1.0;
                if window_reduced && without_success && is_rarely_called {
                    scope.reduce_rate(success_rate, senders, phase);
                }
                scope.succeeded_since_reduction &= is_reset;
                if evidence >= CONFIRMED_OUTAGE_EVIDENCE {
                    scope.outage_unconfirmed_until = now;
                }
                if evidence >= EJECTION_THRESHOLD {
                    self.eject(scope_id, false, "fails", actions);
                }
            }
            _ => {}
        }
    }

    /// Blocks a health scope for a retry-after delay, and ejects the scope if the delay is longer than two
    /// overload windows.
    fn apply_retry_after(
        &mut self,
        scope_id: HealthScopeId,
        retry_after: Micros,
        actions: &mut Vec<Action>,
    ) {
        if retry_after > 2 * self.settings.safety.overload_window {
            // The destination is out of service rather than throttled, so it needs a slow start afterwards.
            self.eject(scope_id, false, "shut", actions);
        }
        let until = self.now + retry_after + MILLISECOND;
        self.settle_scope_tokens(scope_id);
        self.scope_mut(scope_id).retry_after_until =
            self.scope_mut(scope_id).retry_after_until.max(until);
        self.scheduler.activate_destination(scope_id.0);
    }

    /// Adjusts the rate limit to a load report. The report describes the limit that all senders share, and is
    /// the only information about their total load. The rate limit rises while more than
    /// `TARGET_REMAINING_SHARE` of the limit remains, and falls while less remains. It is at most the fair
    /// share divided by the square of the used share: exactly the fair share if nothing remains, more
    /// otherwise. This upper bound protects destinations whose limit also counts rejected calls. Its
    /// disadvantage is that it can slow down a sender that has most of the traffic.
    fn on_load_report(&mut self, scope_id: HealthScopeId, report: &[f64]) {
        let read_field =
            |position: Option<usize>| position.and_then(|index| report.get(index).copied());
        let (limit, remaining) = (
            read_field(self.settings.report_limit_index),
            read_field(self.settings.report_remaining_index),
        );
        let fair_share = limit.unwrap_or(0.0) / f64::from(self.settings.senders);
        let Some(limit) = limit.filter(|&limit| limit > 0.0 && limit <= MAX_ANNOUNCED_LIMIT) else {
            return;
        };
        if remaining
            .is_some_and(|remaining| !(0.0..=1.0 + REMAINING_SHARE_TOLERANCE).contains(&remaining))
        {
            return; // a report with an impossible remaining share is not trusted for the limit either
        }
        let (now, overload_window) = (self.now, self.settings.safety.overload_window);
        let waiting_calls =
            self.scheduler.pending_count(scope_id.0) / self.batch_size_for(scope_id.0);
        let scope = self.scope_mut(scope_id);
        let application_limited_rate = (APPLICATION_LIMITED_MULTIPLE
            * scope.success_rate(now, overload_window))
        .max(APPLICATION_LIMITED_FAIR_SHARES * fair_share);
        let rate_limit = if scope.announced_limit.is_none() && !scope.limited_by_rejection {
            f64::INFINITY
        } else {
            scope.rate_limit
        };
        let max_rate = if rate_limit.is_finite() && waiting_calls > scope.in_flight + 1 {
            limit
        } else {
            application_limited_rate
        };
        (scope.announced_limit, scope.fair_share) = (Some(limit), fair_share);
        scope.best_rate = scope.best_rate.max(fair_share);
        let adjusted_rate = match remaining.map(|remaining| remaining.clamp(0.0, 1.0)) {
            Some(remaining) => {
                let used_share = 1.0 - remaining.min(MAX_COUNTED_REMAINING_SHARE);
                (rate_limit * (REMAINING_SHARE_GAIN * (remaining - TARGET_REMAINING_SHARE)).exp())
                    .min(fair_share / (used_share * used_share))
                    .min(max_rate)
            }
            None if rate_limit.is_infinite() => fair_share.max(MIN_RATE_AFTER_FIRST_REJECTION),
            None => rate_limit,
        };
        (scope.rate_limit, scope.limited_by_rejection) = (
            adjusted_rate.max(fair_share * MIN_FAIR_SHARE).min(limit),
            true,
        );
    }

    /// Closes the idle connections to an endpoint that has no call in flight and has recently rejected
    /// connections. If the scope is called so rarely that its connections would time out before they are used
    /// again, they are closed as soon as other endpoints of the same kind reject connections. This protects
    /// endpoints that accept few connections from hundreds of senders that each keep an idle one. Its
    /// disadvantage is that the next call needs a new handshake, also if traffic comes in bursts with long
    /// pauses.
    fn release_idle_connections(
        &mut self,
        scope_id: HealthScopeId,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let (now, idle_timeout) = (self.now, self.settings.idle_connection_timeout);
        let scope = self.scope_mut(scope_id);
        let send_rate = scope.average_send_rate(now, idle_timeout);
        let Some(endpoint_state) = self.endpoints.get(&endpoint) else {
            return;
        };
        let is_rarely_called = send_rate * seconds(idle_timeout) < 1.0;
        let kind_score = self
            .connection_rejection_scores
            .get(&endpoint_state.kind)
            .copied()
            .unwrap_or(0.0);
        let is_rejecting_connections = endpoint_state.connection_rejection_score
            > CONNECTION_REJECTION_THRESHOLD
            || is_rarely_called && kind_score > CONNECTION_REJECTION_THRESHOLD;
        if is_rejecting_connections && self.scheduler.calls_to(endpoint) == 0 {
            actions.push(Action::CloseIdleConnections(endpoint));
        }
    }

    /// Ejects a health scope: it gets only probes until one of them succeeds. If the scope is already
    /// ejected, the time of the ejection stays the same, and only the concurrency window is bounded. `reason`
    /// is `"shut"` after rejections or a long retry-after delay, `"fails"` after failures, and `"silent"` if
    /// no responses arrive.
    fn eject(
        &mut self,
        scope_id: HealthScopeId,
        unresponsive: bool,
        reason: &str,
        actions: &mut Vec<Action>,
    ) {
        let (max_window, now) = (
            slot_share(self.settings.call_slots, MAX_DEGRADED_SHARE) as f64,
            self.now,
        );
        let (phase, overload_window) = (self.random_phase(), self.settings.safety.overload_window);
        let slow_start = self.settings.safety.slow_start;
        self.scheduler.activate_destination(scope_id.0);
        let scope = self.scope_mut(scope_id);
        if !matches!(scope.health, Health::Ejected { .. }) {
            scope.tokens = phase;
            // While the scope is ejected or recovering, the recovery budget bounds its rate. The rate limit
            // is therefore raised again to at least the best rate, unless the destination rejected calls or
            // demanded a long delay.
            scope.rate_limit = if reason == "shut" {
                scope.rate_limit
            } else {
                scope.rate_limit.max(scope.best_rate)
            };
            actions.push(Action::Log(format!(
                "destination {} sick: {reason}",
                scope_id.0
            )));
            if scope.health == Health::Healthy {
                (scope.unhealthy_since, scope.healthy_rate) =
                    (now, scope.average_send_rate(now, slow_start));
            }
            let baseline_unknown = scope.outage_evidence.observed_calls() < MIN_KNOWN_CALLS
                && scope.average_send_rate(now, overload_window / 30) >= BUSY_CALLS_PER_S;
            let is_noisy =
                baseline_unknown || scope.outage_evidence.baseline_rate() >= NOISY_BASELINE_RATE;
            let is_unconfirmed = is_noisy && scope.health == Health::Healthy && reason == "fails";
            scope.outage_unconfirmed_until = if is_unconfirmed {
                now + overload_window
            } else {
                now
            };
            if !is_unconfirmed && now - scope.unhealthy_since <= MAX_OUTAGE_SLOW_STARTS * slow_start
            {
                scope.outage_evidence.exclude_outage_from_baseline();
            }
            scope.health = Health::Ejected {
                unresponsive,
                since: now,
            };
        }
        scope.concurrency_window = scope.concurrency_window.min(max_window);
        self.settle_scope_tokens(scope_id);
    }

    /// Ejects healthy scopes that have sent no response since a call in flight was sent, if this call is
    /// older than the unresponsive limit. A single long call may be the only traffic of a scope, so a scope
    /// with only one such call is ejected only after twice the limit. Also cancels attempts that have waited
    /// too long for a response or that later calls have overtaken, if cancellation is enabled; attempts of
    /// unsafe messages are cancelled only if slots are scarce. This keeps hung, unreachable or very slow
    /// destinations from occupying the slots that calls to healthy ones need.
    fn detect_unresponsive_calls(&mut self, actions: &mut Vec<Action>) {
        for call in self.calls.values() {
            if let Some(scope) = self.scopes.get_mut(&call.scope) {
                scope.reset_responsiveness();
            }
        }
        for call in self.calls.values() {
            let Some(scope) = self.scopes.get_mut(&call.scope) else {
                continue;
            };
            let age = self.now - call.sent_at;
            let unresponsive_after = scope.unresponsive_after();
            for check_at in
                [1, 2, 4].map(|limits| call.sent_at + limits * unresponsive_after + MILLISECOND)
            {
                self.next_due_at = if check_at > self.now {
                    self.next_due_at.min(check_at)
                } else {
                    self.next_due_at
                };
            }
            scope.is_slow |= age
                > MIN_UNRESPONSIVE_AGE
                    .max(scope.typical_latency.unwrap_or(DEFAULT_HEDGE_DELAY) * SLOW_CALL_MULTIPLE);
            if scope.last_alive_at < call.sent_at {
                scope.unresponsive_calls +=
                    usize::from(age > scope.unresponsive_after() && !call.is_hedge);
                scope.unresponsive_age = scope.unresponsive_age.max(age);
            }
        }
        let is_unresponsive = |scope: &HealthScope| {
            let lone_call_overdue = scope.unresponsive_age > 2 * scope.unresponsive_after();
            scope.health == Health::Healthy
                && scope.unresponsive_calls > 0
                && (scope.unresponsive_calls > 1 || lone_call_overdue)
        };
        let scopes_in_use: BTreeSet<HealthScopeId> =
            self.calls.values().map(|call| call.scope).collect();
        let ids: Vec<_> = scopes_in_use
            .into_iter()
            .filter(|id| self.scopes.get(id).is_some_and(is_unresponsive))
            .collect();
        ids.into_iter()
            .for_each(|id| self.eject(id, true, "silent", actions));
        let slots_scarce =
            self.calls.len() >= slot_share(self.settings.call_slots, SCARCE_SLOTS_SHARE);
        for &message in &self.scheduler.in_flight {
            let Some(pending) = self.messages.get_mut(&message) else {
                continue;
            };
            let class = self.settings.classes.get(pending.class);
            let repeatable = class.is_some_and(|class| class.effect != Effect::Unsafe);
            let may_cancel = self.settings.cancellation_enabled && (slots_scarce || repeatable);
            for (index, attempt) in pending.attempts.iter_mut().enumerate() {
                let call = self
                    .calls
                    .get(&attempt.call_id)
                    .filter(|_| may_cancel && attempt.in_flight && !attempt.cancelled);
                let Some(scope) = call.and_then(|call| self.scopes.get(&call.scope)) else {
                    continue;
                };
                let is_ejected = scope.last_alive_at < attempt.sent_at
                    && matches!(scope.health, Health::Ejected { .. });
                let class_records = self
                    .endpoints
                    .get(&attempt.endpoint)
                    .map(|endpoint| &endpoint.class_health);
                let class = class_records.and_then(|classes| classes.get(&pending.class));
                let (last_success_at, last_success_sent_at) = class.map_or((0, 0), |class| {
                    (class.last_success_at, class.last_success_sent_at)
                });
                let limits = (if slots_scarce { 1 } else { CANCEL_AFTER_LIMITS })
                    * if is_ejected { 1 } else { CLASS_CANCEL_FACTOR };
                let (age, unresponsive_after) =
                    (self.now - attempt.sent_at, scope.unresponsive_after());
                let is_overdue = age > limits * unresponsive_after
                    && (is_ejected || last_success_at < attempt.sent_at);
                // If a call that was sent at least half an unresponsive limit later has succeeded, the
                // connection of this call is presumed broken.
                let is_overtaken = last_success_sent_at > attempt.sent_at + unresponsive_after / 2
                    && 2 * age > OVERTAKEN_HALF_LIMITS * unresponsive_after * (index as i64 + 1);
                if is_overdue || is_overtaken {
                    attempt.cancelled = true;
                    actions.push(Action::Cancel {
                        message,
                        attempt: index,
                    });
                }
            }
        }
    }

    // ---- what the delivery rules allow --------------------------------------------------------

    /// Whether the delivery rules allow an attempt of the message at this endpoint now. Load and health are
    /// not considered; `check_admission` checks them.
    fn is_send_allowed(&self, id: MessageId, message: &PendingMessage, target: &Endpoint) -> bool {
        let has_attempt_in_flight = message.attempts.iter().any(|attempt| attempt.in_flight);
        if !message.open
            || !target.serving
            || target.destination != message.destination
            || message.attempts.len() >= message.max_attempts
            || self.now + DEADLINE_MARGIN >= message.deadline
            || (has_attempt_in_flight && !self.settings.hedging_enabled)
        {
            return false;
        }
        let is_next_of_key = message
            .key
            .and_then(|key| self.key_queues.get(&key))
            .is_none_or(|key_queue| {
                key_queue.messages.front() == Some(&id)
                    && (self.now >= key_queue.blocked_until || !message.attempts.is_empty())
            });
        is_next_of_key && self.now < self.repeatable_until(message, usize::MAX, Some(target.zone))
    }

    /// The time until which the message may be sent to a zone although its earlier attempts may have been
    /// processed. For a keyed message, this is shortly before the end of the deduplication window. The
    /// attempt at `excluded_index` is ignored. `Micros::MAX` means without limit, `Micros::MIN` never.
    pub(crate) fn repeatable_until(
        &self,
        message: &PendingMessage,
        excluded_index: usize,
        zone: Option<u16>,
    ) -> Micros {
        let effect = self.effect_of(message.class);
        let until = |attempt: &Attempt| match effect {
            Effect::Repeatable => Micros::MAX,
            Effect::Keyed {
                zone_only: true, ..
            } if !self.is_in_zone(attempt.endpoint, zone) => Micros::MIN,
            Effect::Keyed { window, .. } => attempt.sent_at + window - DEADLINE_MARGIN,
            Effect::Unsafe => Micros::MIN,
        };
        message
            .possibly_executed_attempts(excluded_index)
            .map(until)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// Whether a call may start at a health scope: checks the retry-after delay, free slots, a pending
    /// shutdown, and then the window, rate limit and health. `joins_call`: the message would join a call that
    /// this turn has opened.
    fn check_admission(
        &self,
        scope_id: HealthScopeId,
        unsafe_class: bool,
        is_hedge: bool,
        joins_call: bool,
    ) -> Result<(), BlockedUntil> {
        let retry_after_until = self
            .scopes
            .get(&scope_id)
            .map_or(0, |scope| scope.retry_after_until);
        if self.now < retry_after_until {
            return Err(BlockedUntil {
                until: retry_after_until,
                by_degraded_load: false,
            });
        }
        let destination_scopes = self
            .scopes
            .range((scope_id.0, None)..=(scope_id.0, Some(EndpointId(u32::MAX))));
        let in_flight: usize = destination_scopes.map(|(_, scope)| scope.in_flight).sum();
        let slots = self.settings.call_slots;
        let slots_used_up =
            self.calls.len() >= slots || in_flight >= slot_share(slots, MAX_WINDOW_SHARE);
        if slots_used_up && !joins_call {
            return Err(BlockedUntil {
                until: Micros::MAX,
                by_degraded_load: false,
            });
        }
        // A call that the end of the process cuts off may have run. A message whose call would probably not
        // end in time is left to the next process.
        let hedge_delay = self
            .scopes
            .get(&scope_id)
            .and_then(|scope| scope.hedge_delay)
            .unwrap_or(DEFAULT_HEDGE_DELAY);
        if self
            .shutdown_at
            .is_some_and(|shutdown_at| self.now + hedge_delay > shutdown_at)
        {
            return Err(BlockedUntil {
                until: Micros::MAX,
                by_degraded_load: false,
            });
        }
        self.check_scope_limits(scope_id, unsafe_class, is_hedge, joins_call)
    }

    /// The time until which no message of a queue can be sent; `None` if some endpoint admits a call.
    pub(crate) fn blocked_until(&self, queue: &QueueKey) -> Option<BlockedUntil> {
        let unsafe_class = self.effect_of(queue.class) == Effect::Unsafe;
        let mut combined = BlockedUntil {
            until: Micros::MAX,
            by_degraded_load: false,
        };
        for endpoint in self
            .endpoints_by_destination
            .get(&queue.destination)
            .into_iter()
            .flatten()
        {
            let Some(endpoint_state) = self
                .endpoints
                .get(endpoint)
                .filter(|endpoint_state| endpoint_state.serving)
            else {
                continue;
            };
            if queue
                .required_zone
                .is_some_and(|zone| zone != Some(endpoint_state.zone))
            {
                continue;
            }
            let blocked = self
                .check_admission(
                    self.scope_of(*endpoint),
                    unsafe_class,
                    queue.is_hedge,
                    false,
                )
                .err()?;
            combined = BlockedUntil {
                until: combined.until.min(blocked.until),
                by_degraded_load: combined.by_degraded_load || blocked.by_degraded_load,
            };
        }
        Some(combined)
    }

    /// Whether the message may be rejected. The client may retry a rejected message, so a rejection is
    /// allowed only if a repeated delivery would be harmless.
    fn may_reject(&self, message: &PendingMessage) -> bool {
        self.now < self.repeatable_until(message, usize::MAX, None)
    }

    // ---- choices within the rules -------------------------------------------------------------

    /// Ends messages that cannot be delivered any more, and sheds messages of unavailable destinations when
    /// too many are pending.
    fn end_undeliverable(&mut self, actions: &mut Vec<Action>) {
        let excess = self
            .scheduler
            .open_count
            .saturating_sub(slot_share(self.settings.max_pending, SHEDDING_THRESHOLD));
        let undeliverable: BTreeSet<MessageId> = self
            .scheduler
            .undeliverable(self.now + DEADLINE_MARGIN, self.now)
            .collect();
        let mut sheddable = Vec::new();
        for (&destination, candidates) in
            self.scheduler.shedding_candidates().filter(|_| excess > 0)
        {
            if self.has_no_healthy_scope(destination) {
                let may_be_shed = |candidate: &&SheddingOrder| {
                    let message = self.messages.get(&candidate.3);
                    !undeliverable.contains(&candidate.3)
                        && message.is_some_and(|message| {
                            !message.has_attempt_in_flight()
                                && !message.awaits_first_attempt()
                                && self.may_reject(message)
                        })
                };
                sheddable.extend(candidates.iter().filter(may_be_shed).take(excess));
            }
        }
        sheddable.sort_unstable();
        let shed = sheddable.iter().take(excess).map(|&(_, _, _, id)| id);
        let ended: Vec<MessageId> = undeliverable.into_iter().chain(shed).collect();
        for id in ended {
            let Some(message) = self.messages.get(&id) else {
                continue;
            };
            actions.push(if self.may_reject(message) {
                let retry_after = self.settings.max_client_retry_after / 2;
                Action::Reject {
                    message: id,
                    retry_after: (retry_after > 0).then_some(retry_after),
                }
            } else {
                Action::Fail(id)
            });
            self.end_message(id, actions);
        }
    }

    /// The time from which the message cannot be sent any more: it was rejected on arrival, has used all its
    /// attempts, or may have been processed and must not be sent again. `Micros::MIN` means that it cannot be
    /// sent now. `Micros::MAX` means that no such time is known, which is also the result while an attempt is
    /// in flight.
    pub(crate) fn unsendable_from(&self, message: &PendingMessage) -> Micros {
        if message.rejected_on_arrival
            || message.attempts.len() >= message.max_attempts && !message.has_attempt_in_flight()
        {
            return Micros::MIN;
        }
        if message.has_attempt_in_flight() {
            return Micros::MAX;
        }
        let bound_zone = message
            .possibly_executed_attempts(usize::MAX)
            .next()
            .and_then(|attempt| self.zone_of(attempt.endpoint));
        self.repeatable_until(message, usize::MAX, bound_zone)
    }

    /// Whether a new message would be sent only after its latency objective, or after its deadline if it was
    /// resubmitted or is already past the objective. Always false for deferred messages, and unless all
    /// health scopes of the destination are healthy and have an announced limit. If late messages are
    /// rejected on arrival, the queues of the destination stay short, and the client can use a sender with a
    /// shorter queue. The estimate ignores that the rate limit may rise, so a message may be rejected that
    /// could have been sent in time.
    fn would_wait_too_long(&self, new: &NewMessage) -> bool {
        let Some(class) = self
            .settings
            .classes
            .get(new.class)
            .filter(|_| !new.deferred)
        else {
            return false;
        };
        let time_to_objective = new.time_left + class.latency_objective - class.deadline;
        let time_available = if new.resubmitted || time_to_objective <= 0 {
            new.time_left
        } else {
            time_to_objective
        };
        let (messages_ahead, batch_size) = (
            self.scheduler.pending_count(new.destination),
            self.batch_size_for(new.destination),
        );
        let is_late = |scope: &HealthScope| {
            let calls_ahead = 1.0
                + (messages_ahead.saturating_sub(scope.in_flight) / batch_size) as f64
                - scope.tokens_available_at(self.now);
            let is_rate_limited =
                scope.health == Health::Healthy && scope.announced_limit.is_some();
            is_rate_limited && calls_ahead > scope.refill.rate * seconds(time_available)
        };
        let mut scopes = self.scopes_of(new.destination).peekable();
        scopes.peek().is_some() && scopes.all(|scope| scope.is_some_and(is_late))
    }

    /// Whether every health scope of the destination is ejected, recovering or unreliable because of recent
    /// failures.
    fn has_no_healthy_scope(&self, destination: DestinationId) -> bool {
        let is_reliable = |scope: &HealthScope| {
            scope.health == Health::Healthy
                && scope.outage_evidence.evidence() < MAX_RELIABLE_EVIDENCE
        };
        self.scopes_of(destination)
            .all(|scope| scope.is_some_and(|scope| !is_reliable(scope)))
    }

    pub(crate) fn hedge_slots_full(&self) -> bool {
        self.hedges_in_flight >= slot_share(self.settings.call_slots, MAX_HEDGE_SHARE)
    }

    pub(crate) fn degraded_slots_full(&self) -> bool {
        self.degraded_calls >= slot_share(self.settings.call_slots, MAX_DEGRADED_SHARE)
    }

    /// Sort key of a message: messages with a higher urgency are sent first. Up to `OLDEST_FIRST_SHARE` of
    /// the latency objective, the urgency rises with the age, so that the oldest message comes first. After
    /// that, it is proportional to the value that a delivery at this age still has.
    pub(crate) fn urgency(&self, message: &PendingMessage) -> f64 {
        let age = self.now - message.accepted_at;
        let Some(class) = self.settings.classes.get(message.class) else {
            return 0.0;
        };
        let age_in_objectives = age as f64 / class.latency_objective as f64;
        let remaining = if age_in_objectives <= OLDEST_FIRST_SHARE {
            1.0 + age_in_objectives
        } else {
            0.8 * class.remaining_value(age, self.settings.value_decay)
        };
        message.priority_weight * remaining
    }

    /// The urgency phase of a message that was accepted at the given time and waits in the given queue. In
    /// queues of messages that wait for their first attempt since a restart, it is always `MinimumValue`, so
    /// that the oldest message comes first.
    pub(crate) fn urgency_phase(&self, queue: &QueueKey, accepted_at: Micros) -> UrgencyPhase {
        let (age, value_decay) = (self.now - accepted_at, self.settings.value_decay);
        match self.settings.classes.get(queue.class) {
            _ if queue.awaits_first_attempt => UrgencyPhase::MinimumValue,
            Some(class)
                if queue.priority_weight_bits > 0
                    && age as f64 / class.latency_objective as f64 > OLDEST_FIRST_SHARE =>
            {
                match class.remaining_value(age, value_decay) {
                    remaining if remaining <= class.late_value_share => UrgencyPhase::MinimumValue,
                    remaining if remaining >= 1.0 => UrgencyPhase::FullValue,
                    _ => UrgencyPhase::Decaying,
                }
            }
            _ => UrgencyPhase::WithinObjective,
        }
    }

    /// The best endpoint that admits the message, and the call of this turn that it can join, if any. Prefers
    /// healthy scopes, then endpoints where the class does not fail, with fewer attempts of this message,
    /// with fewer calls and in the sender's own zone; ties are broken at random.
    pub(crate) fn select_endpoint(
        &mut self,
        id: MessageId,
        open_calls: &BTreeMap<EndpointId, u64>,
    ) -> Option<(EndpointId, Option<u64>)> {
        let mut options = Vec::new();
        let message = self.messages.get(&id)?;
        let is_hedge = message.has_attempt_in_flight();
        let unsafe_class = self.effect_of(message.class) == Effect::Unsafe;
        for &endpoint in self.endpoints_by_destination.get(&message.destination)? {
            let Some(endpoint_state) = self.endpoints.get(&endpoint) else {
                continue;
            };
            let joined = open_calls
                .get(&endpoint)
                .copied()
                .filter(|call| self.has_batch_room(*call));
            let attempts_there = message
                .attempts
                .iter()
                .filter(|attempt| attempt.endpoint == endpoint)
                .count();
            let scope_id = self.scope_of(endpoint);
            let typical_latency = self
                .scopes
                .get(&scope_id)
                .and_then(|scope| scope.typical_latency)
                .unwrap_or(0);
            if is_hedge && (attempts_there > 0 || self.now + typical_latency > message.deadline)
                || !self.is_send_allowed(id, message, endpoint_state)
                || self
                    .check_admission(scope_id, unsafe_class, is_hedge, joined.is_some())
                    .is_err()
            {
                continue;
            }
            let class_health = endpoint_state.class_health.get(&message.class);
            let recently_failed = class_health.is_some_and(|class| {
                class.avoided_until > self.now && class.consecutive_failures > 0
            });
            let health = match self
                .scopes
                .get(&scope_id)
                .map(|scope| scope.health)
                .unwrap_or_default()
            {
                Health::Healthy => 0,
                Health::Recovering { .. } => 1,
                Health::Ejected { .. } => 2,
            };
            let load = self.scheduler.calls_to(endpoint);
            // Joining an open call adds no load. Where endpoints share a limit, a new call adds one, so that
            // joining is preferred even to an idle endpoint. A separate route has a limit of its own, so an
            // idle one is as good as an open call.
            let load = if joined.is_some() {
                0
            } else {
                load + usize::from(scope_id.1.is_none())
            };
            let in_other_zone = endpoint_state.zone != self.settings.zone;
            options.push((
                health,
                recently_failed,
                attempts_there,
                load,
                in_other_zone,
                endpoint,
                joined,
            ));
        }
        let random = &mut self.random;
        let ranked = options.into_iter().map(|option| {
            (
                (
                    option.0,
                    option.1,
                    option.2,
                    option.3,
                    option.4,
                    random.next_u32(),
                ),
                option.5,
                option.6,
            )
        });
        ranked.min().map(|(_, endpoint, joined)| (endpoint, joined))
    }

    /// Whether the window, rate limit and health of a scope allow a call now, or until when they block it.
    fn check_scope_limits(
        &self,
        scope_id: HealthScopeId,
        unsafe_class: bool,
        is_hedge: bool,
        joins_call: bool,
    ) -> Result<(), BlockedUntil> {
        let (now, degraded_full) = (self.now, self.degraded_slots_full());
        let Some(scope) = self.scopes.get(&scope_id) else {
            return Ok(());
        };
        let tokens_needed = match scope.health {
            // An unsafe message may probe an ejected scope like any other message if the latest calls were
            // rejected, because a rejected call never ran. Otherwise it needs two tokens, so that other
            // messages probe the scope first.
            Health::Ejected { .. } if now < scope.outage_unconfirmed_until && !unsafe_class => 0.0,
            Health::Ejected { .. } if unsafe_class && scope.consecutive_rejections == 0 => 2.0,
            Health::Healthy if is_hedge => 2.0,
            _ => 1.0,
        };
        let ready_at = if scope.tokens_available_at(now) >= tokens_needed {
            0
        } else {
            scope.tokens_ready_at(tokens_needed)
        };
        let idle_probe_at = scope.last_sent_at.max(scope.recovering_since())
            + self.settings.safety.slow_start
            + MILLISECOND;
        let within_window = scope.in_flight < scope.concurrency_window.floor().max(1.0) as usize;
        let (allowed, until) = match scope.health {
            Health::Ejected { .. } | Health::Recovering { .. } if is_hedge => (false, Micros::MAX),
            Health::Ejected { .. } if tokens_needed == 0.0 => (
                joins_call || scope.in_flight < MAX_UNCONFIRMED_OUTAGE_CALLS,
                scope.outage_unconfirmed_until,
            ),
            // If no call has been sent for the duration of a slow start, one unsafe message is sent. Without
            // this, a destination that gets only unsafe messages would never be tried again.
            Health::Recovering { .. }
                if unsafe_class && scope.outage_evidence.evidence() > MAX_RELIABLE_EVIDENCE =>
            {
                let until = idle_probe_at.max(ready_at);
                (
                    now >= until && scope.in_flight == 0,
                    if now < until { until } else { Micros::MAX },
                )
            }
            // An unsafe message cannot be sent again. It is therefore not sent to a scope that may be about
            // to fail: one that has had a call in flight for longer than the hedge delay and has sent no
            // response in that time.
            Health::Healthy
                if unsafe_class
                    && scope.unresponsive_age
                        > scope.hedge_delay.unwrap_or(DEFAULT_HEDGE_DELAY) =>
            {
                (false, if ready_at > 0 { ready_at } else { Micros::MAX })
            }
            Health::Healthy | Health::Recovering { .. } if joins_call && !is_hedge => {
                (true, Micros::MAX)
            }
            Health::Ejected { .. } => (ready_at == 0, ready_at),
            _ => (
                ready_at == 0 && (joins_call || within_window),
                if ready_at > 0 { ready_at } else { Micros::MAX },
            ),
        };
        let is_degraded =
            matches!(scope.health, Health::Ejected { .. }) || scope.is_slow && !joins_call;
        match allowed && !(is_degraded && degraded_full) {
            true => Ok(()),
            false => Err(BlockedUntil {
                until: if allowed { Micros::MAX } else { until },
                by_degraded_load: is_degraded && degraded_full,
            }),
        }
    }

    /// Starts an attempt of a message, in a new call or in one that this turn has opened.
    pub(crate) fn send(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        joined: Option<u64>,
        is_hedge: bool,
        open_calls: &mut BTreeMap<EndpointId, u64>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let scope_id = self.scope_of(endpoint);
        let call_id = joined.unwrap_or(self.next_call);
        if joined.is_none() {
            self.next_call += 1;
            let call = Call {
                scope: scope_id,
                endpoint,
                sent_at: now,
                pending_outcomes: 0,
                batch_size: 0,
                is_hedge,
            };
            self.calls.insert(call_id, call);
            self.hedges_in_flight += usize::from(is_hedge);
            open_calls.insert(endpoint, call_id);
            self.scheduler.call_started(endpoint);
            self.settle_scope_tokens(scope_id);
            let scope = self.scope_mut(scope_id);
            scope.tokens -= 1.0;
            scope.in_flight += 1;
            scope.calls_sent += 1;
            scope.last_sent_at = now;
            let is_degraded = scope.is_degraded();
            self.degraded_calls += usize::from(is_degraded);
            self.settle_scope_tokens(scope_id);
        }
        self.scheduler.mark_changed(id);
        self.scheduler.activate_destination(scope_id.0);
        let unresponsive_after = self.scope_mut(scope_id).unresponsive_after();
        let hedge_delay = self
            .scope_mut(scope_id)
            .hedge_delay
            .unwrap_or(DEFAULT_HEDGE_DELAY);
        self.calls.entry(call_id).and_modify(|call| {
            (call.pending_outcomes, call.batch_size) =
                (call.pending_outcomes + 1, call.batch_size + 1);
        });
        let effect = self
            .messages
            .get(&id)
            .map_or(Effect::Unsafe, |message| self.effect_of(message.class));
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let expires_at = match effect {
            Effect::Unsafe => message.deadline,
            Effect::Keyed { window, .. } => message.deadline.min(now + window),
            Effect::Repeatable => message.deadline.min(now + hedge_delay * 10),
        };
        if is_hedge {
            message.hedge_at = now + message.hedge_delay;
            message.hedge_delay *= 2;
        } else {
            message.hedge_at = if effect == Effect::Unsafe {
                Micros::MAX
            } else {
                now + hedge_delay
            };
            message.hedge_delay = hedge_delay;
        }
        self.next_due_at = self
            .next_due_at
            .min(message.hedge_at)
            .min(now + unresponsive_after + MILLISECOND);
        message
            .attempts
            .iter_mut()
            .for_each(|attempt| attempt.overlapped |= attempt.in_flight);
        message.attempts.push(Attempt {
            endpoint,
            sent_at: now,
            call_id,
            in_flight: true,
            may_have_run: false,
            overlapped: false,
            cancelled: false,
        });
        actions.push(Action::Send {
            message: id,
            endpoint,
            expires_at,
        });
    }

    /// Marks a message as ended and, if cancellation is enabled, cancels its attempts in flight.
    pub(crate) fn close_message(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get_mut(&id).filter(|message| message.open) else {
            return;
        };
        message.open = false;
        self.scheduler.mark_changed(id);
        if self.settings.cancellation_enabled {
            for (attempt, _) in message
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, attempt)| attempt.in_flight)
            {
                actions.push(Action::Cancel {
                    message: id,
                    attempt,
                });
            }
        }
    }

    // ---- small helpers ------------------------------------------------------------------------

    fn effect_of(&self, class: usize) -> Effect {
        self.settings
            .classes
            .get(class)
            .map_or(Effect::Unsafe, |class| class.effect)
    }

    /// Credits the rate-limit tokens that a scope has accrued and sets how they are refilled from now on.
    pub(crate) fn settle_scope_tokens(&mut self, scope_id: HealthScopeId) {
        let (now, senders) = (self.now, f64::from(self.settings.senders));
        let Some(scope) = self.scopes.get_mut(&scope_id) else {
            return;
        };
        let refill = scope.allowed_refill(&self.settings.safety, senders, now);
        let shortest_objective = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(0);
        let follows_reports = self
            .settings
            .report_remaining_index
            .and(scope.announced_limit)
            .is_some()
            && scope.health == Health::Healthy;
        // Load reports correct the part of the rate that exceeds the minimum share: it shrinks while little
        // of the limit remains. The tokens of this part may therefore be saved for random bursts of messages.
        // The number of calls that the rate allows within the shortest latency objective is subtracted,
        // because messages that wait for these calls are still delivered in time.
        let spare_rate = if follows_reports {
            (refill.rate - MIN_FAIR_SHARE * scope.fair_share).max(0.0)
        } else {
            0.0
        };
        let burst_allowance = (BURST_DEVIATIONS * spare_rate.sqrt()
            - refill.rate * seconds(shortest_objective))
        .max(0.0);
        let is_ejected = matches!(scope.health, Health::Ejected { .. });
        scope.settle_tokens(
            now,
            refill,
            if is_ejected {
                2.0
            } else {
                (refill.rate * BURST_SECONDS).max(1.0 + burst_allowance)
            },
        );
    }

    /// A random number from 0 to 1, used as a fraction of a token so that senders do not all start at once.
    fn random_phase(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    /// The state of a health scope, created or expanded from its compact form where needed.
    pub(crate) fn scope_mut(&mut self, scope_id: HealthScopeId) -> &mut HealthScope {
        if !self.scopes.contains_key(&scope_id) {
            let mut scope =
                HealthScope::new(slot_share(self.settings.call_slots, INITIAL_WINDOW_SHARE) as f64);
            if self.settings.report_limit_index.is_some() {
                let even_rate = self.settings.max_pending as f64
                    / CAPACITY_FILL_SECONDS
                    / self.endpoints_by_destination.len().max(1) as f64;
                scope.rate_limit =
                    even_rate.max(INITIAL_RATE_FACTOR / f64::from(self.settings.senders).powi(2));
                scope.tokens = 1.0;
            }
            self.expand_scope(scope_id, scope);
        }
        self.scopes.entry(scope_id).or_default()
    }
}

impl HealthScope {
    /// Reduces the concurrency window on congestion, but not because of a call that was sent before the last
    /// reduction. Returns whether the window was reduced.
    fn reduce_window(&mut self, sent_at: Micros, now: Micros) -> bool {
        let is_new_congestion = sent_at > self.window_reduced_at;
        if is_new_congestion {
            self.window_reduced_at = now;
            self.concurrency_window = (self.concurrency_window * WINDOW_REDUCTION).max(1.0);
        }
        is_new_congestion
    }

    /// Adds the latency of a successful call and derives the typical latency and the hedge delay.
    fn record_latency(&mut self, latency: Micros) {
        self.typical_latency = Some(self.typical_latency.map_or(latency, |typical| {
            typical + (latency - typical) / TYPICAL_LATENCY_DIVISOR
        }));
        self.latencies.push(latency, LATENCY_SAMPLES);
        let min_delay = if self.latencies.len() < MIN_LATENCY_SAMPLES {
            DEFAULT_HEDGE_DELAY
        } else {
            MILLISECOND
        };
        self.hedge_delay = Some(
            self.latencies
                .quantile(HEDGE_DELAY_RANK, 20)
                .unwrap_or(0)
                .max(min_delay),
        );
    }

    /// The age above which a call counts as unresponsive if its scope has sent no response since it was sent.
    fn unresponsive_after(&self) -> Micros {
        (self.hedge_delay.unwrap_or(DEFAULT_HEDGE_DELAY) * UNRESPONSIVE_HEDGE_DELAYS)
            .max(MIN_UNRESPONSIVE_AGE)
    }

    /// Whether a rejection is attributed to a limit without further evidence. It is if a limit is announced,
    /// or if there are several senders and this sender calls the scope less often than `BUSY_CALLS_PER_S`.
    fn rejections_imply_limit(&self, settings: &Settings, now: Micros) -> bool {
        let is_busy =
            self.average_send_rate(now, settings.safety.overload_window / 30) >= BUSY_CALLS_PER_S;
        self.announced_limit.is_some() || settings.senders > 1 && !is_busy
    }

    /// Reduces the rate limit after a rejection, or after a failure with no success since the last reduction.
    /// With an announced limit, a rate above the fair share falls at once to a little below that share,
    /// because the rejected senders have used up the limit together. It never falls below `MIN_FAIR_SHARE` of
    /// the fair share: after a larger reduction, a sender with few calls would need about ten successes to
    /// return to its fair share.
    fn reduce_rate(&mut self, success_rate: f64, senders: f64, phase: f64) {
        let rate = if self.rate_limit.is_finite() {
            self.rate_limit
        } else {
            self.best_rate
                .max(MIN_RATE_AFTER_FIRST_REJECTION / RATE_REDUCTION)
        };
        let factor = if self.succeeded_since_reduction {
            RATE_REDUCTION
        } else {
            RATE_REDUCTION_WITHOUT_SUCCESS
        };
        self.rate_limit = match self.announced_limit {
            Some(_) => {
                (rate.min(self.fair_share) * RATE_REDUCTION).max(self.fair_share * MIN_FAIR_SHARE)
            }
            None => (rate * factor)
                .max(success_rate * RATE_REDUCTION)
                .max(MIN_FLEET_RATE / senders),
        };
        self.tokens = match self.announced_limit {
            _ if self.tokens == f64::MAX => phase,
            // Shifted by up to half a token either way: senders that were rejected together would otherwise
            // also retry together.
            Some(_) => self.tokens.min(0.0) + phase - 0.5,
            None => self.tokens.min(phase.max(self.tokens - 1.0)),
        };
        self.succeeded_since_reduction = false;
    }

    /// Applies the advice of `RejectionCorrelation`, except `Reduce`: for this one, the caller reduces the
    /// rate limit. `rate` is the recent success rate, in calls per second.
    fn apply_rate_advice(&mut self, advice: RateAdvice, rate: f64) {
        match advice {
            RateAdvice::HalveForProbe => {
                self.rate_limit = (self.rate_limit.min(rate) / 2.0).max(MIN_FLEET_RATE);
                self.tokens = self.tokens.min(1.0);
            }
            RateAdvice::Restore(rate_limit) => self.rate_limit = rate_limit,
            RateAdvice::Keep | RateAdvice::Reduce => {}
        }
    }

    /// Raises the rate limit after a success, up to the announced limit if there is one.
    fn increase_rate(&mut self) {
        // A rate that only failures have reduced has not reached a limit and may rise faster.
        let base_increase = if self.limited_by_rejection {
            RATE_INCREASE_PER_SUCCESS
        } else {
            f64::INFINITY
        };
        let increase = base_increase * (self.best_rate / self.rate_limit).max(1.0);
        let max_rate = self.announced_limit.unwrap_or(f64::INFINITY);
        self.rate_limit = (self.rate_limit
            + increase.min(MAX_RATE_INCREASE_SHARE * self.rate_limit))
        .min(max_rate);
    }

    /// Calls per second that may start from now on. A healthy scope gets its rate limit, and an ejected one a
    /// few probes. A recovering scope gets a rate that rises during the slow start up to a share of its
    /// recovery budget (`RECOVERY_BUDGET_SHARE`). The budget protects a recovering destination from hundreds
    /// of senders.
    ///
    /// The recovery budget is `overload_multiple` times this sender's usual rate, which the destination has
    /// served together with the usual rates of all other senders, or times the fair share if that is larger.
    /// The amount by which the best rate exceeds the usual rate (at most the usual rate once more) is added
    /// to the usual rate. Without an announced limit, this amount is first divided by the square root of the
    /// number of senders, because the peaks of independent senders rarely coincide. With an announced limit,
    /// it is not divided, because load reports correct the rate.
    ///
    /// So that rarely called scopes are not starved, probes are at most two slow starts apart.
    fn allowed_refill(&self, safety: &Safety, senders: f64, now: Micros) -> RefillRate {
        let overload_seconds = seconds(safety.overload_window.max(1));
        let (since, max_rate) = match self.health {
            Health::Healthy => return RefillRate::constant(self.rate_limit),
            Health::Ejected { .. } => (now, 1.0 / overload_seconds),
            Health::Recovering { since } => (since, self.rate_limit),
        };
        let (slow_start, initial_share) = (safety.slow_start.max(1), safety.initial_capacity);
        let slow_start_share = initial_share
            + (1.0 - initial_share) * ((now - since) as f64 / slow_start as f64).min(1.0);
        let usual_rate = self
            .average_send_rate(now, slow_start)
            .max(self.healthy_rate);
        let peak_divisor = if self.announced_limit.is_some() {
            1.0
        } else {
            senders.sqrt()
        };
        let budget = (usual_rate
            + (self.best_rate - usual_rate).clamp(0.0, usual_rate) / peak_divisor)
            .max(self.fair_share);
        let probe_rate = (MIN_FLEET_PROBES / senders / overload_seconds)
            .max(0.5 / seconds(slow_start))
            .min(1.0 / overload_seconds);
        let full_rate = (budget * safety.overload_multiple * RECOVERY_BUDGET_SHARE)
            .max(probe_rate / initial_share.max(0.01));
        let rate = full_rate * slow_start_share;
        if rate >= max_rate || matches!(self.health, Health::Ejected { .. }) {
            return RefillRate::constant(rate.min(max_rate));
        }
        let slope = full_rate * (1.0 - initial_share) / seconds(slow_start);
        let ramp_seconds =
            seconds((slow_start - (now - since)).max(0)).min((max_rate - rate) / slope.max(1e-9));
        RefillRate {
            rate,
            slope,
            ramp_seconds,
        }
    }
}
