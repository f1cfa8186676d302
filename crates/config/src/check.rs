//! Converts statements to the checked model: types, units, references and consistency.

use crate::consistency;
use crate::diagnostic::{Diagnostic, Severity, Span};
use crate::expand::suggestion;
use crate::fields::{head_span, Fields, Findings, Quantity};
use crate::model::*;
use crate::plausibility;
use crate::syntax::{Block, Statement, Word};
use ipnet::IpNet;
use ivygate_routing::{HostMatch, MethodMatch, PathMatch, RequestTarget, RouteMatch};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

/// Number of file descriptors reserved for uses other than listeners and pools: standard streams, the runtime
/// and sockets that are being closed.
pub const RESERVED_DESCRIPTORS: usize = 48;
/// Methods that are safe by definition; the default of a route whose class is safe.
pub const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];
/// Maximum of any configured time except the journal's `keep`: one day.
pub const MAX_DURATION_MS: f64 = 86_400_000.0;

/// Default retention time of orders in the journal: 30 days.
const DEFAULT_JOURNAL_KEEP_MS: f64 = 30.0 * MAX_DURATION_MS;
/// Minimum retention time: longer than any request can take from its arrival to the end of its response.
const MIN_JOURNAL_KEEP_MS: f64 = 3.0 * MAX_DURATION_MS;
/// Default and minimum of the journal's disk limit in bytes.
const DEFAULT_JOURNAL_BYTES: f64 = 1_073_741_824.0;
const MIN_JOURNAL_BYTES: f64 = 67_108_864.0;

/// Maximum length of a route's path.
const MAX_PATH_BYTES: usize = 2048;

/// Checks the expanded statements. Returns the model unless there is an error.
pub fn check(root: &Block, findings: &Findings) -> Option<Model> {
    let end = Span::default();
    let fields = Fields::new("file", root.statements.first().map_or(end, head_span), root, findings);
    let limits = limits(&fields);
    let plans = plans(&fields);
    let identity = identity(&fields, &plans);
    let customers = customers(&fields, &plans);
    let classes = classes(&fields);
    let listeners = listeners(&fields);
    let pools = pools(&fields);
    let sign_ins = sign_ins(&fields, &pools);
    let routes = routes(&fields, &classes, &pools, &sign_ins);
    let journal = journal(&fields);
    let operator = operator(&fields, &listeners);
    let group = group(&fields, &pools);
    let mut model = Model {
        limits,
        identity,
        listeners,
        classes,
        plans,
        customers,
        pools,
        sign_ins,
        routes,
        journal,
        operator,
        group,
    };
    if model.plans.is_empty() {
        model.plans.push(Plan::without_quota("default"));
    }
    consistency::check(&fields, &model);
    fields.finish();
    let has_error = findings.borrow().iter().any(|f| f.severity == Severity::Error);
    (!has_error).then_some(model)
}

/// Maps the span of each substituted variable to the span of its definition.
pub fn variable_definitions(block: &Block) -> HashMap<Span, Span> {
    let mut all = HashMap::new();
    for statement in &block.statements {
        all.extend(statement.words.iter().filter_map(|word| Some((word.span, word.defined?))));
        if let Some(inner) = &statement.block {
            all.extend(variable_definitions(inner));
        }
    }
    all
}

fn limits(fields: &Fields) -> Limits {
    let (mut descriptors, mut drain, mut memory) = (1024.0, 30_000.0, None);
    let mut at = SourceSpan::default();
    if let Some(statement) = fields.single("limits") {
        let inner = fields.inner("limits block", statement);
        at = SourceSpan(inner.head);
        descriptors = inner.positive_or("descriptors", Quantity::Count, descriptors);
        drain = duration_or(&inner, "drain", drain);
        memory = inner.quantity("memory", Quantity::Size).map(|bytes| bytes as usize);
        inner.finish();
    }
    Limits { descriptors: descriptors as usize, drain, memory, at }
}

fn journal(fields: &Fields) -> Option<Journal> {
    let inner = fields.inner("journal block", fields.single("journal")?);
    let folder = inner.required("folder", "folder /var/lib/ivygate;").and_then(|s| inner.words(s, 1, 1));
    let folder = folder.map(|words| words[0].text.clone());
    let level_help = "write `level synced;` (outlives the machine) or `level written;` (the process)";
    let synced = is_first_choice(&inner, "level", ["synced", "written"], level_help);
    let customers = "write `customers plain;` or `customers hashed;`";
    let journal = Journal {
        folder: folder?,
        synced,
        keep: at_least(
            &inner,
            "keep",
            Quantity::Duration,
            DEFAULT_JOURNAL_KEEP_MS,
            MIN_JOURNAL_KEEP_MS,
            "72h",
        ),
        disk: at_least(&inner, "disk", Quantity::Size, DEFAULT_JOURNAL_BYTES, MIN_JOURNAL_BYTES, "64MiB")
            as u64,
        keyed: flag(&inner, "keyed"),
        hashed: !is_first_choice(&inner, "customers", ["plain", "hashed"], customers),
        id_header: inner
            .word("id-header")
            .and_then(|word| header_name(&inner, word))
            .unwrap_or("req-id".into()),
        at: SourceSpan(inner.head),
    };
    inner.finish();
    Some(journal)
}

/// Returns true if a statement has the first of two possible values or is missing.
fn is_first_choice(inner: &Fields, name: &'static str, words: [&str; 2], help: &str) -> bool {
    let Some(word) = inner.word(name) else { return true };
    if !words.contains(&word.text.as_str()) {
        let message = format!("`{name}` is `{}` or `{}`, not `{}`", words[0], words[1], word.text);
        inner.report(Diagnostic::error("IV0086", message, word.span, "here").help(help));
    }
    word.text != words[1]
}

/// Returns a quantity or its default; reports an error if it is below the minimum.
fn at_least(
    inner: &Fields,
    name: &'static str,
    quantity: Quantity,
    default: f64,
    minimum: f64,
    minimum_text: &str,
) -> f64 {
    let value = inner.positive_or(name, quantity, default);
    if let Some(word) = inner.word(name).filter(|_| value < minimum) {
        let message = format!("`{name}` is too small");
        let error = Diagnostic::error("IV0023", message, word.span, format!("at least {minimum_text}"));
        inner.report(error.help(format!("write `{name} {minimum_text};` or more")));
    }
    value.max(minimum)
}

fn operator(fields: &Fields, listeners: &[Listener]) -> Option<Operator> {
    let statement = fields.single("operator")?;
    let word = &fields.words(statement, 1, 1)?[0];
    let address = address(fields, word)?;
    let same_address = |l: &&Listener| {
        l.address.port() == address.port()
            && address.port() != 0
            && (l.address.ip() == address.ip()
                || l.address.ip().is_unspecified()
                || address.ip().is_unspecified())
    };
    if let Some(listener) = listeners.iter().find(same_address) {
        let message = "clients and operators have the same address";
        let error = Diagnostic::error("IV0043", message, word.span, "again here");
        fields.report(error.related(listener.at.0, "clients connect here"));
    }
    Some(Operator { address, at: SourceSpan(head_span(statement)) })
}

fn group(fields: &Fields, pools: &[Pool]) -> Option<Group> {
    let inner = fields.inner("group block", fields.single("group")?);
    let listen = inner.required("listen", "listen 127.0.0.1:7900;").and_then(|s| inner.words(s, 1, 1));
    let listen = listen.and_then(|words| address(&inner, &words[0]));
    let keys = inner.required("key", "key /etc/ivygate/group.key;").and_then(|s| inner.words(s, 1, 2));
    let peers = inner.required("peers", "peers 10.0.0.2:7900 10.0.0.3:7900;");
    let peers = peers.and_then(|s| inner.words(s, 1, Group::MAX_PEERS)).unwrap_or_default();
    let peers = peers.iter().filter_map(|word| address(&inner, word)).collect();
    if pools.iter().all(|pool| pool.domains.is_none()) {
        let message = "no pool judges its zones, so nothing is told";
        let warning = Diagnostic::warning("IV0109", message, inner.head, "in here");
        inner.report(warning.help("write `domains;` in a pool, or remove `group`"));
    }
    let keys = keys.unwrap_or_default().iter().map(|word| word.text.clone()).collect();
    let at = SourceSpan(inner.head);
    inner.finish();
    Some(Group { listen: listen?, keys, peers, at })
}

fn is_token(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    !text.is_empty() && text.bytes().all(is_allowed)
}

/// Parses a header name and converts it to lower case.
fn header_name(fields: &Fields, word: &Word) -> Option<String> {
    if is_token(&word.text) {
        return Some(word.text.to_ascii_lowercase());
    }
    let message = format!("`{}` cannot be a header's name", word.text);
    fields.report(
        Diagnostic::error("IV0030", message, word.span, "here").help("write a name such as `X-Customer`"),
    );
    None
}

/// Returns the name of a block; reports an error if it is missing or already used by a block of this kind.
fn block_name<'a>(
    fields: &Fields,
    kind: &str,
    statement: &'a Statement,
    seen: &mut HashMap<String, Span>,
) -> Option<&'a Word> {
    let Some(word) = statement.words.get(1) else {
        let message = format!("this {kind} has no name");
        fields.report(Diagnostic::error(
            "IV0031",
            message,
            statement.words[0].span,
            "a name is expected after this",
        ));
        return None;
    };
    if let Some(first) = seen.get(&word.text) {
        let kinds = if kind == "class" { "classes".to_owned() } else { format!("{kind}s") };
        let message = format!("two {kinds} are named `{}`", word.text);
        let error = Diagnostic::error("IV0032", message, word.span, "named again here");
        fields.report(error.related(*first, "first named here").help("give one of them another name"));
    } else {
        seen.insert(word.text.clone(), word.span);
    }
    Some(word)
}

/// Returns the index of the item that a word names; reports an error if there is none.
fn resolve<T>(
    fields: &Fields,
    kind: &str,
    word: &Word,
    all: &[T],
    name: impl Fn(&T) -> &str,
) -> Option<usize> {
    let found = all.iter().position(|one| name(one) == word.text);
    if found.is_none() {
        let message = format!("there is no {kind} named `{}`", word.text);
        let error = Diagnostic::error("IV0033", message, word.span, "not defined in this file");
        let known: Vec<&str> = all.iter().map(name).collect();
        fields.report(error.help(suggestion(&word.text, &known)));
    }
    found
}

fn duration_or(fields: &Fields, name: &'static str, default: f64) -> f64 {
    let value = fields.positive_or(name, Quantity::Duration, default);
    if value > MAX_DURATION_MS {
        if let Some(word) = fields.word(name) {
            let message = format!("`{name}` is longer than a day");
            fields.report(Diagnostic::error("IV0023", message, word.span, "at most 24h"));
        }
    }
    value.min(MAX_DURATION_MS)
}

fn plans(fields: &Fields) -> Vec<Plan> {
    let mut seen = HashMap::new();
    let mut plans = Vec::new();
    for statement in fields.all("plan") {
        let Some(name) = block_name(fields, "plan", statement, &mut seen) else { continue };
        let inner = fields.inner("plan", statement);
        let quota = inner.quantity_or("quota", Quantity::Rate, 0.0);
        let confirmed = ["quota", "burst"].into_iter().any(|name| inner.is_confirmed(name));
        if quota == 0.0 && !inner.all("quota").is_empty() && !confirmed {
            if let Some(word) =
                inner.word("burst").filter(|w| inner.quantity_in(w, Quantity::Number) == Some(0.0))
            {
                let message = format!("the plan `{}` lets nothing through", name.text);
                let error = Diagnostic::error("IV0094", message, word.span, "and nothing is saved up");
                inner.report(error.help("write `burst 0 meant;` if that is right"));
            }
        }
        let ceiling = inner.quantity_or("ceiling", Quantity::Rate, 0.0);
        let plan = Plan {
            name: name.text.clone(),
            quota,
            burst: inner.quantity_or("burst", Quantity::Number, (2.0 * quota).max(1.0)),
            open: inner.quantity_or("open", Quantity::Count, 0.0) as u32,
            ceiling,
            ceiling_burst: inner.quantity_or("ceiling-burst", Quantity::Number, (2.0 * ceiling).max(1.0)),
            ceiling_slack: inner.quantity_or("ceiling-slack", Quantity::Number, 0.0),
            price: inner.positive_or("price", Quantity::Number, 1.0),
            excess_worth: inner.quantity_or("excess-worth", Quantity::Share, 0.0),
            excess_cost: inner.positive_or("excess-cost", Quantity::Number, 1.0),
            at: SourceSpan(inner.head),
        };
        for (name, rate, burst) in
            [("burst", plan.quota, plan.burst), ("ceiling-burst", plan.ceiling, plan.ceiling_burst)]
        {
            if rate > 0.0 && burst < 1.0 {
                let at = inner.single(name).map_or(inner.head, |s| s.span);
                let error = Diagnostic::error(
                    "IV0049",
                    format!("`{name}` holds less than one unit"),
                    at,
                    "nothing passes",
                );
                inner.report(
                    error.help(format!("write `{name} 1;` or more: what a customer may use at one moment")),
                );
            }
        }
        if plan.quota > 0.0 && plan.ceiling > 0.0 && plan.ceiling < plan.quota {
            let at = inner.single("ceiling").map_or(inner.head, |s| s.span);
            let quota = inner.single("quota").map_or(inner.head, |s| s.span);
            let error = Diagnostic::error("IV0040", "the ceiling lies below the quota", at, "this is less");
            inner.report(
                error
                    .related(quota, "than this")
                    .help("a ceiling bounds what a quota already allows; raise it"),
            );
        }
        inner.finish();
        plans.push(plan);
    }
    plans
}

fn identity(fields: &Fields, plans: &[Plan]) -> Identity {
    let mut identity = Identity {
        customer: CustomerSource::Address,
        plan_header: None,
        default_plan: 0,
        deadline_header: None,
        at: SourceSpan::default(),
    };
    let Some(statement) = fields.single("identity") else { return identity };
    let inner = fields.inner("identity block", statement);
    identity.at = SourceSpan(inner.head);
    if let Some(words) = inner.single("customer").and_then(|s| inner.words(s, 1, 2)) {
        let from = match (words[0].text.as_str(), words.get(1)) {
            ("header", Some(name)) => header_name(&inner, name).map(CustomerSource::Header),
            ("cookie", Some(name)) if is_token(&name.text) => Some(CustomerSource::Cookie(name.text.clone())),
            ("address", None) => Some(CustomerSource::Address),
            ("name", Some(name)) => Some(CustomerSource::Fixed(name.text.clone())),
            _ => {
                let message = "it is not told where a customer's name comes from";
                let error = Diagnostic::error("IV0034", message, words[0].span, "not understood");
                let help = "write `customer header NAME;`, `customer cookie NAME;`, `customer address;` or \
                            `customer name NAME;`";
                inner.report(error.help(help));
                None
            }
        };
        identity.customer = from.unwrap_or(CustomerSource::Address);
    }
    let header_of = |name| {
        let words = inner.words(inner.single(name)?, 2, 2)?;
        if words[0].text != "header" {
            let error = Diagnostic::error(
                "IV0035",
                format!("`{name}` can only come from a header"),
                words[0].span,
                "here",
            );
            inner.report(error.help(format!("write `{name} header NAME;`")));
            return None;
        }
        header_name(&inner, &words[1])
    };
    identity.plan_header = header_of("plan");
    identity.deadline_header = header_of("deadline");
    if let Some(word) = inner.word("default-plan") {
        identity.default_plan = resolve(&inner, "plan", word, plans, |p| &p.name).unwrap_or(0);
    }
    inner.finish();
    identity
}

fn customers(fields: &Fields, plans: &[Plan]) -> Vec<Customer> {
    let mut seen = HashMap::new();
    let mut customers = Vec::new();
    for statement in fields.all("customer") {
        let Some(name) = block_name(fields, "customer", statement, &mut seen) else { continue };
        if statement.words.len() > 2 {
            fields.words(statement, 1, 1);
        }
        let inner = fields.inner("customer", statement);
        if let Some(word) = inner.required("plan", "plan NAME;").and_then(|s| inner.words(s, 1, 1)) {
            if let Some(plan) = resolve(&inner, "plan", &word[0], plans, |p| &p.name) {
                customers.push(Customer { name: name.text.clone(), plan, at: SourceSpan(inner.head) });
            }
        }
        inner.finish();
    }
    customers
}

fn classes(fields: &Fields) -> Vec<Class> {
    let mut seen = HashMap::new();
    let mut classes = Vec::new();
    for statement in fields.all("class") {
        let Some(name) = block_name(fields, "class", statement, &mut seen) else { continue };
        let inner = fields.inner("class", statement);
        let deadline = match inner.required("deadline", "deadline 2s;") {
            Some(_) => duration_or(&inner, "deadline", 1000.0),
            None => 1000.0,
        };
        let effect = effect(&inner);
        let key = inner.word("key").and_then(|word| header_name(&inner, word));
        let aim = duration_or(&inner, "aim", deadline / 2.0);
        let class = Class {
            name: name.text.clone(),
            effect: effect.unwrap_or(Effect::Unsafe),
            repeat: repeat(&inner).unwrap_or(match effect {
                Some(Effect::Safe | Effect::Keyed(..)) => RepeatPolicy::Sent,
                Some(Effect::Unsafe) | None => RepeatPolicy::Unsent,
            }),
            key_header: key.unwrap_or_else(|| "idempotency-key".to_owned()),
            aim,
            deadline,
            work: duration_or(&inner, "work", aim / 100.0),
            upload: duration_or(&inner, "upload", 60_000.0),
            worth: inner.positive_or("worth", Quantity::Number, 1.0),
            late_worth: inner.quantity_or("late-worth", Quantity::Share, 0.2),
            units: inner.positive_or("units", Quantity::Number, 1.0),
            at: SourceSpan(inner.head),
        };
        if class.effect == Effect::Unsafe && class.repeat == RepeatPolicy::Sent && effect.is_some() {
            let at = inner.single("repeat").map_or(inner.head, |s| s.span);
            let related = inner.single("effect").map_or(inner.head, |s| s.span);
            let error = Diagnostic::error(
                "IV0072",
                "an unsafe class cannot be repeated after a send",
                at,
                "would run twice",
            );
            inner.report(
                error
                    .related(related, "must never run twice")
                    .help("write `repeat unsent;`, or `effect keyed;` if servers drop repeats by a key"),
            );
        }
        if class.aim > class.deadline {
            let at = inner.single("aim").map_or(inner.head, |s| s.span);
            let related = inner.single("deadline").map_or(inner.head, |s| s.span);
            let error = Diagnostic::error("IV0041", "the aim lies beyond the deadline", at, "longer");
            inner.report(
                error
                    .related(related, "than this")
                    .help("an aim is the time in which an answer is worth all; shorten it"),
            );
        }
        inner.finish();
        classes.push(class);
    }
    classes
}

fn repeat(inner: &Fields) -> Option<RepeatPolicy> {
    let word = inner.word("repeat")?;
    match word.text.as_str() {
        "unsent" => Some(RepeatPolicy::Unsent),
        "sent" => Some(RepeatPolicy::Sent),
        other => {
            let message = format!("repeats after `{other}` are not known");
            let error = Diagnostic::error("IV0071", message, word.span, "here");
            inner.report(error.help(
                "write `repeat unsent;` (only if no attempt can have run) or `repeat sent;` (also after one \
                 that may have run)",
            ));
            None
        }
    }
}

fn scope(inner: &Fields, word: &Word) -> Option<Scope> {
    match word.text.as_str() {
        "all" => Some(Scope::All),
        "zone" => Some(Scope::Zone),
        "cell" => Some(Scope::Cell),
        other => {
            let error =
                Diagnostic::error("IV0036", format!("there is no scope `{other}`"), word.span, "here");
            inner.report(
                error.help("write `all`, `zone` or `cell`: the servers that drop each other's repeats"),
            );
            None
        }
    }
}

fn flag(inner: &Fields, name: &'static str) -> bool {
    match inner.word(name).map(|word| (word, word.text.as_str())) {
        None | Some((_, "no")) => false,
        Some((_, "yes")) => true,
        Some((word, other)) => {
            let message = format!("`{name}` is `yes` or `no`, not `{other}`");
            inner.report(
                Diagnostic::error("IV0086", message, word.span, "here").help(format!("write `{name} no;`")),
            );
            false
        }
    }
}

fn effect(inner: &Fields) -> Option<Effect> {
    let statement = inner.required("effect", "effect safe;`, `effect keyed;` or `effect unsafe;")?;
    let word = &inner.words(statement, 1, 1)?[0];
    let keyed = word.text == "keyed";
    let (scope, window) = (inner.single("scope"), inner.single("window"));
    if !keyed {
        for extra in [scope, window, inner.single("key")].into_iter().flatten() {
            let message = format!("`{}` belongs to keyed classes only", extra.words[0].text);
            let error = Diagnostic::error("IV0042", message, extra.span, "no repeat is dropped here");
            inner
                .report(error.related(word.span, format!("the effect is `{}`", word.text)).help("remove it"));
        }
    }
    match word.text.as_str() {
        "safe" => Some(Effect::Safe),
        "unsafe" => Some(Effect::Unsafe),
        "keyed" => {
            let scope = &inner.words(inner.required("scope", "scope zone;")?, 1, 1)?[0];
            inner.required("window", "window 15s;")?;
            let window = duration_or(inner, "window", 1000.0);
            let scope = self::scope(inner, scope)?;
            Some(Effect::Keyed(scope, window))
        }
        other => {
            let error =
                Diagnostic::error("IV0037", format!("there is no effect `{other}`"), word.span, "here");
            inner.report(
                error.help("write `safe` (may run any number of times), `keyed` or `unsafe` (never twice)"),
            );
            None
        }
    }
}

fn address(fields: &Fields, word: &Word) -> Option<SocketAddr> {
    let address = word.text.parse().ok();
    if address.is_none() {
        let message = format!("`{}` is not an address with a port", word.text);
        let error = Diagnostic::error("IV0038", message, word.span, "here");
        fields.report(
            error.help("write one such as `127.0.0.1:8080` or `[::1]:8080`; names are not looked up"),
        );
    }
    address
}

fn listeners(fields: &Fields) -> Vec<Listener> {
    let mut listeners: Vec<Listener> = Vec::new();
    for statement in fields.all("listen") {
        let Some(word) = statement.words.get(1) else {
            fields.report(Diagnostic::error(
                "IV0014",
                "`listen` lacks an address",
                statement.words[0].span,
                "here",
            ));
            continue;
        };
        let Some(address) = address(fields, word) else { continue };
        if let Some(other) = listeners.iter().find(|l| l.address == address && address.port() != 0) {
            let error =
                Diagnostic::error("IV0043", "two listeners have the same address", word.span, "again here");
            fields.report(error.related(other.at.0, "first here"));
        }
        let inner = fields.inner("listener", statement);
        let mut trusted = Vec::new();
        for list in inner.all("trusted") {
            for word in inner.words(list, 1, usize::MAX).unwrap_or_default() {
                let net =
                    word.text.parse().ok().or_else(|| word.text.parse::<IpAddr>().ok().map(IpNet::from));
                match net {
                    Some(net) => trusted.push(net),
                    None => {
                        let message = format!("`{}` is not an address or a network", word.text);
                        let error = Diagnostic::error("IV0039", message, word.span, "here");
                        inner.report(error.help("write one such as `127.0.0.1` or `10.0.0.0/8`"));
                    }
                }
            }
        }
        listeners.push(Listener {
            address,
            trusted,
            connections: inner.positive_or("connections", Quantity::Count, 256.0) as usize,
            head: inner.positive_or("head", Quantity::Size, 16384.0) as usize,
            head_within: duration_or(&inner, "head-within", 10_000.0),
            body_stall: duration_or(&inner, "body-stall", 10_000.0),
            read_stall: duration_or(&inner, "read-stall", 30_000.0),
            idle: duration_or(&inner, "idle", 60_000.0),
            answer_within: duration_or(&inner, "answer-within", MAX_DURATION_MS),
            answers_checks: inner
                .single("answers-checks")
                .and_then(|s| inner.words(s, 1, 1))
                .and_then(|w| request_path(&inner, &w[0]))
                .map(|p| p.split('?').next().unwrap_or("").to_owned()),
            ids_kept: duration_or(&inner, "ids-kept", 60_000.0),
            at: SourceSpan(inner.head),
        });
        if let Some(word) = inner.word("head").filter(|_| listeners.last().is_some_and(|l| l.head < 8192)) {
            let error = Diagnostic::error(
                "IV0044",
                "heads of requests need 8KiB at the least",
                word.span,
                "too small",
            );
            inner.report(error.help("write `head 16KiB;`"));
        }
        inner.finish();
    }
    listeners
}

fn pools(fields: &Fields) -> Vec<Pool> {
    let mut seen = HashMap::new();
    let mut pools: Vec<Pool> = Vec::new();
    for statement in fields.all("pool") {
        let Some(name) = block_name(fields, "pool", statement, &mut seen) else { continue };
        let inner = fields.inner("pool", statement);
        let zone = inner.text_or("zone", "");
        let mut errors = vec![502, 503, 504];
        if let Some(statement) = inner.single("errors") {
            let words = inner.words(statement, 0, 64).unwrap_or_default();
            errors = words.iter().filter_map(|word| server_error_status(&inner, word)).collect();
        }
        let declined = inner
            .single("declined")
            .and_then(|s| inner.words(s, 2, 2))
            .and_then(|words| Some((header_name(&inner, &words[0])?, words[1].text.clone())));
        let cold = inner.single("cold").map(|statement| {
            let block = inner.inner("cold block", statement);
            let cold = ColdStart {
                from: block.quantity_or("from", Quantity::Share, 0.2),
                warm: duration_or(&block, "warm", 10_000.0),
                fall: block.positive_or("fall", Quantity::Number, 2.0),
                window: duration_or(&block, "for", 1_000.0),
            };
            block.finish();
            cold
        });
        let domains =
            inner.single("domains").map(|statement| domains(inner.inner("domains block", statement)));
        let drops_repeats =
            inner.single("drops-repeats").and_then(|s| inner.words(s, 2, 2)).and_then(|words| {
                let time = inner.quantity_in(&words[1], Quantity::Duration)?;
                Some((scope(&inner, &words[0])?, time.min(MAX_DURATION_MS)))
            });
        let shares = inner.single("shares-servers-with").and_then(|s| inner.words(s, 1, 64));
        let shares_servers_with = shares.unwrap_or_default().iter().map(|word| word.text.clone()).collect();
        let servers = servers(&inner, &zone);
        if servers.is_empty() && inner.all("server").is_empty() {
            let error = Diagnostic::error("IV0045", "this pool has no server", inner.head, "in here");
            inner.report(error.help("write `server NAME 127.0.0.1:9000;`"));
        }
        let domains = domains.map(|(domains, words)| {
            check_maintenance_zones(&inner, &domains, words, &servers);
            domains
        });
        pools.push(Pool {
            name: name.text.clone(),
            zone,
            sidecars: inner.positive_or("sidecars", Quantity::Count, 1.0) as u32,
            attempts: inner.positive_or("attempts", Quantity::Count, 3.0) as u32,
            connections: inner.positive_or("connections", Quantity::Count, 128.0) as usize,
            requests: inner.positive_or("requests", Quantity::Count, 128.0) as usize,
            buffered: inner.positive_or("buffered", Quantity::Size, 8.0 * 1_048_576.0) as usize,
            repeat_limit: inner.quantity_or("repeat-limit", Quantity::Size, 65536.0) as usize,
            connect: duration_or(&inner, "connect", 1_000.0),
            keep: duration_or(&inner, "keep", 4_000.0),
            answer_stall: duration_or(&inner, "answer-stall", 10_000.0),
            errors,
            declined,
            cold,
            drops_repeats,
            second_copies: flag(&inner, "second-copies"),
            shares_servers_with,
            cross_zone: inner.quantity_or("cross-zone", Quantity::Share, 0.0),
            domains,
            servers,
            at: SourceSpan(inner.head),
        });
        inner.finish();
    }
    pools
}

/// Reads a `domains` block; also returns the words that name its maintenance zones.
fn domains<'a>(block: Fields<'a>) -> (Domains, &'a [Word]) {
    let words = block.single("works").and_then(|s| block.words(s, 1, 64)).unwrap_or_default();
    let distrust = match block.quantity_or("distrust", Quantity::Share, 0.5) {
        share if share > 0.0 => share,
        _ => {
            let at = block.word("distrust").map_or(block.head, |word| word.span);
            let error = Diagnostic::error("IV0024", "`distrust` is zero", at, "must be above zero");
            block.report(error.help("write `leave no;` to leave no zone by what is seen of it"));
            0.5
        }
    };
    let leave = block.single("leave").is_none() || flag(&block, "leave");
    let maintenance_zones = words.iter().map(|word| word.text.clone()).collect();
    block.finish();
    (Domains { leave, maintenance_zones, distrust }, words)
}

/// Checks that the maintenance zones exist and that at least one other zone is left.
fn check_maintenance_zones(pool: &Fields, domains: &Domains, words: &[Word], servers: &[Server]) {
    let mut zones: Vec<&str> = servers.iter().map(|server| server.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    for word in words.iter().filter(|word| !zones.contains(&word.text.as_str())) {
        let message = format!("the zone `{}` has no server in this pool", word.text);
        let error = Diagnostic::error("IV0095", message, word.span, "no such zone");
        pool.report(error.help(suggestion(&word.text, &zones)));
    }
    let all_in_maintenance =
        zones.iter().all(|zone| domains.maintenance_zones.iter().any(|name| name == zone));
    if let (Some(word), true, false) = (words.first(), all_in_maintenance, zones.is_empty()) {
        let error =
            Diagnostic::error("IV0096", "all zones of this pool are in works", word.span, "nothing is left");
        pool.report(error.help("leave one of them out, or take the pool out of its routes"));
    }
    if zones.len() == 1 && words.is_empty() {
        let message = "this pool has one zone, and none that it could be left for";
        let warning = Diagnostic::warning("IV0108", message, pool.head, "in here");
        pool.report(warning.help("say `zone NAME` at its servers, or remove `domains`"));
    }
}

fn server_error_status(fields: &Fields, word: &Word) -> Option<u16> {
    let status = word.text.parse().ok().filter(|s| (500..600).contains(s));
    if status.is_none() {
        let message = format!("`{}` is not a status of a server's failure", word.text);
        let error = Diagnostic::error("IV0046", message, word.span, "here");
        fields.report(error.help("write statuses from 500 to 599; all others are the application's answer"));
    }
    status
}

fn servers(pool: &Fields, own_zone: &str) -> Vec<Server> {
    let mut seen = HashMap::new();
    let mut servers: Vec<Server> = Vec::new();
    for statement in pool.all("server") {
        let Some(name) = block_name(pool, "server", statement, &mut seen) else { continue };
        let Some(word) = statement.words.get(2) else {
            let message = format!("the server `{}` has no address", name.text);
            let error = Diagnostic::error("IV0014", message, name.span, "an address is expected after this");
            pool.report(error.help(format!("write `server {} 127.0.0.1:9000;`", name.text)));
            continue;
        };
        let Some(address) = address(pool, word) else { continue };
        if let Some(extra) = statement.words.get(3) {
            let error =
                Diagnostic::error("IV0015", "a server has a value too many", extra.span, "not expected here");
            pool.report(error.help("further settings stand in a block: `{ zone north; weight 2; }`"));
        }
        if let Some(other) = servers.iter().find(|s| s.address == address) {
            let error =
                Diagnostic::error("IV0047", "a server is listed twice in this pool", word.span, "again here");
            pool.report(
                error
                    .related(other.at.0, "first here")
                    .help("a server counts once; use `weight` for a larger one"),
            );
        }
        if address.port() == 0 {
            let error = Diagnostic::error("IV0092", "a server has port 0", word.span, "reaches nobody");
            pool.report(error.help("write the port on which it listens"));
        }
        let inner = pool.inner("server", statement);
        let state = inner.word("state");
        let draining = match state.map(|w| w.text.as_str()) {
            None | Some("serving") => false,
            Some("draining") => true,
            Some(other) => {
                let at = state.map_or(inner.head, |w| w.span);
                let error = Diagnostic::error("IV0048", format!("there is no state `{other}`"), at, "here");
                inner.report(error.help("write `serving` or `draining`"));
                false
            }
        };
        servers.push(Server {
            name: name.text.clone(),
            address,
            zone: inner.text_or("zone", own_zone),
            cell: inner.quantity_or("cell", Quantity::Count, 0.0) as u32,
            weight: inner.positive_or("weight", Quantity::Number, 1.0),
            draining,
            at: SourceSpan(head_span(statement)),
        });
        inner.finish();
    }
    servers
}

/// Headers that control framing, the connection or routing; they cannot be carried to or from a sign-in
/// service.
const CONNECTION_HEADERS: [&str; 12] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-forwarded-for",
];

fn sign_ins(fields: &Fields, pools: &[Pool]) -> Vec<SignIn> {
    let mut seen = HashMap::new();
    let mut sign_ins = Vec::new();
    for statement in fields.all("sign-in") {
        let Some(name) = block_name(fields, "sign-in", statement, &mut seen) else { continue };
        let inner = fields.inner("sign-in", statement);
        let pool = inner.required("pool", "pool NAME;").and_then(|s| inner.words(s, 1, 1));
        let pool = pool.and_then(|w| resolve(&inner, "pool", &w[0], pools, |p| &p.name));
        let path = inner.required("path", "path /check;").and_then(|s| inner.words(s, 1, 1));
        let path = path.and_then(|words| request_path(&inner, &words[0]));
        let headers = |name, default: &[&str]| -> Vec<String> {
            match inner.single(name).and_then(|s| inner.words(s, 1, 64)) {
                None => default.iter().map(|d| (*d).to_owned()).collect(),
                Some(words) => words
                    .iter()
                    .filter_map(|word| {
                        let name = header_name(&inner, word)?;
                        if CONNECTION_HEADERS.contains(&name.as_str()) {
                            let message = format!("`{}` belongs to the connection", word.text);
                            let error =
                                Diagnostic::error("IV0085", message, word.span, "cannot be carried over");
                            inner.report(error.help("name headers such as `Authorization` or `X-User`"));
                            return None;
                        }
                        Some(name)
                    })
                    .collect(),
            }
        };
        let fail_open = match inner.word("on-failure").map(|word| (word, word.text.as_str())) {
            None | Some((_, "closed")) => false,
            Some((_, "open")) => true,
            Some((word, other)) => {
                let error = Diagnostic::error(
                    "IV0086",
                    format!("`on-failure` is `closed` or `open`, not `{other}`"),
                    word.span,
                    "here",
                );
                inner.report(error.help("write `on-failure closed;`"));
                false
            }
        };
        let (request_headers, answer_headers) =
            (headers("request-headers", &["authorization", "cookie"]), headers("answer-headers", &[]));
        let within = duration_or(&inner, "within", 500.0);
        let body = inner.quantity("body", Quantity::Size).map(|bytes| bytes as usize);
        let (address_limit, credential_limit) =
            (failed_check_limit(&inner, "address-limit"), failed_check_limit(&inner, "credential-limit"));
        let remembered = |name| inner.quantity_or(name, Quantity::Duration, 0.0).min(MAX_DURATION_MS);
        let (cache_yes, cache_no) = (remembered("cache-yes"), remembered("cache-no"));
        let cache_size = inner.positive_or("cache-size", Quantity::Count, 10_000.0) as usize;
        let cache_unsafe = flag(&inner, "cache-unsafe");
        let at = SourceSpan(inner.head);
        inner.finish();
        // A sign-in with errors is kept, so that routes that refer to it are not reported as well.
        let (pool, path) = (pool.unwrap_or(0), path.unwrap_or_default());
        let name = name.text.clone();
        sign_ins.push(SignIn {
            name,
            pool,
            path,
            request_headers,
            answer_headers,
            within,
            body,
            address_limit,
            credential_limit,
            fail_open,
            cache_yes,
            cache_no,
            cache_size,
            cache_unsafe,
            at,
        });
    }
    sign_ins
}

/// Reads a limit on failed checks: a rate and an optional burst.
fn failed_check_limit(inner: &Fields, name: &'static str) -> FailedCheckLimit {
    let none = FailedCheckLimit { rate: 0.0, burst: 0.0 };
    let Some(words) = inner.single(name).and_then(|s| inner.words(s, 1, 2)) else { return none };
    let Some(rate) = inner.quantity_in(&words[0], Quantity::Rate) else { return none };
    if !inner.is_confirmed(name) {
        if let Some(implausible) = plausibility::implausible_value("sign-in", name, &words[0].text, rate) {
            inner.report(implausible.diagnostic(name, &words[0]));
        }
    }
    // The default burst covers two seconds, and at least 10 for checks that are in flight at the same time.
    let burst = words.get(1).and_then(|word| inner.quantity_in(word, Quantity::Count));
    FailedCheckLimit { rate, burst: burst.unwrap_or((2.0 * rate).max(10.0)).max(1.0) }
}

/// Parses a path and query and normalizes it.
fn request_path(fields: &Fields, word: &Word) -> Option<String> {
    match RequestTarget::parse(&word.text) {
        Ok(target) if word.text.starts_with('/') => Some(target.path_and_query()),
        _ => {
            let error = Diagnostic::error("IV0052", "this is no path", word.span, "here");
            fields.report(error.help("write one such as `/check`"));
            None
        }
    }
}

fn routes(fields: &Fields, classes: &[Class], pools: &[Pool], sign_ins: &[SignIn]) -> Vec<Route> {
    let mut seen = HashMap::new();
    let mut routes = Vec::new();
    for statement in fields.all("route") {
        let Some(name) = block_name(fields, "route", statement, &mut seen) else { continue };
        let inner = fields.inner("route", statement);
        let host = match inner.word("host") {
            None => Some(HostMatch::Any),
            Some(word) => HostMatch::parse(&word.text)
                .map_err(|error| {
                    let error = Diagnostic::error("IV0050", format!("{error}"), word.span, "here");
                    inner.report(
                        error.help("write `tiles.example.org`, `*.example.org` or `*`, without a port"),
                    );
                })
                .ok(),
        };
        let path = path(&inner);
        let class = inner.required("class", "class NAME;").and_then(|s| inner.words(s, 1, 1));
        let class = class.and_then(|w| resolve(&inner, "class", &w[0], classes, |c| &c.name));
        let pool = inner.required("pool", "pool NAME;").and_then(|s| inner.words(s, 1, 1));
        let pool = pool.and_then(|w| resolve(&inner, "pool", &w[0], pools, |p| &p.name));
        let methods = methods(&inner, class.and_then(|c| classes.get(c)));
        let repeat = route_repeat(&inner, class.and_then(|c| classes.get(c)));
        let sign_in = inner.single("sign-in").and_then(|statement| {
            let Some(word) = statement.words.get(1) else {
                let message = "this route wants a sign-in and names no service";
                let error = Diagnostic::error("IV0084", message, head_span(statement), "asked of whom?");
                inner.report(error.help("write `sign-in NAME;`, or remove it if the route is open to all"));
                return None;
            };
            inner.words(statement, 1, 1)?;
            resolve(&inner, "sign-in", word, sign_ins, |s| &s.name)
        });
        let at = SourceSpan(inner.head);
        inner.finish();
        if let (Some(host), Some(path), Some(methods), Some(class), Some(pool)) =
            (host, path, methods, class, pool)
        {
            let matcher = RouteMatch { host, path, methods };
            routes.push(Route { name: name.text.clone(), matcher, class, pool, repeat, sign_in, at });
        }
    }
    routes
}

/// Returns the repeat policy of a route, which may only be stricter than that of its class.
fn route_repeat(inner: &Fields, class: Option<&Class>) -> RepeatPolicy {
    let of_class = class.map_or(RepeatPolicy::Unsent, |c| c.repeat);
    let policy = repeat(inner).unwrap_or(of_class);
    // A looser policy of an unsafe class itself is reported at the class.
    if let (Some(class), true) = (class, policy > of_class) {
        let at = inner.single("repeat").map_or(inner.head, |s| s.span);
        let message = format!("this route repeats what its class `{}` does not", class.name);
        let error = Diagnostic::error("IV0072", message, at, "this could run a request twice");
        inner.report(
            error
                .related(class.at.0, "its class")
                .help("remove it, or give the route a class that is `safe` or `keyed`"),
        );
        return of_class;
    }
    policy
}

fn path(inner: &Fields) -> Option<PathMatch> {
    let Some(statement) = inner.single("path") else {
        return PathMatch::prefix("/").ok();
    };
    let words = inner.words(statement, 2, 2)?;
    let text = &words[1].text;
    if text.len() > MAX_PATH_BYTES {
        let message = format!("a path has more than {MAX_PATH_BYTES} characters");
        inner.report(
            Diagnostic::error("IV0052", message, words[1].span, "no request can match").help("shorten it"),
        );
        return None;
    }
    let matcher = match words[0].text.as_str() {
        "exact" => PathMatch::exact(text),
        "prefix" => PathMatch::prefix(text),
        "pattern" => PathMatch::pattern(text),
        other => {
            let error = Diagnostic::error(
                "IV0051",
                format!("paths are not matched by `{other}`"),
                words[0].span,
                "here",
            );
            inner.report(error.help("write `path exact /p;`, `path prefix /p;` or `path pattern /p/*/q;`"));
            return None;
        }
    };
    matcher
        .map_err(|error| {
            let error = Diagnostic::error("IV0052", error.to_string(), words[1].span, "no request can match");
            inner
                .report(error.help("write the path as it is after `.`, `..`, `//` and escapes are resolved"));
        })
        .ok()
}

fn methods(inner: &Fields, class: Option<&Class>) -> Option<MethodMatch> {
    let safe = class.is_some_and(|c| c.effect == Effect::Safe);
    let Some(statement) = inner.single("methods") else {
        return Some(if safe {
            MethodMatch::Named(SAFE_METHODS.map(str::to_owned).to_vec())
        } else {
            MethodMatch::Any
        });
    };
    let words = inner.words(statement, 1, 64)?;
    let mut names: Vec<String> = Vec::new();
    for word in words {
        if !is_token(&word.text) || word.text.bytes().any(|b| b.is_ascii_lowercase()) {
            let error =
                Diagnostic::error("IV0053", format!("`{}` is not a method", word.text), word.span, "here");
            inner.report(error.help("methods are written in capitals, such as `GET POST`"));
            return None;
        }
        if safe && !inner.is_confirmed("methods") && ["POST", "PATCH"].contains(&word.text.as_str()) {
            let message = format!("`{}` requests of this route may be sent twice", word.text);
            let error = Diagnostic::warning("IV0101", message, word.span, "its class is `safe`");
            inner.report(
                error.help(format!(
                    "give the route a class that is `unsafe` or `keyed`, or write `methods {} meant;` if they change nothing",
                    word.text
                )),
            );
        }
        if !names.contains(&word.text) {
            names.push(word.text.clone());
        }
    }
    Some(MethodMatch::Named(names))
}
