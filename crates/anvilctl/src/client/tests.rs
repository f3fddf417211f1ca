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

/// Returns what a call tells an operator whose host sends `answer`.
async fn call(answer: String) -> std::result::Result<Value, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serve = async {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let count = stream.read(&mut request).await.unwrap();
        assert!(count > 0, "the connection carries a call");
        stream.write_all(answer.as_bytes()).await.unwrap();
    };
    let client = Client::new(address, "token", TIMEOUT);
    tokio::join!(client.get("status", "/status"), serve).0
}

/// Guards against a request that counts as refused, though its host may have carried it out, by a status
/// that refuses nothing.
#[gtest]
#[tokio::test]
async fn get_is_refused_by_client_errors_alone() {
    for (status, is_refused) in [
        ("000", false),
        ("101", false),
        ("302", false),
        ("400", true),
        ("409", true),
        ("500", false),
        ("600", false),
        ("999", false),
    ] {
        let answer = format!("HTTP/1.1 {status} A\r\nContent-Length: 2\r\n\r\n{{}}");
        let failure = call(answer).await.unwrap_err();
        expect_that!(
            matches!(failure, Failure::Refused { .. }),
            eq(is_refused),
            "{status}: {failure}"
        );
    }
}
