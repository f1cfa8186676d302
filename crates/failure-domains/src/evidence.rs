//! A sequential test of one domain: how much the signs of late speak for "it fails" over "it is as ever".
//!
//! Called by the domain alone. Each sign has a log-likelihood ratio; the score is the largest sum over the latest signs
//! (Page's test). Signs of one server, or of one customer, are not independent: what they say alone must not be enough,
//! so the score has to hold without the server and without the customer that speak most against the domain.

use ivygate_gateway::ServerId;
use ivygate_time::{Millis, Timestamp};
use std::collections::VecDeque;

/// Most signs kept.
const MAX_SIGNS: usize = 64;
/// A sign older than this says nothing of now.
const SIGN_LIFETIME: Millis = 10_000.0;
/// Part of bad signs in a domain that fails.
const FAILING_BAD_RATIO: f64 = 0.5;
/// Or this many times as many as usual, up to so many.
const FAILING_FACTOR: f64 = 2.0;
const MAX_FAILING_BAD_RATIO: f64 = 0.95;
/// Bounds on the part of bad signs that is taken to be usual.
const MIN_BASELINE_BAD_RATIO: f64 = 0.02;
const MAX_BASELINE_BAD_RATIO: f64 = 0.5;
/// Signs that are added to those of the other domains before their bad part is believed.
const OTHERS_PRIOR_SIGNS: f64 = 5.0;
/// Weight of one sign in that part.
const BASELINE_LEARNING_WEIGHT: f64 = 0.002;
/// Score from which a domain is left: 12 is four bad signs in a row where one in fifty is bad as ever.
pub const ALARM_SCORE: f64 = 12.0;
/// Score from which it is suspect: two in a row.
pub const SUSPECT_SCORE: f64 = 6.0;
/// What has to be left of ALARM_SCORE without the worst server, and without the worst customer.
const MIN_SCORE_RATIO_WITHOUT_SERVER: f64 = 0.5;
const MIN_SCORE_RATIO_WITHOUT_CUSTOMER: f64 = 0.25;
/// From this part of bad signs on that were answers all the same, the domain is slow rather than lost.
const MIN_SLOW_RATIO: f64 = 0.34;

/// What an attempt has shown of a server's domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An answer in the usual time.
    Success,
    /// An answer long after the usual time.
    Slow,
    /// No answer, long after the usual time.
    NoResponse,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// An answer that is an error.
    Error,
}

impl Observation {
    /// Its name in beliefs and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Observation::Success => "good",
            Observation::Slow => "late",
            Observation::NoResponse => "silent",
            Observation::ConnectFailed => "refused",
            Observation::Reset => "reset",
            Observation::Error => "wrong",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    number: u64,
    at: Timestamp,
    server: ServerId,
    customer: u64,
    observation: Observation,
}

/// What the signs of late come to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Assessment {
    /// The score of all; at least 0.
    pub score: f64,
    /// Whether it is enough to leave the domain, whichever server or customer is left out.
    pub is_failed: bool,
    /// Whether it is enough to be careful.
    pub is_suspect: bool,
    /// Whether the domain answers, only too late.
    pub is_slow: bool,
    /// Bad signs that it rests on, and all of them.
    pub failures: u32,
    /// All signs that it rests on.
    pub observations: u32,
    /// The commonest bad observation.
    pub main_failure: Option<Observation>,
}

/// The signs of one domain.
#[derive(Clone, Debug)]
pub struct Evidence {
    seen: VecDeque<Seen>,
    /// Part of bad signs in good times.
    usual: f64,
}

impl Default for Evidence {
    fn default() -> Self {
        Self { seen: VecDeque::with_capacity(MAX_SIGNS), usual: MIN_BASELINE_BAD_RATIO }
    }
}

impl Evidence {
    /// Takes in a observation; `number` is its own.
    pub fn handle_observation(
        &mut self,
        now: Timestamp,
        number: u64,
        server: ServerId,
        customer: u64,
        observation: Observation,
    ) {
        if self.seen.len() == MAX_SIGNS {
            self.seen.pop_front();
        }
        self.seen.push_back(Seen { number, at: now, server, customer, observation });
    }

    /// An attempt that was called silent has been answered after all.
    pub fn handle_late_response(&mut self, number: u64) {
        if let Some(seen) = self.seen.iter_mut().rev().find(|seen| seen.number == number) {
            seen.observation = Observation::Slow;
        }
    }

    /// Learns how often signs are bad while nothing is wrong.
    pub fn learn(&mut self, observation: Observation) {
        let bad = f64::from(u8::from(observation != Observation::Success));
        self.usual += BASELINE_LEARNING_WEIGHT * (bad - self.usual);
    }

    /// Nothing that was seen until now counts any more.
    pub fn clear(&mut self) {
        self.seen.clear();
    }

    /// Good and bad signs since a time.
    pub fn since(&self, at: Timestamp) -> (u32, u32) {
        let late = self.seen.iter().rev().take_while(|seen| seen.at >= at);
        late.fold((0, 0), |(good, bad), seen| match seen.observation {
            Observation::Success => (good + 1, bad),
            _ => (good, bad + 1),
        })
    }

    /// Customers seen, up to two.
    pub fn customers(&self) -> Vec<u64> {
        let mut found = Vec::new();
        for seen in &self.seen {
            if !found.contains(&seen.customer) {
                found.push(seen.customer);
                if found.len() == 2 {
                    break;
                }
            }
        }
        found
    }

    /// Good and bad signs of late.
    pub fn recent(&self, now: Timestamp) -> (u32, u32) {
        self.since(now.minus_millis(SIGN_LIFETIME))
    }

    /// What the signs come to. `servers` is how many take requests here; `lone` says that all signs of all domains are
    /// of one customer; `others` are the good and bad signs of the other domains of late: what is as bad everywhere is
    /// no fault of this one.
    pub fn assess(&self, now: Timestamp, servers: usize, lone: bool, others: (u32, u32)) -> Assessment {
        let elsewhere = f64::from(others.1) / (f64::from(others.0 + others.1) + OTHERS_PRIOR_SIGNS);
        let usual = self.usual.max(elsewhere).clamp(MIN_BASELINE_BAD_RATIO, MAX_BASELINE_BAD_RATIO);
        let failing = FAILING_BAD_RATIO.max((FAILING_FACTOR * usual).min(MAX_FAILING_BAD_RATIO));
        let (for_bad, for_good) = ((failing / usual).ln(), ((1.0 - failing) / (1.0 - usual)).ln());
        let weigh = |seen: &Seen| if seen.observation == Observation::Success { for_good } else { for_bad };
        // Page's test: the latest signs whose sum is largest.
        let (mut sum, mut best, mut length) = (0.0, 0.0, 0);
        for (count, seen) in
            self.seen.iter().rev().take_while(|seen| seen.at > now.minus_millis(SIGN_LIFETIME)).enumerate()
        {
            sum += weigh(seen);
            if sum > best {
                (best, length) = (sum, count + 1);
            }
        }
        let latest: Vec<&Seen> = self.seen.iter().rev().take(length).collect();
        let bad: Vec<&&Seen> =
            latest.iter().filter(|seen| seen.observation != Observation::Success).collect();
        if bad.is_empty() {
            return Assessment::default();
        }
        let without = |left_out: &dyn Fn(&Seen) -> bool| -> f64 {
            latest.iter().filter(|seen| !left_out(seen)).map(|seen| weigh(seen)).sum()
        };
        let least = |mut parts: Vec<u64>, of: &dyn Fn(&Seen) -> u64| -> f64 {
            parts.sort_unstable();
            parts.dedup();
            parts.iter().map(|part| without(&|seen| of(seen) == *part)).fold(f64::INFINITY, f64::min)
        };
        let by_server = |seen: &Seen| u64::from(seen.server);
        let by_customer = |seen: &Seen| seen.customer;
        let no_server = least(bad.iter().map(|s| by_server(s)).collect(), &by_server);
        let no_customer = least(bad.iter().map(|s| by_customer(s)).collect(), &by_customer);
        let of_many = |part: f64| servers < 2 || no_server >= part * MIN_SCORE_RATIO_WITHOUT_SERVER;
        let of_some = |part: f64| lone || no_customer >= part * MIN_SCORE_RATIO_WITHOUT_CUSTOMER;
        let kinds = [
            Observation::NoResponse,
            Observation::Slow,
            Observation::ConnectFailed,
            Observation::Reset,
            Observation::Error,
        ];
        let count = |kind: Observation| bad.iter().filter(|seen| seen.observation == kind).count();
        let main_failure = kinds.into_iter().max_by_key(|kind| count(*kind));
        Assessment {
            score: best,
            is_failed: best >= ALARM_SCORE && of_many(ALARM_SCORE) && of_some(ALARM_SCORE),
            is_suspect: best >= SUSPECT_SCORE && of_many(SUSPECT_SCORE) && of_some(SUSPECT_SCORE),
            is_slow: count(Observation::Slow) as f64 >= MIN_SLOW_RATIO * bad.len() as f64,
            failures: bad.len() as u32,
            observations: latest.len() as u32,
            main_failure,
        }
    }
}

#[cfg(test)]
mod tests;
