//! Takes, renews and gives up one lease on the log.

use std::{
    sync::Arc,
    time::Duration, //
};

use anvil_core::{
    id::{
        FencingToken,
        LogStreamId, //
    },
    lease::{
        HeldLease,
        Holder,
        PendingLease,
        Register,
        Settings, //
    }, //
};
use tokio::time::Instant;

use super::codec::{
    self,
    DecodedRecord, //
};
use crate::port::{
    CallError,
    CallErrorKind,
    Log, //
};

/// Most records of one read.
const READ_LIMIT_RECORDS: usize = 1000;
/// Longest wait for the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// A lease as this host sees it.
pub struct Lease {
    log: Arc<dyn Log>,
    stream: LogStreamId,
    holder: Holder,
    settings: Settings,
    register: Register,
    holding: Option<HeldLease>,
    judgement: Judgement,
}

/// Whether this release can judge the lease's records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Judgement {
    Sound,
    UnknownSchema,
}

impl Lease {
    /// Makes a lease of which nothing was read.
    pub fn new(log: Arc<dyn Log>, stream: LogStreamId, holder: Holder, settings: Settings) -> Self {
        Self {
            log,
            stream,
            holder,
            settings,
            register: Register::default(),
            holding: None,
            judgement: Judgement::Sound,
        }
    }

    /// Fencing token for an order that is sent now, while this host holds the lease.
    pub fn fencing_token(&self, now: Instant) -> Option<FencingToken> {
        self.holding.as_ref()?.token(now.into_std())
    }

    /// Reads what is new, and takes or renews the lease where this host should.
    pub async fn maintain(&mut self, wants: bool) -> Result<(), CallError> {
        self.read().await?;
        let now = Instant::now().into_std();
        if let Some(holding) = &self.holding
            && holding.token(now).is_none()
        {
            spdlog::warn!("lease.lapsed", kv: { stream = self.stream.as_str() });
            self.holding = None;
        }
        let asking = match &self.holding {
            Some(holding) if holding.is_renewal_due(now) => holding.renew(now),
            Some(_) => return Ok(()),
            None if wants && self.may_ask(now) => {
                PendingLease::new(self.holder.clone(), self.settings.clone(), now)
            }
            None => return Ok(()),
        };
        self.ask(asking).await
    }

    /// Gives the lease up, so that another may start at once.
    pub async fn close(self) -> Result<(), CallError> {
        let Some(holding) = self.holding else {
            return Ok(());
        };
        let payload = codec::encode(&holding.release());
        within(&self.stream, self.log.append(&self.stream, vec![payload]))
            .await
            .map(|_| ())
    }

    fn may_ask(&self, now: std::time::Instant) -> bool {
        self.judgement == Judgement::Sound && self.register.is_free(self.settings.margin, now)
    }

    async fn ask(&mut self, asking: PendingLease) -> Result<(), CallError> {
        let payload = codec::encode(&asking.record());
        let appended = within(&self.stream, self.log.append(&self.stream, vec![payload])).await;
        // The record may be there although the answer was lost: what is read decides.
        self.read().await?;
        appended?;
        let held_before = self.holding.is_some();
        self.holding = asking.resolve(&self.register);
        match (&self.holding, held_before) {
            (Some(_), false) => {
                spdlog::info!("lease.taken", kv: { stream = self.stream.as_str() });
            }
            (None, true) => {
                spdlog::warn!("lease.lost", kv: { stream = self.stream.as_str() });
            }
            (Some(_), true) | (None, false) => {}
        }
        Ok(())
    }

    async fn read(&mut self) -> Result<(), CallError> {
        loop {
            let from = self.register.next_offset();
            let read = self
                .log
                .read(&self.stream, from, READ_LIMIT_RECORDS, Duration::ZERO);
            let batch = within(&self.stream, read).await?;
            let now = Instant::now().into_std();
            for record in &batch.records {
                let decoded = match codec::decode(&record.payload) {
                    DecodedRecord::Record(decoded) => Some(decoded),
                    DecodedRecord::Malformed => None,
                    DecodedRecord::UnknownSchema => {
                        self.judgement = Judgement::UnknownSchema;
                        self.holding = None;
                        None
                    }
                };
                self.register
                    .apply(record.offset, record.age, decoded.as_ref(), now);
            }
            if self.register.next_offset() >= batch.end_offset || batch.records.is_empty() {
                return Ok(());
            }
        }
    }
}

async fn within<T>(
    stream: &LogStreamId,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    match tokio::time::timeout(LOG_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(CallError {
            operation: "lease",
            peer: stream.clone(),
            kind: CallErrorKind::AnswerLost,
            message: "no answer in time".to_owned(),
        }),
    }
}
