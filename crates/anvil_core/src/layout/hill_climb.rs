//! Chooses the layout of accelerators that are all empty, by stepwise improvement.
//!
//! The greedy search of [`choose`](super::choose) considers only the memory for each block. The
//! hill climb compares complete layouts by the rate that they sustain with the router's own choice
//! of paths, with all accelerators and after the loss of some accelerators of one data centre. It
//! is meant for the heaviest load, where request memory is the bottleneck, and for crashes under
//! it.

use std::{
    collections::BTreeMap,
    slice, //
};

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
    capacity::Simulation,
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

/// A search for a layout by hill climbing, in parts that are short enough for a host with one thread.
pub struct HillClimb<'a> {
    engine: &'a EngineProfile,
    accelerators: &'a [Accelerator],
    /// Simulated losses, each with the indices of the accelerators that are lost together.
    losses: Vec<Vec<usize>>,
    /// Greedy layouts that are still to be considered, by their weights.
    starts: slice::Iter<'static, LossWeights>,
    /// The candidate that is being considered.
    evaluation: Option<Evaluation<'a>>,
    /// Candidates considered so far, without the greedy layouts.
    step_count: usize,
    /// Invariant: not empty once a greedy layout was chosen, even before it has a score.
    best: Layout,
    /// Rate of the best layout with all accelerators.
    best_rate_all_per_s: f64,
    /// Score of the best layout: its rate plus its weighted mean rate after losses.
    best_score_per_s: f64,
}

/// A candidate whose rates are being simulated.
struct Evaluation<'a> {
    candidate: Layout,
    is_start: bool,
    simulation: Simulation<'a>,
    /// Rate with all accelerators; `None` while it is being simulated.
    rate_all_per_s: Option<f64>,
    /// Number of losses simulated so far.
    loss_count: usize,
    /// Sum of the rates after these losses.
    sum_after_loss_per_s: f64,
}

impl<'a> HillClimb<'a> {
    /// Prepares a search that starts from the best of several greedy layouts.
    pub fn new(engine: &'a EngineProfile, accelerators: &'a [Accelerator]) -> Self {
        Self {
            engine,
            accelerators,
            losses: losses(accelerators),
            starts: START_WEIGHTS.iter(),
            evaluation: None,
            step_count: 0,
            best: Layout::new(),
            best_rate_all_per_s: 0.0,
            best_score_per_s: -1.0,
        }
    }

    /// Does the next part of the search: chooses a candidate, or simulates one path of the present
    /// one. The greedy layouts come first. Then each candidate has a random layer range for one
    /// random accelerator, and is kept if the score rises.
    pub fn advance(&mut self, rng: &mut impl Rng) {
        let Some(mut evaluation) = self.evaluation.take() else {
            self.begin_candidate(rng);
            return;
        };
        match evaluation.simulation.advance() {
            None => self.evaluation = Some(evaluation),
            Some(rate_per_s) => self.apply_rate(evaluation, rate_per_s),
        }
    }

    /// Considers one random candidate completely, and before the first one the greedy layouts.
    pub fn step(&mut self, rng: &mut impl Rng) {
        let step_count = self.step_count;
        while self.step_count == step_count {
            self.advance(rng);
        }
    }

    fn begin_candidate(&mut self, rng: &mut impl Rng) {
        if let Some(weights) = self.starts.next() {
            let candidate = choose_with(self.engine, self.accelerators, *weights, |_| true);
            if self.best.is_empty() {
                self.best = candidate.clone();
            }
            self.begin_evaluation(candidate, true);
            return;
        }
        match self.random_neighbour(rng) {
            Some(candidate) => self.begin_evaluation(candidate, false),
            None => self.step_count += 1,
        }
    }

    fn begin_evaluation(&mut self, candidate: Layout, is_start: bool) {
        self.evaluation = Some(Evaluation {
            simulation: Simulation::new(self.engine, self.accelerators, &candidate, &[]),
            candidate,
            is_start,
            rate_all_per_s: None,
            loss_count: 0,
            sum_after_loss_per_s: 0.0,
        });
    }

    /// Returns the best layout with another layer range for one accelerator, or `None` if the range
    /// that was drawn is not possible.
    fn random_neighbour(&self, rng: &mut impl Rng) -> Option<Layout> {
        if self.accelerators.is_empty() {
            return None;
        }
        let accelerator = &self.accelerators[rng.random_range(0..self.accelerators.len())];
        let block_layers = usize::from(self.engine.layer_count) / BLOCK_COUNT;
        let limit = usize::from(self.engine.layers_max(accelerator.kind)) / block_layers.max(1);
        if limit == 0 {
            return None;
        }
        let blocks = rng.random_range(1..=limit.min(BLOCK_COUNT));
        let first = rng.random_range(0..=BLOCK_COUNT - blocks);
        let boundary = |block: usize| {
            let layer = usize::from(self.engine.layer_count) * block / BLOCK_COUNT;
            Layer::try_from(layer).unwrap_or(Layer::MAX)
        };
        let range = LayerRange::new(boundary(first), boundary(first + blocks))?;
        let mut candidate = self.best.clone();
        candidate.insert(accelerator.target.clone(), range);
        Some(candidate)
    }

    /// Records a simulated rate of a candidate, and begins the simulation of its next loss. After the
    /// last one, replaces the best layout by the candidate if the candidate has a higher score.
    fn apply_rate(&mut self, mut evaluation: Evaluation<'a>, rate_per_s: f64) {
        let is_pruned = match evaluation.rate_all_per_s {
            Some(_) => {
                evaluation.sum_after_loss_per_s += rate_per_s;
                evaluation.loss_count += 1;
                false
            }
            None => {
                evaluation.rate_all_per_s = Some(rate_per_s);
                rate_per_s < PRUNE_RATE_SHARE * self.best_rate_all_per_s
            }
        };
        if !is_pruned && let Some(lost) = self.losses.get(evaluation.loss_count) {
            evaluation.simulation =
                Simulation::new(self.engine, self.accelerators, &evaluation.candidate, lost);
            self.evaluation = Some(evaluation);
            return;
        }
        self.step_count += usize::from(!evaluation.is_start);
        let rate_all_per_s = evaluation.rate_all_per_s.unwrap_or(0.0);
        let mean_after_loss_per_s =
            evaluation.sum_after_loss_per_s / self.losses.len().max(1) as f64;
        let score_per_s = rate_all_per_s + LOSS_WEIGHT * mean_after_loss_per_s;
        if !is_pruned && score_per_s > self.best_score_per_s {
            self.best = evaluation.candidate;
            self.best_rate_all_per_s = rate_all_per_s;
            self.best_score_per_s = score_per_s;
        }
    }

    /// Returns the number of random candidates considered so far.
    pub fn step_count(&self) -> usize {
        self.step_count
    }

    /// Returns the requests per second that the best layout sustains with all accelerators, or 0 if
    /// no layout was simulated completely.
    pub fn rate_per_s(&self) -> f64 {
        self.best_rate_all_per_s
    }

    /// Returns the best layout found; empty before the first part of the search.
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
