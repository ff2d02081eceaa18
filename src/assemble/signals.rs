//! The async runtime of a process, and its handling of SIGTERM and SIGHUP.

use milletturn_logging::log;
use std::error::Error;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// Handlers of SIGTERM and SIGHUP. They are installed before any file is read, so that a SIGHUP sent after a file has
/// been read neither kills the process nor is missed.
pub(crate) struct Signals {
    pub(super) terminate: Signal,
    pub(super) hangup: Signal,
}

impl Signals {
    /// Installs handlers for both signals.
    pub(crate) fn new() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for SIGTERM and ignores SIGHUP, for processes without a configuration to reload.
    pub(crate) async fn wait_for_sigterm(&mut self) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                Some(()) = self.hangup.recv() => {}
            }
        }
    }
}

/// Runs a future to completion on a single-threaded runtime, with a local task set.
pub(crate) fn block_on<T>(
    future: impl Future<Output = Result<T, Box<dyn Error>>>,
) -> Result<T, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, future)
}

/// Runs a service until SIGTERM, or until it fails, and returns without draining. `name` is its name in the log.
pub(crate) async fn run_until_sigterm<E: Error + 'static>(
    name: String,
    service: impl Future<Output = Result<(), E>>,
) -> Result<(), Box<dyn Error>> {
    let mut signals = Signals::new()?;
    tokio::select! {
        ended = service => Ok(ended?),
        () = signals.wait_for_sigterm() => {
            log(format_args!("{name}: SIGTERM, exiting"));
            Ok(())
        }
    }
}
