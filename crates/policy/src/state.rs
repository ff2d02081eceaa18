//! Plain records that the decisions keep. No rule, table or tuned value is here: those are in `decide.rs`.

use crate::interface::{DestinationId, EndpointId, MessageId, Micros, SECOND, Settings};
use crate::outage_evidence::OutageEvidence;
use crate::rejection_correlation::RejectionCorrelation;
use crate::scheduler::Agenda;
use milletturn_idle_state::CompactState;
/// How a unit seems to be.
pub(crate) use milletturn_idle_state::Health;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The decisions of one sender.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct Sender {
    pub(crate) settings: Settings,
    pub(crate) random: Pcg32,
    pub(crate) now: Micros,
    pub(crate) alarm: Micros,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) routes: BTreeMap<DestinationId, BTreeSet<EndpointId>>,
    /// When the list last had something at a destination.
    pub(crate) listed: BTreeMap<DestinationId, Micros>,
    pub(crate) units: BTreeMap<UnitId, Unit>,
    /// Units that have had no call for long, and the last unit that was looked at for that.
    pub(crate) dormant: BTreeMap<UnitId, CompactState>,
    pub(crate) rested: Option<UnitId>,
    /// What may be forgotten: endpoints, destinations without any and since when, units.
    pub(crate) leaving: BTreeSet<EndpointId>,
    pub(crate) unlisted: BTreeSet<(Micros, DestinationId)>,
    pub(crate) unused: BTreeSet<UnitId>,
    pub(crate) messages: BTreeMap<MessageId, Held>,
    pub(crate) keys: BTreeMap<u64, KeyLine>,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) next_call: u64,
    pub(crate) copies_out: usize,
    /// For each kind of destination, how often calls lately found no connection.
    pub(crate) crowded: BTreeMap<usize, f64>,
    pub(crate) tenant_tokens: Vec<(f64, Micros)>,
    pub(crate) list_retry: Option<Micros>,
    pub(crate) list_rest: Micros,
    /// When the process will end, once that is known.
    pub(crate) ends: Option<Micros>,
    /// The next time at which something may be due; the alarm is set by it.
    pub(crate) due: Micros,
    /// Where each message stands; made anew where a sender is read from its written form.
    #[serde(skip)]
    pub(crate) agenda: Agenda,
    /// Calls out at units that fare badly, in this turn.
    pub(crate) burdens: usize,
    /// See `without_shortcuts`.
    pub(crate) shortcuts: bool,
}

/// What shares health, waits and limits: a destination, or one endpoint where routes are apart.
pub(crate) type UnitId = (DestinationId, Option<EndpointId>);

/// What is known of one endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    /// Its destination, zone and kind, as listed last.
    pub destination: DestinationId,
    pub zone: u16,
    pub kind: usize,
    /// When the list first had it.
    pub since: Micros,
    /// Listed, neither draining nor gone.
    pub serving: bool,
    /// For each class, by position: failures in a row, until when they count against it, last answer.
    pub classes: BTreeMap<usize, ClassRecord>,
    /// How often calls lately found no connection.
    pub crowded: f64,
}

/// How one class fares at one endpoint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct ClassRecord {
    pub strikes: u32,
    pub first_strike: Micros,
    /// Share of its calls that fail, of late.
    pub fails: f64,
    pub struck_until: Micros,
    pub alive_at: Micros,
    /// When the last call that it answered was sent.
    pub alive_sent: Micros,
}

/// One send of a message.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Attempt {
    /// Where it went and when.
    pub endpoint: EndpointId,
    pub sent: Micros,
    /// The call that carries it.
    pub call: u64,
    /// Its outcome has not come.
    pub out: bool,
    /// Its outcome does not prove that it never ran.
    pub may_have_run: bool,
    /// A later attempt started while this one was out.
    pub overlapped: bool,
    /// It was called off.
    pub cancelled: bool,
}

/// A message until its end and the end of its attempts.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Held {
    /// Position of its class.
    pub class: usize,
    pub destination: DestinationId,
    /// Its key, if its class keeps order.
    pub key: Option<u64>,
    /// When it was first handed in, and when its time is up.
    pub born: Micros,
    pub deadline: Micros,
    /// What its delivery is worth.
    pub worth: f64,
    /// No final answer yet.
    pub open: bool,
    /// Attempts that it may have.
    pub most: usize,
    /// All others come first.
    pub later: bool,
    /// It was taken on before a restart, and has had no call yet.
    pub owed: bool,
    /// It is handed back as it comes: to a destination that is not known, or too late to be of worth.
    pub turned_away: bool,
    pub attempts: Vec<Attempt>,
    /// Earliest next attempt, and the rest after the one that fails then.
    pub retry_at: Micros,
    pub retry_rest: Micros,
    /// When the next copy is due, and the offset after it.
    pub copy_at: Micros,
    pub copy_step: Micros,
}

impl Held {
    pub(crate) fn is_out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }

    /// A restart found it taken on and untried, and it is so still.
    pub(crate) fn owes_call(&self) -> bool {
        self.owed && self.attempts.is_empty()
    }

    /// Attempts that may run or have run. While there are any, also those that a later one overlapped: a key's
    /// window counts from the first, even if that one turns out never to have run.
    /// The attempt `besides` does not count.
    pub(crate) fn at_risk(&self, besides: usize) -> impl Iterator<Item = &Attempt> {
        let others = || {
            self.attempts
                .iter()
                .enumerate()
                .filter(move |(at, _)| *at != besides)
        };
        let any = others().any(|(_, attempt)| attempt.out || attempt.may_have_run);
        let risky = move |a: &&Attempt| any && (a.out || a.may_have_run || a.overlapped);
        others().map(|(_, attempt)| attempt).filter(risky)
    }
}

/// One call in flight, with one message or a bundle.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Call {
    /// Whose window and limit it counts for.
    pub unit: UnitId,
    pub endpoint: EndpointId,
    pub sent: Micros,
    /// Messages in it whose outcome has not come, and all of them.
    pub left: usize,
    pub size: usize,
    /// It carries copies.
    pub copy: bool,
}

/// Messages that take turns.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct KeyLine {
    /// Messages of the key, in the order of arrival.
    pub turn: VecDeque<MessageId>,
    /// Nothing of the key starts before.
    pub rest_until: Micros,
    /// Those among them that have ended by a notice that has not been taken yet.
    pub untold: BTreeSet<MessageId>,
}

/// What is known of a unit.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Unit {
    pub health: Health,
    /// Calls that may be in flight, and when that was cut last.
    pub window: f64,
    pub last_cut: Micros,
    /// End of the last told wait.
    pub wait_until: Micros,
    /// Latencies of the last successes, and the copy offset that follows from them.
    pub latencies: Samples,
    pub offset: Option<Micros>,
    /// The latency as it is over a long time.
    pub usual: Option<Micros>,
    /// The evidence that it is gone, and that refusals which tell nothing follow the load.
    pub odds: OutageEvidence,
    pub refusals: RejectionCorrelation,
    /// Until then a unit that has just fallen sick by failures may only have been noisy.
    pub doubt_until: Micros,
    /// From when on it is surely warm: a cold time behind the first answer of a return.
    pub warm_at: Micros,
    /// When it was well last.
    pub ill_since: Micros,
    /// Calls sent a second up to then: the outage takes nothing off it.
    pub well_rate: f64,
    /// Last answer that shows life, and when the last call went that failed or was refused.
    pub alive_at: Micros,
    pub bad_sent: Micros,
    /// First refusal of the present run, and its length.
    pub refused_since: Micros,
    pub refused_run: u32,
    pub in_flight: usize,
    /// Calls in flight that are quiet beyond the silence limit; oldest age with no sign of life since;
    /// whether a call is out far beyond the usual latency. Taken anew in each turn.
    pub quiet: usize,
    pub quiet_age: Micros,
    pub lags: bool,
    /// When calls were served over the last fall span, and the highest rate served, calls a second.
    pub served: Samples,
    pub best_rate: f64,
    /// Calls sent since the unit was first seen, and when the last one went.
    pub sent: u64,
    pub last_sent: Micros,
    pub since: Micros,
    /// The limit that answers report, and this sender's even share of what list or answers tell, or 0.
    pub told_limit: Option<f64>,
    pub share: f64,
    /// Calls a second allowed, infinite before any refusal; whether a call succeeded since its last cut.
    pub pace: f64,
    /// The pace was cut by a refusal.
    pub limited: bool,
    pub succeeded: bool,
    /// The token bucket of the pace.
    pub tokens: f64,
    pub tokens_at: Micros,
    /// How they come since then, and how many are saved up at most.
    pub flow: Flow,
    pub burst: f64,
}

/// Tokens a second over time: a rate that rises evenly for a while and stays then.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub(crate) struct Flow {
    /// At first.
    pub rate: f64,
    /// Added to the rate each second, and for so many seconds.
    pub slope: f64,
    pub rises: f64,
}

impl Flow {
    /// Always the same.
    pub(crate) fn even(rate: f64) -> Self {
        Flow {
            rate,
            slope: 0.0,
            rises: 0.0,
        }
    }

    /// Tokens that have come after a span.
    pub(crate) fn sum(&self, span: Micros) -> f64 {
        let span = seconds(span);
        let rising = span.min(self.rises);
        self.rate * span + self.slope * rising * (span - rising / 2.0)
    }

    /// The span after which so many have come, for a year at the longest.
    pub(crate) fn reaches(&self, sum: f64) -> Micros {
        const YEAR: f64 = 366.0 * 86_400.0;
        let risen = self.sum((self.rises * SECOND as f64) as Micros);
        let span = if self.slope > 0.0 && sum < risen {
            // the positive root of slope/2 x^2 + rate x = sum
            let root = (self.rate * self.rate + 2.0 * self.slope * sum.max(0.0)).sqrt();
            (root - self.rate) / self.slope
        } else {
            self.rises + (sum - risen) / (self.rate + self.slope * self.rises).max(0.001)
        };
        (span.clamp(0.0, YEAR) * SECOND as f64) as Micros
    }
}

impl Unit {
    /// One of which nothing is known.
    pub(crate) fn fresh(window: f64) -> Self {
        let (pace, tokens, succeeded) = (f64::INFINITY, f64::MAX, true);
        Unit {
            window,
            pace,
            tokens,
            succeeded,
            flow: Flow::even(pace),
            burst: pace,
            ..Unit::default()
        }
    }

    /// Forgets what one look at the calls in flight has shown, before the next.
    pub(crate) fn look_anew(&mut self) {
        (self.quiet, self.quiet_age, self.lags) = (0, 0, false);
    }

    /// True if its calls together with those of other such units may hold only a part of the slots.
    pub(crate) fn is_burden(&self) -> bool {
        self.lags || matches!(self.health, Health::Ejected { .. })
    }

    /// Calls served a second since the first of the last span: of one that has just begun to serve, too.
    pub(crate) fn served_lately(&self, now: Micros, span: Micros) -> f64 {
        let since = now - self.served.first().unwrap_or(now);
        self.served.len() as f64 / seconds(since.clamp(span / 60, span))
    }

    /// Tokens of the pace by a time, as they come since the last event. Nothing is saved up during a told wait: all who
    /// were told would start at its end.
    pub(crate) fn tokens_by(&self, now: Micros) -> f64 {
        let from = self.tokens_at.max(self.wait_until);
        if now <= from {
            return self.tokens;
        }
        let came = self.flow.sum(now - self.tokens_at) - self.flow.sum(from - self.tokens_at);
        let came = if self.flow.rate.is_finite() {
            came
        } else {
            f64::MAX
        };
        (self.tokens + came).min(self.burst.max(self.tokens))
    }

    /// When so many tokens will be there.
    pub(crate) fn ready_at(&self, needed: f64) -> Micros {
        if self.burst < needed {
            return Micros::MAX;
        }
        let from = self.tokens_at.max(self.wait_until);
        let sum = self.flow.sum(from - self.tokens_at) + needed - self.tokens;
        let near = (self.tokens_at + self.flow.reaches(sum)).max(from);
        // to the microsecond, however the figures were rounded
        let exact = (near - 2..=near + 2).find(|&at| self.tokens_by(at) >= needed);
        exact.unwrap_or(near + 3)
    }

    /// Counts the tokens up to now; from here on they come like this, up to so many.
    pub(crate) fn settle(&mut self, now: Micros, flow: Flow, burst: f64) {
        (self.flow, self.burst) = (Flow::even(flow.rate), burst);
        self.tokens = if flow.rate.is_finite() {
            self.tokens_by(now).min(burst)
        } else {
            f64::MAX
        };
        (self.tokens_at, self.flow, self.burst) = (now, flow, burst);
    }

    /// When it came back, of one that returns.
    pub(crate) fn since_return(&self) -> Micros {
        match self.health {
            Health::Recovering { since } => since,
            _ => Micros::MIN / 2,
        }
    }

    /// Calls sent a second since it was first seen, over `least` at the least.
    pub(crate) fn usual_rate(&self, now: Micros, least: Micros) -> f64 {
        self.sent as f64 / seconds((now - self.since).max(least).max(1))
    }

    /// Calls served a second over the last span.
    pub(crate) fn served_rate(&mut self, now: Micros, span: Micros) -> f64 {
        self.served.drop_until(now - span);
        self.served.len() as f64 / seconds(span)
    }
}

/// The last values of something, oldest first.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(crate) struct Samples(VecDeque<Micros>);

impl Samples {
    /// Adds a value and keeps `most`.
    pub(crate) fn push(&mut self, value: Micros, most: usize) {
        self.0.push_back(value);
        while self.0.len() > most {
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
    pub(crate) fn first(&self) -> Option<Micros> {
        self.0.front().copied()
    }

    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// The value below which `part` of `whole` parts lie; none while there are no values.
    pub(crate) fn ranked(&self, part: usize, whole: usize) -> Option<Micros> {
        let mut sorted: Vec<Micros> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        sorted
            .get((sorted.len() * part / whole).min(sorted.len().saturating_sub(1)))
            .copied()
    }
}

pub(crate) fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// A share of the slots, one at least.
pub(crate) fn share_of(slots: usize, share: f64) -> usize {
    ((slots as f64 * share).floor() as usize).max(1)
}
