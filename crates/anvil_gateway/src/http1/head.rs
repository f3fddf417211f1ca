//! Parses the heads of requests and answers.

use std::ops::RangeInclusive;

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

/// Most headers in one head. Callers send far fewer.
const HEADERS_MAX: usize = 64;
/// Statuses of the protocol, of known and unknown meaning. Any other three digits are no status.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// A header as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its name, in the case in which it was sent.
    pub name: SmolStr,
    /// Its value, without surrounding whitespace.
    pub value: Bytes,
}

/// Headers in the order of the head; names are compared regardless of case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Returns all headers in order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Returns the value of the first header of that name; `None` if there is none.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.0
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_ref())
    }

    /// Returns the value of the first header of that name; `None` if there is none or it is not
    /// valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns the value of the first header of that name; `None` if there is none or it is no
    /// unsigned integer.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.trim().parse().ok()
    }

    /// Returns whether the comma-separated lists of a header contain a token, regardless of case.
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

    /// Returns how the body is framed; `None` if the headers state neither a length nor an
    /// encoding.
    ///
    /// # Errors
    ///
    /// Returns an error if the length is ambiguous or the encoding is not `chunked`.
    fn framing(&self, minor_version: u8) -> Result<Option<Framing>, HeadError> {
        let mut lengths = self.values("content-length");
        let length = match lengths.next() {
            None => None,
            Some(value) => Some(parse_length(value)?),
        };
        // Programs differ in how they treat two lengths, or a length together with chunks.
        if lengths.next().is_some() {
            return Err(HeadError::AmbiguousLength);
        }
        let mut encodings = self.values("transfer-encoding");
        match (encodings.next(), length) {
            (None, None) => Ok(None),
            (None, Some(length)) => Ok(Some(Framing::Length(length))),
            (Some(_), Some(_)) => Err(HeadError::AmbiguousLength),
            (Some(value), None) => {
                if !value.eq_ignore_ascii_case(b"chunked") || encodings.next().is_some() {
                    Err(HeadError::UnknownEncoding)
                } else if minor_version == 0 {
                    // A sender of HTTP/1.0 may not know chunks, so that the end of the body is unclear.
                    Err(HeadError::AmbiguousLength)
                } else {
                    Ok(Some(Framing::Chunked))
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

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, such as `GET`.
    pub method: SmolStr,
    /// Path and query as sent.
    pub target: SmolStr,
    /// The headers in order.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the sender keeps the connection open after the answer.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or(&self.target)
    }
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status. Invariant: 100 to 599.
    pub status: u16,
    /// The headers in order.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the sender keeps the connection open after the answer.
    pub keep_alive: bool,
}

/// The error for a head that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum HeadError {
    /// The head breaks the protocol.
    #[display("malformed head")]
    Malformed,
    /// The head is larger than the limit or has too many headers.
    #[display("head is too large")]
    TooLarge,
    /// The length of the body is malformed, or stated in more than one way.
    #[display("ambiguous length of the body")]
    AmbiguousLength,
    /// The body has an encoding other than `chunked`.
    #[display("unknown transfer encoding")]
    UnknownEncoding,
}

impl RequestHead {
    /// Removes a head from the front of `buffer`; returns `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns a [`HeadError`] if the head is malformed, larger than `limit_bytes`, or ambiguous.
    pub fn take(buffer: &mut BytesMut, limit_bytes: usize) -> Result<Option<Self>, HeadError> {
        skip_empty_lines(buffer);
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
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
        let minor_version = request.version.unwrap_or(0);
        let spans = value_spans(buffer, request.headers);
        let headers = split_off_headers(buffer, length, spans);
        if headers.values("host").nth(1).is_some() {
            return Err(HeadError::Malformed);
        }
        let framing = headers.framing(minor_version)?;
        let framing = framing.unwrap_or(Framing::Length(0));
        let keep_alive = is_keep_alive(minor_version, &headers);
        Ok(Some(Self {
            method,
            target,
            framing,
            keep_alive,
            headers,
        }))
    }
}

impl ResponseHead {
    /// Returns whether a body follows in the answer to a request with `method`, even if it is empty.
    pub fn has_body(&self, method: &str) -> bool {
        method != "HEAD" && !matches!(self.status, 100..=199 | 204 | 304)
    }

    /// Removes a head from the front of `buffer`; returns `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns a [`HeadError`] if the head is malformed, larger than `limit_bytes`, or ambiguous.
    pub fn take(buffer: &mut BytesMut, limit_bytes: usize) -> Result<Option<Self>, HeadError> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
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
        if has_mixed_line_ends(&buffer[..length]) {
            return Err(HeadError::Malformed);
        }
        let status = response.code.filter(|status| STATUSES.contains(status));
        let status = status.ok_or(HeadError::Malformed)?;
        let minor_version = response.version.unwrap_or(0);
        let spans = value_spans(buffer, response.headers);
        let headers = split_off_headers(buffer, length, spans);
        let framing = match (status, headers.framing(minor_version)?) {
            (100..=199 | 204 | 304, _) => Framing::Length(0),
            (_, Some(framing)) => framing,
            (_, None) => Framing::UntilClose,
        };
        let keep_alive = is_keep_alive(minor_version, &headers) && framing != Framing::UntilClose;
        Ok(Some(Self {
            status,
            headers,
            framing,
            keep_alive,
        }))
    }
}

/// Removes empty lines that some clients send before a request.
fn skip_empty_lines(buffer: &mut BytesMut) {
    while buffer.starts_with(b"\r\n") {
        buffer.advance(2);
    }
}

/// Returns whether some lines of a head end with CR LF and others with LF alone. To a sender that ends
/// lines with both, a single LF is a byte within a line; taken for an end, it may turn the rest of the
/// head into a body.
fn has_mixed_line_ends(head: &[u8]) -> bool {
    let mut ends = memchr::memchr_iter(b'\n', head).map(|end| head[..end].ends_with(b"\r"));
    let first = ends.next();
    ends.any(|end| Some(end) != first)
}

fn is_keep_alive(minor_version: u8, headers: &Headers) -> bool {
    if minor_version == 0 {
        headers.contains_token("connection", "keep-alive")
    } else {
        !headers.contains_token("connection", "close")
    }
}

/// The name of a header, with the start and end of its value in the buffer.
type ValueSpan = (SmolStr, usize, usize);

/// Returns the spans of the header values. The parsed headers borrow the buffer, so that the values
/// are split off it afterwards, by [`split_off_headers`].
fn value_spans(buffer: &BytesMut, headers: &[httparse::Header<'_>]) -> Vec<ValueSpan> {
    let base = buffer.as_ptr().addr();
    headers
        .iter()
        .map(|header| {
            // The slice of an empty value may point outside of the buffer.
            let start = match header.value {
                [] => 0,
                value => value.as_ptr().addr() - base,
            };
            (SmolStr::new(header.name), start, start + header.value.len())
        })
        .collect()
}

/// Splits the head off the buffer and returns its headers, which share the memory of the buffer.
fn split_off_headers(buffer: &mut BytesMut, length: usize, spans: Vec<ValueSpan>) -> Headers {
    let head = buffer.split_to(length).freeze();
    let header = |(name, start, end)| Header {
        name,
        value: head.slice(start..end),
    };
    Headers(spans.into_iter().map(header).collect())
}
