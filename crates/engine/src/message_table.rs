//! The engine's unfinished messages, by number and by the id that their client gave them.

use crate::message::Message;
use crate::shared_str::SharedStr;
use milletturn_policy::MessageId;
use std::collections::{BTreeMap, HashMap, HashSet};

/// The table of unfinished messages.
///
/// A message stays in the table until the message and all its attempts have ended. Lookup by the client's id finds
/// only open messages.
#[derive(Default)]
pub(crate) struct MessageTable {
    messages: BTreeMap<MessageId, Message>,
    open_by_id: HashMap<SharedStr, MessageId>,
    open_count: usize,
    next_number: u64,
}

impl MessageTable {
    /// An empty table whose first new message gets `next_number`.
    pub(crate) fn new(next_number: u64) -> Self {
        MessageTable {
            next_number,
            ..MessageTable::default()
        }
    }

    /// The number that the next new message will get.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Sets the number that the next new message will get.
    pub(crate) fn set_next_number(&mut self, next_number: u64) {
        self.next_number = next_number;
    }

    /// Ensures that new messages get numbers greater than `number`.
    pub(crate) fn advance_past(&mut self, number: u64) {
        self.next_number = self.next_number.max(number + 1);
    }

    /// Allocates a number for a new message.
    pub(crate) fn allocate(&mut self) -> MessageId {
        let message_id = MessageId(self.next_number);
        self.next_number += 1;
        message_id
    }

    /// Adds a message without an entry for its client's id, so that lookups by id don't find the message.
    pub(crate) fn insert(&mut self, message_id: MessageId, message: Message) {
        self.open_count += usize::from(message.open);
        self.messages.insert(message_id, message);
    }

    /// Adds an open message that can be looked up by its client's id.
    pub(crate) fn insert_with_id(&mut self, message_id: MessageId, message: Message) {
        self.open_by_id.insert(message.item.id.clone(), message_id);
        self.insert(message_id, message);
    }

    /// Whether the table holds the message, open or not.
    pub(crate) fn contains(&self, message_id: MessageId) -> bool {
        self.messages.contains_key(&message_id)
    }

    /// The open message with this client id.
    pub(crate) fn find(&self, id: &SharedStr) -> Option<MessageId> {
        self.open_by_id.get(id).copied()
    }

    /// The message, whether open or not.
    pub(crate) fn get(&self, message_id: MessageId) -> Option<&Message> {
        self.messages.get(&message_id)
    }

    /// A mutable reference to the message, whether open or not.
    pub(crate) fn get_mut(&mut self, message_id: MessageId) -> Option<&mut Message> {
        self.messages.get_mut(&message_id)
    }

    /// The message, if it is open.
    pub(crate) fn get_open(&self, message_id: MessageId) -> Option<&Message> {
        self.get(message_id).filter(|message| message.open)
    }

    /// A mutable reference to the message, if it is open.
    pub(crate) fn get_open_mut(&mut self, message_id: MessageId) -> Option<&mut Message> {
        self.get_mut(message_id).filter(|message| message.open)
    }

    /// Marks an open message as ended; returns `false` if the message is not open.
    pub(crate) fn close(&mut self, message_id: MessageId) -> bool {
        let Some(message) = self
            .messages
            .get_mut(&message_id)
            .filter(|message| message.open)
        else {
            return false;
        };
        message.open = false;
        self.open_count -= 1;
        if self.open_by_id.get(&message.item.id) == Some(&message_id) {
            self.open_by_id.remove(&message.item.id);
        }
        true
    }

    /// Removes and returns the message if it has ended and none of its attempts is in flight.
    pub(crate) fn take_finished(&mut self, message_id: MessageId) -> Option<Message> {
        self.get(message_id)
            .is_some_and(Message::is_finished)
            .then(|| self.messages.remove(&message_id))
            .flatten()
    }

    /// How many messages are open.
    pub(crate) fn open_count(&self) -> usize {
        self.open_count
    }

    /// How many open messages were redriven from the dead-letter store.
    pub(crate) fn open_redrives(&self) -> usize {
        self.messages
            .values()
            .filter(|message| message.redriven && message.open)
            .count()
    }

    /// The positions of the classes of all messages in the table.
    pub(crate) fn classes_in_use(&self) -> HashSet<usize> {
        self.messages
            .values()
            .map(|message| message.class)
            .collect()
    }

    /// All messages with their numbers, in ascending order of the numbers.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (MessageId, &Message)> {
        self.messages
            .iter()
            .map(|(&message_id, message)| (message_id, message))
    }
}
