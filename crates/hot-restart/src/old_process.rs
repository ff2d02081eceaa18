//! The old process: listens for takeover requests, and offers the engine's state to the new process.

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

/// Name of the Unix socket in the state folder where takeovers are requested.
pub(crate) const SOCKET_NAME: &str = "handover";
/// Maximum time from the offer to the new process's decision, during which the engine is paused. The new process only
/// has to read and decode the offer, which takes milliseconds.
const OFFER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum wait for the hello of a process that has connected.
const HELLO_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait after a failed connection before the next one is accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A request to take over: the connection of the process that sent it.
#[derive(Debug)]
pub struct TakeoverRequest(pub(crate) UnixStream);

/// Creates the Unix socket in the state folder where takeovers are requested, and listens on it. A socket left by an
/// earlier process is replaced.
///
/// # Errors
/// When no socket can be created in the folder, for example because the path is longer than allowed for a socket.
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

/// Accepts takeover requests one after the other and sends them to `requests`. Returns once the channel is closed.
pub async fn accept_requests(listener: UnixListener, requests: mpsc::Sender<TakeoverRequest>) {
    let fault_log = RateLimitedLog::default();
    loop {
        match accept_request(&listener).await {
            Ok(request) => {
                if requests.send(request).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                fault_log.log(format_args!(
                    "hot restart: takeover request failed: {error}"
                ));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits for the next process that connects, and reads its hello. Any format version is accepted, since it is the new
/// process that compares the versions.
async fn accept_request(listener: &UnixListener) -> Result<TakeoverRequest, HotRestartError> {
    let (mut stream, _) = listener.accept().await?;
    let mut bytes = [0; 8];
    let read = timeout(HELLO_TIMEOUT, stream.read_exact(&mut bytes)).await;
    read.map_err(|_| HotRestartError::Timeout(HELLO_TIMEOUT))??;
    format_version_of(bytes).ok_or(HotRestartError::Protocol("not a valid hello"))?;
    Ok(TakeoverRequest(stream))
}

/// What the new process inherits in addition to the engine's snapshot.
pub struct InheritedState<'a> {
    /// The listening socket for clients.
    pub listener: BorrowedFd<'a>,
    /// The lock of the state folder.
    pub lock: BorrowedFd<'a>,
    /// Holds the old process's drain state and the number of its client connections.
    pub gate: &'a DrainGate,
}

/// The new process's decision on an offer.
#[derive(Debug)]
pub enum OfferOutcome {
    /// The new process takes over. The engine must be released now, and the old process continues with
    /// [`crate::forwarding`].
    TakenOver(TakeoverRequest),
    /// The new process can't read the offer. This process must exit at once, so that the new one can use the journal.
    MustExit,
}

/// Offers the state of this process to the new one, and waits for the decision. The engine must not run until this
/// function returns; after an error, it must be resumed in this process.
///
/// # Errors
/// When the snapshot can't be encoded, or when no valid decision is received within 2 s.
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
        is_drained: inherited.gate.is_draining(),
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
