//! Every decision of the delivery service. The types, events and actions are in `interface.rs`, the records
//! of messages, attempts, calls and endpoints (plain data) in `state.rs`.
//!
//! Order of reading: constants, state, `handle` (one turn), what is learned from events, the legality gate
//! (only it knows the rules), then the proposals: sends, copies, probes, ends.

use crate::interface::{
    Action, DestinationId, Effect, EndpointId, Event, MILLISECOND, MessageId, Micros, NewMessage,
    Outcome, SECOND, Safety, Settings, SettingsError,
};
use crate::outage_evidence::{EJECTION_THRESHOLD, OutageEvidence};
use crate::rejection_correlation::RateAdvice;
use crate::scheduler::{Agenda, Closed, Lane, Shed, Stage};
use crate::state::{
    Attempt, Call, ClassRecord, Endpoint, Flow, Health, Held, Sender, Unit, UnitId, seconds,
    share_of,
};
use rand_pcg::Pcg32;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Copy offset before any latency is known. Shorter finds trouble sooner, longer wastes less.
const FIRST_COPY_DELAY: Micros = SECOND;
/// Latencies remembered per unit, and the rank among them that sets the copy offset (20ths).
const LATENCIES: usize = 40;
const COPY_RANK: usize = 19;
/// Window of calls in flight per destination, as shares of the slots: at start, at most, and when sick.
const WINDOW_START: f64 = 0.25;
const WINDOW_MOST: f64 = 0.75;
const WINDOW_SICK: f64 = 0.5;
const COPY_SHARE: f64 = 0.5; // of the slots: more rescues more, less leaves slots to first attempts
const WINDOW_CUT: f64 = 0.7; // by a congestion event: lower drains queues sooner, costs more throughput
/// What a refusal leaves of the pace amid successes, and when nothing succeeded since the last cut. A lower
/// cut draws fewer refusals, a higher one keeps more of a shared limit.
const PACE_CUT: f64 = 0.8;
const PACE_HALVED: f64 = 0.5;
/// Growth of the pace with each success, calls a second, at most this part of the pace. Growth by successes,
/// not by time, keeps the refused share the same however few calls a sender makes.
const PACE_GROWTH: f64 = 0.25;
const PACE_GROWTH_MOST: f64 = 0.5;
/// Pace that a first refusal leaves at least, calls a second, and that any leaves to all senders together.
/// Higher retries sooner, lower spares a destination that hundreds of senders share.
const PACE_FIRST: f64 = 0.35;
const PACE_LEAST: f64 = 1.5;
/// Pace to one that may yet tell a limit, by the square of the senders: all begin at once, each hears less.
/// No less than an even part of this sender's load, which fills the places for messages in so many seconds.
const PACE_START: f64 = 5000.0;
const PLACES_LAST: f64 = 6.0;
const RESUMED_REST: f64 = 0.75; // of its aim or time left: longest wait for a first call after a start
/// An unused pace says nothing (RFC 7661). With no message waiting it is at most so many times what was
/// served of late, or so many even shares: more follows demand sooner, less lets no clump of all through.
const PACE_USED: f64 = 2.0;
const PACE_UNUSED: f64 = 1.1;
/// Burst of the pace, as a span of it. Longer takes clumps faster, shorter draws fewer refusals.
const PACE_BURST: f64 = 0.3;
const CHANCE: f64 = 2.0; // deviations of what comes by chance: of independent senders they cancel in the sum
/// Evidence above which a unit is not trusted, and what is left of it on return.
const TRUST: f64 = 4.5;
const RETURNING: f64 = 11.0;
/// A unit that has just failed may be in doubt, for a fall span and up to this evidence: so many calls at
/// once show whether it is gone. More end a false alarm sooner, fewer waste less on an outage.
const GONE: f64 = 2.0 * EJECTION_THRESHOLD;
const DOUBT_CALLS: usize = 2;
const NOISY: f64 = 0.15; // usual share of failures from which on there is a doubt
const KNOWN: f64 = 50.0; // a unit of fewer calls that serves so many a second may be noisy and not yet known
const BUSY: f64 = 20.0;
const ILL_TIMES: i64 = 3; // what succeeds now and then for so many times the cold time is noisy, not away
const CLASS_WEIGHT: f64 = 0.05; // of one more call, in the share of a class's calls that fail
/// A unit is silent when a call is out for this many copy offsets, and no shorter than this.
const SILENT_OFFSETS: i64 = 2;
const SILENT_LEAST: Micros = SECOND;
/// A silent unit's calls are called off after this many limits: lower frees slots sooner, higher waits.
const RECLAIM_LIMITS: i64 = 2;
/// So many times longer where only the one class at the one endpoint is without a sign of life.
const CLASS_LIMITS: i64 = 2;
/// Half limits, for each attempt so far, after which a call that later ones overtook is called off.
const OVERTAKEN: i64 = 3;
/// Slots in use above which unsafe calls are called off too: lower gives up more, higher frees less.
const SLOTS_SCARCE: f64 = 0.7;
const YOUNG: f64 = 0.9; // of the aim: the oldest come first; beyond, those that have most to lose by waiting
/// A unit lags while a call is out for this many usual latencies; all lagging and sick units share the sick
/// window. Lower isolates sooner, higher leaves room to long but healthy calls.
const LAG_USUAL: i64 = 4;
/// The usual latency follows the last by one part in so many: slow enough to outlast an episode.
const USUAL_SLOWNESS: i64 = 50;
/// Latencies seen before they are believed: fewer finds trouble sooner, more spares small destinations.
const LATENCIES_LEAST: usize = 8;
/// Weight of a reset beside other failures: connections break under calls for reasons of their own, and a
/// process that has died shows by those refused next. Higher finds it sooner, lower spares those behind
/// bad connections.
const RESET_WEIGHT: f64 = 0.3;
/// Refusals in a row, over at least this long, that mean shut rather than throttled.
const SHUT_RUN: u32 = 4;
const SHUT_SPAN: Micros = SECOND;
/// Part of the fail-back budget that is used. Higher returns sooner, lower leaves room for other senders.
const BUDGET_SHARE: f64 = 0.7;
/// Calls in a fall span that all senders together may try at a sick unit, however little each knows of it.
/// Higher finds the return sooner, lower spares a small destination.
const TRIALS: f64 = 3.0;
/// Weight of one failed connection, and the score of a kind above which idle connections are given back.
/// Lower frees crowded endpoints sooner, higher saves handshakes.
const CROWDED_WEIGHT: f64 = 0.2;
const CROWDED: f64 = 0.1;
const LEFT_SLACK: f64 = 0.2; // a told share may lie so far above 1, by noise, and still count
/// Most of a told limit that counts as left: two even shares. With more, all overrun it before they hear.
const LEFT_MOST: f64 = 0.3;
/// Growth of the pace with each report, by how much more than this is left: higher follows sooner and swings.
const LEFT_GAIN: f64 = 0.15;
const LEFT_AIM: f64 = 0.5;
const SHARE_LEAST: f64 = 0.7; // part of its even share that it always has: below the limit, and none starves
/// Rest before a message is tried again: first, and at most. Longer spares attempts, shorter saves time.
const RETRY_FIRST: Micros = 150 * MILLISECOND;
const RETRY_MOST: Micros = 2 * SECOND;
pub(crate) const MARGIN: Micros = 30 * MILLISECOND; // kept before a deadline, and before a keyed window ends
const HELD_FULL: f64 = 0.85; // share of the places above which messages that cannot go are refused
/// Backoff of a failed subscription: first and most.
pub(crate) const LIST_FIRST: Micros = 300 * MILLISECOND;
const LIST_MOST: Micros = 4 * SECOND;
const LIMIT_MOST: f64 = 1e5; // a told limit beyond this, in calls a second, is no report
const TENANT_BURST: f64 = 2.0; // span of a tenant's token bucket, seconds of its share

impl Sender {
    /// A sender that knows nothing yet.
    ///
    /// # Errors
    /// When the settings make no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let list_retry = settings.list_requires_subscription.then_some(Micros::MIN);
        let tenant_tokens = settings.tenants.iter().map(|_| (f64::MAX, 0)).collect();
        Ok(Sender {
            settings,
            random: Pcg32::seed_from_u64(seed),
            now: 0,
            alarm: Micros::MAX,
            endpoints: BTreeMap::new(),
            routes: BTreeMap::new(),
            listed: BTreeMap::new(),
            units: BTreeMap::new(),
            dormant: BTreeMap::new(),
            rested: None,
            leaving: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            unused: BTreeSet::new(),
            messages: BTreeMap::new(),
            keys: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            copies_out: 0,
            crowded: BTreeMap::new(),
            tenant_tokens,
            list_retry,
            list_rest: LIST_FIRST,
            ends: None,
            due: Micros::MAX,
            agenda: Agenda::default(),
            burdens: 0,
            shortcuts: true,
        })
    }

    /// One turn: takes in all events, then appends what to do. The time never goes backwards.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.alarm <= self.now {
            self.alarm = Micros::MAX;
        }
        self.make_books();
        for event in events {
            self.learn(event, actions);
        }
        self.due = Micros::MAX;
        if self.list_retry.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.file_touched();
        self.look_for_silence(actions);
        self.end_hopeless(actions);
        self.send_due(actions);
        self.set_alarm(actions);
        self.rest_idle();
    }

    fn learn(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList {
                kind: listing,
                entries,
            } => self.learn_list(*listing, entries),
            Event::EndpointListFailed => {
                let jitter = Micros::from(self.random.next_u32()) % self.list_rest;
                self.list_retry = Some(self.now + self.list_rest / 2 + jitter);
                self.list_rest = (self.list_rest * 2).min(LIST_MOST);
            }
            Event::Accepted(message) => {
                self.accept(message);
                // no list ever named its destination: the client is told at once, and may come again, since
                // the list may be late
                let unknown =
                    !self.listed.is_empty() && !self.listed.contains_key(&message.destination);
                let turned_away = unknown || self.comes_too_late(message);
                if let Some(held) = self.messages.get_mut(&message.id).filter(|_| turned_away) {
                    held.turned_away = true;
                }
                self.agenda.touch(message.id);
            }
            Event::Resumed { message, attempts } => self.resume(message, attempts),
            Event::Stopping { ends_at: ends } => self.ends = Some(*ends),
            Event::Notification {
                message,
                key,
                acknowledged: taken,
            } => self.learn_notice(*message, *key, *taken),
            Event::RetryAfter {
                endpoint,
                retry_after: wait,
            } => {
                let id = self.unit_of(*endpoint);
                self.heed(id, *wait, actions);
            }
            Event::AttemptEnded { .. } => self.on_attempt_ended(event, actions),
            Event::Cancelled(message) => {
                self.close(*message, actions);
                self.forget_if_done(*message);
            }
            Event::ResponseStarted { .. }
            | Event::Probed { .. }
            | Event::GossipReceived { .. }
            | Event::Alarm => {}
        }
    }

    pub(crate) fn accept(&mut self, new: &NewMessage) {
        let deadline = self.now + new.time_left;
        let class = self.settings.classes.get(new.class);
        let (mut worth, ordered) =
            class.map_or((1.0, false), |class| (class.priority_weight, class.ordered));
        let born = class.map_or(self.now, |class| deadline - class.deadline);
        if let Some(tenant) = new
            .tenant
            .and_then(|index| self.settings.tenants.get(index))
        {
            let rate = tenant.allowance / f64::from(self.settings.senders);
            let (tokens, at) = &mut self.tenant_tokens[new.tenant.unwrap_or_default()];
            *tokens =
                (*tokens + rate * seconds(self.now - *at)).min((rate * TENANT_BURST).max(1.0));
            *at = self.now;
            let within = *tokens >= 1.0;
            *tokens -= f64::from(u8::from(within));
            worth *= if within {
                1.0
            } else {
                self.settings.over_share_weight
            };
        }
        let key = new.key.filter(|_| ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().turn.push_back(new.id);
            if self.keys.len() > 2 * self.settings.max_pending {
                self.forget_keys();
            }
        }
        let mut held = Held {
            key,
            born,
            deadline,
            worth,
            open: true,
            ..Held::default()
        };
        (held.class, held.destination, held.retry_rest) = (new.class, new.destination, RETRY_FIRST);
        (held.later, held.most) = (new.deferred, self.settings.max_attempts);
        self.messages.insert(new.id, held);
        self.agenda.touch(new.id);
        self.rouse_all(new.destination);
    }

    /// Messages that come back with their process begin their calls at a random part of an interval. Guards
    /// against all senders restarted at once: each begins with a whole call, and none knows a limit. Could
    /// cost worth where this sender alone was restarted. A later one with less time shortens the rest.
    pub(crate) fn begin_apart(&mut self, class: usize, destination: DestinationId, left: Micros) {
        let span = self
            .settings
            .classes
            .get(class)
            .map_or(0, |class| class.latency_objective.min(left));
        for endpoint in self.routes.get(&destination).cloned().unwrap_or_default() {
            let (id, phase) = (self.unit_of(endpoint), self.phase());
            let (known, unit) = (self.units.contains_key(&id), self.unit(id));
            let most = (unit.pace * RESUMED_REST * seconds(span)).min(1.0);
            let least = if unit.last_sent == 0 {
                1.0 - most
            } else {
                f64::MIN
            };
            unit.tokens = if known {
                unit.tokens.max(least)
            } else {
                unit.tokens - phase * most
            };
        }
        self.agenda.stir(destination);
    }

    pub(crate) fn learn_outcome(
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
            .filter(|attempt| attempt.out)
        else {
            return;
        };
        attempt.out = false;
        attempt.may_have_run = !outcome.never_ran();
        let (call_id, endpoint_id, sent) = (attempt.call, attempt.endpoint, attempt.sent);
        let class = message.class;
        let unit = self
            .calls
            .get(&call_id)
            .and_then(|call| self.units.get(&call.unit));
        // told nothing where a limit is told: not the load's refusal, but that of a full table of connections
        let limit = unit
            .and_then(|unit| unit.told_limit)
            .filter(|_| report.is_empty());
        let full = limit.is_some() && outcome == Outcome::Rejected { retry_after: None };
        // what the host could not send rests too, or a lasting fault there would use up all attempts at once
        if !matches!(
            outcome,
            Outcome::Success | Outcome::Unsent { no_slot: true }
        ) {
            let rest = message.retry_rest;
            message.retry_rest = (rest * 2).min(RETRY_MOST);
            // where a limit or a wait is told, the pace holds it back
            let told = unit.is_some_and(|unit| unit.told_limit.is_some() || unit.pace.is_finite());
            let paced = matches!(outcome, Outcome::Rejected { retry_after: wait } if told && !full || wait.is_some());
            message.retry_at = self.now + if paced { 0 } else { rest };
        }
        let rests = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled
        );
        if let Some(line) = message
            .key
            .filter(|_| rests)
            .and_then(|key| self.keys.get_mut(&key))
        {
            line.rest_until = line
                .rest_until
                .max(self.now + self.settings.safety.ordered_key_backoff);
            line.turn
                .front()
                .into_iter()
                .for_each(|&first| self.agenda.touch(first));
        }
        let Some(call) = self.calls.get_mut(&call_id) else {
            return;
        };
        let (unit_id, first, copy) = (call.unit, call.left == call.size, call.copy);
        call.left -= 1;
        let over = call.left == 0;
        self.agenda.stir(unit_id.0);
        if over {
            self.calls.remove(&call_id);
            self.agenda.call_ended(endpoint_id);
            self.copies_out -= usize::from(copy);
            let unit = self.unit(unit_id);
            unit.in_flight = unit.in_flight.saturating_sub(1);
            unit.look_anew();
            self.close_idle(unit_id, endpoint_id, actions);
        }
        if let Outcome::Rejected {
            retry_after: Some(wait),
        } = outcome
        {
            self.heed(unit_id, wait, actions);
        }
        if first {
            self.learn_report(unit_id, report);
            self.learn_call(
                unit_id,
                (endpoint_id, class, sent),
                (outcome, full),
                latency,
                actions,
            );
        }
        self.settle(unit_id);
    }

    /// What a call's first outcome tells of endpoint and unit.
    fn learn_call(
        &mut self,
        unit_id: UnitId,
        (endpoint_id, class, sent): (EndpointId, usize, Micros),
        (outcome, full): (Outcome, bool),
        latency: Micros,
        actions: &mut Vec<Action>,
    ) {
        let (now, span, cold) = (
            self.now,
            self.settings.safety.overload_window,
            self.settings.safety.slow_start,
        );
        let (slots, senders) = (
            self.settings.call_slots as f64,
            f64::from(self.settings.senders),
        );
        let phase = self.phase();
        let silence = self.unit(unit_id).silence_limit();
        // the usual share of failures of a class that fails where others fare well
        let mut class_fails = 0.0;
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) {
            for score in [
                self.crowded.entry(endpoint.kind).or_default(),
                &mut endpoint.crowded,
            ] {
                if full || outcome == Outcome::NoConnection {
                    *score += CROWDED_WEIGHT * (1.0 - *score);
                } else if outcome == Outcome::Success {
                    *score -= CROWDED_WEIGHT * CROWDED * *score;
                }
            }
            // one class may fail or go unanswered where others fare well: a late called-off attempt counts
            let record = endpoint.classes.entry(class).or_default();
            if outcome == Outcome::Success {
                (record.strikes, record.alive_at) = (0, now);
                record.alive_sent = record.alive_sent.max(sent);
                record.fails -= CLASS_WEIGHT * record.fails;
            } else if outcome.is_failure() || outcome == Outcome::Cancelled && latency > silence {
                record.strikes += 1;
                record.struck_until = now + ((span / 4) << record.strikes.min(3));
                record.fails += CLASS_WEIGHT * (1.0 - record.fails);
                record.first_strike = if record.strikes == 1 {
                    sent
                } else {
                    record.first_strike
                };
                let (begun, fails) = (record.first_strike, record.fails);
                let fares = |(&other, known): (&usize, &ClassRecord)| {
                    other != class && known.alive_at > begun
                };
                class_fails = if endpoint.classes.iter().any(fares) {
                    fails
                } else {
                    0.0
                };
            }
        }
        let tells_left = self.settings.report_remaining_index.is_some();
        let tells = self
            .units
            .get(&unit_id)
            .is_some_and(|unit| unit.tells(&self.settings, now));
        let unit = self.unit(unit_id);
        if matches!(
            outcome,
            Outcome::Success | Outcome::Error | Outcome::Rejected { .. }
        ) {
            unit.alive_at = now;
        }
        match outcome {
            Outcome::Success => {
                unit.remember_latency(latency);
                unit.refused_run = 0;
                unit.succeeded = true;
                // what succeeds now and then for longer than an outage with its return lasts is only noisy
                let unknown =
                    unit.odds.observed_calls() < KNOWN && unit.usual_rate(now, span / 30) >= BUSY;
                let away =
                    now - unit.ill_since > ILL_TIMES * cold || now < unit.doubt_until && unknown;
                let learns = unit.health == Health::Healthy || away;
                unit.odds.record_success(learns, GONE);
                unit.served.push(now, usize::MAX);
                let rate = unit.served_rate(now, span);
                if !tells {
                    let lately = unit.served_lately(now, span);
                    let advice = unit
                        .refusals
                        .on_response(false, sent, now, unit.pace, lately);
                    unit.heed_refusals(advice, lately);
                }
                if !(unit.refusals.is_probing_rate() || tells_left && unit.told_limit.is_some()) {
                    unit.grow();
                }
                // what is served while returning must not raise the budget of the return itself
                unit.best_rate = unit.best_rate.max(if unit.health == Health::Healthy {
                    rate
                } else {
                    0.0
                });
                unit.window = (unit.window + 1.0 / unit.window).min(WINDOW_MOST * slots);
                match unit.health {
                    // answers at the first trial after refusals or silence alone: throttled or slow, not out
                    Health::Ejected {
                        unresponsive: silent,
                        since,
                    } if unit.odds.evidence() < TRUST && (silent || now - since < 2 * span) => {
                        unit.health = Health::Healthy;
                    }
                    Health::Ejected { .. } if now < unit.doubt_until => {}
                    Health::Ejected { .. } => {
                        unit.odds.set_evidence(unit.odds.evidence().min(RETURNING));
                        // between the last trial that failed and this one; seldom tried, it has long begun
                        let since = sent - (sent - unit.bad_sent).clamp(0, cold) / 2;
                        (unit.health, unit.warm_at) = (Health::Recovering { since }, now + cold);
                        actions.push(Action::Log(format!("destination {} returns", unit_id.0)));
                    }
                    Health::Recovering { .. } if now > unit.warm_at => {
                        unit.health = Health::Healthy;
                    }
                    _ => {}
                }
            }
            Outcome::Rejected { retry_after: wait } => {
                unit.bad_sent = unit.bad_sent.max(sent);
                unit.refused_since = if unit.refused_run == 0 {
                    now
                } else {
                    unit.refused_since
                };
                unit.refused_run += 1;
                let rate = unit.served_rate(now, span);
                let told = wait.is_some() || tells;
                let usual = if told {
                    0.0
                } else {
                    unit.refusals.baseline_rate()
                };
                let run = SHUT_RUN.max(if told {
                    0
                } else {
                    (EJECTION_THRESHOLD / OutageEvidence::failure_log_likelihood_ratio(usual))
                        .ceil() as u32
                });
                let shut = unit.refused_run >= run && now - unit.refused_since >= SHUT_SPAN;
                let lately = unit.served_lately(now, span);
                let advice = match told {
                    true if full => RateAdvice::Keep,
                    true => RateAdvice::Reduce,
                    false => unit
                        .refusals
                        .on_response(true, sent, now, unit.pace, lately),
                };
                unit.heed_refusals(advice, lately);
                // what opens again is found out by its pace, too
                let opens_slowly = shut && !told && unit.pace.is_infinite();
                if (advice == RateAdvice::Reduce && unit.cut(sent, now)) || opens_slowly {
                    unit.slow_down(rate, senders, phase);
                    unit.limited = true;
                }
                if shut {
                    self.fall_sick(unit_id, false, "shut", actions);
                }
            }
            _ if outcome.is_failure() => {
                unit.bad_sent = unit.bad_sent.max(sent);
                let reset = outcome == Outcome::Reset;
                let evidence = unit
                    .odds
                    .record_failure(if reset { RESET_WEIGHT } else { 1.0 }, class_fails);
                let (rate, lone) = (unit.served_rate(now, span), !unit.succeeded);
                let congested =
                    outcome != Outcome::Error || lone && evidence > EJECTION_THRESHOLD / 2.0;
                let fresh = !reset && congested && unit.cut(sent, now);
                // with a call or more in a span the failure score is soon sure
                let rare = unit.usual_rate(now, cold) * seconds(span) < 1.0;
                if fresh && lone && rare {
                    unit.slow_down(rate, senders, phase);
                }
                unit.succeeded &= reset;
                if evidence >= GONE {
                    unit.doubt_until = now;
                }
                if evidence >= EJECTION_THRESHOLD {
                    self.fall_sick(unit_id, false, "fails", actions);
                }
            }
            _ => {}
        }
    }

    fn heed(&mut self, id: UnitId, wait: Micros, actions: &mut Vec<Action>) {
        if wait > 2 * self.settings.safety.overload_window {
            self.fall_sick(id, false, "shut", actions); // closed, not throttled: it opens cold
        }
        let until = self.now + wait + MILLISECOND;
        self.settle(id);
        self.unit(id).wait_until = self.unit(id).wait_until.max(until);
        self.agenda.stir(id.0);
    }

    /// Paces by what a unit tells of its shared limit, the only sign of all senders' load: up while much is
    /// left, down while little is, at most the even share while nothing is, more by the square of what is.
    /// Guards limits that refused calls use up; could hold back a sender that has most of the traffic.
    fn learn_report(&mut self, id: UnitId, report: &[f64]) {
        let read = |at: Option<usize>| at.and_then(|index| report.get(index).copied());
        let (limit, left) = (
            read(self.settings.report_limit_index),
            read(self.settings.report_remaining_index),
        );
        let share = limit.unwrap_or(0.0) / f64::from(self.settings.senders);
        let Some(limit) = limit.filter(|&limit| limit > 0.0 && limit <= LIMIT_MOST) else {
            return;
        };
        if left.is_some_and(|left| !(0.0..=1.0 + LEFT_SLACK).contains(&left)) {
            return; // what tells an absurd share tells no limit either
        }
        let (now, span) = (self.now, self.settings.safety.overload_window);
        let waiting = self.agenda.held_for(id.0) / self.call_room(id.0);
        let unit = self.unit(id);
        let proven = (PACE_USED * unit.served_rate(now, span)).max(PACE_UNUSED * share);
        let pace = if unit.told_limit.is_none() && !unit.limited {
            f64::INFINITY
        } else {
            unit.pace
        };
        let most = if pace.is_finite() && waiting > unit.in_flight + 1 {
            limit
        } else {
            proven
        };
        (unit.told_limit, unit.share) = (Some(limit), share);
        unit.best_rate = unit.best_rate.max(share);
        let paced = match left.map(|left| left.clamp(0.0, 1.0)) {
            Some(left) => {
                let used = 1.0 - left.min(LEFT_MOST);
                (pace * (LEFT_GAIN * (left - LEFT_AIM)).exp())
                    .min(share / (used * used))
                    .min(most)
            }
            None if pace.is_infinite() => share.max(PACE_FIRST),
            None => pace,
        };
        (unit.pace, unit.limited) = (paced.max(share * SHARE_LEAST).min(limit), true);
    }

    /// Gives back a connection that would sooner close by itself than be used again.
    /// Guards endpoints that take few connections against hundreds of senders that each keep one idle. Could
    /// harm where traffic comes in bursts with long pauses: the next call pays a handshake.
    fn close_idle(&mut self, id: UnitId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let (now, idle) = (self.now, self.settings.idle_connection_timeout);
        let unit = self.unit(id);
        let usual = unit.usual_rate(now, idle);
        let Some(known) = self.endpoints.get(&endpoint) else {
            return;
        };
        let rare = usual * seconds(idle) < 1.0;
        let kind = self.crowded.get(&known.kind).copied().unwrap_or(0.0);
        let crowded = known.crowded > CROWDED || rare && kind > CROWDED;
        if crowded && self.agenda.load(endpoint) == 0 {
            actions.push(Action::CloseIdleConnections(endpoint));
        }
    }

    fn fall_sick(&mut self, id: UnitId, silent: bool, why: &str, actions: &mut Vec<Action>) {
        let (most, now) = (
            share_of(self.settings.call_slots, WINDOW_SICK) as f64,
            self.now,
        );
        let (phase, span) = (self.phase(), self.settings.safety.overload_window);
        let cold = self.settings.safety.slow_start;
        self.agenda.stir(id.0);
        let unit = self.unit(id);
        if !matches!(unit.health, Health::Ejected { .. }) {
            unit.tokens = phase;
            // from here on the fail-back budget sets the rate, not what failures made of the pace
            unit.pace = if why == "shut" {
                unit.pace
            } else {
                unit.pace.max(unit.best_rate)
            };
            actions.push(Action::Log(format!("destination {} sick: {why}", id.0)));
            if unit.health == Health::Healthy {
                (unit.ill_since, unit.well_rate) = (now, unit.usual_rate(now, cold));
            }
            let unknown =
                unit.odds.observed_calls() < KNOWN && unit.usual_rate(now, span / 30) >= BUSY;
            let noisy = unknown || unit.odds.baseline_rate() >= NOISY;
            let doubted = noisy && unit.health == Health::Healthy && why == "fails";
            unit.doubt_until = if doubted { now + span } else { now };
            if !doubted && now - unit.ill_since <= ILL_TIMES * cold {
                unit.odds.exclude_outage_from_baseline();
            }
            unit.health = Health::Ejected {
                unresponsive: silent,
                since: now,
            };
        }
        unit.window = unit.window.min(most);
        self.settle(id);
    }

    /// A unit that answers nothing while calls wait far beyond its usual latency is taken for silent; its
    /// calls are called off after a while longer, where that is safe.
    /// Guards against hung, vanished or crawling destinations that would fill the slots of healthy ones.
    /// Could harm where one long call is the unit's only traffic, so a lone call gets twice the time.
    fn look_for_silence(&mut self, actions: &mut Vec<Action>) {
        for call in self.calls.values() {
            if let Some(unit) = self.units.get_mut(&call.unit) {
                unit.look_anew();
            }
        }
        for call in self.calls.values() {
            let Some(unit) = self.units.get_mut(&call.unit) else {
                continue;
            };
            let age = self.now - call.sent;
            let limit = unit.silence_limit();
            for at in [1, 2, 4].map(|limits| call.sent + limits * limit + MILLISECOND) {
                self.due = if at > self.now {
                    self.due.min(at)
                } else {
                    self.due
                };
            }
            unit.lags |= age > SILENT_LEAST.max(unit.usual.unwrap_or(FIRST_COPY_DELAY) * LAG_USUAL);
            if unit.alive_at < call.sent {
                unit.quiet += usize::from(age > unit.silence_limit() && !call.copy);
                unit.quiet_age = unit.quiet_age.max(age);
            }
        }
        let silent = |unit: &Unit| {
            let lone = unit.quiet_age > 2 * unit.silence_limit();
            unit.health == Health::Healthy && unit.quiet > 0 && (unit.quiet > 1 || lone)
        };
        let busy: BTreeSet<UnitId> = self.calls.values().map(|call| call.unit).collect();
        let ids: Vec<_> = busy
            .into_iter()
            .filter(|id| self.units.get(id).is_some_and(silent))
            .collect();
        ids.into_iter()
            .for_each(|id| self.fall_sick(id, true, "silent", actions));
        let scarce = self.calls.len() >= share_of(self.settings.call_slots, SLOTS_SCARCE);
        for &message in &self.agenda.out {
            let Some(held) = self.messages.get_mut(&message) else {
                continue;
            };
            let class = self.settings.classes.get(held.class);
            let repeatable = class.is_some_and(|class| class.effect != Effect::Unsafe);
            let free = self.settings.cancellation_enabled && (scarce || repeatable);
            for (index, attempt) in held.attempts.iter_mut().enumerate() {
                let call = self
                    .calls
                    .get(&attempt.call)
                    .filter(|_| free && attempt.out && !attempt.cancelled);
                let Some(unit) = call.and_then(|call| self.units.get(&call.unit)) else {
                    continue;
                };
                let sick =
                    unit.alive_at < attempt.sent && matches!(unit.health, Health::Ejected { .. });
                let record = self
                    .endpoints
                    .get(&attempt.endpoint)
                    .map(|known| &known.classes);
                let class = record.and_then(|classes| classes.get(&held.class));
                let (alive, later) =
                    class.map_or((0, 0), |class| (class.alive_at, class.alive_sent));
                let limits =
                    (if scarce { 1 } else { RECLAIM_LIMITS }) * if sick { 1 } else { CLASS_LIMITS };
                let (age, limit) = (self.now - attempt.sent, unit.silence_limit());
                let over = age > limits * limit && (sick || alive < attempt.sent);
                // what calls sent well behind it have overtaken hangs on a connection that is dead
                let overtaken = later > attempt.sent + limit / 2
                    && 2 * age > OVERTAKEN * limit * (index as i64 + 1);
                if over || overtaken {
                    attempt.cancelled = true;
                    actions.push(Action::Cancel {
                        message,
                        attempt: index,
                    });
                }
            }
        }
    }

    // ---- the legality gate -------------------------------------------------------------------

    /// True if the rules allow this message such a send now, whatever else is out.
    fn may_send(&self, id: MessageId, message: &Held, target: &Endpoint) -> bool {
        let out = message.attempts.iter().any(|attempt| attempt.out);
        if !message.open
            || !target.serving
            || target.destination != message.destination
            || message.attempts.len() >= message.most
            || self.now + MARGIN >= message.deadline
            || (out && !self.settings.hedging_enabled)
        {
            return false;
        }
        let turn = message
            .key
            .and_then(|key| self.keys.get(&key))
            .is_none_or(|line| {
                line.turn.front() == Some(&id)
                    && (self.now >= line.rest_until || !message.attempts.is_empty())
            });
        turn && self.now < self.repeats_until(message, usize::MAX, Some(target.zone))
    }

    /// Until when a message may go to a zone beside its attempts but one: as long as its key is known.
    fn repeats_until(&self, message: &Held, besides: usize, zone: Option<u16>) -> Micros {
        let effect = self.effect(message.class);
        let until = |attempt: &Attempt| match effect {
            Effect::Repeatable => Micros::MAX,
            Effect::Keyed {
                zone_only: true, ..
            } if !self.lies_in(attempt.endpoint, zone) => Micros::MIN,
            Effect::Keyed { window, .. } => attempt.sent + window - MARGIN,
            Effect::Unsafe => Micros::MIN,
        };
        message
            .at_risk(besides)
            .map(until)
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// By when the last byte of an attempt that has not begun must be written; none: it may not begin.
    /// Guards against what came while its connection did: a told wait, a drain, the end of a key's window.
    #[must_use]
    pub fn write_deadline(&self, now: Micros, id: MessageId, index: usize) -> Option<Micros> {
        let message = self.messages.get(&id).filter(|message| message.open)?;
        let attempt = message
            .attempts
            .get(index)
            .filter(|attempt| attempt.out && !attempt.cancelled)?;
        let target = self
            .endpoints
            .get(&attempt.endpoint)
            .filter(|known| known.serving)?;
        let until = self
            .repeats_until(message, index, Some(target.zone))
            .min(message.deadline - MARGIN);
        let waits = self
            .units
            .get(&self.unit_of(attempt.endpoint))
            .map_or(0, |unit| unit.wait_until);
        (now >= waits && now < until).then_some(until)
    }

    /// Whether a call may start at a unit: its waits, the slots, and what window, pace and health advise.
    fn admits(
        &self,
        id: UnitId,
        unsafe_class: bool,
        copy: bool,
        joins: bool,
    ) -> Result<(), Closed> {
        let waits = self.units.get(&id).map_or(0, |unit| unit.wait_until);
        if self.now < waits {
            return Err(Closed {
                until: waits,
                burden: false,
            });
        }
        let here = self
            .units
            .range((id.0, None)..=(id.0, Some(EndpointId(u32::MAX))));
        let in_flight: usize = here.map(|(_, unit)| unit.in_flight).sum();
        let slots = self.settings.call_slots;
        let full = self.calls.len() >= slots || in_flight >= share_of(slots, WINDOW_MOST);
        if full && !joins {
            return Err(Closed {
                until: Micros::MAX,
                burden: false,
            });
        }
        // a call cut off by the end of the process may have run; the next life makes a whole one
        let slowest = self
            .units
            .get(&id)
            .and_then(|unit| unit.offset)
            .unwrap_or(FIRST_COPY_DELAY);
        if self.ends.is_some_and(|ends| self.now + slowest > ends) {
            return Err(Closed {
                until: Micros::MAX,
                burden: false,
            });
        }
        self.is_wise(id, unsafe_class, copy, joins)
    }

    /// Why no message of a lane can go now, if that is so whichever it is.
    pub(crate) fn closed(&self, lane: &Lane) -> Option<Closed> {
        let unsafe_class = self.effect(lane.class) == Effect::Unsafe;
        let mut all = Closed {
            until: Micros::MAX,
            burden: false,
        };
        for endpoint in self.routes.get(&lane.destination).into_iter().flatten() {
            let Some(known) = self.endpoints.get(endpoint).filter(|known| known.serving) else {
                continue;
            };
            if lane.bound.is_some_and(|zone| zone != Some(known.zone)) {
                continue;
            }
            let closed = self
                .admits(self.unit_of(*endpoint), unsafe_class, lane.copy, false)
                .err()?;
            all = Closed {
                until: all.until.min(closed.until),
                burden: all.burden || closed.burden,
            };
        }
        Some(all)
    }

    /// True if the message may be refused: it is certain that a retry does no harm.
    fn may_refuse(&self, message: &Held) -> bool {
        self.now < self.repeats_until(message, usize::MAX, None)
    }

    // ---- proposals ---------------------------------------------------------------------------

    /// Ends messages that cannot be delivered any more, and makes room when too many are held.
    fn end_hopeless(&mut self, actions: &mut Vec<Action>) {
        let excess = self
            .agenda
            .open
            .saturating_sub(share_of(self.settings.max_pending, HELD_FULL));
        let over: BTreeSet<MessageId> = self.agenda.over(self.now + MARGIN, self.now).collect();
        let mut stuck = Vec::new();
        for (&destination, here) in self.agenda.shed().filter(|_| excess > 0) {
            if self.is_stuck(destination) {
                let goes = |shed: &&Shed| {
                    let held = self.messages.get(&shed.3);
                    !over.contains(&shed.3)
                        && held.is_some_and(|held| {
                            !held.is_out() && !held.owes_call() && self.may_refuse(held)
                        })
                };
                stuck.extend(here.iter().filter(goes).take(excess));
            }
        }
        stuck.sort_unstable();
        let shed = stuck.iter().take(excess).map(|&(_, _, _, id)| id);
        let ends: Vec<MessageId> = over.into_iter().chain(shed).collect();
        for id in ends {
            let Some(message) = self.messages.get(&id) else {
                continue;
            };
            actions.push(if self.may_refuse(message) {
                let wait = self.settings.max_client_retry_after / 2;
                Action::Reject {
                    message: id,
                    retry_after: (wait > 0).then_some(wait),
                }
            } else {
                Action::Fail(id)
            });
            self.end(id, actions);
        }
    }

    /// From when on no send can be legal: it may have run and cannot be repeated, or no attempt is left.
    pub(crate) fn spent_at(&self, message: &Held) -> Micros {
        if message.turned_away || message.attempts.len() >= message.most && !message.is_out() {
            return Micros::MIN;
        }
        if message.is_out() {
            return Micros::MAX;
        }
        let first = message
            .at_risk(usize::MAX)
            .next()
            .and_then(|attempt| self.zone_of(attempt.endpoint));
        self.repeats_until(message, usize::MAX, first)
    }

    /// True if a message would have its turn beyond its aim, or beyond its time if it comes again or late.
    /// Guards what waits at a told limit from growing older than it is worth, and hands it to senders that
    /// have less before them. Could refuse what a rising pace would have served in time.
    fn comes_too_late(&self, new: &NewMessage) -> bool {
        let Some(class) = self
            .settings
            .classes
            .get(new.class)
            .filter(|_| !new.deferred)
        else {
            return false;
        };
        let early = new.time_left + class.latency_objective - class.deadline;
        let room = if new.resubmitted || early <= 0 {
            new.time_left
        } else {
            early
        };
        let (ahead, each) = (
            self.agenda.held_for(new.destination),
            self.call_room(new.destination),
        );
        let late = |unit: &Unit| {
            let calls = 1.0 + (ahead.saturating_sub(unit.in_flight) / each) as f64
                - unit.tokens_by(self.now);
            let paced = unit.health == Health::Healthy && unit.told_limit.is_some();
            paced && calls > unit.flow.rate * seconds(room)
        };
        let mut units = self.units_at(new.destination).peekable();
        units.peek().is_some() && units.all(|unit| unit.is_some_and(late))
    }

    /// True if every unit of the destination is sick, returning or has failed of late.
    fn is_stuck(&self, destination: DestinationId) -> bool {
        let goes = |unit: &Unit| unit.health == Health::Healthy && unit.odds.evidence() < TRUST;
        self.units_at(destination)
            .all(|unit| unit.is_some_and(|unit| !goes(unit)))
    }

    pub(crate) fn copies_full(&self) -> bool {
        self.copies_out >= share_of(self.settings.call_slots, COPY_SHARE)
    }

    pub(crate) fn burden_full(&self) -> bool {
        self.burdens >= share_of(self.settings.call_slots, WINDOW_SICK)
    }

    /// Worth still to be won per second of a slot; within the aim the oldest come first.
    pub(crate) fn urgency(&self, message: &Held) -> f64 {
        let age = self.now - message.born;
        let Some(class) = self.settings.classes.get(message.class) else {
            return 0.0;
        };
        let aims = age as f64 / class.latency_objective as f64;
        let left = if aims <= YOUNG {
            1.0 + aims
        } else {
            0.8 * class.remaining_value(age, self.settings.value_decay)
        };
        message.worth * left
    }

    /// Where a message of a lane that was born then stands in the order of urgency.
    pub(crate) fn stage(&self, lane: &Lane, born: Micros) -> Stage {
        let (age, fade) = (self.now - born, self.settings.value_decay);
        match self.settings.classes.get(lane.class) {
            _ if lane.owed => Stage::Floor,
            Some(class)
                if lane.worth > 0 && age as f64 / class.latency_objective as f64 > YOUNG =>
            {
                match class.remaining_value(age, fade) {
                    left if left <= class.late_value_share => Stage::Floor,
                    left if left >= 1.0 => Stage::Full,
                    _ => Stage::Late,
                }
            }
            _ => Stage::Young,
        }
    }

    /// The best legal endpoint for the message, and the call of this turn that it can join.
    pub(crate) fn pick(
        &mut self,
        id: MessageId,
        opened: &BTreeMap<EndpointId, u64>,
    ) -> Option<(EndpointId, Option<u64>)> {
        let mut options = Vec::new();
        let message = self.messages.get(&id)?;
        let copy = message.is_out();
        let unsafe_class = self.effect(message.class) == Effect::Unsafe;
        for &endpoint in self.routes.get(&message.destination)? {
            let Some(known) = self.endpoints.get(&endpoint) else {
                continue;
            };
            let joined = opened
                .get(&endpoint)
                .copied()
                .filter(|call| self.has_room(*call));
            let tries = message
                .attempts
                .iter()
                .filter(|attempt| attempt.endpoint == endpoint)
                .count();
            let unit_id = self.unit_of(endpoint);
            let usual = self
                .units
                .get(&unit_id)
                .and_then(|unit| unit.usual)
                .unwrap_or(0);
            if copy && (tries > 0 || self.now + usual > message.deadline)
                || !self.may_send(id, message, known)
                || self
                    .admits(unit_id, unsafe_class, copy, joined.is_some())
                    .is_err()
            {
                continue;
            }
            let record = known.classes.get(&message.class);
            let struck =
                record.is_some_and(|class| class.struck_until > self.now && class.strikes > 0);
            let health = match self
                .units
                .get(&unit_id)
                .map(|unit| unit.health)
                .unwrap_or_default()
            {
                Health::Healthy => 0,
                Health::Recovering { .. } => 1,
                Health::Ejected { .. } => 2,
            };
            let load = self.agenda.load(endpoint);
            // filling a call spends nothing; another route has a limit of its own, a shared one has not
            let load = if joined.is_some() {
                0
            } else {
                load + usize::from(unit_id.1.is_none())
            };
            let far = known.zone != self.settings.zone;
            options.push((health, struck, tries, load, far, endpoint, joined));
        }
        let random = &mut self.random;
        let ranked = options
            .into_iter()
            .map(|o| ((o.0, o.1, o.2, o.3, o.4, random.next_u32()), o.5, o.6));
        ranked.min().map(|(_, endpoint, joined)| (endpoint, joined))
    }

    /// Whether window, pace and health advise the call.
    fn is_wise(
        &self,
        id: UnitId,
        unsafe_class: bool,
        copy: bool,
        joins: bool,
    ) -> Result<(), Closed> {
        let (now, burden) = (self.now, self.burden_full());
        let Some(unit) = self.units.get(&id) else {
            return Ok(());
        };
        let needed = match unit.health {
            // an unsafe message is risked only if calls are refused, or if none else goes
            Health::Ejected { .. } if now < unit.doubt_until && !unsafe_class => 0.0,
            Health::Ejected { .. } if unsafe_class && unit.refused_run == 0 => 2.0,
            Health::Healthy if copy => 2.0,
            _ => 1.0,
        };
        let rest = if unit.tokens_by(now) >= needed {
            0
        } else {
            unit.ready_at(needed)
        };
        let rested =
            unit.last_sent.max(unit.since_return()) + self.settings.safety.slow_start + MILLISECOND;
        let within = unit.in_flight < unit.window.floor().max(1.0) as usize;
        let (open, until) = match unit.health {
            Health::Ejected { .. } | Health::Recovering { .. } if copy => (false, Micros::MAX),
            Health::Ejected { .. } if needed == 0.0 => {
                (joins || unit.in_flight < DOUBT_CALLS, unit.doubt_until)
            }
            // one is risked once nothing has been tried for long: else unsafe messages alone would never go
            Health::Recovering { .. } if unsafe_class && unit.odds.evidence() > TRUST => {
                let until = rested.max(rest);
                (
                    now >= until && unit.in_flight == 0,
                    if now < until { until } else { Micros::MAX },
                )
            }
            // what is sent to a unit that may be about to fail cannot be sent again
            Health::Healthy
                if unsafe_class && unit.quiet_age > unit.offset.unwrap_or(FIRST_COPY_DELAY) =>
            {
                (false, if rest > 0 { rest } else { Micros::MAX })
            }
            Health::Healthy | Health::Recovering { .. } if joins && !copy => (true, Micros::MAX),
            Health::Ejected { .. } => (rest == 0, rest),
            _ => (
                rest == 0 && (joins || within),
                if rest > 0 { rest } else { Micros::MAX },
            ),
        };
        let sick = matches!(unit.health, Health::Ejected { .. }) || unit.lags && !joins;
        match open && !(sick && burden) {
            true => Ok(()),
            false => Err(Closed {
                until: if open { Micros::MAX } else { until },
                burden: sick && burden,
            }),
        }
    }

    pub(crate) fn send(
        &mut self,
        id: MessageId,
        endpoint: EndpointId,
        joined: Option<u64>,
        copy: bool,
        opened: &mut BTreeMap<EndpointId, u64>,
        actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let unit_id = self.unit_of(endpoint);
        let call_id = joined.unwrap_or(self.next_call);
        if joined.is_none() {
            self.next_call += 1;
            let call = Call {
                unit: unit_id,
                endpoint,
                sent: now,
                left: 0,
                size: 0,
                copy,
            };
            self.calls.insert(call_id, call);
            self.copies_out += usize::from(copy);
            opened.insert(endpoint, call_id);
            self.agenda.call_began(endpoint);
            self.settle(unit_id);
            let unit = self.unit(unit_id);
            unit.tokens -= 1.0;
            unit.in_flight += 1;
            unit.sent += 1;
            unit.last_sent = now;
            let burden = unit.is_burden();
            self.burdens += usize::from(burden);
            self.settle(unit_id);
        }
        self.agenda.touch(id);
        self.agenda.stir(unit_id.0);
        let silence = self.unit(unit_id).silence_limit();
        let offset = self.unit(unit_id).offset.unwrap_or(FIRST_COPY_DELAY);
        self.calls
            .entry(call_id)
            .and_modify(|call| (call.left, call.size) = (call.left + 1, call.size + 1));
        let effect = self
            .messages
            .get(&id)
            .map_or(Effect::Unsafe, |message| self.effect(message.class));
        let Some(message) = self.messages.get_mut(&id) else {
            return;
        };
        let expires = match effect {
            Effect::Unsafe => message.deadline,
            Effect::Keyed { window, .. } => message.deadline.min(now + window),
            Effect::Repeatable => message.deadline.min(now + offset * 10),
        };
        if copy {
            message.copy_at = now + message.copy_step;
            message.copy_step *= 2;
        } else {
            message.copy_at = if effect == Effect::Unsafe {
                Micros::MAX
            } else {
                now + offset
            };
            message.copy_step = offset;
        }
        self.due = self
            .due
            .min(message.copy_at)
            .min(now + silence + MILLISECOND);
        message
            .attempts
            .iter_mut()
            .for_each(|attempt| attempt.overlapped |= attempt.out);
        message.attempts.push(Attempt {
            endpoint,
            sent: now,
            call: call_id,
            out: true,
            may_have_run: false,
            overlapped: false,
            cancelled: false,
        });
        actions.push(Action::Send {
            message: id,
            endpoint,
            expires_at: expires,
        });
    }

    /// Marks a message as ended and calls off what is still out.
    pub(crate) fn close(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get_mut(&id).filter(|message| message.open) else {
            return;
        };
        message.open = false;
        self.agenda.touch(id);
        if self.settings.cancellation_enabled {
            for (attempt, _) in message
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, attempt)| attempt.out)
            {
                actions.push(Action::Cancel {
                    message: id,
                    attempt,
                });
            }
        }
    }

    // ---- small lookups -----------------------------------------------------------------------

    fn effect(&self, class: usize) -> Effect {
        self.settings
            .classes
            .get(class)
            .map_or(Effect::Unsafe, |class| class.effect)
    }

    /// Counts the tokens of a unit's pace up to now, at the rate that is allowed now and from here on.
    pub(crate) fn settle(&mut self, id: UnitId) {
        let (now, senders) = (self.now, f64::from(self.settings.senders));
        let Some(unit) = self.units.get_mut(&id) else {
            return;
        };
        let flow = unit.allowed(&self.settings.safety, senders, now);
        let aim = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective)
            .min()
            .unwrap_or(0);
        let steered = self
            .settings
            .report_remaining_index
            .and(unit.told_limit)
            .is_some()
            && unit.health == Health::Healthy;
        // what the pace has above its floor is told as left; what may wait within its aim is not saved up
        let spare = if steered {
            (flow.rate - SHARE_LEAST * unit.share).max(0.0)
        } else {
            0.0
        };
        let chance = (CHANCE * spare.sqrt() - flow.rate * seconds(aim)).max(0.0);
        let sick = matches!(unit.health, Health::Ejected { .. });
        unit.settle(
            now,
            flow,
            if sick {
                2.0
            } else {
                (flow.rate * PACE_BURST).max(1.0 + chance)
            },
        );
    }

    /// A random part of one token, so that senders do not all start at once.
    fn phase(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    pub(crate) fn unit(&mut self, id: UnitId) -> &mut Unit {
        if !self.units.contains_key(&id) {
            let mut new = Unit::fresh(share_of(self.settings.call_slots, WINDOW_START) as f64);
            if self.settings.report_limit_index.is_some() {
                let even = self.settings.max_pending as f64
                    / PLACES_LAST
                    / self.routes.len().max(1) as f64;
                new.pace = even.max(PACE_START / f64::from(self.settings.senders).powi(2));
                new.tokens = 1.0;
            }
            self.rouse(id, new);
        }
        self.units.entry(id).or_default()
    }
}

impl Unit {
    /// Cuts the window, once for all calls that were out when the congestion showed.
    fn cut(&mut self, sent: Micros, now: Micros) -> bool {
        let fresh = sent > self.last_cut;
        if fresh {
            self.last_cut = now;
            self.window = (self.window * WINDOW_CUT).max(1.0);
        }
        fresh
    }

    fn remember_latency(&mut self, latency: Micros) {
        self.usual = Some(
            self.usual
                .map_or(latency, |usual| usual + (latency - usual) / USUAL_SLOWNESS),
        );
        self.latencies.push(latency, LATENCIES);
        let least = if self.latencies.len() < LATENCIES_LEAST {
            FIRST_COPY_DELAY
        } else {
            MILLISECOND
        };
        self.offset = Some(self.latencies.ranked(COPY_RANK, 20).unwrap_or(0).max(least));
    }

    fn silence_limit(&self) -> Micros {
        (self.offset.unwrap_or(FIRST_COPY_DELAY) * SILENT_OFFSETS).max(SILENT_LEAST)
    }

    /// A refusal is taken for a limit's: one is told, or many senders meet a unit that each seldom calls.
    fn tells(&self, settings: &Settings, now: Micros) -> bool {
        let busy = self.usual_rate(now, settings.safety.overload_window / 30) >= BUSY;
        self.told_limit.is_some() || settings.senders > 1 && !busy
    }

    /// A refusal, or a failure with no success since the last cut, slows the pace down: to a told limit's
    /// even share at once, as all who are refused have used it up, and little below, which a sender of few
    /// calls would take ten of them to make good.
    fn slow_down(&mut self, served: f64, senders: f64, phase: f64) {
        let pace = if self.pace.is_finite() {
            self.pace
        } else {
            self.best_rate.max(PACE_FIRST / PACE_CUT)
        };
        let factor = if self.succeeded {
            PACE_CUT
        } else {
            PACE_HALVED
        };
        self.pace = match self.told_limit {
            Some(_) => (pace.min(self.share) * PACE_CUT).max(self.share * SHARE_LEAST),
            None => (pace * factor)
                .max(served * PACE_CUT)
                .max(PACE_LEAST / senders),
        };
        self.tokens = match self.told_limit {
            _ if self.tokens == f64::MAX => phase,
            // half a call sooner or later, or all who were refused together come again together
            Some(_) => self.tokens.min(0.0) + phase - 0.5,
            None => self.tokens.min(phase.max(self.tokens - 1.0)),
        };
        self.succeeded = false;
    }

    /// See `rejection_correlation.rs`.
    fn heed_refusals(&mut self, advice: RateAdvice, rate: f64) {
        match advice {
            RateAdvice::HalveForProbe => {
                self.pace = (self.pace.min(rate) / 2.0).max(PACE_LEAST);
                self.tokens = self.tokens.min(1.0);
            }
            RateAdvice::Restore(pace) => self.pace = pace,
            RateAdvice::Keep | RateAdvice::Reduce => {}
        }
    }

    fn grow(&mut self) {
        // what failures alone slowed down has met no limit
        let slow = if self.limited {
            PACE_GROWTH
        } else {
            f64::INFINITY
        };
        let growth = slow * (self.best_rate / self.pace).max(1.0);
        let most = self.told_limit.unwrap_or(f64::INFINITY);
        self.pace = (self.pace + growth.min(PACE_GROWTH_MOST * self.pace)).min(most);
    }

    /// Calls a second that may start now. A sick unit gets a trickle and a returning one slow start: this
    /// sender's usual rate, with which all together were served, or its even share of a told limit. What its
    /// best has beyond that cancels in the sum by the root of the senders; told, reports steer it. Guards a
    /// return against the sum of hundreds; could starve one seldom called: no rest is above two cold times.
    fn allowed(&self, safety: &Safety, senders: f64, now: Micros) -> Flow {
        let span = seconds(safety.overload_window.max(1));
        let (since, most) = match self.health {
            Health::Healthy => return Flow::even(self.pace),
            Health::Ejected { .. } => (now, 1.0 / span),
            Health::Recovering { since } => (since, self.pace),
        };
        let (cold, first) = (safety.slow_start.max(1), safety.initial_capacity);
        let level = first + (1.0 - first) * ((now - since) as f64 / cold as f64).min(1.0);
        let usual = self.usual_rate(now, cold).max(self.well_rate);
        let cancels = if self.told_limit.is_some() {
            1.0
        } else {
            senders.sqrt()
        };
        let budget = (usual + (self.best_rate - usual).clamp(0.0, usual) / cancels).max(self.share);
        let trials = (TRIALS / senders / span)
            .max(0.5 / seconds(cold))
            .min(1.0 / span);
        let whole =
            (budget * safety.overload_multiple * BUDGET_SHARE).max(trials / first.max(0.01));
        let rate = whole * level;
        if rate >= most || matches!(self.health, Health::Ejected { .. }) {
            return Flow::even(rate.min(most));
        }
        let slope = whole * (1.0 - first) / seconds(cold);
        let rises = seconds((cold - (now - since)).max(0)).min((most - rate) / slope.max(1e-9));
        Flow { rate, slope, rises }
    }
}
