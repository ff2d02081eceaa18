//! The command line.

mod logger;
mod run;
mod timekeeper;
mod undelivered;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Delivers webhooks: takes messages from clients over HTTP, calls their destinations' endpoints with staggered
/// copies until the first success, and tells the platform what can't be delivered.
///
/// With no command it runs as the platform's sender, configured by RELAY_CONFIG (a JSON file), RELAY_STATE (the
/// folder that outlasts its processes) and, before what stands in the file, RELAY_NAME, RELAY_LISTEN and
/// RELAY_DISCOVERY.
#[derive(Debug, Parser)]
#[command(name = "milletturn", version)]
struct Arguments {
    /// Keep what could not be delivered, as this TOML file says (see deploy/undelivered.toml). Without it, failed
    /// messages are told to the platform and forgotten.
    #[arg(long, value_name = "FILE", env = "MILLETTURN_UNDELIVERED", global = true)]
    undelivered: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Look at what could not be delivered, settle it, or send it again.
    Undelivered(undelivered::Arguments),
}

fn main() -> ExitCode {
    let Arguments { undelivered, command } = Arguments::parse();
    match command {
        Some(Command::Undelivered(arguments)) => undelivered::run(&arguments, undelivered.as_deref()),
        None => match run::run(undelivered.as_deref()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("milletturn: {error}");
                ExitCode::FAILURE
            }
        },
    }
}
