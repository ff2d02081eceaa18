//! The JSON form of the fencing guard, which a receiver of fenced writes stores.

use super::AFTER_RESTORE;
use milletturn_coordination::fencing::Admission;
use milletturn_coordination::{FencingGuard, FencingToken};

const GUARD: &str = include_str!("data/fence.json");

#[test]
fn a_fencing_guard_has_an_unchanged_json_form() {
    let mut guard: FencingGuard = serde_json::from_str(GUARD).expect("a guard");
    assert_eq!(serde_json::to_string(&guard).expect("serializable"), GUARD);
    assert_eq!(
        ["w", "v \"ü\"", "u"].map(|name| guard.highest_token(name)),
        [3, AFTER_RESTORE + 1, 0].map(FencingToken)
    );
    assert_eq!(guard.admit("w", FencingToken(3)), Ok(Admission::KnownToken));
    let mut replayed = FencingGuard::default();
    assert_eq!(
        (
            replayed.admit("w", FencingToken(3)),
            replayed.admit("v \"ü\"", FencingToken(AFTER_RESTORE + 1))
        ),
        (Ok(Admission::NewToken), Ok(Admission::NewToken))
    );
    assert_eq!(guard, replayed);
}
