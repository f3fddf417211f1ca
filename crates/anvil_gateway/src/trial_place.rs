//! Keeps requests under suspicion to engines whose end costs little, and other requests away from these.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    engine_model::EngineProfile,
    quarantine::trial_place::{
        Holder,
        Place,
        places_of_others,
        places_of_suspect, //
    },
    route::engine_driven::Worker,
};

use crate::{
    exchange::RequestContext,
    gateway::Gateway,
    target::Target, //
};

/// Largest `Retry-After` of a refused suspect, relative to the time in which an engine loads its layers.
const RETRY_AFTER_FACTOR_MAX: f64 = 1.25;

/// How a request stands to engines with suspects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Any engine will do.
    Any,
    /// It is under suspicion.
    Suspect,
    /// It stays away from suspects where it can.
    Other {
        /// Whether it was sent before.
        is_resumed: bool,
    },
}

impl Standing {
    /// Returns what to go by where the request has no path.
    pub(crate) fn relaxed(self) -> Self {
        match self {
            Self::Suspect => Self::Suspect,
            Self::Any | Self::Other { .. } => Self::Any,
        }
    }
}

/// Number of suspects of this host on paths that begin with an engine, by the hash of its id.
#[derive(Debug, Default)]
pub struct SuspectCounts(Rc<RefCell<HashMap<u32, u32>>>);

impl SuspectCounts {
    fn begin(&self, first: &Target) -> SuspectGuard {
        *self.0.borrow_mut().entry(first.id_hash).or_default() += 1;
        SuspectGuard {
            counts: Rc::clone(&self.0),
            id_hash: first.id_hash,
        }
    }

    fn has_any(&self) -> bool {
        !self.0.borrow().is_empty()
    }

    fn has_suspect(&self, target: &Target) -> bool {
        self.0.borrow().contains_key(&target.id_hash)
    }
}

/// Counts a suspect at an engine until it is dropped.
#[derive(Debug)]
pub(crate) struct SuspectGuard {
    counts: Rc<RefCell<HashMap<u32, u32>>>,
    id_hash: u32,
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        let mut counts = self.counts.borrow_mut();
        if let Some(count) = counts.get_mut(&self.id_hash) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.id_hash);
            }
        }
    }
}

/// Returns whether an equal request, or several with a part of its prompt, ended engines.
pub(crate) fn is_under_suspicion(gateway: &Gateway, request: &RequestContext<'_>) -> bool {
    let quarantine = gateway.quarantine.borrow();
    !quarantine.is_empty() && quarantine.is_under_suspicion(request.suspects())
}

/// Counts a request at the first engine of its path until the guard is dropped, if it is under suspicion.
pub(crate) fn begin(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    first: &Target,
) -> Option<SuspectGuard> {
    is_under_suspicion(gateway, request).then(|| gateway.suspect_counts.begin(first))
}

/// Returns how a request stands to engines with suspects.
pub(crate) fn standing(
    gateway: &Gateway,
    request: &RequestContext<'_>,
    is_resumed: bool,
) -> Standing {
    match is_under_suspicion(gateway, request) {
        true => Standing::Suspect,
        false if is_resumed || gateway.suspect_counts.has_any() => Standing::Other { is_resumed },
        false => Standing::Any,
    }
}

/// Closes the engines of a model where a request must not go, and those where it must not begin.
pub(crate) fn restrict(
    gateway: &Gateway,
    engine: &EngineProfile,
    standing: Standing,
    targets: &[Rc<Target>],
    workers: &mut [Worker],
) {
    let holders = |workers: &[Worker]| -> Vec<Holder> {
        let quarantine = gateway.quarantine.borrow();
        let holder = |(target, worker): (&Rc<Target>, &Worker)| {
            let process_hash = target.process_hash();
            Holder {
                layers: worker.layers,
                data_centre: worker.data_centre,
                process_hash,
                is_available: worker.open && !quarantine.has_ended(process_hash),
                may_be_first: worker.may_be_first,
                has_suspect: gateway.suspect_counts.has_suspect(target),
            }
        };
        targets.iter().zip(workers).map(holder).collect()
    };
    let places = match standing {
        Standing::Any => return,
        Standing::Suspect => places_of_suspect(&holders(workers), engine.layer_count),
        Standing::Other { is_resumed } => {
            places_of_others(&holders(workers), engine.layer_count, is_resumed)
        }
    };
    for (worker, place) in workers.iter_mut().zip(places) {
        worker.open &= place != Place::Closed;
        worker.may_be_first &= place == Place::First;
    }
}

/// Returns a random `Retry-After` for suspects that no engine may take: engines that ended have loaded
/// their layers then.
pub(crate) fn retry_after(gateway: &Gateway, engine: &EngineProfile) -> Duration {
    let load_time = engine.load_time;
    gateway.random_duration(load_time, load_time.mul_f64(RETRY_AFTER_FACTOR_MAX))
}
