//! Builds answers and errors, and parses requests.

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

/// An error answer to an operator's request.
#[derive(Debug)]
pub struct ErrorResponse {
    status: StatusCode,
    message: SmolStr,
}

impl ErrorResponse {
    /// Creates an error answer. The message should say what the operator can do.
    pub fn new(status: StatusCode, message: impl Into<SmolStr>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }

    /// Creates the answer to a request whose token is missing or wrong.
    pub fn unauthenticated() -> Self {
        Self::new(
            StatusCode::UNAUTHORIZED,
            "send the operators' token as Authorization: Bearer TOKEN",
        )
    }

    /// Creates the answer to a malformed request.
    pub fn bad_request(message: impl Into<SmolStr>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, message)
    }

    /// Converts the error into a response with a JSON body.
    pub fn into_response(self) -> Response {
        let answer = ErrorAnswer {
            message: self.message,
        };
        json_response(self.status, &answer)
    }
}

/// Returns a response with a JSON body, or status 500 if the answer can't be encoded.
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

/// Returns a response with a body of the given content type.
pub fn response(status: StatusCode, content_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::from(Full::from(body)));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Answers requests for unknown paths.
pub async fn not_found(_context: Arc<OperatorContext>, request: Request) -> HandlerResult {
    Err(ErrorResponse::new(
        StatusCode::NOT_FOUND,
        format!("no such path: {} {}", request.method(), request.path()),
    ))
}

/// Query that selects entries of a list.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PageQuery {
    /// Largest number of entries; `None` stands for the default of the list.
    pub limit: Option<usize>,
    /// Prefix of the names of the entries; an empty one selects all.
    pub prefix: SmolStr,
}

/// Parses the query of a list.
///
/// # Errors
///
/// Status 400 if the query has unknown or malformed parameters.
pub fn parse_page_query(request: &Request) -> Result<PageQuery, ErrorResponse> {
    request.query().map_err(|error| {
        ErrorResponse::bad_request(format!("the query is not as expected: {error}"))
    })
}

/// Returns the path's parameter, percent-decoded.
///
/// # Errors
///
/// Status 400 if the path has no parameter or the parameter is not UTF-8.
pub fn path_parameter(request: &Request) -> Result<String, ErrorResponse> {
    let text: String = request
        .params()
        .map_err(|error| ErrorResponse::bad_request(error.to_string()))?;
    percent_decode_str(&text)
        .decode_utf8()
        .map(Cow::into_owned)
        .map_err(|_| ErrorResponse::bad_request("the path is not UTF-8"))
}

/// Parses a JSON body of up to [`BODY_LIMIT_BYTES`].
///
/// # Errors
///
/// Status 400 if the body can't be received, is too large or is not of type `T`.
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
