//! Formats configurations in the canonical layout.
//!
//! Comments are kept, runs of blank lines between statements become one, and a block written on one line
//! stays on one line if it fits. The rest of the layout depends on the statements only.

use ivygate_config::{parse, Block, Comment, Diagnostic, Sources, Statement, Word};
use std::fmt::Write;

/// Maximum length, in characters, of a line that holds a whole block.
const MAX_LINE_CHARS: usize = 100;

/// Error for a text that cannot be parsed and is therefore not formatted.
#[derive(Debug)]
pub struct FormatError {
    /// Source text, for rendering the findings.
    pub sources: Sources,
    /// Syntax errors.
    pub findings: Vec<Diagnostic>,
}

/// Formats a text.
///
/// # Errors
/// If the text has syntax errors, because formatting would drop the parts that cannot be parsed.
pub fn format(name: &str, text: &str) -> Result<String, FormatError> {
    let (root, findings) = parse(text, 0);
    let mut sources = Sources::default();
    sources.add(name, text);
    if !findings.is_empty() {
        return Err(FormatError { sources, findings });
    }
    let mut layout = Layout { lines: Lines::new(text), out: String::with_capacity(text.len()) };
    layout.block(&root, 0, None);
    Ok(layout.out)
}

/// Offsets of the line ends, for finding the line of an offset.
struct Lines(Vec<usize>);

impl Lines {
    fn new(text: &str) -> Self {
        Lines(text.match_indices('\n').map(|(at, _)| at).collect())
    }

    fn line_of(&self, offset: usize) -> usize {
        self.0.partition_point(|end| *end < offset)
    }
}

struct Layout {
    lines: Lines,
    out: String,
}

impl Layout {
    /// Writes the statements of a block, each on its own lines. `opened` is the offset at which the block
    /// opens.
    fn block(&mut self, block: &Block, depth: usize, opened: Option<usize>) {
        // Source offset at which the last written item ended, and true if that item was a statement.
        let mut before: Option<(usize, bool)> = opened.map(|at| (at, false));
        let mut first = true;
        for statement in &block.statements {
            let start = statement.words[0].span.start;
            for comment in &statement.comments {
                self.comment(comment, depth, &mut before, &mut first, start);
            }
            self.blank_line(before, start, first);
            first = false;
            self.statement(statement, depth);
            before = Some((statement.span.end - 1, true));
        }
        for comment in &block.trailing {
            self.comment(comment, depth, &mut before, &mut first, usize::MAX);
        }
    }

    /// Writes one blank line where the source has one or more.
    fn blank_line(&mut self, before: Option<(usize, bool)>, start: usize, first: bool) {
        let blank = before.is_some_and(|(end, _)| self.lines.line_of(start) > self.lines.line_of(end) + 1);
        if blank && !first {
            self.out.push('\n');
        }
    }

    /// Writes a comment: after the statement with which it shares a line, otherwise on its own line.
    /// `statement` is the offset at which the statement that it belongs to starts.
    fn comment(
        &mut self,
        comment: &Comment,
        depth: usize,
        before: &mut Option<(usize, bool)>,
        first: &mut bool,
        statement: usize,
    ) {
        let start = comment.span.start;
        match *before {
            Some((end, true)) if self.lines.line_of(end) == self.lines.line_of(start) => {
                self.out.pop();
                let _ = writeln!(self.out, " {}", comment.text);
            }
            _ => {
                // A comment from inside a statement is moved before it, so its position tells nothing about
                // blank lines.
                if start < statement {
                    self.blank_line(*before, start, *first);
                }
                self.indent(depth);
                let _ = writeln!(self.out, "{}", comment.text);
            }
        }
        *first = false;
        if start < statement {
            *before = Some((comment.span.end, false));
        }
    }

    fn indent(&mut self, depth: usize) {
        for _ in 0..depth {
            self.out.push_str("    ");
        }
    }

    fn statement(&mut self, statement: &Statement, depth: usize) {
        self.indent(depth);
        if self.lines.line_of(statement.words[0].span.start) == self.lines.line_of(statement.span.end - 1)
            || statement.block.as_ref().is_none_or(is_empty)
        {
            let mut line = String::new();
            if write_inline(statement, &mut line)
                && (statement.block.is_none() || 4 * depth + line.chars().count() <= MAX_LINE_CHARS)
            {
                self.out.push_str(&line);
                self.out.push('\n');
                return;
            }
        }
        write_words(&statement.words, &mut self.out);
        self.out.push_str(" {\n");
        if let Some(block) = &statement.block {
            self.block(block, depth + 1, statement.words.last().map(|word| word.span.end));
        }
        self.indent(depth);
        self.out.push_str("}\n");
    }
}

fn is_empty(block: &Block) -> bool {
    block.statements.is_empty() && block.trailing.is_empty()
}

/// Writes a statement on one line. Returns false if a comment in it prevents that.
fn write_inline(statement: &Statement, line: &mut String) -> bool {
    write_words(&statement.words, line);
    let Some(block) = &statement.block else {
        line.push(';');
        return true;
    };
    line.push_str(" {");
    for inner in &block.statements {
        line.push(' ');
        if !inner.comments.is_empty() || !write_inline(inner, line) {
            return false;
        }
    }
    line.push_str(" }");
    block.trailing.is_empty()
}

fn write_words(words: &[Word], out: &mut String) {
    for (number, word) in words.iter().enumerate() {
        if number > 0 {
            out.push(' ');
        }
        if word.quoted {
            out.push('"');
            for c in word.text.chars() {
                if matches!(c, '"' | '\\') {
                    out.push('\\');
                }
                out.push(c);
            }
            out.push('"');
        } else {
            out.push_str(&word.text);
        }
    }
}
