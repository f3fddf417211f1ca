use googletest::prelude::*;

use super::{
    Level,
    Levels, //
};

#[gtest]
fn level_of_uses_longest_matching_prefix() {
    let levels: Levels = "warn,anvil_host=info,anvil_host::pipeline=trace,route.=debug"
        .parse()
        .expect("valid levels");
    let cases = [
        ("anvil_core", "x.y", Level::Warn),
        ("anvil_host::peers", "x.y", Level::Info),
        ("anvil_host::pipeline::run", "route.chosen", Level::Trace),
        ("anvil_core", "route.chosen", Level::Debug),
    ];
    for (module, event, level) in cases {
        expect_that!(
            levels.level_of(module, event),
            eq(level),
            "{module} {event}"
        );
    }
    expect_that!(levels.most_verbose(), eq(Level::Trace));
}

#[gtest]
fn from_str_rejects_unknown_level() {
    let result = "info,route=loud".parse::<Levels>();
    expect_that!(
        result.map_err(|error| error.to_string()),
        err(contains_substring(
            "unknown name \"loud\"; expected one of off"
        ))
    );
}

#[gtest]
fn display_round_trips() {
    let levels: Levels = "debug,a=off,bb=trace".parse().expect("valid levels");
    expect_that!(levels.to_string().parse::<Levels>(), ok(eq(&levels)));
}
