//! The inputs that reach the engine from its ports, and how the engine handles each.

use crate::calls::StartRequest;
use crate::dead_letter_sink::RedriveRequest;
use crate::endpoint_list::EndpointListUpdate;
use crate::engine::Engine;
use crate::ingress::{Arrival, ArrivalOutcome};
use crate::observer::EngineEvent;
use crate::reconfiguration::ListOrigin;
use crate::shared_str::SharedStr;
use crate::transport::{AttemptEnd, CloseReason, UnsolicitedData};
use milletturn_policy::{EndpointId, Event, MessageId, Micros, Settings, SettingsError};
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// One input of the engine.
///
/// The channel that carries inputs is unbounded, because other limits bound the inputs in it: the servers' connection
/// limits bound arrivals, the calls in flight bound ends of attempts, the unfinished messages bound acknowledged
/// notifications, and the source of endpoint lists bounds these.
#[derive(Debug)]
pub enum Input {
    /// A client submitted a message.
    Arrived(Arrival),
    /// The client of the message with this id disconnected before it received an outcome.
    ClientDisconnected(SharedStr),
    /// The process is shutting down and will exit at this time.
    Stopping(Instant),
    /// Asks whether the call with this number may still start, because its connection took long to open. The reply is
    /// the time by which the last byte of the request must be written. If the reply channel is dropped without a reply,
    /// the call must not start.
    RequestStart(u64, oneshot::Sender<Instant>),
    /// An endpoint demanded a retry-after delay, for example by a `Retry-After` header.
    RetryAfter {
        /// The endpoint that demanded the delay.
        endpoint: EndpointId,
        /// How long to wait from now on, in microseconds.
        retry_after: Micros,
    },
    /// The attempt for one message of a call ended.
    AttemptEnded(AttemptEnd),
    /// A connection to an endpoint was closed.
    ConnectionClosed {
        /// The endpoint at the other end.
        endpoint: EndpointId,
        /// The connection's number, unique in this process.
        connection: u64,
        /// How many calls the connection carried.
        calls: u64,
        /// Why the connection was closed.
        reason: CloseReason,
        /// Data that arrived while the connection had no call in flight.
        unsolicited: Option<UnsolicitedData>,
    },
    /// A complete endpoint list, or changes to one.
    EndpointsListed(EndpointListUpdate),
    /// The numbers of messages whose notifications have been acknowledged by their receiver.
    Notified(Vec<u64>),
    /// The numbers of messages that the dead-letter store has stored.
    Stored(Vec<u64>),
    /// A message in the dead-letter store is to be redriven.
    Redrive(RedriveRequest),
    /// A server rejected a message for lack of capacity, without submitting it to the engine.
    Rejected {
        /// Position of the message's class in the class table.
        class: usize,
        /// The message's destination.
        destination: u64,
    },
    /// New settings; the reply holds the position of each of their classes in the class table, in the order of the
    /// settings.
    Reconfigure(
        Box<Settings>,
        oneshot::Sender<Result<Vec<usize>, SettingsError>>,
    ),
    /// Asks for the engine's current status.
    GetStatus(oneshot::Sender<EngineStatus>),
    /// Asks whether a message with this id is open: accepted, and without a final outcome.
    IsOpen(SharedStr, oneshot::Sender<bool>),
}

/// Counts of the engine's messages and endpoints at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// Messages that have been accepted and have no final outcome yet.
    pub open_messages: usize,
    /// Endpoints in the list.
    pub listed_endpoints: usize,
    /// Listed endpoints that are serving but that the decision module has ejected, so that they get only probes.
    pub ejected_endpoints: usize,
}

impl Engine {
    /// Handles one input; events for the decision module are queued until the next turn.
    pub(crate) fn on_input(&mut self, input: Input) {
        match input {
            Input::Arrived(arrival) => self.on_arrival(arrival),
            Input::ClientDisconnected(id) => self.on_client_disconnected(&id),
            Input::Stopping(at) => self.events.push(Event::Stopping {
                ends_at: self.clock.at(at),
            }),
            Input::RequestStart(call, reply) => {
                self.start_requests.push(StartRequest { call, reply });
            }
            Input::RetryAfter {
                endpoint,
                retry_after,
            } => self.on_retry_after(endpoint, retry_after),
            Input::AttemptEnded(end) => self.on_attempt_ended(end),
            Input::ConnectionClosed {
                endpoint,
                connection,
                calls,
                reason,
                unsolicited,
            } => {
                let uid = self.endpoint_name(endpoint);
                self.observer.observe(&EngineEvent::ConnectionClosed {
                    uid: &uid,
                    connection,
                    calls,
                    reason,
                    unsolicited,
                });
            }
            Input::EndpointsListed(update) => self.on_endpoints_listed(update, ListOrigin::Source),
            Input::Notified(numbers) => {
                for number in numbers {
                    self.on_notified(MessageId(number));
                }
            }
            Input::Stored(numbers) => {
                for number in numbers {
                    self.on_stored(MessageId(number));
                }
            }
            Input::Redrive(request) => self.on_redrive(request),
            Input::Rejected { class, destination } => {
                self.observe_rejected("", class, destination, ArrivalOutcome::NoCapacity);
            }
            Input::Reconfigure(settings, reply) => {
                // the new settings take effect even if the caller no longer waits for the reply
                let _ = reply.send(self.reconfigure(*settings));
            }
            Input::GetStatus(reply) => {
                // a caller that no longer waits needs no reply
                let _ = reply.send(self.status());
            }
            Input::IsOpen(id, reply) => {
                // a caller that no longer waits needs no reply
                let _ = reply.send(self.messages.find(&id).is_some());
            }
        }
    }

    fn on_retry_after(&mut self, endpoint: EndpointId, retry_after: Micros) {
        let uid = self.endpoint_name(endpoint);
        self.observer.observe(&EngineEvent::RetryAfter {
            uid: &uid,
            retry_after,
        });
        self.events.push(Event::RetryAfter {
            endpoint,
            retry_after,
        });
    }

    /// The endpoint's name; empty if the endpoint is no longer listed.
    fn endpoint_name(&self, endpoint: EndpointId) -> Arc<str> {
        self.endpoints
            .route(endpoint)
            .map(|route| route.uid.clone())
            .unwrap_or_default()
    }

    fn status(&self) -> EngineStatus {
        EngineStatus {
            open_messages: self.messages.open_count(),
            listed_endpoints: self.endpoints.count(),
            ejected_endpoints: self.decision_module.ejected_endpoint_count(),
        }
    }
}
