use googletest::prelude::*;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener, //
};

use super::*;

#[gtest]
#[tokio::test]
async fn connector_counts_both_directions() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let echo = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut received = [0; 5];
        stream.read_exact(&mut received).await.unwrap();
        stream.write_all(b"answer").await.unwrap();
    });
    let traffic = Arc::new(TrafficCounters::default());
    let mut connector = CountingConnector::new(HttpConnector::new(), Arc::clone(&traffic));

    let uri = format!("http://{address}/").parse().unwrap();
    let mut stream = TokioIo::new(connector.call(uri).await.unwrap());
    stream.write_all(b"hello").await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    echo.await.unwrap();

    expect_that!(answer, eq(b"answer"));
    expect_that!(traffic.sent_bytes(), eq(5));
    expect_that!(traffic.received_bytes(), eq(6));
}
