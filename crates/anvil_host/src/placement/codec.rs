//! Encodes and decodes the lease records on the log.

use std::time::Duration;

use anvil_core::lease::{
    Holder,
    Record, //
};
use anvil_wire::{
    codec,
    generated::log_records as wire, //
};
use bytes::Bytes;

/// Newest record schema that this release reads, and the one that it writes.
pub const SCHEMA: u32 = 1;

/// A payload of a lease's stream, as this release decodes it.
pub enum DecodedRecord {
    /// A record that this release understands.
    Record(Record),
    /// The payload is not a record. Every release ignores it.
    Malformed,
    /// The schema is newer than this release, which can't tell any more who holds the lease.
    UnknownSchema,
}

/// Encodes a record as a payload for the log.
pub fn encode(record: &Record) -> Bytes {
    let body = match record {
        Record::Take { holder, duration } => wire::LeaseBody::Taken(wire::LeaseTaken {
            host: holder.host.clone(),
            incarnation: holder.incarnation,
            duration_ms: u64::try_from(duration.as_millis()).unwrap_or(u64::MAX),
        }),
        Record::Yield { holder } => wire::LeaseBody::Yielded(wire::LeaseYielded {
            host: holder.host.clone(),
            incarnation: holder.incarnation,
        }),
    };
    let record = wire::LeaseRecord {
        schema: SCHEMA,
        body,
    };
    // The record consists of plain structs, text and numbers, which MessagePack can represent.
    codec::encode(&record).expect("a lease record is representable in MessagePack")
}

/// Decodes a payload of the log.
pub fn decode(payload: &[u8]) -> DecodedRecord {
    let Ok(header) = codec::decode::<wire::RecordHeader>(payload) else {
        return DecodedRecord::Malformed;
    };
    if header.schema > SCHEMA {
        return DecodedRecord::UnknownSchema;
    }
    let Ok(record) = codec::decode::<wire::LeaseRecord>(payload) else {
        return DecodedRecord::Malformed;
    };
    DecodedRecord::Record(match record.body {
        wire::LeaseBody::Taken(taken) => Record::Take {
            holder: Holder {
                host: taken.host,
                incarnation: taken.incarnation,
            },
            duration: Duration::from_millis(taken.duration_ms),
        },
        wire::LeaseBody::Yielded(yielded) => Record::Yield {
            holder: Holder {
                host: yielded.host,
                incarnation: yielded.incarnation,
            },
        },
    })
}
