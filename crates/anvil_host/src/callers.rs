//! The listener for callers: completions in the OpenAI format, and plain services.

mod completions;
mod metered;
mod refusal;
mod services;

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use anvil_core::{
    document::Team,
    id::TeamId,
    outcome::{
        Reason,
        Refused, //
    }, //
};
use bytes::Bytes;
use http::{
    HeaderMap,
    header, //
};
use http_body_util::{
    BodyExt,
    Limited, //
};
use viz::{
    Body,
    Request,
    Response,
    Router, //
};

use crate::shared::{
    LifecycleStage, //
    Shared,
};

/// Header with the time in milliseconds after which an answer is no longer useful to the caller.
pub const DEADLINE_HEADER: &str = "anvil-deadline-ms";

/// Returns the router of the callers' listener.
pub fn router(shared: &Arc<Shared>) -> Router {
    let completions = Arc::clone(shared);
    let services = Arc::clone(shared);
    Router::new()
        .post("/v1/completions", move |request: Request| {
            let shared = Arc::clone(&completions);
            async move { Ok::<Response, viz::Error>(completions::serve(shared, request).await) }
        })
        .any("/v1/services/*", move |request: Request| {
            let shared = Arc::clone(&services);
            async move { Ok::<Response, viz::Error>(services::serve(shared, request).await) }
        })
}

/// An identified caller, and the time by which its request must be answered.
struct Caller {
    team_id: TeamId,
    team: Arc<Team>,
    deadline: Instant,
}

/// Checks that the host is serving, identifies the caller by its key, and reads the deadline.
///
/// # Errors
///
/// Returns a refusal if the host is not serving, the key is unknown, or the deadline is invalid.
fn identify(shared: &Shared, headers: &HeaderMap) -> Result<Caller, Refused> {
    if shared.stage() != LifecycleStage::Serving {
        return Err(
            Refused::not_run(Reason::NotReady, "this host takes no requests now")
                .retry_after(Duration::from_secs(1)),
        );
    }
    let config = shared.config();
    let Some((team_id, team)) = bearer_key(headers).and_then(|key| config.team_of_key(key)) else {
        return Err(Refused::not_run(
            Reason::Unauthenticated,
            "send a known key as Authorization: Bearer KEY",
        ));
    };
    Ok(Caller {
        team_id,
        team,
        deadline: Instant::now() + time_budget(shared, headers)?,
    })
}

fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    headers
        .get(header::AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

fn time_budget(shared: &Shared, headers: &HeaderMap) -> Result<Duration, Refused> {
    const TIME_BUDGET_MAX: Duration = Duration::from_secs(24 * 3600);
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(shared.settings.callers.default_deadline);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis)
        .filter(|time| !time.is_zero() && *time <= TIME_BUDGET_MAX)
        .ok_or_else(|| {
            Refused::not_run(
                Reason::BadRequest,
                format!("{DEADLINE_HEADER} must be a number of milliseconds from 1 to 86400000"),
            )
        })
}

/// Reads a body within the limits on its size and on the time for its arrival.
///
/// # Errors
///
/// Returns a refusal if a limit is exceeded or the body can't be read.
async fn read_body(shared: &Shared, body: Body) -> Result<Bytes, Refused> {
    let callers = &shared.settings.callers;
    let limited = Limited::new(body, callers.body_limit_bytes).collect();
    let collected = tokio::time::timeout(callers.body_timeout, limited)
        .await
        .map_err(|_| Refused::not_run(Reason::BadRequest, "the body did not arrive in time"))?;
    match collected {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(Refused::not_run(
            Reason::TooLarge,
            format!("the body exceeds {} bytes", callers.body_limit_bytes),
        )),
        Err(error) => Err(Refused::not_run(
            Reason::BadRequest,
            format!("the body can't be read: {error}"),
        )),
    }
}
