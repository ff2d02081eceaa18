//! Load of all senders together on a recovering destination in slow start: `cargo bench --bench cold -- [seeds]`.
//!
//! Prints for each case, over 200 seeds if no other number is given: the largest excess of calls over the allowed
//! number N in units of the square root of N, how often the destination collapses, and which share of its capacity is
//! used.

use milletturn_policy::SECOND;
use milletturn_test_support::cold_fleet::{RecoveryResult, RecoveryScenario, simulate};

fn main() {
    let seeds: u64 = std::env::args()
        .find_map(|word| word.parse().ok())
        .unwrap_or(200);
    println!(
        "| senders | recovery | messages | largest excess over N, in roots of N | s after the recovery | collapses of {seeds} | share of N used |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for senders in [1, 3, 10, 20, 30, 100] {
        let variants = [
            (false, false, 10),
            (false, false, 100),
            (true, false, 10),
            (false, true, 10),
            (true, true, 10),
        ];
        for (reported, restarts_on_recovery, healthy_s) in variants {
            for skew in [1.0, 2.0] {
                let (capacity_per_s, load_ratio, healthy_time) = (40.0, 0.9, healthy_s * SECOND);
                let scenario = RecoveryScenario {
                    sender_count: senders,
                    capacity_per_s,
                    load_ratio,
                    skew,
                    reports_limit: reported,
                    restarts_on_recovery,
                    healthy_time,
                    seed: 0,
                };
                let results: Vec<RecoveryResult> = (0..seeds)
                    .map(|seed| simulate(RecoveryScenario { seed, ..scenario }))
                    .collect();
                let worst = results
                    .iter()
                    .copied()
                    .max_by(|a, b| a.max_normalized_excess.total_cmp(&b.max_normalized_excess))
                    .unwrap_or_default();
                let (max_excess, at) = (
                    worst.max_normalized_excess,
                    worst.max_excess_at as f64 / SECOND as f64,
                );
                let collapses = results.iter().filter(|result| result.collapsed).count();
                let capacity_used = results
                    .iter()
                    .map(|result| result.capacity_used)
                    .sum::<f64>()
                    / seeds as f64;
                let start = if restarts_on_recovery {
                    "all restart".into()
                } else {
                    format!("healthy for {healthy_s} s before")
                };
                let limit = if reported { "with limit" } else { "no limit" };
                let spread = if skew > 1.0 { "uneven" } else { "even" };
                println!(
                    "| {senders} | {start}, {limit} | {spread} | {max_excess:.2} | {at:.1} | {collapses} | {capacity_used:.2} |"
                );
            }
        }
    }
}
