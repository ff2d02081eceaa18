//! The compact form of a destination's state, and the conversion to and from this form.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// The health of a destination. The decision module uses this type for destinations in use too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Health {
    /// The destination gets calls without restriction.
    #[default]
    Healthy,
    /// The destination gets only probes, because its calls failed, were rejected or got no response.
    Ejected {
        /// True if the ejection was caused by calls without a response, not by failures or rejections.
        unresponsive: bool,
        /// When the destination was ejected.
        since: Micros,
    },
    /// A call has succeeded after an ejection, and the rate of calls rises in a slow start.
    Recovering {
        /// The assumed start of the recovery, between the last failed call and the first success.
        since: Micros,
    },
}

/// The state of a destination that is kept while it is idle. Times are Unix times in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct DestinationState {
    /// End of the last `Retry-After`; no call may be sent before this time.
    pub retry_after_until: Micros,
    /// Whether the destination was healthy, ejected or recovering.
    pub health: Health,
    /// When the destination last changed from healthy to ejected. Meaningful only if `health` is not
    /// [`Health::Healthy`].
    pub unhealthy_since: Micros,
    /// When the destination was first known to this sender.
    pub first_seen_at: Micros,
    /// When the last call was sent.
    pub last_sent_at: Micros,
    /// Number of calls sent so far; the compact form stops counting at 2^32 - 1.
    pub calls_sent: u64,
    /// The rate limit that the destination announced in its responses, in calls per second.
    pub announced_limit: Option<f64>,
    /// This sender's equal share of the limit that the destination or the endpoint list announced, in calls per second;
    /// 0 if unknown.
    pub fair_share: f64,
    /// Rate limit in calls per second; infinite if there was no limit.
    pub rate_limit: f64,
    /// The highest rate of successful calls, or the announced rate if that is higher, in calls per second.
    pub best_rate: f64,
    /// Maximum number of calls in flight.
    pub concurrency_window: f64,
    /// Moving average of the latency of successful calls, in microseconds; `None` if it is not known.
    pub typical_latency: Option<Micros>,
    /// Time in microseconds after which a call without a response is hedged; `None` if it is not known.
    pub hedge_delay: Option<Micros>,
    /// Numerator and denominator of the baseline failure rate: failed calls and all calls. Older calls count less than
    /// one each.
    pub failures: (f64, f64),
    /// Numerator and denominator of the baseline rejection rate: rejections and all responses. Older responses count
    /// less than one each.
    pub rejections: (f64, f64),
    /// Evidence of an outage as a log-likelihood ratio: the larger the value, the more likely the outage.
    pub outage_evidence: f64,
}

/// A [`DestinationState`] in 88 bytes. Serialized by position: the order of the fields is the format.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CompactState {
    retry_after_until: Micros,
    /// When the destination was ejected, or began to recover; 0 if it is healthy.
    health_since: Micros,
    health_kind: HealthKind,
    /// Unix time in seconds, rounded up.
    unhealthy_since: u32,
    /// Unix time in seconds, rounded up.
    first_seen_at: u32,
    /// Unix time in seconds, rounded up.
    last_sent_at: u32,
    calls_sent: u32,
    /// Zero or less if there is no announced limit.
    announced_limit: f32,
    fair_share: f32,
    rate_limit: f32,
    best_rate: f32,
    concurrency_window: f32,
    /// Microseconds, or [`UNKNOWN_DURATION`].
    typical_latency: u32,
    /// Microseconds, or [`UNKNOWN_DURATION`].
    hedge_delay: u32,
    failures: (f32, f32),
    rejections: (f32, f32),
    outage_evidence: f32,
}

/// [`Health`] without its times. Serialized by position: the order of the variants is the format.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum HealthKind {
    Healthy,
    Ejected,
    Unresponsive,
    Recovering,
}

const SECOND: Micros = 1_000_000;
/// The compact form of a duration that is not known.
const UNKNOWN_DURATION: u32 = u32::MAX;

impl CompactState {
    /// End of the last `Retry-After`, as Unix time in microseconds. Exact.
    #[must_use]
    pub fn retry_after_until(&self) -> Micros {
        self.retry_after_until
    }

    /// True if the destination is ejected, whether unresponsive or not.
    #[must_use]
    pub fn is_ejected(&self) -> bool {
        matches!(
            self.health_kind,
            HealthKind::Ejected | HealthKind::Unresponsive
        )
    }

    /// When the last call was sent, as Unix time in microseconds, rounded up to a whole second.
    #[must_use]
    pub fn last_sent_at(&self) -> Micros {
        Micros::from(self.last_sent_at) * SECOND
    }

    /// The state from which this compact form was made, with the precision described in the crate documentation.
    #[must_use]
    pub fn expand(&self) -> DestinationState {
        let pair = |(part, total): (f32, f32)| (f64::from(part), f64::from(total));
        DestinationState {
            retry_after_until: self.retry_after_until,
            health: self.health(),
            unhealthy_since: Micros::from(self.unhealthy_since) * SECOND,
            first_seen_at: Micros::from(self.first_seen_at) * SECOND,
            last_sent_at: self.last_sent_at(),
            calls_sent: u64::from(self.calls_sent),
            announced_limit: (self.announced_limit > 0.0).then(|| f64::from(self.announced_limit)),
            fair_share: f64::from(self.fair_share),
            rate_limit: f64::from(self.rate_limit),
            best_rate: f64::from(self.best_rate),
            concurrency_window: f64::from(self.concurrency_window),
            typical_latency: expand_duration(self.typical_latency),
            hedge_delay: expand_duration(self.hedge_delay),
            failures: pair(self.failures),
            rejections: pair(self.rejections),
            outage_evidence: f64::from(self.outage_evidence),
        }
    }

    fn health(&self) -> Health {
        let since = self.health_since;
        match self.health_kind {
            HealthKind::Healthy => Health::Healthy,
            HealthKind::Ejected => Health::Ejected {
                unresponsive: false,
                since,
            },
            HealthKind::Unresponsive => Health::Ejected {
                unresponsive: true,
                since,
            },
            HealthKind::Recovering => Health::Recovering { since },
        }
    }
}

impl From<&DestinationState> for CompactState {
    fn from(state: &DestinationState) -> Self {
        let pair = |(part, total): (f64, f64)| (round_down(part), round_down(total));
        CompactState {
            retry_after_until: state.retry_after_until,
            health_since: match state.health {
                Health::Healthy => 0,
                Health::Ejected { since, .. } | Health::Recovering { since } => since,
            },
            health_kind: match state.health {
                Health::Healthy => HealthKind::Healthy,
                Health::Ejected {
                    unresponsive: false,
                    ..
                } => HealthKind::Ejected,
                Health::Ejected {
                    unresponsive: true, ..
                } => HealthKind::Unresponsive,
                Health::Recovering { .. } => HealthKind::Recovering,
            },
            unhealthy_since: seconds_rounded_up(state.unhealthy_since),
            first_seen_at: seconds_rounded_up(state.first_seen_at),
            last_sent_at: seconds_rounded_up(state.last_sent_at),
            calls_sent: u32::try_from(state.calls_sent).unwrap_or(u32::MAX),
            announced_limit: state.announced_limit.map_or(0.0, round_down),
            fair_share: round_down(state.fair_share),
            rate_limit: round_down(state.rate_limit),
            best_rate: round_down(state.best_rate),
            concurrency_window: round_down(state.concurrency_window),
            typical_latency: compact_duration(state.typical_latency),
            hedge_delay: compact_duration(state.hedge_delay),
            failures: pair(state.failures),
            rejections: pair(state.rejections),
            outage_evidence: round_down(state.outage_evidence),
        }
    }
}

/// The largest `f32` that is not greater than the value. Positive infinity stays infinite, negative infinity becomes
/// [`f32::MIN`], and NaN becomes 0.
fn round_down(value: f64) -> f32 {
    if value.is_nan() {
        return 0.0;
    }
    if value.is_infinite() {
        return if value > 0.0 { f32::INFINITY } else { f32::MIN };
    }
    let nearest = value.clamp(f64::from(f32::MIN), f64::from(f32::MAX)) as f32;
    if f64::from(nearest) > value {
        nearest.next_down()
    } else {
        nearest
    }
}

/// Unix time in seconds, rounded up, so that the result is not earlier than `at`. Times before 1970 become 0, times
/// after 2106 become `u32::MAX`.
fn seconds_rounded_up(at: Micros) -> u32 {
    u32::try_from((at.max(0) + SECOND - 1) / SECOND).unwrap_or(u32::MAX)
}

fn compact_duration(duration: Option<Micros>) -> u32 {
    duration.map_or(UNKNOWN_DURATION, |micros| {
        u32::try_from(micros.max(0))
            .unwrap_or(UNKNOWN_DURATION - 1)
            .min(UNKNOWN_DURATION - 1)
    })
}

fn expand_duration(compact: u32) -> Option<Micros> {
    (compact != UNKNOWN_DURATION).then(|| Micros::from(compact))
}
