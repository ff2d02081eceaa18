//! Writes to standard output; all commands print through this module.
//!
//! A reader may close the pipe before a command has printed everything, as `head -1` does, and `println!` would panic.
//! The functions here return [`Reader::Closed`] instead, and the command ends as if everything had been read.

use std::fmt::Display;
use std::io::{self, ErrorKind, Write};

/// Whether the reader of standard output is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reader {
    /// The text was written in full.
    Present,
    /// The reader has closed the pipe; further output would be lost.
    Closed,
}

/// Prints a text without adding a line break.
///
/// # Errors
/// If standard output can't be written for another reason than a closed pipe, such as a full disk.
pub(crate) fn print(text: impl Display) -> io::Result<Reader> {
    let mut out = io::stdout().lock();
    reader_state(write!(out, "{text}").and_then(|()| out.flush()))
}

/// Prints each item as a line, until all are written or the reader has closed the pipe.
///
/// # Errors
/// Like [`print()`].
pub(crate) fn print_lines(lines: impl IntoIterator<Item: Display>) -> io::Result<Reader> {
    let mut out = io::BufWriter::new(io::stdout().lock());
    let write = || {
        for line in lines {
            writeln!(out, "{line}")?;
        }
        out.flush()
    };
    reader_state(write())
}

/// Prints a text and a line break.
///
/// # Errors
/// Like [`print()`].
pub(crate) fn print_line(line: impl Display) -> io::Result<Reader> {
    print_lines([line])
}

/// Turns the error of a closed pipe into [`Reader::Closed`].
fn reader_state(written: io::Result<()>) -> io::Result<Reader> {
    match written {
        Ok(()) => Ok(Reader::Present),
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Ok(Reader::Closed),
        Err(error) => Err(error),
    }
}
