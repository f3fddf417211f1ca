//! Table of the targets, as a snapshot that requests read without waiting for a lock.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Instant, //
};

use anvil_core::{
    document::{
        Document,
        TargetKind, //
    },
    id::TargetId,
    recovery,
    route::{
        Choice,
        Demand,
        Graph,
        Load,
        Policy,
        choose,
        random_of_two,
        round_robin, //
    },
};
use anvil_settings::targets::Targets as Settings;
use arc_swap::{
    ArcSwap,
    Guard, //
};

use super::{
    Counters,
    HostLocation,
    SubsetCache,
    Target,
    TargetView, //
};
use crate::port::TargetAddress;

/// The targets that this host routes to.
#[derive(Debug)]
pub struct Table {
    /// Settings by which the targets are polled, ejected and routed to.
    pub settings: Settings,
    /// Memory budget for the activations that requests keep at layer boundaries.
    pub activation_budget: Arc<recovery::Budget>,
    /// Counters of recoveries and of dropped answers.
    pub counters: Counters,
    /// Number of the next route, for the round-robin policy.
    next_turn: AtomicU64,
    subset_cache: SubsetCache,
    view: ArcSwap<TargetView>,
    /// Held while a view is built, so that concurrent rebuilds don't overwrite each other's views.
    /// Requests never take it.
    rebuild_lock: Mutex<()>,
}

impl Table {
    /// Creates a table without targets.
    pub fn new(settings: Settings) -> Self {
        Self {
            activation_budget: Arc::new(recovery::Budget::new(settings.recovery.kept_limit_bytes)),
            settings,
            counters: Counters::default(),
            next_turn: AtomicU64::new(0),
            subset_cache: SubsetCache::default(),
            view: ArcSwap::default(),
            rebuild_lock: Mutex::new(()),
        }
    }

    /// Returns the current view.
    pub fn view(&self) -> Guard<Arc<TargetView>> {
        self.view.load()
    }

    /// Chooses a route by the policy of the settings. Returns `None` if there is no route.
    pub fn choose(&self, graph: &Graph, loads: &[Load], demand: &Demand) -> Option<Choice> {
        let settings = &self.settings.route;
        let rng = &mut rand::rng();
        match settings.policy {
            Policy::Predicted => choose(graph, loads, demand, settings, rng),
            Policy::RoundRobin => {
                let turn = self.next_turn.fetch_add(1, Ordering::Relaxed);
                round_robin(graph, loads, demand, turn)
            }
            Policy::RandomOfTwo => random_of_two(graph, loads, demand, rng),
        }
    }

    /// Rebuilds the view from a configuration and the subset of its engines that this host uses
    /// beside `other_hosts`. Targets that keep their address keep their state.
    pub fn rebuild(
        &self,
        document: &Document,
        own_location: &HostLocation,
        other_hosts: Vec<HostLocation>,
        now: Instant,
    ) {
        let subset =
            self.subset_cache
                .choose(document, own_location, other_hosts, &self.settings.subset);
        let _guard = self
            .rebuild_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let current = self.view.load();
        let engines = document.targets.iter().filter(|(id, target)| {
            matches!(target.kind, TargetKind::Engine(_)) && subset.contains(*id)
        });
        let targets: HashMap<TargetId, Arc<Target>> = engines
            .map(|(id, configured)| {
                let existing = current
                    .targets
                    .get(id)
                    .filter(|existing| existing.address.address == configured.address);
                let target = existing.cloned().unwrap_or_else(|| {
                    let address = TargetAddress {
                        id: id.clone(),
                        address: configured.address,
                    };
                    let data_centre = configured.data_centre.clone();
                    Arc::new(Target::new(address, data_centre, &self.settings, now))
                });
                (id.clone(), target)
            })
            .collect();
        self.view
            .store(Arc::new(TargetView::new(document, targets)));
    }
}
