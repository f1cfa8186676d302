//! Records of what a gateway knows, without any policy.

use crate::interface::{Fence, Member, Millis, Plan, RequestId, ServerId, ServerState, Zones};
use std::collections::VecDeque;
use std::sync::Arc;

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// No outcome yet.
    Out,
    /// Proven never to have run.
    NeverRan,
    /// It ran, or may have.
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub server: ServerId,
    pub sent_at: Millis,
    pub state: AttemptState,
    /// Requests thought to be on the server when it was sent.
    pub crowd: f64,
}

/// A request that this gateway has taken.
#[derive(Clone, Debug)]
pub struct Request {
    pub class: usize,
    pub plan: usize,
    pub customer: Arc<str>,
    /// Gateways through which that customer's requests may come.
    pub width: f64,
    pub deadline: Millis,
    /// When an answer stops earning the full worth.
    pub aim_at: Millis,
    pub units: f64,
    /// The only zones whose servers may have it.
    pub zones: Option<Zones>,
    /// Most attempts.
    pub most: u32,
    pub attempts: Vec<Attempt>,
    /// Has its final answer; only kept for the attempts still out.
    pub closed: bool,
    /// A streamed answer has begun.
    pub streaming: bool,
}

impl Request {
    /// Attempts without an outcome.
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.state == AttemptState::Out).count()
    }

    /// Whether every attempt is proven never to have run.
    pub fn never_ran(&self) -> bool {
        self.attempts.iter().all(|a| a.state == AttemptState::NeverRan)
    }

    /// The first attempt that ran or may have, or may yet.
    pub fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.state != AttemptState::NeverRan)
    }
}

/// A server that the list has named.
#[derive(Clone, Debug)]
pub struct Server {
    pub zone: Arc<str>,
    pub cell: u32,
    pub state: ServerState,
    pub weight: f64,
    pub started: Option<Millis>,
    /// Own attempts out: request, number and time of each send.
    pub out: VecDeque<(RequestId, u32, Millis)>,
    /// Requests of other gateways, by the last report.
    pub others: f64,
    /// Time of that report.
    pub reported_at: Millis,
    /// Its service time against the fleet's.
    pub pace: f64,
    /// What time-outs have added to it, and when that was last changed.
    pub slowed: f64,
    pub slowed_at: Millis,
    /// How many answers that rests on.
    pub answers: f64,
    /// Waiting seen in its answers.
    pub waited: Millis,
    /// Last answer of any kind.
    pub answered_at: Millis,
    /// Failures in a row.
    pub failures: u32,
    /// Not to be used before, but for want of others.
    pub blocked_until: Millis,
    /// On trial since a block: no good answer yet.
    pub on_trial: bool,
    /// A probe is on its way.
    pub probing: bool,
    /// Work that may still be sent to it while it is cold; `None` before the first look.
    pub cold_store: Option<Millis>,
    pub cold_at: Millis,
    /// What the way there is taken to cost.
    pub detour: Millis,
    /// Bound on requests while it is cold, those that may go now, and since when.
    pub fence: Option<Fence>,
    pub fenced: f64,
    pub fenced_at: Millis,
}

impl Server {
    /// A server of which only the list has told.
    pub fn new(member: &Member, now: Millis) -> Self {
        Self {
            zone: member.zone.as_str().into(),
            cell: member.cell,
            state: member.state,
            weight: member.weight,
            started: member.started,
            out: VecDeque::new(),
            others: 0.0,
            reported_at: f64::NEG_INFINITY,
            pace: 1.0,
            slowed: 0.0,
            slowed_at: now,
            answers: 0.0,
            waited: 0.0,
            answered_at: now,
            failures: 0,
            blocked_until: f64::NEG_INFINITY,
            on_trial: false,
            probing: false,
            cold_store: None,
            cold_at: now,
            detour: member.detour,
            fence: member.fence,
            fenced: 0.0,
            fenced_at: now,
        }
    }

    /// Whether its fence lets one more request through; stores at most one.
    pub fn passes_fence(&mut self, now: Millis) -> bool {
        let Some(fence) = self.fence.filter(|fence| now < fence.until) else { return true };
        self.fenced = (self.fenced + fence.per_s * (now - self.fenced_at) / 1000.0).min(1.0);
        self.fenced_at = now;
        self.fenced >= 1.0
    }

    /// Its service time against the fleet's; what time-outs have added fades in a time.
    pub fn pace_at(&self, now: Millis, life: Millis) -> f64 {
        self.pace + self.slowed * (-(now - self.slowed_at) / life).exp()
    }
}

/// An exact record of a customer that is flagged or has a ceiling.
#[derive(Clone, Debug)]
pub struct Customer {
    pub plan: usize,
    pub width: f64,
    /// Flagged heavy by a reading rather than by the sketch, until then.
    pub flagged_until: Millis,
    /// Part of its requests that passes.
    pub share: f64,
    /// Fraction of a request still to pass.
    pub credit: f64,
    /// Shares and since when they were in force.
    pub shares: VecDeque<(Millis, f64)>,
    /// Estimate of the quota's store, drained by metered use.
    pub mirror: f64,
    /// Part of the customer's use that this gateway is taken to send.
    pub part: f64,
    /// Store drained by what this gateway sent, scaled up by that part.
    pub own: f64,
    pub own_at: Millis,
    /// Units sent since the last reading.
    pub unmetered: f64,
    /// Units sent here and metered of all gateways, in the last periods.
    pub own_use: f64,
    pub metered_use: f64,
    /// Last meter reading taken and when.
    pub reading: Option<(Millis, f64)>,
    /// When this record was made.
    pub made_at: Millis,
    /// This gateway's part of the ceiling's store.
    pub ceiling: f64,
    pub ceiling_at: Millis,
    pub seen_at: Millis,
}

impl Customer {
    /// Lets the stores fill up to now.
    pub fn fill(&mut self, now: Millis, limits: &Plan) {
        self.own = (self.own + (now - self.own_at) / 1000.0 * limits.rate).min(limits.burst);
        self.own_at = now;
        let gain = (now - self.ceiling_at) / 1000.0 * limits.ceiling_rate / self.width;
        self.ceiling = (self.ceiling + gain).min(limits.ceiling_burst / self.width);
        self.ceiling_at = now;
    }
}
