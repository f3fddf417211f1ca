//! In-memory engines that accept orders, and a weight store without a queue.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use anvil_core::{
    document::{
        Document,
        Engine as Properties,
        Fencing,
        Holding,
        Model,
        Placement,
        Target,
        TargetKind, //
    },
    id::{
        FencingToken,
        RequestId,
        TargetId, //
    },
    step, //
};
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use tokio::sync::watch;

use crate::{
    fakes::error,
    port::{
        self,
        CacheEvent,
        CallError,
        CallErrorKind,
        KvExport,
        KvName,
        LoadReport,
        Order,
        OrderAction,
        TargetAddress,
        WeightStoreState, //
    }, //
};

const LAYER_COUNT: u16 = 8;

/// Returns a configuration with a model of 8 layers and 2 engines that can each hold all of them.
pub fn document(fencing: Fencing) -> Document {
    let mut document = Document::default();
    document.models.insert(
        "m".into(),
        Arc::new(Model {
            version: "1".into(),
            layer_count: LAYER_COUNT,
            activation_bytes_per_token: 1,
            kv_bytes_per_token_layer: 1,
            weight_bytes_per_layer: 10,
            context_limit_tokens: 100,
        }),
    );
    for name in ["x", "y"] {
        document.targets.insert(
            name.into(),
            Arc::new(Target {
                address: "127.0.0.1:1".parse().unwrap(),
                data_centre: "dc".into(),
                kind: TargetKind::Engine(Properties {
                    accelerator: "k".into(),
                    layer_time_ns: 1000,
                    batch_time_us: 1,
                    link_delay_us: 1,
                    link_bandwidth_bytes_per_s: 1,
                    weight_memory_bytes: 100,
                    fencing,
                    holds: Vec::new(),
                }),
            }),
        );
    }
    document.placements.insert(
        "m".into(),
        Arc::new(Placement {
            replicas_min: 2,
            replicas_max: 2,
        }),
    );
    document
}

#[derive(Default)]
struct State {
    holds: BTreeMap<TargetId, Vec<Holding>>,
    tokens: BTreeMap<TargetId, FencingToken>,
    orders: usize,
    paused_orders: usize,
    refused_orders: usize,
    min_coverage_since_full: Option<usize>,
}

/// In-memory engines, and a weight store.
pub struct FakeEngines {
    fencing: BTreeMap<TargetId, Fencing>,
    state: Arc<Mutex<State>>,
    paused: watch::Sender<bool>,
}

impl FakeEngines {
    pub fn new(document: &Document) -> Self {
        let fencing = document
            .targets
            .iter()
            .filter_map(|(id, target)| match &target.kind {
                TargetKind::Engine(engine) => Some((id.clone(), engine.fencing)),
                TargetKind::Service { .. } => None,
            })
            .collect();
        Self {
            fencing,
            state: Arc::default(),
            paused: watch::Sender::new(false),
        }
    }

    /// Returns the number of engines that hold the layer that is held by the fewest engines.
    pub fn coverage(&self) -> usize {
        self.state.lock().unwrap().coverage()
    }

    /// Returns the lowest coverage since it first was 2.
    pub fn min_coverage_since_full(&self) -> usize {
        self.state.lock().unwrap().min_coverage_since_full.unwrap()
    }

    pub fn pause_orders(&self) {
        self.paused.send_replace(true);
    }

    pub fn resume_orders(&self) {
        self.paused.send_replace(false);
    }

    pub fn orders(&self) -> usize {
        self.state.lock().unwrap().orders
    }

    pub fn paused_orders(&self) -> usize {
        self.state.lock().unwrap().paused_orders
    }

    pub fn refused_orders(&self) -> usize {
        self.state.lock().unwrap().refused_orders
    }
}

impl State {
    fn coverage(&self) -> usize {
        let holders = |layer: u16| {
            let all = self.holds.values();
            all.filter(|holds| {
                holds
                    .iter()
                    .any(|holding| holding.layers.first <= layer && layer < holding.layers.end)
            })
            .count()
        };
        (0..LAYER_COUNT).map(holders).min().unwrap()
    }

    fn apply_order(
        &mut self,
        fencing: Fencing,
        target: &TargetId,
        order: Order,
    ) -> Result<(), CallError> {
        let token = self.tokens.entry(target.clone()).or_default();
        if fencing == Fencing::Checked && order.fencing_token < *token {
            self.refused_orders += 1;
            return Err(error(CallErrorKind::Refused, "old fencing token"));
        }
        *token = order.fencing_token.max(*token);
        let holds = self.holds.entry(target.clone()).or_default();
        match order.action {
            OrderAction::Load {
                model,
                version,
                layers,
                role,
                ..
            } => {
                let holding = Holding {
                    model,
                    version,
                    layers,
                    role,
                };
                if !holds.contains(&holding) {
                    holds.push(holding);
                }
            }
            OrderAction::Unload { layers, .. } => holds.retain(|holding| holding.layers != layers),
        }
        let coverage = self.coverage();
        match &mut self.min_coverage_since_full {
            Some(min_coverage) => *min_coverage = coverage.min(*min_coverage),
            None if coverage == 2 => self.min_coverage_since_full = Some(2),
            None => {}
        }
        Ok(())
    }
}

fn unsupported<T: Send + 'static>() -> BoxFuture<'static, Result<T, CallError>> {
    futures::future::ready(Err(error(
        CallErrorKind::Refused,
        "not supported by the fake engines",
    )))
    .boxed()
}

impl port::Engine for FakeEngines {
    fn step<'a>(
        &'a self,
        target: &'a TargetAddress,
        step: step::Step,
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<step::Answer, step::Failure>> {
        let target = target.id.clone();
        futures::future::ready(Err(step::Failure::Timeout {
            name: step.name,
            target,
        }))
        .boxed()
    }
    fn reconnect(&self, _target: &TargetAddress) {}
    fn cancel(&self, _target: &TargetAddress, _request: RequestId, _attempt: u32) {}
    fn export_kv<'a>(
        &'a self,
        _target: &'a TargetAddress,
        _name: KvName,
    ) -> BoxFuture<'a, Result<KvExport, CallError>> {
        unsupported()
    }
    fn import_kv<'a>(
        &'a self,
        _target: &'a TargetAddress,
        _name: KvName,
        _export: KvExport,
    ) -> BoxFuture<'a, Result<(), CallError>> {
        unsupported()
    }
    fn load_report<'a>(
        &'a self,
        target: &'a TargetAddress,
    ) -> BoxFuture<'a, Result<LoadReport, CallError>> {
        let state = self.state.lock().unwrap();
        let report = LoadReport {
            age: Duration::ZERO,
            queue_depth_steps: 0,
            open_sequences: 0,
            rate_token_layers_per_s: 0,
            holds: state.holds.get(&target.id).cloned().unwrap_or_default(),
            leaving: false,
            fencing_token: 0,
        };
        futures::future::ready(Ok(report)).boxed()
    }
    fn cache_events<'a>(
        &'a self,
        _target: &'a TargetAddress,
        _after: u64,
    ) -> BoxFuture<'a, Result<Vec<CacheEvent>, CallError>> {
        unsupported()
    }
    fn order<'a>(
        &'a self,
        target: &'a TargetAddress,
        order: Order,
    ) -> BoxFuture<'a, Result<(), CallError>> {
        let state = Arc::clone(&self.state);
        let fencing = self.fencing[&target.id];
        let target = target.id.clone();
        let mut paused = self.paused.subscribe();
        // An order that was sent reaches its target even if the sender stops waiting.
        let sent = tokio::spawn(async move {
            state.lock().unwrap().orders += 1;
            if *paused.borrow() {
                state.lock().unwrap().paused_orders += 1;
                let _resumed = paused.wait_for(|paused| !*paused).await;
            }
            state.lock().unwrap().apply_order(fencing, &target, order)
        });
        async move { sent.await.unwrap() }.boxed()
    }
}

impl port::WeightStore for FakeEngines {
    fn state(&self) -> BoxFuture<'_, Result<WeightStoreState, CallError>> {
        let state = WeightStoreState {
            rate_bytes_per_s: 1000,
            pending_bytes: 0,
        };
        futures::future::ready(Ok(state)).boxed()
    }
}
