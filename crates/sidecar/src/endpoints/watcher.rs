//! Polls an endpoints file and sends each new endpoint list to the engine.

use super::read;
use milletturn_engine::{EndpointListUpdate, Input, ListedEndpoint};
use milletturn_logging::log;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// How often the file's metadata is read. A change must reach the engine within 1 s.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The metadata by which a change of the file is detected.
#[derive(PartialEq, Eq)]
struct FileFingerprint {
    size_bytes: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    inode: u64,
}

impl FileFingerprint {
    /// The fingerprint of a file; `None` if its metadata can't be read.
    fn of(path: &Path) -> Option<Self> {
        let metadata = std::fs::metadata(path).ok()?;
        Some(FileFingerprint {
            size_bytes: metadata.len(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            inode: metadata.ino(),
        })
    }
}

/// Polls an endpoints file. Sends the engine each new list that can be read, preceded by the `fixed` endpoints, and
/// returns when a list can't be sent because the engine has stopped. A file that can't be read or is invalid is logged
/// once, and the engine keeps the last valid list. A file that changes while it is read is read again.
pub async fn watch(
    path: PathBuf,
    fixed: Vec<ListedEndpoint>,
    inputs: mpsc::UnboundedSender<Input>,
) {
    let mut last_fingerprint = None;
    let mut version = 1;
    let mut last_error = String::new();
    loop {
        sleep(POLL_INTERVAL).await;
        let fingerprint = FileFingerprint::of(&path);
        if fingerprint == last_fingerprint {
            continue;
        }
        let list = read(&path);
        if FileFingerprint::of(&path) != fingerprint {
            continue;
        }
        last_fingerprint = fingerprint;
        match list {
            Ok(listed) => {
                version += 1;
                last_error.clear();
                log(format_args!(
                    "endpoints: {} from {}",
                    listed.len(),
                    path.display()
                ));
                let update = EndpointListUpdate {
                    version,
                    full: true,
                    endpoints: fixed.iter().cloned().chain(listed).collect(),
                };
                if inputs.send(Input::EndpointsListed(update)).is_err() {
                    return;
                }
            }
            Err(error) => {
                let error = error.to_string();
                if error != last_error {
                    log(format_args!("endpoints: nothing changed: {error}"));
                    last_error = error;
                }
            }
        }
    }
}
