//! The sidecar's configuration: text to a checked model.
//!
//! Called by the command line and the sidecar. It does no I/O: texts are handed in. All other packages see the
//! plain data of [`Model`] only.

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

/// Most findings that a report shows; the first mistakes explain the others.
const MAX_SHOWN_FINDINGS: usize = 100;

/// What came of reading a configuration.
#[derive(Debug)]
pub struct LoadedConfig {
    /// The files that were read.
    pub sources: Sources,
    /// All that was found, by file and place.
    pub findings: Vec<Diagnostic>,
    /// The configuration, unless there is an error.
    pub model: Option<Model>,
}

impl LoadedConfig {
    /// The findings that are at least this bad, as people read them.
    pub fn report(&self, least: Severity, colours: bool) -> String {
        let found: Vec<_> = self.findings.iter().filter(|f| f.severity >= least).cloned().collect();
        let shown = &found[..found.len().min(MAX_SHOWN_FINDINGS)];
        let mut report = self.sources.render(shown, colours);
        if found.len() > shown.len() {
            report += &format!("... and {} more findings\n\n", found.len() - shown.len());
        }
        report
    }

    /// How many findings are this bad.
    pub fn count(&self, severity: Severity) -> usize {
        self.findings.iter().filter(|f| f.severity == severity).count()
    }
}

/// What may follow from a mistake of another kind: missing statements and names, and sums over what is there.
const CONSEQUENTIAL_CODES: [&str; 17] = [
    "IV0010", "IV0011", "IV0013", "IV0014", "IV0015", "IV0033", "IV0045", "IV0049", "IV0054", "IV0055",
    "IV0056", "IV0057", "IV0077", "IV0081", "IV0102", "IV0103", "IV0105",
];

/// Reads and checks a configuration of one file.
pub fn load(name: &str, text: &str) -> LoadedConfig {
    load_with(name, text.as_bytes(), &NoFiles)
}

/// Reads and checks a configuration, with the files that it includes.
pub fn load_with(name: &str, bytes: &[u8], loader: &dyn Loader) -> LoadedConfig {
    let expand::Expanded { sources, root, findings, incomplete } = expand::expand(name, bytes, loader);
    let before = findings.len();
    let defined = check::variable_definitions(&root);
    let findings = std::cell::RefCell::new(findings);
    let model = check::check(&root, &findings).filter(|_| !incomplete);
    let mut findings = findings.into_inner();
    if incomplete {
        // Statements that could not be read are missing below; no one can act on what follows from that.
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
