//! The decisions on the simulator's wire: hosts many gateways, batches of events on standard input, a reply
//! of actions for each on standard output.
//!
//! Called by the program `ivygate-adapter` only. It must not decide anything, and knows no network.

mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// Serves until standard input ends.
pub fn main() -> ExitCode {
    let input = BufReader::with_capacity(1 << 20, io::stdin().lock());
    let output = BufWriter::with_capacity(1 << 20, io::stdout().lock());
    match wire::Host::default().run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivygate-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
