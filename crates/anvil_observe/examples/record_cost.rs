//! Measures the time that it takes to record a value and to log a line.
//!
//! Values are recorded in the lock-free histogram of this crate and in the histogram of the
//! OpenTelemetry SDK, by one thread and by several at once. Log lines are measured when they are
//! written, when the rate limit suppresses them, and when their level is disabled.

use std::{
    hint::black_box,
    io,
    thread,
    time::Instant, //
};

use anvil_observe::{
    log::Logs,
    metrics::histogram::Histogram, //
};
use anvil_settings::log::Log;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::{
    ManualReader,
    SdkMeterProvider, //
};

const RECORD_CALLS: u32 = 1_000_000;
const LOG_LINES: u32 = 200_000;
const BOUNDS_S: &[f64] = &[0.001, 0.01, 0.1, 1.0, 10.0];

/// Returns the mean time of a call, in nanoseconds, while `thread_count` threads make `calls` calls
/// each.
fn mean_call_time_ns(thread_count: usize, calls: u32, call: impl Fn(u32) + Sync) -> f64 {
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..thread_count {
            scope.spawn(|| (0..calls).for_each(&call));
        }
    });
    start.elapsed().as_nanos() as f64 / f64::from(calls)
}

fn sample_value_s(index: u32) -> f64 {
    f64::from(index % 1000) / 100.0
}

fn main() {
    let lock_free = Histogram::new(BOUNDS_S);
    let provider = SdkMeterProvider::builder()
        .with_reader(ManualReader::builder().build())
        .build();
    let sdk = provider
        .meter("cost")
        .f64_histogram("cost")
        .with_boundaries(BOUNDS_S.to_vec())
        .build();
    for thread_count in [1, 4] {
        let lock_free_ns = mean_call_time_ns(thread_count, RECORD_CALLS, |index| {
            lock_free.record(sample_value_s(index))
        });
        let sdk_ns = mean_call_time_ns(thread_count, RECORD_CALLS, |index| {
            sdk.record(sample_value_s(index), &[]);
        });
        println!(
            "recording, {thread_count} threads: lock-free {lock_free_ns:.0} ns, SDK {sdk_ns:.0} ns"
        );
    }
    for (name, level, rate_lines_per_s) in [
        ("logged", "info", u32::MAX),
        ("suppressed", "info", 1),
        ("level disabled", "warn", 1),
    ] {
        print_line_cost(name, level, rate_lines_per_s);
    }
}

fn print_line_cost(name: &str, level: &str, rate_lines_per_s: u32) {
    let settings = Log {
        level: level.parse().expect("the level is valid"),
        rate_lines_per_s,
        ..Log::default()
    };
    let logs = Logs::new(&settings, io::sink()).expect("the logger can be built");
    let line_ns = mean_call_time_ns(1, LOG_LINES, |index| {
        spdlog::info!(logger: logs.logger(), "route.chosen", kv: {
            request = "entry-1-6532-2f",
            target = "worker-17",
            index = black_box(index),
        });
    });
    println!(
        "log line, {name}: {line_ns:.0} ns, {} of {LOG_LINES} dropped",
        logs.dropped_lines()
    );
}
