//! Sends an answer as a single response.

use std::sync::Arc;

use anvil_core::{
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
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use http::{
    HeaderValue,
    header, //
};
use http_body_util::Full;
use serde_json::json;
use tokio::sync::oneshot;
use viz::{
    Body,
    Response, //
};

use super::{
    super::refusal,
    run, //
};
use crate::{
    admit::Admitted,
    pipeline::{
        CallerDisconnected,
        Job,
        TokenSink, //
    },
    shared::Shared,
    tokenizer, //
};

/// Channel that sends the tokens or the refusal to the caller's handler.
type Reply = oneshot::Sender<Result<Vec<Token>, Refused>>;

/// Runs a job and answers with all of its tokens.
///
/// The job runs in its own task. If the caller disconnects, the future that waits here is dropped,
/// but the resources that the job holds in the engines must still be freed.
pub(super) async fn answer(shared: Arc<Shared>, job: Job, admitted: Admitted) -> Response {
    let id = job.request.clone();
    let model = job.model.clone();
    let prompt_tokens = job.prompt.len();
    let (reply, outcome) = oneshot::channel();
    let open_request = shared.open_request();
    tokio::spawn(async move {
        let mut sink = CollectingSink {
            tokens: Vec::new(),
            reply,
        };
        let result = run(&shared, &job, admitted, &mut sink).await;
        // A caller that has disconnected needs no answer.
        let _disconnected = sink.reply.send(result.map(|()| sink.tokens));
        drop(open_request);
    });
    match outcome.await {
        Ok(Ok(tokens)) => response(&id, &model, prompt_tokens, &tokens),
        Ok(Err(refused)) => refusal::response(&id, &refused),
        Err(_) => {
            let refused = Refused::unknown(Reason::TargetFailed, "the request was abandoned");
            refusal::response(&id, &refused)
        }
    }
}

/// Collects the tokens while the caller is connected.
struct CollectingSink {
    tokens: Vec<Token>,
    reply: Reply,
}

impl TokenSink for CollectingSink {
    fn emit(&mut self, token: Token) -> BoxFuture<'_, Result<(), CallerDisconnected>> {
        self.tokens.push(token);
        let result = if self.reply.is_closed() {
            Err(CallerDisconnected)
        } else {
            Ok(())
        };
        futures::future::ready(result).boxed()
    }
}

fn response(id: &RequestId, model: &ModelId, prompt_tokens: usize, tokens: &[Token]) -> Response {
    let text: String = tokens
        .iter()
        .map(|token| tokenizer::decode(*token))
        .collect();
    let body = json!({
        "id": id,
        "object": "text_completion",
        "model": model,
        "choices": [{ "index": 0, "text": text, "tokens": tokens, "finish_reason": "length" }],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens.len(),
            "total_tokens": prompt_tokens + tokens.len(),
        },
    });
    let mut response = Response::new(Body::from(Full::from(body.to_string())));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
