//! A hand-driven host: scripted events in, actions out, alarms rung when due.
#![allow(dead_code)]

pub(crate) mod traffic;

use milletturn_policy::{
    Action, Class, DestinationKind, Effect, EndpointEntry, EndpointId, EndpointListKind, Event,
    MILLISECOND, MessageId, Micros, NewMessage, Outcome, SECOND, Sender, Settings,
};

pub(crate) const T0: Micros = 100 * SECOND;

pub(crate) struct Rig {
    pub sender: Sender,
    pub now: Micros,
    pub alarms: Vec<Micros>,
    /// Every send so far: time, message, endpoint, attempt number.
    pub sends: Vec<(Micros, u64, u32, usize)>,
    pub log: Vec<(Micros, Action)>,
}

pub(crate) fn settings(slots: usize) -> Settings {
    let mut settings = Settings::new(slots, 1000);
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

pub(crate) const FREE: usize = 0;
pub(crate) const KEYED: usize = 1;
pub(crate) const UNSAFE: usize = 2;
pub(crate) const ORDERED: usize = 3;

pub(crate) fn entry(endpoint: u32, destination: u64) -> EndpointEntry {
    EndpointEntry::new(EndpointId(endpoint), destination)
}

pub(crate) fn message(id: u64, class: usize, destination: u64) -> Event {
    Event::Accepted(NewMessage::new(
        MessageId(id),
        class,
        destination,
        30 * SECOND,
    ))
}

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

/// The same end, with a report in its answer.
pub(crate) fn reported(mut end: Event, told: &[f64]) -> Event {
    if let Event::AttemptEnded { report, .. } = &mut end {
        *report = told.to_vec();
    }
    end
}

/// The same end, by a response that may be a copy.
pub(crate) fn ambiguous(mut end: Event) -> Event {
    if let Event::AttemptEnded { ambiguous, .. } = &mut end {
        *ambiguous = true;
    }
    end
}

impl Rig {
    pub(crate) fn new(settings: Settings, entries: Vec<EndpointEntry>) -> Self {
        let sender = Sender::new(settings, 11).expect("settings make sense");
        let mut rig = Rig {
            sender,
            now: T0,
            alarms: Vec::new(),
            sends: Vec::new(),
            log: Vec::new(),
        };
        rig.tell(vec![Event::EndpointList {
            kind: EndpointListKind::Full,
            entries,
        }]);
        rig
    }

    #[expect(
        clippy::needless_pass_by_value,
        reason = "callers write the events where they call"
    )]
    pub(crate) fn tell(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.sender.handle(self.now, &events, &mut actions);
        for action in &actions {
            self.log.push((self.now, action.clone()));
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

    /// Rings the alarms up to `until`, then stands there.
    pub(crate) fn run(&mut self, until: Micros) {
        loop {
            self.alarms.sort_unstable();
            match self.alarms.first().copied() {
                Some(at) if at <= until => {
                    self.alarms.retain(|&other| other > at);
                    self.now = self.now.max(at);
                    self.tell(vec![Event::Alarm]);
                }
                _ => break,
            }
        }
        self.now = until;
    }

    pub(crate) fn sends_of(&self, message: u64) -> Vec<Micros> {
        self.sends
            .iter()
            .filter(|send| send.1 == message)
            .map(|send| send.0 - T0)
            .collect()
    }

    pub(crate) fn last_send(&self, message: u64) -> (u32, usize) {
        let send = self
            .sends
            .iter()
            .rev()
            .find(|send| send.1 == message)
            .expect("was sent");
        (send.2, send.3)
    }

    /// Ends the latest attempt of the message.
    pub(crate) fn end(&mut self, message: u64, outcome: Outcome, latency: Micros) -> Vec<Action> {
        let (endpoint, attempt) = self.last_send(message);
        self.tell(vec![ended(message, attempt, endpoint, outcome, latency)])
    }

    pub(crate) fn count(&self, wanted: impl Fn(&Action) -> bool) -> usize {
        self.log.iter().filter(|(_, action)| wanted(action)).count()
    }

    pub(crate) fn failed(&self, message: u64) -> bool {
        self.count(|action| *action == Action::Fail(MessageId(message))) == 1
    }

    pub(crate) fn refused(&self, message: u64) -> bool {
        self.count(|a| matches!(a, Action::Reject { message: m, .. } if m.0 == message)) == 1
    }

    pub(crate) fn cancels(&self, message: u64) -> usize {
        self.count(|a| matches!(a, Action::Cancel { message: m, .. } if m.0 == message))
    }
}
