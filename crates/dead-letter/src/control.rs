//! The control socket for operators' commands: a Unix socket in the state folder that only its owner can open.
//!
//! A request is one line of JSON. The server answers with one line of JSON for each message, and a last line that ends
//! the answer.
//!
//! - `messages`: the requests and responses;
//! - `client`: the side of the operators' commands;
//! - `server`: the sender's side, which listens and serves connections;
//! - `commands`: executes each request.

mod client;
mod commands;
mod messages;
mod server;

pub use self::client::{ControlError, send_request};
pub use self::messages::{Request, Response};
pub use self::server::{listen, serve};

use std::time::Duration;

/// File name of the socket in the state folder.
pub const SOCKET_NAME: &str = "undelivered.sock";
/// How long the server waits for a request, and for a client to read a response. The client waits three times as long
/// for a response.
const IO_TIMEOUT: Duration = Duration::from_secs(10);
