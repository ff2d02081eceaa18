//! The HTTP format of calls, as the platform's protocol specification defines it: requests, batch bodies, the results
//! of a batch, `Retry-After`, load reports.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONNECTION, HOST, HeaderMap, RETRY_AFTER};
use milletturn_engine::{CallItem, SharedStr};
use milletturn_policy::{MILLISECOND, Micros, Outcome};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::time::Instant;

/// Response header with the load report of an endpoint.
const LOAD_REPORT_HEADER: &str = "x-server-load";
/// Header with the id of a message; a response may repeat it.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Longest accepted `Retry-After` in seconds, 31 days; a longer one is cut to this, so that a destination that sends
/// an absurd value is called again after a month.
const MAX_RETRY_AFTER_S: f64 = 31.0 * 86_400.0;

/// What the request says about the connection after the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Persistence {
    /// The connection may be used for further calls.
    KeepAlive,
    /// The endpoint is asked to close the connection after the response.
    Close,
}

/// Builds the request for a call. Also returns the minimum number of bytes that the request takes on the connection.
/// Returns `None` if an id or key is not a valid header value.
pub(crate) fn build_request(
    address: SocketAddr,
    items: &[CallItem],
    deadline: Instant,
    persistence: Persistence,
) -> Option<(Request<Full<Bytes>>, u64)> {
    let (path, body) = match items {
        [item] => ("/inbox", item.body.clone()),
        _ => ("/inbox/bulk", encode_batch(items)),
    };
    let remaining_ms = deadline
        .saturating_duration_since(Instant::now())
        .as_millis()
        .max(1);
    let body_bytes = body.len() as u64;
    let mut request = Request::post(path)
        .header(HOST, address.to_string())
        .header("x-timeout", format!("{remaining_ms}m"))
        .header("content-length", body_bytes);
    if let [item] = items {
        request = request.header(REQUEST_ID_HEADER, item.id.as_str());
        if let Some(key) = &item.key {
            request = request.header("idempotency-key", key.as_str());
        }
    }
    if persistence == Persistence::Close {
        request = request.header(CONNECTION, "close");
    }
    let request = request.body(Full::new(body)).ok()?;
    // the request line, and the empty line after the headers
    let fixed_bytes = "POST  HTTP/1.1\r\n\r\n".len() + path.len();
    let header_bytes: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    Some((request, (fixed_bytes + header_bytes) as u64 + body_bytes))
}

/// Upper bound for the number of bytes that a message takes in the body of a batch call. The 16 bytes cover the
/// separators and the body length in digits.
pub(crate) fn batch_item_bytes(item: &CallItem) -> usize {
    item.id.as_str().len()
        + item.key.as_ref().map_or(1, |key| key.as_str().len())
        + item.body.len()
        + 16
}

/// Encodes the messages of a batch: for each one a line with id, key (`-` for none) and body length, then the body.
fn encode_batch(items: &[CallItem]) -> Bytes {
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

/// Parses the body of a batch response, in which each line contains a message id, a space and a result word. Returns
/// the result words by message id.
pub(crate) fn results_by_id(text: &[u8]) -> HashMap<&[u8], &[u8]> {
    text.split(|&byte| byte == b'\n')
        .filter_map(|line| {
            let at = line.iter().position(|&byte| byte == b' ')?;
            Some((&line[..at], line[at + 1..].trim_ascii()))
        })
        .collect()
}

/// Parses the result of each message from the body of a batch response. A message that is missing from the response,
/// or whose result is not one of the defined words, may have run.
pub(crate) fn parse_message_results(
    text: &[u8],
    items: &[CallItem],
    retry_after: Option<Micros>,
) -> Vec<(Outcome, bool)> {
    let results = results_by_id(text);
    let parse_result = |item: &CallItem| match results.get(item.id.as_str().as_bytes()).copied() {
        Some(b"ok") => (Outcome::Success, true),
        Some(b"later") => (Outcome::Rejected { retry_after }, false),
        Some(b"gone") => (Outcome::Unsent { no_slot: false }, true),
        Some(b"exhausted") => (Outcome::Unsent { no_slot: false }, false),
        _ => (Outcome::Error, false),
    };
    items.iter().map(parse_result).collect()
}

/// The longest delay in the `Retry-After` headers of a response, in microseconds; `None` if there is no valid one.
pub(crate) fn max_retry_after(headers: &HeaderMap) -> Option<Micros> {
    headers
        .get_all(RETRY_AFTER)
        .iter()
        .filter_map(|value| parse_retry_after(value.as_bytes()))
        .max()
}

/// Parses the value of a `Retry-After` header: seconds, with or without decimals. The result is in microseconds,
/// rounded up to a whole millisecond, and at most [`MAX_RETRY_AFTER_S`]; `None` if the value is malformed or not
/// positive.
pub(crate) fn parse_retry_after(value: &[u8]) -> Option<Micros> {
    let seconds: f64 = std::str::from_utf8(value).ok()?.trim().parse().ok()?;
    (seconds > 0.0).then(|| (seconds.min(MAX_RETRY_AFTER_S) * 1e3).ceil() as Micros * MILLISECOND)
}

/// Parses the load report: the values of `fields`, in their order. Empty unless every field is present and finite.
pub(crate) fn parse_load_report(headers: &HeaderMap, fields: &[String]) -> Vec<f64> {
    let Some(text) = headers
        .get(LOAD_REPORT_HEADER)
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
