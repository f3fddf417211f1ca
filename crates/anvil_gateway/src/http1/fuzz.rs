//! Drawn heads and chunks, valid and not. CI runs few cases with a fixed seed; for a long run by hand set
//! `FUZZ_CASES`, and `FUZZ_SEED` for other cases.

use bytes::BytesMut;
use proptest::{
    collection::vec,
    prelude::*,
    sample::select,
    test_runner::RngSeed, //
};

use super::*;

const HEAD_LIMIT_BYTES: usize = 2048;
const CASES_DEFAULT: u32 = 256;

fn config() -> ProptestConfig {
    let number = |name| std::env::var(name).ok()?.parse::<u64>().ok();
    let cases = number("FUZZ_CASES").and_then(|cases| u32::try_from(cases).ok());
    ProptestConfig {
        cases: cases.unwrap_or(CASES_DEFAULT),
        rng_seed: RngSeed::Fixed(number("FUZZ_SEED").unwrap_or(1)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Bytes that are made of parts of heads and chunks, so that they come far into the parsers.
fn fragments() -> impl Strategy<Value = Vec<u8>> {
    const FRAGMENTS: [&str; 30] = [
        "GET ",
        "POST ",
        "/",
        "/a?b=c",
        " HTTP/1.1",
        " HTTP/1.0",
        "\r\n",
        "\r\n\r\n",
        "\n",
        "\r",
        ":",
        ": ",
        " ",
        "\t",
        "\0",
        "Host",
        "Content-Length",
        "Transfer-Encoding",
        "chunked",
        "gzip, ",
        "Connection: close",
        "0",
        "5",
        "a",
        "FFFFFFFFFFFFFFFF",
        ";x=y",
        "hello",
        "0\r\n\r\n",
        "-1",
        "3\r\nabc\r\n",
    ];
    let fragment = prop_oneof![
        20 => select(FRAGMENTS.as_slice()).prop_map(|text| text.as_bytes().to_vec()),
        1 => vec(any::<u8>(), 1..8),
        1 => (1..600_usize).prop_map(|count| vec![b'x'; count]),
    ];
    vec(fragment, 0..40).prop_map(|parts| parts.concat())
}

/// Lengths of the pieces in which bytes arrive.
fn divisions() -> impl Strategy<Value = Vec<usize>> {
    vec(prop_oneof![Just(1), 1..20_usize, 1..2000_usize], 1..60)
}

/// Feeds bytes to `parse` in pieces until it has a result; the last piece has all the rest.
fn feed<T>(
    bytes: &[u8],
    divisions: &[usize],
    mut parse: impl FnMut(&mut BytesMut) -> Option<T>,
) -> (Option<T>, Vec<u8>) {
    let mut buffer = BytesMut::new();
    let mut rest = bytes;
    for division in divisions.iter().copied().chain([usize::MAX]) {
        let (piece, after) = rest.split_at(division.min(rest.len()));
        rest = after;
        buffer.extend_from_slice(piece);
        if let Some(result) = parse(&mut buffer) {
            return (Some(result), [&buffer, rest].concat());
        }
    }
    (None, buffer.to_vec())
}

fn take_head(
    bytes: &[u8],
    divisions: &[usize],
) -> (Option<Result<RequestHead, HeadError>>, Vec<u8>) {
    feed(bytes, divisions, |buffer| {
        RequestHead::take(buffer, HEAD_LIMIT_BYTES).transpose()
    })
}

/// Decodes chunks; returns the body, what ended it, and the bytes behind it.
fn decode(bytes: &[u8], divisions: &[usize]) -> (Vec<u8>, Option<Result<(), BodyError>>, Vec<u8>) {
    let mut decoder = BodyDecoder::new(Framing::Chunked);
    let mut body = Vec::new();
    let (end, rest) = feed(bytes, divisions, |buffer| {
        loop {
            match decoder.next(buffer) {
                Ok(Piece::Data(data)) => body.extend_from_slice(&data),
                Ok(Piece::End) => return Some(Ok(())),
                Ok(Piece::NeedMore) => {
                    // More would be held for each connection.
                    assert!(buffer.len() <= 4096, "{} bytes are held", buffer.len());
                    return None;
                }
                Err(error) => return Some(Err(error)),
            }
        }
    });
    (body, end, rest)
}

/// Headers that mean nothing to the parser.
fn plain_headers() -> impl Strategy<Value = Vec<String>> {
    vec("X-[A-Za-z0-9-]{1,12}: ?[!-~]([ -~]{0,30}[!-~])?\r\n", 0..8)
}

/// Lines that make a head invalid, wherever they stand among its headers.
const INVALID_LINES: [&str; 22] = [
    "Content-Length: 1\r\nContent-Length: 2\r\n",
    "Content-Length: 1\r\ncontent-length: 1\r\n",
    "Content-Length: 1, 1\r\n",
    "Content-Length: +1\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 0x1\r\n",
    "Content-Length: 1 1\r\n",
    "Content-Length:\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked, gzip\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding : chunked\r\n",
    "X-Folded: a\r\n b\r\n",
    "X-Folded: a\r\n\tb\r\n",
    "X-Space : a\r\n",
    "X-Bare: a\rb\r\n",
    "X-Nul: a\0b\r\n",
    "No colon\r\n",
    "Host: other.example\r\n",
];

/// Chunk lines and ends that make a body invalid, wherever they stand among its chunks.
const INVALID_CHUNKS: [&str; 20] = [
    "\r\n",
    "g\r\n",
    "-1\r\na\r\n",
    "+1\r\na\r\n",
    "0x1\r\na\r\n",
    " 1\r\na\r\n",
    "1 1\r\na\r\n",
    "1,\r\na\r\n",
    "1\na\r\n",
    "1\ra\r\n",
    "1;a\rb\r\na\r\n",
    "1\r\nab\r\n",
    "1\r\na\n",
    "1\r\na\r\r\n",
    "2\r\na\r\n\r\n",
    "FFFFFFFFFFFFFFFF\r\n",
    "10000000000000000\r\n",
    "0\r\nTrailer: a\n\r\n",
    "0\r\n\n",
    "0\n\r\n",
];

proptest! {
    #![proptest_config(config())]

    /// Guards against heads that mean something else depending on how they arrive.
    #[test]
    fn take_does_not_depend_on_division(bytes in fragments(), divisions in divisions()) {
        let (whole, whole_rest) = take_head(&bytes, &[]);
        let (divided, divided_rest) = take_head(&bytes, &divisions);
        match (whole, divided) {
            (Some(Ok(whole)), Some(Ok(divided))) => {
                prop_assert_eq!(whole, divided);
                prop_assert_eq!(whole_rest, divided_rest);
            }
            (whole, divided) => {
                // An error may show earlier, and then as another one.
                let is_error = |result: &Option<Result<_, _>>| matches!(result, Some(Err(_)));
                prop_assert_eq!(is_error(&whole), is_error(&divided));
                prop_assert_eq!(whole.is_some(), divided.is_some());
            }
        }
    }

    /// Guards against valid heads that are refused or changed.
    #[test]
    fn take_accepts_valid_heads(
        headers in plain_headers(),
        length in any::<u64>(),
        divisions in divisions(),
    ) {
        let head = format!(
            "POST /a HTTP/1.1\r\nHost: x.example\r\n{}Content-Length: {length}\r\n\r\nrest",
            headers.concat()
        );
        let (taken, rest) = take_head(head.as_bytes(), &divisions);
        let taken = taken.expect("the head is complete").expect("the head is valid");
        prop_assert_eq!(taken.framing, Framing::Length(length));
        prop_assert_eq!(rest, b"rest");
        let lines = taken.headers.iter().skip(1).take(headers.len());
        for (line, header) in headers.iter().zip(lines) {
            let (name, value) = line.split_once(':').expect("a colon");
            prop_assert_eq!(name, header.name.as_str());
            prop_assert_eq!(value.trim().as_bytes(), header.value.as_ref());
        }
    }

    /// Guards against requests that two programs may divide differently (RFC 9112, sections 2, 5, 6 and 11).
    #[test]
    fn take_rejects_invalid_heads(
        headers in plain_headers(),
        invalid in select(INVALID_LINES.as_slice()),
        position in any::<prop::sample::Index>(),
        divisions in divisions(),
    ) {
        let mut lines = headers;
        lines.insert(position.index(lines.len() + 1), invalid.to_owned());
        let head = format!("POST /a HTTP/1.1\r\nHost: x.example\r\n{}\r\n", lines.concat());
        let (taken, _) = take_head(head.as_bytes(), &divisions);
        prop_assert!(matches!(taken, Some(Err(_))), "{head:?} gave {taken:?}");
    }

    /// The same for request lines.
    #[test]
    fn take_rejects_invalid_request_lines(
        line in select([
            "POST  /a HTTP/1.1", "POST /a  HTTP/1.1", "POST /a HTTP/2.0", "POST /a HTTP/1.1 ",
            "POST /a", "PO ST /a HTTP/1.1", "POST /a\rHTTP/1.1", " POST /a HTTP/1.1",
            "POST /a\0 HTTP/1.1", "POST\t/a HTTP/1.1",
        ].as_slice()),
        divisions in divisions(),
    ) {
        let head = format!("{line}\r\nHost: x.example\r\n\r\n");
        let (taken, _) = take_head(head.as_bytes(), &divisions);
        prop_assert!(matches!(taken, Some(Err(_))), "{head:?} gave {taken:?}");
    }

    /// Guards against bodies that mean something else depending on how they arrive, and against chunks
    /// for which memory is held without bound.
    #[test]
    fn next_does_not_depend_on_division(bytes in fragments(), divisions in divisions()) {
        let (whole_body, whole_end, whole_rest) = decode(&bytes, &[]);
        let (body, end, rest) = decode(&bytes, &divisions);
        prop_assert_eq!(whole_body, body);
        prop_assert_eq!(&whole_end, &end);
        if matches!(whole_end, Some(Ok(()))) {
            prop_assert_eq!(whole_rest, rest);
        }
    }

    /// Guards against valid bodies that are refused or changed.
    #[test]
    fn next_returns_chunked_body(
        chunks in vec((vec(any::<u8>(), 1..300), select(["", ";x", " ;x=\"y\"", ";a=b;c=d"].as_slice())), 0..12),
        trailers in plain_headers(),
        divisions in divisions(),
    ) {
        let mut encoded = Vec::new();
        for (data, extension) in &chunks {
            encoded.extend_from_slice(format!("{:X}{extension}\r\n", data.len()).as_bytes());
            encoded.extend_from_slice(data);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded.extend_from_slice(format!("000\r\n{}\r\nrest", trailers.concat()).as_bytes());
        let (body, end, rest) = decode(&encoded, &divisions);
        let data: Vec<_> = chunks.into_iter().map(|(data, _)| data).collect();
        prop_assert_eq!(body, data.concat());
        prop_assert_eq!(end, Some(Ok(())));
        prop_assert_eq!(rest, b"rest");
    }

    /// Guards against bodies that two programs may end differently (RFC 9112, section 7.1).
    #[test]
    fn next_rejects_invalid_chunks(
        before in vec(vec(any::<u8>(), 1..30), 0..5),
        invalid in select(INVALID_CHUNKS.as_slice()),
        divisions in divisions(),
    ) {
        let mut encoded = Vec::new();
        for data in &before {
            encoded.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
            encoded.extend_from_slice(data);
            encoded.extend_from_slice(b"\r\n");
        }
        encoded.extend_from_slice(invalid.as_bytes());
        encoded.extend_from_slice(b"0\r\n\r\n");
        let (_, end, _) = decode(&encoded, &divisions);
        prop_assert_eq!(end, Some(Err(BodyError::MalformedChunk)), "{:?}", invalid);
    }

    /// Guards against lines without end.
    #[test]
    fn next_rejects_long_lines(start in select(["", "1", "1;", "0\r\n", "0\r\nA: "].as_slice()), divisions in divisions()) {
        let endless = [start.as_bytes(), &vec![b'a'; 5000]].concat();
        let (_, end, _) = decode(&endless, &divisions);
        prop_assert_eq!(end, Some(Err(BodyError::MalformedChunk)));
    }
}
