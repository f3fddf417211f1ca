//! Runs a request over the targets that together hold its model's layers, and recovers it when a
//! target fails.

mod ask;
mod recover;
mod relocate;
mod router;
mod sequence;
mod stage;
mod wait;

use std::{
    sync::Arc,
    time::Instant, //
};

use anvil_core::{
    id::{
        ModelId,
        RequestId,
        TeamId,
        Token, //
    },
    outcome::{
        Reason,
        Refused, //
    }, //
};
use futures::future::BoxFuture;

use crate::shared::Shared;
use sequence::Sequence;

/// A completion to run.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier of the request.
    pub request: RequestId,
    /// Team whose limits the request is charged to.
    pub team: TeamId,
    /// Model that answers.
    pub model: ModelId,
    /// Prompt tokens. Invariant: not empty.
    pub prompt: Vec<Token>,
    /// Maximum number of answer tokens. Invariant: above 0.
    pub limit_tokens: u32,
    /// Priority; larger values run first.
    pub priority: u8,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
}

/// Receives the tokens of an answer, in order.
pub trait TokenSink: Send {
    /// Passes the next token on. Returns an error if the caller has disconnected.
    fn emit(&mut self, token: Token) -> BoxFuture<'_, Result<(), CallerDisconnected>>;
}

/// The caller no longer waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Runs a job until its last token has been emitted.
///
/// # Errors
///
/// Returns a refusal. Its outcome is `not_run` only if no step was sent to any target.
pub async fn run(shared: &Arc<Shared>, job: &Job, sink: &mut dyn TokenSink) -> Result<(), Refused> {
    let mut sequence = Sequence::open(shared, job)?;
    let result = decode(&mut sequence, job, sink).await;
    let attempt_count = sequence.next_attempt;
    shared.metrics.attempts.record(f64::from(attempt_count));
    sequence.close();
    result
}

async fn decode(
    sequence: &mut Sequence<'_>,
    job: &Job,
    sink: &mut dyn TokenSink,
) -> Result<(), Refused> {
    for _ in 0..job.limit_tokens {
        let token = sequence.next_token().await?;
        if sink.emit(token).await.is_err() {
            return Err(Refused::unknown(Reason::Deadline, "the caller is gone"));
        }
    }
    Ok(())
}
