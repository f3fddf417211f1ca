//! State that all parts of a gateway share.

use std::{
    cell::{
        Cell,
        RefCell,
        RefMut, //
    },
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    exchange::Summary,
    id::{
        ServiceId,
        Version, //
    },
    quarantine::Quarantine,
    retry::window,
    route::crossing,
    target_limit::RequestRate, //
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
    abandoned::AbandonedQueue,
    clock::BootTime,
    held_prompts::HeldPrompts,
    http1::ResponseHead,
    intake::{
        Intake,
        budget::{
            Budget,
            process_descriptors, //
        }, //
    },
    knowledge::TableCache,
    link::Link,
    metrics::Metrics,
    peers::{
        PeerRegistry,
        table::packing::PackedTable,
        tunnel::Tunnels, //
    },
    port::{
        Platform,
        ResponseMetadata, //
    },
    run_clock::RunClock,
    settings::Settings,
    target::Target,
    targets::Targets,
    trial_place::SuspectCounts,
    urgency::Urgency, //
};

/// Phase of a host's run, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The host is serving.
    Serving,
    /// The host is about to stop. Its readiness check says so, and it still accepts requests.
    Draining,
    /// The load balancer has had time to notice. Idle connections are closed, and new requests are
    /// refused.
    Closing,
    /// The grace period is nearly over. Requests without an answer get one from this host.
    Ending,
}

/// State that all parts of a gateway share.
pub struct Gateway {
    /// Settings, fixed for the run.
    pub settings: Settings,
    /// Access to the store, the headers and the engine orders of the platform.
    pub platform: Platform,
    /// Cache of the operators' table.
    pub table_cache: TableCache,
    /// The table in the form in which hosts pass it on.
    pub(crate) packed_table: PackedTable,
    /// Target list, with this host's load at each target.
    pub targets: Targets,
    /// What this host holds for callers.
    pub intake: Rc<Intake>,
    /// How its memory and descriptors are divided.
    pub budget: Budget,
    /// Links of this host to targets.
    pub link: Link,
    /// Time in which this host did not run.
    pub run_clock: RunClock,
    /// Counters and histograms that the metrics address serves.
    pub metrics: Metrics,
    /// The other gateways, and what they observe.
    pub peers: RefCell<PeerRegistry>,
    /// Notified when a peer has a newer table.
    pub newer_table_notify: Notify,
    /// States of the prompt parts under which engines ended.
    pub quarantine: RefCell<Quarantine>,
    /// Requests of this host that are under suspicion, by engine.
    pub suspect_counts: SuspectCounts,
    /// Requests that are no longer waited for, under which targets may end.
    pub abandoned: AbandonedQueue,
    /// Admission of requests of different ranks that compete.
    pub urgency: Urgency,
    /// Notified when this host has observed what peers must know soon: evidence against a request, or
    /// a lost engine.
    pub urgent_change: Notify,
    /// When an engine was last asked for its slowdown. `None` before the first query.
    pub last_slowdown_query: Cell<Option<Instant>>,
    /// Whether this host is to place a model and waits for the target list to be complete.
    pub awaits_targets: Cell<bool>,
    /// What this host knows of tunnels to targets through other hosts.
    pub tunnels: Tunnels,
    /// Number of tunnels that this host serves to others now.
    pub open_tunnels: Cell<u32>,
    /// Number of requests that are open now.
    pub open_requests: Cell<u32>,
    /// Number of caller connections that are open now.
    pub open_connections: Cell<u32>,
    phase: watch::Sender<Phase>,
    rng: RefCell<SmallRng>,
    /// Budget of extra sends (retries), by service.
    pub(crate) retry_budgets: RefCell<HashMap<ServiceId, window::Budget>>,
    /// Moving average of the callers' requests.
    request_rate: Cell<RequestRate>,
    /// Prompts that this host's requests keep in the memory of engines; `None` if the settings switch
    /// their use off.
    pub(crate) held_prompts: Option<HeldPrompts>,
    /// Budget of tokens on paths that cross between data centres.
    crossing_budget: RefCell<crossing::Budget>,
    started: Instant,
}

impl Gateway {
    /// Creates a gateway in the phase `Serving`.
    pub fn new(settings: Settings, platform: Platform) -> Self {
        Self::with_rng(settings, platform, SmallRng::from_rng(&mut rand::rng()))
    }

    /// Creates a gateway that draws its random delays and choices from `rng`.
    pub fn with_rng(settings: Settings, platform: Platform, rng: SmallRng) -> Self {
        let descriptors = settings.descriptors.unwrap_or(usize::MAX);
        let descriptors = descriptors.min(process_descriptors());
        let budget = Budget::new(settings.memory_megabytes, descriptors);
        Self {
            peers: RefCell::new(PeerRegistry::new(&settings)),
            table_cache: TableCache::new(settings.bounds.config_apply),
            packed_table: PackedTable::default(),
            targets: Targets::new(settings.heartbeat),
            intake: Intake::new("callers", budget.callers),
            budget,
            held_prompts: settings.held_prompts.then(HeldPrompts::new),
            settings,
            platform,
            link: Link::default(),
            run_clock: RunClock::default(),
            metrics: Metrics::new(),
            newer_table_notify: Notify::new(),
            quarantine: RefCell::new(Quarantine::default()),
            suspect_counts: SuspectCounts::default(),
            abandoned: AbandonedQueue::default(),
            urgency: Urgency::default(),
            urgent_change: Notify::new(),
            last_slowdown_query: Cell::new(None),
            awaits_targets: Cell::new(false),
            tunnels: Tunnels::default(),
            open_tunnels: Cell::new(0),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            phase: watch::Sender::new(Phase::Serving),
            rng: RefCell::new(rng),
            retry_budgets: RefCell::new(HashMap::new()),
            request_rate: Cell::new(RequestRate::default()),
            crossing_budget: RefCell::new(crossing::Budget::new(Duration::ZERO)),
            started: Instant::now(),
        }
    }

    /// Returns the current phase of the run.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the time since the process started.
    pub fn uptime(&self) -> Duration {
        self.started.elapsed()
    }

    /// Sets a later phase and wakes the tasks that wait for it.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Waits until a phase of the run, or a later one, has begun.
    pub async fn reached(&self, awaited: Phase) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gateway, so the wait can't fail.
        let _phase = phase.wait_for(|phase| *phase >= awaited).await;
    }

    /// Returns the latest time at which a question is known to have been sent that the store
    /// answered, to this host or to a peer. Returns `None` before the first answer.
    pub fn store_answered_as_of(&self) -> Option<BootTime> {
        let table = self.table_cache.current_as_of();
        table.max(self.targets.current_as_of())
    }

    /// Reads the metadata of a target's answer and applies what the target states about itself.
    pub fn parse_answer(&self, target: &Target, head: &ResponseHead) -> ResponseMetadata {
        let metadata = self.platform.header_codec.parse_response(head);
        target.record_answer(Instant::now());
        self.targets
            .apply_answer(target, &metadata, Instant::now(), self.random_unit());
        metadata
    }

    /// Returns what all other live hosts observe together.
    pub fn peers_view(&self) -> Rc<Summary> {
        self.peers.borrow_mut().view(BootTime::now())
    }

    /// Returns the highest version of the operators' table that a live peer has, or 0.
    pub fn newest_peer_version(&self) -> Version {
        self.peers
            .borrow_mut()
            .newest_table_version(BootTime::now())
    }

    /// Returns whether a live peer has a newer table than this host.
    pub fn is_behind_peer(&self) -> bool {
        self.newest_peer_version() > self.table_cache.version()
    }

    /// Returns whether a live peer has a newer table than this host and the store, which has lost it
    /// in a restore. The table in force may then hold keys that are revoked.
    pub fn is_table_superseded(&self) -> bool {
        self.is_behind_peer()
            && self.newest_peer_version() <= self.table_cache.checked_peer_version()
    }

    /// Returns a random number in `0.0..1.0`.
    pub fn random_unit(&self) -> f64 {
        self.rng.borrow_mut().random()
    }

    /// Returns a uniformly distributed random duration from `low` up to `high`.
    pub fn random_duration(&self, low: Duration, high: Duration) -> Duration {
        low + high.saturating_sub(low).mul_f64(self.random_unit())
    }

    /// Counts a request to a service, from which its budget of extra sends and this host's shares of
    /// targets' limits follow.
    pub fn record_request(&self, service: &ServiceId) {
        let now = self.started.elapsed();
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(service.clone()).or_default();
        budget.record_request(&self.settings.bounds.retries, now);
        let mut request_rate = self.request_rate.get();
        request_rate.record(Instant::now().into_std());
        self.request_rate.set(request_rate);
    }

    /// Returns the callers' requests a second, as a moving average.
    pub fn own_requests_per_s(&self) -> f64 {
        self.request_rate.get().per_s(Instant::now().into_std())
    }

    /// Returns whether a path may cross from one data centre to another, where one token takes
    /// `pipe_time_ms` on the link between the two.
    pub fn may_cross(&self, pipe_time_ms: f64) -> bool {
        let host_count = self.peers.borrow().listed_host_count().unwrap_or(1);
        let now = self.started.elapsed();
        self.crossing_budget
            .borrow_mut()
            .allows(pipe_time_ms, host_count, now)
    }

    /// Charges the tokens of a path that crosses between data centres to the budget.
    pub fn record_crossing(&self, tokens: f64) {
        self.crossing_budget.borrow_mut().take(tokens);
    }

    /// Returns the random number generator. The guard must not be held across an await.
    pub fn rng(&self) -> RefMut<'_, SmallRng> {
        self.rng.borrow_mut()
    }

    /// Returns a random integer.
    pub fn random_u64(&self) -> u64 {
        self.rng.borrow_mut().next_u64()
    }
}

/// Keeps a counter one higher until the guard is dropped.
pub struct CountGuard<'a>(&'a Cell<u32>);

impl<'a> CountGuard<'a> {
    /// Increments the counter.
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
