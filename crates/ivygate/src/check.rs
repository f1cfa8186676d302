//! `ivygate check` and `ivygate explain`.

use crate::{OutputFormat, EXIT_USAGE};
use ivygate_config::Severity;
use std::path::Path;
use std::process::ExitCode;

/// Checks a configuration and prints the findings.
pub fn run(file: &Path, format: OutputFormat) -> ExitCode {
    let loaded = match format {
        OutputFormat::Text => crate::load(file),
        OutputFormat::Json => crate::load_without_report(file),
    };
    let loaded = match loaded {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    match (format, &loaded.model) {
        (OutputFormat::Json, _) => println!("{}", ivygate_tool::findings_as_json(&loaded)),
        (OutputFormat::Text, Some(model)) => println!(
            "{}: {} to {}, {}",
            file.display(),
            count_of(model.routes.len(), "route"),
            count_of(model.pools.len(), "pool"),
            count_of(loaded.count(Severity::Warning), "warning")
        ),
        (OutputFormat::Text, None) => {
            let errors = count_of(loaded.count(Severity::Error), "error");
            eprintln!("{}: {errors}; `ivygate explain CODE` has details", file.display());
        }
    }
    if loaded.model.is_some() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_USAGE)
    }
}

fn count_of(count: usize, noun: &str) -> String {
    format!("{count} {noun}{}", if count == 1 { "" } else { "s" })
}

/// Explains an error code, or all of them.
pub fn explain(code: Option<&str>) -> ExitCode {
    let Some(code) = code else {
        print!("{}", ivygate_tool::all_as_markdown());
        return ExitCode::SUCCESS;
    };
    match ivygate_tool::explain(code) {
        Some(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        None => {
            eprintln!("ivygate: there is no code `{code}`; `ivygate explain --all` lists them");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
