//! A host's share of one team's limits, checked on a request's path by atomics alone.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicU32,
            AtomicU64,
            Ordering::{
                AcqRel,
                Acquire,
                Relaxed,
                Release, //
            }, //
        }, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use crate::limits::{
    Amounts,
    Settings,
    bucket::Bucket, //
};

#[cfg(test)]
mod tests;

/// Time at the floor's rate after which a host may have saved up its one silent request.
const SILENT_CREDIT_S: f64 = 10.0;

/// Bound of the wait that a refusal names, in seconds.
const WAIT_MAX_S: f64 = 60.0;

/// The limit that a request met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Dimension {
    /// Requests a second.
    Requests,
    /// Tokens a second.
    Tokens,
    /// Requests open at once.
    OpenRequests,
}

impl Dimension {
    /// Stable name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests_per_s",
            Self::Tokens => "tokens_per_s",
            Self::OpenRequests => "open_requests",
        }
    }
}

/// A request beyond the host's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded {
    /// The limit that it met.
    pub dimension: Dimension,
    /// When there is room again at the present share; nothing where that can't be told.
    pub retry_after: Option<Duration>,
    /// Whether the home should be asked before the request is refused.
    pub ask: Ask,
}

/// Whether the home should be asked for a larger share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// The host has no share yet: ask now and try again.
    Now,
    /// The next report asks anyway.
    NextReport,
}

/// Under which rule a share stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Basis {
    /// No share: the host uses a small part of the floor without a word to the home.
    Silent = 0,
    /// The home granted it.
    Granted = 1,
    /// The home can't be reached: the limit over the number of hosts.
    Floor = 2,
}

impl Basis {
    /// Stable name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Silent => "silent",
            Self::Granted => "granted",
            Self::Floor => "floor",
        }
    }

    fn from_number(number: u32) -> Self {
        match number {
            0 => Self::Silent,
            1 => Self::Granted,
            _ => Self::Floor,
        }
    }
}

/// What the host may use, and the demand that it has seen since it started.
#[derive(Debug)]
pub struct Share {
    epoch: Instant,
    requests: Bucket,
    tokens: Bucket,
    /// Requests open now. Invariant: a request that is admitted finds it below `open_limit`.
    open: AtomicU32,
    open_limit: AtomicU32,
    /// A [`Basis`].
    basis: AtomicU32,
    /// Clock at which a granted share ends; it then falls to the silent part until the next word
    /// of the driver.
    expires_ns: AtomicU64,
    /// What the share falls to when it ends, as bits: requests and tokens a second.
    silent_requests_bits: AtomicU64,
    silent_tokens_bits: AtomicU64,
    /// Counters of demand, refused requests included.
    offered_requests: AtomicU64,
    offered_tokens: AtomicU64,
    /// Requests refused for `open_limit` since the last report.
    open_refused: AtomicU32,
    /// Clock of the last request.
    last_used_ns: AtomicU64,
}

impl Share {
    /// Makes the share of a team that the host has not met lately.
    pub fn new(settings: &Settings, limits: Amounts, host_count: u32, now: Instant) -> Self {
        let floor = floor(limits, host_count);
        let silent = floor.scaled(settings.silent_share);
        let burst_s = settings.burst.as_secs_f64();
        let credit = (floor.requests_per_s * SILENT_CREDIT_S).min(1.0);
        Self {
            epoch: now,
            requests: Bucket::new(silent.requests_per_s, burst_s, 1.0, credit, 0),
            tokens: Bucket::new(silent.tokens_per_s, burst_s, 0.0, 0.0, 0),
            open: AtomicU32::new(0),
            open_limit: AtomicU32::new(1),
            basis: AtomicU32::new(Basis::Silent as u32),
            expires_ns: AtomicU64::new(u64::MAX),
            silent_requests_bits: AtomicU64::new(silent.requests_per_s.to_bits()),
            silent_tokens_bits: AtomicU64::new(silent.tokens_per_s.to_bits()),
            offered_requests: AtomicU64::new(0),
            offered_tokens: AtomicU64::new(0),
            open_refused: AtomicU32::new(0),
            last_used_ns: AtomicU64::new(0),
        }
    }

    /// Charges a request with its prompt and the most answer tokens that it may take.
    ///
    /// Tokens are charged on credit: a request passes while the balance isn't negative, so that one
    /// whose cost exceeds the saved-up burst can run at all; the debt is paid before the next.
    ///
    /// # Errors
    ///
    /// The limit that it met; nothing is charged then.
    pub fn try_charge(
        self: &Arc<Self>,
        cost_tokens: u64,
        now: Instant,
    ) -> Result<Charge, Exceeded> {
        self.offered_requests.fetch_add(1, Relaxed);
        self.offered_tokens.fetch_add(cost_tokens, Relaxed);
        self.try_charge_again(cost_tokens, now)
    }

    /// Like [`Share::try_charge`] for a request that was counted as demand before.
    ///
    /// # Errors
    ///
    /// The limit that it met; nothing is charged then.
    pub fn try_charge_again(
        self: &Arc<Self>,
        cost_tokens: u64,
        now: Instant,
    ) -> Result<Charge, Exceeded> {
        let now_ns = self.clock(now);
        self.last_used_ns.fetch_max(now_ns, Relaxed);
        self.expire(now_ns);
        let limit = self.open_limit.load(Acquire);
        let opened = self
            .open
            .fetch_update(AcqRel, Acquire, |open| (open < limit).then_some(open + 1));
        if opened.is_err() {
            self.open_refused.fetch_add(1, Relaxed);
            return Err(self.exceeded(Dimension::OpenRequests, now_ns));
        }
        // From here on dropping the charge closes the request again.
        let mut charge = Charge {
            share: Arc::clone(self),
            charged_requests: 0.0,
            charged_tokens: 0.0,
        };
        if !self.requests.try_take(1.0, 1.0, now_ns) {
            return Err(self.exceeded(Dimension::Requests, now_ns));
        }
        charge.charged_requests = 1.0;
        let cost = cost_tokens as f64;
        if !self.tokens.try_take(cost, 0.0, now_ns) {
            charge.cancel();
            return Err(self.exceeded(Dimension::Tokens, now_ns));
        }
        charge.charged_tokens = cost;
        Ok(charge)
    }

    /// Puts a home's grant in force until `expires`.
    pub fn grant(&self, share: Amounts, expires: Instant, now: Instant) {
        let now_ns = self.clock(now);
        self.expires_ns.store(self.clock(expires), Release);
        self.set(Basis::Granted, share, now_ns);
    }

    /// Lowers the share to what a report says is held. Never raises it.
    pub fn hold(&self, held: Amounts, now: Instant) {
        let now_ns = self.clock(now);
        self.set(self.basis(), held.min(self.amounts()), now_ns);
    }

    /// Falls to a [`floor`], for a home that can't be reached.
    pub fn apply_floor(&self, floor: Amounts, now: Instant) {
        self.expires_ns.store(u64::MAX, Release);
        let at_least_one = Amounts {
            open_requests: floor.open_requests.max(1.0),
            ..floor
        };
        self.set(Basis::Floor, at_least_one, self.clock(now));
    }

    /// Takes over changed limits or another number of hosts for the silent part.
    pub fn set_silent_share(
        &self,
        settings: &Settings,
        limits: Amounts,
        host_count: u32,
        now: Instant,
    ) {
        let silent = floor(limits, host_count).scaled(settings.silent_share);
        self.silent_requests_bits
            .store(silent.requests_per_s.to_bits(), Relaxed);
        self.silent_tokens_bits
            .store(silent.tokens_per_s.to_bits(), Relaxed);
        if self.basis() == Basis::Silent {
            self.set(Basis::Silent, self.silent(), self.clock(now));
        }
    }

    /// The rule under which the share stands.
    pub fn basis(&self) -> Basis {
        Basis::from_number(self.basis.load(Acquire))
    }

    /// What the host may use at present.
    pub fn amounts(&self) -> Amounts {
        Amounts {
            requests_per_s: self.requests.rate_per_s(),
            tokens_per_s: self.tokens.rate_per_s(),
            open_requests: f64::from(self.open_limit.load(Acquire)),
        }
    }

    /// Time until the share ends; nothing where none is granted.
    pub fn granted_for(&self, now: Instant) -> Option<Duration> {
        if self.basis() != Basis::Granted {
            return None;
        }
        let left_ns = self.expires_ns.load(Acquire).checked_sub(self.clock(now))?;
        Some(Duration::from_nanos(left_ns))
    }

    /// Requests and tokens that were offered since the share was made.
    pub fn offered(&self) -> (u64, u64) {
        (
            self.offered_requests.load(Relaxed),
            self.offered_tokens.load(Relaxed),
        )
    }

    /// Requests open now.
    pub fn open(&self) -> u32 {
        self.open.load(Acquire)
    }

    /// Takes the count of requests that were refused because too many were open.
    pub fn take_open_refused(&self) -> u32 {
        self.open_refused.swap(0, AcqRel)
    }

    /// Time since the last request.
    pub fn idle_for(&self, now: Instant) -> Duration {
        let last_ns = self.last_used_ns.load(Relaxed);
        Duration::from_nanos(self.clock(now).saturating_sub(last_ns))
    }

    /// Ends a granted share that has run out.
    pub fn expire_if_due(&self, now: Instant) {
        self.expire(self.clock(now));
    }

    fn expire(&self, now_ns: u64) {
        let expires_ns = self.expires_ns.load(Acquire);
        if now_ns < expires_ns {
            return;
        }
        let won = self
            .expires_ns
            .compare_exchange(expires_ns, u64::MAX, AcqRel, Relaxed)
            .is_ok();
        if won {
            self.set(Basis::Silent, self.silent(), now_ns);
        }
    }

    fn silent(&self) -> Amounts {
        Amounts {
            requests_per_s: f64::from_bits(self.silent_requests_bits.load(Relaxed)),
            tokens_per_s: f64::from_bits(self.silent_tokens_bits.load(Relaxed)),
            open_requests: 1.0,
        }
    }

    fn set(&self, basis: Basis, amounts: Amounts, now_ns: u64) {
        self.requests.set_rate(amounts.requests_per_s, now_ns);
        self.tokens.set_rate(amounts.tokens_per_s, now_ns);
        self.open_limit.store(amounts.open_requests as u32, Release);
        self.basis.store(basis as u32, Release);
    }

    fn exceeded(&self, dimension: Dimension, now_ns: u64) -> Exceeded {
        let wait_s = match dimension {
            Dimension::Requests => self.requests.wait_s(1.0, now_ns),
            Dimension::Tokens => self.tokens.wait_s(0.0, now_ns),
            Dimension::OpenRequests => None,
        };
        let ask = match self.basis() {
            Basis::Silent => Ask::Now,
            Basis::Granted if dimension == Dimension::OpenRequests => Ask::Now,
            Basis::Granted | Basis::Floor => Ask::NextReport,
        };
        Exceeded {
            dimension,
            retry_after: wait_s.map(|wait_s| Duration::from_secs_f64(wait_s.min(WAIT_MAX_S))),
            ask,
        }
    }

    fn clock(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.epoch);
        u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX - 1)
    }
}

/// The part of a limit that belongs to each host when no home can be reached.
///
/// The floors of all hosts add up to the limit if `host_count` is at least their number.
pub fn floor(limits: Amounts, host_count: u32) -> Amounts {
    let floor = limits.scaled(1.0 / f64::from(host_count.max(1)));
    Amounts {
        open_requests: floor.open_requests.floor(),
        ..floor
    }
}

/// A request's charge against its team's share.
///
/// Dropping it counts the request as closed and keeps the full charge.
#[derive(Debug)]
#[must_use = "a dropped charge closes the request"]
pub struct Charge {
    share: Arc<Share>,
    charged_requests: f64,
    charged_tokens: f64,
}

impl Charge {
    /// Closes the request and corrects the charge to the tokens that it used.
    pub fn close(self, used_tokens: u64) {
        self.share
            .tokens
            .give_back(self.charged_tokens - used_tokens as f64);
    }

    /// Takes the charge back, for a request that did not run.
    pub fn cancel(self) {
        self.share.requests.give_back(self.charged_requests);
        self.share.tokens.give_back(self.charged_tokens);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let before = self.share.open.fetch_sub(1, AcqRel);
        assert!(before > 0, "a team's open requests fell below 0");
    }
}
