//! Reads the adapter's input line by line.

use crate::error::{Malformed, ProtocolError};
use std::io::BufRead;

/// Reads lines, and counts them so that errors can name the line.
pub(crate) struct LineReader<R> {
    input: R,
    line_number: usize,
    text: String,
}

impl<R: BufRead> LineReader<R> {
    /// Starts reading at line 1 of the input.
    pub(crate) fn new(input: R) -> Self {
        LineReader {
            input,
            line_number: 0,
            text: String::new(),
        }
    }

    /// Reads the next line; returns `false` at the end of the input.
    pub(crate) fn advance(&mut self) -> Result<bool, ProtocolError> {
        self.text.clear();
        if self.input.read_line(&mut self.text)? == 0 {
            return Ok(false);
        }
        self.line_number += 1;
        while self.text.ends_with(['\n', '\r']) {
            self.text.pop();
        }
        Ok(true)
    }

    /// The current line, which is the last one read, without its line break.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Builds an error about the current line.
    pub(crate) fn error(&self, expected: &str, found: &str) -> ProtocolError {
        ProtocolError::MalformedInput {
            line: self.line_number,
            expected: expected.to_string(),
            found: found.to_string(),
        }
    }

    /// Builds an error about the line after the current one, which is missing because the input ended.
    pub(crate) fn error_at_end(&self, expected: &str) -> ProtocolError {
        ProtocolError::MalformedInput {
            line: self.line_number + 1,
            expected: expected.to_string(),
            found: "end of input".to_string(),
        }
    }

    /// Adds the number of the current line to an error about one of its fields.
    pub(crate) fn with_line_number<T>(
        &self,
        result: Result<T, Malformed>,
    ) -> Result<T, ProtocolError> {
        result.map_err(|Malformed { expected, found }| self.error(&expected, &found))
    }
}
