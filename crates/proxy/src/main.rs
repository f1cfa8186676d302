//! The program of the proxy: reads arguments and settings, and runs the service.

use argh::FromArgs;

/// Carries the requests of clients to servers.
#[derive(FromArgs)]
struct Arguments {
    /// log details too
    #[argh(switch)]
    verbose: bool,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    ivygate_rpc::init_logging(arguments.verbose);
    ivygate_rpc::run_program(ivygate_proxy::run)
}
