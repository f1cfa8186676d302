//! The statements of the configuration language as data for editors. A test compares them with those that the
//! checker accepts.

use serde::Serialize;

/// Statement of the configuration language.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Keyword {
    /// Enclosing block; empty for the outermost level.
    #[serde(rename = "within")]
    pub block: &'static str,
    /// Name.
    pub name: &'static str,
    /// Arguments, as shown in the reference.
    #[serde(rename = "takes")]
    pub arguments: &'static str,
    /// Short description.
    #[serde(rename = "says")]
    pub summary: &'static str,
}

const fn keyword(
    block: &'static str,
    name: &'static str,
    arguments: &'static str,
    summary: &'static str,
) -> Keyword {
    Keyword { block, name, arguments, summary }
}

/// All statements, grouped by block.
pub const KEYWORDS: &[Keyword] = &[
    keyword("", "include", "PATH | PATTERN", "puts the statements of other files in its place"),
    keyword("", "let", "NAME TYPE VALUE", "defines a variable, written $NAME where it is used"),
    keyword("", "block", "NAME { ... }", "defines statements that `use` puts in"),
    keyword("", "use", "NAME", "puts the statements of a named block in its place"),
    keyword("", "limits", "{ ... }", "what the process may use"),
    keyword("", "listen", "ADDRESS:PORT { ... }", "where clients connect"),
    keyword("", "class", "NAME { ... }", "whether requests may run again, and their times"),
    keyword("", "plan", "NAME { ... }", "quotas and ceilings of a customer"),
    keyword("", "identity", "{ ... }", "how customers, plans and deadlines are read off requests"),
    keyword("", "customer", "NAME { ... }", "a customer's plan"),
    keyword("", "pool", "NAME { ... }", "servers with limits of their own"),
    keyword("", "sign-in", "NAME { ... }", "a service that is asked before a request goes on"),
    keyword("", "route", "NAME { ... }", "which requests go to which pool, and their class"),
    keyword("", "journal", "{ ... }", "where requests that must not run twice are recorded"),
    keyword("journal", "folder", "PATH", "its folder"),
    keyword("journal", "level", "synced | written", "when a record counts: the disk has it, or the system"),
    keyword("journal", "keep", "TIME", "orders are dropped after this"),
    keyword("journal", "disk", "SIZE", "most that it may take of the disk"),
    keyword("journal", "keyed", "yes | no", "whether keyed requests are recorded too"),
    keyword("journal", "customers", "plain | hashed", "whether customers are recorded by name"),
    keyword("journal", "id-header", "HEADER", "header with the client's id of an order"),
    keyword("", "group", "{ ... }", "processes tell each other what they see of zones"),
    keyword("group", "listen", "ADDRESS:PORT", "where this process hears the others (UDP)"),
    keyword("group", "key", "PATH [PATH]", "files with keys: the first is written with, both are believed"),
    keyword("group", "peers", "ADDRESS:PORT ...", "where the others hear"),
    keyword("", "operator", "ADDRESS:PORT", "where people who run this ask about it"),
    keyword("limits", "descriptors", "COUNT", "file descriptors of the process"),
    keyword("limits", "drain", "TIME", "from the signal to end to the end"),
    keyword("limits", "memory", "SIZE", "memory that limits are planned with"),
    keyword("listen", "trusted", "NETWORK ...", "peers whose word on others is believed"),
    keyword("listen", "connections", "COUNT", "most connections"),
    keyword("listen", "head", "SIZE", "longest head of a request"),
    keyword("listen", "head-within", "TIME", "time for a request's head"),
    keyword("listen", "body-stall", "TIME", "longest pause in a request's body"),
    keyword("listen", "read-stall", "TIME", "longest time in which a client reads nothing"),
    keyword("listen", "idle", "TIME", "an idle connection is closed after this"),
    keyword("listen", "answer-within", "TIME", "no request here has a longer deadline"),
    keyword("listen", "answers-checks", "PATH", "other programs ask here whether their requests may go on"),
    keyword("listen", "ids-kept", "TIME", "how long ids of those are remembered"),
    keyword("class", "effect", "safe | keyed | unsafe", "whether requests may run again"),
    keyword("class", "repeat", "unsent | sent", "after what they are sent again"),
    keyword("class", "scope", "all | zone | cell", "servers that drop each other's repeats"),
    keyword("class", "window", "TIME", "how long they do"),
    keyword("class", "key", "HEADER", "header that carries the key"),
    keyword("class", "deadline", "TIME", "an answer is owed within this"),
    keyword("class", "aim", "TIME", "an answer within this is worth all"),
    keyword("class", "work", "TIME", "what a request needs on an idle server"),
    keyword("class", "upload", "TIME", "added to the deadline for streamed bodies"),
    keyword("class", "worth", "NUMBER", "worth against others"),
    keyword("class", "late-worth", "SHARE", "worth of a late answer"),
    keyword("class", "units", "NUMBER", "what a request takes from the quota"),
    keyword("plan", "quota", "RATE", "units of a customer"),
    keyword("plan", "burst", "NUMBER", "units saved up"),
    keyword("plan", "open", "COUNT", "requests out at once"),
    keyword("plan", "ceiling", "RATE", "units that are never passed"),
    keyword("plan", "ceiling-burst", "NUMBER", "units saved up under the ceiling"),
    keyword("plan", "ceiling-slack", "NUMBER", "units by which it may be passed for a moment"),
    keyword("plan", "price", "NUMBER", "factor on the worth of requests"),
    keyword("plan", "excess-worth", "SHARE", "worth of a request beyond the quota"),
    keyword("plan", "excess-cost", "NUMBER", "cost of a request beyond the quota"),
    keyword(
        "identity",
        "customer",
        "header NAME | cookie NAME | address | name TEXT",
        "where a customer's name comes from",
    ),
    keyword("identity", "plan", "header NAME", "header that names the plan"),
    keyword("identity", "default-plan", "NAME", "plan of customers that nothing names one for"),
    keyword("identity", "deadline", "header NAME", "header that shortens deadlines"),
    keyword("customer", "plan", "NAME", "its plan"),
    keyword("pool", "server", "NAME ADDRESS:PORT { ... }", "a server"),
    keyword("pool", "zone", "NAME", "where this process stands"),
    keyword("pool", "sidecars", "COUNT", "processes that share servers and quotas"),
    keyword("pool", "attempts", "COUNT", "attempts for one request"),
    keyword("pool", "requests", "COUNT", "requests open at once"),
    keyword("pool", "connections", "COUNT", "connections to servers"),
    keyword("pool", "buffered", "SIZE", "bodies held at once"),
    keyword("pool", "repeat-limit", "SIZE", "a body up to this can be sent again"),
    keyword("pool", "connect", "TIME", "time for a connection"),
    keyword("pool", "keep", "TIME", "an idle connection is kept for this"),
    keyword("pool", "answer-stall", "TIME", "longest pause within an answer"),
    keyword("pool", "errors", "STATUS ...", "statuses that are a server's failures"),
    keyword("pool", "declined", "HEADER VALUE", "proof that nothing ran"),
    keyword("pool", "drops-repeats", "SCOPE TIME", "which servers drop each other's repeats, and how long"),
    keyword("pool", "second-copies", "yes | no", "a slow request may be sent twice at once"),
    keyword("pool", "shares-servers-with", "POOL ...", "pools that may have servers of this one"),
    keyword("pool", "cross-zone", "SHARE", "price of leaving the zone"),
    keyword("pool", "cold", "{ ... }", "how servers that have just started are spared"),
    keyword("pool", "domains", "{ ... }", "zones are judged as a whole, left and come back to"),
    keyword("domains", "leave", "yes | no", "whether zones are left by what is seen of them"),
    keyword("domains", "works", "ZONE ...", "zones taken out by hand"),
    keyword("domains", "distrust", "SHARE", "part of the servers judged bad from which that is not believed"),
    keyword("cold", "from", "SHARE", "capacity at the start"),
    keyword("cold", "warm", "TIME", "time to all of it"),
    keyword("cold", "fall", "NUMBER", "times its capacity that fells it"),
    keyword("cold", "for", "TIME", "how long it bears that"),
    keyword("server", "zone", "NAME", "its zone"),
    keyword("server", "cell", "COUNT", "its cell"),
    keyword("server", "weight", "NUMBER", "its size against others"),
    keyword("server", "state", "serving | draining", "whether it gets anything new"),
    keyword("route", "host", "NAME | *.SUFFIX | *", "hosts"),
    keyword("route", "path", "exact PATH | prefix PATH | pattern PATH", "paths"),
    keyword("route", "methods", "METHOD ...", "methods"),
    keyword("route", "class", "NAME", "class of its requests"),
    keyword("route", "pool", "NAME", "where they go"),
    keyword("route", "repeat", "unsent | sent", "narrows what the class says"),
    keyword("route", "sign-in", "NAME", "the service that is asked first"),
    keyword("sign-in", "pool", "NAME", "the pool of its servers"),
    keyword("sign-in", "path", "PATH", "the path that is asked for"),
    keyword("sign-in", "request-headers", "HEADER ...", "headers of the request that it gets"),
    keyword("sign-in", "answer-headers", "HEADER ...", "headers of its yes that go on with the request"),
    keyword("sign-in", "within", "TIME", "longest time for a check"),
    keyword("sign-in", "body", "SIZE", "a body up to this goes into the check"),
    keyword("sign-in", "address-limit", "RATE COUNT", "failed checks from one address"),
    keyword("sign-in", "credential-limit", "RATE COUNT", "failed checks with one credential"),
    keyword("sign-in", "cache-yes", "TIME", "how long a yes is remembered"),
    keyword("sign-in", "cache-no", "TIME", "how long a no is remembered"),
    keyword("sign-in", "cache-size", "COUNT", "most answers remembered"),
    keyword(
        "sign-in",
        "cache-unsafe",
        "yes | no",
        "whether what must not run twice goes on by a remembered yes",
    ),
    keyword("sign-in", "on-failure", "closed | open", "what happens where it gives no usable answer"),
];

/// Returns the statements, units, types and codes as one JSON document.
pub fn keywords() -> String {
    let codes: Vec<_> = ivygate_config::CODES
        .iter()
        .map(|c| serde_json::json!({ "code": c.code, "severity": c.severity(), "title": c.title }))
        .collect();
    let document = serde_json::json!({
        "version": 1,
        "statements": KEYWORDS,
        "units": {
            "TIME": ["us", "ms", "s", "m", "h"],
            "SIZE": ["B", "KiB", "MiB", "GiB", "kB", "MB"],
            "RATE": ["/s", "/m", "/h"],
        },
        "types": ["time", "size", "rate", "number", "count", "share", "address", "text"],
        "suffix": "meant",
        "codes": codes,
    });
    format!("{document:#}")
}
