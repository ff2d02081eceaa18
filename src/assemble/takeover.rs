//! Hot restart: what a process inherits from the one before, and how the next one takes over from it.

use super::FolderAccess;
use super::listener::ConnectionLimits;
use milletturn_engine::{Engine, ForeignCall, Input, Snapshot};
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

/// Requests of processes that want to take over.
pub(super) type TakeoverRequests = mpsc::Receiver<TakeoverRequest>;

/// What came with the state folder.
#[derive(Default)]
pub(super) struct FolderParts {
    /// Whether another process may listen beside this one.
    pub(super) is_shared: bool,
    /// The lock of the folder.
    pub(super) lock: Option<File>,
    /// The socket where clients connect, if it is inherited.
    pub(super) listener: Option<TcpListener>,
    /// The process that this one takes over from.
    pub(super) predecessor: Option<Predecessor>,
}

/// The process that this one takes over from.
pub(super) struct Predecessor {
    /// The state of its engine.
    pub(super) snapshot: Snapshot,
    /// Operators have drained it.
    pub(super) is_drained: bool,
    /// Its connections, which count against this process's limits until it is gone.
    pub(super) in_use: ConnectionsInUse,
    /// Receives what its clients and calls bring.
    pub(super) bridge: Bridge,
}

/// Connections of the predecessor.
pub(super) struct ConnectionsInUse {
    clients: usize,
    calls: usize,
}

impl FolderParts {
    pub(super) fn from_access(access: FolderAccess) -> Self {
        match access {
            FolderAccess::Configured => FolderParts::default(),
            FolderAccess::Locked(FolderOwnership::Exclusive { lock, listener }) => FolderParts {
                is_shared: true,
                lock: Some(lock),
                listener,
                predecessor: None,
            },
            FolderAccess::Locked(FolderOwnership::Takeover(takeover)) => {
                FolderParts::from_takeover(*takeover)
            }
        }
    }

    fn from_takeover(takeover: Takeover) -> Self {
        FolderParts {
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

/// What a process needs to be taken over.
pub(super) struct Owner {
    pub(super) gate: Rc<DrainGate>,
    pub(super) lock: Option<File>,
    pub(super) listening_socket: OwnedFd,
}

/// Runs the engine to its end, and what is left here after another process has taken over. False if the process must
/// exit at once.
pub(super) async fn run_engine(
    mut engine: Engine,
    mut inputs: mpsc::UnboundedReceiver<Input>,
    requests: TakeoverRequests,
    owner: Owner,
) -> bool {
    match run_until_takeover(&mut engine, &mut inputs, requests, &owner).await {
        None => true,
        Some(OfferOutcome::MustExit) => false,
        Some(OfferOutcome::TakenOver(request)) => {
            let forwarding = ForwardingState {
                cancels: engine.into_cancel_senders(),
                inputs,
                gate: owner.gate,
            };
            forwarding.forward_until_idle(request).await;
            true
        }
    }
}

/// Runs the engine until its inputs end, or until another process takes over.
async fn run_until_takeover(
    engine: &mut Engine,
    inputs: &mut mpsc::UnboundedReceiver<Input>,
    mut requests: TakeoverRequests,
    owner: &Owner,
) -> Option<OfferOutcome> {
    loop {
        let request = tokio::select! {
            () = engine.run(inputs) => return None,
            Some(request) = requests.recv() => request,
        };
        // a process that ends is not taken over: the next one begins when it is gone
        let Some(lock) = owner.lock.as_ref().filter(|_| !owner.gate.is_retiring()) else {
            continue;
        };
        let inherited = InheritedState {
            listener: owner.listening_socket.as_fd(),
            lock: lock.as_fd(),
            gate: &owner.gate,
        };
        match old_process::offer_takeover(request, engine, &inherited).await {
            Ok(outcome) => {
                owner.gate.hand_over();
                log(format_args!(
                    "hot restart: {} clients and {} calls stay here",
                    owner.gate.open_connections(),
                    engine.calls_in_flight()
                ));
                return Some(outcome);
            }
            Err(error) => log(format_args!("hot restart: goes on here: {error}")),
        }
    }
}

/// Receives from the predecessor until that is gone. Meanwhile its descriptors count against this process's.
pub(super) async fn bridge_until_exit(
    bridge: Bridge,
    foreign_calls: Vec<ForeignCall>,
    inputs: mpsc::UnboundedSender<Input>,
    limits: ConnectionLimits,
    in_use: ConnectionsInUse,
) {
    let mut lent = Vec::new();
    for (limit, in_use) in [
        (limits.clients, in_use.clients),
        (limits.calls, in_use.calls),
    ] {
        // half stays: the old process gives its own back within seconds
        let part = u32::try_from(in_use.min(limit.available_permits() / 2)).unwrap_or(0);
        lent.extend(limit.try_acquire_many_owned(part));
    }
    bridge.run(foreign_calls, inputs).await;
    drop(lent);
}
