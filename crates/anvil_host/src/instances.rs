//! Instances of plain services that take new calls.

use std::sync::Arc;

use anvil_core::id::ServiceId;
use arc_swap::ArcSwap;
use rand::seq::SliceRandom;

use crate::{
    claims::Instances,
    listing,
    port::{
        ListRole,
        ListState,
        TargetAddress, //
    },
    shared::ConfigView, //
};

/// Instances that the configuration trusts and the platform's list doesn't call leaving.
pub struct ConfiguredInstances {
    /// The configuration in force.
    pub config: Arc<ArcSwap<ConfigView>>,
    /// The platform's list.
    pub listing: Arc<listing::Store>,
}

impl Instances for ConfiguredInstances {
    fn instances(&self, service: &ServiceId) -> Vec<TargetAddress> {
        let config = self.config.load();
        let known = self.listing.latest();
        let mut instances: Vec<_> = config
            .instances(service)
            .iter()
            .filter(|instance| {
                known.snapshot.state_of(ListRole::Target, &instance.id) != Some(ListState::Leaving)
            })
            .cloned()
            .collect();
        instances.shuffle(&mut rand::rng());
        instances
    }
}
