//! Digests of a gateway's decisions on random events. Refactoring must not change them; a commit that changes decisions
//! updates them and says why.
//!
//! The action texts below are share of the digests and keep their spelling.

use fastrand::Rng;
use fnv::FnvHasher;
use ivygate_gateway::*;
use ivygate_time::Timestamp;
use std::hash::Hasher;
use std::sync::Arc;

/// Digests by variant of the settings.
const DIGESTS: [u64; 4] =
    [0x3a2a_24fe_b50f_2710, 0xc520_ab66_1f65_9314, 0x22a0_7f8a_2f09_054c, 0xd9af_b12d_1636_bfd7];
const SEEDS: std::ops::Range<u64> = 0..40;
const EVENTS: usize = 4_000;
const ZONES: [&str; 3] = ["east", "west", "north"];

fn class(name: &str, effect: Effect, latency_target: f64) -> RequestClass {
    RequestClass {
        name: name.into(),
        latency_target,
        deadline: 3.0 * latency_target,
        value: 4.0,
        late_value: if latency_target > 500.0 { 0.2 } else { 0.0 },
        effect,
        initial_work: (latency_target > 1_500.0).then_some(80.0),
        key_window: 3_000.0,
    }
}

fn plan(name: &str, rate: f64, excess_value: f64, limit_rate: f64) -> Plan {
    Plan {
        name: name.into(),
        rate,
        burst: 2.0 * rate,
        max_in_flight: if rate > 0.0 { 6 } else { 0 },
        price: 1.0,
        excess_value,
        excess_cost: 0.6,
        limit_rate,
        limit_burst: 2.0 * limit_rate,
        limit_slack: 1.0,
    }
}

/// Settings by variant: 0 has a meter, 1 a counted retry budget and no meter, 2 slow start and health checks, 3 a list
/// subscription.
fn settings(variant: usize) -> Settings {
    Settings {
        gateways: [3, 1, 4, 2][variant],
        rank: 0,
        zone: "east".into(),
        classes: vec![
            class("read", Effect::Safe, 400.0),
            class("edit", Effect::Keyed(KeyScope::Cell), 1_000.0),
            class("file", Effect::Keyed(KeyScope::All), 2_000.0),
            class("pay", Effect::Unsafe, 800.0),
        ],
        plans: vec![
            plan("free", 0.0, 0.0, 0.0),
            plan("basic", 12.0, 0.0, 30.0),
            plan("extra", 20.0, 0.9, 0.0),
        ],
        max_attempts: 3,
        allow_hedging: variant != 0,
        allow_health_checks: variant >= 2,
        allow_trial_requests: variant == 1,
        retry_budget: if variant == 1 {
            RetryBudget { ratio: 0.1, burst: 10.0, counts_never_run: true }
        } else {
            RetryBudget::DEFAULT
        },
        allow_cancellation: variant != 3,
        subscribe_to_list: variant == 3,
        max_retry_after: (variant != 2).then_some(1_000.0),
        meter_period: (variant != 1).then_some(1_000.0),
        cross_zone_cost: 0.02,
        slow_start_capacity: if variant == 2 { 0.2 } else { 1.0 },
        slow_start_duration: if variant == 2 { 8_000.0 } else { 0.0 },
        overload_factor: 2.0,
        overload_window: 1_000.0,
    }
}

/// An attempt without an outcome: its request, index and server, the time it was sent and the time it is abandoned.
type InFlight = (RequestId, u32, ServerId, f64, f64);

struct RandomRun {
    rng: Rng,
    gateway: Gateway,
    now: f64,
    arrivals: u32,
    in_flight: Vec<InFlight>,
    sends: std::collections::BTreeMap<RequestId, u32>,
    timers: Vec<(f64, u64)>,
    health_checks: Vec<ServerId>,
    digest: FnvHasher,
}

impl RandomRun {
    fn new(variant: usize, seed: u64) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            gateway: Gateway::new(settings(variant), seed).expect("valid settings"),
            now: 0.0,
            arrivals: 0,
            in_flight: Vec::new(),
            sends: std::collections::BTreeMap::new(),
            timers: Vec::new(),
            health_checks: Vec::new(),
            digest: FnvHasher::default(),
        }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.gateway.handle(Timestamp::from_millis(self.now), event, &mut actions);
        for action in actions {
            let text = match action {
                Action::Send { request, server, give_up_at } => {
                    let give_up_at = give_up_at.as_millis();
                    let number = self.sends.entry(request.clone()).or_insert(0);
                    self.in_flight.push((request.clone(), *number, server, self.now, give_up_at));
                    *number += 1;
                    format!("send {request} {server} {give_up_at:.6}")
                }
                Action::Reject { request, retry_after, reason } => {
                    let reason = match reason {
                        RejectReason::Quota => "quota",
                        RejectReason::RateLimit => "ceiling",
                        RejectReason::Overload => "room",
                    };
                    format!("refuse {request} {retry_after:.6} {reason}")
                }
                Action::Fail { request } => format!("fail {request}"),
                Action::Cancel { request, attempt } => format!("cancel {request} {attempt}"),
                Action::CheckHealth { server } => {
                    self.health_checks.push(server);
                    format!("probe {server}")
                }
                Action::Timer { token, at } => {
                    let at = at.as_millis();
                    self.timers.push((at, token));
                    format!("timer {token} {at:.6}")
                }
                Action::Subscribe => "subscribe".to_owned(),
                Action::Log { .. } => "log".to_owned(),
            };
            self.digest.write(format!("{:.3} {text}\n", self.now).as_bytes());
        }
    }

    fn update_list(&mut self) {
        let count = self.rng.u32(2..9);
        let entries: Vec<ServerEntry> = (0..count)
            .map(|server| ServerEntry {
                server,
                zone: ZONES[server as usize % 3].into(),
                cell: server / 2,
                state: if self.rng.u8(..6) == 0 { ServerState::Draining } else { ServerState::Ready },
                weight: 1.0,
                started_at: (self.rng.u8(..4) == 0).then_some(Timestamp::from_millis(self.now - 3_000.0)),
                distance_cost: [0.0, 15.0, 220.0][server as usize % 3],
                slow_start: (self.rng.u8(..6) == 0).then_some(SlowStartBound {
                    requests_per_s: 5.0,
                    until: Timestamp::from_millis(self.now + 2_000.0),
                }),
            })
            .collect();
        let kind = match self.rng.u8(..8) {
            0 => ListKind::Failed,
            1..=3 => ListKind::Changes,
            _ => ListKind::Full,
        };
        self.handle(Event::List { kind, servers: entries.into() });
    }

    fn send_arrival(&mut self) {
        self.arrivals += 1;
        let request: RequestId = format!("r{}", self.arrivals).into();
        let class = ["read", "read", "edit", "file", "pay", "none"][self.rng.usize(..6)];
        let zones = (self.rng.u8(..12) == 0).then(|| Arc::from([Arc::from("east"), Arc::from("north")]));
        let arrival = Arrival {
            request,
            class: class.into(),
            plan: ["free", "basic", "extra"][self.rng.usize(..3)].into(),
            customer: format!("c{}", self.rng.u8(..9).min(self.rng.u8(..9))).into(),
            deadline: Timestamp::from_millis(self.now + 500.0 + 3_000.0 * self.rng.f64()),
            units: [1.0, 1.0, 2.5][self.rng.usize(..3)],
            gateways: self.rng.u32(1..4),
            zones,
            max_attempts: (self.rng.u8(..5) == 0).then_some(2),
        };
        self.handle(Event::Arrival(arrival));
    }

    fn random_load(&mut self) -> Load {
        let in_flight = (self.rng.u8(..3) == 0).then(|| 8.0 * self.rng.f64());
        Load { in_flight, ..Load::default() }
    }

    fn end_attempt(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let (request, attempt, server, sent, abandoned_at) =
            self.in_flight.swap_remove(self.rng.usize(..self.in_flight.len()));
        let outcome = match self.rng.u8(..20) {
            0 => Outcome::Error,
            1 => Outcome::Unusable,
            2 => Outcome::Rejected,
            3 => Outcome::ConnectFailed,
            4 => Outcome::Reset,
            5 => Outcome::Cancelled,
            6 => Outcome::NeverSent,
            _ if self.now > abandoned_at => Outcome::Timeout,
            _ => Outcome::Ok,
        };
        let is_final = matches!(outcome, Outcome::Ok | Outcome::Unusable);
        let metered_percent = (self.rng.u8(..4) == 0).then(|| 260.0 * self.rng.f64());
        let load = self.random_load();
        let elapsed = self.now - sent;
        self.handle(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            server,
            outcome,
            elapsed,
            is_final,
            metered_percent,
            load,
        }));
    }

    fn send_other_event(&mut self) {
        match self.rng.u8(..6) {
            0 => self.update_list(),
            1 => {
                let share = |rng: &mut Rng| [0.0, 0.5, 1.0][rng.usize(..3)];
                let rng = &mut self.rng;
                let zones = ZONES.map(|zone| {
                    let (safe, other) = (share(rng), share(rng));
                    ZoneShares { zone: zone.into(), safe, other }
                });
                let count = self.rng.usize(..3);
                self.handle(Event::ZoneShares { zones: zones[..count].into() });
            }
            2 => {
                let request: RequestId = format!("r{}", self.rng.u32(..self.arrivals.max(1))).into();
                self.handle(Event::ClientGone { request });
            }
            3 => {
                let Some((request, attempt, ..)) = self.in_flight.first().cloned() else { return };
                self.handle(Event::StreamStarted { request, attempt });
            }
            4 => {
                let Some(server) = self.health_checks.pop() else { return };
                let outcome = if self.rng.bool() { Outcome::Ok } else { Outcome::ConnectFailed };
                let load = self.random_load();
                self.handle(Event::HealthChecked { server, outcome, load });
            }
            _ => {
                let class = class("read", Effect::Safe, 300.0 + 200.0 * self.rng.f64());
                self.handle(Event::Class(class));
                let counts_never_run = self.rng.bool();
                self.handle(Event::RetryBudget(RetryBudget { ratio: 0.12, burst: 8.0, counts_never_run }));
            }
        }
    }

    fn run(mut self) -> u64 {
        self.update_list();
        for _ in 0..EVENTS {
            self.now += 30.0 * self.rng.f64().powi(2);
            while let Some(due) = self.timers.iter().position(|(at, _)| *at <= self.now) {
                let (_, token) = self.timers.swap_remove(due);
                self.handle(Event::Timer { token });
            }
            match self.rng.u8(..20) {
                0..=8 => self.send_arrival(),
                9..=18 => self.end_attempt(),
                _ => self.send_other_event(),
            }
        }
        self.digest.finish()
    }
}

#[test]
fn decisions_keep_their_digests() {
    let found: Vec<u64> = (0..DIGESTS.len())
        .map(|variant| {
            SEEDS.fold(0_u64, |all, seed| all.rotate_left(7) ^ RandomRun::new(variant, seed).run())
        })
        .collect();
    assert_eq!(found, DIGESTS, "{found:#018x?}");
}
