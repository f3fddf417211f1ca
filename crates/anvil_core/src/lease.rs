//! Leases on the platform's log: at most one host at a time takes itself for the holder.
//!
//! A lease's records are folded in offset order. A holder counts its time from before it asked,
//! by its own clock; the others from the record's age, by the log's. The offset of the holder's
//! last record is the fencing token of its orders.

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

/// How leases are held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long a record holds the lease.
    pub duration: Duration,
    /// Age of the last record from which the holder renews. Invariant: below
    /// `duration - margin`.
    pub renew_after: Duration,
    /// Time by which a holder stops early and a candidate starts late, for clocks that run at
    /// different rates.
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
    /// The rule that is broken.
    pub fn check(&self) -> Result<(), &'static str> {
        if self.renew_after + self.margin >= self.duration {
            return Err("renew_after must be below duration less margin");
        }
        Ok(())
    }
}

/// One run of a host, as a holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display)]
#[display("{host}-{incarnation:x}")]
pub struct Holder {
    /// The host.
    pub host: HostId,
    /// The run of its process.
    pub incarnation: Incarnation,
}

/// A record of a lease's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Record {
    /// A host takes or renews the lease.
    Take {
        /// The host.
        holder: Holder,
        /// For how long.
        duration: Duration,
    },
    /// The holder gives the lease up.
    Yield {
        /// The host.
        holder: Holder,
    },
}

/// What a record changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display(rename_all = "snake_case")]
pub enum Applied {
    /// The lease has a new holder.
    Taken,
    /// The holder goes on.
    Renewed,
    /// Another holds it.
    Void,
    /// It is free.
    Yielded,
    /// The record changes nothing.
    Ignored,
}

#[derive(Clone, Debug)]
struct Held {
    holder: Holder,
    offset: Offset,
    born_at: Instant,
    duration: Duration,
}

/// Who holds a lease, by the records read so far.
#[derive(Clone, Debug, Default)]
pub struct Register {
    /// Invariant: above the offset of every record applied.
    next_offset: Offset,
    held: Option<Held>,
}

impl Register {
    /// Offset of the next record to apply.
    pub fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// The last holder, whether its time is over or not.
    pub fn holder(&self) -> Option<&Holder> {
        self.held.as_ref().map(|held| &held.holder)
    }

    /// Applies the record at `offset`, which was `age` old when it was read at `now`.
    ///
    /// # Panics
    ///
    /// When a record is applied twice or out of order.
    pub fn apply(
        &mut self,
        offset: Offset,
        age: Duration,
        record: Option<&Record>,
        now: Instant,
    ) -> Applied {
        assert!(
            offset >= self.next_offset,
            "lease record {offset} applied twice: next is {}",
            self.next_offset
        );
        self.next_offset = offset + 1;
        let born_at = now.checked_sub(age).unwrap_or(now);
        match record {
            Some(Record::Take { holder, duration }) => {
                self.take(offset, born_at, holder, *duration)
            }
            Some(Record::Yield { holder }) if self.holder() == Some(holder) => {
                self.held = None;
                Applied::Yielded
            }
            Some(Record::Yield { .. }) | None => Applied::Ignored,
        }
    }

    fn take(
        &mut self,
        offset: Offset,
        born_at: Instant,
        holder: &Holder,
        duration: Duration,
    ) -> Applied {
        let applied = match &self.held {
            Some(held) if held.holder == *holder => Applied::Renewed,
            Some(held) if born_at.saturating_duration_since(held.born_at) < held.duration => {
                return Applied::Void;
            }
            Some(_) | None => Applied::Taken,
        };
        self.held = Some(Held {
            holder: holder.clone(),
            offset,
            born_at,
            duration,
        });
        applied
    }

    /// Tells whether a host other than the holder may ask for the lease now.
    pub fn is_free(&self, margin: Duration, now: Instant) -> bool {
        self.held
            .as_ref()
            .is_none_or(|held| now.saturating_duration_since(held.born_at) > held.duration + margin)
    }
}

/// A host that asks for a lease.
#[derive(Debug)]
pub struct PendingLease {
    holder: Holder,
    settings: Settings,
    /// Taken before the record was sent, so that it is never later than the record's birth.
    asked_at: Instant,
}

impl PendingLease {
    /// Starts to ask; the record must be sent after this.
    pub fn new(holder: Holder, settings: Settings, now: Instant) -> Self {
        Self {
            holder,
            settings,
            asked_at: now,
        }
    }

    /// The record to append.
    pub fn record(&self) -> Record {
        Record::Take {
            holder: self.holder.clone(),
            duration: self.settings.duration,
        }
    }

    /// Goes on with what was read of the lease at or after the record.
    pub fn resolve(self, register: &Register) -> Option<HeldLease> {
        let held = register.held.as_ref()?;
        (held.holder == self.holder).then(|| HeldLease {
            token: held.offset,
            valid_until: self.asked_at + self.settings.duration - self.settings.margin,
            asked_at: self.asked_at,
            holder: self.holder,
            settings: self.settings,
        })
    }
}

/// A host that holds a lease, or did until its time was over.
#[derive(Debug)]
pub struct HeldLease {
    holder: Holder,
    settings: Settings,
    token: FencingToken,
    asked_at: Instant,
    /// Invariant: before the time at which another host may start.
    valid_until: Instant,
}

impl HeldLease {
    /// Fencing token for an order that is sent now, while the lease lasts.
    pub fn token(&self, now: Instant) -> Option<FencingToken> {
        (now < self.valid_until).then_some(self.token)
    }

    /// Tells whether it is time to renew.
    pub fn is_renewal_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.asked_at) >= self.settings.renew_after
    }

    /// Asks for more time.
    pub fn renew(&self, now: Instant) -> PendingLease {
        PendingLease::new(self.holder.clone(), self.settings.clone(), now)
    }

    /// Gives the lease up; the record to append.
    pub fn release(self) -> Record {
        Record::Yield {
            holder: self.holder,
        }
    }
}

#[cfg(test)]
mod tests;
