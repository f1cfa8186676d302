//! Scenario files: TOML with time units; errors carry the line. No I/O.

use crate::relay::LimitAction;
use serde::Deserialize;
use std::fmt;
use std::ops::Range;
use toml::Spanned;

/// Largest number of nodes.
const MAX_NODES: usize = 40;
/// Largest number of application servers.
const MAX_SERVERS: usize = 64;
/// Largest request rate per second.
const MAX_RATE: f64 = 5000.0;
/// Longest run, in milliseconds.
const MAX_LENGTH_MS: f64 = 600_000.0;

/// A parsed and validated scenario. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name.
    pub name: String,
    /// Description in one sentence.
    pub about: String,
    /// Seed of the random generators, unless `--seed` replaces it.
    pub seed: u64,
    /// Duration of the load.
    pub length: f64,
    /// Time after the last fault within which service recovers.
    pub settle: f64,
    /// Longest time for which nodes of one zone may disagree on where to send requests; `None` if that is not checked.
    pub at_odds: Option<f64>,
    /// Number of nodes: processes of the program under test.
    pub nodes: usize,
    /// Number of application servers.
    pub servers: usize,
    /// Requests that an application server processes concurrently.
    pub workers: usize,
    /// Requests per second over all nodes.
    pub rate: f64,
    /// Number of customers.
    pub customers: u32,
    /// Ceiling of each customer in units per second; 0 for none.
    pub ceiling: f64,
    /// Kind of the nodes.
    pub form: NodeKind,
    /// True if nodes keep a journal of orders; sidecars only.
    pub journal: bool,
    /// True if requests are checked by a sign-in service; sidecars only.
    pub sign_in: bool,
    /// True if nodes detect failures of whole zones; sidecars only.
    pub domains: bool,
    /// True if nodes exchange their observations; requires `domains`.
    pub group: bool,
    /// Defects seeded into the configuration.
    pub plants: Vec<ConfigDefect>,
    /// Faults, in order of their start.
    pub steps: Vec<Step>,
}

/// Kinds of nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NodeKind {
    /// The platform's edge node.
    #[default]
    EdgeNode,
    /// `ivygate serve`.
    Sidecar,
}

/// A defect of the nodes' configuration, seeded to verify that the oracle detects it. It needs no modified program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigDefect {
    /// Requests that must not be repeated are declared safe.
    UnsafeAsSafe,
    /// Servers of all zones are declared to share their idempotency keys.
    KeyedEverywhere,
    /// Each node is told that it is the only one.
    Alone,
}

/// A fault with its start and duration.
#[derive(Clone, Debug)]
pub struct Step {
    /// Start.
    pub at: f64,
    /// Duration.
    pub duration: f64,
    /// The fault.
    pub fault: Fault,
}

impl Step {
    /// Returns the time at which the fault ends.
    pub fn end(&self) -> f64 {
        self.at + self.duration
    }

    /// Returns true if the fault is active at a time.
    pub fn holds(&self, at: f64) -> bool {
        self.at <= at && at < self.end()
    }
}

/// Faults that a scenario can inject.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A fault of network links.
    Link(LinkSelector, LinkFault),
    /// Nodes are killed, and started again at the end of the fault.
    Kill(Selection),
    /// Nodes are shut down (SIGTERM), and started again at the end of the fault.
    Term(Selection),
    /// Nodes are stopped (SIGSTOP) and continued at the end of the fault.
    Pause(Selection),
    /// Nodes are stopped for a fraction of each period, given in milliseconds.
    Duty(Selection, f64, f64),
    /// Nodes may open this many file descriptors.
    Descriptors(Selection, u64),
    /// Files of nodes cannot grow: writes beyond the end fail as on a full disk.
    FullDisk(Selection),
    /// Servers drain, and are removed from the list at the end of the fault.
    Drain(Selection),
    /// Servers crash, and return cold at the end of the fault.
    Crash(Selection),
    /// Servers take this multiple of their time.
    Slow(Selection, RequestFilter, f64),
    /// Servers respond to this fraction of their requests with status 500 at once.
    Wrong(Selection, RequestFilter, f64),
    /// Servers execute requests but reset the connection instead of responding.
    Swallow(Selection, RequestFilter),
    /// Nodes receive no updates of the server list.
    Unlisted(Selection),
    /// Discovery moves: its old address no longer responds, and nodes are reconfigured with the new one (SIGHUP).
    Move(Selection),
}

/// Selects the requests that a server fault affects.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestFilter {
    /// Nodes through which the requests arrive.
    pub nodes: Selection,
    /// Customers of the requests.
    pub customers: Selection,
}

/// Selects links of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct LinkSelector {
    /// Kind of the links.
    pub kind: LinkKind,
    /// Nodes at one end of the links.
    pub nodes: Selection,
    /// Servers at the other end; all if the links do not lead to servers.
    pub servers: Selection,
}

/// Kinds of links, by their two ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LinkKind {
    /// Between clients and nodes.
    Clients,
    /// Between nodes and app servers.
    #[default]
    Servers,
    /// Between nodes and discovery.
    Lists,
    /// Between sidecars and the sign-in service.
    SignIn,
    /// Between sidecars that exchange observations (datagrams): between the selected and the others, or among all.
    Nodes,
}

/// Faults of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// No data passes; open connections stay open, new ones are accepted and stay silent.
    Cut(Directions),
    /// Data is delayed by the first time plus a random jitter of up to the second.
    Delay(Directions, f64, f64),
    /// Bytes per second of each connection are limited.
    Rate(Directions, f64),
    /// One byte is changed in this fraction of the reads from the server side.
    Change(f64),
    /// This fraction of the datagrams is lost.
    Lose(f64),
    /// This fraction of the datagrams is duplicated.
    Twice(f64),
    /// A connection is reset, stalled or ended after a number of bytes.
    After(Directions, u64, LimitAction),
    /// Open and new connections are reset.
    Reset,
}

/// Directions of a link that a fault affects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Directions {
    /// Both directions.
    #[default]
    Both,
    /// Towards the listening side: from clients to nodes, from nodes to servers and discovery.
    #[serde(rename = "there")]
    Forward,
    /// From the listening side only.
    #[serde(rename = "back")]
    Backward,
}

impl Directions {
    /// Returns true if the direction towards the listening side is affected.
    pub fn forward(self) -> bool {
        self != Directions::Backward
    }

    /// Returns true if the direction from the listening side is affected.
    pub fn backward(self) -> bool {
        self != Directions::Forward
    }
}

/// A selection of nodes, servers or customers by number.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    /// All numbers.
    All,
    /// The numbers of a zone: 0 is north, 1 is south; numbers are assigned to zones round-robin.
    Zone(usize),
    /// The first numbers of each group, given as count and group size.
    Share(usize, usize),
    /// The listed numbers.
    Numbers(Vec<usize>),
}

/// Names of the zones.
pub const ZONES: [&str; 2] = ["north", "south"];

impl Selection {
    /// Returns true if it selects all numbers without a condition.
    pub fn is_all(&self) -> bool {
        matches!(self, Selection::All)
    }

    /// Returns true if it selects a number.
    pub fn has(&self, number: usize) -> bool {
        match self {
            Selection::All => true,
            Selection::Zone(zone) => number % ZONES.len() == *zone,
            Selection::Share(part, whole) => number % whole < *part,
            Selection::Numbers(numbers) => numbers.contains(&number),
        }
    }

    /// Returns the selected numbers below `count`.
    pub fn of(&self, count: usize) -> Vec<usize> {
        (0..count).filter(|number| self.has(*number)).collect()
    }

    /// Parses a selection of numbers below `count`.
    ///
    /// # Errors
    /// If the text is no selection, or a number is not below `count`.
    pub fn parse(text: &str, count: usize) -> Result<Self, String> {
        let wrong =
            || format!("'{text}' is none of all, north, south, a part such as 7/10, numbers such as 0,3");
        if text == "all" {
            return Ok(Selection::All);
        }
        if let Some(zone) = ZONES.iter().position(|zone| *zone == text) {
            return Ok(Selection::Zone(zone));
        }
        if let Some((part, whole)) = text.split_once('/') {
            let (part, whole) = (part.parse().map_err(|_| wrong())?, whole.parse().map_err(|_| wrong())?);
            let sound = 0 < part && part <= whole;
            return if sound { Ok(Selection::Share(part, whole)) } else { Err(wrong()) };
        }
        let numbers: Vec<usize> =
            text.split(',').map(|n| n.trim().parse()).collect::<Result<_, _>>().map_err(|_| wrong())?;
        match numbers.iter().find(|number| **number >= count) {
            Some(number) => Err(format!("there is no number {number}: they go from 0 to {}", count - 1)),
            None => Ok(Selection::Numbers(numbers)),
        }
    }
}

/// An error in a scenario file.
#[derive(Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// Line, counted from 1.
    pub line: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for ScenarioError {}

type Text = Spanned<String>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct File {
    name: String,
    about: String,
    seed: u64,
    length: Text,
    settle: Text,
    at_odds: Option<Text>,
    nodes: Spanned<usize>,
    servers: Spanned<usize>,
    #[serde(default = "default_workers")]
    workers: usize,
    rate: Spanned<f64>,
    customers: Spanned<u32>,
    #[serde(default)]
    ceiling: f64,
    #[serde(default)]
    form: NodeKind,
    journal: Option<Spanned<bool>>,
    sign_in: Option<Spanned<bool>>,
    domains: Option<Spanned<bool>>,
    group: Option<Spanned<bool>>,
    #[serde(default, rename = "plant")]
    plants: Vec<ConfigDefect>,
    #[serde(default, rename = "step")]
    steps: Vec<Spanned<FileStep>>,
}

fn default_workers() -> usize {
    4
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct FileStep {
    at: Text,
    #[serde(rename = "for")]
    duration: Text,
    #[serde(rename = "do")]
    action: Text,
    #[serde(default)]
    link: LinkKind,
    nodes: Option<Text>,
    servers: Option<Text>,
    customers: Option<Text>,
    ways: Option<Directions>,
    by: Option<Text>,
    jitter: Option<Text>,
    period: Option<Text>,
    times: Option<f64>,
    part: Option<f64>,
    rate: Option<f64>,
    count: Option<u64>,
    after: Option<u64>,
}

impl Fault {
    /// Returns the nodes that it affects, if it selects nodes.
    fn names(&self) -> Option<&Selection> {
        match self {
            Fault::Link(selector, _) => Some(&selector.nodes),
            Fault::Kill(nodes)
            | Fault::Term(nodes)
            | Fault::Pause(nodes)
            | Fault::Duty(nodes, ..)
            | Fault::Descriptors(nodes, _)
            | Fault::FullDisk(nodes)
            | Fault::Unlisted(nodes)
            | Fault::Move(nodes) => Some(nodes),
            Fault::Slow(_, filter, _) | Fault::Wrong(_, filter, _) | Fault::Swallow(_, filter) => {
                Some(&filter.nodes)
            }
            Fault::Drain(_) | Fault::Crash(_) => None,
        }
    }

    /// Returns true if servers are removed or cold afterwards, so that the load is distributed differently.
    pub fn moves_load(&self) -> bool {
        matches!(self, Fault::Drain(_) | Fault::Crash(_))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Link(selector, fault) => match selector.kind {
                LinkKind::Servers => {
                    write!(f, "{fault} between nodes {} and servers {}", selector.nodes, selector.servers)
                }
                LinkKind::Clients => write!(f, "{fault} between clients and nodes {}", selector.nodes),
                LinkKind::SignIn => {
                    write!(f, "{fault} between the sign-in service and nodes {}", selector.nodes)
                }
                LinkKind::Nodes if selector.nodes.is_all() => write!(f, "{fault} between all nodes"),
                LinkKind::Nodes => write!(f, "{fault} between nodes {} and the others", selector.nodes),
                LinkKind::Lists => write!(f, "{fault} between discovery and nodes {}", selector.nodes),
            },
            Fault::Kill(nodes) => write!(f, "nodes {nodes} killed"),
            Fault::Term(nodes) => write!(f, "nodes {nodes} told to end"),
            Fault::Pause(nodes) => write!(f, "nodes {nodes} stand still"),
            Fault::Duty(nodes, part, period) => {
                write!(f, "nodes {nodes} stand still for {:.0} of {period:.0} ms", part * period)
            }
            Fault::Descriptors(nodes, count) => write!(f, "nodes {nodes} may have {count} descriptors"),
            Fault::FullDisk(nodes) => write!(f, "files of nodes {nodes} can't grow"),
            Fault::Drain(servers) => write!(f, "servers {servers} drain"),
            Fault::Crash(servers) => write!(f, "servers {servers} die"),
            Fault::Slow(servers, filter, times) => {
                write!(f, "servers {servers} {times} times as slow{filter}")
            }
            Fault::Wrong(servers, filter, part) => {
                write!(f, "servers {servers} answer {part} with 500{filter}")
            }
            Fault::Swallow(servers, filter) => write!(f, "servers {servers} lose their answers{filter}"),
            Fault::Unlisted(nodes) => write!(f, "nodes {nodes} hear nothing of the list"),
            Fault::Move(nodes) => write!(f, "discovery moves for nodes {nodes}"),
        }
    }
}

impl fmt::Display for LinkFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let way = |ways: &Directions| match ways {
            Directions::Both => "",
            Directions::Forward => " on the way there",
            Directions::Backward => " on the way back",
        };
        match self {
            LinkFault::Cut(ways) => write!(f, "cut{}", way(ways)),
            LinkFault::Delay(ways, by, jitter) => {
                write!(f, "{by:.0} to {:.0} ms later{}", by + jitter, way(ways))
            }
            LinkFault::Rate(ways, rate) => write!(f, "{rate:.0} bytes a second{}", way(ways)),
            LinkFault::Change(part) => write!(f, "{part} of the reads changed"),
            LinkFault::Lose(part) => write!(f, "{part} lost"),
            LinkFault::Twice(part) => write!(f, "{part} twice"),
            LinkFault::After(ways, bytes, then) => {
                let then = match then {
                    LimitAction::Reset => "reset",
                    LimitAction::Stall => "stalled",
                    LimitAction::End => "ended",
                };
                write!(f, "{then} after {bytes} bytes{}", way(ways))
            }
            LinkFault::Reset => write!(f, "reset"),
        }
    }
}

impl fmt::Display for RequestFilter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.nodes.is_all() {
            write!(f, " for nodes {}", self.nodes)?;
        }
        if !self.customers.is_all() {
            write!(f, " for customers {}", self.customers)?;
        }
        Ok(())
    }
}

impl fmt::Display for Selection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Selection::All => write!(f, "all"),
            Selection::Zone(zone) => write!(f, "{}", ZONES[zone % ZONES.len()]),
            Selection::Share(part, whole) => write!(f, "{part}/{whole}"),
            Selection::Numbers(numbers) => {
                let words: Vec<_> = numbers.iter().map(usize::to_string).collect();
                write!(f, "{}", words.join(","))
            }
        }
    }
}

impl Scenario {
    /// Replaces the number of nodes and the rate where they are given.
    ///
    /// # Errors
    /// If a value is out of bounds, or a step names a node that no longer exists.
    pub fn resized(mut self, nodes: Option<usize>, rate: Option<f64>) -> Result<Self, String> {
        let (nodes, rate) = (nodes.unwrap_or(self.nodes), rate.unwrap_or(self.rate));
        if !(1..=MAX_NODES).contains(&nodes) {
            return Err(format!("nodes go from 1 to {MAX_NODES}"));
        }
        if !(1.0..=MAX_RATE).contains(&rate) {
            return Err(format!("the rate goes from 1 to {MAX_RATE}"));
        }
        let named = self.steps.iter().filter_map(|step| step.fault.names());
        for select in named {
            if let Selection::Numbers(numbers) = select {
                if numbers.iter().any(|number| *number >= nodes) {
                    return Err(format!("a step is about nodes {select}, and there are {nodes}"));
                }
            }
        }
        (self.nodes, self.rate) = (nodes, rate);
        Ok(self)
    }

    /// Parses a scenario.
    ///
    /// # Errors
    /// If the text is no valid scenario, with the line of the first error.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let at = |span: Option<Range<usize>>, what: String| ScenarioError {
            line: 1 + text[..span.map_or(0, |s| s.start.min(text.len()))].matches('\n').count(),
            message: what,
        };
        let file: File = toml::from_str(text).map_err(|e| at(e.span(), e.message().to_owned()))?;
        let time = |t: &Text| parse_time(t.get_ref()).map_err(|what| at(Some(t.span()), what));
        let within = |span: Range<usize>, name: &str, value: f64, least: f64, most: f64| {
            let sound = (least..=most).contains(&value);
            if sound {
                Ok(())
            } else {
                Err(at(Some(span), format!("{name} goes from {least} to {most}")))
            }
        };
        let (nodes, servers) = (*file.nodes.get_ref(), *file.servers.get_ref());
        within(file.nodes.span(), "nodes", nodes as f64, 1.0, MAX_NODES as f64)?;
        within(file.servers.span(), "servers", servers as f64, 1.0, MAX_SERVERS as f64)?;
        within(file.rate.span(), "rate", *file.rate.get_ref(), 1.0, MAX_RATE)?;
        within(file.customers.span(), "customers", f64::from(*file.customers.get_ref()), 1.0, 100_000.0)?;
        let length = time(&file.length)?;
        within(file.length.span(), "length in ms", length, 1.0, MAX_LENGTH_MS)?;
        let sidecars_only = |asked: &Option<Spanned<bool>>, what: &str| match asked {
            Some(asked) if *asked.get_ref() && file.form != NodeKind::Sidecar => {
                Err(at(Some(asked.span()), format!("only sidecars {what}")))
            }
            asked => Ok(asked.as_ref().is_some_and(|asked| *asked.get_ref())),
        };
        let journal = sidecars_only(&file.journal, "keep a journal")?;
        let sign_in = sidecars_only(&file.sign_in, "ask a sign-in service")?;
        let domains = sidecars_only(&file.domains, "detect failures of whole zones")?;
        let group = sidecars_only(&file.group, "exchange observations")?;
        if let Some(asked) = file.group.as_ref().filter(|_| group && !domains) {
            let what =
                "sidecars exchange observations only if they detect zone failures: write domains = true"
                    .to_owned();
            return Err(at(Some(asked.span()), what));
        }
        let mut steps = Vec::new();
        for step in &file.steps {
            let (span, step) = (step.span(), step.get_ref());
            let some = |text: &Option<Text>, name: &str, count: usize| match text {
                Some(text) => {
                    Selection::parse(text.get_ref(), count).map_err(|what| at(Some(text.span()), what))
                }
                None => Err(at(Some(span.clone()), format!("'{}' needs {name}", step.action.get_ref()))),
            };
            let on_nodes = || some(&step.nodes, "nodes", nodes);
            let on_servers = || some(&step.servers, "servers", servers);
            let number = |value: Option<f64>, name: &str, least: f64, most: f64| match value {
                Some(value) => within(span.clone(), name, value, least, most).map(|()| value),
                None => Err(at(Some(span.clone()), format!("'{}' needs {name}", step.action.get_ref()))),
            };
            let time_or_zero = |t: &Option<Text>| t.as_ref().map_or(Ok(0.0), &time);
            let ways = step.ways.unwrap_or_default();
            let selector = || {
                let all = || Ok(Selection::All);
                let servers = match step.link {
                    LinkKind::Servers => on_servers()?,
                    LinkKind::Clients | LinkKind::Lists | LinkKind::SignIn | LinkKind::Nodes => all()?,
                };
                Ok(LinkSelector { kind: step.link, nodes: on_nodes()?, servers })
            };
            if step.link == LinkKind::Lists && file.form == NodeKind::Sidecar {
                let what = "sidecars have no link to discovery: their configuration lists the servers";
                return Err(at(Some(span), what.to_owned()));
            }
            if step.link == LinkKind::SignIn && !sign_in {
                return Err(at(Some(span), "there is no sign-in service: write sign-in = true".to_owned()));
            }
            if step.link == LinkKind::Nodes && !group {
                return Err(at(
                    Some(span),
                    "there is no exchange of observations: write group = true".to_owned(),
                ));
            }
            let link = |fault| {
                let datagrams = matches!(fault, LinkFault::Lose(_) | LinkFault::Twice(_));
                let both = matches!(fault, LinkFault::Cut(_) | LinkFault::Delay(..) | LinkFault::Change(_));
                if !both && datagrams != (step.link == LinkKind::Nodes) {
                    let what = "sidecars exchange datagrams: only cut, delay, lose, twice and change apply to them, and lose and \
                                twice to nothing else";
                    return Err(at(Some(span.clone()), what.to_owned()));
                }
                Ok(Fault::Link(selector()?, fault))
            };
            let request_filter = || {
                let or_all = |text: &Option<Text>, name, count| match text {
                    Some(_) => some(text, name, count),
                    None => Ok(Selection::All),
                };
                let customers = or_all(&step.customers, "customers", *file.customers.get_ref() as usize)?;
                Ok(RequestFilter { nodes: or_all(&step.nodes, "nodes", nodes)?, customers })
            };
            let bytes = || {
                let given = step.after.map(|after| after as f64);
                number(given, "after, in bytes", 0.0, 1e9).map(|after| after as u64)
            };
            let part = || number(step.part, "part", 0.0, 1.0);
            let fault = match step.action.get_ref().as_str() {
                "cut" => link(LinkFault::Cut(ways))?,
                "delay" => {
                    link(LinkFault::Delay(ways, time_or_zero(&step.by)?, time_or_zero(&step.jitter)?))?
                }
                "rate" => {
                    link(LinkFault::Rate(ways, number(step.rate, "rate, in bytes a second", 1.0, 1e9)?))?
                }
                "change"
                    if matches!(step.link, LinkKind::Lists | LinkKind::SignIn)
                        || ways.forward() && step.ways.is_some() =>
                {
                    // A changed request or server list may be another valid one, so that the oracle could not check it.
                    let what = "only what comes back from servers and nodes can be changed".to_owned();
                    return Err(at(Some(span), what));
                }
                "change" => link(LinkFault::Change(part()?))?,
                "lose" => link(LinkFault::Lose(part()?))?,
                "twice" => link(LinkFault::Twice(part()?))?,
                "break" => link(LinkFault::After(ways, bytes()?, LimitAction::Reset))?,
                "stall" => link(LinkFault::After(ways, bytes()?, LimitAction::Stall))?,
                "end" => link(LinkFault::After(ways, bytes()?, LimitAction::End))?,
                "reset" => link(LinkFault::Reset)?,
                "kill" => Fault::Kill(on_nodes()?),
                "term" => Fault::Term(on_nodes()?),
                "pause" => Fault::Pause(on_nodes()?),
                "duty" => {
                    let period = time_or_zero(&step.period)?;
                    within(span.clone(), "period in ms", period, 10.0, 10_000.0)?;
                    Fault::Duty(on_nodes()?, part()?, period)
                }
                "descriptors" => {
                    let count = step.count.map(|count| count as f64);
                    Fault::Descriptors(on_nodes()?, number(count, "count", 8.0, 65_536.0)? as u64)
                }
                "full-disk" => Fault::FullDisk(on_nodes()?),
                "drain" => Fault::Drain(on_servers()?),
                "crash" => Fault::Crash(on_servers()?),
                "slow" => {
                    Fault::Slow(on_servers()?, request_filter()?, number(step.times, "times", 1.0, 100.0)?)
                }
                "wrong" => Fault::Wrong(on_servers()?, request_filter()?, part()?),
                "swallow" => Fault::Swallow(on_servers()?, request_filter()?),
                "unlisted" => Fault::Unlisted(on_nodes()?),
                "move" if file.form == NodeKind::Sidecar => {
                    let what = "sidecars have no discovery service".to_owned();
                    return Err(at(Some(span), what));
                }
                "move" => Fault::Move(on_nodes()?),
                other => {
                    let known =
                        "cut, delay, rate, change, lose, twice, break, stall, end, reset, kill, term, pause, duty, \
                                 descriptors, full-disk, drain, crash, slow, wrong, swallow, unlisted, \
                                 move";
                    return Err(at(Some(step.action.span()), format!("'{other}' is none of {known}")));
                }
            };
            let (begins, duration) = (time(&step.at)?, time(&step.duration)?);
            if begins + duration > length {
                return Err(at(Some(span), "the step ends after the play".to_owned()));
            }
            steps.push(Step { at: begins, duration, fault });
        }
        steps.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(Self {
            settle: time(&file.settle)?,
            at_odds: file.at_odds.as_ref().map(&time).transpose()?,
            rate: *file.rate.get_ref(),
            customers: *file.customers.get_ref(),
            name: file.name,
            about: file.about,
            seed: file.seed,
            workers: file.workers.max(1),
            ceiling: file.ceiling.max(0.0),
            form: file.form,
            journal,
            sign_in,
            domains,
            group,
            plants: file.plants,
            length,
            nodes,
            servers,
            steps,
        })
    }
}

/// Parses a number with the unit `ms` or `s` into milliseconds.
fn parse_time(text: &str) -> Result<f64, String> {
    let wrong = || format!("'{text}' is no time such as 250ms or 2.5s");
    let (number, factor) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s').ok_or_else(wrong)?, 1000.0),
    };
    let value: f64 = number.trim().parse().map_err(|_| wrong())?;
    if value.is_finite() && value >= 0.0 {
        Ok(value * factor)
    } else {
        Err(wrong())
    }
}

/// Returns the built-in scenarios: name and text.
pub fn built_in_scenarios() -> Vec<(&'static str, &'static str)> {
    macro_rules! scenarios {
        ($($name:literal),*) => { vec![$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*] };
    }
    scenarios![
        "calm",
        "zone-cut",
        "zone-cut-one-way",
        "zone-lost",
        "herd-restart",
        "rolling-restart",
        "paused-nodes",
        "late-lists",
        "grey-server",
        "slow-zone",
        "answers-lost",
        "every-answer-lost",
        "resets",
        "half-open-lists",
        "slow-link",
        "garbled-answers",
        "stalled-answers",
        "clients-cut",
        "few-descriptors",
        "throttled-nodes",
        "grey-to-one-node",
        "slow-for-one-customer",
        "cold-return",
        "busy-customers",
        "grey-zone",
        "paused-through-a-drain",
        "sidecars-drain",
        "sidecars-full-disk",
        "sidecars-sign-in",
        "sidecars-zone-cut",
        "judged-cut",
        "judged-cut-for-half",
        "judged-cut-one-way",
        "judged-returns-cold",
        "judged-wrong",
        "judged-slow",
        "judged-flapping",
        "judged-all-cut",
        "judged-one-build",
        "judged-paused",
        "judged-restarted",
        "judged-tiny",
        "everything-at-once"
    ]
}
