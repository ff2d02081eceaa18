//! Calls that carry several messages, of which some are called off.

mod common;

use common::{LONG, item, local};
use milletturn_engine::{Call, EndCause, Input, Transport};
use milletturn_policy::{EndpointId, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

struct Out {
    received: mpsc::UnboundedReceiver<Input>,
    cancel: mpsc::UnboundedSender<usize>,
    stream: TcpStream,
}

impl Out {
    /// A call of two messages, written whole to an endpoint that has not answered yet.
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (calls, mut received) = common::calls(address);
        let (cancel, cancels) = mpsc::unbounded_channel();
        let (endpoint, expires) = (EndpointId(1), Instant::now() + LONG);
        let items = ["m0", "m1"]
            .map(|name| item(name, b"body".to_vec()))
            .to_vec();
        calls.start(
            Call {
                number: 7,
                endpoint,
                address,
                items,
                at_most_once: false,
                expires,
            },
            cancels,
        );
        let (mut stream, _) = listener.accept().await.expect("a call");
        match received.recv().await {
            Some(Input::RequestStart(_, reply)) => reply.send(expires).expect("it waits"),
            other => panic!("it did not ask: {other:?}"),
        }
        let mut seen = Vec::new();
        while !seen.ends_with(b"m1 m1 4\r\nbody\r\n") {
            assert!(
                stream.read_buf(&mut seen).await.expect("readable") > 0,
                "the call comes whole"
            );
        }
        Out {
            received,
            cancel,
            stream,
        }
    }

    async fn end(&mut self) -> (usize, Outcome, EndCause) {
        match common::next_input(&mut self.received).await {
            Some(Input::AttemptEnded(ended)) => (ended.position, ended.outcome, ended.cause),
            other => panic!("no end: {other:?}"),
        }
    }
}

#[test]
fn what_is_called_off_is_out_for_as_long_as_the_call_and_fares_like_the_rest() {
    local(async {
        let mut out = Out::new().await;
        out.cancel.send(0).expect("it listens");
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nm0 ok\r\nm1 ok\r\n";
        // the cancel is in the queue before a byte of the answer; an end told for it would be the first one
        tokio::task::yield_now().await;
        out.stream
            .write_all(answer.as_bytes())
            .await
            .expect("written");
        let answered = EndCause::Response(200);
        assert_eq!(out.end().await, (0, Outcome::Success, answered));
        assert_eq!(out.end().await, (1, Outcome::Success, answered));
    });
}

#[test]
fn a_call_that_nobody_needs_is_left() {
    local(async {
        let mut out = Out::new().await;
        out.cancel.send(1).expect("it listens");
        out.cancel.send(0).expect("it listens");
        assert_eq!(
            out.end().await,
            (0, Outcome::Cancelled, EndCause::Cancelled)
        );
        assert_eq!(
            out.end().await,
            (1, Outcome::Cancelled, EndCause::Cancelled)
        );
        assert_eq!(
            out.stream.read(&mut [0; 8]).await.expect("readable"),
            0,
            "its connection is closed"
        );
    });
}
