//! Puts text that other programs wrote into the heads of requests.

use percent_encoding::{
    AsciiSet,
    NON_ALPHANUMERIC,
    percent_decode_str,
    percent_encode, //
};
use smol_str::SmolStr;

/// Bytes that a value of a query can't hold as they are, or that some servers split a query at.
const QUERY_VALUE_ESCAPES: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'/')
    .remove(b':')
    .remove(b'_')
    .remove(b'~');

/// Percent-encodes a value of a query.
pub fn encode_query_value(value: impl AsRef<[u8]>) -> String {
    percent_encode(value.as_ref(), QUERY_VALUE_ESCAPES).to_string()
}

/// Decodes a value of a query. Returns `None` if the text that it stands for is no UTF-8.
pub fn decode_query_value(value: &str) -> Option<SmolStr> {
    let decoded = percent_decode_str(value).decode_utf8().ok()?;
    Some(decoded.as_ref().into())
}

/// Returns whether a header can hold a text as its value, and its receiver reads the same text from it.
pub fn is_header_value(text: &str) -> bool {
    let is_trimmed = !text.is_empty() && !text.starts_with(' ') && !text.ends_with(' ');
    // The replacement character stands for bytes that are no UTF-8.
    let is_faithful = |char: char| !char.is_control() && char != char::REPLACEMENT_CHARACTER;
    is_trimmed && text.chars().all(is_faithful)
}
