//! Runs a request over the targets that tile its model's layers, and recovers it when they fail.

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
    /// Team that asks.
    pub team: TeamId,
    /// Model that shall answer.
    pub model: ModelId,
    /// Prompt. Invariant: not empty.
    pub prompt: Vec<Token>,
    /// Most tokens to answer with. Invariant: above 0.
    pub limit_tokens: u32,
    /// Priority; larger goes first.
    pub priority: u8,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller no longer needs the answer.
    pub deadline: Instant,
}

/// Receives the tokens of an answer, in order.
pub trait TokenSink: Send {
    /// Takes the next token. An error means that the caller is gone.
    fn emit(&mut self, token: Token) -> BoxFuture<'_, Result<(), CallerDisconnected>>;
}

/// The caller no longer waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

/// Runs a job to its last token.
///
/// # Errors
///
/// An honest refusal: `not_run` only where no step was sent.
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
