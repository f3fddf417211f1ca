//! What a fleet consists of.

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

/// Model of a fleet that names none.
pub const MODEL: &str = "permit-drafter";
/// Its version.
pub const MODEL_VERSION: &str = "1";
/// Its number of layers.
pub const LAYER_COUNT: Layer = 24;
/// Team of a fleet that names none.
pub const TEAM: &str = "planners";

/// A change to the settings of each host.
pub type SettingsOverride = Arc<dyn Fn(&mut Settings) + Send + Sync>;

/// What a fleet consists of.
#[derive(Clone)]
pub struct Builder {
    /// Number of hosts.
    pub host_count: usize,
    /// Threads of each host.
    pub threads_per_host: usize,
    /// Data centres, over which hosts and services are spread in turn. Invariant: not empty.
    pub data_centres: Vec<DataCentreId>,
    /// Models.
    pub models: Vec<(ModelId, Model)>,
    /// Engines.
    pub engines: Vec<EngineSpec>,
    /// What engines' stand-ins have in common; each takes its properties from its own spec.
    pub engine_standin: engine::Config,
    /// Plain services.
    pub services: Vec<ServiceSpec>,
    /// Teams.
    pub teams: Vec<(TeamId, Team)>,
    /// The log.
    pub log: log::Config,
    /// The weight store.
    pub weight_store: weight_store::Config,
    /// Lag of the host list.
    pub host_list_lag: Duration,
    /// Longest time that a planned stop of a host waits.
    pub drain_timeout: Duration,
    /// Changes the settings of each host before it starts.
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

    /// Adds engines that hold the default model in equal ranges, each range `replica_count` times.
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

    /// Adds a team whose key is [`team_key`] its name.
    pub fn team(mut self, id: impl Into<SmolStr>, team: Team) -> Self {
        self.teams.push((id.into(), team));
        self
    }

    /// Changes the settings of each host before it starts.
    pub fn settings(mut self, change: impl Fn(&mut Settings) + Send + Sync + 'static) -> Self {
        self.settings_override = Arc::new(change);
        self
    }

    /// Starts the fleet and waits until every host serves.
    ///
    /// # Errors
    ///
    /// A part that does not start, or a host that gets no configuration in time.
    pub async fn start(self) -> Result<Fleet, FleetError> {
        Fleet::start(self).await
    }

    /// The data centre that an index falls on in turn.
    pub fn data_centre(&self, index: usize) -> DataCentreId {
        self.data_centres[index % self.data_centres.len()].clone()
    }

    /// Entries of models and teams.
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

/// Bearer key of a team of the builder's making.
pub fn team_key(team: &str) -> SmolStr {
    format_smolstr!("key-of-{team}")
}

/// A team with wide limits and the key [`team_key`] its name.
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

/// The default model.
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

/// Splits layers into ranges whose sizes differ by at most one.
pub fn split_layers(layer_count: Layer, stage_count: Layer) -> Vec<LayerRange> {
    let boundary = |stage: Layer| {
        let boundary = u32::from(layer_count) * u32::from(stage) / u32::from(stage_count);
        Layer::try_from(boundary).unwrap_or(layer_count)
    };
    (0..stage_count)
        .filter_map(|stage| LayerRange::new(boundary(stage), boundary(stage + 1)))
        .collect()
}
