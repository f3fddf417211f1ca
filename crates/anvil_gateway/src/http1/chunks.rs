//! Writes bodies in chunked transfer encoding.

use std::io::Write;

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Chunks of a body that are to be written. They never hold the end of the body, which is
/// [`LAST_CHUNK`].
#[derive(Debug, Default)]
pub struct Chunks {
    bytes: Vec<u8>,
}

impl Chunks {
    /// Appends a chunk. Nothing is appended for no data, since an empty chunk would end the body.
    pub fn push(&mut self, data: &[u8]) {
        if data.is_empty() {
            return;
        }
        write!(self.bytes, "{:x}\r\n", data.len()).expect("writing to a Vec cannot fail");
        self.bytes.extend_from_slice(data);
        self.bytes.extend_from_slice(b"\r\n");
    }

    /// Returns the encoded chunks.
    pub fn as_bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns whether there is no chunk.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Removes all chunks.
    pub fn clear(&mut self) {
        self.bytes.clear();
    }
}
