//! Settings shared by the engine's tests.

use milletturn_policy::{Class, DestinationKind, Effect, SECOND, Settings};

/// Settings with one kind of destination, `one`, and one class, `keyed`, with a deduplication window of 12 s and a
/// deadline of 20 s.
pub(crate) fn keyed_settings(
    slots: usize,
    max_open_messages: usize,
    max_batch_size: usize,
) -> Settings {
    let mut settings = Settings::new(slots, max_open_messages);
    let keyed = Effect::Keyed {
        window: 12 * SECOND,
        zone_only: false,
    };
    settings
        .classes
        .push(Class::new("keyed", keyed, 4 * SECOND, 20 * SECOND));
    settings.kinds.push(DestinationKind {
        name: "one".into(),
        separate_routes: false,
        max_batch_size,
    });
    settings
}
