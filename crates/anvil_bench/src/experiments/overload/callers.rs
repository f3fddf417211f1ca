//! Open-loop load: requests start at a given rate, whatever became of the earlier ones.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering::Relaxed, //
        }, //
    },
    time::Duration, //
};

use anvil_fleet::{
    Client,
    Fleet,
    client::{
        ClientError,
        CompletionParams, //
    }, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::{
    task::JoinHandle,
    time::Instant, //
};

use super::{
    ANSWER_TOKENS,
    DEADLINE,
    HOSTS,
    PROMPT_TOKENS,
    TEAMS,
    team_name, //
};
use crate::report::Report;

/// Weight of the first team's load. Every other team has weight 1.
const FIRST_TEAM_WEIGHT: usize = 9;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Answered,
    Late,
    Refused,
    Failed,
    Wrong,
}

struct EndedRequest {
    team: usize,
    arrived_at: Instant,
    outcome: Outcome,
    /// Time from the start of the request to its end.
    waited: Duration,
}

#[derive(Default)]
struct Shared {
    /// Requests per second of all callers together, as the bits of an `f64`.
    rate_bits: AtomicU64,
    stopped: AtomicBool,
    answered: AtomicU64,
    wrong: AtomicU64,
    ended_requests: Mutex<Vec<EndedRequest>>,
}

/// Running callers of all teams at all hosts.
pub struct Callers {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

/// Outcomes of the requests that arrived within a window of time.
pub struct WindowStats {
    time: Duration,
    offered: usize,
    refused: usize,
    late: usize,
    failed: usize,
    answered_by_team: Vec<usize>,
    refusal_ms_p50: f64,
    refusal_ms_p99: f64,
}

impl WindowStats {
    fn answered(&self) -> usize {
        self.answered_by_team.iter().sum()
    }

    /// Returns the requests per second that were answered in time.
    pub fn goodput_per_s(&self) -> f64 {
        self.answered() as f64 / self.time.as_secs_f64()
    }

    /// Returns the fraction of the requests that were answered in time.
    pub fn served_ratio(&self) -> f64 {
        self.answered() as f64 / self.offered.max(1) as f64
    }

    /// Returns the worst-served team's number of answers, relative to an equal division.
    pub fn min_team_share_ratio(&self) -> f64 {
        let equal_share = self.answered() as f64 / TEAMS as f64;
        let smallest = self.answered_by_team.iter().min().copied();
        smallest.unwrap_or_default() as f64 / equal_share.max(1.0)
    }

    /// Adds the outcomes to a report, in figures whose names end in `name`.
    pub fn add_to(&self, report: &mut Report, name: &str) {
        report.add_figure(format!("goodput_per_s_{name}"), self.goodput_per_s());
        report.add_figure(format!("offered_{name}"), self.offered);
        report.add_figure(format!("refused_{name}"), self.refused);
        report.add_figure(format!("late_{name}"), self.late);
        report.add_figure(format!("failed_{name}"), self.failed);
        report.add_figure(format!("refusal_ms_p50_{name}"), self.refusal_ms_p50);
        report.add_figure(format!("refusal_ms_p99_{name}"), self.refusal_ms_p99);
    }
}

impl Callers {
    /// Starts callers at every host, at a rate of 0.
    pub fn new(fleet: &Fleet, seed: u64) -> Self {
        let shared = Arc::new(Shared::default());
        let clients = (0..TEAMS)
            .map(|team| {
                (0..HOSTS)
                    .map(|host| fleet.team_client(host, &team_name(team)))
                    .collect()
            })
            .collect();
        let rng = StdRng::seed_from_u64(seed);
        let task = tokio::spawn(generate_load(Arc::clone(&shared), clients, rng));
        Self { shared, task }
    }

    /// Sets the total rate of all callers, in requests per second.
    pub fn set_rate(&self, rate_per_s: f64) {
        self.shared.rate_bits.store(rate_per_s.to_bits(), Relaxed);
    }

    /// Returns the number of correct answers so far, late ones included.
    pub fn answered(&self) -> u64 {
        self.shared.answered.load(Relaxed)
    }

    /// Returns the number of wrong answers so far.
    pub fn wrong(&self) -> u64 {
        self.shared.wrong.load(Relaxed)
    }

    /// Waits until the requests that arrive within `time` have ended, and returns their outcomes.
    pub async fn observe(&mut self, time: Duration) -> WindowStats {
        let mut intervals = self.observe_intervals(time, time).await;
        intervals.remove(0)
    }

    /// Waits until the requests that arrive within `time` have ended, and returns their outcomes
    /// for each `interval` of that time.
    pub async fn observe_intervals(
        &mut self,
        time: Duration,
        interval: Duration,
    ) -> Vec<WindowStats> {
        let from = Instant::now();
        tokio::time::sleep(time).await;
        tokio::time::sleep(DEADLINE + Duration::from_millis(200)).await;
        let ended_requests = std::mem::take(&mut *lock(&self.shared.ended_requests));
        let count = (time.as_secs_f64() / interval.as_secs_f64()).round() as u32;
        (0..count)
            .map(|index| window_stats(&ended_requests, from + interval * index, interval))
            .collect()
    }

    /// Stops the callers. Requests that are open then continue.
    pub async fn close(self) {
        self.shared.stopped.store(true, Relaxed);
        // A panic of the task is a fault of the experiment and is printed to standard error.
        let _ended = self.task.await;
    }
}

fn window_stats(ended_requests: &[EndedRequest], from: Instant, time: Duration) -> WindowStats {
    let window: Vec<_> = ended_requests
        .iter()
        .filter(|request| request.arrived_at >= from && request.arrived_at < from + time)
        .collect();
    let count = |kind: Outcome| window.iter().filter(|ended| ended.outcome == kind).count();
    let mut answered_by_team = vec![0; TEAMS];
    for request in window
        .iter()
        .filter(|request| request.outcome == Outcome::Answered)
    {
        answered_by_team[request.team] += 1;
    }
    let mut refusals_ms: Vec<_> = window
        .iter()
        .filter(|request| request.outcome == Outcome::Refused)
        .map(|request| request.waited.as_secs_f64() * 1000.0)
        .collect();
    refusals_ms.sort_by(f64::total_cmp);
    let quantile = |percent: usize| {
        let index = refusals_ms.len() * percent / 100;
        refusals_ms.get(index).copied().unwrap_or_default()
    };
    WindowStats {
        time,
        offered: window.len(),
        refused: count(Outcome::Refused),
        late: count(Outcome::Late),
        failed: count(Outcome::Failed) + count(Outcome::Wrong),
        answered_by_team,
        refusal_ms_p50: quantile(50),
        refusal_ms_p99: quantile(99),
    }
}

async fn generate_load(shared: Arc<Shared>, clients: Vec<Vec<Client>>, mut rng: StdRng) {
    let mut due_requests = 0.0;
    let mut last_at = Instant::now();
    while !shared.stopped.load(Relaxed) {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let now = Instant::now();
        due_requests +=
            (now - last_at).as_secs_f64() * f64::from_bits(shared.rate_bits.load(Relaxed));
        last_at = now;
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            let random_number = rng.random_range(0..TEAMS - 1 + FIRST_TEAM_WEIGHT);
            let team = random_number.saturating_sub(FIRST_TEAM_WEIGHT - 1);
            let client = clients[team][rng.random_range(0..HOSTS)].clone();
            let prompt: Vec<u32> = (0..PROMPT_TOKENS)
                .map(|_| rng.random_range(1..40_000))
                .collect();
            let shared = Arc::clone(&shared);
            tokio::spawn(async move { send_request(&shared, &client, team, prompt).await });
        }
    }
}

async fn send_request(shared: &Shared, client: &Client, team: usize, prompt: Vec<u32>) {
    let arrived_at = Instant::now();
    let mut completion = CompletionParams::new(prompt, ANSWER_TOKENS);
    completion.deadline = Some(DEADLINE);
    let outcome = match client.complete(&completion).await {
        Ok(answer) if answer != completion.expected_tokens() => Outcome::Wrong,
        Ok(_) if arrived_at.elapsed() > DEADLINE => Outcome::Late,
        Ok(_) => Outcome::Answered,
        Err(ClientError::Refused { outcome, .. }) if outcome == "not_run" => Outcome::Refused,
        Err(_) => Outcome::Failed,
    };
    match outcome {
        Outcome::Answered | Outcome::Late => shared.answered.fetch_add(1, Relaxed),
        Outcome::Wrong => shared.wrong.fetch_add(1, Relaxed),
        Outcome::Refused | Outcome::Failed => 0,
    };
    lock(&shared.ended_requests).push(EndedRequest {
        team,
        arrived_at,
        outcome,
        waited: arrived_at.elapsed(),
    });
}

fn lock(ended_requests: &Mutex<Vec<EndedRequest>>) -> std::sync::MutexGuard<'_, Vec<EndedRequest>> {
    ended_requests
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}
