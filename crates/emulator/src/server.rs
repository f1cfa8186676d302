//! A made-up app server: so many workers, a queue, a cold start.

use crate::scenario::{COLD_FROM, WARM};
use ivygate_time::Millis;
use std::collections::VecDeque;

/// Requests that wait for each worker, at most.
const QUEUE: usize = 16;

/// A request at a server: node, request and attempt, its work.
#[derive(Clone, Debug)]
pub struct Job {
    pub node: usize,
    pub request: u64,
    pub attempt: u32,
    pub work: Millis,
}

pub struct Server {
    pub zone: usize,
    /// Its number within its zone.
    pub place: usize,
    workers: usize,
    busy: usize,
    waiting: VecDeque<Job>,
    pub started: Option<Millis>,
    /// Counts its deaths: what was begun before one never ends.
    pub life: u32,
}

impl Server {
    pub fn new(zone: usize, place: usize, workers: usize) -> Self {
        Self { zone, place, workers, busy: 0, waiting: VecDeque::new(), started: None, life: 0 }
    }

    /// Part of its capacity that it has.
    pub fn warmth(&self, now: Millis) -> f64 {
        let age = self.started.map_or(WARM, |started| (now - started).max(0.0));
        COLD_FROM + (1.0 - COLD_FROM) * (age / WARM).min(1.0)
    }

    /// Takes a request; what it begins with it, or the request itself if it is turned away.
    pub fn take(&mut self, job: Job) -> Result<Option<Job>, Job> {
        if self.busy < self.workers {
            self.busy += 1;
            return Ok(Some(job));
        }
        if self.waiting.len() >= QUEUE * self.workers {
            return Err(job);
        }
        self.waiting.push_back(job);
        Ok(None)
    }

    /// A worker is free: what it begins next.
    pub fn next(&mut self) -> Option<Job> {
        let next = self.waiting.pop_front();
        if next.is_none() {
            self.busy = self.busy.saturating_sub(1);
        }
        next
    }

    /// Dies and loses all that it has; what waited is returned.
    pub fn die(&mut self) -> Vec<Job> {
        self.life += 1;
        self.busy = 0;
        self.waiting.drain(..).collect()
    }
}
