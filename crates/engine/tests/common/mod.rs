//! Settings that the tests of the engine share.

use milletturn_policy::{Class, DestinationKind, Effect, SECOND, Settings};

/// Settings with one kind of destination, `one`, and a class `keyed` whose window is 12 s. Messages of all classes
/// may take 20 s.
pub(crate) fn keyed_settings(
    slots: usize,
    max_open_messages: usize,
    bundle_max: usize,
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
        max_batch_size: bundle_max,
    });
    settings
}
