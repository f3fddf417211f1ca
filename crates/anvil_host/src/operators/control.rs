//! Commands to a host: a planned stop, and changes of the log levels.

use std::sync::Arc;

use anvil_observe::log::Logs;
use anvil_settings::log::Levels;
use anvil_wire::generated::operators as wire;
use http::StatusCode;
use smol_str::ToSmolStr;
use viz::Request;

use super::{
    HandlerResult,
    OperatorContext,
    reply::{
        self,
        ErrorResponse, //
    }, //
};
use crate::shared::LifecycleStage;

/// Starts a planned stop and returns the number of open requests.
pub async fn drain(context: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    let shared = &context.shared;
    spdlog::info!("operators.drain");
    shared.advance(LifecycleStage::Draining);
    shared.stop_requested.cancel();
    let answer = wire::DrainAnswer {
        open_requests: *shared.open_requests().borrow() as u64,
    };
    Ok(reply::json_response(StatusCode::ACCEPTED, &answer))
}

/// Returns the log levels.
pub async fn log_levels(_context: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    let logs = logs()?;
    Ok(levels_answer(&logs))
}

/// Sets the log levels until the process ends, and returns them.
pub async fn set_log_levels(_context: Arc<OperatorContext>, request: Request) -> HandlerResult {
    let logs = logs()?;
    let requested: wire::LogLevels = reply::parse_json_body(request).await?;
    let levels: Levels =
        requested
            .levels
            .parse()
            .map_err(|error: anvil_settings::log::UnknownName| {
                ErrorResponse::bad_request(error.to_string())
            })?;
    spdlog::info!("operators.log_levels", kv: { levels: });
    logs.set_levels(levels);
    Ok(levels_answer(&logs))
}

fn logs() -> Result<Arc<Logs>, ErrorResponse> {
    Logs::installed().ok_or_else(|| {
        ErrorResponse::new(
            StatusCode::CONFLICT,
            "this process writes its logs by other means",
        )
    })
}

fn levels_answer(logs: &Logs) -> viz::Response {
    let answer = wire::LogLevels {
        levels: logs.levels().to_smolstr(),
    };
    reply::json_response(StatusCode::OK, &answer)
}
