//! Tests of the tool against a running host.

use anvil_command_line::ExitStatus;
use anvil_fleet::{
    Builder,
    Fleet,
    builder::{
        TEAM,
        team_key, //
    },
    fleet::OPERATOR_TOKEN, //
};
use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper_util::{
    client::legacy::Client,
    rt::TokioExecutor, //
};
use serde_json::Value;

use crate::support::TemporaryFile;

mod support;

async fn fleet() -> Fleet {
    Builder::default()
        .hosts(1)
        .pipeline(2, 1)
        .start()
        .await
        .expect("the fleet should start")
}

/// Runs the tool against the fleet's host and returns its exit status and output.
async fn run_with_token(fleet: &Fleet, token: &str, arguments: &[&str]) -> (ExitStatus, String) {
    let host = fleet.host(0).operators_address().to_string();
    let environment = |name: &str| match name {
        "ANVIL_HOST" => Some(host.clone()),
        "ANVIL_TOKEN" => Some(token.to_owned()),
        _ => None,
    };
    let mut output = Vec::new();
    let parser = lexopt::Parser::from_args(arguments);
    let status = anvilctl::run::run(parser, environment, &mut output).await;
    let output = String::from_utf8(output).expect("the output should be UTF-8");
    (status, output)
}

/// Runs the tool with the operators' token and returns its output.
///
/// # Panics
///
/// Panics if the tool fails.
async fn run_successfully(fleet: &Fleet, arguments: &[&str]) -> String {
    let (status, output) = run_with_token(fleet, OPERATOR_TOKEN, arguments).await;
    assert_eq!(status, ExitStatus::Done, "{arguments:?} printed {output}");
    output
}

const TEAM_PATCH: &str = r#"
note = "a new permit office"
[put.teams.permit-office]
key_sha256 = []
limit_requests_per_s = 20
limit_tokens_per_s = 4000
limit_open_requests = 40
"#;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn patch_submit_accepts_once_and_refuses_stale_base() {
    let fleet = fleet().await;
    let base = fleet.host(0).shared().config().version.to_string();
    let file = TemporaryFile::new("team.toml", TEAM_PATCH);
    let submit = [
        "patch",
        "submit",
        file.path(),
        "--base",
        &base,
        "--patch-id",
    ];
    let first = [&submit[..], &["p-1"]].concat();
    let accepted = run_successfully(&fleet, &first).await;
    expect_that!(accepted, contains_substring("accepted as version"));
    // Submitting the same patch again gives the same version.
    expect_that!(run_successfully(&fleet, &first).await, eq(&accepted));
    expect_that!(
        run_successfully(&fleet, &["patch", "result", "p-1"]).await,
        eq(&accepted)
    );
    let second = [&submit[..], &["p-2", "--json"]].concat();
    let (status, output) = run_with_token(&fleet, OPERATOR_TOKEN, &second).await;
    expect_that!(status, eq(ExitStatus::Refused));
    let stale: Value = serde_json::from_str(&output).expect("the output should be JSON");
    expect_that!(stale["outcome"], eq("stale"));
    expect_that!(stale["since"][0]["entry"], eq("team permit-office"));
    expect_that!(
        run_successfully(&fleet, &["config", "history", "--limit", "1"]).await,
        contains_substring("a new permit office")
    );
    expect_that!(
        run_successfully(&fleet, &["config", "diff", &base]).await,
        contains_substring("put     team permit-office")
    );
    expect_that!(
        run_successfully(&fleet, &["teams", "--prefix", "permit"]).await,
        contains_substring("permit-office")
    );
    expect_that!(fleet.close().await, ok(anything()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn patch_submit_refuses_inconsistent_patch() {
    let fleet = fleet().await;
    let base = fleet.host(0).shared().config().version.to_string();
    let file = TemporaryFile::new("model.toml", "[delete]\nmodels = [\"permit-drafter\"]\n");
    let arguments = ["patch", "submit", file.path(), "--base", &base];
    let (status, _) = run_with_token(&fleet, OPERATOR_TOKEN, &arguments).await;
    expect_that!(status, eq(ExitStatus::Refused));
    expect_that!(
        fleet.host(0).shared().config().version.to_string(),
        eq(&base)
    );
    expect_that!(fleet.close().await, ok(anything()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn explain_prints_route_of_request() {
    let fleet = fleet().await;
    let id = complete(&fleet).await;
    expect_that!(
        run_successfully(&fleet, &["explain", &id]).await,
        all!(
            contains_substring(id.as_str()),
            contains_substring("route.chosen")
        )
    );
    let (status, _) = run_with_token(&fleet, OPERATOR_TOKEN, &["explain", "no-such-request"]).await;
    expect_that!(status, eq(ExitStatus::Refused));
    expect_that!(fleet.close().await, ok(anything()));
}

/// Requests a completion and returns the ID of the request.
async fn complete(fleet: &Fleet) -> String {
    let key = team_key(TEAM);
    let body = r#"{"model":"permit-drafter","prompt":"a trench","max_tokens":3}"#;
    let request = http::Request::post(format!(
        "http://{}/v1/completions",
        fleet.host(0).callers_address()
    ))
    .header("authorization", format!("Bearer {key}"))
    .body(Full::new(Bytes::from(body)))
    .expect("the request should be well formed");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client
        .request(request)
        .await
        .expect("the host should answer");
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the body should be complete");
    let body: Value = serde_json::from_slice(&body.to_bytes()).expect("the body should be JSON");
    body["id"]
        .as_str()
        .expect("the answer should have an ID")
        .to_owned()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn run_answers_every_query() {
    let fleet = fleet().await;
    let queries: [&[&str]; 7] = [
        &["status"],
        &["targets"],
        &["teams"],
        &["config", "show"],
        &["config", "history"],
        &["claims", "list"],
        &["completion"],
    ];
    for query in queries {
        expect_that!(
            run_successfully(&fleet, query).await,
            not(eq("")),
            "{query:?}"
        );
        let json = run_successfully(&fleet, &[query, &["--json"]].concat()).await;
        let is_json = serde_json::from_str::<Value>(&json).is_ok();
        expect_that!(is_json, eq(query != ["completion"]), "{query:?}");
    }
    expect_that!(fleet.close().await, ok(anything()));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn run_distinguishes_wrong_token_from_unreachable_host() {
    let mut fleet = fleet().await;
    let (status, _) = run_with_token(&fleet, "not-the-token-at-all", &["status"]).await;
    expect_that!(status, eq(ExitStatus::Refused));
    let address = fleet.host(0).operators_address().to_string();
    fleet.kill_host(0);
    let parser = lexopt::Parser::from_args(["status", "--host", &address, "--timeout-ms", "2000"]);
    let token = |name: &str| (name == "ANVIL_TOKEN").then(|| OPERATOR_TOKEN.to_owned());
    let status = anvilctl::run::run(parser, token, &mut Vec::new()).await;
    expect_that!(status, eq(ExitStatus::Error));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn drain_puts_host_into_draining_stage() {
    let fleet = fleet().await;
    run_successfully(&fleet, &["drain"]).await;
    let status = run_successfully(&fleet, &["status", "--json"]).await;
    expect_that!(status, contains_substring(r#""stage":"draining""#));
    expect_that!(fleet.close().await, ok(anything()));
}
