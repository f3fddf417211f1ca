//! Lists claims without an outcome, and lets operators settle them.

use std::sync::Arc;

use anvil_core::claims::{
    OpenClaim,
    Ruling, //
};
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
use crate::claims::SettleError;

/// Lists the claims without an outcome, and the shards that did not answer.
pub async fn list(context: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    let unsettled = context.shared.service_dispatcher.list_unsettled().await;
    let answer = wire::ClaimsAnswer {
        claims: unsettled.claims.into_iter().map(claim_status).collect(),
        missing_shards: unsettled
            .missing_shards
            .into_iter()
            .map(u64::from)
            .collect(),
    };
    Ok(reply::json_response(StatusCode::OK, &answer))
}

fn claim_status(open: OpenClaim) -> wire::ClaimStatus {
    wire::ClaimStatus {
        claim: open.claim.to_smolstr(),
        team: open.key.team,
        service: open.key.service,
        key: open.key.text,
        offset: open.offset,
        age_ms: u64::try_from(open.age.as_millis()).unwrap_or(u64::MAX),
        lost: open.lost,
    }
}

/// Settles a claim without an outcome by an operator's ruling.
pub async fn settle(context: Arc<OperatorContext>, request: Request) -> HandlerResult {
    let request: wire::SettleRequest = reply::parse_json_body(request).await?;
    let ruling = match request.ruling {
        wire::Ruling::Ran => Ruling::Ran,
        wire::Ruling::NotRun => Ruling::NotRun,
    };
    let settled = context
        .shared
        .service_dispatcher
        .settle(request.claim, ruling, request.author, request.note)
        .await;
    match settled {
        Ok(claim) => {
            let answer = wire::SettleAnswer {
                claim: claim.to_smolstr(),
            };
            Ok(reply::json_response(StatusCode::OK, &answer))
        }
        Err(error) => Err(ErrorResponse::new(status_code(&error), error.to_string())),
    }
}

fn status_code(error: &SettleError) -> StatusCode {
    match error {
        SettleError::NotFound { .. } => StatusCode::NOT_FOUND,
        SettleError::TooYoung { .. } => StatusCode::CONFLICT,
        SettleError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
