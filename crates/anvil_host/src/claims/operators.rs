//! What operators see of claims without an outcome, and how they settle them.

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

/// Time in which all shards shall answer an operator.
const LIST_TIME: Duration = Duration::from_secs(5);
/// Age from which a claim without an outcome is listed.
const LIST_AGE: Duration = Duration::from_secs(2);

/// Claims without an outcome.
#[derive(Clone, Debug)]
pub struct UnsettledClaims {
    /// The claims, by shard and offset.
    pub claims: Vec<OpenClaim>,
    /// Shards that could not be asked.
    pub missing_shards: Vec<Shard>,
}

/// Why a claim was not settled.
#[derive(Clone, Debug, Display, Error)]
pub enum SettleError {
    /// No claim of that name lacks an outcome.
    #[display("no claim {claim} without an outcome was found")]
    NotFound {
        /// The name.
        #[error(not(source))]
        claim: SmolStr,
    },
    /// The claim is so young that its call may still be under way.
    #[display("claim {claim} is {} s old; it can be settled from {} s on", age.as_secs(), settle_age.as_secs())]
    TooYoung {
        /// The claim.
        claim: SmolStr,
        /// Its age.
        age: Duration,
        /// Age from which it may be settled.
        settle_age: Duration,
    },
    /// The log could not be asked. Settling again is harmless.
    #[display("not known to be settled: {_0}")]
    Unavailable(ShardUnavailable),
}

impl ServiceDispatcher {
    /// Lists claims without an outcome, over all shards.
    pub async fn list_unsettled(&self) -> UnsettledClaims {
        let until = Instant::now() + LIST_TIME;
        let asks = (0..SHARD_COUNT).map(|shard| async move {
            let request = ShardRequest::ListOpen { age: LIST_AGE };
            (
                shard,
                self.client().send_request(shard, &request, until).await,
            )
        });
        let mut unsettled = UnsettledClaims {
            claims: Vec::new(),
            missing_shards: Vec::new(),
        };
        for (shard, reply) in futures::future::join_all(asks).await {
            match reply {
                Ok(ShardResponse::OpenClaims(claims)) => unsettled.claims.extend(claims),
                Ok(ShardResponse::KeyView(_) | ShardResponse::ReadBack) | Err(_) => {
                    unsettled.missing_shards.push(shard);
                }
            }
        }
        unsettled
    }

    /// Settles a claim, named as [`ServiceDispatcher::list_unsettled`] shows it.
    ///
    /// # Errors
    ///
    /// No such claim, one that is too young, or a log that can't be asked.
    pub async fn settle(
        &self,
        claim: impl Into<SmolStr>,
        ruling: Ruling,
        author: impl Into<SmolStr>,
        note: impl Into<SmolStr>,
    ) -> Result<ClaimId, SettleError> {
        let name = claim.into();
        let unsettled = self.list_unsettled().await;
        let found = unsettled
            .claims
            .into_iter()
            .find(|open| name == open.claim.to_string());
        let Some(open) = found else {
            return Err(SettleError::NotFound { claim: name });
        };
        let settle_age = self.settings().settle_age;
        if open.age < settle_age {
            return Err(SettleError::TooYoung {
                claim: name,
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
        let until = Instant::now() + self.settings().read_back_timeout;
        self.client()
            .send_request(shard, &ShardRequest::Append(record), until)
            .await
            .map_err(SettleError::Unavailable)?;
        spdlog::info!("claims.settled", kv: { claim = name.as_str(), ruling: = ruling });
        Ok(open.claim)
    }
}
