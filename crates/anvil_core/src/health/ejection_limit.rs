//! Prevents ejections from excluding most of the fleet.

use crate::route::Availability;

use super::{
    Permit,
    Settings, //
};

/// Converts the breakers' permits into availabilities.
///
/// If more than `ejected_share_max` of the targets are to be avoided, the fault is more likely to
/// lie with this host, its switch or the platform, and the ejections are ignored. An ejected target
/// remains available as a last resort, so that no layer is left without a target that holds it.
pub fn availabilities(permits: &[Permit], settings: &Settings) -> Vec<Availability> {
    let avoided = permits.iter().filter(|&&permit| permit == Permit::Avoid);
    let avoided_share = avoided.count() as f64 / permits.len().max(1) as f64;
    let is_local_fault_likely = avoided_share > settings.ejected_share_max;
    permits
        .iter()
        .map(|permit| match permit {
            Permit::Use | Permit::Probe => Availability::Open,
            Permit::Avoid if is_local_fault_likely => Availability::Open,
            Permit::Avoid => Availability::LastResort,
        })
        .collect()
}
