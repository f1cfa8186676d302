//! The command line. With no arguments and `RELAY_CONFIG` set it is the platform's edge node.

use std::process::ExitCode;

fn main() -> ExitCode {
    match ivygate_node::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivygate: {error}");
            ExitCode::FAILURE
        }
    }
}
