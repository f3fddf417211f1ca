//! Chooses the instances of plain services that may get new calls.

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

/// Instances that the configuration names and that the platform's list does not show as leaving.
pub struct ConfiguredInstances {
    /// The configuration in force, which names the trusted instances.
    pub config: Arc<ArcSwap<ConfigView>>,
    /// The platform's list, which shows the instances that are leaving.
    pub listing: Arc<listing::Store>,
}

impl Instances for ConfiguredInstances {
    fn instances(&self, service: &ServiceId) -> Vec<TargetAddress> {
        let config = self.config.load();
        let latest = self.listing.latest();
        let mut instances: Vec<_> = config
            .instances(service)
            .iter()
            .filter(|instance| {
                latest.snapshot.state_of(ListRole::Target, &instance.id) != Some(ListState::Leaving)
            })
            .cloned()
            .collect();
        instances.shuffle(&mut rand::rng());
        instances
    }
}
