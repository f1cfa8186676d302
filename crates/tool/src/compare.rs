//! Compares two configurations by their behaviour, independently of their text.

use ivygate_config::{
    Block, Class, CustomerSource, Effect, Listener, LoadedConfig, Model, Plan, Pool, RepeatPolicy, SignIn,
    SourceSpan, Span, Statement,
};
use ivygate_routing::{visit_equivalence_classes, LookupResult, RouteTable, TooManyClasses};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// One side of a difference: a value and its position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DifferenceSide {
    /// Position as `FILE:LINE:COLUMN`.
    #[serde(rename = "place")]
    pub position: String,
    /// Value in the checked configuration, as text.
    pub value: String,
}

/// Difference in behaviour between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Block that it belongs to, such as `class read`.
    pub subject: String,
    /// Setting that changed, or a description of the change.
    #[serde(rename = "what")]
    pub change: String,
    /// Old side; `None` if the item is new.
    pub old: Option<DifferenceSide>,
    /// New side; `None` if the item was removed.
    pub new: Option<DifferenceSide>,
    /// Reason for which the change is risky, if it is.
    pub risk: Option<String>,
    /// Example of an affected request.
    pub example: Option<String>,
}

/// Compares two loaded configurations. Returns no differences if one of them has errors.
///
/// # Errors
/// If the routes have too many equivalence classes of requests to compare.
pub fn compare(old: &LoadedConfig, new: &LoadedConfig) -> Result<Vec<Difference>, TooManyClasses> {
    let (Some(before), Some(after)) = (&old.model, &new.model) else { return Ok(Vec::new()) };
    let (old, new) = (SourceText::new(old), SourceText::new(new));
    let mut comparison = Comparison { old, new, all: Vec::new() };
    comparison.routes(before, after)?;
    comparison.classes(before, after);
    comparison.pools(before, after);
    comparison.plans(before, after);
    comparison.identity(before, after);
    comparison.listeners(before, after);
    comparison.sign_ins(before, after);
    comparison.limits(before, after);
    comparison.journal(before, after);
    Ok(comparison.all)
}

/// Source text of a configuration, used to look up positions of statements.
struct SourceText<'a> {
    loaded: &'a LoadedConfig,
    parsed: RefCell<HashMap<u32, Block>>,
}

impl<'a> SourceText<'a> {
    fn new(loaded: &'a LoadedConfig) -> Self {
        Self { loaded, parsed: RefCell::default() }
    }

    /// Returns the position of a statement in the block at `at`, or that of the block if it has no such
    /// statement.
    fn position(&self, at: SourceSpan, statement: &str) -> String {
        let mut parsed = self.parsed.borrow_mut();
        let file = at.0.file;
        let root = parsed
            .entry(file)
            .or_insert_with(|| ivygate_config::parse(self.loaded.sources.text(file), file).0);
        let span = find_statement(root, at.0).and_then(|block| {
            let inner = block.block.as_ref()?;
            inner.statements.iter().find(|s| s.words[0].text == statement)
        });
        self.loaded.sources.position(span.map_or(at.0, |s| s.words[0].span)).to_string()
    }
}

fn find_statement(block: &Block, at: Span) -> Option<&Statement> {
    block.statements.iter().find_map(|statement| {
        let here = statement.words[0].span.start == at.start;
        if here {
            Some(statement)
        } else {
            find_statement(statement.block.as_ref()?, at)
        }
    })
}

struct Comparison<'a> {
    old: SourceText<'a>,
    new: SourceText<'a>,
    all: Vec<Difference>,
}

/// Compared setting: statement name, old value, new value, and the risk if the value changed.
type Row = (&'static str, String, String, Option<&'static str>);

fn row(name: &'static str, old: String, new: String, risk: Option<&'static str>) -> Row {
    (name, old, new, risk)
}

fn format_duration(ms: f64) -> String {
    if ms >= 1000.0 {
        format!("{}s", ms / 1000.0)
    } else {
        format!("{ms}ms")
    }
}

fn format_effect(effect: Effect) -> String {
    match effect {
        Effect::Safe => "safe".to_owned(),
        Effect::Keyed(of, window) => {
            format!("keyed, scope {}, window {}", of.as_str(), format_duration(window))
        }
        Effect::Unsafe => "unsafe".to_owned(),
    }
}

/// Ranks how freely requests of a class are repeated, by repeat policy and kind of effect; 0 is the
/// strictest.
fn repeat_looseness(class: &Class) -> u8 {
    match (class.effect, class.repeat) {
        (_, RepeatPolicy::Unsent) | (Effect::Unsafe, _) => 0,
        (Effect::Keyed(..), _) => 1,
        (Effect::Safe, _) => 2,
    }
}

fn format_repeat_policy(repeat: RepeatPolicy) -> String {
    match repeat {
        RepeatPolicy::Unsent => "unsent".to_owned(),
        RepeatPolicy::Sent => "sent".to_owned(),
    }
}

impl Comparison<'_> {
    fn add(
        &mut self,
        subject: &str,
        change: &str,
        old: Option<(SourceSpan, &str, String)>,
        new: Option<(SourceSpan, &str, String)>,
        risk: Option<&str>,
    ) {
        let side = |text: &SourceText, (at, statement, value): (SourceSpan, &str, String)| DifferenceSide {
            position: text.position(at, statement),
            value,
        };
        let old = old.map(|value| side(&self.old, value));
        let new = new.map(|value| side(&self.new, value));
        let (subject, change, risk) = (subject.to_owned(), change.to_owned(), risk.map(str::to_owned));
        self.all.push(Difference { subject, change, old, new, risk, example: None });
    }

    fn add_changed_rows(&mut self, subject: &str, old: SourceSpan, new: SourceSpan, rows: Vec<Row>) {
        for (name, before, after, risk) in rows {
            if before != after {
                self.add(subject, name, Some((old, name, before)), Some((new, name, after)), risk);
            }
        }
    }

    /// Matches items by name: adds a difference for each removed or new item and returns the pairs of the
    /// others.
    fn match_by_name<'m, T>(
        &mut self,
        kind: &str,
        old: &'m [T],
        new: &'m [T],
        name: impl Fn(&T) -> String,
        at: impl Fn(&T) -> SourceSpan,
        risk_of_new: Option<&'static str>,
    ) -> Vec<(String, &'m T, &'m T)> {
        let mut pairs = Vec::new();
        for one in old {
            let named = name(one);
            let subject = format!("{kind} {named}");
            match new.iter().find(|other| name(other) == named) {
                Some(other) => pairs.push((subject, one, other)),
                None => self.add(&subject, "is gone", Some((at(one), "", named)), None, None),
            }
        }
        for one in new {
            let named = name(one);
            if !old.iter().any(|other| name(other) == named) {
                self.add(&format!("{kind} {named}"), "is new", None, Some((at(one), "", named)), risk_of_new);
            }
        }
        pairs
    }

    fn routes(&mut self, old: &Model, new: &Model) -> Result<(), TooManyClasses> {
        let table =
            |model: &Model| RouteTable::build(model.routes.iter().map(|r| r.matcher.clone()).collect());
        // Both configurations passed the checks, so building their tables cannot fail.
        let (Ok(before), Ok(after)) = (table(old), table(new)) else { return Ok(()) };
        let target = |model: &Model, route: Option<usize>| {
            route.map(|n| {
                let route = &model.routes[n];
                let sign_in = route.sign_in.map(|n| model.sign_ins[n].name.clone());
                let (class, pool) = (&model.classes[route.class].name, &model.pools[route.pool].name);
                (class.clone(), pool.clone(), route.repeat, sign_in)
            })
        };
        let targets =
            |model: &Model| (0..model.routes.len()).map(|n| target(model, Some(n))).collect::<Vec<_>>();
        let (old_targets, new_targets) = (targets(old), targets(new));
        // For each pair of different routes: the shortest example request and the number of equivalence
        // classes.
        let mut pairs: BTreeMap<(Option<usize>, Option<usize>), (String, usize)> = BTreeMap::new();
        visit_equivalence_classes(&[&before, &after], |request| {
            let number = |table: &RouteTable| match table.find(request.host, request.path, request.method) {
                LookupResult::Route(number, _) => Some(number),
                LookupResult::MethodNotAllowed(_) | LookupResult::NotFound => None,
            };
            let (a, b) = (number(&before), number(&after));
            let (from, to) =
                (a.and_then(|n| old_targets[n].as_ref()), b.and_then(|n| new_targets[n].as_ref()));
            if from != to {
                let example = format!("{} http://{}{}", request.method, request.host, request.path);
                let entry = pairs.entry((a, b)).or_insert_with(|| (example.clone(), 0));
                entry.1 += 1;
                if (example.len(), &example) < (entry.0.len(), &entry.0) {
                    entry.0 = example;
                }
            }
        })?;
        for ((a, b), (example, _)) in pairs {
            let describe = |model: &Model, number: usize| {
                let route = &model.routes[number];
                let (class, pool) = (&model.classes[route.class], &model.pools[route.pool]);
                format!(
                    "route {}: class {} ({}), pool {}{}",
                    route.name,
                    class.name,
                    format_effect(class.effect),
                    pool.name,
                    route.sign_in.map_or(String::new(), |n| format!(", sign-in {}", model.sign_ins[n].name))
                )
            };
            let looseness = |model: &Model, number: Option<usize>| {
                number.map(|n| {
                    let route = &model.routes[n];
                    if route.repeat == RepeatPolicy::Unsent {
                        0
                    } else {
                        repeat_looseness(&model.classes[route.class])
                    }
                })
            };
            let looser =
                looseness(old, a).zip(looseness(new, b)).is_some_and(|(before, after)| after > before);
            let has_sign_in =
                |model: &Model, number: Option<usize>| number.map(|n| model.routes[n].sign_in.is_some());
            let sign_in_removed = has_sign_in(old, a) == Some(true) && has_sign_in(new, b) == Some(false);
            let risk = match (sign_in_removed, looser) {
                (true, _) => Some("sign-in is removed: these go on unchecked"),
                (_, true) => Some("these may now be repeated more freely"),
                _ => None,
            };
            let old_side = a.map(|n| (old.routes[n].at, "", describe(old, n)));
            let new_side = b.map(|n| (new.routes[n].at, "", describe(new, n)));
            let change = match (a, b) {
                (Some(_), Some(_)) => "requests go elsewhere",
                (Some(_), None) => "requests are answered 404 or 405 now",
                _ => "requests are served that were answered 404 or 405",
            };
            self.add("routes", change, old_side, new_side, risk);
            if let Some(last) = self.all.last_mut() {
                last.example = Some(example);
            }
        }
        Ok(())
    }

    fn classes(&mut self, old: &Model, new: &Model) {
        for (subject, a, b) in
            self.match_by_name("class", &old.classes, &new.classes, |c| c.name.clone(), |c| c.at, None)
        {
            let longer = match (a.effect, b.effect) {
                (Effect::Keyed(from, before), Effect::Keyed(to, after)) => after > before || to > from,
                _ => false,
            };
            let risk = if repeat_looseness(b) > repeat_looseness(a) {
                Some("the effect is loosened: requests may run twice that could not before")
            } else if longer {
                Some("repeats go on for longer, or to more servers: they must drop them there")
            } else {
                None
            };
            self.add_changed_rows(
                &subject,
                a.at,
                b.at,
                vec![
                    row("effect", format_effect(a.effect), format_effect(b.effect), risk),
                    row(
                        "repeat",
                        format_repeat_policy(a.repeat),
                        format_repeat_policy(b.repeat),
                        (b.repeat > a.repeat).then_some("repeated also after a send"),
                    ),
                    row(
                        "key",
                        a.key_header.clone(),
                        b.key_header.clone(),
                        Some("servers must drop repeats by this header"),
                    ),
                    row("deadline", format_duration(a.deadline), format_duration(b.deadline), None),
                    row("aim", format_duration(a.aim), format_duration(b.aim), None),
                    row("work", format_duration(a.work), format_duration(b.work), None),
                    row("upload", format_duration(a.upload), format_duration(b.upload), None),
                    row("worth", a.worth.to_string(), b.worth.to_string(), None),
                    row("late-worth", a.late_worth.to_string(), b.late_worth.to_string(), None),
                    row(
                        "units",
                        a.units.to_string(),
                        b.units.to_string(),
                        (b.units < a.units).then_some("more requests pass under quotas and ceilings"),
                    ),
                ],
            );
        }
    }

    fn pools(&mut self, old: &Model, new: &Model) {
        for (subject, a, b) in
            self.match_by_name("pool", &old.pools, &new.pools, |p| p.name.clone(), |p| p.at, None)
        {
            let list = |statuses: &[u16]| statuses.iter().map(u16::to_string).collect::<Vec<_>>().join(" ");
            let pair = |pair: &Option<(String, String)>| {
                pair.as_ref().map_or("none".to_owned(), |(h, v)| format!("{h} {v}"))
            };
            let drops = |p: &Pool| {
                p.drops_repeats
                    .map_or("not told".to_owned(), |(s, t)| format!("{} {}", s.as_str(), format_duration(t)))
            };
            let wider = match (a.drops_repeats, b.drops_repeats) {
                (Some((from, before)), Some((to, after))) => after > before || to > from,
                (None, Some((_, after))) => after > 15_000.0,
                _ => false,
            };
            let shares = |p: &Pool| {
                p.shares_servers_with
                    .iter()
                    .collect::<BTreeSet<_>>()
                    .into_iter()
                    .cloned()
                    .collect::<Vec<_>>()
                    .join(" ")
            };
            let cold = |p: &Pool| {
                p.cold.map_or("none".to_owned(), |c| {
                    format!(
                        "from {}, warm {}, fall {}, for {}",
                        c.from,
                        format_duration(c.warm),
                        c.fall,
                        format_duration(c.window)
                    )
                })
            };
            let yes = |yes: bool| if yes { "yes" } else { "no" }.to_owned();
            let domains = |p: &Pool| {
                p.domains.as_ref().map_or("none".to_owned(), |d| {
                    format!(
                        "leave {}, works {}, distrust {}",
                        yes(d.leave),
                        d.maintenance_zones.join(" "),
                        d.distrust
                    )
                })
            };
            let works = |p: &Pool| p.domains.as_ref().map_or(0, |d| d.maintenance_zones.len());
            self.add_changed_rows(
                &subject,
                a.at,
                b.at,
                vec![
                    row("zone", a.zone.clone(), b.zone.clone(), None),
                    row(
                        "sidecars",
                        a.sidecars.to_string(),
                        b.sidecars.to_string(),
                        (b.sidecars < a.sidecars).then_some(
                            "each takes a larger part of quotas and ceilings: all must be changed",
                        ),
                    ),
                    row("attempts", a.attempts.to_string(), b.attempts.to_string(), None),
                    row("requests", a.requests.to_string(), b.requests.to_string(), None),
                    row("connections", a.connections.to_string(), b.connections.to_string(), None),
                    row("buffered", format!("{}B", a.buffered), format!("{}B", b.buffered), None),
                    row("repeat-limit", format!("{}B", a.repeat_limit), format!("{}B", b.repeat_limit), None),
                    row("connect", format_duration(a.connect), format_duration(b.connect), None),
                    row("keep", format_duration(a.keep), format_duration(b.keep), None),
                    row(
                        "answer-stall",
                        format_duration(a.answer_stall),
                        format_duration(b.answer_stall),
                        None,
                    ),
                    row("errors", list(&a.errors), list(&b.errors), None),
                    row(
                        "declined",
                        pair(&a.declined),
                        pair(&b.declined),
                        b.declined.as_ref().map(|_| "such an answer counts as proof that nothing ran"),
                    ),
                    row(
                        "drops-repeats",
                        drops(a),
                        drops(b),
                        wider.then_some("servers are taken to drop more repeats"),
                    ),
                    row(
                        "second-copies",
                        yes(a.second_copies),
                        yes(b.second_copies),
                        b.second_copies.then_some("a slow request may run twice at once"),
                    ),
                    row("shares-servers-with", shares(a), shares(b), None),
                    row("cross-zone", a.cross_zone.to_string(), b.cross_zone.to_string(), None),
                    row("cold", cold(a), cold(b), None),
                    row(
                        "domains",
                        domains(a),
                        domains(b),
                        (works(b) > works(a)).then_some("a zone gets nothing any more"),
                    ),
                ],
            );
            let name = |s: &ivygate_config::Server| s.name.clone();
            for (server, x, y) in self.match_by_name(
                &format!("{subject}, server"),
                &a.servers,
                &b.servers,
                name,
                |s| s.at,
                None,
            ) {
                let state = |draining: bool| if draining { "draining" } else { "serving" }.to_owned();
                self.add_changed_rows(
                    &server,
                    x.at,
                    y.at,
                    vec![
                        row("address", x.address.to_string(), y.address.to_string(), None),
                        row("zone", x.zone.clone(), y.zone.clone(), None),
                        row("cell", x.cell.to_string(), y.cell.to_string(), None),
                        row("weight", x.weight.to_string(), y.weight.to_string(), None),
                        row("state", state(x.draining), state(y.draining), None),
                    ],
                );
            }
        }
    }

    fn plans(&mut self, old: &Model, new: &Model) {
        let rate = |rate: f64| if rate > 0.0 { format!("{rate}/s") } else { "none".to_owned() };
        for (subject, a, b) in
            self.match_by_name("plan", &old.plans, &new.plans, |p: &Plan| p.name.clone(), |p| p.at, None)
        {
            let burst = |p: &Plan| if p.ceiling > 0.0 { p.ceiling_burst } else { 0.0 };
            let no_limit = |rate: f64| if rate > 0.0 { rate } else { f64::INFINITY };
            let raised = |before: f64, after: f64| {
                (no_limit(after) > no_limit(before)).then_some("a ceiling is raised or gone")
            };
            self.add_changed_rows(
                &subject,
                a.at,
                b.at,
                vec![
                    row("quota", rate(a.quota), rate(b.quota), None),
                    row("burst", a.burst.to_string(), b.burst.to_string(), None),
                    row("open", a.open.to_string(), b.open.to_string(), None),
                    row("ceiling", rate(a.ceiling), rate(b.ceiling), raised(a.ceiling, b.ceiling)),
                    row(
                        "ceiling-burst",
                        a.ceiling_burst.to_string(),
                        b.ceiling_burst.to_string(),
                        raised(burst(a), burst(b)),
                    ),
                    row(
                        "ceiling-slack",
                        a.ceiling_slack.to_string(),
                        b.ceiling_slack.to_string(),
                        (b.ceiling_slack > a.ceiling_slack).then_some("a ceiling is raised or gone"),
                    ),
                    row("price", a.price.to_string(), b.price.to_string(), None),
                    row("excess-worth", a.excess_worth.to_string(), b.excess_worth.to_string(), None),
                    row("excess-cost", a.excess_cost.to_string(), b.excess_cost.to_string(), None),
                ],
            );
        }
        let customers = |model: &Model| -> BTreeMap<String, (SourceSpan, String)> {
            let plan = |plan: usize| format!("plan {}", model.plans[plan].name);
            model.customers.iter().map(|c| (c.name.clone(), (c.at, plan(c.plan)))).collect()
        };
        let (before, after) = (customers(old), customers(new));
        for name in before.keys().chain(after.keys()).collect::<BTreeSet<_>>() {
            let (from, to) = (before.get(name), after.get(name));
            if from.map(|(_, plan)| plan) != to.map(|(_, plan)| plan) {
                let side = |(at, plan): &(SourceSpan, String)| (*at, "plan", plan.clone());
                self.add(&format!("customer {name}"), "plan", from.map(side), to.map(side), None);
            }
        }
    }

    fn identity(&mut self, old: &Model, new: &Model) {
        let customer = |from: &CustomerSource| match from {
            CustomerSource::Header(name) => format!("header {name}"),
            CustomerSource::Cookie(name) => format!("cookie {name}"),
            CustomerSource::Address => "address".to_owned(),
            CustomerSource::Fixed(name) => format!("name {name}"),
        };
        let or_none = |name: &Option<String>| name.clone().unwrap_or_else(|| "none".to_owned());
        let (a, b) = (&old.identity, &new.identity);
        let plan = |model: &Model| model.plans[model.identity.default_plan].name.clone();
        self.add_changed_rows(
            "identity",
            a.at,
            b.at,
            vec![
                row(
                    "customer",
                    customer(&a.customer),
                    customer(&b.customer),
                    Some("quotas and ceilings count other customers"),
                ),
                row(
                    "plan",
                    or_none(&a.plan_header),
                    or_none(&b.plan_header),
                    b.plan_header.as_ref().map(|_| "this header chooses quotas"),
                ),
                row("deadline", or_none(&a.deadline_header), or_none(&b.deadline_header), None),
                row("default-plan", plan(old), plan(new), None),
            ],
        );
    }

    fn listeners(&mut self, old: &Model, new: &Model) {
        let name = |l: &Listener| l.address.to_string();
        let risk = Some("another address takes requests");
        for (subject, a, b) in
            self.match_by_name("listen", &old.listeners, &new.listeners, name, |l| l.at, risk)
        {
            let trusted = |l: &Listener| l.trusted.iter().map(ToString::to_string).collect::<BTreeSet<_>>();
            let join_names = |set: &BTreeSet<String>| set.iter().cloned().collect::<Vec<_>>().join(" ");
            let or_none = |path: &Option<String>| path.clone().unwrap_or_else(|| "none".to_owned());
            let (before, after) = (trusted(a), trusted(b));
            self.add_changed_rows(
                &subject,
                a.at,
                b.at,
                vec![
                    row(
                        "trusted",
                        join_names(&before),
                        join_names(&after),
                        (!after.is_subset(&before)).then_some("more peers are believed"),
                    ),
                    row("connections", a.connections.to_string(), b.connections.to_string(), None),
                    row("head", format!("{}B", a.head), format!("{}B", b.head), None),
                    row("head-within", format_duration(a.head_within), format_duration(b.head_within), None),
                    row("body-stall", format_duration(a.body_stall), format_duration(b.body_stall), None),
                    row("read-stall", format_duration(a.read_stall), format_duration(b.read_stall), None),
                    row("idle", format_duration(a.idle), format_duration(b.idle), None),
                    row(
                        "answer-within",
                        format_duration(a.answer_within),
                        format_duration(b.answer_within),
                        None,
                    ),
                    row(
                        "answers-checks",
                        or_none(&a.answers_checks),
                        or_none(&b.answers_checks),
                        Some("what this listener serves, and to whom, is another"),
                    ),
                    row(
                        "ids-kept",
                        format_duration(a.ids_kept),
                        format_duration(b.ids_kept),
                        (b.ids_kept < a.ids_kept).then_some("an id may be let on again sooner"),
                    ),
                ],
            );
        }
    }

    fn sign_ins(&mut self, old: &Model, new: &Model) {
        let name = |s: &SignIn| s.name.clone();
        for (subject, a, b) in
            self.match_by_name("sign-in", &old.sign_ins, &new.sign_ins, name, |s| s.at, None)
        {
            let pool = |model: &Model, s: &SignIn| model.pools[s.pool].name.clone();
            let failure = |s: &SignIn| if s.fail_open { "open" } else { "closed" }.to_owned();
            let join_names = |names: &[String]| {
                names.iter().cloned().collect::<BTreeSet<_>>().into_iter().collect::<Vec<_>>().join(" ")
            };
            let size = |bytes: Option<usize>| bytes.map_or("none".to_owned(), |b| format!("{b}B"));
            let limit = |l: ivygate_config::FailedCheckLimit| match l.rate {
                0.0 => "none".to_owned(),
                rate => format!("{rate}/s {}", l.burst),
            };
            let fewer = !a.answer_headers.iter().all(|name| b.answer_headers.contains(name));
            self.add_changed_rows(
                &subject,
                a.at,
                b.at,
                vec![
                    row("pool", pool(old, a), pool(new, b), Some("others say who may go on")),
                    row("path", a.path.clone(), b.path.clone(), Some("another question is asked")),
                    row(
                        "request-headers",
                        join_names(&a.request_headers),
                        join_names(&b.request_headers),
                        None,
                    ),
                    row(
                        "answer-headers",
                        join_names(&a.answer_headers),
                        join_names(&b.answer_headers),
                        fewer.then_some("clients may send these headers themselves now"),
                    ),
                    row("within", format_duration(a.within), format_duration(b.within), None),
                    row("body", size(a.body), size(b.body), Some("another question is asked")),
                    row("address-limit", limit(a.address_limit), limit(b.address_limit), None),
                    row("credential-limit", limit(a.credential_limit), limit(b.credential_limit), None),
                    row(
                        "cache-yes",
                        format_duration(a.cache_yes),
                        format_duration(b.cache_yes),
                        (b.cache_yes > a.cache_yes).then_some("a revoked pass stays good for longer"),
                    ),
                    row("cache-no", format_duration(a.cache_no), format_duration(b.cache_no), None),
                    row("cache-size", a.cache_size.to_string(), b.cache_size.to_string(), None),
                    row(
                        "cache-unsafe",
                        a.cache_unsafe.to_string(),
                        b.cache_unsafe.to_string(),
                        b.cache_unsafe.then_some("what must not run twice goes on by a remembered yes"),
                    ),
                    row(
                        "on-failure",
                        failure(a),
                        failure(b),
                        b.fail_open.then_some("requests go on unchecked where it fails"),
                    ),
                ],
            );
        }
    }

    fn journal(&mut self, old: &Model, new: &Model) {
        let at = |model: &Model| model.journal.as_ref().map_or(model.limits.at, |j| j.at);
        let folder = |model: &Model| model.journal.as_ref().map_or("none".to_owned(), |j| j.folder.clone());
        let level = |model: &Model| match &model.journal {
            None => "none",
            Some(journal) if journal.synced => "synced",
            Some(_) => "written",
        };
        let of = |model: &Model, value: &dyn Fn(&ivygate_config::Journal) -> String| {
            model.journal.as_ref().map_or("none".to_owned(), value)
        };
        let pair =
            |name: &'static str,
             value: &dyn Fn(&ivygate_config::Journal) -> String,
             risk: Option<&'static str>| { row(name, of(old, value), of(new, value), risk) };
        let operator =
            |model: &Model| model.operator.as_ref().map_or("none".into(), |o| o.address.to_string());
        let group = |model: &Model| {
            model.group.as_ref().map_or("none".into(), |g| {
                format!("{}, keys {}, {} peers", g.listen, g.keys.join(" "), g.peers.len())
            })
        };
        let gone = new.journal.is_none().then_some("what becomes of orders is recorded no more");
        let weaker = (level(new) == "written").then_some("records are lost with the machine");
        self.add_changed_rows(
            "journal",
            at(old),
            at(new),
            vec![
                row("folder", folder(old), folder(new), gone.or(Some("orders are recorded elsewhere"))),
                row("level", level(old).to_owned(), level(new).to_owned(), weaker),
                pair("keep", &|j| format_duration(j.keep), None),
                pair("disk", &|j| format!("{}B", j.disk), None),
                pair("keyed", &|j| (if j.keyed { "yes" } else { "no" }).to_owned(), None),
                pair("customers", &|j| (if j.hashed { "hashed" } else { "plain" }).to_owned(), None),
                pair("id-header", &|j| j.id_header.clone(), Some("ids of orders are read elsewhere")),
                row("operator", operator(old), operator(new), None),
                row("group", group(old), group(new), None),
            ],
        );
    }

    fn limits(&mut self, old: &Model, new: &Model) {
        let (a, b) = (&old.limits, &new.limits);
        let memory = |bytes: Option<usize>| bytes.map_or("not told".to_owned(), |b| format!("{b}B"));
        self.add_changed_rows(
            "limits",
            a.at,
            b.at,
            vec![
                row("descriptors", a.descriptors.to_string(), b.descriptors.to_string(), None),
                row("drain", format_duration(a.drain), format_duration(b.drain), None),
                row("memory", memory(a.memory), memory(b.memory), None),
            ],
        );
    }
}
