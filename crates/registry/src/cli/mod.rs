//! Operators' commands. They call a core machine and format its responses; all decisions are made by the core machine.

mod core_client;
mod diff;
mod explain_route;
mod status;

use argh::FromArgs;
use core_client::CoreClient;
use hyper::Method;
use ivygate_control_state::ConfigUpdate;
use ivygate_rpc::{ErrorKind, RpcError};
use std::net::SocketAddr;

/// Exit code for an error in the command or its input.
const EXIT_INVALID_INPUT: i32 = 2;
/// Exit code for a retryable failure.
const EXIT_FAILURE: i32 = 1;

/// Command of an operator.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Applies an update.
    Apply(Apply),
    /// Prints the configuration.
    Read(Read),
    /// Compares an update with the configuration.
    Diff(Diff),
    /// Drains a zone.
    Drain(Drain),
    /// Lists the nodes.
    Status(Status),
    /// Explains a route.
    Where(Where),
}

/// Applies an update of the configuration: all of its items, or none.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// address of a core machine for operator calls; if repeated, the next one is called when one cannot respond
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// JSON file with the update: `upsert` and `remove`
    #[argh(positional)]
    file: String,
}

/// Prints the current configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "read")]
pub struct Read {
    /// address of a core machine for operator calls
    #[argh(option)]
    at: Vec<SocketAddr>,
}

/// Shows what `apply` would change, item by item.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// address of a core machine for operator calls
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// JSON file with the update
    #[argh(positional)]
    file: String,
}

/// Drains a zone, so that no more requests are sent to its servers, or ends its drain.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// address of a core machine for operator calls
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// end the drain
    #[argh(switch)]
    finish: bool,
    /// zone to drain
    #[argh(positional)]
    zone: String,
}

/// Shows the nodes known to a core machine and the status of its store.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// address of a core machine for operator calls
    #[argh(option)]
    at: Vec<SocketAddr>,
}

/// Explains which route a request would take.
#[derive(FromArgs)]
#[argh(subcommand, name = "where")]
pub struct Where {
    /// address of a core machine for operator calls
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// API key of the client
    #[argh(option)]
    key: Option<String>,
    /// host of the request
    #[argh(positional)]
    host: String,
    /// path of the request
    #[argh(positional)]
    path: String,
}

fn read_file(path: &str) -> Result<Vec<u8>, RpcError> {
    std::fs::read(path).map_err(|error| RpcError::new(ErrorKind::Configuration, format!("{path}: {error}")))
}

/// Adds the path of a file to an error.
fn in_file(path: &str) -> impl Fn(RpcError) -> RpcError + '_ {
    move |error| RpcError::new(error.kind, format!("{path}: {}", error.detail))
}

/// Runs a command and prints its result.
///
/// A failure is printed and ends the process, with exit code 1 if the error is retryable and 2 otherwise.
///
/// # Errors
/// Returns an error if the runtime cannot be created.
pub fn run_command(command: Command) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| RpcError::new(ErrorKind::Configuration, error.to_string()))?;
    match tokio::task::LocalSet::new().block_on(&runtime, execute(command)) {
        Ok(text) => {
            println!("{text}");
            Ok(())
        }
        Err(error) => {
            let exit_code = if error.kind.is_retryable() { EXIT_FAILURE } else { EXIT_INVALID_INPUT };
            eprintln!("{:?}", miette::Report::new(error));
            std::process::exit(exit_code);
        }
    }
}

async fn execute(command: Command) -> Result<String, RpcError> {
    match command {
        Command::Apply(Apply { at, file }) => apply(&CoreClient::new(at), &file).await,
        Command::Read(Read { at }) => {
            let document = CoreClient::new(at).call(Method::GET, "/config/read", &[]).await?;
            serde_json::to_string_pretty(&document).map_err(|error| RpcError::malformed(&error))
        }
        Command::Diff(Diff { at, file }) => {
            let update = parse_update(&read_file(&file)?).map_err(in_file(&file))?;
            Ok(diff::describe(&CoreClient::new(at).items().await?, &update))
        }
        Command::Drain(Drain { at, finish, zone }) => drain(&CoreClient::new(at), &zone, finish).await,
        Command::Status(Status { at }) => {
            let core = CoreClient::new(at);
            let status = core.call(Method::GET, "/status", &[]).await?;
            Ok(status::describe(&status, &core.items().await?))
        }
        Command::Where(Where { at, key, host, path }) => {
            explain_route::describe(&CoreClient::new(at).items().await?, &host, &path, key.as_deref())
        }
    }
}

fn parse_update(body: &[u8]) -> Result<ConfigUpdate, RpcError> {
    Ok(ConfigUpdate::parse(body)?)
}

async fn apply(core: &CoreClient, file: &str) -> Result<String, RpcError> {
    let body = read_file(file)?;
    let items = parse_update(&body).map_err(in_file(file))?.items.len();
    core.call(Method::POST, "/config/amend", &body).await.map_err(in_file(file))?;
    Ok(format!("acknowledged: {items} items"))
}

async fn drain(core: &CoreClient, zone: &str, finish: bool) -> Result<String, RpcError> {
    let action = if finish { "finish" } else { "begin" };
    core.call(Method::POST, &format!("/drain/{zone}/{action}"), &[]).await?;
    Ok(if finish { format!("{zone} is no longer draining") } else { format!("{zone} is draining") })
}
