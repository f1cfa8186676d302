//! `ivygate diff`: compares the behaviour of two configurations.

use crate::{OutputFormat, EXIT_USAGE};
use ivygate_tool::{Difference, DifferenceSide};
use std::path::Path;
use std::process::ExitCode;

/// Compares two configurations and prints the differences.
pub fn run(old: &Path, new: &Path, format: OutputFormat) -> ExitCode {
    let (old, new) = match (crate::load_without_report(old), crate::load_without_report(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(code), _) | (_, Err(code)) => return code,
    };
    for loaded in [&old, &new] {
        if loaded.model.is_none() {
            eprint!("{}", crate::render_report(loaded, ivygate_config::Severity::Error));
        }
    }
    if old.model.is_none() || new.model.is_none() {
        return ExitCode::from(EXIT_USAGE);
    }
    let Ok(differences) = ivygate_tool::compare(&old, &new) else {
        eprintln!("ivygate: the route tables partition requests into too many regions to compare");
        return ExitCode::from(EXIT_USAGE);
    };
    match format {
        OutputFormat::Json => match serde_json::to_string_pretty(&differences) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("ivygate: {error}"),
        },
        OutputFormat::Text => {
            for difference in &differences {
                print!("{}", describe(difference));
            }
            let risky = differences.iter().filter(|d| d.risk.is_some()).count();
            match differences.len() {
                0 => println!("no difference in behaviour"),
                count => println!("{count} differences, {risky} of them risky"),
            }
        }
    }
    if differences.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn describe(difference: &Difference) -> String {
    let mark = if difference.risk.is_some() { "!" } else { " " };
    let mut text = format!("{mark} {}: {}\n", difference.subject, difference.change);
    let side = |sign: &str, side: &DifferenceSide| format!("    {sign} {} ({})\n", side.value, side.position);
    text += &difference.old.as_ref().map_or(String::new(), |old| side("-", old));
    text += &difference.new.as_ref().map_or(String::new(), |new| side("+", new));
    text +=
        &difference.example.as_ref().map_or(String::new(), |example| format!("    for example {example}\n"));
    text += &difference.risk.as_ref().map_or(String::new(), |risk| format!("    risk: {risk}\n"));
    text
}
