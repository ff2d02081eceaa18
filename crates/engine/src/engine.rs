//! The engine's state and its turns: all pending events go to the decision module at once, and its actions become
//! calls, replies and notifications.

use crate::archive::Archive;
use crate::arrivals::{DuplicateArrival, PendingArrival};
use crate::calls::{Bundle, OutstandingCall, StartRequest};
use crate::classes::ClassTable;
use crate::clock::Clock;
use crate::delivered::DeliveredIds;
use crate::endpoints::EndpointTable;
use crate::ingress::Notification;
use crate::input::Input;
use crate::journal::{Ending, Journal, JournalError};
use crate::message_table::MessageTable;
use crate::observer::{EngineEvent, Observer};
use crate::ports::Ports;
use crate::reconfiguration::ListOrigin;
use crate::retention::PendingRelease;
use crate::transport::Transport;
use milletturn_policy::{Action, Event, MILLISECOND, MessageId, Micros, Sender, SettingsError};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// How often idle connections are evicted, and journal and archive are tried again.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Owner of the decision module and of the messages.
pub struct Engine {
    /// Decides what is sent when; it does no I/O.
    pub(crate) decision_module: Sender,
    pub(crate) clock: Clock,
    /// Names of the zones, in the order of their numbers.
    pub(crate) zones: Vec<String>,
    /// Names of the kinds of destination, in the order of their numbers.
    pub(crate) kinds: Vec<String>,
    /// Most messages in one call, by kind of destination.
    pub(crate) bundle_max: Vec<usize>,
    /// Beyond so many open messages, arrivals are rejected.
    pub(crate) max_open_messages: usize,
    /// The most attempts of one message.
    pub(crate) max_attempts: usize,
    pub(crate) classes: ClassTable,
    pub(crate) journal: Box<dyn Journal>,
    pub(crate) transport: Box<dyn Transport>,
    pub(crate) archive: Option<Box<dyn Archive>>,
    pub(crate) notify_delivered: bool,
    pub(crate) observer: Box<dyn Observer>,
    pub(crate) notifications: mpsc::UnboundedSender<Notification>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) messages: MessageTable,
    /// Ended messages that the journal can't release yet, where there is an archive. Its size is bounded by the
    /// journal's room, as each of them is in the journal.
    pub(crate) pending_release: BTreeMap<MessageId, PendingRelease>,
    /// Ordering keys of ended messages whose notification is not confirmed: each is in the journal too.
    pub(crate) unconfirmed_keys: BTreeMap<MessageId, u64>,
    /// Calls in flight, by number.
    pub(crate) calls: BTreeMap<u64, OutstandingCall>,
    pub(crate) next_call: u64,
    /// Ids of recently delivered messages.
    pub(crate) delivered: DeliveredIds,
    /// Messages that arrived since the last turn.
    pub(crate) arrivals: BTreeMap<MessageId, PendingArrival>,
    /// Messages that arrived again since the last turn: their clients hear of acceptance only behind the journal.
    pub(crate) duplicates: Vec<DuplicateArrival>,
    /// Calls that ask whether they may start: answered once the module knows of all events before.
    pub(crate) start_requests: Vec<StartRequest>,
    /// What the decision module hears in the next turn.
    pub(crate) events: Vec<Event>,
    /// When the decision module wants its next turn, module time.
    pub(crate) alarm: Option<Micros>,
}

impl Engine {
    /// Sets the decision module up, and gives it the cached endpoint list and the journal's unfinished messages.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub fn new(mut ports: Ports) -> Result<Self, SettingsError> {
        let cached_endpoints = ports.cached_endpoints.take();
        let mut engine = Engine::assemble(ports)?;
        if let Some(update) = cached_endpoints {
            engine.on_endpoints_listed(update, ListOrigin::Cache);
        }
        engine.resume_unfinished();
        Ok(engine)
    }

    /// An engine with its ports, which knows neither endpoints nor messages.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub(crate) fn assemble(ports: Ports) -> Result<Self, SettingsError> {
        let settings = ports.settings;
        let bundle_max = settings
            .kinds
            .iter()
            .map(|kind| kind.max_batch_size)
            .collect();
        let classes = ClassTable::new(&settings.classes);
        let (max_open_messages, max_attempts) = (settings.max_pending, settings.max_attempts);
        let mut engine = Engine {
            decision_module: Sender::new(settings, ports.seed)?,
            clock: ports.clock,
            zones: ports.zones,
            kinds: ports.kinds,
            bundle_max,
            max_open_messages,
            max_attempts,
            classes,
            journal: ports.journal,
            transport: ports.transport,
            archive: ports.archive,
            notify_delivered: ports.notify_delivered,
            observer: ports.observer,
            notifications: ports.notifications,
            ready: ports.ready,
            endpoints: EndpointTable::default(),
            messages: MessageTable::new(ports.first_message_number),
            pending_release: BTreeMap::new(),
            unconfirmed_keys: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            delivered: DeliveredIds::default(),
            arrivals: BTreeMap::new(),
            duplicates: Vec::new(),
            start_requests: Vec::new(),
            events: Vec::new(),
            alarm: None,
        };
        engine
            .observer
            .observe(&EngineEvent::Classes(engine.classes.names()));
        Ok(engine)
    }

    /// Takes turns until the inputs end. The future may be dropped where it waits, and called for again: every
    /// turn is complete then.
    pub async fn run(&mut self, inputs: &mut mpsc::UnboundedReceiver<Input>) {
        let mut maintenance = tokio::time::interval(MAINTENANCE_INTERVAL);
        self.take_turns();
        loop {
            let alarm = self.alarm.map(|at| self.clock.instant(at));
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => self.on_input(input),
                    None => return,
                },
                () = sleep_until(alarm.unwrap_or_else(Instant::now)), if alarm.is_some() => {}
                _ = maintenance.tick() => {
                    self.transport.evict_idle();
                    self.retry_archive();
                    let written = self.journal.retry();
                    self.check_journal(written);
                    continue;
                }
            }
            while let Ok(input) = inputs.try_recv() {
                self.on_input(input);
            }
            self.take_turns();
        }
    }

    /// One turn, and further ones while its own actions lead to events for the decision module.
    fn take_turns(&mut self) {
        self.take_turn();
        while !self.events.is_empty() {
            self.take_turn();
        }
    }

    fn take_turn(&mut self) {
        let now = self.clock.now();
        if self.alarm.take_if(|at| *at <= now).is_some() {
            self.events.push(Event::Alarm);
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.decision_module.handle(now, &events, &mut actions);
        self.answer_arrivals(&actions);
        let mut bundles: Vec<Bundle> = Vec::new();
        for action in actions {
            self.perform(now, action, &mut bundles);
        }
        for bundle in bundles {
            self.start_call(bundle);
        }
        self.answer_start_requests(now);
    }

    /// Performs one action of the decision module; sends are gathered into bundles.
    fn perform(&mut self, now: Micros, action: Action, bundles: &mut Vec<Bundle>) {
        match action {
            Action::Send {
                message,
                endpoint,
                expires_at: expires,
            } => self.send(now, message, endpoint, expires, bundles),
            Action::Cancel { message, attempt } => self.cancel(message, attempt),
            Action::Reject {
                message,
                retry_after: wait,
            } => {
                let after_ms = wait.and_then(|wait| u64::try_from(wait / MILLISECOND).ok());
                self.abandon(message, Ending::Returned { after_ms });
            }
            Action::Fail(message) => self.abandon(message, Ending::Failed),
            Action::SetAlarm(at) => self.alarm = Some(at),
            Action::CloseIdleConnections(endpoint) => {
                self.transport.close_idle_connections(endpoint);
            }
            Action::Log(text) => self.observer.observe(&EngineEvent::PolicyLog(&text)),
            // the watch is always on; sockets offer neither probes nor notes
            Action::Subscribe | Action::Probe(_) | Action::Gossip(_) => {}
        }
    }

    /// Whether a journal entry was written; a failure goes to the observer.
    pub(crate) fn check_journal(&mut self, written: Result<(), JournalError>) -> bool {
        written
            .inspect_err(|error| self.observer.observe(&EngineEvent::JournalFailed(error)))
            .is_ok()
    }
}
