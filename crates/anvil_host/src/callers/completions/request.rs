//! Reads and checks completion requests in the format that OpenAI clients send.

use std::{
    sync::Arc,
    time::Instant, //
};

use anvil_core::{
    document::Team,
    id::{
        ModelId,
        RequestId,
        Token, //
    },
    outcome::{
        Reason,
        Refused, //
    }, //
};
use serde::Deserialize;
use viz::Request;

use super::super::{
    identify,
    read_body, //
};
use crate::{
    pipeline::Job,
    shared::Shared,
    tokenizer, //
};

/// Limit on the answer for requests without `max_tokens`.
const DEFAULT_LIMIT_TOKENS: u32 = 16;

/// Body of a request in the OpenAI format. Unknown fields are ignored.
#[derive(Debug, Deserialize)]
struct CompletionRequest {
    model: ModelId,
    prompt: Prompt,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Prompt {
    Text(String),
    Tokens(Vec<Token>),
}

/// A request that passed all checks, as a job to run.
pub(super) struct AcceptedRequest {
    pub(super) job: Job,
    pub(super) team: Arc<Team>,
    pub(super) response_mode: ResponseMode,
}

/// How the answer is sent.
pub(super) enum ResponseMode {
    Whole,
    Streamed,
}

/// Reads and checks a request.
///
/// # Errors
///
/// Returns a refusal if the request is invalid. Nothing has run in this case.
pub(super) async fn accept(
    shared: &Arc<Shared>,
    id: &RequestId,
    request: Request,
) -> Result<AcceptedRequest, Refused> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let caller = identify(shared, &parts.headers)?;
    let body = read_body(shared, body).await?;
    let request: CompletionRequest = serde_json::from_slice(&body).map_err(|error| {
        Refused::not_run(
            Reason::BadRequest,
            format!("the body is no completion request: {error}"),
        )
    })?;
    let prompt = match request.prompt {
        Prompt::Text(text) => tokenizer::encode(&text),
        Prompt::Tokens(tokens) => tokens,
    };
    let limit_tokens = request.max_tokens.unwrap_or(DEFAULT_LIMIT_TOKENS);
    let config = shared.config();
    let Some(model) = config.document.models.get(&request.model) else {
        return Err(Refused::not_run(
            Reason::NotFound,
            format!("no model {} is configured", request.model),
        ));
    };
    let total_tokens = prompt.len() as u64 + u64::from(limit_tokens);
    if prompt.is_empty()
        || limit_tokens == 0
        || total_tokens > u64::from(model.context_limit_tokens)
    {
        return Err(Refused::not_run(
            Reason::BadRequest,
            format!(
                "prompt and max_tokens must each hold at least 1 token, and together at most {}",
                model.context_limit_tokens
            ),
        ));
    }
    let job = Job {
        request: id.clone(),
        team: caller.team_id,
        model: request.model,
        prompt,
        limit_tokens,
        priority: caller.team.priority,
        arrived,
        deadline: caller.deadline,
    };
    Ok(AcceptedRequest {
        job,
        team: caller.team,
        response_mode: if request.stream {
            ResponseMode::Streamed
        } else {
            ResponseMode::Whole
        },
    })
}
