//! Answers of a sign-in service that are remembered, and questions that are being asked.
//!
//! Times are passed in, in milliseconds. Keys are made by the caller, hashed with a secret.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::hash::Hash;

/// What is known of a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup<V> {
    /// This answer, still good.
    Hit(V),
    /// Nothing; whoever looked is to ask, and to tell by [`Cache::complete`].
    Miss,
    /// Somebody is asking.
    Pending,
}

struct Entry<V> {
    value: V,
    until: f64,
    number: u64,
}

/// Remembered answers, bounded in number.
pub struct Cache<K, V> {
    entries: HashMap<K, Entry<V>>,
    /// Entries by age, the oldest first.
    ages: BTreeMap<u64, K>,
    asking: HashSet<K>,
    next: u64,
    most: usize,
}

impl<K: Clone + Eq + Hash, V: Clone> Cache<K, V> {
    /// An empty one that holds at most so many answers.
    pub fn new(most: usize) -> Self {
        Self { entries: HashMap::new(), ages: BTreeMap::new(), asking: HashSet::new(), next: 0, most }
    }

    /// What is known of a question now.
    pub fn lookup(&mut self, now: f64, key: &K) -> Lookup<V> {
        if let Some(entry) = self.entries.get(key) {
            if now < entry.until {
                return Lookup::Hit(entry.value.clone());
            }
            self.forget(key);
        }
        // Equal questions wait for one answer, so that a rush after a lifetime's end asks once.
        if self.asking.insert(key.clone()) {
            Lookup::Miss
        } else {
            Lookup::Pending
        }
    }

    /// A question has been asked: with an answer that is good for some time, or in vain.
    pub fn complete(&mut self, now: f64, key: &K, answer: Option<(V, f64)>) {
        self.asking.remove(key);
        let Some((value, lifetime)) = answer.filter(|(_, lifetime)| *lifetime > 0.0 && self.most > 0) else {
            return;
        };
        self.forget(key);
        while self.entries.len() >= self.most {
            let Some((_, oldest)) = self.ages.pop_first() else { break };
            self.entries.remove(&oldest);
        }
        let number = self.next;
        self.next += 1;
        self.ages.insert(number, key.clone());
        self.entries.insert(key.clone(), Entry { value, until: now + lifetime, number });
    }

    /// How many answers are held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn forget(&mut self, key: &K) {
        if let Some(entry) = self.entries.remove(key) {
            self.ages.remove(&entry.number);
        }
    }
}

/// How long an answer may be remembered, in milliseconds: the configured time, or less if the service says so by
/// `Cache-Control`. What cannot be read counts as a wish that it be not.
pub fn cache_lifetime(configured: f64, cache_control: Option<&str>) -> f64 {
    let Some(text) = cache_control else { return configured };
    let mut most = configured;
    for directive in text.split(',').map(str::trim) {
        let (name, value) = directive.split_once('=').map_or((directive, None), |(n, v)| (n, Some(v)));
        match (name.trim().to_ascii_lowercase().as_str(), value) {
            ("no-store" | "no-cache" | "private", _) => return 0.0,
            ("max-age" | "s-maxage", value) => {
                let seconds = value.and_then(|v| v.trim().trim_matches('"').parse::<u32>().ok());
                most = most.min(seconds.map_or(0.0, |s| f64::from(s) * 1000.0));
            }
            _ => {}
        }
    }
    most
}

#[cfg(test)]
mod tests;
