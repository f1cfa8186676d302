//! The command line. With no arguments it is the platform's edge node, told by `RELAY_CONFIG`.
//!
//! It reads arguments and files, and words what the other packages say; it must never decide anything else.

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

/// A sidecar that holds customers to their quotas, chooses servers and repeats what may be repeated.
#[derive(Parser)]
#[command(name = "ivygate", version, arg_required_else_help = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve by a configuration until SIGTERM; SIGHUP reads it anew
    Serve {
        /// The configuration
        file: PathBuf,
        /// How events are written to standard error
        #[arg(long, value_enum, default_value_t = Form::Text)]
        log: Form,
    },
    /// Show what a running sidecar believes of the zones of its pools, and why
    Domains {
        /// Its configuration, which names the operators' address
        file: PathBuf,
        /// For people, or one JSON document a line
        #[arg(long, value_enum, default_value_t = Form::Text)]
        format: Form,
    },
    /// Show which other processes a running sidecar hears
    Members {
        /// Its configuration, which names the operators' address
        file: PathBuf,
        /// For people, or one JSON document a line
        #[arg(long, value_enum, default_value_t = Form::Text)]
        format: Form,
    },
    /// Check a configuration and say what is wrong with it
    Check {
        /// The configuration; `-` for standard input
        file: PathBuf,
        /// For people, or as one JSON document for editors and other programs
        #[arg(long, value_enum, default_value_t = Form::Text)]
        format: Form,
    },
    /// Explain a code such as IV0021
    Explain {
        /// The code
        #[arg(required_unless_present = "all")]
        code: Option<String>,
        /// All codes, as the reference's page
        #[arg(long)]
        all: bool,
    },
    /// Lay configurations out in the one way; included files are named one by one
    Fmt {
        /// The files; `-` reads standard input and writes standard output
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Change nothing; end with 1 if something would change
        #[arg(long)]
        check: bool,
        /// Change nothing; show what would change
        #[arg(long)]
        diff: bool,
    },
    /// Show what a new configuration does differently from an old one; ends with 1 if anything
    Diff {
        /// The old one
        old: PathBuf,
        /// The new one
        new: PathBuf,
        /// For people, or as JSON
        #[arg(long, value_enum, default_value_t = Form::Text)]
        format: Form,
    },
    /// Write a configuration for an application; asks on a terminal where nothing is told
    New(new::Options),
    /// The language's statements, units and codes as JSON, for editors
    Keywords,
    /// A shell's completions for this program
    Completions {
        /// The shell
        #[arg(value_enum)]
        shell: clap_complete::Shell,
    },
    /// Show the routes in the order in which they are tried, or which one takes a request and why
    Routes {
        /// The configuration
        file: PathBuf,
        /// A method, such as GET
        #[arg(requires = "url")]
        method: Option<String>,
        /// A URL with scheme and host, or a path
        url: Option<String>,
    },
    /// Show what became of requests that must not run twice, from the journal of a process that runs or has ended
    #[command(subcommand)]
    Journal(journal::Question),
    /// Run three small applications and a sidecar in one process, to try things out
    Demo {
        /// Where the configuration is written
        #[arg(long, default_value = "ivygate-demo.conf")]
        write: PathBuf,
    },
}

/// How results are shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Form {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// The system's allocator took a tenth of the processor time of a request.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// For usage and configuration.
const MISUSED: u8 = 2;

fn main() -> ExitCode {
    if std::env::args_os().len() <= 1 {
        if std::env::var_os("RELAY_CONFIG").is_some() {
            return node();
        }
        eprintln!("ivygate: no command is given and RELAY_CONFIG is not set; `ivygate --help` tells more");
        return ExitCode::from(MISUSED);
    }
    match Cli::parse().command {
        Command::Serve { file, log } => {
            let once = std::sync::Once::new();
            served(ivygate_sidecar::run(&file, move || once.call_once(|| events(log))))
        }
        Command::Domains { file, format } => domains::run(&file, format, domains::Asked::Domains),
        Command::Members { file, format } => domains::run(&file, format, domains::Asked::Members),
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
        Command::Journal(question) => journal::run(&question),
        Command::Demo { write } => served(demo::run(&write)),
    }
}

/// Writes events to standard error.
fn events(form: Form) {
    let written = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).with_target(false);
    match form {
        Form::Text => written.init(),
        Form::Json => written.json().flatten_event(true).init(),
    }
}

fn node() -> ExitCode {
    match ivygate_node::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivygate: {error}");
            ExitCode::FAILURE
        }
    }
}

fn served(result: Result<(), ivygate_sidecar::StartError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}{error}", if error.is_report() { "" } else { "ivygate: " });
            if error.is_configuration() {
                ExitCode::from(MISUSED)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

/// Reads a configuration; what is found goes to standard error.
fn load(file: &Path) -> Result<LoadedConfig, ExitCode> {
    let loaded = load_quietly(file)?;
    eprint!("{}", worded(&loaded, Severity::Note));
    Ok(loaded)
}

/// Reads a configuration.
fn load_quietly(file: &Path) -> Result<LoadedConfig, ExitCode> {
    ivygate_files::load(file).map_err(|error| {
        eprintln!("ivygate: {error}");
        ExitCode::from(MISUSED)
    })
}

/// What was found, for standard error.
fn worded(loaded: &LoadedConfig, least: Severity) -> String {
    loaded.report(least, std::io::stderr().is_terminal())
}
