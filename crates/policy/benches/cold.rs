//! The ramp before a destination that returns cold, over the sum of all senders: the largest overrun of 200 seeds in
//! units of the root of N, how often it falls over, and which part of N is used. `cargo bench --bench cold`

use milletturn_policy::SECOND;
use milletturn_stand_ins::cold_fleet::{Overrun, Return, play};

fn main() {
    let seeds: u64 = std::env::args().find_map(|word| word.parse().ok()).unwrap_or(200);
    println!(
        "| senders | return | messages | most over N, in roots of N | s after the return | falls of {seeds} | part of N used |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for senders in [1, 3, 10, 20, 30, 100] {
        for (told, restart) in [(false, false), (true, false), (false, true), (true, true)] {
            for skew in [1.0, 2.0] {
                let case = Return { senders, capacity: 40.0, load: 0.9, skew, told, restart, seed: 0 };
                let all: Vec<Overrun> = (0..seeds).map(|seed| play(Return { seed, ..case })).collect();
                let most = all.iter().copied().max_by(|a, b| a.roots.total_cmp(&b.roots)).unwrap_or_default();
                let (most, at) = (most.roots, most.at as f64 / SECOND as f64);
                let fell = all.iter().filter(|one| one.fell).count();
                let used = all.iter().map(|one| one.used).sum::<f64>() / seeds as f64;
                let life = if restart { "all restart" } else { "known" };
                let limit = if told { "limit told" } else { "none told" };
                let spread = if skew > 1.0 { "uneven" } else { "even" };
                println!(
                    "| {senders} | {life}, {limit} | {spread} | {most:.2} | {at:.1} | {fell} | {used:.2} |"
                );
            }
        }
    }
}
