//! This host as home of teams: the ledgers of the shares that it grants.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Instant, //
};

use anvil_core::{
    id::{
        HostId,
        Incarnation,
        TeamId, //
    },
    limits::{
        Grant,
        Report,
        home::{
            GrantContext,
            Homes,
            Ledger, //
        }, //
    },
    membership::FactVersion, //
};
use anvil_wire::generated::peer_shares::{
    ShareGrants,
    ShareReports, //
};
use foldhash::{
    HashMap,
    HashMapExt, //
};

use super::{
    convert,
    fleet,
    limits_in_force, //
};
use crate::{
    peers::Rejected,
    shared::Shared, //
};

/// The teams whose home this host is. Only control messages take the lock.
pub(super) struct Home {
    state: Mutex<State>,
}

struct State {
    homes: Homes,
    ledgers: HashMap<TeamId, Ledger>,
}

impl Home {
    pub(super) fn new(host: HostId, now: Instant) -> Self {
        Self {
            state: Mutex::new(State {
                homes: Homes::new(host, now),
                ledgers: HashMap::new(),
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Looking up and expiring are safe after any panic; granting isn't, see `report`.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the live hosts, and drops the ledgers of teams whose home is elsewhere now.
    pub(super) fn update(&self, shared: &Shared, now: Instant) {
        let alive_hosts = shared.membership.view().alive_hosts.clone();
        let mut state = self.state();
        let state = &mut *state;
        if !state
            .homes
            .update(alive_hosts, &shared.settings.team_limits, now)
        {
            return;
        }
        let before = state.ledgers.len();
        let homes = &state.homes;
        state
            .ledgers
            .retain(|team, _| homes.home_since(team).is_some());
        spdlog::info!("limits.homes_changed", kv: {
            live_hosts = homes.live_hosts().len(),
            ledgers_kept = state.ledgers.len(),
            ledgers_dropped = before - state.ledgers.len(),
        });
    }

    /// Drops ledgers in which nothing is outstanding.
    pub(super) fn expire(&self, now: Instant) {
        self.state().ledgers.retain(|_, ledger| {
            ledger.expire(now);
            !ledger.is_empty()
        });
    }

    /// A team's home by this host's view.
    pub(super) fn home_of(&self, team: &TeamId) -> Option<HostId> {
        self.state().homes.home_of(team).cloned()
    }

    /// Answers one report; nothing where this host isn't the team's home, the team is unknown, or
    /// the report is out of date.
    pub(super) fn handle_report(
        &self,
        shared: &Shared,
        team: &TeamId,
        from: (&HostId, Incarnation),
        report: &Report,
        now: Instant,
    ) -> Option<Grant> {
        let terms = GrantContext {
            limits: limits_in_force(shared, team)?,
            fleet: fleet(shared),
            settings: &shared.settings.team_limits,
        };
        // A poisoned lock means that a grant did not fit into its limit: grant nothing more.
        let mut state = self.state.lock().ok()?;
        let since = state.homes.home_since(team)?;
        let ledger = state
            .ledgers
            .entry(team.clone())
            .or_insert_with(|| Ledger::new(since));
        ledger.report(from.0, from.1, report, &terms, now).ok()
    }
}

/// Answers another host's reports.
///
/// # Errors
///
/// None now; the signature is that of the peers' handlers.
pub async fn handle_reports(
    shared: Arc<Shared>,
    message: ShareReports,
) -> Result<ShareGrants, Rejected> {
    let now = Instant::now();
    if !message.suspects.is_empty() {
        let suspects = message.suspects.into_iter().map(|suspect| {
            let version = FactVersion {
                incarnation: suspect.incarnation,
                refutations: suspect.refutations,
            };
            (suspect.host, version)
        });
        shared.membership.merge_suspicions(suspects);
    }
    shared.team_limits.home.update(&shared, now);
    let from = (&message.host, message.incarnation);
    let grants = message
        .reports
        .iter()
        .filter_map(|report| {
            let heard = convert::report_from_wire(report);
            let grant =
                shared
                    .team_limits
                    .home
                    .handle_report(&shared, &report.team, from, &heard, now)?;
            Some(convert::grant_to_wire(&report.team, &grant))
        })
        .collect();
    Ok(ShareGrants { grants })
}
