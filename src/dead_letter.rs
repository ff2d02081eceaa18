//! `milletturn dead-letter`: lists, shows, resolves, redrives and exports dead letters.
//!
//! - `arguments`: parses the command line;
//! - `offline`: reads the store's file when no sender runs;
//! - `printer`: prints responses as JSON lines as they arrive, or collects them for a table;
//! - `table`: formats the tables.

mod arguments;
mod offline;
mod printer;
mod table;

pub(crate) use self::arguments::Arguments;

use self::printer::ResponsePrinter;
use milletturn_config::document::Document;
use milletturn_dead_letter::config::Config;
use milletturn_dead_letter::control::{ControlError, Request, send_request};
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Exit code: the command was carried out.
const DONE: u8 = 0;
/// Exit code: the sender could not be reached, or the store could not be read.
const FAILED: u8 = 1;
/// Exit code: the command line is wrong.
const USAGE: u8 = 2;
/// Exit code: no message matched.
const NO_MATCH: u8 = 3;
/// Exit code: the command was rejected for at least one message; the output says why.
const REJECTED: u8 = 4;
/// Exit code: no sender runs, and the command needs one.
const NO_SENDER: u8 = 5;

/// Runs a command and returns its exit code, on which scripts rely. `settings` is the path of the store's settings
/// file, which contains the name of the store's file; without it, the default name is used.
pub(crate) fn run(arguments: &Arguments, settings: Option<&Path>) -> ExitCode {
    ExitCode::from(execute(arguments, settings).unwrap_or_else(|code| code))
}

/// The current Unix time in microseconds.
fn now() -> i64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    i64::try_from(now.as_micros()).unwrap_or(i64::MAX)
}

/// Prints an error on standard error and returns the given exit code.
fn report(error: impl Display, code: u8) -> u8 {
    eprintln!("milletturn: {error}");
    code
}

/// Returns the sender's state folder, from the sidecar's configuration or the command line.
fn state_folder(arguments: &Arguments) -> Result<PathBuf, u8> {
    match (&arguments.config, &arguments.folder) {
        (Some(file), _) => Document::read(file).path_of(&["state"]).ok_or_else(|| {
            let file = file.display();
            report(
                format_args!(
                    "{file} names no state folder; `milletturn config check` says what is wrong with it"
                ),
                USAGE,
            )
        }),
        (None, Some(folder)) => Ok(folder.clone()),
        (None, None) => Err(report(
            concat!(
                "no sender given: name a sidecar's configuration with --config, or a state folder with --folder or ",
                "RELAY_STATE"
            ),
            USAGE,
        )),
    }
}

/// Sends the request to the running sender, or answers a read-only request from the store's file when no sender runs.
/// Both variants of the result are exit codes.
fn execute(arguments: &Arguments, settings: Option<&Path>) -> Result<u8, u8> {
    let folder = &state_folder(arguments)?;
    let request = arguments
        .request()
        .map_err(|message| report(message, USAGE))?;
    let mut printer = ResponsePrinter::new(arguments.wants_json());
    match send_request(folder, &request, |response| printer.receive(response)) {
        Ok(()) => {}
        Err(error @ ControlError::NotRunning { .. }) => {
            if matches!(request, Request::Redrive { .. } | Request::Resolve { .. }) {
                return Err(report(
                    format_args!("{error}; this command needs a running sender"),
                    NO_SENDER,
                ));
            }
            let config = match settings {
                Some(path) => Config::read(path).map_err(|error| report(error, FAILED))?,
                None => Config::default(),
            };
            offline::answer(&folder.join(&config.file), &request, &mut printer)
                .map_err(|error| report(error, FAILED))?;
        }
        Err(error) => return Err(report(error, FAILED)),
    }
    let result = printer.finish(now());
    if let Some(error) = result.error {
        return Err(report(error, FAILED));
    }
    Ok(match (result.count, result.rejected) {
        (0, _) if request != Request::Stats => NO_MATCH,
        (_, 0) => DONE,
        _ => REJECTED,
    })
}
