//! The configuration document that operators patch: models, teams, targets, services and placement
//! bounds.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use crate::id::{
    AcceleratorKind,
    DataCentreId,
    Layer,
    LayerRange,
    ModelId,
    ModelVersion,
    ServiceId,
    TargetId,
    TeamId, //
};
use crate::key_digest::KeyDigest;
use imbl::OrdMap;
use serde::{
    Deserialize,
    Serialize, //
};

/// Content of one configuration version.
///
/// The maps share structure between versions, so that a new version of a document with 41,000 teams
/// costs little more than the entries that changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Models by name.
    pub models: OrdMap<ModelId, Arc<Model>>,
    /// Teams by name.
    pub teams: OrdMap<TeamId, Arc<Team>>,
    /// Trusted targets by name.
    pub targets: OrdMap<TargetId, Arc<Target>>,
    /// Plain services by name.
    pub services: OrdMap<ServiceId, Arc<Service>>,
    /// Placement bounds by name of the model.
    pub placements: OrdMap<ModelId, Arc<Placement>>,
}

/// A model, with the sizes that determine the cost of a pipeline over its layers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Version of the model that serves requests.
    pub version: ModelVersion,
    /// Number of layers. Invariant: above 0.
    pub layer_count: Layer,
    /// Size of the activation of one token at a layer boundary, in bytes.
    pub activation_bytes_per_token: u32,
    /// Size of the key-value cache of one token in one layer, in bytes.
    pub kv_bytes_per_token_layer: u32,
    /// Size of the weights of one layer, in bytes.
    pub weight_bytes_per_layer: u64,
    /// Largest number of prompt and answer tokens together.
    pub context_limit_tokens: u32,
}

/// A team, with its limits over all hosts together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 digests of the team's bearer keys.
    pub key_sha256: Vec<KeyDigest>,
    /// Priority of the team's requests. Requests with a larger value go first.
    #[serde(default)]
    pub priority: u8,
    /// Weight of the team in fair queueing. Invariant: above 0.
    #[serde(default = "one")]
    pub weight: u32,
    /// Limit on requests per second.
    pub limit_requests_per_s: u32,
    /// Limit on prompt and answer tokens per second.
    pub limit_tokens_per_s: u32,
    /// Limit on requests that are open at the same time.
    pub limit_open_requests: u32,
}

fn one() -> u32 {
    1
}

/// A target that operators trust.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Address of the target's HTTP interface.
    pub address: SocketAddr,
    /// Data centre in which the target runs.
    pub data_centre: DataCentreId,
    /// What the target serves.
    pub kind: TargetKind,
}

/// What a target serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TargetKind {
    /// A model engine that holds a range of layers.
    Engine(Engine),
    /// An instance of a plain service.
    Service {
        /// Name of the service that the target runs.
        service: ServiceId,
    },
}

/// Properties of an engine that routing and placement need.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Engine {
    /// Kind of the engine's accelerator.
    pub accelerator: AcceleratorKind,
    /// Time that one layer takes for one token of a decoding batch, in nanoseconds.
    pub layer_time_ns: u64,
    /// Time that a batch takes regardless of its size, in microseconds.
    pub batch_time_us: u64,
    /// One-way delay of the engine's link, in microseconds.
    pub link_delay_us: u64,
    /// Bandwidth of the engine's link, in bytes per second; 0 means unlimited.
    pub link_bandwidth_bytes_per_s: u64,
    /// Memory for weights, in bytes.
    pub weight_memory_bytes: u64,
    /// Whether the engine refuses an order that carries an old fencing token.
    pub fencing: Fencing,
    /// Layer ranges that the engine holds until a placement order changes them.
    #[serde(default)]
    pub holds: Vec<Holding>,
}

impl Engine {
    /// Returns the one-way delay of the engine's link.
    pub fn link_delay(&self) -> Duration {
        Duration::from_micros(self.link_delay_us)
    }
}

/// Whether an engine checks fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine refuses an order with an old token.
    Checked,
    /// The engine ignores the token.
    Ignored,
}

/// A layer range of one model version that an engine holds in one role.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// Name of the model.
    pub model: ModelId,
    /// Version of the model.
    pub version: ModelVersion,
    /// Layer range that the engine holds.
    pub layers: LayerRange,
    /// Phases of inference that the engine runs for these layers.
    #[serde(default)]
    pub role: Role,
}

/// Phases of inference that an engine runs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill of prompts and decode of answers.
    #[default]
    Both,
    /// Only prefill of prompts.
    Prefill,
    /// Only decode of answers.
    Decode,
}

/// A plain service that requests are routed to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Whether a call may be sent more than once.
    pub repeatable: Repeatable,
    /// Longest time to wait for an answer, in milliseconds. Invariant: above 0.
    pub timeout_ms: u64,
}

/// Whether a call to a service may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatable {
    /// Every call is idempotent and may be sent again.
    Yes,
    /// A call must run at most once.
    No,
}

/// Bounds within which a model's layers are placed on engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Smallest number of engines that hold each layer. Invariant: at most `replicas_max`.
    pub replicas_min: u32,
    /// Largest number of engines that hold each layer.
    pub replicas_max: u32,
}
