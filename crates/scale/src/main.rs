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
    Fleet(fleet::ScalingArgs),
    /// Slopes of control behind relays, and a relay killed.
    #[command(name = "relays")]
    SessionProxies(fleet::ProxiedArgs),
    /// Faults at size.
    Faults(fleet::FaultArgs),
    /// A process of hollow senders, which obeys orders on its standard input.
    #[command(name = "hollow", hide = true)]
    SimulatedSenders,
    /// Slopes of a single sender's parts.
    Roles(roles::RolesArgs),
    /// Tables of docs/CAPACITY.md from docs/capacity.
    Page(page::PageArgs),
}

fn main() -> ExitCode {
    let outcome = match Arguments::parse().command {
        Command::Fleet(arguments) => fleet::run(&arguments),
        Command::SessionProxies(arguments) => fleet::session_proxies(&arguments),
        Command::Faults(arguments) => fleet::faults(&arguments),
        Command::SimulatedSenders => fleet::simulated_senders::run(),
        Command::Roles(arguments) => roles::run(&arguments),
        Command::Page(arguments) => page::run(&arguments),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("milletturn-scale: {error}");
            ExitCode::FAILURE
        }
    }
}
