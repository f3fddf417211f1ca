//! Holds teams to their limits over all hosts: charges requests, reports demand to the teams' home
//! hosts, and answers as home for others.

mod convert;
mod home;
mod report;
mod team;

use std::{
    sync::{
        Arc,
        RwLock,
        atomic::{
            AtomicU64,
            Ordering::Relaxed, //
        }, //
    },
    time::Instant, //
};

use anvil_core::{
    document,
    id::TeamId,
    limits::{
        Amounts,
        home::Fleet,
        share::{
            Ask,
            Charge,
            Exceeded, //
        }, //
    },
    outcome::{
        Reason,
        Refused, //
    }, //
};
use foldhash::{
    HashMap,
    HashMapExt, //
};
use rand::RngExt;

pub use home::handle_reports;
pub use report::run;
pub use team::Team;

use crate::shared::Shared;

/// Path of shares on the peers' listener.
pub const PATH: &str = "shares";
/// Parts of the table of teams, so that requests of different teams seldom meet at a lock.
const SHARDS: usize = 64;

/// The limits of every team that this host has met lately.
pub struct TeamLimits {
    shards: Vec<RwLock<HashMap<TeamId, Arc<Team>>>>,
    home: home::Home,
    /// Number from which a newly met team's reports count. Invariant: above every number used, so
    /// that a team that was forgotten and met again isn't taken for an older report.
    next_number: AtomicU64,
}

impl TeamLimits {
    /// Starts with no team.
    pub fn new(host: anvil_core::id::HostId, now: Instant) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| RwLock::new(HashMap::new())).collect(),
            home: home::Home::new(host, now),
            next_number: AtomicU64::new(0),
        }
    }

    /// The state of a team at this host.
    pub fn team(&self, shared: &Shared, id: &TeamId, team: &document::Team) -> Arc<Team> {
        let shard = self.shard(id);
        if let Some(known) = team::read(shard).get(id) {
            return Arc::clone(known);
        }
        let first_number = self.next_number.load(Relaxed);
        let made = Team::new(shared, id, team, first_number, Instant::now());
        let mut teams = team::write(shard);
        Arc::clone(teams.entry(id.clone()).or_insert_with(|| Arc::new(made)))
    }

    /// A team's home by this host's view.
    pub fn home_of(&self, team: &TeamId) -> Option<anvil_core::id::HostId> {
        self.home.home_of(team)
    }

    /// Every team that this host has met lately.
    fn teams(&self) -> Vec<Arc<Team>> {
        self.shards
            .iter()
            .flat_map(|shard| team::read(shard).values().cloned().collect::<Vec<_>>())
            .collect()
    }

    /// Forgets a team unless somebody uses it.
    fn forget(&self, team: &Arc<Team>) {
        self.next_number
            .fetch_max(team.report_number() + 1, Relaxed);
        let mut teams = team::write(self.shard(&team.id));
        // The table's own and the caller's: nobody else can charge this one any more.
        if Arc::strong_count(team) == 2 && Arc::strong_count(&team.share) == 1 {
            teams.remove(&team.id);
        }
    }

    fn shard(&self, id: &TeamId) -> &RwLock<HashMap<TeamId, Arc<Team>>> {
        let hash = anvil_core::rendezvous::score(id, "");
        &self.shards[(hash % SHARDS as u64) as usize]
    }
}

/// Charges a request to its team's share at this host.
///
/// A host without a share of the team asks the team's home first, and waits for the answer for
/// `first_share_wait` at most.
///
/// # Errors
///
/// A refusal with the limit that was met; nothing is charged then.
pub async fn charge(
    shared: &Arc<Shared>,
    id: &TeamId,
    team: &document::Team,
    cost_tokens: u64,
) -> Result<Charge, Refused> {
    let state = shared.team_limits.team(shared, id, team);
    let exceeded = match state.share.try_charge(cost_tokens, Instant::now()) {
        Ok(charge) => return Ok(charge),
        Err(exceeded) => exceeded,
    };
    if exceeded.ask == Ask::NextReport {
        return Err(refuse(&state, exceeded));
    }
    match ask_and_charge(shared, &state, cost_tokens, exceeded).await {
        Ok(charge) => Ok(charge),
        Err(exceeded) => Err(refuse(&state, exceeded)),
    }
}

async fn ask_and_charge(
    shared: &Arc<Shared>,
    state: &Arc<Team>,
    cost_tokens: u64,
    mut exceeded: Exceeded,
) -> Result<Charge, Exceeded> {
    let give_up = tokio::time::Instant::now() + shared.settings.team_limits.first_share_wait;
    let answered = state.wait_for_answer();
    report::request_share(shared, state);
    if tokio::time::timeout_at(give_up, answered).await.is_err() {
        return Err(exceeded);
    }
    loop {
        exceeded = match state.share.try_charge_again(cost_tokens, Instant::now()) {
            Ok(charge) => return Ok(charge),
            Err(exceeded) => exceeded,
        };
        let Some(wait) = exceeded.retry_after.filter(|wait| !wait.is_zero()) else {
            return Err(exceeded);
        };
        if tokio::time::Instant::now() + wait > give_up {
            return Err(exceeded);
        }
        tokio::time::sleep(wait).await;
    }
}

fn refuse(state: &Team, exceeded: Exceeded) -> Refused {
    let share = state.share.amounts();
    spdlog::info!("limits.refused", kv: {
        team = state.id.as_str(),
        limit = exceeded.dimension.name(),
        basis = state.share.basis().name(),
        requests_per_s = share.requests_per_s,
        tokens_per_s = share.tokens_per_s,
        open_requests = share.open_requests,
    });
    let base = exceeded
        .retry_after
        .unwrap_or_default()
        .max(RETRY_AFTER_MIN);
    Refused::not_run(
        Reason::TeamLimit,
        format!(
            "team {} has reached its limit of {}",
            state.id,
            exceeded.dimension.name()
        ),
    )
    .retry_after(base.mul_f64(rand::rng().random_range(1.0..2.0)))
}

/// Shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_MIN: std::time::Duration = std::time::Duration::from_millis(500);

/// The hosts as this one sees them.
fn fleet(shared: &Shared) -> Fleet {
    let view = shared.membership.view();
    let count = |hosts: usize| u32::try_from(hosts).unwrap_or(u32::MAX);
    Fleet {
        alive_hosts: count(view.live_hosts.len()),
        listed_hosts: count(view.listed_host_count),
    }
}

/// The limits that the configuration states for a team; nothing where it is gone.
fn limits_in_force(shared: &Shared, id: &TeamId) -> Option<Amounts> {
    let config = shared.config();
    config
        .document
        .teams
        .get(id)
        .map(|team| Amounts::limits_of(team))
}
