//! Times the tokens of an answer for the gate that let the request in.

use std::time::{
    Duration,
    Instant, //
};

use anvil_core::{
    concurrency::Outcome,
    id::Token, //
};
use futures::{
    FutureExt,
    future::BoxFuture, //
};

use super::{
    Admitted,
    STRETCH_TOLERANCE, //
};
use crate::pipeline::{
    CallerDisconnected,
    TokenSink, //
};

/// A sink that times tokens before it passes them on.
pub struct ObservedSink<'a> {
    sink: &'a mut dyn TokenSink,
    admitted: &'a Admitted,
    /// When the caller had taken the token before, so that a slow caller doesn't count.
    taken: Option<Instant>,
    /// Tokens passed on.
    token_count: u64,
    idle_time: Duration,
}

impl<'a> ObservedSink<'a> {
    /// Times the tokens that go into `sink`.
    pub fn new(sink: &'a mut dyn TokenSink, admitted: &'a Admitted) -> Self {
        let goal = admitted.gate.settings().between_tokens_goal;
        Self {
            sink,
            admitted,
            taken: None,
            token_count: 0,
            idle_time: goal.div_f64(STRETCH_TOLERANCE),
        }
    }

    /// Tokens passed on.
    pub fn token_count(&self) -> u64 {
        self.token_count
    }

    fn observe(&self, now: Instant) {
        let gate = &self.admitted.gate;
        let Some(taken) = self.taken else {
            gate.prediction.observe_first_token(self.admitted.elapsed());
            return;
        };
        let service_time = now.saturating_duration_since(taken);
        gate.prediction.observe_between_tokens(service_time);
        gate.limiter().observe(
            Outcome::Answered {
                service_time,
                idle_time: self.idle_time,
            },
            now,
        );
    }
}

impl TokenSink for ObservedSink<'_> {
    fn emit(&mut self, token: Token) -> BoxFuture<'_, Result<(), CallerDisconnected>> {
        self.observe(Instant::now());
        async move {
            let result = self.sink.emit(token).await;
            self.token_count += 1;
            self.taken = Some(Instant::now());
            result
        }
        .boxed()
    }
}
