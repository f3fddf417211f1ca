//! Reports demand to the homes of teams, with one message to each home for all of its teams.

use std::{
    sync::Arc,
    time::Instant, //
};

use anvil_core::{
    id::{
        HostId,
        TeamId, //
    },
    limits::{
        Grant,
        Report,
        demand::{
            Unanswered,
            Urgency, //
        },
        share::{
            Basis,
            floor, //
        }, //
    }, //
};
use anvil_wire::{
    codec,
    generated::peer_shares::{
        ShareGrants,
        ShareReports,
        SuspectHost, //
    }, //
};
use foldhash::{
    HashMap,
    HashMapExt, //
};
use tokio_util::sync::CancellationToken;

use super::{
    PATH,
    convert,
    fleet,
    limits_in_force,
    team::Team, //
};
use crate::{
    port::CallErrorKind,
    shared::Shared, //
};

/// Number of checks of the demand in one report interval, so that a change in demand can be
/// reported before the interval ends.
const CHECKS_PER_INTERVAL: u32 = 8;

/// Number of homes that a report is sent to, one after the other, before it is left unanswered.
const HOME_ATTEMPTS_MAX: usize = 3;

/// A report of one team to its home.
struct TeamReport {
    team: Arc<Team>,
    report: Report,
}

/// Reports demand in each report interval until the host stops.
pub async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    let period = shared.settings.team_limits.report_interval / CHECKS_PER_INTERVAL;
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = interval.tick() => tick(&shared),
        }
    }
}

/// Asks the home for a share on behalf of a waiting request. At most one such request to the home
/// is in flight per team. Callers' requests that arrive meanwhile wait for the same answer.
pub(super) fn request_share(shared: &Arc<Shared>, team: &Arc<Team>) {
    if !team.try_begin_share_request() {
        return;
    }
    let shared = Arc::clone(shared);
    let team = Arc::clone(team);
    tokio::spawn(async move {
        let home = shared.team_limits.home.home_of(&team.id);
        if let Some(team_report) =
            next_report(&shared, &team, Urgency::RequestWaits, Instant::now())
        {
            send(&shared, home, vec![team_report]).await;
        }
        team.end_share_request();
        team.notify_answered();
    });
}

fn tick(shared: &Arc<Shared>) {
    let now = Instant::now();
    shared.team_limits.home.update(shared, now);
    shared.team_limits.home.expire(now);
    let mut due = Vec::new();
    for team in shared.team_limits.teams() {
        let is_idle = team.share.idle_for(now) >= shared.settings.team_limits.idle_timeout;
        if is_idle && team.share.open() == 0 && team.share.basis() != Basis::Granted {
            shared.team_limits.forget(&team);
            continue;
        }
        due.extend(next_report(shared, &team, Urgency::Interval, now));
    }
    for (home, team_reports) in group_by_home(shared, due) {
        let shared = Arc::clone(shared);
        tokio::spawn(async move { send(&shared, home, team_reports).await });
    }
}

fn next_report(
    shared: &Shared,
    team: &Arc<Team>,
    urgency: Urgency,
    now: Instant,
) -> Option<TeamReport> {
    let settings = &shared.settings.team_limits;
    let limits = limits_in_force(shared, &team.id)?;
    let host_count = fleet(shared).host_count();
    team.share
        .set_silent_share(settings, limits, host_count, now);
    let report = team
        .reporter()
        .report(&team.share, settings, urgency, now)?;
    Some(TeamReport {
        team: Arc::clone(team),
        report,
    })
}

/// Sends reports to the teams' homes. If a home can't be reached, the same reports go at once to
/// the next home by rendezvous hashing over the other hosts, with the suspicion about the first.
async fn send(shared: &Arc<Shared>, home: Option<HostId>, team_reports: Vec<TeamReport>) {
    let mut remaining = vec![(home, team_reports)];
    for _ in 0..HOME_ATTEMPTS_MAX {
        let mut failed = Vec::new();
        for (home, team_reports) in remaining {
            let answer = request_grants(shared, home.as_ref(), &team_reports).await;
            failed.extend(apply_answer(shared, team_reports, answer));
        }
        if failed.is_empty() {
            return;
        }
        shared.team_limits.home.update(shared, Instant::now());
        remaining = group_by_home(shared, failed);
    }
}

fn group_by_home(
    shared: &Shared,
    team_reports: Vec<TeamReport>,
) -> Vec<(Option<HostId>, Vec<TeamReport>)> {
    let mut groups: HashMap<Option<HostId>, Vec<TeamReport>> = HashMap::new();
    for team_report in team_reports {
        let home = shared.team_limits.home.home_of(&team_report.team.id);
        groups.entry(home).or_default().push(team_report);
    }
    groups.into_iter().collect()
}

/// Grants by team, or what is known of the reports if the home did not answer.
type GrantsResult = Result<HashMap<TeamId, Grant>, Unanswered>;

async fn request_grants(
    shared: &Shared,
    home: Option<&HostId>,
    team_reports: &[TeamReport],
) -> GrantsResult {
    match home {
        Some(home) if *home == shared.settings.host_id => {
            Ok(request_own_grants(shared, team_reports))
        }
        Some(home) => request_peer_grants(shared, home, team_reports).await,
        None => Err(Unanswered::NotSent),
    }
}

fn request_own_grants(shared: &Shared, team_reports: &[TeamReport]) -> HashMap<TeamId, Grant> {
    let now = Instant::now();
    let from = (&shared.settings.host_id, shared.incarnation);
    team_reports
        .iter()
        .filter_map(|TeamReport { team, report }| {
            let home = &shared.team_limits.home;
            let grant = home.handle_report(shared, &team.id, from, report, now)?;
            Some((team.id.clone(), grant))
        })
        .collect()
}

async fn request_peer_grants(
    shared: &Shared,
    home: &HostId,
    team_reports: &[TeamReport],
) -> GrantsResult {
    let peer = shared
        .membership
        .view()
        .peer(home)
        .map(|peer| peer.address.clone())
        .ok_or(Unanswered::NotSent)?;
    let body =
        codec::encode(&reports_message(shared, team_reports)).map_err(|_| Unanswered::NotSent)?;
    let timeout = shared.settings.team_limits.report_timeout;
    let answer = match shared.ports.peers.call(&peer, PATH, body, timeout).await {
        Ok(answer) => answer,
        Err(error) => {
            spdlog::warn!("limits.home_unreachable", kv: {
                home = home.as_str(),
                teams = team_reports.len(),
                error: = error,
            });
            if error.kind != CallErrorKind::Refused {
                shared.membership.record_unreachable(home);
            }
            return Err(unanswered_from(error.kind));
        }
    };
    let answer: ShareGrants = codec::decode(&answer).map_err(|_| Unanswered::MaybeReceived)?;
    let grants = answer
        .grants
        .iter()
        .map(|grant| (grant.team.clone(), convert::grant_from_wire(grant)));
    Ok(grants.collect())
}

fn unanswered_from(kind: CallErrorKind) -> Unanswered {
    match kind {
        CallErrorKind::NotSent | CallErrorKind::Refused => Unanswered::NotSent,
        CallErrorKind::AnswerLost => Unanswered::MaybeReceived,
    }
}

fn reports_message(shared: &Shared, team_reports: &[TeamReport]) -> ShareReports {
    let suspects = shared.membership.suspects().into_iter();
    ShareReports {
        host: shared.settings.host_id.clone(),
        incarnation: shared.incarnation,
        suspects: suspects
            .map(|(host, version)| SuspectHost {
                host,
                incarnation: version.incarnation,
                refutations: version.refutations,
            })
            .collect(),
        reports: team_reports
            .iter()
            .map(|TeamReport { team, report }| convert::report_to_wire(&team.id, report))
            .collect(),
    }
}

/// Applies a home's answer, and returns the reports if the home did not answer.
fn apply_answer(
    shared: &Shared,
    team_reports: Vec<TeamReport>,
    answer: GrantsResult,
) -> Vec<TeamReport> {
    match answer {
        Ok(grants) => {
            for TeamReport { team, report } in team_reports {
                apply_result(shared, &team, &report, Ok(grants.get(&team.id)));
            }
            Vec::new()
        }
        Err(unanswered) => {
            for TeamReport { team, report } in &team_reports {
                apply_result(shared, team, report, Err(unanswered));
            }
            team_reports
        }
    }
}

fn apply_result(
    shared: &Shared,
    team: &Team,
    report: &Report,
    grant: Result<Option<&Grant>, Unanswered>,
) {
    let now = Instant::now();
    let before = (team.share.basis(), team.share.amounts());
    let reason = match grant {
        Ok(Some(grant)) => {
            team.reporter().answer(&team.share, grant, now);
            "granted"
        }
        Ok(None) => {
            record_unanswered(shared, team, Unanswered::MaybeReceived, now);
            "not_home"
        }
        Err(unanswered) => {
            record_unanswered(shared, team, unanswered, now);
            "no_answer"
        }
    };
    let after = (team.share.basis(), team.share.amounts());
    if before.0 != after.0 || !nearly_equal(before.1.requests_per_s, after.1.requests_per_s) {
        spdlog::info!("limits.share_changed", kv: {
            team = team.id.as_str(),
            basis = after.0.name(),
            requests_per_s = after.1.requests_per_s,
            tokens_per_s = after.1.tokens_per_s,
            open_requests = after.1.open_requests,
            demand_requests_per_s = report.demand.requests_per_s,
            reason,
        });
    }
}

fn record_unanswered(shared: &Shared, team: &Team, unanswered: Unanswered, now: Instant) {
    let Some(limits) = limits_in_force(shared, &team.id) else {
        return;
    };
    let floor = floor(limits, fleet(shared).host_count());
    let settings = &shared.settings.team_limits;
    team.reporter()
        .fail(&team.share, unanswered, floor, settings, now);
}

/// Returns whether two rates differ by at most a tenth of the greater one.
fn nearly_equal(left: f64, right: f64) -> bool {
    (left - right).abs() <= left.max(right) * 0.1
}
