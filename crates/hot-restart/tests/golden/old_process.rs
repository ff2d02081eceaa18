//! The old process, run against recorded bytes of a new one.

use crate::data::{
    ARRIVAL_OUTCOMES, CANCELS, COMMIT, CONFIRMED, HELLO, OFFER, TO_NEW, TO_OLD, engine, folder,
    inputs,
};
use crate::socket::{assert_same_address, read_exact, receive, write};
use milletturn_engine::{ArrivalOutcome, EngineStatus, Input};
use milletturn_hot_restart::forwarding::ForwardingState;
use milletturn_hot_restart::old_process::{self, InheritedState, OfferOutcome, TakeoverRequest};
use milletturn_platform::DrainGate;
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::path::Path;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;

/// Requests a takeover at the socket of the old process. Returns the request as the old process receives it, and the
/// new process's end of the connection.
async fn request_takeover(folder: &Path) -> (TakeoverRequest, UnixStream) {
    let listener = old_process::listen(folder).expect("a socket");
    let (requests, mut received) = mpsc::channel(1);
    tokio::task::spawn_local(old_process::accept_requests(listener, requests));
    let mut peer = UnixStream::connect(folder.join("handover"))
        .await
        .expect("the socket accepts connections");
    write(&mut peer, HELLO).await;
    let request = received.recv().await.expect("a request");
    (request, peer)
}

/// Acts as the new process: checks the offer and its descriptors, and commits.
async fn commit(peer: &mut UnixStream, clients: &TcpListener) {
    let (hello, mut descriptors) = receive(peer).await;
    assert_eq!(hello, HELLO);
    assert_eq!(descriptors.len(), 2);
    let lock = File::from(descriptors.pop().expect("the lock"));
    lock.try_lock()
        .expect("the lock is shared with the old process");
    let inherited = TcpListener::from(descriptors.pop().expect("the listener"));
    assert_same_address(&inherited, clients);
    let offer = read_exact(peer, OFFER.len()).await;
    assert!(offer == OFFER, "the offer differs from the recorded bytes");
    write(peer, COMMIT).await;
}

/// An old process that has been taken over, with the channels that show what the new process sent to its clients and
/// calls.
struct ForwardingProcess {
    forwarding: ForwardingState,
    outcomes: Vec<oneshot::Receiver<ArrivalOutcome>>,
    cancelled: Vec<mpsc::UnboundedReceiver<usize>>,
    status: oneshot::Receiver<EngineStatus>,
    /// Keeps the inputs open.
    _inputs: mpsc::UnboundedSender<Input>,
}

impl ForwardingProcess {
    fn new(gate: Rc<DrainGate>) -> Self {
        let (sender, received) = mpsc::unbounded_channel();
        let (forwarded, outcomes) = inputs();
        for input in forwarded {
            sender.send(input).expect("open");
        }
        // a status request is answered with an empty status and is not forwarded to the new process
        let (reply, status) = oneshot::channel();
        sender.send(Input::GetStatus(reply)).expect("open");
        let (cancels, cancelled): (BTreeMap<_, _>, Vec<_>) = CANCELS
            .iter()
            .map(|&(call, _)| {
                let (cancels, receiver) = mpsc::unbounded_channel();
                ((call, cancels), receiver)
            })
            .unzip();
        ForwardingProcess {
            forwarding: ForwardingState {
                cancels,
                inputs: received,
                gate,
            },
            outcomes,
            cancelled,
            status,
            _inputs: sender,
        }
    }

    /// Runs the forwarding, with `peer` acting as the new process.
    async fn forward(self, request: TakeoverRequest, peer: &mut UnixStream) {
        let mut cancelled = self.cancelled;
        let peer_side = async {
            assert_eq!(read_exact(peer, CONFIRMED.len()).await, CONFIRMED);
            let frames = read_exact(peer, TO_NEW.len()).await;
            assert!(
                frames == TO_NEW,
                "the frames differ from the recorded bytes"
            );
            write(peer, TO_OLD).await;
            for (outcome, expected) in self.outcomes.into_iter().zip(ARRIVAL_OUTCOMES) {
                assert_eq!(outcome.await, Ok(expected));
            }
            for (cancelled, (_, position)) in cancelled.iter_mut().zip(CANCELS) {
                assert_eq!(cancelled.recv().await, Some(position));
            }
            drop(cancelled);
            assert_eq!(self.status.await, Ok(EngineStatus::default()));
            let more = peer.read(&mut [0; 8]).await.expect("end of the stream");
            assert_eq!(more, 0, "no more frames");
        };
        tokio::join!(self.forwarding.forward_until_idle(request), peer_side);
    }
}

#[tokio::test(start_paused = true)]
async fn the_old_process_writes_and_reads_the_recorded_bytes() {
    LocalSet::new()
        .run_until(async {
            let folder = folder("golden-old");
            let (request, mut peer) = request_takeover(&folder).await;
            let clients = TcpListener::bind("127.0.0.1:0").expect("a port");
            let lock = File::create(folder.join("lock")).expect("a file");
            let gate = Rc::new(DrainGate::new());
            let connections = [gate.track_connection(), gate.track_connection()];
            assert!(gate.drain());
            let engine = engine().await;
            let inherited = InheritedState {
                listener: clients.as_fd(),
                lock: lock.as_fd(),
                gate: &gate,
            };
            let (outcome, ()) = tokio::join!(
                old_process::offer_takeover(request, &engine, &inherited),
                commit(&mut peer, &clients)
            );
            let Ok(OfferOutcome::TakenOver(request)) = outcome else {
                panic!("the offer was not committed: {outcome:?}")
            };
            drop(connections);
            ForwardingProcess::new(gate)
                .forward(request, &mut peer)
                .await;
            fs::remove_dir_all(folder).expect("removed");
        })
        .await;
}
