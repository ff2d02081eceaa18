//! Single calls: one on a new connection begins only once it is allowed, and by a stated time; a told wait is heard as
//! soon as its line is there, whatever becomes of call, body and connection.

mod common;

use common::{LONG, item, local};
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

/// What a call brought: the waits that were heard, and its end.
#[derive(Debug, PartialEq)]
struct Heard {
    waits: Vec<Micros>,
    outcome: Outcome,
    cause: EndCause,
}

struct Rig {
    calls: HttpTransport,
    received: mpsc::UnboundedReceiver<Input>,
    next: u64,
    /// Calls carry what must run once.
    at_most_once: bool,
}

/// Longer than a connection rests behind a response.
const REST: Duration = Duration::from_millis(10);

impl Rig {
    fn new(endpoint: SocketAddr) -> Self {
        let (calls, received) = common::calls(endpoint);
        Rig {
            calls,
            received,
            next: 0,
            at_most_once: false,
        }
    }

    /// Starts a call of one message, `m` and its number, and gives what calls it off.
    fn start(&mut self, address: SocketAddr, body: usize) -> mpsc::UnboundedSender<usize> {
        let item = item(&format!("m{}", self.next), vec![b'x'; body]);
        let (cancel, cancels) = mpsc::unbounded_channel();
        let (number, endpoint, expires) = (self.next, EndpointId(1), Instant::now() + LONG);
        self.calls.start(
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
        self.next += 1;
        cancel
    }

    /// Waits and end, and the waits that are heard until the connection is gone.
    async fn heard(&mut self, mut stream: Option<TcpStream>) -> Heard {
        let mut waits = Vec::new();
        loop {
            match common::next_input(&mut self.received)
                .await
                .expect("the transport lives")
            {
                Input::RetryAfter { endpoint, wait } => {
                    assert_eq!(endpoint, EndpointId(1));
                    waits.push(wait);
                }
                Input::AttemptEnded(ended) => {
                    if let Some(stream) = &mut stream {
                        // it has looked at what had come when it lets the connection go
                        let _ = stream.read(&mut [0; 64]).await;
                    }
                    while let Ok(input) = self.received.try_recv() {
                        if let Input::RetryAfter { wait, .. } = input {
                            waits.push(wait);
                        }
                    }
                    return Heard {
                        waits,
                        outcome: ended.outcome,
                        cause: ended.cause,
                    };
                }
                other => panic!("neither wait nor end: {other:?}"),
            }
        }
    }

    /// The end of the next call.
    async fn end(&mut self) -> AttemptEnd {
        loop {
            if let Some(Input::AttemptEnded(end)) = common::next_input(&mut self.received).await {
                return end;
            }
        }
    }

    /// The question that a call on a new connection asks.
    async fn asked(&mut self) -> oneshot::Sender<Instant> {
        match common::next_input(&mut self.received).await {
            Some(Input::RequestStart(_, reply)) => reply,
            other => panic!("it did not ask: {other:?}"),
        }
    }
}

#[test]
fn what_may_not_begin_any_more_leaves_no_byte_and_keeps_its_connection() {
    local(async {
        let endpoint = FakeEndpoint::new(|_, _| OK);
        let mut rig = Rig::new(endpoint.address);
        let _cancel = rig.start(endpoint.address, 10);
        drop(rig.asked().await);
        let ended = rig.heard(None).await;
        assert_eq!(
            (ended.outcome, ended.cause),
            (Outcome::Unsent { no_slot: false }, EndCause::NotStarted)
        );
        assert_eq!(endpoint.request_count(), 0);
        tokio::time::sleep(REST).await;
        let _cancel = rig.start(endpoint.address, 10);
        assert_eq!(
            rig.heard(None).await.outcome,
            Outcome::Success,
            "an idle connection needs no question"
        );
        assert_eq!(endpoint.connection_count.load(Ordering::SeqCst), 1);
        assert_eq!(
            (endpoint.attempt_count("m0"), endpoint.attempt_count("m1")),
            (0, 1)
        );
    });
}

#[test]
fn a_call_that_is_not_whole_in_time_is_given_up_and_never_ran() {
    local(async {
        // nobody reads here: the kernel's buffers take a part of the call only
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut rig = Rig::new(address);
        let _cancel = rig.start(address, 30_000_000);
        let reply = rig.asked().await;
        reply
            .send(Instant::now() + Duration::from_millis(50))
            .expect("it waits for this");
        let ended = rig.heard(None).await;
        assert_eq!(
            (ended.outcome, ended.cause),
            (Outcome::NoConnection, EndCause::RequestIncomplete)
        );
    });
}

const HEAD: &str = "HTTP/1.1 429 Later\r\nX-A: b\r\nretry-AFTER: 1.5\r\nContent-Length: 2\r\n\r\n";

struct Listening {
    rig: Rig,
    listener: TcpListener,
}

impl Listening {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Listening {
            rig: Rig::new(listener.local_addr().expect("bound")),
            listener,
        }
    }

    /// A call on a connection that has brought this response to the call before, and what calls it off.
    async fn call_behind(&mut self, first: &str) -> (TcpStream, mpsc::UnboundedSender<usize>) {
        let (mut stream, _cancel) = self.call().await;
        stream.write_all(first.as_bytes()).await.expect("open");
        self.rig.end().await;
        tokio::time::sleep(REST).await;
        let address = self.listener.local_addr().expect("bound");
        let cancel = self.rig.start(address, 1);
        read_request(&mut stream).await;
        (stream, cancel)
    }

    /// A call that has come whole, on a connection of its own, and what calls it off.
    async fn call(&mut self) -> (TcpStream, mpsc::UnboundedSender<usize>) {
        let cancel = self
            .rig
            .start(self.listener.local_addr().expect("bound"), 1);
        let (mut stream, _) = self.listener.accept().await.expect("a connection");
        self.rig
            .asked()
            .await
            .send(Instant::now() + LONG)
            .expect("it waits for this");
        read_request(&mut stream).await;
        (stream, cancel)
    }
}

fn told(prefix: &str) -> Vec<Micros> {
    let line = HEAD.find("1.5\r\n").expect("it is there") + "1.5\r\n".len();
    if prefix.len() >= line {
        vec![1500 * MILLISECOND]
    } else {
        Vec::new()
    }
}

#[test]
fn an_answer_that_breaks_off_anywhere_has_told_its_wait_once_the_line_is_there() {
    local(async {
        let mut rig = Listening::new().await;
        let text = format!("{HEAD}no");
        for cut in 0..text.len() {
            let (mut stream, _cancel) = rig.call().await;
            stream
                .write_all(&text.as_bytes()[..cut])
                .await
                .expect("open");
            drop(stream);
            let heard = rig.rig.heard(None).await;
            assert_eq!(heard.waits, told(&text[..cut]), "cut at {cut}");
            assert_eq!(
                heard.outcome,
                Outcome::Reset,
                "it may have run: cut at {cut}"
            );
        }
    });
}

#[test]
fn a_call_that_is_called_off_still_hears_what_has_come() {
    local(async {
        let mut rig = Listening::new().await;
        for cut in 0..=HEAD.len() {
            let (mut stream, cancel) = rig.call().await;
            stream
                .write_all(&HEAD.as_bytes()[..cut])
                .await
                .expect("open");
            // at once: nothing of it has been read
            cancel.send(0).expect("the call is out");
            let heard = rig.rig.heard(Some(stream)).await;
            assert_eq!(heard.waits, told(&HEAD[..cut]), "cut at {cut}");
            assert_eq!(
                (heard.outcome, heard.cause),
                (Outcome::Cancelled, EndCause::Cancelled)
            );
        }
    });
}

#[test]
fn a_wait_is_heard_before_the_body_that_never_comes() {
    local(async {
        let mut rig = Listening::new().await;
        let (mut stream, _cancel) = rig.call().await;
        for byte in HEAD.as_bytes() {
            stream.write_all(&[*byte]).await.expect("open");
            tokio::task::yield_now().await;
        }
        let first = common::next_input(&mut rig.rig.received).await;
        assert!(
            matches!(first, Some(Input::RetryAfter { wait, .. }) if wait == 1500 * MILLISECOND),
            "{first:?}"
        );
        // the answer ends by a time-out only
        let heard = rig.rig.heard(None).await;
        assert_eq!(
            (heard.outcome, heard.cause),
            (Outcome::Reset, EndCause::ResponseIncomplete(429))
        );
        assert!(heard.waits.is_empty());
    });
}

#[test]
fn odd_waits_are_bounded_or_nothing_and_bodies_tell_none() {
    local(async {
        let month = 31 * 86_400_000 * MILLISECOND;
        let mut rig = Listening::new().await;
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
            let (mut stream, _cancel) = rig.call().await;
            let length = body.len();
            let text =
                format!("HTTP/1.1 503 No\r\n{headers}\r\nContent-Length: {length}\r\n\r\n{body}");
            stream.write_all(text.as_bytes()).await.expect("open");
            let heard = rig.rig.heard(None).await;
            assert_eq!(heard.waits, expected, "{headers}");
            let wait = expected.into_iter().max();
            assert_eq!(
                heard.outcome,
                Outcome::Rejected { retry_after: wait },
                "{headers}"
            );
            drop(stream);
            // the next call needs a connection of its own
            rig.rig.calls.close_idle_connections(EndpointId(1));
        }
    });
}

/// A response, whose body tells it from others.
fn response(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// Reads one request to its end.
async fn read_request(stream: &mut TcpStream) {
    let mut seen = Vec::new();
    while !seen.ends_with(b"\r\n\r\nx") {
        let mut bytes = [0; 1024];
        let count = stream.read(&mut bytes).await.expect("open");
        assert!(count > 0, "the call breaks off");
        seen.extend_from_slice(&bytes[..count]);
    }
}

/// What an endpoint does behind its second response.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Then {
    Close,
    StayOpen,
}

/// The ends of two calls on one connection, which is answered in this way.
async fn two_calls(first: &str, second: &str, then: Then) -> [AttemptEnd; 2] {
    let mut rig = Listening::new().await;
    let address = rig.listener.local_addr().expect("bound");
    let (mut stream, _cancel) = rig.call().await;
    stream.write_all(first.as_bytes()).await.expect("open");
    let first = rig.rig.end().await;
    tokio::time::sleep(REST).await;
    let _cancel = rig.rig.start(address, 1);
    read_request(&mut stream).await;
    stream.write_all(second.as_bytes()).await.expect("open");
    if then == Then::Close {
        stream.shutdown().await.expect("open");
    }
    [first, rig.rig.end().await]
}

/// A response behind which the endpoint says that it closes the connection.
fn last_response(status: &str, body: &str) -> String {
    response(status, body).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n")
}

#[test]
fn a_rejection_that_does_not_end_its_connection_proves_nothing() {
    local(async {
        let first = response("503 No", "");
        let refused = Outcome::Rejected { retry_after: None };
        for (second, then, ambiguous) in [
            (first.clone(), Then::StayOpen, true),
            (first.clone(), Then::Close, true),
            (response("503 No", "other"), Then::Close, true),
            (last_response("503 No", ""), Then::StayOpen, true),
            (last_response("503 No", "") + &first, Then::Close, true),
            (last_response("503 No", ""), Then::Close, false),
        ] {
            let [first, end] = two_calls(&first, &second, then).await;
            assert_eq!((first.outcome, first.ambiguous), (refused, false));
            let seen = (end.outcome, end.ambiguous);
            assert_eq!(seen, (refused, ambiguous), "{second} {then:?}");
        }
    });
}

#[test]
fn a_200_that_does_not_end_its_connection_delivers_nothing() {
    local(async {
        let first = response("200 OK", "first");
        let rejection = response("503 No", "");
        let duplicate = (Outcome::Reset, EndCause::DuplicateResponse(200));
        for (second, then) in [
            (first.clone(), Then::Close),
            (response("200 OK", "other"), Then::StayOpen),
            (response("200 OK", "other"), Then::Close),
            (last_response("200 OK", "other"), Then::StayOpen),
            (last_response("200 OK", "") + &rejection, Then::Close),
        ] {
            let [_, end] = two_calls(&first, &second, then).await;
            assert_eq!((end.outcome, end.cause), duplicate, "{second} {then:?}");
        }
        let last = last_response("200 OK", "other");
        let [_, end] = two_calls(&first, &last, Then::Close).await;
        let used = end.connection_use.expect("on a connection");
        assert_eq!(end.outcome, Outcome::Success);
        assert_eq!(used.attributed_by, Some(Attribution::LastCall));
    });
}

#[test]
fn a_last_call_that_is_given_up_closes_its_connection_at_once() {
    // guards against a call that goes on at the endpoint beside the next attempt
    local(async {
        let mut rig = Listening::new().await;
        let text = response("200 OK", "");
        let (mut stream, cancel) = rig.call_behind(&text).await;
        cancel.send(0).expect("it listens");
        assert_eq!(rig.rig.end().await.outcome, Outcome::Cancelled);
        let closed = timeout(LONG, stream.read(&mut [0; 8])).await;
        assert_eq!(closed.expect("in time").expect("readable"), 0);
    });
}

#[test]
fn a_last_response_with_bytes_without_end_behind_it_is_given_up_at_once() {
    // guards against an endpoint that keeps the sender reading
    local(async {
        let mut rig = Listening::new().await;
        let first = response("200 OK", "");
        let (mut stream, _cancel) = rig.call_behind(&first).await;
        let both = last_response("200 OK", "") + &first;
        stream.write_all(both.as_bytes()).await.expect("open");
        let filler = vec![b'x'; 1 << 16];
        let flood = async { while stream.write_all(&filler).await.is_ok() {} };
        let begin = Instant::now();
        let (end, ()) = tokio::join!(rig.rig.end(), flood);
        assert_eq!(end.outcome, Outcome::Reset);
        assert!(begin.elapsed() < Duration::from_millis(500));
    });
}

#[test]
fn the_wait_of_a_response_behind_another_one_is_heard() {
    local(async {
        let mut rig = Listening::new().await;
        let first = response("200 OK", "");
        let (mut stream, _cancel) = rig.call_behind(&first).await;
        let both = first + HEAD + "no";
        stream.write_all(both.as_bytes()).await.expect("open");
        stream.shutdown().await.expect("open");
        let heard = rig.rig.heard(None).await;
        assert_eq!(heard.waits, vec![1500 * MILLISECOND]);
        assert_eq!(heard.outcome, Outcome::Reset);
    });
}

#[test]
fn an_endpoint_that_does_not_close_gets_a_connection_for_each_call() {
    local(async {
        let mut rig = Listening::new().await;
        let text = response("200 OK", "");
        let (mut stream, _cancel) = rig.call_behind(&text).await;
        stream.write_all(text.as_bytes()).await.expect("open");
        assert_eq!(rig.rig.end().await.outcome, Outcome::Reset);
        for _ in 0..2 {
            let (mut stream, _cancel) = rig.call().await;
            stream.write_all(text.as_bytes()).await.expect("open");
            assert_eq!(rig.rig.end().await.outcome, Outcome::Success);
            tokio::time::sleep(REST).await;
        }
    });
}

#[test]
fn responses_that_repeat_the_request_id_share_a_connection_and_one_that_does_not_delivers_nothing()
{
    local(async {
        let mut rig = Listening::new().await;
        let address = rig.listener.local_addr().expect("bound");
        let naming = |number: usize| {
            let id = format!("\r\nX-Request-ID: m{number}\r\n\r\n");
            response("200 OK", "").replace("\r\n\r\n", &id)
        };
        let (mut stream, _cancel) = rig.call().await;
        for number in 0..4 {
            let text = naming(number);
            stream.write_all(text.as_bytes()).await.expect("open");
            assert_eq!(rig.rig.end().await.outcome, Outcome::Success);
            tokio::time::sleep(REST).await;
            let _cancel = rig.rig.start(address, 1);
            read_request(&mut stream).await;
        }
        let earlier = naming(1);
        stream.write_all(earlier.as_bytes()).await.expect("open");
        let end = rig.rig.end().await;
        let duplicate = (Outcome::Reset, EndCause::DuplicateResponse(200));
        assert_eq!((end.outcome, end.cause), duplicate);
    });
}

#[test]
fn a_connection_behind_a_410_is_closed() {
    // guards against a copy of it that ends the next message with nothing owed
    local(async {
        let mut rig = Listening::new().await;
        let (mut stream, _cancel) = rig.call().await;
        let gone = response("410 Gone", "");
        stream.write_all(gone.as_bytes()).await.expect("open");
        assert_eq!(
            rig.rig.end().await.outcome,
            Outcome::Unsent { no_slot: false }
        );
        let closed = timeout(LONG, stream.read(&mut [0; 8])).await;
        assert_eq!(closed.expect("in time").expect("readable"), 0);
    });
}

#[test]
fn what_must_run_once_gets_a_connection_of_its_own_where_nothing_is_known_of_the_endpoint() {
    local(async {
        let mut rig = Listening::new().await;
        let address = rig.listener.local_addr().expect("bound");
        let (mut stream, _cancel) = rig.call().await;
        let bare = response("200 OK", "");
        stream.write_all(bare.as_bytes()).await.expect("open");
        rig.rig.end().await;
        tokio::time::sleep(REST).await;
        rig.rig.at_most_once = true;
        let _cancel = rig.rig.start(address, 1);
        let other = timeout(LONG, rig.listener.accept()).await;
        let (_other, _) = other.expect("in time").expect("a connection of its own");
        assert_eq!(
            stream.read(&mut [0; 8]).await.expect("readable"),
            0,
            "the idle one made room"
        );
    });
}

#[test]
fn a_rejection_before_the_last_byte_of_its_request_stops_the_request() {
    // guards against a request that goes on, and may run, behind a rejection that says that it never did
    local(async {
        const BODY_BYTES: usize = 30_000_000;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut rig = Rig::new(address);
        let _cancel = rig.start(address, BODY_BYTES);
        let (mut stream, _) = listener.accept().await.expect("a connection");
        rig.asked()
            .await
            .send(Instant::now() + LONG)
            .expect("it waits for this");
        assert!(stream.read(&mut [0; 64]).await.expect("it begins") > 0);
        let text = response("503 No", "");
        stream.write_all(text.as_bytes()).await.expect("open");
        let end = rig.end().await;
        assert_eq!(end.outcome, Outcome::Rejected { retry_after: None });
        assert!(!end.ambiguous);
        let (mut count, mut bytes) = (0, vec![0; 1 << 20]);
        while let Ok(more) = timeout(LONG, stream.read(&mut bytes))
            .await
            .expect("an end")
            && more > 0
        {
            count += more;
        }
        assert!(count < BODY_BYTES, "{count} bytes came");
    });
}

#[test]
fn a_response_before_the_last_byte_of_its_request_delivers_nothing() {
    local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("bound");
        let mut rig = Rig::new(address);
        // more than the kernel's buffers take
        let _cancel = rig.start(address, 30_000_000);
        let (mut stream, _) = listener.accept().await.expect("a connection");
        rig.asked()
            .await
            .send(Instant::now() + LONG)
            .expect("it waits for this");
        assert!(stream.read(&mut [0; 64]).await.expect("it begins") > 0);
        let text = response("200 OK", "");
        stream.write_all(text.as_bytes()).await.expect("open");
        let heard = rig.heard(None).await;
        assert_eq!(
            (heard.outcome, heard.cause),
            (Outcome::Reset, EndCause::DuplicateResponse(200))
        );
    });
}
