//! Translation between the lines of the protocol and events and actions.
//!
//! A batch begins with `mark`, which sets the time, and ends with `end`.

use ivygate_gateway::{
    Action, Arrival, AttemptResult, Event, Gateway, ListKind, Load, Outcome, ServerEntry, ServerState,
    WireSettings,
};
use ivygate_time::Timestamp;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Write};
use std::sync::Arc;

/// Error that ends the adapter.
#[derive(Debug)]
pub enum WireError {
    /// A malformed line, with its number from 1 and the reason.
    Malformed(u64, String),
    /// I/O error on standard input or output.
    Io(io::Error),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Malformed(line, reason) => write!(f, "line {line}: {reason}"),
            WireError::Io(error) => write!(f, "{error}"),
        }
    }
}

impl From<io::Error> for WireError {
    fn from(error: io::Error) -> Self {
        WireError::Io(error)
    }
}

/// The gateways of this process and the server lists to which their events refer.
#[derive(Default)]
pub struct Host {
    gateways: BTreeMap<u64, Gateway>,
    lists: BTreeMap<u64, Arc<[ServerEntry]>>,
    actions: Vec<Action>,
}

/// A list announced by `ledger` whose entries are still being read.
struct PendingList {
    buffer: u64,
    remaining: u64,
    entries: Vec<ServerEntry>,
}

impl Host {
    /// Processes all batches until the input ends.
    ///
    /// # Errors
    /// Returns the first malformed line or I/O error.
    pub fn run(&mut self, input: impl BufRead, mut output: impl Write) -> Result<(), WireError> {
        let mut now: Option<f64> = None;
        let mut pending: Option<PendingList> = None;
        let mut line_number = 0;
        for line in input.lines() {
            line_number += 1;
            let line = line?;
            let malformed = |reason: String| WireError::Malformed(line_number, reason);
            let Some(at) = now else {
                let mark = Message::parse(&line).map_err(malformed)?;
                if mark.name != "mark" {
                    return Err(malformed(format!("expected 'mark', found '{}'", mark.name)));
                }
                now = Some(mark.number("wallMs").map_err(malformed)?);
                continue;
            };
            if let Some(list) = &pending {
                if list.remaining > 0 && !line.starts_with("item ") {
                    return Err(malformed(format!(
                        "ledger: field 'rowsIn' promises {} more items",
                        list.remaining
                    )));
                }
            }
            if line == "end" {
                output.write_all(b"end\n")?;
                output.flush()?;
                now = None;
                pending = None;
                continue;
            }
            self.handle_line(at, &line, &mut pending, &mut output).map_err(|error| match error {
                LineError::Malformed(reason) => malformed(reason),
                LineError::Io(error) => WireError::Io(error),
            })?;
        }
        match now {
            Some(_) => {
                Err(WireError::Malformed(line_number, "input ends within a batch: 'end' is missing".into()))
            }
            None => Ok(()),
        }
    }

    fn handle_line(
        &mut self,
        now: f64,
        line: &str,
        pending: &mut Option<PendingList>,
        output: &mut impl Write,
    ) -> Result<(), LineError> {
        let message = Message::parse(line)?;
        match message.name {
            "ledger" => {
                let (buffer, remaining) = (message.unsigned("buffer")?, message.unsigned("rowsIn")?);
                self.lists.insert(buffer, Arc::from([]));
                *pending = Some(PendingList { buffer, remaining, entries: Vec::new() });
                return Ok(());
            }
            "item" => {
                let list = pending.as_mut().filter(|l| l.remaining > 0).ok_or("item: no ledger is open")?;
                list.entries.push(server_entry(&message)?);
                list.remaining -= 1;
                if list.remaining == 0 {
                    self.lists.insert(list.buffer, std::mem::take(&mut list.entries).into());
                }
                return Ok(());
            }
            _ => {}
        }
        let node = message.unsigned("node")?;
        match message.name {
            "enlist" => {
                let settings = WireSettings::parse(message.text("setup")?)
                    .and_then(WireSettings::into_settings)
                    .map_err(|error| message.field_error("setup", &error))?;
                let gateway = Gateway::new(settings, message.unsigned("salt")?)
                    .map_err(|error| message.field_error("setup", &error))?;
                self.gateways.insert(node, gateway);
                return Ok(());
            }
            "exit" => {
                self.gateways.remove(&node);
                return Ok(());
            }
            _ => {}
        }
        let Some(event) = self.event(&message)? else { return Ok(()) };
        let gateway =
            self.gateways.get_mut(&node).ok_or_else(|| message.field_error("node", &"not enlisted"))?;
        gateway.handle(Timestamp::from_millis(now), event, &mut self.actions);
        for action in self.actions.drain(..) {
            write_action(output, node, &action)?;
        }
        Ok(())
    }

    fn event(&self, message: &Message) -> Result<Option<Event>, String> {
        Ok(Some(match message.name {
            "membership" => {
                let kind = match message.text("scope")? {
                    "all" | "remembered" => ListKind::Full,
                    "changes" => ListKind::Changes,
                    "refused" => ListKind::Failed,
                    other => return Err(message.field_error("scope", &format!("unknown value '{other}'"))),
                };
                let entries = match kind {
                    ListKind::Failed => Arc::from([]),
                    _ => {
                        let list = self.lists.get(&message.unsigned("buffer")?);
                        list.ok_or_else(|| message.field_error("buffer", &"no such ledger"))?.clone()
                    }
                };
                Event::List { kind, servers: entries }
            }
            "inbound" => Event::Arrival(Arrival {
                request: message.text("requestId")?.into(),
                class: message.text("cls")?.into(),
                plan: message.text("gradeOfService")?.into(),
                customer: message.text("holder")?.into(),
                deadline: Timestamp::from_millis(message.number("deadlineMs")?),
                units: message.number_or("priceUnits", 1.0)?,
                gateways: message.unsigned_32_or("width", 1)?,
                zones: None,
                max_attempts: None,
            }),
            "done" => Event::AttemptEnded(AttemptResult {
                request: message.text("requestId")?.into(),
                attempt: message.unsigned_32("copy")?,
                server: message.unsigned_32("server")?,
                outcome: outcome(message)?,
                elapsed: message.number("elapsedMs")?,
                is_final: message.unsigned_or("last", 0)? == 1,
                metered_percent: Some(message.number_or("quotaUse", 0.0)?)
                    .filter(|u| *u > 0.0)
                    .map(|u| u - 1.0),
                load: load(message)?,
            }),
            "checked" => Event::HealthChecked {
                server: message.unsigned_32("server")?,
                outcome: outcome(message)?,
                load: load(message)?,
            },
            "opened" => Event::StreamStarted {
                request: message.text("requestId")?.into(),
                attempt: message.unsigned_32("copy")?,
            },
            "client_gone" => Event::ClientGone { request: message.text("requestId")?.into() },
            "timeout_fired" => Event::Timer { token: message.unsigned("ctx")? },
            // Gateways query neither the counter nor peers, so these messages carry nothing that they use.
            "tallied" | "message" => return Ok(None),
            other => return Err(format!("unknown message '{other}'")),
        }))
    }
}

fn server_entry(message: &Message) -> Result<ServerEntry, String> {
    Ok(ServerEntry {
        server: message.unsigned_32("server")?,
        zone: message.text("campus")?.to_owned(),
        cell: message.unsigned_32_or("unitGroup", 0)?,
        state: match message.text("status")? {
            "Ready" => ServerState::Ready,
            "Terminating" => ServerState::Draining,
            "Gone" => ServerState::Gone,
            other => return Err(message.field_error("status", &format!("unknown value '{other}'"))),
        },
        weight: message.number_or("units", 1.0)?,
        started_at: Some(message.number_or("lastStartMs", 0.0)?)
            .filter(|t| *t != 0.0)
            .map(Timestamp::from_millis),
        distance_cost: 0.0,
        slow_start: None,
    })
}

fn outcome(message: &Message) -> Result<Outcome, String> {
    Ok(match message.unsigned("code")? {
        100 => Outcome::Ok,
        301 => Outcome::Error,
        302 => Outcome::Rejected,
        303 => Outcome::Timeout,
        304 => Outcome::ConnectFailed,
        305 => Outcome::Reset,
        306 => Outcome::Cancelled,
        307 => Outcome::NeverSent,
        other => return Err(message.field_error("code", &format!("unknown value {other}"))),
    })
}

fn load(message: &Message) -> Result<Load, String> {
    let mut load = Load::default();
    for pair in message.find("load").unwrap_or("").split(',').filter(|p| !p.is_empty()) {
        let (name, value) =
            pair.split_once(':').ok_or_else(|| message.field_error("load", &"expected name:value"))?;
        let field = match name {
            "inflight" => &mut load.in_flight,
            "queue" => &mut load.queue,
            "util" => &mut load.utilization,
            "latency_ms" => &mut load.service_time,
            _ => continue,
        };
        *field = Some(
            finite(value).ok_or_else(|| message.field_error("load", &format!("'{name}' is not a number")))?,
        );
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

/// Error of a line, before its number is added.
enum LineError {
    Malformed(String),
    Io(io::Error),
}

impl From<String> for LineError {
    fn from(reason: String) -> Self {
        LineError::Malformed(reason)
    }
}

impl From<&str> for LineError {
    fn from(reason: &str) -> Self {
        LineError::Malformed(reason.to_owned())
    }
}

impl From<io::Error> for LineError {
    fn from(error: io::Error) -> Self {
        LineError::Io(error)
    }
}

/// A line of the protocol: its name and its fields.
struct Message<'a> {
    name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Message<'a> {
    fn parse(line: &'a str) -> Result<Self, String> {
        let (name, mut rest) = line.split_once(' ').unwrap_or((line, ""));
        let mut fields = Vec::with_capacity(10);
        while !rest.is_empty() {
            let (key, tail) = rest
                .split_once('=')
                .ok_or_else(|| format!("{name}: expected name=value, found '{}'", clip(rest)))?;
            // The settings are JSON text that runs to the end of the line.
            let (value, next) =
                if key == "setup" { (tail, "") } else { tail.split_once(' ').unwrap_or((tail, "")) };
            fields.push((key, value));
            rest = next;
        }
        Ok(Self { name, fields })
    }

    /// Formats an error about a field.
    fn field_error(&self, field: &str, reason: &dyn fmt::Display) -> String {
        format!("{}: field '{field}': {reason}", self.name)
    }

    /// Returns the text of a field, if present.
    fn find(&self, key: &str) -> Option<&'a str> {
        self.fields.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    /// Returns the text of a required field that is not empty.
    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.find(key).filter(|v| !v.is_empty()).ok_or_else(|| self.field_error(key, &"is missing"))
    }

    /// Returns the finite number in a required field.
    fn number(&self, key: &str) -> Result<f64, String> {
        let text = self.text(key)?;
        finite(text).ok_or_else(|| self.field_error(key, &format!("'{}' is not a number", clip(text))))
    }

    fn number_or(&self, key: &str, default: f64) -> Result<f64, String> {
        self.find(key).map_or(Ok(default), |_| self.number(key))
    }

    /// Returns the unsigned integer in a required field.
    fn unsigned(&self, key: &str) -> Result<u64, String> {
        let text = self.text(key)?;
        text.parse().map_err(|_| self.field_error(key, &format!("'{}' is not a whole number", clip(text))))
    }

    /// Returns the unsigned 32-bit integer in a required field.
    fn unsigned_32(&self, key: &str) -> Result<u32, String> {
        self.unsigned(key)?.try_into().map_err(|_| self.field_error(key, &"is too large"))
    }

    fn unsigned_32_or(&self, key: &str, default: u32) -> Result<u32, String> {
        self.find(key).map_or(Ok(default), |_| self.unsigned_32(key))
    }

    fn unsigned_or(&self, key: &str, default: u64) -> Result<u64, String> {
        self.find(key).map_or(Ok(default), |_| self.unsigned(key))
    }
}

fn finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|v: &f64| v.is_finite())
}

/// Returns the first 40 characters of a text, for error messages.
fn clip(text: &str) -> &str {
    text.char_indices().nth(40).map_or(text, |(end, _)| &text[..end])
}
