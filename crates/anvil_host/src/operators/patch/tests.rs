use anvil_core::config::Change;
use anvil_wire::generated::operators::{
    Deletions,
    SubmitRequest, //
};
use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};

use super::from_wire;

fn request(put: Value, delete: Option<Deletions>) -> SubmitRequest {
    SubmitRequest {
        patch_id: "p-1".into(),
        base_version: 3,
        author: None,
        note: None,
        put: Some(put),
        delete,
    }
}

fn deletions() -> Deletions {
    Deletions {
        models: vec!["m".into()],
        placements: Vec::new(),
        services: Vec::new(),
        targets: vec!["t".into()],
        teams: Vec::new(),
    }
}

#[gtest]
fn from_wire_orders_changes_by_reference() {
    let put = json!({
        "placements": { "n": { "replicas_min": 1, "replicas_max": 2 } },
        "services": { "s": { "repeatable": "no", "timeout_ms": 500 } },
    });
    let patch = from_wire(request(put, Some(deletions()))).expect("the patch must be valid");
    let keys: Vec<_> = patch
        .changes
        .iter()
        .map(|change| match change {
            Change::Put(entry) => format!("put {}", entry.key()),
            Change::Delete(key) => format!("delete {key}"),
        })
        .collect();
    expect_that!(
        keys,
        elements_are![
            eq("put service s"),
            eq("put placement n"),
            eq("delete target t"),
            eq("delete model m"),
        ]
    );
}

#[gtest]
fn from_wire_describes_error() {
    let cases = [
        (json!({}), "the patch changes nothing"),
        (json!({ "team": {} }), "unknown field `team`"),
        (
            json!({ "services": { "s": { "timeout_ms": 1 } } }),
            "missing field `repeatable`",
        ),
    ];
    for (put, message) in cases {
        expect_that!(
            from_wire(request(put, None)),
            err(contains_substring(message))
        );
    }
}
