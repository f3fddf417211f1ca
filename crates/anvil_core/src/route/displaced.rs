//! Forecasts how long requests wait for prefill at the engines that take over from a lost one.
//!
//! Load that it answers: an engine through which some hundred streams pass is lost. All hosts move
//! these streams within the same tenth of a second, and the engines that take over must prefill every
//! token so far. Hosts that know the same loads choose the same cheapest engine, whose backlog then
//! grows to a second, while other engines with the same layers have none. New requests wait behind it.
//!
//! No message could tell of this backlog in time. Each host therefore forecasts it from the load that
//! the lost engine had, and assumes that a random share of it is before its own request. Requests thus
//! spread over the engines in proportion to their speed.

use std::time::Duration;

use crate::{
    engine_model::EngineProfile,
    id::LayerRange,
    route::engine_driven::Worker, //
};

#[cfg(test)]
mod tests;

/// Time from the loss of an engine for which its requests are taken to move. Later, the loads that hosts
/// exchange contain them.
pub const DISPLACEMENT_TIME: Duration = Duration::from_millis(2500);

/// Factor on the pure prefill time of a backlog, since each pass that prefills also runs the steps of the
/// sequences that write.
const PASS_FACTOR: f64 = 2.0;

/// The requests of an engine that was lost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Displaced {
    /// Index of the data centre of the engine.
    pub data_centre: usize,
    /// Layers that the engine held. Invariant: not empty.
    pub layers: LayerRange,
    /// Memory that its requests took, in tokens times layers.
    pub token_layers: f64,
    /// Time since the loss was first seen.
    pub age: Duration,
}

impl Displaced {
    /// Returns the time for which `worker` prefills `share` of the displaced requests, of which what it
    /// has done since the loss is subtracted. `share` is in `0.0..=1.0`.
    fn wait_ms(&self, engine: &EngineProfile, worker: &Worker, share: f64) -> f64 {
        let first = worker.layers.first.max(self.layers.first);
        let end = worker.layers.end.min(self.layers.end);
        if worker.data_centre != self.data_centre || first >= end {
            return 0.0;
        }
        let tokens = share * self.token_layers / f64::from(self.layers.count().max(1));
        let prefill_ms = engine.prefill_time_ms(worker.kind, end - first, tokens);
        (PASS_FACTOR * worker.slowdown * prefill_ms - self.age.as_secs_f64() * 1e3).max(0.0)
    }
}

/// Returns the expected wait for prefill at `worker`, if `share` of all displaced requests is before a
/// new one there. Requests that moved more than [`DISPLACEMENT_TIME`] ago no longer count.
pub fn prefill_wait_ms(
    engine: &EngineProfile,
    worker: &Worker,
    displaced: &[Displaced],
    share: f64,
) -> f64 {
    displaced
        .iter()
        .filter(|displaced| displaced.age < DISPLACEMENT_TIME)
        .map(|displaced| displaced.wait_ms(engine, worker, share))
        .sum()
}
