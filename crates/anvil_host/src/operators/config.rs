//! The configuration in force, its history, and patches to it.

use std::sync::Arc;

use anvil_core::{
    config::{
        Diff,
        Patch,
        PatchId,
        Summary,
        TouchKind, //
    },
    id::Version, //
};
use anvil_wire::generated::operators as wire;
use http::StatusCode;
use smol_str::{
    SmolStr,
    ToSmolStr, //
};
use viz::{
    Request,
    RequestExt, //
};

use super::{
    HandlerResult,
    OperatorContext,
    patch,
    reply::{
        self,
        ErrorResponse, //
    }, //
};
use crate::config::PatchOutcome;

/// Number of versions in a history whose request names no limit.
const DEFAULT_LIMIT_VERSIONS: usize = 50;

/// Returns the configuration in force.
pub async fn show(context: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    let config = context.shared.config();
    let document = serde_json::to_value(&*config.document).map_err(|error| {
        ErrorResponse::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
    })?;
    let answer = wire::ConfigAnswer {
        version: config.version,
        document,
    };
    Ok(reply::json_response(StatusCode::OK, &answer))
}

/// Returns the recent versions, newest first.
pub async fn history(context: Arc<OperatorContext>, request: Request) -> HandlerResult {
    let page = reply::parse_page_query(&request)?;
    let state = context.shared.configuration.state();
    let answer = wire::HistoryAnswer {
        version: state.version(),
        entries: state
            .history()
            .rev()
            .take(page.limit.unwrap_or(DEFAULT_LIMIT_VERSIONS))
            .map(|summary| history_entry(summary))
            .collect(),
    };
    Ok(reply::json_response(StatusCode::OK, &answer))
}

fn history_entry(summary: &Summary) -> wire::HistoryEntry {
    let changed = summary.touches.iter().map(|touch| touch.key.to_smolstr());
    wire::HistoryEntry {
        version: summary.version,
        patch_id: summary.patch_id.clone(),
        author: summary.author.clone(),
        note: summary.note.clone(),
        changed: changed.collect(),
    }
}

/// Returns the changes after a version.
pub async fn diff(context: Arc<OperatorContext>, request: Request) -> HandlerResult {
    let from: Version = request
        .params()
        .map_err(|error| ErrorResponse::bad_request(error.to_string()))?;
    let state = context.shared.configuration.state();
    if from > state.version() {
        return Err(ErrorResponse::new(
            StatusCode::NOT_FOUND,
            format!(
                "version {from} is yet to come; {} is in force",
                state.version()
            ),
        ));
    }
    let (complete, changes) = changes(&state.diff_since(from));
    let answer = wire::DiffAnswer {
        from,
        to: state.version(),
        complete,
        changes,
    };
    Ok(reply::json_response(StatusCode::OK, &answer))
}

/// Returns whether a diff is complete, and its entries, oldest first.
fn changes(diff: &Diff) -> (bool, Vec<wire::ChangeEntry>) {
    let (complete, summaries) = match diff {
        Diff::Complete(summaries) => (true, summaries),
        Diff::Truncated(summaries) => (false, summaries),
    };
    let entries = summaries.iter().flat_map(|summary| {
        summary.touches.iter().map(|touch| wire::ChangeEntry {
            entry: touch.key.to_smolstr(),
            change: SmolStr::new_static(match touch.kind {
                TouchKind::Put => "put",
                TouchKind::Deleted => "deleted",
            }),
            version: summary.version,
        })
    });
    (complete, entries.collect())
}

/// Submits a patch and returns its verdict, or why there is none yet.
pub async fn submit(context: Arc<OperatorContext>, request: Request) -> HandlerResult {
    let request: wire::SubmitRequest = reply::parse_json_body(request).await?;
    let patch: Patch = patch::from_wire(request).map_err(ErrorResponse::bad_request)?;
    let patch_id = patch.patch_id.clone();
    let outcome = context.shared.configuration.submit(patch).await;
    let version = context.shared.configuration.state().version();
    let answer = submit_answer(patch_id, version, outcome);
    spdlog::info!("operators.patch", kv: {
        patch = answer.patch_id.as_str(),
        outcome: = answer.outcome,
        version = answer.version,
        message = answer.message.as_str(),
    });
    Ok(reply::json_response(StatusCode::OK, &answer))
}

/// Returns the verdict on a patch that was submitted earlier.
pub async fn patch_result(context: Arc<OperatorContext>, request: Request) -> HandlerResult {
    let patch_id = reply::path_parameter(&request)?;
    let configuration = &context.shared.configuration;
    let version = configuration.state().version();
    let Some(outcome) = configuration.patch_outcome(&patch_id, version) else {
        return Err(ErrorResponse::new(
            StatusCode::NOT_FOUND,
            format!(
                "no verdict on patch {patch_id} is kept here; if it may be on the log, submit it \
                 again under the same id: it can't be accepted twice"
            ),
        ));
    };
    let answer = submit_answer(patch_id.into(), version, outcome);
    Ok(reply::json_response(StatusCode::OK, &answer))
}

fn submit_answer(
    patch_id: PatchId,
    current_version: Version,
    outcome: PatchOutcome,
) -> wire::SubmitAnswer {
    let mut answer = wire::SubmitAnswer {
        outcome: wire::SubmitOutcome::Accepted,
        patch_id,
        version: current_version,
        message: SmolStr::default(),
        since: Vec::new(),
    };
    match outcome {
        PatchOutcome::Accepted { version } => {
            answer.version = version;
            answer.message = SmolStr::new_static("accepted");
        }
        PatchOutcome::Stale { version, diff } => {
            let (complete, since) = changes(&diff);
            answer.outcome = wire::SubmitOutcome::Stale;
            answer.version = version;
            answer.since = since;
            answer.message = SmolStr::new_static(match complete {
                true => "stale: others have changed the configuration since its base",
                false => "stale: its base is older than the history kept",
            });
        }
        PatchOutcome::Invalid { message } => {
            answer.outcome = wire::SubmitOutcome::Invalid;
            answer.message = message.into();
        }
        PatchOutcome::Unknown { .. } => {
            answer.outcome = wire::SubmitOutcome::Unknown;
            answer.message = SmolStr::new_static(
                "the log's answer was lost: ask for the result, or submit again under the same id",
            );
        }
        PatchOutcome::NotAppended { message } => {
            answer.outcome = wire::SubmitOutcome::NotAppended;
            answer.message = format!("not put on the log, submit it again: {message}").into();
        }
    }
    answer
}
