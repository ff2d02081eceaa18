//! Compatibility with files and texts that an earlier build wrote, which are stored beside this file. This build must
//! read each of them, and write the same columns and lines.
//!
//! - `store.db`: a store with a row in each state; `columns.txt`: its schema and every column of every row.
//! - `records.jsonl`: the record of each row, as commands print it.
//! - `verdicts.txt`: whether each message may be sent again.
//! - `control.txt`: requests on the control socket (`>`) and the response lines (`<`).
//! - `settings.toml`: every key of the settings.

mod columns;
mod control_socket;
mod settings;
mod store_file;
mod store_script;

use milletturn_dead_letter::config::Config;
use milletturn_dead_letter::redrive_service::RedriveService;
use milletturn_dead_letter::store::{DeadLetterStore, StoreLimits};
use milletturn_policy::{Effect, Micros, SECOND};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Time of the first steps that wrote `store.db`.
const NOW: Micros = 1_000_000 * SECOND;
/// Time of the requests in `control.txt` and of the decisions in `verdicts.txt`.
const COMMANDS_AT: Micros = NOW + 5 * SECOND;

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn golden_text(name: &str) -> String {
    std::fs::read_to_string(golden_path(name)).expect("a golden file")
}

/// Compares the text with a golden file line by line, so that a failure shows only the first line that differs.
fn assert_matches_golden(name: &str, actual: &str) {
    let wanted = golden_text(name);
    for (number, (wanted, actual)) in wanted.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, wanted, "{name}, line {}", number + 1);
    }
    assert_eq!(actual, wanted, "{name}");
}

fn effects() -> BTreeMap<String, Effect> {
    let window = 3600 * SECOND;
    let zone_only = false;
    BTreeMap::from([
        ("licence".to_string(), Effect::Keyed { window, zone_only }),
        ("order".to_string(), Effect::Unsafe),
        ("webhook".to_string(), Effect::Repeatable),
    ])
}

fn default_limits() -> StoreLimits {
    RedriveService::limits(&Config::default())
}

fn open_service(path: &Path, limits: StoreLimits) -> RedriveService {
    let store = DeadLetterStore::open(path, limits).expect("opened");
    RedriveService::new(store, &Config::default(), effects())
}

/// Copies the golden store to a folder where tests may write to it; returns the path of the copy.
fn copy_golden_store(folder: &Path) -> PathBuf {
    let path = folder.join("undelivered.db");
    std::fs::copy(golden_path("store.db"), &path).expect("copied");
    path
}
