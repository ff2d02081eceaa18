//! Tests of the redrive decision: a table of cases, and properties of generated cases.

use super::{
    AllowedReason, DELIVERY_MARGIN, DecisionInput, Denial, RedriveDecision, decide_redrive,
};
use milletturn_engine::Ending;
use milletturn_policy::{Effect, Micros, SECOND};
use proptest::prelude::*;

const WINDOW: Micros = 12 * SECOND;
const KEYED: Effect = Effect::Keyed {
    window: WINDOW,
    zone_only: false,
};
const BASE: DecisionInput = DecisionInput {
    effect: Some(KEYED),
    has_key: true,
    ending: Ending::Failed,
    first_uncertain_at: None,
    confirmed_not_run: false,
    clients_retry: true,
    has_body: true,
};
const RETURNED: DecisionInput = DecisionInput {
    ending: Ending::Returned { after_ms: None },
    ..BASE
};
const NEVER_RAN: RedriveDecision = RedriveDecision::Allowed(AllowedReason::NeverRan);
const CONFIRMED: RedriveDecision = RedriveDecision::Allowed(AllowedReason::ConfirmedNotRun);
const IDEMPOTENT: RedriveDecision = RedriveDecision::Allowed(AllowedReason::Idempotent);
const UNTIL: Micros = 100 * SECOND + WINDOW - DELIVERY_MARGIN;

type Case = (DecisionInput, Micros, RedriveDecision);

fn may_have_run(effect: Effect, at: Micros) -> DecisionInput {
    DecisionInput {
        effect: Some(effect),
        first_uncertain_at: Some(at),
        ..BASE
    }
}

fn confirmed(input: DecisionInput) -> DecisionInput {
    DecisionInput {
        confirmed_not_run: true,
        ..input
    }
}

fn without_client_retries(input: DecisionInput) -> DecisionInput {
    DecisionInput {
        clients_retry: false,
        ..input
    }
}

fn cases_that_never_ran() -> Vec<Case> {
    let unsafe_class = DecisionInput {
        effect: Some(Effect::Unsafe),
        ..BASE
    };
    vec![
        (BASE, 0, NEVER_RAN),
        (confirmed(BASE), 0, CONFIRMED),
        (unsafe_class, 0, NEVER_RAN),
        (RETURNED, 0, RedriveDecision::Denied(Denial::Returned)),
        (confirmed(RETURNED), 0, CONFIRMED),
        (without_client_retries(RETURNED), 0, NEVER_RAN),
    ]
}

fn cases_that_may_have_run() -> Vec<Case> {
    let denied = RedriveDecision::Denied;
    let uncertain = may_have_run(KEYED, 100 * SECOND);
    let without_key = DecisionInput {
        has_key: false,
        ..may_have_run(KEYED, 5)
    };
    let returned = DecisionInput {
        ending: RETURNED.ending,
        ..without_client_retries(uncertain)
    };
    vec![
        (may_have_run(Effect::Repeatable, 5), 1 << 50, IDEMPOTENT),
        (may_have_run(Effect::Unsafe, 5), 5, denied(Denial::Unsafe)),
        (
            uncertain,
            100 * SECOND,
            RedriveDecision::AllowedUntil(UNTIL),
        ),
        (uncertain, UNTIL - 1, RedriveDecision::AllowedUntil(UNTIL)),
        (uncertain, UNTIL, denied(Denial::WindowExpired)),
        (uncertain, 99 * SECOND, denied(Denial::ClockSetBack)),
        (without_key, 6, denied(Denial::NoKey)),
        (returned, UNTIL, denied(Denial::WindowExpired)),
    ]
}

fn cases_that_are_always_denied() -> Vec<Case> {
    let denied = RedriveDecision::Denied;
    let delivered = DecisionInput {
        ending: Ending::Delivered,
        ..BASE
    };
    let unknown_class = DecisionInput {
        effect: None,
        ..BASE
    };
    let without_body = DecisionInput {
        has_body: false,
        ..BASE
    };
    vec![
        (delivered, 0, denied(Denial::Delivered)),
        (unknown_class, 0, denied(Denial::UnknownClass)),
        (without_body, 0, denied(Denial::NoBody)),
    ]
}

#[test]
fn decisions_match_the_table_of_cases() {
    let mut cases = cases_that_never_ran();
    cases.extend(cases_that_may_have_run());
    cases.extend(cases_that_are_always_denied());
    assert_eq!(cases.len(), 17);
    for (input, now, expected) in cases {
        assert_eq!(decide_redrive(&input, now), expected, "{input:?} at {now}");
    }
}

fn effects() -> impl Strategy<Value = Effect> {
    prop_oneof![
        Just(Effect::Repeatable),
        Just(Effect::Unsafe),
        (1..100 * SECOND).prop_map(|window| Effect::Keyed {
            window,
            zone_only: false
        }),
    ]
}

proptest! {
    /// A message that may have run is denied if its class must never run twice, and is allowed with a key only
    /// while there is time left to arrive inside the deduplication window.
    #[test]
    fn a_message_that_may_have_run_is_redriven_only_inside_its_window(
        effect in effects(),
        has_key: bool,
        confirmed_not_run: bool,
        sent_at in 0..1_000 * SECOND,
        now in 0..2_000 * SECOND
    ) {
        let input = DecisionInput {
            effect: Some(effect),
            has_key,
            confirmed_not_run,
            first_uncertain_at: Some(sent_at),
            ..BASE
        };
        match (effect, decide_redrive(&input, now)) {
            (Effect::Repeatable, decision) => prop_assert_eq!(decision, IDEMPOTENT),
            (_, RedriveDecision::Allowed(_)) => prop_assert!(false, "allowed without a time limit"),
            (Effect::Unsafe, decision) => {
                prop_assert_eq!(decision, RedriveDecision::Denied(Denial::Unsafe));
            }
            (Effect::Keyed { window, .. }, RedriveDecision::AllowedUntil(until)) => {
                prop_assert!(
                    has_key
                        && sent_at <= now
                        && now < until
                        && until + DELIVERY_MARGIN <= sent_at + window
                );
            }
            (Effect::Keyed { .. }, RedriveDecision::Denied(_)) => {}
        }
    }

    /// A message whose deduplication window has expired is not allowed at any later time.
    #[test]
    fn a_denial_for_an_expired_window_is_final(
        sent_at in 0..100 * SECOND,
        now in 0..200 * SECOND,
        elapsed in 0..200 * SECOND
    ) {
        let input = DecisionInput { first_uncertain_at: Some(sent_at), ..BASE };
        let expired = RedriveDecision::Denied(Denial::WindowExpired);
        let denied = decide_redrive(&input, now) == expired;
        prop_assert!(!denied || decide_redrive(&input, now + elapsed) == expired);
    }
}
