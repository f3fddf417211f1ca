//! `overload`: goodput and fairness above capacity, with half of the engines down, and afterwards.

mod callers;

use std::time::Duration;

use anvil_fleet::{
    Builder,
    Fleet,
    builder,
    engine::Spec, //
};
use anvil_standins::engine::RetainedState;
use callers::{
    Callers,
    Phase, //
};
use futures::FutureExt;
use smol_str::format_smolstr;

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
    name: "overload",
    about: "goodput and fairness at twice the capacity and with half of the engines down",
    run: |context| run(context).boxed(),
};

const HOSTS: usize = 3;
const TEAMS: usize = 10;
const REPLICAS: usize = 4;
const STAGES: u16 = 2;
const LAYER_TIME_NS: u64 = 200_000;
const BATCH_TIME_US: u64 = 1_000;
const PROMPT_TOKENS: u32 = 8;
const ANSWER_TOKENS: u32 = 16;
/// Time within which an answer is useful.
const DEADLINE: Duration = Duration::from_secs(2);
const SETTLE: Duration = Duration::from_secs(1);
const MEASURE: Duration = Duration::from_secs(5);
const MEASURE_NO_ADMISSION: Duration = Duration::from_secs(3);
/// Time at twice the capacity: longer, so that chance at each of ten teams weighs less.
const MEASURE_TWICE: Duration = Duration::from_secs(7);
/// Time after the overload in which the load is watched, and the parts that it is judged by.
const RECOVERY: Duration = Duration::from_secs(5);
const RECOVERY_PART: Duration = Duration::from_secs(1);
/// Part of the offered load that counts as served again.
const SERVED_PART: f64 = 0.95;

/// Requests a second that the engines could run if batches cost nothing.
fn capacity_per_s() -> f64 {
    let layers = f64::from(builder::LAYER_COUNT) / f64::from(STAGES);
    let tokens = f64::from(PROMPT_TOKENS + ANSWER_TOKENS - 1);
    let busy_s = tokens * layers * LAYER_TIME_NS as f64 / 1e9;
    REPLICAS as f64 / busy_s
}

async fn run(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    let capacity = capacity_per_s();
    report.figure("capacity_requests_per_s", capacity);
    let fleet = start(Gate::On).await?;
    let mut callers = Callers::new(&fleet, context.seed);
    let full = measure(&mut callers, "full load", capacity * 1.1, MEASURE).await;
    let twice = measure(
        &mut callers,
        "twice the capacity",
        capacity * 2.0,
        MEASURE_TWICE,
    )
    .await;
    let peak = full.goodput_per_s().max(twice.goodput_per_s());
    report.figure("peak_requests_per_s", peak);
    twice.add_to(&mut report, "at_2x");
    report.goal(
        "goodput_ratio_at_2x",
        twice.goodput_per_s() / peak,
        Bound::AtLeast(0.95),
    );
    report.goal(
        "min_team_share_ratio",
        twice.min_team_share_ratio(),
        Bound::AtLeast(0.9),
    );
    half_down(&fleet, &mut callers, &mut report, peak).await?;
    let needed = callers.answered() as f64 * token_layers_per_request();
    report.goal(
        "retry_amplification",
        engine_token_layers(&fleet) / needed,
        Bound::AtMost(1.1),
    );
    report.goal("wrong_answers", callers.wrong() as f64, Bound::AtMost(0.0));
    callers.close().await;
    drop(fleet);
    let fleet = start(Gate::Off).await?;
    let mut callers = Callers::new(&fleet, context.seed);
    let open = measure(
        &mut callers,
        "twice, without admission",
        capacity * 2.0,
        MEASURE_NO_ADMISSION,
    )
    .await;
    report.figure(
        "goodput_ratio_at_2x_no_admission",
        open.goodput_per_s() / peak,
    );
    report.figure(
        "min_team_share_ratio_no_admission",
        open.min_team_share_ratio(),
    );
    open.add_to(&mut report, "at_2x_no_admission");
    callers.close().await;
    Ok(report)
}

/// Half of the engines down under twice the load of the rest; then they return, and so does a load
/// that can be served.
async fn half_down(
    fleet: &Fleet,
    callers: &mut Callers,
    report: &mut Report,
    peak: f64,
) -> Result<(), BenchError> {
    let half = usize::from(STAGES) * REPLICAS / 2;
    for engine in &fleet.engines[..half] {
        engine.standin.kill().await;
    }
    let down = measure(callers, "half of the engines down", peak, MEASURE).await;
    down.add_to(report, "half_targets_down");
    report.goal(
        "goodput_ratio_half_targets_down",
        down.goodput_per_s() / (peak / 2.0),
        Bound::AtLeast(0.95),
    );
    for engine in &fleet.engines[..half] {
        engine
            .standin
            .restart(RetainedState::Lost)
            .await
            .map_err(|error| BenchError::new("revive an engine", error))?;
    }
    progress("the engines return");
    callers.set_rate(peak * 0.7);
    let parts = callers.observe_parts(RECOVERY, RECOVERY_PART).await;
    let served = |phase: &Phase| phase.served_ratio() >= SERVED_PART;
    let missed = parts.iter().rposition(|phase| !served(phase));
    let again = RECOVERY_PART * missed.map_or(0, |index| index as u32 + 1);
    report.figure("shed_load_served_again_ms", again.as_millis() as u64);
    let ratios: Vec<_> = parts.iter().map(Phase::served_ratio).collect();
    report.figure("served_ratio_after_overload", ratios);
    Ok(())
}

async fn measure(callers: &mut Callers, name: &str, rate_per_s: f64, time: Duration) -> Phase {
    progress(format_args!("{name}: {rate_per_s:.0} requests a second"));
    callers.set_rate(rate_per_s);
    tokio::time::sleep(SETTLE).await;
    callers.observe(time).await
}

/// Whether the hosts' gates limit what runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gate {
    On,
    Off,
}

async fn start(gate: Gate) -> Result<Fleet, BenchError> {
    let mut fleet = Builder::default().hosts(HOSTS);
    for replica in 0..REPLICAS {
        for (stage, layers) in builder::split_layers(builder::LAYER_COUNT, STAGES)
            .into_iter()
            .enumerate()
        {
            let id = format_smolstr!("engine-{replica}-{stage}");
            let spec = Spec::new(id, fleet.data_centre(replica)).with(|engine| {
                engine.layer_time_ns = LAYER_TIME_NS;
                engine.batch_time_us = BATCH_TIME_US;
            });
            fleet = fleet.engine(spec.holding(builder::MODEL, builder::MODEL_VERSION, layers));
        }
    }
    for team in 0..TEAMS {
        let name = team_name(team);
        fleet = fleet.team(name.clone(), builder::team(&name));
    }
    if gate == Gate::Off {
        fleet = fleet.settings(|settings| {
            settings.admission.open_limit_initial = OPEN_LIMIT_OFF;
            settings.admission.open_limit_min = OPEN_LIMIT_OFF;
        });
    }
    fleet
        .start()
        .await
        .map_err(|error| BenchError::new("start the fleet", error))
}

/// A limit on open requests that is never reached.
const OPEN_LIMIT_OFF: u32 = 4096;

fn team_name(index: usize) -> smol_str::SmolStr {
    format_smolstr!("team-{index}")
}

fn token_layers_per_request() -> f64 {
    f64::from(PROMPT_TOKENS + ANSWER_TOKENS - 1) * f64::from(builder::LAYER_COUNT)
}

fn engine_token_layers(fleet: &Fleet) -> f64 {
    fleet
        .engines
        .iter()
        .map(|engine| engine.standin.counts().applied_token_layers as f64)
        .sum()
}
