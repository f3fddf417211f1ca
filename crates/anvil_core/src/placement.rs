//! Which engines shall hold a model's layers: enough replicas for the demand that is seen.
//!
//! A plan is made anew from what the engines say they hold, so that the next placer repairs what
//! the last one left half done. Nothing is forecast from a calendar.

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

/// How models are placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Share of the engines' capacity in use above which replicas are added.
    pub utilisation_high: f64,
    /// Share below which replicas are removed. Invariant: well below `utilisation_high`, so that
    /// removing one doesn't cross it.
    pub utilisation_low: f64,
    /// Mean steps in an engine's queue from which its capacity counts as used up.
    pub queue_high_steps: u32,
    /// Time for which the utilisation must be low before a replica is removed.
    pub cool_down: Duration,
    /// Time over which demand is smoothed.
    pub smoothing: Duration,
    /// Longest time that the weight store may need for what is being loaded.
    pub load_backlog: Duration,
    /// Time after taking over during which no destructive order goes to a target that ignores
    /// fencing tokens. Invariant: above the duration of a lease and the longest time of an order.
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
    /// The rule that is broken.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.utilisation_low * 2.0 > self.utilisation_high {
            return Err("utilisation_low must be at most half of utilisation_high");
        }
        Ok(())
    }
}

/// An engine, as it was read back.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its name.
    pub target: TargetId,
    /// Memory for weights.
    pub weight_memory_bytes: u64,
    /// Memory that is taken, by all models.
    pub used_bytes: u64,
    /// What it holds of the pool's model, or is loading by this placer's order.
    pub holds: Vec<Holding>,
    /// Whether it compares fencing tokens.
    pub fencing: Fencing,
    /// Whether it may be given layers.
    pub availability: Availability,
}

/// Whether an engine may be given layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It answers and stays.
    InService,
    /// It is leaving, or does not answer: what it holds does not count.
    OutOfService,
}

/// What a plan rests on.
#[derive(Clone, Debug)]
pub struct View<'a> {
    /// The model's name.
    pub model_id: &'a ModelId,
    /// The model.
    pub model: &'a Model,
    /// Its bounds.
    pub bounds: &'a Placement,
    /// The pool's engines.
    pub engines: &'a [Engine],
    /// Rate of the weight store.
    pub store_rate_bytes_per_s: u64,
    /// What it has still to deliver.
    pub store_pending_bytes: u64,
    /// When this host took the lease over.
    pub leader_since: Instant,
}

/// An order that a plan asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The engine.
    pub target: TargetId,
    /// What it shall do.
    pub action: Action,
    /// Why.
    pub reason: Reason,
}

/// What an engine shall do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hold these layers.
    Load {
        /// The layers.
        holding: Holding,
        /// Size of their weights.
        weight_bytes: u64,
    },
    /// Hold them no longer.
    Unload {
        /// The layers.
        holding: Holding,
    },
}

/// Why an order is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// Fewer replicas than the bounds ask for.
    BelowMinimum,
    /// The demand seen needs more replicas.
    DemandHigh,
    /// The demand has needed fewer replicas for the cool-down.
    DemandLow,
    /// The version serves no requests any more.
    OldVersion,
}

/// Plans one pool.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    demand: Demand,
}

impl Planner {
    /// Makes a planner that has seen no demand.
    pub fn new(settings: Settings) -> Self {
        Self {
            demand: Demand::new(&settings),
            settings,
        }
    }

    /// The demand, to be told of load reports.
    pub fn demand_mut(&mut self) -> &mut Demand {
        &mut self.demand
    }

    /// The orders to give now: at most one load and one unload, so that each is seen to work
    /// before the next.
    pub fn plan(&mut self, view: &View<'_>, now: Instant) -> Vec<Decision> {
        let coverage = Coverage::of(view);
        let replicas = coverage.fewest();
        let wanted = self.demand.wanted_replicas(replicas, now);
        let desired = wanted.clamp(view.bounds.replicas_min, view.bounds.replicas_max);
        let load = self.plan_load(view, &coverage, desired);
        let unload = self.plan_unload(view, &coverage, desired, now);
        assert!(
            unload
                .as_ref()
                .is_none_or(|unload| coverage.allows(view, unload)),
            "an unload would leave a layer below the minimum"
        );
        load.into_iter().chain(unload).collect()
    }

    fn plan_load(&self, view: &View<'_>, coverage: &Coverage, desired: u32) -> Option<Decision> {
        if !self.store_has_room(view) {
            return None;
        }
        let missing = coverage.first_below(desired)?;
        let reason = if coverage.fewest() < view.bounds.replicas_min {
            Reason::BelowMinimum
        } else {
            Reason::DemandHigh
        };
        let (engine, layers) = view
            .engines
            .iter()
            .filter(|engine| engine.availability == Availability::InService)
            .filter_map(|engine| Some((engine, fitting(view, engine, missing)?)))
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

    fn store_has_room(&self, view: &View<'_>) -> bool {
        let backlog_s = self.settings.load_backlog.as_secs();
        let limit_bytes = view.store_rate_bytes_per_s.saturating_mul(backlog_s);
        view.store_pending_bytes < limit_bytes
    }

    fn plan_unload(
        &self,
        view: &View<'_>,
        coverage: &Coverage,
        desired: u32,
        now: Instant,
    ) -> Option<Decision> {
        view.engines
            .iter()
            .filter(|engine| self.may_destroy(view, engine, now))
            .flat_map(|engine| engine.holds.iter().map(move |held| (engine, held)))
            .find_map(|(engine, held)| {
                let is_old = held.version != view.model.version;
                let surplus = coverage.fewest_of(held.layers) > desired;
                let reason = match (is_old, surplus) {
                    (true, _) if coverage.fewest() >= view.bounds.replicas_min.max(1) => {
                        Reason::OldVersion
                    }
                    (false, true) if self.demand.is_low_for_long(now) => Reason::DemandLow,
                    (true | false, _) => return None,
                };
                Some(Decision {
                    target: engine.target.clone(),
                    action: Action::Unload {
                        holding: held.clone(),
                    },
                    reason,
                })
            })
    }

    fn may_destroy(&self, view: &View<'_>, engine: &Engine, now: Instant) -> bool {
        let led_for = now.saturating_duration_since(view.leader_since);
        engine.availability == Availability::InService
            && match engine.fencing {
                Fencing::Checked => true,
                Fencing::Ignored => led_for >= self.settings.quarantine,
            }
    }
}

fn free_bytes(engine: &Engine) -> u64 {
    engine.weight_memory_bytes.saturating_sub(engine.used_bytes)
}

fn weight_bytes(view: &View<'_>, layers: LayerRange) -> u64 {
    u64::from(layers.count()).saturating_mul(view.model.weight_bytes_per_layer)
}

/// As many of the missing layers as fit an engine that holds none of them.
fn fitting(view: &View<'_>, engine: &Engine, missing: LayerRange) -> Option<LayerRange> {
    let per_layer = view.model.weight_bytes_per_layer.max(1);
    let room = Layer::try_from(free_bytes(engine) / per_layer).unwrap_or(Layer::MAX);
    let overlaps = engine.holds.iter().any(|held| {
        held.version == view.model.version
            && held.layers.first < missing.end
            && missing.first < held.layers.end
    });
    if overlaps {
        return None;
    }
    LayerRange::new(
        missing.first,
        missing.end.min(missing.first.saturating_add(room)),
    )
}

#[cfg(test)]
mod tests;
