//! Whether clients are let in: the state machine behind `GET /ready`, drains, and the end of the process.
//!
//! ```text
//! Open <-> Drained        by operators
//!   \        |
//!    +----> HandedOver    by a process that takes this one's place, for good
//!    +----> Ending        by SIGTERM, for good
//! ```

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// From a drain to the end of idle client connections. The front asks every 100 ms and sends no new connection
/// 200 ms after a no; what is used until then is closed behind its answer. Later leaves clients more time to
/// come back by themselves, sooner leaves more room before the 4 s at which none may stand idle.
const DRAIN_IDLE: Duration = Duration::from_millis(1000);
/// From a drain to the last message that is taken on: 4 s after it there may be no connection with a message
/// of the last 2 s.
const DRAIN_TAKES: Duration = Duration::from_millis(1800);
/// From SIGTERM to the end of idle client connections. SIGKILL comes no sooner than 3.7 s after SIGTERM.
const ENDING_IDLE: Duration = Duration::from_millis(2500);
/// From SIGTERM to the end of all that has no whole request: what is half read is turned away, and told so. The process
/// ends 0.3 s behind that, which answers need to be written and clients to close.
const ENDING_LAST: Duration = Duration::from_millis(3000);

/// What the clients' door does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Takes clients.
    Open,
    /// Emptied by operators since then.
    Drained(Instant),
    /// Another process has taken over: clients that are connected still are served, and asked to go.
    HandedOver,
    /// The process ends.
    Ending(Instant),
}

impl Phase {
    /// When idle connections are closed.
    fn closes_idle(self) -> Option<Instant> {
        match self {
            // each is answered once more, or goes when it has been idle for long
            Phase::Open | Phase::HandedOver => None,
            Phase::Drained(since) => Some(since + DRAIN_IDLE),
            Phase::Ending(since) => Some(since + ENDING_IDLE),
        }
    }

    /// When connections that have no whole request are closed.
    fn closes_last(self) -> Option<Instant> {
        match self {
            Phase::Ending(since) => Some(since + ENDING_LAST),
            _ => None,
        }
    }

    /// True while messages are still taken on. A process that ends takes them to the last: nothing tells its
    /// clients sooner.
    fn accepts_messages(self, now: Instant) -> bool {
        !matches!(self, Phase::Drained(since) if now >= since + DRAIN_TAKES)
    }
}

/// The phase, and those who wait for it.
#[derive(Debug)]
pub struct DrainGate {
    phase: watch::Sender<Phase>,
    /// Idle connections are to be closed.
    closing_idle: watch::Sender<bool>,
    /// So are those in the middle of a request.
    closing_all: watch::Sender<bool>,
    /// The sender serves in another process, whatever this one does.
    is_handed_over: Cell<bool>,
    /// Connections that are open.
    open_connections: Cell<usize>,
}

impl DrainGate {
    /// An open one. [`DrainGate::run`] must run beside it.
    #[allow(clippy::new_without_default)]
    #[must_use]
    pub fn new() -> Self {
        DrainGate {
            phase: watch::channel(Phase::Open).0,
            closing_idle: watch::channel(false).0,
            closing_all: watch::channel(false).0,
            is_handed_over: Cell::new(false),
            open_connections: Cell::new(0),
        }
    }

    /// True while clients are wanted.
    pub fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Open || self.is_handed_over.get()
    }

    /// True if each answer is to close its connection.
    pub fn closes_connections(&self) -> bool {
        *self.phase.borrow() != Phase::Open
    }

    /// True while messages are taken on.
    pub fn accepts_messages(&self) -> bool {
        self.phase.borrow().accepts_messages(Instant::now())
    }

    /// Turns true when idle connections are to go.
    pub fn closing_idle(&self) -> watch::Receiver<bool> {
        self.closing_idle.subscribe()
    }

    /// Turns true when connections are to go also in the middle of a request.
    pub fn closing_all(&self) -> watch::Receiver<bool> {
        self.closing_all.subscribe()
    }

    /// Empties the sender; false if the process ends. A drain that is on goes on.
    pub fn drain(&self) -> bool {
        self.phase.send_if_modified(|phase| {
            let open = *phase == Phase::Open;
            if open {
                *phase = Phase::Drained(Instant::now());
            }
            open
        });
        !self.is_retiring()
    }

    /// Ends a drain; false if the process ends.
    pub fn resume(&self) -> bool {
        self.phase.send_if_modified(|phase| {
            let drained = matches!(phase, Phase::Drained(_));
            if drained {
                *phase = Phase::Open;
            }
            drained
        });
        !self.is_retiring()
    }

    /// Another process has taken over; one that ends goes on ending.
    pub fn hand_over(&self) {
        self.is_handed_over.set(true);
        let next = if self.is_retiring() {
            *self.phase.borrow()
        } else {
            Phase::HandedOver
        };
        self.phase.send_replace(next);
    }

    /// Waits until another process has taken over.
    pub async fn until_handed_over(&self) {
        // the sender lives as long as this
        let _ = self
            .phase
            .subscribe()
            .wait_for(|_| self.is_handed_over.get())
            .await;
    }

    /// The process ends.
    pub fn begin_shutdown(&self) {
        self.phase.send_replace(Phase::Ending(Instant::now()));
    }

    /// True once the process ends, or has been taken over.
    pub fn is_retiring(&self) -> bool {
        matches!(*self.phase.borrow(), Phase::Ending(_) | Phase::HandedOver)
    }

    /// True while operators have it drained.
    pub fn is_drained(&self) -> bool {
        matches!(*self.phase.borrow(), Phase::Drained(_))
    }

    /// Connections from clients that are open.
    pub fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// One more connection, until what this gives is dropped.
    pub fn track_connection(self: &Rc<Self>) -> ConnectionGuard {
        self.open_connections.update(|count| count + 1);
        ConnectionGuard(self.clone())
    }

    /// Tells idle connections when to go, and no longer once the gate is open again.
    pub async fn run(self: Rc<Self>) {
        let mut phases = self.phase.subscribe();
        loop {
            let phase = *phases.borrow_and_update();
            let mut next: Option<Instant> = None;
            for (due, turned) in [
                (phase.closes_idle(), &self.closing_idle),
                (phase.closes_last(), &self.closing_all),
            ] {
                let now = due.is_some_and(|due| due <= Instant::now());
                turned.send_if_modified(|turned| std::mem::replace(turned, now) != now);
                next = next.into_iter().chain(due.filter(|_| !now)).min();
            }
            tokio::select! {
                changed = phases.changed() => if changed.is_err() { return },
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {}
            }
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub struct ConnectionGuard(Rc<DrainGate>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0
            .open_connections
            .update(|count| count.saturating_sub(1));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::task::LocalSet;
    use tokio::time::advance;

    #[tokio::test(start_paused = true)]
    async fn a_drain_closes_idle_connections_and_a_resume_opens_again() {
        LocalSet::new()
            .run_until(async {
                let gate = Rc::new(DrainGate::new());
                tokio::task::spawn_local(gate.clone().run());
                let closing = gate.closing_idle();
                assert!(gate.is_ready() && gate.accepts_messages() && !gate.closes_connections());
                assert!(gate.drain());
                advance(DRAIN_IDLE / 2).await;
                // a second word must not start the time anew
                assert!(gate.drain());
                assert!(
                    !gate.is_ready()
                        && gate.closes_connections()
                        && gate.accepts_messages()
                        && !*closing.borrow()
                );
                tokio::time::sleep(DRAIN_IDLE / 2 + Duration::from_millis(1)).await;
                assert!(*closing.borrow());
                tokio::time::sleep(DRAIN_TAKES - DRAIN_IDLE).await;
                assert!(!gate.accepts_messages());
                assert!(gate.resume());
                tokio::time::sleep(Duration::from_millis(1)).await;
                assert!(gate.is_ready() && gate.accepts_messages() && !*closing.borrow());
            })
            .await;
    }

    #[tokio::test(start_paused = true)]
    async fn the_end_is_for_good() {
        LocalSet::new()
            .run_until(async {
                let gate = Rc::new(DrainGate::new());
                tokio::task::spawn_local(gate.clone().run());
                assert!(gate.drain());
                gate.begin_shutdown();
                assert!(!gate.resume() && !gate.drain() && !gate.is_ready());
                tokio::time::sleep(ENDING_IDLE + Duration::from_millis(1)).await;
                assert!(*gate.closing_idle().borrow() && gate.accepts_messages());
            })
            .await;
    }
}
