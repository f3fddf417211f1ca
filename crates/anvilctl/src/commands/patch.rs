//! The subcommands `patch submit` and `patch result`.

use std::{
    fs,
    io::Write, //
};

use anvil_command_line::{
    ExitStatus,
    UsageError,
    parse::Invocation, //
};
use anvil_wire::generated::operators::{
    SubmitAnswer,
    SubmitOutcome, //
};
use http::Method;
use serde_json::Value;
use smol_str::{
    SmolStr,
    ToSmolStr, //
};

use super::{
    author,
    config::changes_table, //
};
use crate::{
    client::percent_encode,
    failure::Failure,
    output::{
        OutputFormat,
        parse_answer, //
    },
    patch_file::{
        PatchFile,
        Submission, //
    },
    run::Session, //
};

/// Submits a patch file and prints the result.
pub async fn submit(
    session: &Session,
    invocation: &Invocation,
    environment: &impl Fn(&str) -> Option<String>,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let base_version = invocation
        .number("base")?
        .ok_or(UsageError::OptionMissing("base"))?;
    let patch_id = match invocation.value("patch-id") {
        Some(patch_id) => SmolStr::new(patch_id),
        None => uuid::Uuid::now_v7().to_smolstr(),
    };
    let file = read_patch_file(&invocation.arguments[0])?;
    let request = file.into_request(Submission {
        patch_id: patch_id.clone(),
        base_version,
        author: author(invocation, environment),
        note: invocation.value("note").map(SmolStr::new),
    });
    let path = "/v1/config/patches";
    let answer = session
        .client
        .send("patch submit", Method::POST, path, &request)
        .await;
    match answer {
        Ok(answer) => print_result(session, &answer, output),
        // The host may have appended the patch to the log. Asking for the result under the same ID
        // tells whether it did.
        Err(failure @ Failure::Call { .. }) => Err(Failure::Patch {
            status: ExitStatus::Error,
            message: format!(
                "{failure}\nit is unknown whether the patch was accepted; check with: \
                 anvilctl patch result {patch_id}"
            ),
        }),
        Err(failure) => Err(failure),
    }
}

fn read_patch_file(path: &str) -> Result<PatchFile, Failure> {
    let patch_file_error = |message| Failure::PatchFile {
        path: path.to_owned(),
        message,
    };
    let text = fs::read_to_string(path).map_err(|source| patch_file_error(source.to_string()))?;
    PatchFile::parse(&text).map_err(patch_file_error)
}

/// Asks the host for the result of an earlier submission and prints it.
pub async fn result(
    session: &Session,
    invocation: &Invocation,
    output: &mut impl Write,
) -> Result<(), Failure> {
    let patch_id = percent_encode(&invocation.arguments[0]);
    let path = format!("/v1/config/patches/{patch_id}");
    let answer = session.client.get("patch result", &path).await?;
    print_result(session, &answer, output)
}

fn print_result(session: &Session, answer: &Value, output: &mut impl Write) -> Result<(), Failure> {
    let result: SubmitAnswer = parse_answer(answer)?;
    if session.format == OutputFormat::Json {
        writeln!(output, "{answer}")?;
    }
    let status = match result.outcome {
        SubmitOutcome::Accepted => {
            if session.format == OutputFormat::Table {
                writeln!(output, "accepted as version {}", result.version)?;
            }
            return Ok(());
        }
        SubmitOutcome::Stale | SubmitOutcome::Invalid | SubmitOutcome::NotAppended => {
            ExitStatus::Refused
        }
        SubmitOutcome::Unknown => ExitStatus::Error,
    };
    let mut message = format!("patch {}: {}", result.patch_id, result.message);
    if !result.since.is_empty() {
        message.push_str(&format!("\n{}", changes_table(result.since)));
    }
    Err(Failure::Patch { status, message })
}
