//! Reads CPU time, memory, open file descriptors and load average from the kernel; see proc(5).

use crate::Error;
use rustix::time::{ClockId, clock_gettime};
use std::fs;
use std::path::Path;

/// Returns the CPU time of this process so far, in seconds.
pub(crate) fn cpu() -> f64 {
    let now = clock_gettime(ClockId::ProcessCPUTime);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

/// Runs an action and returns the CPU time that this process used meanwhile, in seconds, with the action's result.
pub(crate) fn cpu_in<T>(action: impl FnOnce() -> T) -> (f64, T) {
    let before = cpu();
    let value = action();
    (cpu() - before, value)
}

/// Returns the CPU time of another process's current threads so far, in seconds, with nanosecond resolution.
pub(crate) fn cpu_of(process: u32) -> Result<f64, Error> {
    let folder = format!("/proc/{process}/task");
    let mut sum = 0.0;
    for task in fs::read_dir(&folder).map_err(Error::io(&folder))? {
        let path = task.map_err(Error::io(&folder))?.path().join("schedstat");
        let text = read(&path)?;
        sum += text
            .split_whitespace()
            .next()
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0);
    }
    Ok(sum / 1e9)
}

/// Returns the current and the peak resident memory of a process, in bytes.
pub(crate) fn memory_of(process: &str) -> Result<(f64, f64), Error> {
    let text = read(Path::new(&format!("/proc/{process}/status")))?;
    let field = |name: &str| -> Result<f64, Error> {
        let line = text.lines().find_map(|line| line.strip_prefix(name));
        let size = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        size.map(|kib| kib * 1024.0)
            .ok_or_else(|| Error::Unexpected(format!("no field {name} in /proc/{process}/status")))
    };
    Ok((field("VmRSS:")?, field("VmHWM:")?))
}

/// Returns the resident memory of this process, in bytes.
pub(crate) fn resident() -> Result<f64, Error> {
    Ok(memory_of("self")?.0)
}

/// Returns the number of file descriptors that a process has open.
pub(crate) fn descriptors_of(process: u32) -> Result<f64, Error> {
    let folder = format!("/proc/{process}/fd");
    Ok(fs::read_dir(&folder).map_err(Error::io(&folder))?.count() as f64)
}

/// Returns the load average of the machine over 1, 5 and 15 minutes.
pub(crate) fn load() -> Result<[f64; 3], Error> {
    let text = read(Path::new("/proc/loadavg"))?;
    let mut fields = text
        .split_whitespace()
        .map(|field| field.parse::<f64>().unwrap_or(0.0));
    Ok([(); 3].map(|()| fields.next().unwrap_or(0.0)))
}

/// Returns the total memory of the machine, in bytes.
pub(crate) fn machine_memory() -> Result<u64, Error> {
    let text = read(Path::new("/proc/meminfo"))?;
    let kib = text
        .split_whitespace()
        .nth(1)
        .and_then(|field| field.parse::<u64>().ok());
    kib.map(|kib| kib * 1024)
        .ok_or_else(|| Error::Unexpected("no total memory in /proc/meminfo".into()))
}

fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(Error::io(path.display().to_string()))
}
