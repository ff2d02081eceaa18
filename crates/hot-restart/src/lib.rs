//! Hot restart: a new process takes over a running one's sockets and state under load, and no rule pauses meanwhile.
//!
//! There is one engine at any time. The new process connects to a socket in the state folder. The old one stops its
//! engine between two turns and offers the engine's snapshot, the socket where clients connect, and the lock of the
//! state folder. Once the new process has committed, the old one has no engine any more: it forwards what its
//! connected clients and its calls in flight bring, until they have ended or it is told to end. Envoy's hot restart
//! drains its old process in the same way. See `docs/design/hot-restart.md`.
//!
//! ```text
//! new process                          old process
//!     ---- hello, format version ------->   the engine pauses
//!     <--- descriptors, offer -----------
//!     ---- commit ---------------------->   the engine is released, the journal closed
//!     <--- takeover confirmed -----------
//!     the engine goes on                    ... before `commit`, an error or 2 s of silence: it goes on here
//!     <--- arrivals, ends of attempts ---
//!     ---- outcomes, cancels ----------->
//! ```
//!
//! [`new_process`] asks and takes over, [`old_process`] is asked and offers, [`forwarding`] is what the old process
//! does after that, [`bridge`] hears it in the new one.

pub mod bridge;
mod descriptors;
pub mod forwarding;
mod frames;
pub mod new_process;
pub mod old_process;

use std::time::Duration;
use thiserror::Error;

/// The version of snapshots and frames. It is raised with each change of any of their types: a test compares the
/// bytes of a known snapshot.
pub const FORMAT_VERSION: u32 = 7;

/// Why one process could not take over from the other.
#[derive(Debug, Error)]
pub enum HotRestartError {
    /// The socket failed or was closed.
    #[error("the other process: {0}")]
    Socket(#[from] std::io::Error),
    /// Nothing came within this time.
    #[error("the other process said nothing for {0:?}")]
    Timeout(Duration),
    /// What came is not what the protocol has at this step.
    #[error("the other process sent what can't be read: {0}")]
    Protocol(&'static str),
    /// The bytes don't decode.
    #[error("the other process sent what can't be read: {0}")]
    Decode(#[from] postcard::Error),
    /// A frame is longer than the limit; its length in bytes.
    #[error("the other process sent a frame of {0} bytes")]
    FrameTooLong(usize),
}
