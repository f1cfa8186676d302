//! Listeners and pools with their servers.

use super::*;

pub(super) fn listeners(fields: &Fields) -> Vec<Listener> {
    let mut listeners: Vec<Listener> = Vec::new();
    for statement in fields.all("listen") {
        let Some(word) = statement.words.get(1) else {
            fields.report(Diagnostic::error(
                "IV0014",
                "`listen` lacks an address",
                statement.words[0].span,
                "here",
            ));
            continue;
        };
        let Some(address) = address(fields, word) else { continue };
        if let Some(other) = listeners.iter().find(|l| l.address == address && address.port() != 0) {
            let error =
                Diagnostic::error("IV0043", "two listeners have the same address", word.span, "again here");
            fields.report(error.related(other.at.0, "first here"));
        }
        let inner = fields.inner("listener", statement);
        let mut trusted = Vec::new();
        for list in inner.all("trusted") {
            for word in inner.words(list, 1, usize::MAX).unwrap_or_default() {
                let net =
                    word.text.parse().ok().or_else(|| word.text.parse::<IpAddr>().ok().map(IpNet::from));
                match net {
                    Some(net) => trusted.push(net),
                    None => {
                        let message = format!("`{}` is not an address or a network", word.text);
                        let error = Diagnostic::error("IV0039", message, word.span, "here");
                        inner.report(error.help("write one such as `127.0.0.1` or `10.0.0.0/8`"));
                    }
                }
            }
        }
        listeners.push(Listener {
            address,
            trusted,
            connections: inner.positive_or("connections", Quantity::Count, 256.0) as usize,
            head: inner.positive_or("head", Quantity::Size, 16384.0) as usize,
            head_within: duration_or(&inner, "head-within", 10_000.0),
            body_stall: duration_or(&inner, "body-stall", 10_000.0),
            read_stall: duration_or(&inner, "read-stall", 30_000.0),
            idle: duration_or(&inner, "idle", 60_000.0),
            answer_within: duration_or(&inner, "answer-within", MAX_DURATION_MS),
            answers_checks: inner
                .single("answers-checks")
                .and_then(|s| inner.words(s, 1, 1))
                .and_then(|w| request_path(&inner, &w[0]))
                .map(|p| p.split('?').next().unwrap_or("").to_owned()),
            ids_kept: duration_or(&inner, "ids-kept", 60_000.0),
            at: SourceSpan(inner.head),
        });
        if let Some(word) = inner.word("head").filter(|_| listeners.last().is_some_and(|l| l.head < 8192)) {
            let error = Diagnostic::error(
                "IV0044",
                "heads of requests need 8KiB at the least",
                word.span,
                "too small",
            );
            inner.report(error.help("write `head 16KiB;`"));
        }
        inner.finish();
    }
    listeners
}

pub(super) fn pools(fields: &Fields) -> Vec<Pool> {
    let mut seen = HashMap::new();
    let mut pools: Vec<Pool> = Vec::new();
    for statement in fields.all("pool") {
        let Some(name) = block_name(fields, "pool", statement, &mut seen) else { continue };
        let inner = fields.inner("pool", statement);
        let zone = inner.text_or("zone", "");
        let mut errors = vec![502, 503, 504];
        if let Some(statement) = inner.single("errors") {
            let words = inner.words(statement, 0, 64).unwrap_or_default();
            errors = words.iter().filter_map(|word| server_error_status(&inner, word)).collect();
        }
        let declined = inner
            .single("declined")
            .and_then(|s| inner.words(s, 2, 2))
            .and_then(|words| Some((header_name(&inner, &words[0])?, words[1].text.clone())));
        let cold = inner.single("cold").map(|statement| {
            let block = inner.inner("cold block", statement);
            let cold = ColdStart {
                from: block.quantity_or("from", Quantity::Share, 0.2),
                warm: duration_or(&block, "warm", 10_000.0),
                fall: block.positive_or("fall", Quantity::Number, 2.0),
                window: duration_or(&block, "for", 1_000.0),
            };
            block.finish();
            cold
        });
        let domains =
            inner.single("domains").map(|statement| domains(inner.inner("domains block", statement)));
        let drops_repeats =
            inner.single("drops-repeats").and_then(|s| inner.words(s, 2, 2)).and_then(|words| {
                let time = inner.quantity_in(&words[1], Quantity::Duration)?;
                Some((scope(&inner, &words[0])?, time.min(MAX_DURATION_MS)))
            });
        let shares = inner.single("shares-servers-with").and_then(|s| inner.words(s, 1, 64));
        let shares_servers_with = shares.unwrap_or_default().iter().map(|word| word.text.clone()).collect();
        let servers = servers(&inner, &zone);
        if servers.is_empty() && inner.all("server").is_empty() {
            let error = Diagnostic::error("IV0045", "this pool has no server", inner.head, "in here");
            inner.report(error.help("write `server NAME 127.0.0.1:9000;`"));
        }
        let domains = domains.map(|(domains, words)| {
            check_maintenance_zones(&inner, &domains, words, &servers);
            domains
        });
        pools.push(Pool {
            name: name.text.clone(),
            zone,
            sidecars: inner.positive_or("sidecars", Quantity::Count, 1.0) as u32,
            attempts: inner.positive_or("attempts", Quantity::Count, 3.0) as u32,
            connections: inner.positive_or("connections", Quantity::Count, 128.0) as usize,
            requests: inner.positive_or("requests", Quantity::Count, 128.0) as usize,
            buffered: inner.positive_or("buffered", Quantity::Size, 8.0 * 1_048_576.0) as usize,
            repeat_limit: inner.quantity_or("repeat-limit", Quantity::Size, 65536.0) as usize,
            connect: duration_or(&inner, "connect", 1_000.0),
            keep: duration_or(&inner, "keep", 4_000.0),
            answer_stall: duration_or(&inner, "answer-stall", 10_000.0),
            errors,
            declined,
            cold,
            drops_repeats,
            second_copies: flag(&inner, "second-copies"),
            shares_servers_with,
            cross_zone: inner.quantity_or("cross-zone", Quantity::Share, 0.0),
            domains,
            servers,
            at: SourceSpan(inner.head),
        });
        inner.finish();
    }
    pools
}

/// Reads a `domains` block; also returns the words that name its maintenance zones.
fn domains<'a>(block: Fields<'a>) -> (Domains, &'a [Word]) {
    let words = block.single("works").and_then(|s| block.words(s, 1, 64)).unwrap_or_default();
    let distrust = match block.quantity_or("distrust", Quantity::Share, 0.5) {
        share if share > 0.0 => share,
        _ => {
            let at = block.word("distrust").map_or(block.head, |word| word.span);
            let error = Diagnostic::error("IV0024", "`distrust` is zero", at, "must be above zero");
            block.report(error.help("write `leave no;` to leave no zone by what is seen of it"));
            0.5
        }
    };
    let leave = block.single("leave").is_none() || flag(&block, "leave");
    let maintenance_zones = words.iter().map(|word| word.text.clone()).collect();
    block.finish();
    (Domains { leave, maintenance_zones, distrust }, words)
}

/// Checks that the maintenance zones exist and that at least one other zone is left.
fn check_maintenance_zones(pool: &Fields, domains: &Domains, words: &[Word], servers: &[Server]) {
    let mut zones: Vec<&str> = servers.iter().map(|server| server.zone.as_str()).collect();
    zones.sort_unstable();
    zones.dedup();
    for word in words.iter().filter(|word| !zones.contains(&word.text.as_str())) {
        let message = format!("the zone `{}` has no server in this pool", word.text);
        let error = Diagnostic::error("IV0095", message, word.span, "no such zone");
        pool.report(error.help(suggestion(&word.text, &zones)));
    }
    let all_in_maintenance =
        zones.iter().all(|zone| domains.maintenance_zones.iter().any(|name| name == zone));
    if let (Some(word), true, false) = (words.first(), all_in_maintenance, zones.is_empty()) {
        let error =
            Diagnostic::error("IV0096", "all zones of this pool are in works", word.span, "nothing is left");
        pool.report(error.help("leave one of them out, or take the pool out of its routes"));
    }
    if zones.len() == 1 && words.is_empty() {
        let message = "this pool has one zone, and none that it could be left for";
        let warning = Diagnostic::warning("IV0108", message, pool.head, "in here");
        pool.report(warning.help("say `zone NAME` at its servers, or remove `domains`"));
    }
}

fn server_error_status(fields: &Fields, word: &Word) -> Option<u16> {
    let status = word.text.parse().ok().filter(|s| (500..600).contains(s));
    if status.is_none() {
        let message = format!("`{}` is not a status of a server's failure", word.text);
        let error = Diagnostic::error("IV0046", message, word.span, "here");
        fields.report(error.help("write statuses from 500 to 599; all others are the application's answer"));
    }
    status
}

fn servers(pool: &Fields, own_zone: &str) -> Vec<Server> {
    let mut seen = HashMap::new();
    let mut servers: Vec<Server> = Vec::new();
    for statement in pool.all("server") {
        let Some(name) = block_name(pool, "server", statement, &mut seen) else { continue };
        let Some(word) = statement.words.get(2) else {
            let message = format!("the server `{}` has no address", name.text);
            let error = Diagnostic::error("IV0014", message, name.span, "an address is expected after this");
            pool.report(error.help(format!("write `server {} 127.0.0.1:9000;`", name.text)));
            continue;
        };
        let Some(address) = address(pool, word) else { continue };
        if let Some(extra) = statement.words.get(3) {
            let error =
                Diagnostic::error("IV0015", "a server has a value too many", extra.span, "not expected here");
            pool.report(error.help("further settings stand in a block: `{ zone north; weight 2; }`"));
        }
        if let Some(other) = servers.iter().find(|s| s.address == address) {
            let error =
                Diagnostic::error("IV0047", "a server is listed twice in this pool", word.span, "again here");
            pool.report(
                error
                    .related(other.at.0, "first here")
                    .help("a server counts once; use `weight` for a larger one"),
            );
        }
        if address.port() == 0 {
            let error = Diagnostic::error("IV0092", "a server has port 0", word.span, "reaches nobody");
            pool.report(error.help("write the port on which it listens"));
        }
        let inner = pool.inner("server", statement);
        let state = inner.word("state");
        let draining = match state.map(|w| w.text.as_str()) {
            None | Some("serving") => false,
            Some("draining") => true,
            Some(other) => {
                let at = state.map_or(inner.head, |w| w.span);
                let error = Diagnostic::error("IV0048", format!("there is no state `{other}`"), at, "here");
                inner.report(error.help("write `serving` or `draining`"));
                false
            }
        };
        servers.push(Server {
            name: name.text.clone(),
            address,
            zone: inner.text_or("zone", own_zone),
            cell: inner.quantity_or("cell", Quantity::Count, 0.0) as u32,
            weight: inner.positive_or("weight", Quantity::Number, 1.0),
            draining,
            at: SourceSpan(head_span(statement)),
        });
        inner.finish();
    }
    servers
}
