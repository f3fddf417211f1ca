//! Chooses the layers that each accelerator of a pool holds.
//!
//! Answers the steady load of one service: every layer needs room for the requests in flight, and
//! a path of accelerators that is fast enough. Layers are dealt in blocks of equal size, so that
//! ranges of different accelerators begin and end together and one can stand in for another.

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

pub use hill_climb::HillClimb;

#[cfg(test)]
mod tests;

/// Blocks into which the layers are divided; a range is a run of blocks.
const BLOCK_COUNT: usize = 16;
/// Rounds of improvement after which the search ends even if it could go on.
const ROUNDS_MAX: usize = 12;
/// Gain below which a change is not worth making, as a share of the price.
const GAIN_MIN: f64 = 1e-6;
/// Supply assumed for a block that no accelerator holds, in tokens; keeps prices finite.
const SUPPLY_MIN_TOKENS: f64 = 100.0;
/// Supply assumed for a block at least after a loss, in tokens: a second copy that serves some of
/// the load is worth more than a large one.
const SUPPLY_AFTER_LOSS_MIN_TOKENS: f64 = 20_000.0;
/// Weights of the price that a block has after losses, against its price with every card.
#[derive(Clone, Copy, Debug)]
struct LossWeights {
    /// After the loss of its largest card.
    one: f64,
    /// After the loss of its two largest cards.
    two: f64,
}

/// Weights for cards that are placed one by one.
const LOSS_WEIGHTS: LossWeights = LossWeights {
    one: 0.3,
    two: 0.05,
};

/// An accelerator to place layers on.
#[derive(Clone, Debug, PartialEq)]
pub struct Accelerator {
    /// The target that owns it.
    pub target: TargetId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Its kind.
    pub kind: AcceleratorSpec,
    /// The layers that it holds now.
    pub holds: Option<LayerRange>,
}

/// Rate after a move, as a share of that before, at which the move is worth the time for which its
/// card serves nobody.
const MOVE_GAIN_MIN: f64 = 1.06;

/// Layers for each target.
pub type Layout = BTreeMap<TargetId, LayerRange>;

/// Chooses layers for every card, each data centre by itself. Cards for which `movable` is false
/// keep what they hold.
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

/// A card that shall hold other layers than it does.
#[derive(Clone, Debug, PartialEq)]
pub struct Move {
    /// The card's target.
    pub target: TargetId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// What it shall hold.
    pub layers: LayerRange,
    /// Price of the data centre's shortage afterwards, as a share of what it is.
    pub price_share: f64,
}

/// Finds the one move in each data centre that lowers its shortage most, where it lowers it to
/// `price_share_max` or less.
///
/// Answers the loss of cards for good: what the others hold no longer fits together.
pub fn rebalance(
    engine: &EngineProfile,
    accelerators: &[Accelerator],
    price_share_max: f64,
) -> Vec<Move> {
    let mut moves = Vec::new();
    for pool in pools(accelerators).values() {
        let mut search = Search::new(engine, pool, LOSS_WEIGHTS, |_| false);
        let before_price = search.price();
        let mut best: Option<Move> = None;
        for (index, accelerator) in pool.iter().enumerate() {
            let Some(held) = search.runs[index] else {
                continue;
            };
            let (run, price) = search.best_run(index);
            search.set(index, Some(held));
            let price_share = price / before_price;
            let limit = best
                .as_ref()
                .map_or(price_share_max, |best| best.price_share);
            if let Some(run) = run
                && run != held
                && price_share < limit
                && raises_rate(engine, accelerators, accelerator, search.range_of(run))
            {
                best = Some(Move {
                    target: accelerator.target.clone(),
                    data_centre: accelerator.data_centre.clone(),
                    layers: search.range_of(run),
                    price_share,
                });
            }
        }
        moves.extend(best);
    }
    moves
}

/// Whether a move raises the rate that all cards together sustain by enough.
fn raises_rate(
    engine: &EngineProfile,
    accelerators: &[Accelerator],
    moved: &Accelerator,
    layers: LayerRange,
) -> bool {
    let mut layout: Layout = accelerators
        .iter()
        .filter_map(|accelerator| Some((accelerator.target.clone(), accelerator.holds?)))
        .collect();
    let before_per_s = capacity::rate_per_s(engine, accelerators, &layout, &[]);
    layout.insert(moved.target.clone(), layers);
    let after_per_s = capacity::rate_per_s(engine, accelerators, &layout, &[]);
    // Where nothing can be served, several moves may be needed until something can.
    before_per_s == 0.0 || after_per_s > MOVE_GAIN_MIN * before_per_s
}

/// The cards of each data centre, larger accelerators first: they have fewer places to go.
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

/// A run of blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Run {
    first: usize,
    end: usize,
}

/// Tokens that the cards which hold a block can serve.
#[derive(Clone, Copy, Debug, Default)]
struct Stock {
    /// All together.
    supply_tokens: f64,
    /// The two that serve most, largest first.
    largest_tokens: [f64; 2],
}

impl Stock {
    /// Adds a card.
    fn add(&mut self, tokens: f64) {
        self.supply_tokens += tokens;
        let [first, second] = self.largest_tokens;
        self.largest_tokens = if tokens > first {
            [tokens, first]
        } else {
            [first, second.max(tokens)]
        };
    }

    /// Price: the higher, the less the cards can serve, all together and without the largest.
    fn price(&self, weights: LossWeights) -> f64 {
        let [first, second] = self.largest_tokens;
        let after_one = self.supply_tokens - first;
        let after_two = after_one - second;
        price_of_supply(self.supply_tokens, SUPPLY_MIN_TOKENS)
            + weights.one * price_of_supply(after_one, SUPPLY_AFTER_LOSS_MIN_TOKENS)
            + weights.two * price_of_supply(after_two, SUPPLY_AFTER_LOSS_MIN_TOKENS)
    }
}

fn price_of_supply(tokens: f64, min_tokens: f64) -> f64 {
    let tokens = tokens.max(min_tokens) / 1e4;
    1.0 / (tokens * tokens)
}

fn price_of(stock: &[Stock; BLOCK_COUNT], weights: LossWeights) -> f64 {
    stock.iter().map(|block| block.price(weights)).sum()
}

struct Search<'a> {
    engine: &'a EngineProfile,
    accelerators: &'a [&'a Accelerator],
    weights: LossWeights,
    /// Whether each card's run may be chosen.
    free: Vec<bool>,
    runs: Vec<Option<Run>>,
    /// Boundaries of the blocks.
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
            free: accelerators
                .iter()
                .map(|accelerator| movable(accelerator))
                .collect(),
            runs: vec![None; accelerators.len()],
            boundaries,
        };
        for (index, accelerator) in accelerators.iter().enumerate() {
            if !search.free[index] {
                let run = accelerator.holds.and_then(|range| search.run_of(range));
                search.set(index, run);
            }
        }
        search
    }

    fn run(mut self, layout: &mut Layout) {
        for index in 0..self.accelerators.len() {
            if self.free[index] {
                self.improve(index);
            }
        }
        for _ in 0..ROUNDS_MAX {
            let mut changed = false;
            for index in 0..self.accelerators.len() {
                if self.free[index] {
                    changed |= self.improve(index);
                }
            }
            if !changed {
                break;
            }
        }
        for (index, accelerator) in self.accelerators.iter().enumerate() {
            let range = match (self.free[index], self.runs[index]) {
                (true, Some(run)) => Some(self.range_of(run)),
                (true, None) => None,
                (false, _) => accelerator.holds,
            };
            if let Some(range) = range {
                layout.insert(accelerator.target.clone(), range);
            }
        }
    }

    /// Gives a card its best run under the others' present ones.
    fn improve(&mut self, index: usize) -> bool {
        let before = self.runs[index];
        let before_price = self.price();
        let (mut best, best_price) = self.best_run(index);
        if before.is_some() && best_price >= before_price * (1.0 - GAIN_MIN) {
            best = before;
        }
        self.set(index, best);
        best != before
    }

    /// A card's best run under the others' present ones, and the price with it. The card is left
    /// without a run.
    fn best_run(&mut self, index: usize) -> (Option<Run>, f64) {
        self.set(index, None);
        let others = self.stock();
        let mut best = None;
        let mut best_price = f64::INFINITY;
        for first in 0..BLOCK_COUNT {
            for end in first + 1..=BLOCK_COUNT {
                let run = Run { first, end };
                if !self.fits(index, run) {
                    break;
                }
                let supply = self.supply_of(index, run);
                let mut with_run = others;
                for block in &mut with_run[first..end] {
                    block.add(supply);
                }
                let price = price_of(&with_run, self.weights);
                if price < best_price {
                    best_price = price;
                    best = Some(run);
                }
            }
        }
        (best, best_price)
    }

    fn price(&self) -> f64 {
        price_of(&self.stock(), self.weights)
    }

    /// What the present runs can serve.
    fn stock(&self) -> [Stock; BLOCK_COUNT] {
        let mut stock = [Stock::default(); BLOCK_COUNT];
        for (index, run) in self.runs.iter().enumerate() {
            if let Some(run) = run {
                let supply = self.supply_of(index, *run);
                for block in &mut stock[run.first..run.end] {
                    block.add(supply);
                }
            }
        }
        stock
    }

    fn fits(&self, index: usize, run: Run) -> bool {
        self.range_of(run).count() <= self.engine.layers_max(self.accelerators[index].kind)
    }

    fn set(&mut self, index: usize, run: Option<Run>) {
        self.runs[index] = run;
    }

    /// Tokens that a card serves with a run, discounted by the time for which its steps hold them.
    fn supply_of(&self, index: usize, run: Run) -> f64 {
        let kind = self.accelerators[index].kind;
        self.engine
            .capacity_tokens(kind, self.range_of(run).count())
    }

    fn range_of(&self, run: Run) -> LayerRange {
        LayerRange {
            first: self.boundaries[run.first],
            end: self.boundaries[run.end],
        }
    }

    /// The blocks that a range covers whole.
    fn run_of(&self, range: LayerRange) -> Option<Run> {
        let first = self.boundaries.iter().position(|at| *at >= range.first)?;
        let end = self.boundaries.iter().rposition(|at| *at <= range.end)?;
        (first < end).then_some(Run { first, end })
    }
}
