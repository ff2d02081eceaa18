//! Everything that reaches the engine from its ports, and what each input sets off.

use crate::archive::RedriveRequest;
use crate::calls::StartRequest;
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

/// One input of the engine. The channel that carries inputs needs no bound of its own: arrivals are bounded by the
/// servers' connection limits, ends of attempts by the calls in flight, notifications by the messages held, and
/// lists by their source.
#[derive(Debug)]
pub enum Input {
    /// A client handed a message in.
    Arrived(Arrival),
    /// The client of the message with this id disconnected before its outcome.
    ClientDisconnected(SharedStr),
    /// The process ends at this time.
    Stopping(Instant),
    /// Asks whether a call may still start whose connection was slow to come up. The reply is the time by which
    /// its last byte must be written; a dropped reply means that the call must not start.
    RequestStart(u64, oneshot::Sender<Instant>),
    /// An endpoint asked for a pause, such as by a `Retry-After` header.
    RetryAfter {
        /// The endpoint that asked.
        endpoint: EndpointId,
        /// The pause in microseconds, from now on.
        wait: Micros,
    },
    /// The attempt for one message of a call ended.
    AttemptEnded(AttemptEnd),
    /// A connection to an endpoint was closed.
    ConnectionClosed {
        /// The endpoint.
        endpoint: EndpointId,
        /// The connection's number, unique in this process.
        connection: u64,
        /// How many calls it carried.
        calls: u64,
        /// Why.
        reason: CloseReason,
        /// What came on it while no call was out.
        unsolicited: Option<UnsolicitedData>,
    },
    /// The endpoint list, or a change of it.
    EndpointsListed(EndpointListUpdate),
    /// Notifications that their receiver has confirmed, by number of message.
    Notified(Vec<u64>),
    /// Messages that the archive has stored, by number.
    Archived(Vec<u64>),
    /// An archived message is to be redriven.
    Redrive(RedriveRequest),
    /// A server rejected a message by itself, for lack of capacity.
    Rejected {
        /// Position of its class.
        class: usize,
        /// Its destination.
        destination: u64,
    },
    /// New settings; the reply has the positions of their classes.
    Reconfigure(
        Box<Settings>,
        oneshot::Sender<Result<Vec<usize>, SettingsError>>,
    ),
    /// Asks for the engine's present status.
    GetStatus(oneshot::Sender<EngineStatus>),
    /// Asks whether a message with this id is open, which is to say accepted without a final outcome.
    IsOpen(SharedStr, oneshot::Sender<bool>),
}

/// The engine's figures at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineStatus {
    /// Messages that are accepted and have no final outcome.
    pub open_messages: usize,
    /// Endpoints in the list.
    pub listed_endpoints: usize,
    /// Listed endpoints in service that the decision module has ejected.
    pub ejected_endpoints: usize,
}

impl Engine {
    /// Handles one input; what the decision module must hear of it waits for the next turn.
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
            Input::RetryAfter { endpoint, wait } => self.on_retry_after(endpoint, wait),
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
            Input::Archived(numbers) => {
                for number in numbers {
                    self.on_archived(MessageId(number));
                }
            }
            Input::Redrive(request) => self.on_redrive(request),
            Input::Rejected { class, destination } => {
                self.observe_rejected("", class, destination, ArrivalOutcome::NoCapacity);
            }
            Input::Reconfigure(settings, reply) => {
                // new settings are in force even if nobody waits for the reply
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

    fn on_retry_after(&mut self, endpoint: EndpointId, wait: Micros) {
        let uid = self.endpoint_name(endpoint);
        self.observer
            .observe(&EngineEvent::RetryAfter { uid: &uid, wait });
        self.events.push(Event::RetryAfter {
            endpoint,
            retry_after: wait,
        });
    }

    /// The endpoint's name, empty if it is not listed any more.
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
