//! A sidecar whose application's callback is down; the callback is then taken out of the configuration and the sidecar
//! started again. The application reads its final answers.

use crate::parts::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub fn callback_removed(place: &Workplace, trouble: bool) -> Verdict {
    let record = &place.record;
    let answers: Behaviour = Arc::new(|_| Reply::Status(200, Vec::new(), 20));
    let endpoint = Endpoint::start(record, "endpoint", 1, answers).unwrap();
    let (http, outcomes, callback) = (free_address(), free_address(), free_address());
    let file = place.folder.join("billing.toml");
    let without_callback = format!(
        "name = \"billing\"\nstate = \"billing.state\"\n\n[listen]\nhttp = \"{http}\"\noutcomes = \"{outcomes}\"\n\n\
         [class.notice]\neffect = \"keyed\"\nwindow = \"20s\"\n\n[destination.first]\nid = 1\nendpoints = [\"{}\"]\n",
        endpoint.address
    );
    let with_callback = format!("{without_callback}\n[outcomes]\ncallback = \"{callback}\"\n");
    std::fs::write(&file, &with_callback).unwrap();
    let command = format!("{} sidecar --config {}", place.run_command(), file.display());
    let first = place.start(&command, &[]);
    if !place.wait_ready(http) {
        return Verdict::CouldNotRun("the sidecar is not ready".to_string());
    }
    let handed_in = ["payment-1", "payment-2"];
    for id in handed_in {
        let message = Submission::new("notice", id, 1, 10_000).key(&format!("key-{id}"));
        if submit(record, http, &message) != Some(202) {
            return Verdict::CouldNotRun(format!("{id} is not taken on"));
        }
    }
    sleep_ms(1_500);
    place.signal(first, "TERM");
    if !wait_for(6_000, || place.ended(first).is_some()) {
        return Verdict::CouldNotRun("the sidecar does not end".to_string());
    }
    if trouble {
        record.line("the callback is taken out of the configuration");
        std::fs::write(&file, &without_callback).unwrap();
    }
    place.start(&command, &[]);
    if !place.wait_ready(http) {
        return Verdict::CouldNotRun("the sidecar is not ready again".to_string());
    }
    let lines = read_outcomes(place, outcomes, 75);
    let id_of = |line: &String| line.split("\"id\":\"").nth(1).and_then(|rest| rest.split('"').next()).map(str::to_string);
    let ids: Vec<String> = lines.iter().filter_map(id_of).collect();
    if !handed_in.iter().all(|id| ids.iter().any(|known| known == id)) {
        return Verdict::CouldNotRun("a message that was handed in has no final answer".to_string());
    }
    match ids.iter().find(|id| !handed_in.contains(&id.as_str())) {
        None => Verdict::Held,
        Some(foreign) => Verdict::Broken(format!("the application got a final answer to '{foreign}', which nobody handed in")),
    }
}

/// Reads the stream of final answers for some seconds.
fn read_outcomes(place: &Workplace, address: std::net::SocketAddr, seconds: u64) -> Vec<String> {
    let mut lines = Vec::new();
    let Ok(mut stream) = TcpStream::connect(address) else {
        return lines;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let _ = stream.write_all(b"GET /v1/outcomes?from=0 HTTP/1.1\r\nHost: app.svc\r\n\r\n");
    let (mut text, mut chunk) = (String::new(), [0; 8192]);
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        if let Ok(count) = stream.read(&mut chunk) {
            if count == 0 {
                break;
            }
            text.push_str(&String::from_utf8_lossy(&chunk[..count]));
            while let Some((line, rest)) = text.split_once('\n') {
                if line.starts_with('{') {
                    place.record.line(format!("application: final answer {line}"));
                    lines.push(line.to_string());
                }
                text = rest.to_string();
            }
        }
    }
    lines
}
