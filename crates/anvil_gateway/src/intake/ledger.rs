//! What each connection holds and how it proceeds, and which one is ended when memory or connections
//! are short. It uses no clock and no network.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    },
};

#[cfg(test)]
mod tests;

/// Share of the bytes that requests may take before they are complete, and complete ones. The rest is for
/// answers and events of requests that are complete.
const REQUESTS_SHARE: f64 = 0.75;
/// Time in which the progress that a connection has made counts half. A sender on a slow link makes some
/// progress within it; one that has stopped falls behind each that goes on within some multiples.
const PROGRESS_HALF_LIFE: Duration = Duration::from_secs(1);
/// Progress with which a request begins, so that one that has just begun is not the first to end.
const FIRST_PROGRESS_BYTES: f64 = 4096.0;
/// Time from its beginning in which a request is ended only if all others that may end are as new. An
/// ordinary request is complete within it.
const NEW_REQUEST_TIME: Duration = Duration::from_millis(500);
/// Share of the connections, and of the bytes for requests, from which on no connection is kept open after
/// an answer, so that callers that send one request after the other don't keep others out.
const CROWDED_SHARE: f64 = 0.875;
/// Time for which a reader must have taken nothing of an answer before its connection may be ended.
const READER_STALL_MIN: Duration = Duration::from_millis(250);
/// Connections that may be open beyond the limit until the ones that they replace have ended, as a part
/// of the limit.
const REPLACED_SHARE: usize = 8;

/// The number of a connection, unique in its ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// The most that all connections may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of heads, bodies, buffers and answers.
    pub bytes: usize,
    /// Connections.
    pub connections: usize,
}

impl Limits {
    /// Returns the bytes that requests may take; the rest is for answers.
    pub fn request_bytes(&self) -> usize {
        // The conversion saturates for huge values.
        (self.bytes as f64 * REQUESTS_SHARE) as usize
    }
}

/// How far the request on a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No request has begun.
    Idle,
    /// A request has begun and is not complete.
    Unfinished,
    /// A request is complete, and is served.
    Complete,
    /// An answer is ready, and its reader takes nothing more at present.
    Unread,
    /// The last answer was written, and the peer has not closed the connection yet.
    Closing,
    /// The connection was chosen to end, and its task has not ended yet.
    Ending,
}

/// The bytes that a connection has received, of which older ones count less.
#[derive(Clone, Copy, Debug)]
struct Progress {
    bytes: f64,
    at: Instant,
}

impl Progress {
    fn bytes_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.bytes * (-age.div_duration_f64(PROGRESS_HALF_LIFE)).exp2()
    }

    fn add(&mut self, bytes: f64, now: Instant) {
        self.bytes = self.bytes_at(now) + bytes;
        self.at = now;
    }
}

#[derive(Debug)]
struct Entry {
    stage: Stage,
    /// When the present stage began.
    since: Instant,
    /// Bytes that the request holds.
    held_bytes: usize,
    /// Bytes that its answer holds.
    answer_bytes: usize,
    progress: Progress,
}

impl Entry {
    /// Returns the progress for each byte that is held.
    fn yield_at(&self, now: Instant) -> f64 {
        self.progress.bytes_at(now) / self.held_bytes as f64
    }

    /// Returns whether the request has begun only now.
    fn is_new(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) < NEW_REQUEST_TIME
    }

    /// Returns whether the answer is ready and its reader has taken nothing for so long that the
    /// connection may be ended.
    fn is_stalled(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since);
        self.stage == Stage::Unread && age >= READER_STALL_MIN
    }
}

/// The decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opening {
    /// It is admitted.
    Admitted(ConnectionId),
    /// It is admitted in the place of another one, which is to end.
    Replacing {
        /// The new connection.
        admitted: ConnectionId,
        /// The connection that is to end.
        ended: ConnectionId,
    },
    /// Each connection carries a complete request whose answer is not ready or is being read, or too many
    /// are ending.
    Refused,
}

/// The decision on bytes that a connection wants to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reserving {
    /// They are reserved.
    Granted,
    /// They are not reserved. They will be free once connections that are ending have ended. The ones
    /// listed were chosen now.
    Awaited(Vec<ConnectionId>),
    /// They are not reserved: the connection itself is to end, since it proceeds least.
    Ended,
    /// They are not reserved, and no connection may be ended for them.
    Refused,
}

/// The account of all connections of one host.
#[derive(Debug)]
pub struct Ledger {
    limits: Limits,
    next: u64,
    entries: BTreeMap<ConnectionId, Entry>,
    /// Bytes that requests hold.
    request_bytes: usize,
    /// Bytes that answers hold. Invariant: at most `limits.bytes` together with `request_bytes`.
    answer_bytes: usize,
}

impl Ledger {
    /// Creates a ledger without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            next: 0,
            entries: BTreeMap::new(),
            request_bytes: 0,
            answer_bytes: 0,
        }
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the number of connections that are open.
    pub fn connections(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether so many connections are open, or requests hold so much, that no connection is to be
    /// kept after an answer.
    pub fn is_crowded(&self) -> bool {
        let is_over = |used: usize, limit: usize| used as f64 >= limit as f64 * CROWDED_SHARE;
        is_over(self.entries.len(), self.limits.connections)
            || is_over(self.request_bytes, self.limits.request_bytes())
    }

    /// Returns the bytes that requests and answers hold.
    pub fn used_bytes(&self) -> usize {
        self.request_bytes + self.answer_bytes
    }

    /// Decides on a new connection. Beyond the limit it replaces the one that has been closing, idle or
    /// unfinished for longest; if there is none, the one whose reader has taken nothing for longest.
    pub fn open(&mut self, now: Instant) -> Opening {
        let connections_max = self.limits.connections;
        if self.entries.len() > connections_max + connections_max / REPLACED_SHARE {
            return Opening::Refused;
        }
        let going_on = self.entries.values();
        let going_on = going_on.filter(|entry| entry.stage != Stage::Ending);
        if going_on.count() < connections_max {
            return Opening::Admitted(self.insert(now));
        }
        let replaceable = self.entries.iter().filter_map(|(id, entry)| {
            let order = match entry.stage {
                Stage::Closing => 0,
                Stage::Idle | Stage::Unfinished => 1,
                Stage::Unread if entry.is_stalled(now) => 2,
                Stage::Complete | Stage::Unread | Stage::Ending => return None,
            };
            Some((order, entry.since, *id))
        });
        let Some((_, _, ended)) = replaceable.min() else {
            return Opening::Refused;
        };
        self.set_stage(ended, Stage::Ending, now);
        Opening::Replacing {
            admitted: self.insert(now),
            ended,
        }
    }

    fn insert(&mut self, now: Instant) -> ConnectionId {
        let id = ConnectionId(self.next);
        self.next += 1;
        let progress = Progress {
            bytes: FIRST_PROGRESS_BYTES,
            at: now,
        };
        let entry = Entry {
            stage: Stage::Idle,
            since: now,
            held_bytes: 0,
            answer_bytes: 0,
            progress,
        };
        self.entries.insert(id, entry);
        id
    }

    /// Forgets a connection. What it holds is released separately.
    pub fn close(&mut self, id: ConnectionId) {
        self.entries.remove(&id);
    }

    /// Records the stage of a connection. A connection that was chosen to end stays so, unless its
    /// request is complete.
    pub fn set_stage(&mut self, id: ConnectionId, stage: Stage, now: Instant) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.stage == stage || entry.stage == Stage::Ending && stage != Stage::Complete {
            return;
        }
        if stage == Stage::Unfinished {
            entry.progress = Progress {
                bytes: FIRST_PROGRESS_BYTES,
                at: now,
            };
        }
        entry.stage = stage;
        entry.since = now;
    }

    /// Returns the stage of a connection; `None` if it is closed.
    pub fn stage(&self, id: ConnectionId) -> Option<Stage> {
        self.entries.get(&id).map(|entry| entry.stage)
    }

    /// Records bytes of a request that a connection received.
    pub fn record_progress(&mut self, id: ConnectionId, bytes: usize, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.progress.add(bytes as f64, now);
        }
    }

    /// Decides on bytes that a request wants to take. If they are not free, the connections with the least
    /// progress for the bytes that they hold are to end, then those whose readers have taken nothing for
    /// longest, then requests that have only begun. None is ended whose request is complete and whose answer is not ready or is being read.
    pub fn reserve(&mut self, id: ConnectionId, bytes: usize, now: Instant) -> Reserving {
        match self.entries.get_mut(&id) {
            None => Reserving::Refused,
            Some(entry) if entry.stage == Stage::Ending => Reserving::Ended,
            Some(entry) => {
                let request_free = (self.limits.request_bytes()).saturating_sub(self.request_bytes);
                let used_bytes = self.request_bytes + self.answer_bytes;
                let free = request_free.min(self.limits.bytes.saturating_sub(used_bytes));
                if bytes <= free {
                    entry.held_bytes += bytes;
                    self.request_bytes += bytes;
                    return Reserving::Granted;
                }
                match self.make_room(Some(id), bytes - free, now) {
                    Some(chosen) if chosen.contains(&id) => Reserving::Ended,
                    Some(chosen) => Reserving::Awaited(chosen),
                    None => Reserving::Refused,
                }
            }
        }
    }

    /// Chooses the connections that end so that `missing_bytes` become free. If `id`, which needs the
    /// bytes, proceeds less than the others that would be chosen, it alone is. Returns `None`, and chooses
    /// none, if too little would become free.
    fn make_room(
        &mut self,
        id: Option<ConnectionId>,
        missing_bytes: usize,
        now: Instant,
    ) -> Option<Vec<ConnectionId>> {
        let bytes_of = |entry: &Entry| entry.held_bytes + entry.answer_bytes;
        let ending = self.entries.values();
        let ending = ending.filter(|entry| entry.stage == Stage::Ending);
        let mut awaited_bytes: usize = ending.map(bytes_of).sum();
        let mut candidates: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| bytes_of(entry) > 0)
            .filter_map(|(id, entry)| {
                let order = match entry.stage {
                    Stage::Unfinished if entry.is_new(now) => (2, entry.yield_at(now)),
                    Stage::Unfinished => (0, entry.yield_at(now)),
                    Stage::Unread if entry.is_stalled(now) => (1, 0.0),
                    Stage::Idle
                    | Stage::Complete
                    | Stage::Unread
                    | Stage::Closing
                    | Stage::Ending => return None,
                };
                Some((order, entry.since, *id, bytes_of(entry)))
            })
            .collect();
        candidates.sort_by(|left, right| {
            let by_kind = left.0.0.cmp(&right.0.0);
            let by_yield = by_kind.then(left.0.1.total_cmp(&right.0.1));
            by_yield.then((left.1, left.2).cmp(&(right.1, right.2)))
        });
        let mut chosen = Vec::new();
        for (_, _, candidate, bytes) in candidates {
            if awaited_bytes >= missing_bytes {
                break;
            }
            awaited_bytes += bytes;
            if Some(candidate) == id {
                chosen = vec![candidate];
                awaited_bytes = missing_bytes;
                break;
            }
            chosen.push(candidate);
        }
        if awaited_bytes < missing_bytes {
            return None;
        }
        for ended in &chosen {
            self.set_stage(*ended, Stage::Ending, now);
        }
        Some(chosen)
    }

    /// Releases bytes that a request took. The connection may be closed already.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        self.request_bytes -= bytes;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.held_bytes -= bytes;
        }
    }

    /// Changes the bytes that an answer on a connection holds; returns whether it may. A smaller number is
    /// always accepted. More are accepted as long as more is left free than the answer holds, so that many
    /// large answers share the memory evenly and small ones still find room.
    pub fn resize_answer(
        &mut self,
        id: ConnectionId,
        held_bytes: usize,
        wanted_bytes: usize,
    ) -> bool {
        if wanted_bytes > held_bytes && self.missing_for_answer(held_bytes, wanted_bytes) > 0 {
            return false;
        }
        self.answer_bytes = self.answer_bytes - held_bytes + wanted_bytes;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.answer_bytes = entry.answer_bytes - held_bytes + wanted_bytes;
        }
        true
    }

    fn missing_for_answer(&self, held_bytes: usize, wanted_bytes: usize) -> usize {
        let others_bytes = self.used_bytes() - held_bytes;
        let needed_bytes = wanted_bytes.saturating_mul(2).saturating_add(others_bytes);
        needed_bytes.saturating_sub(self.limits.bytes)
    }

    /// Decides on bytes that an answer wants beside those that it holds, where [`Self::resize_answer`]
    /// does not accept them. Connections are ended as for a request.
    pub fn make_room_for_answer(
        &mut self,
        held_bytes: usize,
        wanted_bytes: usize,
        now: Instant,
    ) -> Reserving {
        let missing_bytes = self.missing_for_answer(held_bytes, wanted_bytes);
        match self.make_room(None, missing_bytes, now) {
            Some(chosen) => Reserving::Awaited(chosen),
            None => Reserving::Refused,
        }
    }
}
