//! Parses the sidecar's configuration into a checked model.
//!
//! The command line and the sidecar use this crate. It performs no I/O: the caller passes in the text, and a
//! [`Loader`] supplies included files. Other crates see only the plain data of [`Model`].

mod check;
mod codes;
mod consistency;
mod diagnostic;
mod expand;
mod fields;
mod model;
mod plausibility;
mod syntax;
mod units;

pub use check::{RESERVED_DESCRIPTORS, SAFE_METHODS};
pub use codes::{Code, CODES};
pub use diagnostic::{Diagnostic, Position, Severity, Sources, Span};
pub use expand::{Loader, NoFiles};
pub use model::*;
pub use syntax::{parse, Block, Comment, Statement, Word};

/// Maximum number of findings in a report; later findings mostly follow from the first ones.
const MAX_SHOWN_FINDINGS: usize = 100;

/// Result of loading a configuration.
#[derive(Debug)]
pub struct LoadedConfig {
    /// Source files that were read.
    pub sources: Sources,
    /// Findings, sorted by file and position.
    pub findings: Vec<Diagnostic>,
    /// The checked configuration; `None` if there is an error.
    pub model: Option<Model>,
}

impl LoadedConfig {
    /// Renders the findings of at least the given severity as text for people.
    pub fn report(&self, least: Severity, colours: bool) -> String {
        let found: Vec<_> = self.findings.iter().filter(|f| f.severity >= least).cloned().collect();
        let shown = &found[..found.len().min(MAX_SHOWN_FINDINGS)];
        let mut report = self.sources.render(shown, colours);
        if found.len() > shown.len() {
            report += &format!("... and {} more findings\n\n", found.len() - shown.len());
        }
        report
    }

    /// Counts the findings of the given severity.
    pub fn count(&self, severity: Severity) -> usize {
        self.findings.iter().filter(|f| f.severity == severity).count()
    }
}

/// Codes that may be consequences of an earlier error: missing statements and names, and totals over the
/// statements that are present.
const CONSEQUENTIAL_CODES: [&str; 17] = [
    "IV0010", "IV0011", "IV0013", "IV0014", "IV0015", "IV0033", "IV0045", "IV0049", "IV0054", "IV0055",
    "IV0056", "IV0057", "IV0077", "IV0081", "IV0102", "IV0103", "IV0105",
];

/// Loads and checks a configuration that consists of one file.
pub fn load(name: &str, text: &str) -> LoadedConfig {
    load_with(name, text.as_bytes(), &NoFiles)
}

/// Loads and checks a configuration together with the files that it includes.
pub fn load_with(name: &str, bytes: &[u8], loader: &dyn Loader) -> LoadedConfig {
    let expand::Expanded { sources, root, findings, incomplete } = expand::expand(name, bytes, loader);
    let before = findings.len();
    let defined = check::variable_definitions(&root);
    let findings = std::cell::RefCell::new(findings);
    let model = check::check(&root, &findings).filter(|_| !incomplete);
    let mut findings = findings.into_inner();
    if incomplete {
        // Statements that could not be parsed are missing from the tree, and findings caused by their absence
        // are not actionable.
        let unknown =
            |f: &Diagnostic| sources.excerpt(f.at.0).starts_with('$') && !defined.contains_key(&f.at.0);
        let first = findings.split_off(before).into_iter();
        let first = first.filter(|f| !CONSEQUENTIAL_CODES.contains(&f.code) && !unknown(f));
        findings.extend(first);
    }
    findings.sort_by_key(|f| (f.at.0, std::cmp::Reverse(f.severity)));
    findings.dedup();
    for finding in &mut findings {
        if let Some(at) = defined.get(&finding.at.0) {
            finding.related.push((*at, "its value is defined here".to_owned()));
        }
    }
    LoadedConfig { sources, findings, model }
}
