//! Replaces settings while the sender runs.

use crate::interface::{Class, Settings, SettingsError};
use crate::state::Sender;

impl Sender {
    /// Adds a class at the next position, for messages that were accepted under earlier settings.
    pub fn add_class(&mut self, class: Class) {
        self.settings.classes.push(class);
        self.scheduler.is_current = false;
    }

    /// Position of a tenant; `None` if the settings do not name it.
    #[must_use]
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.settings
            .tenants
            .iter()
            .position(|tenant| tenant.name == name)
    }

    /// Replaces the settings. Classes keep their positions: the class of an open message must be unchanged at
    /// its position. `reused_positions` lists the positions that now hold another class. An open message
    /// keeps its class and never gets more attempts than it was allowed before. Kinds, tenants, the sender's
    /// zone and the way to obtain the endpoint list stay as they were at start-up, because entries and
    /// messages refer to them by position.
    ///
    /// # Errors
    /// When the settings are invalid; nothing has changed then.
    pub fn reconfigure(
        &mut self,
        mut settings: Settings,
        reused_positions: &[usize],
    ) -> Result<(), SettingsError> {
        settings.validate_values()?;
        settings.zone = self.settings.zone;
        settings.list_requires_subscription = self.settings.list_requires_subscription;
        settings.kinds = std::mem::take(&mut self.settings.kinds);
        settings.tenants = std::mem::take(&mut self.settings.tenants);
        self.settings = settings;
        self.scheduler.is_current = false;
        for endpoint in self.endpoints.values_mut() {
            endpoint
                .class_health
                .retain(|class, _| !reused_positions.contains(class));
        }
        let max_attempts = self.settings.max_attempts;
        self.messages
            .values_mut()
            .for_each(|message| message.max_attempts = message.max_attempts.min(max_attempts));
        Ok(())
    }
}
