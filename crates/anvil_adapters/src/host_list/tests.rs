use anvil_host::port::HostList as _;
use anvil_wire::codec;
use googletest::prelude::*;
use serde_json::{
    Value,
    json, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener, //
};

use super::*;

/// Returns a list's entries as a platform sends them, after one answer.
async fn read(entries: Value) -> std::result::Result<Listing, CallError> {
    let body = codec::encode(&json!({ "entries": entries })).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let list = HostList::new(Client::new(Arc::default()), listener.local_addr().unwrap());
    let answer = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _head = stream.read(&mut [0; 4096]).await.unwrap();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream
            .write_all(&[head.as_bytes(), &body].concat())
            .await
            .unwrap();
    };
    tokio::join!(list.list(), answer).0
}

/// Guards against a list that is lost as a whole because of one entry that can't be read.
#[gtest]
#[tokio::test]
async fn list_holds_other_entries_when_some_cannot_be_read() {
    let good = json!({
        "name": "a", "address": "10.0.0.1:80", "data_centre": "z", "role": "target", "state": "live",
    });
    let with = |field: &str, value: Value| {
        let mut entry = good.clone();
        entry[field] = value;
        entry
    };
    let entries = json!([
        with("address", json!("nowhere")),
        with("role", json!("odd")),
        with("state", json!(7)),
        with("name", json!([])),
        good,
        json!("odd"),
    ]);
    let Listing::Entries(entries) = read(entries).await.unwrap() else {
        panic!("the platform sent a list");
    };
    let names: Vec<_> = entries.iter().map(|entry| entry.name.as_str()).collect();
    expect_that!(names, elements_are![eq(&"a")]);
}
