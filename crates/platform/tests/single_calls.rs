//! Calls with a single message. A call on a new connection starts only with the permission of the engine and must be
//! written by a deadline. A `Retry-After` counts as soon as its header line is complete, even if the call, the body or
//! the connection fails.

mod common;

use common::{GENEROUS_TIMEOUT, item, run_local};
use milletturn_engine::{AttemptEnd, Attribution, Call, EndCause, Input, Transport};
use milletturn_platform::http_transport::HttpTransport;
use milletturn_policy::{EndpointId, MILLISECOND, Micros, Outcome};
use milletturn_test_support::{FakeEndpoint, OK};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};

/// The result of a call: the retry-after delays that were reported, and how the call ended.
#[derive(Debug, PartialEq)]
struct CallReport {
    retry_after_delays: Vec<Micros>,
    outcome: Outcome,
    cause: EndCause,
}

struct TransportFixture {
    transport: HttpTransport,
    received: mpsc::UnboundedReceiver<Input>,
    next_number: u64,
    /// Whether the messages must run at most once.
    at_most_once: bool,
}

/// Longer than the time for which a connection stays unused after a response.
const IDLE_PAUSE: Duration = Duration::from_millis(10);

impl TransportFixture {
    fn new(endpoint: SocketAddr) -> Self {
        let (transport, received) = common::start_transport(endpoint);
        TransportFixture {
            transport,
            received,
            next_number: 0,
            at_most_once: false,
        }
    }

    /// Starts a call with one message, whose id is `m` followed by the number of the call. Returns the channel that
    /// cancels the message.
    fn start(&mut self, address: SocketAddr, body_bytes: usize) -> mpsc::UnboundedSender<usize> {
        let item = item(&format!("m{}", self.next_number), vec![b'x'; body_bytes]);
        let (cancel, cancels) = mpsc::unbounded_channel();
        let (number, endpoint, expires) = (
            self.next_number,
            EndpointId(1),
            Instant::now() + GENEROUS_TIMEOUT,
        );
        self.transport.start(
            Call {
                number,
                endpoint,
                address,
                items: vec![item],
                at_most_once: self.at_most_once,
                expires,
            },
            cancels,
        );
        self.next_number += 1;
        cancel
    }

    /// Waits until the call has ended. With `stream`, also waits until its connection is closed, so that a retry-after
    /// delay that is reported after the end of the call is included.
    async fn next_report(&mut self, mut stream: Option<TcpStream>) -> CallReport {
        let mut retry_after_delays = Vec::new();
        loop {
            match common::next_input(&mut self.received)
                .await
                .expect("the transport is running")
            {
                Input::RetryAfter {
                    endpoint,
                    retry_after,
                } => {
                    assert_eq!(endpoint, EndpointId(1));
                    retry_after_delays.push(retry_after);
                }
                Input::AttemptEnded(ended) => {
                    if let Some(stream) = &mut stream {
                        // the transport has inspected all received bytes by the time it closes the connection
                        let _ = stream.read(&mut [0; 64]).await;
                    }
                    while let Ok(input) = self.received.try_recv() {
                        if let Input::RetryAfter { retry_after, .. } = input {
                            retry_after_delays.push(retry_after);
                        }
                    }
                    return CallReport {
                        retry_after_delays,
                        outcome: ended.outcome,
                        cause: ended.cause,
                    };
                }
                other => panic!("neither a retry-after delay nor an end: {other:?}"),
            }
        }
    }

    /// The end of the next call.
    async fn next_end(&mut self) -> AttemptEnd {
        loop {
            if let Some(Input::AttemptEnded(end)) = common::next_input(&mut self.received).await {
                return end;
            }
        }
    }

    /// Waits until a call on a new connection requests permission to start. Returns the channel for the reply,
    /// which is the deadline for writing the request. If the channel is dropped, the call may not start.
    async fn next_start_request(&mut self) -> oneshot::Sender<Instant> {
        match common::next_input(&mut self.received).await {
            Some(Input::RequestStart(_, reply)) => reply,
            other => panic!("no request to start: {other:?}"),
        }
    }
}

#[test]
fn a_call_that_may_not_start_sends_nothing_and_leaves_its_connection_open() {
    run_local(async {
        let endpoint = FakeEndpoint::new(|_, _| OK);
        let mut fixture = TransportFixture::new(endpoint.address);
        let _cancel = fixture.start(endpoint.address, 10);
        drop(fixture.next_start_request().await);
        let ended = fixture.next_report(None).await;
        assert_eq!(
            (ended.outcome, ended.cause),
            (Outcome::Unsent { no_slot: false }, EndCause::NotStarted)
        );
        assert_eq!(endpoint.request_count(), 0);
        tokio::time::sleep(IDLE_PAUSE).await;
        let _cancel = fixture.start(endpoint.address, 10);
        assert_eq!(
            fixture.next_report(None).await.outcome,
            Outcome::Success,
            "a call on an idle connection needs no permission"
        );
        assert_eq!(endpoint.connection_count.load(Ordering::SeqCst), 1);
        assert_eq!(
            (endpoint.attempt_count("m0"), endpoint.attempt_count("m1")),
            (0, 1)
        );
    });
}

#[test]
fn a_request_that_is_incomplete_at_its_deadline_is_aborted_and_never_ran() {
    run_local(async {
        // The endpoint does not read, so the kernel's buffers hold only a part of the request.
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut fixture = TransportFixture::new(address);
        let _cancel = fixture.start(address, 30_000_000);
        let reply = fixture.next_start_request().await;
        reply
            .send(Instant::now() + Duration::from_millis(50))
            .expect("the call waits for the reply");
        let ended = fixture.next_report(None).await;
        assert_eq!(
            (ended.outcome, ended.cause),
            (Outcome::NoConnection, EndCause::RequestIncomplete)
        );
    });
}

const HEAD: &str = "HTTP/1.1 429 Later\r\nX-A: b\r\nretry-AFTER: 1.5\r\nContent-Length: 2\r\n\r\n";

struct EndpointFixture {
    calls: TransportFixture,
    listener: TcpListener,
}

impl EndpointFixture {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        EndpointFixture {
            calls: TransportFixture::new(listener.local_addr().expect("bound")),
            listener,
        }
    }

    /// Starts a call on a connection whose previous call got the response `first`. Returns the endpoint's side of the
    /// connection, and the channel that cancels the message.
    async fn call_after(&mut self, first: &str) -> (TcpStream, mpsc::UnboundedSender<usize>) {
        let (mut stream, _cancel) = self.call().await;
        stream.write_all(first.as_bytes()).await.expect("open");
        self.calls.next_end().await;
        tokio::time::sleep(IDLE_PAUSE).await;
        let address = self.listener.local_addr().expect("bound");
        let cancel = self.calls.start(address, 1);
        read_request(&mut stream).await;
        (stream, cancel)
    }

    /// Starts a call on a new connection and reads its request. Returns the endpoint's side of the connection, and the
    /// channel that cancels the message.
    async fn call(&mut self) -> (TcpStream, mpsc::UnboundedSender<usize>) {
        let cancel = self
            .calls
            .start(self.listener.local_addr().expect("bound"), 1);
        let (mut stream, _) = self.listener.accept().await.expect("a connection");
        self.calls
            .next_start_request()
            .await
            .send(Instant::now() + GENEROUS_TIMEOUT)
            .expect("the call waits for the reply");
        read_request(&mut stream).await;
        (stream, cancel)
    }
}

/// The retry-after delays that must be reported if only this prefix of a response with [`HEAD`] is received.
fn expected_retry_after_delays(prefix: &str) -> Vec<Micros> {
    let retry_after_end =
        HEAD.find("1.5\r\n").expect("the header is in the text") + "1.5\r\n".len();
    if prefix.len() >= retry_after_end {
        vec![1500 * MILLISECOND]
    } else {
        Vec::new()
    }
}

#[test]
fn retry_after_counts_once_its_line_is_complete_wherever_the_response_ends() {
    run_local(async {
        let mut fixture = EndpointFixture::new().await;
        let text = format!("{HEAD}no");
        for cut in 0..text.len() {
            let (mut stream, _cancel) = fixture.call().await;
            stream
                .write_all(&text.as_bytes()[..cut])
                .await
                .expect("open");
            drop(stream);
            let report = fixture.calls.next_report(None).await;
            assert_eq!(
                report.retry_after_delays,
                expected_retry_after_delays(&text[..cut]),
                "cut at {cut}"
            );
            assert_eq!(
                report.outcome,
                Outcome::Reset,
                "it may have run: cut at {cut}"
            );
        }
    });
}

#[test]
fn retry_after_counts_even_if_the_call_is_cancelled_before_it_is_read() {
    run_local(async {
        let mut fixture = EndpointFixture::new().await;
        for cut in 0..=HEAD.len() {
            let (mut stream, cancel) = fixture.call().await;
            stream
                .write_all(&HEAD.as_bytes()[..cut])
                .await
                .expect("open");
            // cancel at once, before the transport has read the response
            cancel.send(0).expect("the call is in flight");
            let report = fixture.calls.next_report(Some(stream)).await;
            assert_eq!(
                report.retry_after_delays,
                expected_retry_after_delays(&HEAD[..cut]),
                "cut at {cut}"
            );
            assert_eq!(
                (report.outcome, report.cause),
                (Outcome::Cancelled, EndCause::Cancelled)
            );
        }
    });
}

#[test]
fn retry_after_is_reported_before_a_body_that_never_arrives() {
    run_local(async {
        let mut fixture = EndpointFixture::new().await;
        let (mut stream, _cancel) = fixture.call().await;
        for byte in HEAD.as_bytes() {
            stream.write_all(&[*byte]).await.expect("open");
            tokio::task::yield_now().await;
        }
        let first = common::next_input(&mut fixture.calls.received).await;
        assert!(
            matches!(first, Some(Input::RetryAfter { retry_after, .. }) if retry_after == 1500 * MILLISECOND),
            "{first:?}"
        );
        // the wait for the body ends only at a time limit
        let report = fixture.calls.next_report(None).await;
        assert_eq!(
            (report.outcome, report.cause),
            (Outcome::Reset, EndCause::ResponseIncomplete(429))
        );
        assert!(report.retry_after_delays.is_empty());
    });
}

#[test]
fn invalid_retry_after_is_ignored_and_long_ones_are_limited() {
    run_local(async {
        let month = 31 * 86_400_000 * MILLISECOND;
        let mut fixture = EndpointFixture::new().await;
        for (headers, body, expected) in [
            ("Retry-After: 0", "", vec![]),
            ("Retry-After: -3", "", vec![]),
            ("Retry-After: soon", "", vec![]),
            ("Retry-After: NaN", "", vec![]),
            ("Retry-After:", "", vec![]),
            ("Retry-After: 1e300", "", vec![month]),
            (
                "Retry-After: 1209600",
                "",
                vec![1_209_600_000 * MILLISECOND],
            ),
            (
                "Retry-After: 0.50000000000000000001",
                "",
                vec![500 * MILLISECOND],
            ),
            (
                "Retry-After: 1\r\nRetry-After: 2",
                "",
                vec![1000 * MILLISECOND, 2000 * MILLISECOND],
            ),
            ("X-Retry-After: 1", "", vec![]),
            ("X-A: Retry-After: 1", "", vec![]),
            ("X-A: b", "Retry-After: 1\r\n", vec![]),
        ] {
            let (mut stream, _cancel) = fixture.call().await;
            let length = body.len();
            let text =
                format!("HTTP/1.1 503 No\r\n{headers}\r\nContent-Length: {length}\r\n\r\n{body}");
            stream.write_all(text.as_bytes()).await.expect("open");
            let report = fixture.calls.next_report(None).await;
            assert_eq!(report.retry_after_delays, expected, "{headers}");
            let retry_after = expected.into_iter().max();
            assert_eq!(
                report.outcome,
                Outcome::Rejected { retry_after },
                "{headers}"
            );
            drop(stream);
            // force a new connection for the next call
            fixture
                .calls
                .transport
                .close_idle_connections(EndpointId(1));
        }
    });
}

/// A response. Different bodies make responses with the same status distinguishable.
fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Reads one request to its end.
async fn read_request(stream: &mut TcpStream) {
    let mut received_bytes = Vec::new();
    while !received_bytes.ends_with(b"\r\n\r\nx") {
        let mut bytes = [0; 1024];
        let count = stream.read(&mut bytes).await.expect("open");
        assert!(count > 0, "the request ended early");
        received_bytes.extend_from_slice(&bytes[..count]);
    }
}

/// What the endpoint does after its second response.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AfterResponse {
    Close,
    StayOpen,
}

/// Makes two calls on one connection, which get these responses; returns their ends.
async fn two_calls(first: &str, second: &str, after_response: AfterResponse) -> [AttemptEnd; 2] {
    let mut fixture = EndpointFixture::new().await;
    let address = fixture.listener.local_addr().expect("bound");
    let (mut stream, _cancel) = fixture.call().await;
    stream.write_all(first.as_bytes()).await.expect("open");
    let first = fixture.calls.next_end().await;
    tokio::time::sleep(IDLE_PAUSE).await;
    let _cancel = fixture.calls.start(address, 1);
    read_request(&mut stream).await;
    stream.write_all(second.as_bytes()).await.expect("open");
    if after_response == AfterResponse::Close {
        stream.shutdown().await.expect("open");
    }
    [first, fixture.calls.next_end().await]
}

/// A response that announces the close of the connection.
fn last_response(status: &str, body: &str) -> String {
    response(status, body).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
}

#[test]
fn a_rejection_that_does_not_close_its_connection_is_ambiguous() {
    run_local(async {
        let first = response("503 No", "");
        let rejected = Outcome::Rejected { retry_after: None };
        for (second, after_response, ambiguous) in [
            (first.clone(), AfterResponse::StayOpen, true),
            (first.clone(), AfterResponse::Close, true),
            (response("503 No", "other"), AfterResponse::Close, true),
            (last_response("503 No", ""), AfterResponse::StayOpen, true),
            (
                last_response("503 No", "") + &first,
                AfterResponse::Close,
                true,
            ),
            (last_response("503 No", ""), AfterResponse::Close, false),
        ] {
            let [first, end] = two_calls(&first, &second, after_response).await;
            assert_eq!((first.outcome, first.ambiguous), (rejected, false));
            let actual = (end.outcome, end.ambiguous);
            assert_eq!(actual, (rejected, ambiguous), "{second} {after_response:?}");
        }
    });
}

#[test]
fn a_200_that_does_not_close_its_connection_delivers_nothing() {
    run_local(async {
        let first = response("200 OK", "first");
        let rejection = response("503 No", "");
        let duplicate = (Outcome::Reset, EndCause::DuplicateResponse(200));
        for (second, after_response) in [
            (first.clone(), AfterResponse::Close),
            (response("200 OK", "other"), AfterResponse::StayOpen),
            (response("200 OK", "other"), AfterResponse::Close),
            (last_response("200 OK", "other"), AfterResponse::StayOpen),
            (
                last_response("200 OK", "") + &rejection,
                AfterResponse::Close,
            ),
        ] {
            let [_, end] = two_calls(&first, &second, after_response).await;
            assert_eq!(
                (end.outcome, end.cause),
                duplicate,
                "{second} {after_response:?}"
            );
        }
        let last = last_response("200 OK", "other");
        let [_, end] = two_calls(&first, &last, AfterResponse::Close).await;
        let used = end.connection_use.expect("the call used a connection");
        assert_eq!(end.outcome, Outcome::Success);
        assert_eq!(used.attributed_by, Some(Attribution::LastCall));
    });
}

#[test]
fn a_cancelled_last_call_closes_its_connection_at_once() {
    // Guards against a cancelled call that continues at the endpoint while the next attempt runs.
    run_local(async {
        let mut fixture = EndpointFixture::new().await;
        let text = response("200 OK", "");
        let (mut stream, cancel) = fixture.call_after(&text).await;
        cancel.send(0).expect("the call is in progress");
        assert_eq!(fixture.calls.next_end().await.outcome, Outcome::Cancelled);
        let closed = timeout(GENEROUS_TIMEOUT, stream.read(&mut [0; 8])).await;
        assert_eq!(closed.expect("in time").expect("readable"), 0);
    });
}

#[test]
fn a_call_whose_last_response_is_followed_by_endless_data_ends_at_once() {
    // Guards against an endpoint that keeps a call in flight by sending data endlessly.
    run_local(async {
        let mut fixture = EndpointFixture::new().await;
        let first = response("200 OK", "");
        let (mut stream, _cancel) = fixture.call_after(&first).await;
        let both = last_response("200 OK", "") + &first;
        stream.write_all(both.as_bytes()).await.expect("open");
        let filler = vec![b'x'; 1 << 16];
        let flood = async { while stream.write_all(&filler).await.is_ok() {} };
        let started_at = Instant::now();
        let (end, ()) = tokio::join!(fixture.calls.next_end(), flood);
        assert_eq!(end.outcome, Outcome::Reset);
        assert!(started_at.elapsed() < Duration::from_millis(500));
    });
}

#[test]
fn retry_after_of_a_response_after_another_one_counts() {
    run_local(async {
        let mut fixture = EndpointFixture::new().await;
        let first = response("200 OK", "");
        let (mut stream, _cancel) = fixture.call_after(&first).await;
        let both = first + HEAD + "no";
        stream.write_all(both.as_bytes()).await.expect("open");
        stream.shutdown().await.expect("open");
        let report = fixture.calls.next_report(None).await;
        assert_eq!(report.retry_after_delays, vec![1500 * MILLISECOND]);
        assert_eq!(report.outcome, Outcome::Reset);
    });
}

#[test]
fn an_endpoint_that_does_not_close_gets_a_connection_for_each_call() {
    run_local(async {
        let mut fixture = EndpointFixture::new().await;
        let text = response("200 OK", "");
        let (mut stream, _cancel) = fixture.call_after(&text).await;
        stream.write_all(text.as_bytes()).await.expect("open");
        assert_eq!(fixture.calls.next_end().await.outcome, Outcome::Reset);
        for _ in 0..2 {
            let (mut stream, _cancel) = fixture.call().await;
            stream.write_all(text.as_bytes()).await.expect("open");
            assert_eq!(fixture.calls.next_end().await.outcome, Outcome::Success);
            tokio::time::sleep(IDLE_PAUSE).await;
        }
    });
}

#[test]
fn responses_that_repeat_the_request_id_share_a_connection_and_one_that_does_not_delivers_nothing()
{
    run_local(async {
        let mut fixture = EndpointFixture::new().await;
        let address = fixture.listener.local_addr().expect("bound");
        let response_with_id = |number: usize| {
            let id = format!("\r\nX-Request-ID: m{number}\r\n\r\n");
            response("200 OK", "").replace("\r\n\r\n", &id)
        };
        let (mut stream, _cancel) = fixture.call().await;
        for number in 0..4 {
            let text = response_with_id(number);
            stream.write_all(text.as_bytes()).await.expect("open");
            assert_eq!(fixture.calls.next_end().await.outcome, Outcome::Success);
            tokio::time::sleep(IDLE_PAUSE).await;
            let _cancel = fixture.calls.start(address, 1);
            read_request(&mut stream).await;
        }
        let earlier = response_with_id(1);
        stream.write_all(earlier.as_bytes()).await.expect("open");
        let end = fixture.calls.next_end().await;
        let duplicate = (Outcome::Reset, EndCause::DuplicateResponse(200));
        assert_eq!((end.outcome, end.cause), duplicate);
    });
}

#[test]
fn a_connection_is_closed_after_a_410() {
    // Guards against a duplicate of the 410 that would end the next message without a notification.
    run_local(async {
        let mut fixture = EndpointFixture::new().await;
        let (mut stream, _cancel) = fixture.call().await;
        let text = response("410 Gone", "");
        stream.write_all(text.as_bytes()).await.expect("open");
        assert_eq!(
            fixture.calls.next_end().await.outcome,
            Outcome::Unsent { no_slot: false }
        );
        let closed = timeout(GENEROUS_TIMEOUT, stream.read(&mut [0; 8])).await;
        assert_eq!(closed.expect("in time").expect("readable"), 0);
    });
}

#[test]
fn an_at_most_once_call_uses_a_new_connection_if_the_close_behaviour_is_unknown() {
    run_local(async {
        let mut fixture = EndpointFixture::new().await;
        let address = fixture.listener.local_addr().expect("bound");
        let (mut stream, _cancel) = fixture.call().await;
        let plain = response("200 OK", "");
        stream.write_all(plain.as_bytes()).await.expect("open");
        fixture.calls.next_end().await;
        tokio::time::sleep(IDLE_PAUSE).await;
        fixture.calls.at_most_once = true;
        let _cancel = fixture.calls.start(address, 1);
        let accepted = timeout(GENEROUS_TIMEOUT, fixture.listener.accept()).await;
        let (_stream, _) = accepted.expect("in time").expect("a connection of its own");
        assert_eq!(
            stream.read(&mut [0; 8]).await.expect("readable"),
            0,
            "the idle connection is closed"
        );
    });
}

#[test]
fn a_rejection_before_the_last_byte_of_its_request_stops_the_request() {
    // Guards against a request that is still written, and may run, after a rejection that says it did not run.
    run_local(async {
        const BODY_BYTES: usize = 30_000_000;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut fixture = TransportFixture::new(address);
        let _cancel = fixture.start(address, BODY_BYTES);
        let (mut stream, _) = listener.accept().await.expect("a connection");
        fixture
            .next_start_request()
            .await
            .send(Instant::now() + GENEROUS_TIMEOUT)
            .expect("the call waits for the reply");
        assert!(stream.read(&mut [0; 64]).await.expect("the request begins") > 0);
        let text = response("503 No", "");
        stream.write_all(text.as_bytes()).await.expect("open");
        let end = fixture.next_end().await;
        assert_eq!(end.outcome, Outcome::Rejected { retry_after: None });
        assert!(!end.ambiguous);
        let (mut count, mut bytes) = (0, vec![0; 1 << 20]);
        while let Ok(more) = timeout(GENEROUS_TIMEOUT, stream.read(&mut bytes))
            .await
            .expect("the end of the request in time")
            && more > 0
        {
            count += more;
        }
        assert!(count < BODY_BYTES, "{count} bytes received");
    });
}

#[test]
fn a_response_before_the_last_byte_of_its_request_delivers_nothing() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut fixture = TransportFixture::new(address);
        // more than the kernel's buffers hold
        let _cancel = fixture.start(address, 30_000_000);
        let (mut stream, _) = listener.accept().await.expect("a connection");
        fixture
            .next_start_request()
            .await
            .send(Instant::now() + GENEROUS_TIMEOUT)
            .expect("the call waits for the reply");
        assert!(stream.read(&mut [0; 64]).await.expect("the request begins") > 0);
        let text = response("200 OK", "");
        stream.write_all(text.as_bytes()).await.expect("open");
        let report = fixture.next_report(None).await;
        assert_eq!(
            (report.outcome, report.cause),
            (Outcome::Reset, EndCause::DuplicateResponse(200))
        );
    });
}
