//! The program of the configuration store: reads arguments and settings, and runs the service.

use argh::FromArgs;

/// Keeps the configuration together with the other stores.
#[derive(FromArgs)]
struct Arguments {
    /// log details too
    #[argh(switch)]
    verbose: bool,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    ivygate_rpc::init_logging(arguments.verbose);
    ivygate_rpc::run_program(ivygate_config_store::run)
}
