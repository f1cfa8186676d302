//! All decisions of a gateway. Its settings, events, actions and outcomes are in `src/interface.rs`.
//!
//! Order: constants, ordinary path of a quota, exceptions to it, servers, attempts, housekeeping.

use crate::interface::*;
use crate::settings::{check, SettingsError};
use crate::sketch::CountMinSketch;
use crate::state::{Attempt, AttemptState, Customer, Request, Server};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Rows of a sketch: four independent hashes make a full collision of two customers negligible.
const SKETCH_ROWS: usize = 4;
/// Counters in a row: many times the customers active within one window of one gateway.
const SKETCH_COLUMNS: usize = 2048;
/// Bounds on the even parts of its requests that a gateway is first taken to get: one over the cost of an
/// excess, since refusing within the quota costs one. The dearer the error, the less is let through unknown.
const BURST_PART: (f64, f64) = (0.8, 1.6);
/// Share that a customer starts with where even slices are smaller than a request: what passes before the
/// first reading is beyond every slice, at each gateway anew. Refused clients ask others, and get through.
const FIRST_SHARE: f64 = 0.38;
/// Least share: with none passing no reading would come back, and an excess that other gateways send
/// would cut this one's part to nothing.
const SHARE_LEAST: f64 = 0.05;
/// Weight of one reading in the part of a customer's use that is this gateway's: some periods.
const PART_WEIGHT: f64 = 0.25;
/// How long a meter reading is believed, in milliseconds: some periods and a late report.
const READING_LIFE: Millis = 6_000.0;
/// And at the least for as many of this gateway's even units at the full rate.
const READING_REQUESTS: f64 = 3.0;
/// Age of a metered period's end when its reading arrives, in milliseconds: a usual reporting delay.
const READING_LAG: Millis = 800.0;
/// A changed reading is a new period's only after this part of a period; answers may overtake each other.
const READING_SPACING: f64 = 0.5;
/// Part of an aim that an unmeasured request is taken to need on an idle server.
const FIRST_WORK: f64 = 0.1;
/// How many answers that guess is worth, and the one that a server is as quick as others: one unusually long
/// request must not close a gateway.
const FIRST_ANSWERS: f64 = 4.0;
/// Weight of one answer in a class's learned work; some seconds of traffic.
const WORK_WEIGHT: f64 = 0.04;
/// Weight of one answer in a server's learned pace; a slow server shows within some twenty answers.
const PACE_WEIGHT: f64 = 0.05;
/// Time in which what time-outs taught of a server's pace loses most of its say, in shortest aims. They come
/// with faults, and a server that is not asked for them shows nothing better: it would be left for ever.
const SLOWED_LIFE: f64 = 4.0;
/// Weight of one report in what other gateways keep on a server; reports are noisy.
const REPORT_WEIGHT: f64 = 0.5;
/// Weight of one answer in the waiting seen at a server: some answers.
const WAITED_WEIGHT: f64 = 0.2;
/// Part of a mean request's work by which it is cut: requests differ in work, and a long one is no queue.
const WAITED_NOISE: f64 = 2.0;
/// Time in which waiting seen loses most of its say, in shortest aims: as queues drain.
const WAITED_LIFE: f64 = 1.5;
/// Weight of one request in the own attempts that it finds out, from which those of others are guessed:
/// of many gateways each keeps less than one out, and the one of the moment is no sign of a crowd.
const OUT_WEIGHT: f64 = 0.05;
/// Time in which a report loses most of its say, in shortest aims. A gateway that refuses hears no more
/// reports: without this, one bad report would keep it refusing.
const REPORT_LIFE: f64 = 0.8;
/// Slowing of a request by each other one on its server, as a part of its own work.
const CROWDING: f64 = 0.45;
/// Random part of a server's cost, so that gateways with the same news do not all choose the same one.
const SCATTER: f64 = 0.15;
/// Part of what is left of its own aim that a request's expected wait may take.
const ROOM: f64 = 0.7;
/// Part of the shortest aim of all classes that the queue may take before a request of mean worth for
/// work: a class with a long aim would else fill queues that starve the others.
const QUEUE_ROOM: f64 = 0.25;
/// Bounds on the factor that worth for work puts on QUEUE_ROOM: cheap requests are refused first, and with
/// them those beyond a quota that still pay.
const QUEUE_FACTOR: (f64, f64) = (0.4, 2.0);
/// One over the own attempts out for each server from which on QUEUE_FACTOR has its full say: with fewer a
/// gateway mostly knows nothing of the queue at the server that it chooses.
const SIGHT: f64 = 4.0;
/// Queue that every request may join, in works of a mean request. Where work is long against
/// the shortest aim, QUEUE_ROOM comes to less than one request's: one that is only guessed to be at each
/// server would then refuse all cheap work, on an idle fleet too.
const QUEUE_LEAST: f64 = 1.0;
/// Part of what is left of the aim after which a refused request may come back.
const COMEBACK: f64 = 0.25;
/// Weight of one request in the mean worth for work.
const VALUE_WEIGHT: f64 = 0.01;
/// How many aims a crossing of zones at full price is worth.
const ZONE_TIME: f64 = 2.0;
/// An attempt is overdue after this many times its expected wait ...
const OVERDUE: f64 = 5.0;
/// ... but not before this part of what is left of the aim.
const OVERDUE_LEAST: f64 = 0.6;
/// Weight of one attempt in the part of those to a zone that fail: a lost or cut zone shows long before each
/// of its servers has failed here. It fades in the longest time of an ejection.
const ZONE_WEIGHT: f64 = 0.3;
/// Failures in a row that eject a server which was answering until now.
const FAILURES: u32 = 2;
/// First time for which a server is left alone after failing, in shortest aims; doubles up to the last.
const BLOCK_FIRST: f64 = 0.4;
const BLOCK_LAST: f64 = 3.0;
/// How long a server that turned a request away is left alone, in shortest aims: some services.
const BLOCK_FULL: f64 = 0.12;
/// Part of the work that a cold server may be sent before it falls over which is used: work varies.
const COLD_SAFETY: f64 = 0.75;
/// Part of a window's allowance for a cold server that may be sent at once; the window itself adds one more.
const COLD_BURST: f64 = 0.33;
/// Period of housekeeping, in milliseconds.
const TICK: Millis = 20.0;
/// Shortest time between two log lines, in milliseconds.
const LOG_PERIOD: Millis = 5_000.0;
/// Period of pruning, in milliseconds.
const SWEEP: Millis = 1_000.0;
/// Time kept before a deadline or an aim for the way back, in milliseconds.
const MARGIN: Millis = 2.0;

/// What is counted and learned for a plan.
struct PlanView {
    /// Units sent on, in two sketches that take turns: together about a window.
    sent: [CountMinSketch; 2],
    rotate_at: Millis,
    /// Attempts out.
    out: CountMinSketch,
}

/// What is learned of a class.
#[derive(Clone, Copy, Default)]
struct ClassView {
    /// Work of one unit on an idle server, by this many answers.
    unit_work: Millis,
    answers: f64,
}

/// The decisions of one gateway.
pub struct Gateway {
    settings: Settings,
    rng: fastrand::Rng,
    now: Millis,
    born: Option<Millis>,
    zone: Arc<str>,
    servers: BTreeMap<ServerId, Server>,
    /// Servers that take requests, one at the least; counted when the list changes, for it is asked often.
    ready: f64,
    /// Part of the attempts to each zone that got no connection of late, and when the last one ended.
    zones: BTreeMap<Arc<str>, (f64, Millis)>,
    /// What others advise on zones.
    advice: Arc<[ZoneAdvice]>,
    requests: BTreeMap<RequestId, Request>,
    customers: BTreeMap<Arc<str>, Customer>,
    plans: Vec<PlanView>,
    classes: Vec<ClassView>,
    /// Requests that may get a second copy, by the time it is due (in whole microseconds).
    hedges: BTreeSet<(u64, RequestId)>,
    retries: f64,
    mean_value: f64,
    /// Own attempts out, as found by requests of late.
    usual_out: f64,
    /// Mean work of a request on an idle server.
    mean_work: Millis,
    /// Shortest aim of all classes: the measure of how quickly queues come and go.
    shortest_aim: Millis,
    sweep_at: Millis,
    /// The next tick asked for.
    tick_at: Millis,
    /// Refused since the last log line: beyond quota, at the ceiling, for want of room.
    refused: [u32; 3],
    log_at: Millis,
}

/// How a request stands to its quota.
#[derive(Clone, Copy, PartialEq)]
enum Standing {
    Within,
    Beyond,
    /// Would pass the ceiling.
    Barred,
}

impl Gateway {
    /// A gateway that knows its settings and nothing else.
    ///
    /// # Errors
    /// If the settings cannot be acted on; the error says which.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        check(&settings)?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut sketch =
            || CountMinSketch::new((0..SKETCH_ROWS).map(|_| rng.u64(..)).collect(), SKETCH_COLUMNS);
        let plans = settings
            .plans
            .iter()
            .map(|_| PlanView { sent: [sketch(), sketch()], rotate_at: f64::NEG_INFINITY, out: sketch() })
            .collect();
        let retries = if settings.retries.all { 0.0 } else { settings.retries.store };
        let shortest_aim = settings.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        Ok(Self {
            zone: settings.zone.as_str().into(),
            classes: vec![ClassView::default(); settings.classes.len()],
            plans,
            settings,
            rng,
            now: f64::NEG_INFINITY,
            born: None,
            servers: BTreeMap::new(),
            ready: 1.0,
            zones: BTreeMap::new(),
            advice: Arc::new([]),
            requests: BTreeMap::new(),
            customers: BTreeMap::new(),
            hedges: BTreeSet::new(),
            retries,
            mean_value: 0.0,
            usual_out: 0.0,
            mean_work: 0.0,
            shortest_aim,
            sweep_at: f64::NEG_INFINITY,
            tick_at: f64::INFINITY,
            refused: [0; 3],
            log_at: f64::NEG_INFINITY,
        })
    }

    /// Takes in one event and adds what is to be done to `actions`, in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        // Guards against a clock that steps back: stores must not lose or gain by it.
        self.now = self.now.max(now);
        if self.born.is_none() {
            self.born = Some(self.now);
            if self.settings.list_on_request {
                actions.push(Action::Subscribe);
            }
        }
        match event {
            Event::Advice { zones } => {
                self.advice = zones;
                self.count_ready();
            }
            Event::Class(class) => self.learn_of(class),
            Event::Retries(retries) => {
                self.settings.retries = retries;
                self.retries = self.retries.min(retries.store);
            }
            Event::List { kind, members } => self.list(kind, &members, actions),
            Event::Arrival(arrival) => self.arrive(arrival, actions),
            Event::Done(done) => self.done(&done, actions),
            Event::Probed { server, outcome, load } => self.probed(server, outcome, load),
            Event::StreamStarted { request, .. } => {
                if let Some(request) = self.requests.get_mut(&request) {
                    request.streaming = true;
                }
            }
            Event::ClientGone { request } => self.close(&request, actions),
            Event::Timer { token: 0 } => self.tick(actions),
            Event::Timer { token: 1 } if self.settings.list_on_request => actions.push(Action::Subscribe),
            Event::Timer { .. } => {}
        }
        self.ask_for_tick(actions);
    }

    /// Takes in a class; what was learned of one that it replaces still holds.
    fn learn_of(&mut self, class: Class) {
        match self.settings.classes.iter_mut().find(|c| c.name == class.name) {
            Some(known) => *known = class,
            None => {
                self.settings.classes.push(class);
                self.classes.push(ClassView::default());
            }
        }
        let aims = self.settings.classes.iter().map(|c| c.aim);
        self.shortest_aim = aims.fold(f64::INFINITY, f64::min);
    }

    // The ordinary path: sketch, even slice, share.

    /// Units of a customer sent on by this gateway within about a window, and perhaps some of others.
    fn sent_of_late(&mut self, plan: usize, customer: &str) -> f64 {
        let (limits, view) = (&self.settings.plans[plan], &mut self.plans[plan]);
        // Two sketches that take turns every half window hold between a half and a whole one.
        let half = 500.0 * limits.burst / limits.rate;
        if self.now >= view.rotate_at {
            if self.now >= view.rotate_at + half {
                view.sent[0].clear();
            }
            view.sent.swap(0, 1);
            view.sent[0].clear();
            view.rotate_at = self.now + half;
        }
        view.sent[0].estimate(customer) + view.sent[1].estimate(customer)
    }

    /// How a request of `units` stands to its customer's quota.
    fn standing(&mut self, plan: usize, arrival: &Arrival) -> Standing {
        let limits = self.settings.plans[plan].clone();
        let width = f64::from(arrival.width);
        let key = &arrival.customer;
        let mut standing = Standing::Within;
        if limits.open > 0 && self.plans[plan].out.estimate(key) >= open_slice(&limits, width) {
            standing = Standing::Beyond;
        }
        let sent = if limits.rate > 0.0 { self.sent_of_late(plan, key) } else { 0.0 };
        let slice = limits.burst / width;
        let heavy = limits.rate > 0.0 && sent + arrival.units > slice;
        // Only flagged customers and those under a ceiling have an exact record: scans must not fill memory.
        if heavy || limits.ceiling_rate > 0.0 {
            self.customer(plan, key, width, sent);
        }
        let now = self.now;
        let Some(customer) = self.customers.get_mut(key) else { return standing };
        customer.seen_at = now;
        customer.fill(now, &limits);
        if limits.rate > 0.0 && (heavy || now < customer.flagged_until) {
            let told_at = customer.reading.map_or(customer.made_at, |(at, _)| at);
            let known = customer.reading.is_some() || customer.share < 1.0;
            if known && now > told_at + reading_life(&limits, width) {
                customer.reading = None;
                customer.set_share(now, 1.0);
            }
            // Exception, sudden burst: what this gateway alone sent beyond rate and burst is beyond the
            // quota whatever the others sent; it acts before the meter says so.
            if customer.own < arrival.units.min(limits.burst) {
                standing = Standing::Beyond;
            } else if standing == Standing::Within {
                customer.credit = (customer.credit + customer.share).min(1.5);
                if customer.credit < 1.0 {
                    standing = Standing::Beyond;
                }
            }
        }
        // Rule five: this gateway's part of the ceiling alone, so that no other needs to be asked.
        if limits.ceiling_rate > 0.0 && customer.ceiling < arrival.units {
            standing = Standing::Barred;
        }
        standing
    }

    /// The exact record of a customer, made if there is none.
    fn customer(&mut self, plan: usize, key: &Arc<str>, width: f64, sent: f64) -> &mut Customer {
        let (now, born) = (self.now, self.born.unwrap_or(self.now));
        let limits = &self.settings.plans[plan];
        let small = limits.burst < width;
        let (share, credit) = if small { (FIRST_SHARE, self.rng.f64()) } else { (1.0, 0.0) };
        let part = ((1.0 / limits.excess_cost).clamp(BURST_PART.0, BURST_PART.1) / width).min(1.0);
        self.customers.entry(key.clone()).or_insert_with(|| Customer {
            plan,
            width,
            flagged_until: f64::NEG_INFINITY,
            share,
            credit,
            shares: VecDeque::new(),
            mirror: (limits.burst - sent).max(0.0),
            part,
            own: (limits.burst - sent / part).max(0.0),
            own_at: now,
            unmetered: 0.0,
            own_use: part * limits.rate,
            metered_use: limits.rate,
            reading: None,
            made_at: now,
            // An earlier life of this gateway may have emptied its part just before this one began.
            ceiling: (limits.ceiling_burst / width).min((now - born) / 1000.0 * limits.ceiling_rate / width),
            ceiling_at: now,
            seen_at: now,
        })
    }

    /// Counts a request when it is first sent on.
    fn count(&mut self, plan: usize, key: &Arc<str>, units: f64, within: bool) {
        self.plans[plan].sent[0].add(key, units);
        if let Some(customer) = self.customers.get_mut(key) {
            customer.ceiling -= units;
            if within {
                customer.own -= units / customer.part;
                customer.unmetered += units;
                customer.credit = (customer.credit - 1.0).max(0.0);
            }
        }
    }

    /// A reading of the meter: all gateways' use in the last period, in percent of the rate.
    fn read_meter(&mut self, plan: usize, key: &Arc<str>, width: f64, percent: f64) {
        let Some(period) = self.settings.meter_period else { return };
        let limits = self.settings.plans[plan].clone();
        if limits.rate <= 0.0 {
            return;
        }
        let now = self.now;
        // Exception, excess spread under every slice: only the meter sees it.
        if percent > 100.0 && !self.customers.contains_key(key) {
            let sent = self.sent_of_late(plan, key);
            self.customer(plan, key, width, sent);
        }
        let Some(customer) = self.customers.get_mut(key) else { return };
        let elapsed = match customer.reading {
            Some((at, last)) => {
                let age = now - at;
                let fresh = age >= period || (last != percent && age >= READING_SPACING * period);
                if !fresh {
                    return;
                }
                age.min(READING_LIFE)
            }
            None => period,
        };
        let (first, small) = (customer.reading.is_none(), limits.burst < customer.width);
        customer.reading = Some((now, percent));
        let metered = percent / 100.0 * limits.rate * elapsed / 1000.0;
        let keep = 1.0 - PART_WEIGHT;
        customer.own_use = keep * customer.own_use + customer.unmetered;
        customer.metered_use = keep * customer.metered_use + metered;
        customer.part =
            (customer.own_use / customer.metered_use.max(f64::MIN_POSITIVE)).clamp(0.5 / customer.width, 1.0);
        customer.unmetered = 0.0;
        let gain = limits.rate * elapsed / 1000.0 * (1.0 - percent / 100.0);
        customer.mirror = (customer.mirror + gain).clamp(0.0, limits.burst);
        let empty = customer.mirror < 1.0;
        if percent > 100.0 && empty {
            customer.flagged_until = now + reading_life(&limits, customer.width);
        }
        if percent <= 100.0 || empty {
            // A reading is late: it speaks of the share then in force, and must not cut the next one again.
            let metered_at = now - READING_LAG - period / 2.0;
            let share = customer.shares.iter().rev().find(|(since, _)| *since <= metered_at);
            let share = share.or(customer.shares.front()).map_or(1.0, |(_, share)| *share);
            let cut = 100.0 / percent.max(1.0);
            // Gateways that have heard nothing yet pass what this one is told of: it makes up for one more.
            let cut = if first && small { cut.min(cut * cut) } else { cut };
            customer.set_share(now, (share * cut).clamp(SHARE_LEAST, 1.0));
        }
    }

    // Servers.

    fn list(&mut self, kind: ListKind, members: &[Member], actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            if self.settings.list_on_request {
                actions.push(Action::Timer { token: 1, at: self.now + SWEEP });
            }
            return;
        }
        if kind == ListKind::Full {
            let named: BTreeSet<ServerId> = members.iter().map(|m| m.server).collect();
            for (id, server) in &mut self.servers {
                if !named.contains(id) {
                    server.state = ServerState::Gone;
                }
            }
        }
        for member in members {
            let now = self.now;
            let server = self.servers.entry(member.server).or_insert_with(|| Server::new(member, now));
            server.state = member.state;
            server.weight = member.weight;
            server.cell = member.cell;
            server.detour = member.detour;
            server.fence = member.fence;
            if member.started != server.started {
                // A restarted process is a new server: nothing learned of the old one holds.
                let out = std::mem::take(&mut server.out);
                *server = Server { out, ..Server::new(member, now) };
            }
        }
        self.count_ready();
    }

    fn count_ready(&mut self) {
        let ready = self.servers.values().filter(|s| s.state == ServerState::Ready && !self.is_left(s));
        self.ready = f64::max(ready.count() as f64, 1.0);
    }

    /// Whether nothing may go to a server's zone: what hangs there is no crowd elsewhere.
    fn is_left(&self, server: &Server) -> bool {
        self.advice.iter().any(|a| a.zone == server.zone && a.safe.max(a.other) <= 0.0)
    }

    /// Present part of a server's capacity, at the least.
    fn warmth(&self, server: &Server) -> f64 {
        let age = server.started.map_or(f64::INFINITY, |t| (self.now - t).max(0.0));
        if age >= self.settings.warm_after {
            return 1.0;
        }
        let from = self.settings.cold_from;
        from + (1.0 - from) * age / self.settings.warm_after
    }

    /// Rule four, by this gateway alone: fills the stores of work that it may send to cold servers, its even
    /// part of what they can take, each taken to serve one request at a time, as every server can at least.
    fn fill_cold_stores(&mut self, work: Millis) {
        for id in self.servers.keys().copied().collect::<Vec<_>>() {
            let server = &self.servers[&id];
            let rate = COLD_SAFETY * self.settings.fall_multiple * self.warmth(server)
                / f64::from(self.settings.gateways);
            let burst = COLD_BURST * rate * self.settings.fall_window;
            // A store starts anywhere: gateways told together must not all send their first at once.
            let start = if server.cold_store.is_none() { self.rng.f64() * (burst + work) } else { 0.0 };
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let store = server.cold_store.unwrap_or(start) + rate * (self.now - server.cold_at).max(0.0);
            // What fills to less than a request in a window lapses unless it is used within one: the full
            // stores of many gateways would else add up, and be spent at once when traffic gathers.
            let store = if burst < work { store % (burst + work) } else { store.min(burst) };
            (server.cold_store, server.cold_at) = (Some(store), self.now);
        }
    }

    /// Expected work of a request on an idle server of the fleet.
    fn work(&self, class: usize, units: f64) -> Millis {
        let (view, first) = (&self.classes[class], &self.settings.classes[class]);
        let first = first.first_work.unwrap_or(FIRST_WORK * first.aim);
        (FIRST_ANSWERS * first + view.answers * view.unit_work * units) / (FIRST_ANSWERS + view.answers)
    }

    /// Requests that other gateways are taken to keep on each server: as many as this one.
    fn unreported(&self) -> f64 {
        self.usual_out / self.ready * f64::from(self.settings.gateways - 1)
    }

    /// Requests thought to be on a server.
    fn crowd(&self, server: &Server, unreported: f64) -> f64 {
        let told = (-(self.now - server.reported_at) / (REPORT_LIFE * self.shortest_aim)).exp();
        let others = unreported + told * (server.others - unreported);
        server.out.len() as f64 + others
    }

    /// The server with the least expected wait, that wait and the queue in it;
    /// `None` if no server may be used.
    fn pick(&mut self, request: &Request) -> Option<(ServerId, Millis, Millis)> {
        let work = self.work(request.class, request.units);
        self.fill_cold_stores(work);
        let class = &self.settings.classes[request.class];
        let zone_time = ZONE_TIME * self.settings.cross_zone_price * class.aim;
        let out: usize = self.servers.values().filter(|s| !self.is_left(s)).map(|s| s.out.len()).sum();
        self.usual_out += OUT_WEIGHT * (out as f64 - self.usual_out);
        let (unreported, aim) = (self.unreported(), self.shortest_aim);
        // One lot for all zones: a part of the requests stays away from one, not of the looks at its servers.
        let lot = if self.advice.is_empty() { 0.0 } else { self.rng.f64() };
        let part = |a: &ZoneAdvice| if class.effect == Effect::Safe { a.safe } else { a.other };
        let mut best: Option<(f64, ServerId, Millis, Millis)> = None;
        let mut last_resort: Option<(Millis, ServerId, Millis, Millis, bool)> = None;
        let mut healthy = false;
        let now = self.now;
        let fenced = |s: &mut Server| !s.passes_fence(now);
        let fenced: BTreeSet<ServerId> =
            self.servers.iter_mut().filter_map(|(id, s)| fenced(s).then_some(*id)).collect();
        for (id, server) in &self.servers {
            let barred = request.zones.as_ref().is_some_and(|zones| !zones.contains(&server.zone));
            if barred || fenced.contains(id) {
                continue;
            }
            if server.state != ServerState::Ready || !self.may_send(request, server) {
                continue;
            }
            let blocked = self.now < server.blocked_until;
            let away = self.advice.iter().any(|a| a.zone == server.zone && lot >= part(a));
            healthy |= !blocked && !server.on_trial && !away;
            if self.warmth(server) < 1.0 && server.cold_store.is_some_and(|s| s < work) {
                continue;
            }
            let tried = request.attempts.iter().any(|a| a.server == *id);
            let crowd = self.crowd(server, unreported);
            let pace = server.pace_at(self.now, SLOWED_LIFE * aim).max(0.7 / self.warmth(server));
            // A silent server is at least as slow as its silence is long.
            let silence = server.out.front().map_or(0.0, |o| self.now - o.2.max(server.answered_at));
            let wait = work * pace;
            let seen = server.waited * (-(self.now - server.answered_at) / (WAITED_LIFE * aim)).exp();
            let waited = (seen - WAITED_NOISE * self.mean_work).max(0.0);
            let queue = (self.mean_work * pace * CROWDING * crowd).max(waited);
            let wait = (wait * (1.0 + CROWDING * crowd)).max(wait + waited).max(silence);
            let busy = if server.on_trial { 1 } else { usize::MAX };
            if blocked || away || server.out.len() >= busy || tried {
                let key = server.blocked_until + if tried || away { BLOCK_LAST * aim } else { 0.0 };
                if server.out.len() < 2 && last_resort.is_none_or(|(k, ..)| key < k) {
                    last_resort = Some((key, *id, wait, queue, blocked || away));
                }
                continue;
            }
            if server.on_trial && class.effect == Effect::Unsafe {
                continue;
            }
            let zone = server.detour + if server.zone == self.zone { 0.0 } else { zone_time };
            let (failing, at) = self.zones.get(&server.zone).copied().unwrap_or((0.0, self.now));
            let zone = zone + class.aim * failing * (-(self.now - at) / (BLOCK_LAST * aim)).exp();
            let cost = (wait + zone) * (1.0 + SCATTER * self.rng.f64());
            if best.is_none_or(|(c, ..)| cost < c) {
                best = Some((cost, *id, wait, queue));
            }
        }
        // Ejection never empties the fleet, but while the rest is only cold or busy, what would be sent to
        // ejected servers is refused: it would fail there, slowly, and use up its attempts.
        let last_resort = last_resort.filter(|(.., blocked)| !blocked || !healthy);
        best.map(|(_, id, wait, queue)| (id, wait, queue)).or(last_resort.map(|(_, id, w, q, _)| (id, w, q)))
    }

    /// Learns from an attempt's end.
    fn learn(&mut self, id: ServerId, class: usize, units: f64, attempt: &Attempt, done: &Done) {
        let now = self.now;
        let work = self.work(class, units);
        let Some(server) = self.servers.get_mut(&id) else { return };
        let view = &mut self.classes[class];
        let alone = done.elapsed / (1.0 + CROWDING * attempt.crowd);
        let pace = alone / work;
        let thought = server.pace_at(now, SLOWED_LIFE * self.shortest_aim);
        // Guards against queues that neither own attempts nor reports show: work of others, and work that
        // a server goes on with after its attempt was given up. Also holds when all servers slow at once.
        // May hurt after a run of unusually long requests, for as long as it fades.
        if matches!(done.outcome, Outcome::Ok | Outcome::Timeout) {
            let waited = done.elapsed - work * thought;
            server.waited = (server.waited + WAITED_WEIGHT * (waited - server.waited)).max(0.0);
        }
        // The more a server held, the more of the time was waiting, and the less it tells: without this a
        // busy server, its waiting explained away, would look quick and draw more. Time-outs show slow ones.
        let weight = match done.outcome {
            Outcome::Ok => 1.0 / (1.0 + attempt.crowd),
            Outcome::Timeout if pace > thought => 1.0,
            _ => 0.0,
        };
        if done.outcome == Outcome::Ok {
            view.answers += weight;
            let part = (weight / view.answers).max(WORK_WEIGHT * weight);
            view.unit_work += part * (alone / units - view.unit_work);
        }
        server.answers += weight;
        let part = (weight / (FIRST_ANSWERS + server.answers)).max(PACE_WEIGHT * weight);
        let slowed = thought - server.pace;
        if done.outcome == Outcome::Ok {
            server.pace = (server.pace + part * (pace - server.pace)).clamp(0.3, 10.0);
            server.slowed = slowed * (1.0 - part);
        } else {
            server.slowed = (thought + part * (pace - thought)).min(10.0) - server.pace;
        }
        server.slowed_at = now;
        let failed = f64::from(u8::from(done.outcome != Outcome::Ok));
        if matches!(done.outcome, Outcome::Ok | Outcome::ConnectFailed | Outcome::Reset) {
            let (failing, at) = self.zones.entry(server.zone.clone()).or_insert((0.0, now));
            (*failing, *at) = (*failing + ZONE_WEIGHT * (failed - *failing), now);
        }
        note_outcome(server, now, done.outcome, attempt.sent_at, self.shortest_aim);
        note_load(server, now, done.load);
    }

    fn probed(&mut self, id: ServerId, outcome: Outcome, load: Load) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.probing = false;
        note_outcome(server, now, outcome, now, self.shortest_aim);
        note_load(server, now, load);
    }

    // Attempts.

    fn arrive(&mut self, mut arrival: Arrival, actions: &mut Vec<Action>) {
        arrival.width = arrival.width.clamp(1, self.settings.gateways);
        let id = arrival.request.clone();
        if self.requests.contains_key(&id) {
            return;
        }
        let class = self.settings.classes.iter().position(|c| *c.name == *arrival.class);
        let plan = self.settings.plans.iter().position(|p| *p.name == *arrival.plan);
        let (Some(class), Some(plan)) = (class, plan) else {
            actions.push(Action::Refuse { request: id, retry_after: 0.0, reason: Refusal::Room });
            return;
        };
        let aim_at = self.now + self.settings.classes[class].aim;
        let left = (aim_at - self.now).min(arrival.deadline - self.now);
        // A client's retry counts from its first try: one after the aim would spend quota for nothing.
        let retry_after = (left * COMEBACK).min(self.settings.max_retry_after.unwrap_or(0.0));
        let limits = &self.settings.plans[plan];
        let pays = limits.extra_worth > limits.excess_cost;
        let standing = self.standing(plan, &arrival);
        if standing == Standing::Barred || (standing == Standing::Beyond && !pays) {
            let barred = standing == Standing::Barred;
            self.refused[usize::from(barred)] += 1;
            let reason = if barred { Refusal::Ceiling } else { Refusal::Quota };
            actions.push(Action::Refuse { request: id, retry_after, reason });
            return;
        }
        let request = Request {
            class,
            plan,
            customer: arrival.customer.clone(),
            width: f64::from(arrival.width),
            deadline: arrival.deadline,
            aim_at,
            units: arrival.units,
            zones: arrival.zones.clone(),
            most: arrival.tries.unwrap_or(u32::MAX).min(self.settings.max_attempts),
            attempts: Vec::new(),
            closed: false,
            streaming: false,
        };
        // Under pressure inside quotas the least worth for work is refused first, before it is sent. A plan's
        // price has no say in it: what customers of a cheap plan ask within their quotas is owed to them too.
        let work = self.work(class, request.units);
        let value = self.settings.classes[class].worth * request.units / work;
        if self.mean_value == 0.0 {
            (self.mean_value, self.mean_work) = (value, work);
        }
        self.mean_work += VALUE_WEIGHT * (work - self.mean_work);
        self.mean_value += VALUE_WEIGHT * (value - self.mean_value);
        // Guards cheap classes against many gateways that see little: each guesses the same queue at all
        // servers, and would refuse all cheap work on it, also where there is room.
        let sight = (SIGHT * self.usual_out / self.ready).min(1.0);
        let factor = (value / self.mean_value).clamp(QUEUE_FACTOR.0, QUEUE_FACTOR.1).powf(sight);
        let factor = if standing == Standing::Beyond { QUEUE_FACTOR.0 } else { factor };
        let queue_room = (QUEUE_ROOM * self.shortest_aim * factor).max(QUEUE_LEAST * self.mean_work);
        let trial = self.settings.trial && self.servers.values().all(|s| s.out.is_empty());
        match self.pick(&request) {
            Some((server, wait, queue)) if trial || (wait <= ROOM * left && queue <= queue_room) => {
                self.count(plan, &arrival.customer, arrival.units, standing == Standing::Within);
                let Retries { part, store, .. } = self.settings.retries;
                self.retries = (self.retries + part).min(store);
                self.requests.insert(id.clone(), request);
                self.send(&id, server, wait, actions);
            }
            _ => {
                self.refused[2] += 1;
                actions.push(Action::Refuse { request: id, retry_after, reason: Refusal::Room });
            }
        }
    }

    /// Rule two: whether a further attempt may go to this server.
    fn may_send(&self, request: &Request, server: &Server) -> bool {
        let Some(first) = request.first_that_may_have_run() else { return true };
        let class = &self.settings.classes[request.class];
        let Effect::Keyed(scope) = class.effect else { return class.effect == Effect::Safe };
        let Some(home) = self.servers.get(&first.server) else { return false };
        let same = match scope {
            KeyScope::All => true,
            KeyScope::Zone => home.zone == server.zone,
            KeyScope::Cell => home.cell == server.cell,
        };
        same && self.now < first.sent_at + class.key_window - MARGIN
    }

    /// Rule two: whether the client may be told that trying again is harmless.
    fn may_refuse(&self, request: &Request) -> bool {
        let effect = self.settings.classes[request.class].effect;
        request.never_ran() || matches!(effect, Effect::Safe | Effect::Keyed(KeyScope::All))
    }

    /// When an answer stops earning anything.
    fn useful_until(&self, request: &Request) -> Millis {
        let late = self.settings.classes[request.class].late_worth > 0.0;
        request.deadline.min(if late { f64::INFINITY } else { request.aim_at - MARGIN })
    }

    fn send(&mut self, id: &RequestId, server_id: ServerId, wait: Millis, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get(id) else { return };
        let class = &self.settings.classes[request.class];
        let end = self.useful_until(request);
        let left = request.aim_at - now;
        let patience = (OVERDUE * wait).max(OVERDUE_LEAST * left);
        let again = class.effect != Effect::Unsafe
            && (request.attempts.len() as u32 + 1) < request.most
            && patience + wait < left;
        // Where two attempts may be out, a second copy goes out when the first is overdue; elsewhere the
        // first is given up then, in time for another.
        let hedge = again && self.settings.hedging;
        let give_up_at = if again && !hedge { end.min(now + patience) } else { end };
        let work = self.work(request.class, request.units);
        let (plan, customer) = (request.plan, request.customer.clone());
        let number = request.attempts.len() as u32;
        let unreported = self.unreported();
        let crowd = self.servers.get(&server_id).map_or(0.0, |s| self.crowd(s, unreported));
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.out.push_back((id.clone(), number, now));
        server.cold_store = server.cold_store.map(|store| store - work);
        server.fenced -= 1.0;
        self.plans[plan].out.add(&customer, 1.0);
        if let Some(request) = self.requests.get_mut(id) {
            let state = AttemptState::Out;
            request.attempts.push(Attempt { server: server_id, sent_at: now, state, crowd });
        }
        if hedge {
            self.hedges.insert((micros(now + patience), id.clone()));
        }
        actions.push(Action::Send { request: id.clone(), server: server_id, give_up_at });
    }

    fn done(&mut self, done: &Done, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&done.request) else { return };
        let Some(attempt) = request.attempts.get_mut(done.attempt as usize) else { return };
        if attempt.state != AttemptState::Out {
            return;
        }
        attempt.state =
            if done.outcome.never_ran() { AttemptState::NeverRan } else { AttemptState::MayHaveRun };
        let attempt = attempt.clone();
        request.closed |= done.closed;
        let (class, plan, units, customer, width) =
            (request.class, request.plan, request.units, request.customer.clone(), request.width);
        self.plans[plan].out.add(&customer, -1.0);
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            let ended = server.out.iter().position(|(id, n, _)| *n == done.attempt && *id == done.request);
            ended.map(|at| server.out.remove(at));
        }
        self.learn(attempt.server, class, units, &attempt, done);
        if let Some(percent) = done.use_percent {
            self.read_meter(plan, &customer, width, percent);
        }
        self.settle(&done.request, actions);
    }

    /// Goes on with a request after news of one of its attempts.
    fn settle(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if request.closed {
            return self.close(id, actions);
        }
        if request.out() > 0 {
            return;
        }
        let request = request.clone();
        let end = self.useful_until(&request);
        let free = request.never_ran() && !self.settings.retries.all;
        if (request.attempts.len() as u32) < request.most
            && !request.streaming
            && self.now + MARGIN < end
            && (free || self.retries >= 1.0)
        {
            if let Some((server, wait, _)) = self.pick(&request).filter(|(_, wait, _)| self.now + wait < end)
            {
                if !free {
                    self.retries -= 1.0;
                }
                return self.send(id, server, wait, actions);
            }
        }
        let answer = if self.may_refuse(&request) {
            Action::Refuse { request: id.clone(), retry_after: 0.0, reason: Refusal::Room }
        } else {
            Action::Fail { request: id.clone() }
        };
        actions.push(answer);
        self.requests.remove(id);
    }

    /// Ends a request that has its final answer; attempts still out are withdrawn where that is allowed.
    fn close(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.closed = true;
        for (number, attempt) in request.attempts.iter().enumerate() {
            if self.settings.cancelling && attempt.state == AttemptState::Out && !request.streaming {
                actions.push(Action::Cancel { request: id.clone(), attempt: number as u32 });
            }
        }
        if request.out() == 0 {
            self.requests.remove(id);
        }
    }

    // Housekeeping.

    /// Asks for the first tick at which there is something to do; they lie a period apart.
    fn ask_for_tick(&mut self, actions: &mut Vec<Action>) {
        let hedge = self.hedges.first().map_or(f64::INFINITY, |(at, _)| *at as f64 / 1000.0);
        let wanted = if self.settings.probing { self.now } else { hedge.min(self.sweep_at) };
        let born = self.born.unwrap_or(self.now);
        let periods = |at: Millis| (at - born) / TICK;
        let at = born + TICK * periods(wanted).ceil().max((periods(self.now) + 0.5).floor() + 1.0);
        if at < self.tick_at {
            self.tick_at = at;
            actions.push(Action::Timer { token: 0, at });
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        // Guards against doing twice what an earlier tick, asked for later, has done. Callers round times, so
        // a tick that comes a little early is the one asked for.
        if self.now + 0.5 * TICK < self.tick_at {
            return;
        }
        self.tick_at = f64::INFINITY;
        while let Some(due) = self.hedges.first().filter(|(at, _)| *at <= micros(self.now)).cloned() {
            self.hedges.remove(&due);
            self.hedge(&due.1, actions);
        }
        // Requests that have ended are no reason for a tick.
        let over = |id: &RequestId| self.requests.get(id).is_none_or(|r| r.closed);
        while self.hedges.first().is_some_and(|(_, id)| over(id)) {
            self.hedges.pop_first();
        }
        if self.now >= self.sweep_at {
            self.sweep_at = self.now + SWEEP;
            self.sweep(actions);
        }
        if self.settings.probing {
            let due = |s: &Server| {
                s.state == ServerState::Ready && s.on_trial && !s.probing && self.now >= s.blocked_until
            };
            for (id, server) in self.servers.iter_mut().map(|(id, s)| (*id, s)).filter(|(_, s)| due(s)) {
                server.probing = true;
                actions.push(Action::Probe { server: id });
            }
        }
    }

    fn hedge(&mut self, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).filter(|r| !r.closed && !r.streaming && r.out() == 1)
        else {
            return;
        };
        if self.retries < 1.0 || request.attempts.len() as u32 >= request.most {
            return;
        }
        let request = request.clone();
        let left = request.aim_at - self.now;
        if let Some((server, wait, _)) = self.pick(&request).filter(|(_, wait, _)| *wait < left) {
            if request.attempts.iter().all(|a| a.server != server) {
                self.retries -= 1.0;
                self.send(id, server, wait, actions);
            }
        }
    }

    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let (now, plans) = (self.now, &self.settings.plans);
        self.customers.retain(|_, c| {
            let limits = &plans[c.plan];
            let refill = |burst: f64, rate: f64| if rate > 0.0 { 1000.0 * burst / rate } else { 0.0 };
            let full =
                refill(limits.burst, limits.rate).max(refill(limits.ceiling_burst, limits.ceiling_rate));
            now < c.seen_at + full.max(reading_life(limits, c.width))
        });
        self.servers.retain(|_, s| s.state != ServerState::Gone || !s.out.is_empty());
        let ready = self.servers.values().filter(|s| s.state == ServerState::Ready);
        let (usable, ejected): (Vec<_>, Vec<_>) = ready.partition(|s| !s.on_trial);
        if now >= self.log_at && (self.refused != [0; 3] || !ejected.is_empty()) {
            self.log_at = now + LOG_PERIOD;
            let [quota, ceiling, room] = std::mem::take(&mut self.refused);
            let (flagged, usable, ejected) = (self.customers.len(), usable.len(), ejected.len());
            let text = format!(
                "refused {quota} beyond quota, {ceiling} at a ceiling, {room} for want of room; \
                 {flagged} customers on record; {usable} servers in use, {ejected} ejected"
            );
            actions.push(Action::Log { text });
        }
    }
}

impl Customer {
    fn set_share(&mut self, now: Millis, share: f64) {
        self.share = share;
        self.shares.push_back((now, share));
        while self.shares.get(1).is_some_and(|(since, _)| *since < now - READING_LIFE) {
            self.shares.pop_front();
        }
    }
}

/// How long a reading is believed: at the least for the time in which some requests come here of a
/// customer that uses its quota, since only their answers bring the next one.
fn reading_life(limits: &Plan, width: f64) -> Millis {
    READING_LIFE.max(if limits.rate > 0.0 { READING_REQUESTS * 1000.0 * width / limits.rate } else { 0.0 })
}

/// This gateway's part of the attempts that a customer may have out at once, one at the least.
fn open_slice(limits: &Plan, width: f64) -> f64 {
    (f64::from(limits.open) / width).ceil()
}

/// Judges a server by an outcome: each kind of symptom ejects it for its own time, measured in shortest aims.
fn note_outcome(server: &mut Server, now: Millis, outcome: Outcome, sent_at: Millis, aim: Millis) {
    let block = match outcome {
        Outcome::Ok => {
            server.failures = 0;
            server.on_trial = false;
            0.0
        }
        Outcome::Full => BLOCK_FULL * aim,
        // An attempt sent before the last good answer says nothing new.
        Outcome::Timeout | Outcome::Error if sent_at < server.answered_at => 0.0,
        Outcome::Timeout | Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => {
            server.failures += 1;
            // One connection that breaks is no sign of an end, which breaks all and takes no new one.
            let quick = outcome == Outcome::ConnectFailed || server.on_trial;
            if quick || server.failures >= FAILURES {
                server.on_trial = true;
                (BLOCK_FIRST * f64::from(1u32 << server.failures.min(6).saturating_sub(1))).min(BLOCK_LAST)
                    * aim
            } else {
                0.0
            }
        }
        // All servers alike send answers that can't be read, and turn away what a client got wrong.
        Outcome::Spoilt | Outcome::Cancelled | Outcome::Moot => 0.0,
    };
    if block > 0.0 {
        server.blocked_until = server.blocked_until.max(now + block);
    }
    if matches!(outcome, Outcome::Ok | Outcome::Full | Outcome::Error | Outcome::Spoilt) {
        server.answered_at = now;
    }
}

/// Takes in a server's report of the requests that it holds. Only a count of them is believed: busy
/// processors are told as a mean over a time that has passed when the report arrives, and say nothing of the
/// queue of now. All gateways read the same and leave a server together: by then one told to be busy is idle.
/// Guards also against reports that are wrong, or late for any cause: what is refused for want of room rests
/// on own attempts, as many of each other gateway, and the waiting seen in answers. May harm where others
/// send far more than this gateway: until answers show the waiting, it takes theirs to be as few.
fn note_load(server: &mut Server, now: Millis, load: Load) {
    let Some(held) = load.in_flight.or(load.queue) else { return };
    let others = (held - server.out.len() as f64).max(0.0);
    server.others += REPORT_WEIGHT * (others - server.others);
    server.reported_at = now;
}

fn micros(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}
