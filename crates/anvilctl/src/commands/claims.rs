//! The subcommands `claims list` and `claims settle`.

use std::io::Write;

use anvil_command_line::{
    UsageError,
    parse::Invocation, //
};
use anvil_wire::generated::operators::{
    ClaimsAnswer,
    Ruling,
    SettleAnswer,
    SettleRequest, //
};
use http::Method;
use smol_str::SmolStr;

use super::author;
use crate::{
    failure::Failure,
    output::{
        duration_text,
        print, //
    },
    run::Session,
    table::Table, //
};

/// Prints the claimed calls that have no outcome yet.
pub async fn list(session: &Session, output: &mut impl Write) -> Result<(), Failure> {
    let answer = session.client.get("claims list", "/v1/claims").await?;
    print(output, session.format, &answer, claims_text)
}

fn claims_text(answer: ClaimsAnswer) -> String {
    let mut table = Table::new(&["claim", "team", "service", "key", "age", "answer"]);
    for claim in answer.claims {
        table.row(vec![
            claim.claim.to_string(),
            claim.team.to_string(),
            claim.service.to_string(),
            claim.key.to_string(),
            duration_text(claim.age_ms),
            claim
                .lost
                .map_or("-".to_owned(), |lost| format!("lost: {lost}")),
        ]);
    }
    let missing = match answer.missing_shards.len() {
        0 => String::new(),
        count => format!("{count} shards could not be queried; their claims are not listed\n"),
    };
    format!("{table}{missing}")
}

/// Records the outcome that the operator found for a claimed call.
pub async fn settle(
    session: &Session,
    invocation: &Invocation,
    environment: &impl Fn(&str) -> Option<String>,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let outcome = invocation.required("outcome")?;
    let ruling: Ruling = outcome.parse().map_err(|_| UsageError::BadValue {
        option: "outcome",
        value: outcome.to_owned(),
        expected: "`ran` or `not_run`",
    })?;
    let request = SettleRequest {
        claim: SmolStr::new(&invocation.arguments[0]),
        ruling,
        author: author(invocation, environment).unwrap_or_default(),
        note: SmolStr::new(invocation.value("note").unwrap_or_default()),
    };
    let answer = session
        .client
        .send("claims settle", Method::POST, "/v1/claims/settle", &request)
        .await?;
    print(output, session.format, &answer, |answer: SettleAnswer| {
        format!("claim {} is settled as {ruling}\n", answer.claim)
    })
}
