//! Converts refusals to HTTP responses.

use anvil_core::{
    id::RequestId,
    outcome::{
        Reason,
        Refused, //
    }, //
};
use http::{
    HeaderValue,
    StatusCode,
    header, //
};
use http_body_util::Full;
use serde_json::json;
use viz::{
    Body,
    Response, //
};

/// Returns the HTTP status for the reason of a refusal.
pub fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::Unauthenticated => StatusCode::UNAUTHORIZED,
        Reason::NotFound => StatusCode::NOT_FOUND,
        Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::KeyInProgress => StatusCode::CONFLICT,
        Reason::KeyExpired => StatusCode::GONE,
        Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::TeamLimit => StatusCode::TOO_MANY_REQUESTS,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::TargetFailed | Reason::AnswerLost => StatusCode::BAD_GATEWAY,
        Reason::Overloaded | Reason::NoRoute | Reason::LogUnavailable | Reason::NotReady => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// Returns the body of a refusal: an OpenAI error object, with the outcome in fields next to it.
pub fn body(request: &RequestId, refused: &Refused) -> serde_json::Value {
    let retry_after_ms = refused
        .retry_after
        .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    json!({
        "error": {
            "message": refused.message,
            "type": refused.reason.to_string(),
            "code": refused.reason.to_string(),
        },
        "outcome": refused.outcome.to_string(),
        "reason": refused.reason.to_string(),
        "request_id": request,
        "retry_after_ms": retry_after_ms,
    })
}

/// Returns the complete response for a refusal, with `Retry-After` if the caller may retry.
pub fn response(request: &RequestId, refused: &Refused) -> Response {
    let mut response = Response::new(Body::from(Full::from(body(request, refused).to_string())));
    *response.status_mut() = status(refused.reason);
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Some(delay) = refused.retry_after {
        // The header counts whole seconds. Rounding down would let callers retry too early.
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(delay.as_millis().div_ceil(1000) as u64),
        );
    }
    response
}
