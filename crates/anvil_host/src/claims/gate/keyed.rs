//! Runs a call under an idempotency key: appends a claim, reads it back from the log, sends the
//! call once, and records its outcome.

use std::sync::Arc;

use anvil_core::{
    claims::{
        Answer,
        AnswerBody,
        Key,
        KeyHash,
        KeyStatus,
        Record,
        RequestDigest,
        Ruling,
        Shard,
        claimant::{
            AcquiredClaim,
            ClaimResult,
            PendingClaim,
            ReleaseCause,
            ReleasedClaim,
            Window, //
        },
        request_digest,
        shard_of, //
    },
    id::Offset,
    outcome::{
        Reason,
        Refused, //
    }, //
};
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use super::{
    CallContext,
    Inner,
    RETRY_AFTER,
    is_unsent, //
};
use crate::{
    claims::{
        codec,
        messages::{
            AppendState,
            Freshness,
            KeyView, //
            ShardRequest,
            ShardResponse,
            ShardUnavailable,
        },
        outbox::Delivery, //
    },
    port::ServiceAnswer, //
};

/// A call with its key, and the hash, digest and shard that follow from it.
struct KeyedCall {
    inner: Arc<Inner>,
    call: CallContext,
    key: Key,
    hash: KeyHash,
    digest: RequestDigest,
    shard: Shard,
    arrived_at: Instant,
}

/// Runs a call under an idempotency key, or answers it from the outcome of an earlier call.
pub async fn call(
    inner: &Arc<Inner>,
    call: CallContext,
    key: Key,
) -> Result<ServiceAnswer, Refused> {
    let hash = key.hash();
    let content_type = call.call.content_type.as_ref();
    let digest = request_digest(
        call.call.method.as_str(),
        &call.call.path,
        content_type.map_or(&[], |value| value.as_bytes()),
        &call.call.body,
    );
    let keyed_call = KeyedCall {
        inner: Arc::clone(inner),
        call,
        key,
        hash,
        digest,
        shard: shard_of(&hash),
        arrived_at: Instant::now(),
    };
    keyed_call.run().await
}

impl KeyedCall {
    async fn run(self) -> Result<ServiceAnswer, Refused> {
        let view = match self.look_up(Freshness::Known).await {
            Ok(view) => view,
            Err(error) => return Err(self.log_unavailable(&error)),
        };
        match view.key_status {
            KeyStatus::Free => self.spawn_claim(view.end_offset).await,
            key_status => self.answer_key_status(key_status).await,
        }
    }

    /// Claims and sends in a separate task, so that a caller's disconnect aborts neither the call
    /// nor the recording of its outcome.
    async fn spawn_claim(self, seen_offset: Offset) -> Result<ServiceAnswer, Refused> {
        let (reply, answer) = oneshot::channel();
        let calls = self.inner.calls.clone();
        calls.spawn(async move {
            let result = self.claim(seen_offset, &reply).await;
            let _disconnected = reply.send(result);
        });
        answer.await.unwrap_or_else(|_| {
            Err(Refused::unknown(
                Reason::AnswerLost,
                "the call's task was stopped",
            ))
        })
    }

    async fn claim(
        &self,
        seen_offset: Offset,
        caller_reply: &oneshot::Sender<Result<ServiceAnswer, Refused>>,
    ) -> Result<ServiceAnswer, Refused> {
        let window = Window::new(
            self.arrived_at.into_std(),
            self.inner.settings.send_window,
            self.call.deadline.into_std(),
        );
        let claim = self.inner.new_claim_id();
        let pending_claim =
            PendingClaim::new(self.key.clone(), self.digest, claim, seen_offset, window);
        let request = ShardRequest::Append(pending_claim.record());
        let deadline = self
            .log_deadline()
            .min(Instant::from_std(window.send_until()));
        let key_status = match self
            .inner
            .client
            .send_request(self.shard, &request, deadline)
            .await
        {
            Ok(ShardResponse::KeyView(view)) => view.key_status,
            Ok(ShardResponse::ReadBack | ShardResponse::OpenClaims(_)) | Err(_) => {
                return self
                    .release(pending_claim.release(ReleaseCause::NotReadBack))
                    .await;
            }
        };
        match pending_claim.resolve(key_status) {
            ClaimResult::Won(acquired_claim) => self.send(acquired_claim, caller_reply).await,
            ClaimResult::Lost(key_status) => self.answer_key_status(key_status).await,
            ClaimResult::Released(released) => self.release(released).await,
        }
    }

    async fn send(
        &self,
        mut acquired_claim: AcquiredClaim,
        caller_reply: &oneshot::Sender<Result<ServiceAnswer, Refused>>,
    ) -> Result<ServiceAnswer, Refused> {
        for target in self.inner.instances.instances(&self.call.call.service) {
            if caller_reply.is_closed() {
                break;
            }
            let in_flight_call = match acquired_claim.send(Instant::now().into_std()) {
                Ok(in_flight_call) => in_flight_call,
                Err(released) => return self.release(released).await,
            };
            match self.inner.send(&target, &self.call).await {
                Ok(answer) => {
                    let answer_record =
                        answer_to_record(&answer, self.inner.settings.answer_limit_bytes);
                    self.inner
                        .outbox
                        .enqueue(in_flight_call.answered(answer_record));
                    return Ok(answer);
                }
                Err(error) if is_unsent(&error) => acquired_claim = in_flight_call.not_sent(),
                Err(error) => {
                    spdlog::warn!("claims.answer_lost", kv: {
                        request = self.call.request.as_str(),
                        error: = error,
                    });
                    self.inner
                        .outbox
                        .enqueue(in_flight_call.lost(error.to_string()));
                    return Err(Refused::unknown(Reason::AnswerLost, error.to_string()));
                }
            }
        }
        self.release(acquired_claim.release(ReleaseCause::NoTarget))
            .await
    }

    /// Refuses a call that was not sent. The refusal says `not_run` once the log shows that no call
    /// holds the key. The release is appended even if the claim never was, because it voids every
    /// claim by a copy of the call that began before the release.
    async fn release(&self, released: ReleasedClaim) -> Result<ServiceAnswer, Refused> {
        spdlog::info!("claims.released", kv: {
            request = self.call.request.as_str(),
            cause: = released.cause(),
        });
        let mut delivery = self.inner.outbox.enqueue(released.record());
        let wait_for_read_back = delivery.wait_for(|delivery| *delivery == Delivery::ReadBack);
        let waited = tokio::time::timeout_at(self.log_deadline(), wait_for_read_back).await;
        let is_read_back = matches!(waited, Ok(Ok(_)));
        drop(waited);
        if !is_read_back {
            return Err(self.unproven_refusal(released.cause()));
        }
        match self.look_up(Freshness::Fresh).await {
            Ok(KeyView {
                key_status: KeyStatus::Free,
                ..
            }) => Err(self.not_run_refusal(released.cause())),
            Ok(view) => Box::pin(self.answer_key_status(view.key_status)).await,
            Err(_) => Err(self.unproven_refusal(released.cause())),
        }
    }

    /// Answers a call whose key is claimed, closed, settled, expired, or used for another call.
    async fn answer_key_status(&self, key_status: KeyStatus) -> Result<ServiceAnswer, Refused> {
        match key_status {
            KeyStatus::Free => Err(in_progress_refusal()),
            KeyStatus::Claimed {
                lost: Some(cause), ..
            } => Err(Refused::unknown(
                Reason::AnswerLost,
                format!("a call under this key was sent and its answer lost: {cause}"),
            )),
            KeyStatus::Claimed { lost: None, .. } => self.await_outcome().await,
            KeyStatus::Closed { outcome_offset } => self.fetch_outcome(outcome_offset).await,
            KeyStatus::Settled {
                ruling: Ruling::Ran,
            } => Err(Refused::unknown(
                Reason::AnswerLost,
                "an operator found that the call ran; its answer is lost",
            )),
            KeyStatus::Settled {
                ruling: Ruling::NotRun,
            } => Err(Refused::not_run(
                Reason::AnswerLost,
                "an operator found that the call did not run; use a new key",
            )),
            KeyStatus::OtherDigest => Err(Refused::not_run(
                Reason::KeyReused,
                "the idempotency key was used for another call",
            )),
            KeyStatus::Expired => Err(Refused::unknown(
                Reason::KeyExpired,
                "the idempotency key is older than the life of keys",
            )),
        }
    }

    async fn await_outcome(&self) -> Result<ServiceAnswer, Refused> {
        let request = ShardRequest::AwaitOutcome {
            hash: self.hash,
            digest: self.digest,
        };
        let deadline = self.call.deadline;
        match self
            .inner
            .client
            .send_request(self.shard, &request, deadline)
            .await
        {
            Ok(ShardResponse::KeyView(KeyView {
                // The key was released, or its claim is still open at the deadline. This request
                // has appended no release of its own that would void later claims by copies of the
                // call, so `not_run` is not proven.
                key_status: KeyStatus::Free | KeyStatus::Claimed { lost: None, .. },
                ..
            })) => Err(in_progress_refusal()),
            Ok(ShardResponse::KeyView(view)) => {
                Box::pin(self.answer_key_status(view.key_status)).await
            }
            Ok(ShardResponse::ReadBack | ShardResponse::OpenClaims(_)) | Err(_) => {
                Err(in_progress_refusal())
            }
        }
    }

    async fn fetch_outcome(&self, offset: Offset) -> Result<ServiceAnswer, Refused> {
        let stream = self.inner.shards.stream(self.shard);
        let wait = std::time::Duration::ZERO;
        let read = self.inner.ports.log.read(&stream, offset, 1, wait);
        let unavailable = |message: String| {
            Refused::unknown(
                Reason::LogUnavailable,
                format!("the call ran; its answer can't be read now: {message}"),
            )
            .retry_after(RETRY_AFTER)
        };
        let batch = tokio::time::timeout_at(self.log_deadline(), read)
            .await
            .map_err(|_| unavailable("no answer in time".to_owned()))?
            .map_err(|error| unavailable(error.to_string()))?;
        let record = batch
            .records
            .first()
            .filter(|record| record.offset == offset);
        let Some(record) = record else {
            return Err(Refused::unknown(
                Reason::KeyExpired,
                "the call ran; the log no longer keeps its answer",
            ));
        };
        match codec::decode(&record.payload) {
            Ok(Record::Outcome { hash, answer, .. }) => {
                assert_eq!(hash, self.hash, "outcome of another key at {offset}");
                answer_from_record(answer)
            }
            Ok(_) | Err(_) => Err(unavailable("not an outcome".to_owned())),
        }
    }

    async fn look_up(&self, freshness: Freshness) -> Result<KeyView, ShardUnavailable> {
        let request = ShardRequest::Lookup {
            hash: self.hash,
            digest: self.digest,
            freshness,
        };
        let deadline = self.log_deadline();
        match self
            .inner
            .client
            .send_request(self.shard, &request, deadline)
            .await?
        {
            ShardResponse::KeyView(view) => Ok(view),
            ShardResponse::ReadBack | ShardResponse::OpenClaims(_) => Err(ShardUnavailable {
                shard: self.shard,
                append_state: AppendState::NotAppended,
                message: "not an answer to a look-up".to_owned(),
            }),
        }
    }

    /// Returns the time by which one request to a shard or the log must be answered.
    fn log_deadline(&self) -> Instant {
        let deadline = Instant::now() + self.inner.settings.read_back_timeout;
        deadline.min(self.call.deadline)
    }

    fn not_run_refusal(&self, cause: ReleaseCause) -> Refused {
        let reason = match cause {
            ReleaseCause::NotReadBack => Reason::LogUnavailable,
            ReleaseCause::WindowOver => Reason::Deadline,
            ReleaseCause::NoTarget => Reason::NoRoute,
            ReleaseCause::Superseded => Reason::KeyInProgress,
        };
        Refused::not_run(
            reason,
            format!("the call was not sent ({cause}); repeat it under the same key"),
        )
        .retry_after(RETRY_AFTER)
    }

    fn unproven_refusal(&self, cause: ReleaseCause) -> Refused {
        Refused::unknown(
            Reason::LogUnavailable,
            format!(
                "this request was not sent ({cause}), but the log can't be asked for others under \
                 its key; repeat it under the same key"
            ),
        )
        .retry_after(RETRY_AFTER)
    }

    fn log_unavailable(&self, error: &ShardUnavailable) -> Refused {
        spdlog::warn!("claims.unavailable", kv: {
            request = self.call.request.as_str(),
            error: = error,
        });
        self.unproven_refusal(ReleaseCause::NotReadBack)
    }
}

fn in_progress_refusal() -> Refused {
    Refused::unknown(
        Reason::KeyInProgress,
        "a call under this key has no outcome yet; repeat it under the same key",
    )
    .retry_after(RETRY_AFTER)
}

fn answer_to_record(answer: &ServiceAnswer, limit_bytes: usize) -> Answer {
    let body = if answer.body.len() <= limit_bytes {
        AnswerBody::Whole(answer.body.clone())
    } else {
        AnswerBody::TooLarge {
            body_bytes: answer.body.len() as u64,
        }
    };
    Answer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body,
    }
}

fn answer_from_record(answer: Answer) -> Result<ServiceAnswer, Refused> {
    match answer.body {
        AnswerBody::Whole(body) => Ok(ServiceAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body,
        }),
        AnswerBody::TooLarge { body_bytes } => Err(Refused::unknown(
            Reason::AnswerLost,
            format!("the call ran; its answer of {body_bytes} bytes was too large to keep"),
        )),
    }
}
