//! Processor time of the threads whose name has a prefix.

use std::{
    fs,
    time::Duration, //
};

/// Processor time that the live threads of this process whose name begins with `prefix` have used.
///
/// A thread's name is cut at 15 bytes by the system. Nothing is counted where the system gives no
/// such figures.
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
        .filter_map(|figures| figures.split(' ').next()?.parse().ok())
        .map(Duration::from_nanos)
        .sum()
}
