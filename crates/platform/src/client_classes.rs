//! The classes that clients may name, with their positions in the engine's class table.

use milletturn_engine::ingress::is_internal_class;
use milletturn_policy::{Class, Effect};
use std::cell::RefCell;
use std::rc::Rc;

/// The classes that clients may name. All clones share one list, which a reload of the settings replaces.
///
/// A reload that removes or changes a class frees its position, and the next reload may give the position to another class.
/// A position therefore stays valid only if it is looked up and sent to the engine without waiting in between.
#[derive(Debug, Clone, Default)]
pub struct ClientClasses(Rc<RefCell<Vec<ClientClass>>>);

/// A class that clients may name.
#[derive(Debug, Clone)]
struct ClientClass {
    position: usize,
    class: Class,
}

/// What the current settings say of a class that a client names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassTerms {
    /// Position of the class in the engine's class table.
    pub position: usize,
    /// Whether each message of the class needs an idempotency key.
    pub requires_key: bool,
    /// Whether messages with the same subject are delivered in order.
    pub is_ordered: bool,
}

impl ClientClasses {
    /// Creates a list of all given classes except the internal ones. Each comes with its position in the engine's class
    /// table.
    #[must_use]
    pub fn new(classes: impl Iterator<Item = (usize, Class)>) -> Self {
        let list = ClientClasses::default();
        list.replace(classes);
        list
    }

    /// Replaces the list by all given classes except the internal ones.
    pub fn replace(&self, classes: impl Iterator<Item = (usize, Class)>) {
        *self.0.borrow_mut() = classes
            .filter(|(_, class)| !is_internal_class(&class.name))
            .map(|(position, class)| ClientClass { position, class })
            .collect();
    }

    /// The terms of the class with this name; `None` if the current settings have none that clients may name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<ClassTerms> {
        let list = self.0.borrow();
        let found = list.iter().find(|entry| entry.class.name == name)?;
        Some(ClassTerms {
            position: found.position,
            requires_key: matches!(found.class.effect, Effect::Keyed { .. }),
            is_ordered: found.class.ordered,
        })
    }

    /// The names of the classes, in the order of the settings.
    #[must_use]
    pub fn names(&self) -> Vec<String> {
        let list = self.0.borrow();
        list.iter().map(|entry| entry.class.name.clone()).collect()
    }
}
