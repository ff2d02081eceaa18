//! The HTTP responses to readers of outcomes.

use super::{golden, open_copy, run_local};
use milletturn_engine::Input;
use milletturn_sidecar::shared_outcome_log::SharedOutcomeLog;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// The last bytes of an outcome stream that has sent all pending outcomes; its connection stays open.
const STREAM_END: &str = "\"order/16\",\"state\":\"delivered\"}\n\r\n";

/// Whether a response is complete: its body is as long as its `content-length` header says, or, without that header,
/// ends with the last pending outcome.
fn is_complete(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    match head.split_once("content-length: ") {
        Some((_, length)) => {
            length.lines().next().and_then(|length| length.parse().ok()) == Some(body.len())
        }
        None => body.ends_with(STREAM_END),
    }
}

/// Sends a request to the outcomes port and returns the response without its `date` header.
async fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the server accepts");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is written");
    let (mut text, mut piece) = (String::new(), [0; 4096]);
    while !is_complete(&text) {
        let read = tokio::time::timeout(Duration::from_secs(10), stream.read(&mut piece)).await;
        let count = read
            .unwrap_or_else(|_| panic!("incomplete response: {text}"))
            .expect("the response is readable");
        assert_ne!(count, 0, "connection closed early: {text}");
        text.push_str(std::str::from_utf8(&piece[..count]).expect("the response is UTF-8"));
    }
    text.split_inclusive("\r\n")
        .filter(|line| !line.starts_with("date: "))
        .collect()
}

#[test]
fn readers_of_outcomes_get_the_same_bytes() {
    let (_folder, log) = open_copy("outcomes");
    let text = run_local(async {
        let (inputs, mut engine_inputs) = mpsc::unbounded_channel();
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a free port is bound");
        let address = listener.local_addr().expect("the listener has an address");
        tokio::task::spawn_local(SharedOutcomeLog::new(log, inputs).serve(listener));
        // stands in for the engine, which has one unfinished message, `m-held`
        tokio::task::spawn_local(async move {
            while let Some(input) = engine_inputs.recv().await {
                if let Input::IsOpen(id, reply) = input {
                    let _ = reply.send(id.to_string() == "m-held");
                }
            }
        });
        let mut text = String::new();
        for line in [
            "GET /v1/outcomes",
            "GET /v1/outcomes?from=4",
            "GET /v1/outcomes?from=6",
            "GET /v1/outcomes?from=x",
            "POST /v1/outcomes",
            "GET /v1/messages/order/16",
            "GET /v1/messages/m-held",
            "GET /v1/messages/m-14",
            "GET /v2",
        ] {
            text.push_str(&format!("> {line}\n"));
            text.push_str(&exchange(address, &format!("{line} HTTP/1.1\r\nHost: a\r\n\r\n")).await);
            text.push('\n');
        }
        text.replace("\r\n", "\n")
    });
    assert_eq!(
        text,
        std::fs::read_to_string(golden("reader.txt")).expect("the golden file is readable")
    );
}
