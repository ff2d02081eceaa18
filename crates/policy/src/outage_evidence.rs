//! Evidence that a health scope is down, as opposed to a scope whose calls fail no more often than usual (at
//! the baseline failure rate). This module uses neither clock nor I/O.
//!
//! This is a sequential test (Page's CUSUM of log-likelihood ratios, E. S. Page, Continuous Inspection
//! Schemes, Biometrika 41, 1954). Each call adds the log-likelihood ratio of its result under an outage
//! against the baseline: positive for a failure, negative for a success. The sum does not fall below zero.
//! False alarms then occur less often than once in exp(threshold) calls, whatever the baseline failure rate
//! is.

/// Failures in the prior of the baseline failure rate, out of [`PRIOR_CALLS`] calls. The prior is weak, so
/// that about a dozen calls outweigh it. A higher prior rate detects the first outage of an unknown scope
/// later, a lower one mistakes its first random failures for an outage.
const PRIOR_FAILURES: f64 = 0.1;
/// Calls in the prior of the baseline failure rate; see [`PRIOR_FAILURES`].
const PRIOR_CALLS: f64 = 10.0;
/// Default maximum number of calls in the baseline; see [`OutageEvidence`]. More calls make the baseline more
/// stable, fewer follow a change sooner.
const DEFAULT_MAX_CALLS: f64 = 200.0;
/// Lower bound of the baseline failure rate: below it, an isolated failure would add too much evidence.
const MIN_BASELINE_RATE: f64 = 0.005;
/// Upper bound of [`OutageEvidence::baseline_rate`]: a higher rate would be close to that of an outage, in
/// which at least half of the calls fail.
pub const MAX_BASELINE_RATE: f64 = 0.4;
/// Smallest failure rate that counts as an outage: at least half of all calls fail.
const MIN_OUTAGE_FAILURE_RATE: f64 = 0.5;
/// Assumed failure rate of a scope in a total outage, in which it answers no call.
const TOTAL_OUTAGE_FAILURE_RATE: f64 = 0.98;

/// Evidence at which a scope is ejected; the chance of a false alarm is about one in 10^6 per call. Higher
/// values eject fewer noisy scopes, lower ones detect outages sooner. The threshold is reached by three
/// failures in a row where failures are rare, and by six where one call in ten fails.
pub const EJECTION_THRESHOLD: f64 = 13.5;

/// The baseline failure rate of a health scope, and the evidence that calls now fail more often.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct OutageEvidence {
    /// Maximum of `calls`; beyond it, `failures` and `calls` are scaled down by the same factor.
    max_calls: f64,
    /// Failures in the baseline.
    failures: f64,
    /// Calls in the baseline, including the failures.
    calls: f64,
    /// Failures since the last success. They are noise, and join the baseline, only if a success follows.
    pending_failures: f64,
    /// The CUSUM: the natural logarithm of a likelihood ratio, zero or more.
    evidence: f64,
}

impl Default for OutageEvidence {
    fn default() -> Self {
        OutageEvidence::with_memory(DEFAULT_MAX_CALLS)
    }
}

impl OutageEvidence {
    /// Creates a state without observations whose baseline contains at most this many calls.
    #[must_use]
    pub fn with_memory(max_calls: f64) -> Self {
        OutageEvidence {
            max_calls,
            failures: 0.0,
            calls: 0.0,
            pending_failures: 0.0,
            evidence: 0.0,
        }
    }

    /// Share of calls that fail when there is no outage.
    #[must_use]
    pub fn baseline_rate(&self) -> f64 {
        let rate = (self.failures + PRIOR_FAILURES) / (self.calls + PRIOR_CALLS);
        rate.clamp(MIN_BASELINE_RATE, MAX_BASELINE_RATE)
    }

    /// The numbers of failures and of all calls in the baseline.
    #[must_use]
    pub fn observed_counts(&self) -> (f64, f64) {
        (self.failures, self.calls)
    }

    /// Restores a state from the counts that [`OutageEvidence::observed_counts`] returned, and from its
    /// evidence.
    pub fn restore(&mut self, (failures, calls): (f64, f64), evidence: f64) {
        (self.failures, self.calls, self.evidence) = (failures.min(calls), calls, evidence);
    }

    /// Number of calls in the baseline.
    #[must_use]
    pub fn observed_calls(&self) -> f64 {
        self.calls
    }

    /// Log-likelihood ratio that a failed call contributes at the given baseline failure rate.
    #[must_use]
    pub fn failure_log_likelihood_ratio(baseline_rate: f64) -> f64 {
        (outage_failure_rate(baseline_rate) / baseline_rate).ln()
    }

    /// The current evidence: the CUSUM or, if larger, the evidence for a total outage from the failures since
    /// the last success. The latter grows faster if no call is answered.
    #[must_use]
    pub fn evidence(&self) -> f64 {
        self.evidence
            .max(self.pending_failures * (TOTAL_OUTAGE_FAILURE_RATE / self.baseline_rate()).ln())
    }

    /// Replaces the CUSUM.
    pub fn set_evidence(&mut self, evidence: f64) {
        self.evidence = evidence;
    }

    /// Records a successful call. `updates_baseline`: the success and the failures before it join the
    /// baseline. `max_evidence` bounds the evidence before the success is subtracted.
    pub fn record_success(&mut self, updates_baseline: bool, max_evidence: f64) {
        let baseline_rate = self.baseline_rate();
        let log_likelihood_ratio =
            ((1.0 - outage_failure_rate(baseline_rate)) / (1.0 - baseline_rate)).ln();
        self.evidence = (self.evidence.min(max_evidence) + log_likelihood_ratio).max(0.0);
        if updates_baseline {
            self.add_to_baseline(self.pending_failures, self.pending_failures + 1.0);
        }
        self.pending_failures = 0.0;
    }

    /// Records a failed call with the given weight and returns the resulting evidence. `baseline_rate` is the
    /// failure rate of a class that fails while other classes succeed, or 0. If that rate is above the
    /// baseline of the scope, the failure says little about the scope: it adds less evidence and does not
    /// count among the failures since the last success.
    pub fn record_failure(&mut self, weight: f64, baseline_rate: f64) -> f64 {
        self.pending_failures += if baseline_rate > self.baseline_rate() {
            0.0
        } else {
            weight
        };
        self.evidence += weight
            * OutageEvidence::failure_log_likelihood_ratio(self.baseline_rate().max(baseline_rate));
        self.evidence()
    }

    /// Excludes the failures since the last success from the baseline, because an outage caused them. The
    /// evidence stays the same.
    pub fn exclude_outage_from_baseline(&mut self) {
        (self.evidence, self.pending_failures) = (self.evidence(), 0.0);
    }

    /// Adds a failure rate that was measured with the given calls to the baseline and resets the evidence.
    pub fn adopt_measured_rate(&mut self, failures: f64, calls: f64) {
        self.add_to_baseline(failures, calls);
        (self.pending_failures, self.evidence) = (0.0, 0.0);
    }

    /// Adds failures and calls to the baseline. If it then contains more than `max_calls`, both counts are
    /// scaled down by the same factor, which keeps the failure rate and reduces the weight of older calls.
    fn add_to_baseline(&mut self, failures: f64, calls: f64) {
        (self.failures, self.calls) = (self.failures + failures, self.calls + calls);
        let kept_part = (self.max_calls / self.calls).min(1.0);
        (self.failures, self.calls) = (self.failures * kept_part, self.calls * kept_part);
    }
}

/// Failure rate during an outage of a scope with the given baseline failure rate.
fn outage_failure_rate(baseline_rate: f64) -> f64 {
    MIN_OUTAGE_FAILURE_RATE + (1.0 - MIN_OUTAGE_FAILURE_RATE) * baseline_rate
}
