//! Detects values that are valid but implausible, such as a wrong unit or a percentage in place of a share.

use crate::diagnostic::Diagnostic;
use crate::syntax::Word;

/// Reason for which a value is considered implausible.
pub struct ImplausibleValue {
    why: String,
    instead: Option<String>,
}

/// Plausible ranges: kind of block, statement, minimum, maximum, and the purpose of the value. Times are in
/// milliseconds, sizes in bytes.
const PLAUSIBLE_RANGES: [(&str, &str, f64, f64, &str); 41] = [
    ("class", "deadline", 20.0, 600_000.0, "a client's whole wait"),
    ("class", "aim", 2.0, 300_000.0, "a good answer's time"),
    ("class", "window", 500.0, 43_200_000.0, "how long servers remember a key"),
    ("class", "upload", 500.0, 14_400_000.0, "the time for a large body"),
    ("class", "work", 0.05, 60_000.0, "the work of one request"),
    ("class", "worth", 1e-3, 1e6, "one request's worth against others"),
    ("class", "units", 1e-3, 1e6, "what one request takes from a quota"),
    ("pool", "connect", 5.0, 60_000.0, "a handshake with a server"),
    ("pool", "keep", 50.0, 3_600_000.0, "how long an idle connection is kept"),
    ("pool", "answer-stall", 20.0, 3_600_000.0, "a pause within an answer"),
    ("pool", "repeat-limit", 1024.0, 67_108_864.0, "a whole body that can be sent again"),
    ("pool", "buffered", 65_536.0, 17_179_869_184.0, "the bodies of all open requests"),
    ("pool", "attempts", 1.0, 10.0, "attempts for one request"),
    ("pool", "sidecars", 1.0, 10_000.0, "processes that share the servers"),
    ("listener", "head", 0.0, 1_048_576.0, "a request's head"),
    ("listener", "head-within", 50.0, 600_000.0, "the time for a request's head"),
    ("listener", "body-stall", 50.0, 3_600_000.0, "a pause within a body"),
    ("listener", "read-stall", 50.0, 3_600_000.0, "a client's pause in reading"),
    ("listener", "idle", 100.0, 43_200_000.0, "how long an idle connection is kept"),
    ("listener", "answer-within", 50.0, 3_600_000.0, "the longest deadline here"),
    ("sign-in", "within", 20.0, 60_000.0, "a check of a pass"),
    ("sign-in", "cache-yes", 100.0, 3_600_000.0, "how long a revoked pass may still be good"),
    ("sign-in", "cache-no", 100.0, 600_000.0, "how long a new pass may be refused"),
    ("sign-in", "cache-size", 1.0, 1e6, "answers that are remembered"),
    ("sign-in", "body", 64.0, 1_048_576.0, "a body that is sent with a check"),
    ("sign-in", "address-limit", 0.1, 10_000.0, "failed checks a second from one address"),
    ("sign-in", "credential-limit", 0.01, 1_000.0, "failed checks a second with one credential"),
    ("listener", "ids-kept", 1_000.0, 3_600_000.0, "how long an id may not be asked about again"),
    ("limits block", "drain", 50.0, 3_600_000.0, "the time for requests to end"),
    ("limits block", "memory", 16_777_216.0, 1.1e12, "all memory of the process"),
    ("limits block", "descriptors", 64.0, 1e7, "all descriptors of the process"),
    ("cold block", "warm", 50.0, 7_200_000.0, "the time in which a server warms up"),
    ("cold block", "for", 10.0, 600_000.0, "how long a cold server bears too much"),
    ("cold block", "fall", 1.0, 1000.0, "how many times its capacity fells a server"),
    ("server", "weight", 0.01, 1000.0, "a server's size against the others"),
    ("plan", "quota", 0.0, 1e6, "units a second of one customer"),
    ("plan", "ceiling", 0.0, 1e7, "units a second of one customer"),
    ("plan", "price", 1e-3, 1000.0, "a factor on the worth of requests"),
    ("plan", "excess-cost", 1e-3, 1000.0, "a part of a request's worth"),
    ("plan", "burst", 0.0, 1e8, "units saved up"),
    ("plan", "open", 0.0, 1e6, "requests of one customer out at once"),
];

/// Likely unit mistakes: the unit written, the unit probably intended, and the factor between them.
const UNIT_MISTAKES: [(&str, &str, f64); 8] = [
    ("us", "ms", 1e3),
    ("ms", "s", 1e3),
    ("s", "ms", 1e-3),
    ("s", "m", 60.0),
    ("m", "s", 1.0 / 60.0),
    ("h", "s", 1.0 / 3600.0),
    ("B", "KiB", 1024.0),
    ("KiB", "MiB", 1024.0),
];

/// Checks a value against its plausible range. Zero is always accepted, because it disables a feature.
pub fn implausible_value(kind: &str, name: &str, text: &str, value: f64) -> Option<ImplausibleValue> {
    let (.., least, most, purpose) =
        PLAUSIBLE_RANGES.iter().find(|(of, statement, ..)| *of == kind && *statement == name)?;
    if value == 0.0 || (*least..=*most).contains(&value) {
        return None;
    }
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    let fits = |factor: f64| (*least..=*most).contains(&(value * factor));
    let other = UNIT_MISTAKES.iter().find(|(from, _, factor)| *from == unit && fits(*factor));
    let amount = if value < *least { "little" } else { "much" };
    Some(ImplausibleValue {
        why: format!("`{text}` is very {amount} for {purpose}"),
        instead: other.map(|(_, unit, _)| format!("{number}{unit}")),
    })
}

impl ImplausibleValue {
    /// Converts to an error that also tells how to confirm the value.
    pub fn diagnostic(self, name: &str, word: &Word) -> Diagnostic {
        let error = Diagnostic::error(
            "IV0080",
            format!("`{name}` looks like a slip: {}", self.why),
            word.span,
            "is this meant?",
        );
        let error = match self.instead {
            Some(instead) => error.help(format!("write `{name} {instead};` if the unit slipped")),
            None => error,
        };
        error.help(format!("write `{name} {} meant;` if it is right", word.text))
    }
}
