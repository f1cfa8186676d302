//! Rate limit for failed checks per address or credential, so that a flood of invalid credentials does not exhaust the
//! sign-in service for valid ones.
//!
//! Times are passed in by the caller, in milliseconds. Keys are computed by the caller.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Rate limiter per key by the generic cell rate algorithm: the only state of a key is its theoretical arrival time, at
/// which all that it has used is paid back.
pub struct RateLimiter<K> {
    /// Emission interval: the cost of one check, in milliseconds.
    interval: f64,
    /// Burst tolerance: how far the arrival time of a key may lie ahead of now, in milliseconds.
    tolerance: f64,
    capacity: usize,
    /// Theoretical arrival time of each key, in microseconds.
    arrival_times: HashMap<K, u64>,
    /// The same entries ordered by time, for eviction.
    by_time: BTreeSet<(u64, K)>,
}

impl<K: Clone + Eq + Hash + Ord> RateLimiter<K> {
    /// Creates a limiter of `rate` checks per second and `burst` at once that stores at most `capacity` keys. A rate of
    /// 0 disables it.
    pub fn new(rate: f64, burst: f64, capacity: usize) -> Self {
        let interval = if rate > 0.0 { 1000.0 / rate } else { 0.0 };
        Self {
            interval,
            tolerance: interval * burst.max(1.0),
            capacity: capacity.max(1),
            arrival_times: HashMap::new(),
            by_time: BTreeSet::new(),
        }
    }

    /// Charges a key for one check that is about to be sent.
    ///
    /// # Errors
    /// Returns the time to wait, in milliseconds, if the key has reached its limit; nothing is charged then.
    pub fn acquire(&mut self, now: f64, key: &K) -> Result<(), f64> {
        if self.interval <= 0.0 {
            return Ok(());
        }
        let arrival = self.arrival_times.get(key).map_or(0.0, |at| *at as f64 / 1000.0).max(now);
        let next = arrival + self.interval;
        // Arrival times are rounded to microseconds.
        if next - now > self.tolerance + 0.001 {
            return Err(next - now - self.tolerance);
        }
        self.set(now, key, next);
        Ok(())
    }

    /// Refunds the charge of a check that did not fail.
    pub fn refund(&mut self, now: f64, key: &K) {
        if let Some(at) = self.arrival_times.get(key).copied() {
            self.set(now, key, at as f64 / 1000.0 - self.interval);
        }
    }

    /// Returns the number of stored keys.
    pub fn len(&self) -> usize {
        self.arrival_times.len()
    }

    /// Returns whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.arrival_times.is_empty()
    }

    fn set(&mut self, now: f64, key: &K, arrival: f64) {
        if let Some(before) = self.arrival_times.remove(key) {
            self.by_time.remove(&(before, key.clone()));
        }
        let now = (now.max(0.0) * 1000.0) as u64;
        // A key whose arrival time has passed has its full burst again and needs no entry.
        while let Some((at, first)) = self.by_time.first().filter(|(at, _)| *at <= now).cloned() {
            self.by_time.remove(&(at, first.clone()));
            self.arrival_times.remove(&first);
        }
        let arrival = (arrival.max(0.0) * 1000.0) as u64;
        if arrival <= now {
            return;
        }
        // At capacity the keys that have used least are evicted: a flood of new keys must not displace the entries of
        // the clients that cause it.
        if self.arrival_times.len() >= self.capacity {
            let Some(least) = self.by_time.first().cloned() else { return };
            if least.0 >= arrival {
                return;
            }
            self.by_time.remove(&least);
            self.arrival_times.remove(&least.1);
        }
        self.arrival_times.insert(key.clone(), arrival);
        self.by_time.insert((arrival, key.clone()));
    }
}

#[cfg(test)]
mod tests;
