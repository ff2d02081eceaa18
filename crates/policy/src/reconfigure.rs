//! New settings in the middle of a life. It decides nothing: it only says from when on which figure holds.

use crate::interface::{Class, Settings, SettingsError};
use crate::state::Sender;

impl Sender {
    /// A class that messages of an earlier life have, at the next position.
    pub fn add_class(&mut self, class: Class) {
        self.settings.classes.push(class);
        self.agenda.built = false;
    }

    /// Position of a tenant; none for one that the settings don't name.
    #[must_use]
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.settings
            .tenants
            .iter()
            .position(|tenant| tenant.name == name)
    }

    /// Takes new settings over. Classes stand at positions as before: what an open message carries must stand there
    /// unchanged; `renewed` are the positions that mean something new. A message that is open keeps its class, and
    /// never gets more attempts than it might have had. Kinds, zones, tenants and the way to the list are those of
    /// the start: entries and messages carry their positions.
    ///
    /// # Errors
    /// When the settings make no sense; nothing has changed then.
    pub fn reconfigure(
        &mut self,
        mut settings: Settings,
        renewed: &[usize],
    ) -> Result<(), SettingsError> {
        settings.validate_figures()?;
        settings.zone = self.settings.zone;
        settings.list_requires_subscription = self.settings.list_requires_subscription;
        settings.kinds = std::mem::take(&mut self.settings.kinds);
        settings.tenants = std::mem::take(&mut self.settings.tenants);
        self.settings = settings;
        self.agenda.built = false;
        for endpoint in self.endpoints.values_mut() {
            endpoint.classes.retain(|class, _| !renewed.contains(class));
        }
        let most = self.settings.max_attempts;
        self.messages
            .values_mut()
            .for_each(|held| held.most = held.most.min(most));
        Ok(())
    }
}
