//! Converts statements to the checked model: types, units, references and consistency.

mod classes;
mod pools;
mod process;
mod routes;
mod sign_ins;

use crate::consistency;
use crate::diagnostic::{Diagnostic, Severity, Span};
use crate::expand::suggestion;
use crate::fields::{head_span, Fields, Findings, Quantity};
use crate::model::*;
use crate::plausibility;
use crate::syntax::{Block, Statement, Word};
use classes::{classes, customers, identity, plans, repeat, scope};
use ipnet::IpNet;
use ivygate_routing::{HostMatch, MethodMatch, PathMatch, RequestTarget, RouteMatch};
use pools::{listeners, pools};
use process::{group, journal, limits, operator};
use routes::routes;
use sign_ins::{request_path, sign_ins};
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

/// Number of file descriptors reserved for uses other than listeners and pools: standard streams, the runtime
/// and sockets that are being closed.
pub const RESERVED_DESCRIPTORS: usize = 48;
/// Methods that are safe by definition; the default of a route whose class is safe.
pub const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];
/// Maximum of any configured time except the journal's `keep`: one day.
pub const MAX_DURATION_MS: f64 = 86_400_000.0;

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
