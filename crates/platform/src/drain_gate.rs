//! Whether clients are admitted: the state machine behind `GET /ready`, drains, hot restarts and shutdown.
//!
//! ```text
//! Open <-> Draining         by operators
//!   \        |
//!    +----> Replaced        by a process that takes over in a hot restart, permanent
//!    +----> ShuttingDown    by SIGTERM, permanent
//! ```

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Time from the start of a drain until idle client connections are closed. The load balancer polls `GET /ready` every
/// 100 ms, and stops sending new connections within 200 ms of a negative response. A connection that is used before its
/// idle close is closed after its response. Larger values give clients more time to use their connections once more;
/// smaller values leave more margin before the limit of 4 s, after which no connection may be idle.
const DRAIN_IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1000);
/// Time from the start of a drain during which messages are still accepted. 4 s after the start, no connection may
/// exist on which a message was received within the last 2 s. The last accepted message is more than 2.2 s old by then.
const DRAIN_ACCEPT_PERIOD: Duration = Duration::from_millis(1800);
/// Time from SIGTERM until idle client connections are closed. SIGKILL follows no sooner than 3.7 s after SIGTERM.
const SHUTDOWN_IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2500);
/// Time from SIGTERM until every connection without a complete request is closed; a partly received request is rejected
/// with a response. The process ends 0.3 s later, which is the time for writing responses and for clients to close.
const SHUTDOWN_CLOSE_DELAY: Duration = Duration::from_millis(3000);

/// The state of the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Clients are admitted.
    Open,
    /// An operator started a drain at this time.
    Draining(Instant),
    /// Another process has taken over in a hot restart. Clients that are still connected are served, and asked to close
    /// their connections.
    Replaced,
    /// SIGTERM was received at this time.
    ShuttingDown(Instant),
}

impl Phase {
    /// When idle connections are closed; `None` if this state does not close them.
    fn closes_idle_at(self) -> Option<Instant> {
        match self {
            // These states do not close idle connections early: each one is closed by its usual idle time limit. A
            // replaced process also closes a connection after the next response on it.
            Phase::Open | Phase::Replaced => None,
            Phase::Draining(since) => Some(since + DRAIN_IDLE_CLOSE_DELAY),
            Phase::ShuttingDown(since) => Some(since + SHUTDOWN_IDLE_CLOSE_DELAY),
        }
    }

    /// When connections without a complete request are closed; `None` if this state does not close them.
    fn closes_all_at(self) -> Option<Instant> {
        match self {
            Phase::ShuttingDown(since) => Some(since + SHUTDOWN_CLOSE_DELAY),
            _ => None,
        }
    }

    /// Whether messages are still accepted. A process that shuts down accepts them until its connections are closed,
    /// because an idle client learns of the shutdown only from the close of its connection.
    fn accepts_messages(self, now: Instant) -> bool {
        !matches!(self, Phase::Draining(since) if now >= since + DRAIN_ACCEPT_PERIOD)
    }
}

/// Decides whether clients are admitted, and tells the server when to close their connections.
#[derive(Debug)]
pub struct DrainGate {
    phase: watch::Sender<Phase>,
    /// Whether idle connections are to be closed.
    closing_idle: watch::Sender<bool>,
    /// Whether connections with an incomplete request are to be closed too.
    closing_all: watch::Sender<bool>,
    /// Whether another process has taken over in a hot restart. `GET /ready` then stays positive whatever this process
    /// does, because the other one serves clients on the same address.
    is_replaced: Cell<bool>,
    open_connections: Cell<usize>,
}

impl DrainGate {
    /// Creates an open gate. [`DrainGate::run`] must run as a task for the times to take effect.
    #[allow(clippy::new_without_default)]
    #[must_use]
    pub fn new() -> Self {
        DrainGate {
            phase: watch::channel(Phase::Open).0,
            closing_idle: watch::channel(false).0,
            closing_all: watch::channel(false).0,
            is_replaced: Cell::new(false),
            open_connections: Cell::new(0),
        }
    }

    /// The answer to `GET /ready`: whether new clients are to be sent here.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Open || self.is_replaced.get()
    }

    /// Whether each response must close its connection.
    pub fn closes_connections(&self) -> bool {
        *self.phase.borrow() != Phase::Open
    }

    /// Whether new messages are accepted: always, except from 1.8 s after the start of a drain until the drain ends.
    pub fn accepts_messages(&self) -> bool {
        self.phase.borrow().accepts_messages(Instant::now())
    }

    /// Becomes true when idle connections must be closed, and false again when a drain ends.
    pub fn closing_idle(&self) -> watch::Receiver<bool> {
        self.closing_idle.subscribe()
    }

    /// Becomes true when connections must be closed even if a request is incomplete.
    pub fn closing_all(&self) -> watch::Receiver<bool> {
        self.closing_all.subscribe()
    }

    /// Starts a drain, unless one is in progress. Returns false if the process shuts down or has been replaced.
    pub fn drain(&self) -> bool {
        self.phase.send_if_modified(|phase| {
            let is_open = *phase == Phase::Open;
            if is_open {
                *phase = Phase::Draining(Instant::now());
            }
            is_open
        });
        !self.is_terminating()
    }

    /// Ends a drain. Returns false if the process shuts down or has been replaced.
    pub fn resume(&self) -> bool {
        self.phase.send_if_modified(|phase| {
            let is_draining = matches!(phase, Phase::Draining(_));
            if is_draining {
                *phase = Phase::Open;
            }
            is_draining
        });
        !self.is_terminating()
    }

    /// Records that another process has taken over. A shutdown that has begun continues.
    pub fn record_takeover(&self) {
        self.is_replaced.set(true);
        let next = if self.is_terminating() {
            *self.phase.borrow()
        } else {
            Phase::Replaced
        };
        self.phase.send_replace(next);
    }

    /// Whether another process has taken over in a hot restart. The settings of this process are out of date then.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced.get()
    }

    /// Waits until another process has taken over in a hot restart.
    pub async fn wait_for_takeover(&self) {
        // waiting cannot fail: the sender of the channel lives as long as `self`
        let _ = self
            .phase
            .subscribe()
            .wait_for(|_| self.is_replaced.get())
            .await;
    }

    /// Starts the shutdown; the time limits count from now.
    pub fn begin_shutdown(&self) {
        self.phase.send_replace(Phase::ShuttingDown(Instant::now()));
    }

    /// Whether the process shuts down or has been replaced in a hot restart, so that it will end soon.
    pub fn is_terminating(&self) -> bool {
        matches!(
            *self.phase.borrow(),
            Phase::ShuttingDown(_) | Phase::Replaced
        )
    }

    /// Whether a drain is in progress.
    pub fn is_draining(&self) -> bool {
        matches!(*self.phase.borrow(), Phase::Draining(_))
    }

    /// Number of open connections from clients.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Counts one more open connection until the returned guard is dropped.
    pub fn track_connection(self: &Rc<Self>) -> ConnectionGuard {
        self.open_connections.update(|count| count + 1);
        ConnectionGuard(self.clone())
    }

    /// Keeps [`closing_idle`](Self::closing_idle) and [`closing_all`](Self::closing_all) up to date: each becomes true
    /// when it is due in the current state, and false when the gate enters a state in which it is not due.
    pub async fn run(self: Rc<Self>) {
        let mut phases = self.phase.subscribe();
        loop {
            let phase = *phases.borrow_and_update();
            let mut next: Option<Instant> = None;
            for (due, signal) in [
                (phase.closes_idle_at(), &self.closing_idle),
                (phase.closes_all_at(), &self.closing_all),
            ] {
                let is_due = due.is_some_and(|due| due <= Instant::now());
                signal.send_if_modified(|value| std::mem::replace(value, is_due) != is_due);
                next = next.into_iter().chain(due.filter(|_| !is_due)).min();
            }
            tokio::select! {
                changed = phases.changed() => if changed.is_err() { return },
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
            }
        }
    }
}

/// Counts as one open connection of its gate until it is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(Rc<DrainGate>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0
            .open_connections
            .update(|count| count.saturating_sub(1));
    }
}
