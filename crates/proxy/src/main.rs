//! The program of the proxy. It reads arguments and settings.

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
    ivygate_rpc::start_logs("waymark", arguments.verbose);
    ivygate_rpc::run_program(ivygate_proxy::run)
}
