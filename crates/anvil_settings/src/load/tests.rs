use std::path::Path;
use std::time::Duration;

use googletest::prelude::*;

use super::parse;
use crate::{
    Problem,
    Settings,
    keys,
    rules, //
};

const VALID: &str = r#"
host_id = "entry-1"
data_centre = "muc-a"

[listen]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
peers = "127.0.0.1:8082"

[credentials]
operator_token = "operator-token-0001"
peer_key_env = "PEER_KEY"

[platform]
log = "127.0.0.1:9001"
host_list = "127.0.0.1:9002"
weight_store = "127.0.0.1:9003"
"#;

fn parse_text(text: &str) -> std::result::Result<Settings, Vec<Problem>> {
    parse(Path::new("host.toml"), text, |name| {
        (name == "PEER_KEY").then(|| "a-key-of-all-hosts".to_owned())
    })
}

fn problems(text: &str) -> Vec<String> {
    parse_text(text)
        .expect_err("invalid settings")
        .iter()
        .map(Problem::to_string)
        .collect()
}

#[gtest]
fn parse_applies_values_and_defaults() {
    let text = format!("drain_timeout_ms = 1500\n{VALID}[callers]\nconnection_limit = 700\n");
    let settings = parse_text(&text).expect("valid settings");
    expect_that!(settings.host_id, eq("entry-1"));
    expect_that!(settings.drain_timeout, eq(Duration::from_millis(1500)));
    expect_that!(settings.callers.connection_limit, eq(700));
    expect_that!(settings.callers.body_limit_bytes, eq(1 << 20));
    expect_that!(settings.credentials.peer_key, eq("a-key-of-all-hosts"));
    expect_that!(settings.platform.config_stream, eq("config"));
}

#[gtest]
fn parse_reports_all_problems() {
    let text = VALID
        .replace("\"127.0.0.1:8080\"", "\"localhost\"")
        .replace("peer_key_env = \"PEER_KEY\"", "peer_key_env = \"MISSING\"")
        .replace("log =", "lgo =")
        .replace("\"operator-token-0001\"", "\"short\"")
        + "[callers]\nbody_limit_bytes = -1\nconnection_limit = 0\n[log]\nlevel = \"loud\"\n";
    expect_that!(
        problems(&text),
        unordered_elements_are![
            contains_substring("host.toml:6: listen.callers: \"localhost\" is not an IP address"),
            contains_substring("host.toml:11: credentials.operator_token: the secret is too short"),
            contains_substring(
                "host.toml:12: credentials.peer_key_env: the environment variable MISSING is not set"
            ),
            contains_substring(
                "host.toml:15: platform.lgo: unknown key; did you mean `platform.log`?"
            ),
            contains_substring("host.toml: platform.log: missing required key"),
            contains_substring(
                "host.toml:19: callers.body_limit_bytes: -1 is not an unsigned 64-bit integer"
            ),
            contains_substring(
                "host.toml:20: callers.connection_limit: 0 is outside the range 1 to 1000000"
            ),
            contains_substring(
                "host.toml:22: log.level: unknown name \"loud\"; expected one of off"
            ),
        ]
    );
}

#[gtest]
fn parse_reports_line_of_invalid_toml() {
    let text = VALID.replace("data_centre = \"muc-a\"", "data_centre = muc-a");
    expect_that!(
        problems(&text),
        contains(contains_substring("host.toml:3: invalid TOML"))
    );
}

#[gtest]
fn parse_rejects_secret_set_twice() {
    let text = VALID.replace(
        "peer_key_env",
        "peer_key = \"a-second-key-of-all\"\npeer_key_env",
    );
    expect_that!(
        problems(&text),
        elements_are![contains_substring("`credentials.peer_key` is also set")]
    );
}

#[gtest]
fn parse_rejects_listeners_on_same_port() {
    let text = VALID.replace("127.0.0.1:8082", "127.0.0.1:8080");
    expect_that!(
        problems(&text),
        elements_are![contains_substring(
            "listen.peers: 127.0.0.1:8080 is already used by `listen.callers`"
        )]
    );
}

#[gtest]
fn parse_rejects_table_in_place_of_value() {
    let text = format!("{VALID}[callers.connection_limit]\nmost = 3\n");
    expect_that!(
        problems(&text),
        contains(contains_substring(
            "callers.connection_limit: found table; expected integer"
        ))
    );
}

#[gtest]
fn debug_hides_secrets() {
    let settings = parse_text(VALID).expect("valid settings");
    expect_that!(
        format!("{settings:?}"),
        all!(
            not(contains_substring("operator-token-0001")),
            not(contains_substring("a-key-of-all-hosts"))
        )
    );
}

#[gtest]
fn keys_are_unique_and_defaults_are_within_bounds() {
    let defaults = Settings::defaults();
    for (index, key) in keys::all().enumerate() {
        expect_true!(keys::all().take(index).all(|other| other.name != key.name));
        let default = (key.get)(&defaults, key.value_type);
        let amount = match default {
            crate::form::Value::Integer(integer) => integer as f64,
            crate::form::Value::Number(number) => number,
            _ => continue,
        };
        if let Some(bounds) = &key.bounds {
            expect_true!(bounds.contains(&amount), "{}", key.name);
        }
    }
}

#[gtest]
fn parse_checks_rules() {
    let text = format!(
        "{VALID}[team_limits]\nshare_lifetime_ms = 100\n\
         [targets.health]\nejection_min_ms = 20000\n[claims]\nkey_life_ms = 1000\n"
    );
    expect_that!(
        problems(&text),
        unordered_elements_are![
            contains_substring(
                "host.toml:19: team_limits.share_lifetime_ms: must be at least four"
            ),
            contains_substring("targets.health.ejection_max_ms: must be at least"),
            contains_substring("host.toml:23: claims.key_life_ms: must be above"),
        ]
    );
}

#[gtest]
fn rules_refer_to_keys_and_hold_for_defaults() {
    for rule in rules::RULES {
        expect_that!(keys::find(rule.key), some(anything()), "{}", rule.key);
        expect_true!((rule.holds)(&Settings::defaults()), "{}", rule.key);
    }
}
