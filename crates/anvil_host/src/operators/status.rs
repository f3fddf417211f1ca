//! Shows the state of the host.

use std::sync::Arc;

use anvil_observe::{
    log::Logs,
    metrics::process, //
};
use anvil_wire::generated::operators as wire;
use http::StatusCode;
use smol_str::{
    SmolStr,
    ToSmolStr, //
};
use viz::Request;

use super::{
    HandlerResult,
    OperatorContext,
    reply, //
};
use crate::{
    membership,
    shared::{
        ConfigView,
        LifecycleStage, //
    }, //
};

/// Returns the state of the host, and the fleet as it sees it.
pub async fn status(context: Arc<OperatorContext>, _request: Request) -> HandlerResult {
    let shared = &context.shared;
    let settings = &shared.settings;
    let answer = wire::Status {
        host: settings.host_id.clone(),
        data_centre: settings.data_centre.clone(),
        program_version: SmolStr::new_static(env!("CARGO_PKG_VERSION")),
        incarnation: shared.incarnation,
        uptime_ms: u64::try_from(shared.started.elapsed().as_millis()).unwrap_or(u64::MAX),
        stage: stage(shared.stage()),
        open_requests: *shared.open_requests().borrow() as u64,
        config: config(&shared.config()),
        cpu_time_s: process::cpu_time_s(),
        memory_bytes: process::memory_bytes(),
        explained_requests: shared.explain.request_count() as u64,
        log: Logs::installed().map(|logs| wire::LoggedStatus {
            levels: logs.levels().to_smolstr(),
            dropped_lines: logs.dropped_lines(),
        }),
        peers: peers(&shared.membership.view()),
    };
    Ok(reply::json_response(StatusCode::OK, &answer))
}

fn stage(stage: LifecycleStage) -> wire::Stage {
    match stage {
        LifecycleStage::Starting => wire::Stage::Starting,
        LifecycleStage::Serving => wire::Stage::Serving,
        LifecycleStage::Draining => wire::Stage::Draining,
    }
}

fn peers(view: &membership::MembershipView) -> Vec<wire::PeerStatus> {
    let list_age = view.list_fetched_at.map(|fetched| fetched.elapsed());
    let peers = view.peers.iter().map(|peer| wire::PeerStatus {
        host: peer.address.id.clone(),
        address: peer.address.address.to_smolstr(),
        data_centre: peer.data_centre.clone(),
        listed_age_ms: list_age.and_then(|age| u64::try_from(age.as_millis()).ok()),
    });
    peers.collect()
}

fn config(view: &ConfigView) -> wire::ConfigStatus {
    let document = &view.document;
    wire::ConfigStatus {
        version: view.version,
        team_count: document.teams.len() as u64,
        target_count: document.targets.len() as u64,
        model_count: document.models.len() as u64,
        service_count: document.services.len() as u64,
    }
}
