//! The experiments, one file each.

mod balance;
mod capacity;
mod claims;
mod codec;
mod config;
mod control;
mod hop;
mod limits;
mod overload;
mod recovery;
mod restart;
mod throughput;

use derive_more::{
    Display,
    Error, //
};
use futures::future::BoxFuture;

use crate::report::Report;

/// Input that every experiment gets.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    /// Seed of every random choice.
    pub seed: u64,
}

/// Error that kept an experiment from running to its end.
#[derive(Debug, Display, Error)]
#[display("{step}: {message}")]
pub struct BenchError {
    /// Step that failed, such as `start the fleet`.
    pub step: &'static str,
    /// Cause of the failure.
    pub message: String,
}

impl BenchError {
    /// Creates an error from the step that failed and the cause.
    pub fn new(step: &'static str, message: impl std::fmt::Display) -> Self {
        Self {
            step,
            message: message.to_string(),
        }
    }
}

/// Experiment that can be selected on the command line.
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// Description in the help text, in one line.
    pub about: &'static str,
    /// Function that runs the experiment and returns its report.
    pub run: fn(Context) -> BoxFuture<'static, Result<Report, BenchError>>,
}

/// Every experiment, in the order of the help text.
pub const ALL: &[Experiment] = &[
    balance::EXPERIMENT,
    capacity::EXPERIMENT,
    claims::EXPERIMENT,
    codec::EXPERIMENT,
    config::EXPERIMENT,
    control::EXPERIMENT,
    hop::EXPERIMENT,
    limits::EXPERIMENT,
    overload::EXPERIMENT,
    recovery::EXPERIMENT,
    restart::EXPERIMENT,
    throughput::EXPERIMENT,
];
