//! `recovery`: time from a fault to the next token at the callers whose requests it met.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::{
    recovery::RecoveryAction,
    route::Policy, //
};
use anvil_fleet::{
    Fleet,
    engine::Engine, //
};
use anvil_wire::generated::platform::ListState;
use futures::FutureExt;

use super::{
    BenchError,
    Context,
    Experiment, //
};
use crate::{
    load::{
        Callers,
        MixedFleet,
        Shape,
        Tally, //
    },
    report::{
        Bound,
        Report,
        progress, //
    },
};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "recovery",
    about: "time from a fault to the next token, and what became of the requests it met",
    run: |context| measure(context).boxed(),
};

const HOST_COUNT: usize = 3;
const CALLERS_PER_HOST: usize = 8;
/// Time of one layer for one token on the fastest kind.
const FASTEST_LAYER_TIME_NS: u64 = 20_000;
const WARM_UP: Duration = Duration::from_millis(2_500);
/// Time after the fault in which requests go on.
const AFTERWARDS: Duration = Duration::from_millis(3_000);
/// Time after which a leaving target must be free of work.
const LEAVE_LIMIT: Duration = Duration::from_secs(2);
const KILL_GOAL_MS: f64 = 250.0;
const SILENT_GOAL_MS: f64 = 1_000.0;
const SLOW_LINK_DELAY: Duration = Duration::from_millis(50);
const RECOVERY_ACTIONS: [RecoveryAction; 7] = [
    RecoveryAction::Resume,
    RecoveryAction::Pause,
    RecoveryAction::Import,
    RecoveryAction::Rebuild,
    RecoveryAction::PrefillAgain,
    RecoveryAction::Wait,
    RecoveryAction::GiveUp,
];

/// A fault to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Case {
    Kill,
    Silent,
    LinkSlow,
    Leave,
    DataCentre,
}

const CASES: [Case; 5] = [
    Case::Kill,
    Case::Silent,
    Case::LinkSlow,
    Case::Leave,
    Case::DataCentre,
];

impl Case {
    fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Silent => "silent",
            Self::LinkSlow => "link_slow",
            Self::Leave => "leave",
            Self::DataCentre => "data_centre",
        }
    }

    /// Bound on the time to the next token beyond that of detection.
    fn goal_ms(self) -> Option<f64> {
        match self {
            Self::Kill => Some(KILL_GOAL_MS),
            Self::Silent => Some(SILENT_GOAL_MS),
            Self::LinkSlow | Self::Leave | Self::DataCentre => None,
        }
    }

    /// Time before which the fault can't be told from a target that is slow.
    fn detection_ms(self, fleet: &Fleet) -> f64 {
        let health = &fleet.host(0).shared().settings.targets.health;
        match self {
            Self::Silent => health.step_deadline_min.as_secs_f64() * 1e3,
            Self::Kill | Self::LinkSlow | Self::Leave | Self::DataCentre => 0.0,
        }
    }

    async fn strike(self, fleet: &Fleet) {
        let busiest = busiest(fleet);
        match self {
            Self::Kill => busiest.standin.kill().await,
            Self::Silent => busiest.standin.silence_connections(),
            Self::LinkSlow => busiest.standin.set_link(SLOW_LINK_DELAY, 0),
            Self::Leave => fleet.set_list_state(&busiest.spec.id, ListState::Leaving),
            Self::DataCentre => {
                let gone = busiest.spec.data_centre.clone();
                let engines = fleet.engines.iter();
                for engine in engines.filter(|engine| engine.spec.data_centre == gone) {
                    engine.standin.kill().await;
                }
            }
        }
    }
}

fn busiest(fleet: &Fleet) -> &Engine {
    fleet
        .engines
        .iter()
        .max_by_key(|engine| engine.standin.open_sequences())
        .expect("the fleet has engines")
}

async fn measure(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    let mut lost = 0;
    let mut duplicated = 0;
    let mut cut_off = 0;
    let mut wrong = 0;
    for case in CASES {
        progress(case.name());
        let tally = measure_case(context, case, &mut report).await?;
        let outcomes = tally.outcomes();
        lost += outcomes.refused;
        duplicated += outcomes.duplicated;
        cut_off += outcomes.cut_off;
        wrong += outcomes.wrong;
        if let Some(error) = tally.last_error() {
            progress(format_args!("{outcomes:?}, last error {error}"));
        }
    }
    report.goal("lost", lost as f64, Bound::AtMost(0.0));
    report.goal("duplicated", duplicated as f64, Bound::AtMost(0.0));
    report.goal("cut_off", cut_off as f64, Bound::AtMost(0.0));
    report.goal("wrong_answers", wrong as f64, Bound::AtMost(0.0));
    Ok(report)
}

async fn measure_case(
    context: Context,
    case: Case,
    report: &mut Report,
) -> Result<Arc<Tally>, BenchError> {
    let fleet = MixedFleet::new(FASTEST_LAYER_TIME_NS)
        .builder(HOST_COUNT, Policy::Predicted)
        .start()
        .await
        .map_err(|error| BenchError::new("start", error))?;
    let tally = Arc::new(Tally::default());
    let shape = Shape {
        prompt_tokens: 4..=24,
        answer_tokens: 24..=96,
    };
    let clients =
        (0..HOST_COUNT * CALLERS_PER_HOST).map(|number| fleet.client(number % HOST_COUNT));
    let callers = Callers::start(clients.collect(), &shape, &tally, context.seed);
    tokio::time::sleep(WARM_UP).await;
    let before = recoveries(&fleet);
    let victim = busiest(&fleet);
    tally.fault_begins(Instant::now());
    case.strike(&fleet).await;
    if case == Case::Leave {
        tokio::time::sleep(LEAVE_LIMIT).await;
        let steps = victim.standin.counts().applied_steps;
        tokio::time::sleep(AFTERWARDS.saturating_sub(LEAVE_LIMIT)).await;
        let after = victim.standin.counts().applied_steps - steps;
        report.goal("leave_steps_after_2s", after as f64, Bound::AtMost(0.0));
    } else {
        tokio::time::sleep(AFTERWARDS).await;
    }
    let after = recoveries(&fleet);
    callers.close().await;
    show(case, &fleet, &tally, before, after, report);
    fleet
        .close()
        .await
        .map_err(|error| BenchError::new("close", error))?;
    Ok(tally)
}

fn show(
    case: Case,
    fleet: &Fleet,
    tally: &Tally,
    before: [u64; RECOVERY_ACTIONS.len()],
    after: [u64; RECOVERY_ACTIONS.len()],
    report: &mut Report,
) {
    let name = case.name();
    let met = tally.met_by_fault();
    let p99 = tally.next_token_ms(0.99);
    report.figure(format!("{name}_requests_met"), met);
    report.figure(
        format!("{name}_next_token_ms_p50"),
        tally.next_token_ms(0.5),
    );
    report.figure(format!("{name}_next_token_ms_p99"), p99);
    report.figure(
        format!("{name}_between_token_ms_p95"),
        tally.between_tokens_ms(0.95),
    );
    if let Some(goal_ms) = case.goal_ms() {
        let beyond = p99 - case.detection_ms(fleet);
        report.goal(
            format!("{name}_next_token_ms_p99_beyond_detection"),
            beyond,
            Bound::AtMost(goal_ms),
        );
    }
    for (index, action) in RECOVERY_ACTIONS.into_iter().enumerate() {
        let share = (after[index] - before[index]) as f64 / met.max(1) as f64;
        report.figure(format!("{name}_share_{action}"), share);
    }
}

fn recoveries(fleet: &Fleet) -> [u64; RECOVERY_ACTIONS.len()] {
    RECOVERY_ACTIONS.map(|action| {
        (0..HOST_COUNT)
            .map(|host| {
                fleet
                    .host(host)
                    .shared()
                    .targets
                    .counters
                    .recoveries(action)
            })
            .sum()
    })
}
