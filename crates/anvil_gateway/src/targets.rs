//! The targets as this host knows them: what they registered, and what its own requests showed.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anvil_core::id::{
    Offset,
    ServiceId,
    TargetId, //
};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::BootTime,
    peers::{
        Load,
        SlowTarget, //
    },
    pool::Pool,
    port::{
        TargetChange,
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
/// Slowdown from which on a target's word is passed on to peers.
const SLOW_MIN: f64 = 1.5;

/// Why a target is avoided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// A request failed there, or it has no room: others need not be told.
    Failure,
    /// It gave no sign of life.
    Silence,
    /// It takes nothing new although it lives and has room: it leaves, or gives up its layers.
    Refusing,
}

/// One run of a target.
#[derive(Debug)]
pub struct Target {
    /// Its name.
    pub id: TargetId,
    /// Hash of its name, for datagrams.
    pub hash: u32,
    /// What it registered last.
    pub entry: RefCell<TargetEntry>,
    /// Idle connections to it.
    pub pool: Pool,
    /// Requests of this host on paths through it.
    pub sequences: Cell<f64>,
    /// Memory that they take, in tokens times layers.
    pub token_layers: Cell<f64>,
    /// Requests of this host that were sent to it.
    pub sent_requests: Cell<f64>,
    /// When it last wrote its entry, as this host learnt it.
    pub heard: Cell<Instant>,
    /// When a request through it last made progress.
    progress: Cell<Option<Instant>>,
    avoided_until: Cell<Option<Instant>>,
    /// Why it was avoided last.
    avoided_for: Cell<Cause>,
    failures: Cell<u32>,
    slowdown: Cell<f64>,
    /// Slowdown that it stated itself, and when.
    stated: Cell<Option<(Instant, f64)>>,
    gone: Cell<bool>,
}

impl Target {
    fn new(id: TargetId, entry: TargetEntry) -> Self {
        Self {
            hash: hash(&id),
            id,
            entry: RefCell::new(entry),
            pool: Pool::default(),
            sequences: Cell::new(0.0),
            token_layers: Cell::new(0.0),
            sent_requests: Cell::new(0.0),
            heard: Cell::new(Instant::now()),
            progress: Cell::new(None),
            avoided_until: Cell::new(None),
            avoided_for: Cell::new(Cause::Failure),
            failures: Cell::new(0),
            slowdown: Cell::new(1.0),
            stated: Cell::new(None),
            gone: Cell::new(false),
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.entry.borrow().address
    }

    /// Whether it takes new requests, as far as the list says.
    pub fn is_listed_ready(&self) -> bool {
        !self.gone.get() && self.entry.borrow().state == TargetState::Ready
    }

    /// Whether it is avoided after failures.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.get().is_some_and(|until| until > now)
    }

    /// Notes that a request was refused or failed there.
    pub fn note_failure(&self, now: Instant) {
        self.avoid(now, AVOID_MIN, Cause::Failure);
    }

    /// Notes that it refused a request for want of room: others may find some soon.
    pub fn note_full(&self, now: Instant) {
        if !self.is_avoided(now) {
            self.avoided_for.set(Cause::Failure);
            self.avoided_until.set(Some(now + FULL_PAUSE));
        }
    }

    /// Notes that it gave no sign of life.
    pub fn note_silence(&self, now: Instant) {
        self.avoid(now, AVOID_SILENT_MIN, Cause::Silence);
    }

    /// Notes that it refused a request although it lives and has room.
    pub fn note_refusing(&self, now: Instant) {
        self.avoid(now, AVOID_SILENT_MIN, Cause::Refusing);
    }

    fn avoid(&self, now: Instant, min: Duration, cause: Cause) {
        if self.is_avoided(now) {
            // Requests that were under way together fail together and count once.
            return;
        }
        let failures = self.failures.get().saturating_add(1);
        self.failures.set(failures);
        let factor = 1u32 << (failures - 1).min(4);
        self.avoided_for.set(cause);
        self.avoided_until
            .set(Some(now + (min * factor).min(AVOID_MAX)));
    }

    /// Notes that a request made progress there.
    pub fn note_progress(&self, now: Instant) {
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
    pub fn note_pace(&self, observed_ms: f64, predicted_ms: f64) {
        if predicted_ms <= 0.0 {
            return;
        }
        let sample = (observed_ms / predicted_ms).clamp(1.0, SLOWDOWN_MAX);
        let old = self.slowdown.get();
        self.slowdown.set(old + SLOWDOWN_WEIGHT * (sample - old));
    }

    /// Notes the slowdown that it stated itself.
    pub fn note_stated_slowdown(&self, now: Instant, slowdown: f64) {
        self.stated
            .set(Some((now, slowdown.clamp(1.0, SLOWDOWN_MAX))));
    }

    /// Slowdown that it stated a moment ago.
    pub fn stated_slowdown(&self, now: Instant) -> Option<f64> {
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
pub struct Flight {
    target: Rc<Target>,
    token_layers: f64,
    is_sent_here: bool,
}

impl Flight {
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

impl Drop for Flight {
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

/// All targets.
#[derive(Debug, Default)]
pub struct Targets {
    by_id: RefCell<HashMap<TargetId, Rc<Target>>>,
    /// The list is known as it was at this time or later.
    current_as_of: Cell<Option<BootTime>>,
    /// Offset of the store's list up to which changes are known; 0 before the first reading.
    next: Cell<Offset>,
}

impl Targets {
    /// Takes over the whole list. Targets that are not in it are gone.
    pub fn replace(&self, changes: Vec<TargetChange>, next: Offset, as_of: BootTime) {
        let listed: std::collections::HashSet<_> = changes
            .iter()
            .filter_map(|change| match change {
                TargetChange::Put(id, _) => Some(id.clone()),
                TargetChange::Removed(_) | TargetChange::Unreadable(..) => None,
            })
            .collect();
        let missing: Vec<TargetId> = self
            .by_id
            .borrow()
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, "not listed");
        }
        self.apply(changes, next, as_of);
    }

    /// Takes over the changes that a peer read, where they follow what is known here.
    pub fn take_news(&self, from: Offset, changes: &[TargetChange], next: Offset, as_of: BootTime) {
        let known = self.next.get();
        if known >= from && known < next {
            self.apply(changes.to_vec(), next, as_of);
        } else if known == next {
            self.confirm(as_of);
        }
    }

    /// Those changes that differ from what is known: most writes of a target only show that it
    /// lives.
    pub fn news_among(&self, changes: &[TargetChange]) -> Vec<TargetChange> {
        let by_id = self.by_id.borrow();
        let is_news = |change: &&TargetChange| match change {
            TargetChange::Put(id, entry) => by_id
                .get(id)
                .is_none_or(|target| *target.entry.borrow() != *entry),
            TargetChange::Removed(id) | TargetChange::Unreadable(id, _) => by_id.contains_key(id),
        };
        changes.iter().filter(is_news).cloned().collect()
    }

    /// Notes that the list known was the newest at `as_of`.
    pub fn confirm(&self, as_of: BootTime) {
        self.current_as_of
            .set(self.current_as_of.get().max(Some(as_of)));
    }

    /// Offset of the store's list up to which changes are known; 0 before the first reading.
    pub fn next(&self) -> Offset {
        self.next.get()
    }

    /// Hashes of the targets that this host avoids for a cause.
    pub fn own_avoided(&self, cause: Cause, now: Instant) -> Vec<u32> {
        self.by_id
            .borrow()
            .values()
            .filter(|target| target.avoided_for.get() == cause && target.is_avoided(now))
            .map(|target| target.hash)
            .collect()
    }

    /// Targets that told this host that they are slow.
    pub fn own_slow(&self, now: Instant) -> Vec<SlowTarget> {
        self.by_id
            .borrow()
            .values()
            .filter_map(|target| {
                Some(SlowTarget {
                    target_hash: target.hash,
                    slowdown: target.stated_slowdown(now)?,
                })
            })
            .filter(|slow| slow.slowdown >= SLOW_MIN)
            .collect()
    }

    /// Requests of this host, by target.
    pub fn own_loads(&self) -> Vec<Load> {
        self.by_id
            .borrow()
            .values()
            .filter(|target| target.sequences.get() > 0.0)
            .map(|target| Load {
                target_hash: target.hash,
                sequences: target.sequences.get(),
                token_layers: target.token_layers.get(),
                sent_requests: target.sent_requests.get(),
            })
            .collect()
    }

    /// Takes over changes of the list up to the offset `next`.
    pub fn apply(&self, changes: Vec<TargetChange>, next: Offset, as_of: BootTime) {
        for change in changes {
            match change {
                TargetChange::Put(id, entry) => self.put(id, entry),
                TargetChange::Removed(id) => self.remove(&id, "removed"),
                TargetChange::Unreadable(id, error) => {
                    spdlog::warn!("target.unreadable", kv: {
                        target = id.as_str(),
                        error = error.as_str(),
                    });
                    self.remove(&id, "unreadable");
                }
            }
        }
        self.next.set(next);
        self.confirm(as_of);
    }

    fn put(&self, id: TargetId, entry: TargetEntry) {
        let mut by_id = self.by_id.borrow_mut();
        if let Some(known) = by_id.get(&id) {
            let same_run = {
                let old = known.entry.borrow();
                old.started_unix_ms == entry.started_unix_ms
                    && old.address == entry.address
                    && old.service == entry.service
            };
            if same_run {
                let changed = {
                    let old = known.entry.borrow();
                    old.state != entry.state || old.layers != entry.layers
                };
                if changed {
                    log_entry(&id, &entry);
                }
                known.heard.set(Instant::now());
                *known.entry.borrow_mut() = entry;
                return;
            }
            known.gone.set(true);
        }
        log_entry(&id, &entry);
        by_id.insert(id.clone(), Rc::new(Target::new(id, entry)));
    }

    fn remove(&self, id: &TargetId, reason: &'static str) {
        if let Some(target) = self.by_id.borrow_mut().remove(id) {
            target.gone.set(true);
            target.pool.clear();
            spdlog::info!("target.gone", kv: { target = id.as_str(), reason });
        }
    }

    /// A target by name.
    pub fn get(&self, id: &TargetId) -> Option<Rc<Target>> {
        self.by_id.borrow().get(id).cloned()
    }

    /// The target that listens at an address.
    pub fn at(&self, address: SocketAddr) -> Option<Rc<Target>> {
        self.by_id
            .borrow()
            .values()
            .find(|target| target.address() == address)
            .cloned()
    }

    /// The targets of a service, by name.
    pub fn of_service(&self, service: &ServiceId) -> Vec<Rc<Target>> {
        let mut found: Vec<_> = self
            .by_id
            .borrow()
            .values()
            .filter(|target| target.entry.borrow().service == *service)
            .cloned()
            .collect();
        found.sort_by(|left, right| left.id.cmp(&right.id));
        found
    }

    /// Every target.
    pub fn all(&self) -> Vec<Rc<Target>> {
        self.by_id.borrow().values().cloned().collect()
    }

    /// Age of the list; nothing where it was never read.
    pub fn age(&self) -> Option<Duration> {
        self.current_as_of.get().map(BootTime::elapsed)
    }
}

fn log_entry(id: &TargetId, entry: &TargetEntry) {
    let layers = entry
        .layers
        .map_or_else(String::new, |(range, _)| range.to_string());
    spdlog::info!("target.listed", kv: {
        target = id.as_str(),
        service = entry.service.as_str(),
        data_centre = entry.data_centre.as_str(),
        address: = entry.address,
        state:? = entry.state,
        layers = layers.as_str(),
    });
}
