//! What other processes tell of a zone: how many of them see it fail, and how many see it well.
//!
//! Called by [`crate::FailureDomains`] alone. A process is one voice however much it says, and it is heard only for a moment: who
//! says nothing any more says neither that all is well nor that all is bad.

use ivygate_time::{Millis, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// What is told are signs of this time at most, and that a zone fails is heard for as long.
const REPORT_LIFETIME: Millis = 1_000.0;
/// That it serves is old news sooner: all that was good before a fault speaks against it.
const SUCCESS_LIFETIME: Millis = 200.0;
/// Most votes kept of a zone.
const MAX_REPORTERS: usize = 512;
/// Most own signs kept of a zone.
const MAX_OWN_SIGNS: usize = 256;

/// What a process tells of a zone: its latest signs, as far as they are alike.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneReport {
    /// The zone.
    pub zone: Arc<str>,
    /// Good signs since the last bad one, if the last is good and just seen.
    pub successes: u16,
    /// Bad ones since the last good one, if the last is bad. Answers that came late are neither.
    pub failures: u16,
}

/// How many other processes say what of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerVotes {
    /// That it serves.
    pub healthy: u32,
    /// That it fails.
    pub failing: u32,
}

/// Own signs to be told, and the words of others.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReports {
    own: VecDeque<(Timestamp, u64, bool)>,
    votes: BTreeMap<u64, (Timestamp, u16, u16)>,
    /// This process last said that it fails.
    pub reported_failing: bool,
    /// When another process last said so.
    failing_at: Option<Timestamp>,
}

impl PeerReports {
    /// Takes in an own observation.
    pub fn handle_observation(&mut self, now: Timestamp, number: u64, good: bool) {
        if self.own.len() == MAX_OWN_SIGNS {
            self.own.pop_front();
        }
        self.own.push_back((now, number, good));
    }

    /// An own sign has turned out to be neither good nor bad.
    pub fn retract(&mut self, number: u64) {
        self.own.retain(|(_, own, _)| *own != number);
    }

    /// The latest own signs, as far as they are alike: so many good ones, or so many bad ones.
    pub fn own(&self, now: Timestamp) -> (u16, u16) {
        let Some((last_at, _, last)) = self.own.back() else { return (0, 0) };
        let alike = self
            .own
            .iter()
            .rev()
            .take_while(|(at, _, good)| *at > now.minus_millis(REPORT_LIFETIME) && good == last);
        let count = alike.count() as u16;
        match last {
            true if *last_at > now.minus_millis(SUCCESS_LIFETIME) => (count, 0),
            true => (0, 0),
            false => (0, count),
        }
    }

    /// Whether so many other processes say that it fails.
    pub fn is_told_of(&self, now: Timestamp, by: u32) -> bool {
        self.failing_at.is_some_and(|at| at > now.minus_millis(REPORT_LIFETIME))
            && self.votes(now).failing >= by
    }

    /// Own signs say nothing any more.
    pub fn clear_own(&mut self) {
        self.own.clear();
    }

    /// Takes in what another process tells.
    pub fn handle_report(&mut self, now: Timestamp, author: u64, good: u16, bad: u16) {
        if self.votes.len() >= MAX_REPORTERS && !self.votes.contains_key(&author) {
            self.votes.retain(|_, (at, ..)| *at > now.minus_millis(REPORT_LIFETIME));
            if self.votes.len() >= MAX_REPORTERS {
                return;
            }
        }
        if bad > 0 {
            self.failing_at = Some(now);
        }
        self.votes.insert(author, (now, good, bad));
    }

    /// What others say now.
    pub fn votes(&self, now: Timestamp) -> PeerVotes {
        let mut votes = PeerVotes::default();
        for (at, good, bad) in self.votes.values() {
            votes.failing += u32::from(*bad > 0 && *at > now.minus_millis(REPORT_LIFETIME));
            votes.healthy += u32::from(*bad == 0 && *good > 0 && *at > now.minus_millis(SUCCESS_LIFETIME));
        }
        votes
    }
}
