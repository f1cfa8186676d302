//! Seeded simulation of quota allocators and proxies with virtual time. Messages are lost, duplicated, delayed and reordered;
//! machines pause, restart and are partitioned; allocators change while the previous one does not know it yet.
//!
//! At every moment the shares in force, each by its own proxy's clock, add up to at most the total, and the admitted requests
//! stay within the quota rule.

use fastrand::Rng;
use fnv::FnvHasher;
use ivygate_quota::{LeasedQuota, QuotaAllocator, QuotaGrant, UsageReport, MAX_TOTAL_SHARE};
use ivygate_time::Timestamp;
use std::collections::BTreeMap;
use std::hash::Hasher;

const PROXIES: usize = 5;
const REGISTRIES: usize = 3;
const STEP_MS: f64 = 50.0;
const RATE: f64 = 100.0;
const BURST: f64 = 100.0;
const TENANTS: [&str; 2] = ["t", "u"];
/// Contact age above which a registry grants nothing, in milliseconds.
const MAX_CONTACT_AGE_MS: f64 = 3_500.0;
/// Share of a proxy without a grant.
const INITIAL_SHARE: f64 = 0.01;
/// Requests that the quota rule allows in any window beyond the rate plus a tenth.
const MAX_LEVEL: f64 = MAX_TOTAL_SHARE * BURST + 20.0;
/// Number of simulations, of two minutes each.
const SIMULATIONS: u64 = 60;

struct Proxy {
    quota: LeasedQuota,
    /// Speed of its clock relative to true time, and its offset in milliseconds.
    clock_speed: f64,
    clock_offset: f64,
    paused_until: f64,
    report_at: f64,
    /// Epoch and coordinator that it knows of.
    holder: (u64, usize),
    partitioned_until: [f64; REGISTRIES],
    /// Time until which it does not learn of another coordinator.
    uninformed_until: f64,
    demand: f64,
    incarnation: u64,
    /// Time of its last report by its own clock, with the epoch and number of the grant in use then.
    last: (f64, u64, u64),
}

impl Proxy {
    fn clock(&self, now: f64) -> f64 {
        self.clock_offset + now * self.clock_speed
    }
}

#[derive(Default)]
struct Registry {
    allocator: Option<QuotaAllocator>,
    /// Incarnation in each proxy's last report here, and the number of its last grant.
    granted: BTreeMap<usize, (u64, u64)>,
    acquired_epoch: u64,
    /// Newest epoch that it knows of, and the time at which that was last confirmed.
    known: u64,
    contact_at: f64,
    partitioned_until: f64,
    paused_until: f64,
}

enum Message {
    Report { to: usize, from: usize, requested_at: f64, report: UsageReport },
    Grant { to: usize, incarnation: u64, requested_at: f64, grant: QuotaGrant },
}

/// Rule that is disabled, to check that the simulation detects its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
enum DisabledRule {
    None,
    /// Proxies accept any grant: from an older epoch, or for a report before the last.
    GrantFencing,
    /// The allocator considers a grant received as soon as the next report comes.
    GrantConfirmation,
    /// The allocator takes any other incarnation for the running one, though it may have ended long ago.
    IncarnationConfirmation,
    /// The allocator grants until it hears of a successor, however long ago it was in contact with the store.
    ContactAge,
}

struct Simulation {
    rng: Rng,
    disabled: DisabledRule,
    now: f64,
    proxies: Vec<Proxy>,
    registries: Vec<Registry>,
    epoch: u64,
    in_flight: Vec<(f64, Message)>,
    incarnations: u64,
    /// Admitted requests of each tenant, drained at the rate that the quota rule allows.
    level: [f64; 2],
    max_sum: f64,
    known: BTreeMap<String, bool>,
    grants: u64,
    changes: u64,
    /// Digest of all messages in wire format and of the admitted requests.
    digest: FnvHasher,
}

fn name(proxy: usize) -> String {
    format!("proxy-{proxy}")
}

impl Simulation {
    fn new(seed: u64, disabled: DisabledRule) -> Self {
        let mut rng = Rng::with_seed(seed);
        let proxies = (0..PROXIES).map(|n| Proxy {
            quota: LeasedQuota::new(n as u64 + 1),
            clock_speed: 0.98 + 0.04 * rng.f64(),
            clock_offset: 1e6 * rng.f64(),
            paused_until: 0.0,
            report_at: 600.0 * rng.f64(),
            holder: (1, 0),
            partitioned_until: [0.0; REGISTRIES],
            uninformed_until: 0.0,
            demand: 3.0,
            incarnation: n as u64 + 1,
            last: (0.0, 0, 0),
        });
        let proxies = proxies.collect();
        let mut registries: Vec<Registry> = (0..REGISTRIES).map(|_| Registry::default()).collect();
        registries[0].acquired_epoch = 1;
        Self {
            rng,
            disabled,
            now: 0.0,
            proxies,
            registries,
            epoch: 1,
            in_flight: Vec::new(),
            incarnations: 100,
            level: [0.0; 2],
            max_sum: 0.0,
            known: (0..PROXIES).map(|n| (name(n), true)).collect(),
            grants: 0,
            changes: 0,
            digest: FnvHasher::default(),
        }
    }

    fn inject_faults(&mut self) {
        let duration_ms = |rng: &mut Rng| 500.0 + 20_000.0 * rng.f64() * rng.f64();
        let (proxy, registry) = (self.rng.usize(..PROXIES), self.rng.usize(..REGISTRIES));
        let until = self.now + duration_ms(&mut self.rng);
        match self.rng.u32(..700) {
            0..=7 => self.proxies[proxy].partitioned_until[registry] = until,
            8..=10 => self.proxies[proxy].partitioned_until = [until; REGISTRIES],
            11..=13 => self.proxies[proxy].paused_until = until,
            14..=17 => {
                self.incarnations += 1;
                self.proxies[proxy].quota = LeasedQuota::new(self.incarnations);
                self.proxies[proxy].incarnation = self.incarnations;
                self.proxies[proxy].report_at = self.now;
            }
            18..=20 => self.registries[registry].partitioned_until = until,
            21..=23 => self.registries[registry].paused_until = until,
            24..=27 => self.proxies[proxy].demand = [0.0, 1.0, 8.0][self.rng.usize(..3)],
            28..=30 => {
                // Another registry acquires the role whatever the state of the previous holder. No epoch is issued twice.
                let registry = &mut self.registries[registry];
                if self.now > registry.partitioned_until && self.now > registry.paused_until {
                    self.epoch += 1;
                    self.changes += 1;
                    (registry.acquired_epoch, registry.known, registry.contact_at) =
                        (self.epoch, self.epoch, self.now);
                }
            }
            31..=33 => self.proxies[proxy].uninformed_until = until,
            _ => {}
        }
    }

    fn send(&mut self, message: Message) {
        let text = match &message {
            Message::Report { report, .. } => serde_json::to_string(report),
            Message::Grant { grant, .. } => serde_json::to_string(grant),
        };
        let text = text.expect("message serializes");
        self.digest.write(format!("{:.3} {:?} {text}\n", self.now, self.level).as_bytes());
        let copies = [1, 1, 1, 1, 1, 1, 1, 1, 2, 0][self.rng.usize(..10)];
        for _ in 0..copies {
            let max_delay_ms = if self.rng.u8(..12) == 0 { 20_000.0 * self.rng.f64().powi(3) } else { 120.0 };
            let at = self.now + self.rng.f64() * max_delay_ms;
            let message = match &message {
                Message::Report { to, from, requested_at, report } => Message::Report {
                    to: *to,
                    from: *from,
                    requested_at: *requested_at,
                    report: report.clone(),
                },
                Message::Grant { to, incarnation, requested_at, grant } => Message::Grant {
                    to: *to,
                    incarnation: *incarnation,
                    requested_at: *requested_at,
                    grant: grant.clone(),
                },
            };
            self.in_flight.push((at, message));
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.inject_faults();
        let now = self.now;
        for registry in &mut self.registries {
            // It is in contact with the store about once a second and learns the newest epoch from it.
            if now > registry.partitioned_until.max(registry.paused_until) && self.rng.u8(..20) == 0 {
                (registry.contact_at, registry.known) = (now, self.epoch);
            }
        }
        for n in 0..PROXIES {
            self.step_proxy(n);
        }
        // A machine that was paused receives all pending messages at once, in any order.
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for (at, message) in std::mem::take(&mut self.in_flight) {
            let (proxy, registry, paused) = match &message {
                Message::Report { to, from, .. } => (*from, Some(*to), self.registries[*to].paused_until),
                Message::Grant { to, .. } => (*to, None, self.proxies[*to].paused_until),
            };
            let is_partitioned = registry.is_some_and(|r| now <= self.proxies[proxy].partitioned_until[r]);
            if at > now || now <= paused {
                rest.push((at, message));
            } else if is_partitioned && self.rng.bool() {
                // Messages in flight when the partition began may arrive after it ends.
                rest.push((self.proxies[proxy].partitioned_until[registry.unwrap_or(0)] + 100.0, message));
            } else if !is_partitioned {
                due.push(message);
            }
        }
        self.in_flight = rest;
        self.rng.shuffle(&mut due);
        for message in due {
            match message {
                Message::Report { to, from, requested_at, report } => {
                    self.deliver_report(to, from, requested_at, &report);
                }
                Message::Grant { to, incarnation, requested_at, grant } => {
                    self.deliver_grant(to, incarnation, requested_at, grant);
                }
            }
            self.check();
        }
        self.check();
    }

    fn step_proxy(&mut self, n: usize) {
        let now = self.now;
        if now <= self.proxies[n].paused_until {
            return;
        }
        let share = RATE * STEP_MS / 1000.0 * self.proxies[n].demand;
        for (of, tenant) in TENANTS.iter().enumerate() {
            let wanted = if of == n % 2 { share } else { share / 4.0 };
            let wanted = wanted as u32 + u32::from(self.rng.f64() < wanted.fract());
            for _ in 0..wanted {
                let proxy = &mut self.proxies[n];
                let clock = proxy.clock(now);
                if proxy.quota.acquire(Timestamp::from_millis(clock), tenant, RATE, BURST).is_ok() {
                    self.level[of] += 1.0;
                }
            }
        }
        let epoch = self.epoch;
        let holder =
            self.registries.iter().position(|registry| registry.acquired_epoch == epoch).unwrap_or(0);
        let proxy = &mut self.proxies[n];
        if now > proxy.uninformed_until && self.rng.u8(..15) == 0 {
            proxy.holder = (epoch, holder);
        }
        if now >= proxy.report_at {
            proxy.report_at = now + 600.0;
            let requested_at = proxy.clock(now);
            let report = proxy.quota.report(Timestamp::from_millis(requested_at));
            proxy.last = (requested_at, report.epoch, report.number);
            let to = proxy.holder.1;
            self.send(Message::Report { to, from: n, requested_at, report });
        }
    }

    fn deliver_report(&mut self, to: usize, from: usize, requested_at: f64, report: &UsageReport) {
        let now = self.now;
        let registry = &mut self.registries[to];
        let age = if self.disabled == DisabledRule::ContactAge { 0.0 } else { now - registry.contact_at };
        if registry.acquired_epoch < registry.known
            || registry.acquired_epoch == 0
            || age > MAX_CONTACT_AGE_MS
        {
            return;
        }
        let acquired_epoch = registry.acquired_epoch;
        if registry.allocator.as_ref().is_none_or(|allocator| allocator.epoch() != acquired_epoch) {
            registry.allocator = Some(QuotaAllocator::new(Timestamp::from_millis(now), acquired_epoch));
            registry.granted.clear();
        }
        let Some(allocator) = &mut registry.allocator else { return };
        let (mut report, mut handle) = (report.clone(), |report: &UsageReport| {
            allocator.handle_report(
                Timestamp::from_millis(now),
                age,
                &name(from),
                report,
                &self.known,
                |_| RATE,
            )
        });
        match (self.disabled, registry.granted.get(&from)) {
            (DisabledRule::GrantConfirmation, Some((incarnation, number)))
                if *incarnation == report.incarnation =>
            {
                (report.epoch, report.number) = (acquired_epoch, *number);
            }
            (DisabledRule::IncarnationConfirmation, Some((incarnation, _)))
                if *incarnation != report.incarnation =>
            {
                let first = handle(&report);
                (report.epoch, report.number) = (acquired_epoch, first.map_or(0, |grant| grant.number));
            }
            _ => {}
        }
        if let Some(grant) = handle(&report) {
            self.grants += 1;
            registry.granted.insert(from, (report.incarnation, grant.number));
            self.send(Message::Grant { to: from, incarnation: report.incarnation, requested_at, grant });
        }
    }

    fn deliver_grant(&mut self, to: usize, incarnation: u64, mut requested_at: f64, mut grant: QuotaGrant) {
        let proxy = &mut self.proxies[to];
        // A grant for an incarnation that has ended is not delivered.
        if proxy.incarnation != incarnation {
            return;
        }
        if self.disabled == DisabledRule::GrantFencing {
            let (last, epoch, number) = proxy.last;
            requested_at = last;
            grant.epoch = grant.epoch.max(epoch);
            grant.number = grant.number.max(number + 1);
        }
        proxy.quota.handle_grant(Timestamp::from_millis(requested_at), grant);
    }

    fn check(&mut self) {
        let now = self.now;
        for tenant in TENANTS {
            let share = |proxy: &Proxy| proxy.quota.share(Timestamp::from_millis(proxy.clock(now)), tenant);
            let sum: f64 = self.proxies.iter().map(share).sum();
            self.max_sum = self.max_sum.max(sum - INITIAL_SHARE * PROXIES as f64);
        }
    }
}

/// Returns the highest sum of shares beyond the initial ones, the number of grants and the number of allocator changes.
fn run(seed: u64, disabled: DisabledRule) -> (f64, u64, u64) {
    let simulation = simulate(seed, disabled);
    (simulation.max_sum, simulation.grants, simulation.changes)
}

fn simulate(seed: u64, disabled: DisabledRule) -> Simulation {
    let mut simulation = Simulation::new(seed, disabled);
    for _ in 0..2_400 {
        simulation.step();
        for level in &mut simulation.level {
            *level = (*level - MAX_TOTAL_SHARE * RATE * STEP_MS / 1000.0).max(0.0);
            assert!(
                disabled != DisabledRule::None || *level <= MAX_LEVEL,
                "seed {seed}: {level} at {}",
                simulation.now
            );
        }
    }
    simulation
}

/// Digest of reports, grants and admitted requests over the simulations with seeds from 1,000. Refactoring must not change it.
const DIGEST: u64 = 0x9f05_644f_fba0_bf70;

#[test]
fn decisions_on_shares_keep_their_digest() {
    let digest = (1_000..1_020)
        .fold(0_u64, |all, seed| all.rotate_left(7) ^ simulate(seed, DisabledRule::None).digest.finish());
    assert_eq!(digest, DIGEST, "{digest:#018x}");
}

#[test]
fn shares_never_exceed_the_quota_across_allocator_changes() {
    let (mut grants, mut changes) = (0, 0);
    // Seed 792, found by a longer run, covers an allocator that receives the newer of two reports first.
    for seed in (0..SIMULATIONS).chain([792]) {
        let (max_sum, granted, changed) = run(seed, DisabledRule::None);
        assert!(max_sum <= MAX_TOTAL_SHARE + 1e-6, "seed {seed}: {max_sum}");
        (grants, changes) = (grants + granted, changes + changed);
    }
    assert!(grants > 500 * SIMULATIONS && changes > 5 * SIMULATIONS, "{grants} grants, {changes} changes");
}

#[test]
fn each_rule_left_out_exceeds_the_quota() {
    for disabled in [
        DisabledRule::GrantFencing,
        DisabledRule::GrantConfirmation,
        DisabledRule::IncarnationConfirmation,
        DisabledRule::ContactAge,
    ] {
        let found = (0..SIMULATIONS).find(|seed| run(*seed, disabled).0 > MAX_TOTAL_SHARE + 1e-6);
        println!("{disabled:?} is detected with seed {found:?}");
        assert!(found.is_some(), "{disabled:?}");
    }
}
