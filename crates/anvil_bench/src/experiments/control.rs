//! `control`: processor time and bytes that a host spends on control, by the number of hosts.

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
    progress, //
};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "control",
    about: "processor time and bytes for control, with 5, 10 and 20 hosts",
    run,
};

const HOSTS: [usize; 3] = [5, 10, 20];
const STAGES: u16 = 3;
const REPLICAS: usize = 10;
/// Time in which gossip has told every host of every other.
const WARM_UP: Duration = Duration::from_secs(8);
const MEASURED: Duration = Duration::from_secs(4);
/// Share of a core that control may use on a host.
const CORE_SHARE: f64 = 0.043;
/// Bytes a second, sent and received, that control may use on a host.
const BYTES_PER_S: f64 = 15_000.0;

fn run(context: Context) -> BoxFuture<'static, Result<Report, BenchError>> {
    async move {
        let mut report = Report::new(EXPERIMENT.name, context.seed);
        for host_count in HOSTS {
            progress(format_args!("{host_count} hosts"));
            measure(&mut report, host_count).await?;
        }
        Ok(report)
    }
    .boxed()
}

/// What all hosts together have spent so far.
struct Spent {
    cpu_time: Duration,
    sent_bytes: u64,
    received_bytes: u64,
}

fn spent(fleet: &Fleet, host_count: usize) -> Spent {
    let mut spent = Spent {
        cpu_time: Duration::ZERO,
        sent_bytes: 0,
        received_bytes: 0,
    };
    for index in 0..host_count {
        let host = fleet.host(index);
        let traffic = host.adapters().control_traffic();
        spent.cpu_time += cpu::thread_cpu_time(host.id());
        spent.sent_bytes += traffic.sent_bytes();
        spent.received_bytes += traffic.received_bytes();
    }
    spent
}

async fn measure(report: &mut Report, host_count: usize) -> Result<(), BenchError> {
    let fleet = Builder::default()
        .hosts(host_count)
        .pipeline(STAGES, REPLICAS)
        .start()
        .await
        .map_err(|error| BenchError::new("start a fleet", error))?;
    tokio::time::sleep(WARM_UP).await;
    let before = spent(&fleet, host_count);
    let started = Instant::now();
    tokio::time::sleep(MEASURED).await;
    let after = spent(&fleet, host_count);
    let host_seconds = started.elapsed().as_secs_f64() * host_count as f64;

    let core_share = (after.cpu_time - before.cpu_time).as_secs_f64() / host_seconds;
    let sent = (after.sent_bytes - before.sent_bytes) as f64 / host_seconds;
    let received = (after.received_bytes - before.received_bytes) as f64 / host_seconds;
    report.goal(
        format!("core_share_per_host_of_{host_count}"),
        core_share,
        Bound::AtMost(CORE_SHARE),
    );
    report.figure(format!("sent_bytes_per_s_per_host_of_{host_count}"), sent);
    report.figure(
        format!("received_bytes_per_s_per_host_of_{host_count}"),
        received,
    );
    report.goal(
        format!("bytes_per_s_per_host_of_{host_count}"),
        sent + received,
        Bound::AtMost(BYTES_PER_S),
    );
    fleet
        .close()
        .await
        .map_err(|error| BenchError::new("stop a fleet", error))?;
    Ok(())
}
