//! After the last tenant is taken away, every route is open to requests with any key and with none.

#[path = "../lib/harness.rs"]
mod harness;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use harness::*;

/// A key that no configuration ever held.
const UNKNOWN_KEY: &str = "zzzz9zzzz9zzzz9zzzz9";
/// Requests of each sort after the change.
const REQUESTS: u64 = 10;

type Runs = Arc<Mutex<HashMap<String, Option<String>>>>;

fn serve_permits(record: &Record, runs: &Runs, id: &str, mut wire: Wire) {
    while let Ok(Some(request)) = wire.read_message() {
        if request.path() == "/health" {
            let _ = wire.write(&answer("200 OK", &[("X-Instance-Id", id)], b""));
            continue;
        }
        let attempt = request.header("X-Attempt-Id").unwrap_or("").to_owned();
        let tenant = request.header("X-Tenant").map(str::to_owned);
        record.line(format!("{id} runs {attempt}, X-Tenant: {tenant:?}"));
        runs.lock().unwrap().insert(attempt.clone(), tenant);
        sleep_ms(20);
        let seal = format!("{id}.{attempt}");
        let headers = [("X-Attempt-Id", attempt.as_str()), ("X-Response-Seal", seal.as_str())];
        if wire.write(&answer("200 OK", &headers, b"submitted")).is_err() {
            return;
        }
    }
}

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    record.line(format!("disruption: {trouble}"));
    let store = Store::start(&record, None);
    let runs = Runs::default();
    let born = unix_ms();
    for id in ["i-one", "i-two"] {
        let (listener, address) = listen();
        let (served_record, served_runs) = (record.clone(), Arc::clone(&runs));
        serve(listener, move |wire| serve_permits(&served_record, &served_runs, id, wire));
        heartbeat(&store, id, move |sequence| {
            Some(entry("permits", address, "ready", sequence, born, ""))
        });
    }
    let route = r#"{"Name":"r-submit","Host":"ficu95.example","PathPrefix":"/puxa403/","Type":"unsafe","TimeoutMs":800,"TargetLatencyMs":150,"Priority":2,"Service":"permits","MaxAttempts":1,"Public":false}"#;
    let routes = [route.to_owned()];
    store.put_config(&config(7, &routes, &[PERMITS], Some(TENANTS)));
    let folder = temporary_folder();
    let host = Host::start(&record, &folder, "front-muc-a-1", "muc-a", &store);
    if !host.wait_until_ready(Duration::from_secs(15)) {
        give_up(&record, vec![host], "the host isn't ready");
    }
    let mut next = 0;
    let mut send = |key: Option<&str>| {
        let id = attempt_id(next);
        next += 1;
        let sent = request("POST", "/puxa403/2f", &id, 1500, key, "", "permit");
        let status = call(host.callers, &sent, Duration::from_secs(2)).map_or(0, |answer| answer.status());
        record.line(format!("the client sends {id} with the key {key:?} and gets {status}"));
        (id, status)
    };
    let (_, known) = send(Some(KEY));
    let (_, unknown) = send(Some(UNKNOWN_KEY));
    let (_, none) = send(None);
    if (known, unknown, none) != (200, 401, 401) {
        give_up(&record, vec![host], "keys aren't checked before the change");
    }
    if trouble {
        // The operator takes the last tenant away.
        store.put_config(&config(9, &routes, &[PERMITS], Some("[]")));
    }
    // Longer than RevokeMs and ConfigApplyMs.
    sleep_ms(6000);
    let mut foreign = Vec::new();
    for _ in 0..REQUESTS {
        if trouble {
            foreign.push((send(Some(KEY)), "CONFIG: its key was taken away 6 s before"));
        }
        foreign.push((send(Some(UNKNOWN_KEY)), "ROUTE: no configuration ever held its key"));
        foreign.push((send(None), "UNASKED: it has no key"));
    }
    let runs = runs.lock().unwrap().clone();
    let ran: Vec<_> = foreign.iter().filter(|((id, _), _)| runs.contains_key(id)).collect();
    record.line(format!("{} of {} requests without a valid key ran", ran.len(), foreign.len()));
    let broken = ran
        .iter()
        .find(|(_, rule)| rule.starts_with("ROUTE"))
        .or(ran.first())
        .map(|((id, status), rule)| format!("{rule}; {id} ran and was answered {status}; {} such requests ran", ran.len()));
    conclude(&record, vec![host], broken);
}
