//! Tests the HTTP server to which clients submit messages, without the rest of the sender. All tasks run on one thread,
//! as in the sender, and tokio's clock is paused. In several tests, bytes arrive on a connection at the same instant at
//! which the server would close it. Clients are plain sockets, written and read in the same thread.

use milletturn_engine::{ArrivalOutcome, Input};
use milletturn_platform::server::{Server, serve};
use milletturn_platform::{ClientClasses, DrainGate};
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

/// Limit on the polls of a condition; every condition in these tests is reached sooner.
const MAX_POLLS: usize = 200_000;

/// A running server with `max_connections` slots for served connections, and `extra_connections` slots each for waiting
/// and for lingering connections.
struct ServerFixture {
    address: SocketAddr,
    server: Rc<Server>,
    gate: Rc<DrainGate>,
    /// Ids of the submitted messages. All are accepted.
    accepted_ids: Rc<RefCell<Vec<String>>>,
    /// Position of the class of the message that was submitted last.
    last_class: Rc<Cell<usize>>,
    /// While true, no message gets a response.
    is_paused: Rc<Cell<bool>>,
    /// The sending half of the channel [`Server::ready`], held so that the channel stays open.
    _ready: watch::Sender<bool>,
}

impl ServerFixture {
    async fn open(max_connections: usize, extra_connections: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (inputs, mut received) = mpsc::unbounded_channel();
        let (ready, ready_receiver) = watch::channel(true);
        let gate = Rc::new(DrainGate::new());
        let class = Class::new("order", Effect::Unsafe, 4_000_000, 20_000_000);
        let server = Rc::new(Server {
            classes: ClientClasses::new([(0, class)].into_iter()),
            inputs,
            ready: ready_receiver,
            drain_gate: gate.clone(),
            max_connections,
            connection_slots: Arc::new(Semaphore::new(max_connections)),
            waiting_slots: Arc::new(Semaphore::new(extra_connections)),
            lingering_slots: Arc::new(Semaphore::new(extra_connections)),
            body_bytes: Semaphore::new(1 << 20),
        });
        let accepted_ids: Rc<RefCell<Vec<String>>> = Rc::default();
        let is_paused: Rc<Cell<bool>> = Rc::default();
        let last_class: Rc<Cell<usize>> = Rc::default();
        let engine_last_class = last_class.clone();
        let (engine_accepted_ids, engine_is_paused) = (accepted_ids.clone(), is_paused.clone());
        spawn_local(async move {
            while let Some(input) = received.recv().await {
                if let Input::Arrived(arrival) = input {
                    engine_last_class.set(arrival.class);
                    engine_accepted_ids
                        .borrow_mut()
                        .push(arrival.id.to_string());
                    while engine_is_paused.get() {
                        yield_to_other_tasks().await;
                    }
                    // sending fails if the client has disconnected
                    let _ = arrival.reply.send(ArrivalOutcome::Accepted);
                }
            }
        });
        spawn_local(gate.clone().run());
        spawn_local(serve(listener, server.clone()));
        ServerFixture {
            address,
            server,
            gate,
            accepted_ids,
            last_class,
            is_paused,
            _ready: ready,
        }
    }

    /// Connects a client, and waits until the server has accepted the connection.
    async fn accepted_client(&self) -> Client {
        let before = self.gate.open_connections();
        let client = Client::connect(self.address);
        wait_until("the connection is accepted", || {
            self.gate.open_connections() > before
        })
        .await;
        client
    }

    /// Connects a client and sends all but the last two bytes of a request. Returns the client and those bytes.
    async fn incomplete_request(&self, id: &str) -> (Client, Vec<u8>) {
        let mut client = self.accepted_client().await;
        let mut text = message_request("order", id, 7, 20_000, b"12345");
        let last = text.split_off(text.len() - 2);
        let before = self.server.body_bytes.available_permits();
        client.write(&text);
        wait_until("the head is read", || {
            self.server.body_bytes.available_permits() < before
        })
        .await;
        (client, last)
    }

    /// Connects a client, submits a message with this id, and waits until its response has arrived.
    async fn idle_client(&self, id: &str) -> Client {
        let mut client = self.accepted_client().await;
        client.write(&message_request("order", id, 7, 20_000, b"x"));
        assert_eq!(client.status().await, "202");
        client
    }
}

/// Lets every other task run once, without advancing the clock.
async fn yield_to_other_tasks() {
    let mut has_yielded = false;
    poll_fn(|context| {
        if std::mem::replace(&mut has_yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

async fn yield_times(count: usize) {
    for _ in 0..count {
        yield_to_other_tasks().await;
    }
}

async fn wait_until(description: &str, mut is_satisfied: impl FnMut() -> bool) {
    for number in 0..MAX_POLLS {
        if is_satisfied() {
            return;
        }
        if number > 1000 {
            // the system may need a moment to transfer the bytes
            std::thread::sleep(Duration::from_micros(50));
        }
        yield_to_other_tasks().await;
    }
    panic!("condition not reached: {description}");
}

/// The client side of a connection.
struct Client {
    stream: TcpStream,
    received: Vec<u8>,
    ended: Option<Result<(), ErrorKind>>,
}

impl Client {
    fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream.set_nodelay(true).expect("set");
        stream.set_nonblocking(true).expect("set");
        Client {
            stream,
            received: Vec::new(),
            ended: None,
        }
    }

    /// Writes, and waits until the system has transferred the bytes. No task runs meanwhile.
    fn write(&mut self, bytes: &[u8]) {
        self.stream
            .write_all(bytes)
            .expect("the connection is not reset");
        std::thread::sleep(Duration::from_millis(5));
    }

    fn read(&mut self) {
        let mut buffer = [0; 4096];
        while self.ended.is_none() {
            match self.stream.read(&mut buffer) {
                Ok(0) => self.ended = Some(Ok(())),
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) => self.ended = Some(Err(error.kind())),
            }
        }
    }

    /// The status of the next response; empty if the connection is closed first, or "reset" if it is reset.
    async fn status(&mut self) -> String {
        let head_end = |received: &[u8]| received.windows(4).position(|four| four == b"\r\n\r\n");
        wait_until("a response or the end", || {
            self.read();
            head_end(&self.received).is_some() || self.ended.is_some()
        })
        .await;
        let Some(end) = head_end(&self.received) else {
            return if self.ended == Some(Ok(())) {
                String::new()
            } else {
                "reset".into()
            };
        };
        let head = String::from_utf8(self.received.drain(..end + 4).collect()).expect("text");
        head.split(' ').nth(1).expect("a status").to_string()
    }

    /// Waits until the connection ends. Returns `Ok` if the server has closed it, or the kind of the read error.
    async fn end(&mut self) -> Result<(), ErrorKind> {
        wait_until("the end", || {
            self.read();
            self.ended.is_some()
        })
        .await;
        self.ended.expect("waited for")
    }
}

/// Runs a test on one thread with a paused clock.
fn with_paused_clock(test: impl Future<Output = ()> + 'static) {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    // spawned as a task like the others, so that all run in the order in which they were woken
    LocalSet::new().block_on(&runtime, async {
        spawn_local(test).await.expect("no panic");
    });
}

/// Writes bytes just before the runtime handles a timer: when the server is woken by the timer, the bytes have arrived,
/// but the server has not been notified of them.
async fn write_at(mut client: Client, bytes: Vec<u8>, time: Instant) -> Client {
    let writer = spawn_local(async move {
        sleep_until(time - Duration::from_millis(2)).await;
        client.write(&bytes);
        client
    });
    yield_to_other_tasks().await;
    // both timers expire in one step of the clock, and wake their tasks in order
    advance(time + Duration::from_millis(1) - Instant::now()).await;
    writer.await.expect("written")
}

#[test]
fn a_request_completed_as_its_slot_is_requested_gets_a_response() {
    with_paused_clock(async {
        let fixture = ServerFixture::open(1, 1).await;
        let (mut incomplete, last) = fixture.incomplete_request("m1").await;
        let mut new_client = Client::connect(fixture.address);
        // the new connection is accepted, and is about to request the slot
        wait_until("the connection is accepted", || {
            fixture.gate.open_connections() == 2
        })
        .await;
        incomplete.write(&last);
        assert_eq!(incomplete.status().await, "202");
        // the response frees the slot
        new_client.write(&message_request("order", "m2", 7, 20_000, b"x"));
        assert_eq!(
            (incomplete.end().await, new_client.status().await.as_str()),
            (Ok(()), "202")
        );
        assert_eq!(*fixture.accepted_ids.borrow(), ["m1", "m2"]);
    });
}

#[test]
fn a_request_completed_at_the_deadline_gets_a_response() {
    with_paused_clock(async {
        // an incomplete head: the time limit is 2 s
        let fixture = ServerFixture::open(4, 1).await;
        let started_at = Instant::now();
        let mut client = fixture.accepted_client().await;
        let mut text = message_request("order", "m1", 7, 20_000, b"x");
        let last = text.split_off(30);
        client.write(&text);
        let mut client = write_at(client, last, started_at + Duration::from_millis(2000)).await;
        assert_eq!(client.status().await, "202");
        // the next request: the time limit is 2.5 s
        let responded_at = Instant::now();
        let text = message_request("order", "m2", 7, 20_000, b"x");
        let mut client = write_at(client, text, responded_at + Duration::from_millis(2500)).await;
        assert_eq!(client.status().await, "202");
        assert_eq!(*fixture.accepted_ids.borrow(), ["m1", "m2"]);
    });
}

#[test]
fn an_incomplete_request_gets_a_503_and_no_reset_when_its_slot_is_needed() {
    with_paused_clock(async {
        let fixture = ServerFixture::open(1, 1).await;
        let (mut incomplete, last) = fixture.incomplete_request("m1").await;
        let mut new_client = Client::connect(fixture.address);
        new_client.write(&message_request("order", "m2", 7, 20_000, b"x"));
        assert_eq!(incomplete.status().await, "503");
        // what the client still writes is read and discarded
        incomplete.write(&last);
        incomplete.write(b"and more");
        assert_eq!(
            (incomplete.end().await, new_client.status().await.as_str()),
            (Ok(()), "202")
        );
        wait_until("the last byte is read", || {
            fixture.gate.open_connections() <= 2
        })
        .await;
        assert_eq!(*fixture.accepted_ids.borrow(), ["m2"]);
    });
}

#[test]
fn a_request_that_arrives_while_its_idle_connection_is_closed_is_not_reset() {
    // The message of that request is not accepted; its client submits the message again.
    with_paused_clock(async {
        let fixture = ServerFixture::open(1, 1).await;
        let mut idle = fixture.idle_client("m1").await;
        let mut new_client = Client::connect(fixture.address);
        new_client.write(&message_request("order", "m2", 7, 20_000, b"x"));
        assert_eq!(new_client.status().await, "202");
        idle.write(&message_request("order", "m3", 7, 20_000, b"x"));
        yield_times(200).await;
        assert_eq!(idle.end().await, Ok(()));
        idle.write(&[b'x'; 1000]);
        yield_times(200).await;
        let error = idle.stream.take_error().expect("known");
        assert!(error.is_none(), "{error:?}");
        assert_eq!(*fixture.accepted_ids.borrow(), ["m1", "m2"]);
    });
}

#[test]
fn connections_without_a_slot_get_a_503_and_their_waits_do_not_add_up() {
    with_paused_clock(async {
        let fixture = ServerFixture::open(2, 4).await;
        // occupy both slots
        let (first_slots, second_slots) = (
            fixture.server.connection_slots.clone(),
            fixture.server.connection_slots.clone(),
        );
        let slots = [
            first_slots.try_acquire_owned().expect("free"),
            second_slots.try_acquire_owned().expect("free"),
        ];
        let started_at = Instant::now();
        let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(fixture.address)).collect();
        for (number, client) in clients.iter_mut().enumerate() {
            client.write(&message_request(
                "order",
                &format!("m{number}"),
                7,
                20_000,
                b"x",
            ));
        }
        wait_until("all are accepted", || fixture.gate.open_connections() == 4).await;
        // the 100 ms for which a connection waits for a slot start when its task first runs
        yield_times(200).await;
        advance(Duration::from_millis(101)).await;
        for client in &mut clients {
            assert_eq!(client.status().await, "503");
            assert_eq!(client.end().await, Ok(()));
        }
        // a later connection gets a slot as soon as one is free
        let mut late = Client::connect(fixture.address);
        late.write(&message_request("order", "late", 7, 20_000, b"x"));
        wait_until("the connection waits for a slot", || {
            fixture.server.waiting_slots.available_permits() == 3
        })
        .await;
        drop(slots);
        assert_eq!(late.status().await, "202");
        assert!(
            started_at.elapsed() < Duration::from_millis(110),
            "{:?}",
            started_at.elapsed()
        );
        assert_eq!(*fixture.accepted_ids.borrow(), ["late"]);
    });
}

#[test]
fn a_slot_is_freed_after_the_response_while_others_wait() {
    // Guards against a connection that finds all slots busy, and still waits after a slot has become free.
    with_paused_clock(async {
        let fixture = ServerFixture::open(1, 1).await;
        let (mut incomplete, last) = fixture.incomplete_request("m1").await;
        fixture.is_paused.set(true);
        incomplete.write(&last);
        wait_until("the message is passed to the engine", || {
            fixture.accepted_ids.borrow().len() == 1
        })
        .await;
        let mut new_client = fixture.accepted_client().await;
        new_client.write(&message_request("order", "m2", 7, 20_000, b"x"));
        wait_until("the connection waits for a slot", || {
            fixture.server.waiting_slots.available_permits() == 0
        })
        .await;
        yield_times(200).await;
        fixture.is_paused.set(false);
        assert_eq!(
            (
                incomplete.status().await.as_str(),
                new_client.status().await.as_str()
            ),
            ("202", "202")
        );
    });
}

#[test]
fn before_the_process_ends_incomplete_requests_get_a_503_and_complete_ones_a_response() {
    with_paused_clock(async {
        let fixture = ServerFixture::open(8, 4).await;
        let shutdown_at = Instant::now();
        fixture.gate.begin_shutdown();
        advance(Duration::from_millis(2600)).await;
        let (mut incomplete, _) = fixture.incomplete_request("half").await;
        let (complete, last) = fixture.incomplete_request("whole").await;
        // the rest of the request arrives just before connections without a complete request are closed, which is 3 s
        // after the start of the shutdown and 300 ms before the process ends
        let mut complete =
            write_at(complete, last, shutdown_at + Duration::from_millis(3000)).await;
        assert_eq!(
            (complete.status().await.as_str(), complete.end().await),
            ("202", Ok(()))
        );
        assert_eq!(
            (incomplete.status().await.as_str(), incomplete.end().await),
            ("503", Ok(()))
        );
        assert_eq!(*fixture.accepted_ids.borrow(), ["whole"]);
        for client in [&incomplete, &complete] {
            // `shutdown` fails on a connection that is already closed
            let _ = client.stream.shutdown(Shutdown::Both);
        }
        drop((incomplete, complete));
        wait_until("all connections are closed", || {
            fixture.gate.open_connections() == 0
        })
        .await;
        assert!(shutdown_at.elapsed() < Duration::from_millis(3300));
    });
}

/// Guards against a message whose class is looked up when its request begins, although a reload replaces the class before
/// the request is complete.
#[test]
fn a_request_gets_the_class_that_the_settings_have_when_it_is_complete() {
    with_paused_clock(async {
        let fixture = ServerFixture::open(4, 1).await;
        let order = |effect| Class::new("order", effect, 4_000_000, 20_000_000);
        let (mut client, last) = fixture.incomplete_request("m1").await;
        let classes = [
            (4, order(Effect::Repeatable)),
            (0, Class::new("licence", Effect::Repeatable, 1, 2)),
        ];
        fixture.server.classes.replace(classes.into_iter());
        client.write(&last);
        assert_eq!(client.status().await, "202");
        assert_eq!(fixture.last_class.get(), 4);
        // a class that is gone: the message is not accepted, and may be submitted again
        let (mut client, last) = fixture.incomplete_request("m2").await;
        fixture.server.classes.replace(std::iter::empty());
        client.write(&last);
        assert_eq!(client.status().await, "503");
        assert_eq!(*fixture.accepted_ids.borrow(), ["m1"]);
    });
}

/// Guards against a message without an idempotency key that is sent again, because its class began to require keys while
/// its request came in.
#[test]
fn a_request_without_the_key_that_its_class_requires_by_now_is_not_accepted() {
    with_paused_clock(async {
        let fixture = ServerFixture::open(4, 1).await;
        let mut client = fixture.accepted_client().await;
        let request = message_request("order", "m1", 7, 20_000, b"12345");
        let text = String::from_utf8(request).expect("text");
        let text = text.replace("Idempotency-Key: key-m1\r\n", "");
        let (beginning, last) = text.split_at(text.len() - 2);
        let before = fixture.server.body_bytes.available_permits();
        client.write(beginning.as_bytes());
        wait_until("the head is read", || {
            fixture.server.body_bytes.available_permits() < before
        })
        .await;
        let effect = Effect::Keyed {
            window: 12_000_000,
            zone_only: false,
        };
        let keyed = Class::new("order", effect, 4_000_000, 20_000_000);
        fixture.server.classes.replace([(0, keyed)].into_iter());
        client.write(last.as_bytes());
        assert_eq!(client.status().await, "503");
        assert!(fixture.accepted_ids.borrow().is_empty());
    });
}
