//! The engine observer that writes the program's log.

use milletturn_engine::{EngineEvent, Observer};
use milletturn_logging::{RateLimitedLog, log};

/// Writes the log lines of the decision module to the program's log, and journal errors at a limited rate.
#[derive(Debug, Default)]
pub(crate) struct Logger {
    journal_errors: RateLimitedLog,
}

impl Observer for Logger {
    fn observe(&mut self, event: &EngineEvent<'_>) {
        match event {
            EngineEvent::PolicyLog(text) => log(format_args!("{text}")),
            EngineEvent::JournalFailed(error) => {
                self.journal_errors.log(format_args!("journal: {error}"));
            }
            _ => {}
        }
    }
}
