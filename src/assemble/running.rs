//! A sender that runs, until SIGTERM and the end of its graceful shutdown.

use super::{Signals, of_clients};
use milletturn_admin::Metrics;
use milletturn_engine::{Input, Notification};
use milletturn_logging::log;
use milletturn_platform::DrainGate;
use milletturn_policy::{Class, Settings};
use std::cell::RefCell;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

/// From SIGTERM to the end of the process. SIGKILL comes no sooner than 3.7 s after SIGTERM.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3300);

/// What the parts of a sender share.
pub(super) struct SharedHandles {
    /// Inputs of the engine.
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    /// True once endpoints are known.
    pub(super) ready: watch::Receiver<bool>,
    /// Whether clients are admitted.
    pub(super) gate: Rc<DrainGate>,
    /// What is counted.
    pub(super) metrics: Rc<Metrics>,
    /// Classes that clients may name, with their positions.
    pub(super) classes: Rc<RefCell<Vec<(usize, Class)>>>,
}

impl SharedHandles {
    pub(super) fn new(
        inputs: mpsc::UnboundedSender<Input>,
        ready: watch::Receiver<bool>,
        settings: &Settings,
    ) -> Self {
        let classes = of_clients(settings.classes.iter().cloned().enumerate());
        SharedHandles {
            inputs,
            ready,
            gate: Rc::new(DrainGate::new()),
            metrics: Rc::new(Metrics::default()),
            classes: Rc::new(RefCell::new(classes)),
        }
    }
}

/// A sender that runs.
pub(crate) struct Running {
    /// Inputs of the engine.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Final outcomes of which clients are to be notified.
    pub ends: Option<mpsc::UnboundedReceiver<Notification>>,
    /// What is counted.
    pub metrics: Rc<Metrics>,
    /// Whether clients are admitted.
    pub gate: Rc<DrainGate>,
    /// True once endpoints are known.
    pub ready: watch::Receiver<bool>,
    /// Classes that clients may name, with their positions.
    pub classes: Rc<RefCell<Vec<(usize, Class)>>>,
    name: String,
    /// Ends with false if the process must exit at once.
    engine: JoinHandle<bool>,
}

impl Running {
    pub(super) fn new(
        name: String,
        handles: SharedHandles,
        ends: mpsc::UnboundedReceiver<Notification>,
        engine: JoinHandle<bool>,
    ) -> Self {
        Running {
            inputs: handles.inputs,
            ends: Some(ends),
            metrics: handles.metrics,
            gate: handles.gate,
            ready: handles.ready,
            classes: handles.classes,
            name,
            engine,
        }
    }

    /// Runs until SIGTERM, and then to the end. `hangup` is called at each SIGHUP.
    ///
    /// # Errors
    /// When the engine fails, or the process that takes over can't read this one's state.
    pub(crate) async fn run_until_terminated(
        self,
        mut signals: Signals,
        mut hangup: impl FnMut(),
    ) -> Result<(), Box<dyn Error>> {
        let Running {
            inputs,
            name,
            gate,
            mut engine,
            ..
        } = self;
        loop {
            tokio::select! {
                ended = &mut engine => {
                    return match ended? {
                        true => Ok(()),
                        // nothing more may be answered or sent
                        false => Err("the process that takes over can't read what this one knows".into()),
                    };
                }
                Some(()) = signals.hangup.recv() => hangup(),
                _ = signals.terminate.recv() => break,
            }
        }
        log(format_args!("{name}: SIGTERM, draining"));
        gate.begin_shutdown();
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        let _ = inputs.send(Input::Stopping(deadline));
        let timeout = sleep_until(deadline);
        tokio::pin!(timeout);
        loop {
            tokio::select! {
                () = &mut timeout => break,
                _ = &mut engine => break,
                // notifications are still pending while draining
                Some(()) = signals.hangup.recv() => hangup(),
            }
        }
        log(format_args!("{name}: ends"));
        Ok(())
    }
}
