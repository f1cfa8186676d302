//! The command line of the rig: plays scenarios, lists them, compares two programs.

use clap::{Parser, Subcommand};
use ivygate_fleet::{guard, play, shipped, Figures, Played, Program, Scenario, Verdict};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Prints a line. A reader that has seen enough, as `head`, is no failure.
macro_rules! say {
    ($($words:tt)*) => {
        drop(writeln!(std::io::stdout(), $($words)*))
    };
}

/// Plays many processes of ivygate with faults between them, and judges by what servers ran and clients got.
#[derive(Parser)]
#[command(name = "ivygate-fleet", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario: 0 if all rules were kept, 1 if one was broken, 3 if the machine was too slow to tell
    Run {
        /// One of `ivygate-fleet list`, or a file
        scenario: String,
        /// Decides all draws in place of the scenario's own seed
        #[arg(long)]
        seed: Option<u64>,
        /// The program under test; by default the ivygate beside this one
        #[arg(long)]
        program: Option<PathBuf>,
        /// Keeps what the processes wrote in this folder
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// List the scenarios that come with the program
    List,
    /// Print one of them, to change it
    Show {
        /// Its name
        scenario: String,
    },
    /// Play a scenario with two programs in turns, on the same seeds, and tell the difference
    Compare {
        /// One of `ivygate-fleet list`, or a file
        scenario: String,
        /// The one program
        old: PathBuf,
        /// The other
        new: PathBuf,
        /// How often each is played
        #[arg(long, default_value_t = 5)]
        turns: u64,
    },
    /// End the processes named on standard input when it ends; the rig starts this itself
    #[command(hide = true)]
    Guard,
}

/// For usage and scenarios; the one for a play that says nothing.
const MISUSED: u8 = 2;
const VOID: u8 = 3;

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run { scenario, seed, program, keep } => {
            with(&scenario, |scenario| run(&scenario, seed, program, keep.as_deref()))
        }
        Command::List => {
            for (name, text) in shipped() {
                match Scenario::parse(text) {
                    Ok(scenario) => say!("{name:20} {}", scenario.about),
                    Err(error) => say!("{name:20} {error}"),
                }
            }
            ExitCode::SUCCESS
        }
        Command::Show { scenario } => match text(&scenario) {
            Ok(text) => {
                say!("{}", text.trim_end());
                ExitCode::SUCCESS
            }
            Err(error) => misused(&error),
        },
        Command::Compare { scenario, old, new, turns } => {
            with(&scenario, |scenario| compare(&scenario, [old, new], turns))
        }
        Command::Guard => match guard(std::io::stdin().lock()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failed(&error.to_string()),
        },
    }
}

fn misused(error: &str) -> ExitCode {
    eprintln!("ivygate-fleet: {error}");
    ExitCode::from(MISUSED)
}

fn failed(error: &str) -> ExitCode {
    eprintln!("ivygate-fleet: {error}");
    ExitCode::FAILURE
}

/// The text of a scenario that came with the program or lies in a file.
fn text(name: &str) -> Result<String, String> {
    if let Some((_, text)) = shipped().into_iter().find(|(shipped, _)| *shipped == name) {
        return Ok(text.to_owned());
    }
    std::fs::read_to_string(name).map_err(|error| {
        format!("'{name}' is none of `ivygate-fleet list`, and no file that can be read: {error}")
    })
}

fn with(name: &str, then: impl FnOnce(Scenario) -> ExitCode) -> ExitCode {
    let parsed = text(name).and_then(|text| Scenario::parse(&text).map_err(|e| format!("{name}: {e}")));
    match parsed {
        Ok(scenario) => then(scenario),
        Err(error) => misused(&error),
    }
}

/// Plays once; the processes' files go into a folder of its own, which ends with the play unless it is kept.
fn once(scenario: &Scenario, program: Program, seed: u64, keep: Option<&Path>) -> Result<Played, String> {
    let own = std::env::temp_dir().join(format!("ivygate-fleet-{}-{seed:x}", std::process::id()));
    let folder = keep.unwrap_or(&own);
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let runtime =
        tokio::runtime::Builder::new_multi_thread().enable_all().build().map_err(|e| e.to_string())?;
    let played = runtime.block_on(play(scenario, &program, folder, seed)).map_err(|error| error.to_string());
    runtime.shutdown_background();
    if keep.is_none() {
        // What can't be removed stays in the system's folder for such things.
        let _ = std::fs::remove_dir_all(&own);
    }
    played
}

fn started(program: Option<PathBuf>) -> Result<Program, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = program.unwrap_or_else(|| own.with_file_name("ivygate"));
    if !program.is_file() {
        return Err(format!("{}: no such program; build it with cargo build --release", program.display()));
    }
    Ok(Program { program, guard: Some(own) })
}

fn run(scenario: &Scenario, seed: Option<u64>, program: Option<PathBuf>, keep: Option<&Path>) -> ExitCode {
    let program = match started(program) {
        Ok(program) => program,
        Err(error) => return misused(&error),
    };
    let seed = seed.unwrap_or(scenario.seed);
    say!("{}: {} (seed {seed})", scenario.name, scenario.about);
    let played = match once(scenario, program, seed, keep) {
        Ok(played) => played,
        Err(error) => return failed(&error),
    };
    say!("{}", worded(&played.figures));
    for (fault, span) in &played.trace.faults {
        say!("  {:5.1} to {:5.1} s  {fault}", span.from / 1000.0, span.to / 1000.0);
    }
    const SHOWN: usize = 12;
    for finding in played.findings.iter().take(SHOWN) {
        say!("  {}: {}", finding.rule, finding.what);
    }
    if played.findings.len() > SHOWN {
        say!("  and {} more", played.findings.len() - SHOWN);
    }
    match played.verdict {
        Verdict::Kept => {
            say!("kept: all rules");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            say!("broken: {} findings", played.findings.len());
            ExitCode::FAILURE
        }
        Verdict::Void => {
            say!(
                "void: the generator was {:.0} ms late; this machine has too little to spare",
                played.figures.late
            );
            ExitCode::from(VOID)
        }
    }
}

fn worded(figures: &Figures) -> String {
    let phase = |part: Option<f64>| part.map_or("-".to_owned(), |part| format!("{part:.3}"));
    format!(
        "{} requests: served in time {:.3} (before the faults {}, during {}, settled {}), refused {:.3}, failed {:.3}, \
         unanswered {:.3}; {:.2} attempts a request; nodes differ by {:.2}; generator late by {:.1} ms",
        figures.requests,
        figures.served,
        phase(figures.phases[0]),
        phase(figures.phases[1]),
        phase(figures.phases[2]),
        figures.refused,
        figures.failed,
        figures.unanswered,
        figures.attempts,
        figures.spread,
        figures.late
    )
}

/// Plays both in turns, the one first that was second before, and tells whether the difference is more than noise.
fn compare(scenario: &Scenario, programs: [PathBuf; 2], turns: u64) -> ExitCode {
    let mut differences = Vec::new();
    let mut broken = [0; 2];
    for turn in 0..turns.max(1) {
        let seed = scenario.seed.wrapping_add(turn);
        let mut served = [0.0; 2];
        for which in if turn % 2 == 0 { [0, 1] } else { [1, 0] } {
            let played = started(Some(programs[which].clone())).and_then(|p| once(scenario, p, seed, None));
            let played = match played {
                Ok(played) => played,
                Err(error) => return failed(&error),
            };
            if played.verdict == Verdict::Void {
                say!("seed {seed}: void, {:.0} ms late", played.figures.late);
                return ExitCode::from(VOID);
            }
            broken[which] += usize::from(played.verdict == Verdict::Broken);
            served[which] = played.figures.served;
        }
        say!("seed {seed}: old {:.3}, new {:.3}", served[0], served[1]);
        differences.push(served[1] - served[0]);
    }
    let count = differences.len() as f64;
    let mean = differences.iter().sum::<f64>() / count;
    let spread = differences.iter().map(|d| (d - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    // Twice the standard error: about 95 % for the few turns that are usual.
    let error = if differences.len() > 1 { 2.0 * (spread / count).sqrt() } else { f64::INFINITY };
    let verdict = match mean {
        mean if mean > error => "new serves more",
        mean if -mean > error => "old serves more",
        _ => "no difference can be told",
    };
    say!(
        "new less old: {mean:+.3} within {error:.3}: {verdict}; plays with a broken rule: old {}, new {}",
        broken[0],
        broken[1]
    );
    ExitCode::SUCCESS
}
