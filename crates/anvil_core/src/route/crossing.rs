//! Budget of a host for paths that go from one data centre to another.
//!
//! Answers the loss of a range of layers in a data centre under load: if every request that lacks
//! them there crossed to another data centre, the pipe between the two would fall behind, and
//! everything that crosses would stall. Those beyond the budget are refused at once.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Share of a pipe that is planned for: prompts come in clumps, and hosts do not see one another's
/// sends at once.
const USED_SHARE: f64 = 0.6;
/// Time for which unused budget is kept.
const KEPT: Duration = Duration::from_secs(2);

/// What one host may send across.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Tokens left. Below zero after a request that was larger than what was left.
    left_tokens: f64,
    /// When that was computed, on the host's clock.
    at: Duration,
}

impl Budget {
    /// The budget of a host that begins at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            left_tokens: 0.0,
            at: now,
        }
    }

    /// Whether a request may cross, where a token takes `pipe_time_ms` on the pipe and `host_count`
    /// hosts share it.
    pub fn allows(&mut self, pipe_time_ms: f64, host_count: usize, now: Duration) -> bool {
        if pipe_time_ms <= 0.0 {
            return true;
        }
        let tokens_per_s = USED_SHARE * 1e3 / pipe_time_ms / host_count.max(1) as f64;
        let elapsed_s = now.saturating_sub(self.at).as_secs_f64();
        let kept_tokens = tokens_per_s * KEPT.as_secs_f64();
        self.left_tokens = (self.left_tokens + tokens_per_s * elapsed_s).min(kept_tokens);
        self.at = now;
        self.left_tokens > 0.0
    }

    /// Counts the tokens of a request that crosses, for each crossing.
    pub fn take(&mut self, tokens: f64) {
        self.left_tokens -= tokens;
    }
}
