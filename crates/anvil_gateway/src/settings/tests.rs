use googletest::prelude::*;

use super::*;

const COMPLETE: &str = r#"
host_id = "entry-1"
data_centre = "a"

[listen]
callers = "10.0.0.1:80"
readiness = "10.0.0.1:81"
peers = "10.0.0.1:82"

[platform]
store = "10.0.0.2:80"

[bounds]
revoke_ms = 4000
"#;

#[gtest]
fn read_applies_defaults_to_missing_keys() {
    let settings = read("file", COMPLETE).unwrap();
    expect_that!(settings.bounds.revoke, eq(Duration::from_secs(4)));
    expect_that!(settings.bounds.stall, eq(Duration::from_secs(3)));
    expect_that!(settings.metrics, none());
    expect_that!(settings.descriptors, none());
}

#[gtest]
fn read_takes_limits_of_machine() {
    let text = format!("memory_megabytes = 112\ndescriptors = 2870\n{COMPLETE}");
    let settings = read("file", &text).unwrap();
    expect_that!(settings.memory_megabytes, eq(112.0));
    expect_that!(settings.descriptors, some(eq(2870)));
    let error = read("file", &text.replace("2870", "0")).unwrap_err();
    expect_that!(error.to_string(), contains_substring("descriptors"));
}

#[gtest]
fn read_names_missing_key() {
    let error = read("file", &COMPLETE.replace("store =", "# store =")).unwrap_err();
    expect_that!(error.to_string(), contains_substring("platform.store"));
}

#[gtest]
fn read_names_unknown_key() {
    let error = read("file", &format!("{COMPLETE}\nrevok_ms = 1")).unwrap_err();
    expect_that!(error.to_string(), contains_substring("revok_ms"));
}

/// Guards against prompt reuse in deployments that did not ask for it.
#[gtest]
fn read_switches_held_prompts_on_only_if_set() {
    let read = |text: &str| read("file", &format!("{COMPLETE}\n[routing]\n{text}"));
    expect_that!(read("").unwrap().held_prompts, eq(false));
    expect_that!(read("held_prompts = true").unwrap().held_prompts, eq(true));
    expect_that!(read("held_prompt = true").is_err(), eq(true));
}

#[gtest]
fn read_rejects_bound_of_zero() {
    let error = read("file", &COMPLETE.replace("4000", "0")).unwrap_err();
    expect_that!(error.to_string(), contains_substring("bounds.revoke_ms"));
}
