//! Liveness and readiness probes, and the metrics for Prometheus.

use std::sync::Arc;

use http::StatusCode;
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

/// Answers the liveness probe, which succeeds while the process runs.
pub async fn live(_context: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    Ok(reply::response(
        StatusCode::OK,
        "text/plain",
        b"ok\n".to_vec(),
    ))
}

/// Answers the readiness probe, which succeeds while the host accepts requests.
pub async fn ready(context: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    let (status, body) = match context.shared.stage() {
        LifecycleStage::Serving => (StatusCode::OK, "ok\n"),
        LifecycleStage::Starting => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is in force yet\n",
        ),
        LifecycleStage::Draining => (StatusCode::SERVICE_UNAVAILABLE, "the host is stopping\n"),
    };
    Ok(reply::response(status, "text/plain", body.into()))
}

/// Returns the metrics in the text format of Prometheus.
pub async fn metrics(context: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    context.forward_metrics();
    let text = context.exporter.prometheus_text().map_err(|error| {
        ErrorResponse::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
    })?;
    Ok(reply::response(
        StatusCode::OK,
        "text/plain; version=0.0.4",
        text.into_bytes(),
    ))
}
