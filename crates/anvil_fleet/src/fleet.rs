//! Start, control and stop of a running fleet.

use std::{
    fmt::Display,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration,
};

use anvil_core::{
    config::{
        Change,
        Entry,
        Patch,
        Record, //
    },
    id::{
        TeamId,
        Version, //
    },
};
use anvil_host::{
    host::ShutdownOutcome,
    shared::LifecycleStage, //
};
use anvil_settings::{
    Settings,
    settings::{
        Credentials,
        Listen,
        Platform, //
    },
};
use anvil_standins::{
    engine,
    host_list,
    log,
    service,
    weight_store, //
};
use anvil_wire::generated::platform::{
    ListEntry,
    ListRole,
    ListState, //
};
use derive_more::{
    Display,
    Error, //
};
use smol_str::{
    SmolStr,
    ToSmolStr,
    format_smolstr, //
};

use crate::{
    builder::{
        self,
        Builder, //
    },
    client::Client,
    engine::Engine,
    running_host::{
        self,
        RunningHost, //
    },
    service::Service,
};

/// Time limit for a host to get its configuration and to be serving.
const SERVING_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a host's state is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Bearer token for the operators' listeners of all hosts.
pub const OPERATOR_TOKEN: &str = "operator-token-of-a-fleet";
/// Key with which the hosts authenticate to each other.
pub const PEER_KEY: &str = "peer-key-of-a-fleet-0";

/// Error of a component of a fleet.
#[derive(Debug, Display, Error)]
#[display("cannot {operation} {component}: {message}")]
pub struct FleetError {
    /// Failed operation, worded as a verb that precedes the component.
    pub operation: &'static str,
    /// Name of the component.
    pub component: SmolStr,
    /// Cause of the failure.
    pub message: String,
}

impl FleetError {
    pub(crate) fn new(operation: &'static str, component: &str, message: impl Display) -> Self {
        Self {
            operation,
            component: component.into(),
            message: message.to_string(),
        }
    }
}

/// Fleet of running hosts and stand-ins.
pub struct Fleet {
    /// Stand-in of the platform's log.
    pub log: log::Standin,
    /// Stand-in of the platform's host list.
    pub host_list: host_list::Standin,
    /// Stand-in of the platform's weight store.
    pub weight_store: weight_store::Standin,
    /// Engines, in the order of the builder.
    pub engines: Vec<Engine>,
    /// Plain services, in the order of the builder.
    pub services: Vec<Service>,
    /// Hosts by index. `None` if the host was stopped or killed.
    pub hosts: Vec<Option<RunningHost>>,
    builder: Builder,
    /// Last configuration version that the patches of this fleet have produced.
    version: Version,
}

impl Fleet {
    pub(crate) async fn start(builder: Builder) -> Result<Self, FleetError> {
        let mut fleet = Self::start_standins(builder).await?;
        let entries = fleet.entries()?;
        fleet.put_entries(entries);
        for index in 0..fleet.builder.host_count {
            fleet.hosts.push(None);
            fleet.start_host(index).await?;
        }
        fleet.wait_for_version(fleet.version).await?;
        Ok(fleet)
    }

    async fn start_standins(builder: Builder) -> Result<Self, FleetError> {
        let start_error =
            |component: &'static str| move |error| FleetError::new("start", component, error);
        let log = log::Standin::start(builder.log)
            .await
            .map_err(start_error("log"))?;
        let weight_store = weight_store::Standin::start(builder.weight_store)
            .await
            .map_err(start_error("weight store"))?;
        let list_config = host_list::Config {
            lag: builder.host_list_lag,
        };
        let host_list = host_list::Standin::start(list_config, Vec::new())
            .await
            .map_err(start_error("host list"))?;
        let mut fleet = Self {
            log,
            host_list,
            weight_store,
            engines: Vec::new(),
            services: Vec::new(),
            hosts: Vec::new(),
            builder,
            version: 0,
        };
        fleet.start_targets().await?;
        Ok(fleet)
    }

    async fn start_targets(&mut self) -> Result<(), FleetError> {
        for spec in self.builder.engines.clone() {
            let config = engine::Config {
                engine: spec.properties.clone(),
                weight_store: Some(self.weight_store.address()),
                ..self.builder.engine_standin.clone()
            };
            let standin = engine::Standin::start(config)
                .await
                .map_err(|error| FleetError::new("start", &spec.id, error))?;
            self.engines.push(Engine { spec, standin });
        }
        for spec in self.builder.services.clone() {
            let mut instances = Vec::new();
            for _ in 0..spec.instance_count {
                let instance = service::Standin::start(spec.standin.clone())
                    .await
                    .map_err(|error| FleetError::new("start", &spec.id, error))?;
                instances.push(instance);
            }
            self.services.push(Service { spec, instances });
        }
        Ok(())
    }

    /// Returns the entries of the first configuration version, and sets the host list to its
    /// targets.
    fn entries(&self) -> Result<Vec<Entry>, FleetError> {
        let mut targets = Vec::new();
        for engine in &self.engines {
            targets.push(engine.spec.entry(engine.standin.address()));
        }
        for service in &self.services {
            for (index, instance) in service.instances.iter().enumerate() {
                let data_centre = self.builder.data_centre(index);
                let address = instance.address();
                targets.push(service.spec.instance_entry(index, address, &data_centre));
            }
        }
        let list_entries = targets.iter().filter_map(target_list_entry).collect();
        self.host_list.set(list_entries);
        let mut entries = self.builder.entries();
        entries.extend(targets);
        Ok(entries)
    }

    /// Appends a patch that puts entries. Returns the configuration version that it produces.
    pub fn put_entries(&mut self, entries: Vec<Entry>) -> Version {
        let changes = entries.into_iter().map(Change::Put).collect();
        self.patch(changes)
    }

    /// Appends a patch based on the last version that the fleet produced. Returns the next version.
    pub fn patch(&mut self, changes: Vec<Change>) -> Version {
        let patch = Patch {
            patch_id: format_smolstr!("fleet-{}", self.version + 1),
            base_version: self.version,
            author: "fleet".into(),
            note: SmolStr::default(),
            changes,
        };
        let stream = self.settings_of(0).platform.config_stream;
        self.log
            .append(&stream, vec![Record::Patch(patch).encode()]);
        self.version += 1;
        self.version
    }

    /// Waits until every running host is serving with this or a later configuration version.
    ///
    /// # Errors
    ///
    /// Returns an error if a host does not reach it in time.
    pub async fn wait_for_version(&self, version: Version) -> Result<(), FleetError> {
        for host in self.hosts.iter().flatten() {
            let serving = async {
                let shared = host.shared();
                while shared.config().version < version || shared.stage() != LifecycleStage::Serving
                {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            };
            tokio::time::timeout(SERVING_TIMEOUT, serving)
                .await
                .map_err(|elapsed| FleetError::new("configure", host.id(), elapsed))?;
        }
        Ok(())
    }

    /// Returns the settings of the host with this index.
    pub fn settings_of(&self, index: usize) -> Settings {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut settings = Settings::new(
            running_host::host_id(index),
            self.builder.data_centre(index),
            Listen {
                callers: any_port,
                operators: any_port,
                peers: any_port,
            },
            Credentials::new(OPERATOR_TOKEN, PEER_KEY),
            Platform::new(
                self.log.address(),
                self.host_list.address(),
                self.weight_store.address(),
            ),
        );
        settings.drain_timeout = self.builder.drain_timeout;
        (self.builder.settings_override)(&mut settings);
        settings
    }

    /// Starts the host with this index and adds it to the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if the host is already running or does not start.
    pub async fn start_host(&mut self, index: usize) -> Result<(), FleetError> {
        if self.hosts[index].is_some() {
            let id = running_host::host_id(index);
            return Err(FleetError::new("start", &id, "it is already running"));
        }
        let settings = self.settings_of(index);
        let host = RunningHost::start(settings, self.builder.threads_per_host).await?;
        self.remove_from_host_list(host.id());
        let mut entries = self.host_list.entries();
        entries.push(ListEntry {
            name: host.id().clone(),
            address: host.peers_address().to_smolstr(),
            data_centre: self.builder.data_centre(index),
            role: ListRole::Host,
            state: ListState::Live,
        });
        self.host_list.set(entries);
        self.hosts[index] = Some(host);
        Ok(())
    }

    /// Drains and stops the host with this index and removes it from the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if the host is not running or panics.
    pub async fn stop_host(&mut self, index: usize) -> Result<ShutdownOutcome, FleetError> {
        let id = running_host::host_id(index);
        let host = self.hosts[index].take();
        let host = host.ok_or_else(|| FleetError::new("stop", &id, "it is not running"))?;
        self.set_list_state(&id, ListState::Leaving);
        let outcome = host.close().await;
        self.remove_from_host_list(&id);
        outcome
    }

    /// Kills the host with this index without draining it. It stays on the host list, as it does on
    /// the platform's lagging list, until [`Fleet::remove_from_host_list`] is called.
    pub fn kill_host(&mut self, index: usize) {
        if let Some(host) = self.hosts[index].take() {
            host.kill();
        }
    }

    /// Returns the running host with this index.
    ///
    /// # Panics
    ///
    /// Panics if that host is not running.
    pub fn host(&self, index: usize) -> &RunningHost {
        self.hosts[index]
            .as_ref()
            .expect("the host should be running")
    }

    /// Returns a client of the host with this index, with the key of the default team.
    pub fn client(&self, index: usize) -> Client {
        self.team_client(index, &builder::TEAM.into())
    }

    /// Returns a client of the host with this index, with the key of a team.
    pub fn team_client(&self, index: usize, team: &TeamId) -> Client {
        Client::new(self.host(index).callers_address(), builder::team_key(team))
    }

    /// Returns the service with this name, or `None` if there is none.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.spec.id == id)
    }

    /// Removes a host or target from the host list.
    pub fn remove_from_host_list(&self, id: &str) {
        let mut entries = self.host_list.entries();
        entries.retain(|entry| entry.name != id);
        self.host_list.set(entries);
    }

    /// Sets the state of a host or target on the host list.
    pub fn set_list_state(&self, id: &str, state: ListState) {
        let mut entries = self.host_list.entries();
        for entry in entries.iter_mut().filter(|entry| entry.name == id) {
            entry.state = state;
        }
        self.host_list.set(entries);
    }

    /// Drains and stops all hosts, then stops the stand-ins.
    ///
    /// # Errors
    ///
    /// Returns an error if a host panics.
    pub async fn close(mut self) -> Result<Vec<ShutdownOutcome>, FleetError> {
        let mut outcomes = Vec::new();
        for host in self.hosts.drain(..).flatten() {
            outcomes.push(host.close().await?);
        }
        for engine in self.engines {
            engine.standin.close().await;
        }
        for service in self.services {
            for instance in service.instances {
                instance.close().await;
            }
        }
        self.host_list.close().await;
        self.weight_store.close().await;
        self.log.close().await;
        Ok(outcomes)
    }
}

fn target_list_entry(entry: &Entry) -> Option<ListEntry> {
    let Entry::Target { name, value } = entry else {
        return None;
    };
    Some(ListEntry {
        name: name.clone(),
        address: Arc::clone(value).address.to_smolstr(),
        data_centre: value.data_centre.clone(),
        role: ListRole::Target,
        state: ListState::Live,
    })
}

#[cfg(test)]
mod tests;
