//! Resident memory of this process.

use crate::experiments::BenchError;

const PAGE_BYTES: u64 = 4096;

/// Returns the resident memory of this process in bytes.
///
/// # Errors
///
/// Returns an error if `/proc/self/statm` can't be read or has no resident page count.
pub fn resident_bytes() -> Result<u64, BenchError> {
    let text = std::fs::read_to_string("/proc/self/statm")
        .map_err(|error| BenchError::new("read resident memory", error))?;
    text.split_ascii_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok())
        .map(|pages| pages * PAGE_BYTES)
        .ok_or_else(|| BenchError::new("read resident memory", "no resident page count"))
}
