//! Budget of a host for paths that cross from one data centre to another.
//!
//! The budget protects the pipe, the link that all transfers between two data centres share. When
//! a data centre loses a layer range under load and every request that needs it crosses to another
//! data centre, the pipe becomes overloaded and all crossing requests stall. Requests beyond the
//! budget are therefore refused at once.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Share of the pipe's rate that the budgets of all hosts together may use: prompts arrive in
/// bursts, and hosts learn of each other's transfers only with a delay.
const PIPE_RATE_SHARE: f64 = 0.6;
/// Longest time over which unused budget accumulates.
const ACCUMULATION_MAX: Duration = Duration::from_secs(2);

/// Tokens that one host may send to other data centres, refilled at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Remaining tokens. Negative after a request that was larger than the remaining budget.
    remaining_tokens: f64,
    /// Time of the last refill, on the host's clock.
    updated_at: Duration,
}

impl Budget {
    /// Creates an empty budget for a host that starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            remaining_tokens: 0.0,
            updated_at: now,
        }
    }

    /// Refills the budget up to `now` and returns whether a request may cross. A token takes
    /// `pipe_time_ms` on the pipe, which `host_count` hosts share. If `pipe_time_ms` is 0,
    /// transfers take no time and every request may cross.
    pub fn allows(&mut self, pipe_time_ms: f64, host_count: usize, now: Duration) -> bool {
        if pipe_time_ms <= 0.0 {
            return true;
        }
        let tokens_per_s = PIPE_RATE_SHARE * 1e3 / pipe_time_ms / host_count.max(1) as f64;
        let elapsed_s = now.saturating_sub(self.updated_at).as_secs_f64();
        let limit_tokens = tokens_per_s * ACCUMULATION_MAX.as_secs_f64();
        self.remaining_tokens =
            (self.remaining_tokens + tokens_per_s * elapsed_s).min(limit_tokens);
        self.updated_at = now;
        self.remaining_tokens > 0.0
    }

    /// Deducts the tokens of a crossing request, counted once for each crossing of its path.
    pub fn take(&mut self, tokens: f64) {
        self.remaining_tokens -= tokens;
    }
}
