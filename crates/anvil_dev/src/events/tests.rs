use std::path::Path;

use googletest::prelude::*;

use super::collect_events;

#[gtest]
fn collect_events_finds_macros_and_decisions() {
    let source = r#"
        fn f() {
            spdlog::warn!("config.read_failed", kv: { error:, offset = a.b });
            if x {
                ring.record(&id, Decision::new("route.chosen", target, "cheapest"));
            }
            spdlog::info!("{}", name, kv: { request });
            println!("not an event");
        }
    "#;
    let mut found = Vec::new();
    collect_events(
        source.parse().expect("the source should be valid Rust"),
        Path::new("x.rs"),
        &mut found,
    );
    let found: Vec<_> = found
        .iter()
        .map(|event| format!("{} {} {}", event.name, event.level, event.fields.join(",")))
        .collect();
    expect_that!(
        found,
        elements_are![
            eq("config.read_failed warn error,offset"),
            eq("route.chosen info request,attempt,chosen,runner_up,reason"),
        ]
    );
}
