//! Adapter between gateways and the simulator's line protocol: reads batches of events from standard input and writes the resulting
//! actions of each batch to standard output.
//!
//! Used only by the program `ivygate-adapter`. It hosts many gateways, makes no decisions and uses no network.

mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// Processes batches until standard input ends.
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
