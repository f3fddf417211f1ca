//! Start-time fair queueing over teams, with costs in tokens.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    }, //
};

use foldhash::fast::RandomState;

use crate::{
    admission::Request,
    id::TeamId, //
};

#[cfg(test)]
mod tests;

/// Virtual time that one token takes at weight 1.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 16;
/// Number of idle teams that are kept beside the active ones before idle teams are removed.
const IDLE_TEAMS_MAX: usize = 256;

/// Position of a request in its team's queue: larger priority first, then older.
type Position = (Reverse<u8>, u64);

/// Identifies a waiting request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    team: TeamId,
    position: Position,
}

/// A waiting request.
#[derive(Debug)]
pub struct Waiting<W> {
    /// The request.
    pub request: Request,
    /// Value that was passed with the request, to notify whoever waits for it.
    pub waiter: W,
}

#[derive(Debug)]
struct Team<W> {
    /// Requests in the order in which they are served.
    waiting: BTreeMap<Position, Waiting<W>>,
    /// Virtual time at which the team's last served request ends.
    finish_virtual: u64,
    /// Sum of the costs of `waiting`.
    backlog_tokens: u64,
    weight: u32,
}

/// Fair queue over teams.
///
/// Between any two teams that both keep waiting, the cost served per unit of weight differs by at
/// most one largest request of each, divided by its team's weight. This is the bound of start-time
/// fair queueing.
#[derive(Debug)]
pub struct Queue<W> {
    teams: HashMap<TeamId, Team<W>, RandomState>,
    /// Teams that have requests waiting, by start tag. Invariant: one entry for each such team.
    ready: BTreeSet<(u64, TeamId)>,
    /// Start tag of the request served last. Invariant: never falls while requests wait.
    virtual_time: u64,
    /// Number of the next request.
    next_number: u64,
    /// Sum over teams of `backlog_tokens`.
    backlog_tokens: u64,
    /// Sum of the weights of the teams in `ready`.
    weight_sum: u64,
    length: usize,
}

impl<W> Default for Queue<W> {
    fn default() -> Self {
        Self {
            teams: HashMap::default(),
            ready: BTreeSet::new(),
            virtual_time: 0,
            next_number: 0,
            backlog_tokens: 0,
            weight_sum: 0,
            length: 0,
        }
    }
}

impl<W> Queue<W> {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the work that is served before a further request of a team, in tokens.
    ///
    /// While the team's own backlog is served, every other team gets at most its share by weight,
    /// and never more than it has waiting.
    pub fn work_ahead_tokens(&self, team: &TeamId, weight: u32) -> u64 {
        let (own_tokens, added_weight) = match self.teams.get(team) {
            Some(state) if !state.waiting.is_empty() => (state.backlog_tokens, 0),
            Some(_) | None => (0, u64::from(weight)),
        };
        let weight_sum = self.weight_sum + added_weight;
        let by_share = own_tokens.saturating_mul(weight_sum) / u64::from(weight.max(1));
        by_share.min(self.backlog_tokens)
    }

    /// Returns the sum of the costs of all waiting requests, in tokens.
    pub fn backlog_tokens(&self) -> u64 {
        self.backlog_tokens
    }

    /// Returns the ticket of the request that [`Queue::pop`] would remove, or `None` if the queue is
    /// empty.
    pub fn next_ticket(&self) -> Option<Ticket> {
        let (_, team_id) = self.ready.first()?;
        let position = *self.teams.get(team_id)?.waiting.keys().next()?;
        Some(Ticket {
            team: team_id.clone(),
            position,
        })
    }

    /// Adds a request and returns the ticket that cancels it.
    pub fn push(&mut self, request: Request, waiter: W) -> Ticket {
        let position = (Reverse(request.priority), self.next_number);
        self.next_number += 1;
        let team_id = request.team.clone();
        let team = self.teams.entry(team_id.clone()).or_insert_with(|| Team {
            waiting: BTreeMap::new(),
            finish_virtual: 0,
            backlog_tokens: 0,
            weight: 1,
        });
        if team.waiting.is_empty() {
            team.weight = request.weight.max(1);
            team.finish_virtual = team.finish_virtual.max(self.virtual_time);
            self.weight_sum += u64::from(team.weight);
            self.ready.insert((team.finish_virtual, team_id.clone()));
        }
        team.backlog_tokens += request.cost_tokens;
        self.backlog_tokens += request.cost_tokens;
        self.length += 1;
        team.waiting.insert(position, Waiting { request, waiter });
        Ticket {
            team: team_id,
            position,
        }
    }

    /// Removes the request that is served next, or returns `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<Waiting<W>> {
        let (start_virtual, team_id) = self.ready.pop_first()?;
        assert!(
            start_virtual >= self.virtual_time,
            "virtual time of the fair queue fell"
        );
        self.virtual_time = start_virtual;
        let team = self
            .teams
            .get_mut(&team_id)
            .expect("a team in `ready` is in `teams`");
        let (_, waiting) = team
            .waiting
            .pop_first()
            .expect("a team in `ready` has a request waiting");
        let cost_tokens = waiting.request.cost_tokens;
        let cost_virtual =
            cost_tokens.max(1).saturating_mul(VIRTUAL_TIME_PER_TOKEN) / u64::from(team.weight);
        team.finish_virtual = start_virtual.saturating_add(cost_virtual);
        team.backlog_tokens -= cost_tokens;
        if team.waiting.is_empty() {
            self.weight_sum -= u64::from(team.weight);
        } else {
            self.ready.insert((team.finish_virtual, team_id));
        }
        self.record_removed(cost_tokens);
        Some(waiting)
    }

    /// Removes a waiting request without charging its team, or returns `None` if it no longer
    /// waits.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<Waiting<W>> {
        let team = self.teams.get_mut(&ticket.team)?;
        let waiting = team.waiting.remove(&ticket.position)?;
        let cost_tokens = waiting.request.cost_tokens;
        team.backlog_tokens -= cost_tokens;
        if team.waiting.is_empty() {
            self.weight_sum -= u64::from(team.weight);
            self.ready
                .remove(&(team.finish_virtual, ticket.team.clone()));
        }
        self.record_removed(cost_tokens);
        Some(waiting)
    }

    /// Removes the request that a full queue drops: the last one of the team with the longest
    /// backlog for its weight. Returns `None` if the queue is empty.
    pub fn shed(&mut self) -> Option<Waiting<W>> {
        let (_, team_id) = self.ready.iter().max_by_key(|(_, team_id)| {
            let team = &self.teams[team_id];
            team.backlog_tokens.saturating_mul(1000) / u64::from(team.weight)
        })?;
        let position = *self.teams[team_id].waiting.keys().next_back()?;
        let ticket = Ticket {
            team: team_id.clone(),
            position,
        };
        self.cancel(&ticket)
    }

    fn record_removed(&mut self, cost_tokens: u64) {
        self.length -= 1;
        self.backlog_tokens -= cost_tokens;
        if self.length == 0 {
            assert!(
                self.ready.is_empty() && self.backlog_tokens == 0 && self.weight_sum == 0,
                "the fair queue is empty but still counts teams, tokens or weights"
            );
            self.teams.clear();
            self.virtual_time = 0;
        } else if self.teams.len() > self.ready.len() + IDLE_TEAMS_MAX {
            let virtual_time = self.virtual_time;
            self.teams
                .retain(|_, team| !team.waiting.is_empty() || team.finish_virtual > virtual_time);
        }
    }
}
