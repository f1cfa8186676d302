//! Randomized simulation of orders behind a sign-in check, with faults on both sides and a simulated clock: the real
//! check state machine between two real gateways, one for the service's pool and one for the application's. Ten
//! thousand seeded runs.
//!
//! The simulation stands in for the sidecar's sockets: attempts end early, late, exactly at a time limit or never, and
//! time out; servers drain, fail and start cold; clients disconnect and order again.

use ivygate_forward_auth::{check_time_limit, AuthCheck, CheckAction, CheckEvent, FailurePolicy, Verdict};
use ivygate_gateway::{
    Action, Arrival, AttemptResult, Effect, Event, Gateway, ListKind, Load, Outcome, Plan, RequestClass,
    RequestId, RetryBudget, ServerEntry, ServerState, Settings,
};
use ivygate_time::Timestamp;
use std::collections::{BTreeMap, HashMap};

/// Time limit of a check, in milliseconds.
const MAX_CHECK_MS: f64 = 300.0;
/// Latency target of the application, in milliseconds.
const APP_LATENCY_MS: f64 = 400.0;
/// Longest time limit of an order, in milliseconds.
const DEADLINE_MS: f64 = 1000.0;

/// Pool that handles a request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Side {
    Service,
    Application,
}

enum Scheduled {
    Order,
    AttemptEnd(Side, RequestId, u32, Outcome, Verdict),
    AttemptTimeout(Side, RequestId, u32),
    Timer(Side, u64),
    CheckTimeout(usize),
    Deadline(usize),
    ClientLeaves(usize),
    ServerList(Side),
}

struct Order {
    check: AuthCheck,
    deadline: f64,
    client_gone: bool,
    answers: u32,
    runs: u32,
    denied: bool,
    forwarded: u32,
}

struct Attempt {
    server: u32,
    sent_at: f64,
    ended: bool,
}

/// Fault seeded into the simulation, to verify that the invariant checks detect it.
#[derive(Clone, Copy, PartialEq)]
enum SeededFault {
    None,
    /// Every allow forwards its order, even after the order has been answered.
    ForwardsEveryAllow,
    /// Attempts that may have run are reported as never sent.
    ResetsReportedUnsent,
    /// The check of an order continues after the order has timed out.
    CheckOutlivesOrder,
}

struct Simulation {
    rng: fastrand::Rng,
    now: f64,
    fault: SeededFault,
    scheduled: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    gateways: HashMap<Side, Gateway>,
    orders: Vec<Order>,
    attempts: HashMap<(Side, RequestId), Vec<Attempt>>,
    violations: Vec<String>,
}

fn gateway(side: Side, seed: u64) -> Gateway {
    let (name, effect, latency_target, deadline) = match side {
        Side::Service => ("check", Effect::Safe, MAX_CHECK_MS / 2.0, MAX_CHECK_MS),
        Side::Application => ("order", Effect::Unsafe, APP_LATENCY_MS, DEADLINE_MS),
    };
    let settings = Settings {
        gateways: 1,
        rank: 0,
        zone: "north".into(),
        classes: vec![RequestClass {
            name: name.into(),
            latency_target,
            deadline,
            value: 1.0,
            late_value: 1.0,
            effect,
            initial_work: Some(2.0),
            key_window: 0.0,
        }],
        plans: vec![Plan::unlimited("all")],
        max_attempts: 3,
        allow_hedging: false,
        allow_health_checks: false,
        allow_trial_requests: true,
        retry_budget: RetryBudget::DEFAULT,
        allow_cancellation: true,
        subscribe_to_list: false,
        max_retry_after: Some(1000.0),
        meter_period: None,
        cross_zone_cost: 0.0,
        slow_start_capacity: 0.2,
        slow_start_duration: 500.0,
        overload_factor: 2.0,
        overload_window: 100.0,
    };
    Gateway::new(settings, seed).expect("the settings are valid")
}

impl Simulation {
    fn new(seed: u64, fault: SeededFault) -> Self {
        let gateways =
            [Side::Service, Side::Application].into_iter().map(|side| (side, gateway(side, seed))).collect();
        Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            fault,
            scheduled: BTreeMap::new(),
            sequence: 0,
            gateways,
            orders: Vec::new(),
            attempts: HashMap::new(),
            violations: Vec::new(),
        }
    }

    fn schedule(&mut self, time: f64, item: Scheduled) {
        self.sequence += 1;
        self.scheduled.insert(((time.max(self.now) * 1000.0) as u64, self.sequence), item);
    }

    fn run(mut self) -> Self {
        for side in [Side::Service, Side::Application] {
            self.send_server_list(side);
            for _ in 0..self.rng.usize(0..3) {
                let at = self.rng.f64() * 1500.0;
                self.schedule(at, Scheduled::ServerList(side));
            }
        }
        for _ in 0..self.rng.usize(1..6) {
            let at = self.rng.f64() * 800.0;
            self.schedule(at, Scheduled::Order);
        }
        while let Some(((at, _), item)) = self.scheduled.pop_first() {
            self.now = at as f64 / 1000.0;
            // The gateways re-arm their timers indefinitely.
            if self.now > 10_000.0 {
                break;
            }
            self.handle_scheduled(item);
        }
        for (number, order) in self.orders.iter().enumerate() {
            let allowed = if order.client_gone { 0..=1 } else { 1..=1 };
            if !allowed.contains(&order.answers) {
                self.violations.push(format!("order {number} got {} answers", order.answers));
            }
            if order.runs > 1 {
                self.violations.push(format!("order {number} ran {} times", order.runs));
            }
            if order.denied && order.runs > 0 {
                self.violations.push(format!("order {number} ran after it was denied"));
            }
        }
        self
    }

    fn handle_scheduled(&mut self, item: Scheduled) {
        match item {
            Scheduled::Order => self.start_order(),
            Scheduled::ServerList(side) => self.send_server_list(side),
            Scheduled::Timer(side, token) => self.handle_event(side, Event::Timer { token }),
            Scheduled::AttemptTimeout(side, id, attempt) => {
                self.end_attempt(side, &id, attempt, Outcome::Timeout, Verdict::Unusable);
            }
            Scheduled::AttemptEnd(side, id, attempt, outcome, verdict) => {
                self.end_attempt(side, &id, attempt, outcome, verdict);
            }
            Scheduled::CheckTimeout(number) => self.check_event(number, CheckEvent::NoAnswer),
            Scheduled::Deadline(number) => {
                self.check_event(number, CheckEvent::DeadlineExpired);
                if self.orders[number].answers == 0 && !self.orders[number].client_gone {
                    // The application has not answered by the deadline.
                    self.answer(number);
                }
                self.end_check(number);
                self.client_gone(Side::Application, number);
            }
            Scheduled::ClientLeaves(number) => {
                self.check_event(number, CheckEvent::ClientGone);
                self.orders[number].client_gone = true;
                self.client_gone(Side::Service, number);
                self.client_gone(Side::Application, number);
            }
        }
    }

    /// Starts an order. Its client may disconnect, or start another order while this one is pending.
    fn start_order(&mut self) {
        let number = self.orders.len();
        let deadline = self.now + DEADLINE_MS * (0.3 + 0.7 * self.rng.f64());
        self.orders.push(Order {
            check: AuthCheck::new(FailurePolicy::Closed, deadline),
            deadline,
            client_gone: false,
            answers: 0,
            runs: 0,
            denied: false,
            forwarded: 0,
        });
        let check = self.now + check_time_limit(MAX_CHECK_MS, deadline - self.now, APP_LATENCY_MS);
        self.schedule(check, Scheduled::CheckTimeout(number));
        self.schedule(deadline, Scheduled::Deadline(number));
        if self.rng.u32(0..6) == 0 {
            let at = self.now + self.rng.f64() * DEADLINE_MS;
            self.schedule(at, Scheduled::ClientLeaves(number));
        }
        if self.rng.u32(0..6) == 0 && number < 8 {
            let at = self.now + self.rng.f64() * MAX_CHECK_MS;
            self.schedule(at, Scheduled::Order);
        }
        self.arrive(Side::Service, number, check);
    }

    fn arrive(&mut self, side: Side, number: usize, deadline: f64) {
        let class = if side == Side::Service { "check" } else { "order" };
        let arrival = Arrival {
            request: number.to_string().into(),
            class: class.into(),
            plan: "all".into(),
            customer: "c".into(),
            deadline: Timestamp::from_millis(deadline),
            units: 1.0,
            gateways: 1,
            zones: None,
            max_attempts: None,
        };
        self.handle_event(side, Event::Arrival(arrival));
    }

    /// Sends a server list in which servers may be draining or recently started.
    fn send_server_list(&mut self, side: Side) {
        let states = [ServerState::Ready, ServerState::Ready, ServerState::Ready, ServerState::Draining];
        let mut members = Vec::new();
        for server in 1..=2 {
            let state = self.rng.choice(states).expect("the list of states is not empty");
            let started = (self.rng.u32(0..3) == 0).then_some(Timestamp::from_millis(self.now));
            members.push(ServerEntry {
                server,
                zone: "north".into(),
                cell: 0,
                state,
                weight: 1.0,
                started_at: started,
                distance_cost: 0.0,
                slow_start: None,
            });
        }
        self.handle_event(side, Event::List { kind: ListKind::Full, servers: members.into() });
    }

    fn end_check(&mut self, number: usize) {
        if !matches!(self.fault, SeededFault::CheckOutlivesOrder | SeededFault::ForwardsEveryAllow) {
            self.client_gone(Side::Service, number);
        }
    }

    fn client_gone(&mut self, side: Side, number: usize) {
        self.handle_event(side, Event::ClientGone { request: number.to_string().into() });
    }

    fn handle_event(&mut self, side: Side, event: Event) {
        let mut actions = Vec::new();
        if let Some(gateway) = self.gateways.get_mut(&side) {
            gateway.handle(Timestamp::from_millis(self.now), event, &mut actions);
        }
        for action in actions {
            self.execute(side, action);
        }
    }

    fn execute(&mut self, side: Side, action: Action) {
        match action {
            Action::Send { request, server, give_up_at } => {
                self.send(side, request, server, give_up_at.as_millis());
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                let number: usize = request.parse().expect("a number");
                let attempted = self.attempts.contains_key(&(side, request));
                match side {
                    Side::Service => {
                        self.check_event(
                            number,
                            if attempted { CheckEvent::NoAnswer } else { CheckEvent::Rejected },
                        );
                    }
                    Side::Application => self.answer_once(number),
                }
            }
            Action::Cancel { request, attempt } => {
                self.end_attempt(side, &request, attempt, Outcome::Cancelled, Verdict::Unusable);
            }
            Action::Timer { token, at } => self.schedule(at.as_millis(), Scheduled::Timer(side, token)),
            Action::CheckHealth { .. } | Action::Subscribe | Action::Log { .. } => {}
        }
    }

    fn send(&mut self, side: Side, id: RequestId, server: u32, give_up_at: f64) {
        let number: usize = id.parse().expect("a number");
        let order = &self.orders[number];
        if side == Side::Application && (order.answers > 0 || order.client_gone) {
            self.violations.push(format!("order {number} was sent after it ended"));
        }
        let deadline = self.orders[number].deadline;
        let attempts = self.attempts.entry((side, id.clone())).or_default();
        let attempt = attempts.len() as u32;
        attempts.push(Attempt { server, sent_at: self.now, ended: false });
        self.schedule(give_up_at, Scheduled::AttemptTimeout(side, id.clone(), attempt));
        let outcome = match self.rng.u32(0..10) {
            0..=4 => Outcome::Ok,
            5 => Outcome::Error,
            6 => Outcome::Reset,
            7 => Outcome::ConnectFailed,
            8 => Outcome::Rejected,
            // No answer ever arrives.
            _ => Outcome::Timeout,
        };
        let verdict = match self.rng.u32(0..6) {
            0..=3 => Verdict::Allowed,
            4 => Verdict::Denied,
            _ => Verdict::Unusable,
        };
        if side == Side::Application && !matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected) {
            // An order that reaches the server runs, even if the answer is lost.
            self.orders[number].runs += 1;
        }
        if outcome == Outcome::Timeout {
            return;
        }
        // The attempt ends soon, or just before, at or just after one of the time limits.
        let check = self.now + check_time_limit(MAX_CHECK_MS, deadline - self.now, APP_LATENCY_MS);
        let limit = [give_up_at, deadline, check][self.rng.usize(0..3)];
        let at = match self.rng.u32(0..5) {
            0 => limit - 0.01,
            1 => limit,
            2 => limit + 0.01,
            _ => self.now + self.rng.f64() * 60.0,
        };
        self.schedule(at, Scheduled::AttemptEnd(side, id, attempt, outcome, verdict));
    }

    /// Ends an attempt by its outcome or by its timeout, whichever comes first.
    fn end_attempt(&mut self, side: Side, id: &RequestId, attempt: u32, outcome: Outcome, verdict: Verdict) {
        let Some(entry) =
            self.attempts.get_mut(&(side, id.clone())).and_then(|a| a.get_mut(attempt as usize))
        else {
            return;
        };
        if std::mem::replace(&mut entry.ended, true) {
            if self.fault == SeededFault::ForwardsEveryAllow
                && side == Side::Service
                && outcome == Outcome::Ok
            {
                self.check_event(id.parse().expect("a number"), CheckEvent::Answered(verdict));
            }
            return;
        }
        let (server, sent_at) = (entry.server, entry.sent_at);
        let number: usize = id.parse().expect("a number");
        let outcome = match outcome {
            Outcome::Reset | Outcome::Error if self.fault == SeededFault::ResetsReportedUnsent => {
                Outcome::ConnectFailed
            }
            outcome => outcome,
        };
        if outcome == Outcome::Ok {
            match side {
                Side::Service => {
                    self.orders[number].denied |= verdict == Verdict::Denied;
                    self.check_event(number, CheckEvent::Answered(verdict));
                }
                Side::Application => self.answer_once(number),
            }
        }
        let is_final = outcome == Outcome::Ok || self.orders[number].answers > 0;
        self.handle_event(
            side,
            Event::AttemptEnded(AttemptResult {
                request: id.clone(),
                attempt,
                server,
                outcome,
                elapsed: self.now - sent_at,
                is_final,
                metered_percent: None,
                load: Load::default(),
            }),
        );
    }

    fn check_event(&mut self, number: usize, event: CheckEvent) {
        let now = self.now;
        let order = &mut self.orders[number];
        let mut action = order.check.handle(now, event);
        if self.fault == SeededFault::ForwardsEveryAllow && event == CheckEvent::Answered(Verdict::Allowed) {
            action = CheckAction::Forward { checked: true };
        }
        match action {
            CheckAction::Forward { checked } => {
                order.forwarded += 1;
                if !checked || order.denied || order.answers > 0 || order.client_gone || now >= order.deadline
                {
                    self.violations.push(format!("order {number} was forwarded although it must not be"));
                }
                if self.orders[number].forwarded > 1 {
                    self.violations.push(format!("order {number} was forwarded twice"));
                }
                let deadline = self.orders[number].deadline;
                self.arrive(Side::Application, number, deadline);
            }
            CheckAction::Relay
            | CheckAction::Overloaded
            | CheckAction::RateLimited
            | CheckAction::Unavailable
            | CheckAction::TimedOut => {
                self.answer(number);
                self.end_check(number);
            }
            CheckAction::Ignore => {}
        }
    }

    fn answer(&mut self, number: usize) {
        let order = &mut self.orders[number];
        if !order.client_gone {
            order.answers += 1;
        }
        if self.now > order.deadline + 0.001 {
            self.violations.push(format!("order {number} was answered late"));
        }
    }

    /// Counts the application's answer, unless the order was answered or timed out before.
    fn answer_once(&mut self, number: usize) {
        if self.orders[number].answers == 0 && self.now < self.orders[number].deadline {
            self.answer(number);
        }
    }
}

#[test]
fn each_order_is_answered_once_runs_at_most_once_and_never_runs_when_denied() {
    let (mut orders, mut ran) = (0, 0);
    for seed in 0..10_000 {
        let simulation = Simulation::new(seed, SeededFault::None).run();
        assert!(simulation.violations.is_empty(), "seed {seed}: {:?}", simulation.violations);
        orders += simulation.orders.len();
        ran += simulation.orders.iter().filter(|order| order.runs == 1).count();
    }
    // The runs must actually exercise orders.
    assert!(orders >= 10_000 && ran >= 1_000, "{ran} of {orders} orders ran");
}

#[test]
fn seeded_faults_are_detected() {
    for fault in [SeededFault::ForwardsEveryAllow, SeededFault::ResetsReportedUnsent] {
        let detected = (0..2_000).any(|seed| !Simulation::new(seed, fault).run().violations.is_empty());
        assert!(detected);
    }
}

#[test]
fn check_that_outlives_its_order_forwards_nothing() {
    for seed in 0..2_000 {
        let violations = Simulation::new(seed, SeededFault::CheckOutlivesOrder).run().violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}
