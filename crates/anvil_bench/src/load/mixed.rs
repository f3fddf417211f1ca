//! Fleet of engines with four kinds of accelerators, link delays that differ by a factor of 100,
//! and layer ranges whose boundaries do not align.

use anvil_core::{
    document::Model,
    id::LayerRange,
    route::{
        self,
        Graph,
        Node,
        Policy,
        bound_tokens_per_s, //
    },
};
use anvil_fleet::{
    Builder,
    builder::{
        LAYER_COUNT,
        MODEL,
        MODEL_VERSION, //
    },
    engine::Spec,
};
use smol_str::format_smolstr;

/// Time per layer and token relative to the fastest accelerator, by kind of accelerator.
const LAYER_TIME_FACTORS: [u64; 4] = [1, 2, 4, 8];
/// One-way delay of each link. The longest is 100 times the shortest.
const LINK_DELAYS_US: [u64; 4] = [50, 200, 1_000, 5_000];
/// First layer and exclusive end of the range that each engine holds. The kind of accelerator
/// cycles with the index.
const LAYER_RANGES: [(u16, u16); 16] = [
    (0, 9),
    (0, 5),
    (0, 7),
    (0, 4),
    (7, 16),
    (4, 12),
    (5, 11),
    (3, 8),
    (14, 24),
    (10, 18),
    (9, 17),
    (8, 13),
    (15, 24),
    (17, 24),
    (12, 20),
    (18, 24),
];
/// Maximum number of steps in one batch.
const BATCH_LIMIT_STEPS: u32 = 16;

/// Specifications of the engines of a fleet with mixed accelerators.
pub struct MixedFleet {
    engines: Vec<Spec>,
}

impl MixedFleet {
    /// Creates engines in three data centres, of which any two hold the whole model.
    pub fn new(fastest_layer_time_ns: u64) -> Self {
        let data_centres = Builder::default().data_centres;
        let engines = LAYER_RANGES
            .iter()
            .enumerate()
            .map(|(index, &(first, end))| {
                let kind = index % LAYER_TIME_FACTORS.len();
                let link = (index / LAYER_TIME_FACTORS.len() + index) % LINK_DELAYS_US.len();
                let data_centre = data_centres[index % data_centres.len()].clone();
                let spec = Spec::new(format_smolstr!("engine-{index}"), data_centre);
                let layers = LayerRange { first, end };
                spec.holding(MODEL, MODEL_VERSION, layers).with(|engine| {
                    engine.accelerator = format_smolstr!("kind-{kind}");
                    engine.layer_time_ns = fastest_layer_time_ns * LAYER_TIME_FACTORS[kind];
                    engine.link_delay_us = LINK_DELAYS_US[link];
                    engine.batch_time_us = 1_000;
                })
            });
        Self {
            engines: engines.collect(),
        }
    }

    /// Returns a builder for these engines and `host_count` hosts that route by `policy`.
    pub fn builder(&self, host_count: usize, policy: Policy) -> Builder {
        let mut builder = Builder {
            engines: self.engines.clone(),
            ..Builder::default()
        };
        builder.engine_standin.batch_limit_steps = BATCH_LIMIT_STEPS as usize;
        builder.hosts(host_count).settings(move |settings| {
            settings.targets.route = route::Settings {
                policy,
                ..route::Settings::default()
            };
        })
    }

    /// Returns the upper bound on the tokens per second that the engines and links allow.
    pub fn bound_tokens_per_s(&self, model: &Model) -> f64 {
        bound_tokens_per_s(&self.graph(model), BATCH_LIMIT_STEPS)
    }

    /// Returns the graph of layer ranges from which routing chooses.
    pub fn graph(&self, model: &Model) -> Graph {
        let nodes = self.engines.iter().flat_map(|spec| {
            let engine = &spec.properties;
            let node = |held: &anvil_core::document::Holding| {
                Node::new(&spec.id, engine, model, held.layers, held.role)
            };
            engine.holds.iter().map(node).collect::<Vec<_>>()
        });
        Graph::new(LAYER_COUNT, nodes)
    }
}
