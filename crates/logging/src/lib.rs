//! Logging to standard error. A closed standard error must not end the process, and a persistent fault must not flood
//! the log.

use std::cell::Cell;
use std::fmt::Arguments;
use std::io::Write;
use std::time::{Duration, Instant};

/// Writes a line to standard error. A line that can't be written is dropped, whereas `eprintln!` would panic.
pub fn log(line: Arguments<'_>) {
    let _ = std::io::stderr()
        .lock()
        .write_all(format!("{line}\n").as_bytes());
}

/// Minimum time between two lines of one [`RateLimitedLog`].
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// A log for persistent faults, which would otherwise be logged for each message: the first line is written at once,
/// and later lines at most once in ten seconds.
#[derive(Debug, Default)]
pub struct RateLimitedLog {
    /// When the last line was written.
    last_logged: Cell<Option<Instant>>,
}

impl RateLimitedLog {
    /// Logs the line, unless one was logged within the last ten seconds; in that case the line is dropped.
    pub fn log(&self, line: Arguments<'_>) {
        if self
            .last_logged
            .get()
            .is_none_or(|last| last.elapsed() > MIN_INTERVAL)
        {
            self.last_logged.set(Some(Instant::now()));
            log(line);
        }
    }
}
