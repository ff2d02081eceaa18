//! Converts a configuration to the settings and redrive rules of the dead-letter store.

use milletturn_config::document::Document;
use milletturn_dead_letter::config::Config as StoreConfig;
use milletturn_dead_letter::record::parse_reason;
use milletturn_dead_letter::redrive_schedule::RedriveRule;

/// The store's settings, if the configuration enables the store.
pub(super) fn store_from(document: &Document) -> Option<StoreConfig> {
    let is_enabled = document.flag(&["undelivered", "keep"]);
    is_enabled.then(|| StoreConfig {
        max_bytes: document.size(&["undelivered", "size"]),
        max_messages: document.count(&["undelivered", "messages"]),
        max_age: document.time(&["undelivered", "age"]),
        store_returned: document.flag(&["undelivered", "returned"]),
        clients_retry: document.flag(&["undelivered", "application_retries"]),
        rules: document
            .table_names("resend")
            .iter()
            .map(|name| rule_from(document, name))
            .collect(),
        ..StoreConfig::default()
    })
}

fn rule_from(document: &Document, name: &str) -> RedriveRule {
    let setting = |field: &'static str| ["resend", name, field];
    let text = |field| document.text_of(&setting(field));
    RedriveRule {
        name: name.to_string(),
        classes: text("class").into_iter().collect(),
        destinations: document
            .explicit_value(&setting("destination"))
            .map(|_| document.count(&setting("destination")))
            .into_iter()
            .collect(),
        reasons: text("reason")
            .iter()
            .filter_map(|reason| parse_reason(reason))
            .collect(),
        min_healthy: document.time(&setting("well_for")),
        max_redrives: u32::try_from(document.count(&setting("most"))).unwrap_or(u32::MAX),
        max_age: document.time(&setting("not_older_than")),
        per_second: document.number_of(&setting("rate")),
    }
}
