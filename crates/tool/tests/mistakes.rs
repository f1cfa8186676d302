//! Tests that each seeded mistake is reported on its line with its code and nothing else is, and that unusual
//! but valid files pass. The tables in the reference are generated from these files.

use ivygate_config::{load, Severity};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

fn files(kind: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/files").join(kind);
    let mut files: Vec<_> = fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    files
}

fn name(file: &Path) -> String {
    file.file_name().unwrap().to_string_lossy().into_owned()
}

/// Returns the comment on the first line.
fn title(text: &str) -> &str {
    text.lines().next().unwrap().trim_start_matches("# ")
}

/// Returns the findings that comments in the file announce: line, code, and a part of the message.
fn expected(text: &str) -> Vec<(usize, String, String)> {
    let mut all = Vec::new();
    for (number, line) in text.lines().enumerate() {
        for mark in line.split("# <- ").skip(1) {
            let (code, fragment) = mark.trim().split_once(' ').unwrap();
            all.push((number + 1, code.to_owned(), fragment.to_owned()));
        }
    }
    all.sort();
    all
}

#[test]
fn seeded_mistakes_are_the_only_findings() {
    let mut wrong = String::new();
    let all = files("mistakes");
    assert!(all.len() >= 50);
    for file in &all {
        let text = fs::read_to_string(file).unwrap();
        let loaded = load(&name(file), &text);
        let mut found: Vec<_> = loaded
            .findings
            .iter()
            .filter(|f| f.severity >= Severity::Warning)
            .map(|f| (loaded.sources.position(f.at.0).line, f.code.to_owned(), f.message.clone()))
            .collect();
        found.sort();
        let wanted = expected(&text);
        let same = found.len() == wanted.len()
            && found.iter().zip(&wanted).all(|(f, w)| f.0 == w.0 && f.1 == w.1 && f.2.contains(&w.2));
        if !same {
            let _ = writeln!(wrong, "{}:\n  wanted {wanted:?}\n  found  {found:?}", name(file));
        }
        let errors = wanted.iter().any(|(_, code, _)| code.starts_with("IV00"));
        assert_eq!(loaded.model.is_none(), errors, "{}", name(file));
    }
    assert!(wrong.is_empty(), "{wrong}");
}

#[test]
fn each_finding_has_a_help_text_or_a_related_position() {
    for file in files("mistakes") {
        let loaded = load(&name(&file), &fs::read_to_string(&file).unwrap());
        for finding in &loaded.findings {
            let says = !finding.help.is_empty() || !finding.related.is_empty();
            assert!(
                says || finding.code == "IV0001" || finding.code == "IV0014",
                "{}: {finding:?}",
                name(&file)
            );
        }
    }
}

#[test]
fn unusual_valid_files_have_no_warnings() {
    let all = files("good");
    assert!(all.len() >= 50);
    for file in &all {
        let loaded = load(&name(file), &fs::read_to_string(file).unwrap());
        let report = loaded.report(Severity::Warning, false);
        assert!(loaded.model.is_some() && report.is_empty(), "{report}");
    }
}

fn table() -> String {
    let mut page = String::from(
        "# Mistakes that are found, and files that only look like them\n\nMade from `crates/tool/tests/files` by \
         `IVYGATE_BLESS=1 cargo test -p ivygate-tool --test mistakes`; a test holds this page to them.\n\n\
         ## Mistakes\n\n| file | what | line | code | message |\n| --- | --- | --- | --- | --- |\n",
    );
    for file in files("mistakes") {
        let text = fs::read_to_string(&file).unwrap();
        let loaded = load(&name(&file), &text);
        for finding in loaded.findings.iter().filter(|f| f.severity >= Severity::Warning) {
            let line = loaded.sources.position(finding.at.0).line;
            let name = name(&file).replace(".conf", "");
            let _ = writeln!(
                page,
                "| {name} | {} | {line} | {} | {} |",
                title(&text),
                finding.code,
                finding.message
            );
        }
    }
    page += "\n## Good files\n\n| file | what |\n| --- | --- |\n";
    for file in files("good") {
        let text = fs::read_to_string(&file).unwrap();
        let _ = writeln!(page, "| {} | {} |", name(&file).replace(".conf", ""), title(&text));
    }
    page
}

/// Compares a reference page with its generated text; writes the page instead if `IVYGATE_BLESS` is set.
fn assert_page_is_up_to_date(page: &str, made: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/reference").join(page);
    if std::env::var_os("IVYGATE_BLESS").is_some() {
        fs::write(&path, made).unwrap();
    }
    assert!(fs::read_to_string(&path).unwrap_or_default() == made, "{page} is not up to date; see its head");
}

#[test]
fn mistakes_page_is_up_to_date() {
    assert_page_is_up_to_date("mistakes.md", &table());
}

#[test]
fn codes_page_is_up_to_date() {
    assert_page_is_up_to_date("codes.md", &ivygate_tool::all_as_markdown());
}

/// Returns all files in a directory and its subdirectories.
fn files_below(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(files_below(&path));
        } else {
            files.push(path);
        }
    }
    files
}

#[test]
fn catalogue_contains_exactly_the_used_codes() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../config/src");
    let codes = |text: &str| -> Vec<String> {
        text.match_indices("\"IV0").map(|(at, _)| text[at + 1..at + 7].to_owned()).collect()
    };
    let mut used: Vec<String> = Vec::new();
    for path in files_below(&source) {
        if name(&path) != "codes.rs" {
            used.extend(codes(&fs::read_to_string(path).unwrap()));
        }
    }
    used.sort();
    used.dedup();
    let known: Vec<String> = ivygate_config::CODES.iter().map(|c| c.code.to_owned()).collect();
    assert_eq!(used, known);
    assert!(used.iter().all(|code| ivygate_tool::explain(code).is_some()));
}
