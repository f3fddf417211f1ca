//! Takes, renews and releases one lease on the log.

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

/// Maximum number of records in one read.
const READ_LIMIT_RECORDS: usize = 1000;
/// Longest wait for one call to the log.
const LOG_TIMEOUT: Duration = Duration::from_secs(2);

/// A lease as this host knows it from the records that it has read.
pub struct Lease {
    log: Arc<dyn Log>,
    stream: LogStreamId,
    holder: Holder,
    settings: Settings,
    register: Register,
    held_lease: Option<HeldLease>,
    schema_support: SchemaSupport,
}

/// Whether this release knows the schema of all records read so far. If not, it can't tell who
/// holds the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SchemaSupport {
    Supported,
    Unsupported,
}

impl Lease {
    /// Creates a lease of which no record was read yet.
    pub fn new(log: Arc<dyn Log>, stream: LogStreamId, holder: Holder, settings: Settings) -> Self {
        Self {
            log,
            stream,
            holder,
            settings,
            register: Register::default(),
            held_lease: None,
            schema_support: SchemaSupport::Supported,
        }
    }

    /// Returns the fencing token for an order that is sent now, or `None` if this host does not
    /// hold the lease.
    pub fn fencing_token(&self, now: Instant) -> Option<FencingToken> {
        self.held_lease.as_ref()?.token(now.into_std())
    }

    /// Reads the new records. Then renews the lease if that is due, or takes it if `wants_lease` is
    /// true and the lease is free.
    pub async fn maintain(&mut self, wants_lease: bool) -> Result<(), CallError> {
        self.read_new_records().await?;
        let now = Instant::now().into_std();
        if let Some(held_lease) = &self.held_lease
            && held_lease.token(now).is_none()
        {
            spdlog::warn!("lease.lapsed", kv: { stream = self.stream.as_str() });
            self.held_lease = None;
        }
        let pending = match &self.held_lease {
            Some(held_lease) if held_lease.is_renewal_due(now) => held_lease.renew(now),
            Some(_) => return Ok(()),
            None if wants_lease && self.may_take(now) => {
                PendingLease::new(self.holder.clone(), self.settings.clone(), now)
            }
            None => return Ok(()),
        };
        self.append_and_resolve(pending).await
    }

    /// Releases the lease, so that another host can take it at once.
    pub async fn close(self) -> Result<(), CallError> {
        let Some(held_lease) = self.held_lease else {
            return Ok(());
        };
        let payload = codec::encode(&held_lease.release());
        with_timeout(&self.stream, self.log.append(&self.stream, vec![payload]))
            .await
            .map(|_| ())
    }

    fn may_take(&self, now: std::time::Instant) -> bool {
        self.schema_support == SchemaSupport::Supported
            && self.register.is_free(self.settings.margin, now)
    }

    async fn append_and_resolve(&mut self, pending: PendingLease) -> Result<(), CallError> {
        let payload = codec::encode(&pending.record());
        let appended =
            with_timeout(&self.stream, self.log.append(&self.stream, vec![payload])).await;
        // The record may have been appended although the answer was lost, so the records that are
        // read decide.
        self.read_new_records().await?;
        appended?;
        let held_before = self.held_lease.is_some();
        self.held_lease = pending.resolve(&self.register);
        match (&self.held_lease, held_before) {
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

    async fn read_new_records(&mut self) -> Result<(), CallError> {
        loop {
            let from = self.register.next_offset();
            let read = self
                .log
                .read(&self.stream, from, READ_LIMIT_RECORDS, Duration::ZERO);
            let batch = with_timeout(&self.stream, read).await?;
            let now = Instant::now().into_std();
            for record in &batch.records {
                let decoded = match codec::decode(&record.payload) {
                    DecodedRecord::Record(decoded) => Some(decoded),
                    DecodedRecord::Malformed => None,
                    DecodedRecord::UnknownSchema => {
                        self.schema_support = SchemaSupport::Unsupported;
                        self.held_lease = None;
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

async fn with_timeout<T>(
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
