//! Hot restart: what a process inherits from its predecessor, and how its successor takes over from it.

use super::FolderAccess;
use super::listener::ConnectionLimits;
use milletturn_engine::{Engine, Input, Snapshot};
use milletturn_hot_restart::bridge::Bridge;
use milletturn_hot_restart::forwarding::ForwardingState;
use milletturn_hot_restart::new_process::{FolderOwnership, Takeover};
use milletturn_hot_restart::old_process::{self, InheritedState, OfferOutcome, TakeoverRequest};
use milletturn_logging::log;
use milletturn_platform::DrainGate;
use std::fs::File;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Receives the requests of processes that want to take over from this one.
pub(super) type TakeoverRequests = mpsc::Receiver<TakeoverRequest>;

/// What a process acquired together with its state folder: the lock and, in a hot restart, the predecessor's socket and
/// state.
#[derive(Default)]
pub(super) struct InheritedParts {
    /// Whether another process may listen on the same address (`SO_REUSEPORT`); true with hot restart.
    pub(super) is_shared: bool,
    /// The lock of the state folder; none without hot restart.
    pub(super) lock: Option<File>,
    /// The inherited listening socket for clients, if there is one.
    pub(super) listener: Option<TcpListener>,
    /// The process that this one takes over from, if there is one.
    pub(super) predecessor: Option<Predecessor>,
}

/// The process that this one takes over from.
pub(super) struct Predecessor {
    /// The state of the predecessor's engine.
    pub(super) snapshot: Snapshot,
    /// Whether operators have drained the predecessor.
    pub(super) is_drained: bool,
    /// The predecessor's connections, which count towards this process's limits until the predecessor has ended.
    pub(super) in_use: ConnectionsInUse,
    /// Receives the requests and call results that still arrive at the predecessor.
    pub(super) bridge: Bridge,
}

/// Numbers of connections that the predecessor still has open.
pub(super) struct ConnectionsInUse {
    clients: usize,
    calls: usize,
}

impl InheritedParts {
    pub(super) fn from_access(access: FolderAccess) -> Self {
        match access {
            FolderAccess::Configured => InheritedParts::default(),
            FolderAccess::Locked(FolderOwnership::Exclusive { lock, listener }) => InheritedParts {
                is_shared: true,
                lock: Some(lock),
                listener,
                predecessor: None,
            },
            FolderAccess::Locked(FolderOwnership::Takeover(takeover)) => {
                InheritedParts::from_takeover(*takeover)
            }
        }
    }

    fn from_takeover(takeover: Takeover) -> Self {
        InheritedParts {
            is_shared: true,
            lock: Some(takeover.lock),
            listener: Some(takeover.listener),
            predecessor: Some(Predecessor {
                snapshot: takeover.snapshot,
                is_drained: takeover.is_drained,
                in_use: ConnectionsInUse {
                    clients: takeover.client_connections,
                    calls: takeover.calls_in_flight,
                },
                bridge: takeover.bridge,
            }),
        }
    }
}

/// What a process needs so that its successor can take over.
pub(super) struct HotRestartParts {
    /// Admits clients, and counts their open connections.
    pub(super) gate: Rc<DrainGate>,
    /// The lock of the state folder; none without hot restart.
    pub(super) lock: Option<File>,
    /// A duplicate of the listening socket for clients.
    pub(super) listening_socket: OwnedFd,
}

/// Runs the engine until its inputs end. After a takeover by another process, forwards inputs to that process until the
/// connections and calls of this one have ended. Returns false if the process must exit at once.
pub(super) async fn run_engine(
    mut engine: Engine,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    requests: TakeoverRequests,
    hot_restart: HotRestartParts,
) -> bool {
    match run_until_takeover(&mut engine, &mut inputs, requests, &hot_restart).await {
        None => true,
        Some(OfferOutcome::MustExit) => false,
        Some(OfferOutcome::TakenOver(request)) => {
            let forwarding = ForwardingState {
                cancels: engine.into_cancel_senders(),
                inputs,
                gate: hot_restart.gate,
            };
            forwarding.forward_until_idle(request).await;
            true
        }
    }
}

/// Runs the engine until a new process has decided on an offered takeover, and returns the decision; `None` if the
/// inputs end first. After a failed takeover the engine continues.
async fn run_until_takeover(
    engine: &mut Engine,
    inputs: &mut mpsc::UnboundedReceiver<Input>,
    mut requests: TakeoverRequests,
    hot_restart: &HotRestartParts,
) -> Option<OfferOutcome> {
    loop {
        let request = tokio::select! {
            () = engine.run(inputs) => return None,
            Some(request) = requests.recv() => request,
        };
        // While this process shuts down, takeover requests are dropped: the new process waits for the folder's lock
        // until this one has ended.
        let Some(lock) = hot_restart
            .lock
            .as_ref()
            .filter(|_| !hot_restart.gate.is_terminating())
        else {
            continue;
        };
        let inherited = InheritedState {
            listener: hot_restart.listening_socket.as_fd(),
            lock: lock.as_fd(),
            gate: &hot_restart.gate,
        };
        match old_process::offer_takeover(request, engine, &inherited).await {
            Ok(outcome) => {
                hot_restart.gate.record_takeover();
                log(format_args!(
                    "hot restart: {} clients and {} calls stay here",
                    hot_restart.gate.open_connections(),
                    engine.calls_in_flight()
                ));
                return Some(outcome);
            }
            Err(error) => log(format_args!(
                "hot restart: takeover failed, this process continues: {error}"
            )),
        }
    }
}

/// Runs `receiving`, which receives inputs from the predecessor until it has ended. Meanwhile its open connections count
/// towards the limits of this process.
pub(super) async fn with_reserved_permits(
    receiving: impl Future<Output = ()>,
    limits: ConnectionLimits,
    in_use: ConnectionsInUse,
) {
    let mut reserved_permits = Vec::new();
    for (limit, in_use) in [
        (limits.clients, in_use.clients),
        (limits.calls, in_use.calls),
    ] {
        // At most half of the available permits are reserved, so that this process can open connections at once. The
        // predecessor closes its own within seconds.
        let reserved = u32::try_from(in_use.min(limit.available_permits() / 2)).unwrap_or(0);
        reserved_permits.extend(limit.try_acquire_many_owned(reserved));
    }
    receiving.await;
    drop(reserved_permits);
}
