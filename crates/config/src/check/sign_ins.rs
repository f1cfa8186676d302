//! Sign-in services.

use super::*;

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

pub(super) fn sign_ins(fields: &Fields, pools: &[Pool]) -> Vec<SignIn> {
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
pub(super) fn request_path(fields: &Fields, word: &Word) -> Option<String> {
    match RequestTarget::parse(&word.text) {
        Ok(target) if word.text.starts_with('/') => Some(target.path_and_query()),
        _ => {
            let error = Diagnostic::error("IV0052", "this is no path", word.span, "here");
            fields.report(error.help("write one such as `/check`"));
            None
        }
    }
}
