//! Batch calls in which some or all messages are cancelled.

mod common;

use common::{GENEROUS_TIMEOUT, item, run_local};
use milletturn_engine::{Call, EndCause, Input, Transport};
use milletturn_policy::{EndpointId, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

struct CallInFlight {
    received: mpsc::UnboundedReceiver<Input>,
    cancel: mpsc::UnboundedSender<usize>,
    stream: TcpStream,
}

impl CallInFlight {
    /// Starts a call with two messages, and waits until its request has been received completely. The endpoint does not
    /// respond yet.
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let (transport, mut received) = common::start_transport(address);
        let (cancel, cancels) = mpsc::unbounded_channel();
        let (endpoint, expires) = (EndpointId(1), Instant::now() + GENEROUS_TIMEOUT);
        let items = ["m0", "m1"]
            .map(|name| item(name, b"body".to_vec()))
            .to_vec();
        transport.start(
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
            Some(Input::RequestStart(_, reply)) => {
                reply.send(expires).expect("the call waits for the reply");
            }
            other => panic!("no request to start: {other:?}"),
        }
        let mut received_bytes = Vec::new();
        while !received_bytes.ends_with(b"m1 m1 4\r\nbody\r\n") {
            assert!(
                stream
                    .read_buf(&mut received_bytes)
                    .await
                    .expect("readable")
                    > 0,
                "the complete request arrives"
            );
        }
        CallInFlight {
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
fn a_cancelled_message_stays_in_flight_and_shares_the_outcome_of_the_call() {
    run_local(async {
        let mut call = CallInFlight::new().await;
        call.cancel.send(0).expect("the call is in progress");
        let response = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\nm0 ok\r\nm1 ok\r\n";
        // The cancellation is queued before the response. If it ended the attempt for message 0, the first reported
        // outcome would be `Cancelled`.
        tokio::task::yield_now().await;
        call.stream
            .write_all(response.as_bytes())
            .await
            .expect("written");
        let cause = EndCause::Response(200);
        assert_eq!(call.end().await, (0, Outcome::Success, cause));
        assert_eq!(call.end().await, (1, Outcome::Success, cause));
    });
}

#[test]
fn a_call_ends_when_all_its_messages_are_cancelled() {
    run_local(async {
        let mut call = CallInFlight::new().await;
        call.cancel.send(1).expect("the call is in progress");
        call.cancel.send(0).expect("the call is in progress");
        assert_eq!(
            call.end().await,
            (0, Outcome::Cancelled, EndCause::Cancelled)
        );
        assert_eq!(
            call.end().await,
            (1, Outcome::Cancelled, EndCause::Cancelled)
        );
        assert_eq!(
            call.stream.read(&mut [0; 8]).await.expect("readable"),
            0,
            "its connection is closed"
        );
    });
}
