//! Chooses the layout of accelerators that are all empty, by stepwise improvement.
//!
//! The greedy search of [`choose`](super::choose) considers only the memory for each block. The
//! hill climb compares complete layouts by the rate that they sustain with the router's own choice
//! of paths, with all accelerators and after the loss of some accelerators of one data centre. It
//! is meant for the heaviest load, where request memory is the bottleneck, and for crashes under
//! it.

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

/// Weight of the mean rate after a loss, relative to the rate with all accelerators.
const LOSS_WEIGHT: f64 = 1.0;
/// Share of a data centre's accelerators that one simulated loss removes.
const LOSS_ACCELERATOR_SHARE: f64 = 0.1;
/// Number of simulated losses in each data centre.
const LOSSES_PER_DATA_CENTRE: usize = 3;
/// Weights of losses for the greedy layouts that the search starts from. Which one serves best
/// depends on how much memory the accelerators have beyond the model.
const START_WEIGHTS: [LossWeights; 4] = [
    LossWeights { one: 0.0, two: 0.0 },
    LossWeights { one: 0.1, two: 0.0 },
    LOSS_WEIGHTS,
    LossWeights { one: 1.0, two: 0.1 },
];
/// Share of the best rate with all accelerators below which a candidate is rejected without
/// simulating losses.
const PRUNE_RATE_SHARE: f64 = 0.97;

/// A search for a layout by hill climbing. Each step computes a few hundred paths.
pub struct HillClimb<'a> {
    engine: &'a EngineProfile,
    accelerators: &'a [Accelerator],
    /// Simulated losses, each with the indices of the accelerators that are lost together.
    losses: Vec<Vec<usize>>,
    best: Layout,
    /// Rate of the best layout with all accelerators.
    best_rate_all_per_s: f64,
    /// Score of the best layout: its rate plus its weighted mean rate after losses.
    best_score_per_s: f64,
}

impl<'a> HillClimb<'a> {
    /// Starts from the best of several greedy layouts.
    pub fn new(engine: &'a EngineProfile, accelerators: &'a [Accelerator]) -> Self {
        let mut search = Self {
            engine,
            accelerators,
            losses: losses(accelerators),
            best: Layout::new(),
            best_rate_all_per_s: 0.0,
            best_score_per_s: -1.0,
        };
        for weights in START_WEIGHTS {
            search.consider(choose_with(engine, accelerators, weights, |_| true));
        }
        search
    }

    /// Tries a random layer range for one random accelerator, and keeps it if the score rises.
    pub fn step(&mut self, rng: &mut impl Rng) {
        if self.accelerators.is_empty() {
            return;
        }
        let accelerator = &self.accelerators[rng.random_range(0..self.accelerators.len())];
        let block_layers = usize::from(self.engine.layer_count) / BLOCK_COUNT;
        let limit = usize::from(self.engine.layers_max(accelerator.kind)) / block_layers.max(1);
        if limit == 0 {
            return;
        }
        let blocks = rng.random_range(1..=limit.min(BLOCK_COUNT));
        let first = rng.random_range(0..=BLOCK_COUNT - blocks);
        let boundary = |block: usize| {
            let layer = usize::from(self.engine.layer_count) * block / BLOCK_COUNT;
            Layer::try_from(layer).unwrap_or(Layer::MAX)
        };
        let Some(range) = LayerRange::new(boundary(first), boundary(first + blocks)) else {
            return;
        };
        let mut candidate = self.best.clone();
        candidate.insert(accelerator.target.clone(), range);
        self.consider(candidate);
    }

    /// Replaces the best layout by a candidate if the candidate has a higher score.
    fn consider(&mut self, candidate: Layout) {
        let rate =
            |lost: &[usize]| capacity::rate_per_s(self.engine, self.accelerators, &candidate, lost);
        let rate_all_per_s = rate(&[]);
        if rate_all_per_s < PRUNE_RATE_SHARE * self.best_rate_all_per_s {
            return;
        }
        let sum_after_loss_per_s: f64 = self.losses.iter().map(|lost| rate(lost)).sum();
        let score_per_s =
            rate_all_per_s + LOSS_WEIGHT * sum_after_loss_per_s / self.losses.len().max(1) as f64;
        if score_per_s > self.best_score_per_s {
            self.best = candidate;
            self.best_rate_all_per_s = rate_all_per_s;
            self.best_score_per_s = score_per_s;
        }
    }

    /// Returns the requests per second that the best layout sustains with all accelerators.
    pub fn rate_per_s(&self) -> f64 {
        self.best_rate_all_per_s
    }

    /// Returns the best layout found.
    pub fn into_layout(self) -> Layout {
        self.best
    }
}

/// Returns the losses to simulate: for each data centre, sets of accelerators spread evenly over
/// its kinds.
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
        let stride = (1.0 / LOSS_ACCELERATOR_SHARE) as usize;
        let lost = |offset: usize| pool.iter().skip(offset).step_by(stride).copied();
        losses.extend(
            (0..LOSSES_PER_DATA_CENTRE.min(pool.len())).map(|offset| lost(offset).collect()),
        );
    }
    losses
}
