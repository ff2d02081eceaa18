//! Many senders before a limit: what is served of what could be, over seeds. `cargo bench --bench limits -- [seeds] [case]`;
//! with a case, each second of its first seed.

use milletturn_policy::{MILLISECOND, SECOND};
use milletturn_stand_ins::limited_fleet::{Demand, Limiting, Served, Terms, play};

/// Seconds that the senders have to find the limit, at a start or after a change.
const SETTLES: usize = 10;
const LENGTH: usize = 40;

fn cases() -> Vec<(String, Demand)> {
    let base = Demand { length: LENGTH as i64 * SECOND, ..Demand::new(0.0, 60.0) };
    let silent = Demand { limiting: Limiting::refusals(), ..base };
    let mut cases = Vec::new();
    for senders in [3, 10, 60, 300] {
        for load in [0.8, 1.0, 1.2] {
            let rate = load * silent.limit;
            cases.push((format!("{senders} senders, {load}"), Demand { senders, rate, ..silent }));
        }
    }
    let at = |limiting| Demand { senders: 60, rate: 60.0, limiting, ..base };
    let told = Limiting::refusals();
    cases.push(("60, debt".into(), at(Limiting { debt: true, ..told })));
    cases.push(("60, debt, no wait told".into(), at(Limiting { debt: true, tells_wait: 0.0, ..told })));
    cases.push(("60, no wait told".into(), at(Limiting { tells_wait: 0.0, ..told })));
    cases.push(("60, windows of 2 s".into(), at(Limiting { window: Some(2 * SECOND), ..told })));
    cases.push(("60, uneven".into(), Demand { skew: 2.0, ..at(told) }));
    cases.push(("60, five destinations".into(), Demand { destinations: 5, ..at(told) }));
    let back = Terms { rest: 20 * MILLISECOND, ..Terms::patient() };
    cases.push(("60, clients at once".into(), Demand { terms: back, ..at(told) }));
    cases.push(("60, clump".into(), Demand { clump: 15 * SECOND, ..at(told) }));
    let halved = Limiting { change: Some((15 * SECOND, 27 * SECOND, 0.5)), ..told };
    cases.push(("60, halved 15 to 27 s".into(), at(halved)));
    cases.push(("300, halved 15 to 27 s".into(), Demand { senders: 300, ..at(halved) }));
    cases.push(("60, reported, debt".into(), at(Limiting::reported())));
    cases.push(("300, reported, debt".into(), Demand { senders: 300, ..at(Limiting::reported()) }));
    cases
}

fn main() {
    let words: Vec<usize> = std::env::args().filter_map(|word| word.parse().ok()).collect();
    let seeds = words.first().copied().unwrap_or(20) as u64;
    if let Some((name, demand)) = words.get(1).and_then(|&case| cases().into_iter().nth(case)) {
        println!("{name}\n| s | handed in | handed back | calls | refused | delivered | held | limit |");
        println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (at, s) in play(demand).seconds.iter().enumerate() {
            let (came, back, calls, refused) = (s.handed_in, s.handed_back, s.calls, s.refused);
            println!("| {at} | {came} | {back} | {calls} | {refused} | {} | {} | {:.0} |", s.delivered, s.held, s.limit);
        }
        return;
    }
    println!("| case | goodput, median | worst | refused, median | worst | in time, median | worst | fairness, worst |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, demand) in cases() {
        let all: Vec<Served> = (1..=seeds).map(|seed| play(Demand { seed, ..demand })).collect();
        let sorted = |of: &dyn Fn(&Served) -> f64| {
            let mut values: Vec<f64> = all.iter().map(of).collect();
            values.sort_by(f64::total_cmp);
            values
        };
        let goodput = sorted(&|one| one.goodput(SETTLES, LENGTH));
        let refused = sorted(&|one| one.refused_share(SETTLES, LENGTH));
        let in_time = sorted(&|one| one.in_time as f64 / one.handed_in as f64);
        let fair = sorted(&|one| one.fairness());
        let (middle, last) = (all.len() / 2, all.len() - 1);
        println!(
            "| {name} | {:.2} | {:.2} | {:.3} | {:.3} | {:.2} | {:.2} | {:.2} |",
            goodput[middle], goodput[0], refused[middle], refused[last], in_time[middle], in_time[0], fair[0]
        );
    }
}
