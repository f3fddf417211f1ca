//! Keys for targets: polling, subsets, routes, health, recovery, concurrency limits and retries.

use super::{
    DAY_MS,
    Key,
    optional, //
};

/// Keys for targets.
pub(super) static KEYS: &[Key] = &[
    optional!(
        "targets.report_interval_ms",
        targets.polling.report_interval,
        Millis,
        1.0..=DAY_MS,
        "Interval between two load reports of a target; longer where `targets.limit_calls_per_s` requires it."
    ),
    optional!(
        "targets.limit_calls_per_s",
        targets.polling.limit_calls_per_s,
        Integer,
        1.0..=100_000.0,
        "Maximum number of calls per second for load reports and cache events, over all targets."
    ),
    optional!(
        "targets.subset.targets_per_host",
        targets.subset.targets_per_host,
        Integer,
        1.0..=1_000_000.0,
        "Mean number of targets that a host uses; if there are no more than this, every host uses all of them."
    ),
    optional!(
        "targets.subset.replicas_min",
        targets.subset.replicas_min,
        Integer,
        1.0..=1000.0,
        "Minimum number of targets per layer in the subset of a host, as far as that many exist."
    ),
    optional!(
        "targets.subset.near_weight",
        targets.subset.near_weight,
        Number,
        1.0..=1000.0,
        "Weight of a host in the same data centre as the target, relative to a host in another one."
    ),
    optional!(
        "targets.cache_blocks",
        targets.cache_blocks,
        Integer,
        0.0..=10_000_000.0,
        "Maximum number of cached blocks that are tracked per target."
    ),
    optional!(
        "targets.route.samples",
        targets.route.samples,
        Integer,
        1.0..=64.0,
        "Number of candidate paths that are sampled with perturbed prices for one routing decision."
    ),
    optional!(
        "targets.route.perturbation",
        targets.route.perturbation,
        Number,
        0.0..=0.99,
        "Maximum relative perturbation of a price."
    ),
    optional!(
        "targets.route.expected_answer_tokens",
        targets.route.expected_answer_tokens,
        Integer,
        1.0..=1_000_000.0,
        "Number of output tokens that is assumed for a request without a token limit."
    ),
    optional!(
        "targets.route.congestion_weight",
        targets.route.congestion_weight,
        Number,
        0.0..=100.0,
        "Weight of the delay that a sequence causes for others, relative to its own time."
    ),
    optional!(
        "targets.health.failures_to_eject",
        targets.health.failures_to_eject,
        Integer,
        1.0..=1000.0,
        "Number of consecutive failures after which a target is ejected."
    ),
    optional!(
        "targets.health.ejection_min_ms",
        targets.health.ejection_min,
        Millis,
        1.0..=DAY_MS,
        "Duration of the first ejection; each following one is twice as long."
    ),
    optional!(
        "targets.health.ejection_max_ms",
        targets.health.ejection_max,
        Millis,
        1.0..=DAY_MS,
        "Maximum duration of an ejection."
    ),
    optional!(
        "targets.health.probes_max",
        targets.health.probes_max,
        Integer,
        1.0..=1000.0,
        "Maximum number of concurrent sequences that may probe a target after its ejection has ended."
    ),
    optional!(
        "targets.health.ejected_share_max",
        targets.health.ejected_share_max,
        Number,
        0.0..=0.99,
        "Maximum fraction of the targets that may be ejected; above it the fault is assumed to be in this host and ejections are ignored."
    ),
    optional!(
        "targets.health.step_deadline_min_ms",
        targets.health.step_deadline_min,
        Millis,
        1.0..=DAY_MS,
        "Minimum time to wait for a step."
    ),
    optional!(
        "targets.health.step_deadline_max_ms",
        targets.health.step_deadline_max,
        Millis,
        1.0..=DAY_MS,
        "Maximum time to wait for a step beyond its predicted time."
    ),
    optional!(
        "targets.recovery.kept_limit_bytes",
        targets.recovery.kept_limit_bytes,
        Integer,
        0.0..=1_099_511_627_776.0,
        "Maximum total size of the boundary activations that a host keeps for all its requests."
    ),
    optional!(
        "targets.recovery.recoveries_max",
        targets.recovery.recoveries_max,
        Integer,
        0.0..=1000.0,
        "Number of consecutive recoveries without a new token after which a request fails."
    ),
    optional!(
        "targets.recovery.resume_timeout_ms",
        targets.recovery.resume_timeout,
        Millis,
        1.0..=DAY_MS,
        "Maximum time to wait for the response when a step is requested again under the same name."
    ),
    optional!(
        "targets.recovery.overloaded_pause_ms",
        targets.recovery.overloaded_pause,
        Millis,
        1.0..=DAY_MS,
        "Initial pause before a target that rejected a step because of overload is tried again; it doubles with each attempt, up to a fixed maximum."
    ),
    optional!(
        "targets.concurrency.limit_initial",
        targets.concurrency.limit_initial,
        Integer,
        1.0..=1_000_000.0,
        "Initial limit on concurrent steps at a new target; the limit adapts afterwards."
    ),
    optional!(
        "targets.concurrency.limit_min",
        targets.concurrency.limit_min,
        Integer,
        1.0..=1_000_000.0,
        "Lower bound of the limit on concurrent steps at a target."
    ),
    optional!(
        "targets.concurrency.limit_max",
        targets.concurrency.limit_max,
        Integer,
        1.0..=1_000_000.0,
        "Upper bound of the limit on concurrent steps at a target."
    ),
    optional!(
        "targets.concurrency.stretch_tolerance",
        targets.concurrency.stretch_tolerance,
        Number,
        1.0..=1000.0,
        "Ratio of the observed stretch to its floor that is accepted because of batching. Stretch is the service time divided by the time that the same work takes on an idle target."
    ),
    optional!(
        "targets.concurrency.stretch_floor_min",
        targets.concurrency.stretch_floor_min,
        Number,
        0.0..=1000.0,
        "Lower bound of the floor of the stretch."
    ),
    optional!(
        "targets.concurrency.smoothing",
        targets.concurrency.smoothing,
        Number,
        0.001..=1.0,
        "Fraction by which the limit moves towards its newly computed value per window."
    ),
    optional!(
        "targets.concurrency.backoff",
        targets.concurrency.backoff,
        Number,
        0.01..=0.99,
        "Factor by which the limit is multiplied after a rejection or timeout."
    ),
    optional!(
        "targets.concurrency.window_ms",
        targets.concurrency.window,
        Millis,
        1.0..=DAY_MS,
        "Minimum time between two changes of the limit."
    ),
    optional!(
        "targets.concurrency.window_samples",
        targets.concurrency.window_samples,
        Integer,
        1.0..=1_000_000.0,
        "Minimum number of samples in a window before the limit changes."
    ),
    optional!(
        "targets.retry.share_of_successes",
        targets.retry.share_of_successes,
        Number,
        0.0..=0.5,
        "Number of retries that one success adds to the retry budget."
    ),
    optional!(
        "targets.retry.reserve_retries",
        targets.retry.reserve_retries,
        Integer,
        0.0..=1_000_000.0,
        "Initial number of retries in a budget, which is also its maximum."
    ),
    optional!(
        "targets.retry.attempts_extra_max",
        targets.retry.attempts_extra_max,
        Integer,
        0.0..=100.0,
        "Maximum number of additional attempts per request, regardless of the budgets."
    ),
    optional!(
        "targets.retry.hedge_deviations",
        targets.retry.hedge_deviations,
        Number,
        0.0..=1000.0,
        "Number of deviations above the mean step time after which a step is hedged."
    ),
    optional!(
        "targets.retry.hedge_delay_min_ms",
        targets.retry.hedge_delay_min,
        Millis,
        1.0..=DAY_MS,
        "Minimum delay before a step is hedged."
    ),
];
