//! Measures the times between the tokens of an answer, for the gate that admitted the request.

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

/// Token sink that measures the time of each token before it passes the token on.
pub struct ObservedSink<'a> {
    sink: &'a mut dyn TokenSink,
    admitted: &'a Admitted,
    /// Time at which the caller had taken the previous token. The next token's time counts from
    /// here, so that a slow caller does not count. `None` before the first token.
    taken_at: Option<Instant>,
    /// Number of tokens passed on.
    token_count: u64,
    idle_time: Duration,
}

impl<'a> ObservedSink<'a> {
    /// Creates a sink that measures the times of the tokens that go into `sink`.
    pub fn new(sink: &'a mut dyn TokenSink, admitted: &'a Admitted) -> Self {
        let goal = admitted.gate.settings().between_tokens_goal;
        Self {
            sink,
            admitted,
            taken_at: None,
            token_count: 0,
            idle_time: goal.div_f64(STRETCH_TOLERANCE),
        }
    }

    /// Returns the number of tokens passed on.
    pub fn token_count(&self) -> u64 {
        self.token_count
    }

    fn observe(&self, now: Instant) {
        let gate = &self.admitted.gate;
        let Some(taken_at) = self.taken_at else {
            gate.prediction.observe_first_token(self.admitted.elapsed());
            return;
        };
        let service_time = now.saturating_duration_since(taken_at);
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
            self.taken_at = Some(Instant::now());
            result
        }
        .boxed()
    }
}
