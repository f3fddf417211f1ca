//! Connections to targets through another host, for a host that is cut off from them.
//!
//! The other host only passes bytes on: it opens a connection to the target that the cut-off host
//! names, never through a third host. All decisions on a request stay with the host that took it from
//! its caller, so that a request is sent, counted and repeated as on a connection of its own. A tunnel
//! carries one request. Both hosts prove by their registered keys who they are.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    id::{
        HostId,
        ServiceId,
        TargetId, //
    },
    intermediary::{
        Candidate,
        Failure,
        Intermediaries, //
    },
    reachability::Belief,
    replay,
};
use derive_more::Display;
use futures::{
    StreamExt,
    future,
    stream, //
};
use smol_str::{
    SmolStr,
    format_smolstr, //
};
use tokio::{
    io,
    sync::{
        Notify,
        watch, //
    },
    time::{
        Instant,
        timeout,
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
        RequestHead,
        decode_query_value,
        encode_query_value, //
    },
    intake::Place,
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
/// Longest time for the answer of one host: a few round trips and the time to accept, at both ends.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which the other host tries to reach the target.
const TARGET_TIMEOUT: Duration = Duration::from_millis(150);
/// Time without an answer of the target after which the other host examines its own links meanwhile.
const DOUBT_TIME: Duration = Duration::from_millis(50);
/// Most hosts that are asked in one search.
const SEARCHED_HOSTS_MAX: usize = 24;
/// Hosts that are asked at the same time in a search.
const SEARCHED_AT_ONCE: usize = 4;
/// Longest time of a search.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(1500);

/// What a host knows of tunnels, as the one that asks and as the one that serves.
#[derive(Debug)]
pub struct Tunnels {
    /// Number of the last request of this run.
    last_sequence: Cell<u64>,
    /// Other hosts through which this one reaches the targets of a service.
    intermediaries: RefCell<HashMap<ServiceId, Intermediaries>>,
    /// Notified when a service may lack intermediaries.
    wanted: Notify,
    /// Incremented when a search finds an intermediary, when it ends, and when the cut ends.
    searched: watch::Sender<u64>,
    /// Numbers that were seen from each host, with the key of its run.
    seen: RefCell<HashMap<HostId, (DatagramKey, replay::Window)>>,
}

impl Default for Tunnels {
    fn default() -> Self {
        Self {
            last_sequence: Cell::new(0),
            intermediaries: RefCell::default(),
            wanted: Notify::new(),
            searched: watch::Sender::new(0),
            seen: RefCell::default(),
        }
    }
}

impl Tunnels {
    /// Forgets the intermediaries for a service, and begins to search others: this host has just found
    /// itself cut off from it.
    pub fn begin(&self, service: &ServiceId) {
        let mut intermediaries = self.intermediaries.borrow_mut();
        intermediaries.insert(service.clone(), Intermediaries::default());
        self.wanted.notify_one();
    }

    /// Wakes the requests that wait for a search: this host reaches a service again.
    pub fn end(&self) {
        self.searched.send_modify(|count| *count += 1);
    }

    /// Returns whether the hosts that were asked last reached no target of a service either.
    pub fn found_none(&self, service: &ServiceId) -> bool {
        self.with(service, |known| known.found_none())
    }

    fn with<T>(&self, service: &ServiceId, act: impl FnOnce(&mut Intermediaries) -> T) -> T {
        let mut intermediaries = self.intermediaries.borrow_mut();
        act(intermediaries.entry(service.clone()).or_default())
    }

    fn record_failure(
        &self,
        gateway: &Gateway,
        service: &ServiceId,
        peer: &HostId,
        refusal: &Refusal,
    ) {
        let failure = match refusal {
            Refusal::Silent(_) => Failure::Silent,
            Refusal::Refused(_) | Refusal::Target(_) => Failure::Refused,
        };
        let now = gateway.uptime();
        self.with(service, |known| known.record_failure(peer, failure, now));
    }

    /// Waits until a search has found an intermediary for a service or has ended. Returns `false` at
    /// once if none may begin yet, at the end of the cut, and at `deadline`.
    async fn wait_for_search(
        &self,
        gateway: &Gateway,
        service: &ServiceId,
        deadline: Instant,
    ) -> bool {
        let now = gateway.uptime();
        if !self
            .with(service, |known| known.time_until_search(now))
            .is_zero()
        {
            return false;
        }
        let mut searched = self.searched.subscribe();
        searched.mark_unchanged();
        self.wanted.notify_one();
        let found = searched.wait_for(|_| {
            if gateway.link.belief(service) != Belief::CutOff {
                return true;
            }
            self.with(service, |known| {
                known.pick(0).is_some() || !known.time_until_search(now).is_zero()
            })
        });
        timeout_at(deadline, found).await.is_ok()
            && self.with(service, |known| known.pick(0).is_some())
    }
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

/// Opens a connection to a target through another host that reaches it. Waits up to `limit` for a
/// host that does.
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
    let tunnels = &gateway.tunnels;
    let deadline = Instant::now() + limit;
    let mut asked = 0;
    while Instant::now() < deadline {
        let random = gateway.random_u64();
        let peer = tunnels.with(&service, |known| known.pick(random).cloned());
        let Some(peer) = peer else {
            if tunnels.wait_for_search(gateway, &service, deadline).await {
                continue;
            }
            break;
        };
        asked += 1;
        match ask(gateway, &peer, target, deadline).await {
            Ok(connection) => {
                gateway.metrics.record_connection("through_peer");
                return Ok(connection);
            }
            Err(Refusal::Target(error)) => {
                gateway.metrics.record_connection("failed_through_peer");
                return Err(error);
            }
            Err(refusal) => tunnels.record_failure(gateway, &service, &peer, &refusal),
        }
    }
    gateway.metrics.record_connection("no_peer");
    Err(ConnectError::CutOff { asked_hosts: asked })
}

/// Searches intermediaries for the services from which this host is cut off. Never returns.
pub async fn maintain_intermediaries(gateway: Rc<Gateway>) {
    loop {
        let wanted = gateway.tunnels.wanted.notified();
        let now = gateway.uptime();
        let lacking = gateway.link.cut_off_services().into_iter();
        let lacking: Vec<(ServiceId, Duration)> = lacking
            .filter_map(|service| {
                gateway.tunnels.with(&service, |known| {
                    let wait = known.time_until_search(now);
                    known.needs_search().then_some((service.clone(), wait))
                })
            })
            .collect();
        let due = lacking.iter().filter(|(_, wait)| wait.is_zero());
        let searches: Vec<_> = due.map(|(service, _)| search(&gateway, service)).collect();
        if !searches.is_empty() {
            future::join_all(searches).await;
            continue;
        }
        match lacking.iter().map(|(_, wait)| *wait).min() {
            // A time-out is the moment at which the next search is due.
            Some(wait) => drop(timeout(wait, wanted).await),
            None => wanted.await,
        }
    }
}

/// Asks hosts of the whole fleet, some at a time, until enough of them have opened a connection to a
/// target of a service.
async fn search(gateway: &Gateway, service: &ServiceId) {
    let tunnels = &gateway.tunnels;
    let started_at = Instant::now();
    let deadline = started_at + SEARCH_TIMEOUT;
    let mut targets = gateway.targets.of_service(service);
    targets.retain(|target| target.is_listed_ready());
    targets.sort_by_cached_key(|_| gateway.random_u64());
    let mut hosts = search_order(gateway, service);
    hosts.truncate(SEARCHED_HOSTS_MAX);
    // One target alone may be down.
    let asked = hosts.into_iter().zip(targets.iter().cycle());
    let mut answers = stream::iter(asked)
        .map(|(peer, target)| async move {
            let answer = ask(gateway, &peer, target, deadline).await;
            (peer, answer)
        })
        .buffer_unordered(SEARCHED_AT_ONCE);
    let mut asked_hosts = 0;
    let mut found_hosts = 0;
    while let Some((peer, answer)) = answers.next().await {
        asked_hosts += 1;
        match answer {
            Ok(connection) => {
                drop(connection);
                found_hosts += 1;
                tunnels.with(service, |known| known.record_opened(&peer));
                tunnels.searched.send_modify(|count| *count += 1);
            }
            Err(refusal) => tunnels.record_failure(gateway, service, &peer, &refusal),
        }
        if !tunnels.with(service, |known| known.needs_search()) {
            break;
        }
    }
    drop(answers);
    let now = gateway.uptime();
    let next_search = tunnels.with(service, |known| {
        known.record_search(now);
        known.time_until_search(now)
    });
    gateway.metrics.record_tunnel_search(found_hosts > 0);
    spdlog::info!("tunnel.searched", kv: {
        service = service.as_str(),
        asked_hosts,
        found_hosts,
        took_ms = started_at.elapsed().as_millis() as u64,
        next_search_ms = next_search.as_millis() as u64,
    });
    tunnels.searched.send_modify(|count| *count += 1);
}

/// Returns the hosts to ask in a search for a service, in random order.
fn search_order(gateway: &Gateway, service: &ServiceId) -> Vec<HostId> {
    let own = &gateway.settings.data_centre;
    let peers = gateway.peers.borrow().listed_peers();
    let candidates = peers.into_iter().map(|(host, data_centre)| Candidate {
        host,
        is_near: data_centre == *own,
    });
    let now = gateway.uptime();
    gateway.tunnels.with(service, |known| {
        known.search_order(candidates, now, || gateway.random_unit())
    })
}

/// Asks a host for a tunnel to a target. A refusal is logged.
async fn ask(
    gateway: &Gateway,
    peer: &HostId,
    target: &Target,
    deadline: Instant,
) -> Result<Connection, Refusal> {
    let asked_at = Instant::now();
    let answer = exchange(gateway, peer, target, deadline).await;
    if let Err(refusal) = &answer {
        let data_centre = gateway.peers.borrow().data_centre_of(peer);
        spdlog::info!("tunnel.refused", kv: {
            peer = peer.as_str(),
            data_centre = data_centre.as_deref().unwrap_or_default(),
            target = target.id.as_str(),
            waited_ms = asked_at.elapsed().as_millis() as u64,
            reason: = refusal,
        });
    }
    answer
}

async fn exchange(
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
    let sequence = gateway.tunnels.last_sequence.get() + 1;
    gateway.tunnels.last_sequence.set(sequence);
    let query = render_query(sequence, &target.id);
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
pub(super) async fn serve(
    gateway: &Gateway,
    mut connection: Connection,
    place: Rc<Place>,
    head: &RequestHead,
) {
    let status = match open_for_peer(gateway, head).await {
        Ok(upstream) => {
            // Tunnels have a limit of their own.
            connection.leave_place();
            drop(place);
            return relay(gateway, connection, upstream).await;
        }
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
    let has_room = (gateway.open_tunnels.get() as usize) < gateway.budget.tunnels;
    let may_serve = gateway.phase() == Phase::Serving && has_room;
    let Some(target) = gateway.targets.by_id(&target).filter(|_| may_serve) else {
        return Err("503 Service Unavailable");
    };
    let service = target.entry.borrow().service.clone();
    if gateway.link.belief(&service) == Belief::CutOff {
        return Err("503 Service Unavailable");
    }
    let error = match open_examined(gateway, &target, &service).await {
        Ok(connection) => return Ok(connection),
        Err(error) => error,
    };
    let belief = gateway.link.settled_belief(&service).await;
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

/// Opens a connection to a target for a peer. If it takes long or fails, this host begins to examine its
/// own links: it may be cut off as well, without requests that show it.
async fn open_examined(
    gateway: &Gateway,
    target: &Target,
    service: &ServiceId,
) -> Result<Connection, ConnectError> {
    let mut opened = pin!(link::open_directly(gateway, target, TARGET_TIMEOUT));
    let early = timeout(DOUBT_TIME, opened.as_mut()).await;
    if !matches!(early, Ok(Ok(_))) {
        gateway.link.suspect(service);
    }
    match early {
        Ok(opened) => opened,
        Err(_) => opened.await,
    }
}

/// Renders the query of a request for a tunnel.
fn render_query(sequence: u64, target: &TargetId) -> SmolStr {
    let target = encode_query_value(target);
    format_smolstr!("?sequence={sequence}&target={target}")
}

/// Returns the target that a request for a tunnel names. Returns `None` if the request isn't one of a
/// known host to this one, or came before.
fn authenticate(gateway: &Gateway, head: &RequestHead) -> Option<TargetId> {
    let host = HostId::new(head.headers.text(HOST_HEADER)?);
    let query = head.target.strip_prefix(PATH)?;
    let (sequence, target) = query.strip_prefix("?sequence=")?.split_once("&target=")?;
    let sequence = sequence.parse().ok()?;
    let target = decode_query_value(target)?;
    let key = gateway.peers.borrow().key_of(&host)?;
    let own_id = gateway.settings.host_id.as_bytes();
    let parts = [LABEL.as_bytes(), own_id, query.as_bytes()];
    if !key.verify(&parts, head.headers.text(TAG_HEADER)?) {
        return None;
    }
    let mut seen = gateway.tunnels.seen.borrow_mut();
    let (seen_key, window) = seen
        .entry(host)
        .or_insert_with(|| (key, replay::Window::default()));
    if *seen_key != key {
        (*seen_key, *window) = (key, replay::Window::default());
    }
    window.accept(sequence).then_some(target)
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
