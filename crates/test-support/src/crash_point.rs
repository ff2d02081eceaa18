//! Simulates SIGKILL: stops a simulated process between two of its externally visible steps.

use std::cell::Cell;
use std::rc::Rc;

/// Counts the externally visible steps of a simulated process (a write, a send, a response) and crashes the process
/// after a given number of them.
///
/// Ports call [`CrashPoint::try_step`] before each such step and do nothing when that returns false, so that nothing
/// the process does after the crash has any effect.
#[derive(Debug, Clone)]
pub struct CrashPoint(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    steps_taken: Cell<u64>,
    max_steps: Cell<u64>,
}

impl CrashPoint {
    /// Crashes the process after `max_steps` steps; `u64::MAX` means never.
    #[must_use]
    pub fn new(max_steps: u64) -> Self {
        CrashPoint(Rc::new(Inner {
            steps_taken: Cell::new(0),
            max_steps: Cell::new(max_steps),
        }))
    }

    /// Counts a step and returns true, or returns false without counting it if the process has crashed.
    #[must_use]
    pub fn try_step(&self) -> bool {
        if self.has_crashed() {
            return false;
        }
        self.0.steps_taken.set(self.0.steps_taken.get() + 1);
        true
    }

    /// Whether the process has crashed: true once it has taken `max_steps` steps.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.0.steps_taken.get() >= self.0.max_steps.get()
    }

    /// Number of steps taken so far.
    #[must_use]
    pub fn steps_taken(&self) -> u64 {
        self.0.steps_taken.get()
    }
}
