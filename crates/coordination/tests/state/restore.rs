//! A state that is restored from a backup.

use super::{LEADER_TERM, LEASE, acquire, claim, expire, open, release, write};
use milletturn_coordination::{CommandOutcome, CoordinationState, PRE_RESTORE_SESSION, Rejection};

#[test]
fn a_restored_state_grants_higher_numbers_than_the_lost_one() {
    let mut state = CoordinationState::default();
    let one = open(&mut state, "n1", 1);
    let first = acquire(&mut state, one, "w");
    let backup = state.clone();
    // Tokens that are granted after the backup, and before the state is lost.
    for _ in 0..10 {
        let token = acquire(&mut state, one, "w");
        release(&mut state, one, "w", token);
    }
    let lost = acquire(&mut state, one, "w");
    assert!(lost > first);
    assert!(
        backup.restored(0, LEASE).is_err(),
        "generation 0 is already in use"
    );
    let mut restored = backup.restored(1, LEASE).expect("restored");
    // A write of the previous owner is rejected, even with the last token that the lost state granted.
    assert!(matches!(
        write(&mut restored, one, lost, 1, "late"),
        CommandOutcome::Rejected(Rejection::Fenced { .. })
    ));
    let two = open(&mut restored, "n1", 9);
    assert!(two > one, "session ids are not reused after a restore");
    assert_eq!(
        claim(&mut restored, two, "w"),
        CommandOutcome::Rejected(Rejection::RestoreGracePeriod)
    );
    assert_eq!(restored.leases().next(), Some((PRE_RESTORE_SESSION, LEASE)));
    expire(&mut restored, PRE_RESTORE_SESSION, LEADER_TERM);
    let known = acquire(&mut restored, two, "w");
    assert!(known > lost);
    let unknown = acquire(&mut restored, two, "made after the backup");
    assert!(unknown > lost);
    // The restored state is lost too. The same backup is restored again, with a generation that is not in use yet.
    assert!(restored.restored(1, LEASE).is_err());
    let mut twice = backup.restored(2, LEASE).expect("restored");
    let three = open(&mut twice, "n1", 10);
    expire(&mut twice, PRE_RESTORE_SESSION, LEADER_TERM);
    assert!(acquire(&mut twice, three, "w") > unknown.max(known));
}
