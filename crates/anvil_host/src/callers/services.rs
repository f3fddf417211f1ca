//! Serves `/v1/services/{service}/{path}`: calls to plain services.

use std::sync::Arc;

use anvil_core::{
    id::{
        RequestId,
        ServiceId, //
    },
    outcome::{
        Outcome,
        Reason,
        Refused, //
    }, //
};
use http::{
    HeaderMap,
    HeaderValue,
    StatusCode,
    header,
    request, //
};
use http_body_util::Full;
use smol_str::SmolStr;
use viz::{
    Body,
    Request,
    Response, //
};

use super::{
    identify,
    read_body,
    refusal, //
};
use crate::{
    claims::CallContext,
    port::{
        ServiceAnswer,
        ServiceCall, //
    },
    shared::Shared, //
};

/// Header with the idempotency key of a call, under which it runs at most once.
pub const KEY_HEADER: &str = "idempotency-key";
/// Prefix of the paths of services.
pub const PREFIX: &str = "/v1/services/";

/// Serves one service call under a new request ID.
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
    let _open = shared.open_request();
    let (parts, body) = request.into_parts();
    let has_key = parts.headers.contains_key(KEY_HEADER);
    let call = match accept(&shared, &id, &parts, body).await {
        Ok(call) => call,
        Err(refused) if has_key => return refuse(with_unknown_outcome(refused)),
        Err(refused) => return refuse(refused),
    };
    match shared.service_dispatcher.call(call).await {
        Ok(answer) => {
            shared.metrics.requests_answered.add(1);
            service_response(answer)
        }
        Err(refused) => refuse(refused),
    }
}

async fn accept(
    shared: &Arc<Shared>,
    id: &RequestId,
    parts: &request::Parts,
    body: Body,
) -> Result<CallContext, Refused> {
    let caller = identify(shared, &parts.headers)?;
    let (service_id, path) = split_service_path(parts)?;
    let service = shared.config().document.services.get(&service_id).cloned();
    let Some(service) = service else {
        return Err(Refused::not_run(
            Reason::NotFound,
            format!("no service {service_id} is configured"),
        ));
    };
    let body = read_body(shared, body).await?;
    Ok(CallContext {
        request: id.clone(),
        team: caller.team_id,
        service,
        call: ServiceCall {
            service: service_id,
            method: parts.method.clone(),
            path,
            content_type: parts.headers.get(header::CONTENT_TYPE).cloned(),
            idempotency_key: idempotency_key_of(&parts.headers)?,
            body,
        },
        deadline: caller.deadline.into(),
    })
}

/// Sets the outcome of a refusal to unknown if a retry may succeed. The request was refused before
/// its claim was looked up, so nothing is known of other calls under its key.
fn with_unknown_outcome(refused: Refused) -> Refused {
    let is_transient = match refused.reason {
        Reason::NotReady
        | Reason::TeamLimit
        | Reason::Overloaded
        | Reason::Deadline
        | Reason::NoRoute
        | Reason::TargetFailed
        | Reason::LogUnavailable
        | Reason::AnswerLost
        | Reason::KeyInProgress => true,
        Reason::BadRequest
        | Reason::Unauthenticated
        | Reason::NotFound
        | Reason::KeyReused
        | Reason::KeyExpired
        | Reason::TooLarge => false,
    };
    if !is_transient {
        return refused;
    }
    Refused {
        outcome: Outcome::Unknown,
        message: format!(
            "{}; this request was not sent, others under its key were not looked for",
            refused.message
        ),
        ..refused
    }
}

/// Returns the ID of the service, and the path and query that are sent to it.
///
/// # Errors
///
/// Returns a refusal if the path names no service.
fn split_service_path(parts: &request::Parts) -> Result<(ServiceId, String), Refused> {
    let path = parts.uri.path().strip_prefix(PREFIX).unwrap_or_default();
    let (service, rest) = path.split_once('/').unwrap_or((path, ""));
    if service.is_empty() {
        return Err(Refused::not_run(
            Reason::NotFound,
            format!("call {PREFIX}SERVICE/PATH"),
        ));
    }
    let query = parts.uri.query().map(|query| format!("?{query}"));
    let path = format!("/{rest}{}", query.unwrap_or_default());
    Ok((service.into(), path))
}

fn idempotency_key_of(headers: &HeaderMap) -> Result<Option<SmolStr>, Refused> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.into())),
        Err(_) => Err(Refused::not_run(
            Reason::BadRequest,
            format!("{KEY_HEADER} must be visible ASCII text"),
        )),
    }
}

fn service_response(answer: ServiceAnswer) -> Response {
    let mut response = Response::new(Body::from(Full::from(answer.body)));
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let content_type = answer
        .content_type
        .and_then(|value| HeaderValue::from_str(&value).ok());
    if let Some(content_type) = content_type {
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, content_type);
    }
    response
}
