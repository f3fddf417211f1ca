use std::{
    future::Future,
    io::Write,
    net::Ipv4Addr,
    time::Duration, //
};

use bytes::BytesMut;
use googletest::prelude::*;
use socket2::SockRef;
use tokio::{
    io::AsyncReadExt,
    net::{
        TcpListener,
        TcpStream, //
    },
    time::sleep, //
};

use super::*;

const HEAD_LIMIT_BYTES: usize = 1024;

fn request(text: &str) -> std::result::Result<Option<RequestHead>, HeadError> {
    RequestHead::take(&mut BytesMut::from(text), HEAD_LIMIT_BYTES)
}

fn decode(framing: Framing, text: &str) -> (Vec<u8>, std::result::Result<Piece, BodyError>) {
    let mut buffer = BytesMut::from(text);
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        match decoder.next(&mut buffer) {
            Ok(Piece::Data(data)) => body.extend_from_slice(&data),
            other => return (body, other),
        }
    }
}

#[gtest]
fn take_parses_request() {
    let text = "POST /a/b?c=d HTTP/1.1\r\nHost: x.example\r\nContent-Length: 3\r\n\r\nabc";
    let mut buffer = BytesMut::from(text);
    let head = RequestHead::take(&mut buffer, HEAD_LIMIT_BYTES)
        .unwrap()
        .unwrap();
    expect_that!(head.method.as_str(), eq("POST"));
    expect_that!(head.path(), eq("/a/b"));
    expect_that!(head.headers.text("host"), some(eq("x.example")));
    expect_that!(head.framing, eq(Framing::Length(3)));
    expect_that!(head.keep_alive, eq(true));
    expect_that!(buffer.as_ref(), eq(b"abc"));
}

#[gtest]
fn take_waits_for_complete_head() {
    expect_that!(request("GET / HTTP/1.1\r\nHost: x\r\n"), ok(none()));
}

#[gtest]
fn take_rejects_ambiguous_lengths() {
    let cases = [
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 3,3\r\n\r\n",
    ];
    for case in cases {
        expect_that!(
            request(case),
            err(eq(&HeadError::AmbiguousLength)),
            "{case}"
        );
    }
}

#[gtest]
fn take_rejects_unknown_encoding() {
    let cases = [
        "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    ];
    for case in cases {
        expect_that!(
            request(case),
            err(eq(&HeadError::UnknownEncoding)),
            "{case}"
        );
    }
}

#[gtest]
fn take_rejects_large_head() {
    let text = format!(
        "GET / HTTP/1.1\r\nA: {}\r\n\r\n",
        "a".repeat(HEAD_LIMIT_BYTES)
    );
    expect_that!(request(&text), err(eq(&HeadError::TooLarge)));
    let partial = format!("GET / HTTP/1.1\r\nA: {}", "a".repeat(HEAD_LIMIT_BYTES));
    expect_that!(request(&partial), err(eq(&HeadError::TooLarge)));
}

#[gtest]
fn take_response_without_length_ends_with_connection() {
    let mut buffer = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let head = ResponseHead::take(&mut buffer, HEAD_LIMIT_BYTES)
        .unwrap()
        .unwrap();
    expect_that!(head.framing, eq(Framing::UntilClose));
    expect_that!(head.keep_alive, eq(false));
}

/// Guards against an answer that is taken although a part of its head breaks the protocol (MIXED).
#[gtest]
fn take_response_rejects_malformed_head() {
    let cases = [
        "HTTP/1.1 000 OK\r\n\r\n",
        "HTTP/1.1 099 OK\r\n\r\n",
        "HTTP/1.1 600 OK\r\n\r\n",
        "HTTP/1.1 20 OK\r\n\r\n",
        "HTTP/1.1 2000 OK\r\n\r\n",
        "HTTP/1.1 -20 OK\r\n\r\n",
        "HTTP/1.1 OK\r\n\r\n",
        "HTTP/1.1  200 OK\r\n\r\n",
        "HTTP/2.0 200 OK\r\n\r\n",
        "HTTP/1.10 200 OK\r\n\r\n",
        "HTTP/11 200 OK\r\n\r\n",
        "http/1.1 200 OK\r\n\r\n",
        "ICY 200 OK\r\n\r\n",
        "HTTP/1.1 200 O\0K\r\n\r\n",
        "HTTP/1.1 200 O\u{1b}K\r\n\r\n",
        "HTTP/1.1 200 O\rK\r\n\r\n",
        "HTTP/1.1 200 OK\r\n A: 1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: 1\r\n B: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: 1\u{1}\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: 1\0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: 1\u{7f}\r\n\r\n",
        "HTTP/1.1 200 OK\r\nA: 1\rB: 2\r\n\r\n",
    ];
    for case in cases {
        let head = ResponseHead::take(&mut BytesMut::from(case), HEAD_LIMIT_BYTES);
        expect_that!(head, err(eq(&HeadError::Malformed)), "{case:?}");
    }
}

/// The same for chunks from a sender of HTTP/1.0, whose protocol has none.
#[gtest]
fn take_response_rejects_chunks_in_former_version() {
    for connection in ["", "Connection: keep-alive\r\n"] {
        let text =
            format!("HTTP/1.0 200 OK\r\n{connection}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
        let head = ResponseHead::take(&mut BytesMut::from(text.as_str()), HEAD_LIMIT_BYTES);
        expect_that!(head, err(eq(&HeadError::AmbiguousLength)), "{text:?}");
    }
}

/// The same for the bytes of a header's name.
#[gtest]
fn take_response_rejects_malformed_name() {
    for byte in 0..=u8::MAX {
        let is_token = byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
        // A colon ends the name, and a line feed the line.
        if is_token || [b':', b'\n'].contains(&byte) {
            continue;
        }
        for name in [vec![byte], vec![b'A', byte], vec![b'A', byte, b'B']] {
            let text = [b"HTTP/1.1 200 OK\r\n", name.as_slice(), b": 1\r\n\r\n"].concat();
            let head = ResponseHead::take(&mut BytesMut::from(text.as_slice()), HEAD_LIMIT_BYTES);
            expect_that!(head.is_err(), eq(true), "{}", text.escape_ascii());
        }
    }
}

#[gtest]
fn next_decodes_chunks() {
    let text = "3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n";
    let (body, end) = decode(Framing::Chunked, text);
    expect_that!(body, eq(b"abc0123456789"));
    expect_that!(end, ok(eq(&Piece::End)));
}

#[gtest]
fn next_rejects_malformed_chunks() {
    for text in [
        "x\r\n",
        "\r\n",
        "-1\r\n",
        "3\r\nabcd\r\n",
        "ffffffffffffffffff\r\n",
    ] {
        let (_, end) = decode(Framing::Chunked, text);
        expect_that!(end, err(eq(&BodyError::MalformedChunk)), "{text}");
    }
}

/// Guards against a body that lacks a part, and passes for whole because the rest of it is taken for
/// trailers (MIXED).
#[gtest]
fn next_rejects_malformed_trailers() {
    for text in [
        // The size of the chunk is lost.
        "0\r\nwhole\r\n0\r\n\r\n",
        "0\r\nHTTP/1.1 200 OK\r\n\r\n",
        "0\r\nA B: 1\r\n\r\n",
        "0\r\nA : 1\r\n\r\n",
        "0\r\n A: 1\r\n\r\n",
        "0\r\n: 1\r\n\r\n",
        "0\r\nA\u{1}: 1\r\n\r\n",
        "0\r\nA: 1\u{1}\r\n\r\n",
        "0\r\nA: 1\r\nB\r\n\r\n",
        "0\r\nA: 1\rB: 2\r\n\r\n",
    ] {
        let (_, end) = decode(Framing::Chunked, text);
        expect_that!(end, err(eq(&BodyError::MalformedChunk)), "{text:?}");
    }
}

/// Guards against control bytes in the line of a chunk's size. What the line held is not known then.
#[gtest]
fn next_rejects_control_bytes_in_size_line() {
    for text in [
        "1;a\u{1}=b\r\na\r\n0\r\n\r\n",
        "1;a=\0\r\na\r\n0\r\n\r\n",
        "1;a=\u{7f}\r\na\r\n0\r\n\r\n",
        "1\u{c}\r\na\r\n0\r\n\r\n",
        "1\u{c};a\r\na\r\n0\r\n\r\n",
        "1\u{7f}\r\na\r\n0\r\n\r\n",
    ] {
        let (_, end) = decode(Framing::Chunked, text);
        expect_that!(end, err(eq(&BodyError::MalformedChunk)), "{text:?}");
    }
}

#[gtest]
fn next_accepts_trailers_and_extensions() {
    for text in [
        "1 ;a=b\r\na\r\n0 ; c = \"d e\"\r\nA: 1\r\nB:\r\nC: \t ö \r\n\r\n",
        "1  \r\na\r\n000;c\r\nA:1\r\n\r\n",
    ] {
        let (body, end) = decode(Framing::Chunked, text);
        expect_that!(body, eq(b"a"), "{text:?}");
        expect_that!(end, ok(eq(&Piece::End)), "{text:?}");
    }
}

#[gtest]
fn end_of_connection_detects_truncated_bodies() {
    for framing in [Framing::Length(3), Framing::Chunked] {
        let mut decoder = BodyDecoder::new(framing);
        expect_that!(decoder.end_of_connection(), err(eq(BodyError::Truncated)));
    }
    let mut decoder = BodyDecoder::new(Framing::UntilClose);
    expect_that!(decoder.end_of_connection(), ok(anything()));
    expect_that!(decoder.is_done(), eq(true));
}

/// Opens a connection to a peer that sends `head` once and then `endless` until this side closes.
async fn connect_to_endless(head: &'static str, endless: &'static str) -> Connection {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let block = endless.repeat(1 + 4096 / endless.len());
        let mut result = stream.write_all(head.as_bytes());
        while result.is_ok() {
            result = stream.write_all(block.as_bytes());
        }
    });
    Connection::open(address, Duration::from_secs(10))
        .await
        .unwrap()
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test);
}

/// Guards against a host that reads bytes without end from a target that sends no answer.
#[gtest]
fn read_response_gives_up_on_endless_bytes() {
    let endless = [
        "garbage",
        "X-Header: value\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n",
    ];
    for endless in endless {
        run(async {
            let mut connection = connect_to_endless("HTTP/1.1 100 Continue\r\n\r\n", endless).await;
            expect_that!(
                connection.read_response().await,
                err(anything()),
                "{endless:?}"
            );
        });
    }
    run(async {
        let mut connection = connect_to_endless("HTTP/1.1 200 OK\r\n", "A: b\r\n").await;
        expect_that!(connection.read_response().await, err(anything()));
    });
}

/// The same for the body of an answer, in each framing.
#[gtest]
fn read_whole_body_gives_up_on_endless_bytes() {
    const LIMIT_BYTES: usize = 1 << 20;
    let cases = [
        ("", "garbage"),
        ("Transfer-Encoding: chunked\r\n", "garbage"),
        ("Transfer-Encoding: chunked\r\n", "4\r\ndata\r\n"),
        ("Transfer-Encoding: chunked\r\n", "0"),
        ("Content-Length: 99999999999\r\n", "garbage"),
    ];
    for (framing, endless) in cases {
        run(async {
            let head = format!("HTTP/1.1 200 OK\r\n{framing}\r\n").leak();
            let mut connection = connect_to_endless(head, endless).await;
            let head = connection.read_response().await.unwrap();
            let mut decoder = BodyDecoder::new(head.framing);
            let body = connection.read_whole_body(&mut decoder, LIMIT_BYTES).await;
            expect_that!(
                matches!(body, Err(_) | Ok(None)),
                eq(true),
                "{framing:?} {endless:?}"
            );
        });
    }
}

#[gtest]
fn loss_tells_broken_answer_from_lost_connection() {
    for (error, is_broken) in [
        (ReadError::Head(HeadError::Malformed), true),
        (ReadError::Head(HeadError::TooLarge), true),
        (ReadError::Body(BodyError::MalformedChunk), true),
        (ReadError::Body(BodyError::Truncated), false),
        (ReadError::Closed, false),
    ] {
        let loss = error.loss("ended");
        let expected = match is_broken {
            true => "answer breaks the protocol",
            false => "ended",
        };
        expect_that!(loss, eq(expected), "{error}");
    }
}

/// Guards against a connection that the system gives up while a sound target is silent for a second:
/// with a user timeout, one unanswered keepalive probe ends it when the next one is due.
#[gtest]
fn set_options_outlasts_silence_of_sound_target() {
    const SILENCE: Duration = Duration::from_secs(1);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let (user_timeout, interval) = runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stream = TcpStream::connect(address).await.unwrap();
        connection::set_options(&stream).unwrap();
        let socket = SockRef::from(&stream);
        (
            socket.tcp_user_timeout().unwrap(),
            socket.tcp_keepalive_interval().unwrap(),
        )
    });
    expect_that!(user_timeout, some(gt(SILENCE)));
    expect_that!(interval, gt(SILENCE));
}

/// Guards against a connection that the system ends because the peer is late in reading (LOST).
#[gtest]
fn write_all_waits_for_peer_that_reads_late() {
    const LATENESS: Duration = Duration::from_secs(4);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        for bytes in [200_000, 2_000_000] {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
            let address = listener.local_addr().unwrap();
            let connection = Connection::open(address, LATENESS).await.unwrap();
            let (mut peer, _) = listener.accept().await.unwrap();
            let data = vec![b'a'; bytes];
            let write = async {
                let written = connection.write_all(&data).await;
                sleep(LATENESS).await;
                drop(connection);
                written
            };
            let read = async {
                sleep(LATENESS).await;
                let mut received = Vec::new();
                let ended = peer.read_to_end(&mut received).await;
                (received.len(), ended.is_ok())
            };
            let (written, received) = tokio::join!(write, read);
            expect_that!(written, ok(anything()), "{bytes}");
            expect_that!(received, eq((bytes, true)), "{bytes}");
        }
    });
}
