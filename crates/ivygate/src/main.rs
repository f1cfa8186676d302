//! The command line. With no arguments it is the platform's edge node, told by `RELAY_CONFIG`.
//!
//! It reads arguments and files, and words what the other packages say; it must never decide anything else.

mod demo;
mod routes;

use clap::{Parser, Subcommand};
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
    },
    /// Check a configuration and say what is wrong with it
    Check {
        /// The configuration
        file: PathBuf,
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
    /// Run three small applications and a sidecar in one process, to try things out
    Demo {
        /// Where the configuration is written
        #[arg(long, default_value = "ivygate-demo.conf")]
        write: PathBuf,
    },
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
        Command::Serve { file } => served(ivygate_sidecar::run(&file)),
        Command::Check { file } => check(&file),
        Command::Routes { file, method, url } => routes::show(&file, method.as_deref().zip(url.as_deref())),
        Command::Demo { write } => served(demo::run(&write)),
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

/// Reads a configuration's file; what is wrong with it goes to standard error.
fn load(file: &Path) -> Result<ivygate_config::Loaded, ExitCode> {
    let text = std::fs::read_to_string(file).map_err(|error| {
        eprintln!("ivygate: cannot read {}: {error}", file.display());
        ExitCode::from(MISUSED)
    })?;
    let loaded = ivygate_config::load(&file.display().to_string(), &text);
    eprint!("{}", loaded.report(std::io::stderr().is_terminal()));
    Ok(loaded)
}

fn check(file: &Path) -> ExitCode {
    let loaded = match load(file) {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    match &loaded.model {
        Some(model) => {
            println!(
                "{}: {} routes to {} pools, {} warnings",
                file.display(),
                model.routes.len(),
                model.pools.len(),
                loaded.findings.len()
            );
            ExitCode::SUCCESS
        }
        None => ExitCode::from(MISUSED),
    }
}
