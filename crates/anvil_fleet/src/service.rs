//! An instance of a plain service of a fleet.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use anvil_core::{
    config::Entry,
    document::{
        Repeatable,
        Service as Properties,
        Target,
        TargetKind, //
    },
    id::{
        DataCentreId,
        ServiceId,
        TargetId, //
    },
};
use anvil_standins::service::{
    Config,
    KeyHandling,
    Standin, //
};
use smol_str::{
    SmolStr,
    format_smolstr, //
};

/// A service to start.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its name.
    pub id: ServiceId,
    /// Whether a call may be sent twice.
    pub repeatable: Repeatable,
    /// Longest time to wait for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// How its stand-ins behave.
    pub standin: Config,
    /// Number of instances.
    pub instance_count: usize,
}

impl Spec {
    /// A service of one instance whose calls must run at most once and that ignores keys.
    pub fn not_repeatable(id: impl Into<SmolStr>) -> Self {
        Self {
            id: id.into(),
            repeatable: Repeatable::No,
            timeout_ms: 2_000,
            standin: Config {
                key_handling: KeyHandling::Ignored,
                ..Config::default()
            },
            instance_count: 1,
        }
    }

    /// Its entry in the configuration.
    pub fn entry(&self) -> Entry {
        Entry::Service {
            name: self.id.clone(),
            value: Arc::new(Properties {
                repeatable: self.repeatable,
                timeout_ms: self.timeout_ms,
            }),
        }
    }

    /// Name of one of its instances.
    pub fn instance_id(&self, index: usize) -> TargetId {
        format_smolstr!("{}-{index}", self.id)
    }

    /// Entry of one of its instances in the configuration.
    pub fn instance_entry(
        &self,
        index: usize,
        address: SocketAddr,
        data_centre: &DataCentreId,
    ) -> Entry {
        Entry::Target {
            name: self.instance_id(index),
            value: Arc::new(Target {
                address,
                data_centre: data_centre.clone(),
                kind: TargetKind::Service {
                    service: self.id.clone(),
                },
            }),
        }
    }
}

/// A running service.
pub struct Service {
    /// What was asked for.
    pub spec: Spec,
    /// Its instances, which take faults.
    pub instances: Vec<Standin>,
}

impl Service {
    /// Calls that ran on all instances.
    pub fn runs(&self) -> u64 {
        self.instances.iter().map(Standin::runs).sum()
    }

    /// Times that a call with this body ran on all instances.
    pub fn runs_of_body(&self, body: &[u8]) -> u64 {
        let runs = self.instances.iter();
        runs.map(|instance| instance.runs_of_body(body)).sum()
    }
}
