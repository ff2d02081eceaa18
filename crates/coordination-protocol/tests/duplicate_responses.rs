//! A duplicate of an earlier response must not be taken for the response to the current call.
//!
//! HTTP/1.1 matches responses to requests by order alone, so a duplicate that arrives after the next request was sent
//! looks like the response to that request. The call numbers in the headers of requests and responses tell the two
//! apart.

mod common;

use common::run;
use milletturn_coordination_protocol::client::{Client, ClientError, Reply};
use milletturn_coordination_protocol::messages;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIME_LIMIT: Duration = Duration::from_secs(20);

/// Reads one request without a body, and returns its call number, if it has one.
async fn read_call(stream: &mut TcpStream) -> Option<String> {
    let mut text = String::new();
    while !text.ends_with("\r\n\r\n") {
        let mut bytes = [0; 1_024];
        let count = stream.read(&mut bytes).await.expect("readable");
        assert!(
            count > 0,
            "the connection closed in the middle of a request"
        );
        text.push_str(std::str::from_utf8(&bytes[..count]).expect("text"));
    }
    let prefix = format!("{}: ", messages::CALL_HEADER);
    let number = text.lines().find_map(|line| line.strip_prefix(&prefix))?;
    Some(number.to_string())
}

/// A response with a JSON string as its body, and with the call number if one is given.
fn response(call: Option<&str>, text: &str) -> String {
    let number = call.map_or_else(String::new, |call| {
        format!("{}: {call}\r\n", messages::CALL_HEADER)
    });
    let length = text.len() + 2;
    format!("HTTP/1.1 200 OK\r\n{number}content-length: {length}\r\n\r\n\"{text}\"")
}

async fn call(client: &mut Client) -> Result<Reply<String>, ClientError> {
    client
        .call::<String>(messages::STATUS_PATH, None::<&()>, TIME_LIMIT)
        .await
}

async fn listen() -> (TcpListener, Client) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    (listener, Client::new(address, "north"))
}

#[test]
fn a_duplicate_of_an_earlier_response_answers_no_call() {
    run(async {
        let (listener, mut client) = listen().await;
        let serving = tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let first = read_call(&mut stream).await;
            let first = response(first.as_deref(), "first");
            stream.write_all(first.as_bytes()).await.expect("open");
            let second = read_call(&mut stream).await;
            let second = response(second.as_deref(), "second");
            stream.write_all(first.as_bytes()).await.expect("open");
            // the client may have closed the connection by then
            let _ = stream.write_all(second.as_bytes()).await;
        });
        let reply = call(&mut client).await.expect("answered");
        assert_eq!(reply.result, Ok("first".to_string()));
        let unknown = call(&mut client).await;
        assert!(
            matches!(unknown, Err(ClientError::OutcomeUnknown { .. })),
            "{unknown:?}"
        );
        serving.await.expect("served");
    });
}

#[test]
fn a_server_without_call_numbers_gets_one_connection_per_call() {
    run(async {
        let (listener, mut client) = listen().await;
        let serving = tokio::task::spawn_local(async move {
            for text in ["first", "second"] {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                read_call(&mut stream).await;
                let response = response(None, text);
                stream.write_all(response.as_bytes()).await.expect("open");
            }
        });
        for text in ["first", "second"] {
            let reply = call(&mut client).await.expect("answered");
            assert_eq!(reply.result, Ok(text.to_string()));
        }
        serving.await.expect("served");
    });
}

#[test]
fn a_server_with_call_numbers_gets_all_calls_on_one_connection() {
    run(async {
        let (listener, mut client) = listen().await;
        let serving = tokio::task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            for text in ["first", "second", "third"] {
                let number = read_call(&mut stream).await;
                let response = response(number.as_deref(), text);
                stream.write_all(response.as_bytes()).await.expect("open");
            }
        });
        for text in ["first", "second", "third"] {
            let reply = call(&mut client).await.expect("answered");
            assert_eq!(reply.result, Ok(text.to_string()));
        }
        serving.await.expect("served");
    });
}
