//! Improves the layout of cards that are all empty, step by step.
//!
//! The greedy search of [`choose`](super::choose) weighs each block's memory alone. Here whole
//! layouts are compared by the rate that they sustain under the router's own choices, with every
//! card and after the loss of some cards of one data centre. Answers the heaviest load, on which
//! memory for requests binds, and crashes under it.

use std::collections::BTreeMap;

use rand::{
    Rng,
    RngExt, //
};

use crate::{
    engine_model::EngineProfile,
    id::{
        DataCentreId,
        Layer,
        LayerRange, //
    },
};

use super::{
    Accelerator,
    BLOCK_COUNT,
    LOSS_WEIGHTS,
    Layout,
    LossWeights,
    capacity,
    choose_with, //
};

/// Weight of the mean rate after a loss against that of all cards.
const LOSS_WEIGHT: f64 = 1.0;
/// Share of a data centre's cards that are lost together where losses are weighed.
const LOST_SHARE: f64 = 0.1;
/// Losses that are weighed in each data centre.
const LOSSES: usize = 3;
/// Weights of losses in the greedy layouts that the search begins with: which of them serves best
/// depends on how much memory the cards have beyond the model.
const START_WEIGHTS: [LossWeights; 4] = [
    LossWeights { one: 0.0, two: 0.0 },
    LossWeights { one: 0.1, two: 0.0 },
    LOSS_WEIGHTS,
    LossWeights { one: 1.0, two: 0.1 },
];
/// Share of the best rate of all cards below which a candidate is dropped without a look at losses.
const PRUNE_SHARE: f64 = 0.97;

/// A search for a layout. Each step takes some hundred choices of paths.
pub struct HillClimb<'a> {
    engine: &'a EngineProfile,
    accelerators: &'a [Accelerator],
    /// Cards whose loss together is weighed.
    losses: Vec<Vec<usize>>,
    best: Layout,
    best_full_per_s: f64,
    best_score_per_s: f64,
}

impl<'a> HillClimb<'a> {
    /// Begins with the best of some greedy layouts.
    pub fn new(engine: &'a EngineProfile, accelerators: &'a [Accelerator]) -> Self {
        let mut climb = Self {
            engine,
            accelerators,
            losses: losses(accelerators),
            best: Layout::new(),
            best_full_per_s: 0.0,
            best_score_per_s: -1.0,
        };
        for weights in START_WEIGHTS {
            climb.offer(choose_with(engine, accelerators, weights, |_| true));
        }
        climb
    }

    /// Tries another run for one card.
    pub fn step(&mut self, random: &mut impl Rng) {
        if self.accelerators.is_empty() {
            return;
        }
        let accelerator = &self.accelerators[random.random_range(0..self.accelerators.len())];
        let block_layers = usize::from(self.engine.layer_count) / BLOCK_COUNT;
        let limit = usize::from(self.engine.layers_max(accelerator.kind)) / block_layers.max(1);
        if limit == 0 {
            return;
        }
        let blocks = random.random_range(1..=limit.min(BLOCK_COUNT));
        let first = random.random_range(0..=BLOCK_COUNT - blocks);
        let boundary = |block: usize| {
            let layer = usize::from(self.engine.layer_count) * block / BLOCK_COUNT;
            Layer::try_from(layer).unwrap_or(Layer::MAX)
        };
        let Some(range) = LayerRange::new(boundary(first), boundary(first + blocks)) else {
            return;
        };
        let mut candidate = self.best.clone();
        candidate.insert(accelerator.target.clone(), range);
        self.offer(candidate);
    }

    /// Takes a candidate over where it is better.
    fn offer(&mut self, candidate: Layout) {
        let rate =
            |lost: &[usize]| capacity::rate_per_s(self.engine, self.accelerators, &candidate, lost);
        let full_per_s = rate(&[]);
        if full_per_s < PRUNE_SHARE * self.best_full_per_s {
            return;
        }
        let lost_per_s: f64 = self.losses.iter().map(|lost| rate(lost)).sum();
        let score_per_s = full_per_s + LOSS_WEIGHT * lost_per_s / self.losses.len().max(1) as f64;
        if score_per_s > self.best_score_per_s {
            self.best = candidate;
            self.best_full_per_s = full_per_s;
            self.best_score_per_s = score_per_s;
        }
    }

    /// Requests a second that the best layout sustains with every card.
    pub fn rate_per_s(&self) -> f64 {
        self.best_full_per_s
    }

    /// The best layout found.
    pub fn into_layout(self) -> Layout {
        self.best
    }
}

/// Losses to weigh: in each data centre, cards that are spread over its kinds.
fn losses(accelerators: &[Accelerator]) -> Vec<Vec<usize>> {
    let mut pools: BTreeMap<&DataCentreId, Vec<usize>> = BTreeMap::new();
    for (index, accelerator) in accelerators.iter().enumerate() {
        pools
            .entry(&accelerator.data_centre)
            .or_default()
            .push(index);
    }
    let mut losses = Vec::new();
    for pool in pools.values_mut() {
        pool.sort_by(|left, right| {
            let memory = |index: &usize| accelerators[*index].kind.memory_megabytes;
            memory(right).total_cmp(&memory(left))
        });
        let stride = (1.0 / LOST_SHARE) as usize;
        let lost = |offset: usize| pool.iter().skip(offset).step_by(stride).copied();
        losses.extend((0..LOSSES.min(pool.len())).map(|offset| lost(offset).collect()));
    }
    losses
}
