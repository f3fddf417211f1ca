//! Scenes of the demo. Each shows one capability and checks its result.

mod drafting;
mod patches;
mod stage_failure;
mod submission;

use anvil_fleet::{
    Builder,
    Fleet,
    FleetError,
    client::ClientError,
    service::Spec as ServiceSpec, //
};
use anvil_host::host::ShutdownOutcome;
use derive_more::{
    Display,
    Error,
    From, //
};

/// Number of hosts in the demo.
const HOST_COUNT: usize = 3;
/// Number of ranges into which the model's layers are split.
const STAGE_COUNT: u16 = 3;
/// Number of engines that hold each range.
const REPLICA_COUNT: usize = 2;
/// Name of the plain service that accepts permit submissions.
const PERMITS: &str = "permits";

/// Error of a scene.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// The fleet did not start, reach a configuration version or stop.
    #[display("{source}")]
    Fleet {
        /// Error of the fleet.
        source: FleetError,
    },
    /// A call failed.
    #[display("{source}")]
    Call {
        /// Error of the call.
        source: ClientError,
    },
    /// A result differs from the expected one.
    #[display("{message}")]
    #[from(ignore)]
    Unexpected {
        /// Description of the difference.
        message: String,
    },
}

/// Runs all scenes against a new fleet.
///
/// # Errors
///
/// Returns the error of the first scene that fails.
pub async fn run() -> Result<(), DemoError> {
    println!(
        "Starting {HOST_COUNT} hosts in front of {} engines, each holding a third of the model.",
        usize::from(STAGE_COUNT) * REPLICA_COUNT
    );
    let mut fleet = Builder::default()
        .hosts(HOST_COUNT)
        .pipeline(STAGE_COUNT, REPLICA_COUNT)
        .service(ServiceSpec::not_repeatable(PERMITS))
        .start()
        .await?;
    drafting::run(&fleet).await?;
    submission::run(&fleet).await?;
    stage_failure::run(&fleet).await?;
    patches::run(&mut fleet).await?;
    stop(fleet).await
}

async fn stop(fleet: Fleet) -> Result<(), DemoError> {
    println!("\nDraining and stopping the hosts.");
    for outcome in fleet.close().await? {
        check(
            outcome == ShutdownOutcome::Drained,
            format_args!("a host stopped with open requests: {outcome:?}"),
        )?;
    }
    println!("  Every host drained. Done.");
    Ok(())
}

/// Returns an error with `message` unless the condition is true.
fn check(condition: bool, message: impl std::fmt::Display) -> Result<(), DemoError> {
    if condition {
        return Ok(());
    }
    Err(DemoError::Unexpected {
        message: message.to_string(),
    })
}
