//! Tests of `anvilctl config check`, which calls no host.

use anvil_command_line::ExitStatus;
use googletest::prelude::*;
use serde_json::Value;

use crate::support::TemporaryFile;

mod support;

async fn run(arguments: &[&str]) -> (ExitStatus, String) {
    let mut output = Vec::new();
    let parser = lexopt::Parser::from_args(arguments);
    let status = anvilctl::run::run(parser, |_| None, &mut output).await;
    let output = String::from_utf8(output).expect("the output should be UTF-8");
    (status, output)
}

/// Returns a configuration without findings, with `old` replaced by `new`.
fn replaced(old: &str, new: &str) -> String {
    let clean = r#"{"Version":7,
        "Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","Type":"safe","TimeoutMs":800,
            "MaxAttempts":2,"Backends":[{"Service":"one","Weight":1}]}],
        "Services":[{"Name":"one","HealthPath":"/health","MaxConns":9}],
        "Tenants":[{"Name":"t","ApiKeys":["k1","k2"]}],
        "Limits":{"MaxBodyBytes":4096,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;
    assert!(clean.contains(old), "{old}");
    clean.replace(old, new)
}

/// Guards against a check that passes what hosts refuse, or refuses what they accept.
#[gtest]
#[tokio::test]
async fn config_check_accepts_what_hosts_accept() {
    use ExitStatus::{
        Done,
        Error,
        Refused, //
    };
    let cases = [
        (r#""Version":7"#, r#""Version":8"#, Done),
        (r#""Name":"r""#, r#""Name":"r","Unknown":1"#, Done),
        (r#""Type":"safe""#, r#""Type":"novel""#, Done),
        (r#""MaxAttempts":2,"#, "", Done),
        (r#","IdleTimeoutMs":15000"#, "", Done),
        (r#""Limits":{"#, r#""Limits":null,"Rest":{"#, Done),
        (r#""Tenants":"#, r#""Tenants":null,"Rest":"#, Done),
        (r#""ApiKeys":["k1","k2"]"#, r#""ApiKeys":[]"#, Refused),
        (r#""TimeoutMs":800"#, r#""TimeoutMs":-1"#, Refused),
        (r#""TimeoutMs":800"#, r#""TimeoutMs":1e300"#, Refused),
        (r#""Service":"one""#, r#""Service":"two""#, Refused),
        (r#""Weight":1"#, r#""Weight":-1"#, Refused),
        (
            r#""MaxBodyBytes":4096"#,
            r#""MaxBodyBytes":99999999"#,
            Refused,
        ),
        (r#""Backends":"#, r#""Rest":"#, Refused),
        (r#""Version":7"#, r#""Version":-7"#, Error),
        (r#""Version":7,"#, "", Error),
        (r#""Version":7"#, r#""Version":7,"Version":7"#, Error),
        (r#""TimeoutMs":800"#, r#""TimeoutMs":"800""#, Error),
        (r#""TimeoutMs":800,"#, "", Error),
        (r#""TimeoutMs":800"#, r#""TimeoutMs":1e999"#, Error),
        (r#""MaxAttempts":2"#, r#""MaxAttempts":2.5"#, Error),
        (r#""MaxAttempts":2"#, r#""MaxAttempts":4294967296"#, Error),
        (r#""Tenants":["#, r#""Tenants":[0,"#, Error),
        (r#""ApiKeys":["k1","k2"]"#, r#""ApiKeys":null"#, Error),
        (r#""Services":["#, r#""Services":[{},"#, Error),
        (r#""MaxBodyBytes":4096"#, r#""MaxBodyBytes":-1"#, Error),
        (r#"15000}}"#, "15000}", Error),
        (r#"15000}}"#, "15000}}}", Error),
    ];
    for (index, (old, new, expected)) in cases.into_iter().enumerate() {
        let text = replaced(old, new);
        let file = TemporaryFile::new(&format!("accepted-{index}"), &text);
        let (status, output) = run(&["config", "check", file.path()]).await;
        expect_that!(status, eq(expected), "{new}: {output}");
        let is_accepted = anvil_platform::decode_table(text.as_bytes()).is_ok();
        expect_that!(status != Error, eq(is_accepted), "{new}: {output}");
    }
}

/// Guards against an error without its position, and against an accepted file that can't be read.
#[gtest]
#[tokio::test]
async fn config_check_names_position_of_error() {
    let text = replaced(r#""MaxConns":9"#, r#""MaxConns":"9""#);
    let file = TemporaryFile::new("position", &text);
    let (status, output) = run(&["config", "check", file.path()]).await;
    expect_that!(status, eq(ExitStatus::Error));
    expect_that!(output, starts_with("error: line 4, column "));
    let valid = TemporaryFile::new("valid", &replaced("h", "h"));
    for unreadable in [file.path(), "/nonexistent/config.json"] {
        let (status, _) = run(&["config", "check", valid.path(), "--against", unreadable]).await;
        expect_that!(status, eq(ExitStatus::Error));
    }
}

/// Guards against names of the core in the output, and against differences that count as faults.
#[gtest]
#[tokio::test]
async fn config_check_prints_findings_as_text_and_json() {
    let current = TemporaryFile::new("current", &replaced("h", "h"));
    let changed = replaced(r#""Version":7"#, r#""Version":8"#)
        .replace(r#""TimeoutMs":800"#, r#""TimeoutMs":900"#);
    let next = TemporaryFile::new("next", &changed);
    let arguments = ["config", "check", next.path(), "--against", current.path()];
    let (status, output) = run(&arguments).await;
    expect_that!(status, eq(ExitStatus::Done));
    expect_that!(
        output,
        contains_substring("difference: Routes[0].TimeoutMs: changed from 800ms to 900ms\n")
    );
    let hidden = replaced(r#""Weight":1"#, r#""Weight":0"#);
    let hidden = TemporaryFile::new("hidden", &hidden);
    let (status, output) = run(&["config", "check", hidden.path(), "--json"]).await;
    expect_that!(status, eq(ExitStatus::Refused));
    let report: Value = serde_json::from_str(&output).expect("the output should be JSON");
    expect_that!(report["errors"], eq(0));
    expect_that!(report["warnings"], eq(3));
    expect_that!(report["findings"][0]["severity"], eq("warning"));
    expect_that!(report["findings"][0]["place"], eq("Routes[0].Backends"));
    expect_that!(report["findings"][1]["place"], eq("Routes[0].Backends[0]"));
    expect_that!(report["findings"][2]["place"], eq("Services[0]"));
}
