//! Configuration of a fleet.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    config::Entry,
    document::{
        Model,
        Team, //
    },
    id::{
        DataCentreId,
        Layer,
        LayerRange,
        ModelId,
        ModelVersion,
        TeamId, //
    },
    key_digest::KeyDigest,
};

use anvil_settings::Settings;
use anvil_standins::{
    engine,
    log,
    weight_store, //
};
use smol_str::{
    SmolStr,
    format_smolstr, //
};

use crate::{
    engine::Spec as EngineSpec,
    fleet::{
        Fleet,
        FleetError, //
    },
    service::Spec as ServiceSpec,
};

/// Name of the model in the default configuration.
pub const MODEL: &str = "permit-drafter";
/// Version of the model in the default configuration.
pub const MODEL_VERSION: &str = "1";
/// Number of layers of the model in the default configuration.
pub const LAYER_COUNT: Layer = 24;
/// Name of the team in the default configuration.
pub const TEAM: &str = "planners";

/// Function that changes the settings of each host before the host starts.
pub type SettingsOverride = Arc<dyn Fn(&mut Settings) + Send + Sync>;

/// Configuration of a fleet. [`Builder::start`] starts the fleet.
#[derive(Clone)]
pub struct Builder {
    /// Number of hosts that start with the fleet.
    pub host_count: usize,
    /// Number of worker threads of each host.
    pub threads_per_host: usize,
    /// Data centres, to which hosts, pipeline replicas and service instances are assigned in turn.
    /// Invariant: not empty.
    pub data_centres: Vec<DataCentreId>,
    /// Models in the first configuration version.
    pub models: Vec<(ModelId, Model)>,
    /// Engines whose stand-ins start with the fleet.
    pub engines: Vec<EngineSpec>,
    /// Configuration of all engine stand-ins, except the engine properties and the address of the
    /// weight store, which are set for each engine.
    pub engine_standin: engine::Config,
    /// Plain services whose stand-ins start with the fleet.
    pub services: Vec<ServiceSpec>,
    /// Teams in the first configuration version.
    pub teams: Vec<(TeamId, Team)>,
    /// Configuration of the log stand-in.
    pub log: log::Config,
    /// Configuration of the weight store stand-in.
    pub weight_store: weight_store::Config,
    /// Time until a change to the host list becomes visible.
    pub host_list_lag: Duration,
    /// Maximum time that a host waits for open requests when it is stopped.
    pub drain_timeout: Duration,
    /// Change to the settings of each host, applied before the host starts.
    pub settings_override: SettingsOverride,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            host_count: 1,
            threads_per_host: 2,
            data_centres: ["muc-a", "muc-b", "muc-c"].map(SmolStr::new).to_vec(),
            models: vec![(MODEL.into(), model())],
            engines: Vec::new(),
            engine_standin: engine::Config {
                layer_count: LAYER_COUNT,
                ..engine::Config::default()
            },
            services: Vec::new(),
            teams: vec![(TEAM.into(), team(TEAM))],
            log: log::Config::default(),
            weight_store: weight_store::Config {
                rate_bytes_per_s: 1 << 30,
            },
            host_list_lag: Duration::ZERO,
            drain_timeout: Duration::from_secs(20),
            settings_override: Arc::new(|_settings| {}),
        }
    }
}

impl Builder {
    /// Sets the number of hosts.
    pub fn hosts(mut self, host_count: usize) -> Self {
        self.host_count = host_count;
        self
    }

    /// Adds an engine.
    pub fn engine(mut self, engine: EngineSpec) -> Self {
        self.engines.push(engine);
        self
    }

    /// Adds engines that hold the default model, split into `stage_count` layer ranges of equal
    /// size. Each range is held by `replica_count` engines.
    pub fn pipeline(mut self, stage_count: Layer, replica_count: usize) -> Self {
        for replica in 0..replica_count {
            for (stage, layers) in (0..).zip(split_layers(LAYER_COUNT, stage_count)) {
                let id = format_smolstr!("engine-{replica}-{stage}");
                let data_centre = self.data_centre(replica);
                let spec = EngineSpec::new(id, data_centre);
                self.engines
                    .push(spec.holding(MODEL, MODEL_VERSION, layers));
            }
        }
        self
    }

    /// Adds a plain service.
    pub fn service(mut self, service: ServiceSpec) -> Self {
        self.services.push(service);
        self
    }

    /// Adds a team, whose callers use the key [`team_key`] of its name.
    pub fn team(mut self, id: impl Into<SmolStr>, team: Team) -> Self {
        self.teams.push((id.into(), team));
        self
    }

    /// Sets the function that changes the settings of each host before the host starts.
    pub fn settings(mut self, change: impl Fn(&mut Settings) + Send + Sync + 'static) -> Self {
        self.settings_override = Arc::new(change);
        self
    }

    /// Starts the fleet and waits until every host is serving.
    ///
    /// # Errors
    ///
    /// Returns an error if a component does not start or a host gets no configuration in time.
    pub async fn start(self) -> Result<Fleet, FleetError> {
        Fleet::start(self).await
    }

    /// Returns the data centre for an index. Successive indexes cycle through the data centres.
    pub fn data_centre(&self, index: usize) -> DataCentreId {
        self.data_centres[index % self.data_centres.len()].clone()
    }

    /// Returns the configuration entries of models, teams and services.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        let models = self.models.iter().map(|(name, model)| Entry::Model {
            name: name.clone(),
            value: Arc::new(model.clone()),
        });
        let teams = self.teams.iter().map(|(name, team)| Entry::Team {
            name: name.clone(),
            value: Arc::new(team.clone()),
        });
        let services = self.services.iter().map(ServiceSpec::entry);
        models.chain(teams).chain(services).collect()
    }
}

/// Returns the bearer key of a team created by [`team`].
pub fn team_key(team: &str) -> SmolStr {
    format_smolstr!("key-of-{team}")
}

/// Returns a team with high limits and the key [`team_key`] of its name.
pub fn team(id: &str) -> Team {
    Team {
        key_sha256: vec![KeyDigest::of(&team_key(id))],
        priority: 1,
        weight: 1,
        limit_requests_per_s: 1_000_000,
        limit_tokens_per_s: 100_000_000,
        limit_open_requests: 1_000_000,
    }
}

/// Returns the model in the default configuration.
pub fn model() -> Model {
    Model {
        version: ModelVersion::from(MODEL_VERSION),
        layer_count: LAYER_COUNT,
        activation_bytes_per_token: 8_192,
        kv_bytes_per_token_layer: 4_096,
        weight_bytes_per_layer: 1 << 20,
        context_limit_tokens: 32_768,
    }
}

/// Splits layers into `stage_count` ranges whose sizes differ by at most one.
pub fn split_layers(layer_count: Layer, stage_count: Layer) -> Vec<LayerRange> {
    let boundary = |stage: Layer| {
        let boundary = u32::from(layer_count) * u32::from(stage) / u32::from(stage_count);
        Layer::try_from(boundary).unwrap_or(layer_count)
    };
    (0..stage_count)
        .filter_map(|stage| LayerRange::new(boundary(stage), boundary(stage + 1)))
        .collect()
}
