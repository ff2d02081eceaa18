//! `milletturn fleet hold`: owns a resource while the command runs.

use super::{CommandError, Group};
use crate::assemble::Signals;
use crate::format::Format;
use crate::output;
use clap::Args;
use milletturn_coordination::MemberInfo;
use milletturn_member::{CoordinatorClient, Member, MemberEvent, WriteOutcome, WriteStarted};
use serde_json::{Value, json};
use std::fmt::Display;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{MissedTickBehavior, interval};

/// Own a resource while this command runs, so that no other member owns it: to inspect the resource, or to do its
/// owner's work by hand. At intervals, a fenced write verifies that the command still owns the resource; it rewrites
/// the previous owner's checkpoint unchanged for the next owner. On SIGTERM the command releases the resource and
/// exits.
#[derive(Debug, Args)]
pub(super) struct Arguments {
    /// The resource's name.
    resource: String,
    /// The name of this command as a member of the group. It must differ from the names of all other members.
    #[arg(long, value_name = "NAME")]
    name: String,
    /// The address of a session proxy through which the coordinators are reached. Repeat the option for each proxy.
    #[arg(long, alias = "relay", value_name = "ADDRESS")]
    session_proxy: Vec<String>,
    /// Interval between two fenced writes, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = 1_000, value_parser = clap::value_parser!(u64).range(10..))]
    every: u64,
    /// The share by which the clock rates of this machine and a coordinator may differ, from 0 to 0.5. Must be
    /// the value in the coordinators' settings.
    #[arg(long, default_value_t = 0.02)]
    clock_error: f64,
}

/// Owns the resource until SIGTERM, then releases it. Continues when the reader of standard output closes the pipe.
///
/// # Errors
/// If `--clock-error` is out of range, or signal handlers can't be installed.
pub(super) async fn run(
    arguments: &Arguments,
    group: &Group,
    format: Format,
) -> Result<(), CommandError> {
    if !(0.0..=0.5).contains(&arguments.clock_error) {
        let why = "--clock-error must be a share from 0 to 0.5";
        return Err(CommandError::Usage(why.to_string()));
    }
    let mut signals = Signals::new().map_err(CommandError::Signals)?;
    let client = || match &arguments.session_proxy[..] {
        [] => CoordinatorClient::new(&group.name, &group.addresses),
        proxies => CoordinatorClient::via_proxies(&group.name, proxies, &arguments.name),
    };
    let (member, mut events) = create_member(arguments);
    let session = {
        let (member, client) = (member.clone(), client());
        tokio::task::spawn_local(async move {
            member.maintain_session(client, seed()).await;
        })
    };
    let mut writer = client();
    let mut ticks = interval(Duration::from_millis(arguments.every));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = signals.wait_for_sigterm() => break,
            Some(event) = events.recv() => print_event(&event, format),
            _ = ticks.tick() => {
                // rewrites the previous owner's checkpoint unchanged, so that the next owner finds it
                let checkpoint = member.checkpoint(&arguments.resource).unwrap_or_default();
                let outcome = member.write_fenced(&mut writer, &arguments.resource, &checkpoint).await;
                print_outcome(&outcome, format);
            }
        }
    }
    member.close_session(&mut writer).await;
    session.abort();
    Ok(())
}

/// Creates the group member that represents this command, and the receiver of its events.
fn create_member(arguments: &Arguments) -> (Rc<Member>, UnboundedReceiver<MemberEvent>) {
    let info = MemberInfo {
        name: arguments.name.clone(),
        zone: String::new(),
        version: env!("CARGO_PKG_VERSION").to_string(),
        role: "operator".to_string(),
    };
    let clock_error_ppm = (arguments.clock_error * 1e6) as u32;
    Member::new(info, clock_error_ppm, [arguments.resource.clone()])
}

/// A seed for random numbers that differs between processes: the Unix time in nanoseconds and the process id.
fn seed() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanos = since_epoch.unwrap_or_default().as_nanos() as u64;
    nanos ^ u64::from(std::process::id())
}

fn print_event(event: &MemberEvent, format: Format) {
    match format {
        Format::Json => print(&event_json(event)),
        Format::Text => {
            if let Some(text) = event_text(event) {
                print(&text);
            }
        }
    }
}

/// Formats an event as JSON, with the key names that scripts read.
fn event_json(event: &MemberEvent) -> Value {
    match event {
        MemberEvent::SessionOpened(session) => json!({"joined": session}),
        MemberEvent::SessionEnded(session) => json!({"left": session}),
        MemberEvent::Acquired { resource, token } => json!({"owned": resource, "term": token}),
        MemberEvent::Lost { resource, token } => json!({"lost": resource, "term": token}),
        MemberEvent::WriteStarted(WriteStarted {
            token,
            number,
            checked_at,
            safe_until,
        }) => {
            json!({"acting": number, "under": token, "at_us": checked_at.0, "last_safe_us": safe_until.0})
        }
        MemberEvent::Rejected(rejection) => {
            json!({"refused": rejection, "why": rejection.to_string()})
        }
        MemberEvent::Disconnected(why) => json!({"alone": why}),
        MemberEvent::Reconnected => json!({"found": true}),
    }
}

/// Formats an event for people. `None` for a started write, because writes are frequent and the coordinators count
/// them.
fn event_text(event: &MemberEvent) -> Option<String> {
    Some(match event {
        MemberEvent::SessionOpened(session) => format!("joined, session {session}"),
        MemberEvent::SessionEnded(session) => format!("session {session} is over"),
        MemberEvent::Acquired { resource, token } => format!("owns {resource}, term {token}"),
        MemberEvent::Lost { resource, token } => {
            format!("{resource} is lost, term {token} is over")
        }
        MemberEvent::WriteStarted(_) => return None,
        MemberEvent::Rejected(rejection) => rejection.to_string(),
        MemberEvent::Disconnected(why) => format!("the coordinators don't answer: {why}"),
        MemberEvent::Reconnected => "the coordinators answer again".to_string(),
    })
}

/// Prints the outcome of a write, in the JSON format only.
fn print_outcome(outcome: &WriteOutcome, format: Format) {
    let value = match outcome {
        WriteOutcome::Done { token, number } => json!({"acted": number, "term": token}),
        WriteOutcome::Rejected(rejection) => {
            json!({"refused": rejection, "why": rejection.to_string()})
        }
        WriteOutcome::Unknown(error) => json!({"unknown": error.message}),
        WriteOutcome::NotOwner => return,
    };
    if format == Format::Json {
        print(&value);
    }
}

/// Prints a line and ignores errors: the resource stays owned even if standard output can't be written.
fn print(line: &impl Display) {
    let _ = output::print_line(line);
}
