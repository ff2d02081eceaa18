//! What a watch brings, from its bytes in whatever pieces: lists, signs of life, and what can't be read. It opens no
//! socket and reads no clock.

use crate::endpoint_list::parse_list;
use milletturn_engine::EndpointListUpdate;
use serde_json::{Deserializer, Value};

/// A longer object is not kept: read, it takes up several times its size.
pub const MAX_OBJECT_BYTES: usize = 1 << 20;
/// So much of what can't be read is shown.
const SHOWN: usize = 80;

/// One thing that a watch brought.
#[derive(Debug, PartialEq)]
pub enum WatchEvent {
    /// The end of a line outside any object: while nothing changes, an empty one comes now and then.
    KeepAlive,
    /// News; so many entries of it can't be read.
    Update(EndpointListUpdate, usize),
    /// Something that can't be read, from its beginning. What it said is not known.
    Malformed(String),
}

/// Takes the bytes in. An object may run over several lines.
#[derive(Debug, Default)]
pub struct WatchStream {
    /// What has come of the next object.
    text: Vec<u8>,
    /// The rest of a line that was too long is passed over.
    skipping: bool,
}

impl WatchStream {
    /// Bytes that are kept of an object whose end has not come.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.text.len()
    }

    /// What these bytes complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<WatchEvent> {
        let mut told = Vec::new();
        self.text.extend_from_slice(bytes);
        // only these bytes complete anything: an object that is still coming is not read again for each piece
        if bytes.contains(&b'}') || bytes.contains(&b'\n') || self.text.len() > MAX_OBJECT_BYTES {
            let mut at = 0;
            while let Some(length) = self.next(at, &mut told) {
                at += length;
            }
            self.text.drain(..at);
        }
        if self.text.len() > MAX_OBJECT_BYTES {
            told.push(WatchEvent::Malformed(shown(&self.text)));
            (self.text, self.skipping) = (Vec::new(), true);
        }
        told
    }

    /// Reads what stands at a place; its length, or none where more has to come.
    fn next(&mut self, at: usize, told: &mut Vec<WatchEvent>) -> Option<usize> {
        let rest = &self.text[at..];
        let line = |from: &[u8]| {
            from.iter()
                .position(|&byte| byte == b'\n')
                .map(|end| end + 1)
        };
        if self.skipping {
            self.skipping = line(rest).is_none();
            return line(rest).or(Some(rest.len()).filter(|&length| length > 0));
        }
        let first = *rest.first()?;
        if first.is_ascii_whitespace() {
            told.extend((first == b'\n').then_some(WatchEvent::KeepAlive));
            return Some(1);
        }
        let mut values = Deserializer::from_slice(rest).into_iter::<Value>();
        match values.next()? {
            Ok(value) => {
                let length = values.byte_offset();
                told.push(match parse_list(&value) {
                    Some((update, unread)) => WatchEvent::Update(update, unread),
                    None => WatchEvent::Malformed(shown(&rest[..length])),
                });
                Some(length)
            }
            Err(error) if error.is_eof() => None,
            Err(_) => {
                // the next line may be whole again
                let length = line(rest)?;
                told.push(WatchEvent::Malformed(shown(&rest[..length])));
                Some(length)
            }
        }
    }
}

fn shown(text: &[u8]) -> String {
    String::from_utf8_lossy(&text[..text.len().min(SHOWN)])
        .trim_end()
        .to_string()
}
