//! What is simulated: the plan, the engine's settings and the store's.

use milletturn_dead_letter::config::Config;
use milletturn_dead_letter::redrive_schedule::RedriveRule;
use milletturn_policy::{Class, DestinationKind, Effect, MILLISECOND, Micros, SECOND, Settings};

/// The window of idempotency keys.
pub(super) const WINDOW: Micros = 12 * SECOND;
/// Beyond the window: what may have run is given up when that ends.
pub(super) const DEADLINE: Micros = 20 * SECOND;
/// The class that may run any number of times.
pub(super) const REPEATABLE: usize = 2;

/// What is simulated.
#[derive(Debug, Clone)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) messages: usize,
    pub(crate) destinations: u64,
    /// Time between arrivals.
    pub(crate) arrival_interval: Micros,
    /// From this time on all calls succeed.
    pub(crate) repaired_at: Micros,
    /// Operators request redrives every so many ticks, never if zero.
    pub(crate) redrive_interval: u64,
    /// Messages that the store may hold.
    pub(crate) max_messages: u64,
    /// Clients may hand in again what was returned to them; in this world they never do.
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

/// The class that a message's name tells: k keyed, u unsafe, r repeatable.
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
