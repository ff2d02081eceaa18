//! A switch that cuts a simulated process off between two steps, as SIGKILL does.

use std::cell::Cell;
use std::rc::Rc;

/// Counts steps that can be seen from outside (a write, a send, an answer). Behind the last one allowed, nothing
/// that the process does has any effect: ports ask [`CrashPoint::try_step`] first and do nothing without it.
#[derive(Debug, Clone)]
pub struct CrashPoint(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    taken: Cell<u64>,
    most: Cell<u64>,
}

impl CrashPoint {
    /// CrashPoint for so many steps.
    #[must_use]
    pub fn new(most: u64) -> Self {
        CrashPoint(Rc::new(Inner {
            taken: Cell::new(0),
            most: Cell::new(most),
        }))
    }

    /// Takes a step; false once the power is off, and then for good.
    #[must_use]
    pub fn try_step(&self) -> bool {
        if self.has_crashed() {
            return false;
        }
        self.0.taken.set(self.0.taken.get() + 1);
        true
    }

    /// True once no step is left.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.0.taken.get() >= self.0.most.get()
    }

    /// Steps taken so far.
    #[must_use]
    pub fn steps_taken(&self) -> u64 {
        self.0.taken.get()
    }
}
