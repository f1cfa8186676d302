//! A sequential test of one domain: the evidence of recent observations that the domain fails rather than works as usual.
//!
//! Used only by the domain. Each observation has a log-likelihood ratio; the score is the largest sum over the latest
//! observations (Page's test). Observations of one server or of one customer are not independent and must not suffice alone.
//! The score therefore has to hold without the server and without the customer that contribute most to it.

use ivygate_gateway::ServerId;
use ivygate_time::{Millis, Timestamp};
use std::collections::VecDeque;

/// Maximum number of observations kept.
const MAX_OBSERVATIONS: usize = 64;
/// Age from which an observation is ignored.
const OBSERVATION_LIFETIME: Millis = 10_000.0;
/// Assumed failure ratio of a domain that fails ...
const FAILING_RATIO: f64 = 0.5;
/// ... or this multiple of the baseline if that is higher ...
const FAILING_FACTOR: f64 = 2.0;
/// ... up to this maximum.
const MAX_FAILING_RATIO: f64 = 0.95;
/// Bounds of the baseline failure ratio.
const MIN_BASELINE_FAILURE_RATIO: f64 = 0.02;
const MAX_BASELINE_FAILURE_RATIO: f64 = 0.5;
/// Successes that are added to the observations of the other domains, so that their failure ratio counts only with enough
/// observations.
const OTHERS_PRIOR_SUCCESSES: f64 = 5.0;
/// Weight of one observation in the learned baseline failure ratio.
const BASELINE_LEARNING_WEIGHT: f64 = 0.002;
/// Score from which a domain has failed: 12 is four consecutive failures at a baseline of one failure in 50.
pub const FAILURE_SCORE: f64 = 12.0;
/// Score from which a domain is suspect: two consecutive failures at that baseline.
pub const SUSPECT_SCORE: f64 = 6.0;
/// Share of the required score that must remain without the server that contributes most ...
const MIN_SCORE_RATIO_WITHOUT_SERVER: f64 = 0.5;
/// ... and without the customer that contributes most.
const MIN_SCORE_RATIO_WITHOUT_CUSTOMER: f64 = 0.25;
/// Share of the failures that are late responses from which a domain is slow rather than failed.
const MIN_SLOW_RATIO: f64 = 0.34;

/// Observed result of an attempt, as evidence on the server's domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A response within the usual time.
    Success,
    /// A response long after the usual time.
    Slow,
    /// No response long after the usual time.
    NoResponse,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was reset.
    Reset,
    /// An error response.
    Error,
}

impl Observation {
    /// Returns its name in status documents and logs.
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

/// An observation with its context.
#[derive(Clone, Copy, Debug)]
struct Record {
    number: u64,
    at: Timestamp,
    server: ServerId,
    customer: u64,
    observation: Observation,
}

/// Assessment of the recent observations of a domain.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Assessment {
    /// The score of Page's test, at least 0.
    pub score: f64,
    /// Set if the domain has failed, whichever server or customer is left out.
    pub is_failed: bool,
    /// Set if the domain is suspect, whichever server or customer is left out.
    pub is_suspect: bool,
    /// Set if the domain responds, but too late.
    pub is_slow: bool,
    /// Number of failures among the observations that make up the score.
    pub failures: u32,
    /// Number of observations that make up the score.
    pub observations: u32,
    /// The most frequent kind of failure.
    pub main_failure: Option<Observation>,
}

/// Recent observations of one domain.
#[derive(Clone, Debug)]
pub struct Evidence {
    records: VecDeque<Record>,
    /// Failure ratio while the domain is healthy.
    baseline_failure_ratio: f64,
}

impl Default for Evidence {
    fn default() -> Self {
        Self {
            records: VecDeque::with_capacity(MAX_OBSERVATIONS),
            baseline_failure_ratio: MIN_BASELINE_FAILURE_RATIO,
        }
    }
}

impl Evidence {
    /// Records an observation; `number` identifies it.
    pub fn handle_observation(
        &mut self,
        now: Timestamp,
        number: u64,
        server: ServerId,
        customer: u64,
        observation: Observation,
    ) {
        if self.records.len() == MAX_OBSERVATIONS {
            self.records.pop_front();
        }
        self.records.push_back(Record { number, at: now, server, customer, observation });
    }

    /// Corrects an observation of no response: the response has arrived late.
    pub fn handle_late_response(&mut self, number: u64) {
        if let Some(record) = self.records.iter_mut().rev().find(|record| record.number == number) {
            record.observation = Observation::Slow;
        }
    }

    /// Updates the baseline failure ratio with an observation of a healthy domain.
    pub fn learn(&mut self, observation: Observation) {
        let is_failure = f64::from(u8::from(observation != Observation::Success));
        self.baseline_failure_ratio += BASELINE_LEARNING_WEIGHT * (is_failure - self.baseline_failure_ratio);
    }

    /// Drops all observations.
    pub fn clear(&mut self) {
        self.records.clear();
    }

    /// Returns the numbers of successes and failures since a time.
    pub fn since(&self, at: Timestamp) -> (u32, u32) {
        let recent = self.records.iter().rev().take_while(|record| record.at >= at);
        recent.fold((0, 0), |(successes, failures), record| match record.observation {
            Observation::Success => (successes + 1, failures),
            _ => (successes, failures + 1),
        })
    }

    /// Returns up to two different customers of the observations.
    pub fn customers(&self) -> Vec<u64> {
        let mut found = Vec::new();
        for record in &self.records {
            if !found.contains(&record.customer) {
                found.push(record.customer);
                if found.len() == 2 {
                    break;
                }
            }
        }
        found
    }

    /// Returns the numbers of recent successes and failures.
    pub fn recent(&self, now: Timestamp) -> (u32, u32) {
        self.since(now.minus_millis(OBSERVATION_LIFETIME))
    }

    /// Assesses the recent observations. `servers` is the number of servers that accept requests here; `is_single_customer` tells
    /// that all observations of all domains are of one customer; `others` are the recent successes and failures of the other
    /// domains: failures that are as frequent everywhere are not a failure of this domain.
    pub fn assess(
        &self,
        now: Timestamp,
        servers: usize,
        is_single_customer: bool,
        others: (u32, u32),
    ) -> Assessment {
        let other_failure_ratio =
            f64::from(others.1) / (f64::from(others.0 + others.1) + OTHERS_PRIOR_SUCCESSES);
        let baseline = self
            .baseline_failure_ratio
            .max(other_failure_ratio)
            .clamp(MIN_BASELINE_FAILURE_RATIO, MAX_BASELINE_FAILURE_RATIO);
        let failing_ratio = FAILING_RATIO.max((FAILING_FACTOR * baseline).min(MAX_FAILING_RATIO));
        let (failure_weight, success_weight) =
            ((failing_ratio / baseline).ln(), ((1.0 - failing_ratio) / (1.0 - baseline)).ln());
        let weight = |record: &Record| {
            if record.observation == Observation::Success {
                success_weight
            } else {
                failure_weight
            }
        };
        // Page's test: finds the run of latest observations with the largest sum.
        let (mut sum, mut score, mut length) = (0.0, 0.0, 0);
        for (count, record) in self
            .records
            .iter()
            .rev()
            .take_while(|record| record.at > now.minus_millis(OBSERVATION_LIFETIME))
            .enumerate()
        {
            sum += weight(record);
            if sum > score {
                (score, length) = (sum, count + 1);
            }
        }
        let latest: Vec<&Record> = self.records.iter().rev().take(length).collect();
        let failures: Vec<&&Record> =
            latest.iter().filter(|record| record.observation != Observation::Success).collect();
        if failures.is_empty() {
            return Assessment::default();
        }
        let without = |left_out: &dyn Fn(&Record) -> bool| -> f64 {
            latest.iter().filter(|record| !left_out(record)).map(|record| weight(record)).sum()
        };
        let least_without_one = |mut parts: Vec<u64>, of: &dyn Fn(&Record) -> u64| -> f64 {
            parts.sort_unstable();
            parts.dedup();
            parts.iter().map(|part| without(&|record| of(record) == *part)).fold(f64::INFINITY, f64::min)
        };
        let by_server = |record: &Record| u64::from(record.server);
        let by_customer = |record: &Record| record.customer;
        let score_without_server =
            least_without_one(failures.iter().map(|record| by_server(record)).collect(), &by_server);
        let score_without_customer =
            least_without_one(failures.iter().map(|record| by_customer(record)).collect(), &by_customer);
        let holds_without_any_server =
            |part: f64| servers < 2 || score_without_server >= part * MIN_SCORE_RATIO_WITHOUT_SERVER;
        let holds_without_any_customer = |part: f64| {
            is_single_customer || score_without_customer >= part * MIN_SCORE_RATIO_WITHOUT_CUSTOMER
        };
        let kinds = [
            Observation::NoResponse,
            Observation::Slow,
            Observation::ConnectFailed,
            Observation::Reset,
            Observation::Error,
        ];
        let count = |kind: Observation| failures.iter().filter(|record| record.observation == kind).count();
        let main_failure = kinds.into_iter().max_by_key(|kind| count(*kind));
        Assessment {
            score,
            is_failed: score >= FAILURE_SCORE
                && holds_without_any_server(FAILURE_SCORE)
                && holds_without_any_customer(FAILURE_SCORE),
            is_suspect: score >= SUSPECT_SCORE
                && holds_without_any_server(SUSPECT_SCORE)
                && holds_without_any_customer(SUSPECT_SCORE),
            is_slow: count(Observation::Slow) as f64 >= MIN_SLOW_RATIO * failures.len() as f64,
            failures: failures.len() as u32,
            observations: latest.len() as u32,
            main_failure,
        }
    }
}

#[cfg(test)]
mod tests;
