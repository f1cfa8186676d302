//! Checks of the whole configuration: contradictory values, unreachable routes, and limits whose total
//! exceeds the resources of the process.

use crate::check::{MAX_DURATION_MS, RESERVED_DESCRIPTORS};
use crate::diagnostic::{Diagnostic, Span};
use crate::fields::{head_span, is_confirmed, Fields};
use crate::model::*;
use crate::syntax::Statement;
use ivygate_routing::{MethodMatch, RouteTable};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

/// Time for which servers are assumed to drop repeats if their pool does not set it.
const DEFAULT_KEY_RETENTION_MS: f64 = 15_000.0;
/// Estimated memory use of the process itself, of an active client connection and of a server connection.
const PROCESS_MEMORY_BYTES: usize = 16 << 20;
const CLIENT_CONNECTION_BYTES: usize = 200 << 10;
const SERVER_CONNECTION_BYTES: usize = 136 << 10;

/// Checks the whole model and reports findings.
pub fn check(fields: &Fields, model: &Model) {
    check_required_blocks(fields);
    check_route_table(fields, model);
    check_repeats(fields, model);
    check_times(fields, model);
    check_plans(fields, model);
    check_servers(fields, model);
    check_trust(fields, model);
    check_sign_ins(fields, model);
    check_forward_auth_listeners(fields, model);
    check_loops(fields, model);
    check_totals(fields, model);
    check_unused(fields, model);
}

/// Returns a statement of the block with the given kind and name.
fn setting<'a>(fields: &Fields<'a>, kind: &'static str, name: &str, part: &str) -> Option<&'a Statement> {
    let named = |s: &&Statement| s.words.get(1).is_some_and(|w| w.text == name);
    let block = fields.all(kind).into_iter().find(named)?.block.as_ref()?;
    block.statements.iter().find(|s| s.words[0].text == part)
}

/// Returns the span of that statement, or that of the block if it is missing.
fn setting_span(fields: &Fields, kind: &'static str, name: &str, statement: &str, at: SourceSpan) -> Span {
    setting(fields, kind, name, statement).map_or(at.0, head_span)
}

/// Returns true if a block has an error, so that its values may not be the intended ones.
fn has_errors(fields: &Fields, kind: &'static str, name: &str) -> bool {
    let named = |s: &&Statement| s.words.get(1).is_some_and(|w| w.text == name);
    fields.all(kind).into_iter().filter(named).any(|s| fields.has_error_in(s.span))
}

/// Returns true if any block of a kind has an error.
fn any_has_errors(fields: &Fields, kind: &'static str) -> bool {
    fields.all(kind).iter().any(|s| fields.has_error_in(s.span))
}

fn check_required_blocks(fields: &Fields) {
    for (name, kind, example) in [
        ("listen", "listener", "listen 127.0.0.1:8080;"),
        ("class", "class", "class reads { effect safe; deadline 2s; }"),
        ("pool", "pool", "pool app { server a 127.0.0.1:9000; }"),
        ("route", "route", "route all { class reads; pool app; }"),
    ] {
        if fields.all(name).is_empty() {
            let error =
                Diagnostic::error("IV0011", format!("this file has no {kind}"), fields.head, "in here");
            fields.report(error.help(format!("write `{example}`")));
        }
    }
}

fn check_route_table(fields: &Fields, model: &Model) {
    let matchers = model.routes.iter().map(|r| r.matcher.clone()).collect();
    let table = match RouteTable::build(matchers) {
        Ok(table) => table,
        Err(error) => {
            for conflict in error.conflicts {
                let (first, second) = (&model.routes[conflict.first], &model.routes[conflict.second]);
                let message =
                    format!("the routes `{}` and `{}` claim the same requests", first.name, second.name);
                let label = format!("{}, as above", second.matcher.path);
                let error = Diagnostic::error("IV0054", message, second.at.0, label);
                fields.report(
                    error
                        .related(first.at.0, "claimed first here")
                        .help("give one of them another host, path or method"),
                );
            }
            return;
        }
    };
    for (number, covering_routes) in table.unreachable() {
        let route = &model.routes[number];
        let message = format!("no request ever reaches the route `{}`", route.name);
        let mut error = Diagnostic::error("IV0081", message, route.at.0, format!("{}", route.matcher.path));
        for covering in covering_routes.iter().take(3) {
            let covering = &model.routes[*covering];
            error = error.related(covering.at.0, format!("`{}` takes what it claims", covering.name));
        }
        fields
            .report(error.help("remove it, or write it before the patterns that cover it, or narrow those"));
    }
    for route in &model.routes {
        if matches!(&route.matcher.methods, MethodMatch::Named(names) if names.iter().all(|m| m == "CONNECT"))
        {
            let at = setting_span(fields, "route", &route.name, "methods", route.at);
            let error =
                Diagnostic::error("IV0082", "CONNECT is answered 501 before any route", at, "never matches");
            fields.report(error.help("remove the route: a sidecar opens no tunnels"));
        }
    }
}

fn check_repeats(fields: &Fields, model: &Model) {
    for (number, pool) in model.pools.iter().enumerate() {
        if !pool.second_copies {
            continue;
        }
        let never_repeated = |r: &&Route| r.pool == number && r.repeat == RepeatPolicy::Unsent;
        if let Some(route) = model.routes.iter().find(never_repeated) {
            let class = &model.classes[route.class];
            let message = format!(
                "second copies are allowed in a pool that gets `{}`, which must not run twice",
                class.name
            );
            let at = setting_span(fields, "pool", &pool.name, "second-copies", pool.at);
            let error = Diagnostic::error("IV0073", message, at, "allowed here");
            fields.report(
                error
                    .related(route.at.0, "routed here")
                    .help("write `second-copies no;`, or give that route a pool of its own"),
            );
        }
    }
    let mut checked = BTreeSet::new();
    for route in &model.routes {
        let (class, pool) = (&model.classes[route.class], &model.pools[route.pool]);
        let Effect::Keyed(scope, window) = class.effect else { continue };
        if !checked.insert((route.class, route.pool)) || route.repeat == RepeatPolicy::Unsent {
            continue;
        }
        if !has_errors(fields, "class", &class.name) && !has_errors(fields, "pool", &pool.name) {
            check_keyed_repeats(fields, class, pool, route, scope, window);
        }
    }
}

fn check_keyed_repeats(
    fields: &Fields,
    class: &Class,
    pool: &Pool,
    route: &Route,
    scope: Scope,
    window: f64,
) {
    let at = setting_span(fields, "class", &class.name, "window", class.at);
    let (retention, retention_span) = match pool.drops_repeats {
        Some((_, retention)) => {
            (retention, setting_span(fields, "pool", &pool.name, "drops-repeats", pool.at))
        }
        None => (DEFAULT_KEY_RETENTION_MS, pool.at.0),
    };
    if window > retention {
        let message =
            format!("`{}` may be repeated for longer than `{}` drops repeats", class.name, pool.name);
        let error = Diagnostic::error("IV0074", message, at, "a repeat after that would run twice");
        let label = match pool.drops_repeats {
            Some(_) => format!("{} s here", retention / 1000.0),
            None => format!("{} s unless the pool says otherwise", retention / 1000.0),
        };
        fields.report(error.related(retention_span, label).help(format!(
            "write `window {0}s;`, or `drops-repeats {1} {2}s;` in the pool if its servers do so",
            retention / 1000.0,
            scope.as_str(),
            window / 1000.0
        )));
    }
    if let Some((dropped, _)) = pool.drops_repeats.filter(|(dropped, _)| scope > *dropped) {
        let at = setting_span(fields, "class", &class.name, "scope", class.at);
        let message = format!("`{}` may be repeated to servers that do not drop its repeats", class.name);
        let error = Diagnostic::error("IV0075", message, at, "wider than the servers that drop repeats");
        let label = format!("dropped by servers of one {} only", dropped.as_str());
        fields.report(
            error.related(retention_span, label).help(format!("write `scope {};`", dropped.as_str())),
        );
    }
    let group_name = |server: &Server| match scope {
        Scope::All => String::new(),
        Scope::Zone => server.zone.clone(),
        Scope::Cell => server.cell.to_string(),
    };
    if let Some(server) = pool.servers.iter().find(|s| scope == Scope::Zone && s.zone.is_empty()) {
        let message =
            format!("the class `{}` is keyed by zone, and a server of its pool has none", class.name);
        let error = Diagnostic::error("IV0055", message, server.at.0, "its zone is not told");
        fields.report(
            error.related(route.at.0, "routed here").help("write `zone NAME;` in the pool or the server"),
        );
        return;
    }
    let mut group_sizes = HashMap::new();
    for server in &pool.servers {
        *group_sizes.entry(group_name(server)).or_insert(0) += 1;
    }
    let confirmed = setting(fields, "class", &class.name, "scope").is_some_and(is_confirmed);
    if pool.servers.len() > 1 && !confirmed && group_sizes.values().all(|size| *size == 1) {
        let message = format!(
            "no {} of `{}` has two servers, so `{}` can never be repeated",
            scope.as_str(),
            pool.name,
            class.name
        );
        let at = setting_span(fields, "class", &class.name, "scope", class.at);
        let error = Diagnostic::error("IV0077", message, at, "a repeat needs a second server in it");
        fields.report(
            error
                .related(pool.at.0, "its servers")
                .help("add servers, or widen the scope if more of them drop repeats"),
        );
    }
}

fn check_times(fields: &Fields, model: &Model) {
    for (number, pool) in model.pools.iter().enumerate() {
        let configured = |name| setting(fields, "pool", &pool.name, name);
        let (Some(at), total_connect_time) =
            (configured("connect").or(configured("attempts")), pool.connect * f64::from(pool.attempts))
        else {
            continue;
        };
        if has_errors(fields, "pool", &pool.name) || any_has_errors(fields, "class") {
            continue;
        }
        let routed_classes =
            model.routes.iter().filter(|r| r.pool == number).map(|r| &model.classes[r.class]);
        if let Some(class) = routed_classes
            .filter(|c| c.deadline < total_connect_time)
            .min_by(|a, b| a.deadline.total_cmp(&b.deadline))
        {
            let message = format!(
                "{} attempts of up to {} ms for connecting do not fit the deadline of `{}`",
                pool.attempts, pool.connect, class.name
            );
            let error = Diagnostic::error(
                "IV0076",
                message,
                head_span(at),
                format!("{total_connect_time} ms together"),
            );
            let related = setting_span(fields, "class", &class.name, "deadline", class.at);
            let help = format!(
                "write `connect {}ms;` or less, or fewer `attempts`",
                (class.deadline / f64::from(pool.attempts)).floor()
            );
            fields.report(error.related(related, format!("{} ms", class.deadline)).help(help));
        }
    }
    for class in &model.classes {
        if has_errors(fields, "class", &class.name) {
            continue;
        }
        let at = setting_span(fields, "class", &class.name, "deadline", class.at);
        if let Some(listener) = model.listeners.iter().find(|l| l.answer_within < class.deadline) {
            let message =
                format!("the deadline of `{}` is longer than a listener lets any request wait", class.name);
            let error = Diagnostic::error("IV0087", message, at, "longer");
            fields.report(
                error
                    .related(listener.at.0, format!("`answer-within` is {} ms", listener.answer_within))
                    .help("shorten the deadline or raise `answer-within`"),
            );
        }
        if model.limits.drain < class.deadline && !any_has_errors(fields, "limits") {
            let message = format!("`{}` may still be open when the process ends", class.name);
            let warning = Diagnostic::warning("IV0107", message, at, "longer than `limits { drain }`");
            fields.report(
                warning.help(format!(
                    "write `limits {{ drain {}s; }}` or more",
                    (class.deadline / 1000.0).ceil()
                )),
            );
        }
        if let Effect::Keyed(_, window) = class.effect {
            if window < class.deadline && window < MAX_DURATION_MS {
                let at = setting_span(fields, "class", &class.name, "window", class.at);
                let message = format!("keys of `{}` are forgotten before its deadline", class.name);
                let warning = Diagnostic::warning("IV0106", message, at, "nothing is repeated after this");
                fields.report(warning.help("lengthen the window if servers keep keys for longer"));
            }
        }
    }
}

fn check_plans(fields: &Fields, model: &Model) {
    for class in &model.classes {
        let burst_too_small = |p: &&Plan| {
            (p.quota > 0.0 && p.burst < class.units) || (p.ceiling > 0.0 && p.ceiling_burst < class.units)
        };
        let without_errors = |p: &&Plan| !has_errors(fields, "plan", &p.name);
        if let Some(plan) =
            model.plans.iter().filter(without_errors).find(|p| class.units > 1.0 && burst_too_small(p))
        {
            let message = format!(
                "a request of the class `{}` takes more units than a burst of `{}` holds",
                class.name, plan.name
            );
            let error = Diagnostic::error("IV0049", message, plan.at.0, "none would pass under this plan");
            fields.report(
                error.related(class.at.0, format!("{} units each", class.units)).help("raise the burst"),
            );
        }
    }
    for plan in &model.plans {
        let confirmed = setting(fields, "plan", &plan.name, "burst").is_some_and(is_confirmed);
        if plan.quota > 0.0 && plan.burst > 24.0 * 3600.0 * plan.quota && !confirmed {
            let at = setting_span(fields, "plan", &plan.name, "burst", plan.at);
            let message = format!(
                "`burst` looks like a slip: it holds {:.0} hours of the quota",
                plan.burst / plan.quota / 3600.0
            );
            let error = Diagnostic::error("IV0080", message, at, "is this meant?");
            let related = setting_span(fields, "plan", &plan.name, "quota", plan.at);
            fields.report(
                error
                    .related(related, "is this a rate a second?")
                    .help(format!("write `burst {} meant;` if it is right", plan.burst)),
            );
        }
    }
}

fn check_servers(fields: &Fields, model: &Model) {
    let mut seen: HashMap<SocketAddr, (&Pool, &Server)> = HashMap::new();
    for pool in &model.pools {
        for name in &pool.shares_servers_with {
            if !model.pools.iter().any(|p| p.name == *name) {
                let at = setting_span(fields, "pool", &pool.name, "shares-servers-with", pool.at);
                let error = Diagnostic::error(
                    "IV0033",
                    format!("there is no pool named `{name}`"),
                    at,
                    "not defined",
                );
                fields.report(error.help("name pools of this configuration"));
            }
        }
        for server in &pool.servers {
            let Some((other, first)) = seen.get(&server.address) else {
                seen.insert(server.address, (pool, server));
                continue;
            };
            let confirmed = pool.shares_servers_with.contains(&other.name)
                || other.shares_servers_with.contains(&pool.name);
            if other.name != pool.name && !confirmed {
                let message = format!("the pools `{}` and `{}` have the same server", other.name, pool.name);
                let error = Diagnostic::error("IV0078", message, server.at.0, "again here");
                fields.report(error.related(first.at.0, "first here").help(format!(
                    "pools stay apart: a server in two of them gets twice its share; write \
                     `shares-servers-with {};` if this is meant",
                    other.name
                )));
            }
        }
    }
}

fn check_trust(fields: &Fields, model: &Model) {
    let identity = &model.identity;
    let setting = match (&identity.customer, &identity.plan_header, &identity.deadline_header) {
        (CustomerSource::Header(_), ..) => "customer",
        (_, Some(_), _) => "plan",
        (.., Some(_)) => "deadline",
        _ => return,
    };
    for listener in &model.listeners {
        let statement = fields.all("listen").into_iter().find(|s| head_span(s) == listener.at.0);
        let words = statement.and_then(|s| s.block.as_ref()).into_iter().flat_map(|b| &b.statements);
        let mut words = words.filter(|s| s.words[0].text == "trusted").flat_map(|s| &s.words[1..]);
        let Some(open) = listener.trusted.iter().find(|net| net.prefix_len() == 0) else { continue };
        let at = words.find(|w| w.text.parse() == Ok(*open)).map_or(listener.at.0, |w| w.span);
        let error = Diagnostic::error(
            "IV0083",
            "every peer is trusted, and identity comes from headers",
            at,
            "this is everyone",
        );
        let related = fields.single("identity").and_then(|s| s.block.as_ref());
        let related = related.and_then(|b| b.statements.iter().find(|s| s.words[0].text == setting));
        let error = match related {
            Some(statement) => error.related(statement.span, "anyone could write this header"),
            None => error,
        };
        fields.report(error.help("name the networks of the proxies that stand before this listener"));
    }
}

/// Checks that listeners for authorization checks trust a peer: the checked request is described in headers.
fn check_forward_auth_listeners(fields: &Fields, model: &Model) {
    for listener in model.listeners.iter().filter(|l| l.answers_checks.is_some()) {
        if listener.trusted.is_empty() && !fields.has_error_in(listener.at.0) {
            let message =
                "nobody may ask here: what is asked about stands in headers, and no peer's are believed";
            let error =
                Diagnostic::error("IV0090", message, listener.at.0, "`answers-checks` and no `trusted`");
            fields.report(error.help("write `trusted 127.0.0.1;` or the networks of the proxies that ask"));
        }
    }
}

fn check_sign_ins(fields: &Fields, model: &Model) {
    for sign_in in &model.sign_ins {
        let cache_setting = ["cache-yes", "cache-no"].into_iter().zip([sign_in.cache_yes, sign_in.cache_no]);
        let cache_setting = cache_setting.filter(|(_, time)| *time > 0.0).map(|(name, _)| name).next();
        if let (Some(_), Some(name)) = (sign_in.body, cache_setting) {
            let message =
                format!("answers of `{}` are remembered though bodies go into its checks", sign_in.name);
            let at = setting_span(fields, "sign-in", &sign_in.name, name, sign_in.at);
            let error = Diagnostic::error("IV0091", message, at, "another body would get this answer");
            let related = setting_span(fields, "sign-in", &sign_in.name, "body", sign_in.at);
            fields.report(
                error.related(related, "sent with each check").help(format!("remove `{name}` or `body`")),
            );
        }
    }
    for route in &model.routes {
        let Some(sign_in) = route.sign_in.map(|number| &model.sign_ins[number]) else { continue };
        let class = &model.classes[route.class];
        if sign_in.fail_open && route.repeat == RepeatPolicy::Unsent {
            let message = format!("`{}` would go on unchecked where its sign-in fails", route.name);
            let at = setting_span(fields, "sign-in", &sign_in.name, "on-failure", sign_in.at);
            let error = Diagnostic::error("IV0088", message, at, "open here");
            fields.report(
                error
                    .related(route.at.0, format!("its class `{}` must not run twice", class.name))
                    .help("write `on-failure closed;`, or give this route a sign-in of its own"),
            );
        }
        if sign_in.within + class.aim > class.deadline && !has_errors(fields, "class", &class.name) {
            let message = format!("a check may take the time that `{}` needs", class.name);
            let at = setting_span(fields, "sign-in", &sign_in.name, "within", sign_in.at);
            let error = Diagnostic::error("IV0089", message, at, format!("{} ms", sign_in.within));
            let label = format!("aim {} ms of {} ms", class.aim, class.deadline);
            fields.report(
                error
                    .related(class.at.0, label)
                    .help(format!("write `within {}ms;` or less", (class.deadline - class.aim).max(1.0))),
            );
        }
    }
}

/// Reports servers that are listeners of this process. Listeners for authorization checks forward nothing, so
/// they cannot form a loop.
fn check_loops(fields: &Fields, model: &Model) {
    for (pool, server) in model.pools.iter().flat_map(|pool| pool.servers.iter().map(move |s| (pool, s))) {
        let is_own = |listener: &&Listener| {
            let (here, there) = (listener.address, server.address);
            let any = here.ip().is_unspecified() && there.ip().is_loopback();
            here.port() == there.port() && here.port() != 0 && (here.ip() == there.ip() || any)
        };
        let own = model.listeners.iter().filter(|l| l.answers_checks.is_none()).find(is_own);
        if let Some(listener) = own {
            let message = format!("the pool `{}` leads back to this process", pool.name);
            let error = Diagnostic::error("IV0093", message, server.at.0, "a listener of this file");
            fields.report(
                error.related(listener.at.0, "listens here").help("name the application's own address"),
            );
        }
    }
}

fn check_totals(fields: &Fields, model: &Model) {
    if ["limits", "listen", "pool"].into_iter().any(|kind| any_has_errors(fields, kind)) {
        return;
    }
    let clients: usize = model.listeners.iter().map(|l| l.connections).sum();
    let servers: usize = model.pools.iter().map(|p| p.connections).sum();
    let operators = model.operator.as_ref().map_or(0, |_| Operator::MAX_CONNECTIONS);
    let total = clients + servers + operators + RESERVED_DESCRIPTORS;
    if total > model.limits.descriptors {
        let at = fields.single("limits").map_or(fields.head, |s| s.span);
        let message = "listeners and pools may use more descriptors than the process has";
        let label = format!("{clients} for clients, {servers} for servers, {operators} for operators, {RESERVED_DESCRIPTORS} kept: {total}");
        let error = Diagnostic::error("IV0056", message, at, label);
        let help = format!(
            "the limit is {}; lower `connections`, or write `limits {{ descriptors {total}; }}`",
            model.limits.descriptors
        );
        fields.report(error.help(help));
    }
    if let Some(memory) = model.limits.memory {
        let bodies: usize = model.pools.iter().map(|p| p.buffered).sum();
        let total = PROCESS_MEMORY_BYTES
            + clients * CLIENT_CONNECTION_BYTES
            + servers * SERVER_CONNECTION_BYTES
            + bodies;
        if total > memory {
            let at = fields.single("limits").map_or(fields.head, |s| s.span);
            let mib = |bytes: usize| bytes.div_ceil(1 << 20);
            let message = "listeners and pools may use more memory than the process has";
            let label = format!(
                "{} MiB for clients, {} for servers, {} for bodies, {} by itself: {} MiB",
                mib(clients * CLIENT_CONNECTION_BYTES),
                mib(servers * SERVER_CONNECTION_BYTES),
                mib(bodies),
                mib(PROCESS_MEMORY_BYTES),
                mib(total)
            );
            let error = Diagnostic::error("IV0079", message, at, label);
            fields.report(error.help(format!(
                "lower `connections` or `buffered`, or write `limits {{ memory {}MiB; }}`",
                mib(total)
            )));
        }
    }
    let open_requests: usize = model.pools.iter().map(|p| p.requests).sum();
    for listener in &model.listeners {
        // A waiting request holds its client's connection, so one slow pool could occupy all connections of a
        // listener. An eighth of them is kept free for new requests.
        if open_requests + listener.connections / 8 > listener.connections {
            let message = "requests of slow pools could hold all connections of this listener";
            let label = format!("{} connections, an eighth of them kept free", listener.connections);
            let error = Diagnostic::error("IV0057", message, listener.at.0, label);
            let mut error = error.help(format!(
                "the pools take {open_requests} requests together; write `connections {};` or lower their `requests`",
                (open_requests * 8).div_ceil(7) + 1
            ));
            for pool in model.pools.iter().take(8) {
                error = error.related(pool.at.0, format!("up to {} requests", pool.requests));
            }
            fields.report(error);
        }
    }
}

fn check_unused(fields: &Fields, model: &Model) {
    let warn = |code, kind: &str, name: &str, at: SourceSpan| {
        let message = format!("no route names the {kind} `{name}`");
        fields.report(
            Diagnostic::warning(code, message, at.0, "defined here").help("remove it, or route to it"),
        );
    };
    if model.routes.len() < fields.all("route").len() {
        // A route with errors may refer to the unused items.
        return;
    }
    let classes: BTreeSet<usize> = model.routes.iter().map(|r| r.class).collect();
    let sign_in_pools = model.sign_ins.iter().map(|s| s.pool);
    let pools: BTreeSet<usize> = model.routes.iter().map(|r| r.pool).chain(sign_in_pools).collect();
    for (_, class) in model.classes.iter().enumerate().filter(|(n, _)| !classes.contains(n)) {
        warn("IV0102", "class", &class.name, class.at);
    }
    for (_, pool) in model.pools.iter().enumerate().filter(|(n, _)| !pools.contains(n)) {
        warn("IV0103", "pool", &pool.name, pool.at);
    }
    for pool in &model.pools {
        if let Some((header, value)) = &pool.declined {
            let at = setting_span(fields, "pool", &pool.name, "declined", pool.at);
            let message = format!(
                "a 503 or 504 of `{}` with `{header}: {value}` counts as proof that nothing ran",
                pool.name
            );
            fields.report(Diagnostic::note(
                "IV0201",
                message,
                at,
                "also unsafe requests are then sent again",
            ));
        }
    }
}
