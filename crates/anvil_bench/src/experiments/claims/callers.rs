//! Callers that repeat a call under its key until it is answered, and the evaluation of the
//! answers.

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

/// Number of attempts after which a caller gives up.
const ATTEMPTS_MAX: usize = 4;
/// Probability that an attempt is sent to two hosts at once.
const DUPLICATE_PROBABILITY: f64 = 0.05;
const RETRY_PAUSE_MS: std::ops::Range<u64> = 50..600;

/// Addresses of the running hosts, shared by all callers.
pub struct Addresses {
    hosts: Mutex<Vec<Option<SocketAddr>>>,
}

impl Addresses {
    /// Returns the addresses of a fleet whose hosts all run.
    pub fn of(fleet: &Fleet) -> Self {
        let hosts = (0..super::HOSTS)
            .map(|index| Some(fleet.host(index).callers_address()))
            .collect();
        Self {
            hosts: Mutex::new(hosts),
        }
    }

    /// Sets the address of a host, or `None` while the host does not run.
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

/// Load that the callers generate.
#[derive(Clone, Copy)]
pub struct Load {
    /// Prefix of every key.
    pub prefix: &'static str,
    /// Total number of calls.
    pub calls: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Seed of the callers' random choices.
    pub seed: u64,
}

/// One attempt at a call.
pub struct Attempt {
    /// Body of the answer, or the error.
    pub answer: Result<Bytes, ClientError>,
    /// Time from the start of the attempt to the answer or error.
    pub latency: Duration,
}

/// Attempts at one call, as its caller saw them.
pub struct CallRecord {
    /// Body of the call, which is unique among all calls.
    pub body: Bytes,
    /// The attempts. Two that ran at once stand in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

/// Makes all calls and returns a record of each.
pub fn run(
    addresses: Arc<Addresses>,
    load: Load,
) -> impl Future<Output = Vec<CallRecord>> + Send + 'static {
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
) -> Vec<CallRecord> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut records = Vec::new();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= load.calls {
            return records;
        }
        let key = format_smolstr!("{}-{number}", load.prefix);
        // The lengths differ, so that an answer to another call is detected by its byte count.
        let body = Bytes::from(format!("{key}{}", "x".repeat(number % 97)));
        records.push(call(&addresses, &key, body, &mut rng).await);
    }
}

async fn call(addresses: &Addresses, key: &SmolStr, body: Bytes, rng: &mut SmallRng) -> CallRecord {
    let mut attempts = Vec::new();
    while attempts.len() < ATTEMPTS_MAX {
        let first = attempt(addresses.choose(rng), key, &body);
        if rng.random_bool(DUPLICATE_PROBABILITY) {
            let second = attempt(addresses.choose(rng), key, &body);
            let (first, second) = futures::future::join(first, second).await;
            attempts.extend([first, second]);
        } else {
            attempts.push(first.await);
        }
        if attempts.iter().any(|attempt| attempt.answer.is_ok()) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(RETRY_PAUSE_MS))).await;
    }
    CallRecord { body, attempts }
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
                    message: "the caller gave up waiting for the answer".to_owned(),
                }),
            }
        }
        None => Err(ClientError::Connect {
            message: "the host is not running".to_owned(),
        }),
    };
    Attempt {
        answer,
        latency: started.elapsed(),
    }
}

/// Result of comparing the callers' answers with the runs that the service counted.
#[derive(Default)]
pub struct Evaluation {
    /// Calls that ran more than once.
    pub executed_twice: usize,
    /// Calls whose last outcome was `not_run` although they ran.
    pub false_not_run: usize,
    /// Answers that belong to another call.
    pub crossed_answers: usize,
    /// Calls that got an answer.
    pub answered: usize,
    /// Calls whose last outcome was `not_run`.
    pub not_run: usize,
    /// Calls whose caller cannot tell whether they ran.
    pub unknown: usize,
    /// Unknown calls by the reason of the last attempt that gave one.
    pub unknown_by_reason: BTreeMap<SmolStr, usize>,
    /// Unknown calls that ran.
    pub unknown_that_ran: usize,
}

#[derive(Deserialize)]
struct ServiceBody {
    run: u64,
    body_bytes: usize,
}

/// Compares the records of the callers with the runs that the service counted.
pub fn evaluate(records: &[CallRecord], count_runs: &dyn Fn(&Bytes) -> u64) -> Evaluation {
    let mut evaluation = Evaluation::default();
    let mut run_owners: HashMap<u64, &Bytes> = HashMap::new();
    for call in records {
        let runs = count_runs(&call.body);
        evaluation.executed_twice += usize::from(runs > 1);
        let mut answers = call
            .attempts
            .iter()
            .filter_map(|attempt| attempt.answer.as_ref().ok());
        for answer in answers.clone() {
            // A body that is not JSON is a refusal by the service itself.
            let Ok(answer) = serde_json::from_slice::<ServiceBody>(answer) else {
                continue;
            };
            let owner = *run_owners.entry(answer.run).or_insert(&call.body);
            let is_own = *owner == call.body && answer.body_bytes == call.body.len();
            evaluation.crossed_answers += usize::from(!is_own);
        }
        if answers.next().is_some() {
            evaluation.answered += 1;
            continue;
        }
        match conclude(call) {
            Conclusion::NotRun => {
                evaluation.not_run += 1;
                evaluation.false_not_run += usize::from(runs > 0);
            }
            Conclusion::Unknown(reason) => {
                evaluation.unknown += 1;
                evaluation.unknown_that_ran += usize::from(runs > 0);
                *evaluation.unknown_by_reason.entry(reason).or_default() += 1;
            }
        }
    }
    evaluation
}

/// What a caller knows of a call without an answer.
enum Conclusion {
    NotRun,
    Unknown(SmolStr),
}

/// Returns what the caller of an unanswered call can conclude from its last informative attempt.
fn conclude(call: &CallRecord) -> Conclusion {
    for attempt in call.attempts.iter().rev() {
        match &attempt.answer {
            Err(ClientError::Refused {
                outcome, reason, ..
            }) => {
                return if outcome == "not_run" {
                    Conclusion::NotRun
                } else {
                    Conclusion::Unknown(reason.clone())
                };
            }
            // Nothing was sent, so that the attempt before this one decides.
            Err(ClientError::Connect { .. }) | Ok(_) => {}
            Err(ClientError::Lost { .. }) => return Conclusion::Unknown("connection_lost".into()),
        }
    }
    Conclusion::NotRun
}
