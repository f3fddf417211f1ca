//! `config`: patches raced by operators on 20 hosts, through faults of the log.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use anvil_core::{
    config::{
        Change,
        Entry,
        Patch, //
    },
    id::Version, //
};
use anvil_fleet::{
    Builder,
    Fleet,
    builder, //
};
use anvil_host::{
    config::PatchOutcome,
    shared::Shared, //
};
use anvil_standins::{
    fault::Rate,
    log::Fault, //
};
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use hdrhistogram::Histogram;
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
    name: "config",
    about: "patches raced on 20 hosts through faults: time to be in force, reverts, lost patches",
    run,
};

const HOSTS: usize = 20;
const FEW_HOSTS: usize = 5;
const ROUNDS: usize = 60;
/// Operators that race in each round.
const OPERATORS: usize = 3;
const FAULT_SHARE: f64 = 0.1;
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(1);
const QUIET: Duration = Duration::from_secs(5);
const IN_FORCE_GOAL_MS: f64 = 1000.0;

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move { measure(context).await }.boxed()
}

/// What the rounds gave.
struct Rounds {
    in_force_ms: Histogram<u64>,
    accepted: u64,
    stale: u64,
    stale_won: u64,
    lost_accepted: u64,
    without_verdict: u64,
    late: u64,
}

async fn measure(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    progress("log reads of few hosts");
    let few = start(FEW_HOSTS).await?;
    report.figure("log_reads_per_s_at_5_hosts", reads_per_s(&few).await);
    close(few).await?;
    let fleet = start(HOSTS).await?;
    progress("log reads of 20 hosts");
    report.figure("log_reads_per_s_at_20_hosts", reads_per_s(&fleet).await);
    progress("operators race");
    let watch = Watch::start(&fleet);
    for fault in [Fault::LoseAnswer, Fault::AppendTwice, Fault::LoseAppend] {
        fleet.log.set_fault(fault, Rate::Probability(FAULT_SHARE));
    }
    let rounds = race(&fleet).await;
    report.goal("reverts", watch.close().await as f64, Bound::AtMost(0.0));
    let in_force = |quantile| rounds.in_force_ms.value_at_quantile(quantile) as f64;
    report.figure("in_force_ms_p50", in_force(0.5));
    report.goal(
        "in_force_ms_p99",
        in_force(0.99),
        Bound::AtMost(IN_FORCE_GOAL_MS),
    );
    report.figure("accepted", rounds.accepted);
    report.figure("stale", rounds.stale);
    report.figure("without_verdict", rounds.without_verdict);
    report.goal("stale_won", rounds.stale_won as f64, Bound::AtMost(0.0));
    report.goal(
        "lost_accepted",
        rounds.lost_accepted as f64,
        Bound::AtMost(0.0),
    );
    report.goal(
        "not_in_force_in_10_s",
        rounds.late as f64,
        Bound::AtMost(0.0),
    );
    close(fleet).await?;
    Ok(report)
}

async fn start(host_count: usize) -> Result<Fleet, BenchError> {
    let mut builder = Builder::default().hosts(host_count).pipeline(1, 1);
    builder.threads_per_host = 1;
    let started = builder.start().await;
    started.map_err(|error| BenchError::new("start the fleet", error))
}

async fn close(fleet: Fleet) -> Result<(), BenchError> {
    let closed = fleet.close().await;
    closed.map_err(|error| BenchError::new("stop", error))?;
    Ok(())
}

/// Reads of the log by a fleet in which nothing changes.
async fn reads_per_s(fleet: &Fleet) -> f64 {
    tokio::time::sleep(QUIET).await;
    let before = fleet.log.reads();
    tokio::time::sleep(QUIET).await;
    (fleet.log.reads() - before) as f64 / QUIET.as_secs_f64()
}

fn hosts_of(fleet: &Fleet) -> Vec<Arc<Shared>> {
    (0..HOSTS)
        .map(|index| Arc::clone(fleet.host(index).shared()))
        .collect()
}

/// Looks for versions that fall, on every host.
struct Watch {
    task: tokio::task::JoinHandle<u64>,
    stop: Arc<tokio::sync::Notify>,
}

impl Watch {
    fn start(fleet: &Fleet) -> Self {
        let hosts = hosts_of(fleet);
        let stop = Arc::new(tokio::sync::Notify::new());
        let stopped = Arc::clone(&stop);
        let task = tokio::spawn(async move {
            let mut highest = vec![0; hosts.len()];
            let mut reverts = 0;
            loop {
                for (host, highest) in hosts.iter().zip(&mut highest) {
                    let version = host.config().version;
                    reverts += u64::from(version < *highest);
                    *highest = version.max(*highest);
                }
                tokio::select! {
                    () = stopped.notified() => return reverts,
                    () = tokio::time::sleep(POLL) => {}
                }
            }
        });
        Self { task, stop }
    }

    async fn close(self) -> u64 {
        self.stop.notify_one();
        self.task.await.unwrap_or(u64::MAX)
    }
}

async fn race(fleet: &Fleet) -> Rounds {
    let hosts = hosts_of(fleet);
    let mut rounds = Rounds {
        in_force_ms: Histogram::new(3).expect("the bounds of the histogram are valid"),
        accepted: 0,
        stale: 0,
        stale_won: 0,
        lost_accepted: 0,
        without_verdict: 0,
        late: 0,
    };
    for round in 0..ROUNDS {
        let base = hosts.iter().map(|host| host.config().version).max();
        let base = base.unwrap_or_default();
        let submits = (0..OPERATORS).map(|operator| {
            let host = &hosts[(round * OPERATORS + operator) % hosts.len()];
            submit(host, patch(round, operator, base))
        });
        let answers = futures::future::join_all(submits).await;
        let accepted: Vec<_> = answers.iter().filter_map(accepted_as).collect();
        rounds.accepted += accepted.len() as u64;
        rounds.stale_won += accepted.len().saturating_sub(1) as u64;
        for (answer, _) in &answers {
            match answer {
                PatchOutcome::Stale { .. } => rounds.stale += 1,
                PatchOutcome::Accepted { .. } => {}
                PatchOutcome::Invalid { .. }
                | PatchOutcome::Unknown { .. }
                | PatchOutcome::NotAppended { .. } => rounds.without_verdict += 1,
            }
        }
        if let Some((version, started)) = accepted.first() {
            wait_in_force(&hosts, *version, *started, &mut rounds).await;
        }
    }
    rounds.lost_accepted = lost(&hosts, rounds.accepted);
    rounds
}

fn accepted_as(answer: &(PatchOutcome, Instant)) -> Option<(Version, Instant)> {
    match answer {
        (PatchOutcome::Accepted { version }, started) => Some((*version, *started)),
        _ => None,
    }
}

async fn submit(host: &Arc<Shared>, patch: Patch) -> (PatchOutcome, Instant) {
    let started = Instant::now();
    let mut submitted = host.configuration.submit(patch.clone()).await;
    // An operator asks again under the same id.
    if matches!(submitted, PatchOutcome::Unknown { .. }) {
        submitted = host.configuration.submit(patch).await;
    }
    (submitted, started)
}

/// Measures from the submission, whose append is part of it, to the last host.
async fn wait_in_force(
    hosts: &[Arc<Shared>],
    version: Version,
    started: Instant,
    rounds: &mut Rounds,
) {
    let mut waiting: Vec<_> = hosts.iter().collect();
    while !waiting.is_empty() && started.elapsed() < IN_FORCE_LIMIT {
        waiting.retain(|host| {
            let in_force = host.config().version >= version;
            if in_force {
                let elapsed_ms = started.elapsed().as_millis() as u64;
                rounds.in_force_ms.saturating_record(elapsed_ms);
            }
            !in_force
        });
        tokio::time::sleep(POLL).await;
    }
    rounds.late += waiting.len() as u64;
}

/// Accepted patches whose team some host lacks at the end.
fn lost(hosts: &[Arc<Shared>], accepted: u64) -> u64 {
    let fewest = hosts
        .iter()
        .map(|host| {
            let config = host.config();
            let raced = config.document.teams.keys();
            raced.filter(|team| team.starts_with("raced-")).count() as u64
        })
        .min();
    accepted.saturating_sub(fewest.unwrap_or_default())
}

fn patch(round: usize, operator: usize, base_version: Version) -> Patch {
    let name = format_smolstr!("raced-{round}-{operator}");
    Patch {
        patch_id: name.clone(),
        base_version,
        author: format_smolstr!("operator-{operator}"),
        note: "".into(),
        changes: vec![Change::Put(Entry::Team {
            value: Arc::new(builder::team(&name)),
            name,
        })],
    }
}
