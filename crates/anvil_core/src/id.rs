//! Aliases for identifiers and small value types that all modules share.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

/// Name of an entry host, unique in the fleet.
pub type HostId = SmolStr;
/// Name of a data centre.
pub type DataCentreId = SmolStr;
/// Name of a team, whose requests share limits.
pub type TeamId = SmolStr;
/// Name of a target: an engine worker or a plain service instance.
pub type TargetId = SmolStr;
/// Name of a model.
pub type ModelId = SmolStr;
/// Name of one version of a model.
pub type ModelVersion = SmolStr;
/// Name of a plain service.
pub type ServiceId = SmolStr;
/// Name of a kind of accelerator.
pub type AcceleratorKind = SmolStr;
/// Identifier of a caller's request, unique over all hosts.
pub type RequestId = SmolStr;
/// Name of a part of a prompt that several requests may share.
pub type PartId = SmolStr;
/// Name of a stream on the platform's log.
pub type LogStreamId = SmolStr;
/// Position of a record in a stream of the platform's log.
pub type Offset = u64;
/// Number of a configuration version; 0 is the empty configuration.
pub type Version = u64;
/// Number of one run of a host's process; later runs have larger numbers.
pub type Incarnation = u64;
/// Fencing token: the offset of the lease record under which an order is given.
pub type FencingToken = u64;
/// Number of an attempt at a request; each new attempt rebuilds the key-value cache.
pub type Attempt = u32;
/// Position of a token in a sequence, prompt included, counted from 0.
pub type Position = u32;
/// Index of a model's layer, or the boundary before the layer with that index.
pub type Layer = u16;
/// Index of a token in a model's vocabulary.
pub type Token = u32;

/// Half-open range of layers `first..end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer of the range.
    pub first: Layer,
    /// Boundary after the last layer. Invariant: `first < end`.
    pub end: Layer,
}

impl LayerRange {
    /// Creates the range `first..end`, or returns `None` if it would be empty.
    pub fn new(first: Layer, end: Layer) -> Option<Self> {
        (first < end).then_some(Self { first, end })
    }

    /// Returns the number of layers in the range.
    pub fn count(self) -> u16 {
        self.end - self.first
    }

    /// Returns whether every layer of `other` lies in this range.
    pub fn contains(self, other: Self) -> bool {
        self.first <= other.first && other.end <= self.end
    }
}

impl fmt::Display for LayerRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}..{}", self.first, self.end)
    }
}
