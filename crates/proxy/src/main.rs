//! Program of the proxy, which reads arguments and settings and runs the service.

use argh::FromArgs;

/// Reverse proxy that forwards client requests to servers.
#[derive(FromArgs)]
struct Arguments {
    /// log at debug level
    #[argh(switch)]
    verbose: bool,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    ivygate_rpc::init_logging(arguments.verbose);
    ivygate_rpc::run_program(ivygate_proxy::run)
}
