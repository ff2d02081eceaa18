//! The start of a lease if the first request to open the session got no response.
//!
//! If a coordinator received an unanswered request to open the session, it may have started the lease then. A member
//! that counted its lease from a later request would still write after the coordinator has ended the session.

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
const CLOCK_ERROR_PPM: u32 = 20_000;
/// Slightly shorter than the time for which a member tries to open a session before it reports that it is disconnected.
const MIN_OPEN_FAILURE_TIME: Micros = Micros::from_millis(2_900);

/// A fake coordinator that receives requests but responds to none until `is_answering` is set.
#[derive(Debug, Default)]
struct Coordinator {
    /// When the first request to open a session arrived.
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
                // the request was received but gets no response
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

/// Accepts connections on a thread of its own and serves each of them, until the test's process ends.
fn start_server(coordinator: &Arc<Coordinator>, listener: TcpListener) {
    let serving = coordinator.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let coordinator = serving.clone();
            // errors are ignored: a connection ends when its caller closes it
            std::thread::spawn(move || coordinator.serve(stream));
        }
    });
}

/// Runs a member against the coordinator at this address until it owns its resource, and returns it. `on_disconnected`
/// is called each time the member reports that no coordinator responds.
fn run_until_owner(address: SocketAddr, mut on_disconnected: impl FnMut()) -> Rc<Member> {
    let info = MemberInfo {
        name: "m".into(),
        zone: String::new(),
        version: String::new(),
        role: String::new(),
    };
    let (member, mut events) = Member::new(info, CLOCK_ERROR_PPM, ["w".to_string()]);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let running_member = member.clone();
        let client = CoordinatorClient::new("g", &[address.to_string()]);
        tokio::task::spawn_local(async move { running_member.maintain_session(client, 1).await });
        loop {
            match events
                .recv()
                .await
                .expect("the member keeps its event sender")
            {
                MemberEvent::Disconnected(_) => on_disconnected(),
                MemberEvent::Acquired { .. } => break,
                _ => {}
            }
        }
    });
    member
}

#[test]
fn a_resent_session_open_starts_its_lease_at_the_first_request() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let coordinator = Arc::new(Coordinator::default());
    start_server(&coordinator, listener);
    // responses begin after the member's first request to open a session has timed out
    let member = run_until_owner(address, || {
        *coordinator.is_answering.lock().expect("no holder panics") = true;
    });
    let first_open = coordinator
        .first_open
        .lock()
        .expect("no holder panics")
        .expect("the member has sent a session open");
    let permission = member.permission("w").expect("the member may write");
    // the coordinator may have started the lease at the first request, so the member's lease must not end later than
    // one that started then
    let safe_for = LeaseTiming {
        lease: LEASE,
        clock_error_ppm: CLOCK_ERROR_PPM,
    }
    .holder_duration();
    assert!(
        permission.safe_until <= first_open.after(safe_for),
        "{:?} is after {:?}",
        permission.safe_until,
        first_open.after(safe_for)
    );
}

#[test]
fn unreachable_session_opens_do_not_shorten_the_lease() {
    let unused = UnusedAddress::bind_on([127, 0, 0, 1]);
    let coordinator = Arc::new(Coordinator::default());
    *coordinator.is_answering.lock().expect("no holder panics") = true;
    let started = now();
    let mut is_listening = false;
    let member = run_until_owner(unused.address, || {
        // so far, all connections of the member were refused, and its first request to open a session has timed out
        if !std::mem::replace(&mut is_listening, true) {
            start_server(
                &coordinator,
                TcpListener::bind(unused.address).expect("the reserved address can be listened on"),
            );
        }
    });
    let permission = member.permission("w").expect("the member may write");
    let safe_for = LeaseTiming {
        lease: LEASE,
        clock_error_ppm: CLOCK_ERROR_PPM,
    }
    .holder_duration();
    let earliest_safe_until = started.after(safe_for);
    // a lease that started at the first refused call would end at about `earliest_safe_until`
    assert!(
        permission.safe_until >= earliest_safe_until.after(MIN_OPEN_FAILURE_TIME),
        "{:?} is less than {MIN_OPEN_FAILURE_TIME:?} after {earliest_safe_until:?}",
        permission.safe_until
    );
    let first_open = coordinator
        .first_open
        .lock()
        .expect("no holder panics")
        .expect("the member has sent a session open");
    assert!(permission.safe_until <= first_open.after(safe_for));
}
