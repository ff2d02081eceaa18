//! New settings in the middle of a life.

#![expect(
    clippy::too_many_lines,
    reason = "scenarios of this file have not had their turn yet"
)]

mod common;
use common::*;
use milletturn_policy::*;

#[test]
fn an_open_message_never_gets_more_attempts_than_it_might_have_had() {
    let mut settings = settings(8);
    for (before, now, most) in [(3, 8, 3), (8, 2, 2)] {
        settings.max_attempts = before;
        let mut rig = Rig::new(settings.clone(), vec![entry(1, 7)]);
        rig.tell(vec![message(1, FREE, 7)]);
        let new = Settings {
            max_attempts: now,
            ..settings.clone()
        };
        rig.sender.reconfigure(new, &[]).expect("makes sense");
        rig.tell(vec![message(2, FREE, 7)]);
        for id in [1, 2] {
            while rig.sends_of(id).len() < 20 && !rig.refused(id) && !rig.failed(id) {
                rig.end(id, Outcome::Error, MILLISECOND);
                rig.run(rig.now + 5 * SECOND);
                if rig.now > T0 + 100 * SECOND {
                    break;
                }
            }
        }
        assert_eq!(rig.sends_of(1).len(), most, "{before} to {now}");
        assert!(rig.sends_of(2).len() <= now, "{before} to {now}");
    }
}

#[test]
fn settings_that_make_no_sense_change_nothing() {
    let mut rig = Rig::new(settings(8), vec![entry(1, 7)]);
    let bad = Settings {
        max_attempts: 0,
        ..settings(8)
    };
    assert!(rig.sender.reconfigure(bad, &[]).is_err());
    rig.tell(vec![message(1, FREE, 7)]);
    assert_eq!(rig.sends_of(1).len(), 1);
}
