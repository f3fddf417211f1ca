//! A running fleet.

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

/// Longest time for a host to get its configuration.
const SERVING_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between looks at a host.
const POLL_PERIOD: Duration = Duration::from_millis(2);
/// Token of operators.
pub const OPERATOR_TOKEN: &str = "operator-token-of-a-fleet";
/// Key that the hosts share.
pub const PEER_KEY: &str = "peer-key-of-a-fleet-0";

/// A part of a fleet that failed.
#[derive(Debug, Display, Error)]
#[display("{operation} {component}: {message}")]
pub struct FleetError {
    /// What was being done.
    pub operation: &'static str,
    /// The part.
    pub component: SmolStr,
    /// What went wrong.
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

/// A running fleet.
pub struct Fleet {
    /// The log.
    pub log: log::Standin,
    /// The host list.
    pub host_list: host_list::Standin,
    /// The weight store.
    pub weight_store: weight_store::Standin,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Hosts by index; nothing where one was stopped or killed.
    pub hosts: Vec<Option<RunningHost>>,
    builder: Builder,
    /// Version that the fleet's own patches have reached.
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
        let failed = |part: &'static str| move |error| FleetError::new("start", part, error);
        let log = log::Standin::start(builder.log)
            .await
            .map_err(failed("log"))?;
        let weight_store = weight_store::Standin::start(builder.weight_store)
            .await
            .map_err(failed("weight store"))?;
        let list = host_list::Config {
            lag: builder.host_list_lag,
        };
        let host_list = host_list::Standin::start(list, Vec::new())
            .await
            .map_err(failed("host list"))?;
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

    /// Entries of the first configuration; the targets go onto the host list too.
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
        let listed = targets.iter().filter_map(listed_target).collect();
        self.host_list.set(listed);
        let mut entries = self.builder.entries();
        entries.extend(targets);
        Ok(entries)
    }

    /// Appends a patch that puts entries; gives the version that it makes.
    pub fn put_entries(&mut self, entries: Vec<Entry>) -> Version {
        let changes = entries.into_iter().map(Change::Put).collect();
        self.patch(changes)
    }

    /// Appends a patch against the last version that the fleet made; gives the next.
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

    /// Waits until every running host has a version in force.
    ///
    /// # Errors
    ///
    /// A host that gets none in time.
    pub async fn wait_for_version(&self, version: Version) -> Result<(), FleetError> {
        for host in self.hosts.iter().flatten() {
            let in_force = async {
                let shared = host.shared();
                while shared.config().version < version || shared.stage() != LifecycleStage::Serving
                {
                    tokio::time::sleep(POLL_PERIOD).await;
                }
            };
            tokio::time::timeout(SERVING_TIMEOUT, in_force)
                .await
                .map_err(|elapsed| FleetError::new("wait for configuration", host.id(), elapsed))?;
        }
        Ok(())
    }

    /// Settings of the host of an index.
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

    /// Starts the host of an index, which must not run.
    ///
    /// # Errors
    ///
    /// A host that runs already or does not start.
    pub async fn start_host(&mut self, index: usize) -> Result<(), FleetError> {
        if self.hosts[index].is_some() {
            let id = running_host::host_id(index);
            return Err(FleetError::new("start", &id, "it runs already"));
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

    /// Stops the host of an index as planned.
    ///
    /// # Errors
    ///
    /// A host that does not run, or a panic in it.
    pub async fn stop_host(&mut self, index: usize) -> Result<ShutdownOutcome, FleetError> {
        let id = running_host::host_id(index);
        let host = self.hosts[index].take();
        let host = host.ok_or_else(|| FleetError::new("stop", &id, "it doesn't run"))?;
        self.set_list_state(&id, ListState::Leaving);
        let stopped = host.close().await;
        self.remove_from_host_list(&id);
        stopped
    }

    /// Kills the host of an index in the midst of its work. The list goes on to name it, as the
    /// platform's lagging list does, until [`Fleet::remove_from_host_list`].
    pub fn kill_host(&mut self, index: usize) {
        if let Some(host) = self.hosts[index].take() {
            host.kill();
        }
    }

    /// The running host of an index.
    ///
    /// # Panics
    ///
    /// Panics if that host doesn't run.
    pub fn host(&self, index: usize) -> &RunningHost {
        self.hosts[index].as_ref().expect("the host runs")
    }

    /// A client of the default team at the host of an index.
    pub fn client(&self, index: usize) -> Client {
        self.team_client(index, &builder::TEAM.into())
    }

    /// A client of a team at the host of an index.
    pub fn team_client(&self, index: usize, team: &TeamId) -> Client {
        Client::new(self.host(index).callers_address(), builder::team_key(team))
    }

    /// The service of a name.
    pub fn service(&self, id: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.spec.id == id)
    }

    /// Takes a host or target off the host list.
    pub fn remove_from_host_list(&self, id: &str) {
        let mut entries = self.host_list.entries();
        entries.retain(|entry| entry.name != id);
        self.host_list.set(entries);
    }

    /// Changes the state of a host or target on the host list.
    pub fn set_list_state(&self, id: &str, state: ListState) {
        let mut entries = self.host_list.entries();
        for entry in entries.iter_mut().filter(|entry| entry.name == id) {
            entry.state = state;
        }
        self.host_list.set(entries);
    }

    /// Stops hosts as planned, then the stand-ins.
    ///
    /// # Errors
    ///
    /// A panic in a host.
    pub async fn close(mut self) -> Result<Vec<ShutdownOutcome>, FleetError> {
        let mut stopped = Vec::new();
        for host in self.hosts.drain(..).flatten() {
            stopped.push(host.close().await?);
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
        Ok(stopped)
    }
}

fn listed_target(entry: &Entry) -> Option<ListEntry> {
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
