//! The program of the registry, and the operators' commands.

use argh::FromArgs;
use ivygate_registry::Command;

/// Knows which nodes and servers there are, and takes the calls from outside. Without a command it serves by the
/// settings file that IVYGATE_CONFIG names.
#[derive(FromArgs)]
struct Arguments {
    /// log details too
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
