//! When a stream that pauses is taken to wait for a lost engine, and for which engine of its path.
//!
//! Load that it answers: a joint crash of engines that hundreds of streams pass through. The platform
//! tells of a stalled stream only some 300 ms after its last event, and cuts it off after seconds;
//! callers count a pause as late from 200 to 300 ms on. A connection shows sooner whether an engine
//! is there. It is opened only to engines without progress of any stream, and only for streams that
//! ran evenly before, so that slow engines under load are not probed.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Shortest pause after which engines are probed: several usual pauses, and more than the variation
/// of an engine that is in use.
const PROBE_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest pause after which engines are probed. Later, the engines' own reports tell more.
const PROBE_DELAY_MAX: Duration = Duration::from_millis(250);
/// Ratio of the pause to the predicted one from which on engines are probed.
const PREDICTED_PAUSE_FACTOR: u32 = 3;
/// The same for the longest pause of the stream so far, as a ratio.
const LONGEST_PAUSE_RATIO: f64 = 1.5;

/// What is known of an engine of a path whose stream pauses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Another stream through the engine made progress since, or it accepted a connection.
    Alive,
    /// The engine refused a connection, or did not accept it in time.
    Lost,
}

/// Returns the pause after which the engines of a stream's path are probed. Returns `None` for a
/// stream with pauses that are long anyway.
pub fn probe_delay(predicted_pause: Duration, longest_pause: Duration) -> Option<Duration> {
    let delay = PROBE_DELAY_MIN
        .max(predicted_pause * PREDICTED_PAUSE_FACTOR)
        .max(longest_pause.mul_f64(LONGEST_PAUSE_RATIO));
    (delay <= PROBE_DELAY_MAX).then_some(delay)
}

/// Returns the indices of the engines that are lost. If most of a path seems lost, this host or its
/// link is at fault, and no engine is.
pub fn lost_engines(evidence: &[Evidence]) -> Vec<usize> {
    let lost: Vec<usize> = evidence
        .iter()
        .enumerate()
        .filter(|(_, evidence)| **evidence == Evidence::Lost)
        .map(|(index, _)| index)
        .collect();
    match 2 * lost.len() <= evidence.len() {
        true => lost,
        false => Vec::new(),
    }
}
