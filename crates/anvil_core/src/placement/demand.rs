//! Estimates the demand for a model from the load reports of its engines.

use std::time::{
    Duration,
    Instant, //
};

use super::Settings;

/// Smoothed demand for a model.
#[derive(Debug)]
pub struct Demand {
    utilisation_high: f64,
    utilisation_low: f64,
    queue_high_steps: f64,
    cool_down: Duration,
    smoothing: Duration,
    /// Smoothed share of the engines' capacity in use; `None` before the first observation.
    utilisation: Option<f64>,
    observed_at: Option<Instant>,
    /// When the utilisation last fell below `utilisation_low`, or when the cool-down was restarted
    /// since; `None` while the utilisation isn't low.
    low_since: Option<Instant>,
}

impl Demand {
    /// Creates a demand without observations.
    pub fn new(settings: &Settings) -> Self {
        Self {
            utilisation_high: settings.utilisation_high,
            utilisation_low: settings.utilisation_low,
            queue_high_steps: f64::from(settings.queue_high_steps.max(1)),
            cool_down: settings.cool_down,
            smoothing: settings.smoothing,
            utilisation: None,
            observed_at: None,
            low_since: None,
        }
    }

    /// Records the reported load of the pool's engines. The two rates are sums over the engines.
    ///
    /// A queue counts as capacity in use: at a mean depth of `queue_high_steps`, all of it.
    pub fn observe(
        &mut self,
        used_token_layers_per_s: f64,
        capacity_token_layers_per_s: f64,
        mean_queue_depth_steps: f64,
        now: Instant,
    ) {
        if capacity_token_layers_per_s <= 0.0 {
            return;
        }
        let used_share = used_token_layers_per_s / capacity_token_layers_per_s;
        let observed = used_share.max(mean_queue_depth_steps / self.queue_high_steps);
        let elapsed = self
            .observed_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let decay = (-elapsed.as_secs_f64() / self.smoothing.as_secs_f64().max(1e-3)).exp();
        let smoothed = match self.utilisation {
            Some(previous) => previous * decay + observed * (1.0 - decay),
            None => observed,
        };
        self.utilisation = Some(smoothed);
        self.observed_at = Some(now);
        if smoothed < self.utilisation_low {
            self.low_since.get_or_insert(now);
        } else {
            self.low_since = None;
        }
    }

    /// Returns the number of replicas that the demand requires if there are `replicas` now.
    pub fn required_replicas(&self, replicas: u32, now: Instant) -> u32 {
        let Some(utilisation) = self.utilisation else {
            return replicas;
        };
        if utilisation > self.utilisation_high {
            let needed = f64::from(replicas) * utilisation / self.utilisation_high;
            // At most doubles the replicas at once, because a queue shows that more are needed but
            // not how many.
            return (needed.ceil() as u32).clamp(replicas + 1, replicas.saturating_mul(2).max(1));
        }
        if self.is_cooled_down(now) {
            return replicas.saturating_sub(1);
        }
        replicas
    }

    /// Returns whether the demand has been low for the whole cool-down.
    pub fn is_cooled_down(&self, now: Instant) -> bool {
        self.low_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.cool_down)
    }

    /// Restarts the cool-down after a replica was removed.
    pub fn restart_cool_down(&mut self, now: Instant) {
        if self.low_since.is_some() {
            self.low_since = Some(now);
        }
    }
}
