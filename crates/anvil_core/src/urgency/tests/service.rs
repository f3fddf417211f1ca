//! A service whose engines share one memory, and its hosts, in virtual time. Hosts see one another's
//! loads and demand up to half a second late.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

use crate::urgency::{
    Demand,
    Forecast,
    Rank,
    RankDemand,
    capacity::Capacity,
    draw,
    level::Level,
    retry_after, //
};

const RANKS: [Rank; 3] = [0, 1, 2];
const HOSTS: usize = 20;
const TOTAL_TOKENS: f64 = 180_000.0;
const USABLE_SHARE: f64 = 0.96;
const TOKENS: f64 = 300.0;
const LARGE_FACTOR: f64 = 8.0;
const HOLD_S: f64 = 2.0;
const STEP_MS: u64 = 1;
const END_MS: u64 = 22_000;
const WAIT_POLL_MS: u64 = 20;
const WAIT_MS: [u64; 3] = [250, 250, 500];
const VIEW_INTERVAL_MS: u64 = 500;
/// Time after which the sums no longer cover a host that died.
const SILENCE_MS: u64 = 1500;
const CALLER_TIME: Duration = Duration::from_secs(4);

/// What callers send and what fails. All times are in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Load {
    /// Requests a second of each rank, before and in a surge.
    pub(super) per_s: [f64; 3],
    pub(super) surge_per_s: [f64; 3],
    /// From and until when the demand surges.
    pub(super) surge_ms: (u64, u64),
    /// Share of the engines that is lost, and from and until when.
    pub(super) lost_share: f64,
    pub(super) lost_ms: (u64, u64),
    /// Share of the requests that are large. Fewer come then, so that the load stays the same.
    pub(super) large_share: f64,
    /// When one host dies.
    pub(super) host_lost_ms: Option<u64>,
    /// Whether hosts hear only those of their own half.
    pub(super) is_cut: bool,
    /// Whether all ranks are admitted and none waits, as where ranks don't compete.
    pub(super) is_ungated: bool,
}

/// What became of the callers' requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Results {
    /// Offered, served, and sent at once, by rank and by whether the request was large.
    counts: BTreeMap<(usize, bool), [f64; 3]>,
}

impl Results {
    /// Returns the share of a rank's requests that was served.
    pub(super) fn served(&self, rank: usize) -> f64 {
        self.share(1, |(other, _)| other == rank)
    }

    /// Returns the share of a rank's requests that was sent without a wait or a refusal.
    pub(super) fn sent_at_once(&self, rank: usize) -> f64 {
        self.share(2, |(other, _)| other == rank)
    }

    /// Returns the share of the large or of the small requests that was served.
    pub(super) fn served_of_size(&self, is_large: bool) -> f64 {
        self.share(1, |(_, other)| other == is_large)
    }

    fn share(&self, index: usize, is_meant: impl Fn((usize, bool)) -> bool) -> f64 {
        let meant = self.counts.iter().filter(|(key, _)| is_meant(**key));
        let (offered, part) = meant.fold((0.0, 0.0), |(offered, part), (_, counts)| {
            (offered + counts[0], part + counts[index])
        });
        part / offered
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    number: u64,
    rank: usize,
    is_large: bool,
    tokens: f64,
    is_retry: bool,
    host: usize,
    latest_ms: u64,
}

#[derive(Default)]
struct Host {
    demand: Demand,
    level: Level,
    used_tokens: f64,
    waiting: Vec<Request>,
}

struct Service {
    load: Load,
    rng: StdRng,
    now_ms: u64,
    hosts: Vec<Host>,
    /// Memory in use and demand of each host, as the others see it.
    view: Vec<(f64, BTreeMap<Rank, RankDemand>)>,
    /// Requests that run: when they end, their host and memory.
    running: Vec<(u64, usize, f64)>,
    /// Requests whose callers come back, and when.
    returning: Vec<(u64, Request)>,
    results: Results,
    next_number: u64,
}

/// Plays a load, and returns what became of the callers' requests.
pub(super) fn play(load: Load) -> Results {
    let mut service = Service {
        load,
        rng: StdRng::seed_from_u64(7),
        now_ms: 0,
        hosts: (0..HOSTS).map(|_| Host::default()).collect(),
        view: Vec::new(),
        running: Vec::new(),
        returning: Vec::new(),
        results: Results::default(),
        next_number: 0,
    };
    while service.now_ms < END_MS {
        service.step();
        service.now_ms += STEP_MS;
    }
    service.results
}

impl Service {
    fn step(&mut self) {
        let (now_ms, now) = (self.now_ms, self.now());
        for (_, host, tokens) in self
            .running
            .extract_if(.., |(end_ms, ..)| *end_ms <= now_ms)
        {
            self.hosts[host].used_tokens -= tokens;
        }
        if now_ms.is_multiple_of(VIEW_INTERVAL_MS) {
            let hosts = self.hosts.iter();
            self.view = hosts
                .map(|host| (host.used_tokens, host.demand.per_s(now)))
                .collect();
        }
        let is_surge = (self.load.surge_ms.0..self.load.surge_ms.1).contains(&now_ms);
        let per_s = if is_surge {
            self.load.surge_per_s
        } else {
            self.load.per_s
        };
        let mean_size = 1.0 + self.load.large_share * (LARGE_FACTOR - 1.0);
        for (rank, per_s) in per_s.iter().enumerate() {
            if self.rng.random::<f64>() < per_s / mean_size * STEP_MS as f64 / 1e3 {
                self.begin(rank);
            }
        }
        let due: Vec<_> = (self.returning.extract_if(.., |(at_ms, _)| *at_ms <= now_ms)).collect();
        for (_, request) in due {
            self.arrive(request);
        }
        if now_ms.is_multiple_of(WAIT_POLL_MS) {
            (0..HOSTS).for_each(|host| self.poll_waiting(host));
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn total_tokens(&self) -> f64 {
        let is_lost = (self.load.lost_ms.0..self.load.lost_ms.1).contains(&self.now_ms);
        TOTAL_TOKENS
            * if is_lost {
                1.0 - self.load.lost_share
            } else {
                1.0
            }
    }

    /// Returns the memory in use and the demand as a host knows them.
    fn seen_by(&self, host: usize) -> (f64, BTreeMap<Rank, RankDemand>) {
        let mut used_tokens = self.hosts[host].used_tokens;
        let mut demand = self.hosts[host].demand.per_s(self.now());
        let silent_ms = self.load.host_lost_ms.map(|at_ms| at_ms + SILENCE_MS);
        for (other, (used, ranks)) in self.view.iter().enumerate() {
            let is_silent = other == 0 && silent_ms.is_some_and(|at_ms| at_ms <= self.now_ms);
            let is_cut = self.load.is_cut && other % 2 != host % 2;
            if other == host || is_silent || is_cut {
                continue;
            }
            used_tokens += used;
            for (rank, others) in ranks {
                demand.entry(*rank).or_default().add(others);
            }
        }
        (used_tokens, demand)
    }

    fn forecast(&self, host: usize) -> Forecast {
        let (used_tokens, demand) = self.seen_by(host);
        let capacity = Capacity {
            total_tokens: self.total_tokens(),
            used_tokens,
        };
        Forecast::new(capacity, Duration::from_secs_f64(HOLD_S), demand)
    }

    fn begin(&mut self, rank: usize) {
        let is_large = self.rng.random::<f64>() < self.load.large_share;
        let size = if is_large { LARGE_FACTOR } else { 1.0 };
        let request = Request {
            number: 0,
            rank,
            is_large,
            tokens: TOKENS * size * self.rng.random_range(0.5..1.5),
            is_retry: false,
            host: 0,
            latest_ms: 0,
        };
        self.count(&request, 0);
        self.arrive(request);
    }

    fn count(&mut self, request: &Request, index: usize) {
        let key = (request.rank, request.is_large);
        self.results.counts.entry(key).or_default()[index] += 1.0;
    }

    /// Lets a request arrive at a host that lives.
    fn arrive(&mut self, mut request: Request) {
        let is_lost = self
            .load
            .host_lost_ms
            .is_some_and(|at_ms| at_ms <= self.now_ms);
        request.host = self.rng.random_range(usize::from(is_lost)..HOSTS);
        self.next_number += 1;
        request.number = self.next_number;
        let (now, host, rank) = (self.now(), request.host, RANKS[request.rank]);
        self.hosts[host].demand.record(rank, request.tokens, now);
        self.update_level(host);
        let is_admitted = self.is_admitted(&request);
        if is_admitted && self.send(&request) {
            if !request.is_retry {
                self.count(&request, 2);
            }
            return;
        }
        self.hosts[host].demand.record_refused(rank, now);
        let wait = Duration::from_millis(WAIT_MS[request.rank]);
        let draw = draw(&request.number.to_string());
        let is_expected = match is_admitted {
            true => self.forecast(host).left_tokens(rank, wait) >= request.tokens,
            false => (self.hosts[host].level).may_admit_within(rank, draw, wait),
        };
        if self.load.is_ungated || !is_expected {
            return self.refuse(request);
        }
        request.latest_ms = self.now_ms + WAIT_MS[request.rank];
        let waiting = &mut self.hosts[host].waiting;
        waiting.push(request);
        waiting.sort_by_key(|request| (request.rank, request.number));
    }

    fn update_level(&mut self, host: usize) {
        let now = self.now();
        if self.hosts[host].level.is_due(now) {
            let forecast = self.forecast(host);
            self.hosts[host].level.update(&RANKS, &forecast, now);
        }
    }

    fn is_admitted(&self, request: &Request) -> bool {
        let draw = draw(&request.number.to_string());
        let level = &self.hosts[request.host].level;
        self.load.is_ungated || level.admits(RANKS[request.rank], draw)
    }

    /// Sends a request if its host sees room for it, and returns whether the engines take it.
    fn send(&mut self, request: &Request) -> bool {
        let (seen_tokens, _) = self.seen_by(request.host);
        let used_tokens: f64 = self.hosts.iter().map(|host| host.used_tokens).sum();
        let total_tokens = self.total_tokens();
        if seen_tokens + request.tokens > USABLE_SHARE * total_tokens
            || used_tokens + request.tokens > total_tokens
        {
            return false;
        }
        let hold_ms = (HOLD_S * 1e3 * self.rng.random_range(0.5..1.5)) as u64;
        let end_ms = self.now_ms + hold_ms;
        self.hosts[request.host].used_tokens += request.tokens;
        self.running.push((end_ms, request.host, request.tokens));
        self.count(request, 1);
        true
    }

    fn poll_waiting(&mut self, host: usize) {
        if self.hosts[host].waiting.is_empty() {
            return;
        }
        self.update_level(host);
        let mut is_blocked = false;
        for request in std::mem::take(&mut self.hosts[host].waiting) {
            if self.now_ms >= request.latest_ms {
                self.refuse(request);
                continue;
            }
            let is_tried = !is_blocked && self.is_admitted(&request);
            if !(is_tried && self.send(&request)) {
                is_blocked |= is_tried;
                self.hosts[host].waiting.push(request);
            }
        }
    }

    /// Refuses a request, whose caller comes back once.
    fn refuse(&mut self, mut request: Request) {
        if request.is_retry {
            return;
        }
        request.is_retry = true;
        let spread = self.rng.random();
        let delay = match self.load.is_ungated {
            true => Duration::from_millis(300) + Duration::from_millis(900).mul_f64(spread),
            false => {
                let forecast = self.forecast(request.host);
                retry_after(&forecast, &RANKS, RANKS[request.rank], CALLER_TIME, spread)
            }
        };
        let at_ms = self.now_ms + delay.as_millis() as u64;
        self.returning.push((at_ms, request));
    }
}
