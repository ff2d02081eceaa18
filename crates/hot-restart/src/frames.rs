//! The frames that the two processes exchange after the hello. Each frame is preceded by its length in four bytes,
//! little-endian.
//!
//! Frames are encoded by position (postcard): the order of fields and variants is the format.

#[cfg(test)]
mod tests;

use crate::HotRestartError;
use milletturn_engine::{ArrivalOutcome, MAX_BODY_BYTES};
use milletturn_policy::{Micros, Outcome};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum length of any frame other than an offer: a message body, plus 16 KiB for the other fields.
pub(crate) const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + 16 * 1024;
/// Maximum length of an offer. An offer contains the unfinished messages without their bodies, a few hundred bytes
/// each, so it can hold far more messages than are ever unfinished.
pub(crate) const MAX_OFFER_BYTES: usize = 16 << 20;

/// The state that the old process offers, sent after the hello with the descriptors.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Offer {
    /// The encoded [`milletturn_engine::Snapshot`].
    pub snapshot: Vec<u8>,
    /// Client connections of the old process, which count against the limit of the new one until they are closed.
    pub client_connections: usize,
    /// Calls that the old process has in flight, which count against the limit of the new one until they end.
    pub calls_in_flight: usize,
    /// True if operators are draining the old process.
    pub is_drained: bool,
}

/// The new process's reply to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Decision {
    /// The new process takes over.
    Commit,
    /// The new process can't read the offer. The old process must exit at once, as if it were killed, so that the new
    /// one can recover the state from the journal.
    Exit,
}

/// Sent by the old process after a commit: its engine is released, and the state now belongs to the new process.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct TakeoverConfirmed;

/// A message that a client submitted to the old process.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ForwardedArrival {
    /// Number of the client's request; [`ToOldProcess::Outcome`] refers to the request by this number.
    pub slot: u64,
    pub id: String,
    pub key: Option<String>,
    /// Position of the message's class in the class table of the engine that was offered.
    pub class: usize,
    pub subject: Option<String>,
    pub tenant: Option<String>,
    pub destination: u64,
    /// Microseconds from the submission to the deadline of the message.
    pub time_to_live: Micros,
    /// Microseconds from the submission to the sending of this frame.
    pub age_us: u64,
    pub resubmitted: bool,
    pub from_lost_sender: bool,
    pub body: Vec<u8>,
}

/// The end of the attempt for one message of a call that the old process had in flight.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ForwardedEnd {
    pub call: u64,
    /// Position of the message in the call.
    pub position: usize,
    pub outcome: Outcome,
    /// The message has ended and needs no further attempt.
    pub closed: bool,
    /// The endpoint's load report, in the order of the fields in the settings; empty if there was none.
    pub load_report: Vec<f64>,
}

/// A frame from the old process after the takeover, when it has no engine and only forwards inputs.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ToNewProcess {
    Arrived(ForwardedArrival),
    ClientDisconnected(String),
    Rejected { class: usize, destination: u64 },
    AttemptEnded(ForwardedEnd),
    RetryAfter { endpoint: u32, wait: Micros },
}

/// A frame from the new process after the takeover.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) enum ToOldProcess {
    Outcome { slot: u64, outcome: ArrivalOutcome },
    Cancel { call: u64, position: usize },
}

/// Writes the length and the encoded frame with a single `write_all`.
///
/// # Errors
/// When the frame can't be encoded, or the stream fails.
pub(crate) async fn write_frame<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    frame: &T,
) -> Result<(), HotRestartError> {
    let payload = postcard::to_allocvec(frame)?;
    let mut bytes = Vec::with_capacity(4 + payload.len());
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&payload);
    Ok(stream.write_all(&bytes).await?)
}

/// Reads a frame of at most `max_bytes`. Not cancel safe: dropping the future loses the bytes that were read so far.
///
/// # Errors
/// When the stream fails or ends early, when the frame is longer than `max_bytes`, or when it can't be decoded.
pub(crate) async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> Result<T, HotRestartError> {
    let length = stream.read_u32_le().await? as usize;
    if length > max_bytes {
        return Err(HotRestartError::FrameTooLong(length));
    }
    // the buffer grows with the received bytes; it is not allocated from the length, which may be wrong
    let mut payload = Vec::new();
    stream.take(length as u64).read_to_end(&mut payload).await?;
    if payload.len() < length {
        return Err(HotRestartError::Socket(
            std::io::ErrorKind::UnexpectedEof.into(),
        ));
    }
    Ok(postcard::from_bytes(&payload)?)
}
