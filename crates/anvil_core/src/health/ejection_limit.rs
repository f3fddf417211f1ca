//! Keeps ejections from closing most of the fleet.

use crate::route::Availability;

use super::{
    Permit,
    Settings, //
};

/// Turns the breakers' permits into availabilities.
///
/// Where more than the allowed share is to be avoided, the fault is likelier to lie with this
/// host, its switch or the platform, and the ejections are ignored. An ejected target remains a
/// last resort, so that no layer is left without a holder.
pub fn availabilities(permits: &[Permit], settings: &Settings) -> Vec<Availability> {
    let avoided = permits.iter().filter(|&&permit| permit == Permit::Avoid);
    let avoided_share = avoided.count() as f64 / permits.len().max(1) as f64;
    let suspect_observer = avoided_share > settings.ejected_share_max;
    permits
        .iter()
        .map(|permit| match permit {
            Permit::Use | Permit::Probe => Availability::Open,
            Permit::Avoid if suspect_observer => Availability::Open,
            Permit::Avoid => Availability::LastResort,
        })
        .collect()
}
