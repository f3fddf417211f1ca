//! Scene: a stage killed during a stream.

use anvil_fleet::{
    Fleet,
    client::CompletionParams, //
};
use futures::StreamExt;

use super::{
    DemoError,
    check, //
};

const LIMIT_TOKENS: u32 = 60;
/// Number of received tokens after which the stage is killed.
const KILL_AFTER_TOKENS: usize = 20;

/// Kills an engine of a later layer range that serves the stream, and checks that the stream
/// continues.
pub(super) async fn run(fleet: &Fleet) -> Result<(), DemoError> {
    println!("\nKilling a stage during a stream.");
    let completion =
        CompletionParams::from_text("Draft the traffic-management note.", LIMIT_TOKENS);
    let steps_before: Vec<u64> = applied_steps(fleet);
    let mut stream = fleet.client(2).stream(&completion).await?;
    let mut tokens = Vec::new();
    while let Some(token) = stream.next().await {
        tokens.push(token?);
        if tokens.len() == KILL_AFTER_TOKENS {
            kill_busy_stage(fleet, &steps_before).await?;
        }
    }
    check(
        tokens == completion.expected_tokens(),
        "the stream differs from the expected answer",
    )?;
    println!(
        "  The stream continued: {} tokens, none lost or repeated, as expected from the model.",
        tokens.len()
    );
    Ok(())
}

fn applied_steps(fleet: &Fleet) -> Vec<u64> {
    let engines = fleet.engines.iter();
    engines
        .map(|engine| engine.standin.counts().applied_steps)
        .collect()
}

async fn kill_busy_stage(fleet: &Fleet, steps_before: &[u64]) -> Result<(), DemoError> {
    let busy = applied_steps(fleet)
        .into_iter()
        .zip(steps_before)
        .zip(&fleet.engines)
        .filter(|(_, engine)| {
            let holds = &engine.spec.properties.holds;
            holds.iter().any(|holding| holding.layers.first > 0)
        })
        .find(|((after, before), _)| after > *before)
        .map(|(_, engine)| engine);
    let Some(engine) = busy else {
        return check(false, "no stage after the first has run a step");
    };
    engine.standin.kill().await;
    println!(
        "  Killed {} after {KILL_AFTER_TOKENS} tokens; its caches are lost.",
        engine.spec.id
    );
    Ok(())
}
