//! The module's types: settings, ids, time, events, outcomes and actions. Validates, decides nothing.

use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// A point in time or a span, in integer microseconds.
pub type Micros = i64;
/// One second.
pub const SECOND: Micros = 1_000_000;
/// One millisecond.
pub const MILLISECOND: Micros = 1_000;

/// A message, numbered by the host; used again after its end only if the same message is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MessageId(pub u64);

/// An endpoint, numbered by the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId(pub u32);

/// A destination's number.
pub type DestinationId = u64;

/// What a repeat of a message does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// May be sent any number of times.
    Repeatable,
    /// The destination drops a repeat inside `window`, counted from the first send that may have run.
    Keyed {
        /// How long the key is remembered.
        window: Micros,
        /// Only endpoints of the same zone know of each other's keys.
        zone_only: bool,
    },
    /// Must never run twice.
    Unsafe,
}

/// A class of message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name, unique among the classes.
    pub name: String,
    /// What a repeat does.
    pub effect: Effect,
    /// Full worth when delivered within this time.
    pub latency_objective: Micros,
    /// No longer delivered after this time.
    pub deadline: Micros,
    /// Worth of one message.
    pub priority_weight: f64,
    /// Share of the worth that is left at the deadline.
    pub late_value_share: f64,
    /// Messages of one key go one at a time, in order.
    pub ordered: bool,
}

impl Class {
    /// A class of worth 1 that keeps none of it after the aim and asks for no order.
    #[must_use]
    pub fn new(name: &str, effect: Effect, aim: Micros, deadline: Micros) -> Self {
        Class {
            name: name.to_string(),
            effect,
            latency_objective: aim,
            deadline,
            priority_weight: 1.0,
            late_value_share: 0.0,
            ordered: false,
        }
    }
}

impl Class {
    /// Share of the worth that a delivery at this age still has.
    #[must_use]
    pub fn remaining_value(&self, age: Micros, fade: ValueDecay) -> f64 {
        let late = (age - self.latency_objective) as f64;
        let left = match fade {
            ValueDecay::Halving => 0.5f64.powf(late / self.latency_objective as f64),
            ValueDecay::Linear => {
                1.0 - (1.0 - self.late_value_share) * late
                    / (self.deadline - self.latency_objective).max(1) as f64
            }
        };
        left.min(1.0).max(self.late_value_share)
    }
}

/// A kind of destination.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DestinationKind {
    /// Its name.
    pub name: String,
    /// Each endpoint is a route of its own, with its own limit, waits and outages.
    pub separate_routes: bool,
    /// Messages that one call may carry.
    pub max_batch_size: usize,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Messages a second within its share, over all senders.
    pub allowance: f64,
}

/// How worth falls after the aim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ValueDecay {
    /// Evenly, down to the late share at the deadline.
    Linear,
    /// By half with each further aim, not under the late share.
    Halving,
}

/// Figures of the rules.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Safety {
    /// Sends to a draining endpoint end within this time.
    pub drain_grace: Micros,
    /// A returning destination is warm after this time.
    pub slow_start: Micros,
    /// It starts with this share of its capacity.
    pub initial_capacity: f64,
    /// It falls over when sent this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Micros,
    /// A final answer still counts this long after the deadline.
    pub response_grace: Micros,
    /// Rest of a key after an attempt whose end is not sure.
    pub ordered_key_backoff: Micros,
    /// An unsubscribed sender must ask for the list this often.
    pub list_poll_interval: Micros,
}

/// All that a sender is told at start-up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Senders of this group, this one counted.
    pub senders: u32,
    /// This sender's zone, as a number into the host's list.
    pub zone: u16,
    /// Calls that may be out at once.
    pub call_slots: usize,
    /// Messages that may be held.
    pub max_pending: usize,
    /// Attempts for one message.
    pub max_attempts: usize,
    /// Two attempts of one message may be out together.
    pub hedging_enabled: bool,
    /// Attempts may be cancelled.
    pub cancellation_enabled: bool,
    /// The host tells the ends that the module gives by notices, which may come later; else they are known at once.
    pub notifications_enabled: bool,
    /// Endpoints may be probed.
    pub probing_enabled: bool,
    /// Senders may write to each other.
    pub gossip_enabled: bool,
    /// Idle connections close by themselves after this time; 0 where that is not known.
    pub idle_connection_timeout: Micros,
    /// Longest wait that a client heeds; 0 where clients are told none.
    pub max_client_retry_after: Micros,
    /// The endpoint list must be asked for.
    pub list_requires_subscription: bool,
    /// The list gives each destination's rate: 0 no, 1 exactly, 0.5 up to half off.
    pub weight_trust: f64,
    /// Position of the remaining share of the limit in a load report.
    pub report_remaining_index: Option<usize>,
    /// Position of the limit, in calls a second, in a load report.
    pub report_limit_index: Option<usize>,
    /// Price of a call to another zone, as a share of a first try.
    pub price_cross_zone: f64,
    /// Price of a probe, as a share of a first try.
    pub price_probe: f64,
    /// Price of the destinations' wasted work, as a share of the work asked for.
    pub price_waste: f64,
    /// Price of a message that a separate route takes on, by zone.
    pub zone_fees: Vec<f64>,
    /// Worth of a message beyond its tenant's share.
    pub over_share_weight: f64,
    /// How worth falls after the aim.
    pub value_decay: ValueDecay,
    /// Figures of the rules.
    pub safety: Safety,
    /// Classes; events name them by position.
    pub classes: Vec<Class>,
    /// Kinds of destination; list entries name them by position.
    pub kinds: Vec<DestinationKind>,
    /// Tenants; messages name them by position.
    pub tenants: Vec<Tenant>,
}

impl Settings {
    /// Settings for a lone sender, with no classes yet and the mildest assumption for all else.
    #[must_use]
    pub fn new(call_slots: usize, max_held: usize) -> Self {
        Settings {
            senders: 1,
            zone: 0,
            call_slots,
            max_pending: max_held,
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

    /// Checks that the settings make sense.
    ///
    /// # Errors
    /// Names the first setting that does not.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let mut names = BTreeSet::new();
        for class in &self.classes {
            if !names.insert(&class.name) {
                return Err(SettingsError::new(
                    &format!("classes.{}.name", class.name),
                    "stands twice",
                ));
            }
        }
        self.validate_figures()
    }

    /// Checks all but the names of classes: after a reload one name may stand at two positions.
    pub(crate) fn validate_figures(&self) -> Result<(), SettingsError> {
        let positive = |name: &str, ok: bool| {
            if ok {
                Ok(())
            } else {
                Err(SettingsError::new(name, "must be above zero"))
            }
        };
        let share = |name: &str, value: f64| {
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
        share("over_share_worth", self.over_share_weight)?;
        share("weight_trust", self.weight_trust)?;
        share("price_cross_zone", self.price_cross_zone)?;
        share("price_probe", self.price_probe)?;
        share("price_waste", self.price_waste)?;
        self.zone_fees
            .iter()
            .try_for_each(|&fee| share("zone_fees", fee))?;
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
        share("safety.start_capacity", safety.initial_capacity)?;
        share("safety.fall_multiple", safety.overload_multiple)?;
        for class in &self.classes {
            let name = |field: &str| format!("classes.{}.{field}", class.name);
            positive(&name("aim"), class.latency_objective > 0)?;
            positive(&name("deadline"), class.deadline > 0)?;
            share(&name("worth"), class.priority_weight)?;
            share(&name("late_share"), class.late_value_share)?;
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
            share(
                &format!("tenants.{}.allowance", tenant.name),
                tenant.allowance,
            )?;
        }
        Ok(())
    }
}

/// A setting that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting's name.
    pub setting: String,
    /// What is wrong with it.
    pub problem: String,
}

impl SettingsError {
    /// An error about `setting`.
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

/// What a listing event holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Changed entries only.
    Changes,
    /// The whole list; what is not in it is gone.
    Full,
    /// The whole list as last known before a restart, maybe old.
    Cached,
}

/// An endpoint's state in the list; it says nothing of health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointStatus {
    /// Listed.
    Serving,
    /// Nothing new may be sent there.
    Draining,
    /// Removed.
    Removed,
}

/// One endpoint in a listing.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointEntry {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Its destination.
    pub destination: DestinationId,
    /// Its zone, as a number into the host's list.
    pub zone: u16,
    /// Its destination's kind, by position in the settings.
    pub kind: usize,
    /// Its state.
    pub status: EndpointStatus,
    /// Calls a second that the list gives its destination (or route); used where `weight_trust` is above 0.
    pub weight: f64,
}

impl EndpointEntry {
    /// A serving endpoint of the first kind and zone.
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

/// A message that the sender now holds.
#[derive(Debug, Clone, PartialEq)]
pub struct NewMessage {
    /// Its id.
    pub id: MessageId,
    /// Its class, by position; an unknown class is treated as unsafe.
    pub class: usize,
    /// Where it goes.
    pub destination: DestinationId,
    /// How long it may still be delivered.
    pub time_left: Micros,
    /// Its key, where the class keeps order.
    pub key: Option<u64>,
    /// Its tenant, by position.
    pub tenant: Option<usize>,
    /// The client has handed it in before.
    pub resubmitted: bool,
    /// It comes from a sender that died.
    pub from_lost_sender: bool,
    /// It is sent again long after its first end: all others come first.
    pub deferred: bool,
}

impl NewMessage {
    /// A message without key or tenant, handed in for the first time.
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

/// An attempt from before a restart, as the host's journal has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PastAttempt {
    /// Where it went; an endpoint that the list no longer has counts as one of no known zone.
    pub endpoint: EndpointId,
    /// When it was sent, on the clock of this life.
    pub sent: Micros,
    /// Nothing proves that it never ran.
    pub may_have_run: bool,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Delivered.
    Success,
    /// The destination answered with an error; it may have run.
    Error,
    /// Turned away unseen, perhaps with a wait; it never ran.
    Rejected {
        /// How long to keep away.
        retry_after: Option<Micros>,
    },
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never left the sender.
    Unsent {
        /// No slot was free.
        no_slot: bool,
    },
}

impl Outcome {
    /// True if the destination, or the way to it, failed the attempt.
    #[must_use]
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Outcome::Error | Outcome::TimedOut | Outcome::NoConnection | Outcome::Reset
        )
    }

    /// True if the attempt certainly never ran.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Rejected { .. } | Outcome::NoConnection | Outcome::Unsent { .. }
        )
    }
}

/// What the sender is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the endpoint list.
    EndpointList {
        /// What the entries are.
        kind: EndpointListKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// Asking for the list failed, or the subscription broke.
    EndpointListFailed,
    /// A message came in.
    Accepted(NewMessage),
    /// A message taken before a restart is back, with all attempts that it had. Its time may be up.
    Resumed {
        /// The message; a time left below zero says how long its time has been up.
        message: NewMessage,
        /// Its attempts, in the order of their sending; later ones are numbered on from them.
        attempts: Vec<PastAttempt>,
    },
    /// The process has been asked to stop: calls that are out then are cut off.
    Stopping {
        /// When it ends.
        ends_at: Micros,
    },
    /// A destination told a wait in an answer that turned no message away.
    RetryAfter {
        /// The endpoint that told it.
        endpoint: EndpointId,
        /// How long to keep away.
        retry_after: Micros,
    },
    /// What became of the notice of an ended message's end, where the settings say that ends are told by notices: its
    /// key's next message waits for it, in this life and in the next.
    Notification {
        /// Which message.
        message: MessageId,
        /// Its key.
        key: u64,
        /// It has been taken; else it is owed from an earlier life.
        acknowledged: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Which message.
        message: MessageId,
        /// Which attempt, from 0.
        attempt: usize,
        /// Where it went.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the send.
        latency: Micros,
        /// Nothing more is owed for the message.
        message_closed: bool,
        /// Load report, if any.
        report: Vec<f64>,
        /// The response may be a copy of an earlier one: whatever the outcome, this attempt may have run.
        ambiguous: bool,
    },
    /// The answer has started; the client owns this attempt now.
    ResponseStarted {
        /// Which message.
        message: MessageId,
        /// Which attempt.
        attempt: usize,
    },
    /// Nobody wants this message any more.
    Cancelled(MessageId),
    /// A probe was answered or failed.
    Probed {
        /// Which endpoint.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// Load report, if any.
        report: Vec<f64>,
    },
    /// Another sender wrote.
    GossipReceived {
        /// Its number.
        from: u32,
        /// What it wrote.
        bytes: Vec<u8>,
    },
    /// The alarm rang.
    Alarm,
}

/// What the sender wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Call an endpoint. Sends to one endpoint in one turn share a call as far as its kind allows.
    Send {
        /// Which message.
        message: MessageId,
        /// Where to.
        endpoint: EndpointId,
        /// When the attempt times out.
        expires_at: Micros,
    },
    /// Call off an attempt.
    Cancel {
        /// Which message.
        message: MessageId,
        /// Which attempt.
        attempt: usize,
    },
    /// End a message undelivered; a retry does no harm.
    Reject {
        /// Which message.
        message: MessageId,
        /// Advice to the client.
        retry_after: Option<Micros>,
    },
    /// End a message as failed.
    Fail(MessageId),
    /// Ring at this time.
    SetAlarm(Micros),
    /// Probe an endpoint.
    Probe(EndpointId),
    /// Give back the connections to an endpoint that carry nothing now.
    CloseIdleConnections(EndpointId),
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Write to all other senders.
    Gossip(Vec<u8>),
    /// A line for the log.
    Log(String),
}
