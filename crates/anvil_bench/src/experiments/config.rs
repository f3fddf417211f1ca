//! `config`: operators submit concurrent patches on 20 hosts while the log is faulty.

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
    print_progress, //
};

/// Entry of this experiment in the list of all experiments.
pub const EXPERIMENT: Experiment = Experiment {
    name: "config",
    about: "concurrent patches on 20 hosts, log faults: time to be in force, reverts, lost patches",
    run,
};

const HOSTS: usize = 20;
const SMALL_FLEET_HOSTS: usize = 5;
const ROUNDS: usize = 60;
/// Operators that submit patches at the same time in each round.
const OPERATORS: usize = 3;
const FAULT_PROBABILITY: f64 = 0.1;
/// Longest wait until a patch is in force on every host.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Time without changes, once to settle and once to count the log reads.
const IDLE_TIME: Duration = Duration::from_secs(5);
const IN_FORCE_GOAL_MS: f64 = 1000.0;

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move { measure(context).await }.boxed()
}

/// Outcomes of the patches, and the times until they were in force, over all rounds.
struct RaceStats {
    in_force_ms: Histogram<u64>,
    accepted: u64,
    stale: u64,
    /// Patches that were accepted although another one with the same base version was too.
    stale_won: u64,
    /// Accepted patches that some host lacks at the end.
    lost_accepted: u64,
    /// Patches that were neither accepted nor stale.
    without_verdict: u64,
    /// Hosts on which a patch was not in force in time, added up over the rounds.
    late: u64,
}

async fn measure(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    print_progress("log reads of 5 hosts");
    let small_fleet = start(SMALL_FLEET_HOSTS).await?;
    report.add_figure(
        "log_reads_per_s_at_5_hosts",
        reads_per_s(&small_fleet).await,
    );
    close(small_fleet).await?;
    let fleet = start(HOSTS).await?;
    print_progress("log reads of 20 hosts");
    report.add_figure("log_reads_per_s_at_20_hosts", reads_per_s(&fleet).await);
    print_progress("operators submit concurrent patches");
    let monitor = RevertMonitor::start(&fleet);
    for fault in [Fault::LoseAnswer, Fault::AppendTwice, Fault::LoseAppend] {
        fleet
            .log
            .set_fault(fault, Rate::Probability(FAULT_PROBABILITY));
    }
    let stats = race_patches(&fleet).await;
    report.add_goal("reverts", monitor.close().await as f64, Bound::AtMost(0.0));
    let in_force = |quantile| stats.in_force_ms.value_at_quantile(quantile) as f64;
    report.add_figure("in_force_ms_p50", in_force(0.5));
    report.add_goal(
        "in_force_ms_p99",
        in_force(0.99),
        Bound::AtMost(IN_FORCE_GOAL_MS),
    );
    report.add_figure("accepted", stats.accepted);
    report.add_figure("stale", stats.stale);
    report.add_figure("without_verdict", stats.without_verdict);
    report.add_goal("stale_won", stats.stale_won as f64, Bound::AtMost(0.0));
    report.add_goal(
        "lost_accepted",
        stats.lost_accepted as f64,
        Bound::AtMost(0.0),
    );
    report.add_goal(
        "not_in_force_in_10_s",
        stats.late as f64,
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
    closed.map_err(|error| BenchError::new("stop the fleet", error))?;
    Ok(())
}

/// Returns the log reads per second of a fleet in which nothing changes.
async fn reads_per_s(fleet: &Fleet) -> f64 {
    tokio::time::sleep(IDLE_TIME).await;
    let before = fleet.log.reads();
    tokio::time::sleep(IDLE_TIME).await;
    (fleet.log.reads() - before) as f64 / IDLE_TIME.as_secs_f64()
}

fn hosts_of(fleet: &Fleet) -> Vec<Arc<Shared>> {
    (0..HOSTS)
        .map(|index| Arc::clone(fleet.host(index).shared()))
        .collect()
}

/// Task that counts how often the configuration version of any host decreases.
struct RevertMonitor {
    task: tokio::task::JoinHandle<u64>,
    stop: Arc<tokio::sync::Notify>,
}

impl RevertMonitor {
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
                    () = tokio::time::sleep(POLL_INTERVAL) => {}
                }
            }
        });
        Self { task, stop }
    }

    /// Stops the task and returns its count, or `u64::MAX` if the task failed.
    async fn close(self) -> u64 {
        self.stop.notify_one();
        self.task.await.unwrap_or(u64::MAX)
    }
}

async fn race_patches(fleet: &Fleet) -> RaceStats {
    let hosts = hosts_of(fleet);
    let mut stats = RaceStats {
        in_force_ms: Histogram::new(3).expect("the bounds of the histogram are valid"),
        accepted: 0,
        stale: 0,
        stale_won: 0,
        lost_accepted: 0,
        without_verdict: 0,
        late: 0,
    };
    for round in 0..ROUNDS {
        let base_version = hosts.iter().map(|host| host.config().version).max();
        let base_version = base_version.unwrap_or_default();
        let submits = (0..OPERATORS).map(|operator| {
            let host = &hosts[(round * OPERATORS + operator) % hosts.len()];
            submit(host, patch(round, operator, base_version))
        });
        let outcomes = futures::future::join_all(submits).await;
        let accepted: Vec<_> = outcomes.iter().filter_map(accepted_version).collect();
        stats.accepted += accepted.len() as u64;
        stats.stale_won += accepted.len().saturating_sub(1) as u64;
        for (outcome, _) in &outcomes {
            match outcome {
                PatchOutcome::Stale { .. } => stats.stale += 1,
                PatchOutcome::Accepted { .. } => {}
                PatchOutcome::Invalid { .. }
                | PatchOutcome::Unknown { .. }
                | PatchOutcome::NotAppended { .. } => stats.without_verdict += 1,
            }
        }
        if let Some((version, started)) = accepted.first() {
            wait_in_force(&hosts, *version, *started, &mut stats).await;
        }
    }
    stats.lost_accepted = count_lost_patches(&hosts, stats.accepted);
    stats
}

fn accepted_version(outcome: &(PatchOutcome, Instant)) -> Option<(Version, Instant)> {
    match outcome {
        (PatchOutcome::Accepted { version }, started) => Some((*version, *started)),
        _ => None,
    }
}

async fn submit(host: &Arc<Shared>, patch: Patch) -> (PatchOutcome, Instant) {
    let started = Instant::now();
    let mut outcome = host.configuration.submit(patch.clone()).await;
    // Retries once under the same patch id, as an operator would.
    if matches!(outcome, PatchOutcome::Unknown { .. }) {
        outcome = host.configuration.submit(patch).await;
    }
    (outcome, started)
}

/// Waits until a patch is in force on every host, and records for each host the time since the
/// submission. The time includes the append to the log.
async fn wait_in_force(
    hosts: &[Arc<Shared>],
    version: Version,
    started: Instant,
    stats: &mut RaceStats,
) {
    let mut waiting: Vec<_> = hosts.iter().collect();
    while !waiting.is_empty() && started.elapsed() < IN_FORCE_TIMEOUT {
        waiting.retain(|host| {
            let in_force = host.config().version >= version;
            if in_force {
                let elapsed_ms = started.elapsed().as_millis() as u64;
                stats.in_force_ms.saturating_record(elapsed_ms);
            }
            !in_force
        });
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    stats.late += waiting.len() as u64;
}

/// Returns the number of accepted patches minus the fewest that any host has.
fn count_lost_patches(hosts: &[Arc<Shared>], accepted: u64) -> u64 {
    let fewest_teams = hosts
        .iter()
        .map(|host| {
            let config = host.config();
            let team_names = config.document.teams.keys();
            team_names.filter(|team| team.starts_with("raced-")).count() as u64
        })
        .min();
    accepted.saturating_sub(fewest_teams.unwrap_or_default())
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
