//! Whom to pull control state from: the first candidate that answers and is itself in contact with the store.

use ivygate_time::{millis, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A parent that gave no answer, or an outdated one, is avoided this long if there is another. The time doubles with each
/// failure, up to the longest: else two or three bad parents would be tried in turn for ever, and a good one behind them never.
const MIN_PARENT_BACKOFF: Duration = Duration::from_millis(2_000);
const MAX_PARENT_BACKOFF: Duration = Duration::from_millis(16_000);
/// A parent that refused a connection at once is avoided for less: to find that out again costs little.
const REFUSED_BACKOFF: Duration = Duration::from_millis(300);
/// A parent whose contact with the store is older than this is out of contact.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(3_500);
/// Most parents of which anything is remembered.
const MAX_PARENTS: usize = 64;

/// A parent to pull from, and from where on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Its address.
    pub address: SocketAddr,
    /// The incarnation of its replica, as of the last answer; 0 for none.
    pub incarnation: u64,
    /// The last change received from it.
    pub since: u64,
}

/// How far a parent's replica has been received.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    incarnation: u64,
    change: u64,
}

/// A parent that has failed and has given no good answer since.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Timestamp,
    /// How long the parent is avoided after its next failure, in milliseconds.
    next_ms: f64,
}

/// Chooses whom to pull from.
#[derive(Debug, Default)]
pub struct ParentSelector {
    /// Merging never goes back, so a parent is asked from where it was left, whoever was asked in between.
    progress: BTreeMap<SocketAddr, Progress>,
    failed: BTreeMap<SocketAddr, Backoff>,
}

impl ParentSelector {
    /// Whom to ask now, of these candidates, the best first.
    pub fn select(&self, now: Timestamp, candidates: &[SocketAddr]) -> Option<Parent> {
        let is_usable =
            |candidate: &&SocketAddr| self.failed.get(candidate).is_none_or(|backoff| now >= backoff.until);
        let usable = candidates.iter().find(is_usable);
        let address = *usable.or_else(|| self.first_to_retry(candidates))?;
        let Progress { incarnation, change } = self.progress.get(&address).copied().unwrap_or_default();
        Some(Parent { address, incarnation, since: change })
    }

    /// Where all have failed, the one that failed first is tried again first.
    fn first_to_retry<'a>(&self, candidates: &'a [SocketAddr]) -> Option<&'a SocketAddr> {
        let until = |candidate: &SocketAddr| {
            self.failed.get(candidate).map_or(Timestamp::from_millis(0.0), |backoff| backoff.until)
        };
        candidates.iter().min_by(|a, b| until(a).total_cmp(&until(b)))
    }

    /// An answer has come. `age_ms` is the age of its contact with the store when it is read; tells whether that is young
    /// enough.
    pub fn handle_response(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        incarnation: u64,
        change: u64,
        age_ms: f64,
    ) -> bool {
        if self.progress.len() >= MAX_PARENTS && !self.progress.contains_key(&from) {
            // What was received from any other is only received once more.
            self.progress.pop_first();
        }
        self.progress.insert(from, Progress { incarnation, change });
        let is_in_contact = age_ms <= millis(MAX_CONTACT_AGE);
        if is_in_contact {
            self.failed.remove(&from);
        } else {
            self.back_off(now, from);
        }
        is_in_contact
    }

    /// No answer has come; `refused` where that was told at once.
    pub fn handle_failure(&mut self, now: Timestamp, from: SocketAddr, refused: bool) {
        if refused {
            let next_ms = self.next_backoff_ms(from);
            self.insert(now, from, Backoff { until: now + REFUSED_BACKOFF, next_ms });
        } else {
            self.back_off(now, from);
        }
    }

    fn next_backoff_ms(&self, parent: SocketAddr) -> f64 {
        self.failed.get(&parent).map_or(millis(MIN_PARENT_BACKOFF), |backoff| backoff.next_ms)
    }

    fn back_off(&mut self, now: Timestamp, parent: SocketAddr) {
        let backoff_ms = self.next_backoff_ms(parent);
        let next_ms = (2.0 * backoff_ms).min(millis(MAX_PARENT_BACKOFF));
        self.insert(now, parent, Backoff { until: now.plus_millis(backoff_ms), next_ms });
    }

    fn insert(&mut self, now: Timestamp, parent: SocketAddr, backoff: Backoff) {
        if self.failed.len() >= MAX_PARENTS && !self.failed.contains_key(&parent) {
            self.failed.retain(|_, backoff| now < backoff.until);
        }
        if self.failed.len() < MAX_PARENTS || self.failed.contains_key(&parent) {
            self.failed.insert(parent, backoff);
        }
    }
}
