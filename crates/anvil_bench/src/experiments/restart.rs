//! `restart`: every host restarted in turn under load.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use anvil_fleet::{
    Builder,
    Client,
    Fleet,
    builder,
    client::{
        ClientError,
        CompletionParams, //
    }, //
};
use anvil_host::host::ShutdownOutcome;
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use smol_str::SmolStr;
use tokio::task::JoinSet;

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
    name: "restart",
    about: "every host restarted in turn under load: streams cut off, requests lost",
    run,
};

const HOSTS: usize = 6;
const CALLERS: u32 = 24;
const LIMIT_TOKENS: u32 = 200;
const START_GOAL_MS: f64 = 3000.0;
/// Time in which the fleet's homes of team limits come to grant full shares.
const WARM_UP: Duration = Duration::from_secs(6);
/// Load between two restarts.
const PAUSE: Duration = Duration::from_millis(1_000);
/// Least share of requests that are answered and not refused, restarts included.
const ANSWERED_GOAL: f64 = 0.95;
/// Longest wait for a fresh host's first answer.
const FIRST_ANSWER_LIMIT: Duration = Duration::from_secs(10);
const REFUSED_PAUSE: Duration = Duration::from_millis(50);

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move { measure(context).await }.boxed()
}

/// What callers share.
struct Load {
    /// Hosts that the balancer sends new requests to.
    hosts: Mutex<Vec<SocketAddr>>,
    stop: AtomicBool,
    answered: AtomicU64,
    wrong: AtomicU64,
    lost: AtomicU64,
    /// Refusals as not run, by reason.
    refused: Mutex<BTreeMap<SmolStr, u64>>,
}

impl Load {
    fn refusals(&self) -> BTreeMap<SmolStr, u64> {
        let refused = self.refused.lock();
        refused.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn refuse(&self, reason: impl Into<SmolStr>) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        *refused.entry(reason.into()).or_default() += 1;
    }

    fn hosts(&self) -> std::sync::MutexGuard<'_, Vec<SocketAddr>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn measure(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    let mut fleet = start().await?;
    progress("warm up");
    tokio::time::sleep(WARM_UP).await;
    let load = Arc::new(Load {
        hosts: Mutex::new(addresses(&fleet)),
        stop: AtomicBool::new(false),
        answered: AtomicU64::new(0),
        wrong: AtomicU64::new(0),
        lost: AtomicU64::new(0),
        refused: Mutex::default(),
    });
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        callers.spawn(caller(Arc::clone(&load), number));
    }
    let mut cut_off = 0;
    let mut start_ms = Vec::new();
    for index in 0..HOSTS {
        progress(format_args!("restart host {index}"));
        tokio::time::sleep(PAUSE).await;
        let address = fleet.host(index).callers_address();
        load.hosts().retain(|host| *host != address);
        let stopped = fleet.stop_host(index).await;
        match stopped.map_err(|error| BenchError::new("stop a host", error))? {
            ShutdownOutcome::Drained => {}
            ShutdownOutcome::CutOff { open_requests } => cut_off += open_requests,
        }
        let started = Instant::now();
        restart(&mut fleet, index).await?;
        start_ms.push(started.elapsed().as_secs_f64() * 1e3);
        *load.hosts() = addresses(&fleet);
    }
    load.stop.store(true, Ordering::Relaxed);
    callers.join_all().await;
    report.goal("cut_off", cut_off as f64, Bound::AtMost(0.0));
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    report.goal("lost", count(&load.lost) as f64, Bound::AtMost(0.0));
    report.goal(
        "wrong_answers",
        count(&load.wrong) as f64,
        Bound::AtMost(0.0),
    );
    let answered = count(&load.answered);
    report.figure("answered", answered);
    let refusals = load.refusals();
    let refused: u64 = refusals.values().sum();
    report.goal(
        "answered_ratio",
        answered as f64 / (answered + refused).max(1) as f64,
        Bound::AtLeast(ANSWERED_GOAL),
    );
    for (reason, count) in refusals {
        report.figure(format!("refused_not_run_{reason}"), count);
    }
    let slowest = start_ms.iter().copied().fold(0.0, f64::max);
    report.goal(
        "start_to_serving_ms_max",
        slowest,
        Bound::AtMost(START_GOAL_MS),
    );
    let mean = start_ms.iter().sum::<f64>() / start_ms.len() as f64;
    report.figure("start_to_serving_ms_mean", mean);
    let closed = fleet.close().await;
    closed.map_err(|error| BenchError::new("stop", error))?;
    Ok(report)
}

async fn start() -> Result<Fleet, BenchError> {
    let mut builder = Builder::default().hosts(HOSTS).pipeline(2, 2);
    builder.threads_per_host = 1;
    let started = builder.start().await;
    started.map_err(|error| BenchError::new("start the fleet", error))
}

async fn restart(fleet: &mut Fleet, index: usize) -> Result<(), BenchError> {
    let version = fleet.host((index + 1) % HOSTS).shared().config().version;
    let started = fleet.start_host(index).await;
    started.map_err(|error| BenchError::new("start a host", error))?;
    let serving = fleet.wait_for_version(version).await;
    serving.map_err(|error| BenchError::new("wait for a host", error))?;
    first_answer(fleet.host(index).callers_address()).await
}

/// Asks a fresh host until it answers.
async fn first_answer(address: SocketAddr) -> Result<(), BenchError> {
    let client = Client::new(address, builder::team_key(builder::TEAM));
    let completion = CompletionParams::new([1, 2, 3], 1);
    let asking = async {
        while client.complete(&completion).await.is_err() {
            tokio::time::sleep(REFUSED_PAUSE).await;
        }
    };
    tokio::time::timeout(FIRST_ANSWER_LIMIT, asking)
        .await
        .map_err(|_| BenchError::new("wait for a fresh host's answer", "none in time"))
}

fn addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    (0..HOSTS)
        .map(|index| fleet.host(index).callers_address())
        .collect()
}

async fn caller(load: Arc<Load>, number: u32) {
    let mut turn = number;
    while !load.stop.load(Ordering::Relaxed) {
        turn = turn.wrapping_add(1);
        let address = {
            let hosts = load.hosts();
            hosts[turn as usize % hosts.len()]
        };
        let client = Client::new(address, builder::team_key(builder::TEAM));
        let completion = CompletionParams::new([number, turn, 7], LIMIT_TOKENS);
        let counter = match client.stream_to_end(&completion).await {
            Ok(tokens) if tokens == completion.expected_tokens() => &load.answered,
            Ok(_) => &load.wrong,
            // Nothing was sent, or the host says that nothing ran: the balancer tries another.
            Err(ClientError::Connect { .. }) => {
                load.refuse("connect");
                tokio::time::sleep(REFUSED_PAUSE).await;
                continue;
            }
            Err(ClientError::Refused {
                outcome, reason, ..
            }) if outcome == "not_run" => {
                load.refuse(reason);
                tokio::time::sleep(REFUSED_PAUSE).await;
                continue;
            }
            Err(ClientError::Refused { .. } | ClientError::Lost { .. }) => &load.lost,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
