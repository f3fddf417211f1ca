//! A host's share of one team's limits, checked for each request with atomics alone.

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

/// A new share is credited with the requests that the floor's rate allows in this time, at most
/// one. The credit lets a host admit one request without asking the home.
const INITIAL_CREDIT_S: f64 = 10.0;

/// Longest retry delay in a refusal, in seconds.
const RETRY_AFTER_MAX_S: f64 = 60.0;

/// The limit that a request exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Dimension {
    /// Requests per second.
    Requests,
    /// Tokens per second.
    Tokens,
    /// Requests open at the same time.
    OpenRequests,
}

impl Dimension {
    /// Returns the stable name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests_per_s",
            Self::Tokens => "tokens_per_s",
            Self::OpenRequests => "open_requests",
        }
    }
}

/// Why a request exceeds the host's share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exceeded {
    /// The limit that the request exceeded.
    pub dimension: Dimension,
    /// Time until there is room at the current share; `None` if it can't be computed.
    pub retry_after: Option<Duration>,
    /// Whether to ask the home before the request is refused.
    pub ask: Ask,
}

/// When the home is asked for a larger share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Ask now and try again: the host has no share yet, or its share allows too few open requests.
    Now,
    /// Don't ask separately: the next report states the demand anyway.
    NextReport,
}

/// What a share is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u32)]
pub enum Basis {
    /// No share: the host uses a small fraction of its floor without asking the home.
    Silent = 0,
    /// The home granted the share.
    Granted = 1,
    /// The home can't be reached: the share is the limit divided by the number of hosts.
    Floor = 2,
}

impl Basis {
    /// Returns the stable name for logs.
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

/// What the host may use of a team's limits, and the demand since the share was created.
#[derive(Debug)]
pub struct Share {
    epoch: Instant,
    requests: Bucket,
    tokens: Bucket,
    /// Requests open now. Invariant: a request is admitted only while it is below `open_limit`.
    open: AtomicU32,
    open_limit: AtomicU32,
    /// A [`Basis`] as a number.
    basis: AtomicU32,
    /// Clock time at which a granted share ends. The silent share then applies until another one is
    /// set.
    expires_ns: AtomicU64,
    /// Silent share, to which a granted one falls when it ends: requests and tokens per second, as
    /// the bits of an `f64`.
    silent_requests_bits: AtomicU64,
    silent_tokens_bits: AtomicU64,
    /// Counters of demand, refused requests included.
    offered_requests: AtomicU64,
    offered_tokens: AtomicU64,
    /// Requests refused because of `open_limit` since the last report.
    open_refused: AtomicU32,
    /// Clock time of the last request.
    last_used_ns: AtomicU64,
}

impl Share {
    /// Returns the share of a team without recent requests at this host.
    pub fn new(settings: &Settings, limits: Amounts, host_count: u32, now: Instant) -> Self {
        let floor = floor(limits, host_count);
        let silent = floor.scaled(settings.silent_share);
        let burst_s = settings.burst.as_secs_f64();
        let credit = (floor.requests_per_s * INITIAL_CREDIT_S).min(1.0);
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

    /// Charges a request for its prompt and the most answer tokens that it may take.
    ///
    /// A request passes while the token balance isn't negative, even if its cost exceeds the
    /// balance. Otherwise a request whose cost exceeds the burst could never run. The debt is paid
    /// off before the next request.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request exceeded; nothing is charged then.
    pub fn try_charge(
        self: &Arc<Self>,
        cost_tokens: u64,
        now: Instant,
    ) -> Result<Charge, Exceeded> {
        self.offered_requests.fetch_add(1, Relaxed);
        self.offered_tokens.fetch_add(cost_tokens, Relaxed);
        self.try_charge_again(cost_tokens, now)
    }

    /// Charges a request that was already counted as demand. Otherwise like [`Share::try_charge`].
    ///
    /// # Errors
    ///
    /// Returns the limit that the request exceeded; nothing is charged then.
    pub fn try_charge_again(
        self: &Arc<Self>,
        cost_tokens: u64,
        now: Instant,
    ) -> Result<Charge, Exceeded> {
        let now_ns = self.to_clock_ns(now);
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
        // From here on, dropping the charge closes the request again.
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

    /// Applies a home's grant until `expires`.
    pub fn grant(&self, share: Amounts, expires: Instant, now: Instant) {
        let now_ns = self.to_clock_ns(now);
        self.expires_ns.store(self.to_clock_ns(expires), Release);
        self.apply(Basis::Granted, share, now_ns);
    }

    /// Lowers the share to the amounts that a report states as held. Never raises it.
    pub fn lower_to(&self, held: Amounts, now: Instant) {
        let now_ns = self.to_clock_ns(now);
        self.apply(self.basis(), held.min(self.amounts()), now_ns);
    }

    /// Applies a [`floor`], used while the home can't be reached. At least one request may be open.
    pub fn apply_floor(&self, floor: Amounts, now: Instant) {
        self.expires_ns.store(u64::MAX, Release);
        let at_least_one = Amounts {
            open_requests: floor.open_requests.max(1.0),
            ..floor
        };
        self.apply(Basis::Floor, at_least_one, self.to_clock_ns(now));
    }

    /// Recomputes the silent share after a change of the limits or of the number of hosts.
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
            self.apply(Basis::Silent, self.silent_amounts(), self.to_clock_ns(now));
        }
    }

    /// Returns what the share is based on.
    pub fn basis(&self) -> Basis {
        Basis::from_number(self.basis.load(Acquire))
    }

    /// Returns the amounts that the host may use now.
    pub fn amounts(&self) -> Amounts {
        Amounts {
            requests_per_s: self.requests.rate_per_s(),
            tokens_per_s: self.tokens.rate_per_s(),
            open_requests: f64::from(self.open_limit.load(Acquire)),
        }
    }

    /// Returns the time until the granted share ends, or `None` if no granted share is in force.
    pub fn grant_time_left(&self, now: Instant) -> Option<Duration> {
        if self.basis() != Basis::Granted {
            return None;
        }
        let left_ns = self
            .expires_ns
            .load(Acquire)
            .checked_sub(self.to_clock_ns(now))?;
        Some(Duration::from_nanos(left_ns))
    }

    /// Returns the requests and tokens that were offered since the share was created.
    pub fn offered(&self) -> (u64, u64) {
        (
            self.offered_requests.load(Relaxed),
            self.offered_tokens.load(Relaxed),
        )
    }

    /// Returns the number of open requests.
    pub fn open(&self) -> u32 {
        self.open.load(Acquire)
    }

    /// Returns the number of requests that were refused because too many were open, and resets it.
    pub fn take_open_refused(&self) -> u32 {
        self.open_refused.swap(0, AcqRel)
    }

    /// Returns the time since the last request.
    pub fn idle_for(&self, now: Instant) -> Duration {
        let last_ns = self.last_used_ns.load(Relaxed);
        Duration::from_nanos(self.to_clock_ns(now).saturating_sub(last_ns))
    }

    /// Ends a granted share whose lifetime is over.
    pub fn expire_if_due(&self, now: Instant) {
        self.expire(self.to_clock_ns(now));
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
            self.apply(Basis::Silent, self.silent_amounts(), now_ns);
        }
    }

    fn silent_amounts(&self) -> Amounts {
        Amounts {
            requests_per_s: f64::from_bits(self.silent_requests_bits.load(Relaxed)),
            tokens_per_s: f64::from_bits(self.silent_tokens_bits.load(Relaxed)),
            open_requests: 1.0,
        }
    }

    fn apply(&self, basis: Basis, amounts: Amounts, now_ns: u64) {
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
            retry_after: wait_s
                .map(|wait_s| Duration::from_secs_f64(wait_s.min(RETRY_AFTER_MAX_S))),
            ask,
        }
    }

    fn to_clock_ns(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.epoch);
        u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX - 1)
    }
}

/// Returns the part of the limits that belongs to each host while no home can be reached.
///
/// The floors of all hosts together stay within the limits if `host_count` is at least their
/// number.
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
    /// Closes the request and corrects its charge to the tokens that it used.
    pub fn close(self, used_tokens: u64) {
        self.share
            .tokens
            .refund(self.charged_tokens - used_tokens as f64);
    }

    /// Closes the request and refunds its charge, for a request that did not run.
    pub fn cancel(self) {
        self.share.requests.refund(self.charged_requests);
        self.share.tokens.refund(self.charged_tokens);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let before = self.share.open.fetch_sub(1, AcqRel);
        assert!(before > 0, "a team's open requests fell below 0");
    }
}
