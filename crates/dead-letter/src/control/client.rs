//! The client of the control socket, which operators' commands use.

use super::messages::{Request, Response};
use super::{IO_TIMEOUT, SOCKET_NAME};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Maximum size of a response line, in bytes. A server of this version sends less: a body of 64 KiB in base64, and the
/// message's history.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// Why a command got no complete answer.
#[derive(Debug, Error)]
pub enum ControlError {
    /// No sender listens on the socket in the state folder.
    #[error("no sender answers at {path}: {source}", path = path.display())]
    NotRunning {
        /// Path of the socket.
        path: PathBuf,
        /// The system's error for the failed connection.
        source: io::Error,
    },
    /// The connection failed or ended early.
    #[error("the sender's response ended early: {0}")]
    Io(#[from] io::Error),
    /// A response is not valid JSON of the protocol.
    #[error("the sender's response can't be parsed: {0}")]
    Json(#[from] serde_json::Error),
}

/// Sends a request to the sender that runs with this state folder. Calls `receive` with each response, the last one
/// included.
///
/// # Errors
/// When no sender runs, or its answer ends early or can't be parsed.
pub fn send_request(
    folder: &Path,
    request: &Request,
    mut receive: impl FnMut(Response),
) -> Result<(), ControlError> {
    let path = folder.join(SOCKET_NAME);
    let mut stream =
        UnixStream::connect(&path).map_err(|source| ControlError::NotRunning { path, source })?;
    stream.set_read_timeout(Some(3 * IO_TIMEOUT))?;
    stream.write_all(format!("{}\n", serde_json::to_string(request)?).as_bytes())?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut text = Vec::new();
        reader
            .by_ref()
            .take(MAX_RESPONSE_BYTES)
            .read_until(b'\n', &mut text)?;
        if !text.ends_with(b"\n") {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        let response: Response = serde_json::from_slice(&text)?;
        let last = response.is_last();
        receive(response);
        if last {
            return Ok(());
        }
    }
}
