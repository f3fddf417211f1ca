//! Engines in memory that take orders, and a weight store without a queue.

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

const LAYERS: u16 = 8;

/// A model of 8 layers, and 2 engines that can each hold it whole.
pub fn document(fencing: Fencing) -> Document {
    let mut document = Document::default();
    document.models.insert(
        "m".into(),
        Arc::new(Model {
            version: "1".into(),
            layer_count: LAYERS,
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
    held_orders: usize,
    refused_orders: usize,
    fewest_since_full: Option<usize>,
}

/// Engines in memory.
pub struct FakeEngines {
    fencing: BTreeMap<TargetId, Fencing>,
    state: Arc<Mutex<State>>,
    held: watch::Sender<bool>,
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
            held: watch::Sender::new(false),
        }
    }

    /// Engines that hold the layer held by the fewest.
    pub fn coverage(&self) -> usize {
        self.state.lock().unwrap().coverage()
    }

    /// The least coverage since it was first 2.
    pub fn min_coverage_since_full(&self) -> usize {
        self.state.lock().unwrap().fewest_since_full.unwrap()
    }

    pub fn hold_orders(&self) {
        self.held.send_replace(true);
    }

    pub fn release_orders(&self) {
        self.held.send_replace(false);
    }

    pub fn orders(&self) -> usize {
        self.state.lock().unwrap().orders
    }

    pub fn held_orders(&self) -> usize {
        self.state.lock().unwrap().held_orders
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
                    .any(|held| held.layers.first <= layer && layer < held.layers.end)
            })
            .count()
        };
        (0..LAYERS).map(holders).min().unwrap()
    }

    fn take(&mut self, fencing: Fencing, target: &TargetId, order: Order) -> Result<(), CallError> {
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
            OrderAction::Unload { layers, .. } => holds.retain(|held| held.layers != layers),
        }
        let coverage = self.coverage();
        match &mut self.fewest_since_full {
            Some(fewest) => *fewest = coverage.min(*fewest),
            None if coverage == 2 => self.fewest_since_full = Some(2),
            None => {}
        }
        Ok(())
    }
}

fn not_faked<T: Send + 'static>() -> BoxFuture<'static, Result<T, CallError>> {
    futures::future::ready(Err(error(CallErrorKind::Refused, "not faked"))).boxed()
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
        not_faked()
    }
    fn import_kv<'a>(
        &'a self,
        _target: &'a TargetAddress,
        _name: KvName,
        _export: KvExport,
    ) -> BoxFuture<'a, Result<(), CallError>> {
        not_faked()
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
        not_faked()
    }
    fn order<'a>(
        &'a self,
        target: &'a TargetAddress,
        order: Order,
    ) -> BoxFuture<'a, Result<(), CallError>> {
        let state = Arc::clone(&self.state);
        let fencing = self.fencing[&target.id];
        let target = target.id.clone();
        let mut held = self.held.subscribe();
        // Once sent, an order reaches its target whatever becomes of the sender.
        let sent = tokio::spawn(async move {
            state.lock().unwrap().orders += 1;
            if *held.borrow() {
                state.lock().unwrap().held_orders += 1;
                let _released = held.wait_for(|held| !*held).await;
            }
            state.lock().unwrap().take(fencing, &target, order)
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
