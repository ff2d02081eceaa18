//! Hot restart: a new process takes over the sockets and the state of a running one under load. All limits and delivery
//! rules stay in force during the takeover.
//!
//! Only one engine runs at any time. The new process connects to a Unix socket in the state folder. The old process
//! stops its engine between two iterations of its loop and offers a snapshot of the engine, the listening socket for
//! clients, and the lock of the state folder. After the new process has committed, the old one releases its engine. It
//! then forwards messages from its connected clients and the ends of its calls in flight to the new process, until its
//! connections and calls have ended or it is shut down. Envoy's hot restart drains its old process in the same way. See
//! `docs/design/hot-restart.md`.
//!
//! ```text
//! new process                          old process
//!     ---- hello, format version ------->   the engine is paused
//!     <--- descriptors, offer -----------
//!     ---- commit ---------------------->   the engine is released, the journal closed
//!     <--- takeover confirmed -----------
//!     the engine resumes here
//!     <--- arrivals, ends of attempts ---
//!     ---- outcomes, cancels ----------->
//! ```
//!
//! If an error or a timeout of 2 s occurs before `commit`, the engine resumes in the old process.
//!
//! [`new_process`] requests the takeover, and [`old_process`] accepts the request and makes the offer. After the
//! takeover, [`forwarding`] runs in the old process and [`bridge`] in the new one.

pub mod bridge;
mod descriptors;
pub mod forwarded_classes;
pub mod forwarding;
mod frames;
pub mod new_process;
pub mod old_process;

use std::time::Duration;
use thiserror::Error;

/// The version of the snapshot and frame formats. Raise it with each change to a type that either format contains. A
/// test compares the hash of a known snapshot, so that a change of the snapshot format does not go unnoticed.
pub const FORMAT_VERSION: u32 = 7;

/// An error in the communication between the old and the new process.
#[derive(Debug, Error)]
pub enum HotRestartError {
    /// The socket failed or was closed by the other process.
    #[error("connection to the other process failed: {0}")]
    Socket(#[from] std::io::Error),
    /// The other process sent nothing within this time.
    #[error("the other process did not respond within {0:?}")]
    Timeout(Duration),
    /// The other process sent something that the protocol does not allow at this step.
    #[error("unexpected data from the other process: {0}")]
    Protocol(&'static str),
    /// A frame or a snapshot can't be decoded or encoded.
    #[error("data exchanged with the other process can't be decoded or encoded: {0}")]
    Decode(#[from] postcard::Error),
    /// A frame is longer than the limit. The value is the length of the frame in bytes.
    #[error("the other process sent a frame of {0} bytes, which is above the limit")]
    FrameTooLong(usize),
}
