//! Chooses the route of a request: the targets that together run all layers of its model.
//!
//! A [`Graph`] holds the configured properties of a model's engines, which change rarely. A
//! [`Load`] per node holds what changes from request to request. [`choose`] prices each node
//! for a [`Demand`], computes a few shortest routes under randomly perturbed prices and keeps the
//! route that is cheapest under the unperturbed prices.

mod baseline;
mod bound;
mod choose;
mod cost;
pub mod crossing;
pub mod displaced;
pub mod engine_driven;
mod graph;
mod path;
mod resident_load;

pub use baseline::{
    random_of_two,
    round_robin, //
};
pub use bound::bound_tokens_per_s;
pub use choose::{
    Choice,
    choose, //
};
pub use cost::{
    Availability,
    Demand,
    Load,
    Phase, //
};
pub use graph::{
    Graph,
    Node, //
};
pub use path::{
    Hop,
    Path, //
};
pub use resident_load::{
    OwnLoad,
    ReportedLoad,
    estimate_resident_ns, //
};

/// Criterion by which routes are chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// The route with the lowest predicted cost.
    #[default]
    Predicted,
    /// Each node in turn. Serves as a baseline for measurements.
    RoundRobin,
    /// Of two randomly drawn nodes, the one that reported the shorter queue. Serves as a baseline
    /// for measurements.
    RandomOfTwo,
}

/// Settings of the choice of routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Criterion by which routes are chosen.
    pub policy: Policy,
    /// Number of shortest routes computed under perturbed prices for one choice. Invariant: above
    /// 0.
    pub samples: usize,
    /// Largest relative perturbation of a node's price. Invariant: in `0.0..1.0`; 0 disables it.
    pub perturbation: f64,
    /// Number of answer tokens expected of a request that states no limit.
    pub expected_answer_tokens: u32,
    /// Weight of the delay that a sequence causes to others, relative to its own time.
    pub congestion_weight: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            samples: 4,
            perturbation: 0.05,
            expected_answer_tokens: 128,
            congestion_weight: 1.0,
        }
    }
}

#[cfg(test)]
mod tests;
