//! `claims`: calls with idempotency keys to a service that must not run a call twice, first without
//! faults and then with them.
//!
//! The service counts its runs and ignores the keys, so that only the claims of the hosts prevent a
//! call from running twice. Callers repeat a call under the same key, on any host, until it is
//! answered.

mod callers;
mod faults;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use anvil_fleet::{
    Builder,
    Fleet,
    builder,
    service::Spec, //
};
use bytes::Bytes;
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use hdrhistogram::Histogram;

use self::callers::{
    Addresses,
    CallRecord, //
    Load,
};
use super::{
    BenchError,
    Context,
    Experiment, //
};
use crate::report::{
    Bound,
    Report,
    print_progress, //
};

/// Entry of this experiment in the list of all experiments.
pub const EXPERIMENT: Experiment = Experiment {
    name: "claims",
    about: "20,000 keyed calls that must run at most once, despite faults of every kind",
    run,
};

const HOSTS: usize = 12;
const SERVICE: &str = "permits";
const CALLS_WITHOUT_FAULTS: usize = 2_000;
const CALLERS_WITHOUT_FAULTS: usize = 16;
const CALLS_WITH_FAULTS: usize = 20_000;
const CALLERS_WITH_FAULTS: usize = 400;
/// Deadline that hosts set for a call. A caller gives up after twice this time.
const DEADLINE: Duration = Duration::from_secs(4);
/// Largest number of log appends per second at the design size.
const APPENDS_MAX_PER_S: f64 = 300.0;
const LATENCY_SAMPLES: usize = 200;
const LATENCY_MAX_US: u64 = 60_000_000;

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move { measure(context).await }.boxed()
}

async fn measure(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    let mut fleet = start().await?;
    let addresses = Arc::new(Addresses::of(&fleet));
    measure_without_faults(&mut report, &fleet, &addresses, context.seed).await?;
    print_progress("calls with faults");
    let appends_before = fleet.log.appends();
    let started = Instant::now();
    let load = Load {
        prefix: "faulty",
        calls: CALLS_WITH_FAULTS,
        callers: CALLERS_WITH_FAULTS,
        seed: context.seed,
    };
    let calls = callers::run(Arc::clone(&addresses), load);
    let records = faults::inject_faults(&mut fleet, &addresses, calls, context.seed).await?;
    let elapsed = started.elapsed();
    let appends = fleet.log.appends() - appends_before;
    add_figures_with_faults(&mut report, &fleet, &records, appends, elapsed);
    fleet
        .close()
        .await
        .map_err(|error| BenchError::new("stop the fleet", error))?;
    Ok(report)
}

async fn start() -> Result<Fleet, BenchError> {
    let mut builder = Builder::default()
        .hosts(HOSTS)
        .pipeline(1, 1)
        .service(Spec::not_repeatable(SERVICE))
        .settings(|settings| settings.callers.default_deadline = DEADLINE);
    builder.threads_per_host = 1;
    builder.drain_timeout = Duration::from_secs(10);
    let started = builder.start().await;
    started.map_err(|error| BenchError::new("start the fleet", error))
}

/// Measures the latency and batching of claims without faults, and adds them to the report.
async fn measure_without_faults(
    report: &mut Report,
    fleet: &Fleet,
    addresses: &Arc<Addresses>,
    seed: u64,
) -> Result<(), BenchError> {
    print_progress("latency of the log and of a call without a key");
    let log_latency = measure_log_latency(fleet).await?;
    let keyless_latency = measure_keyless_latency(fleet).await?;
    print_progress("calls without faults");
    let appends_before = fleet.log.appends();
    let started = Instant::now();
    let load = Load {
        prefix: "calm",
        calls: CALLS_WITHOUT_FAULTS,
        callers: CALLERS_WITHOUT_FAULTS,
        seed,
    };
    let records = callers::run(Arc::clone(addresses), load).await;
    let elapsed = started.elapsed();
    let appends = fleet.log.appends() - appends_before;
    let mut latency = histogram();
    for call in &records {
        if let [only] = call.attempts.as_slice() {
            latency.saturating_record(only.latency.as_micros() as u64);
        }
    }
    report.add_figure(
        "calm_calls_per_s",
        CALLS_WITHOUT_FAULTS as f64 / elapsed.as_secs_f64(),
    );
    report.add_figure("calm_appends_per_s", appends as f64 / elapsed.as_secs_f64());
    report.add_figure(
        "calm_claims_per_append",
        CALLS_WITHOUT_FAULTS as f64 / appends.max(1) as f64,
    );
    report.add_figure("keyless_call_ms_p50", quantile_ms(&keyless_latency, 0.5));
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let call_ms = quantile_ms(&latency, quantile);
        let log_ms = quantile_ms(&log_latency, quantile);
        report.add_figure(format!("log_round_trip_ms_{name}"), log_ms);
        report.add_figure(
            format!("claim_latency_ms_{name}"),
            call_ms - quantile_ms(&keyless_latency, 0.5) - log_ms,
        );
    }
    Ok(())
}

fn add_figures_with_faults(
    report: &mut Report,
    fleet: &Fleet,
    records: &[CallRecord],
    appends: u64,
    elapsed: Duration,
) {
    let evaluation = callers::evaluate(records, &|body: &Bytes| count_runs(fleet, body));
    let seconds = elapsed.as_secs_f64();
    report.add_figure("calls", records.len());
    report.add_figure("elapsed_s", seconds);
    report.add_goal(
        "executed_twice",
        evaluation.executed_twice as f64,
        Bound::AtMost(0.0),
    );
    report.add_goal(
        "false_not_run",
        evaluation.false_not_run as f64,
        Bound::AtMost(0.0),
    );
    report.add_goal(
        "crossed_answers",
        evaluation.crossed_answers as f64,
        Bound::AtMost(0.0),
    );
    report.add_figure("answered", evaluation.answered);
    report.add_figure("not_run", evaluation.not_run);
    let calls = records.len().max(1) as f64;
    report.add_figure("unknown_ratio", evaluation.unknown as f64 / calls);
    for (reason, count) in &evaluation.unknown_by_reason {
        report.add_figure(format!("unknown_ratio_{reason}"), *count as f64 / calls);
    }
    report.add_figure("unknown_that_ran", evaluation.unknown_that_ran);
    report.add_figure(
        "claims_per_append",
        records.len() as f64 / appends.max(1) as f64,
    );
    report.add_goal(
        "appends_per_s",
        appends as f64 / seconds,
        Bound::AtMost(APPENDS_MAX_PER_S),
    );
    let settings = anvil_core::claims::Settings::default();
    let bound = f64::from(anvil_core::claims::SHARD_COUNT) * f64::from(settings.append_rate_per_s);
    // The append rate of the shards is limited, so that this bound holds for any number of hosts.
    report.add_goal(
        "appends_per_s_at_any_size",
        bound,
        Bound::AtMost(APPENDS_MAX_PER_S),
    );
}

fn count_runs(fleet: &Fleet, body: &Bytes) -> u64 {
    fleet
        .service(SERVICE)
        .map_or(0, |service| service.runs_of_body(body))
}

async fn measure_log_latency(fleet: &Fleet) -> Result<Histogram<u64>, BenchError> {
    let log = fleet.host(0).adapters().ports().log;
    let stream = "bench-latency".into();
    let mut latency = histogram();
    for offset in 0..LATENCY_SAMPLES as u64 {
        let started = Instant::now();
        let failed = |error| BenchError::new("append to and read from the log", error);
        log.append(&stream, vec![Bytes::from_static(b"sample")])
            .await
            .map_err(failed)?;
        log.read(&stream, offset, 1, Duration::ZERO)
            .await
            .map_err(failed)?;
        latency.saturating_record(started.elapsed().as_micros() as u64);
    }
    Ok(latency)
}

async fn measure_keyless_latency(fleet: &Fleet) -> Result<Histogram<u64>, BenchError> {
    let client = fleet.team_client(0, &builder::TEAM.into());
    let mut latency = histogram();
    for _ in 0..LATENCY_SAMPLES {
        let started = Instant::now();
        client
            .call_service(SERVICE, "submit", None, "keyless")
            .await
            .map_err(|error| BenchError::new("call without a key", error))?;
        latency.saturating_record(started.elapsed().as_micros() as u64);
    }
    Ok(latency)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX_US, 3).expect("the bounds of the histogram are valid")
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}
