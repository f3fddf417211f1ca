use anvil_standins::{
    fault::Rate,
    service::{
        Config,
        Fault,
        Standin, //
    },
};
use googletest::prelude::*;

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
