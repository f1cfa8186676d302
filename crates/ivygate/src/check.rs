//! `ivygate check` and `ivygate explain`.

use crate::{Form, MISUSED};
use ivygate_config::Severity;
use std::path::Path;
use std::process::ExitCode;

/// Checks a configuration.
pub fn run(file: &Path, form: Form) -> ExitCode {
    let loaded = match form {
        Form::Text => crate::load(file),
        Form::Json => crate::load_quietly(file),
    };
    let loaded = match loaded {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    match (form, &loaded.model) {
        (Form::Json, _) => println!("{}", ivygate_tool::findings_as_json(&loaded)),
        (Form::Text, Some(model)) => println!(
            "{}: {} to {}, {}",
            file.display(),
            number(model.routes.len(), "route"),
            number(model.pools.len(), "pool"),
            number(loaded.count(Severity::Warning), "warning")
        ),
        (Form::Text, None) => {
            let errors = loaded.count(Severity::Error);
            let errors = number(errors, "error");
            eprintln!("{}: {errors}; `ivygate explain CODE` says more", file.display());
        }
    }
    if loaded.model.is_some() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(MISUSED)
    }
}

fn number(count: usize, what: &str) -> String {
    format!("{count} {what}{}", if count == 1 { "" } else { "s" })
}

/// Explains a code, or all of them.
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
            ExitCode::from(MISUSED)
        }
    }
}
