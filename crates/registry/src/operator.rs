//! The operators' commands: what they ask, and how the answers read. Called by the command line only; it decides
//! nothing that a core machine does not.

use argh::FromArgs;
use hyper::Method;
use ivygate_cluster::{Node, Pull, Pulled};
use ivygate_control_state::{verdict, Amended, Config, Items, Route, Table, Tables, Verdict};
use ivygate_registry::Server;
use ivygate_rpc::{Calls, Fault, Kind};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// How long one core machine is waited for before the next is asked.
const ANSWER: Duration = Duration::from_secs(4);

/// What an operator asks.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Apply(Apply),
    Read(Read),
    Diff(Diff),
    Drain(Drain),
    Status(Status),
    Where(Where),
}

/// Has the items in a file taken, all or none of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// address at which a core machine takes operators' calls; repeated, the next is asked when one can't answer
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// the call, in JSON: `upsert` and `remove`
    #[argh(positional)]
    file: String,
}

/// Prints the items that stand.
#[derive(FromArgs)]
#[argh(subcommand, name = "read")]
pub struct Read {
    /// address at which a core machine takes operators' calls
    #[argh(option)]
    at: Vec<SocketAddr>,
}

/// Tells what `apply` would change, item by item.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// address at which a core machine takes operators' calls
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// the call, in JSON
    #[argh(positional)]
    file: String,
}

/// Has nothing more sent to a zone's servers, or takes that back.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// address at which a core machine takes operators' calls
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// take it back
    #[argh(switch)]
    finish: bool,
    /// the zone
    #[argh(positional)]
    zone: String,
}

/// Lists the nodes as one core machine knows them, and how its store stands.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// address at which a core machine takes operators' calls
    #[argh(option)]
    at: Vec<SocketAddr>,
}

/// Tells where a request would go, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "where")]
pub struct Where {
    /// address at which a core machine takes operators' calls
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// the key that the client shows
    #[argh(option)]
    key: Option<String>,
    /// the host
    #[argh(positional)]
    host: String,
    /// the path
    #[argh(positional)]
    path: String,
}

struct Core {
    calls: Calls,
    at: Vec<SocketAddr>,
}

impl Core {
    /// Asks one machine after the other, until one gives an answer that another would give too.
    async fn ask(&self, method: Method, path: &str, body: &[u8]) -> Result<Value, Fault> {
        let mut last = Fault::new(Kind::Setting, "no core machine is named: give --at ADDRESS:PORT");
        for to in &self.at {
            match self.calls.raw(*to, method.clone(), path, body.to_vec().into(), ANSWER).await {
                Ok((200, body)) => {
                    return serde_json::from_slice(&body)
                        .map_err(|e| Fault::new(Kind::Malformed, format!("{to}: {e}")));
                }
                Ok((status, body)) => {
                    let unread = |_| Fault::new(Kind::Unreachable, format!("{to} answered {status}"));
                    last = serde_json::from_slice(&body).unwrap_or_else(unread);
                    if !last.kind.is_passing() {
                        return Err(last);
                    }
                }
                Err(fault) => last = fault,
            }
        }
        Err(last)
    }

    /// All that a registry holds.
    async fn items(&self) -> Result<Items, Fault> {
        let pull = Pull { life: 0, since: 0, hold: 0.0, tables: Tables::all().bits() };
        let body = serde_json::to_vec(&pull).map_err(|e| Fault::new(Kind::Malformed, e.to_string()))?;
        let pulled = self.ask(Method::POST, "/news", &body).await?;
        let pulled = Pulled::deserialize(&pulled).map_err(|e| Fault::new(Kind::Malformed, e.to_string()))?;
        let mut items = Items::default();
        for item in pulled.items {
            items.merge_shared(item);
        }
        Ok(items)
    }
}

fn file(path: &str) -> Result<Vec<u8>, Fault> {
    std::fs::read(path).map_err(|e| Fault::new(Kind::Setting, format!("{path}: {e}")))
}

fn named(path: &str) -> impl Fn(Fault) -> Fault + '_ {
    move |fault| Fault::new(fault.kind, format!("{path}: {}", fault.detail))
}

/// Carries out a command; a mistake of the caller's ends with 2, all else that fails with 1.
pub fn run(command: Command) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Fault::new(Kind::Setting, e.to_string()))?;
    match tokio::task::LocalSet::new().block_on(&runtime, carry_out(command)) {
        Ok(text) => {
            println!("{text}");
            Ok(())
        }
        Err(fault) => {
            let callers = !fault.kind.is_passing();
            eprintln!("{:?}", miette::Report::new(fault));
            std::process::exit(if callers { 2 } else { 1 });
        }
    }
}

async fn carry_out(command: Command) -> Result<String, Fault> {
    let core = |at| Core { calls: Calls::default(), at };
    match command {
        Command::Apply(Apply { at, file: path }) => {
            let body = file(&path)?;
            let items = Amended::read(&body).map_err(named(&path))?.items.len();
            core(at).ask(Method::POST, "/config/amend", &body).await.map_err(named(&path))?;
            Ok(format!("acknowledged: {items} items"))
        }
        Command::Read(Read { at }) => {
            let stands = core(at).ask(Method::GET, "/config/read", &[]).await?;
            serde_json::to_string_pretty(&stands).map_err(|e| Fault::new(Kind::Malformed, e.to_string()))
        }
        Command::Diff(Diff { at, file: path }) => {
            let call = Amended::read(&file(&path)?).map_err(named(&path))?;
            Ok(diff(&core(at).items().await?, &call))
        }
        Command::Drain(Drain { at, finish, zone }) => {
            let act = if finish { "finish" } else { "begin" };
            core(at).ask(Method::POST, &format!("/drain/{zone}/{act}"), &[]).await?;
            Ok(if finish { format!("{zone} is taken back") } else { format!("{zone} is being emptied") })
        }
        Command::Status(Status { at }) => {
            let core = core(at);
            let status = core.ask(Method::GET, "/status", &[]).await?;
            Ok(describe(&status, &core.items().await?))
        }
        Command::Where(Where { at, key, host, path }) => {
            where_to(&core(at).items().await?, &host, &path, key.as_deref())
        }
    }
}

fn diff(stands: &Items, call: &Amended) -> String {
    let line = |item: &ivygate_control_state::Item| {
        let (table, name) = (item.key.table, &item.key.name);
        let held = stands.get(table, name).map(|held| held.version);
        let what = match (verdict(stands, item), held, item.body.is_some()) {
            (Verdict::Newer, None, true) => "new".to_owned(),
            (Verdict::Newer, None, false) => "drops what was never there".to_owned(),
            (Verdict::Newer, Some(version), true) => format!("changes r{version}"),
            (Verdict::Newer, Some(version), false) => format!("drops r{version}"),
            (Verdict::Stands, ..) => "same".to_owned(),
            (Verdict::Conflict, held, _) if held == Some(item.version) => {
                "CONFLICT: another content stands".to_owned()
            }
            // What was acknowledged under lower numbers is known to the stores alone.
            (_, held, _) => format!(
                "older than r{}, changes nothing; refused if acknowledged with other content",
                held.unwrap_or_default()
            ),
        };
        format!("{table:?} {name} r{}: {what}", item.version)
    };
    call.items.iter().map(line).collect::<Vec<_>>().join("\n")
}

fn describe(status: &Value, items: &Items) -> String {
    let mut lines = vec![format!(
        "store: {}, {} items, digest {}; group of {}",
        status["store"]["standing"].as_str().unwrap_or("unknown"),
        status["store"]["items"],
        status["store"]["digest"].as_str().unwrap_or("-"),
        status["store"]["members"].as_array().map_or(0, Vec::len),
    )];
    lines.push(format!("warden: {} under epoch {}", status["warden"]["holder"], status["epoch"]));
    lines.push(format!("servers: {}; in touch with the core {} ms ago", status["servers"], status["ageMs"]));
    for (name, body) in items.standing(Table::Nodes) {
        let Some(node) = Node::read(body) else { continue };
        let state = match &node {
            Node { lost: true, .. } => "lost",
            Node { leaving: true, .. } => "leaving",
            Node { ready: false, .. } => "not ready",
            _ => "ready",
        };
        lines.push(format!("{name} {} {state}", node.zone));
    }
    lines.join("\n")
}

fn where_to(items: &Items, host: &str, path: &str, key: Option<&str>) -> Result<String, Fault> {
    let config = Config::read(items)?;
    let fits =
        |route: &&Route| route.vhost.eq_ignore_ascii_case(host) && path.starts_with(&route.path_prefix);
    let found = config
        .routes
        .iter()
        .filter(|(_, route)| fits(route))
        .max_by_key(|(_, route)| route.path_prefix.len());
    let Some((name, route)) = found else {
        return Ok(format!("404: no route of {host} begins {path}"));
    };
    let mut lines = vec![format!(
        "route {name}: the longest prefix of {host} that begins {path} is {}",
        route.path_prefix
    )];
    let tenant =
        config.tenants.iter().find(|(_, t)| key.is_some_and(|key| t.api_keys.iter().any(|k| k == key)));
    let homes: Vec<&String> = match tenant {
        _ if config.tenants.is_empty() || (route.public && tenant.is_none()) => {
            route.home_regions.iter().collect()
        }
        None => {
            lines.push("401: no tenant holds this key".to_owned());
            return Ok(lines.join("\n"));
        }
        Some((name, tenant)) => {
            lines.push(format!(
                "tenant {name}: {} a second and a burst of {}",
                tenant.rate_per_s, tenant.burst
            ));
            route.home_regions.iter().chain(&tenant.home_regions).collect()
        }
    };
    if !homes.is_empty() {
        lines.push(format!("bound to home regions {homes:?}, each of route and tenant"));
    }
    let all: f64 = route.shares().iter().map(|share| share.weight).sum();
    for share in route.shares() {
        lines.push(format!("service {}: {:.0} in 100", share.backend, 100.0 * share.weight / all.max(1e-9)));
        let mut zones: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        for (_, body) in items.standing(Table::Servers) {
            let Ok(server) = Server::deserialize(body) else { continue };
            if server.backend == share.backend {
                let zone = zones.entry(server.zone.clone()).or_default();
                let stays = !server.draining && items.body(Table::Drains, &server.zone).is_none();
                *(if stays { &mut zone.0 } else { &mut zone.1 }) += 1;
            }
        }
        for (zone, (stay, leave)) in zones {
            lines.push(format!("  {zone}: {stay} servers take requests, {leave} leave"));
        }
    }
    Ok(lines.join("\n"))
}
