//! Table of the targets, as a snapshot that requests read without waiting.

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
    /// How they are watched, judged and routed to.
    pub settings: Settings,
    /// Memory for boundary activations.
    pub activation_budget: Arc<recovery::Budget>,
    /// What became of requests.
    pub counters: Counters,
    /// Number of the next route, for the policy that takes nodes in turn.
    turn: AtomicU64,
    chosen: SubsetCache,
    view: ArcSwap<TargetView>,
    /// Held while a view is built, so that two builders don't undo each other. Requests never
    /// take it.
    rebuilding: Mutex<()>,
}

impl Table {
    /// Makes an empty table.
    pub fn new(settings: Settings) -> Self {
        Self {
            activation_budget: Arc::new(recovery::Budget::new(settings.recovery.kept_limit_bytes)),
            settings,
            counters: Counters::default(),
            turn: AtomicU64::new(0),
            chosen: SubsetCache::default(),
            view: ArcSwap::default(),
            rebuilding: Mutex::new(()),
        }
    }

    /// The present view.
    pub fn view(&self) -> Guard<Arc<TargetView>> {
        self.view.load()
    }

    /// Chooses a route by the policy of the settings.
    pub fn choose(&self, graph: &Graph, loads: &[Load], demand: &Demand) -> Option<Choice> {
        let settings = &self.settings.route;
        let rng = &mut rand::rng();
        match settings.policy {
            Policy::Predicted => choose(graph, loads, demand, settings, rng),
            Policy::RoundRobin => {
                let turn = self.turn.fetch_add(1, Ordering::Relaxed);
                round_robin(graph, loads, demand, turn)
            }
            Policy::RandomOfTwo => random_of_two(graph, loads, demand, rng),
        }
    }

    /// Builds the view of a configuration over the engines of the subset that this host shares
    /// with `others`. Targets that keep their address keep their state.
    pub fn rebuild(
        &self,
        document: &Document,
        own: &HostLocation,
        others: Vec<HostLocation>,
        now: Instant,
    ) {
        let subset = self
            .chosen
            .choose(document, own, others, &self.settings.subset);
        let _guard = self
            .rebuilding
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let present = self.view.load();
        let engines = document.targets.iter().filter(|(id, target)| {
            matches!(target.kind, TargetKind::Engine(_)) && subset.contains(*id)
        });
        let targets: HashMap<TargetId, Arc<Target>> = engines
            .map(|(id, stated)| {
                let known = present
                    .targets
                    .get(id)
                    .filter(|known| known.address.address == stated.address);
                let target = known.cloned().unwrap_or_else(|| {
                    let address = TargetAddress {
                        id: id.clone(),
                        address: stated.address,
                    };
                    let data_centre = stated.data_centre.clone();
                    Arc::new(Target::new(address, data_centre, &self.settings, now))
                });
                (id.clone(), target)
            })
            .collect();
        self.view
            .store(Arc::new(TargetView::new(document, targets)));
    }
}
