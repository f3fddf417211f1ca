//! A service whose engines share one memory, and its hosts, in virtual time. Hosts see one another's
//! loads and demand up to half a second late. No request waits; a refused one comes back once.

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
const HOLD_MS: f64 = 2000.0;
const END_MS: u64 = 22_000;
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
    /// Whether all ranks are admitted, as where ranks don't compete.
    pub(super) is_ungated: bool,
}

/// Numbers of requests that were offered and served, by rank and by whether they were large.
#[derive(Clone, Debug, Default)]
pub(super) struct Results(BTreeMap<(usize, bool), (f64, f64)>);

impl Results {
    /// Returns the share of a rank's requests that was served.
    pub(super) fn served(&self, rank: usize) -> f64 {
        self.share(|(other, _)| other == rank)
    }

    /// Returns the share of the large or of the small requests that was served.
    pub(super) fn served_of_size(&self, is_large: bool) -> f64 {
        self.share(|(_, other)| other == is_large)
    }

    fn share(&self, is_meant: impl Fn((usize, bool)) -> bool) -> f64 {
        let meant = || self.0.iter().filter(|(key, _)| is_meant(**key));
        let offered: f64 = meant().map(|(_, (offered, _))| offered).sum();
        meant().map(|(_, (_, served))| served).sum::<f64>() / offered
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    rank: usize,
    is_large: bool,
    tokens: f64,
    is_retry: bool,
}

#[derive(Default)]
struct Host {
    demand: Demand,
    level: Level,
    used_tokens: f64,
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
    };
    while service.now_ms < END_MS {
        service.step();
        service.now_ms += 1;
    }
    service.results
}

impl Service {
    fn step(&mut self) {
        let (load, now_ms, now) = (self.load, self.now_ms, self.now());
        for (_, host, tokens) in self
            .running
            .extract_if(.., |(end_ms, ..)| *end_ms <= now_ms)
        {
            self.hosts[host].used_tokens -= tokens;
        }
        if now_ms.is_multiple_of(VIEW_INTERVAL_MS) {
            let seen = |host: &Host| (host.used_tokens, host.demand.per_s(now));
            self.view = self.hosts.iter().map(seen).collect();
        }
        let per_s = match (load.surge_ms.0..load.surge_ms.1).contains(&now_ms) {
            true => load.surge_per_s,
            false => load.per_s,
        };
        let mean_size = 1.0 + load.large_share * (LARGE_FACTOR - 1.0);
        for (rank, per_s) in per_s.iter().enumerate() {
            if self.rng.random::<f64>() < per_s / mean_size / 1e3 {
                let is_large = self.rng.random::<f64>() < load.large_share;
                let size = if is_large { LARGE_FACTOR } else { 1.0 };
                self.results.0.entry((rank, is_large)).or_default().0 += 1.0;
                let tokens = TOKENS * size * self.rng.random_range(0.5..1.5);
                self.arrive(Request {
                    rank,
                    is_large,
                    tokens,
                    is_retry: false,
                });
            }
        }
        let due: Vec<_> = (self.returning.extract_if(.., |(at_ms, _)| *at_ms <= now_ms)).collect();
        for (_, request) in due {
            self.arrive(request);
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn total_tokens(&self) -> f64 {
        match (self.load.lost_ms.0..self.load.lost_ms.1).contains(&self.now_ms) {
            true => TOTAL_TOKENS * (1.0 - self.load.lost_share),
            false => TOTAL_TOKENS,
        }
    }

    /// Returns what a host knows of the service.
    fn forecast(&self, host: usize) -> Forecast {
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
        let capacity = Capacity {
            total_tokens: self.total_tokens(),
            used_tokens,
        };
        Forecast::new(capacity, Duration::from_secs_f64(HOLD_MS / 1e3), demand)
    }

    /// Lets a request arrive at a host that lives, which sends or refuses it.
    fn arrive(&mut self, request: Request) {
        let first_ms = self.load.host_lost_ms.unwrap_or(u64::MAX);
        let first = usize::from(first_ms <= self.now_ms);
        let index = self.rng.random_range(first..HOSTS);
        let (now, rank) = (self.now(), RANKS[request.rank]);
        let forecast = self.forecast(index);
        let total_tokens = self.total_tokens();
        let used_tokens: f64 = self.hosts.iter().map(|host| host.used_tokens).sum();
        let host = &mut self.hosts[index];
        host.demand.record(rank, request.tokens, now);
        if host.level.is_due(now) {
            host.level.update(&RANKS, &forecast, now);
        }
        let draw = draw(&self.rng.random::<u64>().to_string());
        let is_admitted = self.load.is_ungated || host.level.admits(rank, draw);
        let seen_tokens = forecast.capacity.used_tokens + request.tokens;
        let has_path = seen_tokens <= USABLE_SHARE * total_tokens;
        if is_admitted && has_path && used_tokens + request.tokens <= total_tokens {
            host.used_tokens += request.tokens;
            let hold_ms = (HOLD_MS * self.rng.random_range(0.5..1.5)) as u64;
            let end_ms = self.now_ms + hold_ms;
            self.running.push((end_ms, index, request.tokens));
            let key = (request.rank, request.is_large);
            self.results.0.entry(key).or_default().1 += 1.0;
            return;
        }
        host.demand.record_refused(rank, now);
        if request.is_retry {
            return;
        }
        let spread = self.rng.random();
        let delay = match self.load.is_ungated {
            true => Duration::from_millis(300) + Duration::from_millis(900).mul_f64(spread),
            false => retry_after(&forecast, &RANKS, rank, CALLER_TIME, spread),
        };
        let at_ms = self.now_ms + delay.as_millis() as u64;
        let is_retry = true;
        self.returning.push((
            at_ms,
            Request {
                is_retry,
                ..request
            },
        ));
    }
}
