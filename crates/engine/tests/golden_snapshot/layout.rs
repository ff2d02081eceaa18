//! The form of a snapshot, written out a second time, and the messages that the stored one holds.

use milletturn_policy::{Class, EndpointId, MessageId, Micros, Outcome, Sender};
use milletturn_test_support::START_TIME_US;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub(crate) const MILLISECOND: Micros = 1000;

/// What a snapshot holds, written out a second time.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Layout {
    pub(crate) now: Micros,
    pub(crate) sender: Sender,
    pub(crate) classes: (Vec<Class>, Vec<bool>, Vec<String>),
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub(crate) bundle_max: Vec<usize>,
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

/// Number, name, address, most messages of a call.
pub(crate) type RouteLayout = (EndpointId, String, SocketAddr, usize);

/// Number, messages and attempts, how many of them are left.
pub(crate) type CallLayout = (u64, Vec<(MessageId, usize)>, usize);

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct MessageLayout {
    pub(crate) number: u64,
    pub(crate) id: String,
    pub(crate) key: Option<String>,
    pub(crate) class: usize,
    pub(crate) destination: u64,
    pub(crate) subject_number: Option<u64>,
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
    pub(crate) sent: Micros,
    pub(crate) call: u64,
    pub(crate) item: usize,
    pub(crate) out: bool,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) latency: Option<Micros>,
    pub(crate) may_have_run: bool,
}

pub(crate) fn layout(bytes: &[u8]) -> Layout {
    let (payload, sum) = bytes.split_last_chunk::<4>().expect("a sum");
    assert_eq!(crc32fast::hash(payload), u32::from_le_bytes(*sum));
    let (layout, left) = postcard::take_from_bytes(payload).expect("the layout");
    assert!(left.is_empty(), "{} bytes are left", left.len());
    layout
}

/// The number that stands for the subject `account-9` of the messages in order.
const SUBJECT: u64 = 16_024_801_167_622_548_462;

/// An attempt that is out, with the endpoint's number and name, milliseconds since the start, call, position.
fn out(endpoint: u32, uid: &str, sent_ms: Micros, call: u64, item: usize) -> AttemptLayout {
    AttemptLayout {
        endpoint: EndpointId(endpoint),
        uid: uid.into(),
        sent: START_TIME_US + sent_ms * MILLISECOND,
        call,
        item,
        out: true,
        outcome: None,
        latency: None,
        may_have_run: true,
    }
}

/// A message that is open, with times in milliseconds: since the start, and until its deadline.
fn open(
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
        subject_number: (class == 2).then_some(SUBJECT),
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
        out: false,
        outcome: Some(Outcome::Rejected {
            retry_after: Some(20 * MILLISECOND),
        }),
        latency: Some(5 * MILLISECOND),
        may_have_run: false,
        ..out(1, "s-1", 50, 2, 0)
    };
    let attempts = vec![rejected, out(1, "s-1", 578, 3, 0)];
    open(4, "refused-once", 1, 1, (50, 20_000), attempts)
}

/// A message that has ended while its attempt is in flight.
fn expired_message() -> MessageLayout {
    MessageLayout {
        open: false,
        end: Some((START_TIME_US + 925 * MILLISECOND, None)),
        ..open(5, "late", 1, 3, (655, 300), vec![out(4, "s-32", 655, 4, 0)])
    }
}

pub(crate) fn messages() -> Vec<MessageLayout> {
    let attempt = |endpoint, uid, call, item| vec![out(endpoint, uid, 1055, call, item)];
    vec![
        retried_message(),
        expired_message(),
        open(
            6,
            "together-1",
            0,
            3,
            (1055, 9000),
            attempt(3, "s-31", 6, 0),
        ),
        open(
            7,
            "together-2",
            0,
            3,
            (1055, 8000),
            attempt(3, "s-31", 6, 1),
        ),
        open(
            8,
            "in-order-1",
            2,
            4,
            (1055, 12_000),
            attempt(5, "s-4", 5, 0),
        ),
        open(9, "in-order-2", 2, 4, (1055, 12_000), Vec::new()),
        MessageLayout {
            clients: 2,
            ..open(10, "no-endpoint", 1, 77, (1055, 5000), Vec::new())
        },
    ]
}

/// The routes that the stored snapshot holds: number, name, address and most messages of a call.
pub(crate) fn routes() -> [RouteLayout; 6] {
    let address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let route = |endpoint, uid: &str, bundle_max| {
        (EndpointId(endpoint), uid.to_string(), address, bundle_max)
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
