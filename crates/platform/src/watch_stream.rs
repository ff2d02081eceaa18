//! Parses the byte stream of an endpoint list watch into events: list updates, keep-alives, and malformed input. Chunks
//! may end anywhere. Performs no I/O and reads no clock.

use crate::endpoint_list::parse_list;
use milletturn_engine::EndpointListUpdate;
use serde_json::{Deserializer, Value};

/// Maximum size of one JSON object in bytes; a longer one is skipped. A parsed object takes several times its size in
/// memory.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;
/// Maximum length of the excerpt of malformed input that is logged, in bytes.
const MAX_EXCERPT_BYTES: usize = 80;

/// One event of a watch.
#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    /// The end of a line outside any object. Discovery sends empty lines at intervals while nothing changes.
    KeepAlive,
    /// A list update, and the number of its entries that are malformed and were left out.
    Update(EndpointListUpdate, usize),
    /// The beginning of input that could not be parsed. The changes in it are unknown.
    Malformed(String),
}

/// Splits the bytes of a watch into events. An object may span several lines.
#[derive(Debug, Default)]
pub struct WatchStream {
    /// Received bytes that do not yet form an event.
    buffer: Vec<u8>,
    /// Whether input is skipped up to the next newline, because an object was too long.
    is_skipping_to_newline: bool,
}

impl WatchStream {
    /// Number of bytes buffered for an object that is not complete yet.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Adds received bytes, and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<WatchEvent> {
        let mut events = Vec::new();
        self.buffer.extend_from_slice(bytes);
        // Only these characters can complete an event; without the check, an incomplete object would be parsed again
        // for each chunk.
        if bytes.contains(&b'}') || bytes.contains(&b'\n') || self.buffer.len() > MAX_OBJECT_BYTES {
            let mut position = 0;
            while let Some(length) = self.parse_next(position, &mut events) {
                position += length;
            }
            self.buffer.drain(..position);
        }
        if self.buffer.len() > MAX_OBJECT_BYTES {
            events.push(WatchEvent::Malformed(excerpt(&self.buffer)));
            (self.buffer, self.is_skipping_to_newline) = (Vec::new(), true);
        }
        events
    }

    /// Parses what begins at a position of the buffer. Returns its length, or `None` if more bytes are needed.
    fn parse_next(&mut self, position: usize, events: &mut Vec<WatchEvent>) -> Option<usize> {
        let unparsed = &self.buffer[position..];
        let length_through_newline = |from: &[u8]| {
            from.iter()
                .position(|&byte| byte == b'\n')
                .map(|end| end + 1)
        };
        if self.is_skipping_to_newline {
            self.is_skipping_to_newline = length_through_newline(unparsed).is_none();
            return length_through_newline(unparsed)
                .or(Some(unparsed.len()).filter(|&length| length > 0));
        }
        let first = *unparsed.first()?;
        if first.is_ascii_whitespace() {
            events.extend((first == b'\n').then_some(WatchEvent::KeepAlive));
            return Some(1);
        }
        let mut values = Deserializer::from_slice(unparsed).into_iter::<Value>();
        match values.next()? {
            Ok(value) => {
                let length = values.byte_offset();
                events.push(match parse_list(&value) {
                    Some((update, malformed)) => WatchEvent::Update(update, malformed),
                    None => WatchEvent::Malformed(excerpt(&unparsed[..length])),
                });
                Some(length)
            }
            Err(error) if error.is_eof() => None,
            Err(_) => {
                // continue at the next line, which may be well-formed
                let length = length_through_newline(unparsed)?;
                events.push(WatchEvent::Malformed(excerpt(&unparsed[..length])));
                Some(length)
            }
        }
    }
}

fn excerpt(text: &[u8]) -> String {
    String::from_utf8_lossy(&text[..text.len().min(MAX_EXCERPT_BYTES)])
        .trim_end()
        .to_string()
}
