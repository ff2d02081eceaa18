//! The records of a results file (`docs/capacity/NAME.jsonl`), one per line: the head first, then points, fits and
//! faults.

use crate::Error;
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;

/// One record, a line of the file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// What was run, and where.
    Head(Head),
    /// One measured value.
    Point(Point),
    /// A curve fitted to measured values.
    Fit(Fit),
    /// The result of a fault scenario.
    Fault(Fault),
}

/// What was run, and where.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// Command line of the run.
    pub command: String,
    /// Commit of the repository; ends in `with changes` (`+changes` in the results of `roles`) if files were modified.
    pub commit: String,
    /// Start of the run, UTC.
    pub date: String,
    /// Number of processors of the machine.
    pub cores: u64,
    /// Load averages of the machine over 1, 5 and 15 minutes at the start of the run.
    pub load: [f64; 3],
    /// Seed of all random numbers.
    pub seed: u64,
    /// Memory of the machine in megabytes.
    pub memory_mb: u64,
}

/// One measured value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Role that was measured, such as `steward.leader`.
    pub role: String,
    /// Quantity that was measured, such as `cpu`.
    pub quantity: String,
    /// Unit of the value, such as `core`.
    pub unit: String,
    /// Name of the size that was varied, such as `senders`.
    pub axis: String,
    /// Size at which the value was measured.
    pub at: f64,
    /// The measured value; not a number, written as `null`, if the measured event never happened.
    #[serde(deserialize_with = "nan_if_null")]
    pub value: f64,
    /// Other settings of the measurement.
    #[serde(default)]
    pub other: BTreeMap<String, serde_json::Value>,
}

/// How a quantity grows along an axis.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    /// Role that was measured.
    pub role: String,
    /// Quantity that was measured.
    pub quantity: String,
    /// Unit of the values.
    pub unit: String,
    /// Name of the size that was varied.
    pub axis: String,
    /// Form of the curve, such as `constant+linear`, `constant+n log n`, `constant+quadratic`.
    pub form: String,
    /// Coefficient of each term, in the order of the form.
    pub coefficients: Vec<f64>,
    /// Root mean square of the residuals, in the unit of the values.
    pub residual_rms: f64,
    /// Residual with the largest absolute value, in the unit of the values.
    pub worst_residual: f64,
    /// The code that causes the growth.
    pub term: String,
}

/// The result of a fault scenario.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Name of the scenario.
    pub name: String,
    /// Number of senders in the run.
    pub senders: u64,
    /// Seconds from publishing a change until it is in force at half of the senders.
    pub p50_s: f64,
    /// Seconds until the change is in force at 99% of the senders.
    pub p99_s: f64,
    /// Seconds until the change is in force at the last sender.
    pub worst_s: f64,
    /// Highest rate in one second as a multiple of the mean before the fault; by name, for messages, bytes and
    /// processor time.
    pub peak_over_mean: BTreeMap<String, f64>,
    /// Destinations missing at a sender at the end; where no change is published, sessions that senders lost.
    pub lost: u64,
    /// Changes or lines received twice, and destinations beyond those published; 0 where no change is published.
    pub doubled: u64,
    /// Changes that a sender received after a newer one.
    pub wrong_order: u64,
    /// Further observations.
    pub note: String,
}

fn nan_if_null<'a, D: Deserializer<'a>>(from: D) -> Result<f64, D::Error> {
    Ok(Option::<f64>::deserialize(from)?.unwrap_or(f64::NAN))
}

/// Reads a results file.
///
/// # Errors
/// The file can't be read, or a line is not a valid record.
pub fn read(path: &Path) -> Result<Vec<Record>, Error> {
    let file = File::open(path).map_err(Error::io(path.display().to_string()))?;
    let mut records = Vec::new();
    for (number, text) in BufReader::new(file).lines().enumerate() {
        let text = text.map_err(Error::io(path.display().to_string()))?;
        let record = serde_json::from_str(&text).map_err(|error| {
            Error::Unexpected(format!("{}, line {}: {error}", path.display(), number + 1))
        })?;
        records.push(record);
    }
    Ok(records)
}

/// Writes a results file and replaces an existing one atomically.
///
/// # Errors
/// The file can't be written.
pub fn write(path: &Path, records: &[Record]) -> Result<(), Error> {
    let mut text = String::new();
    for record in records {
        let line =
            serde_json::to_string(record).map_err(|error| Error::Unexpected(error.to_string()))?;
        text.push_str(&line);
        text.push('\n');
    }
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut file =
        tempfile::NamedTempFile::new_in(folder).map_err(Error::io(folder.display().to_string()))?;
    file.write_all(text.as_bytes())
        .map_err(Error::io(path.display().to_string()))?;
    file.persist(path)
        .map_err(|error| Error::Io(path.display().to_string(), error.error))?;
    Ok(())
}
