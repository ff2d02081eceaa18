//! Observes the raw bytes on a connection to an endpoint for what hyper reports too late or not at all: how much of a
//! request has been written, the status line of a response whose head hyper rejects, a `Retry-After` as soon as its
//! line is complete, and data that no call has requested.

mod status_line;
mod stream;
#[cfg(test)]
mod tests;

pub(crate) use self::stream::MonitoredStream;

use self::status_line::StatusLine;
use crate::call_codec::parse_retry_after;
use milletturn_engine::{Attribution, ConnectionUse, MAX_BODY_BYTES, UnsolicitedData};
use milletturn_policy::Micros;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest header line that is inspected, in bytes. A `Retry-After` line is far shorter.
const MAX_HEADER_LINE_BYTES: usize = 256;
/// The beginning of a status line; each `d` stands for a digit.
const STATUS_LINE_PATTERN: &[u8] = b"HTTP/1.d ddd";

/// What has been observed in the raw bytes of a connection, mostly about the current call.
pub(crate) struct ConnectionMonitor {
    /// Number of the connection, unique in this process.
    number: u64,
    /// Number of calls that were started on the connection.
    call_count: Cell<u64>,
    /// When the last byte of the current request was written.
    request_written_at: Cell<Option<Instant>>,
    /// When the first byte was received since the start of the current call.
    first_byte_at: Cell<Option<Instant>>,
    /// Whether no call is in flight.
    is_idle: Cell<bool>,
    /// The first data that was received while no call was in flight, or after the end of a response.
    unsolicited_data: Cell<Option<UnsolicitedData>>,
    /// The criterion by which the response was attributed to the current call.
    attributed_by: Cell<Option<Attribution>>,
    /// Whether the connection has ended.
    has_ended: Cell<bool>,
    /// Wakes the task that waits for the end of the connection.
    ended_notify: Notify,
    /// Number of bytes written on the connection. A call whose last byte was not written cannot have run.
    pub bytes_written: Cell<u64>,
    /// Whether the next write must first check that no unread data has arrived while the connection was idle.
    must_check_idle: Cell<bool>,
    /// Parser state for the status line of the response.
    status_line_state: Cell<StatusLine>,
    /// The bytes of the header field that is being received; `None` after the end of the head.
    header_field_buffer: RefCell<Option<Vec<u8>>>,
    /// Called with the delay of each `Retry-After`, even if the response, the call or the connection fails afterwards.
    on_retry_after: Box<dyn Fn(Micros)>,
    /// Number of bytes of interim (1xx) responses and of the status line in the current call.
    interim_bytes: Cell<usize>,
    /// Bytes of the body that are still to be received; `None` if the head does not state the length, or if the
    /// response has a transfer coding.
    body_bytes_left: Cell<Option<u64>>,
    /// Whether the response has a transfer coding, which determines the end of the body whatever `Content-Length`
    /// states.
    is_chunked: Cell<bool>,
    /// Whether bytes were received after the end of the response.
    has_extra_bytes: Cell<bool>,
    /// How many bytes of a second status line have been matched.
    second_status_line_matched_bytes: Cell<usize>,
    /// Whether the current request asks the endpoint to close the connection after the response.
    is_close_requested: Cell<bool>,
    /// Whether the endpoint has closed its side of the connection.
    has_end_of_stream: Cell<bool>,
    /// Wakes the task that waits for the status line.
    status_line_notify: Notify,
    /// The request that is being written; `None` once it is complete.
    request_in_progress: RefCell<Option<RequestInProgress>>,
}

/// Parses the value of a `Content-Length`; `None` if it is not a number.
fn parse_content_length(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// The status code if the bytes begin with a status line.
fn status_at_start(bytes: &[u8]) -> Option<u16> {
    let after_version_prefix = bytes.strip_prefix(b"HTTP/1.")?;
    let status = after_version_prefix.get(2..5)?;
    std::str::from_utf8(status).ok()?.parse().ok()
}

impl fmt::Debug for ConnectionMonitor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ConnectionMonitor")
            .field("bytes_written", &self.bytes_written)
            .field("status_line_state", &self.status_line_state)
            .finish()
    }
}

/// A request that is being written.
#[derive(Debug)]
struct RequestInProgress {
    /// The value of `bytes_written` from which on the request counts as complete.
    complete_at: u64,
    message_count: u64,
    /// Counter that is increased by `message_count` when the request is complete.
    attempts_written: Rc<Cell<u64>>,
}

impl ConnectionMonitor {
    /// Creates the monitor of a new connection. `on_retry_after` is called with the delay of each `Retry-After` that a
    /// response contains.
    pub(crate) fn new(number: u64, on_retry_after: impl Fn(Micros) + 'static) -> Self {
        ConnectionMonitor {
            number,
            call_count: Cell::default(),
            request_written_at: Cell::default(),
            first_byte_at: Cell::default(),
            is_idle: Cell::default(),
            unsolicited_data: Cell::default(),
            attributed_by: Cell::default(),
            has_ended: Cell::default(),
            ended_notify: Notify::default(),
            bytes_written: Cell::default(),
            must_check_idle: Cell::default(),
            status_line_state: Cell::default(),
            header_field_buffer: RefCell::default(),
            on_retry_after: Box::new(on_retry_after),
            interim_bytes: Cell::default(),
            body_bytes_left: Cell::default(),
            is_chunked: Cell::default(),
            has_extra_bytes: Cell::default(),
            second_status_line_matched_bytes: Cell::default(),
            is_close_requested: Cell::default(),
            has_end_of_stream: Cell::default(),
            status_line_notify: Notify::default(),
            request_in_progress: RefCell::default(),
        }
    }

    /// Starts a call: resets the state of the previous one. `is_reused` says that the connection was idle before; the
    /// first write of the call then fails if data has arrived or the endpoint has closed the connection. The request
    /// takes at least `min_request_bytes`; once these are written, `attempts_written` is increased by `message_count`.
    pub(crate) fn begin_call(
        &self,
        is_reused: bool,
        min_request_bytes: u64,
        message_count: u64,
        attempts_written: &Rc<Cell<u64>>,
    ) {
        let request = RequestInProgress {
            complete_at: self.bytes_written.get() + min_request_bytes,
            message_count,
            attempts_written: attempts_written.clone(),
        };
        self.request_in_progress.replace(Some(request));
        self.call_count.set(self.call_count.get() + 1);
        self.request_written_at.set(None);
        self.first_byte_at.set(None);
        self.is_idle.set(false);
        self.attributed_by.set(None);
        self.must_check_idle.set(is_reused);
        self.interim_bytes.set(0);
        self.body_bytes_left.set(None);
        self.is_chunked.set(false);
        self.has_extra_bytes.set(false);
        self.second_status_line_matched_bytes.set(0);
        self.is_close_requested.set(false);
        self.status_line_state.set(StatusLine::Status(0, 0));
        self.header_field_buffer.replace(Some(Vec::new()));
    }

    /// Records that the current request asks the endpoint to close the connection, which is then read up to its end.
    pub(crate) fn set_close_requested(&self) {
        self.is_close_requested.set(true);
    }

    /// Whether to keep reading until the endpoint closes the connection: it was asked to close and has not done so yet.
    /// Data of a second response ends the wait, but not before a response head that is being received is complete,
    /// because that head may contain a `Retry-After`.
    fn awaits_end(&self) -> bool {
        let has_second_head = self.has_extra_data() && self.header_field_buffer.borrow().is_none();
        self.is_close_requested.get() && !self.has_end_of_stream.get() && !has_second_head
    }

    /// Whether the current request asks the endpoint to close the connection.
    pub(crate) fn is_close_requested(&self) -> bool {
        self.is_close_requested.get()
    }

    /// Records that no call is in flight: the last one is over and its response has been read, or none was started.
    pub(crate) fn set_idle(&self) {
        self.is_idle.set(true);
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn call_count(&self) -> u64 {
        self.call_count.get()
    }

    /// Whether the current call is the first one on the connection.
    pub(crate) fn is_first_call(&self) -> bool {
        self.call_count.get() == 1
    }

    /// Whether the current request has been written completely.
    pub(crate) fn is_request_complete(&self) -> bool {
        self.request_written_at.get().is_some()
    }

    /// Time from the last byte of the request to the first byte of the response; `None` if the response has not begun
    /// yet, or began before that last byte was written.
    pub(crate) fn response_time(&self) -> Option<Duration> {
        let (written_at, first_byte_at) = self
            .request_written_at
            .get()
            .zip(self.first_byte_at.get())?;
        first_byte_at.checked_duration_since(written_at)
    }

    /// Whether the endpoint has closed the connection and sent nothing but the response to the current call.
    pub(crate) fn ended_after_response(&self) -> bool {
        self.has_end_of_stream.get() && !self.has_extra_data()
    }

    /// Whether more than one response, or parts of several, were received in the current call.
    pub(crate) fn has_extra_data(&self) -> bool {
        let has_second_status_line =
            self.second_status_line_matched_bytes.get() == STATUS_LINE_PATTERN.len();
        self.has_extra_bytes.get() || has_second_status_line
    }

    /// Advances the search for a second status line by one byte.
    fn match_second_status_line(&self, byte: u8) {
        let matched = self.second_status_line_matched_bytes.get();
        let Some(&expected) = STATUS_LINE_PATTERN.get(matched) else {
            return;
        };
        let is_match = match expected {
            b'd' => byte.is_ascii_digit(),
            _ => byte == expected,
        };
        self.second_status_line_matched_bytes.set(match is_match {
            true => matched + 1,
            false => usize::from(byte == STATUS_LINE_PATTERN[0]),
        });
    }

    /// Processes bytes after the head of the response. Bytes after the end of the body belong to another response,
    /// whose head may contain a `Retry-After`.
    fn process_after_head(&self, bytes: &[u8]) {
        for (position, byte) in bytes.iter().enumerate() {
            match self.body_bytes_left.get() {
                Some(0) if !self.has_extra_bytes.replace(true) => {
                    self.set_unsolicited(&bytes[position..]);
                    self.header_field_buffer.replace(Some(Vec::new()));
                    self.process_header_byte(*byte);
                }
                Some(0) => self.process_header_byte(*byte),
                Some(left) => self.body_bytes_left.set(Some(left - 1)),
                None => self.match_second_status_line(*byte),
            }
        }
    }

    /// Time since the last byte of the current request was written; zero if it has not been written yet.
    fn time_since_request(&self) -> Duration {
        self.request_written_at
            .get()
            .map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Records that the connection has ended.
    pub(crate) fn set_ended(&self) {
        self.has_ended.set(true);
        self.ended_notify.notify_one();
    }

    /// Waits until the connection has ended. Data after a response ends the connection too.
    pub(crate) async fn wait_for_end(&self) {
        while !self.has_ended.get() {
            self.ended_notify.notified().await;
        }
    }

    /// The first data that was received while no call was in flight, or after the end of a response.
    pub(crate) fn unsolicited_data(&self) -> Option<UnsolicitedData> {
        self.unsolicited_data.get()
    }

    fn set_unsolicited(&self, bytes: &[u8]) {
        let data = UnsolicitedData {
            status: status_at_start(bytes),
            after_request: self.time_since_request(),
        };
        self.unsolicited_data
            .set(self.unsolicited_data.get().or(Some(data)));
    }

    /// Records the criterion by which the response was attributed to the current call.
    pub(crate) fn set_attribution(&self, attribution: Attribution) {
        self.attributed_by.set(Some(attribution));
    }

    /// Details of the current call for logs: connection, position on the connection, response time, attribution.
    pub(crate) fn connection_use(&self) -> ConnectionUse {
        ConnectionUse {
            connection: self.number,
            call_on_connection: self.call_count.get(),
            response_after: self.response_time(),
            attributed_by: self.attributed_by.get(),
        }
    }

    /// Whether a status line with 200 has been received that can only belong to the current call: the call is the first
    /// on the connection, and its request was complete before the response began.
    pub(crate) fn has_unambiguous_200(&self) -> bool {
        self.status_line_state.get() == StatusLine::Complete(200)
            && self.is_first_call()
            && self.response_time().is_some()
    }

    /// Waits until the status line of the final response is complete or known to be invalid.
    pub(crate) async fn wait_for_status_line(&self) {
        while !matches!(
            self.status_line_state.get(),
            StatusLine::Complete(_) | StatusLine::Invalid
        ) {
            self.status_line_notify.notified().await;
        }
    }

    /// Processes one byte of the head after the status line. The head ends at the first empty line (RFC 9112), so
    /// nothing in a body is taken for a header.
    fn process_header_byte(&self, byte: u8) {
        let mut header_field_buffer = self.header_field_buffer.borrow_mut();
        let Some(field_bytes) = header_field_buffer.as_mut() else {
            return;
        };
        if byte != b'\n' {
            if field_bytes.len() < MAX_HEADER_LINE_BYTES {
                field_bytes.push(byte);
            }
            return;
        }
        let text = field_bytes.trim_ascii_end();
        if text.is_empty() {
            *header_field_buffer = None;
            return;
        }
        let colon = text
            .iter()
            .position(|&other| other == b':')
            .filter(|_| text.len() < MAX_HEADER_LINE_BYTES);
        let header = colon.map(|at| (&text[..at], &text[at + 1..]));
        let value_of = |wanted: &[u8]| {
            let named = header.filter(|(name, _)| name.eq_ignore_ascii_case(wanted));
            named.map(|(_, value)| value)
        };
        let delay = value_of(b"retry-after").and_then(parse_retry_after);
        let length = value_of(b"content-length").and_then(parse_content_length);
        let is_chunked = self.is_chunked.get() || value_of(b"transfer-encoding").is_some();
        if !self.has_extra_bytes.get() && (is_chunked || length.is_some()) {
            self.is_chunked.set(is_chunked);
            self.body_bytes_left.set(length.filter(|_| !is_chunked));
        }
        field_bytes.clear();
        drop(header_field_buffer);
        if let Some(delay) = delay {
            (self.on_retry_after)(delay);
        }
    }

    /// Processes received bytes before hyper sees them.
    fn process(&self, bytes: &mut [u8]) -> io::Result<()> {
        if !bytes.is_empty() {
            if self.is_idle.get() {
                self.set_unsolicited(bytes);
            }
            let first_byte_at = self.first_byte_at.get().or_else(|| Some(Instant::now()));
            self.first_byte_at.set(first_byte_at);
        }
        let mut status_line_state = self.status_line_state.get();
        let mut interim_bytes = self.interim_bytes.get();
        let mut body_start = None;
        for (position, byte) in bytes.iter_mut().enumerate() {
            match status_line_state {
                StatusLine::Complete(_) if self.header_field_buffer.borrow().is_some() => {
                    self.match_second_status_line(*byte);
                    self.process_header_byte(*byte);
                }
                StatusLine::Complete(_) => {
                    body_start = Some(position);
                    break;
                }
                StatusLine::Invalid => break,
                _ => {
                    if matches!(status_line_state, StatusLine::ReasonPhrase(_)) {
                        self.match_second_status_line(*byte);
                    }
                    status_line_state = status_line_state.advance(byte);
                    interim_bytes += 1;
                }
            }
        }
        if let Some(after_head) = body_start.and_then(|position| bytes.get(position..)) {
            self.process_after_head(after_head);
        }
        self.interim_bytes.set(interim_bytes);
        self.status_line_state.set(status_line_state);
        if matches!(
            status_line_state,
            StatusLine::Complete(_) | StatusLine::Invalid
        ) {
            self.status_line_notify.notify_one();
        } else if interim_bytes > MAX_BODY_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "no final response after too many interim responses",
            ));
        }
        Ok(())
    }
}
