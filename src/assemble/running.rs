//! A running sender, up to the end of its graceful shutdown after SIGTERM.

use super::Signals;
use milletturn_admin::Metrics;
use milletturn_engine::{Input, Notification};
use milletturn_logging::log;
use milletturn_platform::server::{Server, serve};
use milletturn_platform::{ClientClasses, DrainGate};
use milletturn_policy::Settings;
use std::error::Error;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

/// Maximum time from SIGTERM to the end of the process. SIGKILL follows SIGTERM after 3.7 s at the earliest, so this
/// must be shorter.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3300);

/// Handles that the components of a sender share.
pub(super) struct SharedHandles {
    /// Sends inputs to the engine.
    pub(super) inputs: mpsc::UnboundedSender<Input>,
    /// True once the sender knows its endpoints.
    pub(super) ready: watch::Receiver<bool>,
    /// Controls whether clients are admitted. Drains, hot restarts and the shutdown change it.
    pub(super) gate: Rc<DrainGate>,
    /// Counters for the admin listener.
    pub(super) metrics: Rc<Metrics>,
    /// Classes that clients may name.
    pub(super) classes: ClientClasses,
}

impl SharedHandles {
    pub(super) fn new(
        inputs: mpsc::UnboundedSender<Input>,
        ready: watch::Receiver<bool>,
        settings: &Settings,
    ) -> Self {
        let classes = ClientClasses::new(settings.classes.iter().cloned().enumerate());
        SharedHandles {
            inputs,
            ready,
            gate: Rc::new(DrainGate::new()),
            metrics: Rc::new(Metrics::default()),
            classes,
        }
    }
}

/// A running sender.
pub(crate) struct Running {
    /// Sends inputs to the engine.
    pub inputs: mpsc::UnboundedSender<Input>,
    /// Receives the final outcomes of messages. Taken by the task that posts them to discovery or, in the sidecar,
    /// records them in the outcome log.
    pub final_outcomes: Option<mpsc::UnboundedReceiver<Notification>>,
    /// Counters for the admin listener.
    pub metrics: Rc<Metrics>,
    /// Controls whether clients are admitted. Drains, hot restarts and the shutdown change it.
    pub gate: Rc<DrainGate>,
    /// True once the sender knows its endpoints.
    pub ready: watch::Receiver<bool>,
    /// Classes that clients may name.
    pub classes: ClientClasses,
    name: String,
    /// The server for clients; `None` once it serves them.
    server: Option<ClientServer>,
    /// The engine's task; its result is false if the process must exit at once.
    engine: JoinHandle<bool>,
}

/// The server for clients and its listening socket, which queues their connections until the server runs.
pub(super) struct ClientServer {
    pub(super) listener: TcpListener,
    pub(super) server: Server,
}

impl Running {
    pub(super) fn new(
        name: String,
        handles: SharedHandles,
        final_outcomes: mpsc::UnboundedReceiver<Notification>,
        server: ClientServer,
        engine: JoinHandle<bool>,
    ) -> Self {
        Running {
            inputs: handles.inputs,
            final_outcomes: Some(final_outcomes),
            metrics: handles.metrics,
            gate: handles.gate,
            ready: handles.ready,
            classes: handles.classes,
            name,
            server: Some(server),
            engine,
        }
    }

    /// Starts to serve clients. Until then their connections wait in the socket's queue.
    pub(crate) fn serve_clients(&mut self) {
        if let Some(ClientServer { listener, server }) = self.server.take() {
            tokio::task::spawn_local(serve(listener, Rc::new(server)));
        }
    }

    /// Runs until SIGTERM, and then until the shutdown is complete or timed out. Calls `on_hangup` on each SIGHUP.
    ///
    /// # Errors
    /// If the engine fails, or the process that takes over can't read this one's state.
    pub(crate) async fn run_until_sigterm(
        self,
        mut signals: Signals,
        mut on_hangup: impl FnMut(),
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
                        // the new process starts from the journal once this one has ended; this one must not respond to
                        // clients or call endpoints any more
                        false => Err("the process that takes over can't read the state of this one".into()),
                    };
                }
                Some(()) = signals.hangup.recv() => on_hangup(),
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
                // the address for pending notifications can still be changed while draining
                Some(()) = signals.hangup.recv() => on_hangup(),
            }
        }
        log(format_args!("{name}: exiting"));
        Ok(())
    }
}
