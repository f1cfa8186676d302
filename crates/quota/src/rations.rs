//! One proxy's side: what it may pass of each tenant's quota on its own.
//!
//! The ordinary path keeps no record of a tenant: a count-min sketch adds up what was passed of each within about a
//! window, and whoever stays within its even slice passes freely. A tenant whose estimate passes its slice is flagged
//! heavy: it gets an exact record, its demand is told to the keeper, and it passes by a store that fills at its part.

use crate::{Grant, Millis, Report, LAPSED, LEASE, SLACK};
use ivygate_gateway::CountMinSketch;
use std::collections::BTreeMap;

/// What a proxy passes of a tenant before its first grant, as a part of the quota.
const START: f64 = 0.01;
/// Rows of the sketch: four independent hashes make a full collision of two tenants negligible.
const ROWS: usize = 4;
/// Counters in a row: many times the tenants that ask one proxy within a window.
const COLUMNS: usize = 2048;
/// Two sketches take turns every half window; together they hold between a half and a whole one.
const HALF: Millis = 500.0;
/// The even slice, as a part of what a tenant may have passed here in a window: a window of the sketch may hold only half
/// of what was passed in a whole one.
const SLICE: f64 = 0.5;
/// A store of fewer requests than this is thin.
const THIN: f64 = 3.0;
/// Time in which what was asked loses most of its say in the demand that is told, in seconds: reports come at uneven
/// times, and few requests fall between two.
const MEMORY: f64 = 2.0;
/// So many requests between two reports are a rise.
const RISE: f64 = 8.0;
/// A tenant of which nothing was heard for this long is forgotten.
const FORGET: Millis = 30_000.0;
/// Most tenants that are kept; beyond that the ones longest silent go first.
const MOST: usize = 60_000;
/// Longest advice to stay away.
const WAIT_MOST: Millis = 6_000.0;
/// How long a tenant's requests are told to stay away for each time over that all proxies are asked what may pass.
const OVERRUN: Millis = 2_000.0;

#[derive(Clone, Debug)]
struct Ration {
    /// The part granted; `None` for that of all others.
    part: Option<f64>,
    /// Requests that may pass now.
    store: f64,
    at: Millis,
    asked: f64,
    sent: f64,
    asked_per_s: f64,
    sent_per_s: f64,
    percent: f64,
    reports: f64,
    seen: Millis,
}

/// All rations of one proxy.
#[derive(Clone, Debug)]
pub struct Rations {
    life: u64,
    epoch: u64,
    number: u64,
    other: f64,
    proxies: f64,
    /// When the grant in use was asked for.
    granted: Option<Millis>,
    reported: Option<Millis>,
    /// What was passed of late, by tenant.
    passed: [CountMinSketch; 2],
    rotate_at: Millis,
    /// Those that are flagged heavy.
    tenants: BTreeMap<String, Ration>,
}

impl Rations {
    /// None was granted yet; `life` differs between lives of the proxy.
    pub fn new(life: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(life);
        let mut sketch = || CountMinSketch::new((0..ROWS).map(|_| rng.u64(..)).collect(), COLUMNS);
        Self {
            life,
            epoch: 0,
            number: 0,
            other: START,
            proxies: f64::INFINITY,
            granted: None,
            reported: None,
            passed: [sketch(), sketch()],
            rotate_at: f64::NEG_INFINITY,
            tenants: BTreeMap::new(),
        }
    }

    /// The part of a tenant's quota in force now.
    pub fn part(&self, now: Millis, tenant: &str) -> f64 {
        let part = self.tenants.get(tenant).and_then(|ration| ration.part).unwrap_or(self.other);
        part * self.in_force(now)
    }

    /// How much of what was granted may be used now: half when the lease has run out.
    fn in_force(&self, now: Millis) -> f64 {
        match self.granted {
            Some(at) if now > at + LEASE => LAPSED,
            _ => 1.0,
        }
    }

    /// Whether this proxy's part of a tenant's quota stores so few requests that chance alone would refuse many.
    pub fn is_thin(&self, now: Millis, tenant: &str, burst: f64) -> bool {
        self.part(now, tenant) * burst + SLACK / self.proxies < THIN
    }

    /// Whether a request may pass, which it then does; else how long to stay away.
    ///
    /// # Errors
    /// The time after which one more would pass.
    pub fn take(&mut self, now: Millis, tenant: &str, rate: f64, burst: f64) -> Result<(), Millis> {
        let part = self.part(now, tenant);
        // A store that holds no whole request would never let one pass.
        let most = (part * burst + SLACK / self.proxies).max(1.0);
        if !self.tenants.contains_key(tenant) {
            let passed = self.passed_of_late(now, tenant);
            if passed + 1.0 <= SLICE * part * burst.min(rate) {
                self.passed[0].add(tenant, 1.0);
                return Ok(());
            }
            self.make_room();
            let ration = Ration {
                part: None,
                // A life before this one may have used all up.
                store: if self.granted.is_some() { (most - passed).max(0.0) } else { 0.0 },
                at: now,
                asked: passed,
                sent: passed,
                asked_per_s: 0.0,
                sent_per_s: 0.0,
                percent: 0.0,
                reports: 0.0,
                seen: now,
            };
            self.tenants.insert(tenant.to_owned(), ration);
        }
        let Some(ration) = self.tenants.get_mut(tenant) else { return Err(WAIT_MOST) };
        ration.seen = now;
        ration.asked += 1.0;
        let gain = part * rate * (now - ration.at).max(0.0) / 1000.0;
        ration.store = (ration.store + gain).min(most);
        ration.at = now;
        if ration.store < 1.0 {
            let wait = 1000.0 * (1.0 - ration.store) / (part * rate).max(1e-9);
            // Where much more is asked than may pass, whoever comes back at once is refused once more.
            let beyond = OVERRUN * (ration.percent / 100.0 - 1.0);
            return Err(wait.max(beyond).clamp(1.0, WAIT_MOST));
        }
        ration.store -= 1.0;
        ration.sent += 1.0;
        Ok(())
    }

    /// What was passed of a tenant within about a window, and perhaps some of others.
    fn passed_of_late(&mut self, now: Millis, tenant: &str) -> f64 {
        if now >= self.rotate_at {
            if now >= self.rotate_at + HALF {
                self.passed[0].clear();
            }
            self.passed.swap(0, 1);
            self.passed[0].clear();
            self.rotate_at = now + HALF;
        }
        self.passed[0].estimate(tenant) + self.passed[1].estimate(tenant)
    }

    /// A request that was let pass went nowhere.
    pub fn give_back(&mut self, tenant: &str) {
        if let Some(ration) = self.tenants.get_mut(tenant) {
            ration.store += 1.0;
            ration.sent -= 1.0;
        }
    }

    fn make_room(&mut self) {
        if self.tenants.len() >= MOST {
            let mut seen: Vec<Millis> = self.tenants.values().map(|r| r.seen).collect();
            let middle = seen.len() / 2;
            let (_, middle, _) = seen.select_nth_unstable_by(middle, f64::total_cmp);
            let middle = *middle;
            self.tenants.retain(|_, r| r.seen > middle);
        }
    }

    /// What all proxies are asked of a tenant in percent of its rate, by the last grant.
    pub fn percent(&self, tenant: &str) -> f64 {
        self.tenants.get(tenant).map_or(0.0, |ration| ration.percent)
    }

    /// What is told to the keeper now.
    pub fn report(&mut self, now: Millis) -> Report {
        let in_force = self.in_force(now);
        let passed = self.reported.replace(now).map_or(500.0, |at| (now - at).max(1.0)) / 1000.0;
        // One with a part of its own would fall back to what all others have: only a grant may drop it.
        self.tenants.retain(|_, r| r.part.is_some() || now < r.seen + FORGET);
        let weight = 1.0 - (-passed / MEMORY).exp();
        let mut tenants = BTreeMap::new();
        for (name, ration) in &mut self.tenants {
            let count = std::mem::take(&mut ration.asked);
            let (asked, sent) = (count / passed, std::mem::take(&mut ration.sent).max(0.0) / passed);
            // The first reports of a tenant are all that is known of it.
            ration.reports += 1.0;
            let weight = weight.max(1.0 / ration.reports);
            ration.asked_per_s += weight * (asked - ration.asked_per_s);
            // A rise that is no chance is told at once; one request in a short time is no rise.
            if count >= RISE {
                ration.asked_per_s = ration.asked_per_s.max(asked);
            }
            ration.sent_per_s += weight * (sent - ration.sent_per_s);
            let round = |v: f64| (v * 100.0).round() / 100.0;
            // A keeper that knows nothing of it yet must not renew what another may have given away meanwhile.
            let part = ration.part.unwrap_or(self.other) * in_force;
            tenants.insert(name.clone(), (round(ration.asked_per_s), round(ration.sent_per_s), part));
        }
        let other = self.other * in_force;
        Report { life: self.life, epoch: self.epoch, number: self.number, other, tenants }
    }

    /// A grant has come, for the report that was made at `asked`. Only the answer to the last report counts: what was
    /// told since, perhaps to another keeper, rests on what was in use then.
    ///
    /// Tells whether it is the first of its keeper, which is to hear at once that it is in use: until all have said so,
    /// that one can't tell what an earlier keeper gave, and gives nobody more.
    pub fn granted(&mut self, asked: Millis, grant: Grant) -> bool {
        if self.reported != Some(asked) {
            return false;
        }
        let newer = grant.epoch > self.epoch || (grant.epoch == self.epoch && grant.number > self.number);
        if !newer {
            return false;
        }
        let first = grant.epoch > self.epoch;
        (self.epoch, self.number, self.other) = (grant.epoch, grant.number, grant.other);
        self.proxies = f64::from(grant.proxies.max(1));
        self.granted = Some(self.granted.map_or(asked, |at| at.max(asked)));
        for (name, ration) in &mut self.tenants {
            match grant.tenants.get(name) {
                Some((part, percent)) => (ration.part, ration.percent) = (Some(*part), *percent),
                None => (ration.part, ration.percent) = (None, 0.0),
            }
        }
        for (name, (part, percent)) in grant.tenants {
            self.tenants.entry(name).or_insert(Ration {
                part: Some(part),
                store: 1.0,
                at: asked,
                asked: 0.0,
                sent: 0.0,
                asked_per_s: 0.0,
                sent_per_s: 0.0,
                percent,
                reports: 0.0,
                seen: asked,
            });
        }
        first
    }
}
