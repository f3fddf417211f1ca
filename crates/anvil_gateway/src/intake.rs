//! What a host holds for callers: the bytes of heads, bodies, buffers and answers, and the connections.
//!
//! Clients that nobody controls may open connections, begin requests and never finish them. Each byte is
//! reserved here before it is read. When memory is short, the connection with the least progress for the
//! bytes that it holds is ended; when connections are short, the one that has been idle or unfinished
//! for longest. [`ledger`] decides; this module tells the tasks of the connections.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use derive_more::{
    Display,
    Error, //
};
use tokio::{
    sync::Notify,
    time::Instant, //
};

use ledger::{
    ConnectionId,
    Ledger,
    Limits,
    Opening,
    Reserving,
    Stage, //
};

pub mod budget;
pub mod ledger;

#[cfg(test)]
mod tests;

/// Shortest time between two log lines of one cause.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The error for an answer or an event that finds no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("no memory is left for an answer of this size")]
pub struct NoMemory;

/// Why a request can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Shortage {
    /// The connection was ended, because memory or connections were short.
    #[display("ended for lack of memory or connections")]
    Ended,
    /// All memory is held by requests that are complete.
    #[display("no memory is left for the request")]
    Refused,
}

/// What was short when a connection was ended or refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Memory, and a connection was ended.
    Memory,
    /// Memory, and no connection could be ended.
    MemoryRefused,
    /// Connections, and one was ended.
    Connections,
    /// Connections, and the new one was refused.
    ConnectionsRefused,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 4] = [
        Self::Memory,
        Self::MemoryRefused,
        Self::Connections,
        Self::ConnectionsRefused,
    ];

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::MemoryRefused => "memory_refused",
            Self::Connections => "connections",
            Self::ConnectionsRefused => "connections_refused",
        }
    }
}

/// How often a cause arose.
#[derive(Debug, Default)]
struct Occurrences {
    total: Cell<u64>,
    /// Those of them that the last log line of the cause counts.
    logged: Cell<u64>,
    logged_at: Cell<Option<Instant>>,
}

/// What a host holds for callers.
#[derive(Debug)]
pub struct Intake {
    /// Name of the listener, for the log.
    listener: &'static str,
    ledger: RefCell<Ledger>,
    /// The signals by which the tasks of connections learn that they are to end.
    signals: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    /// Notified when memory became free, or won't become free.
    changed: Notify,
    occurrences: [Occurrences; Cause::ALL.len()],
}

impl Intake {
    /// Creates an intake that holds nothing, for the connections to one listener.
    pub fn new(listener: &'static str, limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            listener,
            ledger: RefCell::new(Ledger::new(limits)),
            signals: RefCell::default(),
            changed: Notify::new(),
            occurrences: Default::default(),
        })
    }

    /// Returns the number of connections that are open.
    pub fn connections(&self) -> usize {
        self.ledger.borrow().connections()
    }

    /// Returns whether so many connections are open, or requests hold so much, that no connection is to be
    /// kept after an answer.
    pub fn is_crowded(&self) -> bool {
        self.ledger.borrow().is_crowded()
    }

    /// Returns the bytes that requests and answers hold.
    pub fn used_bytes(&self) -> usize {
        self.ledger.borrow().used_bytes()
    }

    /// Returns how often a cause has arisen.
    pub fn occurrences(&self, cause: Cause) -> u64 {
        self.occurrences[cause as usize].total.get()
    }

    /// Admits a new connection; returns `None` if it is refused. Another one may be ended for it.
    pub fn open(self: &Rc<Self>) -> Option<Rc<Place>> {
        let opening = self.ledger.borrow_mut().open(now());
        let id = match opening {
            Opening::Admitted(id) => id,
            Opening::Replacing { admitted, ended } => {
                self.record(Cause::Connections);
                self.signal(ended);
                admitted
            }
            Opening::Refused => {
                self.record(Cause::ConnectionsRefused);
                return None;
            }
        };
        let signal = Rc::new(Notify::new());
        self.signals.borrow_mut().insert(id, Rc::clone(&signal));
        Some(Rc::new(Place {
            intake: Rc::clone(self),
            id,
            signal,
        }))
    }

    fn signal(&self, id: ConnectionId) {
        if let Some(signal) = self.signals.borrow().get(&id) {
            signal.notify_one();
        }
    }

    fn end_for_memory(&self, chosen: &[ConnectionId]) {
        for ended in chosen {
            self.record(Cause::Memory);
            self.signal(*ended);
        }
    }

    /// Counts a cause, and logs it unless a line of it was logged less than [`LOG_INTERVAL`] ago.
    fn record(&self, cause: Cause) {
        let occurrences = &self.occurrences[cause as usize];
        let total = occurrences.total.get() + 1;
        occurrences.total.set(total);
        let is_due = (occurrences.logged_at.get()).is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if !is_due {
            return;
        }
        occurrences.logged_at.set(Some(Instant::now()));
        let count = total - occurrences.logged.replace(total);
        let ledger = self.ledger.borrow();
        spdlog::warn!("intake.short", kv: {
            listener = self.listener,
            cause = cause.as_str(),
            count,
            connections = ledger.connections(),
            connections_max = ledger.limits().connections,
            held_bytes = ledger.used_bytes(),
            held_bytes_max = ledger.limits().bytes,
        });
    }
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

/// The place of one connection among all. It is free again when it is dropped.
#[derive(Debug)]
pub struct Place {
    intake: Rc<Intake>,
    id: ConnectionId,
    signal: Rc<Notify>,
}

impl Place {
    /// Waits until this connection is to end.
    pub async fn ended(&self) {
        while self.stage() != Some(Stage::Ending) {
            self.signal.notified().await;
        }
    }

    fn stage(&self) -> Option<Stage> {
        self.intake.ledger.borrow().stage(self.id)
    }

    /// Records how far the request has come. A request that is complete is not ended any more.
    pub fn set_stage(&self, stage: Stage) {
        let was_ending = self.stage() == Some(Stage::Ending);
        self.intake
            .ledger
            .borrow_mut()
            .set_stage(self.id, stage, now());
        if was_ending && stage == Stage::Complete {
            // Others may wait for the bytes that this connection keeps.
            self.intake.changed.notify_waiters();
        }
    }

    /// Records that the reader of a complete answer takes nothing more at present.
    pub fn set_unread(&self) {
        if self.stage() == Some(Stage::Complete) {
            self.set_stage(Stage::Unread);
        }
    }

    /// Records that the reader of an answer has taken some of it.
    pub fn set_read(&self) {
        if matches!(self.stage(), Some(Stage::Unread | Stage::Ending)) {
            self.set_stage(Stage::Complete);
        }
    }

    /// Begins to count an answer to the request on this connection, or an event of one. It holds nothing
    /// yet.
    pub fn begin_answer(&self) -> AnswerMemory {
        AnswerMemory {
            intake: Rc::clone(&self.intake),
            id: self.id,
            held_bytes: 0,
        }
    }

    /// Records bytes of a request that were received.
    pub fn record_progress(&self, bytes: usize) {
        let mut ledger = self.intake.ledger.borrow_mut();
        ledger.record_progress(self.id, bytes, now());
    }

    /// Reserves memory for a request. Where none is free, other connections may be ended, and the call
    /// waits until they have.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if this connection itself is ended, or none may be ended for it.
    pub async fn reserve(&self, bytes: usize) -> Result<Charge, Shortage> {
        loop {
            let reserving = (self.intake.ledger.borrow_mut()).reserve(self.id, bytes, now());
            let chosen = match reserving {
                Reserving::Granted => {
                    return Ok(Charge {
                        intake: Rc::clone(&self.intake),
                        id: self.id,
                        bytes,
                    });
                }
                Reserving::Awaited(chosen) => chosen,
                Reserving::Ended => {
                    self.intake.record(Cause::Memory);
                    return Err(Shortage::Ended);
                }
                Reserving::Refused => {
                    self.intake.record(Cause::MemoryRefused);
                    return Err(Shortage::Refused);
                }
            };
            self.intake.end_for_memory(&chosen);
            tokio::select! {
                () = self.intake.changed.notified() => {}
                () = self.ended() => {}
            }
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.intake.ledger.borrow_mut().close(self.id);
        self.intake.signals.borrow_mut().remove(&self.id);
        self.intake.changed.notify_waiters();
    }
}

/// Memory that a request holds. It is free again when the charge is dropped.
#[derive(Debug)]
pub struct Charge {
    intake: Rc<Intake>,
    id: ConnectionId,
    bytes: usize,
}

impl Charge {
    /// Returns the bytes that the request holds by this charge.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes over another charge of the same connection.
    pub fn absorb(&mut self, mut other: Self) {
        debug_assert_eq!(self.id, other.id);
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        self.intake.ledger.borrow_mut().release(self.id, self.bytes);
        self.intake.changed.notify_waiters();
    }
}

/// The memory that an answer holds. It is free again when this is dropped.
#[derive(Debug)]
pub struct AnswerMemory {
    intake: Rc<Intake>,
    id: ConnectionId,
    held_bytes: usize,
}

impl AnswerMemory {
    /// Sets the bytes that the answer holds. A smaller number is always accepted.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`], and changes nothing, if less would be left free than the answer holds.
    pub fn resize(&mut self, held_bytes: usize) -> Result<(), NoMemory> {
        let is_less = held_bytes < self.held_bytes;
        let mut ledger = self.intake.ledger.borrow_mut();
        if !ledger.resize_answer(self.id, self.held_bytes, held_bytes) {
            return Err(NoMemory);
        }
        drop(ledger);
        self.held_bytes = held_bytes;
        if is_less {
            self.intake.changed.notify_waiters();
        }
        Ok(())
    }

    /// Does the same, but where no memory is free other connections may be ended, and the call waits until
    /// they have.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`] if no connection may be ended for the answer.
    pub async fn grow(&mut self, held_bytes: usize) -> Result<(), NoMemory> {
        while self.resize(held_bytes).is_err() {
            let reserving = self.intake.ledger.borrow_mut().make_room_for_answer(
                self.held_bytes,
                held_bytes,
                now(),
            );
            let Reserving::Awaited(chosen) = reserving else {
                self.intake.record(Cause::MemoryRefused);
                return Err(NoMemory);
            };
            self.intake.end_for_memory(&chosen);
            self.intake.changed.notified().await;
        }
        Ok(())
    }
}

impl Drop for AnswerMemory {
    fn drop(&mut self) {
        // Less is always accepted.
        let _freed = self.resize(0);
    }
}
