//! `milletturn session-proxy`: batches the heartbeats and commands of many members for the coordinators.

use crate::assemble::{block_on, run_until_sigterm};
use crate::config::{findings_count_text, report};
use crate::format::Format;
use crate::output;
use clap::Args;
use milletturn_session_proxy::{service, settings};
use std::error::Error;
use std::path::PathBuf;

const SETTINGS_HELP: &str = r#"The file:
  group = "harbour"                # as in the coordinators' files
  name = "relay-1"                 # shown in its log and its status
  listen = "10.0.0.9:7401"         # address for members
  stewards = ["10.0.0.1:7301", "10.0.0.2:7301", "10.0.0.3:7301"]   # all coordinators of the group
  gather = "100ms"                 # longest time for which heartbeats are batched
  places = 4096                    # maximum number of connections from members"#;

/// Batch the heartbeats and commands of many members for the coordinators.
///
/// Needed if more than about 1,000 members use one group of coordinators; a smaller group needs none. A session proxy
/// stores nothing, so it can be started, stopped and replaced at any time. It uses plain HTTP without authentication:
/// keep it on loopback or private addresses.
#[derive(Debug, Args)]
#[command(after_long_help = SETTINGS_HELP)]
pub(crate) struct Arguments {
    /// The session proxy's settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Check the settings file, and exit.
    #[arg(long)]
    check: bool,
}

/// Runs a session proxy until SIGTERM.
///
/// # Errors
/// If its file has findings, or it can't listen or handle signals.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let (mut document, settings) = settings::read(&arguments.config);
    if let Some(settings) = &settings {
        settings::reserve_descriptors(&mut document, settings);
    }
    let finding_count = report(std::slice::from_ref(&document), Format::Text);
    let Some(settings) = settings.filter(|_| finding_count == 0) else {
        return Err(format!(
            "{}: {}",
            arguments.config.display(),
            findings_count_text(finding_count)
        )
        .into());
    };
    if arguments.check {
        output::print_line(format_args!("{}: sound", arguments.config.display()))?;
        return Ok(());
    }
    let name = settings.log_name();
    block_on(run_until_sigterm(name, service::run(settings)))
}
