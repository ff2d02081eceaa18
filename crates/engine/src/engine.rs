//! The engine's state and its turns. In each turn the decision module handles all pending events in one call, and its
//! actions become calls, replies and notifications.

use crate::arrivals::{DuplicateArrival, PendingArrival};
use crate::calls::{Batch, OutstandingCall, StartRequest};
use crate::classes::ClassTable;
use crate::clock::Clock;
use crate::dead_letter_sink::DeadLetterSink;
use crate::endpoints::EndpointTable;
use crate::ingress::Notification;
use crate::input::Input;
use crate::journal::{Ending, Journal, JournalError};
use crate::message_table::MessageTable;
use crate::observer::{EngineEvent, Observer};
use crate::ports::Ports;
use crate::recent_ids::RecentIds;
use crate::reconfiguration::ListOrigin;
use crate::retention::PendingRelease;
use crate::transport::Transport;
use milletturn_policy::{Action, Event, MILLISECOND, MessageId, Micros, Sender, SettingsError};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// How often idle connections are evicted, [`Journal::record_finished`] entries that could not be written are retried,
/// and messages for which the dead-letter store had no capacity are offered to it again.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Owns the messages and the decision module, and connects the decision module to the ports.
pub struct Engine {
    /// Decides which message is sent where and when, without I/O of its own.
    pub(crate) decision_module: Sender,
    pub(crate) clock: Clock,
    /// Names of the zones. The index of a name is the zone's number in the decision module.
    pub(crate) zones: Vec<String>,
    /// Names of the kinds of destination. The index of a name is the kind's number in the decision module.
    pub(crate) kinds: Vec<String>,
    /// The maximum number of messages in one call, indexed by the number of the destination's kind.
    pub(crate) max_batch_size: Vec<usize>,
    /// While this many messages are open, arrivals are rejected.
    pub(crate) max_open_messages: usize,
    /// The maximum number of attempts of one message.
    pub(crate) max_attempts: usize,
    pub(crate) classes: ClassTable,
    pub(crate) journal: Box<dyn Journal>,
    pub(crate) transport: Box<dyn Transport>,
    pub(crate) dead_letters: Option<Box<dyn DeadLetterSink>>,
    pub(crate) notify_delivered: bool,
    pub(crate) observer: Box<dyn Observer>,
    pub(crate) notifications: mpsc::UnboundedSender<Notification>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) messages: MessageTable,
    /// Ended messages that the journal must still hold; always empty without a dead-letter store. Each of these
    /// messages is in the journal, so the journal's capacity bounds the map's size.
    pub(crate) pending_release: BTreeMap<MessageId, PendingRelease>,
    /// Ordering keys of ended messages whose notification is not acknowledged. Each of these messages is in the
    /// journal, so the journal's capacity bounds the map's size.
    pub(crate) unacknowledged_keys: BTreeMap<MessageId, u64>,
    /// Calls in flight, by number.
    pub(crate) calls: BTreeMap<u64, OutstandingCall>,
    pub(crate) next_call: u64,
    /// Ids of messages that were delivered.
    pub(crate) delivered: RecentIds,
    /// Ids of at-most-once messages that have ended, of which it is not known whether they ran.
    pub(crate) may_have_run: RecentIds,
    /// Messages that arrived since the last turn and whose clients have no reply yet.
    pub(crate) arrivals: BTreeMap<MessageId, PendingArrival>,
    /// Submissions that arrived since the last turn and repeat a message that is already open. Their clients are told
    /// that the message is accepted only once it is in the journal.
    pub(crate) duplicates: Vec<DuplicateArrival>,
    /// Requests of calls that ask whether they may still start. They get their reply after the decision module has
    /// handled all earlier events.
    pub(crate) start_requests: Vec<StartRequest>,
    /// Events for the decision module's next turn.
    pub(crate) events: Vec<Event>,
    /// When the alarm that the decision module has set is due, as Unix time in microseconds on [`Engine::clock`];
    /// `None` if none is set.
    pub(crate) alarm: Option<Micros>,
}

impl Engine {
    /// Creates an engine whose decision module starts with the cached endpoint list and the journal's unfinished
    /// messages.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub fn new(mut ports: Ports) -> Result<Self, SettingsError> {
        let cached_endpoints = ports.cached_endpoints.take();
        let mut engine = Engine::assemble(ports)?;
        if let Some(update) = cached_endpoints {
            engine.on_endpoints_listed(update, ListOrigin::Cache);
        }
        engine.remember_recently_ended();
        engine.resume_unfinished();
        Ok(engine)
    }

    /// Creates an engine without endpoints and messages.
    ///
    /// # Errors
    /// When the settings are invalid.
    pub(crate) fn assemble(ports: Ports) -> Result<Self, SettingsError> {
        let settings = ports.settings;
        let max_batch_size = settings
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
            max_batch_size,
            max_open_messages,
            max_attempts,
            classes,
            journal: ports.journal,
            transport: ports.transport,
            dead_letters: ports.dead_letters,
            notify_delivered: ports.notify_delivered,
            observer: ports.observer,
            notifications: ports.notifications,
            ready: ports.ready,
            endpoints: EndpointTable::default(),
            messages: MessageTable::new(ports.first_message_number),
            pending_release: BTreeMap::new(),
            unacknowledged_keys: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            delivered: RecentIds::default(),
            may_have_run: RecentIds::default(),
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

    /// Handles inputs until their channel closes. The future may be dropped while it waits, and `run` called again: a
    /// turn never spans an await point, so none is left incomplete.
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
                    self.retry_store();
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

    /// Runs one turn, and further turns while actions produce new events for the decision module.
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
        self.reply_to_arrivals(&actions);
        let mut batches: Vec<Batch> = Vec::new();
        for action in actions {
            self.perform(now, action, &mut batches);
        }
        for batch in batches {
            self.start_call(batch);
        }
        self.reply_to_start_requests(now);
    }

    /// Performs one action of the decision module. Sends are only added to `batches`, whose calls start at the end of
    /// the turn.
    fn perform(&mut self, now: Micros, action: Action, batches: &mut Vec<Batch>) {
        match action {
            Action::Send {
                message,
                endpoint,
                expires_at,
            } => self.send(now, message, endpoint, expires_at, batches),
            Action::Cancel { message, attempt } => self.cancel(message, attempt),
            Action::Reject {
                message,
                retry_after,
            } => {
                let after_ms =
                    retry_after.and_then(|delay| u64::try_from(delay / MILLISECOND).ok());
                self.abandon(message, Ending::Returned { after_ms });
            }
            Action::Fail(message) => self.abandon(message, Ending::Failed),
            Action::SetAlarm(at) => self.alarm = Some(at),
            Action::CloseIdleConnections(endpoint) => {
                self.transport.close_idle_connections(endpoint);
            }
            Action::Log(text) => self.observer.observe(&EngineEvent::PolicyLog(&text)),
            // the endpoint list is always watched, and the transport supports neither probes nor gossip
            Action::Subscribe | Action::Probe(_) | Action::Gossip(_) => {}
        }
    }

    /// Returns whether a journal entry was written, and reports a failure to the observer.
    pub(crate) fn check_journal(&mut self, written: Result<(), JournalError>) -> bool {
        written
            .inspect_err(|error| self.observer.observe(&EngineEvent::JournalFailed(error)))
            .is_ok()
    }
}
