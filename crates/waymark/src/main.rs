//! The program of the proxy. It reads arguments and settings.

use argh::FromArgs;
use footbridge::{Boot, Fault, Kind};

/// Carries the requests of clients to servers.
#[derive(FromArgs)]
struct Arguments {
    /// log details too
    #[argh(switch)]
    verbose: bool,
}

fn main() -> miette::Result<()> {
    let arguments: Arguments = argh::from_env();
    footbridge::start_logs("waymark", arguments.verbose);
    let boot = match Boot::load() {
        Ok(boot) => boot,
        Err(fault) => {
            eprintln!("{:?}", miette::Report::new(fault));
            std::process::exit(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Fault::new(Kind::Setting, e.to_string()))?;
    tokio::task::LocalSet::new().block_on(&runtime, waymark::run(boot))?;
    Ok(())
}
