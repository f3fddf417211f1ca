//! Keys for leases and model placement.

use super::{
    DAY_MS,
    Key,
    optional, //
};

/// Keys for leases and model placement.
pub(super) static KEYS: &[Key] = &[
    optional!(
        "lease.duration_ms",
        lease.duration,
        Millis,
        1.0..=DAY_MS,
        "Time for which one record in the log holds a lease."
    ),
    optional!(
        "lease.renew_after_ms",
        lease.renew_after,
        Millis,
        1.0..=DAY_MS,
        "Age of the last record after which the holder renews its lease."
    ),
    optional!(
        "lease.margin_ms",
        lease.margin,
        Millis,
        1.0..=DAY_MS,
        "Safety margin for clocks that run at different rates: the holder stops this much earlier and a candidate starts this much later."
    ),
    optional!(
        "placement.utilisation_high",
        placement.utilisation_high,
        Number,
        0.01..=1.0,
        "Fraction of the engines' capacity in use above which replicas are added."
    ),
    optional!(
        "placement.utilisation_low",
        placement.utilisation_low,
        Number,
        0.0..=1.0,
        "Fraction of the engines' capacity in use below which replicas are removed."
    ),
    optional!(
        "placement.queue_high_steps",
        placement.queue_high_steps,
        Integer,
        1.0..=1_000_000.0,
        "Mean number of steps queued per engine at which the capacity counts as fully used."
    ),
    optional!(
        "placement.cool_down_ms",
        placement.cool_down,
        Millis,
        1.0..=DAY_MS,
        "Time for which the utilisation must stay low before a replica is removed."
    ),
    optional!(
        "placement.smoothing_ms",
        placement.smoothing,
        Millis,
        1.0..=DAY_MS,
        "Time constant with which demand is smoothed."
    ),
    optional!(
        "placement.load_backlog_ms",
        placement.load_backlog,
        Millis,
        1.0..=DAY_MS,
        "Maximum backlog of the weight store, as the time that it needs for the pending loads at its rate; no further load is ordered above it."
    ),
    optional!(
        "placement.quarantine_ms",
        placement.quarantine,
        Millis,
        1.0..=DAY_MS,
        "Time after a placer takes over a lease during which it sends no destructive order to a target that ignores fencing tokens."
    ),
];
