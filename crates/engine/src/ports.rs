//! The settings and port implementations that an engine is built from.

use crate::clock::Clock;
use crate::dead_letter_sink::DeadLetterSink;
use crate::endpoint_list::EndpointListUpdate;
use crate::ingress::Notification;
use crate::journal::Journal;
use crate::observer::Observer;
use crate::transport::Transport;
use milletturn_policy::Settings;
use tokio::sync::{mpsc, watch};

/// What [`Engine::new`](crate::Engine::new) needs: the settings and an implementation of each port.
pub struct Ports {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Names of the zones. The index of a name is the zone's number in the decision module.
    pub zones: Vec<String>,
    /// Names of the kinds of destination. The index of a name is the kind's number in the decision module.
    pub kinds: Vec<String>,
    /// Source of the time that the decision module and the journal see.
    pub clock: Clock,
    /// The endpoint list that an earlier process cached, possibly stale; `None` if there is none.
    pub cached_endpoints: Option<EndpointListUpdate>,
    /// Records what must survive the process.
    pub journal: Box<dyn Journal>,
    /// Stores undelivered messages. `None` without a dead-letter store: the journal may then drop an undelivered
    /// message once its notification is acknowledged.
    pub dead_letters: Option<Box<dyn DeadLetterSink>>,
    /// The lowest number for a new message, greater than any number recorded outside the journal, such as in the
    /// dead-letter store. Higher numbers in the journal raise it.
    pub first_message_number: u64,
    /// Carries calls to endpoints.
    pub transport: Box<dyn Transport>,
    /// Whether a notification is also sent for each message that an endpoint's response ended, which includes delivered
    /// messages.
    pub notify_delivered: bool,
    /// Carries the notifications: the final outcomes of accepted messages that are not delivered and, if
    /// `notify_delivered` is set, of those that an endpoint's response ended.
    pub notifications: mpsc::UnboundedSender<Notification>,
    /// Observes the engine's events.
    pub observer: Box<dyn Observer>,
    /// Set to true once at least one endpoint is known.
    pub ready: watch::Sender<bool>,
}
