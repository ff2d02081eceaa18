//! `milletturn coordinator`: one replica of the coordination service.

use crate::assemble::{block_on, run_until_sigterm};
use clap::Args;
use milletturn_coordinator::service::{self, Restore};
use milletturn_coordinator::settings::Settings;
use std::error::Error;
use std::path::PathBuf;

const SETTINGS_HELP: &str = r#"The file:
  group = "harbour"            # the same for all coordinators; guards against mixing two groups
  id = 1                       # unique for each coordinator
  listen = "10.0.0.1:7301"
  state = "coordinator"        # state folder, relative to this file
  lease = "9s"                 # a member without a heartbeat for this time loses its resources
  clock_error = 0.02           # share by which the clock rates of two machines may differ
  heartbeat = "200ms"          # the others elect a new leader after 5 to 10 intervals without one
  [[steward]]                  # one table for each coordinator of the group, this one too
  id = 1
  address = "10.0.0.1:7301""#;

/// Run one replica of the coordination service: which members have a session, who owns which resource, under which
/// fencing token.
///
/// A group of three coordinators tolerates the failure of one, a group of five that of two. They communicate over plain
/// HTTP without authentication: keep them on loopback or private addresses. To create a new group, run with `--found`
/// once on each machine, then start all coordinators.
#[derive(Debug, Args)]
#[command(after_long_help = SETTINGS_HELP)]
pub(crate) struct Arguments {
    /// The coordinator's settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Create the state folder of a coordinator of a new group, and exit. Never use this for a coordinator that has
    /// lost its disk: an empty state folder lacks the votes that the coordinator has cast.
    #[arg(long)]
    found: bool,
    /// With --found: restore the group from this backup, after the permanent loss of its majority. Use the same file
    /// for each coordinator. Every fencing token of the lost group is rejected from then on.
    #[arg(long, value_name = "FILE", requires_all = ["found", "generation"])]
    restore: Option<PathBuf>,
    /// With --restore: the generation of the restored group, at least 1 and higher than at any earlier restore. Use the
    /// same number for each coordinator.
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
