//! `milletturn fleet`: shows the coordinators, members and resources of a group, and changes who owns a resource.

mod hold;
mod table;

use crate::assemble::block_on;
use crate::format::Format;
use crate::output;
use clap::{Args, Subcommand};
use milletturn_coordination::{Command as LogCommand, CommandOutcome};
use milletturn_coordination_protocol::Client;
use milletturn_coordination_protocol::messages::{
    BACKUP_PATH, Backup, CoordinatorStatus, STATE_PATH, STATUS_PATH, StateView,
};
use milletturn_coordinator::settings::{Settings, SettingsError};
use milletturn_member::{CoordinatorClient, RequestError};
use serde_json::json;
use std::fmt::Display;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum wait for the status of one coordinator.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Show the coordinators, members and leased resources of a group, and change who owns a resource.
///
/// Exit codes: 0 done; 1 the command was rejected, or the resource does not exist or has no owner; 2 an argument or a
/// file is invalid; 3 no majority of the coordinators responds.
#[derive(Debug, Args)]
pub(crate) struct Arguments {
    /// A coordinator's settings file, from which the group's name and the coordinators' addresses are taken.
    #[arg(long, value_name = "FILE", global = true, conflicts_with_all = ["group", "coordinator"])]
    config: Option<PathBuf>,
    /// The group's name, if no file is given.
    #[arg(long, value_name = "NAME", global = true, requires = "coordinator")]
    group: Option<String>,
    /// The address of a coordinator, if no file is given. Repeat the option for each coordinator.
    #[arg(
        long,
        alias = "steward",
        value_name = "ADDRESS",
        global = true,
        requires = "group"
    )]
    coordinator: Vec<String>,
    /// The output: text for people, or JSON for programs.
    #[arg(long, value_enum, default_value_t = Format::Text, global = true)]
    format: Format,
    /// Longest wait for the coordinators, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 10, global = true)]
    wait: u64,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Show the status that each coordinator reports: role, leader, last applied log entry. Needs no majority.
    Status,
    /// Show the members with an open session: zone, version and role.
    Members,
    /// Show each resource with its owner and fencing token, and the latest events.
    #[command(alias = "work")]
    Resources {
        /// Only this resource.
        name: Option<String>,
    },
    /// Revoke a resource from its owner, whose writes are rejected from then on. Another member may then acquire it.
    #[command(alias = "release-work")]
    Revoke {
        /// The resource's name.
        name: String,
    },
    /// Write the whole replicated state to a file, for `milletturn coordinator --found --restore`.
    Backup {
        /// The file to write.
        file: PathBuf,
    },
    /// Own a resource while this command runs, so that no other member owns it.
    Hold(hold::Arguments),
}

/// The group that a command acts on, and the addresses of its coordinators.
struct Group {
    name: String,
    addresses: Vec<String>,
}

/// Why a command failed; determines the exit code.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The coordinators rejected the command, or the named resource doesn't exist or has no owner: exit code 1.
    #[error("{0}")]
    Rejected(String),
    /// No majority of the coordinators responds: exit code 3.
    #[error(
        "{0}. Delivery does not need the coordinators; resources can't be acquired or written until a majority of them responds"
    )]
    Unanswered(String),
    /// The command line is wrong: exit code 2.
    #[error("{0}")]
    Usage(String),
    /// A coordinator's settings file can't be used: exit code 2.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Signal handlers can't be installed: exit code 2.
    #[error("signals: {0}")]
    Signals(#[source] std::io::Error),
    /// Standard output can't be written: exit code 2.
    #[error("standard output: {0}")]
    Output(#[source] std::io::Error),
    /// The backup file can't be written: exit code 2.
    #[error("{path}: {source}", path = .path.display())]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
}

/// Runs a command and prints its error. Scripts rely on the exit code.
pub(crate) fn run(arguments: &Arguments) -> ExitCode {
    let ended = block_on(async { Ok(run_command(arguments).await) });
    match ended {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => {
            eprintln!("milletturn: {error}");
            error.exit_code()
        }
        Err(error) => {
            eprintln!("milletturn: {error}");
            ExitCode::from(2)
        }
    }
}

impl CommandError {
    fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CommandError::Rejected(_) => 1,
            CommandError::Unanswered(_) => 3,
            CommandError::Usage(_)
            | CommandError::Settings(_)
            | CommandError::Signals(_)
            | CommandError::Output(_)
            | CommandError::File { .. } => 2,
        })
    }
}

impl From<RequestError> for CommandError {
    fn from(error: RequestError) -> Self {
        CommandError::Unanswered(error.to_string())
    }
}

impl Group {
    /// Determines the group from the command line: from a coordinator's settings file, or from a name and addresses.
    fn from_arguments(arguments: &Arguments) -> Result<Self, CommandError> {
        if let Some(name) = &arguments.group {
            return Ok(Group {
                name: name.clone(),
                addresses: arguments.coordinator.clone(),
            });
        }
        let Some(path) = &arguments.config else {
            let why =
                "no group given: use --config FILE, or --group NAME with --coordinator ADDRESS";
            return Err(CommandError::Usage(why.to_string()));
        };
        let settings = Settings::read(path)?;
        Ok(Group {
            name: settings.group,
            addresses: settings.replicas.into_values().collect(),
        })
    }
}

async fn run_command(arguments: &Arguments) -> Result<(), CommandError> {
    let group = Group::from_arguments(arguments)?;
    let timeout = Duration::from_secs(arguments.wait);
    let format = arguments.format;
    let mut client = CoordinatorClient::new(&group.name, &group.addresses);
    match &arguments.command {
        Command::Status => print_status(&group, timeout, format).await,
        Command::Members => print_members(&fetch_state(&mut client, timeout).await?, format),
        Command::Resources { name } => {
            let state = fetch_state(&mut client, timeout).await?;
            print_resources(&state, name.as_deref(), format)
        }
        Command::Revoke { name } => revoke(&mut client, name, timeout, format).await,
        Command::Backup { file } => backup(&mut client, file, timeout).await,
        Command::Hold(arguments) => hold::run(arguments, &group, format).await,
    }
}

/// Fetches the current replicated state; needs a majority of the coordinators.
async fn fetch_state(
    client: &mut CoordinatorClient,
    timeout: Duration,
) -> Result<StateView, CommandError> {
    Ok(client
        .request(STATE_PATH, None::<&()>, Instant::now() + timeout)
        .await?)
}

/// Prints each item as a line. It is not an error if the reader closes standard output early.
fn print_lines(lines: impl IntoIterator<Item: Display>) -> Result<(), CommandError> {
    output::print_lines(lines).map_err(CommandError::Output)?;
    Ok(())
}

/// Prints a formatted table. It is not an error if the reader closes standard output early.
fn print_table(text: &str) -> Result<(), CommandError> {
    output::print(text).map_err(CommandError::Output)?;
    Ok(())
}

/// Prints the status of each coordinator; an error if none of them is the leader.
async fn print_status(
    group: &Group,
    timeout: Duration,
    format: Format,
) -> Result<(), CommandError> {
    let mut replies = Vec::new();
    for address in &group.addresses {
        let mut client = Client::new(address, &group.name);
        // each coordinator gets a request and a timeout of its own, so that one that doesn't respond does not use up
        // the time for the others
        let timeout = timeout.min(STATUS_TIMEOUT);
        let status = match client
            .call::<CoordinatorStatus>(STATUS_PATH, None::<&()>, timeout)
            .await
        {
            Ok(reply) => reply.result.map_err(|error| error.message),
            Err(error) => Err(error.to_string()),
        };
        replies.push((address.clone(), status));
    }
    match format {
        Format::Json => print_lines(replies.iter().map(|(address, status)| match status {
            Ok(status) => json!({"address": address, "status": status}),
            Err(why) => json!({"address": address, "error": why}),
        }))?,
        Format::Text => print_table(&table::status(&replies))?,
    }
    let mut known = replies.iter().flat_map(|(_, status)| status);
    if known.any(|status| status.role == "leader") {
        Ok(())
    } else {
        Err(CommandError::Unanswered(
            "none of the coordinators that answer is the leader".to_string(),
        ))
    }
}

/// Prints the members with an open session.
fn print_members(state: &StateView, format: Format) -> Result<(), CommandError> {
    if format == Format::Text {
        return print_table(&table::members(state));
    }
    print_lines(state.sessions.iter().map(|(session, member)| {
        json!({"session": session, "about": member.member, "lease_us": member.lease})
    }))
}

/// Prints the resources and the latest events, of all resources or of the named one.
fn print_resources(
    state: &StateView,
    name: Option<&str>,
    format: Format,
) -> Result<(), CommandError> {
    let is_selected = |resource: &str| name.is_none_or(|name| name == resource);
    if let Some(name) = name
        && !state.resources.contains_key(name)
    {
        let why = format!("no resource {name:?} has ever been owned here");
        return Err(CommandError::Rejected(why));
    }
    if format == Format::Text {
        return print_table(&table::resources(state, is_selected));
    }
    let selected = state.resources.iter().filter(|(name, _)| is_selected(name));
    let resources = selected.map(|(name, resource)| {
        let owner = resource.owner.and_then(|owner| state.sessions.get(&owner));
        let owner = owner.map(|member| &member.member.name);
        json!({"work": name, "term": resource.token, "owner": owner, "acts": resource.writes})
    });
    let events = state
        .history
        .iter()
        .filter(|event| is_selected(&event.resource));
    print_lines(resources.chain(events.map(|event| json!({"event": event}))))
}

/// Fetches the replicated state and writes it to a file.
async fn backup(
    client: &mut CoordinatorClient,
    file: &Path,
    timeout: Duration,
) -> Result<(), CommandError> {
    let backup = client
        .request::<Backup>(BACKUP_PATH, None::<&()>, Instant::now() + timeout)
        .await?;
    write_durably(file, &backup).map_err(|source| CommandError::File {
        path: file.to_path_buf(),
        source,
    })?;
    let generation = backup.state.generation();
    eprintln!("{}: generation {generation}", file.display());
    Ok(())
}

/// Writes a backup to a temporary file and renames it, so that an earlier backup is replaced only once the new one is
/// complete and synced to disk.
fn write_durably(file: &Path, backup: &Backup) -> std::io::Result<()> {
    let new = file.with_extension("new");
    let mut written = std::fs::File::create(&new)?;
    serde_json::to_writer(&written, backup)?;
    written.flush()?;
    written.sync_all()?;
    std::fs::rename(&new, file)
}

/// Revokes a resource from its current owner.
async fn revoke(
    client: &mut CoordinatorClient,
    name: &str,
    timeout: Duration,
    format: Format,
) -> Result<(), CommandError> {
    let state = fetch_state(client, timeout).await?;
    let Some(resource) = state
        .resources
        .get(name)
        .filter(|resource| resource.owner.is_some())
    else {
        return Err(CommandError::Rejected(format!("nobody owns {name:?}")));
    };
    let token = resource.token;
    let command = LogCommand::Revoke {
        resource: name.to_string(),
        token,
    };
    if let CommandOutcome::Rejected(rejection) =
        client.submit(&command, Instant::now() + timeout).await?
    {
        return Err(CommandError::Rejected(rejection.to_string()));
    }
    print_lines([match format {
        Format::Json => json!({"freed": name, "term": token}).to_string(),
        Format::Text => format!("{name}: term {token} is over"),
    }])
}
