//! Improves the layout of cards that are all empty, step by step.
//!
//! The greedy search of [`choose`](super::choose) weighs each block's memory alone. Here whole
//! layouts are compared by the rate that they sustain under the router's own choices, with every
//! card and after the loss of one card in each data centre. Answers the heaviest load, on which
//! memory for requests binds.

use rand::{
    Rng,
    RngExt, //
};

use crate::{
    engine_model::Engine,
    id::{
        Layer,
        LayerRange, //
    },
};

use super::{
    BLOCK_COUNT,
    Card,
    Layout,
    capacity,
    choose, //
};

/// Weight of the mean rate after a loss against that of all cards.
const LOSS_WEIGHT: f64 = 1.0;
/// Share of the best rate of all cards below which a candidate is dropped without a look at losses.
const PRUNE_SHARE: f64 = 0.97;

/// A search for a layout. Each step takes some hundred choices of paths.
pub struct Climb<'a> {
    engine: &'a Engine,
    cards: &'a [Card],
    /// Cards whose loss is weighed: the largest of each data centre.
    losses: Vec<usize>,
    best: Layout,
    best_full_per_s: f64,
    best_score_per_s: f64,
}

impl<'a> Climb<'a> {
    /// Begins with the greedy layout.
    pub fn new(engine: &'a Engine, cards: &'a [Card]) -> Self {
        let mut largest: std::collections::BTreeMap<_, usize> = std::collections::BTreeMap::new();
        for (index, card) in cards.iter().enumerate() {
            let entry = largest.entry(&card.data_centre).or_insert(index);
            if cards[*entry].kind.memory_megabytes < card.kind.memory_megabytes {
                *entry = index;
            }
        }
        let mut climb = Self {
            engine,
            cards,
            losses: largest.into_values().collect(),
            best: choose(engine, cards, |_| true),
            best_full_per_s: 0.0,
            best_score_per_s: 0.0,
        };
        let start = climb.best.clone();
        climb.offer(start);
        climb
    }

    /// Tries another run for one card.
    pub fn step(&mut self, random: &mut impl Rng) {
        if self.cards.is_empty() {
            return;
        }
        let card = &self.cards[random.random_range(0..self.cards.len())];
        let block_layers = usize::from(self.engine.layer_count) / BLOCK_COUNT;
        let limit = usize::from(self.engine.layers_max(card.kind)) / block_layers.max(1);
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
        candidate.insert(card.target.clone(), range);
        self.offer(candidate);
    }

    /// Takes a candidate over where it is better.
    fn offer(&mut self, candidate: Layout) {
        let rate = |lost| capacity::rate_per_s(self.engine, self.cards, &candidate, lost);
        let full_per_s = rate(None);
        if full_per_s < PRUNE_SHARE * self.best_full_per_s {
            return;
        }
        let lost_per_s: f64 = self.losses.iter().map(|lost| rate(Some(*lost))).sum();
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
    pub fn close(self) -> Layout {
        self.best
    }
}
