//! Cache of a sign-in service's answers, which also coalesces concurrent identical checks.
//!
//! Times are passed in by the caller, in milliseconds. Keys are computed by the caller, hashed with a secret.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::Hash;

/// Result of a cache lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup<V> {
    /// The cached answer, which has not expired.
    Hit(V),
    /// No answer; the caller must send the check and then call [`Cache::complete`].
    Miss,
    /// Another caller is already sending this check.
    Pending,
}

struct Entry<V> {
    value: V,
    expires_at: f64,
    sequence: u64,
}

/// Answers by check key, bounded in number; the oldest are evicted first.
pub struct Cache<K, V> {
    entries: HashMap<K, Entry<V>>,
    /// Keys by insertion order, the oldest first.
    by_sequence: BTreeMap<u64, K>,
    pending: HashSet<K>,
    next_sequence: u64,
    capacity: usize,
}

impl<K: Clone + Eq + Hash, V: Clone> Cache<K, V> {
    /// Creates an empty cache of at most `capacity` answers.
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            by_sequence: BTreeMap::new(),
            pending: HashSet::new(),
            next_sequence: 0,
            capacity,
        }
    }

    /// Looks up a key, and marks it as pending if it has no valid answer.
    pub fn lookup(&mut self, now: f64, key: &K) -> Lookup<V> {
        if let Some(entry) = self.entries.get(key) {
            if now < entry.expires_at {
                return Lookup::Hit(entry.value.clone());
            }
            self.remove(key);
        }
        // Identical checks wait for one answer, so that a burst after an expiry sends a single check.
        if self.pending.insert(key.clone()) {
            Lookup::Miss
        } else {
            Lookup::Pending
        }
    }

    /// Ends a pending check with an answer and its lifetime in milliseconds, or with `None` if it failed.
    pub fn complete(&mut self, now: f64, key: &K, answer: Option<(V, f64)>) {
        self.pending.remove(key);
        let Some((value, lifetime)) = answer.filter(|(_, lifetime)| *lifetime > 0.0 && self.capacity > 0)
        else {
            return;
        };
        self.remove(key);
        while self.entries.len() >= self.capacity {
            let Some((_, oldest)) = self.by_sequence.pop_first() else { break };
            self.entries.remove(&oldest);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.by_sequence.insert(sequence, key.clone());
        self.entries.insert(key.clone(), Entry { value, expires_at: now + lifetime, sequence });
    }

    /// Returns the number of cached answers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no answer is cached.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn remove(&mut self, key: &K) {
        if let Some(entry) = self.entries.remove(key) {
            self.by_sequence.remove(&entry.sequence);
        }
    }
}

/// Returns how long an answer may be cached, in milliseconds: the configured time, or less if `Cache-Control` demands
/// it. A malformed `max-age` or `s-maxage` prevents caching.
pub fn cache_lifetime(configured: f64, cache_control: Option<&str>) -> f64 {
    let Some(text) = cache_control else { return configured };
    let mut lifetime = configured;
    for directive in text.split(',').map(str::trim) {
        let (name, value) = directive.split_once('=').map_or((directive, None), |(n, v)| (n, Some(v)));
        match (name.trim().to_ascii_lowercase().as_str(), value) {
            ("no-store" | "no-cache" | "private", _) => return 0.0,
            ("max-age" | "s-maxage", value) => {
                let seconds = value.and_then(|v| v.trim().trim_matches('"').parse::<u32>().ok());
                lifetime = lifetime.min(seconds.map_or(0.0, |s| f64::from(s) * 1000.0));
            }
            _ => {}
        }
    }
    lifetime
}

#[cfg(test)]
mod tests;
