//! The adapter's input, line by line.

use crate::error::{Malformed, ProtocolError};
use std::io::BufRead;

/// Reads lines and counts them for errors.
pub(crate) struct InputLines<R> {
    input: R,
    number: usize,
    text: String,
}

impl<R: BufRead> InputLines<R> {
    /// Reads from the start of an input.
    pub(crate) fn new(input: R) -> Self {
        InputLines {
            input,
            number: 0,
            text: String::new(),
        }
    }

    /// Reads the next line; `false` at the end of the input.
    pub(crate) fn advance(&mut self) -> Result<bool, ProtocolError> {
        self.text.clear();
        if self.input.read_line(&mut self.text)? == 0 {
            return Ok(false);
        }
        self.number += 1;
        while self.text.ends_with(['\n', '\r']) {
            self.text.pop();
        }
        Ok(true)
    }

    /// The line that was read last, without its end.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// An error at the line that was read last.
    pub(crate) fn error(&self, expected: &str, found: &str) -> ProtocolError {
        ProtocolError::MalformedLine {
            number: self.number,
            expected: expected.to_string(),
            found: found.to_string(),
        }
    }

    /// An error behind the last line: the input ended where more had to come.
    pub(crate) fn error_at_end(&self, expected: &str) -> ProtocolError {
        ProtocolError::MalformedLine {
            number: self.number + 1,
            expected: expected.to_string(),
            found: "end of input".to_string(),
        }
    }

    /// Adds the number of the last line to what is wrong with it.
    pub(crate) fn located<T>(&self, result: Result<T, Malformed>) -> Result<T, ProtocolError> {
        result.map_err(|Malformed { expected, found }| self.error(&expected, &found))
    }
}
