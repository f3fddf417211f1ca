//! Callers that ask at random moments, whatever became of earlier requests.

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

/// Weight of the first team's load; each other one has 1.
const FLOOD_WEIGHT: usize = 9;

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Answered,
    Late,
    Refused,
    Failed,
    Wrong,
}

struct Ended {
    team: usize,
    arrived: Instant,
    end: End,
    /// Time that the caller waited.
    waited: Duration,
}

#[derive(Default)]
struct Shared {
    rate_bits: AtomicU64,
    stopped: AtomicBool,
    answered: AtomicU64,
    wrong: AtomicU64,
    ended: Mutex<Vec<Ended>>,
}

/// The running callers.
pub struct Callers {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

/// What a window of time showed, by the requests that arrived in it.
pub struct Phase {
    time: Duration,
    offered: usize,
    refused: usize,
    late: usize,
    failed: usize,
    answered_by_team: Vec<usize>,
    refusal_ms_p50: f64,
    refusal_ms_p99: f64,
}

impl Phase {
    fn answered(&self) -> usize {
        self.answered_by_team.iter().sum()
    }

    /// Requests a second that were answered in time.
    pub fn goodput_per_s(&self) -> f64 {
        self.answered() as f64 / self.time.as_secs_f64()
    }

    /// Part of the requests that were answered in time.
    pub fn served_ratio(&self) -> f64 {
        self.answered() as f64 / self.offered.max(1) as f64
    }

    /// What the worst-served team got, over an equal division.
    pub fn min_team_share_ratio(&self) -> f64 {
        let fair = self.answered() as f64 / TEAMS as f64;
        let least = self.answered_by_team.iter().min().copied();
        least.unwrap_or_default() as f64 / fair.max(1.0)
    }

    /// Adds what became of the requests to a report.
    pub fn add_to(&self, report: &mut Report, name: &str) {
        report.figure(format!("goodput_per_s_{name}"), self.goodput_per_s());
        report.figure(format!("offered_{name}"), self.offered);
        report.figure(format!("refused_{name}"), self.refused);
        report.figure(format!("late_{name}"), self.late);
        report.figure(format!("failed_{name}"), self.failed);
        report.figure(format!("refusal_ms_p50_{name}"), self.refusal_ms_p50);
        report.figure(format!("refusal_ms_p99_{name}"), self.refusal_ms_p99);
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
        let task = tokio::spawn(generate(Arc::clone(&shared), clients, rng));
        Self { shared, task }
    }

    /// Changes the rate of all callers together.
    pub fn set_rate(&self, rate_per_s: f64) {
        self.shared.rate_bits.store(rate_per_s.to_bits(), Relaxed);
    }

    /// Requests answered rightly so far.
    pub fn answered(&self) -> u64 {
        self.shared.answered.load(Relaxed)
    }

    /// Wrong answers so far.
    pub fn wrong(&self) -> u64 {
        self.shared.wrong.load(Relaxed)
    }

    /// Watches the requests that arrive in a time, to their ends.
    pub async fn observe(&mut self, time: Duration) -> Phase {
        let mut parts = self.observe_parts(time, time).await;
        parts.remove(0)
    }

    /// Watches the requests that arrive in a time, to their ends, by parts of that time.
    pub async fn observe_parts(&mut self, time: Duration, part: Duration) -> Vec<Phase> {
        let from = Instant::now();
        tokio::time::sleep(time).await;
        tokio::time::sleep(DEADLINE + Duration::from_millis(200)).await;
        let ended = std::mem::take(&mut *lock(&self.shared.ended));
        let count = (time.as_secs_f64() / part.as_secs_f64()).round() as u32;
        (0..count)
            .map(|index| phase(&ended, from + part * index, part))
            .collect()
    }

    /// Ends the callers.
    pub async fn close(self) {
        self.shared.stopped.store(true, Relaxed);
        // A panic of the task would be a fault of the experiment, and shows on standard error.
        let _ended = self.task.await;
    }
}

fn phase(ended: &[Ended], from: Instant, time: Duration) -> Phase {
    let window: Vec<_> = ended
        .iter()
        .filter(|ended| ended.arrived >= from && ended.arrived < from + time)
        .collect();
    let count = |end: End| window.iter().filter(|ended| ended.end == end).count();
    let mut answered_by_team = vec![0; TEAMS];
    for ended in window.iter().filter(|ended| ended.end == End::Answered) {
        answered_by_team[ended.team] += 1;
    }
    let mut refusals_ms: Vec<_> = window
        .iter()
        .filter(|ended| ended.end == End::Refused)
        .map(|ended| ended.waited.as_secs_f64() * 1000.0)
        .collect();
    refusals_ms.sort_by(f64::total_cmp);
    let quantile = |percent: usize| {
        let index = refusals_ms.len() * percent / 100;
        refusals_ms.get(index).copied().unwrap_or_default()
    };
    Phase {
        time,
        offered: window.len(),
        refused: count(End::Refused),
        late: count(End::Late),
        failed: count(End::Failed) + count(End::Wrong),
        answered_by_team,
        refusal_ms_p50: quantile(50),
        refusal_ms_p99: quantile(99),
    }
}

async fn generate(shared: Arc<Shared>, clients: Vec<Vec<Client>>, mut rng: StdRng) {
    let mut due = 0.0;
    let mut last = Instant::now();
    while !shared.stopped.load(Relaxed) {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let now = Instant::now();
        due += (now - last).as_secs_f64() * f64::from_bits(shared.rate_bits.load(Relaxed));
        last = now;
        while due >= 1.0 {
            due -= 1.0;
            let drawn = rng.random_range(0..TEAMS - 1 + FLOOD_WEIGHT);
            let team = drawn.saturating_sub(FLOOD_WEIGHT - 1);
            let client = clients[team][rng.random_range(0..HOSTS)].clone();
            let prompt: Vec<u32> = (0..PROMPT_TOKENS)
                .map(|_| rng.random_range(1..40_000))
                .collect();
            let shared = Arc::clone(&shared);
            tokio::spawn(async move { ask(&shared, &client, team, prompt).await });
        }
    }
}

async fn ask(shared: &Shared, client: &Client, team: usize, prompt: Vec<u32>) {
    let arrived = Instant::now();
    let mut completion = CompletionParams::new(prompt, ANSWER_TOKENS);
    completion.deadline = Some(DEADLINE);
    let end = match client.complete(&completion).await {
        Ok(answer) if answer != completion.expected_tokens() => End::Wrong,
        Ok(_) if arrived.elapsed() > DEADLINE => End::Late,
        Ok(_) => End::Answered,
        Err(ClientError::Refused { outcome, .. }) if outcome == "not_run" => End::Refused,
        Err(_) => End::Failed,
    };
    match end {
        End::Answered | End::Late => shared.answered.fetch_add(1, Relaxed),
        End::Wrong => shared.wrong.fetch_add(1, Relaxed),
        End::Refused | End::Failed => 0,
    };
    lock(&shared.ended).push(Ended {
        team,
        arrived,
        end,
        waited: arrived.elapsed(),
    });
}

fn lock(ended: &Mutex<Vec<Ended>>) -> std::sync::MutexGuard<'_, Vec<Ended>> {
    ended.lock().unwrap_or_else(PoisonError::into_inner)
}
