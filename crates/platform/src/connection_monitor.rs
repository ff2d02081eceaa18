//! What the raw bytes on a connection to an endpoint tell, which hyper does not, or too late: how much of a call was
//! written, the first line of an answer whose head is rejected, a told wait as soon as its line is there, and whether
//! something came that nobody asked for.

mod first_line;
mod stream;
#[cfg(test)]
mod tests;

pub(crate) use self::stream::MonitoredStream;

use self::first_line::FirstLine;
use crate::call_codec::wait_in;
use milletturn_engine::{Attribution, ConnectionUse, MAX_BODY_BYTES, UnsolicitedData};
use milletturn_policy::Micros;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Longest line of a head that is looked at: a wait takes far less.
const LINE_MOST: usize = 256;
/// The beginning of a status line; each `d` is a digit.
const STATUS_LINE: &[u8] = b"HTTP/1.d ddd";

/// What the raw bytes of a connection tell.
pub(crate) struct Wire {
    /// The connection's number, unique in this process.
    number: u64,
    /// Calls that were begun on it.
    calls: Cell<u64>,
    /// When the present call had been written whole.
    written_at: Cell<Option<Instant>>,
    /// When the first byte came behind the present call's beginning.
    answered_at: Cell<Option<Instant>>,
    /// No call is out.
    idle: Cell<bool>,
    /// What came while no call was out.
    unsolicited: Cell<Option<UnsolicitedData>>,
    /// What ties the present call's response to it.
    attributed_by: Cell<Option<Attribution>>,
    /// The connection has ended.
    ended: Cell<bool>,
    /// Wakes who waits for what comes behind a response.
    changed: Notify,
    /// A call whose last byte was not written can't have run.
    pub written: Cell<u64>,
    /// Nothing may stand unread when the next call begins.
    look: Cell<bool>,
    answer: Cell<FirstLine>,
    /// The line that is coming of the head behind the first one; none where its end has come.
    line: RefCell<Option<Vec<u8>>>,
    /// Hears of told waits, whatever becomes of answer, call and connection.
    told: Box<dyn Fn(Micros)>,
    /// Bytes of 1xx answers ahead of the present call's answer.
    ahead: Cell<usize>,
    /// Bytes of the body that are still to come; none where the head does not tell its length.
    body_left: Cell<Option<u64>>,
    /// The present call's answer has a body that tells its end itself, whatever length its head tells.
    chunked: Cell<bool>,
    /// Bytes have come behind the end of the present call's answer.
    extra: Cell<bool>,
    /// How much of a second status line has come.
    second_status_line: Cell<usize>,
    /// The endpoint was asked to close the connection behind the present call's answer.
    closing: Cell<bool>,
    /// The endpoint has ended its sending.
    end_of_stream: Cell<bool>,
    seen: Notify,
    /// Where the present call counts its messages once it has been written whole.
    whole: RefCell<Option<Whole>>,
}

/// The value of a `Content-Length`; none if it is no number.
fn length_in(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// The status in the status line that bytes begin with; none if they don't.
fn status_at_start(bytes: &[u8]) -> Option<u16> {
    let line = bytes.strip_prefix(b"HTTP/1.")?;
    let status = line.get(2..5)?;
    std::str::from_utf8(status).ok()?.parse().ok()
}

impl fmt::Debug for Wire {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Wire")
            .field("written", &self.written)
            .field("answer", &self.answer)
            .finish()
    }
}

/// A call that is being written: the count of written bytes at which it is whole.
#[derive(Debug)]
struct Whole {
    at: u64,
    messages: u64,
    tries: Rc<Cell<u64>>,
}

impl Wire {
    /// A new connection with this number. `told` hears of the waits that its answers tell.
    pub(crate) fn new(number: u64, told: impl Fn(Micros) + 'static) -> Self {
        Wire {
            number,
            calls: Cell::default(),
            written_at: Cell::default(),
            answered_at: Cell::default(),
            idle: Cell::default(),
            unsolicited: Cell::default(),
            attributed_by: Cell::default(),
            ended: Cell::default(),
            changed: Notify::default(),
            written: Cell::default(),
            look: Cell::default(),
            answer: Cell::default(),
            line: RefCell::default(),
            told: Box::new(told),
            ahead: Cell::default(),
            body_left: Cell::default(),
            chunked: Cell::default(),
            extra: Cell::default(),
            second_status_line: Cell::default(),
            closing: Cell::default(),
            end_of_stream: Cell::default(),
            seen: Notify::default(),
            whole: RefCell::default(),
        }
    }

    /// A call of so many messages is about to be written, which takes `least` bytes at the very least; `tries`
    /// counts its messages then.
    pub(crate) fn begin(&self, reused: bool, least: u64, messages: u64, tries: &Rc<Cell<u64>>) {
        let whole = Whole {
            at: self.written.get() + least,
            messages,
            tries: tries.clone(),
        };
        self.whole.replace(Some(whole));
        self.calls.set(self.calls.get() + 1);
        self.written_at.set(None);
        self.answered_at.set(None);
        self.idle.set(false);
        self.attributed_by.set(None);
        self.look.set(reused);
        self.ahead.set(0);
        self.body_left.set(None);
        self.chunked.set(false);
        self.extra.set(false);
        self.second_status_line.set(0);
        self.closing.set(false);
        self.answer.set(FirstLine::Status(0, 0));
        self.line.replace(Some(Vec::new()));
    }

    /// The present call asks the endpoint to close the connection: it is read up to its end.
    pub(crate) fn set_closing(&self) {
        self.closing.set(true);
    }

    /// Whether it is still open whether the present call's answer is the last one: its stream has not ended, nor has the head
    /// of another answer.
    fn awaits_end(&self) -> bool {
        let is_answered_twice = self.has_extra_data() && self.line.borrow().is_none();
        self.closing.get() && !self.end_of_stream.get() && !is_answered_twice
    }

    /// Whether the present call asks the endpoint to close the connection.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// The call is over and its answer read.
    pub(crate) fn set_idle(&self) {
        self.idle.set(true);
    }

    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Whether no call was made on it before the present one.
    pub(crate) fn is_first_call(&self) -> bool {
        self.calls.get() == 1
    }

    /// Whether the present call has been written whole.
    pub(crate) fn is_request_complete(&self) -> bool {
        self.written_at.get().is_some()
    }

    /// Time from the last byte of the present call's request to the first byte behind it; none for a response that
    /// came before that last byte.
    pub(crate) fn response_time(&self) -> Option<Duration> {
        let (written, answered) = self.written_at.get().zip(self.answered_at.get())?;
        answered.checked_duration_since(written)
    }

    /// Whether the present call's answer is all that came behind its request, up to the end of the stream.
    pub(crate) fn ended_behind_answer(&self) -> bool {
        self.end_of_stream.get() && !self.has_extra_data()
    }

    /// Whether more than one answer, or parts of several, came behind the present call's request.
    pub(crate) fn has_extra_data(&self) -> bool {
        let has_second_status_line = self.second_status_line.get() == STATUS_LINE.len();
        self.extra.get() || has_second_status_line
    }

    /// One byte further in the search for a second status line.
    fn look_for_status_line(&self, byte: u8) {
        let found = self.second_status_line.get();
        let Some(&expected) = STATUS_LINE.get(found) else {
            return;
        };
        let fits = match expected {
            b'd' => byte.is_ascii_digit(),
            _ => byte == expected,
        };
        self.second_status_line.set(match fits {
            true => found + 1,
            false => usize::from(byte == STATUS_LINE[0]),
        });
    }

    /// These bytes stand behind the head of the present call's answer. What follows its body is another answer, whose
    /// head may tell a wait.
    fn pass_behind_head(&self, bytes: &[u8]) {
        for (position, byte) in bytes.iter().enumerate() {
            match self.body_left.get() {
                Some(0) if !self.extra.replace(true) => {
                    self.set_unsolicited(&bytes[position..]);
                    self.line.replace(Some(Vec::new()));
                    self.pass_header(*byte);
                }
                Some(0) => self.pass_header(*byte),
                Some(left) => self.body_left.set(Some(left - 1)),
                None => self.look_for_status_line(*byte),
            }
        }
    }

    /// Time since the last byte of the present call's request.
    fn since_written(&self) -> Duration {
        self.written_at
            .get()
            .map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// The connection has ended.
    pub(crate) fn set_ended(&self) {
        self.ended.set(true);
        self.changed.notify_one();
    }

    /// Ends once the connection has ended, as it does when something comes behind an answer.
    pub(crate) async fn ended(&self) {
        while !self.ended.get() {
            self.changed.notified().await;
        }
    }

    /// What came while no call was out.
    pub(crate) fn unsolicited_data(&self) -> Option<UnsolicitedData> {
        self.unsolicited.get()
    }

    fn set_unsolicited(&self, bytes: &[u8]) {
        let data = UnsolicitedData {
            status: status_at_start(bytes),
            after_request: self.since_written(),
        };
        self.unsolicited.set(self.unsolicited.get().or(Some(data)));
    }

    /// Records what ties the present call's response to it.
    pub(crate) fn set_attribution(&self, attribution: Attribution) {
        self.attributed_by.set(Some(attribution));
    }

    /// The present call's place on the connection, and how fast its answer came.
    pub(crate) fn connection_use(&self) -> ConnectionUse {
        ConnectionUse {
            connection: self.number,
            call_on_connection: self.calls.get(),
            response_after: self.response_time(),
            attributed_by: self.attributed_by.get(),
        }
    }

    /// True if a first line with 200 can only be that of the present call's answer: no other came before it, and the
    /// call was whole by then.
    pub(crate) fn says_200(&self) -> bool {
        self.answer.get() == FirstLine::Whole(200)
            && self.is_first_call()
            && self.response_time().is_some()
    }

    /// Ends once the first line of an answer has come, or what can be none.
    pub(crate) async fn first_line(&self) {
        while !matches!(self.answer.get(), FirstLine::Whole(_) | FirstLine::Nothing) {
            self.seen.notified().await;
        }
    }

    /// One byte further in the head behind the first line. Nothing of a body is taken for a header: a head ends with
    /// its first empty line (RFC 9112).
    fn pass_header(&self, byte: u8) {
        let mut slot = self.line.borrow_mut();
        let Some(line) = slot.as_mut() else { return };
        if byte != b'\n' {
            if line.len() < LINE_MOST {
                line.push(byte);
            }
            return;
        }
        let text = line.trim_ascii_end();
        if text.is_empty() {
            *slot = None;
            return;
        }
        let colon = text
            .iter()
            .position(|&other| other == b':')
            .filter(|_| text.len() < LINE_MOST);
        let header = colon.map(|at| (&text[..at], &text[at + 1..]));
        let value_of = |wanted: &[u8]| {
            let named = header.filter(|(name, _)| name.eq_ignore_ascii_case(wanted));
            named.map(|(_, value)| value)
        };
        let wait = value_of(b"retry-after").and_then(wait_in);
        let length = value_of(b"content-length").and_then(length_in);
        let is_chunked = self.chunked.get() || value_of(b"transfer-encoding").is_some();
        if !self.extra.get() && (is_chunked || length.is_some()) {
            self.chunked.set(is_chunked);
            self.body_left.set(length.filter(|_| !is_chunked));
        }
        line.clear();
        drop(slot);
        if let Some(wait) = wait {
            (self.told)(wait);
        }
    }

    fn pass(&self, bytes: &mut [u8]) -> io::Result<()> {
        if !bytes.is_empty() {
            if self.idle.get() {
                self.set_unsolicited(bytes);
            }
            let answered_at = self.answered_at.get().or_else(|| Some(Instant::now()));
            self.answered_at.set(answered_at);
        }
        let mut line = self.answer.get();
        let mut ahead = self.ahead.get();
        let mut behind_head = None;
        for (number, byte) in bytes.iter_mut().enumerate() {
            match line {
                FirstLine::Whole(_) if self.line.borrow().is_some() => {
                    self.look_for_status_line(*byte);
                    self.pass_header(*byte);
                }
                FirstLine::Whole(_) => {
                    behind_head = Some(number);
                    break;
                }
                FirstLine::Nothing => break,
                _ => {
                    if matches!(line, FirstLine::Rest(_)) {
                        self.look_for_status_line(*byte);
                    }
                    line = line.pass(byte);
                    ahead += 1;
                }
            }
        }
        if let Some(rest) = behind_head.and_then(|number| bytes.get(number..)) {
            self.pass_behind_head(rest);
        }
        self.ahead.set(ahead);
        self.answer.set(line);
        if matches!(line, FirstLine::Whole(_) | FirstLine::Nothing) {
            self.seen.notify_one();
        } else if ahead > MAX_BODY_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "no answer behind those ahead",
            ));
        }
        Ok(())
    }
}
