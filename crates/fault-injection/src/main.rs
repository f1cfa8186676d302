//! The command line of the fault-injection harness: runs and lists scenarios and compares two programs.

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use ivygate_fault_injection::{
    built_in_scenarios, measure_link, report, run_guard, run_once, Figures, NodeKind, Program, RunResult,
    Scenario, Selection, Verdict,
};
use serde_json::json;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::mpsc;
use std::time::Duration;

/// Prints a line to standard output. A closed pipe, as with `head`, is no error.
macro_rules! print_line {
    ($($words:tt)*) => {
        drop(writeln!(std::io::stdout(), $($words)*))
    };
}

/// Runs fleets of ivygate processes under fault injection and checks what servers executed and clients received.
#[derive(Parser)]
#[command(name = "ivygate-fleet", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario: exits with 0 if all rules hold, 1 if one is violated, 3 if the run is inconclusive
    Run(RunOptions),
    /// Run a scenario and write an HTML report: `run` with `--report`
    Report {
        /// Name of a built-in scenario (see `ivygate-fleet list`), or a file
        scenario: String,
        /// File of the report
        file: PathBuf,
        /// The program under test; by default the ivygate next to this binary
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// List the scenarios that come with the program
    List,
    /// Print a built-in scenario, as a template
    Show {
        /// Name of the scenario
        scenario: String,
    },
    /// Run a scenario alternately with two programs on the same seeds, and print the difference
    Compare {
        /// Name of a built-in scenario (see `ivygate-fleet list`), or a file
        scenario: String,
        /// The first program
        old: PathBuf,
        /// The second program
        new: PathBuf,
        /// Another scenario for the second program, to compare two settings, also of one program
        #[arg(long)]
        against: Option<String>,
        /// Enable failure detection of whole zones for the second program only; sidecars only
        #[arg(long, conflicts_with = "against")]
        domains: bool,
        /// Enable the exchange of observations for the second program only; both detect failures of whole zones
        #[arg(long, conflicts_with_all = ["against", "domains"])]
        group: bool,
        /// Number of runs of each program
        #[arg(long, default_value_t = 5)]
        turns: u64,
    },
    /// Run a scenario repeatedly with one seed, and print the variation of each figure
    Noise {
        /// Name of a built-in scenario (see `ivygate-fleet list`), or a file
        scenario: String,
        /// Number of runs
        #[arg(long, default_value_t = 10)]
        times: u64,
        /// The program under test; by default the ivygate next to this binary
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Find the largest request rate that this machine sustains without an inconclusive run, by fleet size
    Limits {
        /// Numbers of nodes
        #[arg(long, value_delimiter = ',', default_value = "3,10,20,40")]
        nodes: Vec<usize>,
        /// The program under test; by default the ivygate next to this binary
        #[arg(long)]
        program: Option<PathBuf>,
    },
    /// Measure the overhead of a link: latency, CPU time, many connections at once
    Links {
        /// Number of connections open through one link
        #[arg(long, default_value_t = 1000)]
        connections: usize,
        /// Number of round trips, one after the other
        #[arg(long, default_value_t = 20_000)]
        messages: usize,
    },
    /// Kill the processes named on standard input when it ends (started by the harness itself)
    #[command(hide = true)]
    Guard,
}

#[derive(Args, Default)]
struct RunOptions {
    /// Name of a built-in scenario (see `ivygate-fleet list`), or a file
    scenario: String,
    /// Seed of the random generators, in place of the scenario's
    #[arg(long)]
    seed: Option<u64>,
    /// Number of nodes, in place of the scenario's
    #[arg(long)]
    nodes: Option<usize>,
    /// Requests per second, in place of the scenario's
    #[arg(long)]
    rate: Option<f64>,
    /// The program under test; by default the ivygate next to this binary
    #[arg(long)]
    program: Option<PathBuf>,
    /// Another version that some nodes run, as during a rollout
    #[arg(long, requires = "others")]
    other: Option<PathBuf>,
    /// The nodes that run it: all, north, south, a part such as 1/2, numbers such as 0,3
    #[arg(long, requires = "other")]
    others: Option<String>,
    /// Defect to activate in a program with seeded defects; ivygate-planted lists them
    #[arg(long)]
    defect: Option<String>,
    /// Folder in which the files of the processes are kept
    #[arg(long)]
    keep: Option<PathBuf>,
    /// File for an HTML report of the run
    #[arg(long)]
    report: Option<PathBuf>,
    /// Print JSON lines for faults, findings, figures and the verdict
    #[arg(long)]
    json: bool,
}

/// Exit code for errors of usage and of scenario files.
const EXIT_USAGE: u8 = 2;
/// Exit code for an inconclusive run.
const EXIT_VOID: u8 = 3;

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run(options) => with_scenario(&options.scenario, |scenario| run(scenario, &options)),
        Command::Report { scenario, file, program } => {
            let options = RunOptions { report: Some(file), program, scenario, ..RunOptions::default() };
            with_scenario(&options.scenario, |scenario| run(scenario, &options))
        }
        Command::List => {
            for (name, text) in built_in_scenarios() {
                match Scenario::parse(text) {
                    Ok(scenario) => print_line!("{name:20} {}", scenario.about),
                    Err(error) => print_line!("{name:20} {error}"),
                }
            }
            ExitCode::SUCCESS
        }
        Command::Show { scenario } => match text(&scenario) {
            Ok(text) => {
                print_line!("{}", text.trim_end());
                ExitCode::SUCCESS
            }
            Err(error) => usage_error(&error),
        },
        Command::Compare { scenario, old, new, against, domains, group, turns } => {
            with_scenario(&scenario, |scenario| match against {
                Some(other) => with_scenario(&other, |other| compare(&[scenario, other], [old, new], turns)),
                None if group && scenario.form == NodeKind::Sidecar => {
                    let with = |group| Scenario { domains: true, group, ..scenario.clone() };
                    compare(&[with(false), with(true)], [old, new], turns)
                }
                None if (domains || group) && scenario.form != NodeKind::Sidecar => {
                    usage_error("only sidecars detect failures of whole zones")
                }
                None if domains => {
                    let with =
                        |domains| Scenario { domains, group: domains && scenario.group, ..scenario.clone() };
                    compare(&[with(false), with(true)], [old, new], turns)
                }
                None => compare(&[scenario.clone(), scenario], [old, new], turns),
            })
        }
        Command::Noise { scenario, times, program } => {
            with_scenario(&scenario, |scenario| noise(&scenario, times, program.as_deref()))
        }
        Command::Limits { nodes, program } => limits(&nodes, program.as_deref()),
        Command::Links { connections, messages } => match measure_link(connections, messages) {
            Ok(measured) => {
                print_line!("{measured}");
                ExitCode::SUCCESS
            }
            Err(error) => failed(&error.to_string()),
        },
        Command::Guard => match run_guard(std::io::stdin().lock()) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failed(&error.to_string()),
        },
    }
}

fn usage_error(error: &str) -> ExitCode {
    eprintln!("ivygate-fleet: {error}");
    ExitCode::from(EXIT_USAGE)
}

fn failed(error: &str) -> ExitCode {
    eprintln!("ivygate-fleet: {error}");
    ExitCode::FAILURE
}

/// Returns the text of a built-in scenario or of a file.
fn text(name: &str) -> Result<String, String> {
    if let Some((_, text)) = built_in_scenarios().into_iter().find(|(built_in, _)| *built_in == name) {
        return Ok(text.to_owned());
    }
    std::fs::read_to_string(name).map_err(|error| {
        format!("'{name}' is neither a scenario of `ivygate-fleet list` nor a readable file: {error}")
    })
}

fn with_scenario(name: &str, then: impl FnOnce(Scenario) -> ExitCode) -> ExitCode {
    let parsed = text(name).and_then(|text| Scenario::parse(&text).map_err(|e| format!("{name}: {e}")));
    match parsed {
        Ok(scenario) => then(scenario),
        Err(error) => usage_error(&error),
    }
}

/// Runs a scenario once, with a progress bar on a terminal.
fn run_with_progress(
    scenario: &Scenario,
    program: &Program,
    seed: u64,
    keep: Option<&Path>,
) -> Result<RunResult, String> {
    let bar = ProgressBar::new((scenario.length / 1000.0) as u64);
    if let Ok(style) = ProgressStyle::with_template("{wide_bar} {pos} of {len} s") {
        bar.set_style(style);
    }
    let (over, result) = mpsc::channel::<()>();
    std::thread::scope(|scope| {
        scope.spawn(move || {
            while result.recv_timeout(Duration::from_secs(1)) == Err(mpsc::RecvTimeoutError::Timeout) {
                bar.inc(1);
            }
            bar.finish_and_clear();
        });
        let result = run_once(scenario, program, seed, keep).map_err(|error| error.to_string());
        drop(over);
        result
    })
}

/// Runs a scenario once with a program, by default the `ivygate` next to this binary.
fn run_with_program(scenario: &Scenario, program: Option<&Path>, seed: u64) -> Result<RunResult, String> {
    run_with_progress(scenario, &find_program(program)?, seed, None)
}

fn find_program(program: Option<&Path>) -> Result<Program, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = program.map_or_else(|| own.with_file_name("ivygate"), Path::to_owned);
    if !program.is_file() {
        return Err(format!("{}: program not found; build it with cargo build --release", program.display()));
    }
    Ok(Program { program, guard: Some(own), ..Program::default() })
}

fn run(scenario: Scenario, options: &RunOptions) -> ExitCode {
    let scenario = match scenario.resized(options.nodes, options.rate) {
        Ok(scenario) => scenario,
        Err(error) => return usage_error(&error),
    };
    let program = find_program(options.program.as_deref()).and_then(|program| {
        let others =
            options.others.as_deref().map(|others| Selection::parse(others, scenario.nodes)).transpose()?;
        Ok(Program { other: options.other.clone().zip(others), defect: options.defect.clone(), ..program })
    });
    let program = match program {
        Ok(program) => program,
        Err(error) => return usage_error(&error),
    };
    let seed = options.seed.unwrap_or(scenario.seed);
    if !options.json {
        print_line!("{}: {} (seed {seed})", scenario.name, scenario.about);
    }
    let result = match run_with_progress(&scenario, &program, seed, options.keep.as_deref()) {
        Ok(result) => result,
        Err(error) => return failed(&error),
    };
    if let Some(file) = &options.report {
        if let Err(error) = std::fs::write(file, report(&scenario, &result, seed)) {
            return failed(&format!("{}: {error}", file.display()));
        }
    }
    if options.json {
        print_json(&scenario, &result, seed);
    } else {
        print_text(&result);
    }
    match result.verdict {
        Verdict::Kept => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::FAILURE,
        Verdict::Void => ExitCode::from(EXIT_VOID),
    }
}

fn print_text(result: &RunResult) {
    const SHOWN: usize = 12;
    print_line!("{}", figures_text(&result.figures));
    for (fault, span) in &result.trace.faults {
        print_line!("  {:5.1} to {:5.1} s  {fault}", span.from / 1000.0, span.to / 1000.0);
    }
    for finding in result.findings.iter().take(SHOWN) {
        print_line!("  {}: {}", finding.rule, finding.description);
    }
    if result.findings.len() > SHOWN {
        print_line!("  and {} more", result.findings.len() - SHOWN);
    }
    match result.verdict {
        Verdict::Kept => print_line!("kept: all rules"),
        Verdict::Broken => print_line!("broken: {} findings", result.findings.len()),
        Verdict::Void => {
            print_line!(
                "void: the generator was {:.0} ms late, the rig stood still for {:.0} ms; this machine has too little to spare",
                result.figures.generator_delay,
                result.figures.longest_stall
            );
        }
    }
}

fn print_json(scenario: &Scenario, result: &RunResult, seed: u64) {
    print_line!(
        "{}",
        json!({"scenario": scenario.name, "seed": seed, "nodes": scenario.nodes, "rate": scenario.rate})
    );
    for (fault, span) in &result.trace.faults {
        print_line!("{}", json!({"fault": fault, "from_ms": span.from, "to_ms": span.to}));
    }
    for finding in &result.findings {
        print_line!("{}", json!({"rule": finding.rule, "finding": finding.description}));
    }
    for (name, value) in result.figures.named() {
        print_line!("{}", json!({"figure": name, "value": value}));
    }
    let verdict = match result.verdict {
        Verdict::Kept => "kept",
        Verdict::Broken => "broken",
        Verdict::Void => "void",
    };
    print_line!("{}", json!({"verdict": verdict}));
}

/// Runs a scenario repeatedly with one seed: differences come from the machine and are the noise of each figure.
fn noise(scenario: &Scenario, times: u64, program: Option<&Path>) -> ExitCode {
    let mut results = Vec::new();
    let mut broken = 0;
    for _ in 0..times.max(2) {
        match run_with_program(scenario, program, scenario.seed) {
            Ok(result) if result.verdict == Verdict::Void => print_line!("a void play is left out"),
            Ok(result) => {
                broken += usize::from(result.verdict == Verdict::Broken);
                results.push(result.figures.named());
            }
            Err(error) => return failed(&error),
        }
    }
    print_line!(
        "{}: {} plays on seed {}, {broken} with a broken rule",
        scenario.name,
        results.len(),
        scenario.seed
    );
    print_line!("{:58} {:>9} {:>9} {:>9} {:>9}", "", "mean", "spread", "least", "most");
    for (at, (name, _)) in results.first().into_iter().flatten().enumerate() {
        let values: Vec<f64> = results.iter().filter_map(|play| play[at].1).collect();
        if values.len() < 2 {
            continue;
        }
        let (mean, spread) = spread(&values);
        let (least, most) =
            values.iter().fold((f64::INFINITY, f64::NEG_INFINITY), |(l, m), v| (l.min(*v), m.max(*v)));
        print_line!("{name:58} {mean:9.3} {spread:9.3} {least:9.3} {most:9.3}");
    }
    ExitCode::SUCCESS
}

/// Returns the mean and the standard deviation.
fn spread(values: &[f64]) -> (f64, f64) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let squares = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>();
    (mean, (squares / (count - 1.0).max(1.0)).sqrt())
}

/// Raises the rate for each fleet size until a run is void.
fn limits(sizes: &[usize], program: Option<&Path>) -> ExitCode {
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    print_line!("{cores} processors; 5 s each, nothing fails; 16 servers of 16 workers");
    for nodes in sizes {
        let mut best = None;
        for rate in [125, 250, 500, 1000, 1500, 2000, 3000, 4000, 5000] {
            let text = format!(
                "name = \"limits\"\nabout = \"\"\nseed = 1\nlength = \"5s\"\nsettle = \"1s\"\nnodes = {nodes}\n\
                 servers = 16\nworkers = 16\nrate = {rate}\ncustomers = 100\n"
            );
            let scenario = match Scenario::parse(&text) {
                Ok(scenario) => scenario,
                Err(error) => return usage_error(&error.to_string()),
            };
            match run_with_program(&scenario, program, 1) {
                Ok(result) if result.verdict == Verdict::Void => break,
                Ok(result) => best = Some((rate, result.figures)),
                Err(error) => return failed(&error),
            }
        }
        match best {
            Some((rate, figures)) => print_line!(
                "{nodes:3} nodes: {rate} a second; generator late by {:.1} ms, served in time {:.3}",
                figures.generator_delay,
                figures.served
            ),
            None => print_line!("{nodes:3} nodes: not even 125 a second"),
        }
    }
    ExitCode::SUCCESS
}

fn figures_text(figures: &Figures) -> String {
    let phase = |part: Option<f64>| part.map_or("-".to_owned(), |part| format!("{part:.3}"));
    format!(
        "{} requests: served in time {:.3} (before the faults {}, during {}, settled {}), refused {:.3}, failed {:.3}, \
         unanswered {:.3}; {:.2} attempts a request; half within {:.0} ms, 99 in 100 within {:.0}; nodes differ by {:.2}, \
         within a zone by {:.2} and at odds for {:.0} s; {:.0} swings a minute; generator late by {:.1} ms",
        figures.requests,
        figures.served,
        phase(figures.phases[0]),
        phase(figures.phases[1]),
        phase(figures.phases[2]),
        figures.refused,
        figures.failed,
        figures.unanswered,
        figures.attempts,
        figures.latencies[0],
        figures.latencies[1],
        figures.node_spread,
        figures.largest_disagreement,
        figures.disagreement_s,
        figures.reversals_per_minute,
        figures.generator_delay
    )
}

/// Runs both programs alternately, swapping their order each turn, and prints whether the difference exceeds the noise.
fn compare(scenarios: &[Scenario; 2], programs: [PathBuf; 2], turns: u64) -> ExitCode {
    let mut differences = Vec::new();
    let mut broken = [0; 2];
    let mut results = [Vec::new(), Vec::new()];
    for turn in 0..turns.max(1) {
        let seed = scenarios[0].seed.wrapping_add(turn);
        let mut served = [0.0; 2];
        for which in if turn % 2 == 0 { [0, 1] } else { [1, 0] } {
            let result = match run_with_program(&scenarios[which], Some(&programs[which]), seed) {
                Ok(result) => result,
                Err(error) => return failed(&error),
            };
            if result.verdict == Verdict::Void {
                let (late, still) = (result.figures.generator_delay, result.figures.longest_stall);
                print_line!("seed {seed}: void, {late:.0} ms late, stood still for {still:.0} ms");
                return ExitCode::from(EXIT_VOID);
            }
            broken[which] += usize::from(result.verdict == Verdict::Broken);
            served[which] = result.figures.served;
            results[which].push(result.figures.named());
        }
        print_line!("seed {seed}: old {:.3}, new {:.3}", served[0], served[1]);
        differences.push(served[1] - served[0]);
    }
    let (mean, differing) = spread(&differences);
    // Twice the standard error: a confidence of about 95 % for the usual small number of turns.
    let error = if differences.len() > 1 {
        2.0 * differing / (differences.len() as f64).sqrt()
    } else {
        f64::INFINITY
    };
    print_line!(
        "{:58} {:>9} {:>9} {:>9} {:>9}",
        "mean of all plays, and spread",
        "old",
        "spread",
        "new",
        "spread"
    );
    for (at, (name, _)) in results[0].first().into_iter().flatten().enumerate() {
        let values =
            [0, 1].map(|which| results[which].iter().filter_map(|play| play[at].1).collect::<Vec<f64>>());
        if values.iter().all(|values| !values.is_empty()) {
            let [(old, old_spread), (new, new_spread)] = values.map(|values| spread(&values));
            print_line!("{name:58} {old:9.3} {old_spread:9.3} {new:9.3} {new_spread:9.3}");
        }
    }
    let verdict = match mean {
        mean if mean > error => "new serves more",
        mean if -mean > error => "old serves more",
        _ => "no difference can be told",
    };
    print_line!(
        "new less old: {mean:+.3} within {error:.3}: {verdict}; plays with a broken rule: old {}, new {}",
        broken[0],
        broken[1]
    );
    ExitCode::SUCCESS
}
