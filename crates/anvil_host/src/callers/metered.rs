//! Counts and times what a caller is given.

use std::time::Instant;

use anvil_core::id::Token;
use anvil_observe::metrics::{
    Metrics,
    TokenTimes, //
};
use futures::future::BoxFuture;

use crate::pipeline::{
    CallerDisconnected,
    TokenSink, //
};

/// A sink that records each token before it passes it on.
pub struct MeteredSink<'a> {
    sink: &'a mut dyn TokenSink,
    metrics: &'a Metrics,
    times: TokenTimes,
}

impl<'a> MeteredSink<'a> {
    /// Records the tokens that go into `sink` for a request that arrived at a time.
    pub fn new(sink: &'a mut dyn TokenSink, metrics: &'a Metrics, arrived: Instant) -> Self {
        Self {
            sink,
            metrics,
            times: TokenTimes::new(arrived),
        }
    }

    /// Records the end of a request that was answered whole.
    pub fn close(self) {
        self.times.close(self.metrics, Instant::now());
    }
}

impl TokenSink for MeteredSink<'_> {
    fn emit(&mut self, token: Token) -> BoxFuture<'_, Result<(), CallerDisconnected>> {
        self.times.token(self.metrics, Instant::now());
        self.sink.emit(token)
    }
}
