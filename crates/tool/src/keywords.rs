//! The language's statements as data, for editors. A test holds it to what the checker knows.

use serde::Serialize;

/// A statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Keyword {
    /// The block in which it stands; empty for the outermost.
    #[serde(rename = "within")]
    pub block: &'static str,
    /// Its name.
    pub name: &'static str,
    /// What follows it.
    #[serde(rename = "takes")]
    pub arguments: &'static str,
    /// What it says.
    #[serde(rename = "says")]
    pub summary: &'static str,
}

const fn k(
    block: &'static str,
    name: &'static str,
    arguments: &'static str,
    summary: &'static str,
) -> Keyword {
    Keyword { block, name, arguments, summary }
}

/// All statements, by block.
pub const KEYWORDS: &[Keyword] = &[
    k("", "include", "PATH | PATTERN", "puts the statements of other files in its place"),
    k("", "let", "NAME TYPE VALUE", "defines a variable, written $NAME where it is used"),
    k("", "block", "NAME { ... }", "defines statements that `use` puts in"),
    k("", "use", "NAME", "puts the statements of a named block in its place"),
    k("", "limits", "{ ... }", "what the process may use"),
    k("", "listen", "ADDRESS:PORT { ... }", "where clients connect"),
    k("", "class", "NAME { ... }", "whether requests may run again, and their times"),
    k("", "plan", "NAME { ... }", "quotas and ceilings of a customer"),
    k("", "identity", "{ ... }", "how customers, plans and deadlines are read off requests"),
    k("", "customer", "NAME { ... }", "a customer's plan"),
    k("", "pool", "NAME { ... }", "servers with limits of their own"),
    k("", "sign-in", "NAME { ... }", "a service that is asked before a request goes on"),
    k("", "route", "NAME { ... }", "which requests go to which pool, and their class"),
    k("", "journal", "{ ... }", "where requests that must not run twice are recorded"),
    k("journal", "folder", "PATH", "its folder"),
    k("journal", "level", "synced | written", "when a record counts: the disk has it, or the system"),
    k("journal", "keep", "TIME", "orders are dropped after this"),
    k("journal", "disk", "SIZE", "most that it may take of the disk"),
    k("journal", "keyed", "yes | no", "whether keyed requests are recorded too"),
    k("journal", "customers", "plain | hashed", "whether customers are recorded by name"),
    k("journal", "id-header", "HEADER", "header with the client's id of an order"),
    k("", "group", "{ ... }", "processes tell each other what they see of zones"),
    k("group", "listen", "ADDRESS:PORT", "where this process hears the others (UDP)"),
    k("group", "key", "PATH [PATH]", "files with keys: the first is written with, both are believed"),
    k("group", "peers", "ADDRESS:PORT ...", "where the others hear"),
    k("", "operator", "ADDRESS:PORT", "where people who run this ask about it"),
    k("limits", "descriptors", "COUNT", "file descriptors of the process"),
    k("limits", "drain", "TIME", "from the signal to end to the end"),
    k("limits", "memory", "SIZE", "memory that limits are planned with"),
    k("listen", "trusted", "NETWORK ...", "peers whose word on others is believed"),
    k("listen", "connections", "COUNT", "most connections"),
    k("listen", "head", "SIZE", "longest head of a request"),
    k("listen", "head-within", "TIME", "time for a request's head"),
    k("listen", "body-stall", "TIME", "longest pause in a request's body"),
    k("listen", "read-stall", "TIME", "longest time in which a client reads nothing"),
    k("listen", "idle", "TIME", "an idle connection is closed after this"),
    k("listen", "answer-within", "TIME", "no request here has a longer deadline"),
    k("listen", "answers-checks", "PATH", "other programs ask here whether their requests may go on"),
    k("listen", "ids-kept", "TIME", "how long ids of those are remembered"),
    k("class", "effect", "safe | keyed | unsafe", "whether requests may run again"),
    k("class", "repeat", "unsent | sent", "after what they are sent again"),
    k("class", "scope", "all | zone | cell", "servers that drop each other's repeats"),
    k("class", "window", "TIME", "how long they do"),
    k("class", "key", "HEADER", "header that carries the key"),
    k("class", "deadline", "TIME", "an answer is owed within this"),
    k("class", "aim", "TIME", "an answer within this is worth all"),
    k("class", "work", "TIME", "what a request needs on an idle server"),
    k("class", "upload", "TIME", "added to the deadline for streamed bodies"),
    k("class", "worth", "NUMBER", "worth against others"),
    k("class", "late-worth", "SHARE", "worth of a late answer"),
    k("class", "units", "NUMBER", "what a request takes from the quota"),
    k("plan", "quota", "RATE", "units of a customer"),
    k("plan", "burst", "NUMBER", "units saved up"),
    k("plan", "open", "COUNT", "requests out at once"),
    k("plan", "ceiling", "RATE", "units that are never passed"),
    k("plan", "ceiling-burst", "NUMBER", "units saved up under the ceiling"),
    k("plan", "ceiling-slack", "NUMBER", "units by which it may be passed for a moment"),
    k("plan", "price", "NUMBER", "factor on the worth of requests"),
    k("plan", "excess-worth", "SHARE", "worth of a request beyond the quota"),
    k("plan", "excess-cost", "NUMBER", "cost of a request beyond the quota"),
    k(
        "identity",
        "customer",
        "header NAME | cookie NAME | address | name TEXT",
        "where a customer's name comes from",
    ),
    k("identity", "plan", "header NAME", "header that names the plan"),
    k("identity", "default-plan", "NAME", "plan of customers that nothing names one for"),
    k("identity", "deadline", "header NAME", "header that shortens deadlines"),
    k("customer", "plan", "NAME", "its plan"),
    k("pool", "server", "NAME ADDRESS:PORT { ... }", "a server"),
    k("pool", "zone", "NAME", "where this process stands"),
    k("pool", "sidecars", "COUNT", "processes that share servers and quotas"),
    k("pool", "attempts", "COUNT", "attempts for one request"),
    k("pool", "requests", "COUNT", "requests open at once"),
    k("pool", "connections", "COUNT", "connections to servers"),
    k("pool", "buffered", "SIZE", "bodies held at once"),
    k("pool", "repeat-limit", "SIZE", "a body up to this can be sent again"),
    k("pool", "connect", "TIME", "time for a connection"),
    k("pool", "keep", "TIME", "an idle connection is kept for this"),
    k("pool", "answer-stall", "TIME", "longest pause within an answer"),
    k("pool", "errors", "STATUS ...", "statuses that are a server's failures"),
    k("pool", "declined", "HEADER VALUE", "proof that nothing ran"),
    k("pool", "drops-repeats", "SCOPE TIME", "which servers drop each other's repeats, and how long"),
    k("pool", "second-copies", "yes | no", "a slow request may be sent twice at once"),
    k("pool", "shares-servers-with", "POOL ...", "pools that may have servers of this one"),
    k("pool", "cross-zone", "SHARE", "price of leaving the zone"),
    k("pool", "cold", "{ ... }", "how servers that have just started are spared"),
    k("pool", "domains", "{ ... }", "zones are judged as a whole, left and come back to"),
    k("domains", "leave", "yes | no", "whether zones are left by what is seen of them"),
    k("domains", "works", "ZONE ...", "zones taken out by hand"),
    k("domains", "distrust", "SHARE", "part of the servers judged bad from which that is not believed"),
    k("cold", "from", "SHARE", "capacity at the start"),
    k("cold", "warm", "TIME", "time to all of it"),
    k("cold", "fall", "NUMBER", "times its capacity that fells it"),
    k("cold", "for", "TIME", "how long it bears that"),
    k("server", "zone", "NAME", "its zone"),
    k("server", "cell", "COUNT", "its cell"),
    k("server", "weight", "NUMBER", "its size against others"),
    k("server", "state", "serving | draining", "whether it gets anything new"),
    k("route", "host", "NAME | *.SUFFIX | *", "hosts"),
    k("route", "path", "exact PATH | prefix PATH | pattern PATH", "paths"),
    k("route", "methods", "METHOD ...", "methods"),
    k("route", "class", "NAME", "class of its requests"),
    k("route", "pool", "NAME", "where they go"),
    k("route", "repeat", "unsent | sent", "narrows what the class says"),
    k("route", "sign-in", "NAME", "the service that is asked first"),
    k("sign-in", "pool", "NAME", "the pool of its servers"),
    k("sign-in", "path", "PATH", "the path that is asked for"),
    k("sign-in", "request-headers", "HEADER ...", "headers of the request that it gets"),
    k("sign-in", "answer-headers", "HEADER ...", "headers of its yes that go on with the request"),
    k("sign-in", "within", "TIME", "longest time for a check"),
    k("sign-in", "body", "SIZE", "a body up to this goes into the check"),
    k("sign-in", "address-limit", "RATE COUNT", "failed checks from one address"),
    k("sign-in", "credential-limit", "RATE COUNT", "failed checks with one credential"),
    k("sign-in", "cache-yes", "TIME", "how long a yes is remembered"),
    k("sign-in", "cache-no", "TIME", "how long a no is remembered"),
    k("sign-in", "cache-size", "COUNT", "most answers remembered"),
    k("sign-in", "cache-unsafe", "yes | no", "whether what must not run twice goes on by a remembered yes"),
    k("sign-in", "on-failure", "closed | open", "what happens where it gives no usable answer"),
];

/// The statements, units and codes as one JSON document, for editors.
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
