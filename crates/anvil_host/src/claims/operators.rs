//! Lists claims without an outcome for operators, and settles them.

use std::time::Duration;

use anvil_core::claims::{
    ClaimId,
    OpenClaim,
    Record,
    Ruling,
    SHARD_COUNT,
    Shard,
    shard_of, //
};
use derive_more::{
    Display,
    Error, //
};
use smol_str::SmolStr;
use tokio::time::Instant;

use super::{
    gate::ServiceDispatcher,
    messages::{
        ShardRequest,
        ShardResponse,
        ShardUnavailable, //
    }, //
};

/// Time within which the shards must answer an operator's listing.
const LIST_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum age at which a claim without an outcome is listed.
const LIST_AGE_MIN: Duration = Duration::from_secs(2);

/// Result of listing the claims without an outcome over all shards.
#[derive(Clone, Debug)]
pub struct UnsettledClaims {
    /// The claims without an outcome, ordered by shard and offset.
    pub claims: Vec<OpenClaim>,
    /// Shards that did not answer, whose claims are not listed.
    pub missing_shards: Vec<Shard>,
}

/// Error from settling a claim.
#[derive(Clone, Debug, Display, Error)]
pub enum SettleError {
    /// No claim with that ID and without an outcome was found.
    #[display("no claim {claim} without an outcome was found")]
    NotFound {
        /// ID of the claim, as given by the operator.
        #[error(not(source))]
        claim: SmolStr,
    },
    /// The claim is so young that its call may still be in progress.
    #[display("claim {claim} is {} s old; it can be settled from {} s on", age.as_secs(), settle_age.as_secs())]
    TooYoung {
        /// ID of the claim.
        claim: SmolStr,
        /// Age of the claim.
        age: Duration,
        /// Minimum age of a claim that may be settled.
        settle_age: Duration,
    },
    /// The settlement was not confirmed by the log. It is safe to settle the claim again.
    #[display("not known to be settled: {_0}")]
    Unavailable(ShardUnavailable),
}

impl ServiceDispatcher {
    /// Lists the claims without an outcome, over all shards.
    pub async fn list_unsettled(&self) -> UnsettledClaims {
        let deadline = Instant::now() + LIST_TIMEOUT;
        let requests = (0..SHARD_COUNT).map(|shard| async move {
            let request = ShardRequest::ListOpen { age: LIST_AGE_MIN };
            (
                shard,
                self.client().send_request(shard, &request, deadline).await,
            )
        });
        let mut unsettled = UnsettledClaims {
            claims: Vec::new(),
            missing_shards: Vec::new(),
        };
        for (shard, response) in futures::future::join_all(requests).await {
            match response {
                Ok(ShardResponse::OpenClaims(claims)) => unsettled.claims.extend(claims),
                Ok(ShardResponse::KeyView(_) | ShardResponse::ReadBack) | Err(_) => {
                    unsettled.missing_shards.push(shard);
                }
            }
        }
        unsettled
    }

    /// Settles a claim, given its ID as [`ServiceDispatcher::list_unsettled`] shows it.
    ///
    /// # Errors
    ///
    /// Returns an error if the claim is not found or too young, or if the log does not confirm the
    /// settlement.
    pub async fn settle(
        &self,
        claim: impl Into<SmolStr>,
        ruling: Ruling,
        author: impl Into<SmolStr>,
        note: impl Into<SmolStr>,
    ) -> Result<ClaimId, SettleError> {
        let claim_name = claim.into();
        let unsettled = self.list_unsettled().await;
        let found = unsettled
            .claims
            .into_iter()
            .find(|open| claim_name == open.claim.to_string());
        let Some(open) = found else {
            return Err(SettleError::NotFound { claim: claim_name });
        };
        let settle_age = self.settings().settle_age;
        if open.age < settle_age {
            return Err(SettleError::TooYoung {
                claim: claim_name,
                age: open.age,
                settle_age,
            });
        }
        let record = Record::Settle {
            hash: open.key.hash(),
            claim: open.claim.clone(),
            ruling,
            author: author.into(),
            note: note.into(),
        };
        let shard = shard_of(&record.hash());
        let deadline = Instant::now() + self.settings().read_back_timeout;
        self.client()
            .send_request(shard, &ShardRequest::Append(record), deadline)
            .await
            .map_err(SettleError::Unavailable)?;
        spdlog::info!("claims.settled", kv: { claim = claim_name.as_str(), ruling: = ruling });
        Ok(open.claim)
    }
}
