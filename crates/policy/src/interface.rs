//! Types of the policy's interface: settings, ids, time, events, outcomes and actions. Settings are validated
//! here; all decisions are made elsewhere.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// A point in time or a span, in integer microseconds. Points in time are on the host's clock.
pub type Micros = i64;
/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;
/// One millisecond in microseconds.
pub const MILLISECOND: Micros = 1_000;

/// Number that the host gives a message. The host may reuse the number of an ended message only to redrive
/// the same message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// Number that the host gives an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

/// Number of a destination in the host's configuration.
pub type DestinationId = u64;

/// What happens if the same message is delivered more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// A repeated delivery is harmless: the message may be sent any number of times.
    Repeatable,
    /// The destination drops repeats within `window`, counted from the first attempt that may have run.
    Keyed {
        /// The deduplication window: how long the destination remembers the idempotency key.
        window: Micros,
        /// Whether an endpoint knows only the idempotency keys that endpoints of its own zone have received.
        /// If false, all endpoints of the destination know all keys.
        zone_only: bool,
    },
    /// A repeated delivery is harmful: the destination must never process the message twice.
    Unsafe,
}

impl Effect {
    /// The effect that allows only what both effects allow.
    #[must_use]
    pub fn stricter(self, other: Effect) -> Effect {
        match (self, other) {
            (Effect::Unsafe, _) | (_, Effect::Unsafe) => Effect::Unsafe,
            (Effect::Repeatable, effect) | (effect, Effect::Repeatable) => effect,
            (
                Effect::Keyed { window, zone_only },
                Effect::Keyed {
                    window: other_window,
                    zone_only: other_zone_only,
                },
            ) => Effect::Keyed {
                window: window.min(other_window),
                zone_only: zone_only || other_zone_only,
            },
        }
    }
}

/// A class of messages that have the same delivery rules and value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class, unique in the host's configuration. After a reload, an old and a new class may have
    /// the same name.
    pub name: String,
    /// What happens if a message of the class is delivered more than once.
    pub effect: Effect,
    /// Age of a message up to which its delivery has its full value, in microseconds.
    pub latency_objective: Micros,
    /// Age at which a message expires, in microseconds.
    pub deadline: Micros,
    /// Value of one message relative to messages of other classes; zero or more.
    pub priority_weight: f64,
    /// Smallest share of its full value that a late delivery still has; 0 for none.
    pub late_value_share: f64,
    /// Messages with the same ordering key are sent one at a time, in order.
    pub ordered: bool,
}

impl Class {
    /// A class with priority weight 1, no value after the latency objective, and no order.
    #[must_use]
    pub fn new(name: &str, effect: Effect, latency_objective: Micros, deadline: Micros) -> Self {
        Class {
            name: name.to_string(),
            effect,
            latency_objective,
            deadline,
            priority_weight: 1.0,
            late_value_share: 0.0,
            ordered: false,
        }
    }
}

impl Class {
    /// Share of its value that a delivery at this age still has, from `late_value_share` to 1.
    #[must_use]
    pub fn remaining_value(&self, age: Micros, value_decay: ValueDecay) -> f64 {
        let time_past_objective = (age - self.latency_objective) as f64;
        let remaining = match value_decay {
            ValueDecay::Halving => 0.5f64.powf(time_past_objective / self.latency_objective as f64),
            ValueDecay::Linear => {
                1.0 - (1.0 - self.late_value_share) * time_past_objective
                    / (self.deadline - self.latency_objective).max(1) as f64
            }
        };
        remaining.min(1.0).max(self.late_value_share)
    }
}

/// A kind of destination. All destinations of a kind have the same rules for routes and batches.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DestinationKind {
    /// Name of the kind in the host's configuration.
    pub name: String,
    /// Each endpoint is a separate route: a health scope of its own, with its own limit, retry-after delay
    /// and outages.
    pub separate_routes: bool,
    /// Maximum number of messages in one call; at least one.
    pub max_batch_size: usize,
}

/// A tenant, whose messages beyond its allowance get a lower priority weight.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant in the host's configuration.
    pub name: String,
    /// Messages per second, over all senders, that keep their full priority weight.
    pub allowance: f64,
}

/// How the value of a message decays after its latency objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ValueDecay {
    /// Linearly, down to the late value share at the deadline.
    Linear,
    /// By half with each further latency objective, but not below the late value share.
    Halving,
}

/// Times and limits of the delivery rules and of the destinations' behaviour.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Safety {
    /// Time within which attempts at a draining endpoint end. No decision uses it at present.
    pub drain_grace: Micros,
    /// How long the slow start of a recovering destination takes.
    pub slow_start: Micros,
    /// Share of its capacity with which a recovering destination starts.
    pub initial_capacity: f64,
    /// A destination collapses if its load exceeds this multiple of its capacity for an overload window.
    pub overload_multiple: f64,
    /// How long a destination withstands overload before it collapses.
    pub overload_window: Micros,
    /// How long after the deadline of a message a final response still counts. No decision uses it at
    /// present.
    pub response_grace: Micros,
    /// How long an ordering key is blocked after an attempt that may still run.
    pub ordered_key_backoff: Micros,
    /// How often a sender without a subscription must poll the endpoint list. No decision uses it at present.
    pub list_poll_interval: Micros,
}

/// All settings of a sender. Classes, kinds and tenants are referred to by position.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Number of senders that share the destinations' limits, including this sender; at least one.
    pub senders: u32,
    /// This sender's zone, as an index into the host's list of zones.
    pub zone: u16,
    /// Maximum number of calls in flight at once; at least one.
    pub call_slots: usize,
    /// Maximum number of messages pending at once; at least one.
    pub max_pending: usize,
    /// Maximum number of attempts for one message; at least one.
    pub max_attempts: usize,
    /// Whether another attempt of a message may start while an earlier one is in flight.
    pub hedging_enabled: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancellation_enabled: bool,
    /// The host reports the end of messages to clients by notifications, which may arrive later than the
    /// decision. If false, clients are assumed to learn of an end immediately.
    pub notifications_enabled: bool,
    /// The host may be asked for an [`Action::Probe`]. No decision asks for one at present: the probes of
    /// ejected destinations are ordinary attempts.
    pub probing_enabled: bool,
    /// Senders may send each other gossip. No decision uses gossip at present.
    pub gossip_enabled: bool,
    /// Time after which idle connections are closed by the host or the endpoint; 0 if unknown.
    pub idle_connection_timeout: Micros,
    /// Longest retry-after delay that clients respect; 0 if rejections advise no delay. The sender advises
    /// half of this time.
    pub max_client_retry_after: Micros,
    /// The endpoint list must be requested by a subscription.
    pub list_requires_subscription: bool,
    /// How accurate the rates in the endpoint list are: 0 if the list contains no rates, 1 if they are exact,
    /// 0.5 if they may be wrong by half. The sender multiplies each rate of the list by this value.
    pub weight_trust: f64,
    /// Index of the remaining share of the limit in a load report; `None` if reports do not contain it.
    pub report_remaining_index: Option<usize>,
    /// Index of the limit, in calls per second, in a load report; `None` if reports do not contain it.
    pub report_limit_index: Option<usize>,
    /// Price of a call to another zone, relative to a first attempt. No decision uses it at present.
    pub price_cross_zone: f64,
    /// Price of a probe, relative to a first attempt. No decision uses it at present.
    pub price_probe: f64,
    /// Price of work that a destination does without any effect, relative to the same amount of requested
    /// work. No decision uses it at present.
    pub price_waste: f64,
    /// Price of a message that a separate route accepts, by zone. No decision uses it at present.
    pub zone_fees: Vec<f64>,
    /// Factor by which the priority weight of messages beyond their tenant's allowance is multiplied.
    pub over_share_weight: f64,
    /// How the value of messages decays after their latency objective.
    pub value_decay: ValueDecay,
    /// Times and limits of the delivery rules.
    pub safety: Safety,
    /// Classes; messages refer to them by position.
    pub classes: Vec<Class>,
    /// Kinds of destination; list entries refer to them by position.
    pub kinds: Vec<DestinationKind>,
    /// Tenants; messages refer to them by position.
    pub tenants: Vec<Tenant>,
}

impl Settings {
    /// Settings for a single sender without classes. Optional features are off, except hedging and
    /// cancellation.
    #[must_use]
    pub fn new(call_slots: usize, max_pending: usize) -> Self {
        Settings {
            senders: 1,
            zone: 0,
            call_slots,
            max_pending,
            max_attempts: 8,
            hedging_enabled: true,
            cancellation_enabled: true,
            notifications_enabled: false,
            probing_enabled: false,
            gossip_enabled: false,
            idle_connection_timeout: 0,
            max_client_retry_after: 0,
            list_requires_subscription: false,
            weight_trust: 0.0,
            report_remaining_index: None,
            report_limit_index: None,
            price_cross_zone: 0.0,
            price_probe: 0.0,
            price_waste: 0.0,
            zone_fees: Vec::new(),
            over_share_weight: 1.0,
            value_decay: ValueDecay::Linear,
            safety: Safety {
                drain_grace: SECOND,
                slow_start: 10 * SECOND,
                initial_capacity: 0.2,
                overload_multiple: 2.0,
                overload_window: 2 * SECOND,
                response_grace: 20 * MILLISECOND,
                ordered_key_backoff: 0,
                list_poll_interval: 10 * SECOND,
            },
            classes: Vec::new(),
            kinds: Vec::new(),
            tenants: Vec::new(),
        }
    }

    /// Checks all settings.
    ///
    /// # Errors
    /// When a setting is invalid; the error names the first such setting.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let mut names = BTreeSet::new();
        for class in &self.classes {
            if !names.insert(&class.name) {
                return Err(SettingsError::new(
                    &format!("classes.{}.name", class.name),
                    "is not unique",
                ));
            }
        }
        self.validate_values()
    }

    /// Checks everything but the names of classes: after a reload, two positions may have classes of the same
    /// name.
    pub(crate) fn validate_values(&self) -> Result<(), SettingsError> {
        let positive = |name: &str, ok: bool| {
            if ok {
                Ok(())
            } else {
                Err(SettingsError::new(name, "must be above zero"))
            }
        };
        let non_negative = |name: &str, value: f64| {
            if value.is_finite() && value >= 0.0 {
                Ok(())
            } else {
                Err(SettingsError::new(
                    name,
                    "must be a finite number, zero or more",
                ))
            }
        };
        positive("senders", self.senders > 0)?;
        positive("call_slots", self.call_slots > 0)?;
        positive("max_held", self.max_pending > 0)?;
        positive("max_attempts", self.max_attempts > 0)?;
        non_negative("over_share_worth", self.over_share_weight)?;
        non_negative("weight_trust", self.weight_trust)?;
        non_negative("price_cross_zone", self.price_cross_zone)?;
        non_negative("price_probe", self.price_probe)?;
        non_negative("price_waste", self.price_waste)?;
        self.zone_fees
            .iter()
            .try_for_each(|&fee| non_negative("zone_fees", fee))?;
        let safety = &self.safety;
        for (name, span) in [
            ("safety.drain_grace", safety.drain_grace),
            ("safety.cold_time", safety.slow_start),
            ("safety.fall_span", safety.overload_window),
            ("safety.answer_grace", safety.response_grace),
            ("safety.key_rest", safety.ordered_key_backoff),
            ("safety.ask_every", safety.list_poll_interval),
            ("connection_idle", self.idle_connection_timeout),
            ("max_client_wait", self.max_client_retry_after),
        ] {
            if span < 0 {
                return Err(SettingsError::new(name, "must not be negative"));
            }
        }
        non_negative("safety.start_capacity", safety.initial_capacity)?;
        non_negative("safety.fall_multiple", safety.overload_multiple)?;
        for class in &self.classes {
            let name = |field: &str| format!("classes.{}.{field}", class.name);
            positive(&name("aim"), class.latency_objective > 0)?;
            positive(&name("deadline"), class.deadline > 0)?;
            non_negative(&name("worth"), class.priority_weight)?;
            non_negative(&name("late_share"), class.late_value_share)?;
            if let Effect::Keyed { window, .. } = class.effect {
                positive(&name("window"), window > 0)?;
            }
        }
        for kind in &self.kinds {
            positive(
                &format!("kinds.{}.bundle_max", kind.name),
                kind.max_batch_size > 0,
            )?;
        }
        for tenant in &self.tenants {
            non_negative(
                &format!("tenants.{}.allowance", tenant.name),
                tenant.allowance,
            )?;
        }
        Ok(())
    }
}

/// A setting that is invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Name under which the error reports the setting; it may differ from the name of the field.
    pub setting: String,
    /// What is wrong with the setting.
    pub problem: String,
}

impl SettingsError {
    /// Creates an error about `setting`.
    #[must_use]
    pub fn new(setting: &str, problem: &str) -> Self {
        SettingsError {
            setting: setting.to_string(),
            problem: problem.to_string(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {} {}", self.setting, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// How the entries of an endpoint list update relate to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the entries that have changed.
    Changes,
    /// The whole list: endpoints that are not named are removed.
    Full,
    /// The whole list as it was known before a restart; it may be outdated.
    Cached,
}

/// Status of an endpoint in the list; independent of its health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStatus {
    /// New messages may be sent to the endpoint.
    Serving,
    /// No new messages may be sent to the endpoint.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

/// One endpoint in an endpoint list update.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint's number.
    pub endpoint: EndpointId,
    /// The destination that the endpoint belongs to.
    pub destination: DestinationId,
    /// The endpoint's zone, as an index into the host's list of zones.
    pub zone: u16,
    /// Kind of the destination, by position in the settings.
    pub kind: usize,
    /// Whether the endpoint accepts new messages.
    pub status: EndpointStatus,
    /// Calls per second that the list allows the destination, or the endpoint alone if its kind has separate
    /// routes; used only if `weight_trust` is above 0.
    pub weight: f64,
}

impl EndpointEntry {
    /// A serving endpoint of the first kind in the first zone.
    #[must_use]
    pub fn new(endpoint: EndpointId, destination: DestinationId) -> Self {
        EndpointEntry {
            endpoint,
            destination,
            zone: 0,
            kind: 0,
            status: EndpointStatus::Serving,
            weight: 1.0,
        }
    }
}

/// A message that the host has accepted for delivery.
#[derive(Debug, Clone, PartialEq)]
pub struct NewMessage {
    /// Number of the message; no pending message has the same one.
    pub id: MessageId,
    /// Position of its class in the settings; an unknown class is treated as unsafe.
    pub class: usize,
    /// The destination that the message goes to.
    pub destination: DestinationId,
    /// Time until its deadline, in microseconds.
    pub time_left: Micros,
    /// Ordering key; used only if the class is ordered.
    pub key: Option<u64>,
    /// Position of its tenant in the settings.
    pub tenant: Option<usize>,
    /// The client has submitted the message before.
    pub resubmitted: bool,
    /// The message was submitted before to a sender that is no longer running. No decision uses it at
    /// present.
    pub from_lost_sender: bool,
    /// The message was redriven from the dead-letter store; it is sent after all messages that are not
    /// deferred.
    pub deferred: bool,
}

impl NewMessage {
    /// A message without key or tenant that is submitted for the first time.
    #[must_use]
    pub fn new(id: MessageId, class: usize, destination: DestinationId, time_left: Micros) -> Self {
        NewMessage {
            id,
            class,
            destination,
            time_left,
            key: None,
            tenant: None,
            resubmitted: false,
            from_lost_sender: false,
            deferred: false,
        }
    }
}

/// An attempt from before a restart, as the host's journal recorded it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PastAttempt {
    /// The endpoint of the attempt. If the list no longer names the endpoint, its zone is unknown.
    pub endpoint: EndpointId,
    /// When the attempt was sent, on the clock of the current process.
    pub sent_at: Micros,
    /// The destination may have processed the attempt; true unless the recorded outcome rules that out.
    pub may_have_run: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The message was delivered.
    Success,
    /// The destination returned an error; the attempt may have run.
    Error,
    /// The destination rejected the attempt before processing; the attempt never ran.
    Rejected {
        /// How long to wait before the next call, if the response says so.
        retry_after: Option<Micros>,
    },
    /// No response arrived in time; the attempt may have run or may still run.
    TimedOut,
    /// No connection could be opened; the attempt never ran.
    NoConnection,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The sender cancelled the attempt; it may have run.
    Cancelled,
    /// The attempt never left the sender.
    Unsent {
        /// The reason was that no slot was free for the call.
        no_slot: bool,
    },
}

impl Outcome {
    /// Whether the attempt failed at the destination or in the network.
    #[must_use]
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Outcome::Error | Outcome::TimedOut | Outcome::NoConnection | Outcome::Reset
        )
    }

    /// Whether the attempt certainly never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected { .. } | Outcome::NoConnection | Outcome::Unsent { .. }
        )
    }
}

/// What the host reports to the sender.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list was read or has changed.
    EndpointList {
        /// Whether the entries are the whole list or only changes to it.
        list_kind: EndpointListKind,
        /// The entries of the update.
        entries: Vec<EndpointEntry>,
    },
    /// The request for the endpoint list failed, or the subscription broke.
    EndpointListFailed,
    /// The host has accepted a message.
    Accepted(NewMessage),
    /// A message that was accepted before a restart has been restored with all its attempts. Its deadline may
    /// have passed.
    Resumed {
        /// The message. A negative `time_left` says how long ago the deadline passed.
        message: NewMessage,
        /// Its attempts in the order of sending. The numbers of attempts after the restart continue from
        /// these.
        attempts: Vec<PastAttempt>,
    },
    /// The process is to shut down. Calls that are still in flight when it ends are cut off.
    Stopping {
        /// When the process ends.
        ends_at: Micros,
    },
    /// A response that was not a rejection demanded a retry-after delay.
    RetryAfter {
        /// The endpoint that demanded the delay.
        endpoint: EndpointId,
        /// How long to wait before the next call.
        retry_after: Micros,
    },
    /// State of the notification about the end of a message, if `notifications_enabled` is set. The next
    /// message of the key waits until the notification is acknowledged, also across a restart.
    Notification {
        /// The message that has ended.
        message: MessageId,
        /// The ordering key of the message.
        key: u64,
        /// Whether the notification has been acknowledged. If false, it has been pending since before a
        /// restart.
        acknowledged: bool,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The message of the attempt.
        message: MessageId,
        /// Index of the attempt, from 0.
        attempt: usize,
        /// The endpoint of the attempt.
        endpoint: EndpointId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time since the attempt was sent, in microseconds.
        latency: Micros,
        /// The message has ended: no further attempt is needed.
        message_closed: bool,
        /// Load report of the response; empty if there is none.
        report: Vec<f64>,
        /// The response may be a duplicate of an earlier one. Whatever the outcome, this attempt may have
        /// run.
        ambiguous: bool,
    },
    /// The response to an attempt has started to arrive, and is passed on to the client. The sender ignores
    /// this event at present.
    ResponseStarted {
        /// The message of the attempt.
        message: MessageId,
        /// Index of the attempt, from 0.
        attempt: usize,
    },
    /// The message is no longer wanted; its attempts are cancelled.
    MessageCancelled(MessageId),
    /// A probe has ended. The sender ignores this event at present.
    Probed {
        /// The probed endpoint.
        endpoint: EndpointId,
        /// How the probe ended.
        outcome: Outcome,
        /// Load report of the response; empty if there is none.
        report: Vec<f64>,
    },
    /// Gossip from another sender has arrived. The sender ignores this event at present.
    GossipReceived {
        /// Number of the other sender.
        from: u32,
        /// Content of the gossip.
        bytes: Vec<u8>,
    },
    /// The time of the latest [`Action::SetAlarm`] has come.
    Alarm,
}

/// What the sender asks the host to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Sends an attempt. Attempts at one endpoint in one turn share a call as far as the kind's batch size
    /// allows.
    Send {
        /// The message to send.
        message: MessageId,
        /// The endpoint to call.
        endpoint: EndpointId,
        /// When the attempt times out.
        expires_at: Micros,
    },
    /// Cancels an attempt.
    Cancel {
        /// The message of the attempt.
        message: MessageId,
        /// Index of the attempt, from 0.
        attempt: usize,
    },
    /// Ends a message undelivered. The client may retry, because a repeated delivery would be harmless.
    Reject {
        /// The message to reject.
        message: MessageId,
        /// Retry-after delay that the client is advised to observe; `None` if none is advised.
        retry_after: Option<Micros>,
    },
    /// Ends a message as failed. An attempt may have run, and a repeated delivery could be harmful, so the
    /// client is not invited to retry.
    Fail(MessageId),
    /// Requests an [`Event::Alarm`] at this time.
    SetAlarm(Micros),
    /// Probes an endpoint.
    Probe(EndpointId),
    /// Closes the idle connections to an endpoint.
    CloseIdleConnections(EndpointId),
    /// Subscribes to the endpoint list.
    Subscribe,
    /// Sends gossip to all other senders.
    Gossip(Vec<u8>),
    /// Writes a line to the log.
    Log(String),
}
