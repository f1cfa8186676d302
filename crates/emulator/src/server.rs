//! A simulated app server with workers, a queue and slow start.

use crate::scenario::{SLOW_START_CAPACITY, SLOW_START_DURATION};
use ivygate_time::Millis;
use std::collections::VecDeque;

/// Maximum number of queued requests per worker.
const QUEUE_PER_WORKER: usize = 16;

/// An attempt at a server.
#[derive(Clone, Debug)]
pub struct Job {
    pub node: usize,
    pub request: u64,
    pub attempt: u32,
    /// Service time at full capacity.
    pub work: Millis,
}

/// A simulated server.
pub struct Server {
    pub zone: usize,
    /// Its index within its zone.
    pub index: usize,
    workers: usize,
    busy_workers: usize,
    queue: VecDeque<Job>,
    pub started_at: Option<Millis>,
    /// Number of its crashes; requests started before a crash never end.
    pub incarnation: u32,
}

impl Server {
    /// Creates an idle server with full capacity.
    pub fn new(zone: usize, index: usize, workers: usize) -> Self {
        Self {
            zone,
            index,
            workers,
            busy_workers: 0,
            queue: VecDeque::new(),
            started_at: None,
            incarnation: 0,
        }
    }

    /// Returns the share of its capacity that it currently has.
    pub fn capacity(&self, now: Millis) -> f64 {
        let age = self.started_at.map_or(SLOW_START_DURATION, |started_at| (now - started_at).max(0.0));
        SLOW_START_CAPACITY + (1.0 - SLOW_START_CAPACITY) * (age / SLOW_START_DURATION).min(1.0)
    }

    /// Accepts a request. Returns it if processing starts now, `None` if it is queued.
    ///
    /// # Errors
    /// Returns the request if the queue is full.
    pub fn accept(&mut self, job: Job) -> Result<Option<Job>, Job> {
        if self.busy_workers < self.workers {
            self.busy_workers += 1;
            return Ok(Some(job));
        }
        if self.queue.len() >= QUEUE_PER_WORKER * self.workers {
            return Err(job);
        }
        self.queue.push_back(job);
        Ok(None)
    }

    /// Frees a worker and returns the queued request that it processes next, if any.
    pub fn finish_one(&mut self) -> Option<Job> {
        let next = self.queue.pop_front();
        if next.is_none() {
            self.busy_workers = self.busy_workers.saturating_sub(1);
        }
        next
    }

    /// Crashes and loses all requests; returns the queued ones.
    pub fn crash(&mut self) -> Vec<Job> {
        self.incarnation += 1;
        self.busy_workers = 0;
        self.queue.drain(..).collect()
    }
}
