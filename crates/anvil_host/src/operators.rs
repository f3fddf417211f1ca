//! The listener for operators, which shows the state of the host and accepts commands.
//!
//! Every path except the two probes requires the operators' token. Answers are the JSON types of
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
/// Time between two transfers of metrics to the exporter.
const FORWARD_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of connections of operators at once.
pub const CONNECTION_LIMIT: usize = 64;

/// What the handlers of the operators' paths need.
pub struct OperatorContext {
    shared: Arc<Shared>,
    exporter: Exporter,
    token: KeyDigest,
}

impl OperatorContext {
    /// Creates the context that all handlers of a host share.
    pub fn new(shared: Arc<Shared>, exporter: Exporter) -> Arc<Self> {
        let token = KeyDigest::of(&shared.settings.credentials.operator_token);
        Arc::new(Self {
            shared,
            exporter,
            token,
        })
    }

    /// Transfers metrics to the exporter. Call it about once a second.
    pub fn forward_metrics(&self) {
        let metrics = &self.shared.metrics;
        if let Some(logs) = anvil_observe::log::Logs::installed() {
            metrics.log_lines_dropped.set(logs.dropped_lines());
        }
        let totals = &self.shared.targets.counters;
        for (action, count) in RECOVERY_WAYS.into_iter().zip(&metrics.recoveries) {
            count.raise_to(totals.recoveries(action));
        }
        metrics.answers_dropped.raise_to(totals.dropped_answers());
        self.exporter.forward();
    }

    /// Checks the operators' token. Digests are compared, so that the time taken reveals nothing
    /// about the token.
    fn authenticate(&self, request: &Request) -> Result<(), ErrorResponse> {
        let presented = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.strip_prefix("Bearer "));
        match presented {
            Some(token) if KeyDigest::of(token) == self.token => Ok(()),
            _ => Err(ErrorResponse::unauthenticated()),
        }
    }
}

/// Starts the operators' listener and the export of metrics.
///
/// # Errors
///
/// The address can't be bound, or the metrics exporter can't be started.
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
    let context = OperatorContext::new(Arc::clone(shared), exporter);
    let limits = ListenerLimits {
        connection_limit: CONNECTION_LIMIT,
        header_timeout: settings.callers.header_timeout,
        header_limit_bytes: settings.callers.header_limit_bytes,
    };
    let listener = Listener::start(
        "operators",
        settings.listen.operators,
        router(&context),
        limits,
    )
    .await?;
    tasks.spawn(forward_metrics(context, stop.clone()));
    Ok(listener)
}

async fn forward_metrics(context: Arc<OperatorContext>, stop: CancellationToken) {
    let mut interval = tokio::time::interval(FORWARD_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            _ = interval.tick() => context.forward_metrics(),
        }
    }
    context.forward_metrics();
}

/// Returns the router of the operators' listener.
pub fn router(context: &Arc<OperatorContext>) -> Router {
    Router::new()
        .get("/livez", without_token(context, health::live))
        .get("/readyz", without_token(context, health::ready))
        .get("/metrics", with_token(context, health::metrics))
        .get("/v1/status", with_token(context, status::status))
        .get("/v1/targets", with_token(context, fleet::targets))
        .get("/v1/teams", with_token(context, fleet::teams))
        .get("/v1/config", with_token(context, config::show))
        .get("/v1/config/history", with_token(context, config::history))
        .get(
            "/v1/config/diff/:version",
            with_token(context, config::diff),
        )
        .post("/v1/config/patches", with_token(context, config::submit))
        .get(
            "/v1/config/patches/:patch",
            with_token(context, config::patch_result),
        )
        .get("/v1/claims", with_token(context, claims::list))
        .post("/v1/claims/settle", with_token(context, claims::settle))
        .get(
            "/v1/requests/:request",
            with_token(context, requests::explain),
        )
        .post("/v1/drain", with_token(context, control::drain))
        .get("/v1/log/levels", with_token(context, control::log_levels))
        .put(
            "/v1/log/levels",
            with_token(context, control::set_log_levels),
        )
        .any("/*", with_token(context, reply::not_found))
}

type HandlerResult = Result<Response, ErrorResponse>;
type HandlerFuture = BoxFuture<'static, viz::Result<Response>>;

fn without_token<H, F>(
    context: &Arc<OperatorContext>,
    handler: H,
) -> impl Fn(Request) -> HandlerFuture + Clone + Send + Sync + 'static
where
    H: Fn(Arc<OperatorContext>, Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send,
{
    let context = Arc::clone(context);
    move |request| {
        let context = Arc::clone(&context);
        let handler = handler.clone();
        async move {
            let answer = handler(context, request).await;
            Ok(answer.unwrap_or_else(ErrorResponse::into_response))
        }
        .boxed()
    }
}

fn with_token<H, F>(
    context: &Arc<OperatorContext>,
    handler: H,
) -> impl Fn(Request) -> HandlerFuture + Clone + Send + Sync + 'static
where
    H: Fn(Arc<OperatorContext>, Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = HandlerResult> + Send,
{
    without_token(context, move |context, request| {
        let handler = handler.clone();
        async move {
            context.authenticate(&request)?;
            handler(context, request).await
        }
    })
}
