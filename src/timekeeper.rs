//! A start time for the engine's clock that does not go back from one process to the next, even if the wall clock does.
//!
//! The window in which destinations drop repeats of an idempotency key is counted from attempts of earlier processes.
//! If the wall clock was set back between two processes, too little of the window would seem to have passed, and a
//! redriven message could take effect twice. So each process saves its clock's time together with the machine's uptime,
//! which can't be set.

use std::fs;
use std::path::Path;

/// Name of the file in the state folder. It holds the kernel's boot id, the uptime in microseconds and the clock's time
/// in Unix microseconds.
const CLOCK_FILE: &str = "clock";
/// A saved time more than a year (in microseconds) ahead of the wall clock is ignored as damaged.
const MAX_LEAD_US: i64 = 366 * 86_400 * 1_000_000;

/// Returns a start time for the engine's clock, in Unix microseconds, and saves it for the next process.
///
/// The time is the later of the wall clock and what the clock of the previous process would show now. If the file or
/// the uptime can't be read, the time is that of the wall clock; a clock that was set back is then noticed only if it
/// shows a time before a recorded attempt.
pub(crate) fn module_time(folder: &Path, wall: i64) -> i64 {
    let Some((boot, uptime)) = since_boot() else {
        return wall;
    };
    let time = continued_time(
        &fs::read_to_string(folder.join(CLOCK_FILE)).unwrap_or_default(),
        &boot,
        uptime,
        wall,
    );
    let new = folder.join(format!("{CLOCK_FILE}.new"));
    let written = fs::write(&new, format!("{boot} {uptime} {time}\n"))
        .and_then(|()| fs::rename(&new, folder.join(CLOCK_FILE)));
    if let Err(error) = written {
        milletturn_logging::log(format_args!("clock not saved: {error}"));
    }
    time
}

/// Continues the saved time by the uptime that has passed since, or by nothing after a reboot. Never before `wall`.
fn continued_time(text: &str, boot: &str, uptime: i64, wall: i64) -> i64 {
    let mut fields = text.split_whitespace();
    let (Some(saved_boot), Some(saved_uptime), Some(saved_time)) =
        (fields.next(), fields.next(), fields.next())
    else {
        return wall;
    };
    let (Ok(saved_uptime), Ok(saved_time)) =
        (saved_uptime.parse::<i64>(), saved_time.parse::<i64>())
    else {
        return wall;
    };
    let elapsed = if saved_boot == boot {
        uptime.saturating_sub(saved_uptime).max(0)
    } else {
        0
    };
    // a damaged time far in the future must not hold the clock there
    let continued = saved_time.saturating_add(elapsed);
    if continued > wall.saturating_add(MAX_LEAD_US) {
        wall
    } else {
        wall.max(continued)
    }
}

/// The kernel's boot id, and microseconds since the boot including suspend (proc(5)).
fn since_boot() -> Option<(String, i64)> {
    let boot = fs::read_to_string("/proc/sys/kernel/random/boot_id")
        .ok()?
        .trim()
        .to_string();
    let uptime = fs::read_to_string("/proc/uptime").ok()?;
    let seconds: f64 = uptime.split_whitespace().next()?.parse().ok()?;
    (!boot.is_empty() && seconds.is_finite()).then_some((boot, (seconds * 1e6) as i64))
}

#[cfg(test)]
mod tests;
