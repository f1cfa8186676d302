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
    /// Works, and is worth knowing.
    Note,
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
    pub related: Vec<(Span, String)>,
    /// What to write instead.
    pub help: Vec<String>,
}

impl Diagnostic {
    /// An error at a place.
    pub fn error(code: &'static str, message: impl Into<String>, at: Span, label: impl Into<String>) -> Self {
        let (message, at) = (truncated(message), (at, truncated(label)));
        Self { severity: Severity::Error, code, message, at, related: Vec::new(), help: Vec::new() }
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

    /// A note at a place.
    pub fn note(code: &'static str, message: impl Into<String>, at: Span, label: impl Into<String>) -> Self {
        Self { severity: Severity::Note, ..Self::error(code, message, at, label) }
    }

    /// Says what to write instead.
    #[must_use]
    pub fn help(mut self, text: impl Into<String>) -> Self {
        self.help.push(truncated(text));
        self
    }

    /// Names another place that has to do with it.
    #[must_use]
    pub fn related(mut self, at: Span, label: impl Into<String>) -> Self {
        self.related.push((at, truncated(label)));
        self
    }
}

/// Most characters of a message; what it quotes may be of any length.
const MAX_MESSAGE_CHARS: usize = 400;

fn truncated(text: impl Into<String>) -> String {
    let mut text = text.into();
    if let Some((at, _)) = text.char_indices().nth(MAX_MESSAGE_CHARS) {
        text.truncate(at);
        text.push_str("...");
    }
    text
}

/// The files that were read: names and texts.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    files: Vec<Source>,
}

#[derive(Clone, Debug)]
struct Source {
    name: String,
    text: String,
    /// Where its lines begin.
    lines: Vec<usize>,
}

impl Sources {
    /// Adds a file and gives its number.
    pub fn add(&mut self, name: impl Into<String>, text: impl Into<String>) -> u32 {
        let text = text.into();
        let lines = std::iter::once(0).chain(text.match_indices('\n').map(|(n, _)| n + 1)).collect();
        self.files.push(Source { name: name.into(), text, lines });
        self.files.len() as u32 - 1
    }

    /// A file's text.
    pub fn text(&self, file: u32) -> &str {
        self.files.get(file as usize).map_or("", |source| &source.text)
    }

    /// The files' names.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.files.iter().map(|source| source.name.as_str())
    }

    /// The text of a place.
    pub fn excerpt(&self, span: Span) -> &str {
        self.text(span.file).get(span.start..span.end).unwrap_or("")
    }

    /// File, line and column of a place, as editors count them.
    pub fn position(&self, span: Span) -> Position<'_> {
        let Some(source) = self.files.get(span.file as usize) else {
            return Position { file: "", line: 0, column: 0 };
        };
        let start = span.start.min(source.text.len());
        let line = source.lines.partition_point(|begin| *begin <= start);
        let begin = source.lines[line - 1];
        Position { file: &source.name, line, column: source.text[begin..start].chars().count() + 1 }
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
        // Lines that no terminal shows would be looked through letter by letter: only what is near is handed on.
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

/// A text longer than this is shown in part.
const MAX_EXCERPT_BYTES: usize = 4096;

fn range(span: Span, from: usize) -> std::ops::Range<usize> {
    // What is annotated need not be shown to its end.
    let end = span.end.min(span.start + MAX_EXCERPT_BYTES);
    span.start.saturating_sub(from)..end.saturating_sub(from)
}
/// A place as editors name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position<'a> {
    /// The file's name.
    pub file: &'a str,
    /// From 1.
    pub line: usize,
    /// In characters, from 1.
    pub column: usize,
}

impl fmt::Display for Position<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}
