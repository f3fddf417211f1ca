//! Chooses the subset of targets that a host uses if there are too many for every host to use all.
//!
//! Each target is assigned to the same number of hosts by weighted rendezvous hashing. This bounds
//! the connections of a target and spreads the targets evenly over the hosts, and a host that joins
//! or leaves moves only its own targets. Each host then adds the targets that it lacks to cover
//! every layer of every model. See `docs/design/subsets.md`.

use std::collections::{
    BTreeMap,
    HashSet, //
};

use foldhash::fast::FixedState;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    document::Holding,
    id::{
        DataCentreId,
        HostId,
        Layer,
        ModelId,
        ModelVersion,
        TargetId, //
    },
};

#[cfg(test)]
mod tests;

/// Settings for the choice of a subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Mean number of targets that a host uses. If there are at most this many targets, every host
    /// uses all of them. Invariant: above 0.
    pub targets_per_host: usize,
    /// Smallest number of targets in a host's subset that hold each layer, if that many exist.
    /// Invariant: above 0.
    pub replicas_min: usize,
    /// Weight of a host in the target's data centre relative to a host elsewhere. Invariant: at
    /// least 1.
    pub near_weight: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            targets_per_host: 200,
            replicas_min: 3,
            near_weight: 4.0,
        }
    }
}

/// A host among which the targets are divided.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// Name of the host, which is hashed for the assignment.
    pub id: &'a HostId,
    /// Data centre in which the host runs.
    pub data_centre: &'a DataCentreId,
}

/// A target that can be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Name of the target, which is hashed for the assignment.
    pub id: &'a TargetId,
    /// Data centre in which the target runs.
    pub data_centre: &'a DataCentreId,
    /// Layer ranges that the target holds, by model and version.
    pub holds: &'a [Holding],
}

/// Names of the chosen targets.
pub type Subset = HashSet<TargetId, FixedState>;

/// Chooses the targets that the host `own` uses. `members` are the live hosts, with or without
/// `own`.
///
/// # Panics
///
/// Panics if `targets_per_host` is 0.
pub fn choose(
    own: Member<'_>,
    members: &[Member<'_>],
    candidates: &[Candidate<'_>],
    settings: &Settings,
) -> Subset {
    assert!(settings.targets_per_host > 0, "targets_per_host is 0");
    if candidates.len() <= settings.targets_per_host {
        return candidates
            .iter()
            .map(|candidate| candidate.id.clone())
            .collect();
    }
    let others: Vec<_> = members
        .iter()
        .filter(|member| member.id != own.id)
        .map(|member| HashedHost::new(*member))
        .collect();
    let own = HashedHost::new(own);
    let hosts_per_target =
        (settings.targets_per_host * (others.len() + 1)).div_ceil(candidates.len());
    let mut subset: Subset = candidates
        .iter()
        .filter(|candidate| is_assigned(&own, &others, candidate, hosts_per_target, settings))
        .map(|candidate| candidate.id.clone())
        .collect();
    add_missing_replicas(&own, candidates, settings, &mut subset);
    subset
}

struct HashedHost<'a> {
    hash: u64,
    data_centre: &'a DataCentreId,
}

impl<'a> HashedHost<'a> {
    fn new(member: Member<'a>) -> Self {
        Self {
            hash: xxh3_64(member.id.as_bytes()),
            data_centre: member.data_centre,
        }
    }

    fn is_near(&self, candidate: &Candidate<'_>) -> bool {
        self.data_centre == candidate.data_centre
    }
}

/// Returns whether `own` is among the `hosts_per_target` hosts with the largest scores for the
/// target.
///
/// A host's score is `-weight / ln(draw)` with a uniform draw, so that its probability of being
/// chosen is proportional to its weight. Another host has a larger score than `own` exactly if its
/// draw exceeds a bound that is the same for all hosts of one weight. No logarithm per host is
/// therefore needed.
fn is_assigned(
    own: &HashedHost<'_>,
    others: &[HashedHost<'_>],
    candidate: &Candidate<'_>,
    hosts_per_target: usize,
    settings: &Settings,
) -> bool {
    let target_hash = xxh3_64(candidate.id.as_bytes());
    let weight = |is_near: bool| if is_near { settings.near_weight } else { 1.0 };
    let own_draw = to_unit_interval(draw(target_hash, own.hash));
    let own_score = -weight(own.is_near(candidate)) / own_draw.ln();
    let bound = |is_near: bool| (-weight(is_near) / own_score).exp();
    let (bound_near, bound_far) = (bound(true), bound(false));
    let mut better_count = 0;
    for other in others {
        let bound = if other.is_near(candidate) {
            bound_near
        } else {
            bound_far
        };
        if to_unit_interval(draw(target_hash, other.hash)) > bound {
            better_count += 1;
            if better_count >= hosts_per_target {
                return false;
            }
        }
    }
    true
}

/// Mixes the hashes of a target and a host into a pseudorandom draw.
fn draw(target_hash: u64, host_hash: u64) -> u64 {
    // The finaliser of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number
    // generators", 2014).
    let mut mixed = target_hash ^ host_hash.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Converts a draw to a number strictly between 0 and 1.
fn to_unit_interval(draw: u64) -> f64 {
    ((draw >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}

/// Adds targets until `replicas_min` targets in the subset hold each layer, or all that hold it are
/// included. Targets in the host's data centre come first, then those with larger draws.
fn add_missing_replicas(
    own: &HashedHost<'_>,
    candidates: &[Candidate<'_>],
    settings: &Settings,
    subset: &mut Subset,
) {
    let mut holders: BTreeMap<(&ModelId, &ModelVersion), Vec<LayerHolder<'_>>> = BTreeMap::new();
    for candidate in candidates {
        let score = draw(xxh3_64(candidate.id.as_bytes()), own.hash);
        for holding in candidate.holds {
            let model = (&holding.model, &holding.version);
            holders.entry(model).or_default().push(LayerHolder {
                target: candidate.id,
                holding,
                rank: (!own.is_near(candidate), !score),
            });
        }
    }
    for model_holders in holders.values_mut() {
        model_holders.sort_unstable_by_key(|holder| (holder.rank, holder.target));
        for boundary in boundaries(model_holders) {
            let holds_layer = |holder: &&LayerHolder<'_>| {
                holder.holding.layers.first <= boundary && boundary < holder.holding.layers.end
            };
            let chosen_count = model_holders
                .iter()
                .filter(holds_layer)
                .filter(|holder| subset.contains(holder.target))
                .count();
            let missing: Vec<_> = model_holders
                .iter()
                .filter(holds_layer)
                .filter(|holder| !subset.contains(holder.target))
                .take(settings.replicas_min.saturating_sub(chosen_count))
                .map(|holder| holder.target.clone())
                .collect();
            subset.extend(missing);
        }
    }
}

struct LayerHolder<'a> {
    target: &'a TargetId,
    holding: &'a Holding,
    /// Sort key: targets in the host's data centre first, then larger draws first.
    rank: (bool, u64),
}

/// Returns the layers at which the set of holders changes.
fn boundaries(holders: &[LayerHolder<'_>]) -> Vec<Layer> {
    let mut boundaries: Vec<_> = holders
        .iter()
        .flat_map(|holder| [holder.holding.layers.first, holder.holding.layers.end])
        .collect();
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
}
