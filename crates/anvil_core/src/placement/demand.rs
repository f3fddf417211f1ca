//! Demand for a model as its engines report it.

use std::time::{
    Duration,
    Instant, //
};

use super::Settings;

/// Demand for a model, smoothed.
#[derive(Debug)]
pub struct Demand {
    high: f64,
    low: f64,
    queue_high_steps: f64,
    cool_down: Duration,
    smoothing: Duration,
    /// Share of the engines' capacity in use.
    utilisation: Option<f64>,
    seen_at: Option<Instant>,
    /// Since when the utilisation has been low without a break.
    low_since: Option<Instant>,
}

impl Demand {
    /// Makes a demand of which nothing was seen.
    pub fn new(settings: &Settings) -> Self {
        Self {
            high: settings.utilisation_high,
            low: settings.utilisation_low,
            queue_high_steps: f64::from(settings.queue_high_steps.max(1)),
            cool_down: settings.cool_down,
            smoothing: settings.smoothing,
            utilisation: None,
            seen_at: None,
            low_since: None,
        }
    }

    /// Notes the sums over the pool's engines. A queue counts as capacity that is used up.
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
        let used = used_token_layers_per_s / capacity_token_layers_per_s;
        let seen = used.max(mean_queue_depth_steps / self.queue_high_steps);
        let elapsed = self
            .seen_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let keep = (-elapsed.as_secs_f64() / self.smoothing.as_secs_f64().max(1e-3)).exp();
        let smoothed = match self.utilisation {
            Some(before) => before * keep + seen * (1.0 - keep),
            None => seen,
        };
        self.utilisation = Some(smoothed);
        self.seen_at = Some(now);
        if smoothed < self.low {
            self.low_since.get_or_insert(now);
        } else {
            self.low_since = None;
        }
    }

    /// Replicas that the demand needs, where there are `replicas` now.
    pub fn wanted_replicas(&self, replicas: u32, now: Instant) -> u32 {
        let Some(utilisation) = self.utilisation else {
            return replicas;
        };
        if utilisation > self.high {
            let needed = f64::from(replicas) * utilisation / self.high;
            // At most twice as many at once: a queue says that more is needed, not how much.
            return (needed.ceil() as u32).clamp(replicas + 1, replicas.saturating_mul(2).max(1));
        }
        if self.is_low_for_long(now) {
            return replicas.saturating_sub(1);
        }
        replicas
    }

    /// Tells whether the demand has been low for the whole cool-down.
    pub fn is_low_for_long(&self, now: Instant) -> bool {
        self.low_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.cool_down)
    }

    /// Starts the cool-down anew, after a replica was removed.
    pub fn restart_cool_down(&mut self, now: Instant) {
        if self.low_since.is_some() {
            self.low_since = Some(now);
        }
    }
}
