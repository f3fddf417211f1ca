//! Datagrams: the sender's name, a seal under the key that it registered, and a digest.

use std::fmt;

use anvil_core::id::HostId;
use anvil_wire::codec::{
    self,
    CodecError, //
};
use bytes::BufMut;
use hmac::{
    Hmac,
    Mac, //
};
use sha2::Sha256;
use smol_str::SmolStr;

use crate::gateway::Gateway;

use super::message::{
    self,
    Digest, //
};

/// Bytes of a key.
const KEY_BYTES: usize = 16;
/// Bytes of a seal; a forger has one chance in 2^128.
const SEAL_BYTES: usize = 16;

/// Key of a host's datagrams. It stands in the store, which only hosts read, and lasts as long as
/// the process.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Key([u8; KEY_BYTES]);

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Key(..)")
    }
}

impl Key {
    /// Draws a key.
    pub fn draw(gateway: &Gateway) -> Self {
        let number = (u128::from(gateway.random_u64()) << 64) | u128::from(gateway.random_u64());
        Self(number.to_be_bytes())
    }

    /// The key in hexadecimal.
    pub fn text(&self) -> SmolStr {
        let number = u128::from_be_bytes(self.0);
        SmolStr::new(format!("{number:032x}"))
    }

    /// Reads a key in hexadecimal.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 2 * KEY_BYTES {
            return None;
        }
        let number = u128::from_str_radix(text, 16).ok()?;
        Some(Self(number.to_be_bytes()))
    }

    fn mac(&self) -> Hmac<Sha256> {
        Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length")
    }
}

/// Encodes a digest under a key.
pub(super) fn seal(digest: &Digest, key: &Key) -> Result<Vec<u8>, CodecError> {
    let mut datagram = Vec::with_capacity(512);
    datagram.put_u8(u8::try_from(digest.host.len()).unwrap_or(u8::MAX));
    datagram.extend_from_slice(digest.host.as_bytes());
    let seal_at = datagram.len();
    datagram.extend_from_slice(&[0; SEAL_BYTES]);
    codec::encode_into(&message::to_wire(digest), &mut datagram)?;
    let seal = key
        .mac()
        .chain_update(&datagram[seal_at + SEAL_BYTES..])
        .finalize()
        .into_bytes();
    datagram[seal_at..seal_at + SEAL_BYTES].copy_from_slice(&seal[..SEAL_BYTES]);
    Ok(datagram)
}

/// The sender that a datagram names, not checked yet.
pub(super) fn sender(datagram: &[u8]) -> Option<HostId> {
    let (length, rest) = datagram.split_first()?;
    let name = rest.get(..usize::from(*length))?;
    std::str::from_utf8(name).ok().map(HostId::new)
}

/// Checks a datagram's seal and decodes its digest.
pub(super) fn open(datagram: &[u8], key: &Key) -> Option<Digest> {
    let (length, rest) = datagram.split_first()?;
    let (name, rest) = rest.split_at_checked(usize::from(*length))?;
    let (seal, body) = rest.split_at_checked(SEAL_BYTES)?;
    key.mac()
        .chain_update(body)
        .verify_truncated_left(seal)
        .ok()?;
    let digest = message::from_wire(codec::decode(body).ok()?)?;
    (digest.host.as_bytes() == name).then_some(digest)
}
