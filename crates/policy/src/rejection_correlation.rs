//! Refusals that tell neither limit nor wait: whether they follow the load, and what that asks of the pace.

use crate::interface::{Micros, SECOND};
use crate::outage_evidence::{MAX_BASELINE_RATE, OutageEvidence};

/// Answers that the usual share remembers: more than that of failures, so that a pace which creeps up to
/// a limit does not make its refusals usual.
const MEMORY: f64 = 1000.0;
/// Evidence for more refusals than usual at which the pace is looked at: two or three close together
/// where none are usual, six in a row at 10%. Where a limit is known: at about each one that is not
/// usual.
const EXCESS: f64 = 9.0;
const EXCESS_LIMITED: f64 = 3.5;
/// Calls that tell the refused share at the present pace.
const SAMPLE: f64 = 80.0;
/// A refused share from which on it is looked at whether it follows the load, now and then also where it
/// is usual and so many answers are known.
const DOUBTFUL: f64 = 0.03;
const KNOWN: f64 = 200.0;
const LOOK_EVERY: Micros = 10 * SECOND;
/// A part of a look ends by this time: undecided, it counts as a limit. Few calls a second tell nothing.
const LOOK_MOST: Micros = 5 * SECOND;
const LOOK_RATE: f64 = 20.0;
/// At half the pace a limit refuses less than this part of what it did, as long as it did not refuse more
/// than [`MAX_BASELINE_RATE`]; the odds at which that is decided.
const FALLS_TO: f64 = 0.35;
const DECIDED: f64 = 3.0;
/// A limit is remembered for so long after a refusal that it explains. It lies above half the rate at which
/// it was found: more refusals than usual below this part of that rate show that there was none.
const LIMITED: Micros = 30 * SECOND;
const LIMITED_LEAST: f64 = 0.6;
const BELOW: f64 = 0.85;

/// What refusals ask of the pace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateAdvice {
    /// Nothing.
    Keep,
    /// There is a limit: the usual cut.
    Reduce,
    /// Half the pace for a while, to see whether refusals follow it.
    HalveForProbe,
    /// They did not: this was the pace before.
    Restore(f64),
}

/// Refusals that tell no limit and no wait: whether they follow the load.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct RejectionCorrelation {
    odds: OutageEvidence,
    look: Option<Look>,
    looked_at: Option<Micros>,
    limited_until: Micros,
    /// The rate at which the limit was found, and pace and odds as they were before.
    limited_at: f64,
    pace_before: f64,
    before: OutageEvidence,
}

/// A look at the refused share: first as things are, then at half the pace.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
struct Look {
    halved: bool,
    from: Micros,
    until: Micros,
    bad: f64,
    all: f64,
    /// Before the pace was halved: pace, rate and refused share.
    pace: f64,
    rate: f64,
    share: f64,
    /// For noise against a limit.
    odds: f64,
}

impl Default for RejectionCorrelation {
    fn default() -> Self {
        let odds = OutageEvidence::with_memory(MEMORY);
        let before = odds.clone();
        RejectionCorrelation {
            odds,
            look: None,
            looked_at: None,
            limited_until: 0,
            limited_at: 0.0,
            pace_before: 0.0,
            before,
        }
    }
}

impl RejectionCorrelation {
    /// Refusals among the answers that are remembered.
    #[must_use]
    pub fn observed_counts(&self) -> (f64, f64) {
        self.odds.observed_counts()
    }

    /// What was usual, as it was.
    pub fn restore(&mut self, known: (f64, f64)) {
        self.odds.restore(known, 0.0);
    }

    /// Share of calls that are refused whatever the load.
    #[must_use]
    pub fn baseline_rate(&self) -> f64 {
        self.odds.baseline_rate()
    }

    /// The pace is held down to be looked at.
    #[must_use]
    pub fn is_probing_rate(&self) -> bool {
        self.look.as_ref().is_some_and(|look| look.halved)
    }

    /// An answer to a call that was sent at a time. `pace` is the present one, `rate` that of calls
    /// served of late.
    pub fn on_response(
        &mut self,
        refused: bool,
        sent: Micros,
        now: Micros,
        pace: f64,
        rate: f64,
    ) -> RateAdvice {
        if let Some(look) = self.look.take() {
            return self.look_on(look, refused, sent, now, pace, rate);
        }
        let limited = now < self.limited_until;
        if !refused {
            // what is refused well below the limit is usual
            self.odds
                .record_success(!limited || rate < BELOW * self.limited_at, 2.0 * EXCESS);
            return RateAdvice::Keep;
        }
        let excess =
            self.odds.record_failure(1.0, 0.0) >= if limited { EXCESS_LIMITED } else { EXCESS };
        let known = self.odds.observed_calls() >= KNOWN;
        let doubtful = known
            && self.baseline_rate() >= DOUBTFUL
            && self.looked_at.is_none_or(|at| now - at > LOOK_EVERY);
        if excess {
            self.odds.set_evidence(0.0);
        }
        if excess && limited && rate < LIMITED_LEAST * self.limited_at {
            self.limited_until = now;
            self.odds = self.before.clone();
            return RateAdvice::Restore(self.pace_before);
        }
        if excess && limited {
            return self.limit(now, rate);
        }
        if !limited && (excess || doubtful && rate >= LOOK_RATE) {
            let look = Look {
                halved: false,
                from: now,
                until: now + LOOK_MOST,
                ..Look::default()
            };
            if doubtful && !excess {
                return self.halve(look, now, self.baseline_rate(), pace, rate);
            }
            self.look = Some(look);
        }
        RateAdvice::Keep
    }

    fn look_on(
        &mut self,
        mut look: Look,
        refused: bool,
        sent: Micros,
        now: Micros,
        pace: f64,
        rate: f64,
    ) -> RateAdvice {
        if sent >= look.from {
            look.all += 1.0;
            look.bad += f64::from(u8::from(refused));
        }
        if !look.halved {
            let share = look.bad / look.all.max(1.0);
            if look.all < SAMPLE && now < look.until {
                self.look = Some(look);
            } else if share >= DOUBTFUL {
                return match share > MAX_BASELINE_RATE || rate < LOOK_RATE {
                    true => self.limit(now, rate),
                    false => self.halve(look, now, share, pace, rate),
                };
            } else {
                self.odds.adopt_measured_rate(look.bad, look.all);
            }
            return RateAdvice::Keep;
        }
        if sent >= look.from {
            let good = ((1.0 - look.share) / (1.0 - FALLS_TO * look.share)).ln();
            look.odds += if refused { -FALLS_TO.ln() } else { good };
        }
        if look.odds >= DECIDED {
            self.odds.adopt_measured_rate(look.bad, look.all);
            return RateAdvice::Restore(look.pace);
        }
        if look.odds <= -DECIDED || now > look.until {
            // what is refused at half the pace is usual, the rest was the limit's
            (self.before, self.pace_before) = (self.odds.clone(), look.pace);
            self.before.adopt_measured_rate(look.share * SAMPLE, SAMPLE);
            self.odds = OutageEvidence::with_memory(MEMORY);
            self.odds.adopt_measured_rate(look.bad, look.all);
            (self.limited_at, self.limited_until) = (look.rate, now + LIMITED);
        } else {
            self.look = Some(look);
        }
        RateAdvice::Keep
    }

    fn halve(&mut self, look: Look, now: Micros, share: f64, pace: f64, rate: f64) -> RateAdvice {
        self.looked_at = Some(now);
        let (from, until, bad, all) = (now, now + LOOK_MOST, 0.0, 0.0);
        self.look = Some(Look {
            halved: true,
            from,
            until,
            bad,
            all,
            pace,
            rate,
            share,
            ..look
        });
        RateAdvice::HalveForProbe
    }

    fn limit(&mut self, now: Micros, rate: f64) -> RateAdvice {
        if now >= self.limited_until {
            (self.limited_at, self.pace_before) = (rate, f64::INFINITY);
            self.before = std::mem::replace(&mut self.odds, OutageEvidence::with_memory(MEMORY));
        }
        self.limited_until = now + LIMITED;
        RateAdvice::Reduce
    }
}
