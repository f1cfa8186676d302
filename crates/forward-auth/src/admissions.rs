//! Admitted request ids, so that two checks with the same id get one admission.
//!
//! Times are passed in by the caller, in milliseconds.

use std::collections::{BTreeSet, HashMap};

/// State of a request id when a check for it arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionStatus<V> {
    /// The id is new and now pending; the caller must finish it with [`Admissions::admit`] or
    /// [`Admissions::release`].
    New,
    /// The id was admitted before and may be repeated; holds the earlier answer.
    Repeat(V),
    /// The id was admitted before and must not be admitted again.
    NotRepeatable,
    /// Another check for this id is in progress.
    Pending,
    /// The maximum number of ids is stored.
    Full,
}

enum State<V> {
    Pending,
    Admitted { answer: V, once: bool, expires_at_us: u64 },
}

/// Set of pending and admitted ids of bounded size. Ids are never evicted before they expire, since one of them could
/// then be admitted twice; at capacity, new ids are refused instead.
pub struct Admissions<V> {
    ids: HashMap<String, State<V>>,
    /// Expiry times in microseconds, with their ids.
    expiries: BTreeSet<(u64, String)>,
    capacity: usize,
}

impl<V: Clone> Admissions<V> {
    /// Creates an empty set of at most `capacity` ids.
    pub fn new(capacity: usize) -> Self {
        Self { ids: HashMap::new(), expiries: BTreeSet::new(), capacity }
    }

    /// Starts a check for an id, after dropping the expired ones.
    pub fn begin(&mut self, now: f64, id: &str) -> AdmissionStatus<V> {
        let now = micros(now);
        while let Some((expires_at, expired)) = self.expiries.first().filter(|(at, _)| *at <= now).cloned() {
            self.ids.remove(&expired);
            self.expiries.remove(&(expires_at, expired));
        }
        match self.ids.get(id) {
            Some(State::Pending) => return AdmissionStatus::Pending,
            Some(State::Admitted { once: true, .. }) => return AdmissionStatus::NotRepeatable,
            Some(State::Admitted { answer, .. }) => return AdmissionStatus::Repeat(answer.clone()),
            None => {}
        }
        if self.ids.len() >= self.capacity {
            return AdmissionStatus::Full;
        }
        self.ids.insert(id.to_owned(), State::Pending);
        AdmissionStatus::New
    }

    /// Stores a pending id as admitted for `ttl` milliseconds, with its answer; `once` forbids a second admission.
    pub fn admit(&mut self, now: f64, id: &str, answer: V, once: bool, ttl: f64) {
        let expires_at_us = micros(now + ttl);
        let before = self.ids.insert(id.to_owned(), State::Admitted { answer, once, expires_at_us });
        if let Some(State::Admitted { expires_at_us: earlier, .. }) = before {
            self.expiries.remove(&(earlier, id.to_owned()));
        }
        self.expiries.insert((expires_at_us, id.to_owned()));
    }

    /// Releases a pending id whose check was denied or abandoned, so that it can be checked again.
    pub fn release(&mut self, id: &str) {
        if matches!(self.ids.get(id), Some(State::Pending)) {
            self.ids.remove(id);
        }
    }

    /// Returns the number of stored ids.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether no id is stored.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}

fn micros(millis: f64) -> u64 {
    (millis.max(0.0) * 1000.0) as u64
}

#[cfg(test)]
mod tests;
