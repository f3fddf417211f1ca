//! Requests that wait at a host for capacity: by rank, then fairly over teams, then by arrival.

use std::{
    collections::BTreeMap,
    time::{
        Duration,
        Instant, //
    }, //
};

use crate::{
    admission::{
        Request,
        queue, //
    },
    id::TeamId,
};

use super::Rank;

#[cfg(test)]
mod tests;

/// What the queue needs to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Rank with which the request came.
    pub rank: Rank,
    /// Team of the caller; empty if there is none.
    pub team: TeamId,
    /// Memory that the request needs, in tokens.
    pub tokens: u64,
    /// Size of its body.
    pub bytes: usize,
    /// Last moment at which it can be sent in time.
    pub latest_start: Instant,
}

/// Identifies a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    rank: Rank,
    position: queue::Ticket,
}

/// What the queue may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Most requests.
    pub requests: usize,
    /// Most bytes of bodies.
    pub bytes: usize,
}

/// Requests of one service that wait at this host.
///
/// Load that it answers: several ranks that find no room for a moment. The most urgent one is sent
/// first; within a rank, teams get equal shares of tokens, so that neither a flood of one team nor its
/// large requests delay the others.
#[derive(Debug)]
pub struct Queue<W> {
    bounds: Bounds,
    /// Waiting requests of each rank, with the size of their bodies. Invariant: no queue is empty.
    ranks: BTreeMap<Rank, queue::Queue<(W, usize)>>,
    length: usize,
    bytes: usize,
}

impl<W> Queue<W> {
    /// Creates an empty queue.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            ranks: BTreeMap::new(),
            length: 0,
            bytes: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns whether a request that is at least as urgent as `rank` waits, so that another one of that
    /// rank must not be sent before it.
    pub fn has_before(&self, rank: Rank) -> bool {
        self.ranks.range(..=rank).next().is_some()
    }

    /// Returns the memory that the waiting requests need that are at least as urgent as `rank`.
    pub fn tokens_before(&self, rank: Rank) -> u64 {
        let ranks = self.ranks.range(..=rank);
        ranks.map(|(_, queue)| queue.backlog_tokens()).sum()
    }

    /// Adds a request. Returns its ticket, and the waiters that were given up because the queue was full:
    /// first those of the least urgent rank, and there the last request of the team with the most
    /// waiting. The new request may be among them. Returns `None` if its body alone exceeds the bound.
    pub fn push(&mut self, entry: Entry, waiter: W) -> Option<(Ticket, Vec<W>)> {
        if entry.bytes > self.bounds.bytes {
            return None;
        }
        self.length += 1;
        self.bytes += entry.bytes;
        let request = Request {
            team: entry.team,
            weight: 1,
            priority: 0,
            cost_tokens: entry.tokens,
            deadline: entry.latest_start,
            service_time: Duration::ZERO,
        };
        let queue = self.ranks.entry(entry.rank).or_default();
        let ticket = Ticket {
            rank: entry.rank,
            position: queue.push(request, (waiter, entry.bytes)),
        };
        let mut given_up = Vec::new();
        while self.length > self.bounds.requests || self.bytes > self.bounds.bytes {
            given_up.extend(self.shed());
        }
        Some((ticket, given_up))
    }

    /// Returns whether a request is the next one to be sent.
    pub fn is_next(&self, ticket: &Ticket) -> bool {
        let Some((rank, queue)) = self.ranks.first_key_value() else {
            return false;
        };
        *rank == ticket.rank && queue.next_ticket().as_ref() == Some(&ticket.position)
    }

    /// Removes the request that is sent next, and charges its team.
    pub fn pop(&mut self) -> Option<W> {
        let rank = *self.ranks.first_key_value()?.0;
        let removed = self.ranks.get_mut(&rank)?.pop();
        self.removed(rank, removed)
    }

    /// Removes a request that is no longer waited for, without charging its team. Returns `None` if it
    /// isn't in the queue any more.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<W> {
        let removed = self.ranks.get_mut(&ticket.rank)?.cancel(&ticket.position);
        self.removed(ticket.rank, removed)
    }

    /// Removes a request of the least urgent rank.
    fn shed(&mut self) -> Option<W> {
        let last = *self.ranks.last_key_value()?.0;
        let removed = self.ranks.get_mut(&last)?.shed();
        self.removed(last, removed)
    }

    fn removed(&mut self, rank: Rank, removed: Option<queue::Waiting<(W, usize)>>) -> Option<W> {
        let (waiter, bytes) = removed?.waiter;
        self.length -= 1;
        self.bytes -= bytes;
        if self.ranks.get(&rank).is_some_and(queue::Queue::is_empty) {
            self.ranks.remove(&rank);
        }
        Some(waiter)
    }
}
