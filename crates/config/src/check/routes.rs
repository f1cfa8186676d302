//! Routes.

use super::*;

/// Maximum length of a route's path.
const MAX_PATH_BYTES: usize = 2048;

pub(super) fn routes(fields: &Fields, classes: &[Class], pools: &[Pool], sign_ins: &[SignIn]) -> Vec<Route> {
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
