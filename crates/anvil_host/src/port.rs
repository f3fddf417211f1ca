//! Ports: the interfaces through which a host uses the systems around it. Adapters implement them.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use anvil_core::{
    document::Role,
    id::{
        DataCentreId,
        FencingToken,
        HostId,
        LayerRange,
        LogStreamId,
        ModelId,
        ModelVersion,
        Offset,
        Position,
        RequestId,
        ServiceId,
        TargetId, //
    },
    step, //
};
use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use futures::future::BoxFuture;
use smol_str::SmolStr;

/// A target's name and the address at which it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TargetAddress {
    /// Name of the target in the configuration.
    pub id: TargetId,
    /// Address of the target's listener.
    pub address: SocketAddr,
}

/// A failed call to a system around the host, here named the peer.
#[derive(Clone, Debug, Display, Error)]
#[display("{operation} at {peer}: {kind}: {message}")]
pub struct CallError {
    /// Operation that failed, such as `read`.
    pub operation: &'static str,
    /// Name of the system, target, log stream or host that was called.
    pub peer: SmolStr,
    /// Whether the call may have taken effect.
    #[error(not(source))]
    pub kind: CallErrorKind,
    /// Error text of the transport or the peer.
    pub message: String,
}

/// Whether a failed call may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum CallErrorKind {
    /// Nothing was sent, so the call had no effect.
    #[display("not sent")]
    NotSent,
    /// The peer answered that it did nothing.
    #[display("refused")]
    Refused,
    /// The call was sent and no answer came, so it may have taken effect.
    #[display("answer lost")]
    AnswerLost,
}

/// An engine's report on its own load. Its figures may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Age of the figures when the report was sent.
    pub age: Duration,
    /// Number of steps waiting in the queue.
    pub queue_depth_steps: u32,
    /// Number of sequences with a key-value cache in memory.
    pub open_sequences: u32,
    /// Processing rate in token layers per second: tokens times the layers that each passed.
    pub rate_token_layers_per_s: u64,
    /// Layer ranges of models that the engine holds.
    pub holds: Vec<anvil_core::document::Holding>,
    /// Whether the engine refuses new sequences.
    pub leaving: bool,
    /// Largest fencing token that the engine has seen; 0 if it ignores them.
    pub fencing_token: FencingToken,
}

/// A change in an engine's prefix cache. Events may arrive late and with gaps in their numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Number of the event; a gap in the numbers means that events were lost.
    pub sequence_number: u64,
    /// Hash of the token block, chained to the blocks before it.
    pub block_hash: u64,
    /// Whether the block was stored or evicted.
    pub change: CacheChange,
}

/// What happened to a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheChange {
    /// The block is now cached.
    Stored,
    /// The block is no longer cached.
    Evicted,
}

/// An order to an engine. It states the desired result, so that sending it twice is harmless.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Offset of the lease under which the order is sent.
    pub fencing_token: FencingToken,
    /// What the engine must do.
    pub action: OrderAction,
}

/// Action that an order requires of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAction {
    /// Hold a layer range in a role.
    Load {
        /// Model to which the layers belong.
        model: ModelId,
        /// Version of the model.
        version: ModelVersion,
        /// Layer range to hold.
        layers: LayerRange,
        /// Role in which the engine holds the layers.
        role: Role,
        /// Size of the weights to fetch.
        weight_bytes: u64,
    },
    /// Stop holding a layer range.
    Unload {
        /// Model to which the layers belong.
        model: ModelId,
        /// Version of the model.
        version: ModelVersion,
        /// Layer range to drop.
        layers: LayerRange,
    },
}

/// Key-value cache of one sequence over a layer range, opaque to hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvExport {
    /// Position after the last token in the cache.
    pub position: Position,
    /// Cache contents in the engine's own format.
    pub data: Bytes,
}

/// Identifies a sequence's key-value cache in an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KvName {
    /// Id of the caller's request.
    pub request: RequestId,
    /// Number of the attempt at the request.
    pub attempt: u32,
    /// Layer range of the cache.
    pub layers: LayerRange,
}

/// The engines, each of which holds layer ranges of models.
pub trait Engine: Send + Sync + 'static {
    /// Runs a step. Sending it again under the same name never applies it twice.
    ///
    /// The adapter waits at most for `timeout`. Steps share the connections to a target.
    fn step<'a>(
        &'a self,
        target: &'a TargetAddress,
        step: step::Step,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<step::Answer, step::Failure>>;

    /// Opens a new connection for later steps and stops using the current one.
    fn reconnect(&self, target: &TargetAddress);

    /// Frees the caches of a sequence and drops its waiting steps, on a best-effort basis.
    fn cancel(&self, target: &TargetAddress, request: RequestId, attempt: u32);

    /// Exports the key-value cache of a sequence over a layer range.
    fn export_kv<'a>(
        &'a self,
        target: &'a TargetAddress,
        name: KvName,
    ) -> BoxFuture<'a, Result<KvExport, CallError>>;

    /// Imports the key-value cache of a sequence over a layer range.
    fn import_kv<'a>(
        &'a self,
        target: &'a TargetAddress,
        name: KvName,
        export: KvExport,
    ) -> BoxFuture<'a, Result<(), CallError>>;

    /// Fetches the target's load report.
    fn load_report<'a>(
        &'a self,
        target: &'a TargetAddress,
    ) -> BoxFuture<'a, Result<LoadReport, CallError>>;

    /// Fetches the cache events whose numbers are above `after`.
    fn cache_events<'a>(
        &'a self,
        target: &'a TargetAddress,
        after: u64,
    ) -> BoxFuture<'a, Result<Vec<CacheEvent>, CallError>>;

    /// Sends an order.
    fn order<'a>(
        &'a self,
        target: &'a TargetAddress,
        order: Order,
    ) -> BoxFuture<'a, Result<(), CallError>>;
}

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Name of the service, for error messages.
    pub service: ServiceId,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query, with a leading slash.
    pub path: String,
    /// Value of the request's `Content-Type` header.
    pub content_type: Option<http::HeaderValue>,
    /// Idempotency key that is sent to the service.
    pub idempotency_key: Option<SmolStr>,
    /// Request body.
    pub body: Bytes,
}

/// A plain service's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the response's `Content-Type` header.
    pub content_type: Option<SmolStr>,
    /// Response body.
    pub body: Bytes,
}

/// The plain services, which are targets other than engines.
pub trait PlainService: Send + Sync + 'static {
    /// Sends the call once. The adapter never sends it again on its own.
    fn call<'a>(
        &'a self,
        target: &'a TargetAddress,
        call: ServiceCall,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<ServiceAnswer, CallError>>;
}

/// A record of the platform's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Offset of the record in its stream.
    pub offset: Offset,
    /// Age of the record when it was read, by the log's own clock.
    pub age: Duration,
    /// Payload as it was appended.
    pub payload: Bytes,
}

/// Result of one read of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogBatch {
    /// Oldest offset that the log keeps.
    pub horizon_offset: Offset,
    /// Offset of the next record to be appended.
    pub end_offset: Offset,
    /// Records in offset order; empty if none arrived within the wait.
    pub records: Vec<LogRecord>,
}

/// The platform's append-only log.
pub trait Log: Send + Sync + 'static {
    /// Appends records together and in order, and returns the offset of the first.
    fn append<'a>(
        &'a self,
        stream: &'a LogStreamId,
        payloads: Vec<Bytes>,
    ) -> BoxFuture<'a, Result<Offset, CallError>>;

    /// Reads records from an offset on, and waits up to `wait` for the first.
    ///
    /// If `from` is before the horizon, the records from the horizon on are returned.
    fn read<'a>(
        &'a self,
        stream: &'a LogStreamId,
        from: Offset,
        limit_records: usize,
        wait: Duration,
    ) -> BoxFuture<'a, Result<LogBatch, CallError>>;
}

/// State of an entry of the platform's host list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ListState {
    /// The host or target is in service.
    Live,
    /// The host or target is about to stop and gets no new work.
    Leaving,
}

/// Kind of machine that an entry of the host list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ListRole {
    /// An entry host.
    Host,
    /// An engine or an instance of a plain service.
    Target,
}

/// An entry of the platform's list. It may be out of date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListEntry {
    /// Name of the host or target.
    pub name: SmolStr,
    /// Peer address of a host, or address of a target.
    pub address: SocketAddr,
    /// Data centre of the host or target.
    pub data_centre: DataCentreId,
    /// Whether the entry names a host or a target.
    pub role: ListRole,
    /// Whether the host or target is in service.
    pub state: ListState,
}

/// Result of one read of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The entries are the same as in the previous read.
    Unchanged,
    /// The entries have changed; these are all of them.
    Entries(Vec<ListEntry>),
}

/// The platform's list of hosts and targets, which lags behind their real state.
pub trait HostList: Send + Sync + 'static {
    /// Fetches the list, or [`Listing::Unchanged`] if it is that of the previous call.
    fn list(&self) -> BoxFuture<'_, Result<Listing, CallError>>;
}

/// The platform's rate-limited weight store.
pub trait WeightStore: Send + Sync + 'static {
    /// Fetches the rate that the store allows and the number of bytes still to be delivered.
    fn state(&self) -> BoxFuture<'_, Result<WeightStoreState, CallError>>;
}

/// State of the weight store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightStoreState {
    /// Rate that all loads share, in bytes per second.
    pub rate_bytes_per_s: u64,
    /// Number of bytes still to be delivered.
    pub pending_bytes: u64,
}

/// Another entry host, as it is called.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// Name of the host.
    pub id: HostId,
    /// Address of the host's listener for peers.
    pub address: SocketAddr,
}

/// Calls to other entry hosts. Bodies are `rmp-serde` messages of `anvil_wire`.
pub trait Peers: Send + Sync + 'static {
    /// Posts a message to `/peer/v1/{path}` and returns the body of the answer.
    fn call<'a>(
        &'a self,
        peer: &'a PeerAddress,
        path: &'static str,
        body: Bytes,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Bytes, CallError>>;
}

/// All ports of a host. Clones share the adapters.
#[derive(Clone)]
pub struct Ports {
    /// Port to the engines.
    pub engine: std::sync::Arc<dyn Engine>,
    /// Port to the plain services.
    pub service: std::sync::Arc<dyn PlainService>,
    /// Port to the platform's log.
    pub log: std::sync::Arc<dyn Log>,
    /// Port to the platform's list of hosts and targets.
    pub host_list: std::sync::Arc<dyn HostList>,
    /// Port to the weight store.
    pub weight_store: std::sync::Arc<dyn WeightStore>,
    /// Port to the other hosts.
    pub peers: std::sync::Arc<dyn Peers>,
}
