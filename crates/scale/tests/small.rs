//! Runs the scale run with few senders and checks its counters. Durations are not checked, so that the test does not
//! fail on a slow machine.

use milletturn_scale::fleet::small;
use std::path::Path;

const SIMULATED_SENDERS: u64 = 200;
const REAL_SENDERS: u64 = 5;

#[test]
fn two_hundred_simulated_senders_and_five_real_ones_lose_nothing() {
    let scale = Path::new(env!("CARGO_BIN_EXE_milletturn-scale"));
    let program = scale.with_file_name("milletturn");
    assert!(
        program.is_file(),
        "build the whole workspace first: cargo build --workspace"
    );
    let counts =
        small(&program, scale, SIMULATED_SENDERS, REAL_SENDERS).expect("the small scale run");
    println!("{counts:?}");
    assert_eq!(counts.senders, SIMULATED_SENDERS);
    assert!(counts.published >= 100, "{counts:?}");
    assert_eq!(
        (counts.lost, counts.doubled, counts.wrong_order),
        (0, 0, 0),
        "{counts:?}"
    );
    // a sender receives each change in a line of its own or, if the machine is slow, several changes merged into one
    // line; merged changes are not counted
    assert!(
        counts.received <= counts.published * SIMULATED_SENDERS,
        "{counts:?}"
    );
    assert_eq!(
        counts.watches,
        SIMULATED_SENDERS + REAL_SENDERS,
        "each sender opens one watch, once: {counts:?}"
    );
    assert_eq!(
        (counts.sessions_opened, counts.sessions_lost),
        (SIMULATED_SENDERS, 0),
        "{counts:?}"
    );
    assert_eq!(
        counts.sessions_in_state,
        SIMULATED_SENDERS + REAL_SENDERS,
        "each sender has one session: {counts:?}"
    );
    assert!(
        counts.accepted > 0 && counts.delivered >= counts.accepted,
        "{counts:?}"
    );
    assert!(counts.requests > 0, "{counts:?}");
}
