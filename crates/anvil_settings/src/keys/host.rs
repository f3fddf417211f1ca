//! Keys for the host itself: its name, listeners, platform services, callers, logs, metrics and
//! recorded decisions.

use super::{
    DAY_MS,
    Key,
    Presence,
    key,
    optional,
    required, //
};

/// Keys for the host itself.
pub(super) static KEYS: &[Key] = &[
    required!(
        "host_id",
        host_id,
        String,
        "Name of this host; must be unique in the fleet."
    ),
    required!(
        "data_centre",
        data_centre,
        String,
        "Name of the data centre in which this host runs."
    ),
    optional!(
        "drain_timeout_ms",
        drain_timeout,
        Millis,
        0.0..=DAY_MS,
        "Maximum time that a graceful shutdown waits for open requests."
    ),
    required!(
        "listen.callers",
        listen.callers,
        Address,
        "Address of the listener for callers; port 0 selects any free port."
    ),
    required!(
        "listen.operators",
        listen.operators,
        Address,
        "Address of the listener for operators."
    ),
    required!(
        "listen.peers",
        listen.peers,
        Address,
        "Address of the listener for other hosts, as published in the platform's host list."
    ),
    key!(
        "credentials.operator_token",
        credentials.operator_token,
        Secret,
        Presence::RequiredUnless("credentials.operator_token_env"),
        None,
        "Bearer token for operators; at least 16 characters."
    ),
    optional!(
        "credentials.operator_token_env",
        credentials.operator_token_env,
        String,
        "Name of the environment variable that contains the operator token."
    ),
    key!(
        "credentials.peer_key",
        credentials.peer_key,
        Secret,
        Presence::RequiredUnless("credentials.peer_key_env"),
        None,
        "Key that is shared by all hosts; at least 16 characters."
    ),
    optional!(
        "credentials.peer_key_env",
        credentials.peer_key_env,
        String,
        "Name of the environment variable that contains the shared key."
    ),
    required!(
        "platform.log",
        platform.log,
        Address,
        "Address of the platform's log service."
    ),
    required!(
        "platform.host_list",
        platform.host_list,
        Address,
        "Address of the platform's host list."
    ),
    required!(
        "platform.weight_store",
        platform.weight_store,
        Address,
        "Address of the platform's weight store."
    ),
    optional!(
        "platform.config_stream",
        platform.config_stream,
        String,
        "Log stream that stores the configuration."
    ),
    optional!(
        "platform.claim_stream_prefix",
        platform.claim_stream_prefix,
        String,
        "Prefix of the log streams that store claims."
    ),
    optional!(
        "platform.lease_stream_prefix",
        platform.lease_stream_prefix,
        String,
        "Prefix of the log streams that store the placers' leases."
    ),
    optional!(
        "callers.body_limit_bytes",
        callers.body_limit_bytes,
        Integer,
        1.0..=1_073_741_824.0,
        "Maximum size of a request body."
    ),
    optional!(
        "callers.header_limit_bytes",
        callers.header_limit_bytes,
        Integer,
        // Hyper rejects a smaller read buffer.
        8192.0..=1_048_576.0,
        "Maximum total size of the headers of a request."
    ),
    optional!(
        "callers.header_timeout_ms",
        callers.header_timeout,
        Millis,
        1.0..=DAY_MS,
        "Maximum time until all headers of a request have arrived."
    ),
    optional!(
        "callers.body_timeout_ms",
        callers.body_timeout,
        Millis,
        1.0..=DAY_MS,
        "Maximum time until the whole body of a request has arrived."
    ),
    optional!(
        "callers.connection_limit",
        callers.connection_limit,
        Integer,
        1.0..=1_000_000.0,
        "Maximum number of concurrent connections from callers."
    ),
    optional!(
        "callers.default_deadline_ms",
        callers.default_deadline,
        Millis,
        1.0..=DAY_MS,
        "Deadline of a request that does not specify one."
    ),
    optional!(
        "log.level",
        log.level,
        String,
        "Least severe level that is logged (off, critical, error, warn, info, debug or trace), optionally followed by levels for prefixes of module paths or event names: `info,anvil_host::pipeline=debug,route=trace`. The longest matching prefix applies."
    ),
    optional!(
        "log.format",
        log.format,
        String,
        "Format of log lines: text or json."
    ),
    optional!(
        "log.rate_lines_per_s",
        log.rate_lines_per_s,
        Integer,
        1.0..=1_000_000.0,
        "Maximum number of lines per second for one event; further lines are counted and reported as suppressed."
    ),
    optional!(
        "metrics.otlp_url",
        metrics.otlp_url,
        String,
        "URL to which metrics are pushed with OTLP over HTTP; without it no metrics are pushed."
    ),
    optional!(
        "metrics.otlp_interval_ms",
        metrics.otlp_interval,
        Millis,
        100.0..=DAY_MS,
        "Interval at which metrics are pushed."
    ),
    optional!(
        "explain.limit_requests",
        explain.limit_requests,
        Integer,
        1.0..=1_000_000.0,
        "Maximum number of requests whose decisions are kept."
    ),
    optional!(
        "explain.limit_records_per_request",
        explain.limit_records_per_request,
        Integer,
        2.0..=10_000.0,
        "Maximum number of decisions that are kept for one request."
    ),
];
