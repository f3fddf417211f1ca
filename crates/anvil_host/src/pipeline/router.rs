//! Chooses targets for a whole sequence or for a range of its layers.

use std::{
    fmt::Write,
    sync::Arc,
    time::Instant, //
};

use anvil_core::{
    health::Permit,
    id::{
        Attempt,
        LayerRange,
        TargetId, //
    },
    route::{
        Availability,
        Choice,
        Demand,
        Hop,
        Phase, //
    },
};
use smol_str::{
    SmolStr,
    SmolStrBuilder, //
};

use super::{
    sequence::Sequence,
    stage::{
        Probe,
        Stage, //
    },
};
use crate::targets::ModelView;

/// Number of choices to try. A choice is discarded if other requests took the probes of one of its
/// targets first.
const CHOICES_MAX: usize = 3;

/// Targets chosen for a range of layers.
#[derive(Debug)]
pub(super) struct Route {
    model: Arc<ModelView>,
    choice: Choice,
    probes: Vec<Option<Probe>>,
}

impl Route {
    /// Returns the hops in layer order.
    pub fn hops(&self) -> &[Hop] {
        &self.choice.path.hops
    }

    /// Returns the target of each hop, in layer order.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        let nodes = &self.model.graph.nodes;
        self.hops().iter().map(|hop| &nodes[hop.node].target)
    }

    /// Returns the time, in nanoseconds, of one step of `token_count` tokens over the whole route
    /// if its targets are idle.
    pub fn unloaded_ns(&self, token_count: u32) -> f64 {
        self.hops()
            .iter()
            .map(|hop| {
                self.model.graph.nodes[hop.node].unloaded_step_ns(hop.layers.count(), token_count)
            })
            .sum()
    }

    /// Returns the predicted cost, in nanoseconds, under the loads that the route was chosen by.
    pub fn cost_ns(&self) -> f64 {
        self.choice.path.cost_ns
    }

    /// Returns the time, in nanoseconds, that `bytes` take on the slowest link of the route.
    pub fn transfer_ns(&self, bytes: f64) -> f64 {
        let activation_bytes =
            2.0 * f64::from(self.model.model.activation_bytes_per_token).max(1.0);
        self.hops()
            .iter()
            .map(|hop| {
                let node = &self.model.graph.nodes[hop.node];
                node.round_trip_ns + bytes / activation_bytes * node.transfer_ns_per_token
            })
            .fold(0.0, f64::max)
    }

    /// Returns the route as text, such as `a[0..8] b[8..16]`.
    pub fn label(&self) -> SmolStr {
        label(&self.model, self.hops())
    }

    /// Returns the second-best route as text, or `None` if there is none.
    pub fn runner_up(&self) -> Option<SmolStr> {
        let runner_up = self.choice.runner_up.as_ref()?;
        Some(label(&self.model, &runner_up.hops))
    }

    /// Opens the stages of the route under `attempt`.
    pub fn open(self, attempt: Attempt) -> Vec<Stage> {
        let Self {
            model,
            choice,
            probes,
        } = self;
        choice
            .path
            .hops
            .iter()
            .zip(probes)
            .map(|(hop, probe)| {
                let target = &model.targets[hop.node];
                let node = &model.graph.nodes[hop.node];
                Stage::open(target, node, hop.layers, attempt, probe)
            })
            .collect()
    }
}

fn label(model: &ModelView, hops: &[Hop]) -> SmolStr {
    let mut text = SmolStrBuilder::new();
    for (index, hop) in hops.iter().enumerate() {
        let separator = if index == 0 { "" } else { " " };
        let target = &model.graph.nodes[hop.node].target;
        // Writing to a string builder can't fail.
        let _written = write!(text, "{separator}{target}[{}]", hop.layers);
    }
    text.finish()
}

impl Sequence<'_> {
    /// Chooses a route for `layers` that avoids the targets in `avoid` where another route exists.
    /// Returns `None` if there is no route or if the model's version has changed.
    pub(super) fn route(
        &self,
        layers: LayerRange,
        phase: Phase,
        prompt_tokens: u32,
        avoid: AvoidedTargets<'_>,
    ) -> Option<Route> {
        let table = &self.shared.targets;
        let model = Arc::clone(table.view().models.get(&self.job.model)?);
        if model.model.version != self.model.version {
            return None;
        }
        let urgency = match phase {
            Phase::Prompt => 1.0,
            Phase::Answer => table.settings.recovery.urgency,
        };
        let demand = Demand {
            layers,
            prompt_tokens,
            answer_tokens: self.tokens_left(),
            urgency,
            phase,
        };
        let now = Instant::now();
        let health = &table.settings.health;
        let mut loads = model.loads(&self.block_hashes, health, now);
        for (load, node) in loads.iter_mut().zip(&model.graph.nodes) {
            match avoid.availability(&node.target) {
                Availability::Open => {}
                Availability::LastResort if load.availability == Availability::Closed => {}
                restricted => load.availability = restricted,
            }
        }
        for _ in 0..CHOICES_MAX {
            let choice = table.choose(&model.graph, &loads, &demand)?;
            match self.take_probes(&model, &choice, now) {
                Ok(probes) => {
                    return Some(Route {
                        model,
                        choice,
                        probes,
                    });
                }
                Err(node) => loads[node].availability = Availability::LastResort,
            }
        }
        None
    }

    /// Takes a probe of each ejected target of the route. The error is the node of a target whose
    /// probes are all taken.
    fn take_probes(
        &self,
        model: &ModelView,
        choice: &Choice,
        now: Instant,
    ) -> Result<Vec<Option<Probe>>, usize> {
        let settings = &self.shared.targets.settings.health;
        let take = |hop: &Hop| {
            let target = &model.targets[hop.node];
            if target.breaker.permit(now, settings) != Permit::Probe {
                return Ok(None);
            }
            match target.breaker.try_probe(settings) {
                true => Ok(Some(Probe::new(target))),
                false => Err(hop.node),
            }
        };
        choice.path.hops.iter().map(take).collect()
    }
}

/// Targets that a choice avoids.
#[derive(Clone, Copy, Debug)]
pub(super) struct AvoidedTargets<'a> {
    /// Targets that are used only if no other route exists.
    pub last_resort: &'a [TargetId],
    /// Target that is never used.
    pub excluded: Option<&'a TargetId>,
}

impl AvoidedTargets<'_> {
    fn availability(&self, target: &TargetId) -> Availability {
        if self.excluded == Some(target) {
            return Availability::Closed;
        }
        match self.last_resort.contains(target) {
            true => Availability::LastResort,
            false => Availability::Open,
        }
    }
}
