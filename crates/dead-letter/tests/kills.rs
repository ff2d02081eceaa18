//! Tests that crash the process at every step in the handling of a message: when it fails, is saved in the store, is
//! redriven, is recorded in the journal, when its first byte is sent, and when it has an outcome. Longer runs have many
//! messages and crashes. The tests guard against messages that take effect twice, are lost, or are active in the
//! journal and the store at the same time.

mod simulation;

use milletturn_policy::{MILLISECOND, SECOND};
use simulation::{Plan, Simulation};

#[test]
fn two_runs_with_the_same_seed_have_the_same_trace() {
    let first = Simulation::trace(Plan::small(3));
    assert!(first.len() > 12, "{first:?}");
    assert_eq!(first, Simulation::trace(Plan::small(3)));
    assert_ne!(first, Simulation::trace(Plan::small(4)));
}

#[test]
fn a_crash_at_any_step_neither_loses_nor_duplicates_a_message() {
    for seed in 0..2 {
        let steps = Simulation::run(Plan::small(seed), &[]);
        assert!(steps > 40, "{steps}");
        for first_crash in 1..steps {
            Simulation::run(Plan::small(seed), &[first_crash]);
        }
    }
}

#[test]
fn two_crashes_close_together_neither_lose_nor_duplicate_a_message() {
    let steps = Simulation::run(Plan::small(7), &[]);
    for first_crash in (1..steps).step_by(9) {
        for second_crash in [1, 2, 3, 5, 8] {
            Simulation::run(Plan::small(7), &[first_crash, second_crash]);
        }
    }
}

/// 600 messages to 50 destinations with 24 crashes: a smaller version of the ignored test below.
#[test]
fn hundreds_of_failures_and_redrives_with_crashes() {
    run_with_crashes(600, 11, 24);
}

/// 10,000 messages with 200 crashes: `cargo test --release -p milletturn-dead-letter --test kills -- --ignored`.
#[test]
#[ignore = "takes minutes"]
fn ten_thousand_failures_and_redrives_with_crashes() {
    run_with_crashes(10_000, 12, 200);
}

fn run_with_crashes(messages: usize, seed: u64, crashes: u64) {
    let plan = Plan {
        seed,
        messages,
        destinations: 50,
        arrival_interval: 20 * MILLISECOND,
        repaired_at: messages as i64 * 20 * MILLISECOND + 10 * SECOND,
        redrive_interval: 20,
        max_messages: 100_000,
        clients_retry: false,
    };
    // a prime stride over a range gives different numbers of steps between crashes
    let process_steps: Vec<u64> = (0..crashes)
        .map(|n| 50 + n * 7919 % (messages as u64 * 6 / crashes))
        .collect();
    Simulation::run(plan, &process_steps);
}
