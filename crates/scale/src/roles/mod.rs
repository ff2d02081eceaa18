//! `milletturn-scale roles`: measures how the cost of each part of a single sender grows with size, using the real
//! code.
//!
//! Each size is measured in a separate process, so that memory left over from the previous size does not count. CPU
//! time is measured rather than wall-clock time, because load on the machine makes a run slower but does not increase
//! its CPU time. Quantities that need wall-clock time, such as the time until a sender is ready, have names of their
//! own (`ready`, `wall`, `stall`). Every point records the load average of the machine.

mod catalog;
mod journal;
mod list;
mod path;
mod probe;
mod program;
mod store;
mod turn;

use crate::Error;
use crate::figures::{self, Fit, Head, Point, Record};
use crate::fit::{Form, fit};
use clap::Args;
use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{SystemTime, UNIX_EPOCH};

/// Arguments of `roles`.
#[derive(Debug, Clone, Args)]
pub struct RolesArgs {
    /// The `milletturn` program to measure; by default the one in this program's folder.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Results file to write (JSON lines).
    #[arg(long, default_value = "docs/capacity/roles.jsonl")]
    out: PathBuf,
    /// Runs only measurements whose name begins with this text.
    #[arg(long)]
    only: Option<String>,
    /// Skips sizes above this fraction of each measurement's largest size.
    #[arg(long, default_value_t = 1.0)]
    most: f64,
    /// Internal: runs one measurement at one size and prints its points to standard output.
    #[arg(long, hide = true)]
    one: Option<String>,
    /// Internal: the size for `--one`.
    #[arg(long, hide = true, default_value_t = 0)]
    at: u64,
    /// Internal: the folder for files that the measurement with `--one` creates.
    #[arg(long, hide = true)]
    folder: Option<PathBuf>,
}

/// Input of one measurement.
pub(crate) struct MeasurementContext {
    /// Value on the measurement's axis, such as the number of destinations or messages.
    pub size: u64,
    /// Path of the sender executable.
    pub program: PathBuf,
    /// Folder for files that the calling measurement reads afterwards; `None` uses a temporary folder.
    pub folder: Option<PathBuf>,
}

type MeasureFn = fn(&MeasurementContext) -> Result<Vec<Point>, Error>;

/// A named measurement and the sizes at which it runs.
struct Measurement {
    name: &'static str,
    sizes: &'static [u64],
    measure: MeasureFn,
}

const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        name: "list.engine",
        sizes: &[1_000, 5_000, 17_000, 60_000, 170_000, 600_000, 1_700_000],
        measure: list::engine,
    },
    Measurement {
        name: "list.file",
        sizes: &[1_000, 5_000, 17_000, 60_000, 170_000, 300_000],
        measure: list::file,
    },
    Measurement {
        name: "list.watch",
        sizes: &[100, 300, 1_000, 2_000, 4_000, 6_000],
        measure: list::watch,
    },
    Measurement {
        name: "list.bounds",
        sizes: &[0],
        measure: list::bounds,
    },
    Measurement {
        name: "destination.used",
        sizes: &[300, 1_000, 3_000, 10_000, 30_000, 100_000],
        measure: turn::called_destinations,
    },
    Measurement {
        name: "journal.write",
        sizes: &[1_000, 5_000, 15_000, 50_000, 150_000, 500_000, 1_500_000],
        measure: journal::write,
    },
    Measurement {
        name: "journal.open",
        sizes: &[1_000, 5_000, 15_000, 50_000, 150_000, 500_000, 1_500_000],
        measure: journal::open,
    },
    Measurement {
        name: "journal.body",
        sizes: &[64, 256, 1_024, 2_048, 8_192, 16_384],
        measure: journal::body,
    },
    Measurement {
        name: "journal.compact",
        sizes: &[3_000, 15_000, 50_000, 150_000, 500_000, 1_500_000],
        measure: journal::compact,
    },
    Measurement {
        name: "restart",
        sizes: &[1_000, 5_000, 15_000, 50_000, 150_000, 500_000, 1_500_000],
        measure: journal::restart,
    },
    Measurement {
        name: "path.rate",
        sizes: &[50, 100, 288, 600, 1_200, 2_400],
        measure: path::rate,
    },
    Measurement {
        name: "path.sockets",
        sizes: &[10, 30, 106, 200, 400, 800],
        measure: path::sockets,
    },
    Measurement {
        name: "turn.calls",
        sizes: &[10, 100, 500, 1_000, 2_000, 4_000],
        measure: turn::calls,
    },
    Measurement {
        name: "turn.held",
        sizes: &[100, 1_000, 10_000, 30_000, 100_000, 300_000],
        measure: turn::pending_messages,
    },
    Measurement {
        name: "undelivered",
        sizes: &[1_000, 3_000, 10_000, 30_000, 60_000, 100_000],
        measure: store::store,
    },
    Measurement {
        name: "figures.destinations",
        sizes: &[1_000, 3_000, 10_000, 30_000, 100_000, 300_000],
        measure: list::metrics_by_destination,
    },
    Measurement {
        name: "catalog.assign",
        sizes: &[250, 500, 1_000, 2_000, 4_000, 8_000, 16_000],
        measure: catalog::assign,
    },
    Measurement {
        name: "catalog.holder",
        sizes: &[106, 319, 1_000, 5_000, 17_000, 170_000, 1_700_000],
        measure: catalog::replica,
    },
    Measurement {
        name: "catalog.missed",
        sizes: &[0, 20, 200, 2_000, 20_000],
        measure: catalog::missed,
    },
    Measurement {
        name: "figures.classes",
        sizes: &[1, 4, 16, 64, 128, 256],
        measure: turn::metrics_by_class,
    },
];

/// Builds a [`Point`] without additional fields.
pub(crate) fn point(
    role: &str,
    quantity: &str,
    unit: &str,
    axis: &str,
    at: u64,
    value: f64,
) -> Point {
    let (role, quantity, unit, axis) = (role.into(), quantity.into(), unit.into(), axis.into());
    Point {
        role,
        quantity,
        unit,
        axis,
        at: at as f64,
        value,
        other: Default::default(),
    }
}

/// Runs the selected measurements and writes their points and fitted lines to the output file.
///
/// # Errors
/// The head record cannot be built, because `git` or `date` cannot be run or `/proc` cannot be read, or the output file
/// cannot be written; with `--one`, the measurement fails. Without `--one`, a size that fails is reported on standard
/// error and left out.
pub fn run(arguments: &RolesArgs) -> Result<(), Error> {
    let program = match &arguments.program {
        Some(program) => program.clone(),
        None => std::env::current_exe()
            .map_err(Error::io("this program"))?
            .with_file_name("milletturn"),
    };
    if let Some(name) = &arguments.one {
        let measurement = MEASUREMENTS
            .iter()
            .find(|measurement| measurement.name == name);
        let measurement =
            measurement.ok_or_else(|| Error::Unexpected(format!("unknown measurement {name}")))?;
        let points = (measurement.measure)(&MeasurementContext {
            size: arguments.at,
            program,
            folder: arguments.folder.clone(),
        })?;
        let text =
            serde_json::to_string(&points).map_err(|error| Error::Unexpected(error.to_string()))?;
        println!("{text}");
        return Ok(());
    }
    let mut records = vec![Record::Head(head(arguments)?)];
    let mut points = Vec::new();
    for measurement in MEASUREMENTS.iter().filter(|measurement| {
        arguments
            .only
            .as_ref()
            .is_none_or(|prefix| measurement.name.starts_with(prefix))
    }) {
        let max_size = measurement.sizes.iter().max().copied().unwrap_or(0) as f64 * arguments.most;
        for &at in measurement
            .sizes
            .iter()
            .filter(|&&at| at as f64 <= max_size)
        {
            match measure_in_subprocess(measurement.name, at, &program, None) {
                Ok(found) => points.extend(found),
                // the points of the other sizes are kept when one size cannot be measured
                Err(error) => eprintln!("{} failed at size {at}: {error}", measurement.name),
            }
        }
    }
    for point in &points {
        eprintln!(
            "{:<20} {:<12} {:>10} {:>16.9} {}",
            point.role, point.quantity, point.at, point.value, point.unit
        );
    }
    records.extend(points.iter().cloned().map(Record::Point));
    records.extend(fits(&points).into_iter().map(Record::Fit));
    figures::write(&arguments.out, &records)
}

/// Runs one measurement in a separate process and adds the load average from before its start to each point.
pub(crate) fn measure_in_subprocess(
    name: &str,
    at: u64,
    program: &Path,
    folder: Option<&Path>,
) -> Result<Vec<Point>, Error> {
    let load = probe::load()?[0];
    let this = std::env::current_exe().map_err(Error::io("this program"))?;
    let output = Command::new(this)
        .args(["roles", "--one", name, "--at", &at.to_string(), "--program"])
        .arg(program)
        .args(
            folder
                .iter()
                .flat_map(|folder| [OsStr::new("--folder"), folder.as_os_str()]),
        )
        .stderr(Stdio::inherit())
        .output()
        .map_err(Error::io(name))?;
    if !output.status.success() {
        return Err(Error::Unexpected(format!(
            "measurement process exited with {}",
            output.status
        )));
    }
    let mut points: Vec<Point> = serde_json::from_slice(&output.stdout)
        .map_err(|error| Error::Unexpected(error.to_string()))?;
    for point in &mut points {
        point.other.insert("load".into(), load.into());
    }
    Ok(points)
}

fn head(arguments: &RolesArgs) -> Result<Head, Error> {
    let stdout_of = |program: &str, arguments: &[&str]| -> Result<String, Error> {
        let output = Command::new(program)
            .args(arguments)
            .output()
            .map_err(Error::io(program))?;
        Ok(String::from_utf8_lossy(&output.stdout).trim().to_string())
    };
    let mut command = "milletturn-scale roles".to_string();
    if let Some(only) = &arguments.only {
        command.push_str(&format!(" --only {only}"));
    }
    if arguments.most < 1.0 {
        command.push_str(&format!(" --most {}", arguments.most));
    }
    let changed = stdout_of(
        "git",
        &["status", "--porcelain", "--", "crates", "src", "Cargo.lock"],
    )?;
    let commit = stdout_of("git", &["rev-parse", "--short", "HEAD"])?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    Ok(Head {
        command,
        commit: if changed.is_empty() {
            commit
        } else {
            format!("{commit}+changes")
        },
        date: stdout_of(
            "date",
            &["-u", "-d", &format!("@{now}"), "+%Y-%m-%dT%H:%M:%SZ"],
        )?,
        cores: std::thread::available_parallelism()
            .map_err(Error::io("processors"))?
            .get() as u64,
        load: probe::load()?,
        // the only inputs drawn at random, those of `catalog.missed`, come from a generator with the fixed seed 0
        seed: 0,
        memory_mb: probe::machine_memory()? / 1_000_000,
    })
}

/// Names the part of the code that causes the growth of a quantity.
fn slope_cause(role: &str, quantity: &str) -> &'static str {
    match (role, quantity) {
        ("list.engine" | "list.file", "resident") => {
            "endpoints, routes and pools keep an entry for each listed destination"
        }
        ("list.engine" | "list.file", "cpu" | "whole.cpu" | "ready") => {
            "a whole list is read entry by entry"
        }
        ("list.engine", "change.cpu") => "a change costs what it names",
        ("list.engine", "look.cpu") => {
            "a status request goes through all listed endpoints and counts the ejected ones"
        }
        ("catalog.assign", "cpu") => "Assignment::best_scores: a hash for each shard and sender",
        ("catalog.assign", "loss.cpu" | "zone.cpu" | "join.cpu") => {
            "Matching::run: all shards are matched anew"
        }
        ("catalog.assign", _) => {
            "Assignment: 16 cached scores of each shard, and the shards of each sender"
        }
        ("catalog.holder", "wire" | "cpu" | "resident") => "each endpoint is sent, parsed and kept",
        ("catalog.holder", _) => {
            "ShardReplica: a change costs the endpoints of its shard; a sync requests each shard"
        }
        ("catalog.relay", _) => {
            "a change costs its bytes, and the digests of the spans above its shard"
        }
        ("catalog.sender", _) => {
            "a sync requests each of its shards, and gets changes of these alone"
        }
        (_, "wire") => "each destination is told in full",
        ("journal", "disk") => "a record for each message that is owed",
        ("journal", _) => "the journal keeps each owed message whole in memory",
        ("journal.open" | "restart", _) => {
            "all that is owed is read back before the sender is ready"
        }
        ("journal.compact", _) => "what is owed is written anew in one go, in the sender's turn",
        ("path", "cpu") => "a turn, a journal record and a call for each message",
        ("path", "descriptors") => "a connection for each destination in use, kept while idle",
        ("turn", _) => "calls out and held messages that a turn looks at",
        ("undelivered", _) => "a row for each message",
        ("figures", _) => "three lines for each class, none for a destination",
        ("destination.used", _) => "what is known of a destination that was called",
        _ => "",
    }
}

/// Minimum number of sizes for which a line is fitted.
const MIN_SIZES_FOR_FIT: usize = 3;

/// Fits a line through the points of each combination of role, quantity and axis.
fn fits(points: &[Point]) -> Vec<Fit> {
    let mut fits: Vec<Fit> = Vec::new();
    for first in points {
        let is_same_quantity =
            |a: &str, b: &str, c: &str| a == first.role && b == first.quantity && c == first.axis;
        if fits
            .iter()
            .any(|fit| is_same_quantity(&fit.role, &fit.quantity, &fit.axis))
        {
            continue;
        }
        let samples: Vec<(f64, f64)> = points
            .iter()
            .filter(|point| is_same_quantity(&point.role, &point.quantity, &point.axis))
            .map(|point| (point.at, point.value))
            .collect();
        let found = fit(Form::Linear, &samples).filter(|_| samples.len() >= MIN_SIZES_FOR_FIT);
        if let Some(found) = found {
            fits.push(Fit {
                role: first.role.clone(),
                quantity: first.quantity.clone(),
                unit: first.unit.clone(),
                axis: first.axis.clone(),
                form: found.form.name().into(),
                coefficients: vec![found.constant, found.slope],
                residual_rms: found.rms,
                worst_residual: found.worst,
                term: slope_cause(&first.role, &first.quantity).into(),
            });
        }
    }
    fits
}
