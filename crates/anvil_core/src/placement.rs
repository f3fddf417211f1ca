//! Plans which engines hold a model's layers, with enough replicas for the observed demand.
//!
//! Every plan starts from what the engines report that they hold, so that a new placer completes
//! what the previous one left unfinished. Demand is not forecast from the time of day or the date.

mod coverage;
mod demand;

use std::time::{
    Duration,
    Instant, //
};

use derive_more::Display;

use crate::{
    document::{
        Fencing,
        Holding,
        Model,
        Placement,
        Role, //
    },
    id::{
        Layer,
        LayerRange,
        ModelId,
        TargetId, //
    }, //
};

pub use demand::Demand;

use coverage::Coverage;

/// Settings for the placement of models.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of the engines' capacity in use above which a replica is added.
    pub utilisation_high: f64,
    /// Share of the engines' capacity in use below which a replica is removed. Invariant: at most
    /// half of `utilisation_high`, so that removing a replica doesn't raise the share above
    /// `utilisation_high`.
    pub utilisation_low: f64,
    /// Mean number of steps in an engine's queue from which its capacity counts as fully used.
    pub queue_high_steps: u32,
    /// Time for which the utilisation must be low before a replica is removed.
    pub cool_down: Duration,
    /// Time over which demand is smoothed.
    pub smoothing: Duration,
    /// Backlog of the weight store from which no further load is ordered, as the time that the
    /// store needs for the weights still to be delivered.
    pub load_backlog: Duration,
    /// Time after this host becomes the placer during which no unload order is sent to an engine
    /// that ignores fencing tokens. Invariant: longer than the duration of a lease and than the
    /// longest time of an order.
    pub quarantine: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            utilisation_high: 0.75,
            utilisation_low: 0.3,
            queue_high_steps: 64,
            cool_down: Duration::from_secs(180),
            smoothing: Duration::from_secs(10),
            load_backlog: Duration::from_secs(60),
            quarantine: Duration::from_secs(30),
        }
    }
}

impl Settings {
    /// Checks the invariants of the fields.
    ///
    /// # Errors
    ///
    /// Returns the rule that is broken.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.utilisation_low * 2.0 > self.utilisation_high {
            return Err("utilisation_low must be at most half of utilisation_high");
        }
        Ok(())
    }
}

/// An engine's state as the placer last read it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name of the engine's target.
    pub target: TargetId,
    /// Size of the engine's memory for weights.
    pub weight_memory_bytes: u64,
    /// Part of that memory that all models together use.
    pub used_bytes: u64,
    /// Layers of the pool's model that the engine holds or is loading by this placer's order.
    pub holds: Vec<Holding>,
    /// Whether the engine compares fencing tokens.
    pub fencing: Fencing,
    /// Whether layers may be loaded onto the engine.
    pub availability: Availability,
}

/// Whether layers may be loaded onto an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The engine answers and is not leaving.
    InService,
    /// The engine is leaving or does not answer. The layers that it holds do not count.
    OutOfService,
}

/// Input of a plan.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// Name of the model.
    pub model_id: &'a ModelId,
    /// Version and sizes of the model that is to serve.
    pub model: &'a Model,
    /// Bounds on the number of replicas.
    pub bounds: &'a Placement,
    /// Engines of the pool, in service or not.
    pub engines: &'a [Engine],
    /// Rate at which the weight store delivers weights.
    pub store_rate_bytes_per_s: u64,
    /// Size of the weights that the weight store has still to deliver.
    pub store_pending_bytes: u64,
    /// When this host acquired the placer's lease.
    pub leader_since: Instant,
}

/// An order that a plan calls for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Engine that receives the order.
    pub target: TargetId,
    /// Load or unload to be carried out.
    pub action: Action,
    /// Why the order is sent.
    pub reason: Reason,
}

/// Action that an engine is ordered to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load a range of layers and hold it.
    Load {
        /// Layers to load, with their version and role.
        holding: Holding,
        /// Size of the layers' weights.
        weight_bytes: u64,
    },
    /// Unload a range of layers.
    Unload {
        /// Layers to unload, with their version and role.
        holding: Holding,
    },
}

/// Why an order is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// A layer has fewer replicas than `replicas_min`.
    BelowMinimum,
    /// The observed demand requires more replicas.
    DemandHigh,
    /// The demand has required fewer replicas for the whole cool-down.
    DemandLow,
    /// The version no longer serves requests.
    OldVersion,
}

/// Plans the placement of one pool, which is the set of engines for one model.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    demand: Demand,
}

impl Planner {
    /// Creates a planner that has observed no demand.
    pub fn new(settings: Settings) -> Self {
        Self {
            demand: Demand::new(&settings),
            settings,
        }
    }

    /// Returns the demand, so that load reports can be added to it.
    pub fn demand_mut(&mut self) -> &mut Demand {
        &mut self.demand
    }

    /// Returns the orders to send now: at most one load and one unload, so that the effect of each
    /// is observed before the next.
    pub fn plan(&mut self, view: &View<'_>, now: Instant) -> Vec<Decision> {
        let coverage = Coverage::of(view);
        let replicas = coverage.min_replicas();
        let required = self.demand.required_replicas(replicas, now);
        let desired_replicas = required.clamp(view.bounds.replicas_min, view.bounds.replicas_max);
        let load = self.plan_load(view, &coverage, desired_replicas);
        let unload = self.plan_unload(view, &coverage, desired_replicas, now);
        assert!(
            unload
                .as_ref()
                .is_none_or(|unload| coverage.allows(view, unload)),
            "planned unload would leave a layer with fewer than replicas_min replicas"
        );
        load.into_iter().chain(unload).collect()
    }

    fn plan_load(
        &self,
        view: &View<'_>,
        coverage: &Coverage,
        desired_replicas: u32,
    ) -> Option<Decision> {
        if !self.store_accepts_load(view) {
            return None;
        }
        let missing_layers = coverage.first_range_below(desired_replicas)?;
        let reason = if coverage.min_replicas() < view.bounds.replicas_min {
            Reason::BelowMinimum
        } else {
            Reason::DemandHigh
        };
        let (engine, layers) = view
            .engines
            .iter()
            .filter(|engine| engine.availability == Availability::InService)
            .filter_map(|engine| Some((engine, loadable_layers(view, engine, missing_layers)?)))
            .max_by_key(|(engine, layers)| (layers.count(), free_bytes(engine)))?;
        Some(Decision {
            target: engine.target.clone(),
            action: Action::Load {
                holding: Holding {
                    model: view.model_id.clone(),
                    version: view.model.version.clone(),
                    layers,
                    role: Role::Both,
                },
                weight_bytes: weight_bytes(view, layers),
            },
            reason,
        })
    }

    fn store_accepts_load(&self, view: &View<'_>) -> bool {
        let backlog_s = self.settings.load_backlog.as_secs();
        let limit_bytes = view.store_rate_bytes_per_s.saturating_mul(backlog_s);
        view.store_pending_bytes < limit_bytes
    }

    fn plan_unload(
        &self,
        view: &View<'_>,
        coverage: &Coverage,
        desired_replicas: u32,
        now: Instant,
    ) -> Option<Decision> {
        view.engines
            .iter()
            .filter(|engine| self.may_unload(view, engine, now))
            .flat_map(|engine| engine.holds.iter().map(move |holding| (engine, holding)))
            .find_map(|(engine, holding)| {
                let is_old = holding.version != view.model.version;
                let has_surplus = coverage.min_replicas_in(holding.layers) > desired_replicas;
                let reason = match (is_old, has_surplus) {
                    (true, _) if coverage.min_replicas() >= view.bounds.replicas_min.max(1) => {
                        Reason::OldVersion
                    }
                    (false, true) if self.demand.is_cooled_down(now) => Reason::DemandLow,
                    (true | false, _) => return None,
                };
                Some(Decision {
                    target: engine.target.clone(),
                    action: Action::Unload {
                        holding: holding.clone(),
                    },
                    reason,
                })
            })
    }

    fn may_unload(&self, view: &View<'_>, engine: &Engine, now: Instant) -> bool {
        let leader_for = now.saturating_duration_since(view.leader_since);
        engine.availability == Availability::InService
            && match engine.fencing {
                Fencing::Checked => true,
                Fencing::Ignored => leader_for >= self.settings.quarantine,
            }
    }
}

fn free_bytes(engine: &Engine) -> u64 {
    engine.weight_memory_bytes.saturating_sub(engine.used_bytes)
}

fn weight_bytes(view: &View<'_>, layers: LayerRange) -> u64 {
    u64::from(layers.count()).saturating_mul(view.model.weight_bytes_per_layer)
}

/// Returns as many of the missing layers as fit into the engine's free memory, or `None` if none
/// fits or the engine already holds some of them.
fn loadable_layers(
    view: &View<'_>,
    engine: &Engine,
    missing_layers: LayerRange,
) -> Option<LayerRange> {
    let bytes_per_layer = view.model.weight_bytes_per_layer.max(1);
    let free_layers = Layer::try_from(free_bytes(engine) / bytes_per_layer).unwrap_or(Layer::MAX);
    let overlaps = engine.holds.iter().any(|holding| {
        holding.version == view.model.version
            && holding.layers.first < missing_layers.end
            && missing_layers.first < holding.layers.end
    });
    if overlaps {
        return None;
    }
    LayerRange::new(
        missing_layers.first,
        missing_layers
            .end
            .min(missing_layers.first.saturating_add(free_layers)),
    )
}

#[cfg(test)]
mod tests;
