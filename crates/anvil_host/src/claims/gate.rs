//! Runs calls to plain services. A call that is not repeatable runs at most once.

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

/// Time after which a caller may retry a refused call.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum length of an idempotency key.
const KEY_LIMIT_BYTES: usize = 255;
/// Maximum number of attempts of a repeatable call.
const REPEATABLE_ATTEMPTS_MAX: usize = 3;

/// Chooses the instances of plain services that calls are sent to.
pub trait Instances: Send + Sync + 'static {
    /// Returns the instances that accept new calls, ordered by preference.
    fn instances(&self, service: &ServiceId) -> Vec<TargetAddress>;
}

/// Everything that a [`ServiceDispatcher`] is created from.
pub struct DispatcherContext {
    /// ID of this host.
    pub host: HostId,
    /// Incarnation number of this host process.
    pub incarnation: Incarnation,
    /// Time and size limits of claims.
    pub settings: Settings,
    /// Prefix of the names of the log streams that hold claims.
    pub stream_prefix: SmolStr,
    /// Interfaces to the external systems.
    pub ports: Ports,
    /// The hosts that are currently considered live.
    pub roster: Arc<dyn Roster>,
    /// Chooses the service instances for calls.
    pub instances: Arc<dyn Instances>,
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct CallContext {
    /// ID of the caller's request.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamId,
    /// Configuration of the service.
    pub service: Arc<Service>,
    /// The call to send to an instance.
    pub call: ServiceCall,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

/// Runs calls to plain services, and follows claim shards for this host and for its peers.
pub struct ServiceDispatcher {
    shared: Arc<Inner>,
}

struct Inner {
    host: HostId,
    incarnation: Incarnation,
    settings: Settings,
    /// Number of the next claim. Invariant: no number is used twice in an incarnation.
    next_claim: AtomicU64,
    ports: Ports,
    instances: Arc<dyn Instances>,
    shards: Arc<Shards>,
    client: Arc<Client>,
    outbox: Outbox,
    calls: TaskTracker,
}

impl ServiceDispatcher {
    /// Creates a dispatcher that follows no shard yet.
    pub fn new(context: DispatcherContext) -> Self {
        let shards = Arc::new(Shards::new(
            context.settings.clone(),
            Arc::clone(&context.ports.log),
            context.stream_prefix,
        ));
        let client = Arc::new(Client::new(
            context.host.clone(),
            Arc::clone(&shards),
            Arc::clone(&context.ports.peers),
            context.roster,
        ));
        Self {
            shared: Arc::new(Inner {
                host: context.host,
                incarnation: context.incarnation,
                outbox: Outbox::new(Arc::clone(&client), context.settings.key_life),
                settings: context.settings,
                next_claim: AtomicU64::new(0),
                ports: context.ports,
                instances: context.instances,
                shards,
                client,
                calls: TaskTracker::new(),
            }),
        }
    }

    /// Returns the shards that this host follows, which answer the requests of peers.
    pub fn shards(&self) -> &Arc<Shards> {
        &self.shared.shards
    }

    /// Returns the client that sends requests to shards, which operators' requests use too.
    pub fn client(&self) -> &Arc<Client> {
        &self.shared.client
    }

    /// Returns the time and size limits of claims.
    pub fn settings(&self) -> &Settings {
        &self.shared.settings
    }

    /// Runs a call.
    ///
    /// # Errors
    ///
    /// Returns a refusal whose outcome states what is known of the call. For a call with a key,
    /// `not_run` means that the log, read after the request arrived, shows no call under the key
    /// that ran or can still run.
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

    /// Hands over the shards, waits for the calls to end, and appends their outcomes to the log.
    pub async fn close(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        self.shared.client.hand_over(timeout / 4).await;
        self.shared.calls.close();
        // A call that outlasts the timeout leaves a claim without an outcome, which callers see as
        // unknown.
        let _timed_out = tokio::time::timeout_at(deadline, self.shared.calls.wait()).await;
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.shared.outbox.close(time_left).await;
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
        let time_left = call.deadline.saturating_duration_since(Instant::now());
        let timeout = time_left.min(Duration::from_millis(call.service.timeout_ms));
        spdlog::info!("service.chosen", kv: {
            request = call.request.as_str(),
            service = call.call.service.as_str(),
            target = target.id.as_str(),
        });
        self.service()
            .call(target, call.call.clone(), timeout)
            .await
    }

    /// Sends the call at most once. Tries another instance only if the call was not sent to the one
    /// before.
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
        let mut answer_lost_error = None;
        let targets = self.instances.instances(&call.call.service);
        for target in targets.iter().cycle().take(REPEATABLE_ATTEMPTS_MAX) {
            if Instant::now() >= call.deadline {
                break;
            }
            match self.send(target, call).await {
                Ok(answer) => return Ok(answer),
                Err(error) if is_unsent(&error) => {}
                Err(error) => answer_lost_error = Some(error),
            }
        }
        Err(match answer_lost_error {
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
