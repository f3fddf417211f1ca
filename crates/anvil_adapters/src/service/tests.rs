use anvil_standins::{
    fault::Rate,
    service::{
        Config,
        Fault,
        Standin, //
    },
};
use googletest::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener, //
};

use super::*;

const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(50);
const BODY: &[u8] = b"permit";

async fn call(
    address: std::net::SocketAddr,
    timeout: Duration,
) -> std::result::Result<ServiceAnswer, CallErrorKind> {
    let target = TargetAddress {
        id: "permits-0".into(),
        address,
    };
    let call = ServiceCall {
        service: "permits".into(),
        method: http::Method::POST,
        path: "/submit".into(),
        content_type: None,
        idempotency_key: None,
        body: Bytes::from_static(BODY),
    };
    let answer = Services.call(&target, call, timeout).await;
    answer.map_err(|error| error.kind)
}

async fn standin() -> Standin {
    Standin::start(Config::default()).await.unwrap()
}

#[gtest]
#[tokio::test]
async fn call_runs_once() {
    let service = standin().await;
    let answer = call(service.address(), TIMEOUT).await.unwrap();
    expect_that!(answer.status, eq(200));
    expect_that!(service.runs_of_body(BODY), eq(1));
    service.close().await;
}

#[gtest]
#[tokio::test]
async fn call_is_not_sent_again_after_lost_answer() {
    let service = standin().await;
    service.set_fault(Fault::LoseAnswer, Rate::Next(1));
    let lost = call(service.address(), TIMEOUT).await;
    expect_that!(lost, err(eq(&CallErrorKind::AnswerLost)));
    expect_that!(service.runs_of_body(BODY), eq(1));
    service.close().await;
}

#[gtest]
#[tokio::test]
async fn call_lost_after_sending_is_answer_lost() {
    let service = standin().await;
    service.set_fault(Fault::LoseCall, Rate::Next(1));
    let lost = call(service.address(), TIMEOUT).await;
    expect_that!(lost, err(eq(&CallErrorKind::AnswerLost)));
    expect_that!(service.runs(), eq(0));
    service.close().await;
}

#[gtest]
#[tokio::test]
async fn call_times_out_as_answer_lost() {
    let service = standin().await;
    service.set_fault(Fault::Hang, Rate::Next(1));
    let lost = call(service.address(), SHORT_TIMEOUT).await;
    expect_that!(lost, err(eq(&CallErrorKind::AnswerLost)));
    service.close().await;
}

#[gtest]
#[tokio::test]
async fn call_to_stopped_service_is_not_sent() {
    let service = standin().await;
    let address = service.address();
    service.kill().await;
    let refused = call(address, TIMEOUT).await;
    expect_that!(refused, err(eq(&CallErrorKind::NotSent)));
    service.close().await;
}

/// Starts a service that sends `answer` to each call, and returns its address.
async fn start_raw(answer: &'static str) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut received = Vec::new();
            while !received.ends_with(BODY) {
                if stream.read_buf(&mut received).await.unwrap() == 0 {
                    break;
                }
            }
            stream.write_all(answer.as_bytes()).await.unwrap();
        }
    });
    address
}

/// Guards against bytes that are no answer, passed on as one.
#[gtest]
#[tokio::test]
async fn call_loses_broken_answer() {
    for answer in [
        "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 099 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 600 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 999 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 101 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nA B: 1\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nA : 1\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nA\u{1}: 1\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nA: \u{1}\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nA\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nwhole\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\u{c}\r\nwhole\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole",
    ] {
        let lost = call(start_raw(answer).await, TIMEOUT).await;
        expect_that!(lost, err(eq(&CallErrorKind::AnswerLost)), "{answer:?}");
    }
}

/// Guards against a line feed that ends the head early, so that the rest of it is taken for the body.
#[gtest]
#[tokio::test]
async fn call_loses_answer_with_line_feed_in_head() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nA: 1\r\n\r\nwhole";
    let lost = call(start_raw(answer).await, TIMEOUT).await;
    expect_that!(lost, err(eq(&CallErrorKind::AnswerLost)));
}

/// Guards against sound answers that are lost with the broken ones.
#[gtest]
#[tokio::test]
async fn call_returns_every_status_of_protocol() {
    for (answer, status) in [
        ("HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole", 200),
        ("HTTP/1.1 299 \r\nContent-Length: 5\r\n\r\nwhole", 299),
        ("HTTP/1.1 499 A\r\nContent-Length: 5\r\n\r\nwhole", 499),
        ("HTTP/1.1 599 A\r\nContent-Length: 5\r\n\r\nwhole", 599),
        (
            "HTTP/1.1 100 \r\n\r\nHTTP/1.1 103 \r\nA: b\r\n\r\nHTTP/1.0 201 A\r\nContent-Length: 5\r\n\r\nwhole",
            201,
        ),
    ] {
        let returned = call(start_raw(answer).await, TIMEOUT).await.unwrap();
        expect_that!(returned.status, eq(status), "{answer:?}");
        expect_that!(returned.body.as_ref(), eq(b"whole"), "{answer:?}");
    }
}
