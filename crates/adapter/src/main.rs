//! Hosts many gateways on the simulator's wire: batches of events on standard input, a reply of
//! actions for each on standard output.

mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
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
