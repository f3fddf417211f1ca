//! Keys for admission control and team limits.

use super::{
    DAY_MS,
    Key,
    optional, //
};

/// Keys for admission control and team limits.
pub(super) static KEYS: &[Key] = &[
    optional!(
        "admission.queue_limit_requests",
        admission.queue_limit_requests,
        Integer,
        1.0..=1_000_000.0,
        "Maximum number of requests that are queued for one model."
    ),
    optional!(
        "admission.open_limit_initial",
        admission.open_limit_initial,
        Integer,
        1.0..=1_000_000.0,
        "Initial limit on concurrent requests for one model on a new host; the limit adapts afterwards."
    ),
    optional!(
        "admission.open_limit_min",
        admission.open_limit_min,
        Integer,
        1.0..=1_000_000.0,
        "Lower bound of the limit on concurrent requests for one model."
    ),
    optional!(
        "admission.between_tokens_goal_ms",
        admission.between_tokens_goal,
        Millis,
        1.0..=DAY_MS,
        "Mean time between two tokens up to which the limit on concurrent requests for a model may grow."
    ),
    optional!(
        "admission.service_margin",
        admission.service_margin,
        Number,
        1.0..=100.0,
        "Factor by which the predicted service time is multiplied, so that a request starts only if it has time to spare before its deadline."
    ),
    optional!(
        "admission.retry_after_min_ms",
        admission.retry_after_min,
        Millis,
        1.0..=DAY_MS,
        "Minimum time after which a rejected caller is told to retry."
    ),
    optional!(
        "admission.retry_after_max_ms",
        admission.retry_after_max,
        Millis,
        1.0..=DAY_MS,
        "Maximum time after which a rejected caller is told to retry."
    ),
    optional!(
        "team_limits.share_lifetime_ms",
        team_limits.share_lifetime,
        Millis,
        1.0..=DAY_MS,
        "Time for which a granted share of a team's limit is valid."
    ),
    optional!(
        "team_limits.report_interval_ms",
        team_limits.report_interval,
        Millis,
        1.0..=DAY_MS,
        "Interval at which a host reports a team whose share is fully used to the team's home host, which grants the shares."
    ),
    optional!(
        "team_limits.report_timeout_ms",
        team_limits.report_timeout,
        Millis,
        1.0..=DAY_MS,
        "Maximum time to wait for the response of a home host."
    ),
    optional!(
        "team_limits.idle_timeout_ms",
        team_limits.idle_timeout,
        Millis,
        1.0..=DAY_MS,
        "Time for which a team with an unused share is remembered."
    ),
    optional!(
        "team_limits.first_share_wait_ms",
        team_limits.first_share_wait,
        Millis,
        0.0..=DAY_MS,
        "Maximum time that a request waits for the first share of its team on this host."
    ),
    optional!(
        "team_limits.burst_ms",
        team_limits.burst,
        Millis,
        1.0..=DAY_MS,
        "Capacity of a token bucket, as the time in which it fills at its rate."
    ),
    optional!(
        "team_limits.silent_share",
        team_limits.silent_share,
        Number,
        0.0..=1.0,
        "Fraction of a host's equal part of a limit that the host may use without a share granted by the home host."
    ),
    optional!(
        "team_limits.reserve_share",
        team_limits.reserve_share,
        Number,
        0.0..=0.99,
        "Fraction of an uncontended limit that the home host reserves for hosts that need it later."
    ),
    optional!(
        "team_limits.partition_share",
        team_limits.partition_share,
        Number,
        0.0..=1.0,
        "Fraction of the listed hosts that must be alive; below it the home host reduces its grants because another home host may be granting on the other side of a network partition."
    ),
];
