//! Recognises messages that were sent before, by their sequence numbers.

#[cfg(test)]
mod tests;

/// Numbers below the highest one that are told apart. Older ones count as repeated.
const WINDOW: u64 = u128::BITS as u64;

/// The sequence numbers of one sender that were seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Window {
    highest: u64,
    /// Bit `n` stands for `highest - n`. Invariant: bit 0 is set once a number was accepted.
    seen: u128,
}

impl Window {
    /// Returns whether a number is new, and records it.
    pub fn accept(&mut self, number: u64) -> bool {
        if number > self.highest {
            let shift = number - self.highest;
            self.seen = match shift < WINDOW {
                true => self.seen << shift,
                false => 0,
            };
            self.highest = number;
        }
        let age = self.highest - number;
        if age >= WINDOW || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}
