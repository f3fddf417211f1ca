//! A fleet of hosts in virtual time before targets that end under one prompt part, or under one whole
//! request: messages between hosts are late or lost, targets also end for other reasons, and sound
//! requests share the other parts.

use std::{
    collections::HashSet,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_core::{
    quarantine::{
        Admission,
        Progress,
        Quarantine,
        Suspect, //
        SuspectState,
    },
    request_digest::RequestDigest,
};
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

const TICK_MS: u64 = 10;
const DAY_MS: u64 = 60_000;
/// Parts that sound requests share.
const SOUND_PARTS: usize = 60;
/// Time after the fifth end from which on few requests with the part may reach engines.
const STABLE_MS: u64 = 3_000;
/// Ends under a part from which on the bound counts.
const PART_ENDS_FREE: usize = 5;
/// Ends under a whole request from which on the bound counts.
const REQUEST_ENDS_FREE: usize = 3;
/// Most lethal requests that may reach engines after that.
const LATE_SENDS_MAX: usize = 3;
/// Attempts of one request.
const ATTEMPTS_MAX: u32 = 2;
/// Runs of each scenario.
const SEEDS: u64 = 4;
/// Time for which an engine that ended is away.
const ENGINE_RESTART_MS: u64 = 6_000;
/// The same for a target of a plain service.
const PLAIN_RESTART_MS: u64 = 3_200;
/// Number of sound requests that differ.
const SOUND_REQUESTS: usize = 2_000;

/// Time for which one host is the one to try a part.
const TRIAL_SLOT_MS: u64 = 4_000;

/// What ends the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lethal {
    /// A part of prompts, in requests that otherwise differ.
    Part,
    /// A whole request to a model, whose first part sound ones share.
    ModelRequest,
    /// A whole request to a plain service.
    PlainRequest,
}

impl Lethal {
    fn ends_free(self) -> usize {
        match self {
            Self::Part => PART_ENDS_FREE,
            Self::ModelRequest | Self::PlainRequest => REQUEST_ENDS_FREE,
        }
    }
}

/// What happens in a run.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    lethal: Lethal,
    hosts: usize,
    engines: usize,
    requests_per_s: f64,
    /// Lethal requests, of those.
    lethal_per_s: f64,
    /// When the first of these comes.
    lethal_from_ms: u64,
    /// Probability that a message between two hosts is lost.
    loss: f64,
    /// Time between two digests of a host, to each of its peers.
    digest_interval_ms: u64,
    /// Time between losses of a quarter of the engines at once, for another reason.
    joint_loss_interval_ms: Option<u64>,
    /// Time between restarts of one host, without memory.
    restart_interval_ms: Option<u64>,
    /// Whether all lethal requests have the same first part, which sound ones share.
    has_common_first_part: bool,
}

struct Running {
    host: usize,
    suspects: Vec<Suspect>,
    is_lethal: bool,
    admission: Admission,
    engine: usize,
    attempt: u32,
    begins_ms: u64,
    /// When the engine ends, of a lethal request.
    ends_engine_ms: u64,
    ends_ms: u64,
    is_answer_recorded: bool,
}

struct Message {
    arrives_ms: u64,
    to: usize,
    states: Vec<SuspectState>,
}

/// What was seen in a run.
#[derive(Clone, Debug, Default)]
struct Outcome {
    lethal_ends: usize,
    late_lethal_sends: usize,
    /// Sound requests from twice the time after the free ends on; with a common first part, those
    /// that have it.
    sound_requests: usize,
    refused_sound_requests: usize,
}

struct Fleet {
    scenario: Scenario,
    rng: StdRng,
    start: Instant,
    now_ms: u64,
    hosts: Vec<Quarantine>,
    /// When each engine is back; 0 for those that run.
    engine_back_ms: Vec<u64>,
    running: Vec<Running>,
    messages: Vec<Message>,
    last_free_end_ms: Option<u64>,
    /// When each host was last started.
    started_ms: Vec<u64>,
    outcome: Outcome,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now_ms: 0,
            hosts: (0..scenario.hosts).map(|_| Quarantine::default()).collect(),
            engine_back_ms: vec![0; scenario.engines],
            running: Vec::new(),
            messages: Vec::new(),
            last_free_end_ms: None,
            started_ms: vec![0; scenario.hosts],
            outcome: Outcome::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn run(mut self) -> Outcome {
        while self.now_ms < DAY_MS {
            self.now_ms += TICK_MS;
            self.deliver();
            let ticks_per_s = 1000.0 / TICK_MS as f64;
            let share = self.scenario.requests_per_s / ticks_per_s;
            let arrivals = share.floor() + f64::from(self.rng.random_bool(share.fract()));
            for _ in 0..arrivals as usize {
                self.arrive();
            }
            self.advance_requests();
            self.lose_engines();
            self.restart_host();
            if self.now_ms.is_multiple_of(self.scenario.digest_interval_ms) {
                for host in 0..self.scenario.hosts {
                    self.send_states(host);
                }
            }
        }
        self.outcome
    }

    fn is_due(&self, interval_ms: Option<u64>) -> bool {
        interval_ms.is_some_and(|interval_ms| self.now_ms.is_multiple_of(interval_ms))
    }

    fn is_after_free_ends(&self, time_ms: u64) -> bool {
        let end_ms = self.last_free_end_ms;
        end_ms.is_some_and(|end_ms| self.now_ms > end_ms + time_ms)
    }

    fn arrive(&mut self) {
        let is_lethal = self
            .rng
            .random_bool(self.scenario.lethal_per_s / self.scenario.requests_per_s)
            && self.now_ms >= self.scenario.lethal_from_ms;
        // Low numbers are more popular.
        let draw: f64 = self.rng.random();
        let popular = match is_lethal && self.scenario.has_common_first_part {
            true => 0,
            false => (draw * draw * SOUND_PARTS as f64) as usize,
        };
        let part = |name: &str| Suspect::Part(name.into());
        let mut suspects = match self.scenario.lethal {
            Lethal::PlainRequest => Vec::new(),
            Lethal::Part | Lethal::ModelRequest => vec![part(&format!("sound-{popular}"))],
        };
        if is_lethal && self.scenario.lethal == Lethal::Part {
            suspects.push(part("lethal"));
        }
        // Some sound requests come more than once, too.
        let body = match (is_lethal, self.scenario.lethal) {
            (false, _) => format!("sound {}", self.rng.random_range(0..SOUND_REQUESTS)),
            (true, Lethal::Part) => format!("lethal {}", self.now_ms),
            (true, Lethal::ModelRequest | Lethal::PlainRequest) => "lethal".into(),
        };
        let digest = RequestDigest::of("POST", "", "/", None, body.as_bytes());
        suspects.push(Suspect::Request(digest));
        let host = self.rng.random_range(0..self.scenario.hosts);
        self.send(host, suspects, is_lethal, 1);
    }

    fn send(&mut self, host: usize, suspects: Vec<Suspect>, is_lethal: bool, attempt: u32) {
        let now = self.now();
        let is_counted = !is_lethal
            && attempt == 1
            && self.is_after_free_ends(2 * STABLE_MS)
            && (!self.scenario.has_common_first_part
                || suspects[0] == Suspect::Part("sound-0".into()));
        self.outcome.sound_requests += usize::from(is_counted);
        let Ok(admission) = self.hosts[host].admit(&suspects, now, |_, age| {
            host == (age.as_millis() as u64 / TRIAL_SLOT_MS) as usize % self.scenario.hosts
        }) else {
            self.outcome.refused_sound_requests += usize::from(is_counted);
            return;
        };
        let up: Vec<usize> = (0..self.scenario.engines)
            .filter(|engine| self.engine_back_ms[*engine] <= self.now_ms)
            .collect();
        if up.is_empty() {
            self.hosts[host].release_trial(&admission);
            return;
        }
        let engine = up[self.rng.random_range(0..up.len())];
        let is_in_touch = self.now_ms > self.started_ms[host] + STABLE_MS;
        let is_late = is_in_touch && self.is_after_free_ends(STABLE_MS);
        self.outcome.late_lethal_sends += usize::from(is_lethal && is_late);
        let (begins_ms, answer_ms) = match self.scenario.lethal {
            Lethal::PlainRequest => (1, self.rng.random_range(20..60)),
            Lethal::Part | Lethal::ModelRequest => (
                self.rng.random_range(40..300),
                self.rng.random_range(100..3_000),
            ),
        };
        let begins_ms = self.now_ms + begins_ms;
        let ends_engine_ms = match is_lethal {
            true => begins_ms + self.rng.random_range(0..80),
            false => u64::MAX,
        };
        self.running.push(Running {
            host,
            suspects,
            is_lethal,
            admission,
            engine,
            attempt,
            begins_ms,
            ends_engine_ms,
            ends_ms: match is_lethal {
                true => u64::MAX,
                false => begins_ms + answer_ms,
            },
            is_answer_recorded: false,
        });
    }

    fn advance_requests(&mut self) {
        let now_ms = self.now_ms;
        let now = self.now();
        let lethal: Vec<usize> = self
            .running
            .iter()
            .filter(|request| request.ends_engine_ms <= now_ms)
            .map(|request| request.engine)
            .collect();
        for engine in lethal {
            if self.engine_back_ms[engine] <= now_ms {
                self.outcome.lethal_ends += 1;
                if self.outcome.lethal_ends == self.scenario.lethal.ends_free() {
                    self.last_free_end_ms = Some(now_ms);
                }
                self.end_engine(engine);
            }
        }
        let mut changed_hosts = HashSet::new();
        for request in &mut self.running {
            let has_proof = now_ms >= request.begins_ms + 300 || now_ms >= request.ends_ms;
            if has_proof && !request.is_answer_recorded && !request.is_lethal {
                request.is_answer_recorded = true;
                let refuted = self.hosts[request.host].record_answer(&request.suspects, now);
                if !refuted.is_empty() {
                    changed_hosts.insert(request.host);
                }
            }
        }
        self.running.retain(|request| request.ends_ms > now_ms);
        self.send_all(changed_hosts);
    }

    /// Ends an engine: its streams are lost, recorded if they had just begun, and sent again.
    fn end_engine(&mut self, engine: usize) {
        self.engine_back_ms[engine] = self.now_ms
            + match self.scenario.lethal {
                Lethal::PlainRequest => PLAIN_RESTART_MS,
                Lethal::Part | Lethal::ModelRequest => ENGINE_RESTART_MS,
            };
        let (lost, kept): (Vec<Running>, Vec<Running>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|request| request.engine == engine);
        self.running = kept;
        let now = self.now();
        // A target that starts again has a new id.
        let target_hash = (engine as u64 * DAY_MS + self.now_ms) as u32;
        let mut changed_hosts = HashSet::new();
        for request in &lost {
            let progress = match request.begins_ms <= self.now_ms {
                true => Progress::Begun,
                false => Progress::Unanswered,
            };
            if self.now_ms < request.begins_ms + 300 {
                let host = &mut self.hosts[request.host];
                let changed = host.record_end(
                    &request.suspects,
                    &request.admission,
                    target_hash,
                    progress,
                    now,
                );
                if !changed.is_empty() {
                    changed_hosts.insert(request.host);
                }
            }
        }
        self.send_all(changed_hosts);
        for request in lost {
            if request.attempt < ATTEMPTS_MAX {
                self.send(
                    request.host,
                    request.suspects,
                    request.is_lethal,
                    request.attempt + 1,
                );
            }
        }
    }

    fn lose_engines(&mut self) {
        if self.is_due(self.scenario.joint_loss_interval_ms) {
            let first = self.rng.random_range(0..self.scenario.engines);
            for offset in 0..self.scenario.engines.div_ceil(4) {
                let engine = (first + offset) % self.scenario.engines;
                if self.engine_back_ms[engine] <= self.now_ms {
                    self.end_engine(engine);
                }
            }
        }
    }

    fn restart_host(&mut self) {
        if self.is_due(self.scenario.restart_interval_ms) {
            let host = self.rng.random_range(0..self.scenario.hosts);
            self.hosts[host] = Quarantine::default();
            self.started_ms[host] = self.now_ms;
        }
    }

    fn send_all(&mut self, hosts: HashSet<usize>) {
        let mut hosts: Vec<usize> = hosts.into_iter().collect();
        hosts.sort_unstable();
        for host in hosts {
            self.send_states(host);
        }
    }

    fn send_states(&mut self, from: usize) {
        let states = self.hosts[from].shared(8, self.now());
        if states.is_empty() {
            return;
        }
        for to in (0..self.scenario.hosts).filter(|to| *to != from) {
            if !self.rng.random_bool(self.scenario.loss) {
                self.messages.push(Message {
                    arrives_ms: self.now_ms + self.rng.random_range(1..60),
                    to,
                    states: states.clone(),
                });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        let (due, waiting): (Vec<Message>, Vec<Message>) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|message| message.arrives_ms <= self.now_ms);
        self.messages = waiting;
        for message in due {
            for state in &message.states {
                self.hosts[message.to].merge(state, now);
            }
        }
    }
}

const SCENARIO: Scenario = Scenario {
    lethal: Lethal::Part,
    hosts: 20,
    engines: 8,
    requests_per_s: 75.0,
    lethal_per_s: 3.0,
    lethal_from_ms: 5_000,
    loss: 0.02,
    digest_interval_ms: 600,
    joint_loss_interval_ms: None,
    restart_interval_ms: None,
    has_common_first_part: false,
};

fn scenarios() -> Vec<Scenario> {
    vec![
        SCENARIO,
        Scenario {
            lethal_per_s: 0.5,
            ..SCENARIO
        },
        Scenario {
            lethal_per_s: 20.0,
            ..SCENARIO
        },
        Scenario {
            lethal_from_ms: 0,
            ..SCENARIO
        },
        Scenario {
            lethal_per_s: 20.0,
            lethal_from_ms: 0,
            ..SCENARIO
        },
        Scenario {
            loss: 0.3,
            ..SCENARIO
        },
        Scenario {
            restart_interval_ms: Some(400),
            ..SCENARIO
        },
        Scenario {
            joint_loss_interval_ms: Some(7_000),
            ..SCENARIO
        },
        Scenario {
            hosts: 100,
            engines: 24,
            requests_per_s: 280.0,
            lethal_per_s: 12.0,
            ..SCENARIO
        },
    ]
}

/// The scenarios of parts with a whole request instead, and a plain service with few targets.
fn request_scenarios() -> Vec<Scenario> {
    let model = scenarios().into_iter().map(|scenario| Scenario {
        lethal: Lethal::ModelRequest,
        ..scenario
    });
    let plain = scenarios().into_iter().map(|scenario| Scenario {
        lethal: Lethal::PlainRequest,
        engines: 3,
        requests_per_s: 30.0_f64.max(scenario.lethal_per_s * 2.0),
        ..scenario
    });
    model.chain(plain).collect()
}

/// Guards against hosts that go on sending a whole request that ended targets of others (BUDGET).
#[gtest]
fn quarantine_ends_sends_of_lethal_request_on_all_hosts() {
    for scenario in request_scenarios() {
        for seed in 0..SEEDS {
            let outcome = Fleet::new(scenario, seed).run();
            expect_that!(
                outcome.late_lethal_sends,
                le(LATE_SENDS_MAX),
                "{scenario:?}, seed {seed}: {outcome:?}"
            );
        }
    }
}

/// Guards against the refusal of sound requests beside a whole request that ends targets (LOST).
#[gtest]
fn quarantine_admits_sound_requests_beside_lethal_request() {
    for scenario in request_scenarios() {
        for seed in 0..SEEDS {
            let outcome = Fleet::new(scenario, seed).run();
            expect_that!(
                outcome.refused_sound_requests,
                le(outcome.sound_requests / 100),
                "{scenario:?}, seed {seed}: {outcome:?}"
            );
        }
    }
}

/// Guards against hosts that go on sending what ended engines of others (BUDGET).
#[gtest]
fn quarantine_ends_sends_of_lethal_part_on_all_hosts() {
    for scenario in scenarios() {
        for seed in 0..SEEDS {
            let outcome = Fleet::new(scenario, seed).run();
            expect_that!(
                outcome.late_lethal_sends,
                le(LATE_SENDS_MAX),
                "{scenario:?}, seed {seed}: {outcome:?}"
            );
        }
    }
}

/// Guards against the refusal of sound requests for what lethal ones, or lost engines, did (LOST).
#[gtest]
fn quarantine_admits_sound_requests() {
    for scenario in scenarios() {
        for has_common_first_part in [false, true] {
            for seed in 0..SEEDS {
                let scenario = Scenario {
                    has_common_first_part,
                    ..scenario
                };
                let outcome = Fleet::new(scenario, seed).run();
                expect_that!(
                    outcome.refused_sound_requests,
                    le(outcome.sound_requests / 2),
                    "{scenario:?}, seed {seed}: {outcome:?}"
                );
            }
        }
    }
}
