//! Whom to pull news from: the first candidate that answers and is itself in touch with the core.

use crate::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A parent that was silent or out of touch is left alone this long, if there is another; doubled each time that it is so
/// again, up to the longest: else two or three bad ones would be tried in turn for ever, and a good one behind them never.
const LEFT: (Millis, Millis) = (2_000.0, 16_000.0);
/// One that could be told at once to be gone, which costs little to find out again.
const GONE: Millis = 300.0;
/// News older than this come from one that is out of touch.
const OLD: Millis = 3_500.0;
/// Most parents of which anything is remembered.
const PARENTS_MOST: usize = 64;

/// What a process knows of those that it may pull from.
#[derive(Debug, Default)]
pub struct Follower {
    /// The life of each one's copy, and the last change had from it. Merging never goes back, so whoever is asked again
    /// is asked from there on, whoever was asked in between.
    had: BTreeMap<SocketAddr, (u64, u64)>,
    failed: BTreeMap<SocketAddr, Left>,
}

/// One that failed and has given no good answer since.
#[derive(Clone, Copy, Debug)]
struct Left {
    until: Millis,
    /// How long it is left alone at the next failure.
    next: Millis,
}

impl Follower {
    /// Whom to ask now, and from which life and change on.
    pub fn next(&mut self, now: Millis, candidates: &[SocketAddr]) -> Option<(SocketAddr, u64, u64)> {
        let sound = candidates.iter().find(|c| self.failed.get(c).is_none_or(|left| now >= left.until));
        // Where all have failed, the one that failed first is tried again first.
        let first = sound.or_else(|| {
            candidates.iter().min_by(|a, b| {
                let until = |c: &SocketAddr| self.failed.get(c).map_or(0.0, |left| left.until);
                until(a).total_cmp(&until(b))
            })
        });
        let to = *first?;
        let (life, since) = self.had.get(&to).copied().unwrap_or_default();
        Some((to, life, since))
    }

    /// An answer has come, whose age is that at its reading; tells whether the one that gave it is in touch with the core.
    pub fn came(&mut self, now: Millis, from: SocketAddr, life: u64, change: u64, age: Millis) -> bool {
        if self.had.len() >= PARENTS_MOST && !self.had.contains_key(&from) {
            // What was had from any other is only had once more.
            self.had.pop_first();
        }
        self.had.insert(from, (life, change));
        if age > OLD {
            self.leave(now, from);
        } else {
            self.failed.remove(&from);
        }
        age <= OLD
    }

    /// No answer has come; `gone` where that was told at once.
    pub fn failed(&mut self, now: Millis, from: SocketAddr, gone: bool) {
        if gone {
            let next = self.failed.get(&from).map_or(LEFT.0, |left| left.next);
            self.insert(now, from, Left { until: now + GONE, next });
        } else {
            self.leave(now, from);
        }
    }

    fn leave(&mut self, now: Millis, from: SocketAddr) {
        let pause = self.failed.get(&from).map_or(LEFT.0, |left| left.next);
        self.insert(now, from, Left { until: now + pause, next: (2.0 * pause).min(LEFT.1) });
    }

    fn insert(&mut self, now: Millis, from: SocketAddr, left: Left) {
        if self.failed.len() >= PARENTS_MOST && !self.failed.contains_key(&from) {
            self.failed.retain(|_, left| now < left.until);
        }
        if self.failed.len() < PARENTS_MOST || self.failed.contains_key(&from) {
            self.failed.insert(from, left);
        }
    }
}
