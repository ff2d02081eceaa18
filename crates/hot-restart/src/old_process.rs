//! The old process: listens for one that wants to take over, and offers it the engine's state.

use crate::HotRestartError;
use crate::descriptors::{format_version_of, send_descriptors};
use crate::frames::{Decision, MAX_FRAME_BYTES, Offer, read_frame, write_frame};
use milletturn_engine::Engine;
use milletturn_logging::RateLimitedLog;
use milletturn_platform::DrainGate;
use std::fs::{self, Permissions};
use std::os::fd::BorrowedFd;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

/// The socket in the state folder.
pub(crate) const SOCKET_NAME: &str = "handover";
/// Longest time from the offer to the new process's decision. The engine is paused meanwhile; the new process only
/// reads and decodes, which takes milliseconds.
const OFFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the hello of a process that connects.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause after a connection that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A process that wants to take over, by its connection.
#[derive(Debug)]
pub struct TakeoverRequest(pub(crate) UnixStream);

/// Listens in the state folder for a process that wants to take over. A socket that an earlier process left there is
/// removed.
///
/// # Errors
/// When the folder allows no socket, or its path is longer than a socket's may be.
pub fn listen(folder: &Path) -> std::io::Result<UnixListener> {
    let path = folder.join(SOCKET_NAME);
    match fs::remove_file(&path) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(&path)?;
    fs::set_permissions(&path, Permissions::from_mode(0o600))?;
    Ok(listener)
}

/// Accepts processes that want to take over, one after the other, and passes them on. Ends once nobody receives them.
pub async fn accept_requests(listener: UnixListener, requests: mpsc::Sender<TakeoverRequest>) {
    let faults = RateLimitedLog::default();
    loop {
        match accept_request(&listener).await {
            Ok(request) => {
                if requests.send(request).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                faults.log(format_args!("hot restart: {error}"));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// The next process that connects and says hello, whatever its format version.
async fn accept_request(listener: &UnixListener) -> Result<TakeoverRequest, HotRestartError> {
    let (mut stream, _) = listener.accept().await?;
    let mut bytes = [0; 8];
    let read = timeout(HELLO_TIMEOUT, stream.read_exact(&mut bytes)).await;
    read.map_err(|_| HotRestartError::Timeout(HELLO_TIMEOUT))??;
    format_version_of(bytes).ok_or(HotRestartError::Protocol("no hello"))?;
    Ok(TakeoverRequest(stream))
}

/// What the new process inherits beside the engine's snapshot.
pub struct InheritedState<'a> {
    /// The socket where clients connect.
    pub listener: BorrowedFd<'a>,
    /// The lock of the state folder.
    pub lock: BorrowedFd<'a>,
    /// The old process's drain state and its connections from clients.
    pub gate: &'a DrainGate,
}

/// The new process's decision on an offer.
#[derive(Debug)]
pub enum OfferOutcome {
    /// It takes over: the engine must be released now, see [`crate::forwarding`].
    TakenOver(TakeoverRequest),
    /// It can't read the offer: this process must exit at once and leave the journal to it.
    MustExit,
}

/// Offers all state to the new process. The engine must not run meanwhile; on an error it goes on in this process.
///
/// # Errors
/// When the new process does not decide in time, or in a way that can't be read.
pub async fn offer_takeover(
    mut request: TakeoverRequest,
    engine: &Engine,
    inherited: &InheritedState<'_>,
) -> Result<OfferOutcome, HotRestartError> {
    let deadline = Instant::now() + OFFER_TIMEOUT;
    let offer = Offer {
        snapshot: engine.snapshot()?,
        client_connections: inherited.gate.open_connections(),
        calls_in_flight: engine.calls_in_flight(),
        is_drained: inherited.gate.is_drained(),
    };
    let exchange = async {
        send_descriptors(&request.0, [inherited.listener, inherited.lock]).await?;
        write_frame(&mut request.0, &offer).await?;
        read_frame::<Decision>(&mut request.0, MAX_FRAME_BYTES).await
    };
    let decision = timeout_at(deadline, exchange)
        .await
        .map_err(|_| HotRestartError::Timeout(OFFER_TIMEOUT))??;
    Ok(match decision {
        Decision::Commit => OfferOutcome::TakenOver(request),
        Decision::Exit => OfferOutcome::MustExit,
    })
}
