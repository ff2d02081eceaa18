//! Command line of the scale measurements.

use clap::{Parser, Subcommand};
use milletturn_scale::{fleet, page, roles};
use std::process::ExitCode;

/// Measures how the cost of each role grows with its size, and how coordination and discovery behave with a large
/// fleet. For work on this repository; not part of the product.
#[derive(Debug, Parser)]
#[command(name = "milletturn-scale", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measure the cost of coordination and of the endpoint list by senders, destinations and rate of changes.
    Fleet(fleet::ScalingArgs),
    /// Measure the load of coordinators and session proxies by sessions, and the failure of a session proxy.
    #[command(name = "relays")]
    SessionProxies(fleet::ProxiedArgs),
    /// Run fault scenarios against a whole fleet.
    Faults(fleet::FaultArgs),
    /// Run simulated senders that are controlled by JSON lines on standard input.
    #[command(name = "hollow", hide = true)]
    SimulatedSenders,
    /// Measure how the cost of each part of a single sender grows with size.
    Roles(roles::RolesArgs),
    /// Generate the tables of docs/CAPACITY.md from the records in docs/capacity.
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
