//! Calls and their answers as the protocol page writes them: requests, bulk bodies, ends, waits, load reports.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONNECTION, HOST, HeaderMap, RETRY_AFTER};
use milletturn_engine::{CallItem, SharedStr};
use milletturn_policy::{MILLISECOND, Micros, Outcome};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::time::Instant;

/// The header of an answer with the load report.
const LOAD_REPORT: &str = "x-server-load";
/// The header with a message's id.
pub(crate) const REQUEST_ID: &str = "x-request-id";
/// A longer told wait counts as this long: a destination that misspeaks is tried again after a month.
const WAIT_MOST_S: f64 = 31.0 * 86_400.0;

/// What becomes of the connection behind a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Persistence {
    /// Either side may go on using it.
    Keep,
    /// The endpoint is asked to close it.
    Close,
}

/// The request, and the fewest bytes that it takes on the wire.
pub(crate) fn request_of(
    address: SocketAddr,
    items: &[CallItem],
    expires: Instant,
    persistence: Persistence,
) -> Option<(Request<Full<Bytes>>, u64)> {
    let (path, body) = match items {
        [item] => ("/inbox", item.body.clone()),
        _ => ("/inbox/bulk", bulk_of(items)),
    };
    let left = expires
        .saturating_duration_since(Instant::now())
        .as_millis()
        .max(1);
    let size = body.len() as u64;
    let mut request = Request::post(path)
        .header(HOST, address.to_string())
        .header("x-timeout", format!("{left}m"))
        .header("content-length", size);
    if let [item] = items {
        request = request.header(REQUEST_ID, item.id.as_str());
        if let Some(key) = &item.key {
            request = request.header("idempotency-key", key.as_str());
        }
    }
    if persistence == Persistence::Close {
        request = request.header(CONNECTION, "close");
    }
    let request = request.body(Full::new(body)).ok()?;
    let line = "POST  HTTP/1.1\r\n\r\n".len() + path.len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    Some((request, (line + headers) as u64 + size))
}

/// Bytes that a message takes in the body of a bulk call.
pub(crate) fn bulk_size(item: &CallItem) -> usize {
    item.id.as_str().len()
        + item.key.as_ref().map_or(1, |key| key.as_str().len())
        + item.body.len()
        + 16
}

fn bulk_of(items: &[CallItem]) -> Bytes {
    let mut body = Vec::new();
    for item in items {
        let key = item.key.as_ref().map_or("-", SharedStr::as_str).as_bytes();
        body.extend_from_slice(item.id.as_str().as_bytes());
        body.push(b' ');
        body.extend_from_slice(key);
        body.extend_from_slice(format!(" {}\r\n", item.body.len()).as_bytes());
        body.extend_from_slice(&item.body);
        body.extend_from_slice(b"\r\n");
    }
    body.into()
}

/// What the body of a bulk response says of each message that it names, by id.
pub(crate) fn words_by_id(text: &[u8]) -> HashMap<&[u8], &[u8]> {
    text.split(|&byte| byte == b'\n')
        .filter_map(|line| {
            let at = line.iter().position(|&byte| byte == b' ')?;
            Some((&line[..at], line[at + 1..].trim_ascii()))
        })
        .collect()
}

/// Each message's end; one that the answer doesn't name, or names in no known word, may have run.
pub(crate) fn ends_of(
    text: &[u8],
    items: &[CallItem],
    wait: Option<Micros>,
) -> Vec<(Outcome, bool)> {
    let words = words_by_id(text);
    let end = |item: &CallItem| match words.get(item.id.as_str().as_bytes()).copied() {
        Some(b"ok") => (Outcome::Success, true),
        Some(b"later") => (Outcome::Rejected { retry_after: wait }, false),
        Some(b"gone") => (Outcome::Unsent { no_slot: false }, true),
        Some(b"exhausted") => (Outcome::Unsent { no_slot: false }, false),
        _ => (Outcome::Error, false),
    };
    items.iter().map(end).collect()
}

/// The longest wait that the `Retry-After` headers of an answer tell.
pub(crate) fn wait_of(headers: &HeaderMap) -> Option<Micros> {
    headers
        .get_all(RETRY_AFTER)
        .iter()
        .filter_map(|value| wait_in(value.as_bytes()))
        .max()
}

/// The wait that the value of a `Retry-After` tells in seconds, with or without decimals, a month at most; none where
/// it can't be read or is none.
pub(crate) fn wait_in(value: &[u8]) -> Option<Micros> {
    let seconds: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    (seconds > 0.0).then(|| (seconds.min(WAIT_MOST_S) * 1e3).ceil() as Micros * MILLISECOND)
}

/// The load report in the order of the settings; none unless it is whole and sound.
pub(crate) fn report_of(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let Some(text) = headers
        .get(LOAD_REPORT)
        .and_then(|value| value.to_str().ok())
    else {
        return Vec::new();
    };
    let pairs: HashMap<&str, f64> = text
        .split(',')
        .filter_map(|pair| pair.trim().split_once('='))
        .filter_map(|(name, value)| {
            Some((name, value.parse().ok().filter(|v: &f64| v.is_finite())?))
        })
        .collect();
    fields
        .iter()
        .map(|field| pairs.get(field.as_str()).copied())
        .collect::<Option<_>>()
        .unwrap_or_default()
}
