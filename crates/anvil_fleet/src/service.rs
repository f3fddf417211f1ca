//! Plain services of a fleet: their configuration entries and stand-ins.

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

/// Specification of a plain service.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name of the service.
    pub id: ServiceId,
    /// Whether a call may be sent more than once.
    pub repeatable: Repeatable,
    /// Time limit for an answer, in milliseconds.
    pub timeout_ms: u64,
    /// Behaviour of the stand-ins of all instances.
    pub standin: Config,
    /// Number of instances, each with its own stand-in.
    pub instance_count: usize,
}

impl Spec {
    /// Creates a service with one instance. It ignores idempotency keys, and its calls must run at
    /// most once.
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

    /// Returns the configuration entry of the service.
    pub fn entry(&self) -> Entry {
        Entry::Service {
            name: self.id.clone(),
            value: Arc::new(Properties {
                repeatable: self.repeatable,
                timeout_ms: self.timeout_ms,
            }),
        }
    }

    /// Returns the target name of an instance.
    pub fn instance_id(&self, index: usize) -> TargetId {
        format_smolstr!("{}-{index}", self.id)
    }

    /// Returns the configuration entry of an instance.
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

/// Plain service with running stand-ins.
pub struct Service {
    /// Specification that the stand-ins were started with.
    pub spec: Spec,
    /// Stand-ins of the instances, into which faults can be injected.
    pub instances: Vec<Standin>,
}

impl Service {
    /// Returns the number of calls that ran, over all instances.
    pub fn runs(&self) -> u64 {
        self.instances.iter().map(Standin::runs).sum()
    }

    /// Returns how often calls with this body ran, over all instances.
    pub fn runs_of_body(&self, body: &[u8]) -> u64 {
        let runs = self.instances.iter();
        runs.map(|instance| instance.runs_of_body(body)).sum()
    }
}
