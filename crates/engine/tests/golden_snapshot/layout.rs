//! An independent definition of the snapshot format, and the messages and routes in the stored snapshot.

use milletturn_policy::{Class, EndpointId, MessageId, Micros, Outcome, Sender};
use milletturn_test_support::START_TIME_US;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub(crate) const MILLISECOND: Micros = 1000;

/// The contents of a snapshot, defined independently of the engine so that a change of the engine's format is
/// noticed.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Layout {
    pub(crate) now: Micros,
    pub(crate) decision_module: Sender,
    pub(crate) classes: (Vec<Class>, Vec<bool>, Vec<String>),
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) max_batch_size: Vec<usize>,
    pub(crate) max_open_messages: usize,
    pub(crate) max_attempts: usize,
    pub(crate) routes: Vec<RouteLayout>,
    pub(crate) last_endpoint: u32,
    pub(crate) messages: Vec<MessageLayout>,
    pub(crate) next_message: u64,
    pub(crate) calls: Vec<CallLayout>,
    pub(crate) next_call: u64,
    pub(crate) delivered: Vec<String>,
    pub(crate) alarm: Option<Micros>,
    pub(crate) ready: bool,
}

/// Number, name and address of an endpoint, and the maximum number of messages in a call to it.
pub(crate) type RouteLayout = (EndpointId, String, SocketAddr, usize);

/// Number of a call, its messages with the index of their attempt, and how many of these attempts have not ended.
pub(crate) type CallLayout = (u64, Vec<(MessageId, usize)>, usize);

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct MessageLayout {
    pub(crate) number: u64,
    pub(crate) id: String,
    pub(crate) key: Option<String>,
    pub(crate) class: usize,
    pub(crate) destination: u64,
    pub(crate) ordering_key: Option<u64>,
    pub(crate) accepted_at: Micros,
    pub(crate) deadline: Micros,
    pub(crate) open: bool,
    pub(crate) clients: usize,
    pub(crate) end: Option<(Micros, Option<Option<u64>>)>,
    pub(crate) attempts: Vec<AttemptLayout>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct AttemptLayout {
    pub(crate) endpoint: EndpointId,
    pub(crate) uid: String,
    pub(crate) sent_at: Micros,
    pub(crate) call: u64,
    pub(crate) position: usize,
    pub(crate) in_flight: bool,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) latency: Option<Micros>,
    pub(crate) may_have_run: bool,
}

pub(crate) fn decode_layout(bytes: &[u8]) -> Layout {
    let (payload, checksum) = bytes.split_last_chunk::<4>().expect("a checksum");
    assert_eq!(crc32fast::hash(payload), u32::from_le_bytes(*checksum));
    let (layout, remaining) = postcard::take_from_bytes(payload).expect("the layout");
    assert!(remaining.is_empty(), "{} bytes are left", remaining.len());
    layout
}

/// The ordering key of the subject `account-9`: the hash of the subject.
const ORDERING_KEY: u64 = 16_024_801_167_622_548_462;

/// An attempt in flight. `sent_ms` is in milliseconds since the start, `call` the number of its call, and `position`
/// the message's position in the call.
fn in_flight_attempt(
    endpoint: u32,
    uid: &str,
    sent_ms: Micros,
    call: u64,
    position: usize,
) -> AttemptLayout {
    AttemptLayout {
        endpoint: EndpointId(endpoint),
        uid: uid.into(),
        sent_at: START_TIME_US + sent_ms * MILLISECOND,
        call,
        position,
        in_flight: true,
        outcome: None,
        latency: None,
        may_have_run: true,
    }
}

/// An open message. `times` is when the message was accepted, in milliseconds since the start, and how long it may
/// take from then, in milliseconds.
fn open_message(
    number: u64,
    id: &str,
    class: usize,
    destination: u64,
    times: (Micros, Micros),
    attempts: Vec<AttemptLayout>,
) -> MessageLayout {
    let accepted_at = START_TIME_US + times.0 * MILLISECOND;
    MessageLayout {
        number,
        id: id.into(),
        key: (class == 1).then(|| id.into()),
        class,
        destination,
        ordering_key: (class == 2).then_some(ORDERING_KEY),
        accepted_at,
        deadline: accepted_at + times.1 * MILLISECOND,
        open: true,
        clients: 1,
        end: None,
        attempts,
    }
}

/// A message with a rejected attempt and one in flight.
fn retried_message() -> MessageLayout {
    let rejected = AttemptLayout {
        in_flight: false,
        outcome: Some(Outcome::Rejected {
            retry_after: Some(20 * MILLISECOND),
        }),
        latency: Some(5 * MILLISECOND),
        may_have_run: false,
        ..in_flight_attempt(1, "s-1", 50, 2, 0)
    };
    let attempts = vec![rejected, in_flight_attempt(1, "s-1", 578, 3, 0)];
    open_message(4, "refused-once", 1, 1, (50, 20_000), attempts)
}

/// A message that has ended while its attempt is in flight.
fn expired_message() -> MessageLayout {
    MessageLayout {
        open: false,
        end: Some((START_TIME_US + 925 * MILLISECOND, None)),
        ..open_message(
            5,
            "late",
            1,
            3,
            (655, 300),
            vec![in_flight_attempt(4, "s-32", 655, 4, 0)],
        )
    }
}

pub(crate) fn messages() -> Vec<MessageLayout> {
    let attempt = |endpoint, uid, call, position| {
        vec![in_flight_attempt(endpoint, uid, 1055, call, position)]
    };
    vec![
        retried_message(),
        expired_message(),
        open_message(
            6,
            "together-1",
            0,
            3,
            (1055, 9000),
            attempt(3, "s-31", 6, 0),
        ),
        open_message(
            7,
            "together-2",
            0,
            3,
            (1055, 8000),
            attempt(3, "s-31", 6, 1),
        ),
        open_message(
            8,
            "in-order-1",
            2,
            4,
            (1055, 12_000),
            attempt(5, "s-4", 5, 0),
        ),
        open_message(9, "in-order-2", 2, 4, (1055, 12_000), Vec::new()),
        MessageLayout {
            clients: 2,
            ..open_message(10, "no-endpoint", 1, 77, (1055, 5000), Vec::new())
        },
    ]
}

/// The routes in the stored snapshot.
pub(crate) fn routes() -> [RouteLayout; 6] {
    let address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let route = |endpoint, uid: &str, max_batch_size| {
        (
            EndpointId(endpoint),
            uid.to_string(),
            address,
            max_batch_size,
        )
    };
    [
        route(1, "s-1", 1),
        route(2, "s-2", 1),
        route(3, "s-31", 5),
        route(4, "s-32", 5),
        route(5, "s-4", 1),
        route(6, "s-77", 1),
    ]
}
