//! Format of a datagram: the sender's name, an authentication tag under the sender's registered
//! key, and a digest.

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

/// Length of a key.
const KEY_BYTES: usize = 16;
/// Length of an authentication tag, the first bytes of an HMAC-SHA256. A forged tag passes with a
/// probability of 2^-128.
const TAG_BYTES: usize = 16;

/// Key that authenticates a host's datagrams. It is kept in the store, which only hosts can read,
/// and is valid as long as the process runs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct DatagramKey([u8; KEY_BYTES]);

impl fmt::Debug for DatagramKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("DatagramKey(..)")
    }
}

impl DatagramKey {
    /// Generates a random key.
    pub fn generate(gateway: &Gateway) -> Self {
        let number = (u128::from(gateway.random_u64()) << 64) | u128::from(gateway.random_u64());
        Self(number.to_be_bytes())
    }

    /// Returns the key as 32 lower-case hexadecimal digits.
    pub fn hex(&self) -> SmolStr {
        let number = u128::from_be_bytes(self.0);
        SmolStr::new(format!("{number:032x}"))
    }

    /// Parses a key from 32 hexadecimal digits. Returns `None` if the text has another form.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 2 * KEY_BYTES {
            return None;
        }
        let number = u128::from_str_radix(text, 16).ok()?;
        Some(Self(number.to_be_bytes()))
    }

    fn mac(&self) -> Hmac<Sha256> {
        Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length")
    }
}

/// Encodes a digest into a datagram with an authentication tag.
pub(super) fn encode_authenticated(
    digest: &Digest,
    key: &DatagramKey,
) -> Result<Vec<u8>, CodecError> {
    let mut datagram = Vec::with_capacity(512);
    datagram.put_u8(u8::try_from(digest.host.len()).unwrap_or(u8::MAX));
    datagram.extend_from_slice(digest.host.as_bytes());
    let tag_offset = datagram.len();
    datagram.extend_from_slice(&[0; TAG_BYTES]);
    codec::encode_into(&message::to_wire(digest), &mut datagram)?;
    let tag = key
        .mac()
        .chain_update(&datagram[tag_offset + TAG_BYTES..])
        .finalize()
        .into_bytes();
    datagram[tag_offset..tag_offset + TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
    Ok(datagram)
}

/// Encodes a digest into a datagram of at most `limit_bytes`. A larger digest is shortened: first by
/// the target changes, which the receivers then read from the store, then by the smallest loads.
/// Returns `None` if it is too large without both.
pub(super) fn encode_within(
    limit_bytes: usize,
    digest: &mut Digest,
    key: &DatagramKey,
) -> Result<Option<Vec<u8>>, CodecError> {
    loop {
        let datagram = encode_authenticated(digest, key)?;
        if datagram.len() <= limit_bytes {
            return Ok(Some(datagram));
        }
        let has_changes = digest.target_changes.take().is_some();
        if has_changes {
            continue;
        }
        if digest.loads.is_empty() {
            return Ok(None);
        }
        let loads = &mut digest.loads;
        loads.sort_by(|left, right| right.token_layers.total_cmp(&left.token_layers));
        loads.truncate(loads.len() * 3 / 4);
    }
}

/// Returns the sender that a datagram names, without checking the tag. Returns `None` if the name
/// is cut short or not UTF-8.
pub(super) fn claimed_sender(datagram: &[u8]) -> Option<HostId> {
    let (length, rest) = datagram.split_first()?;
    let name = rest.get(..usize::from(*length))?;
    std::str::from_utf8(name).ok().map(HostId::new)
}

/// Checks a datagram's authentication tag and decodes its digest. Returns `None` if the tag is
/// wrong, the digest can't be decoded, or it names another sender than the datagram.
pub(super) fn decode_authenticated(datagram: &[u8], key: &DatagramKey) -> Option<Digest> {
    let (length, rest) = datagram.split_first()?;
    let (name, rest) = rest.split_at_checked(usize::from(*length))?;
    let (tag, body) = rest.split_at_checked(TAG_BYTES)?;
    key.mac()
        .chain_update(body)
        .verify_truncated_left(tag)
        .ok()?;
    let digest = message::from_wire(codec::decode(body).ok()?)?;
    (digest.host.as_bytes() == name).then_some(digest)
}
