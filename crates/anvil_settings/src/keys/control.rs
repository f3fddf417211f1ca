//! Keys for membership, claims and the distribution of the configuration.

use super::{
    DAY_MS,
    Key,
    optional, //
};

/// Keys for membership, claims and the distribution of the configuration.
pub(super) static KEYS: &[Key] = &[
    optional!(
        "membership.probe_interval_ms",
        membership.probe_interval,
        Millis,
        1.0..=DAY_MS,
        "Interval at which a host probes another host."
    ),
    optional!(
        "membership.probe_timeout_ms",
        membership.probe_timeout,
        Millis,
        1.0..=DAY_MS,
        "Maximum time to wait for the response to a probe."
    ),
    optional!(
        "membership.indirect_probes",
        membership.indirect_probes,
        Integer,
        0.0..=16.0,
        "Number of other hosts that are asked to probe a host that did not respond."
    ),
    optional!(
        "membership.facts_per_message",
        membership.facts_per_message,
        Integer,
        1.0..=64.0,
        "Maximum number of membership facts in one message, not counting the sender's own."
    ),
    optional!(
        "membership.suspect_timeout_ms",
        membership.suspect_timeout,
        Millis,
        1.0..=DAY_MS,
        "Time that a suspected host has to refute the suspicion before it is declared dead."
    ),
    optional!(
        "membership.forget_timeout_ms",
        membership.forget_timeout,
        Millis,
        1.0..=DAY_MS,
        "Time for which a host that died or left is remembered."
    ),
    optional!(
        "membership.list_interval_ms",
        membership.list_interval,
        Millis,
        1.0..=1000.0,
        "Interval at which the platform's host list is read."
    ),
    optional!(
        "membership.slow_start_ms",
        membership.slow_start,
        Millis,
        0.0..=DAY_MS,
        "Time over which the weight of a new host or target rises to its full value."
    ),
    optional!(
        "claims.key_life_ms",
        claims.key_life,
        Millis,
        1.0..=DAY_MS,
        "Time after the first use of an idempotency key for which further requests with it are answered; must be below the retention of the log."
    ),
    optional!(
        "claims.send_window_ms",
        claims.send_window,
        Millis,
        1.0..=DAY_MS,
        "Maximum time from the start of a claim until its call is sent."
    ),
    optional!(
        "claims.read_back_timeout_ms",
        claims.read_back_timeout,
        Millis,
        1.0..=DAY_MS,
        "Maximum time to wait until an appended record is read back from the log."
    ),
    optional!(
        "claims.answer_limit_bytes",
        claims.answer_limit_bytes,
        Integer,
        0.0..=1_048_576.0,
        "Maximum size of a response body that is stored with an outcome."
    ),
    optional!(
        "claims.append_rate_per_s",
        claims.append_rate_per_s,
        Integer,
        1.0..=1000.0,
        "Maximum sustained rate of appends to the stream of one shard."
    ),
    optional!(
        "claims.append_burst",
        claims.append_burst,
        Integer,
        1.0..=1000.0,
        "Maximum burst of appends to the stream of one shard after a pause."
    ),
    optional!(
        "claims.settle_age_ms",
        claims.settle_age,
        Millis,
        1.0..=DAY_MS,
        "Minimum age of a claim that an operator may settle."
    ),
    optional!(
        "configuration.readers_per_data_centre",
        configuration.readers_per_data_centre,
        Integer,
        1.0..=1000.0,
        "Number of hosts per data centre that read the log on behalf of the others."
    ),
    optional!(
        "configuration.pull_interval_ms",
        configuration.pull_interval,
        Millis,
        1.0..=10_000.0,
        "Interval at which a host that does not or cannot read the log pulls from a peer."
    ),
    optional!(
        "configuration.snapshot_every_records",
        configuration.snapshot_every_records,
        Integer,
        1.0..=1_000_000.0,
        "Number of records after which a new snapshot is written."
    ),
    optional!(
        "configuration.snapshot_age_ms",
        configuration.snapshot_age,
        Millis,
        1.0..=DAY_MS,
        "Age of the last snapshot after which a new one is written if anything has changed; must be below the retention of the log."
    ),
    optional!(
        "configuration.submit_timeout_ms",
        configuration.submit_timeout,
        Millis,
        1.0..=DAY_MS,
        "Maximum time to wait until a patch is accepted or rejected."
    ),
];
