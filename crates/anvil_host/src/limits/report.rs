//! Reports of demand to the teams' homes: one message for all of a host's teams with one home.

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

/// Looks at the demand in one report interval, so that a change needn't wait for the next.
const LOOKS_PER_INTERVAL: u32 = 8;

/// Homes that a report is sent to, one after the other, before it counts as unanswered.
const HOMES_TRIED: usize = 3;

/// A report that is on its way.
struct Sent {
    team: Arc<Team>,
    report: Report,
}

/// Reports demand in each interval until the host stops.
pub async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    let period = shared.settings.team_limits.report_interval / LOOKS_PER_INTERVAL;
    let mut interval = tokio::time::interval(period);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = interval.tick() => tick(&shared),
        }
    }
}

/// Asks the home for a share on behalf of a request that waits. One question per team is out at a
/// time; requests that come meanwhile wait for its answer.
pub(super) fn request_share(shared: &Arc<Shared>, team: &Arc<Team>) {
    if !team.try_begin_share_request() {
        return;
    }
    let shared = Arc::clone(shared);
    let team = Arc::clone(team);
    tokio::spawn(async move {
        let home = shared.team_limits.home.home_of(&team.id);
        if let Some(sent) = report(&shared, &team, Urgency::RequestWaits, Instant::now()) {
            send(&shared, home, vec![sent]).await;
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
        let idle = team.share.idle_for(now) >= shared.settings.team_limits.idle_timeout;
        if idle && team.share.open() == 0 && team.share.basis() != Basis::Granted {
            shared.team_limits.forget(&team);
            continue;
        }
        due.extend(report(shared, &team, Urgency::Interval, now));
    }
    for (home, sent) in by_home(shared, due) {
        let shared = Arc::clone(shared);
        tokio::spawn(async move { send(&shared, home, sent).await });
    }
}

fn report(shared: &Shared, team: &Arc<Team>, urgency: Urgency, now: Instant) -> Option<Sent> {
    let settings = &shared.settings.team_limits;
    let limits = limits_in_force(shared, &team.id)?;
    let host_count = fleet(shared).host_count();
    team.share
        .set_silent_share(settings, limits, host_count, now);
    let report = team
        .reporter()
        .report(&team.share, settings, urgency, now)?;
    Some(Sent {
        team: Arc::clone(team),
        report,
    })
}

/// Sends reports to the teams' homes. Where a home can't be reached, the next one by rendezvous
/// hashing over the other hosts gets the same reports at once, with the suspicion.
async fn send(shared: &Arc<Shared>, home: Option<HostId>, sent: Vec<Sent>) {
    let mut left = vec![(home, sent)];
    for _ in 0..HOMES_TRIED {
        let mut failed = Vec::new();
        for (home, sent) in left {
            let answer = ask(shared, home.as_ref(), &sent).await;
            failed.extend(apply(shared, sent, answer));
        }
        if failed.is_empty() {
            return;
        }
        shared.team_limits.home.update(shared, Instant::now());
        left = by_home(shared, failed);
    }
}

fn by_home(shared: &Shared, sent: Vec<Sent>) -> Vec<(Option<HostId>, Vec<Sent>)> {
    let mut by_home: HashMap<Option<HostId>, Vec<Sent>> = HashMap::new();
    for sent in sent {
        let home = shared.team_limits.home.home_of(&sent.team.id);
        by_home.entry(home).or_default().push(sent);
    }
    by_home.into_iter().collect()
}

/// Grants by team, or what is known of reports that got none.
type Answer = Result<HashMap<TeamId, Grant>, Unanswered>;

async fn ask(shared: &Shared, home: Option<&HostId>, sent: &[Sent]) -> Answer {
    match home {
        Some(home) if *home == shared.settings.host_id => Ok(ask_self(shared, sent)),
        Some(home) => ask_peer(shared, home, sent).await,
        None => Err(Unanswered::NotSent),
    }
}

fn ask_self(shared: &Shared, sent: &[Sent]) -> HashMap<TeamId, Grant> {
    let now = Instant::now();
    let from = (&shared.settings.host_id, shared.incarnation);
    sent.iter()
        .filter_map(|Sent { team, report }| {
            let home = &shared.team_limits.home;
            let grant = home.handle_report(shared, &team.id, from, report, now)?;
            Some((team.id.clone(), grant))
        })
        .collect()
}

async fn ask_peer(shared: &Shared, home: &HostId, sent: &[Sent]) -> Answer {
    let peer = shared
        .membership
        .view()
        .peer(home)
        .map(|peer| peer.address.clone())
        .ok_or(Unanswered::NotSent)?;
    let body = codec::encode(&message(shared, sent)).map_err(|_| Unanswered::NotSent)?;
    let timeout = shared.settings.team_limits.report_timeout;
    let answer = match shared.ports.peers.call(&peer, PATH, body, timeout).await {
        Ok(answer) => answer,
        Err(error) => {
            spdlog::warn!("limits.home_unreachable", kv: {
                home = home.as_str(),
                teams = sent.len(),
                error: = error,
            });
            if error.kind != CallErrorKind::Refused {
                shared.membership.record_unreachable(home);
            }
            return Err(unanswered(error.kind));
        }
    };
    let answer: ShareGrants = codec::decode(&answer).map_err(|_| Unanswered::MaybeReceived)?;
    let grants = answer
        .grants
        .iter()
        .map(|grant| (grant.team.clone(), convert::grant_from_wire(grant)));
    Ok(grants.collect())
}

fn unanswered(kind: CallErrorKind) -> Unanswered {
    match kind {
        CallErrorKind::NotSent | CallErrorKind::Refused => Unanswered::NotSent,
        CallErrorKind::AnswerLost => Unanswered::MaybeReceived,
    }
}

fn message(shared: &Shared, sent: &[Sent]) -> ShareReports {
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
        reports: sent
            .iter()
            .map(|Sent { team, report }| convert::report_to_wire(&team.id, report))
            .collect(),
    }
}

/// Puts an answer in force; gives back the reports that got no answer from a home.
fn apply(shared: &Shared, sent: Vec<Sent>, answer: Answer) -> Vec<Sent> {
    match answer {
        Ok(grants) => {
            for Sent { team, report } in sent {
                settle(shared, &team, &report, Ok(grants.get(&team.id)));
            }
            Vec::new()
        }
        Err(unanswered) => {
            for Sent { team, report } in &sent {
                settle(shared, team, report, Err(unanswered));
            }
            sent
        }
    }
}

fn settle(
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
            fail(shared, team, Unanswered::MaybeReceived, now);
            "not_home"
        }
        Err(unanswered) => {
            fail(shared, team, unanswered, now);
            "no_answer"
        }
    };
    let after = (team.share.basis(), team.share.amounts());
    if before.0 != after.0 || !alike(before.1.requests_per_s, after.1.requests_per_s) {
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

fn fail(shared: &Shared, team: &Team, unanswered: Unanswered, now: Instant) {
    let Some(limits) = limits_in_force(shared, &team.id) else {
        return;
    };
    let floor = floor(limits, fleet(shared).host_count());
    let settings = &shared.settings.team_limits;
    team.reporter()
        .fail(&team.share, unanswered, floor, settings, now);
}

/// Tells whether two shares differ by less than a tenth.
fn alike(left: f64, right: f64) -> bool {
    (left - right).abs() <= left.max(right) * 0.1
}
