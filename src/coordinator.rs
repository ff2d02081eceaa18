//! `milletturn coordinator`: one replica of the coordination service.

use crate::assemble::{block_on, run_until_sigterm};
use clap::Args;
use milletturn_coordinator::service::{self, Restore};
use milletturn_coordinator::settings::Settings;
use std::error::Error;
use std::path::PathBuf;

const SETTINGS_HELP: &str = r#"The file:
  group = "harbour"            # the same for all; guards against mixing two groups
  id = 1                       # each coordinator its own
  listen = "10.0.0.1:7301"
  state = "coordinator"        # folder of its disk, relative to this file
  lease = "9s"                 # a member without a heartbeat for so long loses what it owns
  clock_error = 0.02           # by which share two machines' clocks may run apart
  heartbeat = "200ms"          # the others elect a new leader after 5 to 10 without one
  [[steward]]                  # all coordinators of the group, this one too
  id = 1
  address = "10.0.0.1:7301""#;

/// Run one replica of the coordination service: which members have a session, who owns which resource, under which
/// fencing token.
///
/// Three coordinators go on without one, five without two. All talk plain HTTP without sign-in: keep them on loopback
/// or private addresses. A new group: `--found` once on each machine, then start all.
#[derive(Debug, Args)]
#[command(after_long_help = SETTINGS_HELP)]
pub(crate) struct Arguments {
    /// Its settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Make the disk of a coordinator of a new group, and end. Never for a coordinator that lost its disk: an empty one
    /// has forgotten its votes.
    #[arg(long)]
    found: bool,
    /// With --found: the group goes on from this backup, since its majority is gone for good. The same file for each
    /// coordinator. Every token of the lost group is rejected from then on.
    #[arg(long, value_name = "FILE", requires_all = ["found", "generation"])]
    restore: Option<PathBuf>,
    /// With --restore: higher than at any restore before, from 1 on; the same for each coordinator.
    #[arg(long, value_name = "NUMBER", requires = "restore")]
    generation: Option<u64>,
}

/// Runs a coordinator until SIGTERM. With `--found`, creates the state folder of a new coordinator instead and returns.
///
/// # Errors
/// If the settings or the backup can't be read, the state folder can't be created, or the service fails.
pub(crate) fn run(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let settings = Settings::read(&arguments.config)?;
    if arguments.found {
        let backup = arguments.restore.as_ref().map(std::fs::read).transpose()?;
        let restore = backup
            .as_deref()
            .zip(arguments.generation)
            .map(|(backup, generation)| Restore { backup, generation });
        let origin = service::bootstrap(&settings, restore)?.origin;
        let (id, group) = (settings.id, &settings.group);
        let folder = settings.state_folder.display();
        println!("coordinator {id} of {group}: its disk is in {folder}, first book {origin}");
        return Ok(());
    }
    let name = format!("coordinator {} of {}", settings.id, settings.group);
    block_on(run_until_sigterm(name, service::run(settings)))
}
