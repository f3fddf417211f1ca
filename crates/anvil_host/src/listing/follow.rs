//! Reads the list where this host is a reader, and asks a reader where it isn't.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    }, //
};

use anvil_core::{
    id::HostId,
    rendezvous, //
};
use anvil_wire::{
    codec,
    generated::peer_list::{
        ListQuestion,
        ListReply, //
    }, //
};
use derive_more::{
    Display,
    Error,
    From, //
};
use tokio_util::sync::CancellationToken;

use super::{
    convert,
    snapshot::{
        DigestMismatch,
        EMPTY_DIGEST,
        Snapshot, //
    },
};
use crate::{
    peers::Rejected,
    port::{
        CallError,
        Listing,
        PeerAddress, //
    },
    shared::{
        LifecycleStage, //
        Shared,
    },
};

/// Path of questions for the list on the peers' listener.
pub const PATH: &str = "list";
/// Hosts of a data centre that read the list from the platform.
const READERS_PER_DATA_CENTRE: usize = 2;
/// Longest time for which a reader holds a question while nothing changes.
const WAIT: Duration = Duration::from_secs(5);
/// How often a held question looks whether this host stops.
const STAGE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time for a reader's answer beyond the wait.
const ANSWER_SLACK: Duration = Duration::from_secs(1);
/// Age beyond which a reader's list says that the reader has lost the platform.
const STALE_AGE: Duration = Duration::from_secs(3);
/// Pause after the list could be had from nobody.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Why the list could not be had.
#[derive(Debug, Display, Error, From)]
enum ReadError {
    Call(CallError),
    Codec(codec::CodecError),
    Diverged(DigestMismatch),
    #[display("the list of {peer} is {age:?} old")]
    #[from(ignore)]
    Stale {
        peer: HostId,
        age: Duration,
    },
}

/// Keeps the list current until the host stops.
pub async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = follow(&shared) => {}
    }
}

async fn follow(shared: &Shared) {
    loop {
        let readers = readers(shared);
        let is_reader = readers.is_empty();
        let had = !is_reader && ask_any(shared, &readers).await;
        if had {
            publish(shared);
            continue;
        }
        let pause = match read(shared).await {
            Ok(()) if is_reader => shared.settings.membership.list_interval,
            Ok(()) => RETRY_PAUSE,
            Err(error) => {
                spdlog::warn!("listing.read_failed", kv: { error: });
                RETRY_PAUSE
            }
        };
        publish(shared);
        tokio::time::sleep(pause).await;
    }
}

/// The readers to ask, best first; none where this host is a reader itself.
fn readers(shared: &Shared) -> Vec<PeerAddress> {
    let own = &shared.settings.host_id;
    let data_centre = &shared.settings.data_centre;
    let view = shared.membership.view();
    let peers: Vec<_> = view
        .peers
        .iter()
        .filter(|peer| peer.data_centre == *data_centre)
        .map(|peer| &peer.address)
        .collect();
    let names = peers.iter().map(|peer| &peer.id).chain([own]);
    let chosen = rendezvous::choose_many(
        &format!("list/{data_centre}"),
        names,
        READERS_PER_DATA_CENTRE,
    );
    if chosen.contains(&own) {
        return Vec::new();
    }
    let address = |id: &HostId| peers.iter().find(|peer| peer.id == *id);
    chosen
        .into_iter()
        .filter_map(address)
        .map(|peer| PeerAddress::clone(peer))
        .collect()
}

async fn ask_any(shared: &Shared, readers: &[PeerAddress]) -> bool {
    for reader in readers {
        match ask(shared, reader).await {
            Ok(()) => return true,
            Err(error) => {
                spdlog::warn!("listing.ask_failed", kv: { peer = reader.id.as_str(), error: });
            }
        }
    }
    false
}

async fn ask(shared: &Shared, reader: &PeerAddress) -> Result<(), ReadError> {
    let known = shared.listing.latest();
    // Before the first list is known, and after a stale one, an answer is wanted at once.
    let is_fresh = known.age(Instant::now()).is_some_and(|age| age < STALE_AGE);
    let wait = if is_fresh { WAIT } else { Duration::ZERO };
    let question = codec::encode(&ListQuestion {
        known: known.snapshot.digest(),
        wait_ms: wait.as_millis() as u64,
    })?;
    let answer = shared
        .ports
        .peers
        .call(reader, PATH, question, wait + ANSWER_SLACK)
        .await?;
    let reply: ListReply = codec::decode(&answer)?;
    let age = Duration::from_millis(reply.age_ms);
    if age > STALE_AGE {
        return Err(ReadError::Stale {
            peer: reader.id.clone(),
            age,
        });
    }
    let snapshot = if reply.digest == known.snapshot.digest() {
        Arc::clone(&known.snapshot)
    } else {
        Arc::new(known.snapshot.apply(convert::from_wire(reply))?)
    };
    let now = Instant::now();
    let fetched = now.checked_sub(age).unwrap_or(now);
    shared.listing.update(snapshot, fetched);
    Ok(())
}

async fn read(shared: &Shared) -> Result<(), ReadError> {
    let fetched = Instant::now();
    let known = Arc::clone(&shared.listing.latest().snapshot);
    let snapshot = match shared.ports.host_list.list().await? {
        Listing::Unchanged => known,
        Listing::Entries(entries) => {
            // Through the change, so that the lists that are kept share what they have in common.
            let delta = Snapshot::new(entries).delta_from(&known);
            Arc::new(known.apply(delta)?)
        }
    };
    shared.listing.update(snapshot, fetched);
    Ok(())
}

/// Hands the hosts of the list to the table of hosts.
fn publish(shared: &Shared) {
    let known = shared.listing.latest();
    if let Some(fetched) = known.fetched {
        shared.membership.apply_list(&known.snapshot, fetched);
    }
}

/// Answers a peer's question for the list, once it differs from the known one or the wait is over.
///
/// # Errors
///
/// This host has no list yet.
pub async fn handle_list_request(
    shared: Arc<Shared>,
    question: ListQuestion,
) -> Result<ListReply, Rejected> {
    let wait = Duration::from_millis(question.wait_ms).min(WAIT);
    let mut changes = shared.listing.changes();
    let until = tokio::time::Instant::now() + wait;
    while *changes.borrow_and_update() == question.known
        && shared.stage() != LifecycleStage::Draining
    {
        let slice = until.min(tokio::time::Instant::now() + STAGE_CHECK_INTERVAL);
        let changed = tokio::time::timeout_at(slice, changes.changed()).await;
        if changed.is_err() && tokio::time::Instant::now() >= until {
            break;
        }
    }
    let (delta, known) = shared.listing.delta_from(question.known);
    let Some(age) = known.age(Instant::now()) else {
        return Err(Rejected::Refused("this host has no list yet"));
    };
    debug_assert!(delta.base == question.known || delta.base == EMPTY_DIGEST);
    Ok(convert::to_wire(delta, age))
}
