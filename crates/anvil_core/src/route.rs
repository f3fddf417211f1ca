//! Chooses the targets that tile a model's layers for one request.
//!
//! A [`Graph`] holds what configuration states of a model's engines and changes seldom. A
//! [`Load`] per node holds what changes from request to request. [`choose`] prices each node
//! for a [`Demand`], draws a few shortest paths under perturbed prices and keeps the cheapest
//! under the true ones.

mod baseline;
mod bound;
mod choose;
mod cost;
pub mod crossing;
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

/// What routes are chosen by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Predicted completion.
    #[default]
    Predicted,
    /// Each node in turn. A baseline for measurements.
    RoundRobin,
    /// Of two nodes drawn at random, the one that reported the shorter queue. A baseline for
    /// measurements.
    RandomOfTwo,
}

/// How routes are chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// What routes are chosen by.
    pub policy: Policy,
    /// Paths drawn under perturbed prices for one choice. Invariant: above 0.
    pub samples: usize,
    /// Largest relative perturbation of a node's price. Invariant: in `0.0..1.0`.
    pub perturbation: f64,
    /// Answer tokens expected of a request that states no limit.
    pub expected_answer_tokens: u32,
    /// Weight of the time that a sequence costs others against its own time.
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
