//! Reads the statements of a block by name and reports missing, unknown, repeated and malformed ones.

use crate::diagnostic::{Diagnostic, Severity, Span};
use crate::expand::close_names;
use crate::plausibility;
use crate::syntax::{Block, Statement, Word};
use crate::units::{self, QuantityError};
use std::cell::RefCell;
use std::collections::HashSet;

/// Maximum number of unknown statements reported per block.
const MAX_UNKNOWN_STATEMENTS: usize = 100;

/// Maximum number of findings kept; errors are kept up to twice this number.
const MAX_FINDINGS: usize = 2000;

/// Findings shared by all blocks of one check.
pub type Findings = RefCell<Vec<Diagnostic>>;

/// Reader of one block's statements.
pub struct Fields<'a> {
    block: &'a Block,
    /// Span of the words before the opening brace.
    pub head: Span,
    kind: &'static str,
    findings: &'a Findings,
    known_names: RefCell<HashSet<&'static str>>,
}

/// Kind of quantity that a statement takes.
#[derive(Clone, Copy)]
pub enum Quantity {
    /// Milliseconds.
    Duration,
    /// Bytes.
    Size,
    /// Events per second.
    Rate,
    /// Number without a unit.
    Number,
    /// Number from 0 to 1.
    Share,
    /// Whole number.
    Count,
}

impl Quantity {
    fn read(self, text: &str) -> Result<f64, QuantityError> {
        match self {
            Quantity::Duration => units::duration(text),
            Quantity::Size => units::size(text),
            Quantity::Rate => units::rate(text),
            Quantity::Number | Quantity::Share | Quantity::Count => units::plain(text),
        }
    }

    fn description(self) -> &'static str {
        match self {
            Quantity::Duration => "a time with its unit, such as `250ms`, `15s` or `2m`",
            Quantity::Size => "a size with its unit, such as `512B`, `64KiB` or `8MiB`",
            Quantity::Rate => "a rate with its unit, such as `20/s` or `300/m`",
            Quantity::Number => "a number without a unit, such as `2` or `0.5`",
            Quantity::Share => "a share from 0 to 1, such as `0.2` for 20 percent",
            Quantity::Count => "a whole number without a unit, such as `3`",
        }
    }
}

impl<'a> Fields<'a> {
    /// Creates a reader of the block whose opening words have the span `head`.
    pub fn new(kind: &'static str, head: Span, block: &'a Block, findings: &'a Findings) -> Self {
        Self { block, head, kind, findings, known_names: RefCell::default() }
    }

    /// Records a finding.
    pub fn report(&self, finding: Diagnostic) {
        let mut findings = self.findings.borrow_mut();
        // Bounds memory use. Errors have twice the limit, so that warnings cannot displace them.
        let limit = if finding.severity == Severity::Error { 2 * MAX_FINDINGS } else { MAX_FINDINGS };
        if findings.len() < limit {
            findings.push(finding);
        }
    }

    /// Returns true if an error has been recorded within a span.
    pub fn has_error_in(&self, place: Span) -> bool {
        let within = |at: Span| at.file == place.file && at.start >= place.start && at.end <= place.end;
        self.findings.borrow().iter().any(|f| f.severity == Severity::Error && within(f.at.0))
    }

    /// Returns all statements with a name, and marks the name as known.
    pub fn all(&self, name: &'static str) -> Vec<&'a Statement> {
        self.known_names.borrow_mut().insert(name);
        self.block.statements.iter().filter(|s| !s.words[0].quoted && s.words[0].text == name).collect()
    }

    /// Returns the statement with a name, if there is one; reports an error if there are several.
    pub fn single(&self, name: &'static str) -> Option<&'a Statement> {
        let all = self.all(name);
        if let [first, second, ..] = all[..] {
            let error = Diagnostic::error(
                "IV0012",
                format!("`{name}` is given twice in this {}", self.kind),
                second.words[0].span,
                "given again here",
            );
            self.report(error.related(first.words[0].span, "first given here").help("remove one of them"));
        }
        all.first().copied()
    }

    /// Returns a required statement; reports an error if it is missing.
    pub fn required(&self, name: &'static str, example: &str) -> Option<&'a Statement> {
        let found = self.single(name);
        // A statement that follows a missing `;` has already been reported by the parser or as an extra
        // value.
        let swallowed =
            self.block.statements.iter().any(|s| s.words[1..].iter().any(|w| !w.quoted && w.text == name));
        if found.is_none() && !swallowed {
            let message = format!("this {} has no `{name}`", self.kind);
            self.report(
                Diagnostic::error("IV0011", message, self.head, "in here").help(format!("write `{example}`")),
            );
        }
        found
    }

    /// Returns the words after the name; reports an error unless their number is in the range and there is no
    /// block.
    pub fn words(&self, statement: &'a Statement, minimum: usize, maximum: usize) -> Option<&'a [Word]> {
        let name = &statement.words[0];
        if let Some(block) = &statement.block {
            let at = block.statements.first().map_or(statement.span, |s| s.span);
            let message = format!("`{}` takes no block", name.text);
            self.report(
                Diagnostic::error("IV0013", message, at, "not expected here").help("end it with `;`"),
            );
            return None;
        }
        let mut words = &statement.words[1..];
        // A trailing `meant` confirms an implausible value; see `plausibility`.
        if words.len() > minimum && words.last().is_some_and(is_meant_keyword) {
            words = &words[..words.len() - 1];
        }
        if (minimum..=maximum).contains(&words.len()) {
            return Some(words);
        }
        if words.len() < minimum {
            let message = format!("`{}` lacks a value", name.text);
            self.report(Diagnostic::error("IV0014", message, name.span, "a value is expected after this"));
        } else {
            let extra = &words[maximum];
            let message = format!("`{}` has a value too many", name.text);
            let before = &statement.words[maximum];
            let error = Diagnostic::error("IV0015", message, extra.span, "not expected here");
            self.report(error.help(format!("is a `;` missing after `{}`?", before.text)));
        }
        None
    }

    /// Returns the single value of a statement.
    pub fn word(&self, name: &'static str) -> Option<&'a Word> {
        self.words(self.single(name)?, 1, 1).map(|words| &words[0])
    }

    /// Returns the text of a statement, or the default.
    pub fn text_or(&self, name: &'static str, default: &str) -> String {
        self.word(name).map_or_else(|| default.to_owned(), |word| word.text.clone())
    }

    /// Parses a word as a quantity; reports an error if it is malformed or out of range.
    pub fn quantity_in(&self, word: &Word, quantity: Quantity) -> Option<f64> {
        let value = match quantity.read(&word.text) {
            Ok(value) => value,
            Err(error) => {
                let (code, label) = match &error {
                    QuantityError::NoUnit => ("IV0021", "the unit is missing".to_owned()),
                    QuantityError::WrongUnit(unit) => ("IV0022", format!("`{unit}` is no unit of this")),
                    QuantityError::NotANumber => ("IV0020", "not a quantity".to_owned()),
                };
                let message = format!(
                    "`{}` is not {}",
                    word.text,
                    quantity.description().split(',').next().unwrap_or("")
                );
                let error = Diagnostic::error(code, message, word.span, label);
                self.report(error.help(format!("write {}", quantity.description())));
                return None;
            }
        };
        let fits = match quantity {
            Quantity::Share => value <= 1.0,
            Quantity::Count => value.fract() == 0.0 && value <= 1e9,
            _ => value.is_finite(),
        };
        if !fits {
            let error =
                Diagnostic::error("IV0023", format!("`{}` is out of range", word.text), word.span, "here");
            self.report(error.help(format!("write {}", quantity.description())));
        }
        fits.then_some(value)
    }

    /// Returns true if the statement confirms its value with a trailing `meant`.
    pub fn is_confirmed(&self, name: &'static str) -> bool {
        self.all(name).first().is_some_and(|s| is_confirmed(s))
    }

    /// Returns the quantity of a statement, if present; reports implausible values.
    pub fn quantity(&self, name: &'static str, quantity: Quantity) -> Option<f64> {
        let word = self.word(name)?;
        let value = self.quantity_in(word, quantity)?;
        if !self.is_confirmed(name) {
            if let Some(implausible) = plausibility::implausible_value(self.kind, name, &word.text, value) {
                self.report(implausible.diagnostic(name, word));
            }
        }
        Some(value)
    }

    /// Returns the quantity of a statement or the default; reports an error if it is not above zero.
    pub fn positive_or(&self, name: &'static str, quantity: Quantity, default: f64) -> f64 {
        let Some(word) = self.word(name) else { return default };
        let Some(value) = self.quantity(name, quantity) else { return default };
        if value <= 0.0 {
            self.report(Diagnostic::error(
                "IV0024",
                format!("`{name}` is zero"),
                word.span,
                "must be above zero",
            ));
            return default;
        }
        value
    }

    /// Returns the quantity of a statement, or the default.
    pub fn quantity_or(&self, name: &'static str, quantity: Quantity, default: f64) -> f64 {
        self.quantity(name, quantity).unwrap_or(default)
    }

    /// Returns a reader of a nested block.
    pub fn inner(&self, kind: &'static str, statement: &'a Statement) -> Fields<'a> {
        static EMPTY: Block = Block { statements: Vec::new(), trailing: Vec::new() };
        Fields::new(kind, head_span(statement), statement.block.as_ref().unwrap_or(&EMPTY), self.findings)
    }

    /// Reports every statement whose name was never requested.
    pub fn finish(self) {
        let known_names = self.known_names.borrow();
        let mut reported = 0;
        for statement in &self.block.statements {
            let name = &statement.words[0];
            if !name.quoted && known_names.contains(name.text.as_str()) {
                continue;
            }
            reported += 1;
            if reported > MAX_UNKNOWN_STATEMENTS {
                break;
            }
            let message = format!("`{}` means nothing in this {}", name.text, self.kind);
            let mut error = Diagnostic::error("IV0010", message, name.span, "unknown here");
            let known: Vec<&str> = known_names.iter().copied().collect();
            let near = close_names(&name.text, &known).min();
            match near.filter(|(distance, _)| *distance <= 2) {
                Some((_, near)) => error = error.help(format!("is `{near}` meant?")),
                None => {
                    let mut known: Vec<_> = known_names.iter().copied().collect();
                    known.sort_unstable();
                    error = error.help(format!("a {} may have: {}", self.kind, known.join(", ")));
                }
            }
            self.report(error);
        }
    }
}

fn is_meant_keyword(word: &Word) -> bool {
    !word.quoted && word.defined.is_none() && word.text == "meant"
}

/// Returns true if the statement confirms its value with a trailing `meant`.
pub fn is_confirmed(statement: &Statement) -> bool {
    statement.words.len() > 2 && statement.words.last().is_some_and(is_meant_keyword)
}

/// Returns the span of a statement's words, without its block.
pub fn head_span(statement: &Statement) -> Span {
    let (first, last) = (statement.words[0].span, statement.words[statement.words.len() - 1].span);
    Span { file: first.file, start: first.start, end: last.end }
}
