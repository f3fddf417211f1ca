//! One run of a target: the entry that it registered, and what this host's requests observed of it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    id::TargetId,
    target_limit::{
        Allowance,
        Statement, //
    },
};
use smol_str::format_smolstr;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    pool::ConnectionPool,
    port::{
        TargetEntry,
        TargetState, //
    }, //
};

#[cfg(test)]
mod tests;

/// Time for which a target is avoided after a first refusal or error. It doubles with each further
/// one.
const AVOID_MIN: Duration = Duration::from_millis(400);
/// Time for which a target is avoided when it is first unresponsive, or first refuses requests
/// although it is alive and has capacity. It doubles with each further failure, and covers most of
/// the time until the list drops a crashed target.
const AVOID_UNRESPONSIVE_MIN: Duration = Duration::from_millis(1500);
/// Time for which a target without capacity is avoided. It covers a few events of a stream, each of
/// which may be the last and free capacity.
const AVOID_NO_CAPACITY: Duration = Duration::from_millis(120);
/// Time for which other targets are preferred to one at which a silent stream was overtaken.
const SLOWER_TIME: Duration = Duration::from_millis(400);
/// Errors in a row after which a target, and not the requests, is taken to be at fault.
const CONSECUTIVE_ERRORS_MIN: u32 = 2;
/// Longest time for which a target is avoided, because a crashed one may be back within seconds.
const AVOID_MAX: Duration = Duration::from_secs(4);
/// Weight of a new sample in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.1;
/// Largest slowdown that is accepted, observed or reported.
const SLOWDOWN_MAX: f64 = 20.0;
/// Age up to which a slowdown that the target reported is used.
const REPORTED_SLOWDOWN_AGE_MAX: Duration = Duration::from_millis(2500);

/// Why a target is avoided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidReason {
    /// A request failed there, or it has no capacity. Peers are not informed.
    Failure,
    /// It did not respond.
    Unresponsive,
    /// It refuses new requests although it is alive and has capacity: it is leaving, or gives up
    /// its layers.
    Refusing,
}

/// State of one run of a target. A target that restarts gets a new one.
#[derive(Debug)]
pub struct Target {
    /// Name under which the target is listed.
    pub id: TargetId,
    /// Hash of the name, which stands for it in datagrams.
    pub id_hash: u32,
    /// Entry that the target registered last.
    pub entry: RefCell<TargetEntry>,
    /// Idle connections to the target.
    pub pool: ConnectionPool,
    /// Requests of this host whose path includes the target.
    pub sequences: Cell<f64>,
    /// Memory that these requests take, in tokens times layers.
    pub token_layers: Cell<f64>,
    /// Requests that this host sent directly to the target.
    pub sent_requests: Cell<f64>,
    /// When this host last read a new write of the target's entry.
    pub last_heartbeat: Cell<Instant>,
    /// When a request through the target last made progress.
    last_progress: Cell<Option<Instant>>,
    /// When the head of an answer last came from the target, whatever it answers; `None` if none did.
    last_answer: Cell<Option<Instant>>,
    /// When the target was last found unresponsive; `None` if it never was.
    unresponsive_at: Cell<Option<Instant>>,
    avoided_until: Cell<Option<Instant>>,
    /// Time until which other targets are preferred; `None` if they never were.
    slower_until: Cell<Option<Instant>>,
    /// Why the target was last avoided.
    pub(crate) avoid_reason: Cell<AvoidReason>,
    consecutive_failures: Cell<u32>,
    /// Requests that the target answered with an error of its own, since it last began an answer.
    consecutive_errors: Cell<u32>,
    slowdown: Cell<f64>,
    /// When the target was first seen as unresponsive, and the memory that all requests took there then,
    /// in tokens times layers; `None` while it responds.
    lost: Cell<Option<(Instant, f64)>>,
    /// When the target last reported a slowdown, and that slowdown.
    reported: Cell<Option<(Instant, f64)>>,
    /// Whether the target stated that it is shutting down. Invariant: never reset.
    says_leaving: Cell<bool>,
    /// Time until which the target wants no requests from this host.
    closed_until: Cell<Option<Instant>>,
    /// What the target last stated about its limit, to this host or a peer; `None` before the first
    /// answer.
    limit: Cell<Option<Statement>>,
    /// Requests that this host may send within that limit.
    allowance: Cell<Allowance>,
    /// Whether the target is no longer listed, or another run has taken its name.
    pub(crate) is_removed: Cell<bool>,
}

impl Target {
    pub(crate) fn new(id: TargetId, entry: TargetEntry) -> Self {
        Self {
            id_hash: hash_id(&id),
            id,
            entry: RefCell::new(entry),
            pool: ConnectionPool::default(),
            sequences: Cell::new(0.0),
            token_layers: Cell::new(0.0),
            sent_requests: Cell::new(0.0),
            last_heartbeat: Cell::new(Instant::now()),
            last_progress: Cell::new(None),
            last_answer: Cell::new(None),
            unresponsive_at: Cell::new(None),
            avoided_until: Cell::new(None),
            slower_until: Cell::new(None),
            avoid_reason: Cell::new(AvoidReason::Failure),
            consecutive_failures: Cell::new(0),
            consecutive_errors: Cell::new(0),
            slowdown: Cell::new(1.0),
            lost: Cell::new(None),
            reported: Cell::new(None),
            says_leaving: Cell::new(false),
            closed_until: Cell::new(None),
            limit: Cell::new(None),
            allowance: Cell::new(Allowance::default()),
            is_removed: Cell::new(false),
        }
    }

    /// Returns the address on which the target listens.
    pub fn address(&self) -> SocketAddr {
        self.entry.borrow().address
    }

    /// Returns a hash of the target and the start of its process.
    pub fn process_hash(&self) -> u32 {
        let started_unix_ms = self.entry.borrow().started_unix_ms;
        hash_id(&format_smolstr!("{} {started_unix_ms}", self.id))
    }

    /// Returns whether the target takes new requests, according to the list and its own answers.
    pub fn is_listed_ready(&self) -> bool {
        !self.is_removed.get()
            && !self.says_leaving.get()
            && self.entry.borrow().state == TargetState::Ready
    }

    /// Returns whether the target's process may still run: it is listed, also as leaving, or a connection
    /// to it is open. One that is no longer listed may go on for a while.
    pub fn may_be_running(&self) -> bool {
        !self.is_removed.get() || self.pool.has_open()
    }

    /// Returns whether the target stated that it is shutting down.
    pub fn says_leaving(&self) -> bool {
        self.says_leaving.get()
    }

    /// Records that the target stated that it is shutting down. Returns whether this is new.
    pub(crate) fn record_leaving(&self) -> bool {
        !self.says_leaving.replace(true)
    }

    /// Returns the time for which the target still wants no requests from this host.
    pub fn closed_for(&self, now: Instant) -> Duration {
        self.closed_until
            .get()
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that the target wants no requests from this host until `until`.
    pub(crate) fn record_closed(&self, until: Instant) {
        self.closed_until
            .set(self.closed_until.get().max(Some(until)));
    }

    /// Records what an answer of the target stated about its limit, unless a later answer is known.
    /// Returns whether the limit changed.
    pub(crate) fn record_limit(&self, statement: Statement) -> bool {
        let known = self.limit.get();
        if known.is_some_and(|known| known.stated_at >= statement.stated_at) {
            return false;
        }
        let known_limit = known.and_then(|known| known.limit_per_s);
        if statement.limit_per_s.is_none() && known_limit.is_none() {
            // Most targets never state a limit, and peers need not hear of that.
            return false;
        }
        self.limit.set(Some(statement));
        statement.limit_per_s != known_limit
    }

    /// Returns what the target last stated about its limit. Returns `None` before the first answer,
    /// or if that is too long ago.
    pub fn limit_statement(&self, now: Instant) -> Option<Statement> {
        let statement = self.limit.get()?;
        statement.is_current(now.into_std()).then_some(statement)
    }

    /// Returns the requests a second that the target takes from all hosts together. Returns `None`
    /// if it states no limit.
    pub fn limit_per_s(&self, now: Instant) -> Option<f64> {
        self.limit_statement(now)?.limit_per_s
    }

    /// Returns whether this host may send the target a request within its share of the limit. `draw`
    /// is a random number in `0.0..1.0`.
    pub fn admits_within(&self, share_per_s: f64, now: Instant, draw: f64) -> bool {
        let mut allowance = self.allowance.get();
        let admits = allowance.admits(share_per_s, now.into_std(), draw);
        self.allowance.set(allowance);
        admits
    }

    /// Charges a request that was sent to the target to its limit, if it states one.
    pub fn charge_limit(&self, now: Instant) {
        if self.limit_per_s(now).is_some() {
            let mut allowance = self.allowance.get();
            allowance.charge();
            self.allowance.set(allowance);
        }
    }

    /// Returns the time until this host may send the target a request within its share of the limit.
    pub fn limit_time_left(&self, share_per_s: f64) -> Duration {
        self.allowance.get().time_left(share_per_s)
    }

    /// Returns whether this host may send the target a new request at `now`.
    pub fn accepts(&self, now: Instant) -> bool {
        self.is_listed_ready() && self.closed_for(now).is_zero()
    }

    /// Returns whether the target is avoided at `now`.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.get().is_some_and(|until| until > now)
    }

    /// Records that a request was refused or failed at the target.
    pub fn record_failure(&self, now: Instant) {
        self.avoid(now, AVOID_MIN, AvoidReason::Failure);
    }

    /// Records that the target refused a request for lack of capacity. Peers are not informed,
    /// because the target may have capacity again soon.
    pub fn record_no_capacity(&self, now: Instant) {
        if !self.is_avoided(now) {
            self.avoid_reason.set(AvoidReason::Failure);
            self.avoided_until.set(Some(now + AVOID_NO_CAPACITY));
        }
    }

    /// Records that the target did not respond.
    pub fn record_unresponsive(&self, now: Instant) {
        self.unresponsive_at.set(Some(now));
        self.avoid(now, AVOID_UNRESPONSIVE_MIN, AvoidReason::Unresponsive);
    }

    /// Returns when the target was last found unresponsive; `None` if it never was.
    pub fn unresponsive_at(&self) -> Option<Instant> {
        self.unresponsive_at.get()
    }

    /// Records that a stream which was silent at the target went on elsewhere. For a while the target is
    /// used only where there is no path without it. Peers are not informed.
    pub fn record_slower(&self, now: Instant) {
        self.slower_until.set(Some(now + SLOWER_TIME));
    }

    /// Returns whether other targets are preferred to this one at `now`.
    pub fn is_slower(&self, now: Instant) -> bool {
        self.slower_until.get().is_some_and(|until| until > now)
    }

    /// Records that the target refused a request although it is alive and has capacity.
    pub fn record_refusing(&self, now: Instant) {
        self.avoid(now, AVOID_UNRESPONSIVE_MIN, AvoidReason::Refusing);
    }

    /// Records that the target answered a request with an error of its own. One that does so for
    /// several requests in a row is avoided. Returns whether it is.
    ///
    /// Load that it answers: a target that fails at once has the fewest requests in flight, and would
    /// be chosen for most requests.
    pub fn record_error(&self, now: Instant) -> bool {
        let errors = self.consecutive_errors.get().saturating_add(1);
        self.consecutive_errors.set(errors);
        let is_failing = errors >= CONSECUTIVE_ERRORS_MIN;
        if is_failing {
            self.record_refusing(now);
        }
        is_failing
    }

    /// Records that the target, as the first of a path, began an answer.
    pub fn record_begun(&self) {
        self.consecutive_errors.set(0);
    }

    fn avoid(&self, now: Instant, min: Duration, reason: AvoidReason) {
        if self.is_avoided(now) {
            // Requests that are in flight together fail together and count once.
            return;
        }
        let consecutive_failures = self.consecutive_failures.get().saturating_add(1);
        self.consecutive_failures.set(consecutive_failures);
        let factor = 1u32 << (consecutive_failures - 1).min(4);
        self.avoid_reason.set(reason);
        self.avoided_until
            .set(Some(now + (min * factor).min(AVOID_MAX)));
    }

    /// Ends the avoidance of the target, because not the target was at fault.
    pub fn end_avoidance(&self) {
        self.avoided_until.set(None);
        self.consecutive_failures.set(0);
    }

    /// Records whether the target is unresponsive. Returns since when it has been, and the memory that all
    /// requests took there then, in tokens times layers; `None` if it responds. `token_layers` is that
    /// memory now.
    pub fn record_lost(
        &self,
        is_unresponsive: bool,
        now: Instant,
        token_layers: f64,
    ) -> Option<(Instant, f64)> {
        let lost = match (is_unresponsive, self.lost.get()) {
            (false, _) => None,
            (true, None) => Some((now, token_layers)),
            (true, known) => known,
        };
        self.lost.set(lost);
        lost
    }

    /// Returns whether this host avoids the target at `now` because it did not respond.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        self.is_avoided(now) && self.avoid_reason.get() == AvoidReason::Unresponsive
    }

    /// Records that a request made progress at the target.
    pub fn record_progress(&self, now: Instant) {
        self.last_progress.set(Some(now));
        if !self.is_avoided(now) {
            self.consecutive_failures.set(0);
        }
    }

    /// Records that the head of an answer came from the target.
    pub fn record_answer(&self, now: Instant) {
        self.last_answer.set(Some(now));
    }

    /// Returns when something last came from the target, to this host; `None` if nothing did.
    pub fn last_heard_at(&self) -> Option<Instant> {
        self.last_answer.get().max(self.last_progress.get())
    }

    /// Returns whether a request made progress at the target at or after `since`.
    pub fn progressed_since(&self, since: Instant) -> bool {
        self.last_progress.get().is_some_and(|at| at >= since)
    }

    /// Records how long an operation took, compared to its prediction. Ignored if the prediction is
    /// not positive.
    pub fn record_slowdown_sample(&self, observed_ms: f64, predicted_ms: f64) {
        if predicted_ms <= 0.0 {
            return;
        }
        let sample = (observed_ms / predicted_ms).clamp(1.0, SLOWDOWN_MAX);
        let old = self.slowdown.get();
        self.slowdown.set(old + SLOWDOWN_WEIGHT * (sample - old));
    }

    /// Records the slowdown that the target reported.
    pub fn record_reported_slowdown(&self, now: Instant, slowdown: f64) {
        self.reported
            .set(Some((now, slowdown.clamp(1.0, SLOWDOWN_MAX))));
    }

    /// Returns the slowdown that the target reported. Returns `None` if there is no recent report.
    pub fn reported_slowdown(&self, now: Instant) -> Option<f64> {
        let (at, slowdown) = self.reported.get()?;
        (now.duration_since(at) < REPORTED_SLOWDOWN_AGE_MAX).then_some(slowdown)
    }

    /// Returns the moving average of observed time divided by predicted time, at least 1.
    pub fn slowdown(&self) -> f64 {
        self.slowdown.get()
    }
}

/// Returns the hash of a target's name.
fn hash_id(id: &TargetId) -> u32 {
    (xxh3_64(id.as_bytes()) >> 32) as u32
}

/// Counts a request at a target until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    target: Rc<Target>,
    token_layers: f64,
    is_sent_here: bool,
}

impl InFlightGuard {
    /// Counts a request that takes `token_layers` of memory, in tokens times layers.
    pub fn begin(target: &Rc<Target>, token_layers: f64, is_sent_here: bool) -> Self {
        add(&target.sequences, 1.0);
        add(&target.token_layers, token_layers);
        if is_sent_here {
            add(&target.sent_requests, 1.0);
        }
        Self {
            target: Rc::clone(target),
            token_layers,
            is_sent_here,
        }
    }

    /// Returns the target at which the request is counted.
    pub fn target(&self) -> &Rc<Target> {
        &self.target
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        add(&self.target.sequences, -1.0);
        add(&self.target.token_layers, -self.token_layers);
        if self.is_sent_here {
            add(&self.target.sent_requests, -1.0);
        }
    }
}

fn add(cell: &Cell<f64>, amount: f64) {
    cell.set((cell.get() + amount).max(0.0));
}
