//! Enforces the limits of teams across all hosts.
//!
//! Charges requests to a team's share at this host, reports the demand to the team's home, and
//! grants shares to other hosts for the teams whose home this host is.

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

/// Path of share reports on the peers' listener.
pub const PATH: &str = "shares";
/// Number of separately locked parts of the table of teams, so that requests of different teams
/// rarely contend for a lock.
const SHARD_COUNT: usize = 64;

/// State of the limits of every team that recently sent requests to this host.
pub struct TeamLimits {
    shards: Vec<RwLock<HashMap<TeamId, Arc<Team>>>>,
    home: home::Home,
    /// First report number of a newly added team. Invariant: greater than every report number of a
    /// removed team, so that reports of a team that is added again are not taken for older ones.
    next_report_number: AtomicU64,
}

impl TeamLimits {
    /// Creates an empty table.
    pub fn new(host: anvil_core::id::HostId, now: Instant) -> Self {
        Self {
            shards: (0..SHARD_COUNT)
                .map(|_| RwLock::new(HashMap::new()))
                .collect(),
            home: home::Home::new(host, now),
            next_report_number: AtomicU64::new(0),
        }
    }

    /// Returns the state of a team at this host, and adds the team if it is new.
    pub fn team(&self, shared: &Shared, id: &TeamId, team: &document::Team) -> Arc<Team> {
        let shard = self.shard(id);
        if let Some(existing) = team::read(shard).get(id) {
            return Arc::clone(existing);
        }
        let first_report_number = self.next_report_number.load(Relaxed);
        let new_team = Team::new(shared, id, team, first_report_number, Instant::now());
        let mut teams = team::write(shard);
        Arc::clone(
            teams
                .entry(id.clone())
                .or_insert_with(|| Arc::new(new_team)),
        )
    }

    /// Returns a team's home according to this host's view of the live hosts.
    pub fn home_of(&self, team: &TeamId) -> Option<anvil_core::id::HostId> {
        self.home.home_of(team)
    }

    /// Returns every team in the table.
    fn teams(&self) -> Vec<Arc<Team>> {
        self.shards
            .iter()
            .flat_map(|shard| team::read(shard).values().cloned().collect::<Vec<_>>())
            .collect()
    }

    /// Removes a team from the table unless a request uses it.
    fn forget(&self, team: &Arc<Team>) {
        self.next_report_number
            .fetch_max(team.report_number() + 1, Relaxed);
        let mut teams = team::write(self.shard(&team.id));
        // The only references are those of the table and of the caller, so no request can charge
        // this share any more.
        if Arc::strong_count(team) == 2 && Arc::strong_count(&team.share) == 1 {
            teams.remove(&team.id);
        }
    }

    fn shard(&self, id: &TeamId) -> &RwLock<HashMap<TeamId, Arc<Team>>> {
        let hash = anvil_core::rendezvous::score(id, "");
        &self.shards[(hash % SHARD_COUNT as u64) as usize]
    }
}

/// Charges a request to its team's share at this host.
///
/// A host without a share of the team first asks the team's home for one, and waits at most
/// `first_share_wait` for the answer.
///
/// # Errors
///
/// Returns a refusal that names the limit that was reached. Nothing is charged in this case.
pub async fn charge(
    shared: &Arc<Shared>,
    id: &TeamId,
    team: &document::Team,
    cost_tokens: u64,
) -> Result<Charge, Refused> {
    let team_state = shared.team_limits.team(shared, id, team);
    let exceeded = match team_state.share.try_charge(cost_tokens, Instant::now()) {
        Ok(charge) => return Ok(charge),
        Err(exceeded) => exceeded,
    };
    if exceeded.ask == Ask::NextReport {
        return Err(refuse(&team_state, exceeded));
    }
    match request_share_and_charge(shared, &team_state, cost_tokens, exceeded).await {
        Ok(charge) => Ok(charge),
        Err(exceeded) => Err(refuse(&team_state, exceeded)),
    }
}

async fn request_share_and_charge(
    shared: &Arc<Shared>,
    team_state: &Arc<Team>,
    cost_tokens: u64,
    mut exceeded: Exceeded,
) -> Result<Charge, Exceeded> {
    let deadline = tokio::time::Instant::now() + shared.settings.team_limits.first_share_wait;
    let answered = team_state.wait_for_answer();
    report::request_share(shared, team_state);
    if tokio::time::timeout_at(deadline, answered).await.is_err() {
        return Err(exceeded);
    }
    loop {
        exceeded = match team_state
            .share
            .try_charge_again(cost_tokens, Instant::now())
        {
            Ok(charge) => return Ok(charge),
            Err(exceeded) => exceeded,
        };
        let Some(wait) = exceeded.retry_after.filter(|wait| !wait.is_zero()) else {
            return Err(exceeded);
        };
        if tokio::time::Instant::now() + wait > deadline {
            return Err(exceeded);
        }
        tokio::time::sleep(wait).await;
    }
}

fn refuse(team_state: &Team, exceeded: Exceeded) -> Refused {
    let share = team_state.share.amounts();
    spdlog::info!("limits.refused", kv: {
        team = team_state.id.as_str(),
        limit = exceeded.dimension.name(),
        basis = team_state.share.basis().name(),
        requests_per_s = share.requests_per_s,
        tokens_per_s = share.tokens_per_s,
        open_requests = share.open_requests,
    });
    let delay = exceeded
        .retry_after
        .unwrap_or_default()
        .max(RETRY_AFTER_MIN);
    Refused::not_run(
        Reason::TeamLimit,
        format!(
            "team {} has reached its limit of {}",
            team_state.id,
            exceeded.dimension.name()
        ),
    )
    .retry_after(delay.mul_f64(rand::rng().random_range(1.0..2.0)))
}

/// Minimum time after which a refused caller is asked to retry.
const RETRY_AFTER_MIN: std::time::Duration = std::time::Duration::from_millis(500);

/// Returns the numbers of live and of listed hosts according to this host's view.
fn fleet(shared: &Shared) -> Fleet {
    let view = shared.membership.view();
    let count = |hosts: usize| u32::try_from(hosts).unwrap_or(u32::MAX);
    Fleet {
        alive_hosts: count(view.live_hosts.len()),
        listed_hosts: count(view.listed_host_count),
    }
}

/// Returns the limits that the configuration states for a team, or `None` if it has no such team.
fn limits_in_force(shared: &Shared, id: &TeamId) -> Option<Amounts> {
    let config = shared.config();
    config
        .document
        .teams
        .get(id)
        .map(|team| Amounts::limits_of(team))
}
