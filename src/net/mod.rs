//! The real sender round the decision module: sockets in, calls out, one job a file.

pub mod calls;
pub mod config;
pub mod discovery;
pub mod driver;
pub mod journal;
pub mod server;
