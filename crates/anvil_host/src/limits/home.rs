//! Grants shares for the teams whose home this host is, and keeps the ledgers of the grants.

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

/// The teams whose home this host is. The lock is taken for control messages and look-ups of homes,
/// not for each request.
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
        // Look-ups and expiry are safe after a panic. Grants are not, because a poisoned lock means
        // that a grant exceeded a team's limit, so `handle_report` locks the state by itself.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the set of live hosts, and drops the ledgers of teams that now have another home.
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
        let count_before = state.ledgers.len();
        let homes = &state.homes;
        state
            .ledgers
            .retain(|team, _| homes.home_since(team).is_some());
        spdlog::info!("limits.homes_changed", kv: {
            live_hosts = homes.live_hosts().len(),
            ledgers_kept = state.ledgers.len(),
            ledgers_dropped = count_before - state.ledgers.len(),
        });
    }

    /// Expires shares, and drops the ledgers in which no share is outstanding.
    pub(super) fn expire(&self, now: Instant) {
        self.state().ledgers.retain(|_, ledger| {
            ledger.expire(now);
            !ledger.is_empty()
        });
    }

    /// Returns a team's home according to this host's view of the live hosts.
    pub(super) fn home_of(&self, team: &TeamId) -> Option<HostId> {
        self.state().homes.home_of(team).cloned()
    }

    /// Returns the grant that answers a report, or `None` if this host is not the team's home, the
    /// team is unknown, the report is out of date, or an earlier grant has panicked.
    pub(super) fn handle_report(
        &self,
        shared: &Shared,
        team: &TeamId,
        sender: (&HostId, Incarnation),
        report: &Report,
        now: Instant,
    ) -> Option<Grant> {
        let context = GrantContext {
            limits: limits_in_force(shared, team)?,
            fleet: fleet(shared),
            settings: &shared.settings.team_limits,
        };
        // A poisoned lock means that a grant exceeded the team's limit, so nothing more is granted.
        let mut state = self.state.lock().ok()?;
        let home_since = state.homes.home_since(team)?;
        let ledger = state
            .ledgers
            .entry(team.clone())
            .or_insert_with(|| Ledger::new(home_since));
        ledger
            .report(sender.0, sender.1, report, &context, now)
            .ok()
    }
}

/// Answers the reports of another host.
///
/// # Errors
///
/// Never returns an error at present. The signature is that of the handlers of peer messages.
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
    let sender = (&message.host, message.incarnation);
    let grants = message
        .reports
        .iter()
        .filter_map(|report| {
            let decoded_report = convert::report_from_wire(report);
            let grant = shared.team_limits.home.handle_report(
                &shared,
                &report.team,
                sender,
                &decoded_report,
                now,
            )?;
            Some(convert::grant_to_wire(&report.team, &grant))
        })
        .collect();
    Ok(ShareGrants { grants })
}
