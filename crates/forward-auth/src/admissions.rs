//! Ids of requests that other programs asked about: whoever asks twice for one id gets one admission.
//!
//! Times are passed in, in milliseconds.

use std::collections::{BTreeSet, HashMap};

/// What is known of an id that is asked about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdmissionStatus<V> {
    /// Nothing: it is taken now, and whoever asked is to tell by [`Admissions::admit`] or
    /// [`Admissions::release`].
    New,
    /// It was admitted, and may be any number of times: this was the answer.
    Repeat(V),
    /// It was admitted once and must not be twice.
    NotRepeatable,
    /// Somebody is asking about it now.
    Pending,
    /// No place is left to remember another.
    Full,
}

enum State<V> {
    Pending,
    Admitted { answer: V, once: bool, until: u64 },
}

/// Ids that were admitted, bounded in number. One that must not be admitted twice is never forgotten early: where no
/// place is left, new ones are turned away.
pub struct Admissions<V> {
    ids: HashMap<String, State<V>>,
    ends: BTreeSet<(u64, String)>,
    most: usize,
}

impl<V: Clone> Admissions<V> {
    /// None yet, and at most so many.
    pub fn new(most: usize) -> Self {
        Self { ids: HashMap::new(), ends: BTreeSet::new(), most }
    }

    /// Somebody asks about an id.
    pub fn begin(&mut self, now: f64, id: &str) -> AdmissionStatus<V> {
        let now = micros(now);
        while let Some((until, over)) = self.ends.first().filter(|(until, _)| *until <= now).cloned() {
            self.ids.remove(&over);
            self.ends.remove(&(until, over));
        }
        match self.ids.get(id) {
            Some(State::Pending) => return AdmissionStatus::Pending,
            Some(State::Admitted { once: true, .. }) => return AdmissionStatus::NotRepeatable,
            Some(State::Admitted { answer, .. }) => return AdmissionStatus::Repeat(answer.clone()),
            None => {}
        }
        if self.ids.len() >= self.most {
            return AdmissionStatus::Full;
        }
        self.ids.insert(id.to_owned(), State::Pending);
        AdmissionStatus::New
    }

    /// The one who asked has been told to go on, and is remembered for some time.
    pub fn admit(&mut self, now: f64, id: &str, answer: V, once: bool, kept: f64) {
        let until = micros(now + kept);
        if let Some(State::Admitted { until, .. }) =
            self.ids.insert(id.to_owned(), State::Admitted { answer, once, until })
        {
            self.ends.remove(&(until, id.to_owned()));
        }
        self.ends.insert((until, id.to_owned()));
    }

    /// The one who asked was turned away, or left before it had an answer: the id may be asked about anew.
    pub fn release(&mut self, id: &str) {
        if matches!(self.ids.get(id), Some(State::Pending)) {
            self.ids.remove(id);
        }
    }

    /// How many ids are held.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }
}

fn micros(at: f64) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

#[cfg(test)]
mod tests;
