//! Scene: a permit drafted as a complete and as a streamed answer.

use anvil_fleet::{
    Fleet,
    client::CompletionParams, //
};

use super::{
    DemoError,
    check, //
};

const PROMPT: &str = "Draft a trench permit for a heat network line, Lindwurmstrasse 12 to 30.";
const LIMIT_TOKENS: u32 = 24;

/// Requests a complete draft from one host and a streamed one from another, and compares both with
/// the expected answer of the model.
pub(super) async fn run(fleet: &Fleet) -> Result<(), DemoError> {
    println!("\nDrafting a permit.");
    let completion = CompletionParams::from_text(PROMPT, LIMIT_TOKENS);
    let complete = fleet.client(0).complete(&completion).await?;
    check(
        complete == completion.expected_tokens(),
        "the complete draft differs from the expected answer",
    )?;
    println!(
        "  host-0, complete: {} tokens, as expected from the model.",
        complete.len()
    );
    let streamed = fleet.client(1).stream_to_end(&completion).await?;
    check(
        streamed == complete,
        "the streamed draft differs from the complete one",
    )?;
    println!(
        "  host-1, streamed: the same {} tokens, one by one.",
        streamed.len()
    );
    Ok(())
}
