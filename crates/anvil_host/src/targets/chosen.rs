//! The subset of the engines that this host uses, kept until what it follows from changes.

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

/// A host with its data centre.
pub type HostLocation = (HostId, DataCentreId);

/// The subset of the engines that this host uses.
#[derive(Debug, Default)]
pub struct SubsetCache {
    last: Mutex<Option<Last>>,
}

#[derive(Debug)]
struct Last {
    targets: OrdMap<TargetId, Arc<Target>>,
    others: Vec<HostLocation>,
    subset: Arc<Subset>,
}

impl SubsetCache {
    /// Chooses among the engines of a configuration.
    pub fn choose(
        &self,
        document: &Document,
        own: &HostLocation,
        others: Vec<HostLocation>,
        settings: &subset::Settings,
    ) -> Arc<Subset> {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(last) = last.as_ref()
            && last.targets.ptr_eq(&document.targets)
            && last.others == others
        {
            return Arc::clone(&last.subset);
        }
        let subset = Arc::new(choose(document, own, &others, settings));
        *last = Some(Last {
            targets: document.targets.clone(),
            others,
            subset: Arc::clone(&subset),
        });
        subset
    }
}

fn choose(
    document: &Document,
    own: &HostLocation,
    others: &[HostLocation],
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
    let members: Vec<_> = others.iter().map(as_member).collect();
    subset::choose(as_member(own), &members, &candidates, settings)
}

fn as_member((id, data_centre): &HostLocation) -> Member<'_> {
    Member { id, data_centre }
}
