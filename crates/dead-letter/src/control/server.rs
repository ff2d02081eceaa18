//! The server of the control socket: listens, and serves connections within limits.

use super::commands::{CommandError, execute};
use super::messages::Response;
use super::{IO_TIMEOUT, SOCKET_NAME};
use crate::job::Job;
use milletturn_logging::log;
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::OwnedWriteHalf;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Maximum number of concurrent connections, each of which takes a file descriptor.
const MAX_CONNECTIONS: usize = 4;
/// Maximum size of a request, in bytes. A request may list message numbers, and 64 KiB hold some thousands of them.
const MAX_REQUEST_BYTES: u64 = 64 * 1024;
/// Backoff after a connection could not be accepted, before the next attempt.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Listens on the socket in the folder, and replaces a socket that an earlier process left. The socket file gets its
/// final name after its permissions are set, so that no other user can connect in between.
///
/// # Errors
/// When the socket can't be created.
pub fn listen(folder: &Path) -> io::Result<UnixListener> {
    let temporary_path = folder.join(format!("{SOCKET_NAME}.new"));
    match std::fs::remove_file(&temporary_path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(&temporary_path)?;
    std::fs::set_permissions(&temporary_path, std::fs::Permissions::from_mode(0o600))?;
    std::fs::rename(&temporary_path, folder.join(SOCKET_NAME))?;
    Ok(listener)
}

/// Serves commands until the future is dropped, which also closes their connections.
pub async fn serve(listener: UnixListener, jobs: SyncSender<Job>) {
    let limit = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        // the permit is acquired before accepting, so that further connections wait in the socket's backlog
        let Ok(permit) = limit.clone().acquire_owned().await else {
            return;
        };
        while connections.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log(format_args!(
                    "undelivered: can't accept a connection on the control socket: {error}"
                ));
                sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let jobs = jobs.clone();
        connections.spawn_local(async move {
            // an error means that the client closed the connection early or timed out, which needs no log line
            let _ = serve_connection(stream, &jobs).await;
            drop(permit);
        });
    }
}

/// Reads one request and writes the answer.
async fn serve_connection(stream: UnixStream, jobs: &SyncSender<Job>) -> io::Result<()> {
    let (read, write) = stream.into_split();
    let mut request = String::new();
    let mut reader = BufReader::new(read.take(MAX_REQUEST_BYTES));
    timeout(IO_TIMEOUT, reader.read_line(&mut request))
        .await
        .map_err(|_| io::ErrorKind::TimedOut)??;
    let mut responses = ResponseWriter {
        write,
        count: 0,
        rejected: 0,
    };
    let last = match serde_json::from_str(&request) {
        Ok(request) => match execute(request, jobs, &mut responses).await {
            Ok(()) => Response::End {
                count: responses.count,
                rejected: responses.rejected,
            },
            Err(CommandError::Store(error)) => Response::Error(error.to_string()),
            Err(CommandError::Connection(error)) => return Err(error),
        },
        Err(error) => Response::Error(format!("the request can't be read: {error}")),
    };
    responses.write(&last).await
}

/// Writes the answer to one request, one line for each [`Response`], and counts the messages in it.
pub(super) struct ResponseWriter {
    write: OwnedWriteHalf,
    /// Number of messages in the answer so far.
    pub(super) count: usize,
    /// Number of messages in the answer that were not redriven or resolved.
    pub(super) rejected: usize,
}

impl ResponseWriter {
    pub(super) async fn write(&mut self, response: &Response) -> io::Result<()> {
        let text = serde_json::to_string(response).map_err(io::Error::other)?;
        let bytes = format!("{text}\n").into_bytes();
        timeout(IO_TIMEOUT, self.write.write_all(&bytes))
            .await
            .map_err(|_| io::ErrorKind::TimedOut)?
    }
}
