//! The upper bounds of the state: names, sessions and resources.

use super::{acquire, apply, claim, open, open_command};
use milletturn_coordination::{CommandOutcome, CoordinationState, Rejection, SessionId, bounds};

#[test]
fn commands_that_exceed_a_bound_are_rejected_with_the_limit() {
    let mut state = CoordinationState::default();
    let long = "x".repeat(bounds::MAX_NAME_BYTES + 1);
    for name in ["", &long] {
        assert!(matches!(
            apply(&mut state, open_command(name, 1)),
            CommandOutcome::Rejected(Rejection::InvalidLength { .. })
        ));
    }
    for number in 0..bounds::MAX_SESSIONS {
        open(&mut state, &format!("n{number}"), 1);
    }
    assert!(matches!(
        apply(&mut state, open_command("more", 1)),
        CommandOutcome::Rejected(Rejection::LimitReached { limit: 32_768, .. })
    ));
    let one = SessionId(1);
    assert!(matches!(
        claim(&mut state, one, &long),
        CommandOutcome::Rejected(Rejection::InvalidLength { .. })
    ));
    for number in 0..bounds::MAX_RESOURCES {
        acquire(&mut state, one, &format!("w{number}"));
    }
    assert!(matches!(
        claim(&mut state, one, "more"),
        CommandOutcome::Rejected(Rejection::LimitReached { limit: 4_096, .. })
    ));
}
