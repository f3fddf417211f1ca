//! Shows the decisions that were made about a request.

use std::sync::Arc;

use anvil_core::id::RequestId;
use anvil_observe::log::time_text;
use anvil_wire::generated::operators as wire;
use http::StatusCode;
use smol_str::SmolStr;
use viz::Request;

use super::{
    HandlerResult,
    OperatorContext,
    reply::{
        self,
        ErrorResponse, //
    }, //
};
use crate::explain::Record;

/// Returns every decision about a request that this host keeps.
pub async fn explain(context: Arc<OperatorContext>, request: Request) -> HandlerResult {
    let id = RequestId::from(reply::path_parameter(&request)?);
    let Some(explanation) = context.shared.explain.get(&id) else {
        return Err(ErrorResponse::new(
            StatusCode::NOT_FOUND,
            format!(
                "nothing is kept of request {id}; ask the host that served it, which its id names, \
                 and soon: only recent requests are kept"
            ),
        ));
    };
    let answer = wire::Explanation {
        request: id,
        dropped_records: explanation.dropped_records,
        records: explanation.records.into_iter().map(record).collect(),
    };
    Ok(reply::json_response(StatusCode::OK, &answer))
}

fn record(record: Record) -> wire::DecisionRecord {
    let decision = record.decision;
    wire::DecisionRecord {
        time: SmolStr::from(time_text(record.at)),
        event: SmolStr::new_static(decision.event),
        attempt: decision.attempt,
        chosen: decision.chosen,
        runner_up: decision.runner_up,
        reason: decision.reason,
    }
}
