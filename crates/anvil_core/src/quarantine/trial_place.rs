//! Where a request under suspicion may be sent, so that the end of an engine under it costs little.
//!
//! A request that was on an engine which ended may end the next one as well. It goes to an engine whose
//! end leaves enough others for each of its layers, begins at the same engine at all hosts that know the
//! same engines, and alone among the suspects of its host. Other requests stay away from that engine.

use crate::id::{
    Layer,
    LayerRange, //
};

#[cfg(test)]
mod tests;

/// Number of other available holders that each layer of an engine must have for a suspect to be sent
/// there.
const SPARE_HOLDERS_MIN: usize = 2;

/// An engine as a place for a request.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// Layers that the engine holds.
    pub layers: LayerRange,
    /// Index of its data centre.
    pub data_centre: usize,
    /// Hash of its process, the same at all hosts.
    pub process_hash: u32,
    /// Whether it takes requests.
    pub is_available: bool,
    /// Whether a path may begin with it.
    pub may_be_first: bool,
    /// Whether a suspect of this host runs on a path that begins with it.
    pub has_suspect: bool,
}

/// What a request may do at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Neither begin there nor pass it.
    Closed,
    /// Pass it on a path that begins elsewhere.
    Later,
    /// Also begin there.
    First,
}

/// Returns what a request under suspicion may do at each of the engines of a model.
pub fn places_of_suspect(holders: &[Holder], layer_count: Layer) -> Vec<Place> {
    let scope = |index: usize| scope_of(holders, index, layer_count);
    let is_dispensable: Vec<bool> = (0..holders.len())
        .map(|index| holders[index].is_available && is_dispensable(&scope(index), &holders[index]))
        .collect();
    let is_candidate = |holder: &Holder, is_dispensable: bool| {
        is_dispensable && holder.may_be_first && holder.layers.first == 0
    };
    let canary = |index: usize| {
        holders
            .iter()
            .zip(&is_dispensable)
            .filter(|(holder, is_dispensable)| is_candidate(holder, **is_dispensable))
            .filter(|(holder, _)| holder.data_centre == holders[index].data_centre)
            .map(|(holder, _)| holder.process_hash)
            .max()
    };
    (0..holders.len())
        .map(|index| {
            let holder = &holders[index];
            if !is_dispensable[index] {
                return Place::Closed;
            }
            let is_canary = is_candidate(holder, true)
                && canary(index) == Some(holder.process_hash)
                && !is_group_in_use(&scope(index), holder);
            match is_canary {
                true => Place::First,
                false => Place::Later,
            }
        })
        .collect()
}

/// Returns what a request that is not under suspicion may do at each engine: it stays away from those with
/// suspects of this host and, if it is resumed, from those where the suspects of the same end go.
pub fn places_of_others(holders: &[Holder], layer_count: Layer, is_resumed: bool) -> Vec<Place> {
    let places_of_suspect = match is_resumed {
        true => places_of_suspect(holders, layer_count),
        false => vec![Place::Closed; holders.len()],
    };
    holders
        .iter()
        .zip(places_of_suspect)
        .map(
            |(holder, place)| match holder.has_suspect || place == Place::First {
                true => Place::Closed,
                false => Place::First,
            },
        )
        .collect()
}

/// Returns the engines that stand in for one another with the engine at `index`: those of its data
/// centre, or all if those don't hold each layer.
fn scope_of(holders: &[Holder], index: usize, layer_count: Layer) -> Vec<Holder> {
    let of_data_centre: Vec<Holder> = holders
        .iter()
        .filter(|holder| holder.data_centre == holders[index].data_centre)
        .copied()
        .collect();
    let holds_all = (0..layer_count).all(|layer| {
        of_data_centre
            .iter()
            .any(|holder| holds(holder.layers, layer))
    });
    match holds_all {
        true => of_data_centre,
        false => holders.to_vec(),
    }
}

/// Returns whether each layer of an engine in `scope` has enough other holders.
fn is_dispensable(scope: &[Holder], holder: &Holder) -> bool {
    (holder.layers.first..holder.layers.end).all(|layer| {
        let available = scope
            .iter()
            .filter(|other| other.is_available && !other.has_suspect && holds(other.layers, layer));
        let others = available.filter(|other| other.process_hash != holder.process_hash);
        others.count() >= SPARE_HOLDERS_MIN
    })
}

/// Returns whether a suspect runs at one of the engines that hold layers of `holder`.
fn is_group_in_use(scope: &[Holder], holder: &Holder) -> bool {
    let overlaps = |other: &Holder| {
        other.layers.first < holder.layers.end && holder.layers.first < other.layers.end
    };
    scope
        .iter()
        .any(|other| other.has_suspect && overlaps(other))
}

fn holds(layers: LayerRange, layer: Layer) -> bool {
    layers.first <= layer && layer < layers.end
}
