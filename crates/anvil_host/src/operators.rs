//! The operators' listener: what the host is and does, and the few things it can be asked to do.
//!
//! Every path but the two probes wants the operators' token. Answers are JSON of
//! `anvil_wire::generated::operators`.

mod claims;
mod config;
mod control;
mod fleet;
mod health;
mod patch;
mod reply;
mod requests;
mod status;

use std::{
    future::Future,
    sync::Arc,
    time::Duration, //
};

use anvil_core::key_digest::KeyDigest;
use anvil_observe::metrics::{
    Exporter,
    RECOVERY_WAYS, //
};
use futures::{
    FutureExt,
    future::BoxFuture, //
};
use http::header;
use tokio_util::{
    sync::CancellationToken,
    task::TaskTracker, //
};
use viz::{
    Request,
    Response,
    Router, //
};

use crate::{
    host::StartError,
    listener::{
        Listener, //
        ListenerLimits,
    },
    shared::Shared, //
};
use reply::ErrorResponse;

/// Largest body of an operator's request.
pub const BODY_LIMIT_BYTES: usize = 4 << 20;
/// Time between two moves of metrics to the exporter.
const FORWARD_INTERVAL: Duration = Duration::from_secs(1);
/// Most connections of operators at once.
pub const CONNECTION_LIMIT: usize = 64;

/// What the operators' paths need.
pub struct OperatorContext {
    shared: Arc<Shared>,
    exporter: Exporter,
    token: KeyDigest,
}

impl OperatorContext {
    /// Serves operators of a host.
    pub fn new(shared: Arc<Shared>, exporter: Exporter) -> Arc<Self> {
        let token = KeyDigest::of(&shared.settings.credentials.operator_token);
        Arc::new(Self {
            shared,
            exporter,
            token,
        })
    }

    /// Moves metrics on to the exporter; to be called about once a second.
    pub fn forward_metrics(&self) {
        let metrics = &self.shared.metrics;
        if let Some(logs) = anvil_observe::log::Logs::installed() {
            metrics.log_lines_dropped.set(logs.dropped_lines());
        }
        let counts = &self.shared.targets.counters;
        for (way, count) in RECOVERY_WAYS.into_iter().zip(&metrics.recoveries) {
            count.raise_to(counts.recoveries(way));
        }
        metrics.answers_dropped.raise_to(counts.dropped_answers());
        self.exporter.forward();
    }

    /// Digests are compared, so that the time taken tells nothing of the token.
    fn authenticate(&self, request: &Request) -> Result<(), ErrorResponse> {
        let given = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.strip_prefix("Bearer "));
        match given {
            Some(token) if KeyDigest::of(token) == self.token => Ok(()),
            _ => Err(ErrorResponse::unauthenticated()),
        }
    }
}

/// Starts the listener and the export of metrics.
///
/// # Errors
///
/// An address that can't be bound, or metrics that can't be exported.
pub async fn start(
    shared: &Arc<Shared>,
    tasks: &TaskTracker,
    stop: &CancellationToken,
) -> Result<Listener, StartError> {
    let settings = &shared.settings;
    let exporter = Exporter::new(
        Arc::clone(&shared.metrics),
        &settings.metrics,
        &settings.host_id,
        &settings.data_centre,
    )?;
    let operators = OperatorContext::new(Arc::clone(shared), exporter);
    let bounds = ListenerLimits {
        connection_limit: CONNECTION_LIMIT,
        header_timeout: settings.callers.header_timeout,
        header_limit_bytes: settings.callers.header_limit_bytes,
    };
    let listener = Listener::start(
        "operators",
        settings.listen.operators,
        router(&operators),
        bounds,
    )
    .await?;
    tasks.spawn(forward_metrics(operators, stop.clone()));
    Ok(listener)
}

async fn forward_metrics(operators: Arc<OperatorContext>, stop: CancellationToken) {
    let mut interval = tokio::time::interval(FORWARD_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = interval.tick() => operators.forward_metrics(),
        }
    }
    operators.forward_metrics();
}

/// Paths of the operators' listener.
pub fn router(operators: &Arc<OperatorContext>) -> Router {
    Router::new()
        .get("/livez", without_token(operators, health::live))
        .get("/readyz", without_token(operators, health::ready))
        .get("/metrics", with_token(operators, health::metrics))
        .get("/v1/status", with_token(operators, status::status))
        .get("/v1/targets", with_token(operators, fleet::targets))
        .get("/v1/teams", with_token(operators, fleet::teams))
        .get("/v1/config", with_token(operators, config::show))
        .get("/v1/config/history", with_token(operators, config::history))
        .get(
            "/v1/config/diff/:version",
            with_token(operators, config::diff),
        )
        .post("/v1/config/patches", with_token(operators, config::submit))
        .get(
            "/v1/config/patches/:patch",
            with_token(operators, config::patch_result),
        )
        .get("/v1/claims", with_token(operators, claims::list))
        .post("/v1/claims/settle", with_token(operators, claims::settle))
        .get(
            "/v1/requests/:request",
            with_token(operators, requests::explain),
        )
        .post("/v1/drain", with_token(operators, control::drain))
        .get("/v1/log/levels", with_token(operators, control::log_levels))
        .put(
            "/v1/log/levels",
            with_token(operators, control::set_log_levels),
        )
        .any("/*", with_token(operators, reply::not_found))
}

type HandlerResult = Result<Response, ErrorResponse>;
type Served = BoxFuture<'static, viz::Result<Response>>;

fn without_token<H, F>(
    operators: &Arc<OperatorContext>,
    handler: H,
) -> impl Fn(Request) -> Served + Clone + Send + Sync + 'static
where
    H: Fn(Arc<OperatorContext>, Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send,
{
    let operators = Arc::clone(operators);
    move |request| {
        let operators = Arc::clone(&operators);
        let handler = handler.clone();
        async move {
            let answer = handler(operators, request).await;
            Ok(answer.unwrap_or_else(ErrorResponse::into_response))
        }
        .boxed()
    }
}

fn with_token<H, F>(
    operators: &Arc<OperatorContext>,
    handler: H,
) -> impl Fn(Request) -> Served + Clone + Send + Sync + 'static
where
    H: Fn(Arc<OperatorContext>, Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send,
{
    without_token(operators, move |operators, request| {
        let handler = handler.clone();
        async move {
            operators.authenticate(&request)?;
            handler(operators, request).await
        }
    })
}
