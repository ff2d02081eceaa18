//! Code that the two batchers of a session proxy share: the slot for the single batch in flight, and the error for a
//! request that can't be queued.

use crate::bounds;

/// The request was not queued.
///
/// Either [`MAX_PROXY_WAITERS`](bounds::MAX_PROXY_WAITERS) requests already wait at this session proxy, and another one
/// may still accept the request. Or the request alone is longer than [`MAX_BATCH_BYTES`](bounds::MAX_BATCH_BYTES), and
/// every proxy rejects it.
#[derive(thiserror::Error)]
#[error(
    "{} calls wait here and no more can: another relay may have room",
    bounds::MAX_PROXY_WAITERS
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueFull;

/// Holds the batch in flight, of which there is at most one, and counts the batches sent.
///
/// An abandoned batch leaves the slot, so a response to it that arrives later is delivered to no caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct InFlightSlot<W> {
    batch: Option<InFlightBatch<W>>,
    batches_sent: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct InFlightBatch<W> {
    number: u64,
    waiters: W,
}

impl<W> Default for InFlightSlot<W> {
    fn default() -> Self {
        Self {
            batch: None,
            batches_sent: 0,
        }
    }
}

impl<W> InFlightSlot<W> {
    /// Whether a batch is in flight.
    pub(crate) fn is_taken(&self) -> bool {
        self.batch.is_some()
    }

    /// Occupies the slot with the next batch and the callers that wait for its response. Returns the batch's number;
    /// the first batch has number 1.
    pub(crate) fn send(&mut self, waiters: W) -> u64 {
        self.batches_sent += 1;
        self.batch = Some(InFlightBatch {
            number: self.batches_sent,
            waiters,
        });
        self.batches_sent
    }

    /// The callers that wait for the batch in flight; `None` if no batch is in flight.
    pub(crate) fn waiters_mut(&mut self) -> Option<&mut W> {
        self.batch.as_mut().map(|batch| &mut batch.waiters)
    }

    /// Frees the slot and returns the waiting callers, if the batch with this number is in flight. Otherwise changes
    /// nothing and returns `None`.
    pub(crate) fn finish(&mut self, number: u64) -> Option<W> {
        let batch = self.batch.take_if(|batch| batch.number == number)?;
        Some(batch.waiters)
    }

    pub(crate) fn batches_sent(&self) -> u64 {
        self.batches_sent
    }
}
