//! The table of message classes by position. Across reloads of the settings, a position keeps its class as long as
//! any message refers to it.

use milletturn_policy::{Class, Effect, Micros};
use serde::{Deserialize, Serialize};

/// The table of classes.
///
/// A class that a reload removes or changes keeps its position for the messages that refer to it; a new or changed
/// class gets another position. Positions that neither a message nor the latest two versions of the settings refer to
/// are reused, which bounds the table's length. Snapshots contain this type, so the order of its fields is part of
/// their format.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct ClassTable {
    /// The class at each position.
    classes: Vec<Class>,
    /// Whether the current settings contain the class at each position.
    current: Vec<bool>,
    /// The name of the class at each position.
    names: Vec<String>,
}

impl ClassTable {
    /// Creates the table of a new engine, where classes have the same positions as in the settings.
    pub(crate) fn new(classes: &[Class]) -> Self {
        let names = classes.iter().map(|class| class.name.clone()).collect();
        ClassTable {
            classes: classes.to_vec(),
            current: vec![true; classes.len()],
            names,
        }
    }

    /// All classes by position. The decision module uses the same positions.
    pub(crate) fn all(&self) -> &[Class] {
        &self.classes
    }

    /// The names of all classes by position.
    pub(crate) fn names(&self) -> &[String] {
        &self.names
    }

    /// The name at a position; empty for a position that does not exist.
    pub(crate) fn name(&self, position: usize) -> String {
        self.names.get(position).cloned().unwrap_or_default()
    }

    /// The position of the class with this name in the current settings; `usize::MAX` if the settings have none.
    pub(crate) fn position(&self, name: &str) -> usize {
        let is_match = |&at: &usize| self.current[at] && self.names[at] == name;
        (0..self.classes.len()).find(is_match).unwrap_or(usize::MAX)
    }

    /// The longest time that delivery of a message of the class may take, in microseconds; `None` for a position that
    /// does not exist.
    pub(crate) fn deadline(&self, position: usize) -> Option<Micros> {
        self.classes.get(position).map(|class| class.deadline)
    }

    /// The class's rule for duplicate deliveries: harmless, dropped by the destination, or never allowed. `None` for a
    /// position that does not exist.
    pub(crate) fn effect(&self, position: usize) -> Option<Effect> {
        self.classes.get(position).map(|class| class.effect)
    }

    /// Adds a class that only messages of an earlier process have. Returns the position of the class, and whether the
    /// class was added because the table did not contain it.
    pub(crate) fn add_recovered(&mut self, class: &Class) -> (usize, bool) {
        if let Some(at) = self.classes.iter().position(|known| known == class) {
            return (at, false);
        }
        self.classes.push(class.clone());
        self.names.push(class.name.clone());
        self.current.push(false);
        (self.classes.len() - 1, true)
    }

    /// The deduplication window of the class in microseconds: zero if a duplicate is never allowed, `None` if
    /// duplicates are always allowed or the position does not exist.
    pub(crate) fn deduplication_window(&self, position: usize) -> Option<Micros> {
        match self.classes.get(position)?.effect {
            Effect::Repeatable => None,
            Effect::Keyed { window, .. } => Some(window),
            Effect::Unsafe => Some(0),
        }
    }

    /// Applies the classes of new settings. `in_use` tells whether an unfinished message has the class at a position.
    /// Returns the positions that now hold another class.
    pub(crate) fn replace(&mut self, new: &[Class], in_use: impl Fn(usize) -> bool) -> Vec<usize> {
        let was_current = std::mem::replace(&mut self.current, vec![false; self.classes.len()]);
        let changed: Vec<&Class> = new
            .iter()
            .filter(
                |class| match self.classes.iter().position(|known| known == *class) {
                    Some(at) => {
                        self.current[at] = true;
                        false
                    }
                    None => true,
                },
            )
            .collect();
        let mut positions = Vec::new();
        for class in changed {
            // a position of the previous settings is not free: a server may have submitted a message with it that has
            // not arrived yet
            let is_free = |&at: &usize| {
                !self.current[at] && !was_current.get(at).is_some_and(|&was| was) && !in_use(at)
            };
            let at = (0..self.classes.len())
                .find(is_free)
                .unwrap_or(self.classes.len());
            if at == self.classes.len() {
                self.classes.push(class.clone());
                self.names.push(String::new());
                self.current.push(false);
            }
            (self.classes[at], self.names[at], self.current[at]) =
                (class.clone(), class.name.clone(), true);
            positions.push(at);
        }
        positions
    }
}

#[cfg(test)]
mod tests;
