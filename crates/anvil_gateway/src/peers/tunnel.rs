//! Connections to targets through another host, for a host that is cut off from them.
//!
//! The other host only passes bytes on: it opens a connection to the target that the cut-off host
//! names, never through a third host. All decisions on a request stay with the host that took it from
//! its caller, so that a request is sent, counted and repeated as on a connection of its own. A tunnel
//! carries one request. Both hosts prove by their registered keys who they are.

use std::{
    collections::HashMap,
    time::Duration, //
};

use anvil_core::{
    id::{
        DataCentreId,
        HostId,
        ServiceId,
        TargetId, //
    },
    reachability::Belief,
    replay,
};
use derive_more::Display;
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use tokio::{
    io,
    time::{
        Instant,
        timeout_at, //
    },
};

use crate::{
    gateway::{
        CountGuard,
        Gateway,
        Phase, //
    },
    http1::{
        ConnectError,
        Connection,
        RequestHead, //
    },
    link,
    target::Target, //
};

use super::{
    DatagramKey,
    HOST_HEADER,
    TAG_HEADER, //
};

#[cfg(test)]
mod tests;

/// Path of a request for a tunnel, without its query.
pub(super) const PATH: &str = "/v1/tunnel";
/// Label of what the tag of a request authenticates.
const LABEL: &str = "tunnel";
/// Most tunnels that a host serves at the same time. Each takes two descriptors.
const TUNNELS_MAX: u32 = 512;
/// Most hosts that are asked for one connection.
const HOSTS_ASKED_MAX: usize = 8;
/// Longest time for the answer of one host: a few round trips and the time to accept, at both ends.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which the other host tries to reach the target.
const TARGET_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which a host that refused is not asked again: most are cut off too, for seconds.
const REFUSED_TIME: Duration = Duration::from_secs(2);
/// Time for which no host is asked after all that were asked refused.
const NO_HOST_TIME: Duration = Duration::from_millis(300);
/// Time for which a host that did not answer is not asked again: it may have stopped for good.
const SILENT_TIME: Duration = Duration::from_secs(5);

/// What a host knows of tunnels, as the one that asks and as the one that serves.
#[derive(Debug, Default)]
pub struct Tunnels {
    /// Number of the last request of this run.
    last_sequence: u64,
    /// Services for which no host is asked until a moment.
    paused_until: HashMap<ServiceId, Instant>,
    /// Hosts that are not asked until a moment, by service.
    refused_until: HashMap<(HostId, ServiceId), Instant>,
    /// Numbers that were seen from each host, with the key of its run.
    seen: HashMap<HostId, (DatagramKey, replay::Window)>,
}

/// Why another host did not open a tunnel.
#[derive(Debug, Display)]
enum Refusal {
    /// The host serves no tunnels now.
    #[display("status {_0}")]
    Refused(u16),
    /// The host did not answer.
    #[display("no answer: {_0}")]
    Silent(SmolStr),
    /// The host could not reach the target.
    #[display("{_0}")]
    Target(ConnectError),
}

/// Opens a connection to a target through another host that reaches it.
///
/// # Errors
///
/// Returns a [`ConnectError`] if no host that was asked reaches the target.
pub async fn open(
    gateway: &Gateway,
    target: &Target,
    limit: Duration,
) -> Result<Connection, ConnectError> {
    let service = target.entry.borrow().service.clone();
    let deadline = Instant::now() + limit;
    let mut asked = 0;
    for (peer, data_centre) in hosts_to_ask(gateway, &service) {
        if Instant::now() >= deadline {
            break;
        }
        asked += 1;
        let asked_at = Instant::now();
        let refusal = match ask(gateway, &peer, target, deadline).await {
            Ok(connection) => {
                gateway.metrics.record_connection("through_peer");
                return Ok(connection);
            }
            Err(refusal) => refusal,
        };
        spdlog::info!("tunnel.refused", kv: {
            peer = peer.as_str(),
            data_centre = data_centre.as_str(),
            target = target.id.as_str(),
            asked_hosts = asked,
            waited_ms = asked_at.elapsed().as_millis() as u64,
            reason: = refusal,
        });
        let pause = match refusal {
            Refusal::Target(error) => {
                gateway.metrics.record_connection("failed_through_peer");
                return Err(error);
            }
            Refusal::Refused(_) => REFUSED_TIME,
            Refusal::Silent(_) => SILENT_TIME,
        };
        let mut tunnels = gateway.tunnels.borrow_mut();
        let until = Instant::now() + pause;
        tunnels.refused_until.insert((peer, service.clone()), until);
    }
    gateway.metrics.record_connection("no_peer");
    if asked > 0 {
        let until = Instant::now() + NO_HOST_TIME;
        let mut tunnels = gateway.tunnels.borrow_mut();
        tunnels.paused_until.insert(service, until);
    }
    Err(ConnectError::CutOff { asked_hosts: asked })
}

/// Returns hosts to ask for a tunnel, in random order, those of the own data centre first.
fn hosts_to_ask(gateway: &Gateway, service: &ServiceId) -> Vec<(HostId, DataCentreId)> {
    let now = Instant::now();
    let mut tunnels = gateway.tunnels.borrow_mut();
    tunnels.paused_until.retain(|_, until| *until > now);
    if tunnels.paused_until.contains_key(service) {
        return Vec::new();
    }
    tunnels.refused_until.retain(|_, until| *until > now);
    let mut peers = gateway.peers.borrow().listed_peers();
    peers.retain(|(id, _)| {
        let key = (id.clone(), service.clone());
        !tunnels.refused_until.contains_key(&key)
    });
    peers.sort_by_cached_key(|(_, data_centre)| {
        let is_remote = *data_centre != gateway.settings.data_centre;
        (is_remote, gateway.random_u64())
    });
    peers.truncate(HOSTS_ASKED_MAX);
    peers
}

async fn ask(
    gateway: &Gateway,
    peer: &HostId,
    target: &Target,
    deadline: Instant,
) -> Result<Connection, Refusal> {
    let silent = |message: &str| Refusal::Silent(message.into());
    let deadline = deadline.min(Instant::now() + ANSWER_TIMEOUT);
    let (own_key, address) = {
        let peers = gateway.peers.borrow();
        let known = peers.own_key().zip(peers.address_of(peer));
        known.ok_or_else(|| silent("the host is not known"))?
    };
    let sequence = {
        let mut tunnels = gateway.tunnels.borrow_mut();
        tunnels.last_sequence += 1;
        tunnels.last_sequence
    };
    let query = format_smolstr!("?sequence={sequence}&target={}", target.id);
    let tag = own_key.tag(&[LABEL.as_bytes(), peer.as_bytes(), query.as_bytes()]);
    let request = format!(
        "POST {PATH}{query} HTTP/1.1\r\nHost: {address}\r\n{HOST_HEADER}: {}\r\n\
         {TAG_HEADER}: {tag}\r\nContent-Length: 0\r\n\r\n",
        gateway.settings.host_id
    );
    let answered = async {
        let limit = deadline.saturating_duration_since(Instant::now());
        let mut connection = Connection::open(address, limit)
            .await
            .map_err(|error| silent(&error.to_string()))?;
        let written = connection.write_all(request.as_bytes()).await;
        written.map_err(|error| silent(&error.to_string()))?;
        let head = connection.read_response().await;
        let head = head.map_err(|error| silent(&error.to_string()))?;
        match head.status {
            200 => Ok(connection.into_tunnel()),
            502 => Err(Refusal::Target(ConnectError::Failed {
                address: target.address(),
                source: io::ErrorKind::ConnectionRefused.into(),
            })),
            504 => Err(Refusal::Target(ConnectError::Timeout {
                address: target.address(),
                timeout: TARGET_TIMEOUT,
            })),
            status => Err(Refusal::Refused(status)),
        }
    };
    timeout_at(deadline, answered)
        .await
        .unwrap_or_else(|_| Err(silent("no answer within the timeout")))
}

/// Serves a host's request for a tunnel until one of its two connections ends.
pub(super) async fn serve(gateway: &Gateway, connection: Connection, head: &RequestHead) {
    let status = match open_for_peer(gateway, head).await {
        Ok(upstream) => return relay(gateway, connection, upstream).await,
        Err(status) => status,
    };
    let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    if let Err(error) = connection.write_all(answer.as_bytes()).await {
        spdlog::debug!("tunnel.answer_failed", kv: { error: });
    }
    connection.close(ANSWER_TIMEOUT).await;
}

/// Opens the connection that a request for a tunnel asks for. Returns the status to refuse with if it
/// can't be opened.
async fn open_for_peer(gateway: &Gateway, head: &RequestHead) -> Result<Connection, &'static str> {
    let Some(target) = authenticate(gateway, head) else {
        spdlog::warn!("peers.forged", kv: { reason = "request for a tunnel" });
        return Err("403 Forbidden");
    };
    let may_serve = gateway.phase() == Phase::Serving && gateway.open_tunnels.get() < TUNNELS_MAX;
    let Some(target) = gateway.targets.by_id(&target).filter(|_| may_serve) else {
        return Err("503 Service Unavailable");
    };
    let service = target.entry.borrow().service.clone();
    if gateway.link.belief(&service) == Belief::CutOff {
        return Err("503 Service Unavailable");
    }
    let error = match link::open_directly(gateway, &target, TARGET_TIMEOUT).await {
        Ok(connection) => return Ok(connection),
        Err(error) => error,
    };
    let belief = gateway.link.belief(&service);
    spdlog::info!("tunnel.target_failed", kv: {
        target = target.id.as_str(),
        belief:? = belief,
        error: = error,
    });
    match error {
        // This host may be cut off as well.
        _ if belief != Belief::Connected => Err("503 Service Unavailable"),
        ConnectError::Failed { source, .. }
            if source.kind() == io::ErrorKind::ConnectionRefused =>
        {
            Err("502 Bad Gateway")
        }
        _ => Err("504 Gateway Timeout"),
    }
}

/// Returns the target that a request for a tunnel names. Returns `None` if the request isn't one of a
/// known host to this one, or came before.
fn authenticate(gateway: &Gateway, head: &RequestHead) -> Option<TargetId> {
    let host = HostId::new(head.headers.text(HOST_HEADER)?);
    let query = head.target.strip_prefix(PATH)?;
    let (sequence, target) = query.strip_prefix("?sequence=")?.split_once("&target=")?;
    let sequence = sequence.parse().ok()?;
    let key = gateway.peers.borrow().key_of(&host)?;
    let own_id = gateway.settings.host_id.as_bytes();
    let parts = [LABEL.as_bytes(), own_id, query.as_bytes()];
    if !key.verify(&parts, head.headers.text(TAG_HEADER)?) {
        return None;
    }
    let mut tunnels = gateway.tunnels.borrow_mut();
    let (seen_key, window) = tunnels
        .seen
        .entry(host)
        .or_insert_with(|| (key, replay::Window::default()));
    if *seen_key != key {
        (*seen_key, *window) = (key, replay::Window::default());
    }
    window.accept(sequence).then(|| target.into())
}

/// Passes bytes on between a cut-off host and a target until one of them closes its connection.
async fn relay(gateway: &Gateway, connection: Connection, upstream: Connection) {
    let _count = CountGuard::begin(&gateway.open_tunnels);
    if connection
        .write_all(b"HTTP/1.1 200 OK\r\n\r\n")
        .await
        .is_err()
    {
        return;
    }
    let mut connection = connection.into_stream();
    let mut upstream = upstream.into_stream();
    let (mut from_host, mut to_host) = connection.split();
    let (mut from_target, mut to_target) = upstream.split();
    let ended_by_target = tokio::select! {
        // The other host gave the request up, so that the target need not go on.
        _ = io::copy(&mut from_host, &mut to_target) => false,
        ended = io::copy(&mut from_target, &mut to_host) => ended.is_ok(),
    };
    drop(upstream);
    if ended_by_target {
        Connection::new(connection).close(ANSWER_TIMEOUT).await;
    }
}
