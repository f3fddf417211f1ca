//! One run of a target: what it registered, and what this host's requests showed of it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anvil_core::id::TargetId;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    pool::ConnectionPool,
    port::{
        TargetEntry,
        TargetState, //
    }, //
};

#[cfg(test)]
mod tests;

/// Time for which a target is avoided after a first refusal or error; doubles with each further one.
const AVOID_MIN: Duration = Duration::from_millis(400);
/// Time for which a target is avoided after it gave no sign of life for the first time: most of the
/// time that the list takes to drop one that crashed.
const AVOID_SILENT_MIN: Duration = Duration::from_millis(1500);
/// Time for which a target without room is avoided: some events of a stream, each of which may be
/// the last.
const FULL_PAUSE: Duration = Duration::from_millis(120);
/// Longest time for which a target is avoided: a crashed one may be back within seconds.
const AVOID_MAX: Duration = Duration::from_secs(4);
/// Weight of a new observation of a target's speed.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Largest slowdown that is believed.
const SLOWDOWN_MAX: f64 = 20.0;
/// Age up to which a target's own word on its speed holds.
const STATED_FRESH: Duration = Duration::from_millis(2500);

/// Why a target is avoided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidReason {
    /// A request failed there, or it has no room: others need not be told.
    Failure,
    /// It gave no sign of life.
    Unresponsive,
    /// It takes nothing new although it lives and has room: it leaves, or gives up its layers.
    Refusing,
}

/// One run of a target.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub id: TargetId,
    /// Hash of its name, for datagrams.
    pub id_hash: u32,
    /// What it registered last.
    pub entry: RefCell<TargetEntry>,
    /// Idle connections to it.
    pub pool: ConnectionPool,
    /// Requests of this host on paths through it.
    pub sequences: Cell<f64>,
    /// Memory that they take, in tokens times layers.
    pub token_layers: Cell<f64>,
    /// Requests of this host that were sent to it.
    pub sent_requests: Cell<f64>,
    /// When it last wrote its entry, as this host learnt it.
    pub last_heartbeat: Cell<Instant>,
    /// When a request through it last made progress.
    progress: Cell<Option<Instant>>,
    avoided_until: Cell<Option<Instant>>,
    /// Why it was avoided last.
    pub(crate) avoid_reason: Cell<AvoidReason>,
    failures: Cell<u32>,
    slowdown: Cell<f64>,
    /// Slowdown that it stated itself, and when.
    stated: Cell<Option<(Instant, f64)>>,
    /// Whether it is no longer listed, or another run took its name.
    pub(crate) is_removed: Cell<bool>,
}

impl Target {
    pub(crate) fn new(id: TargetId, entry: TargetEntry) -> Self {
        Self {
            id_hash: hash(&id),
            id,
            entry: RefCell::new(entry),
            pool: ConnectionPool::default(),
            sequences: Cell::new(0.0),
            token_layers: Cell::new(0.0),
            sent_requests: Cell::new(0.0),
            last_heartbeat: Cell::new(Instant::now()),
            progress: Cell::new(None),
            avoided_until: Cell::new(None),
            avoid_reason: Cell::new(AvoidReason::Failure),
            failures: Cell::new(0),
            slowdown: Cell::new(1.0),
            stated: Cell::new(None),
            is_removed: Cell::new(false),
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.entry.borrow().address
    }

    /// Whether it takes new requests, as far as the list says.
    pub fn is_listed_ready(&self) -> bool {
        !self.is_removed.get() && self.entry.borrow().state == TargetState::Ready
    }

    /// Whether it is avoided after failures.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.get().is_some_and(|until| until > now)
    }

    /// Notes that a request was refused or failed there.
    pub fn record_failure(&self, now: Instant) {
        self.avoid(now, AVOID_MIN, AvoidReason::Failure);
    }

    /// Notes that it refused a request for want of room: others may find some soon.
    pub fn record_no_capacity(&self, now: Instant) {
        if !self.is_avoided(now) {
            self.avoid_reason.set(AvoidReason::Failure);
            self.avoided_until.set(Some(now + FULL_PAUSE));
        }
    }

    /// Notes that it gave no sign of life.
    pub fn record_unresponsive(&self, now: Instant) {
        self.avoid(now, AVOID_SILENT_MIN, AvoidReason::Unresponsive);
    }

    /// Notes that it refused a request although it lives and has room.
    pub fn record_refusing(&self, now: Instant) {
        self.avoid(now, AVOID_SILENT_MIN, AvoidReason::Refusing);
    }

    fn avoid(&self, now: Instant, min: Duration, cause: AvoidReason) {
        if self.is_avoided(now) {
            // Requests that were under way together fail together and count once.
            return;
        }
        let failures = self.failures.get().saturating_add(1);
        self.failures.set(failures);
        let factor = 1u32 << (failures - 1).min(4);
        self.avoid_reason.set(cause);
        self.avoided_until
            .set(Some(now + (min * factor).min(AVOID_MAX)));
    }

    /// Notes that a request made progress there.
    pub fn record_progress(&self, now: Instant) {
        self.progress.set(Some(now));
        if !self.is_avoided(now) {
            self.failures.set(0);
        }
    }

    /// Whether a request made progress there since `then`.
    pub fn progressed_since(&self, then: Instant) -> bool {
        self.progress.get().is_some_and(|at| at >= then)
    }

    /// Notes how long something took against the prediction.
    pub fn record_slowdown_sample(&self, observed_ms: f64, predicted_ms: f64) {
        if predicted_ms <= 0.0 {
            return;
        }
        let sample = (observed_ms / predicted_ms).clamp(1.0, SLOWDOWN_MAX);
        let old = self.slowdown.get();
        self.slowdown.set(old + SLOWDOWN_WEIGHT * (sample - old));
    }

    /// Notes the slowdown that it stated itself.
    pub fn record_reported_slowdown(&self, now: Instant, slowdown: f64) {
        self.stated
            .set(Some((now, slowdown.clamp(1.0, SLOWDOWN_MAX))));
    }

    /// Slowdown that it stated a moment ago.
    pub fn reported_slowdown(&self, now: Instant) -> Option<f64> {
        let (at, slowdown) = self.stated.get()?;
        (now.duration_since(at) < STATED_FRESH).then_some(slowdown)
    }

    /// Observed time over the predicted one.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.get()
    }
}

/// Hash of a target's name.
fn hash(id: &TargetId) -> u32 {
    (xxh3_64(id.as_bytes()) >> 32) as u32
}

/// Counts a request at a target until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    target: Rc<Target>,
    token_layers: f64,
    is_sent_here: bool,
}

impl InFlightGuard {
    /// Counts a request that takes `token_layers` of memory.
    pub fn begin(target: &Rc<Target>, token_layers: f64, is_sent_here: bool) -> Self {
        add(&target.sequences, 1.0);
        add(&target.token_layers, token_layers);
        if is_sent_here {
            add(&target.sent_requests, 1.0);
        }
        Self {
            target: Rc::clone(target),
            token_layers,
            is_sent_here,
        }
    }

    /// The target.
    pub fn target(&self) -> &Rc<Target> {
        &self.target
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        add(&self.target.sequences, -1.0);
        add(&self.target.token_layers, -self.token_layers);
        if self.is_sent_here {
            add(&self.target.sent_requests, -1.0);
        }
    }
}

fn add(cell: &Cell<f64>, amount: f64) {
    cell.set((cell.get() + amount).max(0.0));
}
