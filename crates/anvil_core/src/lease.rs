//! Leases on the platform's log. At most one host at a time considers itself the holder of a
//! lease.
//!
//! A lease's records are applied in offset order. The holder counts the lease's duration by its own
//! clock, from a time before it sent its request. The other hosts count it from the age of the
//! record, which the log reports. The offset of the holder's last record is the fencing token of
//! its orders.

use std::time::{
    Duration,
    Instant, //
};

use derive_more::Display;

use crate::id::{
    FencingToken,
    HostId,
    Incarnation,
    Offset, //
};

/// Timing of leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Time for which a record grants the lease.
    pub duration: Duration,
    /// Time after the holder's last request from which it renews the lease. Invariant: below
    /// `duration - margin`.
    pub renew_after: Duration,
    /// Safety margin for clocks that run at different rates: the holder stops using the lease this
    /// long before it expires, and another host waits this long after it expires.
    pub margin: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(12),
            renew_after: Duration::from_secs(4),
            margin: Duration::from_secs(1),
        }
    }
}

impl Settings {
    /// Checks the invariants of the fields.
    ///
    /// # Errors
    ///
    /// Returns the text of the rule that is broken.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.renew_after + self.margin >= self.duration {
            return Err("renew_after must be below duration minus margin");
        }
        Ok(())
    }
}

/// Holder of a lease: one run of a host's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display)]
#[display("{host}-{incarnation:x}")]
pub struct Holder {
    /// Name of the host.
    pub host: HostId,
    /// Run of the host's process.
    pub incarnation: Incarnation,
}

/// A record of a lease's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A host requests or renews the lease.
    Take {
        /// Run of the host that requests the lease.
        holder: Holder,
        /// Time for which the lease is requested, from the creation of the record.
        duration: Duration,
    },
    /// The holder gives up the lease.
    Yield {
        /// Run of the host that gives up the lease.
        holder: Holder,
    },
}

/// Effect of a record on a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Applied {
    /// The lease has a new holder.
    Taken,
    /// The holder renewed the lease.
    Renewed,
    /// Another host holds the lease, so the request has no effect.
    Void,
    /// The holder gave up the lease, which is now free.
    Yielded,
    /// The payload is not a record, or a host other than the holder gave up the lease. It has no
    /// effect.
    Ignored,
}

/// The latest record that granted the lease.
#[derive(Clone, Debug)]
struct Grant {
    holder: Holder,
    offset: Offset,
    created_at: Instant,
    duration: Duration,
}

/// State of a lease after the records applied so far.
#[derive(Clone, Debug, Default)]
pub struct Register {
    /// Invariant: above the offset of every record applied.
    next_offset: Offset,
    grant: Option<Grant>,
}

impl Register {
    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the last holder, even if its lease has expired. Returns `None` if no host has taken
    /// the lease or the last holder gave it up.
    pub fn holder(&self) -> Option<&Holder> {
        self.grant.as_ref().map(|grant| &grant.holder)
    }

    /// Applies the record at `offset`, which was `age` old when it was read at `now`. `None` stands
    /// for a payload that is not a record.
    ///
    /// # Panics
    ///
    /// Panics if a record is applied twice or out of order.
    pub fn apply(
        &mut self,
        offset: Offset,
        age: Duration,
        record: Option<&Record>,
        now: Instant,
    ) -> Applied {
        assert!(
            offset >= self.next_offset,
            "lease record at offset {offset} applied twice or out of order: next offset is {}",
            self.next_offset
        );
        self.next_offset = offset + 1;
        let created_at = now.checked_sub(age).unwrap_or(now);
        match record {
            Some(Record::Take { holder, duration }) => {
                self.take(offset, created_at, holder, *duration)
            }
            Some(Record::Yield { holder }) if self.holder() == Some(holder) => {
                self.grant = None;
                Applied::Yielded
            }
            Some(Record::Yield { .. }) | None => Applied::Ignored,
        }
    }

    fn take(
        &mut self,
        offset: Offset,
        created_at: Instant,
        holder: &Holder,
        duration: Duration,
    ) -> Applied {
        let applied = match &self.grant {
            Some(grant) if grant.holder == *holder => Applied::Renewed,
            Some(grant)
                if created_at.saturating_duration_since(grant.created_at) < grant.duration =>
            {
                return Applied::Void;
            }
            Some(_) | None => Applied::Taken,
        };
        self.grant = Some(Grant {
            holder: holder.clone(),
            offset,
            created_at,
            duration,
        });
        applied
    }

    /// Returns whether a host other than the holder may request the lease at `now`.
    pub fn is_free(&self, margin: Duration, now: Instant) -> bool {
        self.grant.as_ref().is_none_or(|grant| {
            now.saturating_duration_since(grant.created_at) > grant.duration + margin
        })
    }
}

/// A request for a lease that has not been read back from the log.
#[derive(Debug)]
pub struct PendingLease {
    holder: Holder,
    settings: Settings,
    /// Time read before the record was sent, so that it is never later than the creation of the
    /// record.
    requested_at: Instant,
}

impl PendingLease {
    /// Starts a request at `now`. The record must be sent after `now`.
    pub fn new(holder: Holder, settings: Settings, now: Instant) -> Self {
        Self {
            holder,
            settings,
            requested_at: now,
        }
    }

    /// Returns the record to append.
    pub fn record(&self) -> Record {
        Record::Take {
            holder: self.holder.clone(),
            duration: self.settings.duration,
        }
    }

    /// Resolves the request from the state of the lease, read at or after the request's record.
    /// Returns `None` if the host does not hold the lease.
    pub fn resolve(self, register: &Register) -> Option<HeldLease> {
        let grant = register.grant.as_ref()?;
        (grant.holder == self.holder).then(|| HeldLease {
            token: grant.offset,
            valid_until: self.requested_at + self.settings.duration - self.settings.margin,
            requested_at: self.requested_at,
            holder: self.holder,
            settings: self.settings,
        })
    }
}

/// A lease that a host was granted. It may have expired.
#[derive(Debug)]
pub struct HeldLease {
    holder: Holder,
    settings: Settings,
    token: FencingToken,
    requested_at: Instant,
    /// Time from which the holder no longer uses the lease. Invariant: before the time at which
    /// another host may take it.
    valid_until: Instant,
}

impl HeldLease {
    /// Returns the fencing token for an order that is sent at `now`, or `None` if the lease has
    /// expired.
    pub fn token(&self, now: Instant) -> Option<FencingToken> {
        (now < self.valid_until).then_some(self.token)
    }

    /// Returns whether the lease is due for renewal at `now`.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.requested_at) >= self.settings.renew_after
    }

    /// Starts a request for a renewal at `now`.
    pub fn renew(&self, now: Instant) -> PendingLease {
        PendingLease::new(self.holder.clone(), self.settings.clone(), now)
    }

    /// Gives up the lease and returns the record to append.
    pub fn release(self) -> Record {
        Record::Yield {
            holder: self.holder,
        }
    }
}

#[cfg(test)]
mod tests;
