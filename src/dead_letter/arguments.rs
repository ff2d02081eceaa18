//! Parses the command line of `milletturn dead-letter`.

use super::now;
use clap::{Args, Subcommand, ValueEnum};
use milletturn_dead_letter::control::Request;
use milletturn_dead_letter::record::{Filter, State, parse_reason};
use std::path::PathBuf;

/// List, show, export, resolve and redrive dead letters: messages that could not be delivered.
///
/// Commands are sent to the running sender over the socket in its state folder. If no sender runs, `list`, `show`,
/// `export` and `stats` read the store's file.
///
/// Exit codes: 0 done; 1 the sender can't be reached, or the store can't be read; 2 the command line is invalid; 3 no
/// message matched; 4 the command was rejected for at least one message, and the output says why; 5 no sender runs, and
/// the command needs one.
#[derive(Debug, Args)]
pub(crate) struct Arguments {
    /// The state folder of the sender.
    #[arg(long, value_name = "DIR", env = "RELAY_STATE", global = true)]
    pub(super) folder: Option<PathBuf>,
    /// The configuration of the sidecar, which names its state folder.
    #[arg(long, value_name = "FILE", global = true, conflicts_with = "folder")]
    pub(super) config: Option<PathBuf>,
    /// The output: a table for people, or JSON lines for programs.
    #[arg(long, value_enum, default_value_t = Format::Table, global = true)]
    format: Format,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Format {
    Table,
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// List messages, one line for each.
    List {
        #[command(flatten)]
        selection: Selection,
        /// Maximum number of messages to list.
        #[arg(long, default_value_t = 100)]
        limit: usize,
    },
    /// Show all details of messages: each round of delivery, each attempt, and the audit log.
    Show {
        /// Numbers of the messages.
        #[arg(required = true)]
        numbers: Vec<u64>,
        /// Include the bodies, in base64 (JSON only).
        #[arg(long)]
        bodies: bool,
    },
    /// Redrive messages: send them again if that is safe. A message that may have run can be redriven at any time if
    /// its class is repeatable, only within the deduplication window of its key if its class is keyed, and never if
    /// its class is unsafe.
    #[command(alias = "resend")]
    Redrive {
        #[command(flatten)]
        selection: Selection,
        /// Only print for each message whether it would be redriven, and if not, why.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        audit: AuditArguments,
    },
    /// Mark messages as resolved: either as done, or as confirmed not to have run.
    #[command(alias = "settle")]
    Resolve {
        #[command(flatten)]
        selection: Selection,
        /// `done`: no further action is needed. `did-not-run`: the destination has confirmed that the message did not
        /// take effect, so it may be redriven.
        #[arg(long = "as", value_enum)]
        how: Resolution,
        #[command(flatten)]
        audit: AuditArguments,
    },
    /// Export all details of messages, with their bodies, as JSON lines.
    Export {
        #[command(flatten)]
        selection: Selection,
    },
    /// Show how many messages and bytes the store holds, and its limits.
    Stats,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Resolution {
    Done,
    DidNotRun,
}

/// Who runs the command and why, for the audit log of each message.
#[derive(Debug, Args)]
struct AuditArguments {
    /// Name of the operator, for the audit log.
    #[arg(id = "who", long = "who", env = "USER", default_value = "operator")]
    actor: String,
    /// Reason for the command, for the audit log. Required with `--as did-not-run`.
    #[arg(id = "why", long = "why", default_value = "")]
    reason: String,
}

/// Selects the messages that meet all given conditions.
#[derive(Debug, Args)]
struct Selection {
    /// Select the messages with these numbers.
    numbers: Vec<u64>,
    /// Allow a command that changes messages to apply to all of them, without any other condition.
    #[arg(long)]
    all: bool,
    /// Select messages to this destination.
    #[arg(long, value_name = "NUMBER")]
    destination: Option<u64>,
    /// Select messages of this class.
    #[arg(long)]
    class: Option<String>,
    /// Select messages that ended for this reason: time-up, no-repeat, attempts-used, turned-away or delivered.
    #[arg(long, value_parser = parse_reason_name)]
    reason: Option<String>,
    /// Select messages in this state: kept, ordered, out, delivered or settled.
    #[arg(long, value_parser = parse_state)]
    state: Option<State>,
    /// Select messages that were first accepted longer ago than this, such as 90s, 15m, 6h or 3d.
    #[arg(long, value_name = "AGE", value_parser = parse_age)]
    older_than: Option<i64>,
    /// Select messages that were first accepted no longer ago than this.
    #[arg(long, value_name = "AGE", value_parser = parse_age)]
    newer_than: Option<i64>,
    /// Select messages of which an attempt may have run (`yes`), or of which no attempt has run (`no`).
    #[arg(long, value_name = "YES/NO", value_parser = parse_yes_or_no)]
    may_have_run: Option<bool>,
}

fn parse_reason_name(text: &str) -> Result<String, String> {
    parse_reason(text)
        .map(|_| text.to_string())
        .ok_or_else(|| "no such reason".to_string())
}

fn parse_state(text: &str) -> Result<State, String> {
    State::parse(text).ok_or_else(|| "no such state".to_string())
}

fn parse_yes_or_no(text: &str) -> Result<bool, String> {
    match text {
        "yes" | "true" => Ok(true),
        "no" | "false" => Ok(false),
        _ => Err("yes or no".to_string()),
    }
}

/// Parses an age, a whole number with one of the units s, m, h and d, into microseconds.
fn parse_age(text: &str) -> Result<i64, String> {
    let expected_form = || "a number and one of s, m, h, d".to_string();
    let unit = text.chars().last().ok_or_else(expected_form)?;
    let seconds = match unit {
        's' => 1,
        'm' => 60,
        'h' => 3600,
        'd' => 86_400,
        _ => return Err(expected_form()),
    };
    let count: i64 = text[..text.len() - 1]
        .parse()
        .map_err(|_| expected_form())?;
    count
        .checked_mul(seconds * 1_000_000)
        .filter(|&age| age >= 0)
        .ok_or_else(expected_form)
}

impl Arguments {
    /// Builds the request for the command, or says what is wrong with its arguments.
    pub(super) fn request(&self) -> Result<Request, &'static str> {
        Ok(match &self.command {
            Command::List { selection, limit } => Request::List {
                filter: selection.filter(),
                limit: Some(*limit),
            },
            Command::Show { numbers, bodies } => Request::Records {
                filter: Filter {
                    numbers: numbers.clone(),
                    ..Filter::default()
                },
                bodies: *bodies,
            },
            Command::Export { selection } => Request::Records {
                filter: selection.filter(),
                bodies: true,
            },
            Command::Redrive {
                selection,
                dry_run,
                audit,
            } => Request::Redrive {
                filter: selection.filter_for_change()?,
                actor: audit.actor.clone(),
                reason: audit.reason.clone(),
                dry_run: *dry_run,
            },
            Command::Resolve {
                selection,
                how,
                audit,
            } => {
                let did_not_run = *how == Resolution::DidNotRun;
                if did_not_run && audit.reason.trim().is_empty() {
                    return Err(
                        "--as did-not-run needs --why: who at the destination said so, and how",
                    );
                }
                Request::Resolve {
                    filter: selection.filter_for_change()?,
                    did_not_run,
                    actor: audit.actor.clone(),
                    reason: audit.reason.clone(),
                }
            }
            Command::Stats => Request::Stats,
        })
    }

    /// Whether the output is JSON lines. An export is always in this format.
    pub(super) fn wants_json(&self) -> bool {
        self.format == Format::Json || matches!(self.command, Command::Export { .. })
    }
}

impl Selection {
    /// Converts the selection into a filter; ages become Unix times in microseconds.
    fn filter(&self) -> Filter {
        let ago = |age: i64| now().saturating_sub(age);
        Filter {
            numbers: self.numbers.clone(),
            destination: self.destination,
            class: self.class.clone(),
            reason: self.reason.clone(),
            state: self.state,
            before: self.older_than.map(ago),
            since: self.newer_than.map(ago),
            may_have_run: self.may_have_run,
        }
    }

    /// The filter of a command that changes messages. An empty selection is an error unless `--all` is given.
    fn filter_for_change(&self) -> Result<Filter, &'static str> {
        let filter = self.filter();
        if filter == Filter::default() && !self.all {
            return Err("which messages? Name numbers or a filter, or say --all");
        }
        Ok(filter)
    }
}

#[cfg(test)]
mod tests;
