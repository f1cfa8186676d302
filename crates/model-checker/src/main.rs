//! Hunts for runs that break an invariant of the store, through random worlds and all ways of small ones.
//!
//! Started by people and by tests of the store. Must never be shipped.

use argh::FromArgs;
use ivygate_model_checker::checker::Invariant;
use ivygate_model_checker::defects::Defect;
use ivygate_model_checker::exhaustive::{explore, small_worlds};
use ivygate_model_checker::schedule::Schedule;
use ivygate_model_checker::shrink::shrink;
use ivygate_model_checker::simulation::{simulate, RunResult};
use std::collections::BTreeSet;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The model checker of the store.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Hunt(Hunt),
    Replay(Replay),
    Small(Small),
}

/// Plays random worlds until one breaks an invariant, or the time is over.
#[derive(FromArgs)]
#[argh(subcommand, name = "hunt")]
struct Hunt {
    /// how long, in minutes (1)
    #[argh(option, default = "1.0")]
    minutes: f64,
    /// how many stores: one number or a range as 3..7
    #[argh(option, default = "String::from(\"3..7\")")]
    stores: String,
    /// the first seed (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// threads (1)
    #[argh(option, default = "1")]
    threads: u64,
    /// a planted defect
    #[argh(option)]
    defect: Option<String>,
    /// an invariant to look past, which is said in the report; may come again
    #[argh(option, long = "but")]
    ignored: Vec<String>,
    /// judge by this invariant only; may come again
    #[argh(option)]
    only: Vec<String>,
    /// how many breaks are looked for (1)
    #[argh(option, default = "1")]
    breaks: usize,
}

/// Plays one seed, shrinks its schedule if it breaks, and tells it.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
struct Replay {
    /// the seed
    #[argh(positional)]
    seed: u64,
    /// how many stores
    #[argh(option)]
    stores: usize,
    /// a planted defect
    #[argh(option)]
    defect: Option<String>,
    /// an invariant to look past; may come again
    #[argh(option, long = "but")]
    ignored: Vec<String>,
    /// judge by this invariant only; may come again
    #[argh(option)]
    only: Vec<String>,
    /// tell each step of the shrunk schedule
    #[argh(switch)]
    trace: bool,
    /// do not shrink
    #[argh(switch)]
    whole: bool,
}

/// Goes through all ways of small worlds.
#[derive(FromArgs)]
#[argh(subcommand, name = "small")]
struct Small {
    /// only worlds whose names begin so
    #[argh(positional, default = "String::new()")]
    prefix: String,
    /// longest time for each, in seconds (60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// most states of each (10000000)
    #[argh(option, default = "10_000_000")]
    states: u64,
    /// threads (1)
    #[argh(option, default = "1")]
    threads: usize,
    /// a planted defect
    #[argh(option)]
    defect: Option<String>,
    /// an invariant to look past; may come again
    #[argh(option, long = "but")]
    ignored: Vec<String>,
    /// judge by this invariant only; may come again
    #[argh(option)]
    only: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let done = match arguments.command {
        Command::Hunt(hunt) => run_hunt(&hunt),
        Command::Replay(replay) => run_replay(&replay),
        Command::Small(small) => run_small(&small),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(misuse) => {
            eprintln!("ivygate-model-checker: {misuse}");
            ExitCode::from(2)
        }
    }
}

/// A command line that can't be followed.
#[derive(Debug, thiserror::Error)]
enum UsageError {
    #[error("'{name}' is none of {}", .known.join(", "))]
    UnknownName { name: String, known: Vec<&'static str> },
    #[error("'{0}' is no number of stores from 3 to 9, nor a range of them")]
    Stores(String),
}

fn defect(name: Option<&String>) -> Result<Option<Defect>, UsageError> {
    let Some(name) = name else { return Ok(None) };
    let unknown =
        || UsageError::UnknownName { name: name.clone(), known: Defect::ALL.map(|(name, _)| name).to_vec() };
    Defect::named(name).map(Some).ok_or_else(unknown)
}

fn invariants(names: &[String]) -> Result<BTreeSet<Invariant>, UsageError> {
    let find = |name: &String| {
        let unknown = || UsageError::UnknownName {
            name: name.clone(),
            known: Invariant::ALL.map(|(name, _)| name).to_vec(),
        };
        let found = Invariant::ALL.iter().find(|(known, _)| known == name);
        found.map(|(_, invariant)| *invariant).ok_or_else(unknown)
    };
    names.iter().map(find).collect()
}

fn ignored_invariants(ignored: &[String], only: &[String]) -> Result<BTreeSet<Invariant>, UsageError> {
    let (mut ignored, only) = (invariants(ignored)?, invariants(only)?);
    if !only.is_empty() {
        ignored.extend(Invariant::ALL.iter().map(|(_, known)| *known).filter(|known| !only.contains(known)));
    }
    Ok(ignored)
}

fn range(text: &str) -> Result<(usize, usize), UsageError> {
    let (from, to) = text.split_once("..").unwrap_or((text, text));
    let read =
        |text: &str| text.trim_start_matches('=').parse::<usize>().ok().filter(|n| (3..=9).contains(n));
    match (read(from), read(to)) {
        (Some(from), Some(to)) if from <= to => Ok((from, to)),
        _ => Err(UsageError::Stores(text.to_owned())),
    }
}

#[derive(Default)]
struct Totals {
    plays: AtomicU64,
    steps: AtomicU64,
    calls: AtomicU64,
    confirmed: AtomicU64,
    machine_faults: AtomicU64,
    undecided: AtomicU64,
}

/// What several threads that hunt have in common.
struct HuntState {
    next_seed: AtomicU64,
    totals: Totals,
    is_over: AtomicBool,
    /// Schedules that broke an invariant, and how many had been played then.
    found: Mutex<Vec<(u64, Schedule)>>,
}

impl Totals {
    /// Adds a run; gives how many there were until then.
    fn add(&self, result: &RunResult) -> u64 {
        let add = |sum: &AtomicU64, more: u64| sum.fetch_add(more, Ordering::Relaxed);
        add(&self.steps, result.steps);
        add(&self.calls, result.calls.0);
        add(&self.confirmed, result.calls.1);
        add(&self.machine_faults, result.machine_faults);
        add(&self.undecided, result.undecided);
        add(&self.plays, 1) + 1
    }

    fn print(&self, seconds: f64, first_seed: u64, ignored: &BTreeSet<Invariant>) {
        let of = |sum: &AtomicU64| sum.load(Ordering::Relaxed);
        println!(
            "{} plays, {} steps ({:.2} million a minute), {} calls of which {} confirmed, {} machine faults, \
             {} histories undecided, {seconds:.0} s, seeds from {first_seed}; looked past: {:?}",
            of(&self.plays),
            of(&self.steps),
            of(&self.steps) as f64 / seconds * 60.0 / 1e6,
            of(&self.calls),
            of(&self.confirmed),
            of(&self.machine_faults),
            of(&self.undecided),
            ignored.iter().map(|invariant| invariant.name()).collect::<Vec<_>>()
        );
    }
}

fn run_hunt(hunt: &Hunt) -> Result<bool, UsageError> {
    let stores = range(&hunt.stores)?;
    let defect = defect(hunt.defect.as_ref())?;
    let ignored = ignored_invariants(&hunt.ignored, &hunt.only)?;
    let begin = Instant::now();
    let end = begin + Duration::from_secs_f64(hunt.minutes * 60.0);
    let state = HuntState {
        next_seed: AtomicU64::new(hunt.seed),
        totals: Totals::default(),
        is_over: AtomicBool::new(false),
        found: Mutex::default(),
    };
    std::thread::scope(|scope| {
        for _ in 0..hunt.threads.clamp(1, 12) {
            scope.spawn(|| {
                while !state.is_over.load(Ordering::Relaxed) && Instant::now() < end {
                    play_next(&state, stores, defect, &ignored, hunt.breaks);
                }
            });
        }
    });
    state.totals.print(begin.elapsed().as_secs_f64(), hunt.seed, &ignored);
    let mut found = state.found.into_inner().unwrap_or_default();
    found.sort_by_key(|(plays, _)| *plays);
    for (_, schedule) in found.iter().take(3) {
        tell(schedule, defect, &ignored, false);
    }
    Ok(found.is_empty())
}

/// Plays the next seed of a hunt, which is over once so many schedules broke an invariant.
fn play_next(
    state: &HuntState,
    (least, most): (usize, usize),
    defect: Option<Defect>,
    ignored: &BTreeSet<Invariant>,
    max_found: usize,
) {
    let seed = state.next_seed.fetch_add(1, Ordering::Relaxed);
    let stores = least + (seed as usize) % (most - least + 1);
    let schedule = Schedule::drawn(seed, stores);
    let result = simulate(&schedule, defect, ignored, false);
    let plays = state.totals.add(&result);
    let Some(violation) = result.violation else { return };
    println!(
        "seed {seed} ({stores} stores), play {plays}: {} at {:.0} ms: {}",
        violation.invariant.name(),
        violation.at,
        violation.what
    );
    if let Ok(mut found) = state.found.lock() {
        found.push((plays, schedule));
        if found.len() >= max_found {
            state.is_over.store(true, Ordering::Relaxed);
        }
    }
}

fn tell(schedule: &Schedule, defect: Option<Defect>, ignored: &BTreeSet<Invariant>, trace: bool) -> bool {
    let Some((short, result, plays)) = shrink(schedule, defect, ignored) else {
        println!("seed {} breaks nothing", schedule.seed);
        return true;
    };
    println!("\nShrunk in {plays} plays, from {} events to {}:", schedule.events.len(), short.events.len());
    println!("{short}");
    if let Some(violation) = &result.violation {
        println!("  at {:>6.0} ms: broken: {}: {}", violation.at, violation.invariant.name(), violation.what);
    }
    if trace {
        result.log.iter().for_each(|line| println!("{line}"));
    }
    false
}

fn run_replay(replay: &Replay) -> Result<bool, UsageError> {
    let defect = defect(replay.defect.as_ref())?;
    let ignored = ignored_invariants(&replay.ignored, &replay.only)?;
    let schedule = Schedule::drawn(replay.seed, replay.stores);
    if replay.whole {
        let result = simulate(&schedule, defect, &ignored, replay.trace);
        println!("{schedule}");
        result.log.iter().for_each(|line| println!("{line}"));
        if let Some(violation) = &result.violation {
            println!(
                "  at {:>6.0} ms: broken: {}: {}",
                violation.at,
                violation.invariant.name(),
                violation.what
            );
        }
        return Ok(result.violation.is_none());
    }
    Ok(tell(&schedule, defect, &ignored, replay.trace))
}

fn run_small(small: &Small) -> Result<bool, UsageError> {
    let defect = defect(small.defect.as_ref())?;
    let ignored = ignored_invariants(&small.ignored, &small.only)?;
    let mut sound = true;
    for bounds in small_worlds().iter().filter(|bounds| bounds.name.starts_with(&small.prefix)) {
        let begin = Instant::now();
        let time = Duration::from_secs(small.seconds);
        let explored = explore(bounds, defect, &ignored, small.states, time, small.threads);
        println!(
            "{}: {} states, {} steps, ways of up to {} actions, {}, {:.1} s",
            bounds.name,
            explored.states,
            explored.steps,
            explored.depth,
            if explored.whole { "whole" } else { "not whole" },
            begin.elapsed().as_secs_f64()
        );
        if let Some((violation, path)) = explored.violation {
            sound = false;
            path.iter().for_each(|line| println!("  {line}"));
            println!("  broken: {}: {}", violation.invariant.name(), violation.what);
        }
    }
    Ok(sound)
}
