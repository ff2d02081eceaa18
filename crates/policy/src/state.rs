//! The sender's state: messages, attempts, calls, endpoints and health scopes. The rules and the constants
//! are in `decide.rs`.

use crate::interface::{DestinationId, EndpointId, MessageId, Micros, SECOND, Settings};
use crate::outage_evidence::OutageEvidence;
use crate::rejection_correlation::RejectionCorrelation;
use crate::scheduler::SendScheduler;
use milletturn_idle_state::CompactState;
/// Health of a health scope: healthy, ejected or recovering.
pub(crate) use milletturn_idle_state::Health;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Makes all decisions of one sender. The host passes events to [`Sender::handle`] and carries out the
/// resulting actions.
///
/// A hot restart serializes the state by position: the order and types of fields are part of the stored form.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Sender {
    pub(crate) settings: Settings,
    pub(crate) random: Pcg32,
    /// Time of the current turn, which is one call of [`Sender::handle`].
    pub(crate) now: Micros,
    /// Time of the alarm that was requested last; `Micros::MAX` if none is pending.
    pub(crate) alarm: Micros,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) endpoints_by_destination: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    /// When the list last named an endpoint of a destination, or when the last endpoint of the destination
    /// was removed.
    pub(crate) last_listed_at: BTreeMap<DestinationId, Micros>,
    pub(crate) scopes: BTreeMap<HealthScopeId, HealthScope>,
    /// Compact state of scopes that have had no call for a long time.
    pub(crate) idle_scopes: BTreeMap<HealthScopeId, CompactState>,
    /// The scope that the scan for idle scopes checked last.
    pub(crate) idle_scan_position: Option<HealthScopeId>,
    /// Endpoints that are not serving (draining or no longer listed) and may be removed.
    pub(crate) removable_endpoints: BTreeSet<EndpointId>,
    /// Destinations without endpoints, with the time at which the last endpoint was removed. A destination is
    /// removed after a retention period.
    pub(crate) unlisted_destinations: BTreeSet<(Micros, DestinationId)>,
    /// Health scopes that may have lost their last endpoint.
    pub(crate) removable_scopes: BTreeSet<HealthScopeId>,
    pub(crate) messages: BTreeMap<MessageId, PendingMessage>,
    /// Queues of the ordering keys.
    pub(crate) key_queues: BTreeMap<u64, OrderedKeyQueue>,
    /// Calls in flight.
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) next_call: u64,
    pub(crate) hedges_in_flight: usize,
    /// Connection rejection score for each destination kind, computed like
    /// [`Endpoint::connection_rejection_score`].
    pub(crate) connection_rejection_scores: BTreeMap<usize, f64>,
    /// Number of tokens in each tenant's bucket, and the time of the bucket's last refill.
    pub(crate) tenant_tokens: Vec<(f64, Micros)>,
    /// When to subscribe to the endpoint list again.
    pub(crate) list_retry_at: Option<Micros>,
    pub(crate) list_retry_backoff: Micros,
    /// When the process will end, once a shutdown was requested.
    pub(crate) shutdown_at: Option<Micros>,
    /// The next time at which a message, a deadline, or a check of a queue or of the calls in flight may be
    /// due. The alarm is set to this time or to `list_retry_at`, whichever is earlier.
    pub(crate) next_due_at: Micros,
    /// Schedule of the messages. It is not stored; after a stored state is read, it is rebuilt from the
    /// messages.
    #[serde(skip)]
    pub(crate) scheduler: SendScheduler,
    /// Calls in flight at slow or ejected scopes, counted again in each turn.
    pub(crate) degraded_calls: usize,
    /// Whether turns update only the changed part of the schedule; false after
    /// [`Sender::without_incremental_scheduling`].
    pub(crate) incremental_scheduling: bool,
}

/// Identifies a health scope, the unit that has its own health, retry-after delay and limits: a destination,
/// or one endpoint of a kind with separate routes.
pub(crate) type HealthScopeId = (DestinationId, Option<EndpointId>);

/// State of one endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    /// Destination, zone and kind of the latest list entry for the endpoint.
    pub destination: DestinationId,
    pub zone: u16,
    pub kind: usize,
    /// When the list first named the endpoint.
    pub first_listed_at: Micros,
    /// The list names the endpoint as serving, neither draining nor removed.
    pub serving: bool,
    /// Health of each class at this endpoint, by the position of the class in the settings.
    pub class_health: BTreeMap<usize, ClassHealth>,
    /// From 0 to 1: rises with each call that got no connection or met a full connection table, and falls
    /// with each success.
    pub connection_rejection_score: f64,
}

/// Health of one class at one endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ClassHealth {
    /// Failures since the last success.
    pub consecutive_failures: u32,
    /// When the first of the `consecutive_failures` was sent.
    pub first_failure_sent_at: Micros,
    /// Moving average of the share of calls that fail.
    pub failure_rate: f64,
    /// Until this time, other endpoints are preferred for the class.
    pub avoided_until: Micros,
    pub last_success_at: Micros,
    /// When the latest call that succeeded was sent.
    pub last_success_sent_at: Micros,
}

/// One attempt to deliver a message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub endpoint: EndpointId,
    pub sent_at: Micros,
    /// The call that carries the attempt; `u64::MAX` for an attempt from before a restart.
    pub call_id: u64,
    /// The outcome is not known yet.
    pub in_flight: bool,
    /// The attempt has ended, and the destination may have processed it; false while it is in flight.
    pub may_have_run: bool,
    /// A later attempt started while this attempt was in flight.
    pub overlapped: bool,
    /// The host was asked to cancel the attempt.
    pub cancelled: bool,
}

/// A message that has not ended, or that still has attempts in flight.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct PendingMessage {
    /// Position of the class in the settings.
    pub class: usize,
    pub destination: DestinationId,
    /// The ordering key, if the class is ordered.
    pub key: Option<u64>,
    /// When the message was first accepted.
    pub accepted_at: Micros,
    /// When the message expires.
    pub deadline: Micros,
    /// Value of a delivery relative to other messages.
    pub priority_weight: f64,
    /// The message has not ended yet.
    pub open: bool,
    /// Maximum number of attempts for the message.
    pub max_attempts: usize,
    /// The message is sent after all messages that are not deferred.
    pub deferred: bool,
    /// The message was accepted before a restart and not attempted until then.
    pub unattempted_before_restart: bool,
    /// The message is rejected in the turn of its arrival, because its destination is unknown or an attempt
    /// would come too late.
    pub rejected_on_arrival: bool,
    pub attempts: Vec<Attempt>,
    /// Earliest time of the next attempt.
    pub retry_at: Micros,
    /// Backoff after the next failed attempt.
    pub retry_backoff: Micros,
    /// When the next hedged request is due.
    pub hedge_at: Micros,
    /// Time between the next hedged request and the one after it; doubles with each hedged request.
    pub hedge_delay: Micros,
}

impl PendingMessage {
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Whether the message was accepted before a restart and has still not been attempted.
    pub(crate) fn awaits_first_attempt(&self) -> bool {
        self.unattempted_before_restart && self.attempts.is_empty()
    }

    /// Attempts that are in flight or may have run, except the one at `excluded_index`. If there are any, the
    /// result also contains attempts that never ran but that a later attempt overlapped, because the
    /// deduplication window counts from the first attempt of the overlapping ones.
    pub(crate) fn possibly_executed_attempts(
        &self,
        excluded_index: usize,
    ) -> impl Iterator<Item = &Attempt> {
        let others = || {
            self.attempts
                .iter()
                .enumerate()
                .filter(move |(index, _)| *index != excluded_index)
        };
        let any_possibly_executed =
            others().any(|(_, attempt)| attempt.in_flight || attempt.may_have_run);
        let is_included = move |attempt: &&Attempt| {
            any_possibly_executed
                && (attempt.in_flight || attempt.may_have_run || attempt.overlapped)
        };
        others().map(|(_, attempt)| attempt).filter(is_included)
    }
}

/// One call in flight, with one message or a batch.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    /// The health scope whose window and rate limit the call uses.
    pub scope: HealthScopeId,
    pub endpoint: EndpointId,
    pub sent_at: Micros,
    /// Messages of the call whose outcome is not known yet.
    pub pending_outcomes: usize,
    /// All messages of the call.
    pub batch_size: usize,
    /// The call carries hedged requests.
    pub is_hedge: bool,
}

/// Messages of one ordering key, which are sent one at a time.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct OrderedKeyQueue {
    /// Messages of the key in the order of arrival.
    pub messages: VecDeque<MessageId>,
    /// No first attempt of a message of the key starts before this time.
    pub blocked_until: Micros,
    /// Messages of the queue that have ended with a notification that is not acknowledged yet.
    pub pending_notifications: BTreeSet<MessageId>,
}

/// State of a health scope.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct HealthScope {
    pub health: Health,
    /// Maximum number of concurrent calls.
    pub concurrency_window: f64,
    /// When congestion last reduced the window.
    pub window_reduced_at: Micros,
    /// No call may start before this time: the latest end of any retry-after delay so far.
    pub retry_after_until: Micros,
    /// Latencies of the latest successful calls.
    pub latencies: Samples,
    /// High percentile of the latencies, after which a hedged request is sent.
    pub hedge_delay: Option<Micros>,
    /// Slowly moving average of the latency of successful calls.
    pub typical_latency: Option<Micros>,
    /// Evidence that the scope is down.
    pub outage_evidence: OutageEvidence,
    /// Tracks whether rejections become more frequent with the load, if no limit is announced.
    pub rejections: RejectionCorrelation,
    /// Until this time, the failures for which the scope was ejected may be noise rather than an outage.
    pub outage_unconfirmed_until: Micros,
    /// When a recovering scope becomes healthy at the earliest: one slow start after its first success.
    pub slow_start_ends_at: Micros,
    /// When the scope was last ejected while it was healthy.
    pub unhealthy_since: Micros,
    /// Average rate of calls sent, in calls per second, as measured at `unhealthy_since`: the outage that
    /// follows does not lower it.
    pub healthy_rate: f64,
    /// Time of the latest success, error response or rejection, which all show that the scope is alive.
    pub last_alive_at: Micros,
    /// When the latest call that failed or was rejected was sent.
    pub last_failed_sent_at: Micros,
    /// When the current run of consecutive rejections began.
    pub rejected_since: Micros,
    /// Rejections since the last success.
    pub consecutive_rejections: u32,
    pub in_flight: usize,
    /// Calls in flight, other than hedged requests, that are older than the unresponsive limit and were sent
    /// after the scope's last response. This field and the next two are recomputed in each turn.
    pub unresponsive_calls: usize,
    /// Age of the oldest call in flight that was sent after the scope's last response.
    pub unresponsive_age: Micros,
    /// A call has been in flight for far longer than the typical latency.
    pub is_slow: bool,
    /// When calls succeeded during the last overload window.
    pub success_times: Samples,
    /// Highest rate of successful calls so far, or the rate known from the list or a load report if that is
    /// higher; in calls per second.
    pub best_rate: f64,
    /// Calls sent since the scope was first seen.
    pub calls_sent: u64,
    /// When the latest call was sent.
    pub last_sent_at: Micros,
    pub first_seen_at: Micros,
    /// Limit that load reports announce, in calls per second.
    pub announced_limit: Option<f64>,
    /// This sender's equal share of the limit from the list or load reports, in calls per second; 0 if
    /// unknown.
    pub fair_share: f64,
    /// Calls allowed per second; infinite if the rate is not limited.
    pub rate_limit: f64,
    /// A rejection or a load report has limited the rate, rather than failures alone.
    pub limited_by_rejection: bool,
    /// A call has succeeded since the rate limit was last reduced.
    pub succeeded_since_reduction: bool,
    /// Tokens of the rate limit's token bucket.
    pub tokens: f64,
    pub tokens_updated_at: Micros,
    /// How tokens are refilled from `tokens_updated_at` on.
    pub refill: RefillRate,
    /// Maximum number of tokens in the bucket.
    pub burst: f64,
}

/// Refill rate of a token bucket: it rises linearly for `ramp_seconds` and then stays constant.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub(crate) struct RefillRate {
    /// Initial rate, in tokens per second.
    pub rate: f64,
    /// Increase of the rate per second.
    pub slope: f64,
    /// Seconds for which the rate increases.
    pub ramp_seconds: f64,
}

impl RefillRate {
    /// A rate that does not change.
    pub(crate) fn constant(rate: f64) -> Self {
        RefillRate {
            rate,
            slope: 0.0,
            ramp_seconds: 0.0,
        }
    }

    /// Tokens refilled within a span that starts when this refill rate was set.
    pub(crate) fn tokens_after(&self, span: Micros) -> f64 {
        let span = seconds(span);
        let ramp = span.min(self.ramp_seconds);
        self.rate * span + self.slope * ramp * (span - ramp / 2.0)
    }

    /// The span after which the given number of tokens has been refilled, at most one year.
    pub(crate) fn time_until(&self, tokens: f64) -> Micros {
        const YEAR: f64 = 366.0 * 86_400.0;
        let ramp_tokens = self.tokens_after((self.ramp_seconds * SECOND as f64) as Micros);
        let span = if self.slope > 0.0 && tokens < ramp_tokens {
            // The positive root of slope/2 x^2 + rate x = tokens.
            let root = (self.rate * self.rate + 2.0 * self.slope * tokens.max(0.0)).sqrt();
            (root - self.rate) / self.slope
        } else {
            self.ramp_seconds
                + (tokens - ramp_tokens) / (self.rate + self.slope * self.ramp_seconds).max(0.001)
        };
        (span.clamp(0.0, YEAR) * SECOND as f64) as Micros
    }
}

impl HealthScope {
    /// A scope without any observations, with the given concurrency window and no rate limit.
    pub(crate) fn new(concurrency_window: f64) -> Self {
        let (rate_limit, tokens, succeeded_since_reduction) = (f64::INFINITY, f64::MAX, true);
        HealthScope {
            concurrency_window,
            rate_limit,
            tokens,
            succeeded_since_reduction,
            refill: RefillRate::constant(rate_limit),
            burst: rate_limit,
            ..HealthScope::default()
        }
    }

    /// Resets `unresponsive_calls`, `unresponsive_age` and `is_slow`, which each turn recomputes from the
    /// calls in flight.
    pub(crate) fn reset_responsiveness(&mut self) {
        (self.unresponsive_calls, self.unresponsive_age, self.is_slow) = (0, 0, false);
    }

    /// Whether the scope is slow or ejected. The calls of all such scopes together may use only a part of the
    /// slots.
    pub(crate) fn is_degraded(&self) -> bool {
        self.is_slow || matches!(self.health, Health::Ejected { .. })
    }

    /// Successful calls per second since the oldest recorded success, averaged over at least a 60th of `span`
    /// and at most `span`. Unlike [`HealthScope::success_rate`], this rate is not too low for a scope whose
    /// calls have just begun to succeed. Call `success_rate` first: it drops the successes that are older
    /// than `span`.
    pub(crate) fn recent_success_rate(&self, now: Micros, span: Micros) -> f64 {
        let elapsed = now - self.success_times.oldest().unwrap_or(now);
        self.success_times.len() as f64 / seconds(elapsed.clamp(span / 60, span))
    }

    /// Tokens of the rate limit at a given time, if the scope does not change until then. None are added
    /// during a retry-after delay: otherwise all senders that received it would send bursts when it ends.
    pub(crate) fn tokens_available_at(&self, now: Micros) -> f64 {
        let refill_from = self.tokens_updated_at.max(self.retry_after_until);
        if now <= refill_from {
            return self.tokens;
        }
        let refilled = self.refill.tokens_after(now - self.tokens_updated_at)
            - self
                .refill
                .tokens_after(refill_from - self.tokens_updated_at);
        let refilled = if self.refill.rate.is_finite() {
            refilled
        } else {
            f64::MAX
        };
        (self.tokens + refilled).min(self.burst.max(self.tokens))
    }

    /// When the given number of tokens will be available; `Micros::MAX` if the bucket never holds that many.
    pub(crate) fn tokens_ready_at(&self, tokens_needed: f64) -> Micros {
        if self.burst < tokens_needed {
            return Micros::MAX;
        }
        let refill_from = self.tokens_updated_at.max(self.retry_after_until);
        let refill_needed = self
            .refill
            .tokens_after(refill_from - self.tokens_updated_at)
            + tokens_needed
            - self.tokens;
        let estimate =
            (self.tokens_updated_at + self.refill.time_until(refill_needed)).max(refill_from);
        // Corrects the rounding errors of the estimate.
        let exact =
            (estimate - 2..=estimate + 2).find(|&at| self.tokens_available_at(at) >= tokens_needed);
        exact.unwrap_or(estimate + 3)
    }

    /// Credits the tokens accrued until now and sets the refill rate and the bucket's size from now on.
    pub(crate) fn settle_tokens(&mut self, now: Micros, refill: RefillRate, burst: f64) {
        (self.refill, self.burst) = (RefillRate::constant(refill.rate), burst);
        self.tokens = if refill.rate.is_finite() {
            self.tokens_available_at(now).min(burst)
        } else {
            f64::MAX
        };
        (self.tokens_updated_at, self.refill, self.burst) = (now, refill, burst);
    }

    /// When a recovering scope began to recover; a time in the distant past for any other scope.
    pub(crate) fn recovering_since(&self) -> Micros {
        match self.health {
            Health::Recovering { since } => since,
            _ => Micros::MIN / 2,
        }
    }

    /// Calls sent per second since the scope was first seen, averaged over at least `min_span`.
    pub(crate) fn average_send_rate(&self, now: Micros, min_span: Micros) -> f64 {
        self.calls_sent as f64 / seconds((now - self.first_seen_at).max(min_span).max(1))
    }

    /// Successful calls per second over the last `span`.
    pub(crate) fn success_rate(&mut self, now: Micros, span: Micros) -> f64 {
        self.success_times.drop_until(now - span);
        self.success_times.len() as f64 / seconds(span)
    }
}

/// A history of values, oldest first.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Samples(VecDeque<Micros>);

impl Samples {
    /// Adds a value and keeps the latest `max_len`.
    pub(crate) fn push(&mut self, value: Micros, max_len: usize) {
        self.0.push_back(value);
        while self.0.len() > max_len {
            self.0.pop_front();
        }
    }

    /// Drops the values at the front that are `end` or less.
    pub(crate) fn drop_until(&mut self, end: Micros) {
        while self.0.front().is_some_and(|&value| value <= end) {
            self.0.pop_front();
        }
    }

    /// The oldest value.
    pub(crate) fn oldest(&self) -> Option<Micros> {
        self.0.front().copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// The quantile `part / whole` of the values; `None` if there are no values.
    pub(crate) fn quantile(&self, part: usize, whole: usize) -> Option<Micros> {
        let mut sorted: Vec<Micros> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        sorted
            .get((sorted.len() * part / whole).min(sorted.len().saturating_sub(1)))
            .copied()
    }
}

/// A span in seconds.
pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// A share of a number of call slots or of pending messages: rounded down, but at least one.
pub(crate) fn slot_share(slots: usize, share: f64) -> usize {
    ((slots as f64 * share).floor() as usize).max(1)
}
