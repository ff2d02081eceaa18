//! What was found wrong, where, and what to write instead.

use crate::codes::Code;
use serde::Serialize;
use std::ops::Range;
use std::path::PathBuf;

/// A place in a file, in bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Which file.
    pub path: PathBuf,
    /// The very text that it is about; none: the file as a whole.
    pub span: Option<Range<usize>>,
    /// What is to be seen there.
    pub label: String,
}

/// One thing that is wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// What kind of thing.
    pub code: Code,
    /// Where, the main place first.
    pub locations: Vec<Location>,
    /// What to write instead.
    pub help: Option<String>,
}

/// A finding for programs: positions as lines and columns from 1, columns in characters.
#[derive(Debug, Serialize)]
pub struct JsonFinding {
    code: &'static str,
    title: &'static str,
    #[serde(rename = "places")]
    locations: Vec<JsonLocation>,
    help: Option<String>,
}

#[derive(Debug, Serialize)]
struct JsonLocation {
    file: String,
    line: Option<usize>,
    column: Option<usize>,
    end_line: Option<usize>,
    end_column: Option<usize>,
    text: Option<String>,
    label: String,
}

/// Line and column, from 1, of a byte of a text.
#[must_use]
pub fn position(text: &str, at: usize) -> (usize, usize) {
    let mut at = at.min(text.len());
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    let before = &text[..at];
    let line = before.bytes().filter(|&byte| byte == b'\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

impl Finding {
    /// For programs. `text_of` gives the text of a file.
    pub fn to_json_form(&self, text_of: impl Fn(&PathBuf) -> Option<String>) -> JsonFinding {
        let location = |location: &Location| {
            let text = text_of(&location.path).unwrap_or_default();
            let span = location.span.clone();
            let from = span.as_ref().map(|span| position(&text, span.start));
            let to = span.as_ref().map(|span| position(&text, span.end));
            JsonLocation {
                file: location.path.display().to_string(),
                line: from.map(|from| from.0),
                column: from.map(|from| from.1),
                end_line: to.map(|to| to.0),
                end_column: to.map(|to| to.1),
                text: span.and_then(|span| text.get(span).map(str::to_string)),
                label: location.label.clone(),
            }
        };
        JsonFinding {
            code: self.code.text(),
            title: self.code.title(),
            locations: self.locations.iter().map(location).collect(),
            help: self.help.clone(),
        }
    }
}
