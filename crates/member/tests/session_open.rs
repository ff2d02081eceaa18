//! A session open that is not answered at first, and from when its lease counts.

use milletturn_coordination::MemberInfo;
use milletturn_coordination::{LeaseTiming, Micros, Timestamp};
use milletturn_coordination_protocol::clock::now;
use milletturn_coordination_protocol::messages::{COMMAND_PATH, OPEN_SESSION_PATH};
use milletturn_member::{CoordinatorClient, Member, MemberEvent};
use milletturn_test_support::UnusedAddress;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

const LEASE: Micros = Micros::from_millis(60_000);
const CLOCK_ERROR: u32 = 20_000;
/// A member tries for a little longer than this to open a session before it reports that it is disconnected.
const REFUSED_FOR: Micros = Micros::from_millis(2_900);

/// A coordinator that takes session opens and answers none until it is set to.
#[derive(Debug, Default)]
struct Coordinator {
    /// When the first session open came.
    first_open: Mutex<Option<Timestamp>>,
    is_answering: Mutex<bool>,
}

impl Coordinator {
    fn serve(self: Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        let (mut reader, mut stream) = (BufReader::new(stream.try_clone()?), stream);
        loop {
            let (mut path, mut length) = (String::new(), 0);
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                let line = line.trim_end();
                if path.is_empty() {
                    path = line.split(' ').nth(1).unwrap_or_default().to_string();
                } else if line.is_empty() {
                    break;
                } else if let Some((name, value)) = line.split_once(':')
                    && name.eq_ignore_ascii_case("content-length")
                {
                    length = value.trim().parse().expect("a length");
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            if path == OPEN_SESSION_PATH {
                self.first_open
                    .lock()
                    .expect("no holder panics")
                    .get_or_insert_with(now);
            }
            if !*self.is_answering.lock().expect("no holder panics") {
                // received, and never answered
                continue;
            }
            let text = match path.as_str() {
                OPEN_SESSION_PATH => format!(r#"{{"opened":{{"session":1,"lease":{}}}}}"#, LEASE.0),
                COMMAND_PATH => r#"{"owned":{"term":1,"acts":0,"cursor":""}}"#.to_string(),
                _ => return Ok(()),
            };
            write!(
                stream,
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            )?;
        }
    }
}

/// Serves whoever comes, for ever.
fn open(coordinator: &Arc<Coordinator>, listener: TcpListener) {
    let serving = coordinator.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let coordinator = serving.clone();
            // how a connection ends is its caller's affair
            std::thread::spawn(move || coordinator.serve(stream));
        }
    });
}

/// Keeps a member's session with the coordinator at this address until it owns its resource; `disconnected` runs when it
/// reports that nobody answers.
fn owner(address: SocketAddr, mut disconnected: impl FnMut()) -> Rc<Member> {
    let info = MemberInfo {
        name: "m".into(),
        zone: String::new(),
        version: String::new(),
        role: String::new(),
    };
    let (member, mut events) = Member::new(info, CLOCK_ERROR, ["w".to_string()]);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let session = member.clone();
        let client = CoordinatorClient::new("g", &[address.to_string()]);
        tokio::task::spawn_local(async move { session.maintain_session(client, 1).await });
        loop {
            match events.recv().await.expect("it is kept") {
                MemberEvent::Disconnected(_) => disconnected(),
                MemberEvent::Acquired { .. } => break,
                _ => {}
            }
        }
    });
    member
}

#[test]
fn a_repeated_session_open_counts_its_lease_from_the_first_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let coordinator = Arc::new(Coordinator::default());
    open(&coordinator, listener);
    // it has given up its first call and asks again
    let member = owner(address, || {
        *coordinator.is_answering.lock().expect("no holder panics") = true;
    });
    let first_open = coordinator
        .first_open
        .lock()
        .expect("no holder panics")
        .expect("it has asked");
    let permission = member.permission("w").expect("it may write");
    // the coordinator may count from the first call; its lease must not end before the member's
    let safe_for = LeaseTiming {
        lease: LEASE,
        clock_error_ppm: CLOCK_ERROR,
    }
    .holder_duration();
    assert!(
        permission.safe_until <= first_open.after(safe_for),
        "{:?} behind {:?}",
        permission.safe_until,
        first_open.after(safe_for)
    );
}

#[test]
fn calls_that_came_to_nobody_take_nothing_off_the_lease() {
    let unused = UnusedAddress::bind_on([127, 0, 0, 1]);
    let coordinator = Arc::new(Coordinator::default());
    *coordinator.is_answering.lock().expect("no holder panics") = true;
    let started = now();
    let mut listens = false;
    let member = owner(unused.address, || {
        // its first calls have been refused for as long as one session open is tried
        if !std::mem::replace(&mut listens, true) {
            open(
                &coordinator,
                TcpListener::bind(unused.address).expect("beside what only is bound there"),
            );
        }
    });
    let permission = member.permission("w").expect("it may write");
    let safe_for = LeaseTiming {
        lease: LEASE,
        clock_error_ppm: CLOCK_ERROR,
    }
    .holder_duration();
    let counted = started.after(safe_for);
    // counted from its first call it would be less than nothing behind that
    assert!(
        permission.safe_until >= counted.after(REFUSED_FOR),
        "{:?} behind {counted:?}",
        permission.safe_until
    );
    let first_open = coordinator
        .first_open
        .lock()
        .expect("no holder panics")
        .expect("it has asked");
    assert!(permission.safe_until <= first_open.after(safe_for));
}
