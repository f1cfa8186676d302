//! Program of the registry, which also provides the operators' commands.

use argh::FromArgs;
use ivygate_registry::Command;

/// Registry of nodes and servers, and operators' commands. Without a command it runs the registry with the settings file
/// given by IVYGATE_CONFIG.
#[derive(FromArgs)]
struct Arguments {
    /// log at debug level
    #[argh(switch)]
    verbose: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    ivygate_rpc::init_logging(arguments.verbose);
    match arguments.command {
        Some(command) => ivygate_registry::run_command(command),
        None => ivygate_rpc::run_program(ivygate_registry::run),
    }
}
