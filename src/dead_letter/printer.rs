//! Prints the responses to a command: as JSON lines as they arrive, or as a table at the end.

use super::table;
use crate::output;
use milletturn_dead_letter::control::Response;

/// Receives the responses to one request and prints them.
#[derive(Debug)]
pub(super) struct ResponsePrinter {
    json: bool,
    responses: Vec<Response>,
    result: CommandResult,
}

/// How the responses to a request ended.
#[derive(Debug, Default)]
pub(super) struct CommandResult {
    /// Number of messages that the command covered.
    pub(super) count: usize,
    /// Number of these messages for which the command was rejected.
    pub(super) rejected: usize,
    /// The error that ended the responses early, if any.
    pub(super) error: Option<String>,
}

impl ResponsePrinter {
    pub(super) fn new(json: bool) -> Self {
        ResponsePrinter {
            json,
            responses: Vec::new(),
            result: CommandResult::default(),
        }
    }

    pub(super) fn receive(&mut self, response: Response) {
        match response {
            Response::End { count, rejected } => {
                (self.result.count, self.result.rejected) = (count, rejected);
            }
            Response::Error(error) => self.result.error = Some(error),
            response if self.json => {
                let text = match &response {
                    Response::Summary(summary) => serde_json::to_string(summary),
                    Response::Record(record) => serde_json::to_string(record),
                    Response::Stats(stats) => serde_json::to_string(stats),
                    other => serde_json::to_string(other),
                };
                // the command counts as carried out even if its output can't be written
                let _ = output::print_line(text.unwrap_or_default());
            }
            response => self.responses.push(response),
        }
    }

    /// Prints the table unless the output is JSON, and returns the result. `now` is Unix time in microseconds.
    pub(super) fn finish(self, now: i64) -> CommandResult {
        if !self.json {
            // the command counts as carried out even if its output can't be written
            let _ = output::print(table::format(&self.responses, now));
        }
        self.result
    }
}
