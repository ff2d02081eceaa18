//! How likely it is that a unit is gone, against that it only has its usual share of bad calls. Free of
//! clock and I/O.
//!
//! A sequential test (Page's CUSUM of log-likelihood ratios, E. S. Page, Continuous Inspection Schemes,
//! Biometrika 41, 1954): each bad call adds what it speaks for an outage, each good one takes away what
//! it speaks against it. False alarms then come less often than once in exp(threshold) calls, whatever
//! the usual share is.

/// Prior of the usual share, as bad calls among calls: weak, so that some dozen calls outweigh it. A
/// higher one finds the first outage of an unknown unit later, a lower one takes first noise for an
/// outage.
const PRIOR_BAD: f64 = 0.1;
const PRIOR_ALL: f64 = 10.0;
/// Calls that the share remembers: more is steadier, fewer follows a change sooner.
const MEMORY: f64 = 200.0;
/// Bounds of the usual share. Below, one stray failure would speak too loud; above, most calls fail.
const USUAL_LEAST: f64 = 0.005;
/// See [`OutageEvidence::baseline_rate`].
pub const MAX_BASELINE_RATE: f64 = 0.4;
/// Of a unit that is gone, at least this share of calls is bad: outages fail half of them or more.
const GONE: f64 = 0.5;
/// And of one that answers nothing at all.
const SILENT: f64 = 0.98;

/// Evidence for an outage at which a unit is taken for gone: a chance of about one in 10^6 a call. Higher
/// spares noisy units, lower finds outages sooner: this is three failures in a row where they are rare,
/// six where one in ten is usual.
pub const EJECTION_THRESHOLD: f64 = 13.5;

/// The usual share of bad calls, and the evidence that it no longer holds.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct OutageEvidence {
    /// Calls remembered at most; bad ones and all.
    memory: f64,
    bad: f64,
    all: f64,
    /// Bad calls with no good one since: they are noise only if a good one follows.
    pending: f64,
    /// Evidence for an outage, natural logarithm of the odds, zero or more.
    evidence: f64,
}

impl Default for OutageEvidence {
    fn default() -> Self {
        OutageEvidence::with_memory(MEMORY)
    }
}

impl OutageEvidence {
    /// Odds of which nothing is known, with a memory of so many calls.
    #[must_use]
    pub fn with_memory(memory: f64) -> Self {
        OutageEvidence {
            memory,
            bad: 0.0,
            all: 0.0,
            pending: 0.0,
            evidence: 0.0,
        }
    }

    /// Share of calls that are usually bad.
    #[must_use]
    pub fn baseline_rate(&self) -> f64 {
        let share = (self.bad + PRIOR_BAD) / (self.all + PRIOR_ALL);
        share.clamp(USUAL_LEAST, MAX_BASELINE_RATE)
    }

    /// Bad calls among all that are remembered.
    #[must_use]
    pub fn observed_counts(&self) -> (f64, f64) {
        (self.bad, self.all)
    }

    /// Odds as they were: of so many bad calls among so many, with so much evidence.
    pub fn restore(&mut self, (bad, all): (f64, f64), evidence: f64) {
        (self.bad, self.all, self.evidence) = (bad.min(all), all, evidence);
    }

    /// Calls that are remembered.
    #[must_use]
    pub fn observed_calls(&self) -> f64 {
        self.all
    }

    /// What a bad call speaks for an outage where such a share is usual.
    #[must_use]
    pub fn failure_log_likelihood_ratio(usual: f64) -> f64 {
        (gone(usual) / usual).ln()
    }

    /// The evidence so far: of the sum, or of the present run alone, which speaks louder for one that
    /// is wholly gone.
    #[must_use]
    pub fn evidence(&self) -> f64 {
        self.evidence
            .max(self.pending * (SILENT / self.baseline_rate()).ln())
    }

    /// Sets the evidence: what is known from elsewhere.
    pub fn set_evidence(&mut self, evidence: f64) {
        self.evidence = evidence;
    }

    /// A call went well. `learn`: what was bad before it counts as usual.
    pub fn record_success(&mut self, learn: bool, most: f64) {
        let usual = self.baseline_rate();
        let speaks = ((1.0 - gone(usual)) / (1.0 - usual)).ln();
        self.evidence = (self.evidence.min(most) + speaks).max(0.0);
        if learn {
            self.add(self.pending, self.pending + 1.0);
        }
        self.pending = 0.0;
    }

    /// A call went badly, of such a weight. `usual`: the share that is usual for its like, where that
    /// fares worse than the rest; it says nothing of the unit then. Gives the evidence that is
    /// reached.
    pub fn record_failure(&mut self, weight: f64, usual: f64) -> f64 {
        self.pending += if usual > self.baseline_rate() {
            0.0
        } else {
            weight
        };
        self.evidence +=
            weight * OutageEvidence::failure_log_likelihood_ratio(self.baseline_rate().max(usual));
        self.evidence()
    }

    /// What was bad of late was an outage: it says nothing of what is usual.
    pub fn exclude_outage_from_baseline(&mut self) {
        (self.evidence, self.pending) = (self.evidence(), 0.0);
    }

    /// Takes a share over that was found by a trial of calls.
    pub fn adopt_measured_rate(&mut self, bad: f64, all: f64) {
        self.add(bad, all);
        (self.pending, self.evidence) = (0.0, 0.0);
    }

    fn add(&mut self, bad: f64, all: f64) {
        (self.bad, self.all) = (self.bad + bad, self.all + all);
        let part = (self.memory / self.all).min(1.0);
        (self.bad, self.all) = (self.bad * part, self.all * part);
    }
}

/// Share of bad calls of a unit that is gone.
fn gone(usual: f64) -> f64 {
    GONE + (1.0 - GONE) * usual
}
