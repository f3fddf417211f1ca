//! Requests that arrive at each host at random times, at rates that can be changed.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering::Relaxed, //
        }, //
    },
    time::Duration, //
};

use anvil_core::{
    document,
    id::TeamId,
    limits::share::{
        Share,
        floor, //
    }, //
};
use anvil_fleet::{
    Fleet,
    builder, //
};
use anvil_host::shared::Shared;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::{
    task::JoinSet,
    time::Instant, //
};

use super::{
    HOSTS,
    LIMIT_REQUESTS_PER_S,
    TEAMS,
    Tally,
    team_limits, //
};

/// Interval at which requests that are due are started.
const TICK: Duration = Duration::from_millis(2);
/// Time for which an admitted request stays open.
const OPEN_TIME: Duration = Duration::from_millis(20);
const COST_TOKENS: u64 = 100;

/// Rates of the load at one host, and the flag that stops it.
#[derive(Default)]
struct HostControl {
    /// Requests per second by team, as the bits of an `f64`.
    rate_bits: [AtomicU64; TEAMS.len()],
    stopped: AtomicBool,
}

/// Running load, with one task for each host and team.
pub struct Load {
    controls: Vec<Arc<HostControl>>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Starts the load at every host, at a rate of 0.
    pub fn start(fleet: &Fleet, tallies: &[Arc<Tally>], seed: u64) -> Self {
        let controls: Vec<_> = (0..HOSTS)
            .map(|_| Arc::new(HostControl::default()))
            .collect();
        let mut tasks = JoinSet::new();
        let start = Instant::now();
        for (index, control) in controls.iter().enumerate() {
            for (team, tally) in tallies.iter().enumerate() {
                let source = Source::new(fleet, index, team, start, Arc::clone(tally));
                let rng = StdRng::seed_from_u64(seed ^ ((index as u64) << 8 | team as u64) << 32);
                tasks.spawn(source.run(Arc::clone(control), rng));
            }
        }
        Self { controls, tasks }
    }

    /// Sets a team's rate at each host, in requests per second.
    pub fn set_rates(&self, team: usize, rates: &[f64]) {
        for (control, rate) in self.controls.iter().zip(rates) {
            control.rate_bits[team].store(rate.to_bits(), Relaxed);
        }
    }

    /// Stops the load at a host without waiting.
    pub fn stop_host(&self, index: usize) {
        self.controls[index].stopped.store(true, Relaxed);
    }

    /// Stops the load and waits for its tasks. Requests that are open then continue.
    pub async fn close(mut self) {
        for control in &self.controls {
            control.stopped.store(true, Relaxed);
        }
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Source of the requests of one team at one host.
struct Source {
    shared: Arc<Shared>,
    team_index: usize,
    team_id: TeamId,
    team: Arc<document::Team>,
    /// Equal and constant share of the limit, as a baseline for comparison.
    static_share: Arc<Share>,
    tally: Arc<Tally>,
    start: Instant,
}

impl Source {
    fn new(
        fleet: &Fleet,
        host: usize,
        team_index: usize,
        start: Instant,
        tally: Arc<Tally>,
    ) -> Self {
        let shared = Arc::clone(fleet.host(host).shared());
        let now = std::time::Instant::now();
        let hosts = HOSTS as u32;
        let static_share = Share::new(&shared.settings.team_limits, team_limits(), hosts, now);
        static_share.apply_floor(floor(team_limits(), hosts), now);
        let team_id = TeamId::from(TEAMS[team_index].0);
        let mut team = builder::team(&team_id);
        team.limit_requests_per_s = LIMIT_REQUESTS_PER_S;
        Self {
            shared,
            team_index,
            team_id,
            team: Arc::new(team),
            static_share: Arc::new(static_share),
            tally,
            start,
        }
    }

    async fn run(self, control: Arc<HostControl>, mut rng: StdRng) {
        let source = Arc::new(self);
        let mut last_at = Instant::now();
        let mut due_requests = 0.0;
        let mut next_gap = exponential(&mut rng);
        while !control.stopped.load(Relaxed) {
            tokio::time::sleep(TICK).await;
            let now = Instant::now();
            let rate = f64::from_bits(control.rate_bits[source.team_index].load(Relaxed));
            due_requests += (now - last_at).as_secs_f64() * rate;
            last_at = now;
            while due_requests >= next_gap {
                due_requests -= next_gap;
                next_gap = exponential(&mut rng);
                source.start_request(now);
            }
        }
    }

    fn start_request(self: &Arc<Self>, now: Instant) {
        let time = now - self.start;
        self.tally.record_offered(time);
        if let Ok(charge) = self.static_share.try_charge(COST_TOKENS, now.into_std()) {
            self.tally.record_admitted_static(time);
            charge.close(COST_TOKENS);
        }
        let source = Arc::clone(self);
        tokio::spawn(async move { source.run_request().await });
    }

    async fn run_request(&self) {
        let charged =
            anvil_host::limits::charge(&self.shared, &self.team_id, &self.team, COST_TOKENS).await;
        if let Ok(charge) = charged {
            self.tally.record_admitted(self.start.elapsed());
            tokio::time::sleep(OPEN_TIME).await;
            charge.close(COST_TOKENS);
        }
    }
}

/// Returns a random time to the next arrival of a Poisson process with rate 1.
fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
