//! Targets and teams as configured, and the state of targets as this host sees them.

use std::{
    sync::Arc,
    time::Instant, //
};

use anvil_core::{
    document::{
        Target,
        TargetKind,
        Team, //
    },
    health::{
        self,
        Permit, //
    },
    id::{
        TargetId,
        TeamId, //
    }, //
};
use anvil_wire::generated::operators as wire;
use http::StatusCode;
use smol_str::{
    SmolStr,
    ToSmolStr,
    format_smolstr, //
};
use viz::Request;

use super::{
    HandlerResult,
    OperatorContext,
    reply, //
};
use crate::targets::{
    self,
    Leaving, //
};

/// Number of entries in an answer to a request that names no limit.
const DEFAULT_LIMIT_ENTRIES: usize = 200;

/// Lists the targets whose names start with the requested prefix.
pub async fn targets(context: Arc<OperatorContext>, request: Request) -> HandlerResult {
    let page = reply::parse_page_query(&request)?;
    let config = context.shared.config();
    let observed = context.shared.targets.view();
    let health = &context.shared.settings.targets.health;
    let targets = &config.document.targets;
    let answer = wire::TargetsAnswer {
        config_version: config.version,
        total: targets.len() as u64,
        targets: targets
            .range(page.prefix.clone()..)
            .take_while(|(id, _)| id.starts_with(page.prefix.as_str()))
            .take(page.limit.unwrap_or(DEFAULT_LIMIT_ENTRIES))
            .map(|(id, target)| target_status(id, target, observed.targets.get(id), health))
            .collect(),
    };
    Ok(reply::json_response(StatusCode::OK, &answer))
}

fn target_status(
    id: &TargetId,
    target: &Target,
    observed: Option<&Arc<targets::Target>>,
    settings: &health::Settings,
) -> wire::TargetStatus {
    let (kind, serves) = match &target.kind {
        TargetKind::Engine(engine) => {
            let holds = engine.holds.iter();
            let serves = holds
                .map(|held| format_smolstr!("{} {} {}", held.model, held.version, held.layers))
                .collect();
            (engine.accelerator.clone(), serves)
        }
        TargetKind::Service { service } => (SmolStr::new_static("service"), vec![service.clone()]),
    };
    wire::TargetStatus {
        target: id.clone(),
        address: target.address.to_smolstr(),
        data_centre: target.data_centre.clone(),
        kind,
        serves,
        state: observed.map(|observed| SmolStr::new_static(state(observed, settings))),
        in_flight_steps: observed.map(|observed| u64::from(observed.in_flight_steps())),
        queue_depth_steps: observed.map(|observed| u64::from(observed.reported_queue_steps())),
        report_age_ms: observed
            .and_then(|observed| observed.report())
            .and_then(|report| u64::try_from(report.taken_at.elapsed().as_millis()).ok()),
    }
}

fn state(target: &targets::Target, settings: &health::Settings) -> &'static str {
    let permit = target.breaker.permit(Instant::now(), settings);
    match (target.leaving(), permit) {
        (Leaving::Yes, _) => "leaving",
        (Leaving::No, Permit::Use) => "in use",
        (Leaving::No, Permit::Probe) => "probed",
        (Leaving::No, Permit::Avoid) => "ejected",
    }
}

/// Lists the teams whose names start with the requested prefix.
pub async fn teams(context: Arc<OperatorContext>, request: Request) -> HandlerResult {
    let page = reply::parse_page_query(&request)?;
    let config = context.shared.config();
    let teams = &config.document.teams;
    let answer = wire::TeamsAnswer {
        config_version: config.version,
        total: teams.len() as u64,
        teams: teams
            .range(page.prefix.clone()..)
            .take_while(|(id, _)| id.starts_with(page.prefix.as_str()))
            .take(page.limit.unwrap_or(DEFAULT_LIMIT_ENTRIES))
            .map(|(id, team)| team_status(id, team))
            .collect(),
    };
    Ok(reply::json_response(StatusCode::OK, &answer))
}

fn team_status(id: &TeamId, team: &Team) -> wire::TeamStatus {
    wire::TeamStatus {
        team: id.clone(),
        priority: u32::from(team.priority),
        weight: team.weight,
        limit_requests_per_s: team.limit_requests_per_s,
        limit_tokens_per_s: team.limit_tokens_per_s,
        limit_open_requests: team.limit_open_requests,
    }
}
