//! The parameters of a run, and the settings of the engine and the store.

use milletturn_dead_letter::config::Config;
use milletturn_dead_letter::redrive_schedule::RedriveRule;
use milletturn_policy::{Class, DestinationKind, Effect, MILLISECOND, Micros, SECOND, Settings};

/// Time for which destinations remember idempotency keys.
pub(super) const WINDOW: Micros = 12 * SECOND;
/// Deadline of messages. It lies after the window: a message that may have run ends undelivered when the window ends.
pub(super) const DEADLINE: Micros = 20 * SECOND;
/// Index of the class whose messages may run any number of times.
pub(super) const REPEATABLE: usize = 2;

/// The parameters of a run.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) messages: usize,
    pub(crate) destinations: u64,
    /// Time between the submissions of two messages.
    pub(crate) arrival_interval: Micros,
    /// Time from the start of the run until destinations are repaired; all later calls succeed.
    pub(crate) repaired_at: Micros,
    /// Number of ticks between the operators' requests for redrives; zero for none.
    pub(crate) redrive_interval: u64,
    /// Maximum number of messages in the store.
    pub(crate) max_messages: u64,
    /// Whether the store must assume that clients resubmit messages returned to them; in the simulation they never do.
    pub(crate) clients_retry: bool,
}

impl Plan {
    pub(crate) fn small(seed: u64) -> Self {
        Plan {
            seed,
            messages: 5,
            destinations: 2,
            arrival_interval: 300 * MILLISECOND,
            repaired_at: 18 * SECOND,
            redrive_interval: 40,
            max_messages: 1000,
            clients_retry: seed % 2 == 1,
        }
    }

    /// The store's settings.
    pub(super) fn store_config(&self) -> Config {
        let rule = RedriveRule {
            name: "all".into(),
            classes: Vec::new(),
            destinations: Vec::new(),
            reasons: Vec::new(),
            min_healthy: SECOND,
            max_redrives: 5,
            max_age: 10_000 * SECOND,
            per_second: 50.0,
        };
        Config {
            max_messages: self.max_messages,
            rules: vec![rule],
            max_bytes: 32 << 20,
            clients_retry: self.clients_retry,
            ..Config::default()
        }
    }
}

/// Index of a message's class, from the first letter of its name: k keyed, u unsafe, r repeatable.
pub(super) fn class_of(name: &str) -> usize {
    match name.as_bytes().first() {
        Some(b'k') => 0,
        Some(b'u') => 1,
        _ => REPEATABLE,
    }
}

/// The engine's settings.
pub(super) fn settings() -> Settings {
    let mut settings = Settings::new(40, 400);
    settings.max_attempts = 6;
    let keyed = Effect::Keyed {
        window: WINDOW,
        zone_only: false,
    };
    for (name, effect) in [
        ("keyed", keyed),
        ("unsafe", Effect::Unsafe),
        ("repeatable", Effect::Repeatable),
    ] {
        settings
            .classes
            .push(Class::new(name, effect, 4 * SECOND, DEADLINE));
    }
    settings.kinds.push(DestinationKind {
        name: "one".into(),
        separate_routes: false,
        max_batch_size: 1,
    });
    settings
}
