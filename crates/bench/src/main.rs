//! Benchmarks of the sidecar. Each command prints a table; none asserts a result.
//!
//! Run by hand. It measures the `ivygate` binary built next to it (`target/release/ivygate`) in separate
//! processes, and must not depend on the program's internals.

mod application;
mod bodies;
mod config;
mod domains;
mod flood;
mod isolation;
mod journal;
mod load;
mod pass_through;
mod process;
mod proxy;
mod routes;
mod sign_in;
mod turns;

use clap::{Parser, Subcommand};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(name = "ivygate-bench", about = "Benchmarks of the sidecar and its tools")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Throughput, latency and CPU time, compared with a pass-through proxy
    Proxy {
        /// Turns of half a second per figure, for the sidecar and for the pass-through proxy
        #[arg(long, default_value_t = 9)]
        turns: usize,
    },
    /// Lookup time and memory of the route table
    Routes,
    /// Latency of orders alone, and beside a pool whose servers stall
    Isolation {
        /// Seconds per row
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
    },
    /// Memory while large bodies are forwarded in both directions
    Bodies {
        /// Sizes in MiB
        #[arg(default_values_t = [100, 1024])]
        mib: Vec<u64>,
    },
    /// `check`, `diff` and `fmt` over trees of 100 to 50,000 routes
    Config,
    /// Requests without sign-in, with a cached acceptance of the sign-in service, and with a check per request
    SignIn {
        /// Turns of half a second per figure
        #[arg(long, default_value_t = 9)]
        turns: usize,
    },
    /// Zone ejection and recovery in virtual time, without and with failure-domain detection
    Domains {
        /// Numbers of proxy processes
        #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
        nodes: Vec<usize>,
        /// Requests per second of each process
        #[arg(long, default_value_t = 10.0)]
        rate: f64,
        /// Seeds per row
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Virtual hours of the run without faults, with 30 processes
        #[arg(long, default_value_t = 1.0)]
        hours: f64,
    },
    /// Valid credentials beside ten times as many invalid ones, and the memory of the sign-in cache
    Flood {
        /// Seconds per row
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
    },
    /// Orders with the journal off, `written` and `synced`; sync rate; recovery of a large journal
    Journal {
        /// Turns of half a second per figure
        #[arg(long, default_value_t = 9)]
        turns: usize,
        /// Seconds per figure of the journal alone
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Number of orders to recover
        #[arg(long, default_value_t = 1_000_000)]
        orders: u32,
        /// Folder on the disk under test
        #[arg(long, default_value = ".")]
        folder: std::path::PathBuf,
    },
    /// Opens a journal and prints the recovery time (run by `journal`)
    #[command(hide = true)]
    OpenJournal {
        /// Folder of the journal
        folder: std::path::PathBuf,
    },
    /// Sends closed-loop load to one address, for use with a profiler
    Load {
        /// Address to send requests to
        address: SocketAddr,
        /// Path to request
        #[arg(long, default_value = "/app")]
        path: String,
        /// Number of connections
        #[arg(long, default_value_t = 16)]
        connections: usize,
        /// Duration in seconds
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
    },
    /// Runs the pass-through proxy (run by the other commands)
    #[command(hide = true)]
    PassThrough {
        /// Address that requests are forwarded to
        upstream: SocketAddr,
    },
    /// Runs the test application (run by the other commands)
    #[command(hide = true)]
    Application {
        /// Processing time of each request, one at a time, in microseconds
        #[arg(long, default_value_t = 0)]
        work_us: u64,
    },
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Proxy { turns } => proxy::measure(turns),
        Command::Routes => routes::measure(),
        Command::Isolation { seconds } => isolation::measure(seconds),
        Command::Bodies { mib } => bodies::measure(&mib),
        Command::Config => config::measure(),
        Command::SignIn { turns } => sign_in::measure(turns),
        Command::Domains { nodes, rate, seeds, hours } => domains::measure(&nodes, rate, seeds, hours),
        Command::Flood { seconds } => flood::measure(seconds),
        Command::Journal { turns, seconds, orders, folder } => {
            journal::measure(turns, seconds, orders, &folder)
        }
        Command::OpenJournal { folder } => journal::open(&folder),
        Command::Load { address, path, connections, seconds } => {
            load::closed_loop(address, &path, connections, seconds).map(|mut results| {
                let (p50, others) = (results.percentile(50.0), results.others + results.broken);
                println!(
                    "{} good, {others} other, {:.0} a second, p50 {p50:.3} ms",
                    results.latencies_us.len(),
                    results.rate()
                );
            })
        }
        Command::PassThrough { upstream } => pass_through::run(upstream),
        Command::Application { work_us } => application::run(Duration::from_micros(work_us)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivygate-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
