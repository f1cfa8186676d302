//! Reports of peers on a zone: the number of them that see it fail and the number that see it work.
//!
//! Used only by [`crate::FailureDomains`]. Each process has one vote regardless of the number of its observations. A vote expires
//! quickly: a process that stops reporting counts neither as healthy nor as failing.

use ivygate_time::{Millis, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Maximum age of reported observations, and lifetime of a report of failures.
const REPORT_LIFETIME: Millis = 1_000.0;
/// Lifetime of a report of successes; shorter, because successes from before a fault would contradict it.
const SUCCESS_LIFETIME: Millis = 200.0;
/// Maximum number of peers whose reports on a zone are kept.
const MAX_PEERS: usize = 512;
/// Maximum number of own observations kept for a zone.
const MAX_OWN_OBSERVATIONS: usize = 256;

/// Report of a process on a zone: its latest consecutive observations with the same result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneReport {
    /// The zone.
    pub zone: Arc<str>,
    /// Successes since the last failure, if the latest observation is a recent success.
    pub successes: u16,
    /// Failures since the last success, if the latest observation is a failure. Late responses are neither.
    pub failures: u16,
}

/// Numbers of peers by their report on a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerVotes {
    /// Peers that report it as healthy.
    pub healthy: u32,
    /// Peers that report it as failing.
    pub failing: u32,
}

/// Own observations to report, and the reports of peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerReports {
    own_observations: VecDeque<(Timestamp, u64, bool)>,
    votes: BTreeMap<u64, (Timestamp, u16, u16)>,
    /// The last report of this process was of failures.
    pub reported_failing: bool,
    /// Time of the last report of failures by a peer.
    failing_at: Option<Timestamp>,
}

impl PeerReports {
    /// Records an own observation.
    pub fn handle_observation(&mut self, now: Timestamp, number: u64, is_success: bool) {
        if self.own_observations.len() == MAX_OWN_OBSERVATIONS {
            self.own_observations.pop_front();
        }
        self.own_observations.push_back((now, number, is_success));
    }

    /// Removes an own observation that has turned out to be neither success nor failure.
    pub fn retract(&mut self, number: u64) {
        self.own_observations.retain(|(_, own, _)| *own != number);
    }

    /// Returns the numbers of consecutive successes and failures among the latest own observations; one of them is 0.
    pub fn own_observations(&self, now: Timestamp) -> (u16, u16) {
        let Some((last_at, _, last)) = self.own_observations.back() else { return (0, 0) };
        let run =
            self.own_observations.iter().rev().take_while(|(at, _, is_success)| {
                *at > now.minus_millis(REPORT_LIFETIME) && is_success == last
            });
        let count = run.count() as u16;
        match last {
            true if *last_at > now.minus_millis(SUCCESS_LIFETIME) => (count, 0),
            true => (0, 0),
            false => (0, count),
        }
    }

    /// Returns whether at least `count` peers report the zone as failing.
    pub fn has_failing_votes(&self, now: Timestamp, count: u32) -> bool {
        self.failing_at.is_some_and(|at| at > now.minus_millis(REPORT_LIFETIME))
            && self.votes(now).failing >= count
    }

    /// Drops all own observations.
    pub fn clear_own(&mut self) {
        self.own_observations.clear();
    }

    /// Records the report of a peer.
    pub fn handle_report(&mut self, now: Timestamp, peer: u64, successes: u16, failures: u16) {
        if self.votes.len() >= MAX_PEERS && !self.votes.contains_key(&peer) {
            self.votes.retain(|_, (at, ..)| *at > now.minus_millis(REPORT_LIFETIME));
            if self.votes.len() >= MAX_PEERS {
                return;
            }
        }
        if failures > 0 {
            self.failing_at = Some(now);
        }
        self.votes.insert(peer, (now, successes, failures));
    }

    /// Returns the current numbers of peers by their report.
    pub fn votes(&self, now: Timestamp) -> PeerVotes {
        let mut votes = PeerVotes::default();
        for (at, successes, failures) in self.votes.values() {
            votes.failing += u32::from(*failures > 0 && *at > now.minus_millis(REPORT_LIFETIME));
            votes.healthy +=
                u32::from(*failures == 0 && *successes > 0 && *at > now.minus_millis(SUCCESS_LIFETIME));
        }
        votes
    }
}
