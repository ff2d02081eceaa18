//! Model checking of the production state machine, lease tables, lease holders, fencing guards and batchers.
//!
//! The checker explores every order of events in a small cluster: two members, two coordinators, one resource, a
//! receiver of writes, and a session proxy. Clocks drift apart, a second coordinator is elected while the first still
//! believes that it leads, the receiver and the proxy restart, and the state is restored from a backup.
//!
//! Each test also checks mutations, each of which omits one safeguard. A mutation must violate the property that the
//! safeguard ensures, which shows that the model detects a missing safeguard.

mod cluster;
mod delivery;
mod steps;

use cluster::{ClusterModel, Mutation, Scenario};
use stateright::{Checker, HasDiscoveries, Model};
use std::collections::BTreeSet;

/// A `sometimes` property: the checker must find a state in which the second member may write, which it may not do in
/// the initial state.
const SECOND_MEMBER_PERMITTED: &str = "the second member has permission to write";
const MUTUAL_EXCLUSION: &str = "at most one member has permission to write";
const OWN_SESSION: &str = "each member uses a session opened under its own name";
const NO_LOCKOUT: &str = "no member is rejected because its own earlier session has its name";
const TOKEN_ORDER: &str = "writes are admitted in the order of tokens";

/// The names of the properties of which the checker found an example (`sometimes`) or a counterexample (`always`).
fn discoveries(
    scenario: Scenario,
    mutation: Mutation,
    finish_when: HasDiscoveries,
) -> BTreeSet<&'static str> {
    let model = ClusterModel { scenario, mutation };
    let checker = model
        .checker()
        .threads(2)
        .finish_when(finish_when)
        .spawn_bfs()
        .join();
    println!("{model:?}: {} states", checker.unique_state_count());
    checker.discoveries().into_keys().collect()
}

/// Checks a scenario without a mutation: every state is explored unless a property is violated.
fn discoveries_without_mutation(scenario: Scenario) -> BTreeSet<&'static str> {
    discoveries(scenario, Mutation::None, HasDiscoveries::AnyFailures)
}

/// Checks a scenario with a mutation until the property is violated. A mutation may violate several properties, and
/// which of them the checker's threads find first varies, so a violation of another property does not end the search.
fn violates(scenario: Scenario, mutation: Mutation, property: &'static str) -> bool {
    let finish_when = HasDiscoveries::AllOf(BTreeSet::from([property]));
    discoveries(scenario, mutation, finish_when).contains(property)
}

#[test]
fn leases_are_safe_in_every_order() {
    assert_eq!(
        discoveries_without_mutation(Scenario::Leases),
        BTreeSet::from([SECOND_MEMBER_PERMITTED])
    );
    for mutation in [
        Mutation::LeasesExpireAtElection,
        Mutation::LeaseCountedFromResponse,
        Mutation::ClockErrorIgnored,
    ] {
        assert!(
            violates(Scenario::Leases, mutation, MUTUAL_EXCLUSION),
            "{mutation:?}"
        );
    }
}

#[test]
fn fencing_is_safe_in_every_order() {
    assert_eq!(
        discoveries_without_mutation(Scenario::Fencing),
        BTreeSet::from([SECOND_MEMBER_PERMITTED])
    );
    assert!(violates(
        Scenario::Fencing,
        Mutation::GuardNotDurable,
        TOKEN_ORDER
    ));
}

#[test]
fn restores_are_safe_in_every_order() {
    assert_eq!(
        discoveries_without_mutation(Scenario::Restore),
        BTreeSet::from([SECOND_MEMBER_PERMITTED])
    );
    for mutation in [
        Mutation::RestoreWithoutTokenJump,
        Mutation::RestoreWithoutGracePeriod,
    ] {
        assert!(
            violates(Scenario::Restore, mutation, MUTUAL_EXCLUSION),
            "{mutation:?}"
        );
    }
}

#[test]
fn proxied_heartbeats_are_safe_in_every_order() {
    assert_eq!(
        discoveries_without_mutation(Scenario::ProxiedHeartbeats),
        BTreeSet::from([SECOND_MEMBER_PERMITTED])
    );
    assert!(violates(
        Scenario::ProxiedHeartbeats,
        Mutation::ProxyAnswersLaterCallers,
        MUTUAL_EXCLUSION
    ));
}

#[test]
fn proxied_opens_are_safe_in_every_order() {
    assert_eq!(
        discoveries_without_mutation(Scenario::ProxiedOpens),
        BTreeSet::from([SECOND_MEMBER_PERMITTED])
    );
    for mutation in [
        Mutation::ProxyAcceptsLateResponses,
        Mutation::ProxyIgnoresBatchPositions,
    ] {
        assert!(
            violates(Scenario::ProxiedOpens, mutation, OWN_SESSION),
            "{mutation:?}"
        );
    }
    assert!(violates(
        Scenario::ProxiedOpens,
        Mutation::NewNoncePerAttempt,
        NO_LOCKOUT
    ));
    assert!(violates(
        Scenario::ProxiedOpens,
        Mutation::LeaseCountedFromLastOpen,
        MUTUAL_EXCLUSION
    ));
}
