//! Snapshots: the state that a process passes to its replacement in a hot restart.
//!
//! A snapshot holds no message bodies: the new process reads these from the journal. Calls in flight stay with the
//! old process, which reports their ends to the new one. The new process represents them as [`ForeignCall`]s.
//!
//! The encoding is postcard's, which depends only on the order and types of fields and variants, not on their names:
//! that order is the snapshot's format. A snapshot carries no version of its format; the protocol that transfers a
//! snapshot must transfer the version too.

use crate::calls::{AttemptRef, OutstandingCall};
use crate::classes::ClassTable;
use crate::clock::Clock;
use crate::dead_letter_sink::EndReason;
use crate::endpoints::{EndpointTable, Route};
use crate::engine::Engine;
use crate::journal::{Ending, MessageEnd, Unfinished};
use crate::message::{Attempt, Message};
use crate::observer::EngineEvent;
use crate::ports::Ports;
use crate::shared_str::SharedStr;
use crate::transport::CallItem;
use bytes::Bytes;
use milletturn_policy::{EndpointId, MessageId, Micros, Outcome, Sender, SettingsError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::sync::mpsc;

/// The decoded state of another process's engine, from which [`Engine::restore`] builds a new one.
#[derive(Debug)]
pub struct Snapshot(StoredEngine<Sender>);

/// The contents of a snapshot. `S` is a reference to the decision module when a snapshot is encoded, and an owned
/// decision module when one is decoded.
#[derive(Debug, Serialize, Deserialize)]
struct StoredEngine<S> {
    now: Micros,
    decision_module: S,
    classes: ClassTable,
    zones: Vec<String>,
    kinds: Vec<String>,
    max_batch_size: Vec<usize>,
    max_open_messages: usize,
    max_attempts: usize,
    routes: Vec<StoredRoute>,
    last_endpoint: u32,
    messages: Vec<StoredMessage>,
    next_message: u64,
    calls: Vec<StoredCall>,
    next_call: u64,
    delivered: Vec<String>,
    alarm: Option<Micros>,
    ready: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredRoute {
    endpoint: EndpointId,
    uid: String,
    address: SocketAddr,
    max_batch_size: usize,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredMessage {
    number: u64,
    id: String,
    key: Option<String>,
    class: usize,
    destination: u64,
    ordering_key: Option<u64>,
    accepted_at: Micros,
    deadline: Micros,
    open: bool,
    clients: usize,
    /// The end of the message, if the journal records it: when the message ended, then `Some(after_ms)` for
    /// [`Ending::Returned`] and `None` for any other ending.
    end: Option<(Micros, Option<Option<u64>>)>,
    attempts: Vec<StoredAttempt>,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredAttempt {
    endpoint: EndpointId,
    uid: String,
    sent_at: Micros,
    call: u64,
    position: usize,
    in_flight: bool,
    outcome: Option<Outcome>,
    latency: Option<Micros>,
    may_have_run: bool,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredCall {
    call: u64,
    attempts: Vec<AttemptRef>,
    remaining: usize,
}

/// A call that another process has in flight.
#[derive(Debug)]
pub struct ForeignCall {
    /// The call's number.
    pub call: u64,
    /// How many messages the call carries.
    pub items: usize,
    /// Receives the positions in the call whose attempts are cancelled.
    pub cancels: mpsc::UnboundedReceiver<usize>,
}

/// An engine restored from a snapshot.
pub struct RestoredEngine {
    /// The engine, ready to run.
    pub engine: Engine,
    /// The calls of the old process whose ends must be reported to the engine by
    /// [`Input::AttemptEnded`](crate::Input::AttemptEnded).
    pub foreign_calls: Vec<ForeignCall>,
}

impl Snapshot {
    /// Decodes the bytes that [`Engine::snapshot`] returned.
    ///
    /// # Errors
    /// When the checksum is wrong, or the bytes are not a snapshot in this format.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let damaged = postcard::Error::DeserializeBadCrc;
        let (payload, checksum) = bytes.split_last_chunk::<4>().ok_or(damaged.clone())?;
        if crc32fast::hash(payload) != u32::from_le_bytes(*checksum) {
            return Err(damaged);
        }
        postcard::from_bytes(payload).map(Snapshot)
    }

    /// The names of the classes by their position in the class table of the engine that the snapshot was taken of.
    #[must_use]
    pub fn class_names(&self) -> &[String] {
        self.0.classes.names()
    }
}

impl Engine {
    /// Encodes the state that the next process needs, followed by a CRC-32 checksum.
    ///
    /// Must be called between two calls of [`Engine::run`], and only on an engine without a dead-letter store: a
    /// snapshot does not contain the messages that the dead-letter store has yet to store.
    ///
    /// # Errors
    /// When the state can't be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut bytes = postcard::to_allocvec(&StoredEngine {
            now: self.clock.now(),
            decision_module: &self.decision_module,
            classes: self.classes.clone(),
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
            max_batch_size: self.max_batch_size.clone(),
            max_open_messages: self.max_open_messages,
            max_attempts: self.max_attempts,
            routes: self.endpoints.all().map(stored_route).collect(),
            last_endpoint: self.endpoints.last_number(),
            messages: self.messages.iter().map(stored_message).collect(),
            next_message: self.messages.next_number(),
            calls: self.calls.iter().map(stored_call).collect(),
            next_call: self.next_call,
            delivered: self.delivered.iter().map(SharedStr::to_string).collect(),
            alarm: self.alarm,
            ready: *self.ready.borrow(),
        })?;
        let checksum = crc32fast::hash(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        Ok(bytes)
    }

    /// Drops the engine except for its calls in flight: returns, by call number, the channels that cancel attempts by
    /// their position in the call.
    #[must_use]
    pub fn into_cancel_senders(self) -> BTreeMap<u64, mpsc::UnboundedSender<usize>> {
        self.calls
            .into_iter()
            .map(|(number, call)| (number, call.cancellations))
            .collect()
    }

    /// How many calls are in flight.
    #[must_use]
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Restores the engine of another process. The settings, clock, cached endpoints, seed, zones, kinds and first
    /// message number in `ports` have no effect, because the snapshot contains the state that replaces them. The
    /// settings must be valid nevertheless.
    ///
    /// # Errors
    /// When the settings in `ports` are invalid.
    pub fn restore(
        Snapshot(stored): Snapshot,
        ports: Ports,
    ) -> Result<RestoredEngine, SettingsError> {
        let mut engine = Engine::assemble(ports)?;
        engine.clock = Clock::new(stored.now);
        engine.decision_module = stored.decision_module;
        engine.classes = stored.classes;
        engine.zones = stored.zones;
        engine.kinds = stored.kinds;
        engine.max_batch_size = stored.max_batch_size;
        engine.max_open_messages = stored.max_open_messages;
        engine.max_attempts = stored.max_attempts;
        engine.messages.set_next_number(stored.next_message);
        engine.next_call = stored.next_call;
        engine.alarm = stored.alarm;
        engine
            .observer
            .observe(&EngineEvent::Classes(engine.classes.names()));
        engine.restore_endpoints(stored.routes, stored.last_endpoint);
        for id in &stored.delivered {
            if let Ok(id) = SharedStr::new(id.as_bytes()) {
                engine.delivered.push(id);
            }
        }
        engine.remember_recently_ended();
        engine.restore_messages(stored.messages);
        let foreign_calls = engine.restore_calls(stored.calls);
        engine.ready.send_replace(stored.ready);
        Ok(RestoredEngine {
            engine,
            foreign_calls,
        })
    }

    fn restore_endpoints(&mut self, stored: Vec<StoredRoute>, last_endpoint: u32) {
        let routes = stored.into_iter().map(|stored| {
            let route = Route {
                uid: stored.uid.as_str().into(),
                address: stored.address,
                max_batch_size: stored.max_batch_size,
                destination: None,
            };
            (stored.endpoint, route)
        });
        self.endpoints = EndpointTable::restore(routes, last_endpoint);
        for (endpoint, route) in self.endpoints.all() {
            self.transport.add_endpoint(endpoint, route.address);
        }
    }

    /// Restores the messages, with their bodies from the journal. The snapshot does not tell whether a notification
    /// that was sent has been acknowledged, so each is sent again; receivers must expect duplicates anyway.
    fn restore_messages(&mut self, stored: Vec<StoredMessage>) {
        let mut unfinished = self.journal.unfinished();
        for stored in stored {
            let recorded = unfinished.remove(&stored.number);
            let ended = recorded.as_ref().filter(|recorded| recorded.end.is_some());
            if let Some(ended) = ended.and_then(Unfinished::recently_ended) {
                self.remember_ended(&ended);
            }
            let body = recorded
                .map(|recorded| recorded.accepted.body)
                .unwrap_or_default();
            let message_id = MessageId(stored.number);
            let Some(message) = restored_message(stored, body) else {
                continue;
            };
            if let Some(end) = message.end {
                let id = message.item.id.clone();
                let (class, ordering_key) = (message.class, message.ordering_key);
                self.notify(message_id, id, class, end.ending, ordering_key);
            }
            if message.open {
                self.messages.insert_with_id(message_id, message);
            } else {
                self.messages.insert(message_id, message);
            }
        }
        for (number, recorded) in unfinished {
            let message_id = MessageId(number);
            if let Some(ended) = recorded.recently_ended() {
                self.remember_ended(&ended);
            }
            match (
                recorded.end,
                SharedStr::new(recorded.accepted.id.as_bytes()),
            ) {
                (Some(end), Ok(id)) => {
                    let class = self.classes.position(&recorded.accepted.class);
                    let ordering_key = recorded.accepted.ordering_key();
                    self.notify(message_id, id, class, end.ending, ordering_key);
                }
                // the message had finished, but the journal could not record that yet
                _ => self.release(message_id),
            }
        }
    }

    fn restore_calls(&mut self, stored: Vec<StoredCall>) -> Vec<ForeignCall> {
        let mut foreign_calls = Vec::with_capacity(stored.len());
        for StoredCall {
            call,
            attempts,
            remaining,
        } in stored
        {
            let (cancellations, cancels) = mpsc::unbounded_channel();
            foreign_calls.push(ForeignCall {
                call,
                items: attempts.len(),
                cancels,
            });
            let outstanding = OutstandingCall {
                target: None,
                cancellations,
                attempts,
                remaining,
            };
            self.calls.insert(call, outstanding);
        }
        foreign_calls
    }
}

fn stored_route((endpoint, route): (EndpointId, &Route)) -> StoredRoute {
    StoredRoute {
        endpoint,
        uid: route.uid.to_string(),
        address: route.address,
        max_batch_size: route.max_batch_size,
    }
}

fn stored_call((&call, outstanding): (&u64, &OutstandingCall)) -> StoredCall {
    StoredCall {
        call,
        attempts: outstanding.attempts.clone(),
        remaining: outstanding.remaining,
    }
}

fn stored_message((message_id, message): (MessageId, &Message)) -> StoredMessage {
    let end = message.end.map(|end| match end.ending {
        Ending::Returned { after_ms } => (end.at, Some(after_ms)),
        Ending::Failed | Ending::Delivered => (end.at, None),
    });
    StoredMessage {
        number: message_id.0,
        id: message.item.id.to_string(),
        key: message.item.key.as_ref().map(SharedStr::to_string),
        class: message.class,
        destination: message.destination,
        ordering_key: message.ordering_key,
        accepted_at: message.accepted_at,
        deadline: message.deadline,
        open: message.open,
        clients: message.clients,
        end,
        attempts: message.attempts.iter().map(stored_attempt).collect(),
    }
}

fn stored_attempt(attempt: &Attempt) -> StoredAttempt {
    StoredAttempt {
        endpoint: attempt.endpoint,
        uid: attempt.uid.to_string(),
        sent_at: attempt.sent_at,
        call: attempt.call,
        position: attempt.position,
        in_flight: attempt.in_flight,
        outcome: attempt.outcome,
        latency: attempt.latency,
        may_have_run: attempt.may_have_run,
    }
}

/// Converts a message from a snapshot, and adds its body; `None` if the id or key is invalid.
fn restored_message(stored: StoredMessage, body: Bytes) -> Option<Message> {
    let id = SharedStr::new(stored.id.as_bytes()).ok()?;
    let key = stored
        .key
        .map(|key| SharedStr::new(key.as_bytes()))
        .transpose()
        .ok()?;
    let item = CallItem { id, key, body };
    let end = stored.end.map(|(at, returned)| MessageEnd {
        ending: returned.map_or(Ending::Failed, |after_ms| Ending::Returned { after_ms }),
        reason: EndReason::Unknown,
        at,
    });
    let (class, destination) = (stored.class, stored.destination);
    Some(Message {
        open: stored.open,
        clients: stored.clients,
        ordering_key: stored.ordering_key,
        end,
        attempts: stored.attempts.iter().map(restored_attempt).collect(),
        ..Message::new(
            item,
            class,
            destination,
            stored.accepted_at,
            stored.deadline,
        )
    })
}

fn restored_attempt(stored: &StoredAttempt) -> Attempt {
    Attempt {
        endpoint: stored.endpoint,
        uid: stored.uid.as_str().into(),
        sent_at: stored.sent_at,
        call: stored.call,
        position: stored.position,
        in_flight: stored.in_flight,
        outcome: stored.outcome,
        latency: stored.latency,
        may_have_run: stored.may_have_run,
    }
}
