//! `recovery`: time from a fault to the next token of the requests that were running then.

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
        RequestLengths,
        Tally, //
    },
    report::{
        Bound,
        Report,
        print_progress, //
    },
};

/// Entry of this experiment in the list of all experiments.
pub const EXPERIMENT: Experiment = Experiment {
    name: "recovery",
    about: "time from a fault to the next token, and outcomes of the requests that it affected",
    run: |context| measure(context).boxed(),
};

const HOSTS: usize = 3;
const CALLERS_PER_HOST: usize = 8;
/// Time per layer and token on the fastest kind of accelerator.
const FASTEST_LAYER_TIME_NS: u64 = 20_000;
const WARM_UP: Duration = Duration::from_millis(2_500);
/// Time for which the callers go on after the fault.
const TIME_AFTER_FAULT: Duration = Duration::from_millis(3_000);
/// Time within which a leaving target has to finish its work.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);
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

/// Fault to measure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Kill,
    Silent,
    LinkSlow,
    Leave,
    DataCentre,
}

const FAULTS: [Fault; 5] = [
    Fault::Kill,
    Fault::Silent,
    Fault::LinkSlow,
    Fault::Leave,
    Fault::DataCentre,
];

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Silent => "silent",
            Self::LinkSlow => "link_slow",
            Self::Leave => "leave",
            Self::DataCentre => "data_centre",
        }
    }

    /// Returns the goal for the time to the next token after detection, or `None` without a goal.
    fn goal_ms(self) -> Option<f64> {
        match self {
            Self::Kill => Some(KILL_GOAL_MS),
            Self::Silent => Some(SILENT_GOAL_MS),
            Self::LinkSlow | Self::Leave | Self::DataCentre => None,
        }
    }

    /// Returns the time in milliseconds before which the fault can't be distinguished from a slow
    /// target.
    fn detection_ms(self, fleet: &Fleet) -> f64 {
        let health = &fleet.host(0).shared().settings.targets.health;
        match self {
            Self::Silent => health.step_deadline_min.as_secs_f64() * 1e3,
            Self::Kill | Self::LinkSlow | Self::Leave | Self::DataCentre => 0.0,
        }
    }

    /// Causes the fault on the engine with the most open sequences, or in its data centre.
    async fn inject(self, fleet: &Fleet) {
        let busiest_engine = busiest_engine(fleet);
        match self {
            Self::Kill => busiest_engine.standin.kill().await,
            Self::Silent => busiest_engine.standin.silence_connections(),
            Self::LinkSlow => busiest_engine.standin.set_link(SLOW_LINK_DELAY, 0),
            Self::Leave => fleet.set_list_state(&busiest_engine.spec.id, ListState::Leaving),
            Self::DataCentre => {
                let failed_data_centre = busiest_engine.spec.data_centre.clone();
                let engines = fleet.engines.iter();
                for engine in engines.filter(|engine| engine.spec.data_centre == failed_data_centre)
                {
                    engine.standin.kill().await;
                }
            }
        }
    }
}

fn busiest_engine(fleet: &Fleet) -> &Engine {
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
    for fault in FAULTS {
        print_progress(fault.name());
        let tally = measure_fault(context, fault, &mut report).await?;
        let outcomes = tally.outcomes();
        lost += outcomes.refused;
        duplicated += outcomes.duplicated;
        cut_off += outcomes.cut_off;
        wrong += outcomes.wrong;
        if let Some(error) = tally.last_error() {
            print_progress(format_args!("{outcomes:?}, last error {error}"));
        }
    }
    report.add_goal("lost", lost as f64, Bound::AtMost(0.0));
    report.add_goal("duplicated", duplicated as f64, Bound::AtMost(0.0));
    report.add_goal("cut_off", cut_off as f64, Bound::AtMost(0.0));
    report.add_goal("wrong_answers", wrong as f64, Bound::AtMost(0.0));
    Ok(report)
}

async fn measure_fault(
    context: Context,
    fault: Fault,
    report: &mut Report,
) -> Result<Arc<Tally>, BenchError> {
    let fleet = MixedFleet::new(FASTEST_LAYER_TIME_NS)
        .builder(HOSTS, Policy::Predicted)
        .start()
        .await
        .map_err(|error| BenchError::new("start the fleet", error))?;
    let tally = Arc::new(Tally::default());
    let lengths = RequestLengths {
        prompt_tokens: 4..=24,
        answer_tokens: 24..=96,
    };
    let clients = (0..HOSTS * CALLERS_PER_HOST).map(|number| fleet.client(number % HOSTS));
    let callers = Callers::start(clients.collect(), &lengths, &tally, context.seed);
    tokio::time::sleep(WARM_UP).await;
    let before = recovery_counts(&fleet);
    let affected_engine = busiest_engine(&fleet);
    tally.record_fault(Instant::now());
    fault.inject(&fleet).await;
    if fault == Fault::Leave {
        tokio::time::sleep(LEAVE_TIMEOUT).await;
        let steps_at_timeout = affected_engine.standin.counts().applied_steps;
        tokio::time::sleep(TIME_AFTER_FAULT.saturating_sub(LEAVE_TIMEOUT)).await;
        let late_steps = affected_engine.standin.counts().applied_steps - steps_at_timeout;
        report.add_goal(
            "leave_steps_after_2s",
            late_steps as f64,
            Bound::AtMost(0.0),
        );
    } else {
        tokio::time::sleep(TIME_AFTER_FAULT).await;
    }
    let after = recovery_counts(&fleet);
    callers.close().await;
    add_figures(fault, &fleet, &tally, before, after, report);
    fleet
        .close()
        .await
        .map_err(|error| BenchError::new("stop the fleet", error))?;
    Ok(tally)
}

fn add_figures(
    fault: Fault,
    fleet: &Fleet,
    tally: &Tally,
    before: [u64; RECOVERY_ACTIONS.len()],
    after: [u64; RECOVERY_ACTIONS.len()],
    report: &mut Report,
) {
    let name = fault.name();
    let affected_requests = tally.requests_affected_by_fault();
    let p99_ms = tally.next_token_ms(0.99);
    report.add_figure(format!("{name}_requests_met"), affected_requests);
    report.add_figure(
        format!("{name}_next_token_ms_p50"),
        tally.next_token_ms(0.5),
    );
    report.add_figure(format!("{name}_next_token_ms_p99"), p99_ms);
    report.add_figure(
        format!("{name}_between_token_ms_p95"),
        tally.between_tokens_ms(0.95),
    );
    if let Some(goal_ms) = fault.goal_ms() {
        let beyond_detection_ms = p99_ms - fault.detection_ms(fleet);
        report.add_goal(
            format!("{name}_next_token_ms_p99_beyond_detection"),
            beyond_detection_ms,
            Bound::AtMost(goal_ms),
        );
    }
    for (index, action) in RECOVERY_ACTIONS.into_iter().enumerate() {
        let share = (after[index] - before[index]) as f64 / affected_requests.max(1) as f64;
        report.add_figure(format!("{name}_share_{action}"), share);
    }
}

fn recovery_counts(fleet: &Fleet) -> [u64; RECOVERY_ACTIONS.len()] {
    RECOVERY_ACTIONS.map(|action| {
        (0..HOSTS)
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
