//! How many checks may fail for one address or one credential: a flood of bad passes must not cost good ones their
//! sign-in service.
//!
//! Times are passed in, in milliseconds. Keys are made by the caller.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// A limit on what each key may spend: so many a second, and a few at once (the generic cell rate algorithm: all that
/// is kept of a key is the time at which its spending is paid off).
pub struct RateLimiter<K> {
    /// What one check costs, in milliseconds.
    each: f64,
    /// How far ahead of its payment a key may spend, in milliseconds.
    ahead: f64,
    most: usize,
    /// When each key's spending is paid off, in microseconds.
    paid: HashMap<K, u64>,
    /// The same in order, for those that may be forgotten first.
    order: BTreeSet<(u64, K)>,
}

impl<K: Clone + Eq + Hash + Ord> RateLimiter<K> {
    /// So many a second, `burst` at once, and at most `most` keys on record. Nothing is limited where the rate is 0.
    pub fn new(rate: f64, burst: f64, most: usize) -> Self {
        let each = if rate > 0.0 { 1000.0 / rate } else { 0.0 };
        Self {
            each,
            ahead: each * burst.max(1.0),
            most: most.max(1),
            paid: HashMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Takes one for a check that is about to be made.
    ///
    /// # Errors
    /// With the time to wait, in milliseconds, if the key has spent what it may; then nothing is taken.
    pub fn acquire(&mut self, now: f64, key: &K) -> Result<(), f64> {
        if self.each <= 0.0 {
            return Ok(());
        }
        let paid = self.paid.get(key).map_or(0.0, |at| *at as f64 / 1000.0).max(now);
        let next = paid + self.each;
        // A microsecond is lost by rounding.
        if next - now > self.ahead + 0.001 {
            return Err(next - now - self.ahead);
        }
        self.set(now, key, next);
        Ok(())
    }

    /// Gives back what a check took that was no bad one.
    pub fn refund(&mut self, now: f64, key: &K) {
        if let Some(at) = self.paid.get(key).copied() {
            self.set(now, key, at as f64 / 1000.0 - self.each);
        }
    }

    /// How many keys are on record.
    pub fn len(&self) -> usize {
        self.paid.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.paid.is_empty()
    }

    fn set(&mut self, now: f64, key: &K, paid: f64) {
        if let Some(before) = self.paid.remove(key) {
            self.order.remove(&(before, key.clone()));
        }
        let now = (now.max(0.0) * 1000.0) as u64;
        // Paid off: there is nothing to know of them.
        while let Some((at, first)) = self.order.first().filter(|(at, _)| *at <= now).cloned() {
            self.order.remove(&(at, first.clone()));
            self.paid.remove(&first);
        }
        let paid = (paid.max(0.0) * 1000.0) as u64;
        if paid <= now {
            return;
        }
        // Where there is no place left those go that have spent least: a flood of keys must not wash out a record of
        // those that flood.
        if self.paid.len() >= self.most {
            let Some(least) = self.order.first().cloned() else { return };
            if least.0 >= paid {
                return;
            }
            self.order.remove(&least);
            self.paid.remove(&least.1);
        }
        self.paid.insert(key.clone(), paid);
        self.order.insert((paid, key.clone()));
    }
}

#[cfg(test)]
mod tests;
