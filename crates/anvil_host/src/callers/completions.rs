//! Serves `POST /v1/completions`, with a whole answer or with server-sent events.

mod chunk;
mod request;
mod streamed;
mod whole;

use std::sync::Arc;

use anvil_core::{
    id::RequestId,
    outcome::{
        Outcome,
        Refused, //
    }, //
};
use viz::{
    Request,
    Response, //
};

use super::{
    metered::MeteredSink,
    refusal, //
};
use crate::{
    admit::{
        self,
        Admitted, //
    },
    pipeline::{
        self,
        Job,
        TokenSink, //
    },
    shared::Shared, //
};
use request::{
    AcceptedRequest,
    ResponseMode, //
};

/// Serves one completion request under a new request ID.
pub async fn serve(shared: Arc<Shared>, request: Request) -> Response {
    let id = shared.new_request_id();
    let served = serve_as(shared, id.clone(), request);
    anvil_observe::request::scope(id, served).await
}

async fn serve_as(shared: Arc<Shared>, id: RequestId, request: Request) -> Response {
    let refuse = |refused: Refused| {
        shared.record_refusal(&id, &refused);
        refusal::response(&id, &refused)
    };
    let accepted = match request::accept(&shared, &id, request).await {
        Ok(accepted) => accepted,
        Err(refused) => return refuse(refused),
    };
    let AcceptedRequest {
        job,
        team,
        response_mode,
    } = accepted;
    let admitted = match admit::enter(&shared, &job, &team).await {
        Ok(admitted) => admitted,
        Err(refused) => return refuse(refused),
    };
    let metrics = &shared.metrics;
    metrics.queue_wait.record_duration(job.arrived.elapsed());
    metrics.tokens_prompt.add(job.prompt.len() as u64);
    match response_mode {
        ResponseMode::Streamed => streamed::answer(shared, job, admitted).await,
        ResponseMode::Whole => whole::answer(shared, job, admitted).await,
    }
}

/// Runs an admitted job and charges its team for the tokens that it used.
async fn run(
    shared: &Arc<Shared>,
    job: &Job,
    admitted: Admitted,
    sink: &mut dyn TokenSink,
) -> Result<(), Refused> {
    let mut metered = MeteredSink::new(sink, &shared.metrics, job.arrived);
    let mut observed = admit::ObservedSink::new(&mut metered, &admitted);
    let ran = pipeline::run(shared, job, &mut observed);
    // The job runs in its own task, which needs the scope of the request as well.
    let result = anvil_observe::request::scope(job.request.clone(), ran).await;
    let used_tokens = job.prompt.len() as u64 + observed.token_count();
    match &result {
        Ok(()) => metered.close(),
        Err(refused) => shared.record_refusal(&job.request, refused),
    }
    match &result {
        Err(refused) if refused.outcome == Outcome::NotRun => admitted.cancel(),
        Ok(()) | Err(_) => admitted.close(used_tokens),
    }
    result
}
