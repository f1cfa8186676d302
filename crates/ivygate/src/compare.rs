//! `ivygate diff`: what a new configuration does differently.

use crate::{Form, MISUSED};
use ivygate_tool::{Difference, DifferenceSide};
use std::path::Path;
use std::process::ExitCode;

/// Compares two configurations and prints what differs.
pub fn run(old: &Path, new: &Path, form: Form) -> ExitCode {
    let (old, new) = match (crate::load_quietly(old), crate::load_quietly(new)) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(code), _) | (_, Err(code)) => return code,
    };
    for loaded in [&old, &new] {
        if loaded.model.is_none() {
            eprint!("{}", crate::worded(loaded, ivygate_config::Severity::Error));
        }
    }
    if old.model.is_none() || new.model.is_none() {
        return ExitCode::from(MISUSED);
    }
    let Ok(differences) = ivygate_tool::compare(&old, &new) else {
        eprintln!("ivygate: these route tables have too many regions of requests to compare them all");
        return ExitCode::from(MISUSED);
    };
    match form {
        Form::Json => match serde_json::to_string_pretty(&differences) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("ivygate: {error}"),
        },
        Form::Text => {
            for difference in &differences {
                print!("{}", words(difference));
            }
            let risky = differences.iter().filter(|d| d.risk.is_some()).count();
            match differences.len() {
                0 => println!("no difference in what they do"),
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

fn words(difference: &Difference) -> String {
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
