//! The platform's edge node with one defect put in on purpose: what a judge of fleets must find. `IVYGATE_DEFECT` names
//! it; without a name the program is the edge node.
//!
//! Started by tests of the rig and by `ivygate-fleet run --program`. It must never be shipped, nor be used by any other
//! package: the shipped program can't hold a defect because it does not know this one.

mod defects;
mod relay;

use defects::{Defect, Planted};
use relay::Tampering;
use std::process::ExitCode;

/// For a defect or a configuration that can't be used.
const MISUSED: u8 = 2;

fn main() -> ExitCode {
    let name = std::env::var("IVYGATE_DEFECT").unwrap_or_default();
    let Some(defect) = Defect::named(&name) else {
        let names: Vec<_> = Defect::all().map(|(name, _)| name).collect();
        eprintln!("ivygate-planted: '{name}' is none of {}", names.join(", "));
        return ExitCode::from(MISUSED);
    };
    let tampering = match defect {
        Some(Defect::AnswerTwice) => Some(Tampering::Twice),
        Some(Defect::AnswerLost) => Some(Tampering::Lost),
        Some(Defect::DrainIgnored) => Some(Tampering::Ready),
        _ => None,
    };
    if let Some(tampering) = tampering {
        if let Err(error) = relay::between(tampering) {
            eprintln!("ivygate-planted: {error}");
            return ExitCode::from(MISUSED);
        }
    }
    match ivygate_node::run_with(|settings, seed| Planted::new(defect, settings, seed)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivygate-planted: {error}");
            ExitCode::FAILURE
        }
    }
}
