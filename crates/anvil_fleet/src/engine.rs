//! Engines of a fleet: their configuration entries and stand-ins.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use anvil_core::{
    config::Entry,
    document::{
        Engine as Properties,
        Fencing,
        Holding,
        Role,
        Target,
        TargetKind, //
    },
    id::{
        DataCentreId,
        LayerRange,
        TargetId, //
    },
};
use anvil_standins::engine::Standin;
use smol_str::SmolStr;

/// Specification of an engine.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Target name of the engine.
    pub id: TargetId,
    /// Data centre that the configuration states for the engine.
    pub data_centre: DataCentreId,
    /// Properties stated in the configuration and simulated by the stand-in.
    pub properties: Properties,
}

impl Spec {
    /// Creates an engine of average speed that is reached without delay and holds no layers.
    pub fn new(id: impl Into<SmolStr>, data_centre: impl Into<SmolStr>) -> Self {
        Self {
            id: id.into(),
            data_centre: data_centre.into(),
            properties: Properties {
                accelerator: "middling".into(),
                layer_time_ns: 10_000,
                batch_time_us: 1_000,
                link_delay_us: 0,
                link_bandwidth_bytes_per_s: 1 << 30,
                weight_memory_bytes: 1 << 36,
                fencing: Fencing::Checked,
                holds: Vec::new(),
            },
        }
    }

    /// Adds a range of layers of a model version, held for prefill and decode.
    pub fn holding(
        mut self,
        model: impl Into<SmolStr>,
        version: impl Into<SmolStr>,
        layers: LayerRange,
    ) -> Self {
        self.properties.holds.push(Holding {
            model: model.into(),
            version: version.into(),
            layers,
            role: Role::Both,
        });
        self
    }

    /// Applies `change` to the properties.
    pub fn with(mut self, change: impl FnOnce(&mut Properties)) -> Self {
        change(&mut self.properties);
        self
    }

    /// Returns the configuration entry of the engine, reached at `address`.
    pub fn entry(&self, address: SocketAddr) -> Entry {
        Entry::Target {
            name: self.id.clone(),
            value: Arc::new(Target {
                address,
                data_centre: self.data_centre.clone(),
                kind: TargetKind::Engine(self.properties.clone()),
            }),
        }
    }
}

/// Engine with a running stand-in.
pub struct Engine {
    /// Specification that the stand-in was started with.
    pub spec: Spec,
    /// Stand-in of the engine, into which faults can be injected.
    pub standin: Standin,
}
