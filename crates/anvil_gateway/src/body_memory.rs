//! Memory that bodies may take while a host holds them, over all requests together.
//!
//! A faulty target may send a body without end to each of many requests. A limit for each body alone
//! does not bound their sum. Here a body may grow as long as more is left free than it holds itself, so
//! that many large ones share the memory evenly and small ones still find room.

use std::{
    cell::Cell,
    rc::Rc, //
};

use derive_more::{
    Display,
    Error, //
};

#[cfg(test)]
mod tests;

/// The error for a body that finds no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("no memory is left for a body of this size")]
pub struct NoMemory;

/// The memory for bodies of one host.
#[derive(Debug)]
pub struct BodyMemory {
    limit_bytes: usize,
    /// Bytes that all reservations hold. Invariant: at most `limit_bytes`.
    used_bytes: Cell<usize>,
}

impl BodyMemory {
    /// Creates memory of which nothing is used.
    pub fn new(limit_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            limit_bytes,
            used_bytes: Cell::new(0),
        })
    }

    /// Returns the bytes that all bodies hold together.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// Begins to count a body that holds nothing yet.
    pub fn reserve(self: &Rc<Self>) -> Reservation {
        Reservation {
            memory: Rc::clone(self),
            held_bytes: 0,
        }
    }
}

/// The memory that one body holds. It is free again when the reservation is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Rc<BodyMemory>,
    held_bytes: usize,
}

impl Reservation {
    /// Sets the bytes that the body holds. A smaller number is always accepted.
    ///
    /// # Errors
    ///
    /// Returns [`NoMemory`], and changes nothing, if less would be left free than the body holds.
    pub fn resize(&mut self, held_bytes: usize) -> Result<(), NoMemory> {
        let others_bytes = self.memory.used_bytes.get() - self.held_bytes;
        if held_bytes > self.held_bytes {
            let needed_bytes = held_bytes.saturating_mul(2).saturating_add(others_bytes);
            if needed_bytes > self.memory.limit_bytes {
                return Err(NoMemory);
            }
        }
        self.memory.used_bytes.set(others_bytes + held_bytes);
        self.held_bytes = held_bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let others_bytes = self.memory.used_bytes.get() - self.held_bytes;
        self.memory.used_bytes.set(others_bytes);
    }
}
