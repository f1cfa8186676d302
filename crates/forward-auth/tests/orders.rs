//! Orders behind a sign-in check, over both sides' faults, on a clock that the test moves: the real gate between two
//! real decision modules, that of the service's pool and that of the application's. Ten thousand seeded runs.
//!
//! What the sidecar's sockets do is played here: attempts are sent, end late, early, in the same moment as a limit or
//! never, and are given up; servers drain, fail and start cold; clients leave and order again.

use ivygate_forward_auth::{check_time_limit, AuthCheck, CheckAction, CheckEvent, FailurePolicy, Verdict};
use ivygate_gateway::{
    Action, Arrival, AttemptResult, Effect, Event, Gateway, ListKind, Load, Outcome, Plan, RequestClass,
    RequestId, RetryBudget, ServerEntry, ServerState, Settings,
};
use ivygate_time::Timestamp;
use std::collections::{BTreeMap, HashMap};

/// What the service's answer takes and the application's usual time, in milliseconds.
const WITHIN: f64 = 300.0;
const AIM: f64 = 400.0;
const DEADLINE: f64 = 1000.0;

/// The two pools.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Side {
    Service,
    Application,
}

enum Due {
    Order,
    Ends(Side, RequestId, u32, Outcome, Verdict),
    GiveUp(Side, RequestId, u32),
    Timer(Side, u64),
    CheckOver(usize),
    TimeUp(usize),
    Leaves(usize),
    Lists(Side),
}

struct Order {
    check: AuthCheck,
    deadline: f64,
    left: bool,
    answers: u32,
    runs: u32,
    said_no: bool,
    went_on: u32,
}

struct Attempt {
    server: u32,
    sent_at: f64,
    ended: bool,
}

/// A mistake put into the play, to see that it would be found.
#[derive(Clone, Copy, PartialEq)]
enum Flaw {
    None,
    /// Every yes lets its order on, also one that comes when the order has its answer.
    EveryYes,
    /// What may have run is called unsent.
    ResetsNeverRan,
    /// Where time is up the order is answered and its check goes on.
    CheckOutlives,
}

struct Play {
    rng: fastrand::Rng,
    now: f64,
    flaw: Flaw,
    due: BTreeMap<(u64, u64), Due>,
    number: u64,
    gateways: HashMap<Side, Gateway>,
    orders: Vec<Order>,
    attempts: HashMap<(Side, RequestId), Vec<Attempt>>,
    broken: Vec<String>,
}

fn gateway(side: Side, seed: u64) -> Gateway {
    let (name, effect, aim, deadline) = match side {
        Side::Service => ("check", Effect::Safe, WITHIN / 2.0, WITHIN),
        Side::Application => ("order", Effect::Unsafe, AIM, DEADLINE),
    };
    let settings = Settings {
        gateways: 1,
        rank: 0,
        zone: "north".into(),
        classes: vec![RequestClass {
            name: name.into(),
            latency_target: aim,
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
    Gateway::new(settings, seed).expect("the settings are sound")
}

impl Play {
    fn new(seed: u64, flaw: Flaw) -> Self {
        let gateways =
            [Side::Service, Side::Application].into_iter().map(|side| (side, gateway(side, seed))).collect();
        Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            flaw,
            due: BTreeMap::new(),
            number: 0,
            gateways,
            orders: Vec::new(),
            attempts: HashMap::new(),
            broken: Vec::new(),
        }
    }

    fn at(&mut self, time: f64, what: Due) {
        self.number += 1;
        self.due.insert(((time.max(self.now) * 1000.0) as u64, self.number), what);
    }

    fn run(mut self) -> Self {
        for side in [Side::Service, Side::Application] {
            self.list(side);
            for _ in 0..self.rng.usize(0..3) {
                let at = self.rng.f64() * 1500.0;
                self.at(at, Due::Lists(side));
            }
        }
        for _ in 0..self.rng.usize(1..6) {
            let at = self.rng.f64() * 800.0;
            self.at(at, Due::Order);
        }
        while let Some(((at, _), due)) = self.due.pop_first() {
            self.now = at as f64 / 1000.0;
            // Timers of the decision modules go on for good.
            if self.now > 10_000.0 {
                break;
            }
            self.happen(due);
        }
        for (number, order) in self.orders.iter().enumerate() {
            let wanted = if order.left { 0..=1 } else { 1..=1 };
            if !wanted.contains(&order.answers) {
                self.broken.push(format!("order {number} got {} answers", order.answers));
            }
            if order.runs > 1 {
                self.broken.push(format!("order {number} ran {} times", order.runs));
            }
            if order.said_no && order.runs > 0 {
                self.broken.push(format!("order {number} ran after a no"));
            }
        }
        self
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Order => self.order(),
            Due::Lists(side) => self.list(side),
            Due::Timer(side, token) => self.feed(side, Event::Timer { token }),
            Due::GiveUp(side, id, attempt) => {
                self.ends(side, &id, attempt, Outcome::Timeout, Verdict::Unusable)
            }
            Due::Ends(side, id, attempt, outcome, verdict) => self.ends(side, &id, attempt, outcome, verdict),
            Due::CheckOver(number) => self.check_event(number, CheckEvent::NoAnswer),
            Due::TimeUp(number) => {
                self.check_event(number, CheckEvent::DeadlineExpired);
                if self.orders[number].answers == 0 && !self.orders[number].left {
                    // It is with the application: the last guard answers.
                    self.answer(number);
                }
                self.check_ends(number);
                self.gone(Side::Application, number);
            }
            Due::Leaves(number) => {
                self.check_event(number, CheckEvent::ClientGone);
                self.orders[number].left = true;
                self.gone(Side::Service, number);
                self.gone(Side::Application, number);
            }
        }
    }

    /// A client orders, and may leave, or order again while the first is still out (which is another order).
    fn order(&mut self) {
        let number = self.orders.len();
        let deadline = self.now + DEADLINE * (0.3 + 0.7 * self.rng.f64());
        self.orders.push(Order {
            check: AuthCheck::new(FailurePolicy::Closed, deadline),
            deadline,
            left: false,
            answers: 0,
            runs: 0,
            said_no: false,
            went_on: 0,
        });
        let check = self.now + check_time_limit(WITHIN, deadline - self.now, AIM);
        self.at(check, Due::CheckOver(number));
        self.at(deadline, Due::TimeUp(number));
        if self.rng.u32(0..6) == 0 {
            let at = self.now + self.rng.f64() * DEADLINE;
            self.at(at, Due::Leaves(number));
        }
        if self.rng.u32(0..6) == 0 && number < 8 {
            let at = self.now + self.rng.f64() * WITHIN;
            self.at(at, Due::Order);
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
        self.feed(side, Event::Arrival(arrival));
    }

    /// Servers come, drain, go and start anew; one of the two may be cold.
    fn list(&mut self, side: Side) {
        let states = [ServerState::Ready, ServerState::Ready, ServerState::Ready, ServerState::Draining];
        let mut members = Vec::new();
        for server in 1..=2 {
            let state = self.rng.choice(states).expect("there are states");
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
        self.feed(side, Event::List { kind: ListKind::Full, servers: members.into() });
    }

    fn check_ends(&mut self, number: usize) {
        if !matches!(self.flaw, Flaw::CheckOutlives | Flaw::EveryYes) {
            self.gone(Side::Service, number);
        }
    }

    fn gone(&mut self, side: Side, number: usize) {
        self.feed(side, Event::ClientGone { request: number.to_string().into() });
    }

    fn feed(&mut self, side: Side, event: Event) {
        let mut actions = Vec::new();
        if let Some(gateway) = self.gateways.get_mut(&side) {
            gateway.handle(Timestamp::from_millis(self.now), event, &mut actions);
        }
        for action in actions {
            self.carry_out(side, action);
        }
    }

    fn carry_out(&mut self, side: Side, action: Action) {
        match action {
            Action::Send { request, server, give_up_at } => {
                self.send(side, request, server, give_up_at.as_millis());
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                let number: usize = request.parse().expect("a number");
                let tried = self.attempts.contains_key(&(side, request));
                match side {
                    Side::Service => {
                        self.check_event(
                            number,
                            if tried { CheckEvent::NoAnswer } else { CheckEvent::Rejected },
                        );
                    }
                    Side::Application => self.answer_once(number),
                }
            }
            Action::Cancel { request, attempt } => {
                self.ends(side, &request, attempt, Outcome::Cancelled, Verdict::Unusable);
            }
            Action::Timer { token, at } => self.at(at.as_millis(), Due::Timer(side, token)),
            Action::CheckHealth { .. } | Action::Subscribe | Action::Log { .. } => {}
        }
    }

    fn send(&mut self, side: Side, id: RequestId, server: u32, give_up_at: f64) {
        let number: usize = id.parse().expect("a number");
        let order = &self.orders[number];
        if side == Side::Application && (order.answers > 0 || order.left) {
            self.broken.push(format!("order {number} is sent after its end"));
        }
        let deadline = self.orders[number].deadline;
        let attempts = self.attempts.entry((side, id.clone())).or_default();
        let attempt = attempts.len() as u32;
        attempts.push(Attempt { server, sent_at: self.now, ended: false });
        self.at(give_up_at, Due::GiveUp(side, id.clone(), attempt));
        let outcome = match self.rng.u32(0..10) {
            0..=4 => Outcome::Ok,
            5 => Outcome::Error,
            6 => Outcome::Reset,
            7 => Outcome::ConnectFailed,
            8 => Outcome::Rejected,
            // Nothing ever comes.
            _ => Outcome::Timeout,
        };
        let verdict = match self.rng.u32(0..6) {
            0..=3 => Verdict::Allowed,
            4 => Verdict::Denied,
            _ => Verdict::Unusable,
        };
        if side == Side::Application && !matches!(outcome, Outcome::ConnectFailed | Outcome::Rejected) {
            // It runs as soon as it has arrived, whatever becomes of the answer.
            self.orders[number].runs += 1;
        }
        if outcome == Outcome::Timeout {
            return;
        }
        // Soon, or round one of the limits: a moment before, in the same moment, a moment after.
        let check = self.now + check_time_limit(WITHIN, deadline - self.now, AIM);
        let limit = [give_up_at, deadline, check][self.rng.usize(0..3)];
        let at = match self.rng.u32(0..5) {
            0 => limit - 0.01,
            1 => limit,
            2 => limit + 0.01,
            _ => self.now + self.rng.f64() * 60.0,
        };
        self.at(at, Due::Ends(side, id, attempt, outcome, verdict));
    }

    /// An attempt ends, or is given up; whichever comes first.
    fn ends(&mut self, side: Side, id: &RequestId, attempt: u32, outcome: Outcome, verdict: Verdict) {
        let Some(one) = self.attempts.get_mut(&(side, id.clone())).and_then(|a| a.get_mut(attempt as usize))
        else {
            return;
        };
        if std::mem::replace(&mut one.ended, true) {
            if self.flaw == Flaw::EveryYes && side == Side::Service && outcome == Outcome::Ok {
                self.check_event(id.parse().expect("a number"), CheckEvent::Answered(verdict));
            }
            return;
        }
        let (server, sent_at) = (one.server, one.sent_at);
        let number: usize = id.parse().expect("a number");
        let outcome = match outcome {
            Outcome::Reset | Outcome::Error if self.flaw == Flaw::ResetsNeverRan => Outcome::ConnectFailed,
            outcome => outcome,
        };
        if outcome == Outcome::Ok {
            match side {
                Side::Service => {
                    self.orders[number].said_no |= verdict == Verdict::Denied;
                    self.check_event(number, CheckEvent::Answered(verdict));
                }
                Side::Application => self.answer_once(number),
            }
        }
        let closed = outcome == Outcome::Ok || self.orders[number].answers > 0;
        self.feed(
            side,
            Event::AttemptEnded(AttemptResult {
                request: id.clone(),
                attempt,
                server,
                outcome,
                elapsed: self.now - sent_at,
                is_final: closed,
                metered_percent: None,
                load: Load::default(),
            }),
        );
    }

    fn check_event(&mut self, number: usize, event: CheckEvent) {
        let now = self.now;
        let order = &mut self.orders[number];
        let mut action = order.check.handle(now, event);
        if self.flaw == Flaw::EveryYes && event == CheckEvent::Answered(Verdict::Allowed) {
            action = CheckAction::Forward { checked: true };
        }
        match action {
            CheckAction::Forward { checked } => {
                order.went_on += 1;
                if !checked || order.said_no || order.answers > 0 || order.left || now >= order.deadline {
                    self.broken.push(format!("order {number} goes on though it must not"));
                }
                if self.orders[number].went_on > 1 {
                    self.broken.push(format!("order {number} goes on twice"));
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
                self.check_ends(number);
            }
            CheckAction::Ignore => {}
        }
    }

    fn answer(&mut self, number: usize) {
        let order = &mut self.orders[number];
        if !order.left {
            order.answers += 1;
        }
        if self.now > order.deadline + 0.001 {
            self.broken.push(format!("order {number} is answered late"));
        }
    }

    /// An answer of the application's side: where the last guard has answered, there is nobody to hear it.
    fn answer_once(&mut self, number: usize) {
        if self.orders[number].answers == 0 && self.now < self.orders[number].deadline {
            self.answer(number);
        }
    }
}

#[test]
fn in_ten_thousand_runs_no_order_runs_twice_goes_on_after_a_no_or_lacks_its_one_answer() {
    let (mut orders, mut ran) = (0, 0);
    for seed in 0..10_000 {
        let play = Play::new(seed, Flaw::None).run();
        assert!(play.broken.is_empty(), "seed {seed}: {:?}", play.broken);
        orders += play.orders.len();
        ran += play.orders.iter().filter(|order| order.runs == 1).count();
    }
    // The play is not an empty one.
    assert!(orders >= 10_000 && ran >= 1_000, "{ran} of {orders} orders ran");
}

#[test]
fn mistakes_put_into_the_play_are_found() {
    for flaw in [Flaw::EveryYes, Flaw::ResetsNeverRan] {
        let found = (0..2_000).any(|seed| !Play::new(seed, flaw).run().broken.is_empty());
        assert!(found);
    }
}

#[test]
fn a_check_that_outlives_its_order_lets_nothing_on() {
    for seed in 0..2_000 {
        let broken = Play::new(seed, Flaw::CheckOutlives).run().broken;
        assert!(broken.is_empty(), "seed {seed}: {broken:?}");
    }
}
