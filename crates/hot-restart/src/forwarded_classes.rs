//! Translates the class positions that the old process sends, which refer to the class table of its engine.

use milletturn_platform::{ClassTerms, ClientClasses};

/// The classes of messages that the old process forwards.
///
/// The old process names a class by its position in the class table that its last engine had. The settings of the new
/// process may be newer, and may change again at any time. Each position is therefore translated to the name of the class,
/// and the name to the class that the settings of the new process have at that moment.
#[derive(Debug, Clone)]
pub struct ForwardedClasses {
    /// The names of the classes by position in the old process.
    old_names: Vec<String>,
    /// The classes of the new process.
    current: ClientClasses,
}

impl ForwardedClasses {
    /// Creates a translation from the class names of the old process, by position, to the classes of this one.
    #[must_use]
    pub fn new(old_names: Vec<String>, current: ClientClasses) -> Self {
        ForwardedClasses { old_names, current }
    }

    /// The current terms of the class at a position of the old process; `None` if the settings no longer have a class of
    /// that name.
    pub(crate) fn find(&self, old_position: usize) -> Option<ClassTerms> {
        self.current.find(self.old_names.get(old_position)?)
    }
}
