//! Adapters: the ports of a host over HTTP.
//!
//! Each system has its own module, so that a published format that arrives later costs one file.
//! No adapter sends a call again on its own.

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
    /// Makes the adapters. Nothing connects before it is used.
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

    /// The ports that they implement.
    pub fn ports(&self) -> Ports {
        self.ports.clone()
    }

    /// Bytes of all calls but steps and plain services.
    pub fn control_traffic(&self) -> &TrafficCounters {
        &self.control_traffic
    }

    /// Counts of engines' answers that nobody awaited.
    pub fn dropped_answers(&self) -> &DroppedAnswers {
        &self.dropped_answers
    }
}
