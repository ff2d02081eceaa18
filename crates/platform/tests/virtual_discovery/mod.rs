//! An agent in virtual time, without sockets.

use milletturn_platform::discovery::Network;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Runs a test on one thread, on a clock that goes on when nobody has anything to do.
pub(crate) fn virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// What the agent does with those who come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum State {
    /// Answers; watches bring the list and signs of life, notices are taken.
    Well,
    /// Refuses connections; those that were open end.
    Refused,
    /// Connections never come up.
    Lost,
    /// Takes calls and answers none of them, ever.
    Silent,
    /// Begins its answer, and ends the connection.
    Cut,
    /// Begins its answer, and says nothing more.
    Half,
    /// Answers so many calls with 503, and those behind them well.
    Refusing(u32),
    /// Serves one call after the other, each for so long, whether or not anybody still waits for it.
    Queue(Duration),
}

struct World {
    began: Instant,
    /// From when on the agent is in which state, by its address.
    plans: BTreeMap<SocketAddr, Vec<(Duration, State)>>,
    answer: Duration,
    refused: u32,
    queue_ends: Instant,
    taken: BTreeMap<String, Instant>,
    posted: usize,
    open: usize,
    most_open: usize,
}

impl World {
    /// The position in the plan, which is also the version of the list, and the state. Of two entries for one moment
    /// the later one counts.
    fn now(&self, at: SocketAddr) -> (u64, State) {
        let plan = self
            .plans
            .get(&at)
            .or(self.plans.values().next())
            .expect("a plan");
        let past = Instant::now() - self.began;
        let position = plan
            .iter()
            .rposition(|(from, _)| *from <= past)
            .expect("a beginning");
        (position as u64 + 1, plan[position].1)
    }
}

/// The agent, and the network before it.
#[derive(Clone)]
pub(crate) struct VirtualDiscovery(Rc<RefCell<World>>);

impl VirtualDiscovery {
    /// In these states from these times on; when it answers, then so late. The list's version is the number of the
    /// state.
    pub(crate) fn new(plan: Vec<(Duration, State)>, answer: Duration) -> Self {
        VirtualDiscovery(Rc::new(RefCell::new(World {
            began: Instant::now(),
            plans: BTreeMap::from([(SocketAddr::from(([127, 0, 0, 1], 1)), plan)]),
            answer,
            refused: 0,
            queue_ends: Instant::now(),
            taken: BTreeMap::new(),
            posted: 0,
            open: 0,
            most_open: 0,
        })))
    }

    /// Another one lies at this address.
    pub(crate) fn lies_at(&self, address: SocketAddr, plan: Vec<(Duration, State)>) {
        self.0.borrow_mut().plans.insert(address, plan);
    }

    pub(crate) fn began(&self) -> Instant {
        self.0.borrow().began
    }

    /// When the notice for a message was first taken.
    pub(crate) fn taken(&self, id: &str) -> Instant {
        self.0.borrow().taken[id]
    }

    /// Lines of notices, also such that came again.
    pub(crate) fn posted(&self) -> usize {
        self.0.borrow().posted
    }

    /// Connections that have been open at once.
    pub(crate) fn most_open(&self) -> usize {
        self.0.borrow().most_open
    }

    async fn serve(self, at: SocketAddr, mut stream: DuplexStream) {
        self.0.borrow_mut().open += 1;
        let open = self.0.borrow().open;
        let most = self.0.borrow().most_open.max(open);
        self.0.borrow_mut().most_open = most;
        let gone = self.answer(at, &mut stream).await;
        if gone.is_some() {
            // silent for good, until the other side leaves
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
        self.0.borrow_mut().open -= 1;
    }

    /// Nothing if the connection ends.
    async fn answer(&self, at: SocketAddr, stream: &mut DuplexStream) -> Option<()> {
        let request = read_request(stream).await?;
        let posts = request.starts_with("POST /v1/outcomes ");
        let (position, mut state) = self.0.borrow().now(at);
        let answer = self.0.borrow().answer;
        if let State::Refusing(most) = state {
            if self.0.borrow().refused < most {
                self.0.borrow_mut().refused += 1;
                waited_for(stream, Instant::now() + answer).await?;
                stream
                    .write_all(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
                    .await
                    .ok()?;
                return None;
            }
            state = State::Well;
        }
        match state {
            State::Silent | State::Lost => return Some(()),
            State::Refused => return None,
            State::Cut | State::Half => {
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .await
                    .ok()?;
                return (state == State::Half).then_some(());
            }
            State::Queue(each) => {
                let ends = self.0.borrow().queue_ends.max(Instant::now()) + each;
                self.0.borrow_mut().queue_ends = ends;
                waited_for(stream, ends).await?;
            }
            State::Well | State::Refusing(_) => waited_for(stream, Instant::now() + answer).await?,
        }
        if posts {
            for line in request.split('\n').filter(|line| line.starts_with('{')) {
                let line: serde_json::Value = serde_json::from_str(line).expect("JSON");
                let id = line["id"].as_str().expect("an id").to_string();
                self.0.borrow_mut().posted += 1;
                self.0
                    .borrow_mut()
                    .taken
                    .entry(id)
                    .or_insert_with(Instant::now);
            }
            stream
                .write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
                .await
                .ok()?;
            return None;
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await
            .ok()?;
        let mut line = format!("{{\"rev\":{position},\"all\":true,\"targets\":[]}}");
        loop {
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            stream.write_all(chunk.as_bytes()).await.ok()?;
            line = String::new();
            sleep(Duration::from_secs(2)).await;
            match self.0.borrow().now(at) {
                (now, _) if now == position => {}
                // what was open before is lost, whatever the agent does now
                (_, State::Refused | State::Cut) => return None,
                _ => return Some(()),
            }
        }
    }
}

/// Waits; nothing if the other side leaves meanwhile.
async fn waited_for(stream: &mut DuplexStream, until: Instant) -> Option<()> {
    tokio::select! {
        _ = stream.read_u8() => None,
        () = sleep_until(until) => Some(()),
    }
}

/// The request up to the end of its body; nothing if the other side leaves.
async fn read_request(stream: &mut DuplexStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let mut buffer = [0; 4096];
        let read = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        text.extend_from_slice(&buffer[..read]);
        let shown = String::from_utf8(text.clone()).expect("text");
        let Some((head, body)) = shown.split_once("\r\n\r\n") else {
            continue;
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
        if body.len() >= length.unwrap_or(0) {
            return Some(shown);
        }
    }
}

impl Network for VirtualDiscovery {
    type Stream = DuplexStream;

    async fn connect(&self, address: SocketAddr) -> io::Result<DuplexStream> {
        let state = self.0.borrow().now(address).1;
        match state {
            State::Refused => return Err(io::ErrorKind::ConnectionRefused.into()),
            State::Lost => std::future::pending().await,
            _ => {}
        }
        let (near, far) = duplex(1 << 16);
        spawn_local(self.clone().serve(address, far));
        Ok(near)
    }
}
