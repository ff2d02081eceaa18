//! Decides whether rejections that announce neither a limit nor a Retry-After follow the load, which means
//! that they become more frequent when the sender makes more calls.
//!
//! If rejections become more frequent than their baseline, a rate probe measures the rejection rate first at
//! the current rate limit and then at half of it. If the rejection rate falls with the rate limit, the
//! destination has a limit; otherwise the rejections are noise that does not depend on the load.

use crate::interface::{Micros, SECOND};
use crate::outage_evidence::{MAX_BASELINE_RATE, OutageEvidence};

/// Number of responses that the baseline rejection rate is based on. It is larger than the number for the
/// baseline failure rate, so that rejections caused by a destination's limit do not become part of the
/// baseline while the rate limit slowly approaches the limit of the destination.
const MAX_CALLS: f64 = 1000.0;
/// Evidence of rejections above the baseline at which a rate probe starts: two or three rejections close
/// together where the baseline is zero, six in a row where it is 10%.
const EXCESS_THRESHOLD: f64 = 9.0;
/// Evidence of rejections above the baseline at which a known limit is confirmed: about one rejection
/// above the baseline is enough.
const EXCESS_THRESHOLD_AT_LIMIT: f64 = 3.5;
/// Number of calls over which the first phase of a rate probe measures the rejection rate.
const MEASURED_CALLS: f64 = 80.0;
/// Smallest rejection rate for which the rate limit is halved to find out whether rejections follow the load.
/// If the baseline rejection rate is at or above this value, the rate limit is also halved without an
/// increase of rejections, at intervals longer than `PROBE_INTERVAL`.
const MIN_PROBED_REJECTION_RATE: f64 = 0.03;
/// Number of responses in the baseline needed before a rate probe is started because of the baseline alone.
const MIN_BASELINE_CALLS: f64 = 200.0;
/// Shortest time between the last halving of the rate limit and a rate probe because of the baseline alone.
const PROBE_INTERVAL: Micros = 10 * SECOND;
/// Longest time that each of the two phases of a rate probe takes. If the second phase has not decided by
/// then, a limit is assumed.
const MAX_PROBE_PHASE: Micros = 5 * SECOND;
/// Successful calls per second below which the rate limit is not halved for a probe: the second phase would
/// have too few calls to decide.
const MIN_PROBE_CALL_RATE: f64 = 20.0;
/// At half the rate limit, a destination with a limit rejects less than this part of its earlier rejection
/// rate, provided that the earlier rate was not above [`MAX_BASELINE_RATE`].
const MAX_REJECTION_RATIO_AT_LIMIT: f64 = 0.35;
/// Log-likelihood ratio at which the second phase of a rate probe decides between noise and a limit.
const PROBE_DECISION_THRESHOLD: f64 = 3.0;
/// How long a limit is assumed after the last rejection that was attributed to it.
const LIMIT_MEMORY: Micros = 30 * SECOND;
/// Share of the success rate at which a limit was found. A limit that was found lies above half of that rate.
/// If rejections exceed the baseline although the success rate is below this share, the limit cannot be the
/// cause and is no longer assumed.
const MIN_LIMITED_RATE_SHARE: f64 = 0.6;
/// Share of the success rate at which a limit was found. While the success rate is below this share,
/// rejections are attributed to the baseline instead of the limit.
const BELOW_LIMIT_SHARE: f64 = 0.85;

/// What the rejections mean for the rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateAdvice {
    /// No change.
    Keep,
    /// The destination has a limit: reduce the rate limit as for any rejection.
    Reduce,
    /// Halve the rate limit for a while, to measure whether rejections follow the load.
    HalveForProbe,
    /// Rejections did not follow the load: set the rate limit back to this value, in calls per second;
    /// infinite removes the rate limit.
    Restore(f64),
}

/// Tracks whether rejections that announce neither a limit nor a Retry-After follow the load.
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
pub struct RejectionCorrelation {
    /// Baseline rejection rate, and the evidence that calls are now rejected more often.
    evidence: OutageEvidence,
    /// The rate probe in progress.
    probe: Option<RateProbe>,
    /// When the rate limit was last halved for a probe.
    last_probe_at: Option<Micros>,
    /// A limit is assumed until this time.
    limited_until: Micros,
    /// Rate of successful calls, per second, at which the limit was found.
    rate_at_limit: f64,
    /// Rate limit before the limit of the destination was found; infinite if the limit was assumed without
    /// halving the rate limit.
    rate_limit_before: f64,
    /// Baseline and evidence before the limit was found.
    evidence_before: OutageEvidence,
}

/// A measurement of the rejection rate: first at the current rate limit, then at half of it.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
struct RateProbe {
    /// Whether the second phase, at half the rate limit, has begun.
    is_halved: bool,
    /// Start of the current phase.
    started_at: Micros,
    /// Latest end of the current phase.
    ends_at: Micros,
    /// Rejections of calls that were sent in the current phase.
    rejections: f64,
    /// All responses to calls that were sent in the current phase.
    calls: f64,
    /// Rate limit, in calls per second, before it was halved.
    rate_limit_before: f64,
    /// Rate of successful calls, per second, before the rate limit was halved.
    call_rate_before: f64,
    /// Share of rejected calls before the rate limit was halved.
    rejection_rate_before: f64,
    /// Log-likelihood ratio of noise against a limit: positive for noise, negative for a limit.
    log_likelihood_ratio: f64,
}

impl Default for RejectionCorrelation {
    fn default() -> Self {
        let evidence = OutageEvidence::with_memory(MAX_CALLS);
        let evidence_before = evidence.clone();
        RejectionCorrelation {
            evidence,
            probe: None,
            last_probe_at: None,
            limited_until: 0,
            rate_at_limit: 0.0,
            rate_limit_before: 0.0,
            evidence_before,
        }
    }
}

impl RejectionCorrelation {
    /// The numbers of rejections and of all responses in the baseline.
    #[must_use]
    pub fn observed_counts(&self) -> (f64, f64) {
        self.evidence.observed_counts()
    }

    /// Restores a baseline from the counts that [`RejectionCorrelation::observed_counts`] returned.
    pub fn restore(&mut self, counts: (f64, f64)) {
        self.evidence.restore(counts, 0.0);
    }

    /// Share of calls that are rejected regardless of the load.
    #[must_use]
    pub fn baseline_rate(&self) -> f64 {
        self.evidence.baseline_rate()
    }

    /// Whether a rate probe is in its second phase, in which the rate limit is halved.
    #[must_use]
    pub fn is_probing_rate(&self) -> bool {
        self.probe.as_ref().is_some_and(|probe| probe.is_halved)
    }

    /// Records a response to a call that was sent at `sent_at`. `rate_limit` is the current one;
    /// `success_rate` is the recent rate of successful calls. Both are in calls per second.
    pub fn on_response(
        &mut self,
        is_rejected: bool,
        sent_at: Micros,
        now: Micros,
        rate_limit: f64,
        success_rate: f64,
    ) -> RateAdvice {
        if let Some(probe) = self.probe.take() {
            return self.continue_probe(probe, is_rejected, sent_at, now, rate_limit, success_rate);
        }
        let is_limited = now < self.limited_until;
        if !is_rejected {
            // At a rate well below the known limit, rejections belong to the baseline.
            self.evidence.record_success(
                !is_limited || success_rate < BELOW_LIMIT_SHARE * self.rate_at_limit,
                2.0 * EXCESS_THRESHOLD,
            );
            return RateAdvice::Keep;
        }
        let exceeds_baseline = self.evidence.record_failure(1.0, 0.0)
            >= if is_limited {
                EXCESS_THRESHOLD_AT_LIMIT
            } else {
                EXCESS_THRESHOLD
            };
        let baseline_known = self.evidence.observed_calls() >= MIN_BASELINE_CALLS;
        let baseline_probe_due = baseline_known
            && self.baseline_rate() >= MIN_PROBED_REJECTION_RATE
            && self
                .last_probe_at
                .is_none_or(|at| now - at > PROBE_INTERVAL);
        if exceeds_baseline {
            self.evidence.set_evidence(0.0);
        }
        if exceeds_baseline
            && is_limited
            && success_rate < MIN_LIMITED_RATE_SHARE * self.rate_at_limit
        {
            self.limited_until = now;
            self.evidence = self.evidence_before.clone();
            return RateAdvice::Restore(self.rate_limit_before);
        }
        if exceeds_baseline && is_limited {
            return self.assume_limit(now, success_rate);
        }
        if !is_limited
            && (exceeds_baseline || baseline_probe_due && success_rate >= MIN_PROBE_CALL_RATE)
        {
            let probe = RateProbe {
                is_halved: false,
                started_at: now,
                ends_at: now + MAX_PROBE_PHASE,
                ..RateProbe::default()
            };
            if baseline_probe_due && !exceeds_baseline {
                return self.start_halved_phase(
                    probe,
                    now,
                    self.baseline_rate(),
                    rate_limit,
                    success_rate,
                );
            }
            self.probe = Some(probe);
        }
        RateAdvice::Keep
    }

    /// Records a response during a rate probe.
    fn continue_probe(
        &mut self,
        mut probe: RateProbe,
        is_rejected: bool,
        sent_at: Micros,
        now: Micros,
        rate_limit: f64,
        success_rate: f64,
    ) -> RateAdvice {
        if sent_at >= probe.started_at {
            probe.calls += 1.0;
            probe.rejections += f64::from(u8::from(is_rejected));
        }
        if !probe.is_halved {
            let rejection_rate = probe.rejections / probe.calls.max(1.0);
            if probe.calls < MEASURED_CALLS && now < probe.ends_at {
                self.probe = Some(probe);
            } else if rejection_rate >= MIN_PROBED_REJECTION_RATE {
                return match rejection_rate > MAX_BASELINE_RATE
                    || success_rate < MIN_PROBE_CALL_RATE
                {
                    true => self.assume_limit(now, success_rate),
                    false => self.start_halved_phase(
                        probe,
                        now,
                        rejection_rate,
                        rate_limit,
                        success_rate,
                    ),
                };
            } else {
                self.evidence
                    .adopt_measured_rate(probe.rejections, probe.calls);
            }
            return RateAdvice::Keep;
        }
        if sent_at >= probe.started_at {
            let success_log_likelihood_ratio = ((1.0 - probe.rejection_rate_before)
                / (1.0 - MAX_REJECTION_RATIO_AT_LIMIT * probe.rejection_rate_before))
                .ln();
            probe.log_likelihood_ratio += if is_rejected {
                -MAX_REJECTION_RATIO_AT_LIMIT.ln()
            } else {
                success_log_likelihood_ratio
            };
        }
        if probe.log_likelihood_ratio >= PROBE_DECISION_THRESHOLD {
            self.evidence
                .adopt_measured_rate(probe.rejections, probe.calls);
            return RateAdvice::Restore(probe.rate_limit_before);
        }
        if probe.log_likelihood_ratio <= -PROBE_DECISION_THRESHOLD || now > probe.ends_at {
            // From now on, a limit is assumed, and rejections measured at half the rate limit are the
            // baseline. If the limit turns out not to exist, `evidence_before` is restored. It therefore
            // includes the rejection rate before the rate limit was halved.
            (self.evidence_before, self.rate_limit_before) =
                (self.evidence.clone(), probe.rate_limit_before);
            self.evidence_before
                .adopt_measured_rate(probe.rejection_rate_before * MEASURED_CALLS, MEASURED_CALLS);
            self.evidence = OutageEvidence::with_memory(MAX_CALLS);
            self.evidence
                .adopt_measured_rate(probe.rejections, probe.calls);
            (self.rate_at_limit, self.limited_until) = (probe.call_rate_before, now + LIMIT_MEMORY);
        } else {
            self.probe = Some(probe);
        }
        RateAdvice::Keep
    }

    /// Starts the second phase of a rate probe, at half the rate limit.
    fn start_halved_phase(
        &mut self,
        probe: RateProbe,
        now: Micros,
        rejection_rate_before: f64,
        rate_limit_before: f64,
        call_rate_before: f64,
    ) -> RateAdvice {
        self.last_probe_at = Some(now);
        let (started_at, ends_at, rejections, calls) = (now, now + MAX_PROBE_PHASE, 0.0, 0.0);
        self.probe = Some(RateProbe {
            is_halved: true,
            started_at,
            ends_at,
            rejections,
            calls,
            rate_limit_before,
            call_rate_before,
            rejection_rate_before,
            ..probe
        });
        RateAdvice::HalveForProbe
    }

    /// Assumes a limit at the given rate, or extends the time for which a known limit is assumed.
    fn assume_limit(&mut self, now: Micros, success_rate: f64) -> RateAdvice {
        if now >= self.limited_until {
            (self.rate_at_limit, self.rate_limit_before) = (success_rate, f64::INFINITY);
            self.evidence_before =
                std::mem::replace(&mut self.evidence, OutageEvidence::with_memory(MAX_CALLS));
        }
        self.limited_until = now + LIMIT_MEMORY;
        RateAdvice::Reduce
    }
}
