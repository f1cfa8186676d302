//! Scenario files: TOML with units, checked with places. No I/O.

use serde::Deserialize;
use std::fmt;
use std::ops::Range;
use toml::Spanned;

/// Most processes that a scenario may start.
const NODES_MOST: usize = 40;
/// Most app servers.
const SERVERS_MOST: usize = 64;
/// Longest play, in milliseconds.
const LENGTH_MOST: f64 = 600_000.0;

/// A scenario, read and checked. Times are milliseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What happens, in a sentence.
    pub about: String,
    /// Decides all draws but where `--seed` gives another.
    pub seed: u64,
    /// How long requests come.
    pub length: f64,
    /// Service is back within this after the last fault.
    pub settle: f64,
    /// Processes of the program.
    pub nodes: usize,
    /// App servers.
    pub servers: usize,
    /// Requests that an app server works on at once.
    pub workers: usize,
    /// Requests a second, over all nodes.
    pub rate: f64,
    /// Customers.
    pub customers: u32,
    /// Units a second of each customer's ceiling; 0 for none.
    pub ceiling: f64,
    /// What nodes are told wrongly.
    pub plants: Vec<Plant>,
    /// What happens, in order.
    pub steps: Vec<Step>,
}

/// What nodes are told wrongly, to see that the oracles find it: a defect that needs no other program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Plant {
    /// That requests which must not run twice may.
    UnsafeAsSafe,
    /// That servers of all zones drop each other's repeats.
    KeyedEverywhere,
    /// That there is no other node.
    Alone,
}

/// A fault, when it begins and how long it holds.
#[derive(Clone, Debug)]
pub struct Step {
    /// When.
    pub at: f64,
    /// How long.
    pub lasts: f64,
    /// What.
    pub fault: Fault,
}

/// What may happen.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Bytes between nodes and servers stop; connections stay open, new ones say nothing.
    Cut(Select, Select, Ways),
    /// Bytes between nodes and servers come later, by a time and up to a further one.
    Delay(Select, Select, f64, f64),
    /// Connections between nodes and servers are reset, and so are new ones.
    Reset(Select, Select),
    /// Nodes are killed, and start again when the time is over.
    Kill(Select),
    /// Nodes are told to end (SIGTERM), and start again when the time is over.
    Term(Select),
    /// Nodes stand still (SIGSTOP) and go on when the time is over.
    Pause(Select),
    /// Servers drain, and are gone from the list when the time is over.
    Drain(Select),
    /// Servers die, and come back cold when the time is over.
    Crash(Select),
    /// Servers take this many times as long.
    Slow(Select, f64),
    /// Servers answer this part of their requests with 500, at once.
    Wrong(Select, f64),
    /// Servers run what comes and break the connection in place of an answer.
    Swallow(Select),
    /// Nodes hear nothing of the list.
    Unlisted(Select),
}

/// Which directions of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ways {
    /// Both.
    #[default]
    Both,
    /// From node to server alone.
    There,
    /// From server to node alone.
    Back,
}

/// Some of the nodes or servers.
#[derive(Clone, Debug, PartialEq)]
pub enum Select {
    /// All.
    All,
    /// Those of a zone: 0 is north, 1 is south; numbers are dealt to them in turn.
    Zone(usize),
    /// The first so many of each so many.
    Share(usize, usize),
    /// These.
    Numbers(Vec<usize>),
}

/// Names of the zones.
pub const ZONES: [&str; 2] = ["north", "south"];

impl Select {
    /// Whether a number is among them.
    pub fn has(&self, number: usize) -> bool {
        match self {
            Select::All => true,
            Select::Zone(zone) => number % ZONES.len() == *zone,
            Select::Share(part, whole) => number % whole < *part,
            Select::Numbers(numbers) => numbers.contains(&number),
        }
    }

    /// Those of the first `count` numbers that are among them.
    pub fn of(&self, count: usize) -> Vec<usize> {
        (0..count).filter(|number| self.has(*number)).collect()
    }

    fn parse(text: &str, count: usize) -> Result<Self, String> {
        let wrong =
            || format!("'{text}' is none of all, north, south, a part such as 7/10, numbers such as 0,3");
        if text == "all" {
            return Ok(Select::All);
        }
        if let Some(zone) = ZONES.iter().position(|zone| *zone == text) {
            return Ok(Select::Zone(zone));
        }
        if let Some((part, whole)) = text.split_once('/') {
            let (part, whole) = (part.parse().map_err(|_| wrong())?, whole.parse().map_err(|_| wrong())?);
            let sound = 0 < part && part <= whole;
            return if sound { Ok(Select::Share(part, whole)) } else { Err(wrong()) };
        }
        let numbers: Vec<usize> =
            text.split(',').map(|n| n.trim().parse()).collect::<Result<_, _>>().map_err(|_| wrong())?;
        match numbers.iter().find(|number| **number >= count) {
            Some(number) => Err(format!("there is no number {number}: they go from 0 to {}", count - 1)),
            None => Ok(Select::Numbers(numbers)),
        }
    }
}

/// What is wrong with a scenario, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.what)
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
    nodes: Spanned<usize>,
    servers: Spanned<usize>,
    #[serde(default = "four")]
    workers: usize,
    rate: Spanned<f64>,
    customers: Spanned<u32>,
    #[serde(default)]
    ceiling: f64,
    #[serde(default, rename = "plant")]
    plants: Vec<Plant>,
    #[serde(default, rename = "step")]
    steps: Vec<Spanned<FileStep>>,
}

fn four() -> usize {
    4
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct FileStep {
    at: Text,
    #[serde(rename = "for")]
    lasts: Text,
    #[serde(rename = "do")]
    does: Text,
    nodes: Option<Text>,
    servers: Option<Text>,
    #[serde(default)]
    ways: Ways,
    by: Option<Text>,
    jitter: Option<Text>,
    times: Option<f64>,
    part: Option<f64>,
}

impl Scenario {
    /// Reads a scenario.
    ///
    /// # Errors
    /// Tells the line and what is wrong in it.
    pub fn parse(text: &str) -> Result<Self, ScenarioError> {
        let at = |span: Option<Range<usize>>, what: String| ScenarioError {
            line: 1 + text[..span.map_or(0, |s| s.start.min(text.len()))].matches('\n').count(),
            what,
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
        within(file.nodes.span(), "nodes", nodes as f64, 1.0, NODES_MOST as f64)?;
        within(file.servers.span(), "servers", servers as f64, 1.0, SERVERS_MOST as f64)?;
        within(file.rate.span(), "rate", *file.rate.get_ref(), 1.0, 5000.0)?;
        within(file.customers.span(), "customers", f64::from(*file.customers.get_ref()), 1.0, 100_000.0)?;
        let length = time(&file.length)?;
        within(file.length.span(), "length in ms", length, 1.0, LENGTH_MOST)?;
        let mut steps = Vec::new();
        for step in &file.steps {
            let (span, step) = (step.span(), step.get_ref());
            let some = |text: &Option<Text>, name: &str, count: usize| match text {
                Some(text) => {
                    Select::parse(text.get_ref(), count).map_err(|what| at(Some(text.span()), what))
                }
                None => Err(at(Some(span.clone()), format!("'{}' needs {name}", step.does.get_ref()))),
            };
            let on_nodes = || some(&step.nodes, "nodes", nodes);
            let on_servers = || some(&step.servers, "servers", servers);
            let number = |value: Option<f64>, name: &str, least: f64, most: f64| match value {
                Some(value) => within(span.clone(), name, value, least, most).map(|()| value),
                None => Err(at(Some(span.clone()), format!("'{}' needs {name}", step.does.get_ref()))),
            };
            let or_none = |t: &Option<Text>| t.as_ref().map_or(Ok(0.0), &time);
            let fault = match step.does.get_ref().as_str() {
                "cut" => Fault::Cut(on_nodes()?, on_servers()?, step.ways),
                "delay" => {
                    Fault::Delay(on_nodes()?, on_servers()?, or_none(&step.by)?, or_none(&step.jitter)?)
                }
                "reset" => Fault::Reset(on_nodes()?, on_servers()?),
                "kill" => Fault::Kill(on_nodes()?),
                "term" => Fault::Term(on_nodes()?),
                "pause" => Fault::Pause(on_nodes()?),
                "drain" => Fault::Drain(on_servers()?),
                "crash" => Fault::Crash(on_servers()?),
                "slow" => Fault::Slow(on_servers()?, number(step.times, "times", 1.0, 100.0)?),
                "wrong" => Fault::Wrong(on_servers()?, number(step.part, "part", 0.0, 1.0)?),
                "swallow" => Fault::Swallow(on_servers()?),
                "unlisted" => Fault::Unlisted(on_nodes()?),
                other => {
                    let known =
                        "cut, delay, reset, kill, term, pause, drain, crash, slow, wrong, swallow, unlisted";
                    return Err(at(Some(step.does.span()), format!("'{other}' is none of {known}")));
                }
            };
            let (begins, lasts) = (time(&step.at)?, time(&step.lasts)?);
            if begins + lasts > length {
                return Err(at(Some(span), "the step ends after the play".to_owned()));
            }
            steps.push(Step { at: begins, lasts, fault });
        }
        steps.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(Self {
            settle: time(&file.settle)?,
            rate: *file.rate.get_ref(),
            customers: *file.customers.get_ref(),
            name: file.name,
            about: file.about,
            seed: file.seed,
            workers: file.workers.max(1),
            ceiling: file.ceiling.max(0.0),
            plants: file.plants,
            length,
            nodes,
            servers,
            steps,
        })
    }
}

/// A number and its unit, `ms` or `s`, in milliseconds.
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

/// The scenarios that come with the program: name and text.
pub fn shipped() -> Vec<(&'static str, &'static str)> {
    macro_rules! shipped {
        ($($name:literal),*) => { vec![$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*] };
    }
    shipped![
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
        "resets"
    ]
}
