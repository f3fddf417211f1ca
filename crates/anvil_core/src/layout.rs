//! Chooses the layers that each accelerator of a pool holds.
//!
//! The layout serves the steady load of one service: every layer needs memory for the requests in
//! flight, and a path of accelerators that is fast enough. Layers are assigned in blocks of equal
//! size, so that the ranges of different accelerators begin and end at the same boundaries and one
//! accelerator can replace another.
//!
//! The greedy search of [`choose`] lowers the price of shortage: a sum over blocks that rises when
//! the accelerators that hold a block can serve fewer tokens, either all together or after the loss
//! of the largest ones.

use std::collections::BTreeMap;

use crate::{
    engine_model::{
        AcceleratorSpec,
        EngineProfile, //
    },
    id::{
        DataCentreId,
        Layer,
        LayerRange,
        TargetId, //
    },
};

pub mod capacity;
mod hill_climb;
mod rate_check;

pub use hill_climb::HillClimb;
pub use rate_check::{
    CheckState,
    RateCheck, //
};

#[cfg(test)]
mod tests;

/// Number of blocks into which the layers are divided. A range consists of consecutive blocks.
const BLOCK_COUNT: usize = 16;
/// Number of improvement rounds after which the search ends even if it has not converged.
const IMPROVEMENT_ROUNDS_MAX: usize = 12;
/// Smallest reduction of the price that justifies a change, as a share of the price.
const RELATIVE_GAIN_MIN: f64 = 1e-6;
/// Supply assumed for a block that no accelerator holds; keeps prices finite.
const SUPPLY_MIN_TOKENS: f64 = 100.0;
/// Smallest supply assumed for a block after a loss. It limits the price of a block without
/// remaining supply, so that a second copy that serves part of the load is worth more than a large
/// one.
const SUPPLY_AFTER_LOSS_MIN_TOKENS: f64 = 20_000.0;
/// Weights of a block's price after losses, relative to its price with all accelerators.
#[derive(Clone, Copy, Debug)]
struct LossWeights {
    /// Weight of the price after the loss of the accelerator that serves most tokens.
    one: f64,
    /// Weight of the price after the loss of the two accelerators that serve most tokens.
    two: f64,
}

/// Weights used when accelerators are placed one at a time.
const LOSS_WEIGHTS: LossWeights = LossWeights {
    one: 0.3,
    two: 0.05,
};

/// An accelerator to place layers on.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// Target whose engine runs on it.
    pub target: TargetId,
    /// Data centre that it is in.
    pub data_centre: DataCentreId,
    /// Memory and speed of its kind.
    pub kind: AcceleratorSpec,
    /// Layers that it holds now; `None` if it is empty.
    pub holds: Option<LayerRange>,
}

/// Layer range that each target holds; empty targets are absent.
pub type Layout = BTreeMap<TargetId, LayerRange>;

/// Chooses the layers of every accelerator, independently for each data centre. Accelerators for
/// which `movable` is false keep their layers.
pub fn choose(
    engine: &EngineProfile,
    accelerators: &[Accelerator],
    movable: impl Fn(&Accelerator) -> bool,
) -> Layout {
    choose_with(engine, accelerators, LOSS_WEIGHTS, movable)
}

fn choose_with(
    engine: &EngineProfile,
    accelerators: &[Accelerator],
    weights: LossWeights,
    movable: impl Fn(&Accelerator) -> bool,
) -> Layout {
    let mut layout = Layout::new();
    for pool in pools(accelerators).values() {
        Search::new(engine, pool, weights, &movable).run(&mut layout);
    }
    layout
}

/// A change of the layers that one accelerator holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// Target of the accelerator.
    pub target: TargetId,
    /// Data centre of the accelerator.
    pub data_centre: DataCentreId,
    /// Layers to hold instead.
    pub layers: LayerRange,
    /// Ratio of the data centre's price of shortage after the move to that before it.
    pub price_share: f64,
}

/// Finds in each data centre the moves that lower the price of shortage, the one that lowers it most
/// first. Moves that leave `price_share_max` or more of the price are not returned. Whether a move
/// raises the rate is for a [`RateCheck`] to find out.
///
/// This handles the permanent loss of accelerators, after which the layers of the others no longer
/// fit together.
pub fn moves(
    engine: &EngineProfile,
    accelerators: &[Accelerator],
    price_share_max: f64,
) -> BTreeMap<DataCentreId, Vec<Move>> {
    let mut moves = BTreeMap::new();
    for (data_centre, pool) in pools(accelerators) {
        let mut search = Search::new(engine, &pool, LOSS_WEIGHTS, |_| false);
        let before_price = search.price();
        let mut found: Vec<Move> = Vec::new();
        for (index, accelerator) in pool.iter().enumerate() {
            let Some(current_blocks) = search.assigned[index] else {
                continue;
            };
            let (blocks, price) = search.best_blocks(index);
            search.set(index, Some(current_blocks));
            let price_share = price / before_price;
            if let Some(blocks) = blocks
                && blocks != current_blocks
                && price_share < price_share_max
            {
                found.push(Move {
                    target: accelerator.target.clone(),
                    data_centre: accelerator.data_centre.clone(),
                    layers: search.layers_of(blocks),
                    price_share,
                });
            }
        }
        if !found.is_empty() {
            found.sort_by(|left, right| left.price_share.total_cmp(&right.price_share));
            moves.insert(data_centre.clone(), found);
        }
    }
    moves
}

/// Returns the accelerators of each data centre, ordered by memory, largest first. Layers are
/// assigned in this order, since the longer ranges of large accelerators have fewer possible
/// positions.
fn pools(accelerators: &[Accelerator]) -> BTreeMap<&DataCentreId, Vec<&Accelerator>> {
    let mut pools: BTreeMap<&DataCentreId, Vec<&Accelerator>> = BTreeMap::new();
    for accelerator in accelerators {
        pools
            .entry(&accelerator.data_centre)
            .or_default()
            .push(accelerator);
    }
    for pool in pools.values_mut() {
        pool.sort_by(|left, right| {
            right
                .kind
                .memory_megabytes
                .total_cmp(&left.kind.memory_megabytes)
                .then_with(|| left.target.cmp(&right.target))
        });
    }
    pools
}

/// A range of consecutive blocks, `first..end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BlockRange {
    first: usize,
    end: usize,
}

/// Tokens that the accelerators holding one block can serve.
#[derive(Clone, Copy, Debug, Default)]
struct BlockSupply {
    /// Tokens that all of them can serve together.
    supply_tokens: f64,
    /// Tokens of the two accelerators that serve most, largest first.
    largest_tokens: [f64; 2],
}

impl BlockSupply {
    /// Adds an accelerator that can serve `tokens`.
    fn add(&mut self, tokens: f64) {
        self.supply_tokens += tokens;
        let [first, second] = self.largest_tokens;
        self.largest_tokens = if tokens > first {
            [tokens, first]
        } else {
            [first, second.max(tokens)]
        };
    }

    /// Returns the price of shortage. It rises when the accelerators can serve less, either all
    /// together or without the largest ones.
    fn price(&self, weights: LossWeights) -> f64 {
        let [first, second] = self.largest_tokens;
        let after_one_loss = self.supply_tokens - first;
        let after_two_losses = after_one_loss - second;
        shortage_price(self.supply_tokens, SUPPLY_MIN_TOKENS)
            + weights.one * shortage_price(after_one_loss, SUPPLY_AFTER_LOSS_MIN_TOKENS)
            + weights.two * shortage_price(after_two_losses, SUPPLY_AFTER_LOSS_MIN_TOKENS)
    }
}

/// Returns the price of a supply: the inverse square of the supply in units of 10,000 tokens.
fn shortage_price(tokens: f64, min_tokens: f64) -> f64 {
    let tokens = tokens.max(min_tokens) / 1e4;
    1.0 / (tokens * tokens)
}

/// Returns the sum of the prices of all blocks.
fn total_price(supplies: &[BlockSupply; BLOCK_COUNT], weights: LossWeights) -> f64 {
    supplies.iter().map(|block| block.price(weights)).sum()
}

/// A greedy search for the layout of one data centre.
struct Search<'a> {
    engine: &'a EngineProfile,
    accelerators: &'a [&'a Accelerator],
    weights: LossWeights,
    /// Whether the search may choose each accelerator's blocks.
    is_movable: Vec<bool>,
    /// Present blocks of each accelerator.
    assigned: Vec<Option<BlockRange>>,
    /// Layer boundaries of the blocks.
    boundaries: [Layer; BLOCK_COUNT + 1],
}

impl<'a> Search<'a> {
    fn new(
        engine: &'a EngineProfile,
        accelerators: &'a [&'a Accelerator],
        weights: LossWeights,
        movable: impl Fn(&Accelerator) -> bool,
    ) -> Self {
        let mut boundaries = [0; BLOCK_COUNT + 1];
        for (index, boundary) in boundaries.iter_mut().enumerate() {
            let layers = usize::from(engine.layer_count) * index / BLOCK_COUNT;
            *boundary = Layer::try_from(layers).unwrap_or(Layer::MAX);
        }
        let mut search = Self {
            engine,
            accelerators,
            weights,
            is_movable: accelerators
                .iter()
                .map(|accelerator| movable(accelerator))
                .collect(),
            assigned: vec![None; accelerators.len()],
            boundaries,
        };
        for (index, accelerator) in accelerators.iter().enumerate() {
            if !search.is_movable[index] {
                let blocks = accelerator
                    .holds
                    .and_then(|range| search.blocks_within(range));
                search.set(index, blocks);
            }
        }
        search
    }

    /// Runs the search and adds the result to `layout`.
    fn run(mut self, layout: &mut Layout) {
        for index in 0..self.accelerators.len() {
            if self.is_movable[index] {
                self.improve(index);
            }
        }
        for _ in 0..IMPROVEMENT_ROUNDS_MAX {
            let mut changed = false;
            for index in 0..self.accelerators.len() {
                if self.is_movable[index] {
                    changed |= self.improve(index);
                }
            }
            if !changed {
                break;
            }
        }
        for (index, accelerator) in self.accelerators.iter().enumerate() {
            let range = match (self.is_movable[index], self.assigned[index]) {
                (true, Some(blocks)) => Some(self.layers_of(blocks)),
                (true, None) => None,
                (false, _) => accelerator.holds,
            };
            if let Some(range) = range {
                layout.insert(accelerator.target.clone(), range);
            }
        }
    }

    /// Assigns an accelerator its best blocks, given the present blocks of the others. Returns
    /// whether its blocks changed.
    fn improve(&mut self, index: usize) -> bool {
        let before = self.assigned[index];
        let before_price = self.price();
        let (mut best, best_price) = self.best_blocks(index);
        if before.is_some() && best_price >= before_price * (1.0 - RELATIVE_GAIN_MIN) {
            best = before;
        }
        self.set(index, best);
        best != before
    }

    /// Returns an accelerator's best blocks, given the present blocks of the others, and the
    /// resulting price. The accelerator is left without blocks.
    fn best_blocks(&mut self, index: usize) -> (Option<BlockRange>, f64) {
        self.set(index, None);
        let supplies_without = self.supplies();
        let mut best = None;
        let mut best_price = f64::INFINITY;
        for first in 0..BLOCK_COUNT {
            for end in first + 1..=BLOCK_COUNT {
                let blocks = BlockRange { first, end };
                if !self.fits(index, blocks) {
                    break;
                }
                let supply = self.supply_tokens_of(index, blocks);
                let mut supplies_with_blocks = supplies_without;
                for block in &mut supplies_with_blocks[first..end] {
                    block.add(supply);
                }
                let price = total_price(&supplies_with_blocks, self.weights);
                if price < best_price {
                    best_price = price;
                    best = Some(blocks);
                }
            }
        }
        (best, best_price)
    }

    /// Returns the price of the present assignment.
    fn price(&self) -> f64 {
        total_price(&self.supplies(), self.weights)
    }

    /// Returns the supply of each block under the present assignment.
    fn supplies(&self) -> [BlockSupply; BLOCK_COUNT] {
        let mut supplies = [BlockSupply::default(); BLOCK_COUNT];
        for (index, blocks) in self.assigned.iter().enumerate() {
            if let Some(blocks) = blocks {
                let supply = self.supply_tokens_of(index, *blocks);
                for block in &mut supplies[blocks.first..blocks.end] {
                    block.add(supply);
                }
            }
        }
        supplies
    }

    /// Returns whether the weights of a block range fit into an accelerator's memory.
    fn fits(&self, index: usize, blocks: BlockRange) -> bool {
        self.layers_of(blocks).count() <= self.engine.layers_max(self.accelerators[index].kind)
    }

    fn set(&mut self, index: usize, blocks: Option<BlockRange>) {
        self.assigned[index] = blocks;
    }

    /// Returns the number of tokens that an accelerator can serve at once with a block range.
    fn supply_tokens_of(&self, index: usize, blocks: BlockRange) -> f64 {
        let kind = self.accelerators[index].kind;
        self.engine
            .capacity_tokens(kind, self.layers_of(blocks).count())
    }

    fn layers_of(&self, blocks: BlockRange) -> LayerRange {
        LayerRange {
            first: self.boundaries[blocks.first],
            end: self.boundaries[blocks.end],
        }
    }

    /// Returns the blocks that lie completely within a layer range, or `None` if there are none.
    fn blocks_within(&self, range: LayerRange) -> Option<BlockRange> {
        let first = self.boundaries.iter().position(|at| *at >= range.first)?;
        let end = self.boundaries.iter().rposition(|at| *at <= range.end)?;
        (first < end).then_some(BlockRange { first, end })
    }
}
