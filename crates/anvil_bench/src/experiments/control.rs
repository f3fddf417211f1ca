//! `control`: processor time and traffic that control costs each host, by the number of hosts.
//!
//! No requests are sent, so that all processor time of a host's threads counts as control.

use std::time::{
    Duration,
    Instant, //
};

use anvil_fleet::{
    Builder,
    Fleet,
    cpu, //
};
use futures::{
    FutureExt,
    future::BoxFuture, //
};

use super::{
    BenchError,
    Context,
    Experiment, //
};
use crate::report::{
    Bound,
    Report,
    print_progress, //
};

/// Entry of this experiment in the list of all experiments.
pub const EXPERIMENT: Experiment = Experiment {
    name: "control",
    about: "processor time and traffic that control costs each host, with 5, 10 and 20 hosts",
    run,
};

const HOST_COUNTS: [usize; 3] = [5, 10, 20];
const STAGES: u16 = 3;
const REPLICAS: usize = 10;
/// Time until gossip has announced every host to every other.
const WARM_UP: Duration = Duration::from_secs(8);
const MEASURE_TIME: Duration = Duration::from_secs(4);
/// Largest fraction of one core that control may use on a host.
const CORE_SHARE_MAX: f64 = 0.043;
/// Largest number of bytes per second, sent and received, that control may use on a host.
const BYTES_PER_S_MAX: f64 = 15_000.0;

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move {
        let mut report = Report::new(EXPERIMENT.name, context.seed);
        for host_count in HOST_COUNTS {
            print_progress(format_args!("{host_count} hosts"));
            measure(&mut report, host_count).await?;
        }
        Ok(report)
    }
    .boxed()
}

/// Total cost of control on all hosts since they started.
struct ControlCost {
    cpu_time: Duration,
    sent_bytes: u64,
    received_bytes: u64,
}

fn control_cost(fleet: &Fleet, host_count: usize) -> ControlCost {
    let mut cost = ControlCost {
        cpu_time: Duration::ZERO,
        sent_bytes: 0,
        received_bytes: 0,
    };
    for index in 0..host_count {
        let host = fleet.host(index);
        let traffic = host.adapters().control_traffic();
        cost.cpu_time += cpu::thread_cpu_time(host.id());
        cost.sent_bytes += traffic.sent_bytes();
        cost.received_bytes += traffic.received_bytes();
    }
    cost
}

async fn measure(report: &mut Report, host_count: usize) -> Result<(), BenchError> {
    let fleet = Builder::default()
        .hosts(host_count)
        .pipeline(STAGES, REPLICAS)
        .start()
        .await
        .map_err(|error| BenchError::new("start a fleet", error))?;
    tokio::time::sleep(WARM_UP).await;
    let before = control_cost(&fleet, host_count);
    let started = Instant::now();
    tokio::time::sleep(MEASURE_TIME).await;
    let after = control_cost(&fleet, host_count);
    let host_seconds = started.elapsed().as_secs_f64() * host_count as f64;

    let core_share = (after.cpu_time - before.cpu_time).as_secs_f64() / host_seconds;
    let sent_bytes_per_s = (after.sent_bytes - before.sent_bytes) as f64 / host_seconds;
    let received_bytes_per_s = (after.received_bytes - before.received_bytes) as f64 / host_seconds;
    report.add_goal(
        format!("core_share_per_host_of_{host_count}"),
        core_share,
        Bound::AtMost(CORE_SHARE_MAX),
    );
    report.add_figure(
        format!("sent_bytes_per_s_per_host_of_{host_count}"),
        sent_bytes_per_s,
    );
    report.add_figure(
        format!("received_bytes_per_s_per_host_of_{host_count}"),
        received_bytes_per_s,
    );
    report.add_goal(
        format!("bytes_per_s_per_host_of_{host_count}"),
        sent_bytes_per_s + received_bytes_per_s,
        Bound::AtMost(BYTES_PER_S_MAX),
    );
    fleet
        .close()
        .await
        .map_err(|error| BenchError::new("stop a fleet", error))?;
    Ok(())
}
