//! What all parts of a gateway share.

use std::{
    cell::{
        Cell,
        RefCell,
        RefMut, //
    },
    collections::HashMap,
    time::Duration, //
};

use anvil_core::{
    id::ServiceId,
    retry::window,
    route::crossing, //
};
use rand::{
    Rng,
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::{
    sync::{
        Notify,
        watch, //
    },
    time::Instant, //
};

use crate::{
    knowledge::TableCache,
    metrics::Metrics,
    peers::PeerRegistry,
    port::Platform,
    settings::Settings,
    targets::Targets, //
};

/// How far a host's run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It is to stop: it tells the entry so, and still takes what comes.
    Draining,
    /// The entry has noticed: idle connections are closed.
    Closing,
}

/// What all parts of a gateway share.
pub struct Gateway {
    /// Settings.
    pub settings: Settings,
    /// The platform.
    pub platform: Platform,
    /// The operators' table.
    pub table_cache: TableCache,
    /// The targets.
    pub targets: Targets,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The other gateways.
    pub peers: RefCell<PeerRegistry>,
    /// Told when a peer has a newer table.
    pub newer_table_notify: Notify,
    /// When an engine was last asked how slow it is.
    pub last_slowdown_query: Cell<Option<Instant>>,
    /// Whether this host is to place a model and waits for the list of targets to be whole.
    pub awaits_targets: Cell<bool>,
    /// Requests open now.
    pub open_requests: Cell<u32>,
    /// Connections of callers open now.
    pub open_connections: Cell<u32>,
    phase: watch::Sender<Phase>,
    random: RefCell<SmallRng>,
    /// Extra sends, by service.
    retries: RefCell<HashMap<ServiceId, window::Budget>>,
    /// Paths that go from one data centre to another.
    crossings: RefCell<crossing::Budget>,
    started: Instant,
}

impl Gateway {
    /// A gateway at the start of its run.
    pub fn new(settings: Settings, platform: Platform) -> Self {
        Self {
            settings,
            platform,
            table_cache: TableCache::default(),
            targets: Targets::default(),
            metrics: Metrics::new(),
            peers: RefCell::new(PeerRegistry::default()),
            newer_table_notify: Notify::new(),
            last_slowdown_query: Cell::new(None),
            awaits_targets: Cell::new(false),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            phase: watch::Sender::new(Phase::Serving),
            random: RefCell::new(SmallRng::from_rng(&mut rand::rng())),
            retries: RefCell::new(HashMap::new()),
            crossings: RefCell::new(crossing::Budget::new(Duration::ZERO)),
            started: Instant::now(),
        }
    }

    /// How far the run has come.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Goes on to a later phase.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Waits until idle connections are to be closed.
    pub async fn closing(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gateway.
        let _phase = phase.wait_for(|phase| *phase == Phase::Closing).await;
    }

    /// A random number in `0.0..1.0`.
    pub fn random_unit(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// A duration drawn evenly from a range.
    pub fn random_duration(&self, low: Duration, high: Duration) -> Duration {
        low + high.saturating_sub(low).mul_f64(self.random_unit())
    }

    /// Counts a request to a service, from which its extra sends follow.
    pub fn record_request(&self, service: &ServiceId) {
        let now = self.started.elapsed();
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(service.clone()).or_default();
        budget.record_request(&self.settings.bounds.retries, now);
    }

    /// Takes an extra send to a service, where one is left.
    pub fn try_retry(&self, service: &ServiceId) -> bool {
        let now = self.started.elapsed();
        // Hosts that are not heard of may send as well: every listed one has its part.
        let host_count = self.peers.borrow().listed_host_count();
        let mut retries = self.retries.borrow_mut();
        let budget = retries.entry(service.clone()).or_default();
        let is_allowed = budget.try_take(&self.settings.bounds.retries, host_count, now);
        if !is_allowed {
            self.metrics.record_retry_denied();
        }
        is_allowed
    }

    /// Whether a path may go from one data centre to another, where a token takes `pipe_time_ms` on
    /// the pipe between the two.
    pub fn may_cross(&self, pipe_time_ms: f64) -> bool {
        let host_count = self.peers.borrow().listed_host_count().unwrap_or(1);
        let now = self.started.elapsed();
        self.crossings
            .borrow_mut()
            .allows(pipe_time_ms, host_count, now)
    }

    /// Counts the tokens of a path that goes from one data centre to another.
    pub fn record_crossing(&self, tokens: f64) {
        self.crossings.borrow_mut().take(tokens);
    }

    /// The source of random numbers. It must not be held over an await.
    pub fn rng(&self) -> RefMut<'_, SmallRng> {
        self.random.borrow_mut()
    }

    /// A random whole number.
    pub fn random_u64(&self) -> u64 {
        self.random.borrow_mut().next_u64()
    }
}

/// Counts one more in a cell until it is dropped.
pub struct CountGuard<'a>(&'a Cell<u32>);

impl<'a> CountGuard<'a> {
    /// Counts one more.
    pub fn begin(cell: &'a Cell<u32>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}
