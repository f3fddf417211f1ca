//! Runs a host's pipeline over a few engines on loopback, without listeners or a log.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use anvil_adapters::Adapters;
use anvil_core::{
    document::{
        Document,
        Engine,
        Fencing,
        Holding,
        Model,
        Role,
        Target,
        TargetKind, //
    },
    id::{
        LayerRange,
        TargetId,
        Token, //
    },
    outcome::Refused,
    recovery::RecoveryAction,
};
use anvil_host::{
    pipeline::{
        self,
        CallerDisconnected,
        Job,
        TokenSink, //
    },
    shared::{
        ConfigView,
        Shared, //
    },
    targets::{
        self,
        Table, //
    },
};
use anvil_settings::{
    Settings,
    settings::{
        Credentials,
        Listen,
        Platform, //
    },
    targets::Targets,
};
use anvil_standins::{
    engine::{
        self,
        Ledger,
        Standin, //
    },
    reference,
};
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

pub const MODEL: &str = "m";
pub const VERSION: &str = "1";
pub const LAYER_COUNT: u16 = 12;

/// An engine to start.
pub struct EngineSpec {
    pub id: &'static str,
    pub layers: (u16, u16),
    pub role: Role,
    pub data_centre: &'static str,
    pub layer_time_ns: u64,
}

/// Returns an engine that serves both prefill and decode.
pub fn spec(id: &'static str, first: u16, end: u16) -> EngineSpec {
    EngineSpec {
        id,
        layers: (first, end),
        role: Role::Both,
        data_centre: "a",
        layer_time_ns: 1_000,
    }
}

impl EngineSpec {
    /// Returns the same engine with a slower accelerator, so that it is chosen second.
    pub fn slower(self) -> Self {
        Self {
            layer_time_ns: self.layer_time_ns * 50,
            ..self
        }
    }

    /// Returns the same engine with another role.
    pub fn role(self, role: Role) -> Self {
        Self { role, ..self }
    }

    fn engine(&self) -> Engine {
        Engine {
            accelerator: "x".into(),
            layer_time_ns: self.layer_time_ns,
            batch_time_us: 300,
            link_delay_us: 50,
            link_bandwidth_bytes_per_s: 0,
            weight_memory_bytes: 1 << 30,
            fencing: Fencing::Checked,
            holds: vec![Holding {
                model: MODEL.into(),
                version: VERSION.into(),
                layers: LayerRange::new(self.layers.0, self.layers.1).unwrap(),
                role: self.role,
            }],
        }
    }
}

/// Engines, and the shared state of a host that routes to them.
pub struct Fleet {
    pub shared: Arc<Shared>,
    pub engines: HashMap<TargetId, Standin>,
    pub ledger: Arc<Ledger>,
    stop: CancellationToken,
}

impl Fleet {
    pub async fn start(specs: impl IntoIterator<Item = EngineSpec>) -> Self {
        Self::start_with(specs, Targets::default()).await
    }

    pub async fn start_with(
        specs: impl IntoIterator<Item = EngineSpec>,
        settings: Targets,
    ) -> Self {
        let ledger = Arc::new(Ledger::default());
        let mut engines = HashMap::new();
        let mut document = Document::default();
        document.models.insert(MODEL.into(), Arc::new(model()));
        for spec in specs {
            let config = engine::Config {
                engine: spec.engine(),
                layer_count: LAYER_COUNT,
                activation_bytes_per_token: 64,
                report_lag: Duration::from_millis(50),
                ledger: Arc::clone(&ledger),
                ..engine::Config::default()
            };
            let standin = Standin::start(config).await.unwrap();
            let target = Target {
                address: standin.address(),
                data_centre: spec.data_centre.into(),
                kind: TargetKind::Engine(spec.engine()),
            };
            document.targets.insert(spec.id.into(), Arc::new(target));
            engines.insert(spec.id.into(), standin);
        }
        let shared = shared(settings);
        shared.set_config(ConfigView::new(1, Arc::new(document)));
        let stop = CancellationToken::new();
        shared.targets.rebuild(
            &shared.config().document,
            &("host".into(), "muc-a".into()),
            Vec::new(),
            Instant::now(),
        );
        tokio::spawn(targets::follow(Arc::clone(&shared), stop.clone()));
        Self {
            shared,
            engines,
            ledger,
            stop,
        }
    }

    pub fn engine(&self, id: &str) -> &Standin {
        &self.engines[id]
    }

    /// Starts a request, whose tokens arrive through the channel.
    pub fn request(&self, prompt: Vec<Token>, limit_tokens: u32) -> Request {
        let (sender, tokens) = mpsc::channel(1);
        let shared = Arc::clone(&self.shared);
        let job = Job {
            request: shared.new_request_id(),
            team: "team".into(),
            model: MODEL.into(),
            prompt: prompt.clone(),
            limit_tokens,
            priority: 0,
            arrived: Instant::now(),
            deadline: Instant::now() + Duration::from_secs(30),
        };
        let task = tokio::spawn(async move {
            let mut sink = ChannelSink(sender);
            pipeline::run(&shared, &job, &mut sink).await
        });
        Request {
            expected: reference::expected_answer(
                MODEL,
                VERSION,
                LAYER_COUNT,
                &prompt,
                limit_tokens as usize,
            ),
            received: Vec::new(),
            tokens,
            task,
        }
    }

    /// Returns the number of recoveries by `action` so far.
    pub fn recoveries(&self, action: RecoveryAction) -> u64 {
        self.shared.targets.counters.recoveries(action)
    }

    /// Returns the targets that this host has sequences on, in order.
    pub fn targets_in_use(&self) -> Vec<TargetId> {
        let view = self.shared.targets.view();
        let mut used: Vec<TargetId> = view
            .targets
            .iter()
            .filter(|(_, target)| target.own_sequences() > 0)
            .map(|(id, _)| id.clone())
            .collect();
        used.sort();
        used
    }

    pub async fn close(self) {
        self.stop.cancel();
        for (_, engine) in self.engines {
            engine.close().await;
        }
    }
}

/// A running request.
pub struct Request {
    pub expected: Vec<Token>,
    pub received: Vec<Token>,
    tokens: mpsc::Receiver<Token>,
    task: tokio::task::JoinHandle<Result<(), Refused>>,
}

impl Request {
    /// Waits for the next `count` tokens.
    pub async fn receive(&mut self, count: usize) {
        for _ in 0..count {
            self.received.push(self.tokens.recv().await.unwrap());
        }
    }

    /// Waits for the rest of the answer. Returns the expected and the actual answer.
    pub async fn finish(mut self) -> (Vec<Token>, Result<Vec<Token>, Refused>) {
        while let Some(token) = self.tokens.recv().await {
            self.received.push(token);
        }
        let result = self.task.await.unwrap();
        (self.expected, result.map(|()| self.received))
    }
}

struct ChannelSink(mpsc::Sender<Token>);

impl TokenSink for ChannelSink {
    fn emit(&mut self, token: Token) -> BoxFuture<'_, Result<(), CallerDisconnected>> {
        async move { self.0.send(token).await.map_err(|_| CallerDisconnected) }.boxed()
    }
}

fn shared(settings: Targets) -> Arc<Shared> {
    let unused_address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let host_settings = Settings::new(
        "host".into(),
        "a".into(),
        Listen {
            callers: any_port,
            operators: any_port,
            peers: any_port,
        },
        Credentials::new("operator-token-for-tests", "peer-key-for-tests-only"),
        Platform::new(unused_address, unused_address, unused_address),
    );
    let ports = Adapters::new(&host_settings).ports();
    let mut shared = Shared::new(host_settings, ports);
    shared.targets = Table::new(settings);
    Arc::new(shared)
}

fn model() -> Model {
    Model {
        version: VERSION.into(),
        layer_count: LAYER_COUNT,
        activation_bytes_per_token: 64,
        kv_bytes_per_token_layer: 8,
        weight_bytes_per_layer: 1,
        context_limit_tokens: 4096,
    }
}
