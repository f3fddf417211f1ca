//! HTTP adapters that implement the ports of a host: the traits through which it calls external
//! systems.
//!
//! Each external system has its own module, so that adopting a format published later changes only
//! one file. No adapter retries a call by itself.

mod call;
mod engine;
mod host_list;
mod log;
mod peers;
mod service;
mod traffic;
mod weight_store;

use std::sync::Arc;

use anvil_host::port::Ports;
use anvil_settings::Settings;

pub use engine::DroppedAnswers;
pub use traffic::TrafficCounters;

/// The adapters of one host.
#[derive(Clone)]
pub struct Adapters {
    ports: Ports,
    dropped_answers: Arc<DroppedAnswers>,
    control_traffic: Arc<TrafficCounters>,
}

impl Adapters {
    /// Creates the adapters. Each opens its connections only when it is first used.
    pub fn new(settings: &Settings) -> Self {
        let control_traffic = Arc::new(TrafficCounters::default());
        let client = call::Client::new(Arc::clone(&control_traffic));
        let platform = &settings.platform;
        let engine = engine::Engines::new(client.clone());
        let dropped_answers = engine.dropped_answers();
        let ports = Ports {
            engine: Arc::new(engine),
            service: Arc::new(service::Services),
            log: Arc::new(log::Log::new(client.clone(), platform.log)),
            host_list: Arc::new(host_list::HostList::new(client.clone(), platform.host_list)),
            weight_store: Arc::new(weight_store::WeightStore::new(
                client.clone(),
                platform.weight_store,
            )),
            peers: Arc::new(peers::Peers::new(client, &settings.credentials.peer_key)),
        };
        Self {
            ports,
            dropped_answers,
            control_traffic,
        }
    }

    /// Returns the ports that the adapters implement.
    pub fn ports(&self) -> Ports {
        self.ports.clone()
    }

    /// Returns the byte counters of all calls except steps and calls to plain services.
    pub fn control_traffic(&self) -> &TrafficCounters {
        &self.control_traffic
    }

    /// Returns the counters of engine answers that no pending step matched.
    pub fn dropped_answers(&self) -> &DroppedAnswers {
        &self.dropped_answers
    }
}
