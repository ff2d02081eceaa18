//! Command line of the scale measurements.

use clap::{Parser, Subcommand};
use milletturn_scale::{fleet, page, roles};
use std::process::ExitCode;

/// What each role costs by its size, and control of a fleet at that size. A command of the repository, not of the
/// product's users.
#[derive(Debug, Parser)]
#[command(name = "milletturn-scale", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Slopes of control by senders, destinations and rate of changes.
    Fleet(fleet::Slopes),
    /// Slopes of control behind relays, and a relay killed.
    Relays(fleet::Relayed),
    /// Faults at size.
    Faults(fleet::Faults),
    /// A process of hollow senders, which obeys orders on its standard input.
    #[command(hide = true)]
    Hollow,
    /// Slopes of a single sender's parts.
    Roles(roles::Words),
    /// Tables of docs/CAPACITY.md from docs/capacity.
    Page(page::Words),
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Fleet(words) => fleet::run(&words),
        Command::Relays(words) => fleet::relays(&words),
        Command::Faults(words) => fleet::faults(&words),
        Command::Hollow => fleet::hollow::run(),
        Command::Roles(words) => roles::run(&words),
        Command::Page(words) => page::run(&words),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("milletturn-scale: {error}");
            ExitCode::FAILURE
        }
    }
}
