//! Lines of the wire to events, actions to lines.

use ivygate_gateway::{
    Action, Arrival, AttemptResult, Event, Gateway, ListKind, Load, Outcome, ServerEntry, ServerState,
    WireSettings,
};
use ivygate_time::Timestamp;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Write};
use std::sync::Arc;

/// What ends the adapter early.
#[derive(Debug)]
pub enum WireError {
    /// A line that cannot be read, with its number from 1.
    Malformed(u64, String),
    /// Reading or writing failed.
    Io(io::Error),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Malformed(line, what) => write!(f, "line {line}: {what}"),
            WireError::Io(error) => write!(f, "{error}"),
        }
    }
}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        WireError::Io(error)
    }
}

/// The gateways of this process and the server lists that their events refer to.
#[derive(Default)]
pub struct Host {
    gateways: BTreeMap<u64, Gateway>,
    lists: BTreeMap<u64, Arc<[ServerEntry]>>,
    actions: Vec<Action>,
}

/// The list that a `ledger` announced, while its entries come in.
struct OpenList {
    buffer: u64,
    missing: u64,
    members: Vec<ServerEntry>,
}

impl Host {
    /// Answers batch after batch until the input ends.
    pub fn run(&mut self, input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
        let mut now: Option<f64> = None;
        let mut open: Option<OpenList> = None;
        let mut number = 0;
        for line in input.lines() {
            number += 1;
            let line = line?;
            let bad = |what: String| WireError::Malformed(number, what);
            let Some(at) = now else {
                let mark = Message::new(&line).map_err(bad)?;
                if mark.name != "mark" {
                    return Err(bad(format!("expected 'mark', found '{}'", mark.name)));
                }
                now = Some(mark.number("wallMs").map_err(bad)?);
                continue;
            };
            if let Some(list) = &open {
                if list.missing > 0 && !line.starts_with("item ") {
                    return Err(bad(format!("ledger: field 'rowsIn' promises {} more items", list.missing)));
                }
            }
            if line == "end" {
                output.write_all(b"end\n")?;
                output.flush()?;
                now = None;
                open = None;
                continue;
            }
            self.message(at, &line, &mut open, &mut output).map_err(|e| match e {
                Failure::Text(what) => bad(what),
                Failure::Io(error) => WireError::Io(error),
            })?;
        }
        match now {
            Some(_) => {
                Err(WireError::Malformed(number, "input ends within a batch: 'end' is missing".into()))
            }
            None => Ok(()),
        }
    }

    fn message(
        &mut self,
        now: f64,
        line: &str,
        open: &mut Option<OpenList>,
        output: &mut impl Write,
    ) -> Result<(), Failure> {
        let m = Message::new(line)?;
        match m.name {
            "ledger" => {
                let (buffer, missing) = (m.whole("buffer")?, m.whole("rowsIn")?);
                self.lists.insert(buffer, Arc::from([]));
                *open = Some(OpenList { buffer, missing, members: Vec::new() });
                return Ok(());
            }
            "item" => {
                let list = open.as_mut().filter(|l| l.missing > 0).ok_or("item: no ledger is open")?;
                list.members.push(member(&m)?);
                list.missing -= 1;
                if list.missing == 0 {
                    self.lists.insert(list.buffer, std::mem::take(&mut list.members).into());
                }
                return Ok(());
            }
            _ => {}
        }
        let node = m.whole("node")?;
        match m.name {
            "enlist" => {
                let settings = WireSettings::parse(m.text("setup")?)
                    .and_then(WireSettings::into_settings)
                    .map_err(|e| m.bad("setup", &e))?;
                let gateway = Gateway::new(settings, m.whole("salt")?).map_err(|e| m.bad("setup", &e))?;
                self.gateways.insert(node, gateway);
                return Ok(());
            }
            "exit" => {
                self.gateways.remove(&node);
                return Ok(());
            }
            _ => {}
        }
        let Some(event) = self.event(&m)? else { return Ok(()) };
        let gateway = self.gateways.get_mut(&node).ok_or_else(|| m.bad("node", &"not enlisted"))?;
        gateway.handle(Timestamp::from_millis(now), event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(output, node, &action)?;
        }
        Ok(())
    }

    fn event(&self, m: &Message) -> Result<Option<Event>, String> {
        Ok(Some(match m.name {
            "membership" => {
                let kind = match m.text("scope")? {
                    "all" | "remembered" => ListKind::Full,
                    "changes" => ListKind::Changes,
                    "refused" => ListKind::Failed,
                    other => return Err(m.bad("scope", &format!("unknown value '{other}'"))),
                };
                let members = match kind {
                    ListKind::Failed => Arc::from([]),
                    _ => {
                        let list = self.lists.get(&m.whole("buffer")?);
                        list.ok_or_else(|| m.bad("buffer", &"no such ledger"))?.clone()
                    }
                };
                Event::List { kind, servers: members }
            }
            "inbound" => Event::Arrival(Arrival {
                request: m.text("requestId")?.into(),
                class: m.text("cls")?.into(),
                plan: m.text("gradeOfService")?.into(),
                customer: m.text("holder")?.into(),
                deadline: Timestamp::from_millis(m.number("deadlineMs")?),
                units: m.number_or("priceUnits", 1.0)?,
                gateways: m.small_or("width", 1)?,
                zones: None,
                max_attempts: None,
            }),
            "done" => Event::AttemptEnded(AttemptResult {
                request: m.text("requestId")?.into(),
                attempt: m.small("copy")?,
                server: m.small("server")?,
                outcome: outcome(m)?,
                elapsed: m.number("elapsedMs")?,
                is_final: m.whole_or("last", 0)? == 1,
                metered_percent: Some(m.number_or("quotaUse", 0.0)?).filter(|u| *u > 0.0).map(|u| u - 1.0),
                load: load(m)?,
            }),
            "checked" => {
                Event::HealthChecked { server: m.small("server")?, outcome: outcome(m)?, load: load(m)? }
            }
            "opened" => {
                Event::StreamStarted { request: m.text("requestId")?.into(), attempt: m.small("copy")? }
            }
            "client_gone" => Event::ClientGone { request: m.text("requestId")?.into() },
            "timeout_fired" => Event::Timer { token: m.whole("ctx")? },
            // Nothing is asked of the counter or of peers, so nothing they say is of use.
            "tallied" | "message" => return Ok(None),
            other => return Err(format!("unknown message '{other}'")),
        }))
    }
}

fn member(m: &Message) -> Result<ServerEntry, String> {
    Ok(ServerEntry {
        server: m.small("server")?,
        zone: m.text("campus")?.to_owned(),
        cell: m.small_or("unitGroup", 0)?,
        state: match m.text("status")? {
            "Ready" => ServerState::Ready,
            "Terminating" => ServerState::Draining,
            "Gone" => ServerState::Gone,
            other => return Err(m.bad("status", &format!("unknown value '{other}'"))),
        },
        weight: m.number_or("units", 1.0)?,
        started_at: Some(m.number_or("lastStartMs", 0.0)?).filter(|t| *t != 0.0).map(Timestamp::from_millis),
        distance_cost: 0.0,
        slow_start: None,
    })
}

fn outcome(m: &Message) -> Result<Outcome, String> {
    Ok(match m.whole("code")? {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Rejected,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NeverSent,
        other => return Err(m.bad("code", &format!("unknown value {other}"))),
    })
}

fn load(m: &Message) -> Result<Load, String> {
    let mut load = Load::default();
    for pair in m.find("load").unwrap_or("").split(',').filter(|p| !p.is_empty()) {
        let (name, value) = pair.split_once(':').ok_or_else(|| m.bad("load", &"expected name:value"))?;
        let field = match name {
            "inflight" => &mut load.in_flight,
            "queue" => &mut load.queue,
            "util" => &mut load.utilization,
            "latency_ms" => &mut load.service_time,
            _ => continue,
        };
        *field = Some(finite(value).ok_or_else(|| m.bad("load", &format!("'{name}' is not a number")))?);
    }
    Ok(load)
}

fn write_action(output: &mut impl Write, node: u64, action: &Action) -> io::Result<()> {
    match action {
        Action::Send { request, server, give_up_at } => {
            let cut_at_ms = give_up_at.as_millis();
            writeln!(
                output,
                "hand_off node={node} requestId={request} server={server} cutAtMs={cut_at_ms:.3}"
            )
        }
        Action::Reject { request, retry_after, .. } => {
            writeln!(output, "decline node={node} requestId={request} stayAwayMs={retry_after:.3}")
        }
        Action::Fail { request } => writeln!(output, "drop_request node={node} requestId={request}"),
        Action::Cancel { request, attempt } => {
            writeln!(output, "drop_attempt node={node} requestId={request} copy={attempt}")
        }
        Action::CheckHealth { server } => writeln!(output, "ping node={node} server={server}"),
        Action::Timer { token, at } => {
            writeln!(output, "timer node={node} ctx={token} instantMs={:.3}", at.as_millis())
        }
        Action::Subscribe => writeln!(output, "keep_informed node={node} active=1"),
        Action::Log { text } => writeln!(output, "write_log node={node} what={text}"),
    }
}

enum Failure {
    Text(String),
    Io(io::Error),
}

impl From<String> for Failure {
    fn from(what: String) -> Self {
        Failure::Text(what)
    }
}

impl From<&str> for Failure {
    fn from(what: &str) -> Self {
        Failure::Text(what.to_owned())
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Failure::Io(error)
    }
}

/// One line: a name and its fields.
struct Message<'a> {
    name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Message<'a> {
    fn new(line: &'a str) -> Result<Self, String> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::with_capacity(10);
        while !rest.is_empty() {
            let (key, tail) = rest
                .split_once('=')
                .ok_or_else(|| format!("{name}: expected name=value, found '{}'", clip(rest)))?;
            // The settings are text: they run to the end of the line.
            let (value, next) =
                if key == "setup" { (tail, "") } else { tail.split_once(' ').unwrap_or((tail, "")) };
            fields.push((key, value));
            rest = next;
        }
        Ok(Self { name, fields })
    }

    fn bad(&self, field: &str, what: &dyn fmt::Display) -> String {
        format!("{}: field '{field}': {what}", self.name)
    }

    fn find(&self, key: &str) -> Option<&'a str> {
        self.fields.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.find(key).filter(|v| !v.is_empty()).ok_or_else(|| self.bad(key, &"is missing"))
    }

    fn number(&self, key: &str) -> Result<f64, String> {
        let text = self.text(key)?;
        finite(text).ok_or_else(|| self.bad(key, &format!("'{}' is not a number", clip(text))))
    }

    fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.find(key).map_or(Ok(default), |_| self.number(key))
    }

    fn whole(&self, key: &str) -> Result<u64, String> {
        let text = self.text(key)?;
        text.parse().map_err(|_| self.bad(key, &format!("'{}' is not a whole number", clip(text))))
    }

    fn small(&self, key: &str) -> Result<u32, String> {
        self.whole(key)?.try_into().map_err(|_| self.bad(key, &"is too large"))
    }

    fn small_or(&self, key: &str, default: u32) -> Result<u32, String> {
        self.find(key).map_or(Ok(default), |_| self.small(key))
    }

    fn whole_or(&self, key: &str, default: u64) -> Result<u64, String> {
        self.find(key).map_or(Ok(default), |_| self.whole(key))
    }
}

fn finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|v: &f64| v.is_finite())
}

fn clip(text: &str) -> &str {
    text.char_indices().nth(40).map_or(text, |(end, _)| &text[..end])
}
