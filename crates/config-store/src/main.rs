//! The configuration store's program: parses the arguments, loads the settings and runs the service.

use argh::FromArgs;

/// Replicates the configuration with the other stores.
#[derive(FromArgs)]
struct Arguments {
    /// log debug details too
    #[argh(switch)]
    verbose: bool,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    ivygate_rpc::init_logging(arguments.verbose);
    ivygate_rpc::run_program(ivygate_config_store::run)
}
