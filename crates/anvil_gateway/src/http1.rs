//! HTTP/1.1 over TCP: heads, bodies and connections. A request is never sent again here, and every
//! answer except interim ones (1xx) is handed to the gateway.
//!
//! Heads are parsed by `httparse`. A general HTTP client doesn't fit: it drops an answer that
//! arrives before the expected one, which the gateway must recognise by its id, and it manages its
//! connection pool by itself.

mod body;
mod chunks;
mod connection;
mod head;
mod segments;
mod text;

#[cfg(test)]
mod fuzz;
#[cfg(test)]
mod tests;

pub use body::{
    BodyDecoder,
    BodyError,
    Framing,
    Piece, //
};
pub use chunks::{
    Chunks,
    LAST_CHUNK, //
};
pub use connection::{
    BodySize,
    ConnectError,
    Connection,
    ReadError, //
};
pub use head::{
    HeadError,
    Header,
    Headers,
    RequestHead,
    ResponseHead, //
};
pub use segments::Body;
pub use text::{
    decode_query_value,
    encode_query_value,
    is_header_value, //
};
