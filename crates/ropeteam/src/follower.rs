//! Whom to pull news from: the first candidate that answers and is itself in touch with the core.

use crate::Millis;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A parent that was silent is left alone this long, if there is another.
const LEFT: Millis = 2_000.0;
/// One that could be told at once to be gone, which costs little to find out again.
const GONE: Millis = 300.0;
/// News older than this come from one that is out of touch.
const OLD: Millis = 3_500.0;
/// Most parents of which failures are remembered.
const FAILED_MOST: usize = 64;

/// What a process knows of those that it may pull from.
#[derive(Debug, Default)]
pub struct Follower {
    /// Whom it pulls from, the life of that one's copy, and the last change had from it.
    parent: Option<(SocketAddr, u64, u64)>,
    failed: BTreeMap<SocketAddr, Millis>,
}

impl Follower {
    /// Whom to ask now, and from which life and change on.
    pub fn next(&mut self, now: Millis, candidates: &[SocketAddr]) -> Option<(SocketAddr, u64, u64)> {
        self.failed.retain(|_, until| now < *until);
        let sound = candidates.iter().find(|c| !self.failed.contains_key(c));
        // Where all have failed, the one that failed first is tried again first.
        let first = sound.or_else(|| {
            candidates.iter().min_by(|a, b| {
                let until = |c: &SocketAddr| self.failed.get(c).copied().unwrap_or(0.0);
                until(a).total_cmp(&until(b))
            })
        });
        let to = *first?;
        match self.parent {
            Some((parent, life, since)) if parent == to => Some((to, life, since)),
            _ => Some((to, 0, 0)),
        }
    }

    /// An answer has come.
    pub fn came(&mut self, now: Millis, from: SocketAddr, life: u64, change: u64, age: Millis) {
        self.parent = Some((from, life, change));
        if age > OLD {
            self.leave(from, now + LEFT);
        }
    }

    /// No answer has come; `gone` where that was told at once.
    pub fn failed(&mut self, now: Millis, from: SocketAddr, gone: bool) {
        self.leave(from, now + if gone { GONE } else { LEFT });
    }

    fn leave(&mut self, from: SocketAddr, until: Millis) {
        if self.failed.len() < FAILED_MOST {
            self.failed.insert(from, until);
        }
    }
}
