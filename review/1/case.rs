//! A stream that must not be repeated runs twice after a worker sent its refusal twice.
//!
//! The first engine of a path refuses a request, since the next engine is short of memory, and sends
//! the refusal once more at the point where its next answer on the connection is expected. The host
//! sends the request again over the same connection, with the same id, and takes the second copy of
//! the refusal for the answer.

#[path = "../lib/harness.rs"]
mod harness;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use harness::*;

/// Requests before the one that is refused: the refusal is one answer of many.
const SOUND_REQUESTS: u64 = 100;
/// Requests in all.
const REQUESTS: u64 = 120;

struct Engines {
    record: Record,
    trouble: bool,
    /// Number of times that each request began to run.
    runs: Mutex<HashMap<String, u32>>,
    /// The request that is refused, and the engine that is short of memory from then on.
    short_of_memory: Mutex<Option<(SocketAddr, Instant)>>,
    /// Whether a refusal was sent twice.
    copies: Mutex<u32>,
    refusals: Mutex<u32>,
}

/// Serves as the first engine of each path.
fn serve_first(engines: &Engines, name: &str, mut wire: Wire) {
    let mut late_copy: Option<Vec<u8>> = None;
    while let Ok(Some(request)) = wire.read_message() {
        if request.path() == "/v1/report" {
            let body = br#"{"Stage":"both","Models":[],"Busy":false,"Sequence":0,"Waiting":0,"Running":0,"KvUsed":0,"KvTotal":0,"Handles":0}"#;
            let _ = wire.write(&answer("200 OK", &[], body));
            continue;
        }
        if request.path() == "/v1/order" {
            let _ = wire.write(&answer("409 Conflict", &[], b"{}"));
            continue;
        }
        let id = request.header("X-Attempt-Id").unwrap_or("").to_owned();
        let path = request.header("X-Hop-Count").unwrap_or("").to_owned();
        let peer = wire.stream.peer_addr().map_or(0, |peer| peer.port());
        engines.record.line(format!("{name} gets {id} on the connection from port {peer}, path {path}"));
        if let Some(copy) = late_copy.take() {
            engines.record.line(format!("{name} sends its last refusal once more on that connection"));
            if wire.write(&copy).is_err() {
                return;
            }
        }
        let next: Option<SocketAddr> = path
            .split(',')
            .nth(1)
            .and_then(|hop| hop.split('=').next())
            .and_then(|address| address.parse().ok());
        let is_chosen = id == attempt_id(SOUND_REQUESTS) && *engines.refusals.lock().unwrap() == 0;
        let refusing = {
            let mut short = engines.short_of_memory.lock().unwrap();
            if let (true, Some(next)) = (is_chosen, next) {
                *short = Some((next, Instant::now()));
            }
            let is_short = |(engine, since): (SocketAddr, Instant)| {
                Some(engine) == next && since.elapsed() < Duration::from_millis(500)
            };
            short.is_some_and(is_short)
        };
        if let (true, Some(next)) = (refusing, next) {
            *engines.refusals.lock().unwrap() += 1;
            let at_fault = next.to_string();
            let refusal = answer(
                "503 Service Unavailable",
                &[("X-Attempt-Id", &id), ("X-Not-Executed", "1"), ("At-Server", &at_fault)],
                b"",
            );
            engines.record.line(format!("{name} refuses {id} with 503 and X-Not-Executed: {next} is short of memory"));
            if wire.write(&refusal).is_err() {
                return;
            }
            let mut copies = engines.copies.lock().unwrap();
            if engines.trouble && *copies == 0 {
                *copies += 1;
                late_copy = Some(refusal);
            }
            continue;
        }
        // The prompt is read before the first token.
        sleep_ms(15);
        let run = {
            let mut runs = engines.runs.lock().unwrap();
            let run = runs.entry(id.clone()).or_default();
            *run += 1;
            *run
        };
        engines.record.line(format!("{name} begins to run {id}, for the {run}. time"));
        let seal = format!("{name}.{id}.{run}");
        if wire.write(&chunked_head(&[("X-Attempt-Id", &id), ("X-Response-Seal", &seal)])).is_err() {
            return;
        }
        for event in 1..=4 {
            sleep_ms(3);
            if wire.write(&chunk(&format!("id: {event}\ndata: run {run}\n\n"))).is_err() {
                return;
            }
        }
        if wire.write(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    record.line(format!("disruption: {trouble}"));
    let store = Store::start(&record, None);
    let engines = Arc::new(Engines {
        record: record.clone(),
        trouble,
        runs: Mutex::default(),
        short_of_memory: Mutex::default(),
        copies: Mutex::default(),
        refusals: Mutex::default(),
    });
    let born = unix_ms();
    for (id, kind, from, to) in
        [("i-first", "a100", 0, 40), ("i-second", "a100", 40, 80), ("i-third", "a100", 40, 80)]
    {
        let (listener, address) = listen();
        let served = Arc::clone(&engines);
        serve(listener, move |wire| serve_first(&served, id, wire));
        let layers = format!(",\"Type\":\"{kind}\",\"Layers\":{{\"From\":{from},\"Target\":{to},\"Version\":1}}");
        heartbeat(&store, id, move |sequence| {
            Some(entry("drafting", address, "ready", sequence, born, &layers))
        });
        record.line(format!("worker {id} at {address} holds the layers {from} to {to}"));
    }
    let route = r#"{"Name":"r-2yhvz3p","Host":"ficu95.example","PathPrefix":"/lohu930/","Type":"streaming","TimeoutMs":20000,"TargetLatencyMs":500,"Priority":1,"Service":"drafting","MaxAttempts":2,"Public":false,"SessionAffinity":true,"StreamResume":false,"GapAimMs":200}"#;
    store.put_config(&config(7, &[route.to_owned()], &[DRAFTING], Some(TENANTS)));
    let folder = temporary_folder();
    let host = Host::start(&record, &folder, "front-muc-a-1", "muc-a", &store);
    if !host.wait_until_ready(Duration::from_secs(15)) {
        give_up(&record, vec![host], "the host isn't ready");
    }
    let mut statuses: HashMap<String, u16> = HashMap::new();
    for number in 0..REQUESTS {
        let id = attempt_id(number);
        let extra = "X-Model: daka510000\r\nX-Token-Count: 760,80\r\nX-Prompt-Prefix: 5c1e07a2:40,91bd3f06:720\r\n";
        let sent = request("POST", "/lohu930/2f", &id, 20000, Some(KEY), extra, "draft");
        record.line(format!("the client sends {id}"));
        let status = match call(host.callers, &sent, Duration::from_secs(20)) {
            Ok(answer) => answer.status(),
            Err(_) => 0,
        };
        record.line(format!("the client gets {status} for {id}"));
        statuses.insert(id, status);
    }
    sleep_ms(500);
    let runs = engines.runs.lock().unwrap().clone();
    let refusals = *engines.refusals.lock().unwrap();
    if refusals == 0 || (trouble && *engines.copies.lock().unwrap() == 0) {
        give_up(&record, vec![host], "no request was refused");
    }
    let served = statuses.values().filter(|status| **status == 200).count();
    record.line(format!("{served} of {REQUESTS} requests were answered with 200"));
    let twice = runs.iter().find(|(_, runs)| **runs > 1);
    let refused = statuses
        .iter()
        .find(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && runs.contains_key(*id));
    let broken = match (twice, refused) {
        (Some((id, runs)), _) => Some(format!("TWICE: {id} isn't idempotent and ran {runs} times")),
        (None, Some((id, status))) => Some(format!("REFUSED: {id} was answered {status} and has run")),
        (None, None) => None,
    };
    conclude(&record, vec![host], broken);
}
