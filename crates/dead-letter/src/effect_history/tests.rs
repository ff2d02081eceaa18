use super::*;

const KEYED: Effect = Effect::Keyed {
    window: 5,
    zone_only: false,
};

fn effects(effect: Effect) -> BTreeMap<String, Effect> {
    BTreeMap::from([("order".to_string(), effect)])
}

fn history(changes: &[(Effect, Micros)]) -> EffectHistory {
    let mut history = EffectHistory::default();
    for &(effect, at) in changes {
        history.replace(effects(effect), at);
    }
    history
}

#[test]
fn a_message_is_judged_by_the_strictest_effect_since_it_was_accepted() {
    let history = history(&[
        (Effect::Repeatable, 0),
        (Effect::Unsafe, 10),
        (KEYED, 20),
        (Effect::Repeatable, 30),
    ]);
    for (accepted_at, expected) in [
        (5, Effect::Unsafe),
        (20, Effect::Unsafe),
        (21, KEYED),
        (30, KEYED),
        (31, Effect::Repeatable),
    ] {
        assert_eq!(
            history.effect_since("order", accepted_at),
            Some(expected),
            "{accepted_at}"
        );
    }
    assert_eq!(history.effect_since("licence", 31), None);
}

#[test]
fn a_class_that_returns_with_another_effect_keeps_its_former_one_for_earlier_messages() {
    let mut history = history(&[(Effect::Unsafe, 0)]);
    history.replace(BTreeMap::new(), 10);
    assert_eq!(history.effect_since("order", 5), None);
    history.replace(effects(Effect::Repeatable), 20);
    assert_eq!(history.effect_since("order", 5), Some(Effect::Unsafe));
    assert_eq!(history.effect_since("order", 15), Some(Effect::Repeatable));
}

#[test]
fn effects_are_forgotten_once_no_message_can_have_been_accepted_under_them() {
    let mut history = history(&[(Effect::Unsafe, 0), (Effect::Repeatable, 10)]);
    // a message that was accepted at the time of the change may not be in the store yet
    history.forget_unused(None, 10 + MIN_RETENTION);
    assert_eq!(history.effect_since("order", 10), Some(Effect::Unsafe));
    // a message that was accepted then is in the store
    history.forget_unused(Some(10), 11 + MIN_RETENTION);
    assert_eq!(history.effect_since("order", 10), Some(Effect::Unsafe));
    history.forget_unused(Some(11), 11 + MIN_RETENTION);
    assert_eq!(history.periods().len(), 1);
}

#[test]
fn the_number_of_former_effects_is_bounded_and_forgotten_ones_count_as_unsafe() {
    let keyed = |window| Effect::Keyed {
        window,
        zone_only: false,
    };
    let changes: Vec<_> = (1..=600).map(|number| (keyed(number), number)).collect();
    let mut history = history(&changes);
    assert_eq!(history.periods().len(), MAX_FORMER_EFFECTS + 1);
    assert_eq!(history.effect_since("order", 100), Some(Effect::Unsafe));
    assert_eq!(history.effect_since("order", 599), Some(keyed(598)));
    let restored = EffectHistory::restore(history.periods(), history.unsafe_until());
    assert_eq!(restored, history);
    assert!(!history.replace(effects(keyed(600)), 700));
}

#[test]
fn a_message_is_bound_by_the_effect_under_which_it_was_accepted_though_the_history_lacks_it() {
    let mut history = history(&[(Effect::Repeatable, 0)]);
    assert!(!history.record_accepted("order", Effect::Repeatable, 5));
    assert!(history.record_accepted("order", Effect::Unsafe, 5));
    assert!(!history.record_accepted("order", Effect::Unsafe, 5));
    assert!(!history.record_accepted("order", KEYED, 4));
    assert_eq!(history.effect_since("order", 5), Some(Effect::Unsafe));
    assert_eq!(history.effect_since("order", 6), Some(Effect::Repeatable));
    // a class that the settings don't have may come back
    assert!(history.record_accepted("licence", Effect::Unsafe, 7));
    let both = ["order", "licence"].map(|name| (name.to_string(), Effect::Repeatable));
    history.replace(BTreeMap::from(both), 8);
    assert_eq!(history.effect_since("licence", 7), Some(Effect::Unsafe));
}
