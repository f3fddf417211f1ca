//! Admission by urgency: which requests of a service may be sent while its capacity is short.
//!
//! Requests of different ranks compete for the memory of the same engines. Each host derives from the
//! fleet's loads and demand which fraction of each rank it admits ([`level`]), lets the others wait
//! while they can still be on time ([`waiting`]), and refuses the rest with a time to come back
//! ([`retry_after`]). See `docs/design/urgency.md`.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

pub use demand::{
    Demand,
    RankDemand, //
};
pub use forecast::Forecast;

pub mod capacity;
pub mod demand;
pub mod forecast;
pub mod level;
pub mod waiting;

#[cfg(test)]
mod tests;

/// Urgency of a request among those of its service. 0 is the most urgent.
pub type Rank = u32;

/// Largest urgency that engines know, which stands for the least urgent requests.
const URGENCY_MAX: f64 = 9.0;
/// Shortest `Retry-After`: some digests, after which hosts know of the capacity that became free.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(300);
/// Largest random part of a `Retry-After`, relative to its fixed part. The shortest time of a rank is
/// the longest of the next more urgent one.
const RETRY_AFTER_SPREAD: f64 = 0.5;
/// Part of the caller's remaining time up to which callers honour a `Retry-After`.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// Returns the urgency that engines are told for a rank: the service's ranks spread evenly over 0 to 9.
/// `ranks` are the distinct ranks of the service, most urgent first. Returns `None` for fewer than two,
/// since nothing competes then, and for a rank that isn't among them.
pub fn urgency(ranks: &[Rank], rank: Rank) -> Option<u8> {
    if ranks.len() < 2 {
        return None;
    }
    let index = ranks.iter().position(|known| *known == rank)?;
    let urgency = URGENCY_MAX * index as f64 / (ranks.len() - 1) as f64;
    Some(urgency.round() as u8)
}

/// Returns a number in `0.0..1.0` for a request's id. All hosts draw the same number for the same id,
/// so that hosts with the same view admit the same requests.
pub fn draw(id: &str) -> f64 {
    const FRACTION_BITS: u32 = 53;
    (xxh3_64(id.as_bytes()) >> (u64::BITS - FRACTION_BITS)) as f64 / (1u64 << FRACTION_BITS) as f64
}

/// Returns the last moment, as a time since the request's arrival, at which it can be sent and still be
/// on time: before the objective less the predicted first event, and before half of the objective.
///
/// Load that it answers: a short lack of memory, which ends while the callers still wait. Half of the
/// objective is left for an engine that is slower than predicted, and for a retry.
pub fn wait_limit(objective: Duration, predicted_first: Duration) -> Duration {
    /// Time for the connection to the first engine and for the event's way back, on a busy host.
    const MARGIN: Duration = Duration::from_millis(50);
    let spare = objective.saturating_sub(predicted_first + MARGIN);
    spare.min(objective / 2)
}

/// Returns the `Retry-After` of a refused request of a rank: the time in which capacity for it is
/// expected, later for each less urgent rank of the service, and within the part of `time_left` that
/// callers honour. `draw` is a random number in `0.0..1.0`.
///
/// Load that it answers: a surge whose refused requests all come back. Those of the more urgent ranks
/// come back first, and spread, so that they don't meet the same shortage again.
pub fn retry_after(
    forecast: &Forecast,
    ranks: &[Rank],
    rank: Rank,
    time_left: Duration,
    draw: f64,
) -> Duration {
    let more_urgent_ranks = ranks.iter().filter(|other| **other < rank).count() as f64;
    // The delay of a late rank exceeds the range of durations.
    let shortest_s =
        RETRY_AFTER_MIN.as_secs_f64() * (1.0 + RETRY_AFTER_SPREAD).powf(more_urgent_ranks);
    let shortest = Duration::try_from_secs_f64(shortest_s).unwrap_or(Duration::MAX);
    let longest = time_left.mul_f64(HONOURED_SHARE / (1.0 + RETRY_AFTER_SPREAD));
    let expected = forecast.time_to_capacity(rank).max(shortest).min(longest);
    expected.mul_f64(1.0 + RETRY_AFTER_SPREAD * draw)
}
