//! Converts a configuration to the decision module's settings.

use super::count_as_usize;
use milletturn_config::document::Document;
use milletturn_policy::{Class, Effect, Safety, Settings, ValueDecay};

/// The decision module's settings, with the classes of the configuration. [`super::Plan::from_document`] adds the kinds
/// of destination and the callback's class.
pub(super) fn from_document(document: &Document) -> Settings {
    let mut settings = Settings::new(
        count_as_usize(document, &["limits", "calls"]),
        count_as_usize(document, &["limits", "held"]),
    );
    settings.max_attempts = count_as_usize(document, &["retry", "attempts"]);
    settings.hedging_enabled = document.flag(&["retry", "copies"]);
    // the decision module tells rejected clients to wait for half of this maximum
    settings.max_client_retry_after = document.time(&["retry", "client_wait"]) * 2;
    settings.idle_connection_timeout = document.time(&["connections", "idle"]);
    settings.weight_trust = 1.0;
    settings.value_decay = ValueDecay::Halving;
    settings.safety = Safety {
        drain_grace: document.time(&["safety", "drain"]),
        slow_start: document.time(&["safety", "cold"]),
        initial_capacity: document.number_of(&["safety", "cold_start"]),
        overload_multiple: document.number_of(&["safety", "fall_multiple"]),
        overload_window: document.time(&["safety", "fall_time"]),
        ..settings.safety.clone()
    };
    for name in document.table_names("class") {
        settings.classes.push(class_from(document, &name));
    }
    settings
}

fn class_from(document: &Document, name: &str) -> Class {
    let setting = |field: &'static str| ["class", name, field];
    let effect = match document.text_of(&setting("effect")).as_deref() {
        Some("repeatable") => Effect::Repeatable,
        Some("keyed") => Effect::Keyed {
            window: document.time(&setting("window")),
            zone_only: false,
        },
        _ => Effect::Unsafe,
    };
    Class {
        priority_weight: document.number_of(&setting("worth")),
        late_value_share: document.number_of(&setting("late_worth")),
        ..Class::new(
            name,
            effect,
            document.time(&setting("aim")),
            document.time(&setting("deadline")),
        )
    }
}
