//! Scene: a submission repeated under one idempotency key.

use anvil_fleet::Fleet;

use super::{
    DemoError,
    PERMITS,
    check, //
};

const KEY: &str = "permit-2026-0471";
const BODY: &str = r#"{"street":"Lindwurmstrasse","from":12,"to":30}"#;

/// Submits twice under one key, through two hosts, and checks that the service ran the call once.
pub(super) async fn run(fleet: &Fleet) -> Result<(), DemoError> {
    println!("\nSubmitting a permit twice under the key {KEY}.");
    let first = fleet
        .client(0)
        .call_service(PERMITS, "submit", Some(KEY), BODY)
        .await?;
    println!("  host-0 answers {}.", String::from_utf8_lossy(&first.body));
    let second = fleet
        .client(1)
        .call_service(PERMITS, "submit", Some(KEY), BODY)
        .await?;
    println!(
        "  host-1 answers {}.",
        String::from_utf8_lossy(&second.body)
    );
    check(first == second, "the second answer differs from the first")?;
    let runs = fleet.service(PERMITS).map_or(0, |service| service.runs());
    check(runs == 1, format_args!("the service ran {runs} times"))?;
    println!("  The service ran once.");
    Ok(())
}
