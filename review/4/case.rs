//! A stream that its caller resumes begins again at its first event, where the route's second service
//! is no model engine.

#[path = "../lib/harness.rs"]
mod harness;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use harness::*;

/// Streams that are open when the host is killed.
const STREAMS: u64 = 40;
/// Events of each stream.
const EVENTS: u64 = 40;

/// Serves streams: `pause_ms` between two events, from the one after `Last-Event-Id` on.
fn serve_stream(record: &Record, id: &str, pause_ms: u64, mut wire: Wire) {
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
        let attempt = request.header("X-Attempt-Id").unwrap_or("").to_owned();
        let last = request.header("Last-Event-Id").map(str::to_owned);
        record.line(format!("{id} runs {attempt}, Last-Event-Id: {last:?}"));
        let first = last.and_then(|last| last.parse::<u64>().ok()).unwrap_or(0) + 1;
        let seal = format!("{id}.{attempt}");
        sleep_ms(10);
        if wire.write(&chunked_head(&[("X-Attempt-Id", &attempt), ("X-Response-Seal", &seal)])).is_err() {
            return;
        }
        for event in first..=EVENTS {
            sleep_ms(pause_ms);
            if wire.write(&chunk(&format!("id: {event}\ndata: piece {event}\n\n"))).is_err() {
                return;
            }
        }
        if wire.write(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Reads a stream. Returns its status, the ids of its events, and whether it ended as complete.
fn read_stream(address: SocketAddr, sent: &[u8]) -> (u16, Vec<u64>, bool) {
    let mut ids = Vec::new();
    let mut status = 0;
    let mut read = || -> std::io::Result<()> {
        let mut wire = Wire::connect(address, Duration::from_secs(1))?;
        // Clients abandon a stream after a gap of two seconds.
        wire.stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        wire.write(sent)?;
        let head = wire.read_head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        status = head.status();
        let mut text = String::new();
        let mut take = |text: &mut String| {
            while let Some((event, rest)) = text.split_once("\n\n") {
                let id = event.lines().find_map(|line| line.strip_prefix("id: "));
                ids.extend(id.and_then(|id| id.parse::<u64>().ok()));
                *text = rest.to_owned();
            }
        };
        if let Some(length) = head.header("content-length") {
            let mut left: usize = length.parse().unwrap_or(0);
            let mut wire = wire;
            while left > 0 {
                let part = wire.read_some(left)?;
                left -= part.len();
                text.push_str(&String::from_utf8_lossy(&part));
                take(&mut text);
            }
            return Ok(());
        }
        while let Some(part) = wire.read_chunk()? {
            text.push_str(&String::from_utf8_lossy(&part));
            take(&mut text);
        }
        Ok(())
    };
    let is_complete = read().is_ok();
    (status, ids, is_complete)
}

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    record.line(format!("disruption: {trouble}"));
    let store = Store::start(&record, None);
    let born = unix_ms();
    for (id, service, pause_ms) in
        [("i-engine-1", "drafting", 50), ("i-engine-2", "drafting", 50), ("i-plain-1", "notes", 5), ("i-plain-2", "notes", 5)]
    {
        let (listener, address) = listen();
        let served = record.clone();
        serve(listener, move |wire| serve_stream(&served, id, pause_ms, wire));
        let extra = match service {
            "drafting" => ",\"Type\":\"h200x2\",\"Layers\":{\"From\":0,\"Target\":80,\"Version\":1}",
            _ => "",
        };
        heartbeat(&store, id, move |sequence| Some(entry(service, address, "ready", sequence, born, extra)));
        record.line(format!("worker {id} of {service} at {address}"));
    }
    let route = r#"{"Name":"r-2yhvz3p","Host":"ficu95.example","PathPrefix":"/lohu930/","Type":"streaming","TimeoutMs":20000,"TargetLatencyMs":500,"Priority":1,"Backends":[{"Service":"drafting","Weight":50},{"Service":"notes","Weight":50}],"MaxAttempts":2,"Public":false,"SessionAffinity":true,"StreamResume":true,"GapAimMs":200}"#;
    store.put_config(&config(7, &[route.to_owned()], &[DRAFTING, NOTES], Some(TENANTS)));
    let folder = temporary_folder();
    let mut hosts: Vec<Host> = (1..=7)
        .map(|number| Host::start(&record, &folder, &format!("front-muc-a-{number}"), "muc-a", &store))
        .collect();
    if !hosts.iter().all(|host| host.wait_until_ready(Duration::from_secs(15))) {
        give_up(&record, hosts, "the hosts aren't ready");
    }
    sleep_ms(2000);
    let (first, second) = (hosts[0].callers, hosts[1].callers);
    let results = Arc::new(Mutex::new(Vec::new()));
    let is_killed = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, results, is_killed) = (record.clone(), Arc::clone(&results), Arc::clone(&is_killed));
            thread::spawn(move || {
                let headers = "X-Model: daka510000\r\nX-Token-Count: 760,80\r\nX-Prompt-Prefix: 5c1e07a2:40,91bd3f06:720\r\n";
                let id = attempt_id(number);
                let sent = request("POST", "/lohu930/2f", &id, 20000, Some(KEY), headers, "draft");
                let (status, mut ids, mut is_complete) = read_stream(first, &sent);
                record.line(format!("client {number} gets {status}, {} events, complete: {is_complete}, for {id}", ids.len()));
                if let (false, true, Some(last)) = (is_complete, is_killed.load(Ordering::SeqCst), ids.last().copied()) {
                    sleep_ms(100);
                    let id = attempt_id(1000 + number);
                    let headers = format!("{headers}Last-Event-Id: {last}\r\n");
                    let sent = request("POST", "/lohu930/2f", &id, 15000, Some(KEY), &headers, "draft");
                    let (status, more, ended) = read_stream(second, &sent);
                    record.line(format!("client {number} resumes after event {last} and gets {status}, the events {more:?}, complete: {ended}, for {id}"));
                    ids.extend(more);
                    is_complete = ended;
                }
                results.lock().unwrap().push((number, ids, is_complete));
            })
        })
        .collect();
    sleep_ms(1000);
    if trouble {
        is_killed.store(true, Ordering::SeqCst);
        hosts[0].kill();
        // The platform starts it again after a short delay.
        sleep_ms(300);
        hosts[0].spawn();
    }
    for client in clients {
        let _ = client.join();
    }
    let results = results.lock().unwrap();
    let is_in_order = |ids: &Vec<u64>| ids.iter().zip(1..).all(|(id, expected)| *id == expected);
    let complete = results.iter().filter(|(_, _, is_complete)| *is_complete).count();
    let broken: Vec<_> = results.iter().filter(|(_, ids, _)| !is_in_order(ids)).collect();
    record.line(format!("{complete} of {STREAMS} streams complete, {} with pieces that came twice", broken.len()));
    if complete == 0 {
        drop(results);
        give_up(&record, hosts, "no stream was complete");
    }
    let broken = broken.first().map(|(number, ids, _)| {
        format!("ORDER: {} streams have pieces that came twice; client {number} got {ids:?}", broken.len())
    });
    drop(results);
    conclude(&record, hosts, broken);
}
