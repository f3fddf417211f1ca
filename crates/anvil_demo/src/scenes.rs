//! The scenes, in the order in which they are shown.

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

/// Hosts of the demo.
const HOST_COUNT: usize = 3;
/// Ranges into which the model's layers are split.
const STAGE_COUNT: u16 = 3;
/// Engines that hold each range.
const REPLICA_COUNT: usize = 2;
/// The plain service that files permits.
const PERMITS: &str = "permits";

/// A scene that went wrong.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// The fleet did not start or stop.
    #[display("{source}")]
    Start {
        /// The cause.
        source: FleetError,
    },
    /// A call failed.
    #[display("{source}")]
    Call {
        /// The cause.
        source: ClientError,
    },
    /// What was seen is not what must be.
    #[display("{message}")]
    #[from(ignore)]
    Wrong {
        /// What was seen.
        message: String,
    },
}

/// Plays every scene.
pub async fn play() -> Result<(), DemoError> {
    println!(
        "Starting {HOST_COUNT} hosts before {} engines, each holding a third of the model.",
        usize::from(STAGE_COUNT) * REPLICA_COUNT
    );
    let mut fleet = Builder::default()
        .hosts(HOST_COUNT)
        .pipeline(STAGE_COUNT, REPLICA_COUNT)
        .service(ServiceSpec::not_repeatable(PERMITS))
        .start()
        .await?;
    drafting::play(&fleet).await?;
    submission::play(&fleet).await?;
    stage_failure::play(&fleet).await?;
    patches::play(&mut fleet).await?;
    stop(fleet).await
}

async fn stop(fleet: Fleet) -> Result<(), DemoError> {
    println!("\nStopping the hosts as planned.");
    for stopped in fleet.close().await? {
        check(
            stopped == ShutdownOutcome::Drained,
            format_args!("a host cut off requests: {stopped:?}"),
        )?;
    }
    println!("  Every host drained. Done.");
    Ok(())
}

/// Goes on only where a condition holds.
fn check(holds: bool, otherwise: impl std::fmt::Display) -> Result<(), DemoError> {
    if holds {
        return Ok(());
    }
    Err(DemoError::Wrong {
        message: otherwise.to_string(),
    })
}
