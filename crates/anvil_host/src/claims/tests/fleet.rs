//! Dispatchers of several hosts that share one log and one service and call each other as peers.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    claims::{
        Key,
        Settings,
        Shard,
        shard_of, //
    },
    document::{
        Repeatable,
        Service, //
    },
    id::{
        HostId,
        ServiceId, //
    },
    outcome::Refused, //
};
use futures::FutureExt;
use tokio::time::Instant;

use crate::{
    claims::{
        CallContext,
        DispatcherContext, //
        Instances,
        ServiceDispatcher,
    },
    fakes::{
        self,
        FakeLog,
        FakePeers,
        FakeRoster,
        FakeService,
        Pauser, //
    },
    port::{
        ServiceAnswer,
        ServiceCall,
        TargetAddress, //
    },
    roster::Roster, //
};

const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// A single instance, whose target ID is the ID of the host that calls it.
struct SingleInstance(HostId);

impl Instances for SingleInstance {
    fn instances(&self, _service: &ServiceId) -> Vec<TargetAddress> {
        vec![TargetAddress {
            id: self.0.clone(),
            address: "127.0.0.1:1".parse().unwrap(),
        }]
    }
}

/// Dispatchers of several hosts, with the fakes that they share.
pub struct Fleet {
    pub log: Arc<FakeLog>,
    pub service: Arc<FakeService>,
    pub peers: Arc<FakePeers>,
    pub dispatchers: Vec<Arc<ServiceDispatcher>>,
}

impl Fleet {
    pub fn new(host_count: usize) -> Self {
        Self::with_pausers(host_count, |_| None)
    }

    /// Creates a fleet in which each host for which `pauser` returns a pauser may be paused.
    pub fn with_pausers(host_count: usize, pauser: impl Fn(usize) -> Option<Arc<Pauser>>) -> Self {
        let log = Arc::new(FakeLog::default());
        let service = Arc::new(FakeService::default());
        let peers = Arc::new(FakePeers::default());
        let roster = Arc::new(FakeRoster::new(host_count, 1));
        let hosts: Vec<_> = roster
            .members()
            .into_iter()
            .map(|member| member.address)
            .collect();
        let dispatchers = hosts
            .iter()
            .enumerate()
            .map(|(number, host)| {
                let pauser = pauser(number);
                let ports =
                    fakes::ports(Arc::clone(&log), Arc::clone(&service), Arc::clone(&peers));
                let ports = match &pauser {
                    Some(pauser) => pauser.wrap(ports),
                    None => ports,
                };
                let dispatcher = Arc::new(ServiceDispatcher::new(DispatcherContext {
                    host: host.id.clone(),
                    incarnation: 1,
                    settings: Settings::default(),
                    stream_prefix: "claims".into(),
                    ports,
                    roster: roster.clone(),
                    instances: Arc::new(SingleInstance(host.id.clone())),
                }));
                let shards = Arc::clone(dispatcher.shards());
                peers.add(host.id.clone(), move |_path, body| {
                    let shards = Arc::clone(&shards);
                    let pauser = pauser.clone();
                    async move {
                        if let Some(pauser) = pauser {
                            pauser.checkpoint().await;
                        }
                        shards.handle_peer_message(&body).await
                    }
                    .boxed()
                });
                dispatcher
            })
            .collect();
        Self {
            log,
            service,
            peers,
            dispatchers,
        }
    }

    pub fn shard(&self, key: &str) -> Shard {
        let key = Key {
            team: "team".into(),
            service: "permits".into(),
            text: key.into(),
        };
        shard_of(&key.hash())
    }

    pub async fn call(&self, host: usize, key: &str, body: &str) -> Result<ServiceAnswer, Refused> {
        self.dispatchers[host].call(call(Some(key), body)).await
    }

    pub async fn call_without_key(
        &self,
        host: usize,
        body: &str,
    ) -> Result<ServiceAnswer, Refused> {
        self.dispatchers[host].call(call(None, body)).await
    }
}

pub fn call(key: Option<&str>, body: &str) -> CallContext {
    CallContext {
        request: "r".into(),
        team: "team".into(),
        service: Arc::new(Service {
            repeatable: Repeatable::No,
            timeout_ms: 5000,
        }),
        call: ServiceCall {
            service: "permits".into(),
            method: http::Method::POST,
            path: "/submit".to_owned(),
            content_type: None,
            idempotency_key: key.map(Into::into),
            body: fakes::bytes(body),
        },
        deadline: Instant::now() + CALL_TIMEOUT,
    }
}
