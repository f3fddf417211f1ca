//! Probes of the balancer, and the scrape of metrics.

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

/// The process answers.
pub async fn live(_operators: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    Ok(reply::response(
        StatusCode::OK,
        "text/plain",
        b"ok\n".to_vec(),
    ))
}

/// The host takes requests.
pub async fn ready(operators: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    let (status, body) = match operators.shared.stage() {
        LifecycleStage::Serving => (StatusCode::OK, "ok\n"),
        LifecycleStage::Starting => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no configuration is in force yet\n",
        ),
        LifecycleStage::Draining => (StatusCode::SERVICE_UNAVAILABLE, "the host is stopping\n"),
    };
    Ok(reply::response(status, "text/plain", body.into()))
}

/// Prometheus text.
pub async fn metrics(operators: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    operators.forward_metrics();
    let text = operators.exporter.prometheus_text().map_err(|error| {
        ErrorResponse::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
    })?;
    Ok(reply::response(
        StatusCode::OK,
        "text/plain; version=0.0.4",
        text.into_bytes(),
    ))
}
