//! Tests that the callers' listener survives malformed requests, generated from fixed seeds.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use anvil_fleet::{
    Builder,
    Fleet,
    builder,
    service::Spec as ServiceSpec, //
};
use googletest::prelude::*;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng,
    seq::IndexedRandom, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    task::JoinSet,
};

const SEED: u64 = 0x0a11_ce5e;
const WORKER_COUNT: u64 = 20;
const REQUESTS_PER_WORKER: u64 = 500;
/// Time limit of every wait. Only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Time that a client waits for an answer before it closes its sending side.
const ANSWER_WAIT: Duration = Duration::from_millis(50);

/// Fragments that are more likely than random bytes to expose parser errors.
const FRAGMENTS: [&str; 22] = [
    "{",
    "}",
    "[",
    "\"",
    "\\u0000",
    "\\ud800",
    "null",
    "-1",
    "1e999",
    "18446744073709551616",
    "4294967296",
    "true",
    "\r\n",
    "\r\n\r\n",
    "\0",
    "\u{7f}",
    ":",
    "Content-Length: 99999999999999999999\r\n",
    "Content-Length: -1\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Expect: 100-continue\r\n",
    "Authorization: Bearer \r\n",
];

/// Returns the head and body of a request, most of them well-formed, to derive malformed ones from.
fn well_formed(rng: &mut StdRng) -> (String, String) {
    let paths = [
        "/v1/completions",
        "/v1/completions",
        "/v1/completions",
        "/v1/completions",
        "/v1/services/permits/submit",
        "/v1/services//",
        "/",
        "/v1/%ff%00",
        "/v1/completions?a=%zz",
    ];
    let methods = [
        "POST", "POST", "POST", "POST", "POST", "POST", "GET", "PUT", "DELETE", "HEAD", "BREW",
    ];
    let bodies = [
        r#"{"model":"permit-drafter","prompt":"Lindwurmstrasse","max_tokens":2}"#,
        r#"{"model":"permit-drafter","prompt":[1,2,3],"max_tokens":3,"stream":true}"#,
        r#"{"model":"permit-drafter","prompt":[],"max_tokens":0}"#,
        r#"{"model":"permit-drafter","prompt":[4294967295],"max_tokens":4294967295}"#,
        r#"{"model":7,"prompt":{"a":[[[[]]]]},"max_tokens":"x"}"#,
        "",
    ];
    let method = methods.choose(rng).unwrap();
    let path = paths.choose(rng).unwrap();
    let body = (*bodies.choose(rng).unwrap()).to_owned();
    let key = builder::team_key(builder::TEAM);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: anvil\r\nAuthorization: Bearer {key}\r\n\
         Content-Type: application/json\r\n"
    );
    (head, body)
}

/// Returns the bytes of a request that is usually malformed.
fn malformed(rng: &mut StdRng) -> Vec<u8> {
    let (mut head, mut body) = well_formed(rng);
    match rng.random_range(0..14) {
        0 => body = mutate(rng, &body),
        1 => body = "[".repeat(rng.random_range(1..20_000)),
        2 => head.push_str(&format!(
            "X-Long: {}\r\n",
            "a".repeat(rng.random_range(1..40_000))
        )),
        3 => head = mutate(rng, &head),
        4 => head.push_str("anvil-deadline-ms: -7\r\n"),
        5 => {
            let chunks = mutate(rng, "5\r\nhello\r\n0\r\n\r\n");
            return format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes();
        }
        6 => {
            let length = body.len() + rng.random_range(1..1_000);
            return format!("{head}Content-Length: {length}\r\n\r\n{body}").into_bytes();
        }
        7 => {
            let length = rng.random_range(1..300);
            return (0..length).map(|_| rng.random()).collect();
        }
        _ => {}
    }
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes();
    match rng.random_range(0..6) {
        0 => bytes.truncate(rng.random_range(0..=bytes.len())),
        1 => {
            let index = rng.random_range(0..bytes.len());
            bytes[index] = rng.random();
        }
        _ => {}
    }
    bytes
}

/// Inserts fragments into a text or truncates it, one to three times.
fn mutate(rng: &mut StdRng, text: &str) -> String {
    let mut text = text.to_owned();
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(0..=text.len());
        let at = (0..=at).rev().find(|at| text.is_char_boundary(*at));
        let at = at.unwrap_or_default();
        if rng.random_bool(0.7) {
            text.insert_str(at, FRAGMENTS.choose(rng).unwrap());
        } else {
            text.truncate(at);
        }
    }
    text
}

/// When a client closes its side of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientClose {
    /// It closes the connection without reading.
    WithoutReading,
    /// It closes its sending side immediately and reads the answer.
    Immediately,
    /// It waits for [`ANSWER_WAIT`], then closes its sending side and reads the answer.
    AfterWait,
}

impl ClientClose {
    fn choose(rng: &mut StdRng) -> Self {
        match rng.random_range(0..10) {
            0 => Self::WithoutReading,
            1..=4 => Self::Immediately,
            _ => Self::AfterWait,
        }
    }
}

/// Sends bytes on a new connection. Returns the status of the answer, or `None` if there is none.
async fn send(address: SocketAddr, bytes: &[u8], client_close: ClientClose) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The host may have closed the connection because it cannot parse the bytes.
    let _closed_by_host = stream.write_all(bytes).await;
    if client_close == ClientClose::WithoutReading {
        return None;
    }
    let mut answer = Vec::new();
    if client_close == ClientClose::AfterWait {
        let waited = tokio::time::timeout(ANSWER_WAIT, stream.read_buf(&mut answer));
        let _silent_or_reset = waited.await;
    }
    let _closed_by_host = stream.shutdown().await;
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    let _reset = read.expect("the host should answer or close the connection");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    answer.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

async fn start_fleet() -> Fleet {
    let mut builder = Builder::default()
        .pipeline(2, 1)
        .service(ServiceSpec::not_repeatable("permits"));
    builder.engine_standin.time_scale = 0.0;
    builder.start().await.unwrap()
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn listener_survives_malformed_requests() {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    let panics = Arc::new(AtomicU64::new(0));
    let hook_panics = Arc::clone(&panics);
    std::panic::set_hook(Box::new(move |panic| {
        hook_panics.fetch_add(1, Ordering::Relaxed);
        eprintln!("{panic}");
    }));
    let fleet = start_fleet().await;
    let address = fleet.host(0).callers_address();
    let mut workers = JoinSet::new();
    for worker in 0..WORKER_COUNT {
        workers.spawn(async move {
            let mut rng = StdRng::seed_from_u64(SEED ^ worker);
            let mut answers = Vec::new();
            for _ in 0..REQUESTS_PER_WORKER {
                let request = malformed(&mut rng);
                let client_close = ClientClose::choose(&mut rng);
                if let Some(status) = send(address, &request, client_close).await {
                    let request = String::from_utf8_lossy(&request).into_owned();
                    answers.push((status, request.chars().take(400).collect::<String>()));
                }
            }
            answers
        });
    }
    let answers: Vec<_> = workers.join_all().await.into_iter().flatten().collect();
    let count = |statuses: std::ops::Range<u16>| {
        let all_answers = answers.iter();
        all_answers
            .filter(|(status, _)| statuses.contains(status))
            .count()
    };
    let mut by_status = BTreeMap::new();
    for (status, _) in &answers {
        *by_status.entry(*status).or_insert(0) += 1;
    }
    println!("answers by status: {by_status:?}");
    // The requests exercise more than the parser: some are refused by it, some later, and some are
    // answered.
    expect_that!(count(200..300), ge(50));
    expect_that!(count(400..500), ge(1_000));
    let failures: Vec<_> = answers
        .iter()
        .filter(|(status, _)| *status >= 500)
        .collect();
    expect_that!(failures, is_empty());
    expect_that!(panics.load(Ordering::Relaxed), eq(0));
    expect_no_leak(&fleet).await;
    fleet.close().await.unwrap();
}

/// Expects that every request ends, in the host and in the engines.
async fn expect_no_leak(fleet: &Fleet) {
    let mut open_requests = fleet.host(0).shared().open_requests();
    let ended = open_requests.wait_for(|count| *count == 0);
    let ended = tokio::time::timeout(TIMEOUT, ended).await;
    expect_that!(ended.is_ok(), eq(true));
    drop(ended);
    let freed = async {
        while fleet
            .engines
            .iter()
            .any(|engine| engine.standin.open_sequences() > 0)
        {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let freed = tokio::time::timeout(TIMEOUT, freed).await;
    expect_that!(freed, ok(anything()));
}
