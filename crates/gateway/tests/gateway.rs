//! Behaviour of a gateway on hand-written and random sequences of events.

use ivygate_gateway::*;
use ivygate_time::Timestamp;
use std::sync::Arc;

fn settings() -> Settings {
    Settings {
        gateways: 2,
        rank: 0,
        zone: "east".into(),
        classes: vec![
            class("read", Effect::Safe),
            class("edit", Effect::Keyed(KeyScope::Cell)),
            class("pay", Effect::Unsafe),
        ],
        plans: vec![Plan { rate: 5.0, burst: 10.0, ..Plan::unlimited("basic") }],
        max_attempts: 3,
        allow_hedging: false,
        allow_health_checks: false,
        allow_trial_requests: false,
        retry_budget: RetryBudget::DEFAULT,
        allow_cancellation: true,
        subscribe_to_list: false,
        max_retry_after: Some(1000.0),
        meter_period: Some(1000.0),
        cross_zone_cost: 0.01,
        slow_start_capacity: 0.2,
        slow_start_duration: 15_000.0,
        overload_factor: 2.0,
        overload_window: 1000.0,
    }
}

fn class(name: &str, effect: Effect) -> RequestClass {
    RequestClass {
        name: name.into(),
        latency_target: 1000.0,
        deadline: 3000.0,
        value: 1.0,
        late_value: 0.0,
        effect,
        initial_work: None,
        key_window: 3000.0,
    }
}

fn server_entry(server: ServerId, cell: u32, state: ServerState) -> ServerEntry {
    ServerEntry {
        server,
        zone: "east".into(),
        cell,
        state,
        weight: 1.0,
        started_at: None,
        distance_cost: 0.0,
        slow_start: None,
    }
}

struct Harness {
    gateway: Gateway,
    actions: Vec<Action>,
    requests: u32,
}

impl Harness {
    fn new(settings: Settings, entries: Vec<ServerEntry>) -> Self {
        let gateway = Gateway::new(settings, 7).expect("valid settings");
        let mut harness = Harness { gateway, actions: Vec::new(), requests: 0 };
        harness.list(0.0, ListKind::Full, entries);
        harness
    }

    fn list(&mut self, now: f64, kind: ListKind, entries: Vec<ServerEntry>) {
        self.handle(now, Event::List { kind, servers: entries.into() });
    }

    fn handle(&mut self, now: f64, event: Event) -> Vec<Action> {
        self.actions.clear();
        self.gateway.handle(Timestamp::from_millis(now), event, &mut self.actions);
        self.actions.clone()
    }

    fn arrive(&mut self, now: f64, class: &str, customer: &str) -> (RequestId, Vec<Action>) {
        self.requests += 1;
        let request: RequestId = format!("r{}", self.requests).into();
        let arrival = Arrival {
            request: request.clone(),
            class: class.into(),
            plan: "basic".into(),
            customer: customer.into(),
            deadline: Timestamp::from_millis(now + 3000.0),
            units: 1.0,
            gateways: 2,
            zones: None,
            max_attempts: None,
        };
        (request, self.handle(now, Event::Arrival(arrival)))
    }

    fn end_attempt(&mut self, now: f64, request: &RequestId, attempt: u32, outcome: Outcome) -> Vec<Action> {
        let result = AttemptResult {
            request: Arc::clone(request),
            attempt,
            server: 1,
            outcome,
            elapsed: 50.0,
            is_final: outcome == Outcome::Ok,
            metered_percent: None,
            load: Load::default(),
        };
        self.handle(now, Event::AttemptEnded(result))
    }
}

fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject { .. }))
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut harness = Harness::new(settings(), vec![server_entry(1, 0, ServerState::Ready)]);
    assert_eq!(sent_to(&harness.arrive(1.0, "read", "a").1), Some(1));
    harness.list(2.0, ListKind::Changes, vec![server_entry(1, 0, ServerState::Draining)]);
    assert!(is_rejected(&harness.arrive(3.0, "read", "a").1));
}

#[test]
fn an_unsafe_request_that_may_have_run_fails_and_is_not_sent_again() {
    let both = vec![server_entry(1, 0, ServerState::Ready), server_entry(2, 0, ServerState::Ready)];
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = Harness::new(settings(), both.clone());
        let (request, _) = harness.arrive(1.0, "pay", "a");
        assert_eq!(harness.end_attempt(50.0, &request, 0, outcome), vec![Action::Fail { request }]);
    }
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NeverSent] {
        let mut harness = Harness::new(settings(), both.clone());
        let (request, _) = harness.arrive(1.0, "pay", "a");
        assert!(sent_to(&harness.end_attempt(50.0, &request, 0, outcome)).is_some());
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell() {
    for seed in 0..20 {
        let entries = (1..=6).map(|id| server_entry(id, id % 3, ServerState::Ready)).collect();
        let mut harness = Harness::new(settings(), entries);
        for _ in 0..seed {
            harness.arrive(0.0, "read", "b");
        }
        let (request, actions) = harness.arrive(1.0, "edit", "a");
        let first = sent_to(&actions).expect("a server has capacity");
        let again = harness.end_attempt(50.0, &request, 0, Outcome::Error);
        assert_eq!(sent_to(&again).expect("its cell has another server") % 3, first % 3);
    }
}

#[test]
fn a_burst_at_one_gateway_is_stopped_before_a_meter_reading() {
    let mut harness =
        Harness::new(settings(), (1..=9).map(|id| server_entry(id, 0, ServerState::Ready)).collect());
    let mut sent = 0;
    for i in 0..100 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = harness.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            sent += 1;
            harness.end_attempt(now + 5.0, &request, 0, Outcome::Ok);
        }
    }
    // At most burst and rate, at least the gateway's equal share of them.
    assert!((7..=15).contains(&sent), "burst 10 and 5 per second for one second, {sent} sent");
}

#[test]
fn errors_name_the_invalid_setting() {
    let mut none = settings();
    none.classes.clear();
    assert!(Gateway::new(none, 1).err().is_some_and(|e| e.to_string().contains("classes")));
    let mut negative = settings();
    negative.plans[0].rate = -1.0;
    assert!(Gateway::new(negative, 1).err().is_some_and(|e| e.to_string().contains("basic")));
    let mut outside = settings();
    outside.rank = 2;
    assert!(Gateway::new(outside, 1).err().is_some_and(|e| e.to_string().contains("rank")));
}

/// Ends an attempt with a meter reading.
fn metered(harness: &mut Harness, now: f64, request: &RequestId, percent: f64) {
    let result = AttemptResult {
        request: Arc::clone(request),
        attempt: 0,
        server: 1,
        outcome: Outcome::Ok,
        elapsed: 5.0,
        is_final: true,
        metered_percent: Some(percent),
        load: Load::default(),
    };
    harness.handle(now, Event::AttemptEnded(result));
}

/// Sends a request every `step` ms for `length` ms, answers each after 5 ms with a meter reading, and returns how many
/// were accepted.
fn send_metered(harness: &mut Harness, start: f64, length: f64, step: f64, percent: f64) -> u32 {
    let mut sent = 0;
    let mut now = start;
    while now < start + length {
        let (request, actions) = harness.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            sent += 1;
            metered(harness, now + 5.0, &request, percent);
        }
        now += step;
    }
    sent
}

fn servers(count: u32) -> Vec<ServerEntry> {
    (1..=count).map(|id| server_entry(id, 0, ServerState::Ready)).collect()
}

#[test]
fn meter_readings_above_quota_cut_requests_until_usage_falls() {
    // The requests stay within this gateway's share; only the meter shows that other gateways send as well.
    let mut harness = Harness::new(settings(), servers(9));
    send_metered(&mut harness, 0.0, 8_000.0, 250.0, 400.0);
    let cut = send_metered(&mut harness, 8_000.0, 4_000.0, 250.0, 400.0);
    assert!(cut <= 6, "about a quarter of 16 requests should pass at four times the quota, {cut} did");
    send_metered(&mut harness, 12_000.0, 30_000.0, 250.0, 40.0);
    let recovered = send_metered(&mut harness, 42_000.0, 4_000.0, 250.0, 80.0);
    assert_eq!(recovered, 16, "all requests should pass again below the quota");
}

#[test]
fn meter_readings_expire() {
    let mut harness = Harness::new(settings(), servers(9));
    send_metered(&mut harness, 0.0, 10_000.0, 250.0, 400.0);
    // No readings arrive any more; the last one must expire.
    let mut sent = 0;
    for i in 0..16 {
        let now = 30_000.0 + f64::from(i) * 1_000.0;
        let (request, actions) = harness.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            sent += 1;
            harness.end_attempt(now + 5.0, &request, 0, Outcome::Ok);
        }
    }
    assert!(sent >= 14, "{sent} of 16 sent");
}

fn with_rate_limit() -> Settings {
    let mut settings = settings();
    settings.plans[0].rate = 50.0;
    settings.plans[0].burst = 100.0;
    settings.plans[0].limit_rate = 4.0;
    settings.plans[0].limit_burst = 12.0;
    settings
}

#[test]
fn a_gateway_keeps_its_share_of_a_rate_limit_from_an_empty_bucket() {
    let mut harness = Harness::new(with_rate_limit(), servers(9));
    let mut sent = 0.0;
    for i in 0..2_000 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = harness.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            sent += 1.0;
            harness.end_attempt(now + 5.0, &request, 0, Outcome::Ok);
        }
        // Two gateways: each has half the rate, and the bucket starts empty after a restart.
        assert!(sent <= 2.0 * now / 1000.0 + 1e-9, "{sent} sent by {now}");
    }
    assert!(sent >= 38.0, "{sent} of 40");
}

#[test]
fn a_clock_that_steps_back_fills_no_bucket() {
    let mut harness = Harness::new(with_rate_limit(), servers(9));
    harness.arrive(3_000.0, "read", "a");
    let mut sent = 0;
    for i in 0..200 {
        let now = if i % 2 == 0 { 0.0 } else { 3_000.0 };
        sent += u32::from(sent_to(&harness.arrive(now, "read", "b").1).is_some());
    }
    assert!(sent <= 6, "at most half of the burst of 12 may pass, {sent} sent");
}

#[test]
fn a_starting_server_gets_at_most_this_gateways_share() {
    let mut starting = server_entry(1, 0, ServerState::Ready);
    starting.started_at = Some(Timestamp::from_millis(0.0));
    let mut settings = settings();
    settings.plans[0].rate = 1_000.0;
    settings.plans[0].burst = 1_000.0;
    let mut harness = Harness::new(settings, vec![starting]);
    let mut work = 0.0;
    for i in 0..100 {
        let now = f64::from(i) * 10.0;
        let (request, actions) = harness.arrive(now, "read", "a");
        if sent_to(&actions).is_some() {
            work += 50.0;
            harness.end_attempt(now + 5.0, &request, 0, Outcome::Ok);
        }
    }
    // The server fails at twice its capacity of 0.2 to 0.26 requests at a time; two gateways share that.
    assert!(work <= 2.0 * 0.26 * 1_000.0 / 2.0, "{work} ms of work sent in a second");
    assert!(work > 0.0, "a server that is warming up must get some work");
}

#[test]
fn a_stale_load_report_does_not_keep_a_gateway_rejecting() {
    let mut settings = settings();
    settings.plans[0].rate = 1_000.0;
    settings.plans[0].burst = 1_000.0;
    let mut harness = Harness::new(settings, servers(1));
    let mut rejected = 0;
    for i in 0..20 {
        let now = f64::from(i) * 60.0;
        let (request, actions) = harness.arrive(now, "read", "a");
        rejected += u32::from(is_rejected(&actions));
        if sent_to(&actions).is_some() {
            let result = AttemptResult {
                request,
                attempt: 0,
                server: 1,
                outcome: Outcome::Ok,
                elapsed: 50.0,
                is_final: true,
                metered_percent: None,
                load: Load { in_flight: Some(60.0), ..Load::default() },
            };
            harness.handle(now + 50.0, Event::AttemptEnded(result));
        }
    }
    assert!(rejected > 0, "the load reports show a long queue");
    assert!(
        sent_to(&harness.arrive(6_000.0, "read", "a").1).is_some(),
        "a stale report must not cause rejections"
    );
}

#[test]
fn reported_utilization_does_not_count_as_a_queue() {
    let mut settings = settings();
    settings.plans[0].rate = 1_000.0;
    settings.plans[0].burst = 1_000.0;
    settings.gateways = 4;
    let target = settings.classes[0].latency_target;
    let mut harness = Harness::new(settings, servers(1));
    for i in 0..40 {
        let now = f64::from(i) * target / 7.0;
        let (request, actions) = harness.arrive(now, "read", "a");
        assert!(sent_to(&actions).is_some(), "request {i} was rejected because of reported utilization");
        let result = AttemptResult {
            request,
            attempt: 0,
            server: 1,
            outcome: Outcome::Ok,
            elapsed: target / 8.0,
            is_final: true,
            metered_percent: None,
            // The work of a request is learned before the server reports its utilization.
            load: Load { utilization: (i >= 20).then_some(1.0), ..Load::default() },
        };
        harness.handle(now + target / 8.0, Event::AttemptEnded(result));
    }
}

#[test]
fn queueing_observed_in_responses_cuts_load() {
    // Neither load reports nor own attempts show the queue, only the response times do.
    let mut settings = settings();
    settings.plans[0].rate = 1_000.0;
    settings.plans[0].burst = 1_000.0;
    let mut harness = Harness::new(settings, servers(1));
    let mut slow = |now: f64, elapsed: f64| {
        let (request, actions) = harness.arrive(now, "read", "a");
        sent_to(&actions).map(|_| {
            let mut result = AttemptResult {
                request,
                attempt: 0,
                server: 1,
                outcome: Outcome::Ok,
                elapsed,
                is_final: true,
                metered_percent: None,
                load: Load::default(),
            };
            result.elapsed = elapsed;
            harness.handle(now + 1.0, Event::AttemptEnded(result));
        })
    };
    for i in 0..50 {
        assert!(slow(f64::from(i) * 10.0, 50.0).is_some());
    }
    let sent = (0..50).filter(|i| slow(500.0 + f64::from(*i) * 10.0, 900.0).is_some()).count();
    assert!(sent < 40, "{sent} of 50 sent although queueing takes most of the latency target");
}

#[test]
fn a_customer_with_a_small_share_per_gateway_is_not_starved() {
    let mut settings = settings();
    settings.gateways = 11;
    settings.plans[0].burst = 5.0;
    let mut harness = Harness::new(settings, servers(9));
    let arrival = |n: u32| Arrival {
        request: format!("w{n}").into(),
        class: "read".into(),
        plan: "basic".into(),
        customer: "a".into(),
        deadline: Timestamp::from_millis(f64::from(n) * 1000.0 + 3000.0),
        units: 4.0,
        gateways: 11,
        zones: None,
        max_attempts: None,
    };
    let sent = (0..30)
        .filter(|n| {
            let actions = harness.handle(f64::from(*n) * 1000.0, Event::Arrival(arrival(*n)));
            harness.end_attempt(f64::from(*n) * 1000.0 + 5.0, &format!("w{n}").into(), 0, Outcome::Ok);
            sent_to(&actions).is_some()
        })
        .count();
    assert!(sent >= 4, "a full bucket should always admit a request: {sent} of 30");
}

#[test]
fn a_server_regains_its_load_after_timeouts_during_a_partition() {
    let mut settings = settings();
    (settings.plans[0].rate, settings.plans[0].burst) = (1_000.0, 1_000.0);
    settings.classes[0].initial_work = Some(50.0);
    let mut harness = Harness::new(settings, servers(2));
    let mut sent_to_server_2 = |from: u32, until: u32, is_partitioned: bool| {
        let mut count = 0;
        for now in (from..until).step_by(20).map(f64::from) {
            let (request, mut actions) = harness.arrive(now, "read", "a");
            for attempt in 0.. {
                let Some(server) = sent_to(&actions) else { break };
                count += u32::from(server == 2);
                let is_timeout = is_partitioned && server == 2;
                let (outcome, elapsed) =
                    if is_timeout { (Outcome::Timeout, 600.0) } else { (Outcome::Ok, 50.0) };
                let result = AttemptResult {
                    request: Arc::clone(&request),
                    attempt,
                    server,
                    outcome,
                    elapsed,
                    is_final: !is_timeout,
                    metered_percent: None,
                    load: Load::default(),
                };
                actions = harness.handle(now + 10.0, Event::AttemptEnded(result));
            }
        }
        count
    };
    let before = sent_to_server_2(0, 2_000, false);
    assert!(before > 15, "{before} of 100 before the fault");
    sent_to_server_2(2_000, 8_000, true);
    sent_to_server_2(8_000, 18_000, false);
    let again = sent_to_server_2(18_000, 20_000, false);
    assert!(again > 15, "{again} of 100, 10 s after the fault");
}

#[test]
fn unknown_names_and_ids_are_rejected_or_ignored() {
    let mut harness = Harness::new(settings(), servers(2));
    let mut arrival = Arrival {
        request: "x".into(),
        class: "other".into(),
        plan: "basic".into(),
        customer: "a".into(),
        deadline: Timestamp::from_millis(3_000.0),
        units: 1.0,
        gateways: 2,
        zones: None,
        max_attempts: None,
    };
    assert!(is_rejected(&harness.handle(1.0, Event::Arrival(arrival.clone()))));
    arrival.class = "read".into();
    arrival.plan = "other".into();
    assert!(is_rejected(&harness.handle(1.0, Event::Arrival(arrival))));
    assert!(harness.end_attempt(2.0, &"nobody".into(), 0, Outcome::Ok).is_empty());
    assert!(harness.handle(2.0, Event::ClientGone { request: "nobody".into() }).is_empty());
    assert!(harness.handle(2.0, Event::Timer { token: 99 }).is_empty());
    let (request, _) = harness.arrive(3.0, "read", "a");
    assert!(harness.end_attempt(4.0, &request, 5, Outcome::Timeout).is_empty());
}

#[test]
fn requests_are_rejected_without_servers() {
    let mut harness = Harness::new(settings(), Vec::new());
    for class in ["read", "edit", "pay"] {
        assert!(is_rejected(&harness.arrive(1.0, class, "a").1));
    }
}

/// An attempt of a random request.
struct SentAttempt {
    server: ServerId,
    abandoned_at: f64,
    outcome: Option<Outcome>,
}

impl SentAttempt {
    fn never_ran(&self) -> bool {
        self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// A request of a random event sequence.
struct RandomRequest {
    class: &'static str,
    is_answered: bool,
    attempts: Vec<SentAttempt>,
    deadline: f64,
}

/// Each request gets exactly one final answer, effects are not repeated, and equal events lead to equal actions.
#[test]
fn invariants_hold_on_random_event_sequences() {
    for seed in 0..30 {
        assert_eq!(run_random_events(seed), run_random_events(seed), "seed {seed}");
    }
}

fn run_random_events(seed: u64) -> Vec<Action> {
    use std::collections::BTreeMap;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings();
    settings.allow_hedging = rng.bool();
    settings.plans[0].rate = 500.0;
    settings.plans[0].burst = 500.0;
    let hedging = settings.allow_hedging;
    let mut states = [ServerState::Ready; 6];
    let mut harness = Harness::new(
        settings,
        (0..6).map(|id| server_entry(id, id % 2, ServerState::Ready)).collect::<Vec<_>>(),
    );
    let mut requests: BTreeMap<RequestId, RandomRequest> = BTreeMap::new();
    let (mut log, mut now, mut tick_at) = (Vec::new(), 0.0, 20.0);
    for step in 0..1_500 {
        now += rng.f64() * 8.0;
        let mut actions = Vec::new();
        if now >= tick_at {
            tick_at = now + 20.0;
            actions = harness.handle(now, Event::Timer { token: 0 });
        } else if step < 1_000 && rng.u8(..4) == 0 {
            let class = ["read", "edit", "pay"][rng.usize(..3)];
            let (id, arrival_actions) = harness.arrive(now, class, "a");
            let deadline = now + 3_000.0;
            requests.insert(id, RandomRequest { class, is_answered: false, attempts: Vec::new(), deadline });
            actions = arrival_actions;
        } else if rng.u8(..40) == 0 {
            let id = rng.u32(..6);
            states[id as usize] = if rng.bool() { ServerState::Ready } else { ServerState::Draining };
            harness.list(now, ListKind::Changes, vec![server_entry(id, id % 2, states[id as usize])]);
        } else {
            let in_flight: Vec<_> = requests
                .iter()
                .flat_map(|(id, request)| {
                    request.attempts.iter().enumerate().map(move |(n, attempt)| (id, n, attempt))
                })
                .filter(|(_, _, attempt)| attempt.outcome.is_none())
                .map(|(id, n, attempt)| (id.clone(), n, attempt.abandoned_at))
                .collect();
            if let Some((id, number, abandoned_at)) =
                in_flight.get(rng.usize(..in_flight.len().max(1))).cloned()
            {
                let outcomes =
                    [Outcome::Ok, Outcome::Error, Outcome::Rejected, Outcome::ConnectFailed, Outcome::Reset];
                let outcome = if now >= abandoned_at { Outcome::Timeout } else { outcomes[rng.usize(..5)] };
                let request = requests.get_mut(&id).expect("known request");
                request.attempts[number].outcome = Some(outcome);
                request.is_answered |= outcome == Outcome::Ok;
                let is_final = request.is_answered;
                let result = AttemptResult {
                    request: id,
                    attempt: number as u32,
                    server: 0,
                    outcome,
                    elapsed: 50.0,
                    is_final,
                    metered_percent: Some(80.0),
                    load: Load::default(),
                };
                actions = harness.handle(now, Event::AttemptEnded(result));
            }
        }
        for action in &actions {
            match action {
                Action::Send { request, server, give_up_at } => {
                    let request = requests.get_mut(request).expect("known request");
                    assert!(!request.is_answered, "sent after the final answer");
                    assert_eq!(states[*server as usize], ServerState::Ready, "sent to a draining server");
                    assert!(give_up_at.as_millis() <= request.deadline, "attempt ends after the deadline");
                    let ran: Vec<_> =
                        request.attempts.iter().filter(|attempt| !attempt.never_ran()).collect();
                    assert!(request.class != "pay" || ran.is_empty(), "an unsafe request was repeated");
                    if request.class == "edit" {
                        assert!(
                            ran.iter().all(|attempt| attempt.server % 2 == server % 2),
                            "a keyed request was repeated outside its cell"
                        );
                    }
                    assert!(
                        hedging || request.attempts.iter().all(|attempt| attempt.outcome.is_some()),
                        "two attempts in flight without hedging"
                    );
                    request.attempts.push(SentAttempt {
                        server: *server,
                        abandoned_at: give_up_at.as_millis(),
                        outcome: None,
                    });
                }
                Action::Reject { request, .. } => {
                    let request = requests.get_mut(request).expect("known request");
                    assert!(!request.is_answered, "two final answers");
                    let may_reject =
                        request.class == "read" || request.attempts.iter().all(SentAttempt::never_ran);
                    assert!(may_reject, "a request that may have run must not be rejected");
                    request.is_answered = true;
                }
                Action::Fail { request } => {
                    let request = requests.get_mut(request).expect("known request");
                    assert!(!std::mem::replace(&mut request.is_answered, true), "two final answers");
                }
                _ => {}
            }
        }
        log.extend(actions);
    }
    // Each request without an attempt in flight has its final answer.
    for (id, request) in &requests {
        let is_in_flight = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
        assert!(request.is_answered || is_in_flight, "{id} has no final answer");
    }
    log
}

#[test]
fn ejected_servers_are_no_last_resort_while_others_are_warming_up() {
    let mut starting = server_entry(2, 0, ServerState::Ready);
    starting.started_at = Some(Timestamp::from_millis(0.0));
    let mut harness = Harness::new(settings(), vec![server_entry(1, 0, ServerState::Ready)]);
    let (request, _) = harness.arrive(1.0, "read", "a");
    harness.end_attempt(200.0, &request, 0, Outcome::ConnectFailed);
    harness.list(200.0, ListKind::Changes, vec![starting]);
    for i in 0..30 {
        let (_, actions) = harness.arrive(201.0 + f64::from(i), "read", &format!("c{i}"));
        assert_ne!(sent_to(&actions), Some(1), "server 1 is ejected");
    }
}

#[test]
fn keyed_requests_are_retried_within_scope_and_window_only() {
    // Server 2 shares zone and cell with server 1, server 3 the zone alone, server 4 neither.
    let place = |id: ServerId| {
        let mut entry = server_entry(id, u32::from(id > 2), ServerState::Ready);
        entry.zone = if id == 4 { "west".into() } else { "east".into() };
        entry
    };
    for (scope, reach) in [(KeyScope::All, 4), (KeyScope::Zone, 3), (KeyScope::Cell, 2)] {
        for other in 2..=4 {
            for (late, outcome) in
                [(false, Outcome::Error), (true, Outcome::Error), (true, Outcome::Rejected)]
            {
                let mut settings = settings();
                settings.classes[1].effect = Effect::Keyed(scope);
                settings.classes[1].key_window = 400.0;
                let mut harness = Harness::new(settings, vec![place(1)]);
                let (request, actions) = harness.arrive(0.0, "edit", "a");
                assert_eq!(sent_to(&actions), Some(1));
                // Only the other server remains.
                harness.list(1.0, ListKind::Full, vec![place(other)]);
                let answer = harness.end_attempt(if late { 450.0 } else { 50.0 }, &request, 0, outcome);
                let never_ran = outcome.never_ran();
                if never_ran || (!late && other <= reach) {
                    assert_eq!(sent_to(&answer), Some(other), "{scope:?} {other} {late} {outcome:?}");
                } else if scope == KeyScope::All {
                    assert!(is_rejected(&answer), "{scope:?} {other} {late}");
                } else {
                    assert_eq!(answer, vec![Action::Fail { request }], "{scope:?} {other} {late}");
                }
            }
        }
    }
}

#[test]
fn customers_seen_once_leave_no_record() {
    let mut harness = Harness::new(settings(), servers(9));
    for i in 0..2_000 {
        let now = f64::from(i) * 4.0;
        let (request, _) = harness.arrive(now, "read", &format!("once{i}"));
        harness.end_attempt(now + 2.0, &request, 0, Outcome::Ok);
    }
    // A rejection makes the gateway log the number of its customer records.
    harness.list(8_000.0, ListKind::Full, Vec::new());
    assert!(is_rejected(&harness.arrive(8_001.0, "read", "last").1));
    let actions = harness.handle(8_020.0, Event::Timer { token: 0 });
    let line = actions.iter().find_map(|a| match a {
        Action::Log { text } => Some(text.clone()),
        _ => None,
    });
    assert!(line.is_some_and(|l| l.contains(" 0 customers on record")), "{actions:?}");
}

/// An arrival with the given units and number of gateways, which `Harness::arrive` fixes.
fn arrival(request: &str, customer: &str, now: f64, units: f64, gateways: u32) -> Arrival {
    Arrival {
        request: request.into(),
        class: "read".into(),
        plan: "basic".into(),
        customer: customer.into(),
        deadline: Timestamp::from_millis(now + 3_000.0),
        units,
        gateways,
        zones: None,
        max_attempts: None,
    }
}

#[test]
fn a_late_reading_does_not_give_a_gateway_the_whole_rate_limit() {
    // The customer's record is removed while an attempt is in flight; its response then brings a reading above 100 %.
    let mut settings = with_rate_limit();
    settings.gateways = 6;
    let mut harness = Harness::new(settings, servers(9));
    harness.handle(10_000.0, Event::Arrival(arrival("late", "a", 10_000.0, 1.0, 6)));
    for i in 1..5_000 {
        harness.handle(10_000.0 + f64::from(i) * 20.0, Event::Timer { token: 0 });
    }
    metered(&mut harness, 110_000.0, &"late".into(), 300.0);
    let sent = (0..100)
        .filter(|n| {
            let now = 110_001.0 + f64::from(*n);
            let actions = harness.handle(now, Event::Arrival(arrival(&format!("b{n}"), "a", now, 1.0, 6)));
            sent_to(&actions).is_some()
        })
        .count();
    assert!(sent <= 2, "at most a sixth of the burst of 12 may pass, {sent} sent");
}

/// Returns the most work that many gateways send to a starting server within one second. All learn of the server at the
/// same time, and traffic starts `idle_ms` later.
fn peak_slow_start_work(gateways: u32, idle_ms: f64) -> f64 {
    let mut settings = settings();
    settings.gateways = gateways;
    settings.plans[0].rate = 1_000_000.0;
    settings.plans[0].burst = 1_000_000.0;
    let mut starting = server_entry(1, 0, ServerState::Ready);
    starting.started_at = Some(Timestamp::from_millis(0.0));
    let mut sends: Vec<f64> = Vec::new();
    for rank in 0..gateways {
        let mut own = settings.clone();
        own.rank = rank;
        let mut gateway = Gateway::new(own, u64::from(rank)).expect("valid settings");
        let mut actions = Vec::new();
        let entries: Arc<[ServerEntry]> = vec![starting.clone()].into();
        gateway.handle(
            Timestamp::from_millis(0.0),
            Event::List { kind: ListKind::Full, servers: entries },
            &mut actions,
        );
        // Each gateway has a request every 50 ms.
        let mut now = idle_ms;
        while now < idle_ms + 4_000.0 {
            actions.clear();
            let request = format!("g{now}");
            gateway.handle(
                Timestamp::from_millis(now),
                Event::Arrival(arrival(&request, "a", now, 1.0, 1)),
                &mut actions,
            );
            if sent_to(&actions).is_some() {
                sends.push(now);
                let result = AttemptResult {
                    request: request.as_str().into(),
                    attempt: 0,
                    server: 1,
                    outcome: Outcome::Ok,
                    elapsed: 100.0,
                    is_final: true,
                    metered_percent: None,
                    load: Load::default(),
                };
                gateway.handle(Timestamp::from_millis(now), Event::AttemptEnded(result), &mut actions);
            }
            now += 50.0;
        }
    }
    sends.sort_by(f64::total_cmp);
    let most =
        sends.iter().map(|from| sends.iter().filter(|t| (0.0..=1_000.0).contains(&(*t - from))).count());
    most.max().unwrap_or(0) as f64 * 100.0
}

#[test]
fn many_gateways_together_do_not_overload_a_starting_server() {
    for gateways in [1, 3, 20, 200] {
        for idle_ms in [0.0, 3_000.0, 9_000.0] {
            // The server fails at twice its capacity at the end of the window; a quarter more allows for randomness.
            let capacity = 0.2 + 0.8 * f64::min((idle_ms + 4_000.0) / 15_000.0, 1.0);
            let work = peak_slow_start_work(gateways, idle_ms);
            assert!(work <= 2.5 * capacity * 1_000.0, "{gateways} gateways after {idle_ms}: {work} ms");
            assert!(work >= 200.0, "{gateways} gateways after {idle_ms}: {work} ms is too little");
        }
    }
}

#[test]
fn an_unreachable_zone_is_avoided() {
    // 30 servers in each zone: judged one by one, each server of the west zone would have to fail once.
    let mut settings = settings();
    settings.plans[0].rate = 1_000_000.0;
    settings.plans[0].burst = 1_000_000.0;
    settings.cross_zone_cost = 0.0;
    let place = |id: ServerId| ServerEntry {
        zone: if id > 30 { "west".into() } else { "east".into() },
        ..server_entry(id, 0, ServerState::Ready)
    };
    let mut harness = Harness::new(settings, (1..=60).map(place).collect());
    let mut failed = 0;
    for i in 0..60 {
        let now = f64::from(i) * 30.0;
        let (request, mut actions) = harness.arrive(now, "read", &format!("c{i}"));
        let mut attempt = 0;
        while let Some(server) = sent_to(&actions) {
            let is_unreachable = server > 30;
            failed += u32::from(is_unreachable);
            let outcome = if is_unreachable { Outcome::ConnectFailed } else { Outcome::Ok };
            let result = AttemptResult {
                request: request.clone(),
                attempt,
                server,
                outcome,
                elapsed: 100.0,
                is_final: !is_unreachable,
                metered_percent: None,
                load: Load::default(),
            };
            actions = harness.handle(now + 5.0, Event::AttemptEnded(result));
            attempt += 1;
        }
    }
    assert!(failed <= 15, "{failed} attempts to the unreachable zone");
    assert!(failed > 0, "both zones should be used before the first failures");
}

#[test]
fn one_long_first_response_does_not_cause_rejections() {
    let mut settings = settings();
    settings.gateways = 100;
    let mut harness = Harness::new(settings, servers(30));
    let (request, _) = harness.arrive(0.0, "read", "a");
    let result = AttemptResult {
        request,
        attempt: 0,
        server: 1,
        outcome: Outcome::Ok,
        elapsed: 900.0,
        is_final: true,
        metered_percent: None,
        load: Load::default(),
    };
    harness.handle(900.0, Event::AttemptEnded(result));
    assert!(sent_to(&harness.arrive(1_000.0, "read", "b").1).is_some());
}

#[test]
fn one_attempt_in_flight_is_not_extrapolated_to_all_gateways() {
    let mut settings = settings();
    settings.gateways = 300;
    let mut harness = Harness::new(settings, servers(20));
    for i in 0..8 {
        let (_, actions) = harness.arrive(f64::from(i), "read", &format!("c{i}"));
        // The attempts arrive within a few milliseconds; the typical number in flight is far lower.
        assert!(i > 3 || sent_to(&actions).is_some(), "request {i}");
    }
}

#[test]
fn a_rejected_client_may_retry_within_its_latency_target() {
    let mut harness = Harness::new(settings(), servers(9));
    let retry_after = (0..100).find_map(|i| {
        let (_, actions) = harness.arrive(f64::from(i), "read", "a");
        actions.iter().find_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        })
    });
    assert!(retry_after.is_some_and(|after| after > 0.0 && after < 1_000.0), "{retry_after:?}");
}

#[test]
fn a_reading_lasts_until_the_next_request_of_one_of_many_gateways() {
    // 20 gateways share 5 requests per second: this one gets a request every 4 s, and a reading must outlive that.
    let mut settings = settings();
    settings.gateways = 20;
    let mut harness = Harness::new(settings, servers(9));
    let sent = (0..12)
        .filter(|i| {
            let now = f64::from(*i) * 10_000.0;
            let id = format!("w{i}");
            let actions = harness.handle(now, Event::Arrival(arrival(&id, "a", now, 1.0, 20)));
            metered(&mut harness, now + 50.0, &id.as_str().into(), 400.0);
            sent_to(&actions).is_some()
        })
        .count();
    assert!(sent <= 8, "{sent} of 12 sent at four times the quota");
}

#[test]
fn many_gateways_together_keep_a_rate_limit() {
    // Traffic is spread evenly, or mostly over three gateways; some gateways restart half way.
    for uneven in [false, true] {
        let mut settings = with_rate_limit();
        settings.gateways = 12;
        let fresh = |rank: u32, seed: u64, now: f64| {
            let mut harness = Harness::new(Settings { rank, ..settings.clone() }, servers(9));
            harness.gateway =
                Gateway::new(Settings { rank, ..settings.clone() }, seed).expect("valid settings");
            harness.list(now, ListKind::Full, servers(9));
            harness
        };
        let mut harnesses: Vec<Harness> = (0..12).map(|rank| fresh(rank, u64::from(rank), 0.0)).collect();
        let mut rng = fastrand::Rng::with_seed(5);
        // The token bucket over all gateways: burst 12, 4 per second.
        let (mut bucket, mut sent): (f64, u32) = (12.0, 0);
        for i in 0..8_000 {
            let now = f64::from(i) * 5.0;
            bucket = (bucket + 0.02).min(12.0);
            let rank = if uneven && rng.u8(..4) > 0 { rng.usize(..3) } else { rng.usize(..12) };
            let harness = &mut harnesses[rank];
            if i % 4_000 < 4 {
                *harness = fresh(rank as u32, u64::from(i as u32), now);
            }
            let id = format!("n{i}");
            let actions = harness.handle(now, Event::Arrival(arrival(&id, "a", now, 1.0, 12)));
            if sent_to(&actions).is_some() {
                harness.end_attempt(now + 1.0, &id.as_str().into(), 0, Outcome::Ok);
                (bucket, sent) = (bucket - 1.0, sent + 1);
            }
            assert!(bucket >= -1e-6, "the rate limit was exceeded at {now}: {bucket}");
        }
        assert!(sent >= 120, "{sent} sent, the rate limit allows 172");
    }
}

/// Fires timers, rounded down to microseconds as callers do, until `end`. Returns their number and the time of the first
/// attempt that was sent.
fn run_timers(harness: &mut Harness, mut actions: Vec<Action>, end: f64) -> (usize, Option<f64>) {
    let (mut due, mut count, mut sent) = (Vec::new(), 0, None);
    let mut now = 0.0;
    loop {
        if sent.is_none() && sent_to(&actions).is_some() {
            sent = Some(now);
        }
        due.extend(actions.iter().filter_map(|a| match a {
            Action::Timer { token, at } => Some(((at.as_millis() * 1000.0) as u64, *token)),
            _ => None,
        }));
        due.sort_unstable();
        if due.is_empty() || due[0].0 as f64 / 1000.0 > end {
            return (count, sent);
        }
        let (at, token) = due.remove(0);
        now = at as f64 / 1000.0;
        actions = harness.handle(now, Event::Timer { token });
        count += 1;
    }
}

#[test]
fn ticks_are_scheduled_only_when_work_is_due_and_none_is_lost() {
    let started_at = 1_764_374_400_123.457_3;
    let settings = Settings { allow_hedging: true, ..settings() };
    let gateway = Gateway::new(settings, 7).expect("valid settings");
    let mut harness = Harness { gateway, actions: Vec::new(), requests: 0 };
    let start = Event::List { kind: ListKind::Full, servers: servers(2).into() };
    let mut actions = harness.handle(started_at, start);
    // One request ends before its hedged attempt is due, another one stays in flight.
    let (ended, more) = harness.arrive(started_at + 1.0, "read", "a");
    actions.extend(more);
    let first = sent_to(&actions).expect("it is sent");
    actions.extend(harness.end_attempt(started_at + 50.0, &ended, 0, Outcome::Ok));
    let (_, more) = harness.arrive(started_at + 60.0, "read", "a");
    assert!(sent_to(&more).is_some());
    actions.extend(more);
    actions.retain(|a| matches!(a, Action::Timer { .. }));
    let (ticks, second) = run_timers(&mut harness, actions, started_at + 10_000.0);
    let second =
        second.unwrap_or_else(|| panic!("no hedged attempt after the one to server {first}")) - started_at;
    assert!((600.0..1_000.0).contains(&second), "{second}");
    assert!(ticks <= 16, "{ticks} ticks in 10 s");
}

/// A gateway after `count` sequential responses that each took twice the latency target.
fn gateway_after_slow_responses(settings: Settings, count: u32) -> Harness {
    let mut harness = Harness::new(settings, vec![server_entry(1, 0, ServerState::Ready)]);
    for n in 0..count {
        let at = 10_000.0 * f64::from(n + 1);
        let (request, actions) = harness.arrive(at, "read", &format!("c{n}"));
        if sent_to(&actions).is_some() {
            let result = AttemptResult {
                request,
                attempt: 0,
                server: 1,
                outcome: Outcome::Ok,
                elapsed: 2000.0,
                is_final: true,
                metered_percent: None,
                load: Load::default(),
            };
            harness.handle(at + 2000.0, Event::AttemptEnded(result));
        }
    }
    harness
}

#[test]
fn a_gateway_with_nothing_in_flight_sends_a_trial_request_if_allowed() {
    // The estimates do not decay: an hour later everything is still rejected.
    let mut without_trial = gateway_after_slow_responses(settings(), 30);
    assert!(is_rejected(&without_trial.arrive(4_000_000.0, "read", "a").1));
    let mut with_trial =
        gateway_after_slow_responses(Settings { allow_trial_requests: true, ..settings() }, 30);
    assert_eq!(sent_to(&with_trial.arrive(4_000_000.0, "read", "a").1), Some(1));
    // Further requests are rejected while the trial is in flight.
    assert!(is_rejected(&with_trial.arrive(4_000_001.0, "read", "b").1));
}

#[test]
fn a_configured_initial_work_applies_from_the_first_request() {
    let accepted = |initial_work| {
        let mut settings = settings();
        settings.classes.iter_mut().for_each(|c| c.initial_work = initial_work);
        let mut harness = Harness::new(settings, vec![server_entry(1, 0, ServerState::Ready)]);
        (0..40).filter(|n| sent_to(&harness.arrive(1.0, "read", &format!("c{n}")).1).is_some()).count()
    };
    // The default estimate is a tenth of the latency target; the configured one is a hundredth.
    assert!(accepted(None) < 8 && accepted(Some(10.0)) > 20, "{} {}", accepted(None), accepted(Some(10.0)));
}

/// Keeps `in_flight` requests of one of many gateways in flight, alternating between long requests of low value and short
/// ones of high value. Returns how many of the last 100 of each kind are sent. Their work is long compared with the shortest
/// latency target, as in card verification.
fn sent_by_value(gateways: u32, count: u32, in_flight: u32) -> [usize; 2] {
    let check = RequestClass {
        latency_target: 600.0,
        value: 3.0,
        initial_work: Some(96.0),
        ..class("check", Effect::Safe)
    };
    let query = RequestClass {
        latency_target: 1500.0,
        value: 1.0,
        initial_work: Some(250.0),
        ..class("query", Effect::Safe)
    };
    let plan = Plan { rate: 0.0, burst: 0.0, ..settings().plans[0].clone() };
    let settings = Settings { gateways, classes: vec![check, query], plans: vec![plan], ..settings() };
    let mut harness = Harness::new(settings, servers(count));
    let mut in_flight_requests = std::collections::VecDeque::new();
    let mut sent = [0; 2];
    for i in 0..400_u32 {
        let now = f64::from(i) * 20.0;
        let is_query = i % 2 == 0;
        let (request, actions) = harness.arrive(now, if is_query { "query" } else { "check" }, "a");
        if sent_to(&actions).is_some() {
            sent[usize::from(!is_query)] += usize::from(i >= 200);
            in_flight_requests.push_back((request, is_query));
        }
        while in_flight_requests.len() > in_flight as usize {
            let (request, was_query) = in_flight_requests.pop_front().expect("a request is in flight");
            let result = AttemptResult {
                request,
                attempt: 0,
                server: 1,
                outcome: Outcome::Ok,
                elapsed: if was_query { 250.0 } else { 96.0 },
                is_final: true,
                metered_percent: None,
                load: Load::default(),
            };
            harness.handle(now + 1.0, Event::AttemptEnded(result));
        }
    }
    sent
}

#[test]
fn one_assumed_request_per_server_does_not_reject_low_value_work() {
    // With 5 own attempts it assumes one request of the two other gateways at each of 10 servers.
    assert_eq!(sent_by_value(3, 10, 5)[0], 100);
}

#[test]
fn a_queue_at_each_server_rejects_low_value_work_first() {
    assert_eq!(sent_by_value(3, 10, 40)[0], 0);
}

#[test]
fn a_merely_assumed_queue_does_not_reject_only_low_value_work() {
    for in_flight in 1..=4 {
        let [low_value, high_value] = sent_by_value(300, 170, in_flight);
        assert!(
            low_value.abs_diff(high_value) <= 25,
            "{in_flight} in flight: {low_value} of low value and {high_value} of high value sent"
        );
    }
}

/// A gateway with servers 1 and 2 in the west zone and 3 and 4 in the east one. `west` is the share of safe requests that may
/// go to the west zone; no other requests may.
fn with_west_share(gateways: u32, west: f64) -> Harness {
    let mut settings = settings();
    settings.gateways = gateways;
    settings.zone = "west".into();
    settings.plans[0].rate = 0.0;
    let zoned =
        |server, zone: &str| ServerEntry { zone: zone.into(), ..server_entry(server, 0, ServerState::Ready) };
    let entries = vec![zoned(1, "west"), zoned(2, "west"), zoned(3, "east"), zoned(4, "east")];
    let mut harness = Harness::new(settings, entries);
    let zones = Arc::new([ZoneShares { zone: "west".into(), safe: west, other: 0.0 }]);
    harness.handle(0.0, Event::ZoneShares { zones });
    harness
}

#[test]
fn requests_follow_zone_shares_while_another_zone_has_servers() {
    let mut harness = with_west_share(2, 0.0);
    for n in 0..20 {
        let now = 10.0 * f64::from(n);
        let (request, actions) = harness.arrive(now, ["read", "edit", "pay"][n as usize % 3], "c");
        assert!(sent_to(&actions) >= Some(3), "{actions:?}");
        harness.end_attempt(now + 5.0, &request, 0, Outcome::Ok);
    }
    let east = |state| vec![server_entry(3, 0, state), server_entry(4, 0, state)];
    harness.list(300.0, ListKind::Changes, east(ServerState::Gone));
    let (_, actions) = harness.arrive(310.0, "read", "c");
    assert!(sent_to(&actions).is_some_and(|server| server < 3), "no other zone has servers: {actions:?}");
    let mut half = with_west_share(2, 0.5);
    let west = (0..200).filter(|n| {
        let now = 10.0 * f64::from(*n);
        let (request, actions) = half.arrive(now, "read", "c");
        let server = sent_to(&actions);
        half.end_attempt(now + 5.0, &request, 0, Outcome::Ok);
        server.is_some_and(|server| server < 3)
    });
    let west = west.count();
    for n in 0..20 {
        let now = 3_000.0 + 10.0 * f64::from(n);
        let (request, actions) = half.arrive(now, "pay", "c");
        assert!(sent_to(&actions) >= Some(3), "unsafe requests have their own share: {actions:?}");
        half.end_attempt(now + 5.0, &request, 0, Outcome::Ok);
    }
    assert!((70..130).contains(&west), "half of 200 requests should go west, {west} did");
}

#[test]
fn hanging_attempts_in_a_drained_zone_do_not_count_elsewhere() {
    let rejections = |is_zone_drained: bool| {
        let mut harness = with_west_share(12, 1.0);
        let east = |state| vec![server_entry(3, 0, state), server_entry(4, 0, state)];
        // All requests go west and hang there.
        harness.list(1.0, ListKind::Changes, east(ServerState::Draining));
        (0..30).for_each(|n| drop(harness.arrive(2.0 + f64::from(n), "read", "c")));
        harness.list(40.0, ListKind::Changes, east(ServerState::Ready));
        let drained = ZoneShares { zone: "west".into(), safe: 0.0, other: 0.0 };
        let zones: Vec<_> = if is_zone_drained { vec![drained] } else { Vec::new() };
        harness.handle(41.0, Event::ZoneShares { zones: zones.into() });
        let mut rejected = 0;
        for n in 0..40 {
            let now = 50.0 + 10.0 * f64::from(n);
            let (request, actions) = harness.arrive(now, "read", "c");
            rejected += usize::from(sent_to(&actions).is_none());
            harness.end_attempt(now + 5.0, &request, 0, Outcome::Ok);
        }
        rejected
    };
    assert!(rejections(true) < rejections(false), "{} {}", rejections(true), rejections(false));
}

#[test]
fn a_request_keeps_to_its_zones_and_its_maximum_of_attempts() {
    let zones = [(1, "east"), (2, "west"), (3, "west")];
    let place = |(server, zone): (ServerId, &str)| ServerEntry {
        zone: zone.into(),
        ..server_entry(server, 0, ServerState::Ready)
    };
    let mut harness = Harness::new(settings(), zones.map(place).to_vec());
    for n in 0..40 {
        let now = f64::from(n) * 100.0;
        let mut arrival = arrival(&format!("h{n}"), "a", now, 1.0, 1);
        arrival.zones = Some(std::sync::Arc::new([std::sync::Arc::from("west")]));
        arrival.max_attempts = Some(1);
        let actions = harness.handle(now, Event::Arrival(arrival));
        assert_ne!(sent_to(&actions), Some(1), "only the west zone is allowed");
        let again = harness.end_attempt(now + 5.0, &format!("h{n}").into(), 0, Outcome::Error);
        assert_eq!(sent_to(&again), None, "only one attempt is allowed");
    }
}

#[test]
fn a_slow_start_bound_limits_the_request_rate_until_it_ends() {
    let limit = Some(SlowStartBound { requests_per_s: 2.0, until: Timestamp::from_millis(5_000.0) });
    let starting = ServerEntry { slow_start: limit, ..server_entry(1, 0, ServerState::Ready) };
    let mut harness = Harness::new(settings(), vec![starting]);
    let mut sent = |from: u32, until: u32| {
        (from..until)
            .filter(|n| {
                let now = f64::from(*n) * 20.0;
                let arrival = arrival(&format!("f{n}"), &format!("c{n}"), now, 1.0, 1);
                let is_sent = sent_to(&harness.handle(now, Event::Arrival(arrival))).is_some();
                harness.end_attempt(now + 5.0, &format!("f{n}").into(), 0, Outcome::Ok);
                is_sent
            })
            .count()
    };
    let (limited, unlimited) = (sent(0, 250), sent(251, 300));
    assert!((8..=11).contains(&limited), "{limited} in 5 s");
    assert!(unlimited > 40, "{unlimited} of 49");
}

#[test]
fn a_budget_that_counts_never_run_applies_to_rejected_attempts() {
    let retry_budget = RetryBudget { ratio: 0.1, burst: 3.0, counts_never_run: true };
    let mut harness = Harness::new(Settings { retry_budget, ..settings() }, servers(9));
    let mut retries = 0;
    for n in 0..200 {
        let now = f64::from(n) * 200.0;
        let arrival = arrival(&format!("b{n}"), &format!("c{n}"), now, 1.0, 1);
        if sent_to(&harness.handle(now, Event::Arrival(arrival))).is_some() {
            let again = harness.end_attempt(now + 5.0, &format!("b{n}").into(), 0, Outcome::Rejected);
            retries += u32::from(sent_to(&again).is_some());
            harness.end_attempt(now + 9.0, &format!("b{n}").into(), 1, Outcome::Ok);
        }
    }
    assert!((10..=21).contains(&retries), "{retries} retries of 200 requests");
}

#[test]
fn with_hedging_an_overdue_attempt_is_not_abandoned() {
    let retry_budget = RetryBudget { ratio: 0.2, burst: 5.0, counts_never_run: true };
    let mut harness = Harness::new(Settings { allow_hedging: true, retry_budget, ..settings() }, servers(9));
    for n in 0..60 {
        let now = f64::from(n) * 50.0;
        let request = format!("o{n}");
        let arrival = arrival(&request, &format!("c{n}"), now, 1.0, 1);
        for action in harness.handle(now, Event::Arrival(arrival)) {
            if let Action::Send { give_up_at, .. } = action {
                // Responses have no value after the latency target of 1 s, so the attempt lasts until then.
                assert!(
                    give_up_at.as_millis() >= now + 990.0,
                    "abandoned after {} ms",
                    give_up_at.as_millis() - now
                );
            }
        }
        harness.end_attempt(now + 5.0, &request.as_str().into(), 0, Outcome::Ok);
    }
}
