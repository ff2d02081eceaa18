//! What a watch brings, from its bytes in whatever pieces: lists, signs of life, and what can't be read. It opens no
//! socket and reads no clock.

use crate::list::parse_list;
use milletturn_engine::ListUpdate;
use serde_json::{Deserializer, Value};

/// A longer object is not kept: read, it takes up several times its size.
const LONGEST: usize = 1 << 20;
/// So much of what can't be read is shown.
const SHOWN: usize = 80;

/// One thing that a watch brought.
#[derive(Debug, PartialEq)]
pub(crate) enum Told {
    /// The end of a line outside any object: while nothing changes, an empty one comes now and then.
    Alive,
    /// News; so many entries of it can't be read.
    List(ListUpdate, usize),
    /// Something that can't be read, from its beginning. What it said is not known.
    Unread(String),
}

/// Takes the bytes in. An object may run over several lines.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    /// What has come of the next object.
    text: Vec<u8>,
    /// The rest of a line that was too long is passed over.
    skipping: bool,
}

impl Feed {
    /// What these bytes complete.
    pub(crate) fn take(&mut self, bytes: &[u8]) -> Vec<Told> {
        let mut told = Vec::new();
        self.text.extend_from_slice(bytes);
        // only these bytes complete anything: an object that is still coming is not read again for each piece
        if bytes.contains(&b'}') || bytes.contains(&b'\n') || self.text.len() > LONGEST {
            let mut at = 0;
            while let Some(length) = self.next(at, &mut told) {
                at += length;
            }
            self.text.drain(..at);
        }
        if self.text.len() > LONGEST {
            told.push(Told::Unread(shown(&self.text)));
            (self.text, self.skipping) = (Vec::new(), true);
        }
        told
    }

    /// Reads what stands at a place; its length, or none where more has to come.
    fn next(&mut self, at: usize, told: &mut Vec<Told>) -> Option<usize> {
        let rest = &self.text[at..];
        let line = |from: &[u8]| from.iter().position(|&byte| byte == b'\n').map(|end| end + 1);
        if self.skipping {
            self.skipping = line(rest).is_none();
            return line(rest).or(Some(rest.len()).filter(|&length| length > 0));
        }
        let first = *rest.first()?;
        if first.is_ascii_whitespace() {
            told.extend((first == b'\n').then_some(Told::Alive));
            return Some(1);
        }
        let mut values = Deserializer::from_slice(rest).into_iter::<Value>();
        match values.next()? {
            Ok(value) => {
                let length = values.byte_offset();
                told.push(match parse_list(&value) {
                    Some((update, unread)) => Told::List(update, unread),
                    None => Told::Unread(shown(&rest[..length])),
                });
                Some(length)
            }
            Err(error) if error.is_eof() => None,
            Err(_) => {
                // the next line may be whole again
                let length = line(rest)?;
                told.push(Told::Unread(shown(&rest[..length])));
                Some(length)
            }
        }
    }
}

fn shown(text: &[u8]) -> String {
    String::from_utf8_lossy(&text[..text.len().min(SHOWN)]).trim_end().to_string()
}

#[cfg(test)]
mod tests {
    use super::*;

    const FIRST: &str = r#"{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","pod_group":3,"state":"up"}]}"#;

    /// Versions of lists, `-` for signs of life, `?` for what can't be read.
    fn read(pieces: &[&str]) -> String {
        let mut feed = Feed::default();
        let told = pieces.iter().flat_map(|piece| feed.take(piece.as_bytes()));
        told.map(|told| match told {
            Told::Alive => "-".to_string(),
            Told::List(update, unread) => format!("{}/{unread} ", update.version),
            Told::Unread(_) => "?".to_string(),
        })
        .collect()
    }

    #[test]
    fn lists_are_read_in_whatever_pieces_and_lines_they_come() {
        let second = r#"{"rev":42,"all":false,"targets":[]}"#;
        assert_eq!(read(&[&format!("{FIRST}\n\n{second}\n")]), "41/0 --42/0 -");
        let indented = FIRST.replace(',', ",\n  ").replace('[', "[\n\t");
        let text = format!("{indented}\n\n{second}");
        assert_eq!(read(&[&text]), "41/0 --42/0 ");
        let pieces: Vec<&str> = text.split_inclusive(|_: char| true).collect();
        assert_eq!(read(&pieces), "41/0 --42/0 ", "byte by byte");
    }

    #[test]
    fn what_can_not_be_read_is_told_and_spoils_nothing_behind_it() {
        for bad in ["{not json", "[1", "5", "{\"rev\":4}", "{\"rev\":4,\"all\":tr", "\u{0}", "}"] {
            let told = read(&[&format!("{bad}\n{FIRST}\n")]);
            assert!(told.starts_with('?') && told.contains("41/0"), "{bad}: {told}");
        }
        let odd = FIRST.replace("\"up\"", "\"odd\"");
        assert_eq!(read(&[&odd]), "41/1 ", "an entry of no known state");
    }

    #[test]
    fn a_line_without_end_takes_no_more_than_its_room_and_is_no_sign_of_life() {
        let mut feed = Feed::default();
        let piece = vec![b' '; 1 << 16];
        let mut told = feed.take(b"{\"rev\":41,");
        for _ in 0..40 {
            told.extend(feed.take(&piece));
            assert!(feed.text.len() <= LONGEST + piece.len());
        }
        assert_eq!(told.len(), 1, "{told:?}");
        assert!(matches!(&told[..], [Told::Unread(_)]));
        assert_eq!(feed.take(format!("\n{FIRST}").as_bytes()).len(), 1, "the next line is read");
    }
}
