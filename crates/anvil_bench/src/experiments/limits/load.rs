//! Requests at each host, at random moments, at rates that may change.

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
    limits, //
};

/// Pause between two looks at what is due.
const TICK: Duration = Duration::from_millis(2);
/// Time that an admitted request stays open.
const OPEN_TIME: Duration = Duration::from_millis(20);
const COST_TOKENS: u64 = 100;

/// Rates and switches of the load at one host.
#[derive(Default)]
struct Control {
    /// Requests a second by team, as bits.
    rates: [AtomicU64; TEAMS.len()],
    stopped: AtomicBool,
}

/// The running load.
pub struct Load {
    controls: Vec<Arc<Control>>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Starts the load at every host, at a rate of 0.
    pub fn start(fleet: &Fleet, tallies: &[Arc<Tally>], seed: u64) -> Self {
        let controls: Vec<_> = (0..HOSTS).map(|_| Arc::new(Control::default())).collect();
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

    /// Changes a team's rate at each host.
    pub fn set_rates(&self, team: usize, rates: &[f64]) {
        for (control, rate) in self.controls.iter().zip(rates) {
            control.rates[team].store(rate.to_bits(), Relaxed);
        }
    }

    /// Ends the load at a host.
    pub fn stop_host(&self, index: usize) {
        self.controls[index].stopped.store(true, Relaxed);
    }

    /// Ends the load.
    pub async fn close(mut self) {
        for control in &self.controls {
            control.stopped.store(true, Relaxed);
        }
        while self.tasks.join_next().await.is_some() {}
    }
}

/// One team's requests at one host.
struct Source {
    shared: Arc<Shared>,
    team_index: usize,
    id: TeamId,
    team: Arc<document::Team>,
    fixed: Arc<Share>,
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
        let fixed = Share::new(&shared.settings.team_limits, limits(), hosts, now);
        fixed.apply_floor(floor(limits(), hosts), now);
        let id = TeamId::from(TEAMS[team_index].0);
        let mut team = builder::team(&id);
        team.limit_requests_per_s = LIMIT_REQUESTS_PER_S;
        Self {
            shared,
            team_index,
            id,
            team: Arc::new(team),
            fixed: Arc::new(fixed),
            tally,
            start,
        }
    }

    async fn run(self, control: Arc<Control>, mut rng: StdRng) {
        let source = Arc::new(self);
        let mut last = Instant::now();
        let mut due = 0.0;
        let mut gap = exponential(&mut rng);
        while !control.stopped.load(Relaxed) {
            tokio::time::sleep(TICK).await;
            let now = Instant::now();
            let rate = f64::from_bits(control.rates[source.team_index].load(Relaxed));
            due += (now - last).as_secs_f64() * rate;
            last = now;
            while due >= gap {
                due -= gap;
                gap = exponential(&mut rng);
                source.arrive(now);
            }
        }
    }

    fn arrive(self: &Arc<Self>, now: Instant) {
        let time = now - self.start;
        self.tally.offer(time);
        if let Ok(charge) = self.fixed.try_charge(COST_TOKENS, now.into_std()) {
            self.tally.admit_static(time);
            charge.close(COST_TOKENS);
        }
        let source = Arc::clone(self);
        tokio::spawn(async move { source.request().await });
    }

    async fn request(&self) {
        let charged =
            anvil_host::limits::charge(&self.shared, &self.id, &self.team, COST_TOKENS).await;
        if let Ok(charge) = charged {
            self.tally.admit(self.start.elapsed());
            tokio::time::sleep(OPEN_TIME).await;
            charge.close(COST_TOKENS);
        }
    }
}

/// Time to the next arrival at rate 1.
fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
