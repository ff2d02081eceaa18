//! Drives a decision module from a test: passes scripted events to it, records its actions and fires its alarms when
//! due.
#![allow(dead_code)]

pub(crate) mod traffic;

use milletturn_policy::{
    Action, Class, DestinationKind, Effect, EndpointEntry, EndpointId, EndpointListKind, Event,
    MILLISECOND, MessageId, Micros, NewMessage, Outcome, SECOND, Sender, Settings,
};

/// Virtual time at which each test starts.
pub(crate) const START: Micros = 100 * SECOND;

/// A decision module with a virtual clock and a record of what it did.
pub(crate) struct Harness {
    pub sender: Sender,
    pub now: Micros,
    /// Times of the alarms that are set.
    pub alarms: Vec<Micros>,
    /// All sends so far: time, message, endpoint, attempt number counted from 0.
    pub sends: Vec<(Micros, u64, u32, usize)>,
    /// All actions so far, each with its time.
    pub action_log: Vec<(Micros, Action)>,
}

/// Settings with this many call slots, four classes ([`REPEATABLE`] to [`ORDERED`]) and three kinds of destination: one
/// route per destination, a route per endpoint, and calls with batches of up to five messages.
pub(crate) fn settings(call_slots: usize) -> Settings {
    let mut settings = Settings::new(call_slots, 1000);
    settings.classes.push(Class::new(
        "free",
        Effect::Repeatable,
        2 * SECOND,
        30 * SECOND,
    ));
    let keyed = Effect::Keyed {
        window: 6 * SECOND,
        zone_only: true,
    };
    settings
        .classes
        .push(Class::new("keyed", keyed, 2 * SECOND, 30 * SECOND));
    settings.classes.push(Class::new(
        "unsafe",
        Effect::Unsafe,
        2 * SECOND,
        30 * SECOND,
    ));
    let mut ordered = Class::new("ordered", Effect::Repeatable, 2 * SECOND, 30 * SECOND);
    ordered.ordered = true;
    settings.classes.push(ordered);
    settings.safety.ordered_key_backoff = 100 * MILLISECOND;
    settings.kinds.push(DestinationKind {
        name: "one".into(),
        separate_routes: false,
        max_batch_size: 1,
    });
    settings.kinds.push(DestinationKind {
        name: "apart".into(),
        separate_routes: true,
        max_batch_size: 1,
    });
    settings.kinds.push(DestinationKind {
        name: "bundled".into(),
        separate_routes: false,
        max_batch_size: 5,
    });
    settings
}

/// Position of the class whose messages may be executed any number of times.
pub(crate) const REPEATABLE: usize = 0;
/// Position of the class with idempotency keys, remembered for 6 s within one zone.
pub(crate) const KEYED: usize = 1;
/// Position of the class whose messages must never be executed twice.
pub(crate) const UNSAFE: usize = 2;
/// Position of the class whose messages of one key are sent one at a time and in order.
pub(crate) const ORDERED: usize = 3;

pub(crate) fn entry(endpoint: u32, destination: u64) -> EndpointEntry {
    EndpointEntry::new(EndpointId(endpoint), destination)
}

/// The event that a message with 30 s to live has been accepted.
pub(crate) fn message(id: u64, class: usize, destination: u64) -> Event {
    Event::Accepted(NewMessage::new(
        MessageId(id),
        class,
        destination,
        30 * SECOND,
    ))
}

/// The event that an attempt has ended.
pub(crate) fn ended(
    message: u64,
    attempt: usize,
    endpoint: u32,
    outcome: Outcome,
    latency: Micros,
) -> Event {
    Event::AttemptEnded {
        message: MessageId(message),
        attempt,
        endpoint: EndpointId(endpoint),
        outcome,
        latency,
        message_closed: outcome == Outcome::Success,
        report: Vec::new(),
        ambiguous: false,
    }
}

/// Adds a load report with these values to an [`Event::AttemptEnded`].
pub(crate) fn with_report(mut end: Event, values: &[f64]) -> Event {
    if let Event::AttemptEnded { report, .. } = &mut end {
        *report = values.to_vec();
    }
    end
}

/// Marks the response of an [`Event::AttemptEnded`] as one that may be a duplicate of an earlier response.
pub(crate) fn with_ambiguous_response(mut end: Event) -> Event {
    if let Event::AttemptEnded { ambiguous, .. } = &mut end {
        *ambiguous = true;
    }
    end
}

impl Harness {
    pub(crate) fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        let sender = Sender::new(settings, 11).expect("valid settings");
        let mut harness = Harness {
            sender,
            now: START,
            alarms: Vec::new(),
            sends: Vec::new(),
            action_log: Vec::new(),
        };
        harness.handle(vec![Event::EndpointList {
            list_kind: EndpointListKind::Full,
            entries,
        }]);
        harness
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "callers write the events where they call"
    )]
    /// Passes these events to the module, and records and returns its actions.
    pub(crate) fn handle(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.handle(self.now, &events, &mut actions);
        for action in &actions {
            self.action_log.push((self.now, action.clone()));
            match action {
                Action::SetAlarm(at) => self.alarms.push(*at),
                Action::Send {
                    message, endpoint, ..
                } => {
                    let attempt = self.sends.iter().filter(|send| send.1 == message.0).count();
                    self.sends.push((self.now, message.0, endpoint.0, attempt));
                }
                _ => {}
            }
        }
        actions
    }

    /// Advances the time to `until` and fires each alarm when it is due.
    pub(crate) fn run_until(&mut self, until: Micros) {
        loop {
            self.alarms.sort_unstable();
            match self.alarms.first().copied() {
                Some(at) if at <= until => {
                    self.alarms.retain(|&other| other > at);
                    self.now = self.now.max(at);
                    self.handle(vec![Event::Alarm]);
                }
                _ => break,
            }
        }
        self.now = until;
    }

    /// Times of the sends of this message, counted from [`START`].
    pub(crate) fn send_times(&self, message: u64) -> Vec<Micros> {
        self.sends
            .iter()
            .filter(|send| send.1 == message)
            .map(|send| send.0 - START)
            .collect()
    }

    /// Endpoint and attempt number of the latest send of this message.
    pub(crate) fn last_send(&self, message: u64) -> (u32, usize) {
        let send = self
            .sends
            .iter()
            .rev()
            .find(|send| send.1 == message)
            .expect("was sent");
        (send.2, send.3)
    }

    /// Ends the latest attempt of this message.
    pub(crate) fn end_attempt(
        &mut self,
        message: u64,
        outcome: Outcome,
        latency: Micros,
    ) -> Vec<Action> {
        let (endpoint, attempt) = self.last_send(message);
        self.handle(vec![ended(message, attempt, endpoint, outcome, latency)])
    }

    /// Number of actions so far that match.
    pub(crate) fn count_actions(&self, matches: impl Fn(&Action) -> bool) -> usize {
        self.action_log
            .iter()
            .filter(|(_, action)| matches(action))
            .count()
    }

    /// Whether the module has reported this message as failed, exactly once.
    pub(crate) fn has_failed(&self, message: u64) -> bool {
        self.count_actions(|action| *action == Action::Fail(MessageId(message))) == 1
    }

    /// Whether the module has rejected this message, exactly once.
    pub(crate) fn was_rejected(&self, message: u64) -> bool {
        self.count_actions(|a| matches!(a, Action::Reject { message: m, .. } if m.0 == message))
            == 1
    }

    /// Number of attempts of this message that the module has cancelled.
    pub(crate) fn cancel_count(&self, message: u64) -> usize {
        self.count_actions(|a| matches!(a, Action::Cancel { message: m, .. } if m.0 == message))
    }
}
