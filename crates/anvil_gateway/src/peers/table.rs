//! Passes the operators' table on between hosts, so that not every host reads each change from the
//! store, and a host that can't reach the store has the change as well.
//!
//! The table travels in the store's encoding over a TCP connection to the address for peers. Both
//! sides prove by their registered keys who they are, and the answer belongs to one question.

use std::{
    rc::Rc,
    time::Duration, //
};

use anvil_core::{
    freshness::Limits,
    id::{
        HostId,
        Offset,
        Version, //
    },
};
use bytes::Bytes;
use derive_more::{
    Display,
    Error, //
};
use smol_str::{
    SmolStr,
    ToSmolStr,
    format_smolstr, //
};
use tokio::{net::TcpListener, time::sleep};

use crate::{
    calls::{
        CallKind,
        CallPool, //
    },
    clock::BootTime,
    gateway::Gateway,
    http1::{
        Connection,
        Headers,
        RequestHead,
        ResponseHead, //
    },
    intake::{
        Intake,
        Place,
        ledger::Stage, //
    },
    knowledge::Source,
    port::{
        Era,
        Position, //
    },
    run,
};

use packing::PackedTable;

use super::{
    DatagramKey,
    HOST_HEADER,
    TAG_HEADER,
    tunnel, //
};

pub(crate) mod packing;

#[cfg(test)]
mod tests;

/// Path of a question for a newer table, without its query.
const PATH: &str = "/v1/table";
const NONCE_HEADER: &str = "Anvil-Nonce";
const AGE_HEADER: &str = "Anvil-Age-Ms";
const ERA_HEADER: &str = "Anvil-Era";
/// Offset from which tables newer than the one of the answer are read, in the answer's era.
const NEXT_HEADER: &str = "Anvil-Next";
/// Authentication tag of [`NEXT_HEADER`]. The answer's own tag doesn't cover it, so that a release that
/// doesn't know it can check the answer.
const NEXT_TAG_HEADER: &str = "Anvil-Next-Tag";
/// Encodings that the asker accepts. A release that doesn't know the header sends the table as it is.
const ACCEPT_HEADER: &str = "Anvil-Accept";
/// Encoding of the answer's body.
const ENCODING_HEADER: &str = "Anvil-Encoding";
/// Time within which a question must arrive.
const QUESTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest head of a question.
const QUESTION_LIMIT_BYTES: usize = 4 << 10;
/// Longest time until an answer begins. The store is asked after it, within the bound on changes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Share of the bound on changes within which an answer must arrive. The rest is left for the store.
const COMPLETION_SHARE: f64 = 0.6;
/// Longest random delay before a question, which spreads the questions after a change.
const QUESTION_DELAY_MAX: Duration = Duration::from_millis(100);
/// Labels of what the tags authenticate.
const QUESTION_LABEL: &str = "table question";
const ANSWER_LABEL: &str = "table answer";
const NEXT_LABEL: &str = "table position";

/// Why a peer's table could not be had.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub(super) enum FetchError {
    /// The peer did not answer.
    #[display("no answer: {message}")]
    NoAnswer {
        /// Description of the cause.
        message: SmolStr,
    },
    /// The peer refused, or has no newer table.
    #[display("status {status}")]
    Refused {
        /// HTTP status of the answer.
        status: u16,
    },
    /// The answer has no valid tag, or can't be decoded.
    #[display("invalid answer: {message}")]
    Invalid {
        /// Description of the fault.
        message: SmolStr,
    },
}

/// Serves this host's table, and tunnels to targets, to its peers. Never returns.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    let intake = Intake::new("peers", gateway.budget.peers);
    run::accept_all(listener, intake, |connection, place| {
        serve_connection(Rc::clone(&gateway), connection, place)
    })
    .await;
}

async fn serve_connection(gateway: Rc<Gateway>, mut connection: Connection, place: Rc<Place>) {
    let question = tokio::select! {
        biased;
        question = connection.read_request(
            &gateway.run_clock,
            QUESTION_LIMIT_BYTES,
            QUESTION_TIMEOUT,
            QUESTION_TIMEOUT,
        ) => question,
        () = place.ended() => return,
    };
    let Ok(Some(head)) = question else {
        return;
    };
    place.set_stage(Stage::Complete);
    if head.path() == tunnel::PATH {
        return tunnel::serve(&gateway, connection, place, &head).await;
    }
    let answer = answer(&gateway, &head);
    let began_at = BootTime::now();
    let written = answer.write(&connection).await;
    spdlog::info!("table.answered", kv: {
        peer = head.headers.text(HOST_HEADER).unwrap_or_default(),
        version = gateway.table_cache.version(),
        answer_bytes = answer.body.len(),
        took_ms = began_at.elapsed().as_millis() as u64,
        error = written.err().map(|error| error.to_smolstr()).unwrap_or_default().as_str(),
    });
    connection.close(QUESTION_TIMEOUT).await;
}

/// The answer to a question.
struct Answer {
    head: String,
    /// The table as the store or [`packing`] encoded it, which all answers share. Empty in a refusal.
    body: Bytes,
}

impl Answer {
    fn refusal(status: &str) -> Self {
        Self {
            head: format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
            body: Bytes::new(),
        }
    }

    async fn write(&self, connection: &Connection) -> std::io::Result<()> {
        connection.write_all(self.head.as_bytes()).await?;
        connection.write_all(&self.body).await
    }
}

/// Returns the answer to a question.
fn answer(gateway: &Gateway, head: &RequestHead) -> Answer {
    let Some((key, nonce, held)) = authenticate(gateway, head) else {
        spdlog::warn!("peers.forged", kv: { reason = "question for the table" });
        return Answer::refusal("403 Forbidden");
    };
    let cache = &gateway.table_cache;
    let version = cache.version();
    let encoded = gateway.platform.store.encoded_table(version);
    let (Some(encoded), Some(age), true) = (encoded, cache.age(), version > held) else {
        return Answer::refusal("404 Not Found");
    };
    let (encoding, body) = choose_form(&head.headers, &gateway.packed_table, encoded);
    let age_ms = age.as_millis().to_smolstr();
    let era = gateway.platform.store.era();
    let next = cache.next().and_then(|next| next.offset_in(era));
    let era = era.to_smolstr();
    let position = next.map(|next| render_position(key, &nonce, &era, next));
    let tag = key.tag(&[
        ANSWER_LABEL.as_bytes(),
        nonce.as_bytes(),
        age_ms.as_bytes(),
        era.as_bytes(),
        &body,
    ]);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n{encoding}{}\
         {AGE_HEADER}: {age_ms}\r\n{ERA_HEADER}: {era}\r\n{TAG_HEADER}: {tag}\r\n\r\n",
        body.len(),
        position.unwrap_or_default(),
    );
    Answer { head, body }
}

/// Returns the header lines that state from where newer tables are read.
fn render_position(key: DatagramKey, nonce: &str, era: &str, next: Offset) -> String {
    let next = next.to_smolstr();
    let tag = key.tag(&position_parts(nonce, era, &next));
    format!("{NEXT_HEADER}: {next}\r\n{NEXT_TAG_HEADER}: {tag}\r\n")
}

/// Returns the offset from which newer tables are read. Returns `None` if the answer states none, or the
/// tag is wrong.
fn read_position(headers: &Headers, nonce: &str, era: Era, key: DatagramKey) -> Option<Offset> {
    let next = headers.text(NEXT_HEADER)?;
    let era = era.to_smolstr();
    let is_valid = key.verify(
        &position_parts(nonce, &era, next),
        headers.text(NEXT_TAG_HEADER)?,
    );
    if !is_valid {
        spdlog::warn!("peers.forged", kv: { reason = "position of the table" });
        return None;
    }
    next.parse().ok()
}

fn position_parts<'a>(nonce: &'a str, era: &'a str, next: &'a str) -> [&'a [u8]; 4] {
    [
        NEXT_LABEL.as_bytes(),
        nonce.as_bytes(),
        era.as_bytes(),
        next.as_bytes(),
    ]
}

/// Returns the header line and the body of a table in a form that the asker accepts.
fn choose_form(asked: &Headers, packed: &PackedTable, encoded: Bytes) -> (String, Bytes) {
    match asked.contains_token(ACCEPT_HEADER, packing::ENCODING) {
        true => (
            format!("{ENCODING_HEADER}: {}\r\n", packing::ENCODING),
            packed.pack(&encoded),
        ),
        false => (String::new(), encoded),
    }
}

/// Returns the table of an answer.
///
/// # Errors
///
/// Returns a description if the body is not in the form that the headers state.
fn read_form(answered: &Headers, body: Bytes) -> Result<Bytes, SmolStr> {
    match answered.contains_token(ENCODING_HEADER, packing::ENCODING) {
        true => packing::unpack(&body),
        false => Ok(body),
    }
}

/// Returns this host's key, the nonce of a question, and the version that the peer has. Returns
/// `None` if the question isn't one of a known host.
fn authenticate(gateway: &Gateway, head: &RequestHead) -> Option<(DatagramKey, SmolStr, Version)> {
    let peers = gateway.peers.borrow();
    let host = HostId::new(head.headers.text(HOST_HEADER)?);
    let nonce = head.headers.text(NONCE_HEADER)?;
    let tag = head.headers.text(TAG_HEADER)?;
    let query = head.target.strip_prefix(PATH)?;
    let held = query.strip_prefix("?after=")?.parse().ok()?;
    let key = peers.key_of(&host)?;
    let is_valid = key.verify(
        &[
            QUESTION_LABEL.as_bytes(),
            nonce.as_bytes(),
            query.as_bytes(),
        ],
        tag,
    );
    is_valid.then_some((peers.own_key()?, nonce.into(), held))
}

/// Asks the relays of this data centre for a table that is newer than the one in force, one after the
/// other, and takes it over. Returns whether there is a newer table in force now.
pub async fn fetch_from_relays(gateway: &Gateway) -> bool {
    let version = gateway.table_cache.version();
    let (own_key, mut relays) = {
        let peers = gateway.peers.borrow();
        (peers.own_key(), peers.other_relays(BootTime::now()))
    };
    let Some(own_key) = own_key else {
        return false;
    };
    if relays.is_empty() {
        return false;
    }
    sleep(gateway.random_duration(Duration::ZERO, QUESTION_DELAY_MAX)).await;
    // The hosts of a data centre share the relays evenly.
    if gateway.random_unit() < 0.5 {
        relays.reverse();
    }
    for relay in relays {
        if gateway.table_cache.version() > version {
            return true;
        }
        let asked_at = BootTime::now();
        let fetched = fetch(gateway, own_key, &relay, version).await;
        let took_ms = asked_at.elapsed().as_millis() as u64;
        let error = match fetched {
            Ok(()) => {
                spdlog::info!("table.fetched", kv: { peer = relay.as_str(), before = version, took_ms });
                return true;
            }
            Err(error) => error,
        };
        spdlog::info!("table.fetch_failed", kv: { peer = relay.as_str(), version, took_ms, error: });
    }
    false
}

async fn fetch(
    gateway: &Gateway,
    own_key: DatagramKey,
    relay: &HostId,
    version: Version,
) -> Result<(), FetchError> {
    let invalid = |message: &str| FetchError::Invalid {
        message: message.into(),
    };
    let (address, key) = {
        let peers = gateway.peers.borrow();
        let known = peers.address_of(relay).zip(peers.key_of(relay));
        known.ok_or_else(|| invalid("the host is not known"))?
    };
    let nonce = format_smolstr!("{:016x}", gateway.random_u64());
    let query = format_smolstr!("?after={version}");
    let tag = own_key.tag(&[
        QUESTION_LABEL.as_bytes(),
        nonce.as_bytes(),
        query.as_bytes(),
    ]);
    let question = format!(
        "GET {PATH}{query} HTTP/1.1\r\nHost: {address}\r\n{HOST_HEADER}: {}\r\n\
         {NONCE_HEADER}: {nonce}\r\n{TAG_HEADER}: {tag}\r\n{ACCEPT_HEADER}: {}\r\n\r\n",
        gateway.settings.host_id,
        packing::ENCODING,
    );
    let bound = gateway.settings.bounds.config_apply;
    let pool = CallPool::with_alternatives(
        address,
        "relay",
        Limits::for_bound(bound),
        ANSWER_TIMEOUT,
        bound.mul_f64(COMPLETION_SHARE),
    );
    let requested_at = BootTime::now();
    let (head, body) = pool
        .call("fetch table", question.as_bytes(), CallKind::Read)
        .await
        .map_err(|error| FetchError::NoAnswer {
            message: error.message,
        })?;
    if head.status != 200 {
        return Err(FetchError::Refused {
            status: head.status,
        });
    }
    let (age, era) = read_head(&head, &body, &nonce, key).ok_or_else(|| invalid("wrong tag"))?;
    let body = read_form(&head.headers, body).map_err(|error| invalid(&error))?;
    let store = &gateway.platform.store;
    store.observe_era(era);
    if era != store.era() {
        return Err(invalid("the table is of an older era of the store"));
    }
    let table = store
        .decode_table(body)
        .map_err(|error| invalid(&error.message))?;
    if table.version() <= version {
        return Err(invalid("the table is not newer"));
    }
    gateway.table_cache.update(
        Some(table),
        requested_at.earlier(age),
        Source::Peer(relay.clone()),
    );
    let next = read_position(&head.headers, &nonce, era, key);
    let next = next.map(|next| Position::new(era, next));
    gateway.table_cache.set_next(next);
    gateway.table_cache.apply_early_confirmation(era, relay);
    Ok(())
}

/// Checks the tag of an answer, and returns the age of the table and the era of the store.
fn read_head(
    head: &ResponseHead,
    body: &Bytes,
    nonce: &str,
    key: DatagramKey,
) -> Option<(Duration, Era)> {
    let headers = &head.headers;
    let age_ms = headers.text(AGE_HEADER)?;
    let era = headers.text(ERA_HEADER)?;
    let parts: [&[u8]; 5] = [
        ANSWER_LABEL.as_bytes(),
        nonce.as_bytes(),
        age_ms.as_bytes(),
        era.as_bytes(),
        body,
    ];
    let is_valid = key.verify(&parts, headers.text(TAG_HEADER)?);
    let age = Duration::from_millis(age_ms.parse().ok()?);
    is_valid.then_some((age, era.parse().ok()?))
}
