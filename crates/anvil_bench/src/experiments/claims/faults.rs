//! Random faults of the log, the service and the hosts while calls are made.

use std::{
    future::Future,
    time::Duration, //
};

use anvil_fleet::Fleet;
use anvil_standins::{
    fault::Rate,
    log,
    service, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use super::{
    BenchError,
    HOSTS,
    SERVICE,
    callers::{
        Addresses,
        CallRecord, //
    }, //
};

const LOG_FAULT_PROBABILITY: f64 = 0.02;
const SERVICE_FAULT_PROBABILITY: f64 = 0.002;
/// Pause before each fault, and time that a killed host stays down.
const FAULT_PAUSE: Duration = Duration::from_millis(400);
/// Time for which the log is down or slow.
const LOG_FAULT_TIME: Duration = Duration::from_millis(800);
const LOG_DELAY: Duration = Duration::from_millis(150);

/// Injects random faults until all calls have ended, and returns the records of the calls.
pub async fn inject_faults(
    fleet: &mut Fleet,
    addresses: &Addresses,
    calls: impl Future<Output = Vec<CallRecord>> + Send + 'static,
    seed: u64,
) -> Result<Vec<CallRecord>, BenchError> {
    let mut rng = SmallRng::seed_from_u64(seed);
    set_fault_probabilities(fleet, LOG_FAULT_PROBABILITY, SERVICE_FAULT_PROBABILITY);
    let calls = tokio::spawn(calls);
    while !calls.is_finished() {
        tokio::time::sleep(FAULT_PAUSE).await;
        match rng.random_range(0..8) {
            0 => {
                fleet.log.set_fault(log::Fault::Outage, Rate::Always);
                tokio::time::sleep(LOG_FAULT_TIME).await;
                fleet.log.set_fault(log::Fault::Outage, Rate::Never);
            }
            1 => {
                fleet.log.set_delay(LOG_DELAY);
                tokio::time::sleep(LOG_FAULT_TIME).await;
                fleet.log.set_delay(Duration::ZERO);
            }
            2 => fleet.log.silence_connections(),
            3 | 4 => kill_and_restart(fleet, addresses, rng.random_range(0..HOSTS)).await?,
            5 => stop_and_restart(fleet, addresses, rng.random_range(0..HOSTS)).await?,
            _ => {}
        }
    }
    set_fault_probabilities(fleet, 0.0, 0.0);
    calls
        .await
        .map_err(|error| BenchError::new("join the task of the callers", error))
}

fn set_fault_probabilities(fleet: &Fleet, log_probability: f64, service_probability: f64) {
    let rate = Rate::Probability(log_probability);
    for fault in [
        log::Fault::LoseAnswer,
        log::Fault::AppendTwice,
        log::Fault::LoseAppend,
    ] {
        fleet.log.set_fault(fault, rate);
    }
    let rate = Rate::Probability(service_probability);
    let instances = fleet.service(SERVICE).map(|service| &service.instances);
    for instance in instances.into_iter().flatten() {
        instance.set_fault(service::Fault::LoseAnswer, rate);
        instance.set_fault(service::Fault::LoseCall, rate);
    }
}

async fn kill_and_restart(
    fleet: &mut Fleet,
    addresses: &Addresses,
    index: usize,
) -> Result<(), BenchError> {
    addresses.set(index, None);
    fleet.kill_host(index);
    tokio::time::sleep(FAULT_PAUSE).await;
    restart(fleet, addresses, index).await
}

async fn stop_and_restart(
    fleet: &mut Fleet,
    addresses: &Addresses,
    index: usize,
) -> Result<(), BenchError> {
    fleet
        .stop_host(index)
        .await
        .map_err(|error| BenchError::new("stop a host", error))?;
    restart(fleet, addresses, index).await
}

async fn restart(fleet: &mut Fleet, addresses: &Addresses, index: usize) -> Result<(), BenchError> {
    fleet
        .start_host(index)
        .await
        .map_err(|error| BenchError::new("restart a host", error))?;
    addresses.set(index, Some(fleet.host(index).callers_address()));
    Ok(())
}
