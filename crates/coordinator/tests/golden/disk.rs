//! Golden data of a coordinator's store, of a backup, and of a store restored from that backup.

use crate::support::{
    LEASE, assert_golden, commands, golden, golden_text, log_entries, log_id, snapshot_meta, state,
    stored_membership,
};
use milletturn_coordination::{CoordinationState, Micros};
use milletturn_coordination_protocol::messages::{BACKUP_FORMAT, Backup};
use milletturn_coordinator::service::{self, Restore};
use milletturn_coordinator::settings::Settings;
use milletturn_coordinator::state_machine::StateMachine;
use milletturn_coordinator::storage::{RaftStorage, ReplicaIdentity, StoredSnapshot};
use openraft::Vote;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::path::Path;
use tempfile::TempDir;

const FILE: &str = "steward.redb";
const GROUP: &str = "harbour";

/// The contents of a store as text: the names of its tables, then table, key and value of each row.
fn dump(file: &Path) -> String {
    let store = Database::open(file).expect("a store");
    let read = store.begin_read().expect("readable");
    let mut names: Vec<String> = read
        .list_tables()
        .expect("tables")
        .map(|table| table.name().to_string())
        .collect();
    names.sort();
    let mut text = format!("tables\t{}\n", names.join(", "));
    let mut push_row = |table: &str, key: String, value: &[u8]| {
        text.push_str(&format!(
            "{table}\t{key}\t{}\n",
            std::str::from_utf8(value).expect("text")
        ));
    };
    // a store that was bootstrapped but never opened has no log table yet
    if names.iter().any(|name| name == "log") {
        let log = read
            .open_table(TableDefinition::<u64, &[u8]>::new("log"))
            .expect("the log");
        for row in log.iter().expect("rows") {
            let (key, value) = row.expect("a row");
            push_row("log", key.value().to_string(), value.value());
        }
    }
    let values = read
        .open_table(TableDefinition::<&str, &[u8]>::new("one of each"))
        .expect("the table of single values");
    for row in values.iter().expect("rows") {
        let (key, value) = row.expect("a row");
        push_row("one of each", key.value().to_string(), value.value());
    }
    text
}

fn identity() -> ReplicaIdentity {
    ReplicaIdentity {
        group: GROUP.into(),
        id: 2,
        founding_replicas: vec![1, 2, 3],
        origin: "1-0badcafe".into(),
    }
}

fn initial_state() -> CoordinationState {
    state()
        .restored(1, Micros(2 * LEASE.0))
        .expect("a restored state")
}

fn snapshot() -> StoredSnapshot {
    StoredSnapshot {
        meta: snapshot_meta(4),
        state_json: serde_json::to_string(&state()).expect("text"),
    }
}

/// Creates a store with a value under every key and with log entries.
fn write_store(folder: &Path) {
    RaftStorage::bootstrap(folder, &identity(), &initial_state()).expect("bootstrapped");
    let storage = RaftStorage::open(folder, GROUP, 2).expect("opened");
    storage.save_vote(&Vote::new(4, 3)).expect("saved");
    storage
        .save_vote(&Vote::new_committed(5, 2))
        .expect("saved");
    storage.save_committed(Some(log_id(12))).expect("saved");
    storage.append(&log_entries(3)).expect("appended");
    storage.append(&log_entries(18)).expect("appended");
    storage.save_snapshot(&snapshot()).expect("saved");
    storage.purge(log_id(2)).expect("purged");
    storage.truncate(18).expect("truncated");
}

#[test]
fn every_value_of_a_golden_store_is_read() {
    let folder = TempDir::new().expect("a folder");
    std::fs::copy(golden(FILE), folder.path().join(FILE)).expect("copied");
    let storage = RaftStorage::open(folder.path(), GROUP, 2).expect("opened");
    assert_eq!(storage.identity().expect("read"), identity());
    assert_eq!(storage.initial_state().expect("read"), initial_state());
    assert_eq!(
        storage.vote().expect("read"),
        Some(Vote::new_committed(5, 2))
    );
    assert_eq!(storage.committed().expect("read"), Some(log_id(12)));
    assert_eq!(storage.last_purged().expect("read"), Some(log_id(2)));
    assert_eq!(storage.last_log_id().expect("read"), Some(log_id(17)));
    assert_eq!(storage.entries(..).expect("read"), log_entries(3));
    assert_eq!(storage.entries(4..6).expect("read"), log_entries(3)[1..3]);
    let StoredSnapshot { meta, state_json } =
        storage.snapshot().expect("read").expect("a snapshot");
    assert_eq!(
        (meta, &state_json),
        (snapshot_meta(4), &snapshot().state_json)
    );
    assert_eq!(
        serde_json::from_str::<CoordinationState>(&state_json).expect("a state"),
        state()
    );
    // the state machine starts with the snapshot's state
    let state_machine = StateMachine::open(storage).expect("opened");
    state_machine.read(|current| assert_eq!(current, &state()));
}

#[test]
fn a_store_is_written_as_in_the_golden_data() {
    let folder = TempDir::new().expect("a folder");
    write_store(folder.path());
    let file = folder.path().join(FILE);
    assert_golden("disk.txt", &dump(&file));
    // the golden database file has the same rows as the golden text
    let stored = folder.path().join("stored");
    std::fs::copy(golden(FILE), &stored).expect("copied");
    assert_golden("disk.txt", &dump(&stored));
}

#[test]
fn a_snapshot_is_stored_with_its_membership_under_one_key() {
    let stored = golden_text("disk.txt");
    let row = stored
        .lines()
        .find_map(|line| line.strip_prefix("one of each\tsnapshot\t"))
        .expect("a snapshot");
    let row: serde_json::Value = serde_json::from_str(row).expect("JSON");
    let membership = serde_json::to_value(stored_membership(0)).expect("JSON");
    assert_eq!(row["meta"]["last_membership"], membership);
    assert_eq!(row["meta"]["snapshot_id"], "5-4");
    assert_eq!(
        row["data"].as_str().map(str::len),
        Some(snapshot().state_json.len())
    );
}

fn settings(folder: &Path) -> Settings {
    let text = golden_text("steward.toml");
    Settings::parse(&folder.join("steward.toml"), &text).expect("valid settings")
}

#[test]
fn a_new_group_is_bootstrapped_as_in_the_golden_data() {
    let folder = TempDir::new().expect("a folder");
    let settings = settings(folder.path());
    let identity = service::bootstrap(&settings, None).expect("bootstrapped");
    assert_eq!(identity.origin, "new");
    assert_eq!((identity.group.as_str(), identity.id), (GROUP, 2));
    assert_golden("founded.txt", &dump(&settings.state_folder.join(FILE)));
}

#[test]
fn a_backup_is_written_read_and_restored_as_in_the_golden_data() {
    let backup = Backup {
        format: BACKUP_FORMAT,
        group: GROUP.into(),
        state: state(),
    };
    assert_golden(
        "backup.json",
        &serde_json::to_string(&backup).expect("text"),
    );
    let stored = golden_text("backup.json");
    let read: Backup = serde_json::from_str(&stored).expect("a backup");
    assert_eq!((read.format, read.group.as_str()), (1, GROUP));
    assert_eq!(read.state, state());
    assert!(read.state.batching_enabled());
    let folder = TempDir::new().expect("a folder");
    let settings = settings(folder.path());
    let identity = service::bootstrap(
        &settings,
        Some(Restore {
            backup: stored.as_bytes(),
            generation: 3,
        }),
    )
    .expect("bootstrapped");
    assert_eq!(identity.founding_replicas, [1, 2, 3]);
    assert_golden("restored.txt", &dump(&settings.state_folder.join(FILE)));
    // a backup from a version without command batches
    let older = stored.replace(",\"several\":true", "");
    assert_ne!(older, stored);
    let read: Backup = serde_json::from_str(&older).expect("a backup");
    assert!(!read.state.batching_enabled());
    assert_eq!(commands().len(), 13);
}
