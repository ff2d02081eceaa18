//! The ids of recently ended messages. A client whose connection closed before it received the reply may submit its
//! message again, and is then told how the message ended.

use crate::shared_str::SharedStr;
use std::collections::{HashSet, VecDeque};

/// How many ids are remembered. At 120 messages per second these are the ids of the last 34 seconds, longer than any
/// client waits before it resubmits.
const MAX_REMEMBERED: usize = 4096;

/// The ids of the messages that were added last, at most [`MAX_REMEMBERED`].
#[derive(Debug, Default)]
pub(crate) struct RecentIds {
    order: VecDeque<SharedStr>,
    ids: HashSet<SharedStr>,
}

impl RecentIds {
    /// Adds an id, and removes the oldest one beyond [`MAX_REMEMBERED`]. An id that is already present keeps its
    /// place in the order.
    pub(crate) fn push(&mut self, id: SharedStr) {
        if !self.ids.insert(id.clone()) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// Whether the id is remembered.
    pub(crate) fn contains(&self, id: &SharedStr) -> bool {
        self.ids.contains(id)
    }

    /// The remembered ids, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &SharedStr> {
        self.order.iter()
    }
}

#[cfg(test)]
mod tests;
