//! The sidecar: a sender that runs beside one application and takes its endpoints from files instead of a platform.
//!
//! - [`plan`]: converts a checked configuration file to the settings of the engine and of the other parts.
//! - [`environment`]: checks a configuration against the machine, and locks the state folder.
//! - [`endpoints`]: reads, checks and watches a file of endpoints.
//! - [`outcome_log`]: stores final outcomes until the application has acknowledged them.
//! - [`shared_outcome_log`]: shares the log between the tasks of a process, and serves it to readers over HTTP.
//! - [`callback`]: sends outcomes to the application.

pub mod callback;
pub mod endpoints;
pub mod environment;
mod http_reader;
pub mod outcome_log;
pub mod plan;
pub mod shared_outcome_log;
