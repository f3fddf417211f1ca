//! Format of a datagram: the sender's name, an authentication tag under the sender's registered
//! key, and a digest.

use std::fmt;

use anvil_core::{
    exchange::TargetLoad,
    id::HostId, //
};
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

/// Most bytes that the load of a target takes.
const LOAD_BYTES_MAX: usize = 20;

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

    /// Returns the authentication tag of parts of a message as hexadecimal digits. The length of each
    /// part counts, so that no part can pass for the end of another.
    pub(super) fn tag(&self, parts: &[&[u8]]) -> String {
        let tag = self.mac_of(parts).finalize().into_bytes();
        tag[..TAG_BYTES]
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect()
    }

    /// Returns whether a tag in hexadecimal digits is that of parts of a message.
    pub(super) fn verify(&self, parts: &[&[u8]], tag: &str) -> bool {
        let Some(bytes) = decode_hex(tag) else {
            return false;
        };
        self.mac_of(parts).verify_truncated_left(&bytes).is_ok()
    }

    fn mac_of(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        parts.iter().fold(self.mac(), |mac, part| {
            mac.chain_update((part.len() as u64).to_be_bytes())
                .chain_update(part)
        })
    }

    fn mac(&self) -> Hmac<Sha256> {
        Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length")
    }
}

/// Decodes a tag from hexadecimal digits.
fn decode_hex(text: &str) -> Option<[u8; TAG_BYTES]> {
    let is_tag = text.len() == 2 * TAG_BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u128::from_str_radix(text, 16).ok()?;
    is_tag.then_some(number.to_be_bytes())
}

/// Encodes a digest into a datagram with an authentication tag.
pub(super) fn encode_authenticated(
    digest: &Digest,
    key: &DatagramKey,
) -> Result<Vec<u8>, CodecError> {
    let mut datagram = Vec::with_capacity(1024);
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

/// Order in which loads are left out of a digest that is too large.
pub(super) struct LoadOrder<'a> {
    /// Whether a target, by its hash, is one that the receiver probably uses. These come first.
    pub is_near: &'a dyn Fn(u32) -> bool,
    /// Hash from which on targets come first among the near ones, and among the others. If it moves
    /// on, each load is sent once in a few digests.
    pub first: u32,
}

/// A digest in a datagram.
#[derive(Debug)]
pub(super) struct Encoded {
    pub datagram: Vec<u8>,
    /// Number of loads that were left out.
    pub cut_loads: usize,
    /// Hash of the first target whose load was left out.
    pub first_cut: Option<u32>,
}

/// Encodes a digest into a datagram of at most `limit_bytes`. A larger digest is shortened: first by
/// the target changes, which the receivers then read from the store, then by loads, then by the demand
/// of ranks, then by the states of suspects, last ones first. Returns `None` if it is too large without all of them.
pub(super) fn encode_within(
    limit_bytes: usize,
    digest: &mut Digest,
    order: &LoadOrder<'_>,
    key: &DatagramKey,
) -> Result<Option<Encoded>, CodecError> {
    let datagram = encode_authenticated(digest, key)?;
    let mut encoded = Encoded {
        datagram,
        cut_loads: 0,
        first_cut: None,
    };
    if encoded.datagram.len() > limit_bytes && digest.target_changes.take().is_some() {
        encoded.datagram = encode_authenticated(digest, key)?;
    }
    if encoded.datagram.len() <= limit_bytes {
        return Ok(Some(encoded));
    }
    let mut loads: Vec<(u32, TargetLoad)> = std::mem::take(&mut digest.summary.loads)
        .into_iter()
        .collect();
    loads.sort_by_key(|(target, _)| (!(order.is_near)(*target), target.wrapping_sub(order.first)));
    let load_count = loads.len();
    digest.is_cut = true;
    while !loads.is_empty() {
        let excess_bytes = encoded.datagram.len().saturating_sub(limit_bytes);
        let cut = excess_bytes.div_ceil(LOAD_BYTES_MAX).clamp(1, loads.len());
        let rest = loads.split_off(loads.len() - cut);
        encoded.first_cut = rest.first().map(|(target, _)| *target);
        encoded.cut_loads = load_count - loads.len();
        digest.summary.loads = loads.iter().copied().collect();
        encoded.datagram = encode_authenticated(digest, key)?;
        if encoded.datagram.len() <= limit_bytes {
            return Ok(Some(encoded));
        }
    }
    if !digest.summary.ranks.is_empty() {
        digest.summary.ranks.clear();
        encoded.datagram = encode_authenticated(digest, key)?;
        if encoded.datagram.len() <= limit_bytes {
            return Ok(Some(encoded));
        }
    }
    while digest.suspect_states.pop().is_some() {
        encoded.datagram = encode_authenticated(digest, key)?;
        if encoded.datagram.len() <= limit_bytes {
            return Ok(Some(encoded));
        }
    }
    Ok(None)
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
