//! Judgements of all domains of a pool, by made-up signs.

use ivygate_failure_domains::{
    ClassProfile, DomainEvent, DomainState, EjectionPolicy, FailureDomains, Observation, ZoneAwareGateway,
    ZoneReport,
};
use ivygate_gateway::{
    Action, Arrival, Effect, Event, Gateway, ListKind, Plan, RequestClass, RetryBudget, ServerEntry,
    ServerId, ServerState, Settings,
};
use ivygate_time::Timestamp;

struct Rig {
    domains: FailureDomains,
    now: f64,
    customer: u64,
}

impl Rig {
    /// Zones of three servers each: 0 to 2 stand in a, 3 to 5 in b, and so on.
    fn new(zones: &[&str], policy: EjectionPolicy) -> Self {
        let mut domains = FailureDomains::new(policy, 7);
        let member = |number: usize| ServerEntry {
            server: number as ServerId,
            zone: zones[number / 3].into(),
            cell: 0,
            state: ServerState::Ready,
            weight: 1.0,
            started_at: None,
            distance_cost: 0.0,
            slow_start: None,
        };
        domains.handle_time(Timestamp::from_millis(0.0));
        domains.handle_server_list(true, &(0..3 * zones.len()).map(member).collect::<Vec<_>>());
        Self { domains, now: 0.0, customer: 0 }
    }

    fn wait(&mut self, time: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now = (self.now + 50.0).min(until);
            self.domains.handle_time(Timestamp::from_millis(self.now));
            self.domains.evaluate();
        }
    }

    /// Signs of a zone's servers in turn, of one customer after the other.
    fn see(&mut self, zone: u32, count: u32, observation: Observation) {
        for n in 0..count {
            self.wait(2.0);
            self.customer += 1;
            self.domains.handle_observation(3 * zone + n % 3, self.customer, observation);
        }
    }

    fn state(&self, zone: &str) -> DomainState {
        self.domains.statuses().iter().find(|status| *status.zone == *zone).expect("a zone").state
    }

    fn shares(&self, zone: &str) -> (f64, f64) {
        self.domains.statuses().iter().find(|status| *status.zone == *zone).expect("a zone").shares
    }
}

#[test]
fn a_lost_zone_is_left_tried_by_few_and_comes_back_in_steps() {
    let policy = EjectionPolicy {
        processes: 10,
        slow_start_capacity: 0.2,
        slow_start_duration: 5_000.0,
        ..EjectionPolicy::default()
    };
    let mut rig = Rig::new(&["a", "b"], policy);
    rig.see(0, 20, Observation::Success);
    rig.see(1, 20, Observation::Success);
    rig.see(1, 2, Observation::Reset);
    assert_eq!(
        (rig.state("b"), rig.shares("b").1),
        (DomainState::Suspect, 0.0),
        "what may not run twice goes elsewhere"
    );
    rig.see(1, 3, Observation::Reset);
    assert_eq!((rig.state("b"), rig.shares("b")), (DomainState::Ejected, (0.0, 0.0)));
    assert!(!rig.domains.allows_health_check(3) && rig.domains.allows_health_check(0));
    rig.wait(1_300.0);
    assert_eq!(rig.state("b"), DomainState::Probing);
    rig.see(1, 2, Observation::NoResponse);
    assert_eq!(rig.state("b"), DomainState::Ejected);
    rig.wait(1_300.0);
    assert_eq!(rig.state("b"), DomainState::Ejected, "longer than the first time");
    rig.wait(1_300.0);
    rig.see(1, 4, Observation::Success);
    assert_eq!(rig.state("b"), DomainState::Recovering);
    let at_first = rig.shares("b").0;
    assert!(at_first <= 0.2, "a cold server's part at most, not {at_first}");
    rig.wait(2_000.0);
    let later = rig.shares("b").0;
    assert!(later > at_first && later <= 0.2 + 0.8 * 2.1 / 5.0, "under the curve: {later}");
    rig.see(1, 3, Observation::Reset);
    assert!(rig.shares("b").0 < later, "a step back");
    rig.see(1, 10, Observation::Success);
    rig.wait(9_000.0);
    assert_eq!(rig.state("b"), DomainState::Healthy);
}

#[test]
fn where_too_much_is_judged_bad_the_judgement_is_not_believed() {
    let mut rig = Rig::new(&["a", "b", "c"], EjectionPolicy::default());
    for zone in 0..3 {
        rig.see(zone, 10, Observation::Success);
    }
    rig.see(0, 5, Observation::NoResponse);
    assert_eq!(rig.state("a"), DomainState::Ejected);
    // A zone that bears another's load is believed to be lost once nothing good has come for a while.
    rig.wait(600.0);
    rig.see(1, 40, Observation::NoResponse);
    assert!(!rig.domains.is_in_panic_mode());
    rig.wait(400.0);
    rig.see(1, 40, Observation::NoResponse);
    assert!(rig.domains.is_in_panic_mode());
    assert!(["a", "b", "c"].iter().all(|zone| rig.shares(zone) == (1.0, 1.0)));
    assert!(rig.domains.poll_event().is_some());
    rig.see(2, 40, Observation::NoResponse);
    assert!(["a", "b", "c"].iter().all(|zone| rig.shares(zone) == (1.0, 1.0)));
}

/// Others say that zone b fails, or serves.
fn told(rig: &mut Rig, authors: std::ops::Range<u64>, good: u16, bad: u16) {
    for author in authors {
        rig.domains.handle_report(author, &[ZoneReport { zone: "b".into(), successes: good, failures: bad }]);
    }
}

#[test]
fn a_quorum_of_others_makes_a_zone_left_and_one_voice_does_nothing() {
    let fresh = |heard: u64| {
        let mut rig = Rig::new(&["a", "b"], EjectionPolicy::default());
        told(&mut rig, 0..heard, 0, 0);
        rig
    };
    let mut rig = fresh(10);
    (0..50).for_each(|_| told(&mut rig, 0..1, 0, 900));
    assert_eq!(rig.state("b"), DomainState::Healthy, "one liar, however loud");
    told(&mut rig, 1..2, 0, 1);
    assert_eq!(rig.state("b"), DomainState::Suspect);
    told(&mut rig, 2..3, 0, 1);
    assert_eq!(rig.state("b"), DomainState::Ejected, "three of ten");
    // Of thirty, three are a tenth; with an own sign two thirds of a quorum are enough.
    let mut rig = fresh(30);
    told(&mut rig, 0..3, 0, 1);
    assert_eq!(rig.state("b"), DomainState::Suspect);
    rig.see(1, 1, Observation::NoResponse);
    assert_eq!(rig.state("b"), DomainState::Suspect);
    told(&mut rig, 3..6, 0, 1);
    assert_eq!(rig.state("b"), DomainState::Ejected);
    // As many who say the contrary, or own eyes, weigh against it.
    let mut rig = fresh(10);
    told(&mut rig, 5..10, 9, 0);
    told(&mut rig, 0..5, 0, 1);
    assert_eq!(rig.state("b"), DomainState::Healthy);
    let mut rig = fresh(10);
    rig.see(1, 1, Observation::Success);
    told(&mut rig, 0..10, 0, 1);
    assert_eq!(rig.state("b"), DomainState::Healthy);
    assert!(rig.domains.poll_report().is_some());
    rig.wait(100.0);
    rig.see(1, 1, Observation::Success);
    assert_eq!(
        rig.domains.poll_report().map(|word| (word[0].successes, word[0].failures)),
        Some((2, 0)),
        "who sees it serve says so"
    );
}

#[test]
fn words_fade_and_where_nothing_is_heard_own_eyes_decide() {
    let mut rig = Rig::new(&["a", "b"], EjectionPolicy::default());
    told(&mut rig, 0..2, 0, 1);
    assert_eq!(rig.state("b"), DomainState::Suspect);
    rig.wait(3_100.0);
    assert_eq!((rig.state("b"), rig.domains.live_peers()), (DomainState::Healthy, 0));
    rig.see(1, 5, Observation::NoResponse);
    assert_eq!(rig.state("b"), DomainState::Ejected);
    // Others have tried it in vain just now: this one does not.
    rig.wait(700.0);
    told(&mut rig, 0..1, 0, 1);
    rig.wait(700.0);
    assert_eq!(rig.state("b"), DomainState::Ejected);
    rig.wait(900.0);
    assert_eq!(rig.state("b"), DomainState::Probing);
}

#[test]
fn what_one_process_says_is_bounded_whatever_it_sees() {
    let mut rig = Rig::new(&["a", "b"], EjectionPolicy::default());
    told(&mut rig, 0..600, 0, 0);
    assert_eq!(rig.domains.live_peers(), 512, "no more are heard");
    let mut words = 0;
    for _ in 0..1_000 {
        rig.see(1, 1, Observation::Reset);
        words += usize::from(rig.domains.poll_report().is_some());
    }
    // 2 s: at most one in 256 ms for 512 others.
    assert!((2..=9).contains(&words), "{words}");
}

#[test]
fn what_was_seen_before_a_pause_says_nothing_after_it() {
    let mut rig = Rig::new(&["a", "b"], EjectionPolicy::default());
    rig.see(0, 10, Observation::Success);
    rig.see(1, 3, Observation::NoResponse);
    rig.now += 3_000.0;
    assert!(rig.domains.handle_time(Timestamp::from_millis(rig.now)));
    rig.see(1, 2, Observation::NoResponse);
    assert_ne!(rig.state("b"), DomainState::Ejected);
    let mut told = std::iter::from_fn(|| rig.domains.poll_event());
    assert!(told.any(|happening| matches!(happening, DomainEvent::ProcessPaused(time) if time > 2_900.0)));
}

#[test]
fn what_was_open_through_a_pause_is_no_sign_of_silence() {
    let [paused, silent] = [true, false].map(|paused| {
        let gateway = Gateway::new(settings(), 3).expect("sound settings");
        let kind = ClassProfile { is_safe: true, latency_target: 1_000.0 };
        let mut guarded =
            ZoneAwareGateway::new(gateway, EjectionPolicy::default(), [("read".into(), kind)], 3);
        let mut actions = Vec::new();
        let members: Vec<ServerEntry> = (0..8_u32)
            .map(|server| ServerEntry {
                server,
                zone: if server < 4 { "a".into() } else { "b".into() },
                cell: 0,
                state: ServerState::Ready,
                weight: 1.0,
                started_at: None,
                distance_cost: 0.0,
                slow_start: None,
            })
            .collect();
        guarded.handle(
            Timestamp::from_millis(0.0),
            Event::List { kind: ListKind::Full, servers: members.into() },
            &mut actions,
        );
        for n in 0..8 {
            let arrival = Arrival {
                request: format!("r{n}").into(),
                class: "read".into(),
                plan: "plain".into(),
                customer: format!("c{n}").into(),
                deadline: Timestamp::from_millis(9_000.0),
                units: 1.0,
                gateways: 1,
                zones: None,
                max_attempts: None,
            };
            guarded.handle(Timestamp::from_millis(1.0 + f64::from(n)), Event::Arrival(arrival), &mut actions);
        }
        assert!(actions.iter().filter(|action| matches!(action, Action::Send { .. })).count() == 8);
        // 600 ms pass, with ticks or in a jump.
        if !paused {
            for n in 1..60 {
                let tick = Timestamp::from_millis(10.0 * f64::from(n));
                guarded.handle(tick, Event::Timer { token: 0 }, &mut actions);
            }
        }
        guarded.handle(Timestamp::from_millis(600.0), Event::Timer { token: 0 }, &mut actions);
        guarded.handle(Timestamp::from_millis(640.0), Event::Timer { token: 0 }, &mut actions);
        guarded
            .statuses()
            .0
            .iter()
            .any(|status| status.cause.failures > 0 || status.state != DomainState::Healthy)
            || guarded.statuses().1
    });
    assert!(silent && !paused);
}

fn settings() -> Settings {
    let class = RequestClass {
        name: "read".into(),
        latency_target: 1_000.0,
        deadline: 9_000.0,
        value: 1.0,
        late_value: 0.0,
        effect: Effect::Safe,
        initial_work: Some(20.0),
        key_window: 0.0,
    };
    let plan = Plan::unlimited("plain");
    Settings {
        gateways: 1,
        rank: 0,
        zone: "a".into(),
        classes: vec![class],
        plans: vec![plan],
        max_attempts: 1,
        allow_hedging: false,
        allow_health_checks: false,
        allow_trial_requests: false,
        retry_budget: RetryBudget::DEFAULT,
        allow_cancellation: true,
        subscribe_to_list: false,
        max_retry_after: None,
        meter_period: None,
        cross_zone_cost: 10.0,
        slow_start_capacity: 0.2,
        slow_start_duration: 1_000.0,
        overload_factor: 2.0,
        overload_window: 1_000.0,
    }
}

#[test]
fn a_slow_zone_keeps_what_the_others_do_not_bear() {
    let mut rig = Rig::new(&["a", "b"], EjectionPolicy::default());
    rig.see(0, 40, Observation::Success);
    rig.see(1, 10, Observation::Slow);
    assert_eq!((rig.state("b"), rig.shares("b")), (DomainState::Draining, (0.5, 0.5)));
    rig.see(1, 10, Observation::Slow);
    rig.wait(1_100.0);
    rig.see(1, 4, Observation::Slow);
    assert!(rig.shares("b").0 < 0.2);
    for _ in 0..30 {
        rig.domains.handle_overload();
        rig.wait(100.0);
        rig.see(1, 2, Observation::Slow);
    }
    assert_eq!((rig.state("b"), rig.shares("b")), (DomainState::Draining, (1.0, 1.0)));
}

#[test]
fn works_take_a_zone_out_and_give_it_back_step_by_step() {
    let mut policy = EjectionPolicy { automatic_ejection: false, ..EjectionPolicy::default() };
    let mut rig = Rig::new(&["a", "b"], policy.clone());
    rig.see(0, 10, Observation::Success);
    rig.see(1, 20, Observation::Error);
    assert_eq!(rig.state("b"), DomainState::Healthy, "only by hand");
    policy.maintenance_zones.insert("b".into());
    rig.domains.handle_policy(Timestamp::from_millis(rig.now), policy.clone());
    assert_eq!((rig.state("b"), rig.shares("b")), (DomainState::Maintenance, (0.0, 0.0)));
    rig.wait(20_000.0);
    assert_eq!(rig.state("b"), DomainState::Maintenance);
    policy.maintenance_zones.clear();
    rig.domains.handle_policy(Timestamp::from_millis(rig.now), policy);
    assert_eq!(rig.state("b"), DomainState::Probing);
    rig.see(1, 4, Observation::Success);
    assert_eq!(rig.state("b"), DomainState::Recovering);
}

#[test]
fn a_zone_that_bears_anothers_load_may_be_slow() {
    let mut rig = Rig::new(&["a", "b"], EjectionPolicy { panic_threshold: 1.0, ..EjectionPolicy::default() });
    rig.see(0, 10, Observation::Success);
    rig.see(1, 5, Observation::Reset);
    assert_eq!(rig.state("b"), DomainState::Ejected);
    for _ in 0..10 {
        rig.see(0, 4, Observation::Slow);
        rig.see(0, 1, Observation::Success);
    }
    assert_ne!(rig.state("a"), DomainState::Draining);
    assert_ne!(rig.state("a"), DomainState::Ejected);
}
