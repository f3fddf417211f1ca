//! Heads of requests and answers.

use bytes::{
    Buf,
    Bytes,
    BytesMut, //
};
use derive_more::{
    Display,
    Error, //
};
use smol_str::SmolStr;

use super::body::Framing;

/// Most headers of one head. Callers stay far below it.
const HEADER_LIMIT: usize = 64;

/// A header as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its name, spelled as sent.
    pub name: SmolStr,
    /// Its value, without the space around it.
    pub value: Bytes,
}

/// Headers in the order in which they came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Every header.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// The value of the first header of that name.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.0
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_ref())
    }

    /// The value of the first header of that name, where it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// The value of the first header of that name, where it is a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.trim().parse().ok()
    }

    /// Whether a list header names a token.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.0
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case(name))
            .filter_map(|header| std::str::from_utf8(&header.value).ok())
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }

    fn values(&self, name: &str) -> impl Iterator<Item = &[u8]> {
        self.0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_ref())
    }

    /// How a body is framed; nothing where the headers say neither a length nor chunks.
    fn framing(&self) -> Result<Option<Framing>, HeadError> {
        let mut lengths = self.values("content-length");
        let length = match lengths.next() {
            None => None,
            Some(value) => Some(parse_length(value)?),
        };
        // Two lengths, or a length beside chunks, are read differently by different programs.
        if lengths.next().is_some() {
            return Err(HeadError::AmbiguousLength);
        }
        let mut encodings = self.values("transfer-encoding");
        match (encodings.next(), length) {
            (None, None) => Ok(None),
            (None, Some(length)) => Ok(Some(Framing::Length(length))),
            (Some(_), Some(_)) => Err(HeadError::AmbiguousLength),
            (Some(value), None) => {
                if value.eq_ignore_ascii_case(b"chunked") && encodings.next().is_none() {
                    Ok(Some(Framing::Chunked))
                } else {
                    Err(HeadError::UnknownEncoding)
                }
            }
        }
    }
}

fn parse_length(value: &[u8]) -> Result<u64, HeadError> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(HeadError::AmbiguousLength);
    }
    std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.parse().ok())
        .ok_or(HeadError::AmbiguousLength)
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: SmolStr,
    /// Path and query, as sent.
    pub target: SmolStr,
    /// Headers.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection stays open after the answer, as far as the sender is concerned.
    pub keep_alive: bool,
}

impl RequestHead {
    /// The path, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }
}

/// Head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the connection stays open after the answer, as far as the sender is concerned.
    pub keep_alive: bool,
}

/// A head that can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum HeadError {
    /// It breaks the protocol.
    #[display("malformed head")]
    Malformed,
    /// It is larger than the limit.
    #[display("head is too large")]
    TooLarge,
    /// The length of its body can be read in two ways.
    #[display("ambiguous length of the body")]
    AmbiguousLength,
    /// Its body has an encoding other than chunks.
    #[display("unknown transfer encoding")]
    UnknownEncoding,
}

impl RequestHead {
    /// Takes a head off the front of `buffer`; nothing where it is not whole yet.
    ///
    /// # Errors
    ///
    /// A head that is malformed, larger than `limit_bytes`, or ambiguous.
    pub fn take(buffer: &mut BytesMut, limit_bytes: usize) -> Result<Option<Self>, HeadError> {
        skip_empty_lines(buffer);
        let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
        let mut request = httparse::Request::new(&mut headers);
        let length = match request.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() > limit_bytes => {
                return Err(HeadError::TooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Malformed),
        };
        if length > limit_bytes {
            return Err(HeadError::TooLarge);
        }
        let method = SmolStr::new(request.method.unwrap_or_default());
        let target = SmolStr::new(request.path.unwrap_or_default());
        let minor = request.version.unwrap_or(0);
        let spans = spans(buffer, request.headers);
        let headers = owned(buffer, length, spans);
        let keep_alive = keep_alive(minor, &headers);
        Ok(Some(Self {
            method,
            target,
            framing: headers.framing()?.unwrap_or(Framing::Length(0)),
            keep_alive,
            headers,
        }))
    }
}

impl ResponseHead {
    /// Takes a head off the front of `buffer`; nothing where it is not whole yet.
    ///
    /// # Errors
    ///
    /// A head that is malformed, larger than `limit_bytes`, or ambiguous.
    pub fn take(buffer: &mut BytesMut, limit_bytes: usize) -> Result<Option<Self>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
        let mut response = httparse::Response::new(&mut headers);
        let length = match response.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if buffer.len() > limit_bytes => {
                return Err(HeadError::TooLarge);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(HeadError::TooLarge),
            Err(_) => return Err(HeadError::Malformed),
        };
        let status = response.code.unwrap_or(0);
        let minor = response.version.unwrap_or(0);
        let spans = spans(buffer, response.headers);
        let headers = owned(buffer, length, spans);
        let framing = match (status, headers.framing()?) {
            (100..=199 | 204 | 304, _) => Framing::Length(0),
            (_, Some(framing)) => framing,
            (_, None) => Framing::UntilClose,
        };
        let keep_alive = keep_alive(minor, &headers) && framing != Framing::UntilClose;
        Ok(Some(Self {
            status,
            headers,
            framing,
            keep_alive,
        }))
    }
}

fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
}

fn keep_alive(minor: u8, headers: &Headers) -> bool {
    if minor == 0 {
        headers.contains_token("connection", "keep-alive")
    } else {
        !headers.contains_token("connection", "close")
    }
}

type Span = (SmolStr, usize, usize);

/// Names with the places of their values in the buffer, which are cut out of it afterwards.
fn spans(buffer: &BytesMut, headers: &[httparse::Header<'_>]) -> Vec<Span> {
    let base = buffer.as_ptr().addr();
    headers
        .iter()
        .map(|header| {
            // An empty value need not point into the buffer.
            let start = match header.value {
                [] => 0,
                value => value.as_ptr().addr() - base,
            };
            (SmolStr::new(header.name), start, start + header.value.len())
        })
        .collect()
}

fn owned(buffer: &mut BytesMut, length: usize, spans: Vec<Span>) -> Headers {
    let head = buffer.split_to(length).freeze();
    let header = |(name, start, end)| Header {
        name,
        value: head.slice(start..end),
    };
    Headers(spans.into_iter().map(header).collect())
}
