//! Mistakes, with their place, what is wrong and what to write instead.

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use std::fmt;

/// A piece of a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Span {
    /// The file's number in its [`Sources`].
    pub file: u32,
    /// Its first byte.
    pub start: usize,
    /// The byte behind its last.
    pub end: usize,
}

/// How bad it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Works, and is probably not meant.
    Warning,
    /// Cannot be used.
    Error,
}

/// One finding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// How bad it is.
    pub severity: Severity,
    /// A code that stays the same.
    pub code: &'static str,
    /// What is wrong.
    pub message: String,
    /// Where, and what is there.
    pub at: (Span, String),
    /// Other places that have to do with it.
    pub also: Vec<(Span, String)>,
    /// What to write instead.
    pub help: Vec<String>,
}

impl Diagnostic {
    /// An error at a place.
    pub fn error(code: &'static str, message: impl Into<String>, at: Span, label: impl Into<String>) -> Self {
        let (message, at) = (message.into(), (at, label.into()));
        Self { severity: Severity::Error, code, message, at, also: Vec::new(), help: Vec::new() }
    }

    /// A warning at a place.
    pub fn warning(
        code: &'static str,
        message: impl Into<String>,
        at: Span,
        label: impl Into<String>,
    ) -> Self {
        Self { severity: Severity::Warning, ..Self::error(code, message, at, label) }
    }

    /// Says what to write instead.
    #[must_use]
    pub fn help(mut self, text: impl Into<String>) -> Self {
        self.help.push(text.into());
        self
    }

    /// Names another place that has to do with it.
    #[must_use]
    pub fn also(mut self, at: Span, label: impl Into<String>) -> Self {
        self.also.push((at, label.into()));
        self
    }
}

/// The files that were read: names and texts.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    files: Vec<(String, String)>,
}

impl Sources {
    /// Adds a file and gives its number.
    pub fn add(&mut self, name: impl Into<String>, text: impl Into<String>) -> u32 {
        self.files.push((name.into(), text.into()));
        self.files.len() as u32 - 1
    }

    /// A file's text.
    pub fn text(&self, file: u32) -> &str {
        self.files.get(file as usize).map_or("", |(_, text)| text)
    }

    /// File, line and column of a place, as editors count them.
    pub fn place(&self, span: Span) -> Place<'_> {
        let Some((name, text)) = self.files.get(span.file as usize) else {
            return Place { file: "", line: 0, column: 0 };
        };
        let before = &text[..span.start.min(text.len())];
        let line_start = before.rfind('\n').map_or(0, |n| n + 1);
        let line = before.matches('\n').count() + 1;
        Place { file: name, line, column: before[line_start..].chars().count() + 1 }
    }

    /// Findings as people read them; with colours on a terminal.
    pub fn render(&self, findings: &[Diagnostic], colours: bool) -> String {
        let renderer = if colours { Renderer::styled() } else { Renderer::plain() };
        findings.iter().map(|finding| self.render_one(&renderer, finding) + "\n\n").collect()
    }

    fn render_one(&self, renderer: &Renderer, finding: &Diagnostic) -> String {
        let level = match finding.severity {
            Severity::Error => Level::ERROR,
            Severity::Warning => Level::WARNING,
        };
        let mut group = level.primary_title(finding.message.as_str()).id(finding.code).element(
            self.snippet(finding.at.0.file)
                .annotation(AnnotationKind::Primary.span(range(finding.at.0)).label(finding.at.1.as_str()))
                .annotations(
                    finding.also.iter().filter(|(span, _)| span.file == finding.at.0.file).map(
                        |(span, label)| AnnotationKind::Context.span(range(*span)).label(label.as_str()),
                    ),
                ),
        );
        for (span, label) in finding.also.iter().filter(|(span, _)| span.file != finding.at.0.file) {
            let annotation = AnnotationKind::Context.span(range(*span)).label(label.as_str());
            group = group.element(self.snippet(span.file).annotation(annotation));
        }
        for help in &finding.help {
            group = group.element(Level::HELP.message(help.as_str()));
        }
        renderer.render(&[group])
    }

    fn snippet<'a, T: Clone>(&'a self, file: u32) -> Snippet<'a, T> {
        let (name, text) = self.files.get(file as usize).map_or(("", ""), |(n, t)| (n, t));
        Snippet::source(text).path(name)
    }
}

fn range(span: Span) -> std::ops::Range<usize> {
    span.start..span.end
}

/// A place as editors name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place<'a> {
    /// The file's name.
    pub file: &'a str,
    /// From 1.
    pub line: usize,
    /// In characters, from 1.
    pub column: usize,
}

impl fmt::Display for Place<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}
