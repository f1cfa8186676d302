//! Ejection and recovery of failure domains on scripted observations.

use ivygate_failure_domains::{
    ClassProfile, DomainEvent, DomainState, EjectionPolicy, FailureDomains, Observation, ZoneAwareGateway,
    ZoneReport,
};
use ivygate_gateway::{
    Action, Arrival, Effect, Event, Gateway, ListKind, Plan, RequestClass, RetryBudget, ServerEntry,
    ServerId, ServerState, Settings,
};
use ivygate_time::Timestamp;

struct Harness {
    domains: FailureDomains,
    now: f64,
    customer: u64,
}

impl Harness {
    /// Creates zones of three servers each: servers 0 to 2 in the first one, 3 to 5 in the second one, and so on.
    fn new(zones: &[&str], policy: EjectionPolicy) -> Self {
        let mut domains = FailureDomains::new(policy, 7);
        let server_entry = |number: usize| ServerEntry {
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
        domains.handle_server_list(true, &(0..3 * zones.len()).map(server_entry).collect::<Vec<_>>());
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

    /// Records observations of a zone's servers in turn, each of another customer.
    fn observe(&mut self, zone: u32, count: u32, observation: Observation) {
        for n in 0..count {
            self.wait(2.0);
            self.customer += 1;
            self.domains.handle_observation(3 * zone + n % 3, self.customer, observation);
        }
    }

    fn state(&self, zone: &str) -> DomainState {
        self.domains.statuses().iter().find(|status| *status.zone == *zone).expect("the zone exists").state
    }

    fn shares(&self, zone: &str) -> (f64, f64) {
        self.domains.statuses().iter().find(|status| *status.zone == *zone).expect("the zone exists").shares
    }
}

#[test]
fn a_failed_zone_is_ejected_probed_and_recovers_gradually() {
    let policy = EjectionPolicy {
        processes: 10,
        slow_start_capacity: 0.2,
        slow_start_duration: 5_000.0,
        ..EjectionPolicy::default()
    };
    let mut harness = Harness::new(&["a", "b"], policy);
    harness.observe(0, 20, Observation::Success);
    harness.observe(1, 20, Observation::Success);
    harness.observe(1, 2, Observation::Reset);
    assert_eq!(
        (harness.state("b"), harness.shares("b").1),
        (DomainState::Suspect, 0.0),
        "unsafe requests must not go to a suspect zone"
    );
    harness.observe(1, 3, Observation::Reset);
    assert_eq!((harness.state("b"), harness.shares("b")), (DomainState::Ejected, (0.0, 0.0)));
    assert!(!harness.domains.allows_health_check(3) && harness.domains.allows_health_check(0));
    harness.wait(1_300.0);
    assert_eq!(harness.state("b"), DomainState::Probing);
    harness.observe(1, 2, Observation::NoResponse);
    assert_eq!(harness.state("b"), DomainState::Ejected);
    harness.wait(1_300.0);
    assert_eq!(harness.state("b"), DomainState::Ejected, "the second ejection takes longer than the first");
    harness.wait(1_300.0);
    harness.observe(1, 4, Observation::Success);
    assert_eq!(harness.state("b"), DomainState::Recovering);
    let initial_share = harness.shares("b").0;
    assert!(
        initial_share <= 0.2,
        "recovery starts with at most the capacity of a starting server: {initial_share}"
    );
    harness.wait(2_000.0);
    let later_share = harness.shares("b").0;
    assert!(
        later_share > initial_share && later_share <= 0.2 + 0.8 * 2.1 / 5.0,
        "the share should grow within the slow-start capacity: {later_share}"
    );
    harness.observe(1, 3, Observation::Reset);
    assert!(harness.shares("b").0 < later_share, "failures during recovery reduce the share");
    harness.observe(1, 10, Observation::Success);
    harness.wait(9_000.0);
    assert_eq!(harness.state("b"), DomainState::Healthy);
}

#[test]
fn panic_mode_starts_when_too_many_servers_are_judged_failing() {
    let mut harness = Harness::new(&["a", "b", "c"], EjectionPolicy::default());
    for zone in 0..3 {
        harness.observe(zone, 10, Observation::Success);
    }
    harness.observe(0, 5, Observation::NoResponse);
    assert_eq!(harness.state("a"), DomainState::Ejected);
    // A zone that carries another's load is ejected only after a time without successes.
    harness.wait(600.0);
    harness.observe(1, 40, Observation::NoResponse);
    assert!(!harness.domains.is_in_panic_mode());
    harness.wait(400.0);
    harness.observe(1, 40, Observation::NoResponse);
    assert!(harness.domains.is_in_panic_mode());
    assert!(["a", "b", "c"].iter().all(|zone| harness.shares(zone) == (1.0, 1.0)));
    assert!(harness.domains.poll_event().is_some());
    harness.observe(2, 40, Observation::NoResponse);
    assert!(["a", "b", "c"].iter().all(|zone| harness.shares(zone) == (1.0, 1.0)));
}

/// Delivers reports of peers on zone b.
fn report(harness: &mut Harness, peers: std::ops::Range<u64>, successes: u16, failures: u16) {
    for peer in peers {
        harness.domains.handle_report(peer, &[ZoneReport { zone: "b".into(), successes, failures }]);
    }
}

#[test]
fn a_quorum_of_peers_ejects_a_zone_and_a_single_peer_does_not() {
    let with_live_peers = |live_peers: u64| {
        let mut harness = Harness::new(&["a", "b"], EjectionPolicy::default());
        report(&mut harness, 0..live_peers, 0, 0);
        harness
    };
    let mut harness = with_live_peers(10);
    (0..50).for_each(|_| report(&mut harness, 0..1, 0, 900));
    assert_eq!(
        harness.state("b"),
        DomainState::Healthy,
        "one peer must not cause an ejection, whatever it reports"
    );
    report(&mut harness, 1..2, 0, 1);
    assert_eq!(harness.state("b"), DomainState::Suspect);
    report(&mut harness, 2..3, 0, 1);
    assert_eq!(harness.state("b"), DomainState::Ejected, "three of ten peers are a quorum");
    // Three of thirty peers are no quorum; with own failures, two thirds of a quorum suffice.
    let mut harness = with_live_peers(30);
    report(&mut harness, 0..3, 0, 1);
    assert_eq!(harness.state("b"), DomainState::Suspect);
    harness.observe(1, 1, Observation::NoResponse);
    assert_eq!(harness.state("b"), DomainState::Suspect);
    report(&mut harness, 3..6, 0, 1);
    assert_eq!(harness.state("b"), DomainState::Ejected);
    // As many reports of successes, or own successes, contradict it.
    let mut harness = with_live_peers(10);
    report(&mut harness, 5..10, 9, 0);
    report(&mut harness, 0..5, 0, 1);
    assert_eq!(harness.state("b"), DomainState::Healthy);
    let mut harness = with_live_peers(10);
    harness.observe(1, 1, Observation::Success);
    report(&mut harness, 0..10, 0, 1);
    assert_eq!(harness.state("b"), DomainState::Healthy);
    assert!(harness.domains.poll_report().is_some());
    harness.wait(100.0);
    harness.observe(1, 1, Observation::Success);
    assert_eq!(
        harness.domains.poll_report().map(|reports| (reports[0].successes, reports[0].failures)),
        Some((2, 0)),
        "successes of a zone that peers report as failing are reported"
    );
}

#[test]
fn peer_reports_expire_and_own_observations_decide_without_them() {
    let mut harness = Harness::new(&["a", "b"], EjectionPolicy::default());
    report(&mut harness, 0..2, 0, 1);
    assert_eq!(harness.state("b"), DomainState::Suspect);
    harness.wait(3_100.0);
    assert_eq!((harness.state("b"), harness.domains.live_peers()), (DomainState::Healthy, 0));
    harness.observe(1, 5, Observation::NoResponse);
    assert_eq!(harness.state("b"), DomainState::Ejected);
    // A recent report of failures by a peer delays the probe.
    harness.wait(700.0);
    report(&mut harness, 0..1, 0, 1);
    harness.wait(700.0);
    assert_eq!(harness.state("b"), DomainState::Ejected);
    harness.wait(900.0);
    assert_eq!(harness.state("b"), DomainState::Probing);
}

#[test]
fn the_report_rate_of_a_process_is_bounded() {
    let mut harness = Harness::new(&["a", "b"], EjectionPolicy::default());
    report(&mut harness, 0..600, 0, 0);
    assert_eq!(harness.domains.live_peers(), 512, "the number of peers is limited");
    let mut reports = 0;
    for _ in 0..1_000 {
        harness.observe(1, 1, Observation::Reset);
        reports += usize::from(harness.domains.poll_report().is_some());
    }
    // In 2 s, with 512 peers: at most one report in 256 ms.
    assert!((2..=9).contains(&reports), "{reports}");
}

#[test]
fn observations_before_a_pause_are_dropped() {
    let mut harness = Harness::new(&["a", "b"], EjectionPolicy::default());
    harness.observe(0, 10, Observation::Success);
    harness.observe(1, 3, Observation::NoResponse);
    harness.now += 3_000.0;
    assert!(harness.domains.handle_time(Timestamp::from_millis(harness.now)));
    harness.observe(1, 2, Observation::NoResponse);
    assert_ne!(harness.state("b"), DomainState::Ejected);
    let mut events = std::iter::from_fn(|| harness.domains.poll_event());
    assert!(events.any(|event| matches!(event, DomainEvent::ProcessPaused(time) if time > 2_900.0)));
}

#[test]
fn attempts_open_through_a_pause_are_not_counted_as_unanswered() {
    let [paused, silent] = [true, false].map(|paused| {
        let gateway = Gateway::new(settings(), 3).expect("valid settings");
        let profile = ClassProfile { is_safe: true, latency_target: 1_000.0 };
        let mut gateway =
            ZoneAwareGateway::new(gateway, EjectionPolicy::default(), [("read".into(), profile)], 3);
        let mut actions = Vec::new();
        let entries: Vec<ServerEntry> = (0..8_u32)
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
        gateway.handle(
            Timestamp::from_millis(0.0),
            Event::List { kind: ListKind::Full, servers: entries.into() },
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
            gateway.handle(Timestamp::from_millis(1.0 + f64::from(n)), Event::Arrival(arrival), &mut actions);
        }
        assert!(actions.iter().filter(|action| matches!(action, Action::Send { .. })).count() == 8);
        // 600 ms pass, with ticks or in one step.
        if !paused {
            for n in 1..60 {
                let tick = Timestamp::from_millis(10.0 * f64::from(n));
                gateway.handle(tick, Event::Timer { token: 0 }, &mut actions);
            }
        }
        gateway.handle(Timestamp::from_millis(600.0), Event::Timer { token: 0 }, &mut actions);
        gateway.handle(Timestamp::from_millis(640.0), Event::Timer { token: 0 }, &mut actions);
        gateway
            .statuses()
            .0
            .iter()
            .any(|status| status.cause.failures > 0 || status.state != DomainState::Healthy)
            || gateway.statuses().1
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
fn a_slow_zone_keeps_the_load_for_which_others_lack_capacity() {
    let mut harness = Harness::new(&["a", "b"], EjectionPolicy::default());
    harness.observe(0, 40, Observation::Success);
    harness.observe(1, 10, Observation::Slow);
    assert_eq!((harness.state("b"), harness.shares("b")), (DomainState::Draining, (0.5, 0.5)));
    harness.observe(1, 10, Observation::Slow);
    harness.wait(1_100.0);
    harness.observe(1, 4, Observation::Slow);
    assert!(harness.shares("b").0 < 0.2);
    for _ in 0..30 {
        harness.domains.handle_overload();
        harness.wait(100.0);
        harness.observe(1, 2, Observation::Slow);
    }
    assert_eq!((harness.state("b"), harness.shares("b")), (DomainState::Draining, (1.0, 1.0)));
}

#[test]
fn maintenance_takes_a_zone_out_and_returns_it_gradually() {
    let mut policy = EjectionPolicy { automatic_ejection: false, ..EjectionPolicy::default() };
    let mut harness = Harness::new(&["a", "b"], policy.clone());
    harness.observe(0, 10, Observation::Success);
    harness.observe(1, 20, Observation::Error);
    assert_eq!(harness.state("b"), DomainState::Healthy, "automatic ejection is off");
    policy.maintenance_zones.insert("b".into());
    harness.domains.handle_policy(Timestamp::from_millis(harness.now), policy.clone());
    assert_eq!((harness.state("b"), harness.shares("b")), (DomainState::Maintenance, (0.0, 0.0)));
    harness.wait(20_000.0);
    assert_eq!(harness.state("b"), DomainState::Maintenance);
    policy.maintenance_zones.clear();
    harness.domains.handle_policy(Timestamp::from_millis(harness.now), policy);
    assert_eq!(harness.state("b"), DomainState::Probing);
    harness.observe(1, 4, Observation::Success);
    assert_eq!(harness.state("b"), DomainState::Recovering);
}

#[test]
fn a_slow_zone_that_carries_another_zones_load_is_kept() {
    let mut harness =
        Harness::new(&["a", "b"], EjectionPolicy { panic_threshold: 1.0, ..EjectionPolicy::default() });
    harness.observe(0, 10, Observation::Success);
    harness.observe(1, 5, Observation::Reset);
    assert_eq!(harness.state("b"), DomainState::Ejected);
    for _ in 0..10 {
        harness.observe(0, 4, Observation::Slow);
        harness.observe(0, 1, Observation::Success);
    }
    assert_ne!(harness.state("a"), DomainState::Draining);
    assert_ne!(harness.state("a"), DomainState::Ejected);
}
