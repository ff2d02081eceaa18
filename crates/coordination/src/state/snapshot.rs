//! The serialized form of the state, as written to snapshots and backups. The serialized names must not change.

use super::history::EventHistory;
use super::resources::ResourceTable;
use super::sessions::SessionTable;
use super::{CoordinationState, Event, FencingToken, Micros, Resource, Session, SessionId};
use serde::{Deserialize, Serialize, Serializer};
use std::collections::{BTreeMap, VecDeque};

/// The form in which a snapshot is read. [`SnapshotRef`] must have the same serialized fields.
#[derive(Deserialize)]
pub(super) struct Snapshot {
    sessions: BTreeMap<SessionId, Session>,
    last_session: SessionId,
    #[serde(rename = "works")]
    resources: BTreeMap<String, Resource>,
    #[serde(rename = "floor")]
    minimum_token: FencingToken,
    history: VecDeque<Event>,
    #[serde(rename = "events")]
    last_event: u64,
    generation: u64,
    #[serde(rename = "resting")]
    restore_grace: Option<Micros>,
    /// Absent in snapshots written by versions without batches.
    #[serde(default, rename = "several")]
    batching_enabled: bool,
}

/// The form in which a snapshot is written. It borrows the state instead of copying it. The fields are written in this
/// order.
#[derive(Serialize)]
struct SnapshotRef<'a> {
    sessions: &'a BTreeMap<SessionId, Session>,
    last_session: SessionId,
    #[serde(rename = "works")]
    resources: &'a BTreeMap<String, Resource>,
    #[serde(rename = "floor")]
    minimum_token: FencingToken,
    history: &'a VecDeque<Event>,
    #[serde(rename = "events")]
    last_event: u64,
    generation: u64,
    #[serde(rename = "resting")]
    restore_grace: Option<Micros>,
    #[serde(rename = "several")]
    batching_enabled: bool,
}

impl From<Snapshot> for CoordinationState {
    fn from(snapshot: Snapshot) -> Self {
        Self {
            sessions: SessionTable::new(snapshot.sessions, snapshot.last_session),
            resources: ResourceTable::new(snapshot.resources, snapshot.minimum_token),
            history: EventHistory::new(snapshot.history, snapshot.last_event),
            generation: snapshot.generation,
            restore_grace: snapshot.restore_grace,
            batching_enabled: snapshot.batching_enabled,
        }
    }
}

impl Serialize for CoordinationState {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let snapshot = SnapshotRef {
            sessions: self.sessions.all(),
            last_session: self.sessions.last(),
            resources: self.resources.all(),
            minimum_token: self.resources.minimum_token(),
            history: self.history.all(),
            last_event: self.history.last(),
            generation: self.generation,
            restore_grace: self.restore_grace,
            batching_enabled: self.batching_enabled,
        };
        snapshot.serialize(serializer)
    }
}
