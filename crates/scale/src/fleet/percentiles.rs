//! Percentiles of durations.

use super::counters::Times;
use hdrhistogram::Histogram;

/// Number of samples, median, 99th percentile and maximum.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Percentiles {
    /// Number of samples.
    pub count: u64,
    /// Median in seconds; NaN if there are no samples.
    pub p50_s: f64,
    /// 99th percentile in seconds; NaN if there are no samples.
    pub p99_s: f64,
    /// Maximum in seconds; NaN if there are no samples.
    pub worst_s: f64,
}

impl Percentiles {
    /// Computes the percentiles of a histogram.
    #[must_use]
    pub fn of(durations: &Times) -> Self {
        let empty = Percentiles {
            count: 0,
            p50_s: f64::NAN,
            p99_s: f64::NAN,
            worst_s: f64::NAN,
        };
        // the histogram resizes itself; three significant digits are more than the samples have
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return empty;
        };
        for (&micros, &count) in durations {
            // fails only for a value beyond the largest that a histogram can hold
            let _ = histogram.record_n(micros, count);
        }
        if histogram.is_empty() {
            return empty;
        }
        let seconds = |micros: u64| micros as f64 / 1e6;
        Percentiles {
            count: histogram.len(),
            p50_s: seconds(histogram.value_at_quantile(0.5)),
            p99_s: seconds(histogram.value_at_quantile(0.99)),
            worst_s: seconds(histogram.max()),
        }
    }
}
