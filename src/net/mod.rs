//! The real sender round the decision module: sockets in, calls out, one job a file.

pub mod calls;
pub mod config;
pub mod discovery;
pub mod driver;
pub mod journal;
pub mod server;

/// A line for the log. A reader of the log that has gone away must not take the sender with it, as a failed
/// `eprintln!` would.
pub fn log(line: std::fmt::Arguments<'_>) {
    use std::io::Write;
    let _ = std::io::stderr().lock().write_all(format!("{line}\n").as_bytes());
}
