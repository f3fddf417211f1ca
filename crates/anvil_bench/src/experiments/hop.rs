//! `hop`: the cost of one step to one stage on a host, and the latency that a host adds to a token.
//!
//! Streams run over stages whose links take most of the time of a token, so that the host gets work
//! at the same pace as in production. The same number of streams also runs on the stages without a
//! host. The difference of the latencies is what the host adds.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use anvil_adapters::Adapters;
use anvil_core::{
    id::Token,
    step::{
        Input,
        Name,
        Output,
        Step, //
    }, //
};
use anvil_fleet::{
    Builder,
    Fleet,
    builder,
    client::CompletionParams,
    cpu,
    engine::Spec, //
};
use anvil_host::port::{
    Engine,
    TargetAddress, //
};
use futures::{
    FutureExt,
    StreamExt,
    future::BoxFuture, //
};
use hdrhistogram::Histogram;
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use tokio::task::JoinSet;

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
    name: "hop",
    about: "cost of a step to a stage, and latency that a host adds, with 1, 100 and 1,000 streams",
    run,
};

const STREAM_COUNTS: [usize; 3] = [1, 100, 1_000];
const STAGES: u16 = 2;
const LINK_DELAY: Duration = Duration::from_millis(20);
const WARM_UP: Duration = Duration::from_millis(1_500);
const MEASURE_TIME: Duration = Duration::from_secs(4);
const LIMIT_TOKENS: u32 = 2_000;
const DEADLINE: Duration = Duration::from_secs(3_600);
/// Limit on open requests, above every stream count: admission is not measured here.
const OPEN_LIMIT_REQUESTS: u32 = 4_096;
const PROMPT_TOKENS: u32 = 16;
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest latency that the histograms hold; longer ones count as this.
const LATENCY_MAX_US: u64 = 60_000_000;
/// Number of streams for which the latency has goals.
const GOAL_STREAM_COUNT: usize = 100;
/// Prefix of the names of the host's threads.
const HOST_THREAD_PREFIX: &str = "host-0";

/// Figures of the host, measured with a given number of open streams.
struct HostFigures {
    cpu_us_per_hop: f64,
    memory_bytes_per_open_request: f64,
    tokens_per_s: f64,
    latency: Histogram<u64>,
}

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move { measure(context).await }.boxed()
}

async fn measure(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    let fleet = start().await?;
    let mut cpu_us_by_stream_count = Vec::new();
    for stream_count in STREAM_COUNTS {
        print_progress(format_args!("{stream_count} streams"));
        let direct_latency = measure_direct(&fleet, stream_count).await?;
        let figures = measure_through_host(&fleet, stream_count).await?;
        cpu_us_by_stream_count.push(figures.cpu_us_per_hop);
        add_figures(&mut report, stream_count, &figures, &direct_latency);
    }
    let growth = cpu_us_by_stream_count[2] / cpu_us_by_stream_count[1];
    report.add_goal("cost_growth_100_to_1000", growth, Bound::AtMost(1.2));
    fleet
        .close()
        .await
        .map_err(|error| BenchError::new("stop the fleet", error))?;
    Ok(report)
}

fn add_figures(
    report: &mut Report,
    stream_count: usize,
    figures: &HostFigures,
    direct_latency: &Histogram<u64>,
) {
    let name = |figure: &str| format!("{figure}_at_{stream_count}");
    report.add_figure(name("cpu_us_per_hop"), figures.cpu_us_per_hop);
    report.add_figure(name("hops_per_s_per_core"), 1e6 / figures.cpu_us_per_hop);
    report.add_figure(
        name("memory_bytes_per_open_request"),
        figures.memory_bytes_per_open_request,
    );
    report.add_figure(name("tokens_per_s"), figures.tokens_per_s);
    for (percentile, quantile, limit_ms) in [("p50", 0.5, 1.0), ("p99", 0.99, 3.0)] {
        let through_host_ms = figures.latency.value_at_quantile(quantile) as f64 / 1e3;
        let direct_ms = direct_latency.value_at_quantile(quantile) as f64 / 1e3;
        let added_name = name(&format!("added_latency_ms_{percentile}"));
        report.add_figure(name(&format!("straight_ms_{percentile}")), direct_ms);
        if stream_count == GOAL_STREAM_COUNT {
            report.add_goal(
                added_name,
                through_host_ms - direct_ms,
                Bound::AtMost(limit_ms),
            );
        } else {
            report.add_figure(added_name, through_host_ms - direct_ms);
        }
    }
}

async fn start() -> Result<Fleet, BenchError> {
    let mut builder = Builder::default().settings(|settings| {
        settings.admission.open_limit_initial = OPEN_LIMIT_REQUESTS;
        settings.admission.open_limit_min = OPEN_LIMIT_REQUESTS;
    });
    builder.engine_standin.time_scale = 0.0;
    builder.engine_standin.batch_limit_steps = 4_096;
    for (stage, layers) in (0..).zip(builder::split_layers(builder::LAYER_COUNT, STAGES)) {
        let spec = Spec::new(format_smolstr!("stage-{stage}"), "muc-a")
            .holding(builder::MODEL, builder::MODEL_VERSION, layers)
            .with(|engine| {
                engine.link_delay_us = LINK_DELAY.as_micros() as u64;
                engine.link_bandwidth_bytes_per_s = 1 << 40;
            });
        builder = builder.engine(spec);
    }
    let started = builder.start().await;
    started.map_err(|error| BenchError::new("start the fleet", error))
}

/// Measures the host while `stream_count` streams run through it.
async fn measure_through_host(
    fleet: &Fleet,
    stream_count: usize,
) -> Result<HostFigures, BenchError> {
    let memory_before_bytes = resident_bytes();
    let recording = Arc::new(AtomicBool::new(false));
    let stop = Arc::new(AtomicBool::new(false));
    let mut streams = JoinSet::new();
    for number in 0..stream_count {
        let client = fleet.client(0);
        let (recording, stop) = (Arc::clone(&recording), Arc::clone(&stop));
        let mut completion = CompletionParams::new(prompt(number), LIMIT_TOKENS);
        completion.deadline = Some(DEADLINE);
        streams.spawn(async move {
            let mut tokens = client
                .stream(&completion)
                .await
                .map_err(|error| BenchError::new("open a stream", error))?;
            let mut latency = histogram();
            let mut last_at = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                let token = tokens.next().await;
                let token = token.ok_or_else(|| BenchError::new("read a stream", "ended early"))?;
                token.map_err(|error| BenchError::new("read a stream", error))?;
                record_latency(&mut latency, &mut last_at, &recording);
            }
            Ok::<_, BenchError>(latency)
        });
    }
    tokio::time::sleep(WARM_UP).await;
    let (hops_before, cpu_time_before) =
        (count_hops(fleet), cpu::thread_cpu_time(HOST_THREAD_PREFIX));
    let started = Instant::now();
    recording.store(true, Ordering::Relaxed);
    tokio::time::sleep(MEASURE_TIME).await;
    recording.store(false, Ordering::Relaxed);
    let elapsed = started.elapsed();
    let hops = (count_hops(fleet) - hops_before) as f64;
    let cpu_time = cpu::thread_cpu_time(HOST_THREAD_PREFIX) - cpu_time_before;
    let memory_bytes = resident_bytes().saturating_sub(memory_before_bytes);
    stop.store(true, Ordering::Relaxed);
    let latency = merge_latencies(streams).await?;
    Ok(HostFigures {
        cpu_us_per_hop: cpu_time.as_secs_f64() * 1e6 / hops,
        memory_bytes_per_open_request: memory_bytes as f64 / stream_count as f64,
        tokens_per_s: hops / f64::from(STAGES) / elapsed.as_secs_f64(),
        latency,
    })
}

/// Measures the latency of the same number of streams that call the stages without a host.
async fn measure_direct(fleet: &Fleet, stream_count: usize) -> Result<Histogram<u64>, BenchError> {
    let engine = Adapters::new(&fleet.settings_of(0)).ports().engine;
    let recording = Arc::new(AtomicBool::new(false));
    let stop = Arc::new(AtomicBool::new(false));
    let stages: Arc<Vec<_>> = Arc::new(fleet.engines.iter().map(stage).collect());
    let mut streams = JoinSet::new();
    for number in 0..stream_count {
        let engine = Arc::clone(&engine);
        let stages = Arc::clone(&stages);
        let (recording, stop) = (Arc::clone(&recording), Arc::clone(&stop));
        streams.spawn(async move {
            let request = format_smolstr!("straight-{stream_count}-{number}");
            let mut latency = histogram();
            let mut position = 0;
            let mut tokens = prompt(number);
            let mut last_at = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                let count = tokens.len() as u32;
                let token = generate_token(&*engine, &stages, &request, position, tokens).await?;
                position += count;
                tokens = vec![token];
                record_latency(&mut latency, &mut last_at, &recording);
            }
            for (target, _) in stages.iter() {
                engine.cancel(target, request.clone(), 0);
            }
            Ok::<_, BenchError>(latency)
        });
    }
    tokio::time::sleep(WARM_UP).await;
    recording.store(true, Ordering::Relaxed);
    tokio::time::sleep(MEASURE_TIME).await;
    stop.store(true, Ordering::Relaxed);
    merge_latencies(streams).await
}

type Stage = (TargetAddress, anvil_core::id::LayerRange);

fn stage(engine: &anvil_fleet::engine::Engine) -> Stage {
    let target = TargetAddress {
        id: engine.spec.id.clone(),
        address: engine.standin.address(),
    };
    (target, engine.spec.properties.holds[0].layers)
}

/// Runs one step on each stage in turn and returns the token of the last one.
async fn generate_token(
    engine: &dyn Engine,
    stages: &[Stage],
    request: &SmolStr,
    position: u32,
    tokens: Vec<Token>,
) -> Result<Token, BenchError> {
    let mut input = Input::Tokens(tokens);
    for (target, layers) in stages {
        let token_count = input.token_count();
        let step = Step {
            name: Name {
                request: request.clone(),
                attempt: 0,
                position,
                layers: *layers,
            },
            model: builder::MODEL.into(),
            version: builder::MODEL_VERSION.into(),
            priority: 1,
            time_left: STEP_TIMEOUT,
            input,
        };
        let answer = engine.step(target, step, STEP_TIMEOUT).await;
        let answer = answer.map_err(|error| BenchError::new("run a step", error))?;
        match answer.output {
            Output::Token(token) => return Ok(token),
            Output::Activations(data) => input = Input::Activations { token_count, data },
        }
    }
    Err(BenchError::new("run a step", "no stage returned a token"))
}

fn prompt(number: usize) -> Vec<Token> {
    let number = number as Token;
    (0..PROMPT_TOKENS).map(|index| number + index).collect()
}

fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_max(LATENCY_MAX_US, 3);
    histogram.expect("the bounds of the histogram are valid")
}

fn record_latency(latency: &mut Histogram<u64>, last_at: &mut Instant, recording: &AtomicBool) {
    let now = Instant::now();
    let elapsed_us = now.duration_since(*last_at).as_micros() as u64;
    *last_at = now;
    if recording.load(Ordering::Relaxed) {
        latency.saturating_record(elapsed_us);
    }
}

async fn merge_latencies(
    mut streams: JoinSet<Result<Histogram<u64>, BenchError>>,
) -> Result<Histogram<u64>, BenchError> {
    let mut all = histogram();
    while let Some(joined) = streams.join_next().await {
        let latency = joined.map_err(|error| BenchError::new("join a stream task", error))??;
        all.add(latency)
            .map_err(|error| BenchError::new("merge latencies", error))?;
    }
    Ok(all)
}

/// Returns the number of steps that all stages have applied so far.
fn count_hops(fleet: &Fleet) -> u64 {
    let engines = fleet.engines.iter();
    engines
        .map(|engine| engine.standin.counts().applied_steps)
        .sum()
}

/// Returns the resident memory of this process in bytes, with stand-ins and callers, or 0 if it
/// can't be read.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
