//! The fencing guard at the receiver of writes.

use milletturn_coordination::fencing::Admission;
use milletturn_coordination::{FencingGuard, FencingToken, Rejection};

#[test]
fn a_guard_remembers_the_highest_token_and_reports_a_new_one() {
    let mut guard = FencingGuard::default();
    let [one, two, three] = [1, 2, 3].map(FencingToken);
    assert_eq!(guard.admit("w", three), Ok(Admission::NewToken));
    assert_eq!(guard.admit("w", three), Ok(Admission::KnownToken));
    assert_eq!(
        guard.admit("w", two),
        Err(Rejection::Fenced {
            resource: "w".into(),
            token: two,
            current: three
        })
    );
    assert_eq!(
        guard.admit("v", one),
        Ok(Admission::NewToken),
        "tokens of different resources are independent"
    );
    assert_eq!(guard.highest_token("w"), three);
}
