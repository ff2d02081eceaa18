//! Goodput of many senders at a rate limit, over seeds: `cargo bench --bench limits -- [seeds] [case]`. With the number
//! of a case, prints each second of that case's first seed.

#![expect(
    clippy::too_many_lines,
    reason = "the cases are listed in one function"
)]

use milletturn_policy::{MILLISECOND, SECOND};
use milletturn_test_support::limited_fleet::{
    LimitPolicy, MessageProfile, Scenario, ScenarioResult, simulate,
};

/// Seconds that the senders are given to find the limit, at the start or after a change, before figures count.
const SETTLING_S: usize = 10;
/// Seconds that each scenario lasts.
const DURATION_S: usize = 40;

/// All cases with their names. Unless its name says otherwise, the limit of a case shows only in rejections.
fn cases() -> Vec<(String, Scenario)> {
    let rejections_only = LimitPolicy::rejections_only();
    let base = Scenario {
        duration: DURATION_S as i64 * SECOND,
        limit_policy: rejections_only,
        ..Scenario::new(0.0, 60.0)
    };
    let scenario = |senders: usize, load: f64, limit: f64| Scenario {
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
                scenario(senders, load, 60.0),
            ));
        }
    }
    let mut case = |name: &str, scenario: Scenario| cases.push((name.into(), scenario));
    case("300, 1.0 of 20", scenario(300, 1.0, 20.0));
    case(
        "300, 0.7 of 20, burst",
        Scenario {
            burst_at: 12 * SECOND,
            ..scenario(300, 0.7, 20.0)
        },
    );
    case("60, 1.2 of 20", scenario(60, 1.2, 20.0));
    case("60, 1.4 of 20", scenario(60, 1.4, 20.0));
    let (sixty, three_hundred) = (scenario(60, 1.1, 60.0), scenario(300, 1.1, 60.0));
    let with = |limit_policy| Scenario {
        limit_policy,
        ..sixty
    };
    case(
        "60, 1.1, no debt",
        with(LimitPolicy {
            rejections_consume: false,
            ..rejections_only
        }),
    );
    case(
        "60, 1.1, no wait announced",
        with(LimitPolicy {
            retry_after_share: 0.0,
            ..rejections_only
        }),
    );
    case(
        "60, 1.1, a wait with each rejection",
        with(LimitPolicy {
            retry_after_share: 1.0,
            ..rejections_only
        }),
    );
    case(
        "60, 1.1, windows of 2 s",
        with(LimitPolicy {
            window: Some(2 * SECOND),
            rejections_consume: false,
            ..rejections_only
        }),
    );
    case("60, 1.1, uneven", Scenario { skew: 2.0, ..sixty });
    case(
        "60, 1.1, five destinations",
        Scenario {
            destination_count: 5,
            ..sixty
        },
    );
    let resubmitting_immediately = MessageProfile {
        resubmit_delay: 20 * MILLISECOND,
        max_resubmits: 3,
        ..MessageProfile::patient()
    };
    case(
        "60, 1.1, clients resubmit at once",
        Scenario {
            profile: resubmitting_immediately,
            ..sixty
        },
    );
    case(
        "60, 0.9, burst",
        Scenario {
            burst_at: 15 * SECOND,
            ..scenario(60, 0.9, 60.0)
        },
    );
    let halved = LimitPolicy {
        temporary_change: Some((15 * SECOND, 27 * SECOND, 0.5)),
        ..rejections_only
    };
    case("60, 1.1, halved 15 to 27 s", with(halved));
    case(
        "300, 1.1, halved 15 to 27 s",
        Scenario {
            limit_policy: halved,
            ..three_hundred
        },
    );
    let outage = LimitPolicy {
        temporary_change: Some((15 * SECOND, 23 * SECOND, 0.0)),
        ..rejections_only
    };
    case(
        "60, 0.8, all rejected 15 to 23 s",
        Scenario {
            limit_policy: outage,
            ..scenario(60, 0.8, 60.0)
        },
    );
    let random_rejections = LimitPolicy {
        random_rejection_share: 0.1,
        rejections_consume: false,
        retry_after_share: 0.0,
        ..rejections_only
    };
    case(
        "60, 0.5, 10% rejected at random",
        Scenario {
            limit_policy: random_rejections,
            ..scenario(60, 0.5, 60.0)
        },
    );
    case(
        "60, 0.5, 24 connections",
        Scenario {
            max_connections: Some(24),
            ..scenario(60, 0.5, 60.0)
        },
    );
    case("60, 1.1, reported", with(LimitPolicy::reported()));
    case(
        "300, 1.1, reported",
        Scenario {
            limit_policy: LimitPolicy::reported(),
            ..three_hundred
        },
    );
    cases
}

fn main() {
    let arguments: Vec<usize> = std::env::args()
        .filter_map(|word| word.parse().ok())
        .collect();
    let seeds = arguments.first().copied().unwrap_or(20) as u64;
    if let Some((name, scenario)) = arguments
        .get(1)
        .and_then(|&case| cases().into_iter().nth(case))
    {
        println!(
            "{name}\n| s | submitted | returned | calls | rejected | delivered | pending | limit |"
        );
        println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (at, s) in simulate(scenario).seconds.iter().enumerate() {
            let (submitted, returned, calls, rejected) =
                (s.submitted, s.returned, s.calls, s.rejected);
            println!(
                "| {at} | {submitted} | {returned} | {calls} | {rejected} | {} | {} | {:.0} |",
                s.delivered, s.pending, s.allowed_calls
            );
        }
        return;
    }
    println!(
        "| case | goodput, median | worst | rejected, median | worst | in time, median | worst | fairness, worst |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, scenario) in cases() {
        let results: Vec<ScenarioResult> = (1..=seeds)
            .map(|seed| simulate(Scenario { seed, ..scenario }))
            .collect();
        let sorted = |of: &dyn Fn(&ScenarioResult) -> f64| {
            let mut values: Vec<f64> = results.iter().map(of).collect();
            values.sort_by(f64::total_cmp);
            values
        };
        let goodput = sorted(&|result| result.goodput(SETTLING_S, DURATION_S));
        let rejected = sorted(&|result| result.rejected_share(SETTLING_S, DURATION_S));
        let in_time = sorted(&|result| result.delivered_in_time as f64 / result.submitted as f64);
        let fairness = sorted(&|result| result.fairness());
        let (median, last) = (results.len() / 2, results.len() - 1);
        println!(
            "| {name} | {:.2} | {:.2} | {:.3} | {:.3} | {:.2} | {:.2} | {:.2} |",
            goodput[median],
            goodput[0],
            rejected[median],
            rejected[last],
            in_time[median],
            in_time[0],
            fairness[0]
        );
    }
}
