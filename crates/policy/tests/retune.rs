//! Settings that change while the sender runs.

#![expect(
    clippy::too_many_lines,
    reason = "each test spells out its whole scenario"
)]

mod common;
use common::*;
use milletturn_policy::*;

#[test]
fn a_pending_message_never_gets_more_attempts_than_were_allowed_when_it_was_accepted() {
    let mut settings = settings(8);
    for (before, now, max_sends) in [(3, 8, 3), (8, 2, 2)] {
        settings.max_attempts = before;
        let mut harness = Harness::new(settings.clone(), vec![entry(1, 7)]);
        harness.handle(vec![message(1, REPEATABLE, 7)]);
        let new = Settings {
            max_attempts: now,
            ..settings.clone()
        };
        harness
            .sender
            .reconfigure(new, &[])
            .expect("valid settings");
        harness.handle(vec![message(2, REPEATABLE, 7)]);
        for id in [1, 2] {
            while harness.send_times(id).len() < 20
                && !harness.was_rejected(id)
                && !harness.has_failed(id)
            {
                harness.end_attempt(id, Outcome::Error, MILLISECOND);
                harness.run_until(harness.now + 5 * SECOND);
                if harness.now > START + 100 * SECOND {
                    break;
                }
            }
        }
        assert_eq!(harness.send_times(1).len(), max_sends, "{before} to {now}");
        assert!(harness.send_times(2).len() <= now, "{before} to {now}");
    }
}

#[test]
fn invalid_settings_change_nothing() {
    let mut harness = Harness::new(settings(8), vec![entry(1, 7)]);
    let invalid = Settings {
        max_attempts: 0,
        ..settings(8)
    };
    assert!(harness.sender.reconfigure(invalid, &[]).is_err());
    harness.handle(vec![message(1, REPEATABLE, 7)]);
    assert_eq!(harness.send_times(1).len(), 1);
}
