use googletest::prelude::*;

use super::*;

const WHOLE: &str = r#"
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
fn read_takes_defaults_for_what_is_left_out() {
    let settings = read("file", WHOLE).unwrap();
    expect_that!(settings.bounds.revoke, eq(Duration::from_secs(4)));
    expect_that!(settings.bounds.stall, eq(Duration::from_secs(3)));
    expect_that!(settings.metrics, none());
}

#[gtest]
fn read_names_missing_key() {
    let error = read("file", &WHOLE.replace("store =", "# store =")).unwrap_err();
    expect_that!(error.to_string(), contains_substring("platform.store"));
}

#[gtest]
fn read_names_unknown_key_and_line() {
    let error = read("file", &format!("{WHOLE}\nrevok_ms = 1")).unwrap_err();
    expect_that!(error.to_string(), contains_substring("revok_ms"));
}

#[gtest]
fn read_refuses_bound_of_zero() {
    let error = read("file", &WHOLE.replace("4000", "0")).unwrap_err();
    expect_that!(error.to_string(), contains_substring("bounds.revoke_ms"));
}
