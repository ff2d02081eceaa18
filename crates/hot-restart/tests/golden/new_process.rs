//! The new process, run against recorded bytes of an old one.

use crate::data::{
    ARRIVAL_OUTCOMES, CANCELS, COMMIT, CONFIRMED, EXIT, HELLO, OFFER, TO_NEW, TO_OLD, folder,
    inputs,
};
use crate::socket::{assert_same_address, read_exact, send, write};
use milletturn_engine::{EndCause, ForeignCall, Input};
use milletturn_hot_restart::bridge::Bridge;
use milletturn_hot_restart::forwarded_classes::ForwardedClasses;
use milletturn_hot_restart::new_process::{FolderOwnership, acquire_folder};
use milletturn_platform::ClientClasses;
use milletturn_policy::{Class, Effect, Outcome, SECOND};
use std::fs::{self, File, TryLockError};
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// A fake old process: its state folder with lock and socket, and the listener for its clients.
struct FakeOldProcess {
    folder: PathBuf,
    clients: TcpListener,
    lock: File,
    socket: UnixListener,
}

impl FakeOldProcess {
    fn new(name: &str) -> Self {
        let folder = folder(name);
        let lock = File::create(folder.join("lock")).expect("a file");
        lock.lock().expect("the lock is free");
        FakeOldProcess {
            clients: TcpListener::bind("127.0.0.1:0").expect("a port"),
            lock,
            socket: UnixListener::bind(folder.join("handover")).expect("a socket"),
            folder,
        }
    }

    /// Accepts a takeover request, replies with this hello, and makes the offer if the hello is that of the current
    /// version. Returns the connection, and the bytes of the new process's decision.
    async fn offer(&self, hello: &[u8]) -> (UnixStream, Vec<u8>) {
        let (mut peer, _) = self.socket.accept().await.expect("a request");
        assert_eq!(read_exact(&mut peer, HELLO.len()).await, HELLO);
        send(&peer, hello, [&self.clients, &self.lock]).await;
        if hello == HELLO {
            write(&mut peer, OFFER).await;
        }
        let decision = read_exact(&mut peer, COMMIT.len()).await;
        (peer, decision)
    }

    fn assert_locked(&self) {
        let other = File::open(self.folder.join("lock")).expect("the file");
        assert!(matches!(other.try_lock(), Err(TryLockError::WouldBlock)));
    }
}

impl Drop for FakeOldProcess {
    fn drop(&mut self) {
        // a folder that can't be removed does not disturb other tests
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Whether the settings of the new process order the class of the message that has a subject.
#[derive(Clone, Copy, PartialEq)]
enum FirstClass {
    Ordered,
    Unordered,
}

/// Stands in for the engine of the new process: checks each input, and replies to the arrivals with `ARRIVAL_OUTCOMES`.
async fn check_inputs(received: &mut mpsc::UnboundedReceiver<Input>, first_class: FirstClass) {
    let mut outcomes = ARRIVAL_OUTCOMES.into_iter();
    let (expected, _outcomes) = inputs();
    for expected in expected {
        match (received.recv().await.expect("an input"), expected) {
            (Input::Arrived(found), Input::Arrived(expected)) => {
                assert_eq!(found.submitted_at.elapsed(), Duration::from_micros(1234));
                let subject = match first_class {
                    FirstClass::Ordered => expected.subject,
                    FirstClass::Unordered => None,
                };
                assert_eq!(
                    (found.id, found.key, found.subject, found.tenant),
                    (expected.id, expected.key, subject, expected.tenant)
                );
                assert_eq!(
                    (found.class, found.destination, found.time_to_live),
                    (expected.class, expected.destination, expected.time_to_live)
                );
                assert_eq!(
                    (found.resubmitted, found.from_lost_sender, found.body),
                    (
                        expected.resubmitted,
                        expected.from_lost_sender,
                        expected.body
                    )
                );
                let outcome = outcomes.next().expect("one for each");
                found.reply.send(outcome).expect("the receiver is open");
            }
            // the other inputs contain no channels and no times, so their `Debug` output can be compared
            (found, expected) => assert_eq!(format!("{found:?}"), format!("{expected:?}")),
        }
    }
}

/// The calls that the old process has in flight, and the senders that cancel messages in them.
fn foreign_calls() -> (Vec<ForeignCall>, Vec<mpsc::UnboundedSender<usize>>) {
    let sizes = [(20, 3), (300, 12)];
    let calls = sizes.into_iter().map(|(call, items)| {
        let (cancels, receiver) = mpsc::unbounded_channel();
        let call = ForeignCall {
            call,
            items,
            cancels: receiver,
        };
        (call, cancels)
    });
    calls.unzip()
}

/// Length of the last two frames of `TO_OLD`, which are the cancellations.
const CANCEL_BYTES: usize = 7 + 8;

#[tokio::test(start_paused = true)]
async fn the_new_process_reads_and_writes_the_recorded_bytes() {
    check_takeover("golden-new", FirstClass::Ordered).await;
}

/// Guards against a subject that is kept for a class that the settings of the new process don't order.
#[tokio::test(start_paused = true)]
async fn the_new_process_drops_the_subject_of_a_class_that_is_not_ordered() {
    check_takeover("golden-unordered", FirstClass::Unordered).await;
}

async fn check_takeover(folder_name: &str, first_class: FirstClass) {
    LocalSet::new()
        .run_until(async {
            let old = FakeOldProcess::new(folder_name);
            let old_side = async {
                let (mut peer, decision) = old.offer(HELLO).await;
                assert_eq!(decision, COMMIT);
                write(&mut peer, CONFIRMED).await;
                peer
            };
            let (ownership, peer) = tokio::join!(acquire_folder(&old.folder), old_side);
            let FolderOwnership::Takeover(takeover) = ownership.expect("a folder") else {
                panic!("the new process did not take over")
            };
            assert_eq!(takeover.client_connections, 2);
            assert_eq!(takeover.calls_in_flight, 1);
            assert!(takeover.is_drained);
            let snapshot = format!("{:?}", takeover.snapshot);
            assert!(snapshot.contains("m1"), "{snapshot}");
            assert_same_address(&takeover.listener, &old.clients);
            takeover.lock.try_lock().expect("shared");
            old.assert_locked();
            check_bridge(takeover.bridge, peer, first_class).await;
        })
        .await;
}

/// Six classes that have the same positions in both processes. All but the first one are unordered.
fn classes(first_class: FirstClass) -> ForwardedClasses {
    let names: Vec<String> = (0..6).map(|number| format!("class-{number}")).collect();
    let current = names.iter().enumerate().map(|(position, name)| {
        let class = Class {
            ordered: position == 0 && first_class == FirstClass::Ordered,
            ..Class::new(name, Effect::Unsafe, SECOND, SECOND)
        };
        (position, class)
    });
    let current = ClientClasses::new(current);
    ForwardedClasses::new(names, current)
}

/// Exchanges frames with a bridge as the old process, and then closes the connection, as at the exit of that process.
async fn check_bridge(bridge: Bridge, mut peer: UnixStream, first_class: FirstClass) {
    let (inputs, mut received) = mpsc::unbounded_channel();
    let (calls, cancels) = foreign_calls();
    let old_side = async {
        write(&mut peer, TO_NEW).await;
        check_inputs(&mut received, first_class).await;
        let mut written = read_exact(&mut peer, TO_OLD.len() - CANCEL_BYTES).await;
        for (cancels, (_, position)) in cancels.iter().zip(CANCELS) {
            cancels.send(position).expect("the receiver is open");
            sleep(Duration::from_millis(1)).await;
        }
        written.extend(read_exact(&mut peer, CANCEL_BYTES).await);
        assert_eq!(written, TO_OLD);
        // the old process exits; its remaining calls must end as reset
        drop(peer);
        let mut cut_off = Vec::new();
        while let Some(input) = received.recv().await {
            let Input::AttemptEnded(end) = input else {
                panic!("{input:?}")
            };
            assert_eq!(
                (end.outcome, end.cause, end.message_closed),
                (Outcome::Reset, EndCause::ForeignProcess, false)
            );
            cut_off.push((end.call, end.position));
        }
        assert_eq!(cut_off, [(20, 0), (20, 1), (20, 2), (300, 10), (300, 11)]);
    };
    tokio::join!(bridge.run(calls, inputs, classes(first_class)), old_side);
}

#[tokio::test(start_paused = true)]
async fn a_process_of_another_version_must_exit() {
    LocalSet::new()
        .run_until(async {
            let old = FakeOldProcess::new("golden-version");
            let old_side = async {
                let (peer, decision) = old.offer(b"MTH1\x06\0\0\0").await;
                assert_eq!(decision, EXIT);
                // the old process exits, as it was told to
                old.lock.unlock().expect("the lock is held");
                drop(peer);
            };
            let (ownership, ()) = tokio::join!(acquire_folder(&old.folder), old_side);
            let FolderOwnership::Exclusive {
                lock: _lock,
                listener: Some(listener),
            } = ownership.expect("a folder")
            else {
                panic!("the new process does not own the folder")
            };
            assert_same_address(&listener, &old.clients);
            old.assert_locked();
        })
        .await;
}
