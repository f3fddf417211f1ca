//! Weight of a host or target that joined recently.

use std::time::Duration;

/// Weight at the moment of joining, high enough for the member to be tried and measured.
const WEIGHT_INITIAL: f64 = 0.1;

/// Returns the weight of a member that joined `joined_for` ago, at most 1.
///
/// The weight grows linearly over `slow_start`, so that caches fill and limits adapt before the
/// full load arrives.
pub fn weight(joined_for: Duration, slow_start: Duration) -> f64 {
    if joined_for >= slow_start {
        return 1.0;
    }
    let progress = joined_for.as_secs_f64() / slow_start.as_secs_f64();
    WEIGHT_INITIAL + (1.0 - WEIGHT_INITIAL) * progress
}
