//! Model checking of the real source and replica code, over all orders of events in a small system of two sources, two
//! session proxies and a sender.
//!
//! The events include changes by a deposed source that does not know of its successor, a session proxy restored from a
//! backup, and updates that are lost, duplicated, delayed or reordered. At any time, each replica must have a state
//! that a source had, and all replicas must converge with the leader after one round of requests.

mod common;

use common::{empty_source, put, remove, replica, shard_count};
use milletturn_shard_map::{
    Change, Digest, LeaderTerm, ShardId, ShardMapReplica, ShardMapSource, SyncRequest, Update,
    Version,
};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// An assumption about the processes that run the sources. One test violates it, to show that the model detects the
/// violation; `None` violates no assumption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ViolatedAssumption {
    None,
    /// The second source becomes a leader of the same term as the first.
    OneLeaderPerTerm,
}

#[derive(Debug, Clone, Copy)]
struct ReplicationModel {
    violated: ViolatedAssumption,
    /// The maximum number of changes by each source.
    max_changes: u64,
    /// The maximum number of updates in transit to each replica.
    max_in_transit: usize,
}

/// The number of session proxies, which are the first replicas by index.
const PROXIES: usize = 2;
/// The index of the sender, which is the last replica.
const SENDER: usize = 2;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// The first source is the leader at the beginning, and the second one after its election.
    sources: Vec<ShardMapSource>,
    /// The number of changes that each source has accepted.
    proposed: [u64; 2],
    replicas: Vec<ShardMapReplica>,
    /// The updates sent to each replica. Each may arrive at any time, several times or never.
    in_transit: Vec<Vec<Update>>,
    /// An earlier state of the second session proxy, to which it is restored at most once.
    backup: Option<ShardMapReplica>,
    is_restored: bool,
    /// The digests at each version that a source had; more than one if sources had different endpoints at one version.
    committed: BTreeMap<Version, BTreeSet<Digest>>,
    /// Whether the sender ever went back to an older version.
    went_backwards: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Action {
    /// A source (0, 1) accepts one of the changes of [`proposals`], by index.
    Propose(usize, usize),
    /// The second source becomes the leader.
    ElectSecondSource,
    /// A replica sends its requests to a source (0, 1) or a session proxy (2, 3).
    Sync(usize, usize),
    /// A replica receives one of the updates in transit to it, by index.
    Arrive(usize, usize),
    /// The state of the second session proxy is backed up.
    BackUp,
    /// The second session proxy is restored from the backup.
    Restore,
}

/// The possible changes, all to one destination: one endpoint is changed, and a second one is added and removed, so
/// that the same endpoints occur at different versions.
fn proposals() -> [Change; 3] {
    [put(1, "one", 81), put(1, "two", 80), remove(1, "two")]
}

impl State {
    fn sender_version(&self) -> Version {
        self.replicas[SENDER]
            .shard(ShardId(0))
            .expect("subscribed")
            .version()
    }

    fn send(&mut self, model: &ReplicationModel, to: usize, update: Update) {
        let in_transit = &mut self.in_transit[to];
        if !in_transit.contains(&update) && in_transit.len() < model.max_in_transit {
            in_transit.push(update);
            // sorted, so that states that differ only in the order of sending are equal
            in_transit.sort_by_key(fingerprint);
        }
    }

    fn record(&mut self, source: usize) {
        let shard = self.sources[source]
            .shard(ShardId(0))
            .expect("an existing shard");
        self.committed
            .entry(shard.version())
            .or_default()
            .insert(shard.digest());
    }

    fn respond(&self, from: usize, request: &SyncRequest) -> Vec<Update> {
        match from {
            0 | 1 => self.sources[from].respond(request).expect("valid"),
            proxy => self.replicas[proxy - 2].respond(request).expect("valid"),
        }
    }

    fn propose(&mut self, model: &ReplicationModel, source: usize, change: usize) -> Option<()> {
        let change = self.sources[source]
            .propose(proposals()[change].clone())
            .ok()?;
        self.proposed[source] += 1;
        self.record(source);
        // the first source sends to the first session proxy, and the second source to both
        self.send(model, source, Update::Change(change.clone()));
        self.send(model, 0, Update::Change(change));
        Some(())
    }

    /// Makes the second source the leader, with all changes of the first. The first source does not learn of the
    /// election and still accepts changes.
    fn elect_second_source(&mut self, model: &ReplicationModel) -> Option<()> {
        let mut next = self.sources[0].clone();
        if model.violated == ViolatedAssumption::OneLeaderPerTerm {
            self.proposed[1] = 0;
        } else {
            next.assume_leadership(LeaderTerm(2)).ok()?;
        }
        if self.sources[1] == next {
            return None;
        }
        self.sources[1] = next;
        self.record(1);
        Some(())
    }

    fn deliver(&mut self, model: &ReplicationModel, to: usize, index: usize) -> Option<()> {
        let version_before = self.sender_version();
        let update = self.in_transit[to][index].clone();
        let outcome = self.replicas[to].apply(update).ok()?;
        if to < PROXIES {
            for update in outcome.updates {
                self.send(model, SENDER, update);
            }
        }
        self.went_backwards |= self.sender_version() < version_before;
        Some(())
    }

    /// The source that is the leader of the newest term.
    fn leader(&self) -> &ShardMapSource {
        let [first, second] = &self.sources[..] else {
            unreachable!()
        };
        if second.term() > first.term() {
            second
        } else {
            first
        }
    }

    /// Whether all replicas equal the leader once each has sent its requests upstream and applied the responses.
    fn converges(&self) -> bool {
        let mut after = self.clone();
        let leader = usize::from(self.sources[1].term() > self.sources[0].term());
        for (replica, upstream) in [(0, leader), (1, leader), (SENDER, 2)] {
            let mut requests = after.replicas[replica].sync_requests();
            while let Some(request) = requests.pop() {
                for update in after.respond(upstream, &request) {
                    if let Ok(outcome) = after.replicas[replica].apply(update) {
                        requests.extend(outcome.requests);
                    }
                }
            }
        }
        let remote = self.leader().shard(ShardId(0)).expect("an existing shard");
        after.replicas.iter().all(|replica| {
            let local = replica.shard(ShardId(0)).expect("subscribed");
            local.endpoints() == remote.endpoints() && local.version() == remote.version()
        })
    }
}

fn fingerprint(update: &Update) -> u64 {
    let mut hasher = DefaultHasher::new();
    update.hash(&mut hasher);
    hasher.finish()
}

impl Model for ReplicationModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let mut first = empty_source(shard_count(1), 1);
        first.propose(put(1, "one", 80)).expect("valid");
        let mut second = first.clone();
        second.observe_term(LeaderTerm(u64::MAX));
        let mut replica = replica(shard_count(1));
        replica.subscribe([ShardId(0)]);
        for update in first.respond(&replica.sync_requests()[0]).expect("valid") {
            replica.apply(update).expect("the first change");
        }
        let mut state = State {
            sources: vec![first, second],
            proposed: [0, 0],
            replicas: vec![replica; PROXIES + 1],
            in_transit: vec![Vec::new(); PROXIES + 1],
            backup: None,
            is_restored: false,
            committed: BTreeMap::new(),
            went_backwards: false,
        };
        state.record(0);
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        for source in 0..2 {
            if state.proposed[source] < self.max_changes {
                actions
                    .extend((0..proposals().len()).map(|change| Action::Propose(source, change)));
            }
        }
        if state.sources[1].term() == LeaderTerm(1) && state.proposed[1] == 0 {
            actions.push(Action::ElectSecondSource);
        }
        for proxy in 0..PROXIES {
            actions.extend((0..2).map(|source| Action::Sync(proxy, source)));
            actions.push(Action::Sync(SENDER, 2 + proxy));
        }
        for (to, updates) in state.in_transit.iter().enumerate() {
            actions.extend((0..updates.len()).map(|index| Action::Arrive(to, index)));
        }
        if state.backup.is_none() {
            actions.push(Action::BackUp);
        } else if !state.is_restored {
            actions.push(Action::Restore);
        }
    }

    fn next_state(&self, before: &State, action: Action) -> Option<State> {
        let mut state = before.clone();
        match action {
            Action::Propose(source, change) => state.propose(self, source, change)?,
            Action::ElectSecondSource => state.elect_second_source(self)?,
            Action::Sync(replica, from) => {
                for request in before.replicas[replica].sync_requests() {
                    for update in before.respond(from, &request) {
                        state.send(self, replica, update);
                    }
                }
            }
            Action::Arrive(to, index) => state.deliver(self, to, index)?,
            Action::BackUp => state.backup = Some(state.replicas[1].clone()),
            Action::Restore => {
                state.replicas[1] = state.backup.clone()?;
                state.is_restored = true;
            }
        }
        (state != *before).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "each state of a replica was a state of a source",
                |_, state: &State| {
                    state.replicas.iter().all(|replica| {
                        let shard = replica.shard(ShardId(0)).expect("subscribed");
                        state
                            .committed
                            .get(&shard.version())
                            .is_some_and(|digests| digests.contains(&shard.digest()))
                    })
                },
            ),
            Property::always("each version has only one state", |_, state: &State| {
                state.committed.values().all(|digests| digests.len() == 1)
            }),
            Property::always(
                "the sender never goes back to an older version",
                |_, state: &State| !state.went_backwards,
            ),
            Property::always(
                "all replicas converge after one round of requests",
                |_, state: &State| state.converges(),
            ),
            Property::sometimes("the sender reaches the second term", |_, state: &State| {
                state.sender_version()
                    > Version {
                        term: LeaderTerm(2),
                        number: 1,
                    }
            }),
            Property::sometimes(
                "the sender applies an uncommitted change",
                |model, state: &State| {
                    state.sources[1].term() == LeaderTerm(2)
                        && state.sender_version()
                            > Version {
                                term: LeaderTerm(1),
                                number: 1,
                            }
                        && state.sender_version().term == LeaderTerm(1)
                        && state.proposed[0] == model.max_changes
                },
            ),
        ]
    }
}

fn discoveries(model: ReplicationModel) -> BTreeSet<&'static str> {
    let checker = model
        .checker()
        .threads(2)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    println!("{model:?}: {} states", checker.unique_state_count());
    checker.discoveries().into_keys().collect()
}

/// The `sometimes` properties, for each of which the checker must find an example. If no property is violated, the
/// checker discovers only these.
const SOMETIMES_PROPERTIES: [&str; 2] = [
    "the sender reaches the second term",
    "the sender applies an uncommitted change",
];

#[test]
fn replicas_are_correct_and_converge_in_every_order_of_events() {
    let model = ReplicationModel {
        violated: ViolatedAssumption::None,
        max_changes: 1,
        max_in_transit: 2,
    };
    assert_eq!(discoveries(model), SOMETIMES_PROPERTIES.into());
}

#[test]
fn model_detects_two_leaders_of_one_term() {
    let discoveries = discoveries(ReplicationModel {
        violated: ViolatedAssumption::OneLeaderPerTerm,
        max_changes: 1,
        max_in_transit: 2,
    });
    assert!(
        discoveries.contains("each version has only one state"),
        "{discoveries:?}"
    );
}
