//! The operators' commands: what they ask of a core machine, and how the answers read. They decide nothing that a core machine
//! does not.

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

/// The exit code for a mistake of the caller's.
const EXIT_MISTAKE: i32 = 2;
/// The exit code for all else that fails.
const EXIT_FAILURE: i32 = 1;

/// What an operator asks.
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
    /// address at which a core machine takes operators' calls; repeated, the next is asked when one can't answer
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// the update, in JSON: `upsert` and `remove`
    #[argh(positional)]
    file: String,
}

/// Prints the current configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "read")]
pub struct Read {
    /// address at which a core machine takes operators' calls
    #[argh(option)]
    at: Vec<SocketAddr>,
}

/// Tells what `apply` would change, item by item.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// address at which a core machine takes operators' calls
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// the update, in JSON
    #[argh(positional)]
    file: String,
}

/// Drains a zone: nothing more is sent to its servers. Or takes that back.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// address at which a core machine takes operators' calls
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// take it back
    #[argh(switch)]
    finish: bool,
    /// the zone
    #[argh(positional)]
    zone: String,
}

/// Lists the nodes as one core machine knows them, and the status of its store.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// address at which a core machine takes operators' calls
    #[argh(option)]
    at: Vec<SocketAddr>,
}

/// Tells where a request would go, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "where")]
pub struct Where {
    /// address at which a core machine takes operators' calls
    #[argh(option)]
    at: Vec<SocketAddr>,
    /// the API key that the client shows
    #[argh(option)]
    key: Option<String>,
    /// the host
    #[argh(positional)]
    host: String,
    /// the path
    #[argh(positional)]
    path: String,
}

fn read_file(path: &str) -> Result<Vec<u8>, RpcError> {
    std::fs::read(path).map_err(|error| RpcError::new(ErrorKind::Configuration, format!("{path}: {error}")))
}

/// Says in which file an error is.
fn in_file(path: &str) -> impl Fn(RpcError) -> RpcError + '_ {
    move |error| RpcError::new(error.kind, format!("{path}: {}", error.detail))
}

/// Carries out a command. A mistake of the caller's ends the process with 2, all else that fails with 1.
///
/// # Errors
/// If the command can't be started at all.
pub fn run_command(command: Command) -> miette::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| RpcError::new(ErrorKind::Configuration, error.to_string()))?;
    match tokio::task::LocalSet::new().block_on(&runtime, carry_out(command)) {
        Ok(text) => {
            println!("{text}");
            Ok(())
        }
        Err(error) => {
            let exit_code = if error.kind.is_retryable() { EXIT_FAILURE } else { EXIT_MISTAKE };
            eprintln!("{:?}", miette::Report::new(error));
            std::process::exit(exit_code);
        }
    }
}

async fn carry_out(command: Command) -> Result<String, RpcError> {
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
