//! Answers and refusals in JSON.

use std::{
    borrow::Cow,
    sync::Arc, //
};

use anvil_wire::generated::operators::ErrorAnswer;
use http::{
    HeaderValue,
    StatusCode,
    header, //
};
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use percent_encoding::percent_decode_str;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};
use smol_str::SmolStr;
use viz::{
    Body,
    Request,
    RequestExt,
    Response, //
};

use super::{
    BODY_LIMIT_BYTES,
    HandlerResult,
    OperatorContext, //
};

/// Why a call of an operator was refused.
#[derive(Debug)]
pub struct ErrorResponse {
    status: StatusCode,
    message: SmolStr,
}

impl ErrorResponse {
    /// A refusal with a message that says what to do.
    pub fn new(status: StatusCode, message: impl Into<SmolStr>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }

    /// The token is missing or wrong.
    pub fn unauthenticated() -> Self {
        Self::new(
            StatusCode::UNAUTHORIZED,
            "send the operators' token as Authorization: Bearer TOKEN",
        )
    }

    /// The request is malformed.
    pub fn bad_request(message: impl Into<SmolStr>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, message)
    }

    /// The refusal as a response.
    pub fn into_response(self) -> Response {
        let answer = ErrorAnswer {
            message: self.message,
        };
        json_response(self.status, &answer)
    }
}

/// A response with a JSON body.
pub fn json_response(status: StatusCode, answer: &impl Serialize) -> Response {
    match serde_json::to_vec(answer) {
        Ok(body) => response(status, "application/json", body),
        Err(error) => response(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            error.to_string().into_bytes(),
        ),
    }
}

/// A response with a body of some type.
pub fn response(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::from(Full::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Any path that isn't there.
pub async fn not_found(_operators: Arc<OperatorContext>, request: Request) -> HandlerResult {
    Err(ErrorResponse::new(
        StatusCode::NOT_FOUND,
        format!("no such path: {} {}", request.method(), request.path()),
    ))
}

/// Which entries of a list are wanted.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PageQuery {
    /// Most entries.
    pub limit: Option<usize>,
    /// Start of the names.
    pub prefix: SmolStr,
}

/// Reads the query of a list.
pub fn parse_page_query(request: &Request) -> Result<PageQuery, ErrorResponse> {
    request.query().map_err(|error| {
        ErrorResponse::bad_request(format!("the query is not as expected: {error}"))
    })
}

/// The path's parameter, decoded.
pub fn path_parameter(request: &Request) -> Result<String, ErrorResponse> {
    let text: String = request
        .params()
        .map_err(|error| ErrorResponse::bad_request(error.to_string()))?;
    percent_decode_str(&text)
        .decode_utf8()
        .map(Cow::into_owned)
        .map_err(|_| ErrorResponse::bad_request("the path is not UTF-8"))
}

/// Reads a JSON body within the limit on its size.
pub async fn parse_json_body<T: DeserializeOwned>(request: Request) -> Result<T, ErrorResponse> {
    let body = Limited::new(request.into_body(), BODY_LIMIT_BYTES)
        .collect()
        .await
        .map_err(|error| ErrorResponse::bad_request(format!("the body can't be read: {error}")))?
        .to_bytes();
    serde_json::from_slice(&body).map_err(|error| {
        ErrorResponse::bad_request(format!("the body is not as expected: {error}"))
    })
}
