//! Adapter of the platform's log over HTTP.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use anvil_core::id::{
    LogStreamId,
    Offset, //
};
use anvil_host::port::{
    self,
    CallError,
    LogBatch,
    LogRecord, //
};
use anvil_wire::generated::platform::{
    AppendAnswer,
    AppendRequest,
    ReadAnswer, //
};
use bytes::Bytes;
use futures::future::BoxFuture;
use smol_str::SmolStr;

use crate::call::{
    self,
    Client,
    Context, //
};

/// Time limit for an answer, in addition to the time that a read lets the log wait for records.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Implements the port of the log.
pub(crate) struct Log {
    client: Client,
    address: SocketAddr,
    peer: SmolStr,
}

impl Log {
    pub(crate) fn new(client: Client, address: SocketAddr) -> Self {
        Self {
            client,
            address,
            peer: "log".into(),
        }
    }

    fn context(&self, operation: &'static str, wait: Duration) -> Context<'_> {
        Context {
            operation,
            peer: &self.peer,
            timeout: wait + TIMEOUT,
        }
    }
}

impl port::Log for Log {
    fn append<'a>(
        &'a self,
        stream: &'a LogStreamId,
        payloads: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, CallError>> {
        Box::pin(async move {
            let context = self.context("append", Duration::ZERO);
            let body = call::encode(context, &AppendRequest { payloads })?;
            let path = format!("/v1/streams/{stream}/append");
            let answer = self.client.post(context, self.address, &path, body).await?;
            let answer: AppendAnswer = call::decode(context, &answer)?;
            Ok(answer.first_offset)
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a LogStreamId,
        from: Offset,
        limit_records: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<LogBatch, CallError>> {
        Box::pin(async move {
            let context = self.context("read", wait);
            let wait_ms = wait.as_millis();
            let path = format!(
                "/v1/streams/{stream}/records?from={from}&limit={limit_records}&wait_ms={wait_ms}"
            );
            let answer: ReadAnswer = self.client.get(context, self.address, &path).await?;
            Ok(log_batch(answer))
        })
    }
}

fn log_batch(answer: ReadAnswer) -> LogBatch {
    let records = answer.records.into_iter().map(|record| LogRecord {
        offset: record.offset,
        age: Duration::from_millis(record.age_ms),
        payload: record.payload,
    });
    LogBatch {
        horizon_offset: answer.horizon_offset,
        end_offset: answer.end_offset,
        records: records.collect(),
    }
}
