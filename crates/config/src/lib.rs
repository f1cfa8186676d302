//! The sidecar's configuration: text to a checked model.
//!
//! Called by the command line and the sidecar. It does no I/O: texts are handed in. All other packages see the
//! plain data of [`Model`] only.

mod check;
mod diagnostic;
mod fields;
mod model;
mod syntax;
mod units;

pub use check::{RESERVE, SAFE_METHODS};
pub use diagnostic::{Diagnostic, Place, Severity, Sources, Span};
pub use model::*;
pub use syntax::{parse, Block, Comment, Statement, Word};

/// What came of reading a configuration.
#[derive(Debug)]
pub struct Loaded {
    /// The files that were read.
    pub sources: Sources,
    /// All that was found, by file and place.
    pub findings: Vec<Diagnostic>,
    /// The configuration, unless there is an error.
    pub model: Option<Model>,
}

impl Loaded {
    /// The findings as people read them.
    pub fn report(&self, colours: bool) -> String {
        self.sources.render(&self.findings, colours)
    }
}

/// Reads and checks a configuration.
pub fn load(name: &str, text: &str) -> Loaded {
    let mut sources = Sources::default();
    let file = sources.add(name, text);
    let (root, errors) = parse(text, file);
    let broken = !errors.is_empty();
    let findings = std::cell::RefCell::new(errors);
    let model = check::check(&root, &findings).filter(|_| !broken);
    let mut findings = findings.into_inner();
    findings.sort_by_key(|f| (f.at.0, std::cmp::Reverse(f.severity)));
    findings.dedup();
    Loaded { sources, findings, model }
}
