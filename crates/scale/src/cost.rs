//! The cost of a process so far, from proc(5); and the head record of a results file.

use crate::Error;
use crate::figures::Head;
use std::fs;
use std::ops::{Add, Sub};
use std::process::Command;

/// What a process, or several together, have used so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Cost {
    /// Processor time in seconds, user and system.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub resident: u64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// Bytes written to the disk.
    pub written: u64,
}

/// Clock ticks per second; 100 on every Linux machine that this tool runs on.
const TICKS_PER_SECOND: f64 = 100.0;

impl Cost {
    /// Reads the cost of a process by its id.
    ///
    /// # Errors
    /// The process has ended or belongs to another user.
    pub fn of(process: u32) -> Result<Self, Error> {
        let path = |file: &str| format!("/proc/{process}/{file}");
        let read = |file: &str| fs::read_to_string(path(file)).map_err(Error::io(path(file)));
        let stat = read("stat")?;
        // skip to the part after the process name in parentheses, which may hold any character; user and system time
        // are fields 14 and 15
        let time_fields = stat
            .rsplit(") ")
            .next()
            .unwrap_or_default()
            .split(' ')
            .skip(11)
            .take(2);
        let ticks: f64 = time_fields
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum();
        // ticks are too coarse for a process that uses little time; the threads' own counters are precise but lack
        // threads that have ended, so the larger value counts
        let threads = fs::read_dir(path("task")).map_err(Error::io(path("task")))?;
        let nanos: f64 = threads
            .flatten()
            .filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok())
            .filter_map(|text| text.split(' ').next()?.parse::<f64>().ok())
            .sum();
        let open = fs::read_dir(path("fd"))
            .map_err(Error::io(path("fd")))?
            .count();
        Ok(Cost {
            cpu_s: (ticks / TICKS_PER_SECOND).max(nanos / 1e9),
            resident: field(&read("status")?, "VmRSS:").unwrap_or(0) * 1024,
            descriptors: open as u64,
            written: field(&read("io")?, "write_bytes:").unwrap_or(0),
        })
    }

    /// Reads the cost of several processes together.
    ///
    /// # Errors
    /// A process has ended or belongs to another user.
    pub fn of_all(processes: impl IntoIterator<Item = u32>) -> Result<Self, Error> {
        processes
            .into_iter()
            .try_fold(Cost::default(), |sum, process| Ok(sum + Cost::of(process)?))
    }
}

impl Add for Cost {
    type Output = Cost;

    fn add(self, other: Cost) -> Cost {
        Cost {
            cpu_s: self.cpu_s + other.cpu_s,
            resident: self.resident + other.resident,
            descriptors: self.descriptors + other.descriptors,
            written: self.written + other.written,
        }
    }
}

impl Sub for Cost {
    type Output = Cost;

    /// The cost between two readings; memory and descriptors are those of the later one.
    fn sub(self, before: Cost) -> Cost {
        Cost {
            cpu_s: self.cpu_s - before.cpu_s,
            written: self.written.saturating_sub(before.written),
            ..self
        }
    }
}

/// Returns the first number after `name` at the start of a line.
fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Largest number of file descriptors that this process, and each process that it starts, may open.
#[must_use]
pub fn max_descriptors() -> u64 {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    field(&limits, "Max open files").unwrap_or(1024)
}

/// Builds the head record of a results file that is started now.
///
/// # Errors
/// The system's load or memory can't be read.
pub fn head(seed: u64) -> Result<Head, Error> {
    let mut arguments = std::env::args();
    let program = arguments.next().unwrap_or_default();
    let program = program.rsplit('/').next().unwrap_or_default().to_string();
    let command = std::iter::once(program)
        .chain(arguments)
        .collect::<Vec<_>>()
        .join(" ");
    let load = fs::read_to_string("/proc/loadavg").map_err(Error::io("/proc/loadavg"))?;
    let mut load = load
        .split(' ')
        .map(|number| number.parse().unwrap_or(f64::NAN));
    let mut next = || load.next().unwrap_or(f64::NAN);
    let memory = fs::read_to_string("/proc/meminfo").map_err(Error::io("/proc/meminfo"))?;
    let modified_files = command_output("git", &["status", "--porcelain", "--untracked-files=no"]);
    let commit = command_output("git", &["rev-parse", "--short=12", "HEAD"]);
    Ok(Head {
        command,
        commit: if modified_files.is_empty() {
            commit
        } else {
            format!("{commit} with changes")
        },
        date: command_output("date", &["-u", "+%Y-%m-%dT%H:%M:%SZ"]),
        cores: std::thread::available_parallelism().map_or(0, |cores| cores.get() as u64),
        load: [next(), next(), next()],
        seed,
        memory_mb: field(&memory, "MemTotal:").unwrap_or(0) / 1024,
    })
}

/// Returns a command's output; empty if the command can't be run.
fn command_output(program: &str, arguments: &[&str]) -> String {
    let output = Command::new(program).args(arguments).output();
    output
        .map(|output| String::from_utf8_lossy(&output.stdout).trim().to_string())
        .unwrap_or_default()
}
