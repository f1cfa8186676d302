//! Diagnostics with source positions and suggestions, and their rendering.

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use std::fmt;

/// Byte range in a source file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Span {
    /// Index of the file in its [`Sources`].
    pub file: u32,
    /// Offset of the first byte.
    pub start: usize,
    /// Offset after the last byte.
    pub end: usize,
}

/// Severity of a diagnostic, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The configuration works; the information is useful to know.
    Note,
    /// The configuration works but is probably not what was intended.
    Warning,
    /// The configuration cannot be used.
    Error,
}

/// A finding at a position of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Severity of a diagnostic, in ascending order.
    pub severity: Severity,
    /// Stable code, such as `IV0021`.
    pub code: &'static str,
    /// Description of the problem.
    pub message: String,
    /// Primary position and its label.
    pub at: (Span, String),
    /// Related positions and their labels.
    pub related: Vec<(Span, String)>,
    /// Suggested corrections.
    pub help: Vec<String>,
}

impl Diagnostic {
    /// Creates an error.
    pub fn error(code: &'static str, message: impl Into<String>, at: Span, label: impl Into<String>) -> Self {
        let (message, at) = (truncated(message), (at, truncated(label)));
        Self { severity: Severity::Error, code, message, at, related: Vec::new(), help: Vec::new() }
    }

    /// Creates a warning.
    pub fn warning(
        code: &'static str,
        message: impl Into<String>,
        at: Span,
        label: impl Into<String>,
    ) -> Self {
        Self { severity: Severity::Warning, ..Self::error(code, message, at, label) }
    }

    /// Creates a note.
    pub fn note(code: &'static str, message: impl Into<String>, at: Span, label: impl Into<String>) -> Self {
        Self { severity: Severity::Note, ..Self::error(code, message, at, label) }
    }

    /// Adds a suggested correction.
    #[must_use]
    pub fn help(mut self, text: impl Into<String>) -> Self {
        self.help.push(truncated(text));
        self
    }

    /// Adds a related position.
    #[must_use]
    pub fn related(mut self, at: Span, label: impl Into<String>) -> Self {
        self.related.push((at, truncated(label)));
        self
    }
}

/// Maximum length of a message in characters; messages quote text of arbitrary length.
const MAX_MESSAGE_CHARS: usize = 400;

fn truncated(text: impl Into<String>) -> String {
    let mut text = text.into();
    if let Some((at, _)) = text.char_indices().nth(MAX_MESSAGE_CHARS) {
        text.truncate(at);
        text.push_str("...");
    }
    text
}

/// Source files by index: names and texts.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    files: Vec<Source>,
}

#[derive(Clone, Debug)]
struct Source {
    name: String,
    text: String,
    /// Byte offsets of the line starts.
    lines: Vec<usize>,
}

impl Sources {
    /// Adds a file and returns its index.
    pub fn add(&mut self, name: impl Into<String>, text: impl Into<String>) -> u32 {
        let text = text.into();
        let lines = std::iter::once(0).chain(text.match_indices('\n').map(|(n, _)| n + 1)).collect();
        self.files.push(Source { name: name.into(), text, lines });
        self.files.len() as u32 - 1
    }

    /// Returns the text of a file; empty if the index is unknown.
    pub fn text(&self, file: u32) -> &str {
        self.files.get(file as usize).map_or("", |source| &source.text)
    }

    /// Iterates over the file names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.files.iter().map(|source| source.name.as_str())
    }

    /// Returns the text in a span; empty if the span lies outside the file.
    pub fn excerpt(&self, span: Span) -> &str {
        self.text(span.file).get(span.start..span.end).unwrap_or("")
    }

    /// Returns the file, line and column at which a span begins, counted as editors do.
    pub fn position(&self, span: Span) -> Position<'_> {
        let Some(source) = self.files.get(span.file as usize) else {
            return Position { file: "", line: 0, column: 0 };
        };
        let start = span.start.min(source.text.len());
        let line = source.lines.partition_point(|begin| *begin <= start);
        let begin = source.lines[line - 1];
        Position { file: &source.name, line, column: source.text[begin..start].chars().count() + 1 }
    }

    /// Renders findings as text for people, with terminal colours if requested.
    pub fn render(&self, findings: &[Diagnostic], colours: bool) -> String {
        let renderer = if colours { Renderer::styled() } else { Renderer::plain() };
        findings.iter().map(|finding| self.render_one(&renderer, finding) + "\n\n").collect()
    }

    fn render_one(&self, renderer: &Renderer, finding: &Diagnostic) -> String {
        let level = match finding.severity {
            Severity::Error => Level::ERROR,
            Severity::Warning => Level::WARNING,
            Severity::Note => Level::NOTE,
        };
        let (snippet, from) = self.snippet(finding.at.0);
        let shown = snippet
            .annotation(AnnotationKind::Primary.span(range(finding.at.0, from)).label(finding.at.1.as_str()));
        let long = self.text(finding.at.0.file).len() > MAX_EXCERPT_BYTES;
        let here = |span: &Span| span.file == finding.at.0.file && !long;
        let near = finding.related.iter().filter(|(span, _)| here(span));
        let near =
            near.map(|(span, label)| AnnotationKind::Context.span(range(*span, from)).label(label.as_str()));
        let mut group =
            level.primary_title(finding.message.as_str()).id(finding.code).element(shown.annotations(near));
        for (span, label) in finding.related.iter().filter(|(span, _)| !here(span)) {
            let (snippet, from) = self.snippet(*span);
            let annotation = AnnotationKind::Context.span(range(*span, from)).label(label.as_str());
            group = group.element(snippet.annotation(annotation));
        }
        for help in &finding.help {
            group = group.element(Level::HELP.message(help.as_str()));
        }
        renderer.render(&[group])
    }

    fn snippet<'a, T: Clone>(&'a self, span: Span) -> (Snippet<'a, T>, usize) {
        let Some(source) = self.files.get(span.file as usize) else { return (Snippet::source(""), 0) };
        // The renderer scans all of the text that it gets, which is slow for very long files and lines; only
        // the surroundings of the span are passed on.
        let place = self.position(span);
        let (mut from, mut to) = (0, source.text.len());
        if source.text.len() > MAX_EXCERPT_BYTES {
            let line = place.line - 1;
            from = source.lines[line.saturating_sub(2)].max(span.start.saturating_sub(MAX_EXCERPT_BYTES));
            to = source
                .lines
                .get(line + 3)
                .copied()
                .unwrap_or(to)
                .min(span.end.min(span.start + MAX_EXCERPT_BYTES) + MAX_EXCERPT_BYTES / 4);
            while !source.text.is_char_boundary(from) {
                from += 1;
            }
            while !source.text.is_char_boundary(to) {
                to -= 1;
            }
        }
        let first = source.lines.partition_point(|begin| *begin <= from);
        (Snippet::source(&source.text[from..to]).path(source.name.as_str()).line_start(first), from)
    }
}

/// Texts longer than this, in bytes, are shown in part.
const MAX_EXCERPT_BYTES: usize = 4096;

fn range(span: Span, from: usize) -> std::ops::Range<usize> {
    // A long annotated span may be cut.
    let end = span.end.min(span.start + MAX_EXCERPT_BYTES);
    span.start.saturating_sub(from)..end.saturating_sub(from)
}
/// Position in a file, displayed as `FILE:LINE:COLUMN`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position<'a> {
    /// File name.
    pub file: &'a str,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
}

impl fmt::Display for Position<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}
