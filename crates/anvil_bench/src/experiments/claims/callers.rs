//! Callers that repeat a call under its key until it is answered, and what they may conclude.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    future::Future,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic::{
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    }, //
};

use anvil_fleet::{
    Client,
    Fleet,
    builder,
    client::ClientError, //
};
use bytes::Bytes;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use serde::Deserialize;
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use tokio::task::JoinSet;

use super::SERVICE;

/// Attempts at a call before its caller gives up.
const ATTEMPTS_MAX: usize = 4;
/// Share of calls that are sent to two hosts at once.
const DOUBLED_SHARE: f64 = 0.05;
const PAUSE_MS: std::ops::Range<u64> = 50..600;

/// Addresses of the hosts that run now.
pub struct Addresses {
    hosts: Mutex<Vec<Option<SocketAddr>>>,
}

impl Addresses {
    /// Addresses of a fleet whose hosts all run.
    pub fn of(fleet: &Fleet) -> Self {
        let hosts = (0..super::HOSTS)
            .map(|index| Some(fleet.host(index).callers_address()))
            .collect();
        Self {
            hosts: Mutex::new(hosts),
        }
    }

    /// Notes where a host listens now.
    pub fn set(&self, index: usize, address: Option<SocketAddr>) {
        self.lock()[index] = address;
    }

    fn choose(&self, rng: &mut SmallRng) -> Option<SocketAddr> {
        let hosts = self.lock();
        hosts[rng.random_range(0..hosts.len())]
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Option<SocketAddr>>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What callers do.
#[derive(Clone, Copy)]
pub struct Load {
    /// Start of the keys.
    pub prefix: &'static str,
    /// Calls in all.
    pub calls: usize,
    /// Callers at work at once.
    pub callers: usize,
    /// Seed of their choices.
    pub seed: u64,
}

/// One attempt at a call.
pub struct Attempt {
    /// Its answer.
    pub answer: Result<Bytes, ClientError>,
    /// Time until it was there.
    pub latency: Duration,
}

/// What a caller was told of one call.
pub struct Told {
    /// The call's body, which no other has.
    pub body: Bytes,
    /// Its attempts, in order of their ends.
    pub attempts: Vec<Attempt>,
}

/// Makes the calls; gives what the callers were told.
pub fn run(
    addresses: Arc<Addresses>,
    load: Load,
) -> impl Future<Output = Vec<Told>> + Send + 'static {
    let next = Arc::new(AtomicUsize::new(0));
    async move {
        let mut callers = JoinSet::new();
        for number in 0..load.callers {
            let seed = load.seed.wrapping_mul(1_000_003) + number as u64;
            let caller = caller(Arc::clone(&addresses), Arc::clone(&next), load, seed);
            callers.spawn(caller);
        }
        callers.join_all().await.into_iter().flatten().collect()
    }
}

async fn caller(
    addresses: Arc<Addresses>,
    next: Arc<AtomicUsize>,
    load: Load,
    seed: u64,
) -> Vec<Told> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut told = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= load.calls {
            return told;
        }
        let key = format_smolstr!("{}-{number}", load.prefix);
        // Lengths differ, so that an answer that counts the bytes of another call is seen.
        let body = Bytes::from(format!("{key}{}", "x".repeat(number % 97)));
        told.push(call(&addresses, &key, body, &mut rng).await);
    }
}

async fn call(addresses: &Addresses, key: &SmolStr, body: Bytes, rng: &mut SmallRng) -> Told {
    let mut attempts = Vec::new();
    while attempts.len() < ATTEMPTS_MAX {
        let first = attempt(addresses.choose(rng), key, &body);
        if rng.random_bool(DOUBLED_SHARE) {
            let second = attempt(addresses.choose(rng), key, &body);
            let (first, second) = futures::future::join(first, second).await;
            attempts.extend([first, second]);
        } else {
            attempts.push(first.await);
        }
        if attempts.iter().any(|attempt| attempt.answer.is_ok()) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(PAUSE_MS))).await;
    }
    Told { body, attempts }
}

async fn attempt(address: Option<SocketAddr>, key: &SmolStr, body: &Bytes) -> Attempt {
    let started = Instant::now();
    let answer = match address {
        Some(address) => {
            let client = Client::new(address, builder::team_key(builder::TEAM));
            let call = client.call_service(SERVICE, "submit", Some(key), body.clone());
            match tokio::time::timeout(super::DEADLINE * 2, call).await {
                Ok(answer) => answer.map(|answer| answer.body),
                Err(_) => Err(ClientError::Lost {
                    message: "the caller gave up".to_owned(),
                }),
            }
        }
        None => Err(ClientError::Connect {
            message: "the host does not run".to_owned(),
        }),
    };
    Attempt {
        answer,
        latency: started.elapsed(),
    }
}

/// What the callers' words and the service's show together.
#[derive(Default)]
pub struct Verdict {
    /// Calls that ran more than once.
    pub executed_twice: usize,
    /// Calls whose last word was `not_run`, and that ran.
    pub false_not_run: usize,
    /// Answers that belong to another call.
    pub crossed_answers: usize,
    /// Calls that got their answer.
    pub answered: usize,
    /// Calls whose last word was `not_run`.
    pub not_run: usize,
    /// Calls of which the callers know nothing for certain.
    pub unknown: usize,
    /// The same, by the last reason.
    pub unknown_by_reason: BTreeMap<SmolStr, usize>,
    /// Unknown calls that ran.
    pub unknown_that_ran: usize,
}

#[derive(Deserialize)]
struct ServiceBody {
    run: u64,
    body_bytes: usize,
}

/// Judges what the callers were told by what the service ran.
pub fn judge(told: &[Told], runs_of: &dyn Fn(&Bytes) -> u64) -> Verdict {
    let mut verdict = Verdict::default();
    let mut run_owners: HashMap<u64, &Bytes> = HashMap::new();
    for call in told {
        let runs = runs_of(&call.body);
        verdict.executed_twice += usize::from(runs > 1);
        let mut answers = call
            .attempts
            .iter()
            .filter_map(|attempt| attempt.answer.as_ref().ok());
        for answer in answers.clone() {
            // An answer that is no JSON is the service's own refusal.
            let Ok(answer) = serde_json::from_slice::<ServiceBody>(answer) else {
                continue;
            };
            let owner = *run_owners.entry(answer.run).or_insert(&call.body);
            let is_own = *owner == call.body && answer.body_bytes == call.body.len();
            verdict.crossed_answers += usize::from(!is_own);
        }
        if answers.next().is_some() {
            verdict.answered += 1;
            continue;
        }
        match last_word(call) {
            Word::NotRun => {
                verdict.not_run += 1;
                verdict.false_not_run += usize::from(runs > 0);
            }
            Word::Unknown(reason) => {
                verdict.unknown += 1;
                verdict.unknown_that_ran += usize::from(runs > 0);
                *verdict.unknown_by_reason.entry(reason).or_default() += 1;
            }
        }
    }
    verdict
}

enum Word {
    NotRun,
    Unknown(SmolStr),
}

/// What a caller without an answer may conclude from the last attempt that says anything.
fn last_word(call: &Told) -> Word {
    for attempt in call.attempts.iter().rev() {
        match &attempt.answer {
            Err(ClientError::Refused {
                outcome, reason, ..
            }) => {
                return if outcome == "not_run" {
                    Word::NotRun
                } else {
                    Word::Unknown(reason.clone())
                };
            }
            // Nothing was sent: the attempt before it says what is known.
            Err(ClientError::Connect { .. }) | Ok(_) => {}
            Err(ClientError::Lost { .. }) => return Word::Unknown("connection_lost".into()),
        }
    }
    Word::NotRun
}
