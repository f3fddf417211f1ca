//! Counts the engines in service that hold each layer of the model's serving version.

use super::{
    Action,
    Availability,
    Decision,
    View, //
};
use crate::id::{
    Layer,
    LayerRange, //
};

/// Number of replicas of each layer: engines in service that hold its serving version.
#[derive(Debug)]
pub struct Coverage {
    /// Replicas by layer. Invariant: one entry for each layer of the model.
    counts: Vec<u32>,
}

impl Coverage {
    /// Counts the replicas of each layer on the engines of `view`.
    pub fn of(view: &View<'_>) -> Self {
        let mut counts = vec![0; usize::from(view.model.layer_count)];
        let holdings = view
            .engines
            .iter()
            .filter(|engine| engine.availability == Availability::InService)
            .flat_map(|engine| &engine.holds)
            .filter(|holding| holding.version == view.model.version);
        for holding in holdings {
            for layer in holding.layers.first..holding.layers.end.min(view.model.layer_count) {
                counts[usize::from(layer)] += 1;
            }
        }
        Self { counts }
    }

    /// Returns the smallest number of replicas of any layer.
    pub fn min_replicas(&self) -> u32 {
        self.counts.iter().copied().min().unwrap_or(0)
    }

    /// Returns the smallest number of replicas of any layer in `layers`.
    pub fn min_replicas_in(&self, layers: LayerRange) -> u32 {
        let range = usize::from(layers.first)..usize::from(layers.end).min(self.counts.len());
        let counts = self.counts.get(range).unwrap_or_default();
        counts.iter().copied().min().unwrap_or(0)
    }

    /// Returns the first contiguous range of the layers with the fewest replicas, or `None` if even
    /// these have at least `replicas`.
    pub fn first_range_below(&self, replicas: u32) -> Option<LayerRange> {
        let min_replicas = self.min_replicas();
        if min_replicas >= replicas {
            return None;
        }
        let first = self
            .counts
            .iter()
            .position(|count| *count == min_replicas)?;
        let length = self.counts[first..]
            .iter()
            .take_while(|count| **count == min_replicas)
            .count();
        LayerRange::new(
            Layer::try_from(first).ok()?,
            Layer::try_from(first + length).ok()?,
        )
    }

    /// Returns whether a decision leaves each layer with at least `replicas_min` replicas.
    pub fn allows(&self, view: &View<'_>, decision: &Decision) -> bool {
        match &decision.action {
            Action::Load { .. } => true,
            Action::Unload { holding } => {
                holding.version != view.model.version
                    || self.min_replicas_in(holding.layers) > view.bounds.replicas_min
            }
        }
    }
}
