//! The clients' door alone, on one thread as it runs in the sender, under tokio's paused clock: what ends a connection,
//! against the bytes that come at that instant. Clients are plain sockets, written and read in the same thread.

use milletturn_engine::{ArrivalOutcome, Input};
use milletturn_platform::DrainGate;
use milletturn_platform::server::{Server, serve};
use milletturn_policy::{Class, Effect};
use milletturn_test_support::message_request;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, advance, sleep_until};

/// More turns of the runtime than anything here takes.
const TURNS: usize = 200_000;

/// A door with so many places, and beside them so many for those that wait and as many for those that are closed.
struct Door {
    address: SocketAddr,
    server: Rc<Server>,
    gate: Rc<DrainGate>,
    /// Ids of the messages that were handed in. All are taken on.
    taken: Rc<RefCell<Vec<String>>>,
    /// Nothing is answered meanwhile.
    silent: Rc<Cell<bool>>,
    /// Kept open: what the senders in the door are told.
    _ready: watch::Sender<bool>,
}

impl Door {
    async fn open(most: usize, beside: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (inputs, mut received) = mpsc::unbounded_channel();
        let (ready, seen) = watch::channel(true);
        let gate = Rc::new(DrainGate::new());
        let class = Class::new("order", Effect::Unsafe, 4_000_000, 20_000_000);
        let server = Rc::new(Server {
            classes: Rc::new(RefCell::new(vec![(0, class)])),
            inputs,
            ready: seen,
            drain_gate: gate.clone(),
            max_connections: most,
            connection_slots: Arc::new(Semaphore::new(most)),
            waiting_slots: Arc::new(Semaphore::new(beside)),
            lingering_slots: Arc::new(Semaphore::new(beside)),
            body_bytes: Semaphore::new(1 << 20),
        });
        let taken: Rc<RefCell<Vec<String>>> = Rc::default();
        let silent: Rc<Cell<bool>> = Rc::default();
        let (here, waits) = (taken.clone(), silent.clone());
        spawn_local(async move {
            while let Some(input) = received.recv().await {
                if let Input::Arrived(arrival) = input {
                    here.borrow_mut().push(arrival.id.to_string());
                    while waits.get() {
                        turn().await;
                    }
                    // a client that is gone needs no answer
                    let _ = arrival.reply.send(ArrivalOutcome::Accepted);
                }
            }
        });
        spawn_local(gate.clone().run());
        spawn_local(serve(listener, server.clone()));
        Door {
            address,
            server,
            gate,
            taken,
            silent,
            _ready: ready,
        }
    }

    /// A client whose connection the door has accepted.
    async fn client(&self) -> Client {
        let before = self.gate.open_connections();
        let client = Client::connect(self.address);
        turn_until("it is accepted", || self.gate.open_connections() > before).await;
        client
    }

    /// A client whose request is in the door but for its last bytes, which are given back.
    async fn half(&self, id: &str) -> (Client, Vec<u8>) {
        let mut client = self.client().await;
        let mut text = message_request("order", id, 7, 20_000, b"12345");
        let last = text.split_off(text.len() - 2);
        let before = self.server.body_bytes.available_permits();
        client.write(&text);
        turn_until("its head is read", || {
            self.server.body_bytes.available_permits() < before
        })
        .await;
        (client, last)
    }

    /// A client whose first message has been answered.
    async fn idle(&self, id: &str) -> Client {
        let mut client = self.client().await;
        client.write(&message_request("order", id, 7, 20_000, b"x"));
        assert_eq!(client.status().await, "202");
        client
    }
}

/// Lets every other task run once, with no step of the clock.
async fn turn() {
    let mut turned = false;
    poll_fn(|context| {
        if std::mem::replace(&mut turned, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

async fn turns(count: usize) {
    for _ in 0..count {
        turn().await;
    }
}

async fn turn_until(what: &str, mut holds: impl FnMut() -> bool) {
    for number in 0..TURNS {
        if holds() {
            return;
        }
        if number > 1000 {
            // the system may need a moment to carry the bytes
            std::thread::sleep(Duration::from_micros(50));
        }
        turn().await;
    }
    panic!("never came: {what}");
}

/// A client's end.
struct Client {
    stream: TcpStream,
    got: Vec<u8>,
    ended: Option<Result<(), ErrorKind>>,
}

impl Client {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_nodelay(true).expect("set");
        stream.set_nonblocking(true).expect("set");
        Client {
            stream,
            got: Vec::new(),
            ended: None,
        }
    }

    /// Writes, and waits until the system has surely carried the bytes: the tasks stand still meanwhile.
    fn write(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .expect("nothing has reset the connection");
        std::thread::sleep(Duration::from_millis(5));
    }

    fn read(&mut self) {
        let mut buffer = [0; 4096];
        while self.ended.is_none() {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.ended = Some(Ok(())),
                Ok(count) => self.got.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => self.ended = Some(Err(error.kind())),
            }
        }
    }

    /// The next answer's status; empty if the connection ends first, or "reset".
    async fn status(&mut self) -> String {
        let whole = |got: &[u8]| got.windows(4).position(|four| four == b"\r\n\r\n");
        turn_until("an answer or the end", || {
            self.read();
            whole(&self.got).is_some() || self.ended.is_some()
        })
        .await;
        let Some(end) = whole(&self.got) else {
            return if self.ended == Some(Ok(())) {
                String::new()
            } else {
                "reset".into()
            };
        };
        let head = String::from_utf8(self.got.drain(..end + 4).collect()).expect("text");
        head.split(' ').nth(1).expect("a status").to_string()
    }

    /// How the connection ends.
    async fn end(&mut self) -> Result<(), ErrorKind> {
        turn_until("the end", || {
            self.read();
            self.ended.is_some()
        })
        .await;
        self.ended.expect("waited for")
    }
}

/// Runs a test on one thread with a paused clock.
fn paused(test: impl Future<Output = ()> + 'static) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    // a task like the others, which take turns in the order in which they were woken
    LocalSet::new().block_on(&runtime, async {
        spawn_local(test).await.expect("no panic");
    });
}

/// Writes these bytes in the turn before a time's own: the door is woken by that time with the bytes here, and has not
/// heard of them.
async fn write_at(mut client: Client, bytes: Vec<u8>, time: Instant) -> Client {
    let writer = spawn_local(async move {
        sleep_until(time - Duration::from_millis(2)).await;
        client.write(&bytes);
        client
    });
    turn().await;
    // both times are over at once, and wake in their order
    advance(time + Duration::from_millis(1) - Instant::now()).await;
    writer.await.expect("written")
}

#[test]
fn a_last_byte_that_comes_as_the_place_is_asked_for_gets_its_answer() {
    paused(async {
        let door = Door::open(1, 1).await;
        let (mut half, last) = door.half("m1").await;
        let mut new = Client::connect(door.address);
        // accepted, and the place is about to be asked for
        turn_until("it is accepted", || door.gate.open_connections() == 2).await;
        half.write(&last);
        assert_eq!(half.status().await, "202");
        // which frees the place
        new.write(&message_request("order", "m2", 7, 20_000, b"x"));
        assert_eq!(
            (half.end().await, new.status().await.as_str()),
            (Ok(()), "202")
        );
        assert_eq!(*door.taken.borrow(), ["m1", "m2"]);
    });
}

#[test]
fn a_last_byte_that_comes_as_the_time_is_up_gets_its_answer() {
    paused(async {
        // half a head: the door has 2 s for it
        let door = Door::open(4, 1).await;
        let began = Instant::now();
        let mut client = door.client().await;
        let mut text = message_request("order", "m1", 7, 20_000, b"x");
        let last = text.split_off(30);
        client.write(&text);
        let mut client = write_at(client, last, began + Duration::from_millis(2000)).await;
        assert_eq!(client.status().await, "202");
        // another request: the door has 2.5 s for it
        let answered = Instant::now();
        let text = message_request("order", "m2", 7, 20_000, b"x");
        let mut client = write_at(client, text, answered + Duration::from_millis(2500)).await;
        assert_eq!(client.status().await, "202");
        assert_eq!(*door.taken.borrow(), ["m1", "m2"]);
    });
}

#[test]
fn a_half_request_that_has_to_go_is_told_and_not_reset() {
    paused(async {
        let door = Door::open(1, 1).await;
        let (mut half, last) = door.half("m1").await;
        let mut new = Client::connect(door.address);
        new.write(&message_request("order", "m2", 7, 20_000, b"x"));
        assert_eq!(half.status().await, "503");
        // what it still writes is read and dropped
        half.write(&last);
        half.write(b"and more");
        assert_eq!(
            (half.end().await, new.status().await.as_str()),
            (Ok(()), "202")
        );
        turn_until("the last byte is read", || {
            door.gate.open_connections() <= 2
        })
        .await;
        assert_eq!(*door.taken.borrow(), ["m2"]);
    });
}

#[test]
fn a_request_that_crosses_the_close_of_its_idle_connection_is_not_reset() {
    // nor is it sent on: its client hands it in once more
    paused(async {
        let door = Door::open(1, 1).await;
        let mut idle = door.idle("m1").await;
        let mut new = Client::connect(door.address);
        new.write(&message_request("order", "m2", 7, 20_000, b"x"));
        assert_eq!(new.status().await, "202");
        idle.write(&message_request("order", "m3", 7, 20_000, b"x"));
        turns(200).await;
        assert_eq!(idle.end().await, Ok(()));
        idle.write(&[b'x'; 1000]);
        turns(200).await;
        let error = idle.stream.take_error().expect("known");
        assert!(error.is_none(), "{error:?}");
        assert_eq!(*door.taken.borrow(), ["m1", "m2"]);
    });
}

#[test]
fn with_no_place_in_time_a_new_connection_is_told_and_those_behind_it_do_not_add_up() {
    paused(async {
        let door = Door::open(2, 4).await;
        // both places have an open request: the engine is silent
        let (first, second) = (
            door.server.connection_slots.clone(),
            door.server.connection_slots.clone(),
        );
        let held = [
            first.try_acquire_owned().expect("free"),
            second.try_acquire_owned().expect("free"),
        ];
        let began = Instant::now();
        let mut new: Vec<Client> = (0..4).map(|_| Client::connect(door.address)).collect();
        for (number, client) in new.iter_mut().enumerate() {
            client.write(&message_request(
                "order",
                &format!("m{number}"),
                7,
                20_000,
                b"x",
            ));
        }
        turn_until("all are accepted", || door.gate.open_connections() == 4).await;
        // and wait: their time begins with their first turn
        turns(200).await;
        advance(Duration::from_millis(101)).await;
        for client in &mut new {
            assert_eq!(client.status().await, "503");
            assert_eq!(client.end().await, Ok(()));
        }
        // one that comes behind them finds a place as soon as there is one
        let mut late = Client::connect(door.address);
        late.write(&message_request("order", "late", 7, 20_000, b"x"));
        turn_until("it waits", || {
            door.server.waiting_slots.available_permits() == 3
        })
        .await;
        drop(held);
        assert_eq!(late.status().await, "202");
        assert!(
            began.elapsed() < Duration::from_millis(110),
            "{:?}",
            began.elapsed()
        );
        assert_eq!(*door.taken.borrow(), ["late"]);
    });
}

#[test]
fn a_place_that_is_answered_while_others_wait_goes_to_them() {
    // guards against a wait for nothing behind connections that were all busy for a moment
    paused(async {
        let door = Door::open(1, 1).await;
        let (mut half, last) = door.half("m1").await;
        door.silent.set(true);
        half.write(&last);
        turn_until("it is with the engine", || door.taken.borrow().len() == 1).await;
        let mut new = door.client().await;
        new.write(&message_request("order", "m2", 7, 20_000, b"x"));
        turn_until("it waits", || {
            door.server.waiting_slots.available_permits() == 0
        })
        .await;
        turns(200).await;
        door.silent.set(false);
        assert_eq!(
            (half.status().await.as_str(), new.status().await.as_str()),
            ("202", "202")
        );
    });
}

#[test]
fn near_the_end_of_the_process_half_requests_are_told_and_whole_ones_answered() {
    paused(async {
        let door = Door::open(8, 4).await;
        let told = Instant::now();
        door.gate.begin_shutdown();
        advance(Duration::from_millis(2600)).await;
        let (mut half, _) = door.half("half").await;
        let (whole, last) = door.half("whole").await;
        // 300 ms before the process ends
        let mut whole = write_at(whole, last, told + Duration::from_millis(3000)).await;
        assert_eq!(
            (whole.status().await.as_str(), whole.end().await),
            ("202", Ok(()))
        );
        assert_eq!(
            (half.status().await.as_str(), half.end().await),
            ("503", Ok(()))
        );
        assert_eq!(*door.taken.borrow(), ["whole"]);
        for client in [&half, &whole] {
            // one that has gone already has no end left to give
            let _ = client.stream.shutdown(Shutdown::Both);
        }
        drop((half, whole));
        turn_until("all have gone", || door.gate.open_connections() == 0).await;
        assert!(told.elapsed() < Duration::from_millis(3300));
    });
}
