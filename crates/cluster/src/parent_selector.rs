//! Selection of the parent to pull control state from: the first candidate that responds and is in contact with the store.

use ivygate_time::{millis, Timestamp};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Initial backoff for a parent that did not respond or is out of contact with the store.
///
/// The backoff doubles with each failure up to [`MAX_PARENT_BACKOFF`]. With a constant backoff, two or three bad parents would
/// be tried in turn forever, and a good one after them never.
const MIN_PARENT_BACKOFF: Duration = Duration::from_millis(2_000);
/// Longest backoff for a parent.
const MAX_PARENT_BACKOFF: Duration = Duration::from_millis(16_000);
/// Backoff for a parent that refused the connection. It is short because such a failure is detected quickly.
const REFUSED_BACKOFF: Duration = Duration::from_millis(300);
/// Contact age above which a parent counts as out of contact with the store.
const MAX_CONTACT_AGE: Duration = Duration::from_millis(2_000);
/// Maximum number of parents with recorded progress, and with recorded failures.
const MAX_PARENTS: usize = 64;

/// Parent to pull from, with the position to continue from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Address of the parent.
    pub address: SocketAddr,
    /// Incarnation of its replica in the last response; 0 without a response.
    pub incarnation: u64,
    /// Number of the last change received from it.
    pub since: u64,
}

/// Progress of the replication from one parent.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    incarnation: u64,
    change: u64,
}

/// Backoff state of a parent that has failed without a valid response since.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Timestamp,
    /// Backoff after the next failure, in milliseconds.
    next_ms: f64,
}

/// Selects the parent for each pull.
#[derive(Debug, Default)]
pub struct ParentSelector {
    /// Progress by parent. Merging is monotonic, so a pull from a parent continues where the last one from it ended, even after
    /// pulls from other parents.
    progress: BTreeMap<SocketAddr, Progress>,
    failed: BTreeMap<SocketAddr, Backoff>,
}

impl ParentSelector {
    /// Selects the parent for the next pull. `candidates` are ordered by preference, the best first.
    pub fn select(&self, now: Timestamp, candidates: &[SocketAddr]) -> Option<Parent> {
        let is_usable =
            |candidate: &&SocketAddr| self.failed.get(candidate).is_none_or(|backoff| now >= backoff.until);
        let usable = candidates.iter().find(is_usable);
        let address = *usable.or_else(|| self.first_to_retry(candidates))?;
        let Progress { incarnation, change } = self.progress.get(&address).copied().unwrap_or_default();
        Some(Parent { address, incarnation, since: change })
    }

    /// Returns the candidate whose backoff ends first, for the case that all candidates have failed.
    fn first_to_retry<'a>(&self, candidates: &'a [SocketAddr]) -> Option<&'a SocketAddr> {
        let until = |candidate: &SocketAddr| {
            self.failed.get(candidate).map_or(Timestamp::from_millis(0.0), |backoff| backoff.until)
        };
        candidates.iter().min_by(|a, b| until(a).total_cmp(&until(b)))
    }

    /// Handles a response from a parent and returns whether the parent is in contact with the store. `age_ms` is the contact
    /// age at the time the response is read.
    pub fn handle_response(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        incarnation: u64,
        change: u64,
        age_ms: f64,
    ) -> bool {
        if self.progress.len() >= MAX_PARENTS && !self.progress.contains_key(&from) {
            // Dropping the progress of another parent only makes the next pull from it a complete one.
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

    /// Handles a pull without a response. `refused` tells that the connection was refused at once.
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
