//! `restart`: each host is restarted in turn under load.

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
    print_progress, //
};

/// Entry of this experiment in the list of all experiments.
pub const EXPERIMENT: Experiment = Experiment {
    name: "restart",
    about: "each host restarted in turn under load: streams cut off, requests lost",
    run,
};

const HOSTS: usize = 6;
const CALLERS: u32 = 24;
const LIMIT_TOKENS: u32 = 200;
const START_MAX_MS: f64 = 3000.0;
/// Time until the homes of the teams, which are the hosts that divide the limits, grant full
/// shares.
const WARM_UP: Duration = Duration::from_secs(6);
/// Time under load before each restart.
const RESTART_INTERVAL: Duration = Duration::from_millis(1_000);
/// Smallest fraction of requests that have to be answered and not refused, also during restarts.
const ANSWERED_RATIO_MIN: f64 = 0.95;
/// Longest wait for the first answer of a restarted host.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_PAUSE: Duration = Duration::from_millis(50);

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move { measure(context).await }.boxed()
}

/// State that all callers share.
struct CallerState {
    /// Hosts to which the simulated load balancer sends new requests.
    hosts: Mutex<Vec<SocketAddr>>,
    stop: AtomicBool,
    answered: AtomicU64,
    wrong: AtomicU64,
    lost: AtomicU64,
    /// Number of requests that were refused and not run, by reason.
    refused: Mutex<BTreeMap<SmolStr, u64>>,
}

impl CallerState {
    fn refusals(&self) -> BTreeMap<SmolStr, u64> {
        let refused = self.refused.lock();
        refused.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn record_refusal(&self, reason: impl Into<SmolStr>) {
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
    print_progress("warming up");
    tokio::time::sleep(WARM_UP).await;
    let state = Arc::new(CallerState {
        hosts: Mutex::new(host_addresses(&fleet)),
        stop: AtomicBool::new(false),
        answered: AtomicU64::new(0),
        wrong: AtomicU64::new(0),
        lost: AtomicU64::new(0),
        refused: Mutex::default(),
    });
    let mut callers = JoinSet::new();
    for caller_number in 0..CALLERS {
        callers.spawn(caller(Arc::clone(&state), caller_number));
    }
    let mut cut_off = 0;
    let mut start_ms = Vec::new();
    for index in 0..HOSTS {
        print_progress(format_args!("restart host {index}"));
        tokio::time::sleep(RESTART_INTERVAL).await;
        let address = fleet.host(index).callers_address();
        state.hosts().retain(|host| *host != address);
        let stopped = fleet.stop_host(index).await;
        match stopped.map_err(|error| BenchError::new("stop a host", error))? {
            ShutdownOutcome::Drained => {}
            ShutdownOutcome::CutOff { open_requests } => cut_off += open_requests,
        }
        let started = Instant::now();
        restart(&mut fleet, index).await?;
        start_ms.push(started.elapsed().as_secs_f64() * 1e3);
        *state.hosts() = host_addresses(&fleet);
    }
    state.stop.store(true, Ordering::Relaxed);
    callers.join_all().await;
    report.add_goal("cut_off", cut_off as f64, Bound::AtMost(0.0));
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    report.add_goal("lost", count(&state.lost) as f64, Bound::AtMost(0.0));
    report.add_goal(
        "wrong_answers",
        count(&state.wrong) as f64,
        Bound::AtMost(0.0),
    );
    let answered = count(&state.answered);
    report.add_figure("answered", answered);
    let refusals = state.refusals();
    let refused: u64 = refusals.values().sum();
    report.add_goal(
        "answered_ratio",
        answered as f64 / (answered + refused).max(1) as f64,
        Bound::AtLeast(ANSWERED_RATIO_MIN),
    );
    for (reason, count) in refusals {
        report.add_figure(format!("refused_not_run_{reason}"), count);
    }
    let slowest_ms = start_ms.iter().copied().fold(0.0, f64::max);
    report.add_goal(
        "start_to_serving_ms_max",
        slowest_ms,
        Bound::AtMost(START_MAX_MS),
    );
    let mean_ms = start_ms.iter().sum::<f64>() / start_ms.len() as f64;
    report.add_figure("start_to_serving_ms_mean", mean_ms);
    let closed = fleet.close().await;
    closed.map_err(|error| BenchError::new("stop the fleet", error))?;
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
    wait_for_first_answer(fleet.host(index).callers_address()).await
}

/// Sends requests to a restarted host until it answers one.
async fn wait_for_first_answer(address: SocketAddr) -> Result<(), BenchError> {
    let client = Client::new(address, builder::team_key(builder::TEAM));
    let completion = CompletionParams::new([1, 2, 3], 1);
    let first_answer = async {
        while client.complete(&completion).await.is_err() {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    };
    tokio::time::timeout(FIRST_ANSWER_TIMEOUT, first_answer)
        .await
        .map_err(|_| BenchError::new("wait for a restarted host's answer", "no answer in time"))
}

fn host_addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    (0..HOSTS)
        .map(|index| fleet.host(index).callers_address())
        .collect()
}

async fn caller(state: Arc<CallerState>, caller_number: u32) {
    let mut request_number = caller_number;
    while !state.stop.load(Ordering::Relaxed) {
        request_number = request_number.wrapping_add(1);
        let address = {
            let hosts = state.hosts();
            hosts[request_number as usize % hosts.len()]
        };
        let client = Client::new(address, builder::team_key(builder::TEAM));
        let completion = CompletionParams::new([caller_number, request_number, 7], LIMIT_TOKENS);
        let counter = match client.stream_to_end(&completion).await {
            Ok(tokens) if tokens == completion.expected_tokens() => &state.answered,
            Ok(_) => &state.wrong,
            // Nothing was sent, or the host reports that nothing ran: the balancer tries another
            // host.
            Err(ClientError::Connect { .. }) => {
                state.record_refusal("connect");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            Err(ClientError::Refused {
                outcome, reason, ..
            }) if outcome == "not_run" => {
                state.record_refusal(reason);
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
            Err(ClientError::Refused { .. } | ClientError::Lost { .. }) => &state.lost,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
