//! The memory of a process, as the kernel counts it.

/// The largest resident memory that a process has had, in bytes.
#[must_use]
pub fn peak_resident_bytes(process_id: u32) -> u64 {
    read_status(process_id, "VmHWM:")
}

/// The part of a process's resident memory that is pages of files, such as of the program, in bytes.
#[must_use]
pub fn resident_file_bytes(process_id: u32) -> u64 {
    read_status(process_id, "RssFile:")
}

fn read_status(process_id: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status"));
    let status = status.expect("the process runs");
    let kilobytes: u64 = status
        .lines()
        .find_map(|line| {
            line.strip_prefix(field)?
                .split_whitespace()
                .next()?
                .parse()
                .ok()
        })
        .expect("the kernel reports the memory");
    kilobytes * 1024
}
