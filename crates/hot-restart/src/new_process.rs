//! The new process: acquires the state folder, either when no other process owns it or by taking over from the owner.

use crate::bridge::Bridge;
use crate::descriptors::{hello, receive_descriptors};
use crate::frames::{
    Decision, MAX_FRAME_BYTES, MAX_OFFER_BYTES, Offer, TakeoverConfirmed, read_frame, write_frame,
};
use crate::old_process::SOCKET_NAME;
use crate::{FORMAT_VERSION, HotRestartError};
use milletturn_engine::Snapshot;
use milletturn_logging::log;
use std::fs::{File, OpenOptions, TryLockError};
use std::net::TcpListener;
use std::path::Path;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::UnixStream;
use tokio::time::{sleep, timeout};

/// Name of the file in the state folder that the owner of the folder keeps locked. The file is always empty.
const LOCK_NAME: &str = "lock";
/// Maximum wait for each response of the old process. A response is normally quick, because the old process only has to
/// wait until its engine has finished the current iteration of its loop.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts to acquire the folder.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// How this process acquired its state folder.
pub enum FolderOwnership {
    /// No other process uses the folder.
    Exclusive {
        /// The lock of the folder, held by this process.
        lock: File,
        /// The listening socket for clients, inherited from a process that could not be taken over and was told to
        /// exit. `None` if there was no such process.
        listener: Option<TcpListener>,
    },
    /// Another process still runs and has given its state to this one.
    Takeover(Box<Takeover>),
}

/// The state and resources that the old process has given to this one.
pub struct Takeover {
    /// The state of the old process's engine.
    pub snapshot: Snapshot,
    /// The listening socket for clients.
    pub listener: TcpListener,
    /// The folder's lock, shared with the old process.
    pub lock: File,
    /// Client connections of the old process: they count against this process's limit until the old one exits.
    pub client_connections: usize,
    /// Calls that the old process has in flight: they count against this process's limit until the old one exits.
    pub calls_in_flight: usize,
    /// True if operators are draining the old process.
    pub is_drained: bool,
    /// Receives the messages from the old process's clients, and the ends of its calls.
    pub bridge: Bridge,
}

/// Waits until this process owns the state folder, either alone or by taking over from a running process. The running
/// process may be of any version. While another process owns the folder and can't be taken over, this function waits.
///
/// # Errors
/// When the folder can't be created, or its lock file can't be opened or locked.
pub async fn acquire_folder(folder: &Path) -> std::io::Result<FolderOwnership> {
    let lock = open_lock(folder)?;
    let (mut listener, mut last_logged) = (None, String::new());
    loop {
        if try_lock(&lock)? {
            return Ok(FolderOwnership::Exclusive { lock, listener });
        }
        match try_take_over(folder, &mut listener).await {
            Ok(takeover) => return Ok(FolderOwnership::Takeover(Box::new(takeover))),
            Err(error) => {
                let error = error.to_string();
                if error != last_logged {
                    log(format_args!(
                        "hot restart: another process owns {}: {error}",
                        folder.display()
                    ));
                    last_logged = error;
                }
            }
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Waits until no other process owns the state folder, and returns its lock. Does not take over from a running process:
/// this is for a process whose state can't be passed on in a hot restart.
///
/// # Errors
/// When the folder can't be created, or its lock file can't be opened or locked.
pub async fn acquire_folder_exclusively(folder: &Path) -> std::io::Result<File> {
    let lock = open_lock(folder)?;
    let mut is_logged = false;
    while !try_lock(&lock)? {
        if !is_logged {
            log(format_args!(
                "another process owns {}: waiting for its end",
                folder.display()
            ));
            is_logged = true;
        }
        sleep(RETRY_INTERVAL).await;
    }
    Ok(lock)
}

/// Opens the lock file of a folder. Creates the folder and the file if they don't exist.
fn open_lock(folder: &Path) -> std::io::Result<File> {
    std::fs::create_dir_all(folder)?;
    OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(false)
        .open(folder.join(LOCK_NAME))
}

/// Locks the file; false if another process holds the lock.
fn try_lock(lock: &File) -> std::io::Result<bool> {
    match lock.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(error),
    }
}

/// Requests a takeover from the old process once. If the old process is told to exit, its listening socket is stored in
/// `listener`.
async fn try_take_over(
    folder: &Path,
    listener: &mut Option<TcpListener>,
) -> Result<Takeover, HotRestartError> {
    let mut stream = UnixStream::connect(folder.join(SOCKET_NAME)).await?;
    stream.write_all(&hello()).await?;
    let (version, [inherited, lock]) = with_timeout(receive_descriptors(&stream)).await?;
    let inherited = TcpListener::from(inherited);
    let (offer, snapshot) = match read_offer(&mut stream, version).await {
        Ok(found) => found,
        Err(
            error @ (HotRestartError::Protocol(_)
            | HotRestartError::Decode(_)
            | HotRestartError::FrameTooLong(_)),
        ) => {
            // Unlike the offer, the journal can be read by any version, so this process recovers from the journal as
            // after a restart. Until then, client connections wait in the inherited socket's queue instead of being
            // refused.
            write_frame(&mut stream, &Decision::Exit).await?;
            *listener = Some(inherited);
            return Err(error);
        }
        Err(error) => return Err(error),
    };
    write_frame(&mut stream, &Decision::Commit).await?;
    // The old process confirms the commit after it has released its engine. A closed connection is taken to mean that
    // the old process has ended. In both cases this process may use the state.
    match with_timeout(read_frame(&mut stream, MAX_FRAME_BYTES)).await {
        Ok(TakeoverConfirmed) => {}
        Err(HotRestartError::Socket(error)) => {
            log(format_args!(
                "hot restart: the old process ended before it confirmed the takeover: {error}"
            ));
        }
        Err(error) => return Err(error),
    }
    Ok(Takeover {
        snapshot,
        listener: inherited,
        lock: File::from(lock),
        client_connections: offer.client_connections,
        calls_in_flight: offer.calls_in_flight,
        is_drained: offer.is_drained,
        bridge: Bridge::new(stream),
    })
}

/// Reads the offer, and decodes the snapshot in it.
async fn read_offer(
    stream: &mut UnixStream,
    version: u32,
) -> Result<(Offer, Snapshot), HotRestartError> {
    if version != FORMAT_VERSION {
        return Err(HotRestartError::Protocol("another format version"));
    }
    let offer: Offer = with_timeout(read_frame(stream, MAX_OFFER_BYTES)).await?;
    let snapshot = Snapshot::decode(&offer.snapshot)?;
    Ok((offer, snapshot))
}

/// Waits for a response of the old process for [`REPLY_TIMEOUT`] at most.
async fn with_timeout<T>(
    step: impl Future<Output = Result<T, HotRestartError>>,
) -> Result<T, HotRestartError> {
    timeout(REPLY_TIMEOUT, step)
        .await
        .map_err(|_| HotRestartError::Timeout(REPLY_TIMEOUT))?
}
