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

/// Everything that a route is chosen from. It changes with configuration and holdings alone.
#[derive(Debug, Default)]
pub struct TargetView {
    /// Engines by name.
    pub targets: HashMap<TargetId, Arc<Target>>,
    /// Models by name.
    pub models: HashMap<ModelId, Arc<ModelView>>,
}

/// One model and the engines that hold it.
#[derive(Debug)]
pub struct ModelView {
    /// The model.
    pub model: Arc<Model>,
    /// The graph over its holdings.
    pub graph: Graph,
    /// For each node of the graph, its target.
    pub targets: Vec<Arc<Target>>,
}

impl TargetView {
    /// Makes the view of a configuration over `targets`.
    ///
    /// What an engine reported to hold goes before what the configuration states.
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
        for (id, stated) in &document.targets {
            let (TargetKind::Engine(engine), Some(target)) = (&stated.kind, targets.get(id)) else {
                continue;
            };
            let holds = target
                .reported_holdings()
                .unwrap_or_else(|| engine.holds.clone());
            for held in holds {
                let is_served = held.model == *model_id && held.version == model.version;
                if is_served && held.layers.end <= model.layer_count {
                    nodes.push(Node::new(id, engine, model, held.layers, held.role));
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

    /// What is known of each node's load now.
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
