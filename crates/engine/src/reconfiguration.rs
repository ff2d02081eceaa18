//! Changes at run time: new settings, and updates of the endpoint list.

use crate::endpoint_list::{EndpointListUpdate, ListedEndpoint};
use crate::engine::Engine;
use crate::observer::EngineEvent;
use milletturn_policy::{
    EndpointEntry, EndpointId, EndpointListKind, EndpointStatus, Event, Settings, SettingsError,
};

/// Where an endpoint list comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListOrigin {
    /// The cache of an earlier process; the list may be stale.
    Cache,
    /// The source of endpoint lists, such as service discovery or a file.
    Source,
}

impl Engine {
    /// Applies new settings and returns the positions of their classes in the class table. Open messages keep their
    /// class.
    ///
    /// # Errors
    /// When the settings are invalid; the engine is unchanged then.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<Vec<usize>, SettingsError> {
        settings.validate()?;
        let mut classes = self.classes.clone();
        let in_use = self.messages.classes_in_use();
        let changed = classes.replace(&settings.classes, |position| in_use.contains(&position));
        let positions = settings
            .classes
            .iter()
            .map(|class| classes.position(&class.name))
            .collect();
        let settings_classes = settings.classes.clone();
        let (max_open_messages, max_attempts) = (settings.max_pending, settings.max_attempts);
        let module_settings = Settings {
            classes: classes.all().to_vec(),
            ..settings
        };
        self.decision_module
            .reconfigure(module_settings, &changed)?;
        self.max_open_messages = max_open_messages;
        self.max_attempts = max_attempts;
        self.classes = classes;
        if let Some(dead_letters) = &mut self.dead_letters {
            dead_letters.set_classes(&settings_classes);
        }
        self.observer
            .observe(&EngineEvent::Classes(self.classes.names()));
        Ok(positions)
    }

    /// Applies an endpoint list, or changes to one, and queues the event for the decision module's next turn.
    pub(crate) fn on_endpoints_listed(&mut self, update: EndpointListUpdate, origin: ListOrigin) {
        if update.full {
            for endpoint in self.endpoints.remove_unlisted(&update.endpoints) {
                self.transport.remove_endpoint(endpoint);
            }
        }
        let mut entries = Vec::with_capacity(update.endpoints.len());
        for listed in update.endpoints {
            let kind = index_of(&self.kinds, &listed.kind);
            let Some(endpoint) = self.apply_listed(&listed, kind) else {
                continue;
            };
            entries.push(EndpointEntry {
                endpoint,
                destination: listed.destination,
                zone: index_of(&self.zones, &listed.zone) as u16,
                kind,
                status: listed.status,
                weight: listed.weight,
            });
        }
        if !entries.is_empty() {
            self.ready.send_replace(true);
        }
        let list_kind = match (origin, update.full) {
            (ListOrigin::Cache, _) => EndpointListKind::Cached,
            (ListOrigin::Source, true) => EndpointListKind::Full,
            (ListOrigin::Source, false) => EndpointListKind::Changes,
        };
        self.events.push(Event::EndpointList { list_kind, entries });
    }

    /// Applies one listed endpoint to the table and the transport; `None` for the removal of an unknown endpoint.
    fn apply_listed(&mut self, listed: &ListedEndpoint, kind: usize) -> Option<EndpointId> {
        let has_changed_destination = self.endpoints.has_changed_destination(listed);
        let endpoint = match listed.status {
            EndpointStatus::Removed => self.endpoints.remove(&listed.uid)?,
            EndpointStatus::Serving | EndpointStatus::Draining => {
                let max_batch_size = self.max_batch_size.get(kind).copied().unwrap_or(1);
                self.endpoints.upsert(listed, max_batch_size)
            }
        };
        if has_changed_destination {
            // a call that has not begun must not find an idle connection, but ask whether it may start
            self.transport.remove_endpoint(endpoint);
        }
        match listed.status {
            EndpointStatus::Serving => self.transport.add_endpoint(endpoint, listed.address),
            EndpointStatus::Draining | EndpointStatus::Removed => {
                self.transport.remove_endpoint(endpoint);
            }
        }
        Some(endpoint)
    }
}

/// The index of a name; `usize::MAX`, which the decision module treats as unknown, for a name that is not listed.
fn index_of(names: &[String], name: &str) -> usize {
    names
        .iter()
        .position(|known| known == name)
        .unwrap_or(usize::MAX)
}
