//! Caches the subset of the engines that this host uses until the targets or the other hosts
//! change.

use std::sync::{
    Arc,
    Mutex,
    PoisonError, //
};

use anvil_core::{
    document::{
        Document,
        Target,
        TargetKind, //
    },
    id::{
        DataCentreId,
        HostId,
        TargetId, //
    },
    subset::{
        self,
        Candidate,
        Member,
        Subset, //
    },
};
use imbl::OrdMap;

/// Identifiers of a host and of the data centre in which it runs.
pub type HostLocation = (HostId, DataCentreId);

/// Cache of the subset that was chosen last, with the inputs of the choice.
#[derive(Debug, Default)]
pub struct SubsetCache {
    cached: Mutex<Option<CachedSubset>>,
}

#[derive(Debug)]
struct CachedSubset {
    targets: OrdMap<TargetId, Arc<Target>>,
    other_hosts: Vec<HostLocation>,
    subset: Arc<Subset>,
}

impl SubsetCache {
    /// Returns the subset of the configured engines that the host at `own_location` uses. Chooses
    /// again only if the configured targets or `other_hosts` have changed.
    pub fn choose(
        &self,
        document: &Document,
        own_location: &HostLocation,
        other_hosts: Vec<HostLocation>,
        settings: &subset::Settings,
    ) -> Arc<Subset> {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = cached.as_ref()
            && cached.targets.ptr_eq(&document.targets)
            && cached.other_hosts == other_hosts
        {
            return Arc::clone(&cached.subset);
        }
        let subset = Arc::new(choose(document, own_location, &other_hosts, settings));
        *cached = Some(CachedSubset {
            targets: document.targets.clone(),
            other_hosts,
            subset: Arc::clone(&subset),
        });
        subset
    }
}

fn choose(
    document: &Document,
    own_location: &HostLocation,
    other_hosts: &[HostLocation],
    settings: &subset::Settings,
) -> Subset {
    let candidates: Vec<_> = document
        .targets
        .iter()
        .filter_map(|(id, target)| match &target.kind {
            TargetKind::Engine(engine) => Some(Candidate {
                id,
                data_centre: &target.data_centre,
                holds: &engine.holds,
            }),
            TargetKind::Service { .. } => None,
        })
        .collect();
    let members: Vec<_> = other_hosts.iter().map(as_member).collect();
    subset::choose(as_member(own_location), &members, &candidates, settings)
}

fn as_member((id, data_centre): &HostLocation) -> Member<'_> {
    Member { id, data_centre }
}
