//! Plans, customers, their identity, and request classes.

use super::*;

pub(super) fn plans(fields: &Fields) -> Vec<Plan> {
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

pub(super) fn identity(fields: &Fields, plans: &[Plan]) -> Identity {
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

pub(super) fn customers(fields: &Fields, plans: &[Plan]) -> Vec<Customer> {
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

pub(super) fn classes(fields: &Fields) -> Vec<Class> {
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

pub(super) fn repeat(inner: &Fields) -> Option<RepeatPolicy> {
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

pub(super) fn scope(inner: &Fields, word: &Word) -> Option<Scope> {
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
