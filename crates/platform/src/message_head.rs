//! The head of a client's request that submits a message: its fields, and whether the class that it names allows it.

use crate::client_classes::{ClassTerms, ClientClasses};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode};
use milletturn_engine::{MAX_BODY_BYTES, SharedStr};
use milletturn_policy::{MILLISECOND, Micros};

/// Longest time to live of a message, in microseconds: 7 days. A longer one is shortened to this.
const MAX_TIME_TO_LIVE_US: u64 = 7 * 86_400_000_000;

/// Status and text of the response to a request that is rejected.
pub(crate) type Rejection = (StatusCode, &'static str);

pub(crate) const fn bad_request(message: &'static str) -> Rejection {
    (StatusCode::BAD_REQUEST, message)
}

/// Why the head of a request is rejected.
#[derive(Debug, Clone, Copy)]
pub(crate) enum HeadError {
    /// The head is invalid whatever the settings are.
    Malformed(Rejection),
    /// The head names a class that the settings don't have, or lacks what the settings require of its class.
    ClassSettings(Rejection),
}

impl From<Rejection> for HeadError {
    fn from(rejection: Rejection) -> Self {
        HeadError::Malformed(rejection)
    }
}

/// The fields of a request that submits a message, without its body.
pub(crate) struct MessageHead {
    /// Name of the class. Its settings may change until the request is complete.
    pub(crate) class_name: String,
    /// The parsed subject, or the rejection of a request whose class needs it.
    subject: Result<Option<SharedStr>, Rejection>,
    pub(crate) tenant: Option<SharedStr>,
    pub(crate) id: SharedStr,
    pub(crate) key: Option<SharedStr>,
    pub(crate) time_to_live: Micros,
    pub(crate) destination: u64,
    pub(crate) is_resubmitted: bool,
    pub(crate) is_from_lost_sender: bool,
    pub(crate) max_body_bytes: usize,
}

impl MessageHead {
    /// Reads the head of a request, and verifies it against the current settings of its class, so that a request that
    /// can't be accepted is rejected before its body is read.
    pub(crate) fn read(
        request: &Request<Incoming>,
        classes: &ClientClasses,
    ) -> Result<Self, HeadError> {
        let headers = request.headers();
        let path = request.uri().path();
        let class_name = path.trim_start_matches('/').split('/').next().unwrap_or("");
        let class = read_class(request, class_name, classes)?;
        let subject = parse_subject(request.uri().query().unwrap_or(""));
        if class.is_ordered {
            subject.clone().map_err(HeadError::ClassSettings)?;
        }
        let tenant = read_id(single_value(headers, "x-tenant-id", "X-Tenant-Id")?)?;
        let id = read_id(single_value(headers, "x-request-id", "X-Request-ID")?)?
            .ok_or(bad_request("X-Request-ID is missing"))?;
        let key = read_id(single_value(headers, "idempotency-key", "Idempotency-Key")?)?;
        if key.is_none() && class.requires_key {
            let rejection = bad_request("Idempotency-Key is missing");
            return Err(HeadError::ClassSettings(rejection));
        }
        let time_to_live = read_time_to_live(headers)?;
        let destination = read_destination(headers)?;
        let retried = single_value(headers, "x-retried", "X-Retried")?;
        Ok(MessageHead {
            class_name: class_name.to_string(),
            subject,
            tenant,
            id,
            key,
            time_to_live,
            destination,
            is_resubmitted: retried.is_some(),
            is_from_lost_sender: retried.is_some_and(|value| value == "again"),
            max_body_bytes: read_max_body_bytes(request.body())?,
        })
    }

    /// The subject that the request names.
    pub(crate) fn subject(&self) -> Result<Option<SharedStr>, Rejection> {
        self.subject.clone()
    }

    /// The subject of the message if it belongs to a class with these terms. Only ordered classes use the subject. A
    /// repeated one is rejected because it is unclear which one is meant.
    pub(crate) fn subject_for(&self, class: ClassTerms) -> Result<Option<SharedStr>, Rejection> {
        if class.is_ordered {
            self.subject.clone()
        } else {
            Ok(None)
        }
    }
}

/// Reads the class that the path and the header `X-Priority-Class` name.
fn read_class(
    request: &Request<Incoming>,
    path_class: &str,
    classes: &ClientClasses,
) -> Result<ClassTerms, HeadError> {
    let class_header = single_value(request.headers(), "x-priority-class", "X-Priority-Class")?;
    let Some(class) = classes.find(path_class) else {
        // If the header names the same class as the path, the class is unknown; otherwise the path is.
        return Err(if class_header.is_some_and(|name| name == path_class) {
            HeadError::ClassSettings(bad_request("unknown class"))
        } else {
            HeadError::Malformed((StatusCode::NOT_FOUND, "no such path"))
        });
    };
    if request.method() != Method::POST {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "only POST").into());
    }
    if class_header.is_none_or(|name| name != path_class) {
        return Err(bad_request("X-Priority-Class is missing or not the path's").into());
    }
    Ok(class)
}

fn read_time_to_live(headers: &HeaderMap) -> Result<Micros, Rejection> {
    single_value(headers, "x-timeout", "X-Timeout")?
        .ok_or(bad_request("X-Timeout is missing"))?
        .to_str()
        .ok()
        .and_then(parse_time_to_live)
        .ok_or(bad_request("X-Timeout can't be read"))
}

fn read_destination(headers: &HeaderMap) -> Result<u64, Rejection> {
    single_value(headers, "envelope", "Envelope")?
        .ok_or(bad_request("Envelope is missing"))?
        .to_str()
        .ok()
        .and_then(parse_destination)
        .ok_or(bad_request("dest can't be read"))
}

/// The greatest length that the body can have, in bytes.
fn read_max_body_bytes(body: &Incoming) -> Result<usize, Rejection> {
    let size = body.size_hint();
    if size.lower() > MAX_BODY_BYTES as u64 {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is over 64 KiB"));
    }
    Ok(size.upper().map_or(MAX_BODY_BYTES, |upper| {
        upper.min(MAX_BODY_BYTES as u64) as usize
    }))
}

/// The only value of a header. A repeated header is rejected because it is unclear which value is meant.
pub(crate) fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &str,
    display_name: &'static str,
) -> Result<Option<&'a HeaderValue>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() {
        Err(bad_request(display_name))
    } else {
        Ok(value)
    }
}

/// Copies an id or key into a buffer of its own. A slice would keep the connection's whole read buffer in memory.
fn read_id(value: Option<&HeaderValue>) -> Result<Option<SharedStr>, Rejection> {
    let read = |value: &HeaderValue| {
        SharedStr::new(value.as_bytes()).map_err(|_| bad_request("an id or key can't be read"))
    };
    value.map(read).transpose()
}

/// Parses the parameter `subject` of the query. Messages with the same subject are delivered in order; those without
/// one are not ordered.
fn parse_subject(query: &str) -> Result<Option<SharedStr>, Rejection> {
    let mut values = query
        .split('&')
        .filter_map(|part| part.strip_prefix("subject="));
    let (value, second) = (values.next(), values.next());
    let subject = value
        .map(|value| SharedStr::new(value.as_bytes()))
        .transpose();
    subject
        .ok()
        .filter(|_| second.is_none())
        .ok_or(bad_request("subject can't be read"))
}

/// Parses a number with a unit, `m` for milliseconds or `u` for microseconds. Long times are cut to
/// [`MAX_TIME_TO_LIVE_US`].
fn parse_time_to_live(text: &str) -> Option<Micros> {
    let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let unit = match unit {
        "m" => MILLISECOND as u64,
        "u" => 1,
        _ => return None,
    };
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    let value: u64 = digits.parse().ok()?;
    Micros::try_from(value.saturating_mul(unit).min(MAX_TIME_TO_LIVE_US)).ok()
}

/// Parses the destination number from an `Envelope` header, which contains `dest=` once.
fn parse_destination(text: &str) -> Option<u64> {
    let mut values = text
        .split([';', ','])
        .filter_map(|part| part.trim().strip_prefix("dest="));
    let value = values.next()?;
    if values.next().is_some() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
        return None;
    }
    value.parse().ok()
}
