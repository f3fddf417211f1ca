//! Probes one host per interval: first directly, then through other hosts if it does not answer.

use std::{
    sync::Arc,
    time::Instant, //
};

use anvil_core::{
    id::HostId,
    membership::{
        Fact,
        probe::ProbeOrder, //
    }, //
};
use anvil_wire::{
    codec,
    generated::peer_gossip::{
        GossipAnswer,
        GossipMessage, //
    }, //
};
use futures::future::join_all;
use rand::seq::IteratorRandom;
use tokio_util::sync::CancellationToken;

use super::convert::{
    from_wire,
    to_wire, //
};
use crate::{
    peers::Rejected,
    port::PeerAddress,
    shared::Shared, //
};

/// Path of gossip on the peers' listener.
pub const PATH: &str = "gossip";
/// Number of peers that are notified of a planned stop directly; gossip spreads it to the others.
const LEAVE_FANOUT: usize = 5;

/// Probes peers until the host stops.
pub async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    let probes = async {
        let mut order = ProbeOrder::default();
        let mut interval = tokio::time::interval(shared.settings.membership.probe_interval);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let changes = shared.membership.table().advance(Instant::now());
            shared.membership.publish_changes(changes);
            probe_next(&shared, &mut order).await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = probes => {}
    }
}

/// Answers a peer's probe.
///
/// # Errors
///
/// Never returns an error at present. The signature is that of the handlers of peer messages.
pub async fn handle_gossip(
    shared: Arc<Shared>,
    message: GossipMessage,
) -> Result<GossipAnswer, Rejected> {
    merge_facts(&shared, message.facts);
    let reached = match message.probe {
        Some(host) => probe_for_other(&shared, &host).await,
        None => true,
    };
    Ok(GossipAnswer {
        facts: facts_to_send(&shared, None),
        reached,
    })
}

/// Marks this host as leaving and notifies a few random peers.
pub async fn announce_leave(shared: &Shared) {
    shared.membership.table().leave();
    shared.membership.publish(None);
    let peers: Vec<_> = shared
        .membership
        .view()
        .peers
        .iter()
        .map(|peer| peer.address.clone())
        .sample(&mut rand::rng(), LEAVE_FANOUT);
    join_all(peers.iter().map(|peer| send_probe(shared, peer, None))).await;
}

async fn probe_next(shared: &Arc<Shared>, order: &mut ProbeOrder) {
    let peer = {
        let view = shared.membership.view();
        let live = view.peers.iter().map(|peer| &peer.address.id);
        order
            .next(live, &mut rand::rng())
            .and_then(|host| view.peer(&host).map(|peer| peer.address.clone()))
    };
    let Some(peer) = peer else { return };
    if send_probe(shared, &peer, None).await.is_some() {
        return;
    }
    let helpers: Vec<_> = shared
        .membership
        .view()
        .peers
        .iter()
        .map(|peer| peer.address.clone())
        .filter(|helper| *helper != peer)
        .sample(&mut rand::rng(), shared.settings.membership.indirect_probes);
    let calls = helpers
        .iter()
        .map(|helper| send_probe(shared, helper, Some(&peer.id)));
    let reached = join_all(calls).await.contains(&Some(true));
    if !reached {
        shared.membership.record_unreachable(&peer.id);
    }
}

async fn probe_for_other(shared: &Shared, host: &HostId) -> bool {
    let peer = shared
        .membership
        .view()
        .peer(host)
        .map(|peer| peer.address.clone());
    match peer {
        Some(peer) => send_probe(shared, &peer, None).await.is_some(),
        None => false,
    }
}

/// Probes the peer, or asks it to probe the host `probe`. Returns whether the probed host was
/// reached, or `None` if the peer does not answer.
async fn send_probe(shared: &Shared, peer: &PeerAddress, probe: Option<&HostId>) -> Option<bool> {
    let message = GossipMessage {
        facts: facts_to_send(shared, Some(&peer.id)),
        probe: probe.cloned(),
    };
    let body = codec::encode(&message).ok()?;
    let timeout = shared.settings.membership.probe_timeout;
    // A peer that probes another host itself waits up to the timeout for that host.
    let timeout = if probe.is_some() {
        timeout * 2
    } else {
        timeout
    };
    let answer = shared.ports.peers.call(peer, PATH, body, timeout).await;
    let answer: GossipAnswer = codec::decode(&answer.ok()?).ok()?;
    merge_facts(shared, answer.facts);
    Some(answer.reached)
}

fn merge_facts(shared: &Shared, facts: Vec<anvil_wire::generated::peer_gossip::HostFact>) {
    let facts: Vec<Fact> = facts.into_iter().filter_map(from_wire).collect();
    shared.membership.merge(facts, Instant::now());
}

/// Returns the facts for a message, with the fact about the receiver that it may have to refute.
fn facts_to_send(
    shared: &Shared,
    receiver: Option<&HostId>,
) -> Vec<anvil_wire::generated::peer_gossip::HostFact> {
    let mut table = shared.membership.table();
    let mut facts = table.facts_to_send();
    let fact_about_receiver = receiver.and_then(|host| table.fact_for(host));
    facts.extend(fact_about_receiver);
    facts.iter().map(to_wire).collect()
}
