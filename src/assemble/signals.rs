//! The async runtime of a process, and its handling of SIGTERM and SIGHUP.

use milletturn_logging::log;
use std::error::Error;
use std::future::ready;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, yield_now};

/// Handlers of SIGTERM and SIGHUP. They are installed before any file is read, so that a SIGHUP sent after a file has
/// been read neither kills the process nor is missed.
pub(crate) struct Signals {
    pub(super) terminate: Signal,
    pub(super) hangup: Signal,
    /// A SIGHUP was received before the process could reload its configuration.
    has_pending_hangup: bool,
}

impl Signals {
    /// Installs handlers for both signals.
    pub(crate) fn new() -> std::io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            hangup: signal(SignalKind::hangup())?,
            has_pending_hangup: false,
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

impl Signals {
    /// Waits for SIGTERM in a process that can't reload its configuration yet. Calls `on_hangup` on each SIGHUP, and
    /// keeps it for [`take_hangup`](Self::take_hangup).
    pub(crate) async fn wait_for_sigterm_before_start(&mut self, on_hangup: impl Fn()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                Some(()) = self.hangup.recv() => {
                    self.has_pending_hangup = true;
                    on_hangup();
                }
            }
        }
    }

    /// Whether a SIGHUP was received that nobody has handled yet. It counts as handled from now on.
    pub(crate) async fn take_hangup(&mut self) -> bool {
        // returns after the runtime has polled the kernel, so that a signal that has arrived is seen
        yield_now().await;
        let has_arrived = tokio::select! {
            biased;
            Some(()) = self.hangup.recv() => true,
            () = ready(()) => false,
        };
        std::mem::take(&mut self.has_pending_hangup) || has_arrived
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
