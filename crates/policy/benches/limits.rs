//! Many senders before a limit: what is served of what could be, over seeds. `cargo bench --bench limits -- [seeds] [case]`;
//! with a case, each second of its first seed.

#![expect(
    clippy::too_many_lines,
    reason = "scenarios of this file have not had their turn yet"
)]

use milletturn_policy::{MILLISECOND, SECOND};
use milletturn_test_support::limited_fleet::{
    LimitPolicy, MessageProfile, Scenario, ScenarioResult, simulate,
};

/// Seconds that the senders have to find the limit, at a start or after a change.
const SETTLES: usize = 10;
const LENGTH: usize = 40;

/// Refusals alone tell of the limits, if nothing else is said.
fn cases() -> Vec<(String, Scenario)> {
    let told = LimitPolicy::rejections_only();
    let base = Scenario {
        duration: LENGTH as i64 * SECOND,
        limit_policy: told,
        ..Scenario::new(0.0, 60.0)
    };
    let at = |senders: usize, load: f64, limit: f64| Scenario {
        sender_count: senders,
        messages_per_s: load * limit,
        calls_per_s: limit,
        ..base
    };
    let mut cases = Vec::new();
    for senders in [3, 10, 60, 300] {
        for load in [0.8, 1.0, 1.2] {
            cases.push((
                format!("{senders} senders, {load} of 60"),
                at(senders, load, 60.0),
            ));
        }
    }
    let mut case = |name: &str, demand: Scenario| cases.push((name.into(), demand));
    case("300, 1.0 of 20", at(300, 1.0, 20.0));
    case(
        "300, 0.7 of 20, clump",
        Scenario {
            burst_at: 12 * SECOND,
            ..at(300, 0.7, 20.0)
        },
    );
    case("60, 1.2 of 20", at(60, 1.2, 20.0));
    case("60, 1.4 of 20", at(60, 1.4, 20.0));
    let (some, many) = (at(60, 1.1, 60.0), at(300, 1.1, 60.0));
    let with = |limiting| Scenario {
        limit_policy: limiting,
        ..some
    };
    case(
        "60, 1.1, no debt",
        with(LimitPolicy {
            rejections_consume: false,
            ..told
        }),
    );
    case(
        "60, 1.1, no wait told",
        with(LimitPolicy {
            retry_after_share: 0.0,
            ..told
        }),
    );
    case(
        "60, 1.1, all told a wait",
        with(LimitPolicy {
            retry_after_share: 1.0,
            ..told
        }),
    );
    case(
        "60, 1.1, windows of 2 s",
        with(LimitPolicy {
            window: Some(2 * SECOND),
            rejections_consume: false,
            ..told
        }),
    );
    case("60, 1.1, uneven", Scenario { skew: 2.0, ..some });
    case(
        "60, 1.1, five destinations",
        Scenario {
            destination_count: 5,
            ..some
        },
    );
    let back = MessageProfile {
        resubmit_delay: 20 * MILLISECOND,
        max_resubmits: 3,
        ..MessageProfile::patient()
    };
    case(
        "60, 1.1, clients at once",
        Scenario {
            profile: back,
            ..some
        },
    );
    case(
        "60, 0.9, clump",
        Scenario {
            burst_at: 15 * SECOND,
            ..at(60, 0.9, 60.0)
        },
    );
    let halved = LimitPolicy {
        temporary_change: Some((15 * SECOND, 27 * SECOND, 0.5)),
        ..told
    };
    case("60, 1.1, halved 15 to 27 s", with(halved));
    case(
        "300, 1.1, halved 15 to 27 s",
        Scenario {
            limit_policy: halved,
            ..many
        },
    );
    let away = LimitPolicy {
        temporary_change: Some((15 * SECOND, 23 * SECOND, 0.0)),
        ..told
    };
    case(
        "60, 0.8, all refused 15 to 23 s",
        Scenario {
            limit_policy: away,
            ..at(60, 0.8, 60.0)
        },
    );
    let noisy = LimitPolicy {
        random_rejection_share: 0.1,
        rejections_consume: false,
        retry_after_share: 0.0,
        ..told
    };
    case(
        "60, 0.5, 10% refused with no limit",
        Scenario {
            limit_policy: noisy,
            ..at(60, 0.5, 60.0)
        },
    );
    case(
        "60, 0.5, 24 connections",
        Scenario {
            max_connections: Some(24),
            ..at(60, 0.5, 60.0)
        },
    );
    case("60, 1.1, reported", with(LimitPolicy::reported()));
    case(
        "300, 1.1, reported",
        Scenario {
            limit_policy: LimitPolicy::reported(),
            ..many
        },
    );
    cases
}

fn main() {
    let words: Vec<usize> = std::env::args()
        .filter_map(|word| word.parse().ok())
        .collect();
    let seeds = words.first().copied().unwrap_or(20) as u64;
    if let Some((name, demand)) = words.get(1).and_then(|&case| cases().into_iter().nth(case)) {
        println!(
            "{name}\n| s | handed in | handed back | calls | refused | delivered | held | limit |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (at, s) in simulate(demand).seconds.iter().enumerate() {
            let (came, back, calls, refused) = (s.submitted, s.returned, s.calls, s.rejected);
            println!(
                "| {at} | {came} | {back} | {calls} | {refused} | {} | {} | {:.0} |",
                s.delivered, s.pending, s.allowed_calls
            );
        }
        return;
    }
    println!(
        "| case | goodput, median | worst | refused, median | worst | in time, median | worst | fairness, worst |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, demand) in cases() {
        let all: Vec<ScenarioResult> = (1..=seeds)
            .map(|seed| simulate(Scenario { seed, ..demand }))
            .collect();
        let sorted = |of: &dyn Fn(&ScenarioResult) -> f64| {
            let mut values: Vec<f64> = all.iter().map(of).collect();
            values.sort_by(f64::total_cmp);
            values
        };
        let goodput = sorted(&|one| one.goodput(SETTLES, LENGTH));
        let refused = sorted(&|one| one.rejected_share(SETTLES, LENGTH));
        let in_time = sorted(&|one| one.delivered_in_time as f64 / one.submitted as f64);
        let fair = sorted(&|one| one.fairness());
        let (middle, last) = (all.len() / 2, all.len() - 1);
        println!(
            "| {name} | {:.2} | {:.2} | {:.3} | {:.3} | {:.2} | {:.2} | {:.2} |",
            goodput[middle],
            goodput[0],
            refused[middle],
            refused[last],
            in_time[middle],
            in_time[0],
            fair[0]
        );
    }
}
