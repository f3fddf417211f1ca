//! Counts the tokens that are sent to a caller, and measures their times.

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

/// A sink that records the time of each token in the metrics before it passes the token on.
pub struct MeteredSink<'a> {
    sink: &'a mut dyn TokenSink,
    metrics: &'a Metrics,
    times: TokenTimes,
}

impl<'a> MeteredSink<'a> {
    /// Wraps `sink` for a request that arrived at the given time.
    pub fn new(sink: &'a mut dyn TokenSink, metrics: &'a Metrics, arrived: Instant) -> Self {
        Self {
            sink,
            metrics,
            times: TokenTimes::new(arrived),
        }
    }

    /// Records the end of a request that was answered completely.
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
