//! Reads the resource usage of this process from `/proc`.

use std::fs;

/// Ticks per second in which `/proc` states times. The same on every Linux machine.
const TICKS_PER_S: f64 = 100.0;
/// Number of fields of `/proc/self/stat` between the command's name and the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Returns the user and system time that the process has used, in seconds, or `None` if `/proc`
/// can't be read.
pub fn cpu_time_s() -> Option<f64> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    // The command's name may contain spaces and parentheses. It ends at the last parenthesis.
    let fields = stat.rsplit_once(')')?.1;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let user_ticks: f64 = times.next()?.parse().ok()?;
    let system_ticks: f64 = times.next()?.parse().ok()?;
    Some((user_ticks + system_ticks) / TICKS_PER_S)
}

/// Returns the resident memory of the process, in bytes, or `None` if `/proc` can't be read.
pub fn memory_bytes() -> Option<u64> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kibibytes * 1024)
}
