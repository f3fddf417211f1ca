//! `claims`: keyed calls to a service that must not run twice, calmly and through faults.
//!
//! The service counts what it runs and ignores keys, so that nothing but the hosts' claims keeps a
//! call from running twice. Callers repeat a call under its key, on any host, until it is answered.

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
    Load,
    Told, //
};
use super::{
    BenchError,
    Context,
    Experiment, //
};
use crate::report::{
    Bound,
    Report,
    progress, //
};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "claims",
    about: "20,000 keyed calls that must run at most once, through faults of every kind",
    run,
};

const HOSTS: usize = 12;
const SERVICE: &str = "permits";
const CALM_CALLS: usize = 2_000;
const CALM_CALLERS: usize = 16;
const FAULTY_CALLS: usize = 20_000;
const FAULTY_CALLERS: usize = 400;
/// Longest time that a caller waits for one answer.
const DEADLINE: Duration = Duration::from_secs(4);
/// Appends a second that the design size may make.
const APPENDS_GOAL_PER_S: f64 = 300.0;
const LOG_SAMPLES: usize = 200;
const LATENCY_LIMIT_US: u64 = 60_000_000;

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move { measure(context).await }.boxed()
}

async fn measure(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    let mut fleet = start().await?;
    let addresses = Arc::new(Addresses::of(&fleet));
    add_calm(&mut report, &fleet, &addresses, context.seed).await?;
    progress("calls through faults");
    let appends_before = fleet.log.appends();
    let started = Instant::now();
    let load = Load {
        prefix: "faulty",
        calls: FAULTY_CALLS,
        callers: FAULTY_CALLERS,
        seed: context.seed,
    };
    let calls = callers::run(Arc::clone(&addresses), load);
    let told = faults::disturb(&mut fleet, &addresses, calls, context.seed).await?;
    let elapsed = started.elapsed();
    let appends = fleet.log.appends() - appends_before;
    add_faulty(&mut report, &fleet, &told, appends, elapsed);
    fleet
        .close()
        .await
        .map_err(|error| BenchError::new("stop", error))?;
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

/// Latency and batching without faults.
async fn add_calm(
    report: &mut Report,
    fleet: &Fleet,
    addresses: &Arc<Addresses>,
    seed: u64,
) -> Result<(), BenchError> {
    progress("latency of the log and of a call without a key");
    let log = log_latency(fleet).await?;
    let keyless = keyless_latency(fleet).await?;
    progress("calls without faults");
    let appends_before = fleet.log.appends();
    let started = Instant::now();
    let load = Load {
        prefix: "calm",
        calls: CALM_CALLS,
        callers: CALM_CALLERS,
        seed,
    };
    let told = callers::run(Arc::clone(addresses), load).await;
    let elapsed = started.elapsed();
    let appends = fleet.log.appends() - appends_before;
    let mut latency = histogram();
    for call in &told {
        if let [only] = call.attempts.as_slice() {
            latency.saturating_record(only.latency.as_micros() as u64);
        }
    }
    report.figure(
        "calm_calls_per_s",
        CALM_CALLS as f64 / elapsed.as_secs_f64(),
    );
    report.figure("calm_appends_per_s", appends as f64 / elapsed.as_secs_f64());
    report.figure(
        "calm_claims_per_append",
        CALM_CALLS as f64 / appends.max(1) as f64,
    );
    report.figure("keyless_call_ms_p50", ms(&keyless, 0.5));
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let call = ms(&latency, quantile);
        let own = ms(&log, quantile);
        report.figure(format!("log_round_trip_ms_{name}"), own);
        report.figure(
            format!("claim_latency_ms_{name}"),
            call - ms(&keyless, 0.5) - own,
        );
    }
    Ok(())
}

fn add_faulty(report: &mut Report, fleet: &Fleet, told: &[Told], appends: u64, elapsed: Duration) {
    let verdict = callers::judge(told, &|body: &Bytes| runs_of(fleet, body));
    let seconds = elapsed.as_secs_f64();
    report.figure("calls", told.len());
    report.figure("elapsed_s", seconds);
    report.goal(
        "executed_twice",
        verdict.executed_twice as f64,
        Bound::AtMost(0.0),
    );
    report.goal(
        "false_not_run",
        verdict.false_not_run as f64,
        Bound::AtMost(0.0),
    );
    report.goal(
        "crossed_answers",
        verdict.crossed_answers as f64,
        Bound::AtMost(0.0),
    );
    report.figure("answered", verdict.answered);
    report.figure("not_run", verdict.not_run);
    let calls = told.len().max(1) as f64;
    report.figure("unknown_ratio", verdict.unknown as f64 / calls);
    for (reason, count) in &verdict.unknown_by_reason {
        report.figure(format!("unknown_ratio_{reason}"), *count as f64 / calls);
    }
    report.figure("unknown_that_ran", verdict.unknown_that_ran);
    report.figure(
        "claims_per_append",
        told.len() as f64 / appends.max(1) as f64,
    );
    report.goal(
        "appends_per_s",
        appends as f64 / seconds,
        Bound::AtMost(APPENDS_GOAL_PER_S),
    );
    let settings = anvil_core::claims::Settings::default();
    let bound = f64::from(anvil_core::claims::SHARD_COUNT) * f64::from(settings.append_rate_per_s);
    // The shards' rate binds whatever the number of hosts.
    report.goal(
        "appends_per_s_at_any_size",
        bound,
        Bound::AtMost(APPENDS_GOAL_PER_S),
    );
}

fn runs_of(fleet: &Fleet, body: &Bytes) -> u64 {
    fleet
        .service(SERVICE)
        .map_or(0, |service| service.runs_of_body(body))
}

async fn log_latency(fleet: &Fleet) -> Result<Histogram<u64>, BenchError> {
    let log = fleet.host(0).adapters().ports().log;
    let stream = "bench-latency".into();
    let mut latency = histogram();
    for offset in 0..LOG_SAMPLES as u64 {
        let started = Instant::now();
        let failed = |error| BenchError::new("use the log", error);
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

async fn keyless_latency(fleet: &Fleet) -> Result<Histogram<u64>, BenchError> {
    let client = fleet.team_client(0, &builder::TEAM.into());
    let mut latency = histogram();
    for _ in 0..LOG_SAMPLES {
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
    Histogram::new_with_max(LATENCY_LIMIT_US, 3).expect("the bounds of the histogram are valid")
}

fn ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}
