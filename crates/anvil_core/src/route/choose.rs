//! Computes shortest routes under randomly perturbed prices and keeps the one that is cheapest
//! under the unperturbed prices.

use rand::{
    Rng,
    RngExt, //
};

use super::{
    Settings,
    cost::{
        Demand,
        Load,
        Price,
        prices, //
    },
    graph::Graph,
    path::{
        Path,
        cost_ns,
        shortest, //
    },
};

/// A chosen route and the next-best candidate.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The chosen route, with its unperturbed cost.
    pub path: Path,
    /// The second-cheapest candidate; `None` if all samples gave the same route.
    pub runner_up: Option<Path>,
}

/// Chooses a route for `demand`. Returns `None` if the available nodes do not hold every layer.
///
/// Hosts that see the same stale loads draw different perturbations. They therefore spread over
/// routes of nearly equal price instead of all choosing the cheapest one.
pub fn choose(
    graph: &Graph,
    loads: &[Load],
    demand: &Demand,
    settings: &Settings,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let unperturbed_prices = prices(graph, loads, demand, settings.congestion_weight);
    let mut candidates: Vec<Path> = Vec::with_capacity(settings.samples);
    for _ in 0..settings.samples.max(1) {
        let perturbed = perturb(&unperturbed_prices, settings.perturbation, rng);
        let mut path = shortest(graph, &perturbed, demand.layers)?;
        path.cost_ns = cost_ns(&path.hops, &unperturbed_prices);
        if candidates.iter().all(|other| other.hops != path.hops) {
            candidates.push(path);
        }
    }
    candidates.sort_by(|a, b| a.cost_ns.total_cmp(&b.cost_ns));
    let mut candidates = candidates.into_iter();
    Some(Choice {
        path: candidates.next()?,
        runner_up: candidates.next(),
    })
}

/// Multiplies each price by a random factor within `perturbation` of 1.
fn perturb(prices: &[Price], perturbation: f64, rng: &mut impl Rng) -> Vec<Price> {
    if perturbation <= 0.0 {
        return prices.to_vec();
    }
    prices
        .iter()
        .map(|price| price.scaled(1.0 + rng.random_range(-perturbation..perturbation)))
        .collect()
}
