//! Predicts how long requests take, and how fast the queue of a model drains.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering::Relaxed, //
    },
    time::{
        Duration,
        Instant, //
    },
};

/// Weight of a new sample in a running mean.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Shortest time over which a drain rate is measured.
const DRAIN_WINDOW: Duration = Duration::from_millis(250);
/// Weight of a new window in the drain rate.
const DRAIN_WEIGHT: f64 = 0.4;

/// Running means of the latencies of one model's requests. Concurrent updates may lose a sample,
/// which changes a mean only a little.
#[derive(Debug, Default)]
pub struct Prediction {
    first_token_ns: AtomicU64,
    between_tokens_ns: AtomicU64,
}

impl Prediction {
    /// Records the time from admission to the first token.
    pub fn observe_first_token(&self, time: Duration) {
        observe(&self.first_token_ns, time);
    }

    /// Records the time between two tokens.
    pub fn observe_between_tokens(&self, time: Duration) {
        observe(&self.between_tokens_ns, time);
    }

    /// Returns the time that an answer of `answer_tokens` takes; zero before the first sample.
    pub fn service_time(&self, answer_tokens: u32) -> Duration {
        let first = Duration::from_nanos(self.first_token_ns.load(Relaxed));
        let between = Duration::from_nanos(self.between_tokens_ns.load(Relaxed));
        first + between.saturating_mul(answer_tokens.saturating_sub(1))
    }
}

fn observe(mean_ns: &AtomicU64, time: Duration) {
    let sample_ns = time.as_nanos() as f64;
    let old_ns = mean_ns.load(Relaxed);
    let new_ns = if old_ns == 0 {
        sample_ns
    } else {
        old_ns as f64 + (sample_ns - old_ns as f64) * SAMPLE_WEIGHT
    };
    mean_ns.store(new_ns as u64, Relaxed);
}

/// Rate at which a model's admitted work completes.
#[derive(Debug)]
pub struct DrainRate {
    window_start: Instant,
    window_start_tokens: u64,
    /// Tokens per second; `None` before the end of the first window.
    rate_tokens_per_s: Option<f64>,
}

impl DrainRate {
    /// Starts to measure at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            window_start: now,
            window_start_tokens: 0,
            rate_tokens_per_s: None,
        }
    }

    /// Updates the rate from the number of tokens completed since the start.
    pub fn update(&mut self, completed_tokens: u64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.window_start);
        if elapsed < DRAIN_WINDOW {
            return;
        }
        let window_tokens = completed_tokens.saturating_sub(self.window_start_tokens) as f64;
        let measured = window_tokens / elapsed.as_secs_f64();
        self.rate_tokens_per_s = Some(match self.rate_tokens_per_s {
            // The rate of a long window is more reliable, so it replaces the old rate.
            Some(old) if elapsed < DRAIN_WINDOW * 8 => old + (measured - old) * DRAIN_WEIGHT,
            Some(_) | None => measured,
        });
        self.window_start = now;
        self.window_start_tokens = completed_tokens;
    }

    /// Returns the time in which `backlog_tokens` drain, or `None` while the rate is unknown or 0.
    pub fn time_for(&self, backlog_tokens: u64) -> Option<Duration> {
        let rate = self.rate_tokens_per_s?;
        if rate <= 0.0 {
            return None;
        }
        let seconds = (backlog_tokens as f64 / rate).min(PREDICTED_WAIT_MAX_S);
        Some(Duration::from_secs_f64(seconds))
    }
}

/// Upper bound of a predicted wait, far above every deadline.
const PREDICTED_WAIT_MAX_S: f64 = 86_400.0;
