//! A start time for the engine's clock that does not go back from one process to the next, even if the wall clock does.
//!
//! The deduplication window of an idempotency key, in which destinations drop repeats, is counted from attempts of
//! earlier processes. If the wall clock was set back between two processes, too little of the window would seem to have
//! passed, and a redriven message could take effect twice. So each process saves its clock's time together with the
//! machine's uptime, which can't be set.

use std::fs;
use std::path::Path;

/// Name of the file in the state folder that saves the clock's time. It holds the kernel's boot id, the uptime in
/// microseconds and the clock's time in Unix microseconds.
const CLOCK_FILE: &str = "clock";
/// A saved time more than a year (in microseconds) ahead of the wall clock is ignored as damaged.
const MAX_LEAD_US: i64 = 366 * 86_400 * 1_000_000;

/// Returns a start time for the engine's clock, in Unix microseconds, and saves it for the next process.
///
/// The result is the later of the wall clock's time and the time that the clock of the previous process would show now.
/// If the file or the uptime can't be read, the result is the wall clock's time. A wall clock that was set back is then
/// noticed only if it shows a time before a recorded attempt.
pub(crate) fn start_time_us(folder: &Path, wall_us: i64) -> i64 {
    let Some((boot_id, uptime_us)) = boot_id_and_uptime_us() else {
        return wall_us;
    };
    let time_us = continued_time_us(
        &fs::read_to_string(folder.join(CLOCK_FILE)).unwrap_or_default(),
        &boot_id,
        uptime_us,
        wall_us,
    );
    let new = folder.join(format!("{CLOCK_FILE}.new"));
    let written = fs::write(&new, format!("{boot_id} {uptime_us} {time_us}\n"))
        .and_then(|()| fs::rename(&new, folder.join(CLOCK_FILE)));
    if let Err(error) = written {
        milletturn_logging::log(format_args!(
            "file {CLOCK_FILE} in the state folder not written: {error}"
        ));
    }
    time_us
}

/// The saved time plus the uptime that has passed since it was saved; after a reboot that uptime is unknown, and zero
/// is added. The result is `wall_us` if that is later, or if `text` is damaged.
fn continued_time_us(text: &str, boot_id: &str, uptime_us: i64, wall_us: i64) -> i64 {
    let mut fields = text.split_whitespace();
    let (Some(saved_boot_id), Some(saved_uptime_us), Some(saved_time_us)) =
        (fields.next(), fields.next(), fields.next())
    else {
        return wall_us;
    };
    let (Ok(saved_uptime_us), Ok(saved_time_us)) =
        (saved_uptime_us.parse::<i64>(), saved_time_us.parse::<i64>())
    else {
        return wall_us;
    };
    let elapsed_us = if saved_boot_id == boot_id {
        uptime_us.saturating_sub(saved_uptime_us).max(0)
    } else {
        0
    };
    // a damaged saved time must not set the clock far into the future
    let continued_us = saved_time_us.saturating_add(elapsed_us);
    if continued_us > wall_us.saturating_add(MAX_LEAD_US) {
        wall_us
    } else {
        wall_us.max(continued_us)
    }
}

/// The kernel's boot id, and the microseconds since boot, including time in suspend (proc(5)).
fn boot_id_and_uptime_us() -> Option<(String, i64)> {
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
