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
        PartId,
        RequestId,
        ServiceId,
        TargetId,
        TeamId,
        Version, //
    },
    quarantine::Suspect,
};
use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use futures::future::LocalBoxFuture;
use smol_str::SmolStr;

use crate::http1::{
    RequestHead,
    ResponseHead,
    is_header_value, //
};

/// Number of an event in its stream; grows along the stream.
pub type EventId = u64;

/// The event after which a caller wants a stream to go on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ResumePoint {
    /// The caller names no event, so that the stream begins at its first one.
    #[default]
    Start,
    /// The stream goes on after this event.
    After(EventId),
    /// What the caller names is no id of an event.
    Unreadable,
}

impl ResumePoint {
    /// Returns the event after which the stream goes on; `None` if it begins at its first one.
    pub fn event_id(self) -> Option<EventId> {
        match self {
            Self::After(event) => Some(event),
            Self::Start | Self::Unreadable => None,
        }
    }
}

/// The values that the gateway reads from the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id that the caller gave this attempt.
    pub id: RequestId,
    /// Time that the caller waits for the answer; `None` where it states none.
    pub budget: Option<Duration>,
    /// The caller's API key; `None` where it sends none.
    pub key: Option<SmolStr>,
    /// Where the caller wants a stream to begin.
    pub resume_point: ResumePoint,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens of the answer.
    pub answer_limit_tokens: u32,
    /// Number of tokens of the answer that the caller expects, or `None`. Right at the median, but
    /// often far off for a single request.
    pub answer_expected_tokens: Option<u32>,
    /// Parts of the prompt that other requests may share, in order. At most
    /// [`SHARED_PARTS_MAX`]; later ones are left out.
    pub shared_parts: Vec<PartId>,
    /// Numbers of tokens of the leading ones of `shared_parts`, in the same order. Ends before the
    /// first part of the prompt that can't be read.
    pub shared_part_tokens: Vec<u32>,
}

/// Most parts of a prompt that are read from a request.
pub const SHARED_PARTS_MAX: usize = 64;

/// One engine of a path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Layers that it applies to the request.
    pub layers: LayerRange,
}

/// What the gateway adds to a request that it forwards.
#[derive(Clone, Debug)]
pub struct Forwarding<'a> {
    /// Time left until the deadline.
    pub budget: Duration,
    /// The target that the request is meant for; any other target refuses it.
    pub target: &'a TargetId,
    /// The caller's team; `None` where the route needs no key.
    pub team: Option<&'a TeamId>,
    /// Engines that the request passes through, beginning with the target. Empty for services that
    /// are no model engines.
    pub path: &'a [Stage],
    /// Event after which the gateway resumes the stream, in place of the one that the caller names.
    /// `None` forwards what the caller sent.
    pub resume_after: Option<EventId>,
    /// Urgency of the request among those of its service, from 0, the most urgent, to 9. It replaces the
    /// one that the caller states. `None` where the service's requests don't compete.
    pub urgency: Option<u8>,
}

/// Load that a target reports in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests that run.
    pub running_requests: u32,
    /// Number of requests that wait to run.
    pub waiting_requests: u32,
}

/// The values that the gateway reads from the head of a target's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseMetadata {
    /// Id of the request that it answers; `None` where it names none.
    pub id: Option<RequestId>,
    /// Whether the answer carries a seal, by which the target vouches for it.
    pub is_sealed: bool,
    /// Whether the target states that the request did not run and won't run.
    pub did_not_run: bool,
    /// Address of the engine that caused a refusal; `None` where none is named.
    pub at_fault: Option<SocketAddr>,
    /// The target's load; `None` where it reports none.
    pub load: Option<ReportedLoad>,
    /// Time for which the target keeps an idle connection open; `None` where it states none.
    pub idle_timeout: Option<Duration>,
    /// Whether the target states that it is shutting down.
    pub is_leaving: bool,
    /// Time for which a target that refused the request wants no other from this host; `None` where
    /// it states none.
    pub retry_after: Option<Duration>,
    /// Requests a second that the target takes from all hosts together; `None` where it states no
    /// limit.
    pub limit_per_s: Option<f64>,
}

/// Reads and writes the headers that the platform defines for callers and targets.
pub trait HeaderCodec {
    /// Reads the metadata from the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns a description of the fault if a header is malformed.
    fn parse_request(&self, head: &RequestHead) -> Result<RequestMetadata, SmolStr>;

    /// Appends the head of a forwarded request to `out`.
    fn write_forwarded(
        &self,
        head: &RequestHead,
        body_bytes: usize,
        forwarding: &Forwarding<'_>,
        out: &mut Vec<u8>,
    );

    /// Reads the metadata from the head of a target's answer.
    fn parse_response(&self, head: &ResponseHead) -> ResponseMetadata;

    /// Returns the name of the header that carries the request's id in the gateway's own answers.
    fn request_id_header(&self) -> &'static str;
}

/// Whether a target accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// The target accepts requests.
    Ready,
    /// The target is shutting down.
    Leaving,
}

/// The entry that a target registered for itself.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetEntry {
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Number of requests that it runs concurrently.
    pub slot_limit_requests: u32,
    /// Whether it accepts requests.
    pub state: TargetState,
    /// Its kind of accelerator; `None` where it is no model engine.
    pub kind: Option<AcceleratorKind>,
    /// Layers that it holds and their version; `None` where it holds none.
    pub layers: Option<(LayerRange, u64)>,
    /// Start of its process, in milliseconds since the Unix epoch. Distinguishes two runs of one
    /// target.
    pub started_unix_ms: u64,
}

/// A change to the list of targets.
#[derive(Clone, Debug, PartialEq)]
pub enum TargetChange {
    /// A target registered itself or renewed its entry.
    Put(TargetId, TargetEntry),
    /// A target was removed from the list.
    Removed(TargetId),
    /// The entry of this id can't be parsed, so that it describes no target. Holds the cause.
    Unreadable(TargetId, SmolStr),
}

impl TargetChange {
    /// Creates the change for an entry. Requests name their target in a header, so that a name which no
    /// header can hold describes no target.
    pub fn put(id: TargetId, entry: TargetEntry) -> Self {
        match is_header_value(&id) {
            true => Self::Put(id, entry),
            false => Self::Unreadable(id, SmolStr::new_static("no header can hold the name")),
        }
    }
}

/// Number of the store's current history. It rises when the store is restored from an older copy,
/// which reuses offsets for other records; 0 while the store names none.
pub type Era = u64;

/// Position in one of the store's logs.
///
/// The offsets of two eras don't name the same records. Positions therefore have no order, and an
/// offset can be read only together with the era that it is meant for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[display("{offset} in era {era}")]
pub struct Position {
    era: Era,
    offset: Offset,
}

impl Position {
    /// Creates the position of an offset in an era.
    pub fn new(era: Era, offset: Offset) -> Self {
        Self { era, offset }
    }

    /// Returns the era.
    pub fn era(self) -> Era {
        self.era
    }

    /// Returns the offset. Returns `None` if the position belongs to another era.
    pub fn offset_in(self, era: Era) -> Option<Offset> {
        (self.era == era).then_some(self.offset)
    }
}

/// The entry that a host registered for itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// Its id.
    pub id: HostId,
    /// Address at which its peers reach it.
    pub address: SocketAddr,
    /// Key that authenticates the messages that it sends to peers.
    pub key: SmolStr,
    /// Its data centre. Empty in entries of releases that did not state it.
    pub data_centre: DataCentreId,
    /// Processor time available to it, in thousandths of a core.
    pub processor_millis: u32,
}

/// What is quarantined, as it is kept in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The part of prompts, or the request.
    pub suspect: Suspect,
    /// Number of times that the evidence against it was refuted or lowered.
    pub round: u32,
    /// Number of trials that ended a target.
    pub failed_trials: u32,
}

/// What the hosts have registered in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostRegistry {
    /// The hosts.
    pub hosts: Vec<HostEntry>,
    /// What hosts have quarantined.
    pub quarantined: Vec<QuarantineEntry>,
}

/// A complete read of a list, with the offset at which its changes continue.
#[derive(Clone, Debug)]
pub struct Snapshot<T> {
    /// The content of the list.
    pub items: T,
    /// Position of the next change after this read.
    pub next: Position,
}

/// Changes to a list since an offset.
#[derive(Clone, Debug)]
pub enum Changes<T> {
    /// The changes, oldest first; may be none.
    Listed(Snapshot<T>),
    /// The store doesn't have some of the changes, because it dropped them or was restored from an
    /// older copy, so that the whole list must be read again.
    PositionOutOfRange,
}

/// A host's membership in the group that elects the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupMembership {
    /// Era of the store in which it holds.
    pub era: Era,
    /// Generation of the group; grows with each change of its members within an era.
    pub generation: u64,
    /// Whether this host is the placer.
    pub is_placer: bool,
}

/// A failed call to the store or to an engine.
#[derive(Clone, Debug, Display, Error)]
#[display("{call}: {kind}: {message}")]
pub struct PlatformError {
    /// Name of the call.
    pub call: &'static str,
    /// What is known about its execution.
    #[error(not(source))]
    pub kind: PlatformErrorKind,
    /// Description of the cause.
    pub message: SmolStr,
}

/// What is known about the execution of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum PlatformErrorKind {
    /// The call did not reach its receiver, or the receiver answered that it did nothing.
    #[display("not done")]
    NotExecuted,
    /// The call was sent, but no answer arrived.
    #[display("answer lost")]
    AnswerLost,
    /// The answer can't be parsed.
    #[display("unreadable answer")]
    Unreadable,
}

/// The future result of a call to the store or to an engine.
pub type PlatformResult<'a, T> = LocalBoxFuture<'a, Result<T, PlatformError>>;

/// The platform's store of routing tables, targets and hosts.
pub trait Store {
    /// Returns the newest era that is known.
    fn era(&self) -> Era;

    /// Returns the number of connections that were given up because they were silent.
    fn given_up_connections(&self) -> u64;

    /// Records that a peer knows an era. Answers of older ones no longer count.
    fn observe_era(&self, era: Era);

    /// Reads the operators' newest routing table; the items are `None` if there is none yet.
    fn newest_table(&self) -> PlatformResult<'_, Snapshot<Option<Table>>>;

    /// Returns the record from which the table of a version was decoded. Returns `None` unless it is
    /// the last one that was decoded.
    fn encoded_table(&self, version: Version) -> Option<Bytes>;

    /// Decodes the record of a table that a peer read.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformErrorKind::Unreadable`] if it is no valid table.
    fn decode_table(&self, encoded: Bytes) -> Result<Table, PlatformError>;

    /// Waits up to `wait` for tables from position `from` on, and returns the newest of them.
    fn tables_after(
        &self,
        from: Position,
        wait: Duration,
    ) -> PlatformResult<'_, Changes<Option<Table>>>;

    /// Reads the whole list of targets.
    fn newest_targets(&self) -> PlatformResult<'_, Snapshot<Vec<TargetChange>>>;

    /// Reads the changes to the list of targets from position `from` on.
    fn targets_after(&self, from: Position) -> PlatformResult<'_, Changes<Vec<TargetChange>>>;

    /// Registers this host, so that its peers find it.
    fn register_host<'a>(&'a self, host: &'a HostEntry) -> PlatformResult<'a, ()>;

    /// Removes this host's entry.
    fn deregister_host<'a>(&'a self, host: &'a HostId) -> PlatformResult<'a, ()>;

    /// Reads what the hosts have registered.
    fn registry(&self) -> PlatformResult<'_, HostRegistry>;

    /// Registers what is quarantined, so that it stays known when all hosts restart.
    fn register_quarantine<'a>(&'a self, entry: &'a QuarantineEntry) -> PlatformResult<'a, ()>;

    /// Removes the entry of what is no longer quarantined.
    fn deregister_quarantine<'a>(&'a self, suspect: &'a Suspect) -> PlatformResult<'a, ()>;

    /// Joins the group that elects the placer, or renews the membership for `lease`. `generation` is
    /// the last one of this era, or 0.
    fn join_group<'a>(
        &'a self,
        host: &'a HostId,
        lease: Duration,
        generation: u64,
    ) -> PlatformResult<'a, GroupMembership>;

    /// Leaves the group that elects the placer.
    fn leave_group<'a>(&'a self, host: &'a HostId) -> PlatformResult<'a, ()>;
}

/// An order to a model engine to hold a layer range.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceOrder {
    /// The target that the order is meant for.
    pub target: TargetId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Layers that the target must hold; it gives up all others.
    pub layers: LayerRange,
    /// The placer's fencing token.
    pub fencing_token: FencingToken,
    /// Number of orders that the target has accepted, as the placer knows it. The target refuses
    /// the order if its own count differs.
    pub order_count: u64,
}

/// A target's answer to a [`PlaceOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum OrderResponse {
    /// The target has begun to execute the order.
    Begun,
    /// The target already holds the layers.
    Holds,
    /// The order does not fit the target's state, or the count of orders differs.
    Conflict,
    /// The target has accepted an order of a placer with a higher fencing token.
    Fenced,
    /// Another target listens at the address.
    Misdirected,
    /// The target refused the order for another reason.
    Refused,
}

/// The state that an engine reports of its orders, layers and requests.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// Number of orders that it accepted since its start.
    pub order_count: u64,
    /// Whether an order is in progress.
    pub is_busy: bool,
    /// Layers that it holds; `None` where it holds none.
    pub layers: Option<LayerRange>,
    /// Measured time of its work, divided by the time that the profile of its accelerator predicts;
    /// `None` where it reports none.
    pub slowdown: Option<f64>,
    /// Requests of which it is the first engine and that wait for another engine of their path.
    pub stalled: Vec<StalledRequest>,
}

/// A request that waits for an engine of its path that does not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StalledRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Address of the engine that it waits for.
    pub waits_for: SocketAddr,
}

/// An order to the first engine of a running request to continue it along another path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepathOrder<'a> {
    /// The first engine.
    pub target: &'a TargetId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Id of the request.
    pub request: &'a RequestId,
    /// The complete new path. Its first engine applies the same layers as before.
    pub path: &'a [Stage],
}

/// An engine's answer to a [`RepathOrder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum RepathResponse {
    /// The request continues along the new path.
    #[display("begun")]
    Begun,
    /// No such request runs on the engine.
    #[display("no such request")]
    NoSuchRequest,
    /// An engine of the new path does not hold its layers or has no room. Holds its address, where
    /// known.
    #[display("an engine does not fit")]
    Conflict(Option<SocketAddr>),
    /// The engine refused the order for another reason.
    #[display("refused")]
    Refused,
}

/// Queries and orders to model engines.
pub trait Orders {
    /// Asks an engine for its report.
    fn report<'a>(
        &'a self,
        target: &'a TargetId,
        address: SocketAddr,
    ) -> PlatformResult<'a, EngineReport>;

    /// Orders an engine to hold a layer range.
    fn place<'a>(&'a self, order: &'a PlaceOrder) -> PlatformResult<'a, OrderResponse>;

    /// Orders an engine to continue a request along another path.
    fn repath<'a>(&'a self, order: &'a RepathOrder<'a>) -> PlatformResult<'a, RepathResponse>;
}

/// The interfaces of a platform.
#[derive(Clone)]
pub struct Platform {
    /// Codec of the platform's headers.
    pub header_codec: std::rc::Rc<dyn HeaderCodec>,
    /// The store of routing tables, targets and hosts.
    pub store: std::rc::Rc<dyn Store>,
    /// Queries and orders to model engines.
    pub orders: std::rc::Rc<dyn Orders>,
}
