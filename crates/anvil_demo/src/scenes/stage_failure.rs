//! A stage killed in the midst of a stream.

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
/// Token after which the stage is killed.
const KILL_AFTER_TOKENS: usize = 20;

/// Kills the engine that applied most of the middle range, and expects the stream to go on.
pub(super) async fn play(fleet: &Fleet) -> Result<(), DemoError> {
    println!("\nKilling a stage in the midst of a stream.");
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
        "the stream is not the model's answer",
    )?;
    println!(
        "  The stream went on: {} tokens, none lost, none twice, as the model gives them.",
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
            holds.iter().any(|held| held.layers.first > 0)
        })
        .find(|((now, before), _)| now > *before)
        .map(|(_, engine)| engine);
    let Some(engine) = busy else {
        return check(false, "no stage behind the first has run a step");
    };
    engine.standin.kill().await;
    println!(
        "  Killed {} after {KILL_AFTER_TOKENS} tokens; its caches are gone.",
        engine.spec.id
    );
    Ok(())
}
