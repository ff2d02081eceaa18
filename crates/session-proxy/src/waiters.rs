//! Requests of members that wait for the response to a batch.

use milletturn_coordination::WaiterId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The waiting requests by their IDs, with the channels through which each gets its outcome.
#[derive(Debug)]
pub(crate) struct Waiters<T> {
    next: Cell<WaiterId>,
    channels: RefCell<BTreeMap<WaiterId, oneshot::Sender<T>>>,
}

impl<T> Default for Waiters<T> {
    fn default() -> Self {
        Self {
            next: Cell::default(),
            channels: RefCell::default(),
        }
    }
}

impl<T> Waiters<T> {
    /// Returns an ID that no earlier request had.
    pub(crate) fn next_id(&self) -> WaiterId {
        let id = self.next.get();
        self.next.set(id.next());
        id
    }

    /// Registers a waiting request, and returns the channel on which its outcome arrives.
    pub(crate) fn add(&self, id: WaiterId) -> oneshot::Receiver<T> {
        let (sender, receiver) = oneshot::channel();
        self.channels.borrow_mut().insert(id, sender);
        receiver
    }

    /// Removes a request if it still waits.
    pub(crate) fn remove(&self, id: WaiterId) {
        self.channels.borrow_mut().remove(&id);
    }

    /// Sends waiting requests their outcomes. A member that has just disconnected misses the outcome and sends its
    /// request again.
    pub(crate) fn complete(&self, outcomes: impl IntoIterator<Item = (WaiterId, T)>) {
        for (id, outcome) in outcomes {
            if let Some(channel) = self.channels.borrow_mut().remove(&id) {
                let _ = channel.send(outcome);
            }
        }
    }
}
