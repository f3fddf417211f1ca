//! Fakes of the systems around a host, into which tests inject faults.

mod cut;
mod log;
mod pause;
mod peers;
mod roster;
mod service;

pub use cut::DisconnectableLog;
pub use log::{
    AppendFault,
    FakeLog, //
};
pub use pause::Pauser;
pub use peers::{
    FakePeers,
    PeerFault, //
};
pub use roster::FakeRoster;
pub use service::{
    FakeService,
    ServiceFault, //
};

use std::sync::Arc;

use anvil_core::{
    id::{
        RequestId,
        TargetId, //
    },
    step, //
};
use bytes::Bytes;
use futures::{
    FutureExt,
    future::BoxFuture, //
};

use crate::port::{
    self,
    CacheEvent,
    CallError,
    CallErrorKind,
    KvExport,
    KvName,
    LoadReport,
    Order,
    Ports,
    TargetAddress, //
};

/// Returns the error of a failed call to a fake.
pub fn error(kind: CallErrorKind, message: &str) -> CallError {
    CallError {
        operation: "fake",
        peer: "fake".into(),
        kind,
        message: message.to_owned(),
    }
}

/// Returns ports that use the given fakes; the other ports refuse every call.
pub fn ports(log: Arc<FakeLog>, service: Arc<FakeService>, peers: Arc<FakePeers>) -> Ports {
    Ports {
        engine: Arc::new(RefusingFake),
        service,
        log,
        host_list: Arc::new(RefusingFake),
        weight_store: Arc::new(RefusingFake),
        peers,
    }
}

/// Fake that refuses every call. Steps time out instead.
struct RefusingFake;

fn refused<T: Send + 'static>() -> BoxFuture<'static, Result<T, CallError>> {
    futures::future::ready(Err(error(CallErrorKind::Refused, "not faked"))).boxed()
}

impl port::Engine for RefusingFake {
    fn step<'a>(
        &'a self,
        target: &'a TargetAddress,
        step: step::Step,
        _timeout: std::time::Duration,
    ) -> BoxFuture<'a, Result<step::Answer, step::Failure>> {
        let target: TargetId = target.id.clone();
        futures::future::ready(Err(step::Failure::Timeout {
            name: step.name,
            target,
        }))
        .boxed()
    }
    fn reconnect(&self, _target: &TargetAddress) {}
    fn cancel(&self, _target: &TargetAddress, _request: RequestId, _attempt: u32) {}
    fn export_kv<'a>(
        &'a self,
        _target: &'a TargetAddress,
        _name: KvName,
    ) -> BoxFuture<'a, Result<KvExport, CallError>> {
        refused()
    }
    fn import_kv<'a>(
        &'a self,
        _target: &'a TargetAddress,
        _name: KvName,
        _export: KvExport,
    ) -> BoxFuture<'a, Result<(), CallError>> {
        refused()
    }
    fn load_report<'a>(
        &'a self,
        _target: &'a TargetAddress,
    ) -> BoxFuture<'a, Result<LoadReport, CallError>> {
        refused()
    }
    fn cache_events<'a>(
        &'a self,
        _target: &'a TargetAddress,
        _after: u64,
    ) -> BoxFuture<'a, Result<Vec<CacheEvent>, CallError>> {
        refused()
    }
    fn order<'a>(
        &'a self,
        _target: &'a TargetAddress,
        _order: Order,
    ) -> BoxFuture<'a, Result<(), CallError>> {
        refused()
    }
}

impl port::HostList for RefusingFake {
    fn list(&self) -> BoxFuture<'_, Result<port::Listing, CallError>> {
        refused()
    }
}

impl port::WeightStore for RefusingFake {
    fn state(&self) -> BoxFuture<'_, Result<port::WeightStoreState, CallError>> {
        refused()
    }
}

/// Returns the bytes of a text.
pub fn bytes(text: &str) -> Bytes {
    Bytes::copy_from_slice(text.as_bytes())
}
