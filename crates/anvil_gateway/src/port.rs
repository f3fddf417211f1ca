//! What the gateway needs of the platform that it runs on. `anvil_platform` implements it.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use anvil_core::{
    entry::Table,
    id::{
        AcceleratorKind,
        DataCentreId,
        FencingToken,
        HostId,
        LayerRange,
        Offset,
        RequestId,
        ServiceId,
        TargetId,
        TeamId, //
    },
};
use derive_more::{
    Display,
    Error, //
};
use futures::future::LocalBoxFuture;
use smol_str::SmolStr;

use crate::http1::{
    RequestHead,
    ResponseHead, //
};

/// Number of an event in a stream.
pub type EventId = u64;

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's id of this attempt.
    pub id: RequestId,
    /// Time that the caller will wait.
    pub budget: Option<Duration>,
    /// The caller's key.
    pub key: Option<SmolStr>,
    /// Event after which a stream shall go on.
    pub resume_after: Option<EventId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub answer_limit_tokens: u32,
    /// Tokens of the answer as the caller expects them; right at the median, often far off.
    pub answer_expected_tokens: Option<u32>,
}

/// One engine of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Where it listens.
    pub address: SocketAddr,
    /// Layers that it applies.
    pub layers: LayerRange,
}

/// What the gateway adds to a request that it sends on.
#[derive(Clone, Debug)]
pub struct Forwarding<'a> {
    /// Time that is left.
    pub budget: Duration,
    /// The target meant; any other refuses.
    pub target: &'a TargetId,
    /// The caller's team, where callers have keys.
    pub team: Option<&'a TeamId>,
    /// Engines that the request passes, the target first. Empty for other services.
    pub path: &'a [Stage],
    /// Event after which a stream shall go on.
    pub resume_after: Option<EventId>,
}

/// Load as a target states it in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running_requests: u32,
    /// Requests that wait.
    pub waiting_requests: u32,
}

/// What a target's head says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The request that it answers.
    pub id: Option<RequestId>,
    /// Whether the target vouches for the answer.
    pub is_sealed: bool,
    /// Whether the target says that the request did not run and won't.
    pub did_not_run: bool,
    /// The engine of the path that is the cause of a refusal.
    pub at_fault: Option<SocketAddr>,
    /// The target's load.
    pub load: Option<ReportedLoad>,
    /// Time for which the target keeps the connection when idle.
    pub idle_timeout: Option<Duration>,
}

/// Headers of callers and targets.
pub trait HeaderCodec {
    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// What is wrong with it, for the caller.
    fn parse_request(&self, head: &RequestHead) -> Result<RequestMetadata, SmolStr>;

    /// Writes the head under which a request is sent on.
    fn write_forwarded(
        &self,
        head: &RequestHead,
        body_bytes: usize,
        forwarding: &Forwarding<'_>,
        out: &mut Vec<u8>,
    );

    /// Reads a target's head.
    fn parse_response(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Name and value of the header that names the request in an answer of the gateway's own.
    fn request_id_header(&self) -> &'static str;
}

/// Whether a target takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It is about to leave.
    Leaving,
}

/// A target as it registered itself.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Requests that it runs at once.
    pub slot_limit_requests: u32,
    /// Whether it takes requests.
    pub state: TargetState,
    /// Its accelerator, where it is a model engine.
    pub kind: Option<AcceleratorKind>,
    /// Layers that it holds and their version.
    pub layers: Option<(LayerRange, u64)>,
    /// Its start, in milliseconds since the Unix epoch; tells two runs of one target apart.
    pub started_unix_ms: u64,
}

/// A change of the list of targets.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetChange {
    /// A target registered, or wrote again.
    Put(TargetId, TargetEntry),
    /// A target is gone.
    Removed(TargetId),
    /// The entry can't be read, so that it names no target.
    Unreadable(TargetId, SmolStr),
}

/// A host as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Its name.
    pub id: HostId,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Key under which it seals what it sends them.
    pub key: SmolStr,
}

/// A whole reading of a list, with the offset from which changes follow.
#[derive(Clone, Debug)]
pub struct Snapshot<T> {
    /// What is listed.
    pub items: T,
    /// Offset of the next change.
    pub next_offset: Offset,
}

/// Changes of a list.
#[derive(Clone, Debug)]
pub enum Changes<T> {
    /// These, oldest first; perhaps none.
    Listed(Snapshot<T>),
    /// The store forgot some; the list must be read whole.
    OffsetOutOfRange,
}

/// A host's standing in the group that shares the duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// Number that grows with each change of the group.
    pub generation: u64,
    /// Whether this host places models.
    pub is_placer: bool,
}

/// A call to the store that failed.
#[derive(Clone, Debug, Display, Error)]
#[display("{call}: {kind}: {message}")]
pub struct PlatformError {
    /// The call.
    pub call: &'static str,
    /// What is known of it.
    #[error(not(source))]
    pub kind: PlatformErrorKind,
    /// What was said.
    pub message: SmolStr,
}

/// What is known of a call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PlatformErrorKind {
    /// The store could not be reached, or answered that it did nothing.
    #[display("not done")]
    NotExecuted,
    /// It was sent and not answered.
    #[display("answer lost")]
    AnswerLost,
    /// The answer can't be read.
    #[display("unreadable answer")]
    Unreadable,
}

/// A result of the store.
pub type PlatformResult<'a, T> = LocalBoxFuture<'a, Result<T, PlatformError>>;

/// The platform's store.
pub trait Store {
    /// Reads the operators' newest table; nothing where there is none yet.
    fn newest_table(&self) -> PlatformResult<'_, Snapshot<Option<Table>>>;

    /// Waits up to `wait` for tables after `from`, and gives the last of them.
    fn tables_after(
        &self,
        from: Offset,
        wait: Duration,
    ) -> PlatformResult<'_, Changes<Option<Table>>>;

    /// Reads the list of targets.
    fn newest_targets(&self) -> PlatformResult<'_, Snapshot<Vec<TargetChange>>>;

    /// Reads the changes of the list of targets from `from` on.
    fn targets_after(&self, from: Offset) -> PlatformResult<'_, Changes<Vec<TargetChange>>>;

    /// Registers this host for its peers.
    fn register_host<'a>(&'a self, host: &'a HostEntry) -> PlatformResult<'a, ()>;

    /// Withdraws this host.
    fn deregister_host<'a>(&'a self, host: &'a HostId) -> PlatformResult<'a, ()>;

    /// Reads the list of hosts.
    fn hosts(&self) -> PlatformResult<'_, Vec<HostEntry>>;

    /// Takes part in the group that shares the duties, or stays in it.
    fn join_group<'a>(
        &'a self,
        host: &'a HostId,
        lease: Duration,
        generation: u64,
    ) -> PlatformResult<'a, GroupMembership>;

    /// Leaves that group.
    fn leave_group<'a>(&'a self, host: &'a HostId) -> PlatformResult<'a, ()>;
}

/// An order to a model engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceOrder {
    /// The target meant.
    pub target: TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Layers that it shall hold, and no others.
    pub layers: LayerRange,
    /// Fencing token of the placer.
    pub fencing_token: FencingToken,
    /// Orders that the target has accepted, as the placer knows it; the target refuses where it
    /// differs.
    pub order_count: u64,
}

/// A target's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum OrderResponse {
    /// It has begun.
    Begun,
    /// It holds already.
    Holds,
    /// It does not fit the target's state, or the count of orders differs.
    Conflict,
    /// A placer with a higher fencing token has given orders.
    Fenced,
    /// Another target has that address.
    Misdirected,
    /// The target refused it otherwise.
    Refused,
}

/// What an engine says of its orders.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Orders that it accepted since its start.
    pub order_count: u64,
    /// Whether one is in progress.
    pub is_busy: bool,
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
    /// Time that it takes, over what the figures of its kind say; nothing where it states none.
    pub slowdown: Option<f64>,
    /// Requests sent to it that wait for another engine of their path.
    pub stalled: Vec<StalledRequest>,
}

/// A request that waits for an engine of its path that does not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StalledRequest {
    /// The request.
    pub request: RequestId,
    /// Where the engine listens that it waits for.
    pub waits_for: SocketAddr,
}

/// An order to the first engine of a request that runs: to go on along another path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepathOrder<'a> {
    /// The first engine.
    pub target: &'a TargetId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The request.
    pub request: &'a RequestId,
    /// The whole path, its first engine with the same layers as before.
    pub path: &'a [Stage],
}

/// An engine's answer to an order to go on along another path.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum RepathResponse {
    /// The request goes on along the path.
    #[display("begun")]
    Begun,
    /// No such request runs there.
    #[display("no such request")]
    NoSuchRequest,
    /// An engine of the path does not hold its part or has no room.
    #[display("an engine does not fit")]
    Conflict(Option<SocketAddr>),
    /// The engine refused it otherwise.
    #[display("refused")]
    Refused,
}

/// Orders to model engines.
pub trait Orders {
    /// Asks an engine for the state of its orders.
    fn report<'a>(
        &'a self,
        target: &'a TargetId,
        address: SocketAddr,
    ) -> PlatformResult<'a, EngineReport>;

    /// Gives an order.
    fn place<'a>(&'a self, order: &'a PlaceOrder) -> PlatformResult<'a, OrderResponse>;

    /// Orders a request to go on along another path.
    fn repath<'a>(&'a self, order: &'a RepathOrder<'a>) -> PlatformResult<'a, RepathResponse>;
}

/// All of the platform.
#[derive(Clone)]
pub struct Platform {
    /// Headers.
    pub header_codec: std::rc::Rc<dyn HeaderCodec>,
    /// The store.
    pub store: std::rc::Rc<dyn Store>,
    /// Orders.
    pub orders: std::rc::Rc<dyn Orders>,
}
