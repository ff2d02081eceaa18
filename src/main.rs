//! The program `milletturn`: parses the command line and runs the chosen command, or the platform's sender without one.

mod access_log;
mod assemble;
mod columns;
mod config;
mod coordinator;
mod dead_letter;
mod demo;
mod fleet;
mod format;
mod logger;
mod operators;
mod output;
mod persistent_clock;
mod run;
mod session_proxy;
mod sidecar;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// Delivers webhooks: accepts messages from clients over HTTP, calls the endpoints of their destinations with retries
/// and hedged requests until the first success, and notifies the platform of messages that can't be delivered.
///
/// Without a command it runs as the platform's sender, configured by RELAY_CONFIG (a JSON file) and RELAY_STATE (the
/// state folder, which must survive restarts). RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY and RELAY_MANAGEMENT override
/// values in the file.
#[derive(Debug, Parser)]
#[command(name = "milletturn", version)]
struct Arguments {
    /// Store undelivered messages in a dead-letter store with the settings in this TOML file (see
    /// deploy/undelivered.toml). Without it, the platform is notified of failed messages, and they are not stored
    /// (formerly `--undelivered`).
    #[arg(
        long = "dead-letters",
        alias = "undelivered",
        value_name = "FILE",
        env = "MILLETTURN_UNDELIVERED",
        global = true
    )]
    store_file: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// List, show, export, resolve and redrive dead letters: messages that could not be delivered (formerly
    /// `undelivered`).
    #[command(alias = "undelivered")]
    DeadLetter(dead_letter::Arguments),
    /// Run as a sidecar of an application, without the platform.
    Sidecar {
        /// The sidecar's configuration (TOML); `milletturn config new` prints a new one.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Run a sidecar to try it out, with a built-in endpoint, on this machine's loopback address.
    Demo {
        /// Deliver one message, print its final outcome, and exit.
        #[arg(long)]
        once: bool,
    },
    /// Summarize the access logs of all senders by destination and interval (formerly `account`).
    #[command(alias = "account")]
    AccessLog(access_log::Arguments),
    /// Run one replica of the coordination service, together with the other coordinators of the group.
    #[command(alias = "steward")]
    Coordinator(coordinator::Arguments),
    /// Batch the heartbeats and commands of many members for the coordinators.
    #[command(alias = "relay")]
    SessionProxy(session_proxy::Arguments),
    /// Show the coordinators, members and leased resources of a group, and change who owns a resource.
    Fleet(fleet::Arguments),
    /// Write, check, show and explain configurations of sidecars.
    Config(config::Arguments),
}

fn main() -> ExitCode {
    let Arguments {
        store_file,
        command,
    } = Arguments::parse();
    match command {
        Some(Command::DeadLetter(arguments)) => dead_letter::run(&arguments, store_file.as_deref()),
        Some(Command::AccessLog(arguments)) => access_log::run(&arguments),
        Some(Command::Config(arguments)) => config::run(&arguments),
        Some(Command::Coordinator(arguments)) => into_exit_code(coordinator::run(&arguments)),
        Some(Command::SessionProxy(arguments)) => into_exit_code(session_proxy::run(&arguments)),
        Some(Command::Fleet(arguments)) => fleet::run(&arguments),
        Some(Command::Demo { once }) => into_exit_code(demo::run(once)),
        Some(Command::Sidecar { config }) => into_exit_code(sidecar::run(&config)),
        None => into_exit_code(run::run(store_file.as_deref())),
    }
}

/// Converts the result of a command to its exit code, and prints its error on standard error.
fn into_exit_code(result: Result<(), Box<dyn std::error::Error>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("milletturn: {error}");
            ExitCode::FAILURE
        }
    }
}
