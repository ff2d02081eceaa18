//! Findings: errors in a configuration, each with its locations and a suggestion.

use crate::codes::Code;
use serde::Serialize;
use std::ops::Range;
use std::path::PathBuf;

/// A location in a file, with a label that says what is wrong there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// The file's path.
    pub path: PathBuf,
    /// Range of the text that the label is about, in bytes; `None` if the label is about the file as a whole.
    pub span: Option<Range<usize>>,
    /// What is wrong at this location, for users; reports print it beside the marked text.
    pub label: String,
}

/// An error in a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The kind of error.
    pub code: Code,
    /// The locations, the main one first.
    pub locations: Vec<Location>,
    /// How to correct the error, such as a text to write instead; `None` if there is no suggestion.
    pub help: Option<String>,
}

/// A finding in the form that is printed as JSON. Lines and columns count from 1, and columns count characters.
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

/// Line and column, from 1, of a byte offset in a text. Columns count characters.
#[must_use]
pub fn position(text: &str, offset: usize) -> (usize, usize) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let before = &text[..offset];
    let line = before.bytes().filter(|&byte| byte == b'\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

impl Finding {
    /// Converts the finding to its JSON form. `text_of` returns the text of a file.
    pub fn to_json_form(&self, text_of: impl Fn(&PathBuf) -> Option<String>) -> JsonFinding {
        let location = |location: &Location| {
            let text = text_of(&location.path).unwrap_or_default();
            let span = location.span.clone();
            let start = span.as_ref().map(|span| position(&text, span.start));
            let end = span.as_ref().map(|span| position(&text, span.end));
            JsonLocation {
                file: location.path.display().to_string(),
                line: start.map(|start| start.0),
                column: start.map(|start| start.1),
                end_line: end.map(|end| end.0),
                end_column: end.map(|end| end.1),
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
