//! The ramp before a destination that returns cold, over the sum of all senders: the largest overrun of 200 seeds in
//! units of the root of N, how often it falls over, and which part of N is used. `cargo bench --bench cold`

use milletturn_policy::SECOND;
use milletturn_test_support::cold_fleet::{RecoveryResult, RecoveryScenario, simulate};

fn main() {
    let seeds: u64 = std::env::args()
        .find_map(|word| word.parse().ok())
        .unwrap_or(200);
    println!(
        "| senders | return | messages | most over N, in roots of N | s after the return | falls of {seeds} | part of N used |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for senders in [1, 3, 10, 20, 30, 100] {
        let lives = [
            (false, false, 10),
            (false, false, 100),
            (true, false, 10),
            (false, true, 10),
            (true, true, 10),
        ];
        for (told, restart, known) in lives {
            for skew in [1.0, 2.0] {
                let (capacity, load, well) = (40.0, 0.9, known * SECOND);
                let case = RecoveryScenario {
                    sender_count: senders,
                    capacity_per_s: capacity,
                    load_ratio: load,
                    skew,
                    reports_limit: told,
                    restarts_on_recovery: restart,
                    healthy_time: well,
                    seed: 0,
                };
                let all: Vec<RecoveryResult> = (0..seeds)
                    .map(|seed| simulate(RecoveryScenario { seed, ..case }))
                    .collect();
                let most = all
                    .iter()
                    .copied()
                    .max_by(|a, b| a.max_excess_in_roots.total_cmp(&b.max_excess_in_roots))
                    .unwrap_or_default();
                let (most, at) = (
                    most.max_excess_in_roots,
                    most.max_excess_at as f64 / SECOND as f64,
                );
                let fell = all.iter().filter(|one| one.collapsed).count();
                let used = all.iter().map(|one| one.capacity_used).sum::<f64>() / seeds as f64;
                let life = if restart {
                    "all restart".into()
                } else {
                    format!("known for {known} s")
                };
                let limit = if told { "limit told" } else { "none told" };
                let spread = if skew > 1.0 { "uneven" } else { "even" };
                println!(
                    "| {senders} | {life}, {limit} | {spread} | {most:.2} | {at:.1} | {fell} | {used:.2} |"
                );
            }
        }
    }
}
