//! The scale run in its small form: what is counted, and never how long anything takes.

use milletturn_scale::fleet::small;
use std::path::Path;

const HOLLOW: u64 = 200;
const REAL: u64 = 5;

#[test]
fn two_hundred_hollow_senders_and_five_real_ones_lose_nothing() {
    let scale = Path::new(env!("CARGO_BIN_EXE_milletturn-scale"));
    let program = scale.with_file_name("milletturn");
    assert!(
        program.is_file(),
        "build the whole workspace first: cargo build --workspace"
    );
    let seen = small(&program, scale, HOLLOW, REAL).expect("it runs");
    println!("{seen:?}");
    assert_eq!(seen.senders, HOLLOW);
    assert!(seen.published >= 100, "{seen:?}");
    assert_eq!(
        (seen.lost, seen.doubled, seen.wrong_order),
        (0, 0, 0),
        "{seen:?}"
    );
    // each hears of each change by itself, or several together where the machine is slow
    assert!(seen.received <= seen.published * HOLLOW, "{seen:?}");
    assert_eq!(
        seen.watches,
        HOLLOW + REAL,
        "one watch each, opened once: {seen:?}"
    );
    assert_eq!(
        (seen.sessions_opened, seen.sessions_lost),
        (HOLLOW, 0),
        "{seen:?}"
    );
    assert_eq!(
        seen.sessions_in_state,
        HOLLOW + REAL,
        "one session each: {seen:?}"
    );
    assert!(
        seen.accepted > 0 && seen.delivered >= seen.accepted,
        "{seen:?}"
    );
    assert!(seen.requests > 0, "{seen:?}");
}
