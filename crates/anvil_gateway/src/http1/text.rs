//! Puts text that other programs wrote into the heads of requests.

use percent_encoding::{
    AsciiSet,
    NON_ALPHANUMERIC,
    percent_encode, //
};

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
