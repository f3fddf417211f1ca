//! A permit drafted whole and streamed.

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

/// Asks one host for the whole draft and another for a stream, and compares both with the model.
pub(super) async fn play(fleet: &Fleet) -> Result<(), DemoError> {
    println!("\nDrafting a permit.");
    let completion = CompletionParams::from_text(PROMPT, LIMIT_TOKENS);
    let whole = fleet.client(0).complete(&completion).await?;
    check(
        whole == completion.expected_tokens(),
        "the whole draft is not the model's answer",
    )?;
    println!(
        "  host-0, whole: {} tokens, as the model gives them.",
        whole.len()
    );
    let streamed = fleet.client(1).stream_to_end(&completion).await?;
    check(
        streamed == whole,
        "the streamed draft differs from the whole one",
    )?;
    println!(
        "  host-1, streamed: the same {} tokens, one by one.",
        streamed.len()
    );
    Ok(())
}
