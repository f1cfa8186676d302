//! Command line. Without arguments it runs the platform's edge node, configured by `RELAY_CONFIG`.
//!
//! It parses arguments, reads files and formats the output of the other crates; it contains no other logic.

mod check;
mod compare;
mod demo;
mod domains;
mod format;
mod journal;
mod new;
mod routes;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use ivygate_config::{LoadedConfig, Severity};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A sidecar that enforces customer quotas, balances load across servers and retries requests where that is safe
#[derive(Parser)]
#[command(name = "ivygate", version, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve a configuration until SIGTERM; SIGHUP reloads it
    Serve {
        /// The configuration
        file: PathBuf,
        /// Format of events on standard error
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        log: OutputFormat,
    },
    /// Show the zone states of a running sidecar's pools and the evidence for them
    Domains {
        /// Its configuration, which contains the operator address
        file: PathBuf,
        /// Human-readable text, or one JSON document per line
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        format: OutputFormat,
    },
    /// Show the gossip members that a running sidecar receives reports from
    Members {
        /// Its configuration, which contains the operator address
        file: PathBuf,
        /// Human-readable text, or one JSON document per line
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        format: OutputFormat,
    },
    /// Check a configuration and report errors
    Check {
        /// The configuration; `-` for standard input
        file: PathBuf,
        /// Human-readable text, or one JSON document for editors and other programs
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        format: OutputFormat,
    },
    /// Explain an error code such as IV0021
    Explain {
        /// The code
        #[arg(required_unless_present = "all")]
        code: Option<String>,
        /// All codes, formatted as the reference page
        #[arg(long)]
        all: bool,
    },
    /// Format configurations; included files must be named individually
    Fmt {
        /// The files; `-` reads standard input and writes standard output
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Change nothing; exit with 1 if a file would change
        #[arg(long)]
        check: bool,
        /// Change nothing; show the differences
        #[arg(long)]
        diff: bool,
    },
    /// Show the differences in behaviour between two configurations; exits with 1 if there are any
    Diff {
        /// The old configuration
        old: PathBuf,
        /// The new configuration
        new: PathBuf,
        /// Human-readable text, or JSON
        #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
        format: OutputFormat,
    },
    /// Write a configuration for an application; asks interactively if no options are given
    New(new::Options),
    /// Print the configuration language's statements, units and codes as JSON, for editors
    Keywords,
    /// Print shell completions for this program
    Completions {
        /// The shell
        #[arg(value_enum)]
        shell: clap_complete::Shell,
    },
    /// Show the routes in the order in which they are matched, or the route of a request and why it matches
    Routes {
        /// The configuration
        file: PathBuf,
        /// A method, such as GET
        #[arg(requires = "url")]
        method: Option<String>,
        /// A URL with scheme and host, or a path
        url: Option<String>,
    },
    /// Show the outcomes of requests that must not run twice, from the journal of a running or ended process
    #[command(subcommand)]
    Journal(journal::JournalCommand),
    /// Run three example applications and a sidecar in one process
    Demo {
        /// The file to write the configuration to
        #[arg(long, default_value = "ivygate-demo.conf")]
        write: PathBuf,
    },
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum OutputFormat {
    /// Human-readable text.
    Text,
    /// JSON for other programs.
    Json,
}

/// mimalloc instead of the system allocator, which took a tenth of the processor time per request.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for usage and configuration errors.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    if std::env::args_os().len() <= 1 {
        if std::env::var_os("RELAY_CONFIG").is_some() {
            return run_node();
        }
        eprintln!("ivygate: no command given and RELAY_CONFIG not set; see `ivygate --help`");
        return ExitCode::from(EXIT_USAGE);
    }
    match Cli::parse().command {
        Command::Serve { file, log } => {
            let once = std::sync::Once::new();
            exit_code(ivygate_sidecar::run(&file, move || once.call_once(|| init_event_log(log))))
        }
        Command::Domains { file, format } => domains::run(&file, format, domains::Query::Domains),
        Command::Members { file, format } => domains::run(&file, format, domains::Query::Members),
        Command::Check { file, format } => check::run(&file, format),
        Command::Explain { code, all } => check::explain(code.as_deref().filter(|_| !all)),
        Command::Fmt { files, check, diff } => format::run(&files, check, diff),
        Command::Diff { old, new, format } => compare::run(&old, &new, format),
        Command::New(options) => new::run(&options),
        Command::Keywords => {
            println!("{}", ivygate_tool::keywords());
            ExitCode::SUCCESS
        }
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "ivygate", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
        Command::Routes { file, method, url } => routes::show(&file, method.as_deref().zip(url.as_deref())),
        Command::Journal(command) => journal::run(&command),
        Command::Demo { write } => exit_code(demo::run(&write)),
    }
}

/// Initializes the logging of events to standard error.
fn init_event_log(format: OutputFormat) {
    let subscriber =
        tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    match format {
        OutputFormat::Text => subscriber.init(),
        OutputFormat::Json => subscriber.json().flatten_event(true).init(),
    }
}

fn run_node() -> ExitCode {
    match ivygate_node::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivygate: {error}");
            ExitCode::FAILURE
        }
    }
}

fn exit_code(result: Result<(), ivygate_sidecar::StartError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}{error}", if error.is_report() { "" } else { "ivygate: " });
            if error.is_configuration() {
                ExitCode::from(EXIT_USAGE)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

/// Loads a configuration and prints the findings to standard error.
fn load(file: &Path) -> Result<LoadedConfig, ExitCode> {
    let loaded = load_without_report(file)?;
    eprint!("{}", render_report(&loaded, Severity::Note));
    Ok(loaded)
}

/// Loads a configuration without printing the findings.
fn load_without_report(file: &Path) -> Result<LoadedConfig, ExitCode> {
    ivygate_files::load(file).map_err(|error| {
        eprintln!("ivygate: {error}");
        ExitCode::from(EXIT_USAGE)
    })
}

/// Renders the findings of at least a severity for standard error.
fn render_report(loaded: &LoadedConfig, min_severity: Severity) -> String {
    loaded.report(min_severity, std::io::stderr().is_terminal())
}
