//! An opening that is not answered at first, and what its lease is counted from.

use milletturn_fleet::entry::About;
use milletturn_fleet::{LeaseTime, Moment, Span};
use milletturn_fleet_wire::clock::now;
use milletturn_fleet_wire::words::{OPEN, ORDER};
use milletturn_member::member::News;
use milletturn_member::{Member, Stewards};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

const LEASE: Span = Span::millis(60_000);
const CLOCK_ERROR: u32 = 20_000;

/// A steward that takes openings and answers none until it is told to.
#[derive(Debug, Default)]
struct Steward {
    /// When the first opening came.
    first: Mutex<Option<Moment>>,
    answers: Mutex<bool>,
}

impl Steward {
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
            if path == OPEN {
                self.first.lock().expect("no holder panics").get_or_insert_with(now);
            }
            if !*self.answers.lock().expect("no holder panics") {
                // taken, and never answered
                continue;
            }
            let text = match path.as_str() {
                OPEN => format!(r#"{{"opened":{{"session":1,"lease":{}}}}}"#, LEASE.0),
                ORDER => r#"{"owned":{"term":1,"acts":0,"cursor":""}}"#.to_string(),
                _ => return Ok(()),
            };
            write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len())?;
        }
    }
}

#[test]
fn an_opening_that_is_asked_again_counts_from_when_it_was_asked_first() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    let steward = Arc::new(Steward::default());
    let serving = steward.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let steward = serving.clone();
            // how a connection ends is its caller's affair
            std::thread::spawn(move || steward.serve(stream));
        }
    });
    let about =
        About { name: "m".into(), zone: String::new(), version: String::new(), serves: String::new() };
    let (member, mut news) = Member::new(about, CLOCK_ERROR, ["w".to_string()]);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let keeper = member.clone();
        let stewards = Stewards::new("g", &[address]);
        tokio::task::spawn_local(async move { keeper.keep(stewards, 1).await });
        loop {
            match news.recv().await.expect("it is kept") {
                // it has given up its first call and asks again
                News::Alone(_) => *steward.answers.lock().expect("no holder panics") = true,
                News::Owned(..) => break,
                _ => {}
            }
        }
    });
    let first = steward.first.lock().expect("no holder panics").expect("it has asked");
    let leave = member.may("w").expect("it may act");
    // the steward may count from the first call; its lease must not end before the member's
    let held = LeaseTime { lease: LEASE, clock_error: CLOCK_ERROR }.held();
    assert!(leave.last_safe <= first.after(held), "{:?} behind {:?}", leave.last_safe, first.after(held));
}
