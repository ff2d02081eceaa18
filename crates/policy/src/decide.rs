//! Every decision of the delivery service. The types, events and actions are in `interface.rs`, the records
//! of messages, attempts, calls and endpoints (plain data) in `state.rs`.
//!
//! Order of reading: constants, state, `handle` (one turn), what is learned from events, the legality gate
//! (only it knows the rules), then the proposals: sends, copies, probes, ends.

use crate::interface::*;
use crate::odds::{Odds, SICK};
use crate::refusals::Advice;
use crate::state::{
    Attempt, Call, ClassRecord, Endpoint, Health, Held, KeyLine, Unit, UnitId, seconds, share_of,
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
/// Share of the slots that copies may hold: more rescues more, less leaves slots to first attempts.
const COPY_SHARE: f64 = 0.5;
/// What a congestion event leaves of the window. Lower drains queues sooner and costs more throughput.
const WINDOW_CUT: f64 = 0.7;
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
/// Burst of the pace, as a span of it. Longer takes clumps faster, shorter draws fewer refusals.
const PACE_BURST: f64 = 0.4;
/// Evidence above which a unit is not trusted, and what is left of it on return.
const TRUST: f64 = 4.5;
const RETURNING: f64 = 11.0;
/// A unit that has just failed may be in doubt, for a fall span and up to this evidence: so many calls at
/// once show whether it is gone. More end a false alarm sooner, fewer waste less on an outage.
const GONE: f64 = 2.0 * SICK;
const DOUBT_CALLS: usize = 2;
const NOISY: f64 = 0.15; // usual share of failures from which on there is a doubt
/// A unit of fewer calls that serves so many a second may be noisy and not yet known for it.
const KNOWN: f64 = 50.0;
const BUSY: f64 = 20.0;
/// What succeeds now and then for so many times the time to get warm is not away but noisy.
const ILL_TIMES: i64 = 3;
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
/// A told share may lie so far above 1, by noise, and still count.
const LEFT_SLACK: f64 = 0.2;
/// Most of a told limit that counts as left: higher lets a lone sender take more at once.
const LEFT_MOST: f64 = 0.9;
/// Rest before a message is tried again: first, and at most. Longer spares attempts, shorter saves time.
const RETRY_FIRST: Micros = 150 * MILLISECOND;
const RETRY_MOST: Micros = 2 * SECOND;
/// Time kept before a deadline for a last answer, and before a keyed window or a wait ends.
const MARGIN: Micros = 30 * MILLISECOND;
/// Share of the held messages above which those that cannot go are refused.
const HELD_FULL: f64 = 0.85;
/// Backoff of a failed subscription: first and most.
const LIST_FIRST: Micros = 300 * MILLISECOND;
const LIST_MOST: Micros = 4 * SECOND;
/// A told limit beyond this, in calls a second, is no report.
const LIMIT_MOST: f64 = 1e5;
/// Span of a tenant's token bucket, seconds of its share.
const TENANT_BURST: f64 = 2.0;

/// The decisions of one sender.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Sender {
    pub(crate) settings: Settings,
    random: Pcg32,
    pub(crate) now: Micros,
    alarm: Micros,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) routes: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    /// When the list last had something at a destination.
    pub(crate) listed: BTreeMap<DestinationId, Micros>,
    pub(crate) units: BTreeMap<UnitId, Unit>,
    pub(crate) messages: BTreeMap<MessageId, Held>,
    pub(crate) keys: BTreeMap<u64, KeyLine>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    copies_out: usize,
    /// For each kind of destination, how often calls lately found no connection.
    crowded: BTreeMap<usize, f64>,
    tenant_tokens: Vec<(f64, Micros)>,
    list_retry: Option<Micros>,
    list_rest: Micros,
    /// When the process will end, once that is known.
    ends: Option<Micros>,
    /// The next time at which something may be due; the alarm is set by it.
    due: Micros,
    /// See `without_shortcuts`.
    pub(crate) shortcuts: bool,
}

impl Sender {
    /// A sender that knows nothing yet.
    ///
    /// # Errors
    /// When the settings make no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let list_retry = settings.list_on_request.then_some(Micros::MIN);
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
            shortcuts: true,
        })
    }

    /// One turn: takes in all events, then appends what to do. The time never goes backwards.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.alarm <= self.now {
            self.alarm = Micros::MAX;
        }
        for event in events {
            self.learn(event, actions);
        }
        self.due = Micros::MAX;
        if self.list_retry.take_if(|at| *at <= self.now).is_some() {
            actions.push(Action::Subscribe);
        }
        self.look_for_silence(actions);
        self.end_hopeless(actions);
        self.send_due(actions);
        self.set_alarm(actions);
    }

    fn learn(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Listed { listing, entries } => self.learn_list(*listing, entries),
            Event::ListFailed => {
                let jitter = Micros::from(self.random.next_u32()) % self.list_rest;
                self.list_retry = Some(self.now + self.list_rest / 2 + jitter);
                self.list_rest = (self.list_rest * 2).min(LIST_MOST);
            }
            Event::Accepted(message) => {
                self.accept(message);
                // no list ever named its destination: the client is told at once, and may come again, since
                // the list may be late
                let unknown = !self.listed.is_empty() && !self.listed.contains_key(&message.destination);
                if let Some(held) = self.messages.get_mut(&message.id).filter(|_| unknown) {
                    held.unknown = true;
                }
            }
            Event::Resumed { message, attempts } => self.resume(message, attempts),
            Event::Stopping { ends } => self.ends = Some(*ends),
            Event::ToldWait { endpoint, wait } => {
                let id = self.unit_of(*endpoint);
                self.heed(id, *wait, actions);
            }
            Event::Ended { message, attempt, outcome, latency, closed, report, .. } => {
                self.learn_outcome(*message, *attempt, *outcome, *latency, report, actions);
                if *outcome == Outcome::Success || *closed {
                    self.close(*message, actions);
                }
                self.forget_if_done(*message);
            }
            Event::Dropped(message) => {
                self.close(*message, actions);
                self.forget_if_done(*message);
            }
            Event::Started { .. } | Event::Probed { .. } | Event::Noted { .. } | Event::Alarm => {}
        }
    }

    fn learn_list(&mut self, listing: Listing, entries: &[Entry]) {
        if listing != Listing::Old {
            self.list_rest = LIST_FIRST;
        }
        if listing != Listing::Changes {
            self.endpoints.values_mut().for_each(|known| known.serving = false);
        }
        for entry in entries {
            let known = self.endpoints.entry(entry.endpoint).or_default();
            let moved = (known.destination, known.kind) != (entry.destination, entry.kind);
            if moved && let Some(routes) = self.routes.get_mut(&known.destination) {
                routes.remove(&entry.endpoint);
            }
            (known.destination, known.zone, known.kind) = (entry.destination, entry.zone, entry.kind);
            known.serving = entry.status == Status::Serving;
            self.routes.entry(entry.destination).or_default().insert(entry.endpoint);
            self.listed.insert(entry.destination, self.now);
            let id = self.unit_of(entry.endpoint);
            let told = self.settings.weight_trust * entry.weight / f64::from(self.settings.senders);
            let unit = self.unit(id);
            (unit.share, unit.best_rate) = (told, unit.best_rate.max(told));
        }
        self.forget_gone();
    }

    fn accept(&mut self, new: &NewMessage) {
        let deadline = self.now + new.time_left;
        let class = self.settings.classes.get(new.class);
        let (mut worth, ordered) = class.map_or((1.0, false), |class| (class.worth, class.ordered));
        let born = class.map_or(self.now, |class| deadline - class.deadline);
        if let Some(tenant) = new.tenant.and_then(|index| self.settings.tenants.get(index)) {
            let rate = tenant.allowance / f64::from(self.settings.senders);
            let (tokens, at) = &mut self.tenant_tokens[new.tenant.unwrap_or_default()];
            *tokens = (*tokens + rate * seconds(self.now - *at)).min((rate * TENANT_BURST).max(1.0));
            *at = self.now;
            let within = *tokens >= 1.0;
            *tokens -= f64::from(u8::from(within));
            worth *= if within { 1.0 } else { self.settings.over_share_worth };
        }
        let key = new.key.filter(|_| ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().turn.push_back(new.id);
            if self.keys.len() > 2 * self.settings.max_held {
                self.forget_gone();
            }
        }
        let mut held = Held { key, born, deadline, worth, open: true, ..Held::default() };
        (held.class, held.destination, held.retry_rest) = (new.class, new.destination, RETRY_FIRST);
        (held.later, held.most) = (new.later, self.settings.max_attempts);
        self.messages.insert(new.id, held);
    }

    /// Takes a message back after a restart. Its calls ended with the old process; those with no known
    /// outcome may have run. All count as overlapped: nobody knows the order of their ends, and a window of a
    /// key must count from the first.
    fn resume(&mut self, message: &NewMessage, attempts: &[PastAttempt]) {
        self.accept(message);
        let Some(held) = self.messages.get_mut(&message.id) else { return };
        held.attempts.extend(attempts.iter().map(|past| Attempt {
            endpoint: past.endpoint,
            sent: past.sent,
            call: u64::MAX,
            out: false,
            may_have_run: past.may_have_run,
            overlapped: true,
            cancelled: false,
        }));
        let rest_until = self.now + self.settings.safety.key_rest;
        let unsure = attempts.iter().any(|past| past.may_have_run);
        if let Some(line) = held.key.filter(|_| unsure).and_then(|key| self.keys.get_mut(&key)) {
            line.rest_until = line.rest_until.max(rest_until);
        }
    }

    fn learn_outcome(
        &mut self, id: MessageId, index: usize, outcome: Outcome, latency: Micros, report: &[f64],
        actions: &mut Vec<Action>,
    ) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(attempt) = message.attempts.get_mut(index).filter(|attempt| attempt.out) else { return };
        attempt.out = false;
        attempt.may_have_run = !outcome.never_ran();
        let (call_id, endpoint_id, sent) = (attempt.call, attempt.endpoint, attempt.sent);
        let class = message.class;
        // what the host could not send rests too, or a lasting fault there would use up all attempts at once
        if !matches!(outcome, Outcome::Success | Outcome::Unsent { no_slot: true }) {
            let rest = message.retry_rest;
            message.retry_rest = (rest * 2).min(RETRY_MOST);
            let unit = self.calls.get(&call_id).and_then(|call| self.units.get(&call.unit));
            // where a limit or a wait is told, the pace holds it back
            let told = unit.is_some_and(|unit| unit.told_limit.is_some() || unit.pace.is_finite());
            let paced = matches!(outcome, Outcome::Refused { wait } if told || wait.is_some());
            message.retry_at = self.now + if paced { 0 } else { rest };
        }
        let rests = matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled);
        if let Some(line) = message.key.filter(|_| rests).and_then(|key| self.keys.get_mut(&key)) {
            line.rest_until = line.rest_until.max(self.now + self.settings.safety.key_rest);
        }
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let (unit_id, first, copy) = (call.unit, call.left == call.size, call.copy);
        call.left -= 1;
        if call.left == 0 {
            self.calls.remove(&call_id);
            self.copies_out -= usize::from(copy);
            let unit = self.unit(unit_id);
            unit.in_flight = unit.in_flight.saturating_sub(1);
            unit.look_anew();
            self.close_idle(unit_id, endpoint_id, actions);
        }
        if let Outcome::Refused { wait: Some(wait) } = outcome {
            self.heed(unit_id, wait, actions);
        }
        self.learn_report(unit_id, report);
        if !first {
            return;
        }
        let (now, span, cold) = (self.now, self.settings.safety.fall_span, self.settings.safety.cold_time);
        let (slots, senders) = (self.settings.call_slots as f64, f64::from(self.settings.senders));
        let phase = self.phase();
        let silence = self.unit(unit_id).silence_limit();
        // the usual share of failures of a class that fails where others fare well
        let mut class_fails = 0.0;
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) {
            for score in [self.crowded.entry(endpoint.kind).or_default(), &mut endpoint.crowded] {
                match outcome {
                    Outcome::NoConnection => *score += CROWDED_WEIGHT * (1.0 - *score),
                    Outcome::Success => *score -= CROWDED_WEIGHT * CROWDED * *score,
                    _ => {}
                }
            }
            // one class may fail or go unanswered where others fare well: a late called-off attempt counts
            let record = endpoint.classes.entry(class).or_default();
            if outcome == Outcome::Success {
                (record.strikes, record.alive_at) = (0, now);
                record.alive_sent = record.alive_sent.max(sent);
                record.fails -= CLASS_WEIGHT * record.fails;
            } else if outcome.failed() || outcome == Outcome::Cancelled && latency > silence {
                record.strikes += 1;
                record.struck_until = now + ((span / 4) << record.strikes.min(3));
                record.fails += CLASS_WEIGHT * (1.0 - record.fails);
                record.first_strike = if record.strikes == 1 { sent } else { record.first_strike };
                let (begun, fails) = (record.first_strike, record.fails);
                let fares =
                    |(&other, known): (&usize, &ClassRecord)| other != class && known.alive_at > begun;
                class_fails = if endpoint.classes.iter().any(fares) { fails } else { 0.0 };
            }
        }
        let tells = self.units.get(&unit_id).is_some_and(|unit| unit.tells(&self.settings, now));
        let unit = self.unit(unit_id);
        if matches!(outcome, Outcome::Success | Outcome::Error | Outcome::Refused { .. }) {
            unit.alive_at = now;
        }
        match outcome {
            Outcome::Success => {
                unit.remember_latency(latency);
                unit.refused_run = 0;
                unit.succeeded = true;
                // what succeeds now and then for longer than an outage with its return lasts is only noisy
                let unknown = unit.odds.remembered() < KNOWN && unit.usual_rate(now, span / 30) >= BUSY;
                let away = now - unit.ill_since > ILL_TIMES * cold || now < unit.doubt_until && unknown;
                let learns = unit.health == Health::Well || away;
                unit.odds.good(learns, GONE);
                unit.served.push(now, usize::MAX);
                let rate = unit.served_rate(now, span);
                if !tells {
                    let lately = unit.served_lately(now, span);
                    let advice = unit.refusals.answer(false, sent, now, unit.pace, lately);
                    unit.heed_refusals(advice, lately);
                }
                if !unit.refusals.looks() {
                    unit.grow();
                }
                // what is served while returning must not raise the budget of the return itself
                unit.best_rate = unit.best_rate.max(if unit.health == Health::Well { rate } else { 0.0 });
                unit.window = (unit.window + 1.0 / unit.window).min(WINDOW_MOST * slots);
                match unit.health {
                    // answers at the first trial after refusals or silence alone: throttled or slow, not out
                    Health::Sick { silent, since }
                        if unit.odds.evidence() < TRUST && (silent || now - since < 2 * span) =>
                    {
                        unit.health = Health::Well;
                    }
                    Health::Sick { .. } if now < unit.doubt_until => {}
                    Health::Sick { .. } => {
                        unit.odds.set(unit.odds.evidence().min(RETURNING));
                        unit.health = Health::Returning { since: now };
                        actions.push(Action::Log(format!("destination {} returns", unit_id.0)));
                    }
                    Health::Returning { since } if now - since > cold => unit.health = Health::Well,
                    _ => {}
                }
            }
            Outcome::Refused { wait } => {
                unit.refused_since = if unit.refused_run == 0 { now } else { unit.refused_since };
                unit.refused_run += 1;
                let rate = unit.served_rate(now, span);
                let told = wait.is_some() || tells;
                let usual = if told { 0.0 } else { unit.refusals.usual() };
                let run = SHUT_RUN.max(if told { 0 } else { (SICK / Odds::weight(usual)).ceil() as u32 });
                let shut = unit.refused_run >= run && now - unit.refused_since >= SHUT_SPAN;
                let lately = unit.served_lately(now, span);
                let advice = match told {
                    true => Advice::Cut,
                    false => unit.refusals.answer(true, sent, now, unit.pace, lately),
                };
                unit.heed_refusals(advice, lately);
                // what opens again is found out by its pace, too
                let opens_slowly = shut && !told && unit.pace.is_infinite();
                if (advice == Advice::Cut && unit.cut(sent, now)) || opens_slowly {
                    unit.slow_down(rate, senders, phase);
                }
                if shut {
                    self.fall_sick(unit_id, false, "shut", actions);
                }
            }
            _ if outcome.failed() => {
                let reset = outcome == Outcome::Reset;
                let evidence = unit.odds.bad(if reset { RESET_WEIGHT } else { 1.0 }, class_fails);
                let (rate, lone) = (unit.served_rate(now, span), !unit.succeeded);
                let congested = outcome != Outcome::Error || lone && evidence > SICK / 2.0;
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
                if evidence >= SICK {
                    self.fall_sick(unit_id, false, "fails", actions);
                }
            }
            _ => {}
        }
    }

    fn heed(&mut self, id: UnitId, wait: Micros, actions: &mut Vec<Action>) {
        if wait > 2 * self.settings.safety.fall_span {
            self.fall_sick(id, false, "shut", actions); // closed, not throttled: it opens cold
        }
        let until = self.now + wait + MILLISECOND;
        self.unit(id).wait_until = self.unit(id).wait_until.max(until);
    }

    /// Bounds the pace by what a unit tells of its shared limit: the even share while nothing is left, more
    /// by the square of what others leave, the only sign of all senders' load. Guards limits that refused
    /// calls use up; could hold back a sender that has most of the traffic.
    fn learn_report(&mut self, id: UnitId, report: &[f64]) {
        let read = |at: Option<usize>| at.and_then(|index| report.get(index).copied());
        let (limit, left) = (read(self.settings.report_limit), read(self.settings.report_left));
        let share = limit.unwrap_or(0.0) / f64::from(self.settings.senders);
        let Some(limit) = limit.filter(|&limit| limit > 0.0 && limit <= LIMIT_MOST) else { return };
        if left.is_some_and(|left| !(0.0..=1.0 + LEFT_SLACK).contains(&left)) {
            return; // what tells an absurd share tells no limit either
        }
        let unit = self.unit(id);
        (unit.told_limit, unit.share) = (Some(limit), share);
        unit.best_rate = unit.best_rate.max(share);
        let used = left.map_or(0.0, |left| 1.0 - left.clamp(0.0, LEFT_MOST));
        let free = share / (used * used);
        let first = if unit.pace.is_infinite() { share.max(PACE_FIRST) } else { unit.pace };
        unit.pace = first.min(free).min(limit);
    }

    /// Gives back a connection that would sooner close by itself than be used again.
    /// Guards endpoints that take few connections against hundreds of senders that each keep one idle. Could
    /// harm where traffic comes in bursts with long pauses: the next call pays a handshake.
    fn close_idle(&mut self, id: UnitId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        let (now, idle) = (self.now, self.settings.connection_idle);
        let unit = self.unit(id);
        let usual = unit.usual_rate(now, idle);
        let Some(known) = self.endpoints.get(&endpoint) else { return };
        let rare = usual * seconds(idle) < 1.0;
        let kind = self.crowded.get(&known.kind).copied().unwrap_or(0.0);
        let crowded = known.crowded > CROWDED || rare && kind > CROWDED;
        if crowded && self.calls.values().all(|call| call.endpoint != endpoint) {
            actions.push(Action::Disconnect(endpoint));
        }
    }

    fn fall_sick(&mut self, id: UnitId, silent: bool, why: &str, actions: &mut Vec<Action>) {
        let (most, now) = (share_of(self.settings.call_slots, WINDOW_SICK) as f64, self.now);
        let (phase, span) = (self.phase(), self.settings.safety.fall_span);
        let cold = self.settings.safety.cold_time;
        let unit = self.unit(id);
        if !matches!(unit.health, Health::Sick { .. }) {
            unit.tokens = phase;
            // from here on the fail-back budget sets the rate, not what failures made of the pace
            unit.pace = if why == "shut" { unit.pace } else { unit.pace.max(unit.best_rate) };
            actions.push(Action::Log(format!("destination {} sick: {why}", id.0)));
            unit.ill_since = if unit.health == Health::Well { now } else { unit.ill_since };
            let unknown = unit.odds.remembered() < KNOWN && unit.usual_rate(now, span / 30) >= BUSY;
            let noisy = unknown || unit.odds.usual() >= NOISY;
            let doubted = noisy && unit.health == Health::Well && why == "fails";
            unit.doubt_until = if doubted { now + span } else { now };
            if !doubted && now - unit.ill_since <= ILL_TIMES * cold {
                unit.odds.was_outage();
            }
            unit.health = Health::Sick { silent, since: now };
        }
        unit.window = unit.window.min(most);
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
            let Some(unit) = self.units.get_mut(&call.unit) else { continue };
            let age = self.now - call.sent;
            let limit = unit.silence_limit();
            for at in [1, 2, 4].map(|limits| call.sent + limits * limit + MILLISECOND) {
                self.due = if at > self.now { self.due.min(at) } else { self.due };
            }
            unit.lags |= age > SILENT_LEAST.max(unit.usual.unwrap_or(FIRST_COPY_DELAY) * LAG_USUAL);
            if unit.alive_at < call.sent {
                unit.quiet += usize::from(age > unit.silence_limit() && !call.copy);
                unit.quiet_age = unit.quiet_age.max(age);
            }
        }
        let silent = |unit: &Unit| {
            let lone = unit.quiet_age > 2 * unit.silence_limit();
            unit.health == Health::Well && unit.quiet > 0 && (unit.quiet > 1 || lone)
        };
        let busy: BTreeSet<UnitId> = self.calls.values().map(|call| call.unit).collect();
        let ids: Vec<_> = busy.into_iter().filter(|id| self.units.get(id).is_some_and(silent)).collect();
        ids.into_iter().for_each(|id| self.fall_sick(id, true, "silent", actions));
        let scarce = self.calls.len() >= share_of(self.settings.call_slots, SLOTS_SCARCE);
        for (&message, held) in &mut self.messages {
            let class = self.settings.classes.get(held.class);
            let repeatable = class.is_some_and(|class| class.effect != Effect::Unsafe);
            let free = self.settings.may_cancel && (scarce || repeatable);
            for (index, attempt) in held.attempts.iter_mut().enumerate() {
                let call =
                    self.calls.get(&attempt.call).filter(|_| free && attempt.out && !attempt.cancelled);
                let Some(unit) = call.and_then(|call| self.units.get(&call.unit)) else { continue };
                let sick = unit.alive_at < attempt.sent && matches!(unit.health, Health::Sick { .. });
                let record = self.endpoints.get(&attempt.endpoint).map(|known| &known.classes);
                let class = record.and_then(|classes| classes.get(&held.class));
                let (alive, later) = class.map_or((0, 0), |class| (class.alive_at, class.alive_sent));
                let limits = (if scarce { 1 } else { RECLAIM_LIMITS }) * if sick { 1 } else { CLASS_LIMITS };
                let (age, limit) = (self.now - attempt.sent, unit.silence_limit());
                let over = age > limits * limit && (sick || alive < attempt.sent);
                // what calls sent well behind it have overtaken hangs on a connection that is dead
                let overtaken =
                    later > attempt.sent + limit / 2 && 2 * age > OVERTAKEN * limit * (index as i64 + 1);
                if over || overtaken {
                    attempt.cancelled = true;
                    actions.push(Action::Cancel { message, attempt: index });
                }
            }
        }
    }

    // ---- the legality gate -------------------------------------------------------------------

    /// True if the rules and limits allow this send now. `joins`: it travels in a call opened this turn.
    fn may_send(&self, id: MessageId, endpoint: EndpointId, joins: bool) -> bool {
        let (Some(message), Some(target)) = (self.messages.get(&id), self.endpoints.get(&endpoint)) else {
            return false;
        };
        let settings = &self.settings;
        let out = message.attempts.iter().filter(|attempt| attempt.out).count();
        if !message.open
            || !target.serving
            || target.destination != message.destination
            || message.attempts.len() >= message.most
            || self.now + MARGIN >= message.deadline
            || (out > 0 && !settings.second_copies)
        {
            return false;
        }
        let mut risky = message.at_risk();
        let repeatable = match self.effect(message.class) {
            Effect::Repeatable => true,
            Effect::Unsafe => risky.next().is_none(),
            Effect::Keyed { window, zone_only } => risky.all(|attempt| {
                let zone = self.endpoints.get(&attempt.endpoint).map(|known| known.zone);
                self.now + MARGIN < attempt.sent + window && (!zone_only || zone == Some(target.zone))
            }),
        };
        let turn = message.key.and_then(|key| self.keys.get(&key)).is_none_or(|line| {
            line.turn.front() == Some(&id) && (self.now >= line.rest_until || !message.attempts.is_empty())
        });
        let unit_id = self.unit_of(endpoint);
        let waits = self.units.get(&unit_id).is_some_and(|unit| self.now < unit.wait_until);
        let ends = (message.destination, None)..=(message.destination, Some(EndpointId(u32::MAX)));
        let here = self.units.range(ends);
        let in_flight: usize = here.map(|(_, unit)| unit.in_flight).sum();
        let slots = joins
            || (self.calls.len() < settings.call_slots
                && in_flight < share_of(settings.call_slots, WINDOW_MOST));
        repeatable && turn && !waits && slots
    }

    /// True if the message may be refused: it is certain that a retry does no harm.
    fn may_refuse(&self, message: &Held) -> bool {
        let mut risky = message.at_risk();
        match self.effect(message.class) {
            Effect::Repeatable => true,
            Effect::Unsafe => risky.next().is_none(),
            Effect::Keyed { window, zone_only } => {
                risky.all(|attempt| !zone_only && self.now + MARGIN < attempt.sent + window)
            }
        }
    }

    // ---- proposals ---------------------------------------------------------------------------

    /// Ends messages that cannot be delivered any more, and makes room when too many are held.
    fn end_hopeless(&mut self, actions: &mut Vec<Action>) {
        let held = self.messages.values().filter(|message| message.open).count();
        let mut excess = held.saturating_sub(share_of(self.settings.max_held, HELD_FULL));
        let mut ends = Vec::new();
        let mut stuck = Vec::new();
        for (&id, message) in &self.messages {
            if !message.open {
                continue;
            }
            let out = message.is_out();
            self.due = self.due.min(message.deadline - MARGIN);
            if self.now + MARGIN >= message.deadline || message.unknown || (!out && self.is_spent(message)) {
                ends.push(id);
            } else if excess > 0 && !out && self.may_refuse(message) && self.is_stuck(message) {
                stuck.push((!message.later, message.worth, message.born, id));
            }
        }
        stuck.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        excess = excess.min(stuck.len());
        ends.extend(stuck[..excess].iter().map(|&(_, _, _, id)| id));
        for id in ends {
            let Some(message) = self.messages.get(&id) else { continue };
            actions.push(if self.may_refuse(message) {
                let wait = self.settings.max_client_wait / 2;
                Action::Refuse { message: id, wait: (wait > 0).then_some(wait) }
            } else {
                Action::Fail(id)
            });
            self.close(id, actions);
            self.forget_if_done(id);
        }
    }

    /// True if no later send can be legal: it may have run and cannot be repeated, or no attempt is left.
    fn is_spent(&self, message: &Held) -> bool {
        let mut risky = message.at_risk();
        let closed = match self.effect(message.class) {
            Effect::Repeatable => false,
            Effect::Unsafe => risky.next().is_some(),
            Effect::Keyed { window, .. } => risky.any(|attempt| self.now + MARGIN >= attempt.sent + window),
        };
        closed || message.attempts.len() >= message.most
    }

    /// True if every unit of the message's destination is sick, returning or has failed of late.
    fn is_stuck(&self, message: &Held) -> bool {
        let goes = |unit: &Unit| unit.health == Health::Well && unit.odds.evidence() < TRUST;
        let stuck = |id: &EndpointId| self.units.get(&self.unit_of(*id)).is_some_and(|unit| !goes(unit));
        let serving = |id: &&EndpointId| self.endpoints.get(id).is_some_and(|known| known.serving);
        self.routes.get(&message.destination).is_none_or(|ids| ids.iter().filter(serving).all(stuck))
    }

    fn send_due(&mut self, actions: &mut Vec<Action>) {
        let mut due: Vec<(bool, f64, MessageId)> = Vec::new();
        for (&id, message) in &self.messages {
            let out = message.is_out();
            let line = message.key.and_then(|key| self.keys.get(&key));
            let turn = line.is_none_or(|line| line.turn.front() == Some(&id));
            let at = if out { message.copy_at } else { message.retry_at };
            if message.open && turn && at > self.now {
                self.due = self.due.min(at);
            } else if message.open && turn {
                due.push((message.later, self.urgency(message), id));
            }
        }
        due.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        let (mut opened, mut blocked) = (BTreeMap::new(), BTreeSet::new());
        for (_, _, id) in due {
            let Some(held) = self.messages.get(&id) else { continue };
            let (copy, destination) = (held.is_out(), held.destination);
            // with no past, it fares as the last of its kind in this turn: nothing frees room within one
            let plain = held.attempts.is_empty() && held.key.is_none() && self.shortcuts;
            let kind = plain.then_some((destination, held.class));
            if kind.is_some_and(|kind| blocked.contains(&kind)) {
                continue;
            }
            let full = copy && self.copies_out >= share_of(self.settings.call_slots, COPY_SHARE);
            // a copy skipped at the ceiling comes up again next turn: its offset is not doubled
            if let Some((endpoint, joined)) = self.pick(id, copy, &opened).filter(|_| !full) {
                self.send(id, endpoint, joined, copy, &mut opened, actions);
                // a call that is open may take more
                blocked.retain(|kind: &(DestinationId, usize)| kind.0 != destination);
            } else {
                blocked.extend(kind);
            }
        }
    }

    /// Worth still to be won per second of a slot; within the aim the oldest come first.
    fn urgency(&self, message: &Held) -> f64 {
        let age = self.now - message.born;
        let Some(class) = self.settings.classes.get(message.class) else { return 0.0 };
        let aims = age as f64 / class.aim as f64;
        let left = if aims <= 0.9 { 1.0 + aims } else { 0.8 * class.worth_left(age, self.settings.fade) };
        message.worth * left
    }

    /// The best legal endpoint for the message, and the call of this turn that it can join.
    fn pick(
        &mut self, id: MessageId, copy: bool, opened: &BTreeMap<EndpointId, u64>,
    ) -> Option<(EndpointId, Option<u64>)> {
        let message = self.messages.get(&id)?;
        let (class, deadline) = (message.class, message.deadline);
        let key = message.key;
        let unsafe_class = self.effect(class) == Effect::Unsafe;
        let routes: Vec<EndpointId> = self.routes.get(&message.destination)?.iter().copied().collect();
        let mut options = Vec::new();
        for endpoint in routes {
            let Some(known) = self.endpoints.get(&endpoint) else { continue };
            let bundle = self.settings.kinds.get(known.kind).map_or(1, |kind| kind.bundle_max);
            let room = |call: &u64| self.calls.get(call).is_some_and(|call| call.size < bundle);
            let joined = opened.get(&endpoint).copied().filter(room);
            let attempts = &self.messages.get(&id)?.attempts;
            let tries = attempts.iter().filter(|attempt| attempt.endpoint == endpoint).count();
            let unit_id = self.unit_of(endpoint);
            if (copy && tries > 0) || !self.may_send(id, endpoint, joined.is_some()) {
                let line = key.and_then(|key| self.keys.get(&key));
                let until = [line.map(|line| line.rest_until), Some(self.unit(unit_id).wait_until)];
                self.due =
                    until.into_iter().flatten().filter(|&at| at > self.now).fold(self.due, Micros::min);
                continue;
            }
            let unit = self.unit(unit_id);
            let (usual, slowest) = (unit.usual.unwrap_or(0), unit.offset.unwrap_or(FIRST_COPY_DELAY));
            let late = self.now + usual > deadline;
            // a call cut off by the end of the process may have run; the next life makes a whole one
            if self.ends.is_some_and(|ends| self.now + slowest > ends) {
                continue;
            }
            if copy && late || !self.is_wise(unit_id, unsafe_class, copy, joined.is_some()) {
                continue;
            }
            let Some(known) = self.endpoints.get(&endpoint) else { continue };
            let record = known.classes.get(&class);
            let struck = record.is_some_and(|class| class.struck_until > self.now && class.strikes > 0);
            let health = match self.units.get(&unit_id).map(|unit| unit.health).unwrap_or_default() {
                Health::Well => 0,
                Health::Returning { .. } => 1,
                Health::Sick { .. } => 2,
            };
            let load = self.calls.values().filter(|call| call.endpoint == endpoint).count();
            // filling a call spends nothing; another route has a limit of its own, a shared one has not
            let load = if joined.is_some() { 0 } else { load + usize::from(unit_id.1.is_none()) };
            let far = known.zone != self.settings.zone;
            options.push(((health, struck, tries, load, far, self.random.next_u32()), endpoint, joined));
        }
        options.into_iter().min().map(|(_, endpoint, joined)| (endpoint, joined))
    }

    /// True if window, pace and health advise the call.
    fn is_wise(&mut self, id: UnitId, unsafe_class: bool, copy: bool, joins: bool) -> bool {
        let (now, safety) = (self.now, self.settings.safety.clone());
        let burdens = |call: &&Call| self.units.get(&call.unit).is_some_and(Unit::is_burden);
        let burden_full =
            self.calls.values().filter(burdens).count() >= share_of(self.settings.call_slots, WINDOW_SICK);
        let senders = f64::from(self.settings.senders);
        let unit = self.unit(id);
        let rate = unit.allowed_rate(&safety, senders, now);
        unit.refill(now, rate);
        if unit.lags && burden_full && !joins {
            return false;
        }
        let tokens = unit.tokens;
        let advised = match unit.health {
            // an unsafe message is risked only if calls are refused, or if none else goes
            Health::Sick { .. } if now < unit.doubt_until && !unsafe_class => {
                !copy && (joins || unit.in_flight < DOUBT_CALLS) && !burden_full
            }
            Health::Sick { .. } => {
                let needed = if unsafe_class && unit.refused_run == 0 { 2.0 } else { 1.0 };
                !copy && tokens >= needed && !burden_full
            }
            // one is risked once nothing has been tried for long: else unsafe messages alone would never go
            Health::Returning { since } if copy || unsafe_class && unit.odds.evidence() > TRUST => {
                let rested = unit.last_sent.max(since) + safety.cold_time;
                let goes = !copy && now > rested && unit.in_flight == 0 && tokens >= 1.0;
                self.due = if rested >= now && !copy { self.due.min(rested + MILLISECOND) } else { self.due };
                goes
            }
            // what is sent to a unit that may be about to fail cannot be sent again
            Health::Well if unsafe_class && unit.quiet_age > unit.offset.unwrap_or(FIRST_COPY_DELAY) => {
                return false;
            }
            Health::Well if copy && tokens < 2.0 => return false,
            _ => joins || (unit.in_flight as f64) < unit.window.floor().max(1.0) && tokens >= 1.0,
        };
        if !advised && tokens < 1.0 {
            let rest = ((1.0 - tokens) / rate.max(0.001) * SECOND as f64) as Micros;
            self.due = self.due.min(now + rest + MILLISECOND);
        }
        advised
    }

    fn send(
        &mut self, id: MessageId, endpoint: EndpointId, joined: Option<u64>, copy: bool,
        opened: &mut BTreeMap<EndpointId, u64>, actions: &mut Vec<Action>,
    ) {
        let now = self.now;
        let unit_id = self.unit_of(endpoint);
        let call_id = joined.unwrap_or(self.next_call);
        if joined.is_none() {
            self.next_call += 1;
            let call = Call { unit: unit_id, endpoint, sent: now, left: 0, size: 0, copy };
            self.calls.insert(call_id, call);
            self.copies_out += usize::from(copy);
            opened.insert(endpoint, call_id);
            let unit = self.unit(unit_id);
            unit.tokens -= 1.0;
            unit.in_flight += 1;
            unit.sent += 1;
            unit.last_sent = now;
        }
        let silence = self.unit(unit_id).silence_limit();
        let offset = self.unit(unit_id).offset.unwrap_or(FIRST_COPY_DELAY);
        self.calls.entry(call_id).and_modify(|call| (call.left, call.size) = (call.left + 1, call.size + 1));
        let effect = self.messages.get(&id).map_or(Effect::Unsafe, |message| self.effect(message.class));
        let Some(message) = self.messages.get_mut(&id) else { return };
        let expires = match effect {
            Effect::Unsafe => message.deadline,
            Effect::Keyed { window, .. } => message.deadline.min(now + window),
            Effect::Repeatable => message.deadline.min(now + offset * 10),
        };
        if copy {
            message.copy_at = now + message.copy_step;
            message.copy_step *= 2;
        } else {
            message.copy_at = if effect == Effect::Unsafe { Micros::MAX } else { now + offset };
            message.copy_step = offset;
        }
        self.due = self.due.min(message.copy_at).min(now + silence + MILLISECOND);
        message.attempts.iter_mut().for_each(|attempt| attempt.overlapped |= attempt.out);
        message.attempts.push(Attempt {
            endpoint,
            sent: now,
            call: call_id,
            out: true,
            may_have_run: false,
            overlapped: false,
            cancelled: false,
        });
        actions.push(Action::Send { message: id, endpoint, expires });
    }

    /// Marks a message as ended and calls off what is still out.
    fn close(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get_mut(&id).filter(|message| message.open) else { return };
        message.open = false;
        if self.settings.may_cancel {
            for (attempt, _) in message.attempts.iter().enumerate().filter(|(_, attempt)| attempt.out) {
                actions.push(Action::Cancel { message: id, attempt });
            }
        }
    }

    fn forget_if_done(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id).filter(|held| !held.open && !held.is_out()) else {
            return;
        };
        if let Some(key) = message.key
            && let Some(line) = self.keys.get_mut(&key)
        {
            line.turn.retain(|&other| other != id);
        }
        self.messages.remove(&id);
    }

    fn set_alarm(&mut self, actions: &mut Vec<Action>) {
        let at = self.due.min(self.list_retry.unwrap_or(Micros::MAX)).max(self.now + MILLISECOND);
        if at < self.alarm {
            self.alarm = at;
            actions.push(Action::SetAlarm(at));
        }
    }

    // ---- small lookups -----------------------------------------------------------------------

    fn effect(&self, class: usize) -> Effect {
        self.settings.classes.get(class).map_or(Effect::Unsafe, |class| class.effect)
    }

    pub(crate) fn unit_of(&self, endpoint: EndpointId) -> UnitId {
        let Some(known) = self.endpoints.get(&endpoint) else { return (0, Some(endpoint)) };
        let apart = self.settings.kinds.get(known.kind).is_some_and(|kind| kind.separate_routes);
        (known.destination, apart.then_some(endpoint))
    }

    /// A random part of one token, so that senders do not all start at once.
    fn phase(&mut self) -> f64 {
        f64::from(self.random.next_u32()) / f64::from(u32::MAX)
    }

    fn unit(&mut self, id: UnitId) -> &mut Unit {
        let (window, now) = (share_of(self.settings.call_slots, WINDOW_START) as f64, self.now);
        let (pace, tokens, tokens_at, since) = (f64::INFINITY, 1.0, now, now);
        let new = || Unit { window, pace, tokens, tokens_at, since, succeeded: true, ..Unit::default() };
        self.units.entry(id).or_insert_with(new)
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
        self.usual = Some(self.usual.map_or(latency, |usual| usual + (latency - usual) / USUAL_SLOWNESS));
        self.latencies.push(latency, LATENCIES);
        let least = if self.latencies.len() < LATENCIES_LEAST { FIRST_COPY_DELAY } else { MILLISECOND };
        self.offset = Some(self.latencies.ranked(COPY_RANK, 20).unwrap_or(0).max(least));
    }

    /// Forgets what one look at the calls in flight has shown, before the next.
    fn look_anew(&mut self) {
        (self.quiet, self.quiet_age, self.lags) = (0, 0, false);
    }

    /// True if its calls together with those of other such units may hold only a part of the slots.
    fn is_burden(&self) -> bool {
        self.lags || matches!(self.health, Health::Sick { .. })
    }

    fn silence_limit(&self) -> Micros {
        (self.offset.unwrap_or(FIRST_COPY_DELAY) * SILENT_OFFSETS).max(SILENT_LEAST)
    }

    /// A refusal is taken for a limit's: one is told, or many senders meet a unit that each seldom calls.
    fn tells(&self, settings: &Settings, now: Micros) -> bool {
        let busy = self.usual_rate(now, settings.safety.fall_span / 30) >= BUSY;
        self.told_limit.is_some() || settings.senders > 1 && !busy
    }

    /// Calls served a second since the first of the last span: of one that has just begun to serve, too.
    fn served_lately(&self, now: Micros, span: Micros) -> f64 {
        let since = now - self.served.first().unwrap_or(now);
        self.served.len() as f64 / seconds(since.clamp(span / 60, span))
    }

    /// A refusal, or a failure with no success since the last cut, slows the pace down.
    /// The even share of a told limit is left only for demand: other senders may need theirs.
    fn slow_down(&mut self, served: f64, senders: f64, phase: f64) {
        let pace = if self.pace.is_finite() { self.pace } else { self.best_rate.max(PACE_FIRST / PACE_CUT) };
        let factor = if self.succeeded { PACE_CUT } else { PACE_HALVED };
        let share = self.told_limit.map_or(f64::INFINITY, |_| self.share);
        let cut = (pace * factor).max(served * PACE_CUT).min(share.max(pace * PACE_HALVED));
        self.pace = cut.max(PACE_LEAST / senders);
        self.tokens =
            if self.tokens < f64::MAX { self.tokens.min(phase.max(self.tokens - 1.0)) } else { phase };
        self.succeeded = false;
    }

    /// See `refusals.rs`.
    fn heed_refusals(&mut self, advice: Advice, rate: f64) {
        match advice {
            Advice::Halve => {
                self.pace = (self.pace.min(rate) / 2.0).max(PACE_LEAST);
                self.tokens = self.tokens.min(1.0);
            }
            Advice::Restore(pace) => self.pace = pace,
            Advice::Keep | Advice::Cut => {}
        }
    }

    fn grow(&mut self) {
        let growth = PACE_GROWTH * (self.best_rate / self.pace).max(1.0);
        let most = self.told_limit.unwrap_or(f64::INFINITY);
        self.pace = (self.pace + growth.min(PACE_GROWTH_MOST * self.pace)).min(most);
    }

    /// Calls a second that may start now. A sick unit gets a trickle and a returning one slow start: this
    /// sender's share of the fail-back budget, by its usual rate there or by the even share of a told limit.
    /// Guards a returning destination against the sum of hundreds of senders; could starve one that was
    /// seldom called, so no rest is longer than twice the cold time.
    fn allowed_rate(&self, safety: &Safety, senders: f64, now: Micros) -> f64 {
        let since = match self.health {
            Health::Well => return self.pace,
            Health::Sick { .. } => now,
            Health::Returning { since } => since,
        };
        let cold = safety.cold_time.max(1);
        let warm = (now - since) as f64 / cold as f64;
        let level = safety.start_capacity + (1.0 - safety.start_capacity) * warm.min(1.0);
        let usual = self.usual_rate(now, cold);
        let budget = self.best_rate.clamp(usual, 2.0 * usual).max(self.share)
            * safety.fall_multiple
            * BUDGET_SHARE
            * level;
        let span = seconds(safety.fall_span.max(1));
        let trials = (TRIALS / senders / span).max(0.5 / seconds(cold)).min(1.0 / span);
        let least = trials * level / safety.start_capacity.max(0.01);
        let most = if since == now { 1.0 / span } else { self.pace };
        budget.max(least).min(most)
    }

    fn refill(&mut self, now: Micros, rate: f64) {
        // nothing is saved up during a told wait: all who were told would start at its end
        let passed = seconds((now - self.tokens_at.max(self.wait_until)).max(0));
        self.tokens_at = now;
        let most =
            if matches!(self.health, Health::Sick { .. }) { 2.0 } else { (rate * PACE_BURST).max(1.0) };
        self.tokens = if rate.is_finite() { (self.tokens + rate * passed).min(most) } else { f64::MAX };
    }
}
