//! `capacity`: memory, message bytes and processor time per unit of the size that each grows with,
//! such as the number of teams.
//!
//! docs/CAPACITY.md multiplies these figures by the design size.

mod config;
mod memory;
mod targets;

use futures::{
    FutureExt,
    future::BoxFuture, //
};

use super::{
    BenchError,
    Context,
    Experiment, //
};
use crate::report::Report;

/// Entry of this experiment in the list of all experiments.
pub const EXPERIMENT: Experiment = Experiment {
    name: "capacity",
    about: "memory, message bytes and processor time per unit, at the design size",
    run,
};

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move { measure(context) }.boxed()
}

fn measure(context: Context) -> Result<Report, BenchError> {
    let mut report = Report::new(EXPERIMENT.name, context.seed);
    config::measure(&mut report)?;
    targets::measure(&mut report)?;
    Ok(report)
}
