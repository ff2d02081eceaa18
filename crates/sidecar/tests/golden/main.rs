//! Compatibility of a sidecar's external formats with recorded data: the outcome log's file, the endpoints file, the
//! plan from a configuration with all settings, and the HTTP responses to readers of outcomes. The tests fail when a
//! change to the code changes one of these formats.

mod callback;
mod endpoints_file;
mod outcome_file;
mod plan;
mod readers;

use milletturn_sidecar::outcome_log::OutcomeLog;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Size limit of the logs in these tests; none of them reaches it.
const MAX_BYTES: u64 = 1 << 20;

/// The path of a golden file.
fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Opens an outcome log from a copy of a golden file. Returns the temporary folder with the copy, and the log.
fn open_copy(name: &str) -> (TempDir, OutcomeLog) {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    std::fs::copy(golden(name), folder.path().join("outcomes")).expect("the golden file is copied");
    let log = OutcomeLog::open(folder.path(), MAX_BYTES).expect("the log opens");
    (folder, log)
}

/// Runs a future and the tasks that it spawns on this thread.
fn run_local<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    tokio::task::LocalSet::new().block_on(&runtime, future)
}
