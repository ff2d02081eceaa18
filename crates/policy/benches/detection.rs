//! How soon an outage is detected, and what random failures cost: `cargo bench -p milletturn-policy --bench detection`.
//!
//! Runs in virtual time with ten seeds for each row, and prints medians with minimum and maximum. To compare with an
//! earlier version of the decision module, run this file and `tests/common` in that version's source tree.

#![expect(
    clippy::too_many_lines,
    reason = "the tables are printed by one function"
)]

#[path = "../tests/common/mod.rs"]
mod common;

use common::traffic::{Traffic, random_failures, simulate_traffic};
use milletturn_policy::{MILLISECOND, Micros, Outcome, SECOND};

const SEEDS: std::ops::Range<u64> = 0..10;
/// Messages per second.
const RATES: [f64; 4] = [1.0, 10.0, 100.0, 1000.0];

/// Formats the median of the values with their minimum and maximum.
fn format_spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match values.as_slice() {
        [] => "none".into(),
        sorted => format!(
            "{:.2} ({:.2} to {:.2})",
            sorted[sorted.len() / 2],
            sorted[0],
            sorted[sorted.len() - 1]
        ),
    }
}

fn main() {
    println!(
        "an outage begins: seconds until the destination is ejected; calls wasted until then; runs without detection"
    );
    let outages = [
        ("refused connections", Some(Outcome::NoConnection)),
        ("500 to all", Some(Outcome::Error)),
        ("no response", None),
    ];
    for (name, outcome) in outages {
        for rate in RATES {
            let outage_begins = (100.0 / rate).clamp(2.0, 60.0) as Micros * SECOND;
            let (mut detection_times, mut wasted, mut undetected) = (Vec::new(), Vec::new(), 0);
            for seed in SEEDS {
                let mut script = move |at: Micros, _: u32, _: &mut dyn FnMut() -> f64| match outcome
                {
                    _ if at < outage_begins => Some((Outcome::Success, 20 * MILLISECOND)),
                    Some(outcome) => Some((outcome, 20 * MILLISECOND)),
                    None => None,
                };
                let traffic = Traffic {
                    measured_from: outage_begins,
                    ..Traffic::new(rate, outage_begins + 20 * SECOND, seed)
                };
                let result = simulate_traffic(traffic, &mut script);
                match result.first_ejected_at {
                    Some(at) => detection_times.push((at - outage_begins) as f64 / SECOND as f64),
                    None => undetected += 1,
                }
                wasted.push(result.wasted_calls as f64);
            }
            println!(
                "{name:<20} {rate:>5.0}/s  {:<26} {:<26} {undetected}",
                format_spread(detection_times),
                format_spread(wasted)
            );
        }
    }
    println!(
        "\na constant share of 500, 100 messages per second for 60 s: share delivered, calls per message, ejections"
    );
    for share in [0.01, 0.05, 0.1, 0.2, 0.3] {
        let (mut delivered, mut calls, mut ejections) = (Vec::new(), Vec::new(), Vec::new());
        for seed in SEEDS {
            let result = simulate_traffic(
                Traffic::new(100.0, 60 * SECOND, seed),
                &mut random_failures(share, Outcome::Error),
            );
            delivered.push(result.delivered as f64 / result.accepted as f64);
            calls.push(result.calls as f64 / result.accepted as f64);
            ejections.push(result.ejections as f64);
        }
        println!(
            "{share:>5}  {:<26} {:<26} {}",
            format_spread(delivered),
            format_spread(calls),
            format_spread(ejections)
        );
    }
}
