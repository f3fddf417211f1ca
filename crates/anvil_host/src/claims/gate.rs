//! Runs calls to plain services; those that may not be repeated run at most once.

mod keyed;

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use anvil_core::{
    claims::{
        ClaimId,
        Key,
        Settings, //
    },
    document::{
        Repeatable,
        Service, //
    },
    id::{
        HostId,
        Incarnation,
        RequestId,
        ServiceId,
        TeamId, //
    },
    outcome::{
        Reason,
        Refused, //
    }, //
};
use smol_str::SmolStr;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use super::{
    client::Client,
    outbox::Outbox,
    shards::Shards, //
};
use crate::{
    port::{
        CallError,
        CallErrorKind,
        PlainService,
        Ports,
        ServiceAnswer,
        ServiceCall,
        TargetAddress, //
    },
    roster::Roster, //
};

/// When a refused call may be tried again.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest idempotency key.
const KEY_LIMIT_BYTES: usize = 255;
/// Most tries of a call that may be repeated.
const REPEATABLE_TRIES: usize = 3;

/// Chooses instances of plain services.
pub trait Instances: Send + Sync + 'static {
    /// Instances that take new calls, the best first.
    fn instances(&self, service: &ServiceId) -> Vec<TargetAddress>;
}

/// What a gate is made of.
pub struct DispatcherContext {
    /// Name of this host.
    pub host: HostId,
    /// Number of this run of it.
    pub incarnation: Incarnation,
    /// Bounds on claims.
    pub settings: Settings,
    /// Prefix of the claim streams.
    pub stream_prefix: SmolStr,
    /// The systems around the host.
    pub ports: Ports,
    /// The hosts that are believed to live.
    pub roster: Arc<dyn Roster>,
    /// Instances of services.
    pub instances: Arc<dyn Instances>,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// Identifier of the caller's request.
    pub request: RequestId,
    /// The team that calls.
    pub team: TeamId,
    /// The service's properties.
    pub service: Arc<Service>,
    /// What to send.
    pub call: ServiceCall,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// Runs calls to plain services.
pub struct ServiceDispatcher {
    shared: Arc<Inner>,
}

struct Inner {
    host: HostId,
    incarnation: Incarnation,
    settings: Settings,
    /// Invariant: no number is given twice.
    next_claim: AtomicU64,
    ports: Ports,
    instances: Arc<dyn Instances>,
    shards: Arc<Shards>,
    client: Arc<Client>,
    outbox: Outbox,
    calls: TaskTracker,
}

impl ServiceDispatcher {
    /// Makes a host's gate.
    pub fn new(parts: DispatcherContext) -> Self {
        let shards = Arc::new(Shards::new(
            parts.settings.clone(),
            Arc::clone(&parts.ports.log),
            parts.stream_prefix,
        ));
        let client = Arc::new(Client::new(
            parts.host.clone(),
            Arc::clone(&shards),
            Arc::clone(&parts.ports.peers),
            parts.roster,
        ));
        Self {
            shared: Arc::new(Inner {
                host: parts.host,
                incarnation: parts.incarnation,
                outbox: Outbox::new(Arc::clone(&client), parts.settings.key_life),
                settings: parts.settings,
                next_claim: AtomicU64::new(0),
                ports: parts.ports,
                instances: parts.instances,
                shards,
                client,
                calls: TaskTracker::new(),
            }),
        }
    }

    /// The shards that this host follows, for peers' questions.
    pub fn shards(&self) -> &Arc<Shards> {
        &self.shared.shards
    }

    /// Asks shards, for operators' questions.
    pub fn client(&self) -> &Arc<Client> {
        &self.shared.client
    }

    /// Bounds on claims.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Runs a call.
    ///
    /// # Errors
    ///
    /// An honest refusal. `not_run` of a call with a key means that the log, read after the
    /// request arrived, shows no call under the key that ran or still could.
    pub async fn call(&self, call: CallContext) -> Result<ServiceAnswer, Refused> {
        let key = call.call.idempotency_key.clone();
        match (call.service.repeatable, key) {
            (Repeatable::Yes, _) => self.shared.call_repeatable(&call).await,
            (Repeatable::No, None) => self.shared.call_once(&call).await,
            (Repeatable::No, Some(text)) => {
                if text.is_empty() || text.len() > KEY_LIMIT_BYTES {
                    return Err(Refused::not_run(
                        Reason::BadRequest,
                        format!("an idempotency key has 1 to {KEY_LIMIT_BYTES} bytes"),
                    ));
                }
                let key = Key {
                    team: call.team.clone(),
                    service: call.call.service.clone(),
                    text,
                };
                keyed::call(&self.shared, call, key).await
            }
        }
    }

    /// Hands over the shards, lets calls end, and brings their outcomes to the log.
    pub async fn close(&self, timeout: Duration) {
        let until = Instant::now() + timeout;
        self.shared.client.hand_over(timeout / 4).await;
        self.shared.calls.close();
        // Calls that outlast the timeout leave claims without outcomes, which read as unknown.
        let _late = tokio::time::timeout_at(until, self.shared.calls.wait()).await;
        let left = until.saturating_duration_since(Instant::now());
        self.shared.outbox.close(left).await;
        self.shared.shards.close().await;
    }
}

impl Inner {
    fn new_claim_id(&self) -> ClaimId {
        ClaimId {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number: self.next_claim.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn service(&self) -> &Arc<dyn PlainService> {
        &self.ports.service
    }

    async fn send(
        &self,
        target: &TargetAddress,
        call: &CallContext,
    ) -> Result<ServiceAnswer, CallError> {
        let left = call.deadline.saturating_duration_since(Instant::now());
        let timeout = left.min(Duration::from_millis(call.service.timeout_ms));
        spdlog::info!("service.chosen", kv: {
            request = call.request.as_str(),
            service = call.call.service.as_str(),
            target = target.id.as_str(),
        });
        self.service()
            .call(target, call.call.clone(), timeout)
            .await
    }

    /// One attempt: another instance is tried only while nothing was sent.
    async fn call_once(&self, call: &CallContext) -> Result<ServiceAnswer, Refused> {
        for target in self.instances.instances(&call.call.service) {
            if Instant::now() >= call.deadline {
                return Err(Refused::not_run(Reason::Deadline, "the deadline passed"));
            }
            match self.send(&target, call).await {
                Ok(answer) => return Ok(answer),
                Err(error) if is_unsent(&error) => continue,
                Err(error) => return Err(answer_lost(&error)),
            }
        }
        Err(no_target(&call.call.service))
    }

    async fn call_repeatable(&self, call: &CallContext) -> Result<ServiceAnswer, Refused> {
        let mut lost = None;
        let targets = self.instances.instances(&call.call.service);
        for target in targets.iter().cycle().take(REPEATABLE_TRIES) {
            if Instant::now() >= call.deadline {
                break;
            }
            match self.send(target, call).await {
                Ok(answer) => return Ok(answer),
                Err(error) if is_unsent(&error) => {}
                Err(error) => lost = Some(error),
            }
        }
        Err(match lost {
            Some(error) => answer_lost(&error).retry_after(RETRY_AFTER),
            None => no_target(&call.call.service),
        })
    }
}

fn is_unsent(error: &CallError) -> bool {
    match error.kind {
        CallErrorKind::NotSent | CallErrorKind::Refused => true,
        CallErrorKind::AnswerLost => false,
    }
}

fn answer_lost(error: &CallError) -> Refused {
    Refused::unknown(Reason::AnswerLost, error.to_string())
}

fn no_target(service: &ServiceId) -> Refused {
    Refused::not_run(
        Reason::NoRoute,
        format!("no instance of {service} takes the call"),
    )
    .retry_after(RETRY_AFTER)
}
