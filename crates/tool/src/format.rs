//! The one way in which a configuration is laid out.
//!
//! Comments stay, blank lines between statements stay (one of several), a block that was written on one line
//! stays there if it fits. All else follows from the statements.

use ivygate_config::{parse, Block, Comment, Diagnostic, Sources, Statement, Word};
use std::fmt::Write;

/// Longest line that a block may make.
const WIDTH: usize = 100;

/// Why a text is not formatted: it cannot be read.
#[derive(Debug)]
pub struct FormatError {
    /// The text, for showing places.
    pub sources: Sources,
    /// The mistakes.
    pub findings: Vec<Diagnostic>,
}

/// A text as it should be laid out.
///
/// # Errors
/// If it cannot be read: what would be lost might be what was meant.
pub fn format(name: &str, text: &str) -> Result<String, FormatError> {
    let (root, findings) = parse(text, 0);
    let mut sources = Sources::default();
    sources.add(name, text);
    if !findings.is_empty() {
        return Err(FormatError { sources, findings });
    }
    let mut layout = Layout { lines: Lines::of(text), out: String::with_capacity(text.len()) };
    layout.block(&root, 0, None);
    Ok(layout.out)
}

/// Finds the line of a place.
struct Lines(Vec<usize>);

impl Lines {
    fn of(text: &str) -> Self {
        Lines(text.match_indices('\n').map(|(at, _)| at).collect())
    }

    fn at(&self, place: usize) -> usize {
        self.0.partition_point(|end| *end < place)
    }
}

struct Layout {
    lines: Lines,
    out: String,
}

impl Layout {
    /// The statements of a block, each on its own lines. `opened` is where the block opens.
    fn block(&mut self, block: &Block, depth: usize, opened: Option<usize>) {
        // Where the last thing that was written ended in the source, and whether that was a statement.
        let mut before: Option<(usize, bool)> = opened.map(|at| (at, false));
        let mut first = true;
        for statement in &block.statements {
            let start = statement.words[0].span.start;
            for comment in &statement.comments {
                self.comment(comment, depth, &mut before, &mut first, start);
            }
            self.gap(before, start, first);
            first = false;
            self.statement(statement, depth);
            before = Some((statement.span.end - 1, true));
        }
        for comment in &block.trailing {
            self.comment(comment, depth, &mut before, &mut first, usize::MAX);
        }
    }

    /// A blank line where the source has one or more.
    fn gap(&mut self, before: Option<(usize, bool)>, start: usize, first: bool) {
        let blank = before.is_some_and(|(end, _)| self.lines.at(start) > self.lines.at(end) + 1);
        if blank && !first {
            self.out.push('\n');
        }
    }

    /// A comment: behind the statement with which it shares a line, else on a line of its own. `statement` is
    /// where the statement that it belongs to starts.
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
            Some((end, true)) if self.lines.at(end) == self.lines.at(start) => {
                self.out.pop();
                let _ = writeln!(self.out, " {}", comment.text);
            }
            _ => {
                // One from within a statement comes before it and says nothing of the lines between.
                if start < statement {
                    self.gap(*before, start, *first);
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
        if self.lines.at(statement.words[0].span.start) == self.lines.at(statement.span.end - 1)
            || statement.block.as_ref().is_none_or(is_empty)
        {
            let mut line = String::new();
            if inline(statement, &mut line)
                && (statement.block.is_none() || 4 * depth + line.chars().count() <= WIDTH)
            {
                self.out.push_str(&line);
                self.out.push('\n');
                return;
            }
        }
        words(&statement.words, &mut self.out);
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

/// Writes a statement on one line; `false` if a comment in it forbids that.
fn inline(statement: &Statement, line: &mut String) -> bool {
    words(&statement.words, line);
    let Some(block) = &statement.block else {
        line.push(';');
        return true;
    };
    line.push_str(" {");
    for inner in &block.statements {
        line.push(' ');
        if !inner.comments.is_empty() || !inline(inner, line) {
            return false;
        }
    }
    line.push_str(" }");
    block.trailing.is_empty()
}

fn words(words: &[Word], out: &mut String) {
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
