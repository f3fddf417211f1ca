//! The lease for placing models and the fencing tokens of its holder.

use std::time::Duration;

use anvil_core::id::FencingToken;

use crate::{
    clock::BootTime,
    port::{
        Era,
        GroupMembership, //
    },
};

#[cfg(test)]
mod tests;

/// Share of the lease duration after which the holder sends no more orders unless the lease was
/// renewed.
const ORDER_SHARE: f64 = 0.75;
/// Number of bits of a fencing token that hold the generation; the era stands above them.
const GENERATION_BITS: u32 = 32;
/// Number of bits that an engine reads exactly, because it may read numbers as double-precision
/// floating point.
const TOKEN_BITS: u32 = 53;

/// Returns the fencing token for a generation of the group in an era, or `None` if it would be too
/// large.
///
/// A store that is restored from an older copy counts generations from a lower number again. The era
/// above the generation keeps tokens rising, so that engines accept those of the next placer and
/// refuse those of an older era.
fn fencing_token(era: Era, generation: u64) -> Option<FencingToken> {
    let is_valid = generation < 1 << GENERATION_BITS && era < 1 << (TOKEN_BITS - GENERATION_BITS);
    is_valid.then_some((era << GENERATION_BITS) | generation)
}

/// A lease that the store granted.
#[derive(Clone, Copy, Debug)]
struct Grant {
    /// When the call that last renewed it was sent.
    requested_at: BootTime,
    /// Era of the store that granted it. Invariant: it is valid in this era only.
    era: Era,
    fencing_token: FencingToken,
}

/// What a host knows about the lease for placing models.
#[derive(Debug, Default)]
pub(super) struct Lease {
    grant: Option<Grant>,
    /// Last membership of the group, held or not.
    membership: Option<GroupMembership>,
    /// Highest fencing token that a target refused. Orders need a higher one.
    max_refused_token: FencingToken,
}

impl Lease {
    /// Returns whether this host holds the lease, as far as it knows.
    pub(super) fn is_held(&self) -> bool {
        self.grant.is_some()
    }

    /// Returns the generation of the group that the store reported last in an era, or 0.
    pub(super) fn generation(&self, era: Era) -> u64 {
        self.membership
            .filter(|membership| membership.era == era)
            .map_or(0, |membership| membership.generation)
    }

    /// Returns whether `membership` is the last one that was recorded.
    pub(super) fn is_same(&self, membership: GroupMembership) -> bool {
        self.membership == Some(membership)
    }

    /// Records the store's answer to a call that was sent at `requested_at`.
    pub(super) fn renew(&mut self, membership: GroupMembership, requested_at: BootTime) {
        self.membership = Some(membership);
        let token = fencing_token(membership.era, membership.generation);
        if token.is_none() {
            spdlog::warn!("placer.token_too_large", kv: {
                era = membership.era,
                generation = membership.generation,
            });
        }
        self.grant = token
            .filter(|_| membership.is_placer)
            .map(|fencing_token| Grant {
                requested_at,
                era: membership.era,
                fencing_token,
            });
    }

    /// Gives the lease up if it lasted for `duration` without a renewal or belongs to an era other
    /// than `era`. Returns the reason if it was given up.
    pub(super) fn expire(&mut self, duration: Duration, era: Era) -> Option<&'static str> {
        let grant = self.grant?;
        let reason = if grant.era != era {
            "the store was restored"
        } else if grant.requested_at.elapsed() > duration {
            "lease expired"
        } else {
            return None;
        };
        self.grant = None;
        Some(reason)
    }

    /// Gives the lease up.
    pub(super) fn give_up(&mut self) {
        self.grant = None;
    }

    /// Records that a target refused a token for a higher one.
    pub(super) fn record_refused(&mut self, token: FencingToken) {
        self.max_refused_token = self.max_refused_token.max(token);
    }

    /// Returns the fencing token, or `None` while this host must not send orders. `duration` is that
    /// of the lease, `era` the newest known one.
    pub(super) fn token(&self, duration: Duration, era: Era) -> Option<FencingToken> {
        let grant = self.grant?;
        let is_valid = grant.era == era
            && grant.requested_at.elapsed() < duration.mul_f64(ORDER_SHARE)
            && grant.fencing_token > self.max_refused_token;
        is_valid.then_some(grant.fencing_token)
    }
}
