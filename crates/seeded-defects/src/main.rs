//! The edge node with one seeded defect, which the oracles of the fault injection must detect. `IVYGATE_DEFECT` names
//! the defect; without a name, the program behaves like the real edge node.
//!
//! Started by tests of the fault injection and by `ivygate-fleet run --program`. It must never be shipped or used by
//! any other package: the shipped program can't contain a defect because it does not depend on this package.

mod defects;
mod relay;

use defects::{Defect, DefectiveGateway};
use relay::Tampering;
use std::process::ExitCode;

/// Exit code for an unknown defect or an invalid configuration.
const EXIT_INVALID_ARGUMENT: u8 = 2;

fn main() -> ExitCode {
    let name = std::env::var("IVYGATE_DEFECT").unwrap_or_default();
    let Some(defect) = Defect::named(&name) else {
        let names: Vec<_> = Defect::all().map(|(name, _)| name).collect();
        eprintln!("ivygate-planted: unknown defect '{name}', expected one of {}", names.join(", "));
        return ExitCode::from(EXIT_INVALID_ARGUMENT);
    };
    let tampering = match defect {
        Some(Defect::AnswerTwice) => Some(Tampering::DuplicateResponses),
        Some(Defect::AnswerLost) => Some(Tampering::DropResponses),
        Some(Defect::DrainIgnored) => Some(Tampering::ReportReady),
        _ => None,
    };
    if let Some(tampering) = tampering {
        if let Err(error) = relay::start(tampering) {
            eprintln!("ivygate-planted: {error}");
            return ExitCode::from(EXIT_INVALID_ARGUMENT);
        }
    }
    match ivygate_node::run_with(|settings, seed| DefectiveGateway::new(defect, settings, seed)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ivygate-planted: {error}");
            ExitCode::FAILURE
        }
    }
}
