//! Snapshot of the targets and of one graph per model.

use std::{
    collections::HashMap,
    sync::Arc,
    time::Instant, //
};

use anvil_core::{
    document::{
        Document,
        Model,
        TargetKind, //
    },
    health::{
        self,
        Permit, //
    },
    id::{
        ModelId,
        TargetId, //
    },
    route::{
        Availability,
        Graph,
        Load,
        Node, //
    },
};

use super::{
    Leaving,
    Target, //
};

/// Targets and graphs that routes are chosen from. Rebuilt only when the configuration, the other
/// hosts or the engines' holdings change.
#[derive(Debug, Default)]
pub struct TargetView {
    /// Engines of this host's subset, by identifier.
    pub targets: HashMap<TargetId, Arc<Target>>,
    /// Models of the configuration, by identifier.
    pub models: HashMap<ModelId, Arc<ModelView>>,
}

/// One model and the engines that hold layers of it.
#[derive(Debug)]
pub struct ModelView {
    /// Properties of the model, from the configuration.
    pub model: Arc<Model>,
    /// Graph over the layer ranges that the engines hold.
    pub graph: Graph,
    /// Target of each node, in the order of the graph's nodes.
    pub targets: Vec<Arc<Target>>,
}

impl TargetView {
    /// Creates the view of a configuration over `targets`.
    ///
    /// The holdings that an engine reported take precedence over those in the configuration.
    pub fn new(document: &Document, targets: HashMap<TargetId, Arc<Target>>) -> Self {
        let models = document.models.iter().map(|(id, model)| {
            let view = ModelView::new(document, &targets, id, model);
            (id.clone(), Arc::new(view))
        });
        Self {
            models: models.collect(),
            targets,
        }
    }
}

impl ModelView {
    fn new(
        document: &Document,
        targets: &HashMap<TargetId, Arc<Target>>,
        model_id: &ModelId,
        model: &Arc<Model>,
    ) -> Self {
        let mut nodes = Vec::new();
        let mut node_targets = Vec::new();
        for (id, configured) in &document.targets {
            let (TargetKind::Engine(engine), Some(target)) = (&configured.kind, targets.get(id))
            else {
                continue;
            };
            let holds = target
                .reported_holdings()
                .unwrap_or_else(|| engine.holds.clone());
            for holding in holds {
                let is_served = holding.model == *model_id && holding.version == model.version;
                if is_served && holding.layers.end <= model.layer_count {
                    nodes.push(Node::new(id, engine, model, holding.layers, holding.role));
                    node_targets.push(Arc::clone(target));
                }
            }
        }
        Self {
            model: Arc::clone(model),
            graph: Graph::new(model.layer_count, nodes),
            targets: node_targets,
        }
    }

    /// Returns the current load of each node, in the order of the graph's nodes.
    pub fn loads(
        &self,
        block_hashes: &[u64],
        settings: &health::Settings,
        now: Instant,
    ) -> Vec<Load> {
        let permits: Vec<Permit> = self
            .targets
            .iter()
            .map(|target| target.breaker.permit(now, settings))
            .collect();
        let availabilities = health::availabilities(&permits, settings);
        self.targets
            .iter()
            .zip(&self.graph.nodes)
            .zip(availabilities)
            .map(|((target, node), availability)| Load {
                resident_ns: target.resident_ns(node),
                backlog_ns: target.backlog_ns(node),
                reported_queue_steps: target.reported_queue_steps(),
                slowdown: target.step_time.slowdown(now),
                cached_tokens: target.cache.cached_tokens(block_hashes),
                availability: match target.leaving() {
                    Leaving::Yes => Availability::Closed,
                    Leaving::No => availability,
                },
            })
            .collect()
    }
}
