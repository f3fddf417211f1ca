//! Processor time of the threads whose names start with a prefix.

use std::{
    fs,
    time::Duration, //
};

/// Returns the processor time used by this process's live threads whose names start with `prefix`.
///
/// The system truncates thread names to 15 bytes. Threads for which it reports no processor time
/// are not counted.
pub fn thread_cpu_time(prefix: &str) -> Duration {
    let Ok(threads) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    threads
        .flatten()
        .filter(|thread| {
            fs::read_to_string(thread.path().join("comm"))
                .is_ok_and(|name| name.starts_with(prefix))
        })
        .filter_map(|thread| fs::read_to_string(thread.path().join("schedstat")).ok())
        .filter_map(|schedstat_text| schedstat_text.split(' ').next()?.parse().ok())
        .map(Duration::from_nanos)
        .sum()
}
