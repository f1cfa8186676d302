//! `ivygate fmt`: formats configuration files.

use crate::EXIT_USAGE;
use similar::TextDiff;
use std::fs;
use std::io::{self, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Formats files in place, or reports what would change.
pub fn run(files: &[PathBuf], check: bool, diff: bool) -> ExitCode {
    let (mut changed, mut unreadable, mut failed) = (false, false, false);
    for file in files {
        let (before, after) = match formatted(file) {
            Ok(texts) => texts,
            Err(message) => {
                eprintln!("{message}");
                unreadable = true;
                continue;
            }
        };
        let differs = before != after;
        changed |= differs;
        if diff && differs {
            let name = file.display().to_string();
            let diff = TextDiff::from_lines(&before, &after);
            print!("{}", diff.unified_diff().header(&name, &format!("{name} (formatted)")));
        } else if check && differs {
            println!("{}: would change", file.display());
        }
        if check || diff {
            continue;
        }
        let written = match file == Path::new("-") {
            true => io::stdout().write_all(after.as_bytes()),
            false if differs => replace_file(file, &after),
            false => Ok(()),
        };
        if let Err(error) = written {
            eprintln!("ivygate: cannot write {}: {error}", file.display());
            failed = true;
        }
    }
    if unreadable {
        ExitCode::from(EXIT_USAGE)
    } else if failed || (check && changed) {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

/// Returns the text of a file before and after formatting.
fn formatted(file: &Path) -> Result<(String, String), String> {
    let bytes = ivygate_files::read(file).map_err(|error| format!("ivygate: {error}"))?;
    let name = file.display().to_string();
    let text = String::from_utf8(bytes).map_err(|_| format!("ivygate: {name} is not UTF-8"))?;
    match ivygate_tool::format(&name, &text) {
        Ok(after) => Ok((text, after)),
        Err(error) => {
            Err(error.sources.render(&error.findings, io::stderr().is_terminal()).trim_end().to_owned())
        }
    }
}

/// Replaces the text of a file atomically: readers see either the old or the new text, also after a power cut.
pub fn replace_file(file: &Path, text: &str) -> io::Result<()> {
    // A symbolic link is kept; its target is replaced.
    let file = file.canonicalize().unwrap_or_else(|_| file.to_owned());
    let name = file.file_name().unwrap_or_default().to_string_lossy().into_owned();
    let temporary = file.with_file_name(format!(".{name}.{}.tmp", std::process::id()));
    let written = (|| {
        let mut new = fs::File::create_new(&temporary)?;
        if let Ok(old) = fs::metadata(&file) {
            new.set_permissions(old.permissions())?;
        }
        new.write_all(text.as_bytes())?;
        new.sync_all()?;
        fs::rename(&temporary, &file)
    })();
    if written.is_err() {
        // A failure to remove the temporary file does not matter: the original error is reported.
        let _ = fs::remove_file(&temporary);
    }
    written
}
