//! `overload`: goodput and fairness above the capacity, with half of the engines down, and after
//! the overload has ended.

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
    WindowStats, //
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
    print_progress, //
};

/// Entry of this experiment in the list of all experiments.
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
/// Time after which an answer no longer counts as goodput.
const DEADLINE: Duration = Duration::from_secs(2);
const SETTLE_TIME: Duration = Duration::from_secs(1);
const MEASURE_TIME: Duration = Duration::from_secs(5);
const MEASURE_TIME_NO_ADMISSION: Duration = Duration::from_secs(3);
/// Time of the measurement at twice the capacity. It is longer than `MEASURE_TIME`, to reduce the
/// random variation of each of the ten teams.
const MEASURE_TIME_TWICE: Duration = Duration::from_secs(7);
/// Time for which the load after the overload is observed.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Intervals into which `RECOVERY_TIME` is divided. Each is evaluated on its own.
const RECOVERY_INTERVAL: Duration = Duration::from_secs(1);
/// Smallest fraction of the offered requests that have to be answered in time for the load to count
/// as served again.
const SERVED_RATIO_MIN: f64 = 0.95;

/// Returns the requests per second that the engines could run if a batch had no fixed cost.
fn capacity_per_s() -> f64 {
    let layers = f64::from(builder::LAYER_COUNT) / f64::from(STAGES);
    let tokens = f64::from(PROMPT_TOKENS + ANSWER_TOKENS - 1);
    let busy_s = tokens * layers * LAYER_TIME_NS as f64 / 1e9;
    REPLICAS as f64 / busy_s
}

async fn run(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    let capacity = capacity_per_s();
    report.add_figure("capacity_requests_per_s", capacity);
    let fleet = start(Admission::On).await?;
    let mut callers = Callers::new(&fleet, context.seed);
    let full_load = measure(&mut callers, "full load", capacity * 1.1, MEASURE_TIME).await;
    let twice_capacity = measure(
        &mut callers,
        "twice the capacity",
        capacity * 2.0,
        MEASURE_TIME_TWICE,
    )
    .await;
    let peak = full_load
        .goodput_per_s()
        .max(twice_capacity.goodput_per_s());
    report.add_figure("peak_requests_per_s", peak);
    twice_capacity.add_to(&mut report, "at_2x");
    report.add_goal(
        "goodput_ratio_at_2x",
        twice_capacity.goodput_per_s() / peak,
        Bound::AtLeast(0.95),
    );
    report.add_goal(
        "min_team_share_ratio",
        twice_capacity.min_team_share_ratio(),
        Bound::AtLeast(0.9),
    );
    measure_half_down(&fleet, &mut callers, &mut report, peak).await?;
    let required_token_layers = callers.answered() as f64 * token_layers_per_request();
    report.add_goal(
        "retry_amplification",
        engine_token_layers(&fleet) / required_token_layers,
        Bound::AtMost(1.1),
    );
    report.add_goal("wrong_answers", callers.wrong() as f64, Bound::AtMost(0.0));
    callers.close().await;
    drop(fleet);
    let fleet = start(Admission::Off).await?;
    let mut callers = Callers::new(&fleet, context.seed);
    let no_admission = measure(
        &mut callers,
        "twice the capacity, without admission",
        capacity * 2.0,
        MEASURE_TIME_NO_ADMISSION,
    )
    .await;
    report.add_figure(
        "goodput_ratio_at_2x_no_admission",
        no_admission.goodput_per_s() / peak,
    );
    report.add_figure(
        "min_team_share_ratio_no_admission",
        no_admission.min_team_share_ratio(),
    );
    no_admission.add_to(&mut report, "at_2x_no_admission");
    callers.close().await;
    Ok(report)
}

/// Measures twice the load that half of the engines can serve, with the other half down. Then
/// restarts those and measures how soon a load that all engines can serve is served again.
async fn measure_half_down(
    fleet: &Fleet,
    callers: &mut Callers,
    report: &mut Report,
    peak: f64,
) -> Result<(), BenchError> {
    let half = usize::from(STAGES) * REPLICAS / 2;
    for engine in &fleet.engines[..half] {
        engine.standin.kill().await;
    }
    let down = measure(callers, "half of the engines down", peak, MEASURE_TIME).await;
    down.add_to(report, "half_targets_down");
    report.add_goal(
        "goodput_ratio_half_targets_down",
        down.goodput_per_s() / (peak / 2.0),
        Bound::AtLeast(0.95),
    );
    for engine in &fleet.engines[..half] {
        engine
            .standin
            .restart(RetainedState::Lost)
            .await
            .map_err(|error| BenchError::new("restart an engine", error))?;
    }
    print_progress("all engines are up again");
    callers.set_rate(peak * 0.7);
    let intervals = callers
        .observe_intervals(RECOVERY_TIME, RECOVERY_INTERVAL)
        .await;
    let served = |window: &WindowStats| window.served_ratio() >= SERVED_RATIO_MIN;
    let last_unserved = intervals.iter().rposition(|window| !served(window));
    let served_again_after = RECOVERY_INTERVAL * last_unserved.map_or(0, |index| index as u32 + 1);
    report.add_figure(
        "shed_load_served_again_ms",
        served_again_after.as_millis() as u64,
    );
    let ratios: Vec<_> = intervals.iter().map(WindowStats::served_ratio).collect();
    report.add_figure("served_ratio_after_overload", ratios);
    Ok(())
}

async fn measure(
    callers: &mut Callers,
    name: &str,
    rate_per_s: f64,
    time: Duration,
) -> WindowStats {
    print_progress(format_args!("{name}: {rate_per_s:.0} requests per second"));
    callers.set_rate(rate_per_s);
    tokio::time::sleep(SETTLE_TIME).await;
    callers.observe(time).await
}

/// Whether the hosts limit the number of open requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Admission {
    On,
    Off,
}

async fn start(admission: Admission) -> Result<Fleet, BenchError> {
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
    if admission == Admission::Off {
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

/// Limit on open requests that is never reached.
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
