//! Plays of keepers under epochs and of the proxies that they give parts to: messages are lost, doubled, late and
//! reordered, machines stand still, are cut off from some others, restart, and keepers change while the one before does
//! not know it yet. Seeded; time is counted, not waited for. At every moment the parts in force, each by its own proxy's
//! clock, add up to no more than the whole, and what was passed keeps to the rule.

use fastrand::Rng;
use fnv::FnvHasher;
use ivygate_quota::{LeasedQuota, QuotaAllocator, QuotaGrant, UsageReport, MAX_TOTAL_SHARE};
use ivygate_time::Timestamp;
use std::collections::BTreeMap;
use std::hash::Hasher;

const PROXIES: usize = 5;
const REGISTRIES: usize = 3;
const STEP: f64 = 50.0;
const RATE: f64 = 100.0;
const BURST: f64 = 100.0;
const TENANTS: [&str; 2] = ["t", "u"];
/// One that was in touch with the core longer ago gives nothing out.
const FRESH: f64 = 3_500.0;
/// What a proxy uses that was never granted anything.
const START: f64 = 0.01;
/// What the rule allows beyond a tenth over the rate, in any window.
const RULE: f64 = MAX_TOTAL_SHARE * BURST + 20.0;
/// Plays of two minutes each.
const PLAYS: u64 = 60;

struct Proxy {
    rations: LeasedQuota,
    /// Its clock against the true time: how fast it goes, and where it began.
    pace: f64,
    began: f64,
    frozen_until: f64,
    report_at: f64,
    /// The epoch and holder that it knows of.
    holder: (u64, usize),
    cut_until: [f64; REGISTRIES],
    /// No news of another holder comes before.
    deaf_until: f64,
    demand: f64,
    life: u64,
    /// When it last reported, by its clock, and what it used then.
    last: (f64, u64, u64),
}

impl Proxy {
    fn clock(&self, now: f64) -> f64 {
        self.began + now * self.pace
    }
}

#[derive(Default)]
struct Registry {
    keeper: Option<QuotaAllocator>,
    /// The life that each proxy's last report here was of, and the number of its last grant.
    given: BTreeMap<usize, (u64, u64)>,
    taken: u64,
    /// The newest epoch that it knows of, and when it was last sure of that.
    known: u64,
    touched: f64,
    cut_until: f64,
    frozen_until: f64,
}

enum Message {
    Report { to: usize, from: usize, asked: f64, report: UsageReport },
    Grant { to: usize, life: u64, asked: f64, grant: QuotaGrant },
}

/// A clause that is left out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Planted {
    Nothing,
    /// Proxies take any grant: of an older epoch, or for a report before the last.
    OlderGrant,
    /// The keeper takes a grant for arrived as soon as the next report comes.
    FreedEarly,
    /// It takes another life for the one that lives now, though it may have ended long ago.
    AnyLife,
    /// It gives on for as long as it has not heard of another, however old that knowledge is.
    NoContact,
}

struct Play {
    rng: Rng,
    planted: Planted,
    now: f64,
    proxies: Vec<Proxy>,
    registries: Vec<Registry>,
    epoch: u64,
    under_way: Vec<(f64, Message)>,
    lives: u64,
    /// What was passed of each tenant and has not run off yet, at the rate that the rule allows.
    level: [f64; 2],
    worst: f64,
    known: BTreeMap<String, bool>,
    grants: u64,
    changes: u64,
    /// Of all that is sent, in the spelling of the wire, and of what was passed.
    digest: FnvHasher,
}

fn name(proxy: usize) -> String {
    format!("proxy-{proxy}")
}

impl Play {
    fn new(seed: u64, planted: Planted) -> Self {
        let mut rng = Rng::with_seed(seed);
        let proxies = (0..PROXIES).map(|n| Proxy {
            rations: LeasedQuota::new(n as u64 + 1),
            pace: 0.98 + 0.04 * rng.f64(),
            began: 1e6 * rng.f64(),
            frozen_until: 0.0,
            report_at: 600.0 * rng.f64(),
            holder: (1, 0),
            cut_until: [0.0; REGISTRIES],
            deaf_until: 0.0,
            demand: 3.0,
            life: n as u64 + 1,
            last: (0.0, 0, 0),
        });
        let proxies = proxies.collect();
        let mut registries: Vec<Registry> = (0..REGISTRIES).map(|_| Registry::default()).collect();
        registries[0].taken = 1;
        Self {
            rng,
            planted,
            now: 0.0,
            proxies,
            registries,
            epoch: 1,
            under_way: Vec::new(),
            lives: 100,
            level: [0.0; 2],
            worst: 0.0,
            known: (0..PROXIES).map(|n| (name(n), true)).collect(),
            grants: 0,
            changes: 0,
            digest: FnvHasher::default(),
        }
    }

    fn faults(&mut self) {
        let long = |rng: &mut Rng| 500.0 + 20_000.0 * rng.f64() * rng.f64();
        let (proxy, registry) = (self.rng.usize(..PROXIES), self.rng.usize(..REGISTRIES));
        let until = self.now + long(&mut self.rng);
        match self.rng.u32(..700) {
            0..=7 => self.proxies[proxy].cut_until[registry] = until,
            8..=10 => self.proxies[proxy].cut_until = [until; REGISTRIES],
            11..=13 => self.proxies[proxy].frozen_until = until,
            14..=17 => {
                self.lives += 1;
                self.proxies[proxy].rations = LeasedQuota::new(self.lives);
                self.proxies[proxy].life = self.lives;
                self.proxies[proxy].report_at = self.now;
            }
            18..=20 => self.registries[registry].cut_until = until,
            21..=23 => self.registries[registry].frozen_until = until,
            24..=27 => self.proxies[proxy].demand = [0.0, 1.0, 8.0][self.rng.usize(..3)],
            28..=30 => {
                // Another takes the duty, however the one before is: the stores never give an epoch twice.
                let one = &mut self.registries[registry];
                if self.now > one.cut_until && self.now > one.frozen_until {
                    self.epoch += 1;
                    self.changes += 1;
                    (one.taken, one.known, one.touched) = (self.epoch, self.epoch, self.now);
                }
            }
            31..=33 => self.proxies[proxy].deaf_until = until,
            _ => {}
        }
    }

    fn send(&mut self, message: Message) {
        let text = match &message {
            Message::Report { report, .. } => serde_json::to_string(report),
            Message::Grant { grant, .. } => serde_json::to_string(grant),
        };
        let text = text.expect("it can be written");
        self.digest.write(format!("{:.3} {:?} {text}\n", self.now, self.level).as_bytes());
        let copies = [1, 1, 1, 1, 1, 1, 1, 1, 2, 0][self.rng.usize(..10)];
        for _ in 0..copies {
            let late = if self.rng.u8(..12) == 0 { 20_000.0 * self.rng.f64().powi(3) } else { 120.0 };
            let at = self.now + self.rng.f64() * late;
            let message = match &message {
                Message::Report { to, from, asked, report } => {
                    Message::Report { to: *to, from: *from, asked: *asked, report: report.clone() }
                }
                Message::Grant { to, life, asked, grant } => {
                    Message::Grant { to: *to, life: *life, asked: *asked, grant: grant.clone() }
                }
            };
            self.under_way.push((at, message));
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.faults();
        let now = self.now;
        for registry in &mut self.registries {
            // It is in touch with the stores each second, and hears of the newest epoch by that.
            if now > registry.cut_until.max(registry.frozen_until) && self.rng.u8(..20) == 0 {
                (registry.touched, registry.known) = (now, self.epoch);
            }
        }
        for n in 0..PROXIES {
            self.proxy(n);
        }
        // Whoever stood still finds all at once, in any order.
        let mut due = Vec::new();
        let mut rest = Vec::new();
        for (at, message) in std::mem::take(&mut self.under_way) {
            let (proxy, registry, frozen) = match &message {
                Message::Report { to, from, .. } => (*from, Some(*to), self.registries[*to].frozen_until),
                Message::Grant { to, .. } => (*to, None, self.proxies[*to].frozen_until),
            };
            let cut = registry.is_some_and(|r| now <= self.proxies[proxy].cut_until[r]);
            if at > now || now <= frozen {
                rest.push((at, message));
            } else if cut && self.rng.bool() {
                // What was on its way when the cut came may still arrive when it is over.
                rest.push((self.proxies[proxy].cut_until[registry.unwrap_or(0)] + 100.0, message));
            } else if !cut {
                due.push(message);
            }
        }
        self.under_way = rest;
        self.rng.shuffle(&mut due);
        for message in due {
            match message {
                Message::Report { to, from, asked, report } => self.keep(to, from, asked, &report),
                Message::Grant { to, life, asked, grant } => self.take(to, life, asked, grant),
            }
            self.check();
        }
        self.check();
    }

    fn proxy(&mut self, n: usize) {
        let now = self.now;
        if now <= self.proxies[n].frozen_until {
            return;
        }
        let share = RATE * STEP / 1000.0 * self.proxies[n].demand;
        for (of, tenant) in TENANTS.iter().enumerate() {
            let wanted = if of == n % 2 { share } else { share / 4.0 };
            let wanted = wanted as u32 + u32::from(self.rng.f64() < wanted.fract());
            for _ in 0..wanted {
                let one = &mut self.proxies[n];
                let clock = one.clock(now);
                if one.rations.acquire(Timestamp::from_millis(clock), tenant, RATE, BURST).is_ok() {
                    self.level[of] += 1.0;
                }
            }
        }
        let epoch = self.epoch;
        let holder = self.registries.iter().position(|registry| registry.taken == epoch).unwrap_or(0);
        let one = &mut self.proxies[n];
        if now > one.deaf_until && self.rng.u8(..15) == 0 {
            one.holder = (epoch, holder);
        }
        if now >= one.report_at {
            one.report_at = now + 600.0;
            let asked = one.clock(now);
            let report = one.rations.report(Timestamp::from_millis(asked));
            one.last = (asked, report.epoch, report.number);
            let to = one.holder.1;
            self.send(Message::Report { to, from: n, asked, report });
        }
    }

    fn keep(&mut self, to: usize, from: usize, asked: f64, report: &UsageReport) {
        let now = self.now;
        let registry = &mut self.registries[to];
        let age = if self.planted == Planted::NoContact { 0.0 } else { now - registry.touched };
        if registry.taken < registry.known || registry.taken == 0 || age > FRESH {
            return;
        }
        let taken = registry.taken;
        if registry.keeper.as_ref().is_none_or(|keeper| keeper.epoch() != taken) {
            registry.keeper = Some(QuotaAllocator::new(Timestamp::from_millis(now), taken));
            registry.given.clear();
        }
        let Some(keeper) = &mut registry.keeper else { return };
        let (mut report, mut tell) = (report.clone(), |report: &UsageReport| {
            keeper.handle_report(Timestamp::from_millis(now), age, &name(from), report, &self.known, |_| RATE)
        });
        match (self.planted, registry.given.get(&from)) {
            (Planted::FreedEarly, Some((life, number))) if *life == report.incarnation => {
                (report.epoch, report.number) = (taken, *number);
            }
            (Planted::AnyLife, Some((life, _))) if *life != report.incarnation => {
                let first = tell(&report);
                (report.epoch, report.number) = (taken, first.map_or(0, |grant| grant.number));
            }
            _ => {}
        }
        if let Some(grant) = tell(&report) {
            self.grants += 1;
            registry.given.insert(from, (report.incarnation, grant.number));
            self.send(Message::Grant { to: from, life: report.incarnation, asked, grant });
        }
    }

    fn take(&mut self, to: usize, life: u64, mut asked: f64, mut grant: QuotaGrant) {
        let one = &mut self.proxies[to];
        // An answer to a life that has ended reaches nobody.
        if one.life != life {
            return;
        }
        if self.planted == Planted::OlderGrant {
            let (last, epoch, number) = one.last;
            asked = last;
            grant.epoch = grant.epoch.max(epoch);
            grant.number = grant.number.max(number + 1);
        }
        one.rations.handle_grant(Timestamp::from_millis(asked), grant);
    }

    fn check(&mut self) {
        let now = self.now;
        for tenant in TENANTS {
            let part = |proxy: &Proxy| proxy.rations.share(Timestamp::from_millis(proxy.clock(now)), tenant);
            let sum: f64 = self.proxies.iter().map(part).sum();
            self.worst = self.worst.max(sum - START * PROXIES as f64);
        }
    }
}

/// The highest sum of parts in a play beyond what is never granted, grants given, and changes of the keeper.
fn play(seed: u64, planted: Planted) -> (f64, u64, u64) {
    let played = played(seed, planted);
    (played.worst, played.grants, played.changes)
}

fn played(seed: u64, planted: Planted) -> Play {
    let mut play = Play::new(seed, planted);
    for _ in 0..2_400 {
        play.step();
        for level in &mut play.level {
            *level = (*level - MAX_TOTAL_SHARE * RATE * STEP / 1000.0).max(0.0);
            assert!(planted != Planted::Nothing || *level <= RULE, "seed {seed}: {level} at {}", play.now);
        }
    }
    play
}

/// What is reported, granted and passed over plays from 1,000 on; a change of names or shape leaves it as it is.
const DIGEST: u64 = 0x9f05_644f_fba0_bf70;

#[test]
fn decisions_on_shares_keep_their_digest() {
    let digest = (1_000..1_020)
        .fold(0_u64, |all, seed| all.rotate_left(7) ^ played(seed, Planted::Nothing).digest.finish());
    assert_eq!(digest, DIGEST, "{digest:#018x}");
}

#[test]
fn shares_never_exceed_the_quota_across_allocator_changes() {
    let (mut grants, mut changes) = (0, 0);
    // And one in which a keeper read the newer of two reports first, found by a longer run.
    for seed in (0..PLAYS).chain([792]) {
        let (worst, given, changed) = play(seed, Planted::Nothing);
        assert!(worst <= MAX_TOTAL_SHARE + 1e-6, "seed {seed}: {worst}");
        (grants, changes) = (grants + given, changes + changed);
    }
    assert!(grants > 500 * PLAYS && changes > 5 * PLAYS, "{grants} grants, {changes} changes");
}

#[test]
fn each_rule_left_out_exceeds_the_quota() {
    for planted in [Planted::OlderGrant, Planted::FreedEarly, Planted::AnyLife, Planted::NoContact] {
        let found = (0..PLAYS).find(|seed| play(*seed, planted).0 > MAX_TOTAL_SHARE + 1e-6);
        println!("{planted:?} is found by play {found:?}");
        assert!(found.is_some(), "{planted:?}");
    }
}
