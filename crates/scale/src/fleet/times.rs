//! Percentiles of durations.

use super::tally::Times;
use hdrhistogram::Histogram;

/// Number of samples, median, 99th percentile and maximum.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Number of samples.
    pub count: u64,
    /// Median in seconds; not a number without any sample.
    pub p50_s: f64,
    /// 99th percentile in seconds; not a number without any sample.
    pub p99_s: f64,
    /// Maximum in seconds; not a number without any sample.
    pub worst_s: f64,
}

impl Spread {
    /// Computes the percentiles of a histogram.
    #[must_use]
    pub fn of(times: &Times) -> Self {
        let none = Spread {
            count: 0,
            p50_s: f64::NAN,
            p99_s: f64::NAN,
            worst_s: f64::NAN,
        };
        // the histogram resizes itself; three significant digits are more than the samples have
        let Ok(mut histogram) = Histogram::<u64>::new(3) else {
            return none;
        };
        for (&micros, &count) in times {
            // fails only for a value beyond the largest that a histogram can hold
            let _ = histogram.record_n(micros, count);
        }
        if histogram.is_empty() {
            return none;
        }
        let seconds = |micros: u64| micros as f64 / 1e6;
        Spread {
            count: histogram.len(),
            p50_s: seconds(histogram.value_at_quantile(0.5)),
            p99_s: seconds(histogram.value_at_quantile(0.99)),
            worst_s: seconds(histogram.max()),
        }
    }
}
