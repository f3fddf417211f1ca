//! The target list as this host knows it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap,
        HashSet,
        VecDeque, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    exchange::TargetLoad,
    id::{
        Offset,
        ServiceId,
        TargetId, //
    },
    target_limit::Statement,
};
use tokio::time::Instant;

use crate::{
    clock::BootTime,
    limits,
    port::{
        Position,
        ResponseMetadata,
        TargetChange,
        TargetEntry, //
    }, //
    target::{
        AvoidReason,
        Target, //
    },
};

use relisting::Relisting;

mod relisting;

#[cfg(test)]
mod tests;

/// Slowdown from which on a target's report is passed on to peers.
const RELAYED_SLOWDOWN_MIN: f64 = 1.5;

/// Largest number of runs of targets that are remembered as shutting down before those that are no
/// longer listed are forgotten.
const LEAVING_RUNS_MAX: usize = 1024;
/// Longest time for which a target may ask for no requests.
const CLOSED_TIME_MAX: Duration = Duration::from_secs(60);
/// Share of the time that a target states by which hosts come back later, at random, so that they
/// don't come back together.
const CLOSED_SPREAD: f64 = 0.25;

/// Most reads of changes that are kept for peers.
const KEPT_READS_MAX: usize = 8;

/// A read of changes, without those that changed nothing.
#[derive(Debug)]
struct KeptRead {
    from: Position,
    next: Position,
    changes: Vec<TargetChange>,
}

/// All listed targets.
#[derive(Debug)]
pub struct Targets {
    by_id: RefCell<HashMap<TargetId, Rc<Target>>>,
    /// Latest time at which the list is known to have been current.
    current_as_of: Cell<Option<BootTime>>,
    /// Position of the next change of the store's list; the default before the first read.
    next: Cell<Position>,
    /// Last reads of changes by this host or its peers. Invariant: each begins where the one before ends.
    kept_changes: RefCell<VecDeque<KeptRead>>,
    /// Targets whose entries may only have lapsed. Invariant: all are in `by_id`.
    relisting: Relisting,
    /// Runs of targets that stated that they are shutting down, by the start of the run. They are
    /// kept while the target is not listed, because the store may list it again.
    leaving_runs: RefCell<HashMap<TargetId, u64>>,
}

impl Targets {
    /// Creates an empty list of targets that renew their entries every `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            by_id: RefCell::new(HashMap::new()),
            current_as_of: Cell::new(None),
            next: Cell::new(Position::default()),
            kept_changes: RefCell::new(VecDeque::new()),
            relisting: Relisting::new(heartbeat),
            leaving_runs: RefCell::new(HashMap::new()),
        }
    }

    /// Applies what a target states about itself in an answer. `random_unit` is a random number in
    /// `0.0..1.0`.
    pub fn apply_answer(
        &self,
        target: &Target,
        metadata: &ResponseMetadata,
        now: Instant,
        random_unit: f64,
    ) {
        if metadata.is_leaving && target.record_leaving() {
            spdlog::info!("target.says_leaving", kv: { target = target.id.as_str() });
            let mut leaving_runs = self.leaving_runs.borrow_mut();
            if leaving_runs.len() >= LEAVING_RUNS_MAX {
                let by_id = self.by_id.borrow();
                leaving_runs.retain(|id, _| by_id.contains_key(id));
            }
            leaving_runs.insert(target.id.clone(), target.entry.borrow().started_unix_ms);
        }
        let statement = Statement {
            limit_per_s: metadata.limit_per_s,
            stated_at: now.into_std(),
        };
        if target.record_limit(statement) {
            limits::log_limit(target, statement, "own");
        }
        if let Some(retry_after) = metadata.retry_after {
            let bounded = retry_after.min(CLOSED_TIME_MAX);
            let time = bounded.mul_f64(1.0 + CLOSED_SPREAD * random_unit);
            target.record_closed(now + time);
            spdlog::info!("target.closed", kv: {
                target = target.id.as_str(),
                stated_ms = retry_after.as_millis() as u64,
                time_ms = time.as_millis() as u64,
            });
        }
    }

    /// Returns the hashes of the targets that stated to this host that they are shutting down.
    pub fn own_leaving(&self) -> Vec<u32> {
        self.by_id
            .borrow()
            .values()
            .filter(|target| target.says_leaving())
            .map(|target| target.id_hash)
            .collect()
    }

    /// Records that this host hears from none of its peers.
    pub fn record_isolation(&self) {
        self.relisting.record_isolation();
    }

    /// Records that the store answered a question that this host or a peer sent at `as_of`.
    pub fn record_store_answer(&self, as_of: BootTime) {
        self.relisting.record_answer(as_of);
    }

    /// Records a read of the list at `as_of` up to `next`.
    fn record_read(&self, next: Position, as_of: BootTime) {
        self.relisting.record_answer(as_of);
        let is_restored = next.era() != self.next.get().era();
        if self.current_as_of.get().is_some() && is_restored {
            self.relisting.record_restore();
        }
    }

    /// Removes a target, or keeps it for a while if its entry may only have lapsed.
    fn remove_unless_lapsed(&self, id: &TargetId, reason: &'static str) {
        if !self.relisting.is_active() {
            self.remove(id, reason);
        } else if self.by_id.borrow().contains_key(id) && self.relisting.insert(id) {
            spdlog::info!("target.lapsed", kv: { target = id.as_str(), reason });
        }
    }

    /// Replaces the whole list. Targets that are not in it are removed.
    pub fn replace(&self, changes: Vec<TargetChange>, next: Position, as_of: BootTime) {
        self.record_read(next, as_of);
        let listed: HashSet<_> = changes
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
            self.remove_unless_lapsed(&id, "not listed");
        }
        self.apply(changes, next, as_of);
    }

    /// Applies changes that a peer read, if they continue what is known here.
    pub fn apply_peer_changes(
        &self,
        from: Offset,
        changes: &[TargetChange],
        next: Position,
        as_of: BootTime,
    ) {
        let era = next.era();
        let offsets = (self.next.get().offset_in(era), next.offset_in(era));
        let (Some(known_offset), Some(next_offset)) = offsets else {
            return;
        };
        if known_offset >= from && known_offset < next_offset {
            self.keep_changes(self.next.get(), next, changes);
            self.apply(changes.to_vec(), next, as_of);
        } else if known_offset == next_offset {
            self.confirm_current(as_of);
        }
    }

    /// Keeps changes that this host or a peer read, from `from` up to `next`, for peers that miss
    /// them.
    pub fn keep_changes(&self, from: Position, next: Position, changes: &[TargetChange]) {
        let mut kept = self.kept_changes.borrow_mut();
        let is_continued = kept.back().is_some_and(|last| last.next == from);
        if !is_continued {
            kept.clear();
        }
        if kept.len() >= KEPT_READS_MAX {
            kept.pop_front();
        }
        kept.push_back(KeptRead {
            from,
            next,
            changes: changes.to_vec(),
        });
    }

    /// Returns the kept changes that a peer lacks that has read up to `position`, oldest first. Returns
    /// `None` if it lacks none, or older ones than are kept.
    pub fn changes_since(&self, position: Position) -> Option<Vec<TargetChange>> {
        let kept = self.kept_changes.borrow();
        let oldest = kept.front()?.from;
        let newest = kept.back()?.next;
        let era = newest.era();
        let offset = position.offset_in(era)?;
        let is_current = newest == self.next.get();
        if !is_current || offset < oldest.offset_in(era)? || offset >= newest.offset_in(era)? {
            return None;
        }
        let missed = kept
            .iter()
            .filter(|read| read.next.offset_in(era).is_some_and(|next| next > offset));
        Some(missed.flat_map(|read| read.changes.clone()).collect())
    }

    /// Returns the changes that differ from what is known. Most writes of a target's entry are only
    /// heartbeats.
    pub fn effective_changes(&self, changes: &[TargetChange]) -> Vec<TargetChange> {
        let by_id = self.by_id.borrow();
        let is_effective = |change: &&TargetChange| match change {
            // Peers may not keep lapsed targets, or not for as long.
            TargetChange::Put(id, _) if self.relisting.contains(id) => true,
            TargetChange::Put(id, entry) => by_id
                .get(id)
                .is_none_or(|target| *target.entry.borrow() != *entry),
            TargetChange::Removed(id) | TargetChange::Unreadable(id, _) => by_id.contains_key(id),
        };
        changes.iter().filter(is_effective).cloned().collect()
    }

    /// Records that the known list was current at `as_of`.
    pub fn confirm_current(&self, as_of: BootTime) {
        self.current_as_of
            .set(self.current_as_of.get().max(Some(as_of)));
        for id in self.relisting.take_expired() {
            self.remove(&id, "not listed again");
        }
    }

    /// Returns the position of the next change of the store's list; the default before the first
    /// read.
    pub fn next(&self) -> Position {
        self.next.get()
    }

    /// Returns the hashes of the targets of some services that this host avoids for `reason`.
    pub fn own_avoided(
        &self,
        reason: AvoidReason,
        now: Instant,
        is_included: impl Fn(&ServiceId) -> bool,
    ) -> Vec<u32> {
        self.by_id
            .borrow()
            .values()
            .filter(|target| target.avoid_reason.get() == reason && target.is_avoided(now))
            .filter(|target| is_included(&target.entry.borrow().service))
            .map(|target| target.id_hash)
            .collect()
    }

    /// Returns the targets that reported to this host a slowdown worth passing on to peers, with the
    /// slowdown, by the hash of their names.
    pub fn own_slow(&self, now: Instant) -> BTreeMap<u32, f64> {
        self.by_id
            .borrow()
            .values()
            .filter_map(|target| Some((target.id_hash, target.reported_slowdown(now)?)))
            .filter(|(_, slowdown)| *slowdown >= RELAYED_SLOWDOWN_MIN)
            .collect()
    }

    /// Returns the load of this host's own requests, by the hash of the target's name.
    pub fn own_loads(&self) -> BTreeMap<u32, TargetLoad> {
        self.by_id
            .borrow()
            .values()
            .filter(|target| target.sequences.get() > 0.0)
            .map(|target| {
                let load = TargetLoad {
                    sequences: target.sequences.get(),
                    token_layers: target.token_layers.get(),
                    sent_requests: target.sent_requests.get(),
                };
                (target.id_hash, load)
            })
            .collect()
    }

    /// Applies all changes of the list before `next`.
    pub fn apply(&self, changes: Vec<TargetChange>, next: Position, as_of: BootTime) {
        self.record_read(next, as_of);
        for change in changes {
            match change {
                TargetChange::Put(id, entry) => self.put(id, entry),
                TargetChange::Removed(id) => self.remove_unless_lapsed(&id, "removed"),
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
        self.confirm_current(as_of);
    }

    fn put(&self, id: TargetId, entry: TargetEntry) {
        self.relisting.remove(&id);
        let mut by_id = self.by_id.borrow_mut();
        if let Some(existing) = by_id.get(&id) {
            let same_run = {
                let old = existing.entry.borrow();
                old.started_unix_ms == entry.started_unix_ms
                    && old.address == entry.address
                    && old.service == entry.service
            };
            if same_run {
                let changed = {
                    let old = existing.entry.borrow();
                    old.state != entry.state || old.layers != entry.layers
                };
                if changed {
                    log_entry(&id, &entry);
                }
                existing.last_heartbeat.set(Instant::now());
                *existing.entry.borrow_mut() = entry;
                return;
            }
            existing.is_removed.set(true);
        }
        log_entry(&id, &entry);
        let started_unix_ms = entry.started_unix_ms;
        let target = Target::new(id.clone(), entry);
        let mut leaving_runs = self.leaving_runs.borrow_mut();
        match leaving_runs.get(&id) {
            Some(leaving_run) if *leaving_run == started_unix_ms => {
                target.record_leaving();
            }
            Some(_) => {
                leaving_runs.remove(&id);
            }
            None => {}
        }
        by_id.insert(id, Rc::new(target));
    }

    fn remove(&self, id: &TargetId, reason: &'static str) {
        self.relisting.remove(id);
        if let Some(target) = self.by_id.borrow_mut().remove(id) {
            target.is_removed.set(true);
            target.pool.clear();
            spdlog::info!("target.gone", kv: { target = id.as_str(), reason });
        }
    }

    /// Returns a target by name. Returns `None` if it is not listed.
    pub fn get(&self, id: &TargetId) -> Option<Rc<Target>> {
        self.by_id.borrow().get(id).cloned()
    }

    /// Returns the target that listens at an address. Returns `None` if no listed target does.
    pub fn by_address(&self, address: SocketAddr) -> Option<Rc<Target>> {
        self.by_id
            .borrow()
            .values()
            .find(|target| target.address() == address)
            .cloned()
    }

    /// Returns the target of a name, if it is listed.
    pub fn by_id(&self, id: &TargetId) -> Option<Rc<Target>> {
        self.by_id.borrow().get(id).cloned()
    }

    /// Returns the services with targets.
    pub fn services(&self) -> BTreeSet<ServiceId> {
        let targets = self.by_id.borrow();
        let services = targets
            .values()
            .map(|target| target.entry.borrow().service.clone());
        services.collect()
    }

    /// Returns the targets of a service, sorted by name.
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

    /// Returns every listed target, in no particular order.
    pub fn all(&self) -> Vec<Rc<Target>> {
        self.by_id.borrow().values().cloned().collect()
    }

    /// Returns the latest time at which the list is known to have been current. Returns `None` before
    /// the first read.
    pub fn current_as_of(&self) -> Option<BootTime> {
        self.current_as_of.get()
    }

    /// Returns the time since the list was last known to be current. Returns `None` before the
    /// first read.
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
