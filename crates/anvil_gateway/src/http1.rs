//! HTTP/1.1 over TCP: heads, bodies and connections, with nothing re-sent or hidden.
//!
//! Heads are parsed by `httparse`. A general client was weighed: it drops an answer that comes
//! before the one awaited, which the gateway must tell apart by its id, and pools connections on
//! its own.

mod body;
mod connection;
mod head;

#[cfg(test)]
mod tests;

pub use body::{
    BodyDecoder,
    BodyError,
    Framing,
    Piece, //
};
pub use connection::{
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
