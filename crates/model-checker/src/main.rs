//! Searches for runs that violate an invariant of the store, by random simulation and by exhaustive exploration of
//! small configurations.
//!
//! Started manually and by tests of the store. Must never be shipped.

use argh::FromArgs;
use ivygate_model_checker::checker::Invariant;
use ivygate_model_checker::defects::Defect;
use ivygate_model_checker::exhaustive::{explore, small_configurations};
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

/// Runs random schedules until one violates an invariant or the time is over.
#[derive(FromArgs)]
#[argh(subcommand, name = "hunt")]
struct Hunt {
    /// duration in minutes (1)
    #[argh(option, default = "1.0")]
    minutes: f64,
    /// number of stores, or a range such as 3..7
    #[argh(option, default = "String::from(\"3..7\")")]
    stores: String,
    /// the first seed (1)
    #[argh(option, default = "1")]
    seed: u64,
    /// number of threads (1)
    #[argh(option, default = "1")]
    threads: u64,
    /// a defect to seed
    #[argh(option)]
    defect: Option<String>,
    /// an invariant to ignore, as stated in the report; may be repeated
    #[argh(option, long = "but")]
    ignored: Vec<String>,
    /// check only this invariant; may be repeated
    #[argh(option)]
    only: Vec<String>,
    /// number of violations to search for (1)
    #[argh(option, default = "1")]
    breaks: usize,
}

/// Runs one seed, shrinks its schedule if it violates an invariant, and prints it.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
struct Replay {
    /// the seed to run
    #[argh(positional)]
    seed: u64,
    /// number of stores
    #[argh(option)]
    stores: usize,
    /// a defect to seed
    #[argh(option)]
    defect: Option<String>,
    /// an invariant to ignore; may be repeated
    #[argh(option, long = "but")]
    ignored: Vec<String>,
    /// check only this invariant; may be repeated
    #[argh(option)]
    only: Vec<String>,
    /// print each step of the shrunk schedule
    #[argh(switch)]
    trace: bool,
    /// run the schedule without shrinking it
    #[argh(switch)]
    whole: bool,
}

/// Explores all reachable states of small configurations.
#[derive(FromArgs)]
#[argh(subcommand, name = "small")]
struct Small {
    /// only configurations whose names begin with this prefix
    #[argh(positional, default = "String::new()")]
    prefix: String,
    /// maximum duration of each exploration, in seconds (60)
    #[argh(option, default = "60")]
    seconds: u64,
    /// maximum number of states of each exploration (10000000)
    #[argh(option, default = "10_000_000")]
    states: u64,
    /// number of threads (1)
    #[argh(option, default = "1")]
    threads: usize,
    /// a defect to seed
    #[argh(option)]
    defect: Option<String>,
    /// an invariant to ignore; may be repeated
    #[argh(option, long = "but")]
    ignored: Vec<String>,
    /// check only this invariant; may be repeated
    #[argh(option)]
    only: Vec<String>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Hunt(hunt) => run_hunt(&hunt),
        Command::Replay(replay) => run_replay(&replay),
        Command::Small(small) => run_small(&small),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ivygate-model-checker: {error}");
            ExitCode::from(2)
        }
    }
}

/// An error in the command line.
#[derive(Debug, thiserror::Error)]
enum UsageError {
    #[error("unknown name '{name}', expected one of {}", .known.join(", "))]
    UnknownName { name: String, known: Vec<&'static str> },
    #[error("'{0}' is not a number of stores from 3 to 9 or a range of such numbers")]
    Stores(String),
}

fn defect(name: Option<&String>) -> Result<Option<Defect>, UsageError> {
    let Some(name) = name else { return Ok(None) };
    let unknown =
        || UsageError::UnknownName { name: name.clone(), known: Defect::ALL.map(|(name, _)| name).to_vec() };
    Defect::named(name).map(Some).ok_or_else(unknown)
}

fn parse_invariants(names: &[String]) -> Result<BTreeSet<Invariant>, UsageError> {
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
    let (mut ignored, only) = (parse_invariants(ignored)?, parse_invariants(only)?);
    if !only.is_empty() {
        ignored.extend(Invariant::ALL.iter().map(|(_, known)| *known).filter(|known| !only.contains(known)));
    }
    Ok(ignored)
}

fn parse_store_range(text: &str) -> Result<(usize, usize), UsageError> {
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
    runs: AtomicU64,
    steps: AtomicU64,
    calls: AtomicU64,
    confirmed: AtomicU64,
    machine_faults: AtomicU64,
    undecided: AtomicU64,
}

/// State shared by the threads of a search.
struct SearchProgress {
    next_seed: AtomicU64,
    totals: Totals,
    is_finished: AtomicBool,
    /// Schedules that violated an invariant, each with the number of runs up to then.
    found: Mutex<Vec<(u64, Schedule)>>,
}

impl Totals {
    /// Adds a run. Returns the number of runs so far.
    fn add(&self, result: &RunResult) -> u64 {
        let add = |sum: &AtomicU64, more: u64| sum.fetch_add(more, Ordering::Relaxed);
        add(&self.steps, result.steps);
        add(&self.calls, result.calls.0);
        add(&self.confirmed, result.calls.1);
        add(&self.machine_faults, result.machine_faults);
        add(&self.undecided, result.undecided);
        add(&self.runs, 1) + 1
    }

    fn print(&self, seconds: f64, first_seed: u64, ignored: &BTreeSet<Invariant>) {
        let load = |sum: &AtomicU64| sum.load(Ordering::Relaxed);
        println!(
            "{} runs, {} steps ({:.2} million per minute), {} calls of which {} were confirmed, {} machine faults, \
             {} histories undecided, {seconds:.0} s, seeds from {first_seed}; ignored invariants: {:?}",
            load(&self.runs),
            load(&self.steps),
            load(&self.steps) as f64 / seconds * 60.0 / 1e6,
            load(&self.calls),
            load(&self.confirmed),
            load(&self.machine_faults),
            load(&self.undecided),
            ignored.iter().map(|invariant| invariant.name()).collect::<Vec<_>>()
        );
    }
}

fn run_hunt(hunt: &Hunt) -> Result<bool, UsageError> {
    let stores = parse_store_range(&hunt.stores)?;
    let defect = defect(hunt.defect.as_ref())?;
    let ignored = ignored_invariants(&hunt.ignored, &hunt.only)?;
    let started_at = Instant::now();
    let end = started_at + Duration::from_secs_f64(hunt.minutes * 60.0);
    let state = SearchProgress {
        next_seed: AtomicU64::new(hunt.seed),
        totals: Totals::default(),
        is_finished: AtomicBool::new(false),
        found: Mutex::default(),
    };
    std::thread::scope(|scope| {
        for _ in 0..hunt.threads.clamp(1, 12) {
            scope.spawn(|| {
                while !state.is_finished.load(Ordering::Relaxed) && Instant::now() < end {
                    run_next_seed(&state, stores, defect, &ignored, hunt.breaks);
                }
            });
        }
    });
    state.totals.print(started_at.elapsed().as_secs_f64(), hunt.seed, &ignored);
    let mut found = state.found.into_inner().unwrap_or_default();
    found.sort_by_key(|(runs, _)| *runs);
    for (_, schedule) in found.iter().take(3) {
        report(schedule, defect, &ignored, false);
    }
    Ok(found.is_empty())
}

/// Runs the next seed, and ends the search once `max_found` schedules have violated an invariant.
fn run_next_seed(
    state: &SearchProgress,
    (min_stores, max_stores): (usize, usize),
    defect: Option<Defect>,
    ignored: &BTreeSet<Invariant>,
    max_found: usize,
) {
    let seed = state.next_seed.fetch_add(1, Ordering::Relaxed);
    let stores = min_stores + (seed as usize) % (max_stores - min_stores + 1);
    let schedule = Schedule::generate(seed, stores);
    let result = simulate(&schedule, defect, ignored, false);
    let runs = state.totals.add(&result);
    let Some(violation) = result.violation else { return };
    println!(
        "seed {seed} ({stores} stores), run {runs}: {} at {:.0} ms: {}",
        violation.invariant.name(),
        violation.at,
        violation.description
    );
    if let Ok(mut found) = state.found.lock() {
        found.push((runs, schedule));
        if found.len() >= max_found {
            state.is_finished.store(true, Ordering::Relaxed);
        }
    }
}

fn report(schedule: &Schedule, defect: Option<Defect>, ignored: &BTreeSet<Invariant>, trace: bool) -> bool {
    let Some((shrunk, result, runs)) = shrink(schedule, defect, ignored) else {
        println!("seed {} violates no invariant", schedule.seed);
        return true;
    };
    println!("\nShrunk in {runs} runs, from {} events to {}:", schedule.events.len(), shrunk.events.len());
    println!("{shrunk}");
    if let Some(violation) = &result.violation {
        println!(
            "  at {:>6.0} ms: violated: {}: {}",
            violation.at,
            violation.invariant.name(),
            violation.description
        );
    }
    if trace {
        result.log.iter().for_each(|line| println!("{line}"));
    }
    false
}

fn run_replay(replay: &Replay) -> Result<bool, UsageError> {
    let defect = defect(replay.defect.as_ref())?;
    let ignored = ignored_invariants(&replay.ignored, &replay.only)?;
    let schedule = Schedule::generate(replay.seed, replay.stores);
    if replay.whole {
        let result = simulate(&schedule, defect, &ignored, replay.trace);
        println!("{schedule}");
        result.log.iter().for_each(|line| println!("{line}"));
        if let Some(violation) = &result.violation {
            println!(
                "  at {:>6.0} ms: violated: {}: {}",
                violation.at,
                violation.invariant.name(),
                violation.description
            );
        }
        return Ok(result.violation.is_none());
    }
    Ok(report(&schedule, defect, &ignored, replay.trace))
}

fn run_small(small: &Small) -> Result<bool, UsageError> {
    let defect = defect(small.defect.as_ref())?;
    let ignored = ignored_invariants(&small.ignored, &small.only)?;
    let mut all_valid = true;
    for bounds in small_configurations().iter().filter(|bounds| bounds.name.starts_with(&small.prefix)) {
        let started_at = Instant::now();
        let max_duration = Duration::from_secs(small.seconds);
        let explored = explore(bounds, defect, &ignored, small.states, max_duration, small.threads);
        println!(
            "{}: {} states, {} steps, paths of up to {} actions, {}, {:.1} s",
            bounds.name,
            explored.states,
            explored.steps,
            explored.depth,
            if explored.is_complete { "complete" } else { "incomplete" },
            started_at.elapsed().as_secs_f64()
        );
        if let Some((violation, path)) = explored.violation {
            all_valid = false;
            path.iter().for_each(|line| println!("  {line}"));
            println!("  violated: {}: {}", violation.invariant.name(), violation.description);
        }
    }
    Ok(all_valid)
}
