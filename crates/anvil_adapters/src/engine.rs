//! Adapter of model engines over HTTP, with one long-lived step stream per target.

mod connection;
mod convert;
mod pending;

use std::{
    collections::HashMap,
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    id::RequestId,
    step::{
        Answer,
        Failure,
        Step, //
    },
};
use anvil_host::port::{
    self,
    CacheEvent,
    CallError,
    KvExport,
    KvName,
    LoadReport,
    Order,
    TargetAddress, //
};
use anvil_wire::generated::engine as wire;
use arc_swap::ArcSwap;
use futures::future::BoxFuture;
use serde::Serialize;

use crate::call::{
    self,
    Client,
    Context, //
};
use connection::{
    Closed,
    Connection, //
};
pub use pending::DroppedAnswers;
use pending::{
    NoAnswerCause, //
    PendingAnswer,
};

/// Time limit for a load report, cache events or the acknowledgement of an order.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for the export or import of a key-value cache.
const KV_TIMEOUT: Duration = Duration::from_secs(10);

/// Minimum age at which `reconnect` replaces a connection. A caller that reconnects while the
/// connection is younger saw the failure of the one that it replaced.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(250);

/// Implements the port of the engines.
pub(crate) struct Engines {
    client: Client,
    /// Current connection to each target. Every step reads the map. The map is copied and replaced
    /// only when a target is added.
    connections: ArcSwap<HashMap<TargetAddress, Arc<ArcSwap<Connection>>>>,
    dropped_answers: Arc<DroppedAnswers>,
}

impl Engines {
    pub(crate) fn new(client: Client) -> Self {
        Self {
            client,
            connections: ArcSwap::default(),
            dropped_answers: Arc::default(),
        }
    }

    pub(crate) fn dropped_answers(&self) -> Arc<DroppedAnswers> {
        Arc::clone(&self.dropped_answers)
    }

    /// Returns the slot of the current connection to a target, and opens one for a new target.
    fn slot(&self, target: &TargetAddress) -> Arc<ArcSwap<Connection>> {
        if let Some(slot) = self.connections.load().get(target) {
            return Arc::clone(slot);
        }
        let slot = Arc::new(ArcSwap::from_pointee(self.open(target)));
        self.connections.rcu(|connections| {
            let mut connections = HashMap::clone(connections);
            // Another request may have added the target meanwhile. Its connection is kept.
            connections
                .entry(target.clone())
                .or_insert_with(|| Arc::clone(&slot));
            connections
        });
        self.connections.load().get(target).map_or(slot, Arc::clone)
    }

    fn open(&self, target: &TargetAddress) -> Connection {
        Connection::open(target.clone(), Arc::clone(&self.dropped_answers))
    }

    /// Sends a step on the current connection, or on a new one if the current one has closed.
    fn start(&self, target: &TargetAddress, step: wire::Step) -> Result<PendingAnswer, Closed> {
        let slot = self.slot(target);
        let connection = slot.load_full();
        match connection.start(step) {
            Ok(pending_answer) => Ok(pending_answer),
            Err(unsent) => {
                self.replace(target, &slot, &connection);
                slot.load().start(unsent.step).map_err(|_unsent| Closed)
            }
        }
    }

    /// Replaces the current connection, unless another caller has already done so.
    fn replace(
        &self,
        target: &TargetAddress,
        slot: &ArcSwap<Connection>,
        current: &Arc<Connection>,
    ) {
        if !Arc::ptr_eq(&slot.load(), current) {
            return;
        }
        // If another caller replaces it first, the connection opened here is closed immediately.
        slot.compare_and_swap(current, Arc::new(self.open(target)));
    }

    async fn post<M: Serialize>(
        &self,
        context: Context<'_>,
        target: &TargetAddress,
        path: &str,
        message: &M,
    ) -> Result<bytes::Bytes, CallError> {
        let body = call::encode(context, message)?;
        self.client.post(context, target.address, path, body).await
    }
}

impl port::Engine for Engines {
    fn step<'a>(
        &'a self,
        target: &'a TargetAddress,
        step: Step,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Answer, Failure>> {
        Box::pin(async move {
            let name = step.name.clone();
            let Ok(pending_answer) = self.start(target, convert::step(step)) else {
                return Err(Failure::Connect {
                    name,
                    target: target.id.clone(),
                    message: "the connection closed before the step was sent".into(),
                });
            };
            let answer = match tokio::time::timeout(timeout, pending_answer).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(cause)) => return Err(step_failure(name, target, cause)),
                Err(_) => {
                    return Err(Failure::Timeout {
                        name,
                        target: target.id.clone(),
                    });
                }
            };
            convert::answer(answer, name, target)
        })
    }

    fn reconnect(&self, target: &TargetAddress) {
        let slot = self.slot(target);
        let current = slot.load_full();
        if current.age() >= RECONNECT_INTERVAL {
            self.replace(target, &slot, &current);
        }
    }

    fn cancel(&self, target: &TargetAddress, request: RequestId, attempt: u32) {
        let cancel = wire::Cancel { attempt, request };
        let slot = self.slot(target);
        let connection = slot.load_full();
        if connection.cancel(cancel.clone()).is_ok() {
            return;
        }
        self.replace(target, &slot, &connection);
        // An engine that cannot be reached has nothing left to cancel.
        let _unreachable = slot.load().cancel(cancel);
    }

    fn export_kv<'a>(
        &'a self,
        target: &'a TargetAddress,
        name: KvName,
    ) -> BoxFuture<'a, Result<KvExport, CallError>> {
        Box::pin(async move {
            let context = context("export_kv", target, KV_TIMEOUT);
            let name = convert::kv_name(name);
            let answer = self.post(context, target, "/v1/kv/export", &name).await?;
            let export: wire::KvExport = call::decode(context, &answer)?;
            Ok(KvExport {
                position: export.position,
                data: export.data,
            })
        })
    }

    fn import_kv<'a>(
        &'a self,
        target: &'a TargetAddress,
        name: KvName,
        export: KvExport,
    ) -> BoxFuture<'a, Result<(), CallError>> {
        Box::pin(async move {
            let import = wire::KvImport {
                name: convert::kv_name(name),
                cache: wire::KvExport {
                    position: export.position,
                    data: export.data,
                },
            };
            let context = context("import_kv", target, KV_TIMEOUT);
            self.post(context, target, "/v1/kv/import", &import).await?;
            Ok(())
        })
    }

    fn load_report<'a>(
        &'a self,
        target: &'a TargetAddress,
    ) -> BoxFuture<'a, Result<LoadReport, CallError>> {
        Box::pin(async move {
            let context = context("load_report", target, CONTROL_TIMEOUT);
            let path = "/v1/load";
            let report = self.client.get(context, target.address, path).await?;
            Ok(convert::load_report(report))
        })
    }

    fn cache_events<'a>(
        &'a self,
        target: &'a TargetAddress,
        after: u64,
    ) -> BoxFuture<'a, Result<Vec<CacheEvent>, CallError>> {
        Box::pin(async move {
            let context = context("cache_events", target, CONTROL_TIMEOUT);
            let path = format!("/v1/cache_events?after={after}");
            let answer: wire::CacheEvents = self.client.get(context, target.address, &path).await?;
            Ok(answer
                .events
                .into_iter()
                .map(convert::cache_event)
                .collect())
        })
    }

    fn order<'a>(
        &'a self,
        target: &'a TargetAddress,
        order: Order,
    ) -> BoxFuture<'a, Result<(), CallError>> {
        Box::pin(async move {
            let context = context("order", target, CONTROL_TIMEOUT);
            let order = convert::order(order);
            self.post(context, target, "/v1/orders", &order).await?;
            Ok(())
        })
    }
}

fn context<'a>(
    operation: &'static str,
    target: &'a TargetAddress,
    timeout: Duration,
) -> Context<'a> {
    Context {
        operation,
        peer: &target.id,
        timeout,
    }
}

fn step_failure(
    name: anvil_core::step::Name,
    target: &TargetAddress,
    cause: NoAnswerCause,
) -> Failure {
    let target = target.id.clone();
    match cause {
        NoAnswerCause::NotSent(message) => Failure::Connect {
            name,
            target,
            message,
        },
        NoAnswerCause::Sent(message) => Failure::ConnectionLost {
            name,
            target,
            message,
        },
    }
}

#[cfg(test)]
mod tests;
