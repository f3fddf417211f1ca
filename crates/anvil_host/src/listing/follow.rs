//! Keeps the list current. Readers fetch it from the platform, other hosts from a reader.

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

/// Path of requests for the list on the peers' listener.
pub const PATH: &str = "list";
/// Number of hosts of a data centre that fetch the list from the platform.
const READERS_PER_DATA_CENTRE: usize = 2;
/// Longest time for which a reader holds a request open while the list does not change.
const LONG_POLL_WAIT: Duration = Duration::from_secs(5);
/// Time between two checks whether this host is stopping, while a request is held open.
const STAGE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time allowed for a reader's answer beyond the requested wait.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);
/// Age beyond which a reader's list shows that the reader can't reach the platform.
const STALE_AGE: Duration = Duration::from_secs(3);
/// Pause after no reader answered, or after the platform did not answer.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Why the list could not be fetched.
#[derive(Debug, Display, Error, From)]
enum FetchError {
    Call(CallError),
    Codec(codec::CodecError),
    Diverged(DigestMismatch),
    #[display("the list of {peer} is too old: {age:?}")]
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
        let reader_answered = !is_reader && fetch_from_any_reader(shared, &readers).await;
        if reader_answered {
            apply_to_membership(shared);
            continue;
        }
        let pause = match fetch_from_platform(shared).await {
            Ok(()) if is_reader => shared.settings.membership.list_interval,
            Ok(()) => RETRY_PAUSE,
            Err(error) => {
                spdlog::warn!("listing.read_failed", kv: { error: });
                RETRY_PAUSE
            }
        };
        apply_to_membership(shared);
        tokio::time::sleep(pause).await;
    }
}

/// Returns the readers to ask, best first; empty if this host is a reader itself.
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

async fn fetch_from_any_reader(shared: &Shared, readers: &[PeerAddress]) -> bool {
    for reader in readers {
        match fetch_from_reader(shared, reader).await {
            Ok(()) => return true,
            Err(error) => {
                spdlog::warn!("listing.ask_failed", kv: { peer = reader.id.as_str(), error: });
            }
        }
    }
    false
}

async fn fetch_from_reader(shared: &Shared, reader: &PeerAddress) -> Result<(), FetchError> {
    let known = shared.listing.latest();
    // Before the first list is known, and while the known one is stale, the reader must answer at
    // once.
    let is_fresh = known.age(Instant::now()).is_some_and(|age| age < STALE_AGE);
    let wait = if is_fresh {
        LONG_POLL_WAIT
    } else {
        Duration::ZERO
    };
    let request = codec::encode(&ListQuestion {
        known: known.snapshot.digest(),
        wait_ms: wait.as_millis() as u64,
    })?;
    let answer = shared
        .ports
        .peers
        .call(reader, PATH, request, wait + ANSWER_MARGIN)
        .await?;
    let reply: ListReply = codec::decode(&answer)?;
    let age = Duration::from_millis(reply.age_ms);
    if age > STALE_AGE {
        return Err(FetchError::Stale {
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

async fn fetch_from_platform(shared: &Shared) -> Result<(), FetchError> {
    let fetched = Instant::now();
    let known = Arc::clone(&shared.listing.latest().snapshot);
    let snapshot = match shared.ports.host_list.list().await? {
        Listing::Unchanged => known,
        Listing::Entries(entries) => {
            // Applying a delta lets the kept lists share the memory of their common entries.
            let delta = Snapshot::new(entries).delta_from(&known);
            Arc::new(known.apply(delta)?)
        }
    };
    shared.listing.update(snapshot, fetched);
    Ok(())
}

/// Applies the hosts of the newest list to the membership table.
fn apply_to_membership(shared: &Shared) {
    let known = shared.listing.latest();
    if let Some(fetched) = known.fetched {
        shared.membership.apply_list(&known.snapshot, fetched);
    }
}

/// Answers a peer's request for the list once the list differs from the one that the peer knows,
/// the wait is over, or this host is stopping.
///
/// # Errors
///
/// Refuses the request if this host has no list yet.
pub async fn handle_list_request(
    shared: Arc<Shared>,
    request: ListQuestion,
) -> Result<ListReply, Rejected> {
    let wait = Duration::from_millis(request.wait_ms).min(LONG_POLL_WAIT);
    let mut changes = shared.listing.changes();
    let deadline = tokio::time::Instant::now() + wait;
    while *changes.borrow_and_update() == request.known
        && shared.stage() != LifecycleStage::Draining
    {
        let next_check_at = deadline.min(tokio::time::Instant::now() + STAGE_CHECK_INTERVAL);
        let changed = tokio::time::timeout_at(next_check_at, changes.changed()).await;
        if changed.is_err() && tokio::time::Instant::now() >= deadline {
            break;
        }
    }
    let (delta, known) = shared.listing.delta_from(request.known);
    let Some(age) = known.age(Instant::now()) else {
        return Err(Rejected::Refused("this host has no list yet"));
    };
    debug_assert!(delta.base == request.known || delta.base == EMPTY_DIGEST);
    Ok(convert::to_wire(delta, age))
}
