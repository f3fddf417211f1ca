//! Compresses the operators' table for its way between hosts.
//!
//! Load that it answers: one relay sends each version to all hosts of its data centre that have asked,
//! over one link. Tables repeat names and keywords, and compress to a fraction.

use std::{
    cell::RefCell,
    io::{
        Read,
        Write, //
    },
};

use bytes::Bytes;
use flate2::{
    Compression,
    read::ZlibDecoder,
    write::ZlibEncoder, //
};
use smol_str::{
    SmolStr,
    ToSmolStr, //
};

#[cfg(test)]
mod tests;

/// Name of the encoding in headers.
pub(super) const ENCODING: &str = "zlib";
/// Largest table that is unpacked.
const UNPACKED_LIMIT_BYTES: u64 = 8 << 20;

/// The last table that was packed, which all answers share.
#[derive(Debug, Default)]
pub(crate) struct PackedTable(RefCell<Option<Forms>>);

#[derive(Debug)]
struct Forms {
    encoded: Bytes,
    packed: Bytes,
}

impl PackedTable {
    /// Returns a table in its packed form. The memory of the table tells whether it is the last one:
    /// a restored store may give the same version to another.
    pub(super) fn pack(&self, encoded: &Bytes) -> Bytes {
        let mut kept = self.0.borrow_mut();
        if let Some(forms) = kept.as_ref()
            && forms.encoded.as_ptr() == encoded.as_ptr()
            && forms.encoded.len() == encoded.len()
        {
            return forms.packed.clone();
        }
        let packed = pack(encoded);
        *kept = Some(Forms {
            encoded: encoded.clone(),
            packed: packed.clone(),
        });
        packed
    }
}

fn pack(encoded: &[u8]) -> Bytes {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(encoded).and_then(|()| encoder.finish());
    written.expect("writing to memory can't fail").into()
}

/// Returns the table of a packed form.
///
/// # Errors
///
/// Returns a description if the form is damaged, or if the table is larger than the limit.
pub(super) fn unpack(packed: &[u8]) -> Result<Bytes, SmolStr> {
    let mut encoded = Vec::new();
    ZlibDecoder::new(packed)
        .take(UNPACKED_LIMIT_BYTES + 1)
        .read_to_end(&mut encoded)
        .map_err(|error| error.to_smolstr())?;
    match encoded.len() as u64 <= UNPACKED_LIMIT_BYTES {
        true => Ok(encoded.into()),
        false => Err(SmolStr::new_static("the table exceeds the size limit")),
    }
}
