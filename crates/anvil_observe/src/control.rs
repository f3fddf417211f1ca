//! Measures the processor time of control work: gossip, configuration, team shares and leases.

use std::{
    future::Future,
    pin::{
        Pin,
        pin, //
    },
    sync::Arc,
    task::Poll,
    time::Instant, //
};

use crate::metrics::Metrics;

/// Runs a future of control work and adds the time spent in its polls to `metrics.control_cpu`.
///
/// Polls don't block, so the time approximates processor time. On a host whose processors are
/// oversubscribed the measured time is too high, because it includes time without a processor.
pub async fn metered<F: Future>(metrics: Arc<Metrics>, future: F) -> F::Output {
    let mut future = pin!(future);
    std::future::poll_fn(|context| {
        let start = Instant::now();
        let poll: Poll<F::Output> = Pin::as_mut(&mut future).poll(context);
        metrics.control_cpu.add_duration(start.elapsed());
        poll
    })
    .await
}
