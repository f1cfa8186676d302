//! Statements about the process itself: limits, journal, operator interface and group.

use super::*;

/// Default retention time of orders in the journal: 30 days.
const DEFAULT_JOURNAL_KEEP_MS: f64 = 30.0 * MAX_DURATION_MS;
/// Minimum retention time: longer than any request can take from its arrival to the end of its response.
const MIN_JOURNAL_KEEP_MS: f64 = 3.0 * MAX_DURATION_MS;
/// Default and minimum of the journal's disk limit in bytes.
const DEFAULT_JOURNAL_BYTES: f64 = 1_073_741_824.0;
const MIN_JOURNAL_BYTES: f64 = 67_108_864.0;

pub(super) fn limits(fields: &Fields) -> Limits {
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

pub(super) fn journal(fields: &Fields) -> Option<Journal> {
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

pub(super) fn operator(fields: &Fields, listeners: &[Listener]) -> Option<Operator> {
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

pub(super) fn group(fields: &Fields, pools: &[Pool]) -> Option<Group> {
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
