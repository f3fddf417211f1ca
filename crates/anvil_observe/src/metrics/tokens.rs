//! Measures the times at which the tokens of an answer are sent.

use std::time::Instant;

use super::Metrics;

/// Records the metrics of one answer: time to first token, time per output token and duration.
#[derive(Clone, Copy, Debug)]
pub struct TokenTimes {
    arrived_at: Instant,
    last_token_at: Option<Instant>,
}

impl TokenTimes {
    /// Creates the record of an answer to a request that arrived at `arrived_at`.
    pub fn new(arrived_at: Instant) -> Self {
        Self {
            arrived_at,
            last_token_at: None,
        }
    }

    /// Records a token that was sent at `now`.
    pub fn token(&mut self, metrics: &Metrics, now: Instant) {
        match self.last_token_at {
            None => metrics
                .time_to_first_token
                .record_duration(now.saturating_duration_since(self.arrived_at)),
            Some(last_token_at) => metrics
                .time_per_output_token
                .record_duration(now.saturating_duration_since(last_token_at)),
        }
        metrics.tokens_answer.add(1);
        self.last_token_at = Some(now);
    }

    /// Records the end, at `now`, of a request that was answered completely.
    pub fn close(self, metrics: &Metrics, now: Instant) {
        metrics
            .request_duration
            .record_duration(now.saturating_duration_since(self.arrived_at));
        metrics.requests_answered.add(1);
    }
}
