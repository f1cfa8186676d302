//! Checks a trace against the rules: five rules for every request, recovery after faults, and the harness's own delays.

use crate::trace::{Class, Effect, Execution, Outcome, Request, Span, Trace};
use hdrhistogram::Histogram;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Parameters of the rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Tolerance of the final response after the deadline, in milliseconds.
    pub response_slack: f64,
    /// Time after the announcement of a drain in which a server may still get new requests, in milliseconds.
    pub drain_grace: f64,
    /// Work that a warm server completes per millisecond, in milliseconds.
    pub capacity: f64,
    /// Fraction of that capacity which a server has right after its start.
    pub cold_capacity: f64,
    /// Time from the start of a server until its full capacity, in milliseconds.
    pub warm_up_time: f64,
    /// A cold server is overloaded by more than this multiple of its capacity ...
    pub overload_factor: f64,
    /// ... within a window of this length, in milliseconds.
    pub overload_window: f64,
    /// Units per second that all nodes together may forward for a customer; 0 for no ceiling.
    pub ceiling_rate: f64,
    /// Burst of the ceiling, in units.
    pub ceiling_burst: f64,
    /// Units by which the nodes may exceed the ceiling.
    pub ceiling_slack: f64,
    /// Time after the last fault within which service recovers, in milliseconds.
    pub settle: f64,
    /// Largest 99th percentile of the generator's delay for a conclusive run, in milliseconds.
    pub max_generator_delay: f64,
    /// Longest stall of the harness for a conclusive run, in milliseconds: a longer one may itself delay responses.
    pub max_stall: f64,
    /// Longest duration of a graceful shutdown, in milliseconds.
    pub max_shutdown_time: f64,
    /// Number of zones; servers and nodes are assigned to them round-robin.
    pub zones: usize,
    /// Seconds for which nodes of one zone may disagree on where to send requests; `None` if that is not checked. Each
    /// node learns from its own attempts, so some disagree for a while after every fault.
    pub max_disagreement: Option<f64>,
    /// Returns true if the sign-in service denies a customer; `None` without a sign-in service.
    pub denied: Option<fn(u32) -> bool>,
    /// True if all servers are up and warm after the faults, so that the distribution of load should be as before.
    pub load_returns: bool,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Short name of the rule.
    pub rule: &'static str,
    /// Description with request, server and time.
    pub description: String,
}

/// Verdict on a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// All rules hold.
    Kept,
    /// A rule is violated.
    Broken,
    /// The machine was too slow for a conclusive run.
    Void,
}

/// Figures of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Number of requests.
    pub requests: usize,
    /// Fraction served within the target latency, of the requests that are not denied.
    pub served: f64,
    /// Fraction refused.
    pub refused: f64,
    /// Fraction failed.
    pub failed: f64,
    /// Fraction without a response, including those of nodes that were killed or cut off.
    pub unanswered: f64,
    /// Fractions served within the target latency: before the first fault, during the faults, after the settling
    /// time.
    pub phases: [Option<f64>; 3],
    /// Number of requests failed, unanswered or late from the first fault until the end of the settling time.
    pub lost: f64,
    /// Number of requests refused in the same time.
    pub refused_in_faults: f64,
    /// Time from the first fault to the last lost request of a node, in milliseconds: median and 95th percentile over
    /// the nodes. Only requests scheduled during the first fault count.
    pub last_losses: [Option<f64>; 2],
    /// Largest load of a cold server in a window, relative to its capacity.
    pub cold_load: Option<f64>,
    /// Largest load of a warm server in a second, relative to its capacity.
    pub warm_load: f64,
    /// Mean attempts per request.
    pub attempts: f64,
    /// 99th percentile of the generator's delay, in milliseconds.
    pub generator_delay: f64,
    /// Longest stall of the harness, in milliseconds.
    pub longest_stall: f64,
    /// Largest difference of the fraction served between two nodes that have enough requests.
    pub node_spread: f64,
    /// Latencies of served requests in milliseconds: median, 99th and 99.9th percentile.
    pub latencies: [f64; 3],
    /// The first zone's share of executions before the first fault and after the settling time.
    pub first_zone_load: [Option<f64>; 2],
    /// Largest difference within a second between two nodes of one zone in the first zone's share of their first
    /// attempts.
    pub largest_disagreement: f64,
    /// Longest disagreement of nodes of one zone, in consecutive seconds.
    pub disagreement_s: f64,
    /// CPU time of the nodes per request in microseconds; `None` if a node was restarted or the nodes are not known.
    pub cpu_us: Option<f64>,
    /// Reversals per minute of the first zone's load, between a steep rise and a steep fall.
    pub reversals_per_minute: f64,
}

impl Figures {
    /// Returns each figure with its name and unit; `None` if there were too few requests for it.
    #[must_use]
    pub fn named(&self) -> Vec<(&'static str, Option<f64>)> {
        let [before, during, settled] = self.phases;
        let [half, most, nearly_all] = self.latencies;
        let [load_before, load_after] = self.first_zone_load;
        vec![
            ("requests", Some(self.requests as f64)),
            ("served in time, part", Some(self.served)),
            ("served before the faults, part", before),
            ("served during the faults, part", during),
            ("served once settled, part", settled),
            ("refused, part", Some(self.refused)),
            ("failed, part", Some(self.failed)),
            ("unanswered, part", Some(self.unanswered)),
            ("lost or late from the first fault until settled", Some(self.lost)),
            ("refused from the first fault until settled", Some(self.refused_in_faults)),
            ("half of the nodes lose nothing after, ms", self.last_losses[0]),
            ("95 in 100 of the nodes lose nothing after, ms", self.last_losses[1]),
            ("largest load on a cold server, times what it can do", self.cold_load),
            ("largest load on a warm server in a second, times that", Some(self.warm_load)),
            ("attempts a request", Some(self.attempts)),
            ("half are answered within, ms", Some(half)),
            ("99 in 100 are answered within, ms", Some(most)),
            ("999 in 1000 are answered within, ms", Some(nearly_all)),
            ("north's load before the faults, part", load_before),
            ("north's load once settled, part", load_after),
            ("nodes differ in what they serve by, part", Some(self.node_spread)),
            ("nodes of one zone differ in what they send north by, part", Some(self.largest_disagreement)),
            ("nodes of one zone at odds for, s", Some(self.disagreement_s)),
            ("load swings, a minute", Some(self.reversals_per_minute)),
            ("processor time of nodes a request, us", self.cpu_us),
            ("generator late by, ms", Some(self.generator_delay)),
            ("rig stood still for, ms", Some(self.longest_stall)),
        ]
    }
}

/// Least number of requests for a meaningful fraction.
const MIN_REQUESTS: usize = 30;
/// Largest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Allowed drop of the fraction served after the settling time, relative to before the faults.
const MAX_SERVICE_LOSS: f64 = 0.05;
/// Allowed shift of a zone's share of the load after the settling time. With spare servers it moves by 0.24 without a
/// cause.
const MAX_LOAD_SHIFT: f64 = 0.3;
/// Interval for load reversals in milliseconds, and the change of a zone's share between two intervals that is steep.
const REVERSAL_INTERVAL_MS: f64 = 500.0;
const REVERSAL_STEP: f64 = 0.3;
/// Reversals per run that a reaction to faults explains; more are an oscillation.
const MAX_REVERSALS: usize = 4;
/// Interval for the comparison of nodes in milliseconds, and the difference of shares from which they disagree.
const DISAGREEMENT_INTERVAL_MS: f64 = 1000.0;
const DISAGREEMENT_THRESHOLD: f64 = 0.6;
/// Least number of executions, of one node or of all nodes, for a meaningful share of a zone.
const DISAGREEMENT_MIN_EXECUTIONS: usize = 8;
const REVERSAL_MIN_EXECUTIONS: usize = 15;

/// Checks a trace against all rules.
pub fn check_trace(rules: &Rules, trace: &Trace) -> (Verdict, Figures, Vec<Finding>) {
    let (reversals, disagreement) = (load_reversals(rules, trace), disagreement_by_second(rules, trace));
    let figures = figures(rules, trace, &reversals, &disagreement);
    let requests = trace.requests.iter().map(|request| (request.id, request)).collect();
    let mut findings = check_responses(rules, trace);
    findings.extend(check_effects(rules, trace));
    findings.extend(check_drains(rules, trace));
    findings.extend(check_cold_servers(rules, trace));
    findings.extend(check_ceilings(rules, trace, &requests));
    findings.extend(check_accounting(trace));
    findings.extend(check_sign_in(rules, trace, &requests));
    findings.extend(check_shutdowns(rules, trace));
    findings.extend(check_recovery(rules, &figures));
    findings.extend(check_load_reversals(&reversals));
    findings.extend(check_disagreement(rules, &disagreement));
    let starved =
        figures.generator_delay > rules.max_generator_delay || figures.longest_stall > rules.max_stall;
    let verdict = match (starved, findings.is_empty()) {
        (true, _) => Verdict::Void,
        (false, true) => Verdict::Kept,
        (false, false) => Verdict::Broken,
    };
    (verdict, figures, findings)
}

const ONE_RESPONSE: &str = "one answer in time";

fn finding(rule: &'static str, what: String) -> Finding {
    Finding { rule, description: what }
}

/// Rule one: exactly one final response in time for each request that a running node accepted.
fn check_responses(rules: &Rules, trace: &Trace) -> Vec<Finding> {
    let mut findings = Vec::new();
    for request in &trace.requests {
        let end = request.scheduled + rules.classes[request.class].deadline + rules.response_slack;
        let open = Span { from: request.written, to: request.ended.min(end) };
        if trace.is_exempt(request.node, &open) {
            continue;
        }
        let (id, node) = (request.id, request.node);
        let rule = ONE_RESPONSE;
        let corruption_spans = trace.corruption_spans.iter().any(|span| span.meets(&open));
        match request.outcome {
            Outcome::Wrong if corruption_spans => {}
            Outcome::Nothing => {
                findings.push(finding(
                    rule,
                    format!(
                        "request {id} of node {node}, written at {:.0} ms: none until {:.0} ms",
                        open.from, request.ended
                    ),
                ));
            }
            Outcome::Wrong => {
                findings.push(finding(rule, format!("request {id} of node {node}: not what a server made")));
            }
            _ if request.response_count > 1 => {
                findings.push(finding(rule, format!("request {id}: {} answers", request.response_count)));
            }
            _ if request.ended > end => {
                findings.push(finding(rule, format!("request {id}: {:.0} ms late", request.ended - end)));
            }
            _ => {}
        }
    }
    for stray in &trace.unsolicited {
        let seen = Span { from: stray.at, to: stray.at };
        if !trace.is_exempt(stray.node, &seen) {
            findings
                .push(finding(ONE_RESPONSE, format!("node {} sent bytes that nobody asked for", stray.node)));
        }
    }
    findings
}

/// Rule two: no effect is applied twice, and no request that took effect is refused.
fn check_effects(rules: &Rules, trace: &Trace) -> Vec<Finding> {
    let mut count: HashMap<u32, Vec<usize>> = HashMap::new();
    for execution in trace.executions.iter().filter(|execution| execution.effect) {
        count.entry(execution.id).or_default().push(execution.server);
    }
    let mut findings = Vec::new();
    for request in &trace.requests {
        let class = &rules.classes[request.class];
        let Some(servers) = count.get(&request.id).filter(|_| class.effect != Effect::Safe) else { continue };
        let (id, name) = (request.id, class.name);
        if servers.len() > 1 {
            findings
                .push(finding("no effect twice", format!("{name} {id} took effect at servers {servers:?}")));
        } else if request.outcome == Outcome::Refused {
            findings.push(finding(
                "no effect twice",
                format!("{name} {id} ran at server {} and was refused", servers[0]),
            ));
        }
    }
    findings
}

/// Rule three: no new request to a server after the grace period of its announced drain.
fn check_drains(rules: &Rules, trace: &Trace) -> Vec<Finding> {
    let mut findings = Vec::new();
    for drain in &trace.drains {
        let late = trace.executions.iter().filter(|execution| {
            let told = drain.at + rules.drain_grace..drain.until;
            (execution.node, execution.server) == (drain.node, drain.server) && told.contains(&execution.at)
        });
        findings.extend(late.map(|execution| {
            let (node, server, after) = (execution.node, execution.server, execution.at - drain.at);
            finding(
                "drains kept",
                format!("node {node} sent {} to server {server} {after:.0} ms after", execution.id),
            )
        }));
    }
    findings
}

/// Rule four: the work sent to a cold server within a window, including declined requests, stays below a multiple of
/// its capacity.
fn check_cold_servers(rules: &Rules, trace: &Trace) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (server, start) in &trace.cold_starts {
        let over = cold_loads(rules, trace, *server, *start)
            .into_iter()
            .find(|(sent, capacity)| *sent > rules.overload_factor * capacity);
        if let Some((sent, capacity)) = over {
            let most = rules.overload_factor * capacity;
            let what =
                format!("server {server} was sent {sent:.0} ms of work in a window, {most:.0} are its most");
            findings.push(finding("cold servers", what));
        }
    }
    findings
}

/// Returns, for each request that a server got while it was cold, the work sent to it in the window before and its
/// capacity in a window.
fn cold_loads(rules: &Rules, trace: &Trace, server: usize, start: f64) -> Vec<(f64, f64)> {
    let capacity = |at: f64| {
        let part = ((at - start) / rules.warm_up_time).clamp(0.0, 1.0);
        rules.capacity * (rules.cold_capacity + (1.0 - rules.cold_capacity) * part) * rules.overload_window
    };
    let cold = |execution: &&Execution| {
        execution.server == server && (0.0..rules.warm_up_time).contains(&(execution.at - start))
    };
    let executions: Vec<&Execution> = trace.executions.iter().filter(cold).collect();
    let mut first = 0;
    let mut sent = 0.0;
    let mut loads = Vec::new();
    for execution in &executions {
        sent += execution.work;
        while executions[first].at <= execution.at - rules.overload_window {
            sent -= executions[first].work;
            first += 1;
        }
        loads.push((sent, capacity(execution.at)));
    }
    loads
}

/// Returns the largest load of a warm server in a second, relative to its capacity.
fn warm_load(rules: &Rules, trace: &Trace) -> f64 {
    let mut sent: HashMap<(usize, u64), f64> = HashMap::new();
    for execution in &trace.executions {
        let cold = trace.cold_starts.iter().any(|(server, start)| {
            *server == execution.server && (0.0..rules.warm_up_time).contains(&(execution.at - start))
        });
        if !cold {
            *sent.entry((execution.server, (execution.at.max(0.0) / 1000.0) as u64)).or_default() +=
                execution.work;
        }
    }
    sent.into_values().fold(0.0, f64::max) / (1000.0 * rules.capacity)
}

/// Returns the median and the 95th percentile over the nodes of the time from the first fault to a node's last lost
/// request, among the requests scheduled during that fault.
fn last_losses(trace: &Trace, lost: &dyn Fn(&Request) -> bool) -> [Option<f64>; 2] {
    let Some((_, span)) = trace.faults.iter().min_by(|a, b| a.1.from.total_cmp(&b.1.from)) else {
        return [None; 2];
    };
    let nodes = trace.requests.iter().map(|r| r.node + 1).max().unwrap_or(0);
    let mut last = vec![0.0_f64; nodes];
    let during = |r: &&Request| (span.from..span.to).contains(&r.scheduled) && lost(r);
    for request in trace.requests.iter().filter(during) {
        last[request.node] = last[request.node].max(request.scheduled - span.from);
    }
    last.sort_by(f64::total_cmp);
    [0.5, 0.95].map(|part| last.get((part * nodes as f64).ceil() as usize - usize::from(nodes > 0)).copied())
}

/// Rule five: the first attempts of all nodes together stay below the ceiling of each customer.
fn check_ceilings(rules: &Rules, trace: &Trace, requests: &HashMap<u32, &Request>) -> Vec<Finding> {
    if rules.ceiling_rate <= 0.0 {
        return Vec::new();
    }
    let mut stores: BTreeMap<u32, (f64, f64)> = BTreeMap::new();
    let mut seen = HashSet::new();
    let mut findings = Vec::new();
    for execution in &trace.executions {
        let Some(request) = requests.get(&execution.id).filter(|_| seen.insert(execution.id)) else {
            continue;
        };
        let (store, at) = stores.entry(request.customer).or_insert((rules.ceiling_burst, execution.at));
        let gain = (execution.at - *at).max(0.0) / 1000.0 * rules.ceiling_rate;
        *store = (*store + gain).min(rules.ceiling_burst) - rules.classes[request.class].units;
        *at = execution.at;
        if *store < -rules.ceiling_slack {
            let what = format!(
                "customer {} is {:.1} units beyond at {:.0} ms",
                request.customer, -*store, execution.at
            );
            findings.push(finding("ceilings hold", what));
        }
    }
    findings
}

/// Checks that each request that the generator started is in the trace exactly once.
fn check_accounting(trace: &Trace) -> Option<Finding> {
    let mut ids: Vec<u32> = trace.requests.iter().map(|r| r.id).collect();
    ids.sort_unstable();
    ids.dedup();
    let (planned, noted) = (trace.planned, trace.requests.len());
    (ids.len() != noted || planned != noted).then(|| {
        finding(
            "accounted for once",
            format!("{planned} begun, {noted} noted, {} of them different", ids.len()),
        )
    })
}

/// Checks that no request of a denied customer reaches a server and that no other customer is denied.
fn check_sign_in(rules: &Rules, trace: &Trace, requests: &HashMap<u32, &Request>) -> Vec<Finding> {
    let rule = "asks first";
    let denied = |customer| rules.denied.is_some_and(|denied| denied(customer));
    let of = |execution: &Execution| {
        requests.get(&execution.id).copied().filter(|request| denied(request.customer))
    };
    let let_on =
        trace.executions.iter().filter_map(|execution| of(execution).map(|request| (execution, request)));
    let mut findings: Vec<_> = let_on
        .map(|(execution, request)| {
            let (id, customer, server) = (execution.id, request.customer, execution.server);
            finding(
                rule,
                format!("request {id} of customer {customer}, who may not, came to server {server}"),
            )
        })
        .collect();
    let wrongly = trace.requests.iter().filter(|r| r.outcome == Outcome::Denied && !denied(r.customer));
    findings.extend(
        wrongly.map(|r| finding(rule, format!("request {} of customer {} was told a no", r.id, r.customer))),
    );
    findings
}

/// Checks that a node told to shut down ends once its open requests are answered.
fn check_shutdowns(rules: &Rules, trace: &Trace) -> Vec<Finding> {
    let late = trace.shutdowns.iter().filter(|leave| leave.took > rules.max_shutdown_time);
    late.map(|leave| finding("ends when told", format!("node {} took {:.0} ms", leave.node, leave.took)))
        .collect()
}

/// Checks that service and load after the settling time are as before the first fault.
fn check_recovery(rules: &Rules, figures: &Figures) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let [Some(before), _, Some(after)] = figures.phases {
        if before - after > MAX_SERVICE_LOSS {
            let what = format!("served {before:.2} before the faults and {after:.2} after them");
            findings.push(finding("settles", what));
        }
    }
    if let ([Some(before), Some(after)], true) = (figures.first_zone_load, rules.load_returns) {
        if (before - after).abs() > MAX_LOAD_SHIFT {
            let what = format!(
                "the first zone got {before:.2} of the load before the faults and {after:.2} after them"
            );
            findings.push(finding("settles", what));
        }
    }
    findings
}

/// Returns the times at which the first zone's share of the load reversed between a steep rise and a steep fall.
fn load_reversals(rules: &Rules, trace: &Trace) -> Vec<f64> {
    let shares = shares(rules, trace.executions.iter(), REVERSAL_INTERVAL_MS, REVERSAL_MIN_EXECUTIONS);
    let (mut findings, mut last) = (Vec::new(), None::<bool>);
    for pair in shares.windows(2) {
        let [Some(from), Some(to)] = [pair[0].1, pair[1].1] else { continue };
        if (to - from).abs() > REVERSAL_STEP {
            if last.is_some_and(|rose| rose != (to > from)) {
                findings.push(pair[1].0);
            }
            last = Some(to > from);
        }
    }
    findings
}

fn check_load_reversals(reversals: &[f64]) -> Option<Finding> {
    (reversals.len() > MAX_REVERSALS).then(|| {
        let (first, last) = (reversals[0], reversals[reversals.len() - 1]);
        finding(
            "does not swing",
            format!("load turned {} times from {first:.0} to {last:.0} ms", reversals.len()),
        )
    })
}

/// Returns the first zone's share of executions by interval; `None` where there are too few.
fn shares<'a>(
    rules: &Rules,
    executions: impl Iterator<Item = &'a Execution>,
    time: f64,
    enough: usize,
) -> Vec<(f64, Option<f64>)> {
    let mut counts: Vec<(usize, usize)> = Vec::new();
    for execution in executions {
        let at = (execution.at.max(0.0) / time) as usize;
        if counts.len() <= at {
            counts.resize(at + 1, (0, 0));
        }
        counts[at].0 += usize::from(execution.server % rules.zones == 0);
        counts[at].1 += 1;
    }
    let part = |(first, all): &(usize, usize)| (*all >= enough).then(|| *first as f64 / *all as f64);
    counts.iter().enumerate().map(|(at, count)| (at as f64 * time, part(count))).collect()
}

/// Returns, for each second, the largest difference between nodes of one zone in the first zone's share of their first
/// attempts.
fn disagreement_by_second(rules: &Rules, trace: &Trace) -> Vec<f64> {
    let mut seen = HashSet::new();
    let first: Vec<&Execution> =
        trace.executions.iter().filter(|execution| seen.insert(execution.id)).collect();
    let nodes = first.iter().map(|execution| execution.node + 1).max().unwrap_or(0);
    let mut bounds: Vec<Vec<(f64, f64)>> = Vec::new();
    for node in 0..nodes {
        let own = first.iter().copied().filter(|execution| execution.node == node);
        let shares = shares(rules, own, DISAGREEMENT_INTERVAL_MS, DISAGREEMENT_MIN_EXECUTIONS);
        for (at, (_, share)) in shares.iter().enumerate() {
            if bounds.len() <= at {
                bounds.push(vec![(1.0, 0.0); rules.zones]);
            }
            if let Some(share) = share {
                let (low, high) = &mut bounds[at][node % rules.zones];
                (*low, *high) = (low.min(*share), high.max(*share));
            }
        }
    }
    let most = |zones: &Vec<(f64, f64)>| zones.iter().map(|(low, high)| high - low).fold(0.0, f64::max);
    bounds.iter().map(most).collect()
}

/// Returns the start and length in seconds of the longest continuous disagreement.
fn longest_disagreement(disagreement: &[f64]) -> (usize, usize) {
    let (mut longest, mut now) = ((0, 0), 0);
    for (at, disagreement) in disagreement.iter().enumerate() {
        now = if *disagreement > DISAGREEMENT_THRESHOLD { now + 1 } else { 0 };
        if now > longest.1 {
            longest = (at + 1 - now, now);
        }
    }
    longest
}

/// Checks that nodes of one zone, which see the same servers, come to the same decisions.
fn check_disagreement(rules: &Rules, disagreement: &[f64]) -> Option<Finding> {
    let (from, lasts) = longest_disagreement(disagreement);
    rules.max_disagreement.is_some_and(|most| lasts as f64 > most).then(|| {
        finding(
            "decides alike",
            format!("nodes of one zone were at odds over it for {lasts} s, from {from} s on"),
        )
    })
}

fn figures(rules: &Rules, trace: &Trace, reversals: &[f64], disagreement: &[f64]) -> Figures {
    let served =
        |r: &Request| r.outcome == Outcome::Served && r.ended <= r.scheduled + rules.classes[r.class].aim;
    let part = |of: &mut dyn Iterator<Item = &Request>| {
        let (mut all, mut good) = (0, 0);
        for request in of.filter(|request| request.outcome != Outcome::Denied) {
            (all, good) = (all + 1, good + usize::from(served(request)));
        }
        (all >= MIN_REQUESTS).then(|| good as f64 / all as f64)
    };
    let share = |outcome: Outcome| {
        let count = trace.requests.iter().filter(|r| r.outcome == outcome).count();
        count as f64 / trace.requests.len().max(1) as f64
    };
    let first = trace.faults.iter().map(|(_, span)| span.from).fold(f64::INFINITY, f64::min);
    let last = trace.faults.iter().map(|(_, span)| span.to).fold(f64::NEG_INFINITY, f64::max);
    let settled = if last.is_finite() { last + rules.settle } else { f64::INFINITY };
    let all = &trace.requests;
    let owed = all.iter().filter(|r| r.outcome != Outcome::Denied).count();
    let phases = [
        part(&mut all.iter().filter(|r| r.scheduled < first)),
        part(&mut all.iter().filter(|r| (first..=last).contains(&r.scheduled))),
        part(&mut all.iter().filter(|r| r.scheduled >= settled)),
    ];
    let nodes = all.iter().map(|r| r.node + 1).max().unwrap_or(0);
    let by_node: Vec<f64> =
        (0..nodes).filter_map(|n| part(&mut all.iter().filter(|r| r.node == n))).collect();
    let (low, high) = by_node.iter().fold((1.0_f64, 0.0_f64), |(l, h), p| (l.min(*p), h.max(*p)));
    let part_of_load = |during: &dyn Fn(f64) -> bool| {
        let executions: Vec<_> = trace.executions.iter().filter(|execution| during(execution.at)).collect();
        let first = executions.iter().filter(|execution| execution.server % rules.zones == 0).count();
        (executions.len() >= MIN_REQUESTS).then(|| first as f64 / executions.len() as f64)
    };
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).ok();
    for request in all.iter().filter(|r| r.outcome == Outcome::Served) {
        if let Some(times) = &mut times {
            times.saturating_record((1000.0 * (request.ended - request.scheduled)).max(0.0) as u64);
        }
    }
    let held = |r: &&Request| (first..settled).contains(&r.scheduled);
    let is_lost = |r: &Request| match r.outcome {
        Outcome::Served => !served(r),
        Outcome::Refused | Outcome::Denied => false,
        Outcome::Wrong | Outcome::Failed | Outcome::Nothing => true,
    };
    let quantile_ms = |part: f64| times.as_ref().map_or(0.0, |t| t.value_at_quantile(part) as f64 / 1000.0);
    let length = trace.executions.last().map_or(0.0, |execution| execution.at).max(1.0);
    let mut late = trace.generator_delays.clone();
    late.sort_by(f64::total_cmp);
    Figures {
        requests: all.len(),
        served: all.iter().filter(|r| served(r)).count() as f64 / owed.max(1) as f64,
        refused: share(Outcome::Refused),
        failed: share(Outcome::Failed),
        unanswered: share(Outcome::Nothing),
        phases,
        lost: all.iter().filter(held).filter(|r| is_lost(r)).count() as f64,
        refused_in_faults: all.iter().filter(held).filter(|r| r.outcome == Outcome::Refused).count() as f64,
        last_losses: last_losses(trace, &is_lost),
        cold_load: trace
            .cold_starts
            .iter()
            .flat_map(|(server, start)| cold_loads(rules, trace, *server, *start))
            .map(|(sent, capacity)| sent / capacity)
            .max_by(f64::total_cmp),
        warm_load: warm_load(rules, trace),
        attempts: trace.executions.len() as f64 / all.len().max(1) as f64,
        generator_delay: late.get(late.len() * 99 / 100).copied().unwrap_or(0.0),
        longest_stall: trace.longest_stall,
        node_spread: (high - low).max(0.0),
        latencies: [quantile_ms(0.5), quantile_ms(0.99), quantile_ms(0.999)],
        first_zone_load: [part_of_load(&|at| at < first), part_of_load(&|at| at >= settled)],
        largest_disagreement: disagreement.iter().copied().fold(0.0, f64::max),
        disagreement_s: longest_disagreement(disagreement).1 as f64,
        cpu_us: None,
        reversals_per_minute: reversals.len() as f64 * 60_000.0 / length,
    }
}
