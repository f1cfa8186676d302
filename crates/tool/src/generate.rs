//! Generates a commented configuration for one application from a short description.

use crate::format::format;
use ivygate_config::{parse, Diagnostic, Sources};
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::net::SocketAddr;
use std::str::FromStr;

/// Effect that the caller declares for requests, from the loosest to the strictest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteEffect {
    /// Requests may run any number of times.
    Safe,
    /// Servers drop repeats with the same key.
    Keyed,
    /// Requests must not run twice.
    Unsafe,
}

impl RouteEffect {
    fn as_str(self) -> &'static str {
        match self {
            RouteEffect::Safe => "safe",
            RouteEffect::Keyed => "keyed",
            RouteEffect::Unsafe => "unsafe",
        }
    }

    fn class_name(self) -> &'static str {
        match self {
            RouteEffect::Safe => "reads",
            RouteEffect::Keyed => "keyed-writes",
            RouteEffect::Unsafe => "writes",
        }
    }
}

impl FromStr for RouteEffect {
    type Err = RouteError;

    fn from_str(text: &str) -> Result<Self, RouteError> {
        match text {
            "safe" => Ok(RouteEffect::Safe),
            "keyed" => Ok(RouteEffect::Keyed),
            "unsafe" => Ok(RouteEffect::Unsafe),
            other => {
                Err(RouteError(format!("there is no effect `{other}`; write `safe`, `keyed` or `unsafe`")))
            }
        }
    }
}

/// Error for a route or an effect that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteError(pub String);

impl fmt::Display for RouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for RouteError {}

/// Route, parsed from `[METHOD[,METHOD]] PATH [EFFECT]`.
///
/// A path that contains `*` is a pattern, one that begins with `=` is exact, and any other is a prefix.
/// Without an effect, routes for GET and HEAD only are safe and all others unsafe.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Route {
    /// Kind of match (`exact`, `prefix` or `pattern`) and the path.
    pub path: (&'static str, String),
    /// Methods; empty for all.
    pub methods: Vec<String>,
    /// Effect of the requests.
    pub effect: RouteEffect,
    /// Origin of the route, written as a comment.
    pub origin: Option<String>,
}

impl FromStr for Route {
    type Err = RouteError;

    fn from_str(text: &str) -> Result<Self, RouteError> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let at = words.iter().position(|w| w.starts_with('/') || w.starts_with("=/"));
        let Some(at) = at.filter(|at| *at <= 1 && words.len() <= at + 2) else {
            return Err(RouteError(format!("`{text}` is no route; write one such as `POST /orders unsafe`")));
        };
        let methods: Vec<String> = match at {
            0 => Vec::new(),
            _ => words[0].split(',').map(str::to_ascii_uppercase).collect(),
        };
        if let Some(invalid_method) =
            methods.iter().find(|m| m.is_empty() || !m.bytes().all(|b| b.is_ascii_uppercase() || b == b'-'))
        {
            return Err(RouteError(format!("`{invalid_method}` is no method")));
        }
        let path = match words[at].strip_prefix('=') {
            Some(path) => ("exact", path.to_owned()),
            None if words[at].contains('*') => ("pattern", words[at].to_owned()),
            None => ("prefix", words[at].to_owned()),
        };
        let effect = match words.get(at + 1) {
            Some(word) => word.parse()?,
            None if !methods.is_empty() && methods.iter().all(|m| m == "GET" || m == "HEAD") => {
                RouteEffect::Safe
            }
            None => RouteEffect::Unsafe,
        };
        Ok(Route { path, methods, effect, origin: None })
    }
}

/// Description of an application.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AppDescription {
    /// Name.
    pub name: String,
    /// Address on which the sidecar listens, if given.
    pub listen: Option<SocketAddr>,
    /// Addresses on which the application listens.
    pub servers: Vec<SocketAddr>,
    /// Routes.
    pub routes: Vec<Route>,
    /// Plans: name and quota, such as `20/s`.
    pub plans: Vec<(String, String)>,
    /// Header that names the customer.
    pub customer_header: Option<String>,
    /// Remarks on input that could not be converted, written as comments at the top.
    pub remarks: Vec<String>,
}

impl AppDescription {
    /// Parses descriptions in the syntax of the configuration, one `app NAME { ... }` block each.
    ///
    /// # Errors
    /// If the text has errors; returns all of them with the source.
    pub fn read(file: &str, text: &str) -> Result<Vec<Self>, (Sources, Vec<Diagnostic>)> {
        let mut sources = Sources::default();
        sources.add(file, text);
        let (root, mut errors) = parse(text, 0);
        let mut all = Vec::new();
        let invalid = |at, what: &str, help: &str| Diagnostic::error("IV0010", what, at, "here").help(help);
        for statement in &root.statements {
            let (Some(name), Some(block), "app") =
                (statement.words.get(1), &statement.block, statement.words[0].text.as_str())
            else {
                let help = "write `app NAME { listen ...; server ...; route POST /orders unsafe; }`";
                errors.push(invalid(
                    statement.words[0].span,
                    "a description has blocks named `app` only",
                    help,
                ));
                continue;
            };
            let mut app = AppDescription { name: name.text.clone(), ..AppDescription::default() };
            for inner in &block.statements {
                let words: Vec<&str> = inner.words.iter().map(|w| w.text.as_str()).collect();
                let at = inner.words[0].span;
                let result = match &words[..] {
                    ["listen", address] => address
                        .parse()
                        .map(|a| app.listen = Some(a))
                        .map_err(|_| "no address with a port".to_owned()),
                    ["server", address] => address
                        .parse()
                        .map(|a| app.servers.push(a))
                        .map_err(|_| "no address with a port".to_owned()),
                    ["route", rest @ ..] => {
                        rest.join(" ").parse().map(|r| app.routes.push(r)).map_err(|e: RouteError| e.0)
                    }
                    ["plan", name, quota] => {
                        app.plans.push(((*name).to_owned(), (*quota).to_owned()));
                        Ok(())
                    }
                    ["customer", "header", name] => {
                        app.customer_header = Some((*name).to_owned());
                        Ok(())
                    }
                    _ => Err(format!("`{}` is not understood", words.join(" "))),
                };
                if let Err(what) = result {
                    errors.push(invalid(
                        at,
                        &what,
                        "an app has: listen, server, route, plan NAME RATE, customer header NAME",
                    ));
                }
            }
            all.push(app);
        }
        if errors.is_empty() {
            Ok(all)
        } else {
            Err((sources, errors))
        }
    }
}

/// Generates the configuration of a sidecar that listens at `listen`, in the layout of `format`. The
/// description may be invalid, so the result must still be checked.
pub fn generate(app: &AppDescription, listen: SocketAddr) -> String {
    let mut out = String::new();
    let mut write_line = |line: &str| {
        out.push_str(line);
        out.push('\n');
    };
    write_line(&format!("# The sidecar of {}.", app.name));
    write_line("# Check a change with `ivygate check`, lay it out with `ivygate fmt`, see what it does with `ivygate diff`.");
    for remark in &app.remarks {
        write_line(&format!("# {}", remark.replace(['\n', '\r'], " ")));
    }
    write_line("");
    write_line("# Clients connect here. Name the proxies that stand before it: `trusted 10.0.0.0/8;`.");
    write_line(&format!("listen {listen} {{ connections 256; }}"));
    write_line("");
    let mut effects: Vec<RouteEffect> = app.routes.iter().map(|r| r.effect).collect();
    effects.sort_unstable();
    effects.dedup();
    for effect in &effects {
        match effect {
            RouteEffect::Safe => {
                write_line("# May run any number of times: sent again after a failure, and to another server when one is slow.");
                write_line("class reads { effect safe; aim 500ms; deadline 5s; }");
            }
            RouteEffect::Keyed => {
                write_line(
                    "# Servers drop repeats with the same key for 15 s; without a key treated as unsafe.",
                );
                write_line("class keyed-writes { effect keyed; scope all; window 15s; key Idempotency-Key; aim 1s; deadline 10s; worth 3; }");
            }
            RouteEffect::Unsafe => {
                write_line("# Must never run twice: sent again only if no attempt can have run.");
                write_line("class writes { effect unsafe; aim 1s; deadline 10s; worth 5; }");
            }
        }
    }
    write_line("");
    if !app.plans.is_empty() {
        write_line("# For each customer. The first one holds for customers that nothing names another for.");
        for (name, quota) in &app.plans {
            write_line(&format!("plan {} {{ quota {}; }}", quoted(name), quoted(quota)));
        }
        write_line("");
    }
    if let Some(header) = &app.customer_header {
        write_line("# Without this header a request counts for its client's address.");
        write_line(&format!("identity {{ customer header {}; }}", quoted(header)));
        write_line("");
    }
    write_line("# The application. Bodies up to 64KiB are held, so that they can be sent again.");
    write_line(&format!("pool {} {{", quoted(&app.name)));
    write_line("requests 128;");
    for (number, server) in app.servers.iter().enumerate() {
        write_line(&format!("server {} {server};", server_name(number)));
    }
    write_line("}");
    write_line("");
    write_line("# What no route takes is answered 404.");
    let mut name_counts: BTreeMap<String, usize> = BTreeMap::new();
    for route in &app.routes {
        let base = route_name(route);
        let count = name_counts.entry(base.clone()).or_insert(0);
        *count += 1;
        let name = if *count > 1 { format!("{base}-{count}") } else { base };
        if let Some(origin) = &route.origin {
            write_line(&format!("# {}", origin.replace(['\n', '\r'], " ")));
        }
        let mut line = format!("route {name} {{ path {} {}; ", route.path.0, quoted(&route.path.1));
        if !route.methods.is_empty() {
            // The caller declared these methods safe; without `meant` the checker would warn about them.
            let needs_confirmation = route.effect == RouteEffect::Safe
                && route.methods.iter().any(|m| m == "POST" || m == "PATCH");
            let confirmation = if needs_confirmation { " meant" } else { "" };
            let _ = write!(line, "methods {}{confirmation}; ", route.methods.join(" "));
        }
        let _ = write!(line, "class {}; pool {}; }}", route.effect.class_name(), quoted(&app.name));
        write_line(&line);
    }
    format("generated", &out).unwrap_or(out)
}

/// Returns the name of a server by its index: `a` to `z`, then `a2` and so on.
fn server_name(number: usize) -> String {
    let letter = char::from(b'a' + (number % 26) as u8);
    match number / 26 {
        0 => letter.to_string(),
        round => format!("{letter}{}", round + 1),
    }
}

fn route_name(route: &Route) -> String {
    let mut name = route.methods.first().map_or(String::new(), |m| m.to_ascii_lowercase());
    for part in route.path.1.split('/').filter(|part| !part.is_empty()) {
        let part: String = match part {
            "*" => "any".to_owned(),
            "**" => "below".to_owned(),
            part => part.chars().filter(|c| c.is_ascii_alphanumeric() || *c == '-' || *c == '_').collect(),
        };
        if !name.is_empty() && !part.is_empty() {
            name.push('-');
        }
        name += &part;
    }
    if name.is_empty() {
        format!("all-{}", route.effect.as_str())
    } else {
        name
    }
}

/// Quotes a word where the configuration language requires it.
fn quoted(text: &str) -> String {
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && !"{};#\"\u{FEFF}".contains(c);
    if !text.is_empty() && text.chars().all(plain) && !text.starts_with('$') && text != "meant" {
        return text.to_owned();
    }
    let inner: String = text
        .chars()
        .filter(|c| !c.is_control())
        .flat_map(|c| {
            let escape = matches!(c, '"' | '\\').then_some('\\');
            escape.into_iter().chain([c])
        })
        .collect();
    format!("\"{inner}\"")
}
