//! A sidecar whose store of undelivered messages is full is restarted, after an ordinary minute of traffic. The
//! application reads its final answers and acknowledges them.

use crate::parts::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Messages that are returned while the destination is shut; the store has room for 20 of them.
const RETURNED: usize = 30;
/// Messages to the other destination in the time of the outage: the destination that is shut gets 30 of 105.
const OTHERS: usize = 75;
/// Messages that follow, a quarter of them to the destination that was shut.
const DELIVERED: usize = 4_200;
const CLIENTS: usize = 8;

pub fn full_store(place: &Workplace, trouble: bool) -> Verdict {
    let record = &place.record;
    let is_shut = Arc::new(AtomicBool::new(true));
    let shut = is_shut.clone();
    let behaviour: Behaviour = Arc::new(move |got| {
        let status = if shut.load(Ordering::SeqCst) { 503 } else { 200 };
        Reply::Status(status, vec![format!("X-Request-ID: {}", got.id)], 2)
    });
    let endpoint = Endpoint::start(record, "endpoint", 1, behaviour).unwrap();
    let well: Behaviour = Arc::new(|got| Reply::Status(200, vec![format!("X-Request-ID: {}", got.id)], 2));
    let other = Endpoint::start(record, "other endpoint", 2, well).unwrap();
    let (http, outcomes) = (free_address(), free_address());
    let file = place.folder.join("billing.toml");
    let configuration = format!(
        "name = \"billing\"\nstate = \"billing.state\"\n\n[listen]\nhttp = \"{http}\"\noutcomes = \"{outcomes}\"\n\n\
         [class.notice]\neffect = \"keyed\"\nwindow = \"20s\"\n\n[destination.first]\nid = 1\nendpoints = [\"{}\"]\n\n\
         [destination.second]\nid = 2\nendpoints = [\"{}\"]\n\n\
         [undelivered]\nkeep = true\nsize = \"1MB\"\nmessages = 20\n",
        endpoint.address, other.address
    );
    std::fs::write(&file, configuration).unwrap();
    let command = format!("{} sidecar --config {}", place.run_command(), file.display());
    let first = place.start(&command, &[]);
    if !place.wait_ready(http) {
        return Verdict::CouldNotRun("the sidecar is not ready".to_string());
    }
    let application = Application::start(record, outcomes);
    let answered = |id: &str| application.answers.lock().unwrap().iter().any(|(known, _)| known == id);

    // an outage of 8 s: the destination is shut, and what is handed in is returned at the end of its time
    let outage_ends = Instant::now() + Duration::from_secs(8);
    let mut returned = Vec::new();
    for number in 0..RETURNED {
        let id = format!("outage-{number}");
        if submit(record, http, &Submission::new("notice", &id, 1, 1_500).key(&format!("key-{id}"))) == Some(202) {
            returned.push(id);
        }
    }
    let mut others = 0;
    for number in 0..OTHERS {
        let id = format!("beside-{number}");
        let message = Submission::new("notice", &id, 2, 10_000).key(&format!("key-{id}"));
        others += usize::from(submit(record, http, &message) == Some(202));
    }
    if !wait_for(8_000, || returned.iter().all(|id| answered(id))) {
        return Verdict::CouldNotRun("a message of the outage has no final answer".to_string());
    }
    record.line(format!("{} messages were taken on in the outage and have their final answers", returned.len()));
    std::thread::sleep(outage_ends.saturating_duration_since(Instant::now()));
    record.line("the outage ends");
    is_shut.store(false, Ordering::SeqCst);

    // ordinary traffic: some 66 messages a second
    let taken = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, taken) = (record.clone(), taken.clone());
            std::thread::spawn(move || {
                let end = Instant::now() + Duration::from_secs(80);
                let mut connection = None;
                let mut number = 0;
                while taken.load(Ordering::SeqCst) < DELIVERED && Instant::now() < end {
                    number += 1;
                    let id = format!("client{client}-{number}");
                    let message = Submission::new("notice", &id, if number % 4 == 0 { 1 } else { 2 }, 10_000)
                        .key(&format!("key-{id}"));
                    let mut current: Client = match connection.take() {
                        Some(current) => current,
                        None => match Client::connect(&record, http) {
                            Ok(current) => current,
                            Err(_) => continue,
                        },
                    };
                    match current.submit(&message) {
                        Some(202) => {
                            taken.fetch_add(1, Ordering::SeqCst);
                            connection = Some(current);
                        }
                        Some(_) => connection = Some(current),
                        None => {}
                    }
                    sleep_ms(118);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if taken.load(Ordering::SeqCst) < DELIVERED {
        return Verdict::CouldNotRun("too few messages were taken on in the time".to_string());
    }
    let expected = returned.len() + others + taken.load(Ordering::SeqCst);
    if !wait_for(10_000, || application.answers.lock().unwrap().len() >= expected) {
        return Verdict::CouldNotRun("a message has no final answer".to_string());
    }
    // the application has acknowledged them when it has asked from behind the last one
    sleep_ms(2_500);
    record.line(format!("{expected} messages have their final answers, which the application has acknowledged"));
    if trouble {
        place.signal(first, "TERM");
        if !wait_for(6_000, || place.ended(first).is_some()) {
            return Verdict::CouldNotRun("the sidecar does not end".to_string());
        }
        place.start(&command, &[]);
        if !place.wait_ready(http) {
            return Verdict::CouldNotRun("the sidecar is not ready again".to_string());
        }
    }
    sleep_ms(5_000);
    let answers = application.answers.lock().unwrap();
    let mut by_id: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (id, state) in answers.iter() {
        by_id.entry(id).or_default().push(state);
    }
    let twice: Vec<_> = by_id.iter().filter(|(_, states)| states.len() > 1).collect();
    match twice.first() {
        None => Verdict::Held,
        Some((id, states)) => Verdict::Broken(format!(
            "{} of {expected} messages got a second final answer, the first of them {id}: {}",
            twice.len(),
            states.join(", ")
        )),
    }
}

/// Reads final answers, and acknowledges them by asking again from the last cursor.
struct Application {
    /// Id and state of each final answer, as they came.
    answers: Arc<Mutex<Vec<(String, String)>>>,
}

impl Application {
    fn start(record: &Record, address: SocketAddr) -> Self {
        let answers: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
        let (known, record) = (answers.clone(), record.clone());
        std::thread::spawn(move || {
            let mut cursor = 0;
            loop {
                cursor = read_from(&record, address, cursor, &known);
                sleep_ms(20);
            }
        });
        Application { answers }
    }
}

/// Reads the stream for a second from a cursor on; returns the last cursor.
fn read_from(record: &Record, address: SocketAddr, from: u64, answers: &Mutex<Vec<(String, String)>>) -> u64 {
    let mut cursor = from;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return cursor;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(100)));
    let _ = write!(stream, "GET /v1/outcomes?from={from} HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    let (mut text, mut chunk) = (String::new(), [0; 16_384]);
    let end = Instant::now() + Duration::from_secs(1);
    while Instant::now() < end {
        match stream.read(&mut chunk) {
            Ok(0) => return cursor,
            Ok(count) => text.push_str(&String::from_utf8_lossy(&chunk[..count])),
            Err(_) => continue,
        }
        while let Some((line, rest)) = text.split_once('\n') {
            if line.starts_with("{\"cursor\":") && line.trim_end().ends_with('}') {
                let field = |name: &str| {
                    let rest = line.split_once(&format!("\"{name}\":")).map_or("", |(_, rest)| rest);
                    rest.trim_start_matches('"').split(['"', ',', '}']).next().unwrap_or("").to_string()
                };
                let number: u64 = field("cursor").parse().unwrap_or(0);
                if number > cursor {
                    cursor = number;
                    record.line(format!("application: final answer {}", line.trim_end()));
                    answers.lock().unwrap().push((field("id"), field("state")));
                }
            }
            text = rest.to_string();
        }
    }
    cursor
}
