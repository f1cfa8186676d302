//! Lexer and parser. Words keep their spans and comments their positions, and one run reports all syntax
//! errors.

use crate::diagnostic::{Diagnostic, Span};
use logos::Logos;

#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
// A byte order mark is skipped like white space; some editors write one at the start of a file.
#[logos(skip r"[ \t\r\n\u{FEFF}]+")]
enum Token {
    #[token("{")]
    Open,
    #[token("}")]
    Close,
    #[token(";")]
    End,
    #[regex(r"#[^\n]*", allow_greedy = true)]
    Comment,
    #[regex(r#""([^"\\\n\x00-\x08\x0b-\x1f\x7f]|\\[^\n\x00-\x08\x0b-\x1f\x7f])*""#)]
    Quoted,
    #[regex(r##"[^\x00-\x20\x7f\u{FEFF}{};#"]+"##)]
    Word,
}

/// Word of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// Text without quotes and escapes.
    pub text: String,
    /// True if the word was quoted.
    pub quoted: bool,
    /// Position in the source.
    pub span: Span,
    /// Definition of the variable that this word was substituted for, if any.
    pub defined: Option<Span>,
}

/// Comment, from `#` to the end of the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comment {
    /// Text, including the `#`.
    pub text: String,
    /// Position in the source.
    pub span: Span,
}

/// Statement: words followed by `;` or a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Words; the first is the statement's name. Never empty.
    pub words: Vec<Word>,
    /// Block, if there is one.
    pub block: Option<Block>,
    /// Comments before the statement or within its words.
    pub comments: Vec<Comment>,
    /// Span from the first word to the `;` or the closing brace.
    pub span: Span,
}

/// Sequence of statements with the comments after the last one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Block {
    /// Statements in source order.
    pub statements: Vec<Statement>,
    /// Comments after the last statement.
    pub trailing: Vec<Comment>,
}

/// Maximum nesting depth of blocks; bounds the parser's recursion.
const MAX_BLOCK_DEPTH: usize = 16;
/// Maximum number of words in a statement and of syntax errors reported per file; both bound memory use.
const MAX_STATEMENT_WORDS: usize = 4096;
const MAX_SYNTAX_ERRORS: usize = 500;

/// Parses a file. Returns the statements that could be parsed together with the syntax errors.
pub fn parse(text: &str, file: u32) -> (Block, Vec<Diagnostic>) {
    let lexer = Token::lexer(text);
    let last = Span { file, start: 0, end: 0 };
    let mut parser = Parser { text, file, lexer, pushed_back: false, last: (None, last), errors: Vec::new() };
    let block = parser.block(None, 0);
    (block, parser.errors)
}

struct Parser<'a> {
    text: &'a str,
    file: u32,
    lexer: logos::Lexer<'a, Token>,
    /// True if `next` must return the last token again.
    pushed_back: bool,
    last: (Option<Token>, Span),
    errors: Vec<Diagnostic>,
}

impl Parser<'_> {
    fn next(&mut self) -> Option<(Option<Token>, Span)> {
        if std::mem::take(&mut self.pushed_back) {
            return Some(self.last);
        }
        if self.errors.len() >= MAX_SYNTAX_ERRORS {
            return None;
        }
        let token = self.lexer.next()?.ok();
        let range = self.lexer.span();
        self.last = (token, Span { file: self.file, start: range.start, end: range.end });
        Some(self.last)
    }

    fn error(&mut self, error: Diagnostic) {
        self.errors.push(error);
        if self.errors.len() == MAX_SYNTAX_ERRORS {
            let message = "too many mistakes; the rest of this file was not read";
            self.errors.push(Diagnostic::error("IV0007", message, self.last.1, "read up to here"));
        }
    }

    fn text(&self, span: Span) -> &str {
        &self.text[span.start..span.end]
    }

    /// Parses statements up to the closing brace, or to the end of the file at the outermost level.
    fn block(&mut self, opened: Option<Span>, depth: usize) -> Block {
        let mut block = Block::default();
        let mut comments = Vec::new();
        loop {
            let Some((token, span)) = self.next() else {
                if let Some(opened) = opened {
                    let error = Diagnostic::error("IV0003", "a block is not closed", opened, "opened here");
                    self.error(error.help("write `}` where the block ends"));
                }
                break;
            };
            match token {
                Some(Token::Comment) => {
                    comments.push(Comment { text: self.text(span).trim_end().to_owned(), span });
                }
                Some(Token::Close) if opened.is_some() => break,
                Some(Token::Close) => {
                    let error = Diagnostic::error("IV0002", "a `}` closes nothing", span, "no block is open");
                    self.error(error.help("remove it, or look for a `}` too many above"));
                }
                // An empty statement has no effect.
                Some(Token::End) => {}
                Some(Token::Open) => {
                    let error = Diagnostic::error(
                        "IV0004",
                        "a block has no name",
                        span,
                        "a word must stand before `{`",
                    );
                    self.error(error);
                    self.block(Some(span), depth + 1);
                }
                Some(Token::Word | Token::Quoted) | None => {
                    self.pushed_back = true;
                    let comments = std::mem::take(&mut comments);
                    block.statements.extend(self.statement(comments, depth));
                }
            }
        }
        block.trailing = comments;
        block
    }

    fn statement(&mut self, mut comments: Vec<Comment>, depth: usize) -> Option<Statement> {
        let mut words: Vec<Word> = Vec::new();
        loop {
            let Some((token, span)) = self.next() else {
                self.missing_end(&words);
                return finish(words, None, comments, None);
            };
            match token {
                Some(Token::Word) => {
                    let text = self.text(span).to_owned();
                    words.push(Word { text, quoted: false, span, defined: None });
                }
                Some(Token::Quoted) => {
                    let text = self.unquote(span);
                    words.push(Word { text, quoted: true, span, defined: None });
                }
                Some(Token::Comment) => {
                    comments.push(Comment { text: self.text(span).trim_end().to_owned(), span });
                }
                Some(Token::End) => return finish(words, None, comments, Some(span)),
                Some(Token::Open) => {
                    if depth >= MAX_BLOCK_DEPTH {
                        let message = format!("blocks are nested more than {MAX_BLOCK_DEPTH} deep");
                        self.error(Diagnostic::error("IV0005", message, span, "this one"));
                        self.lexer.bump(self.lexer.remainder().len());
                        return finish(words, None, comments, Some(span));
                    }
                    let block = self.block(Some(span), depth + 1);
                    return finish(words, Some(block), comments, Some(self.last.1));
                }
                Some(Token::Close) => {
                    // The block still ends here, so that the following statements are parsed at the right
                    // level.
                    self.pushed_back = true;
                    self.missing_end(&words);
                    return finish(words, None, comments, None);
                }
                None => {
                    let message = if self.text(span).starts_with('"') {
                        "a quoted word is not closed on its line, or holds a control character"
                    } else {
                        "this character has no place here"
                    };
                    let error = Diagnostic::error("IV0001", message, span, "from here");
                    self.error(error.help("a quoted word begins and ends with `\"` on one line"));
                    // The rest of the line cannot be split into tokens.
                    let rest = self.lexer.remainder();
                    self.lexer.bump(rest.find('\n').unwrap_or(rest.len()));
                    return None;
                }
            }
            if words.len() > MAX_STATEMENT_WORDS {
                let message = format!("a statement has more than {MAX_STATEMENT_WORDS} words");
                self.error(Diagnostic::error("IV0008", message, words[0].span, "this one"));
                self.lexer.bump(self.lexer.remainder().len());
                return None;
            }
        }
    }

    fn missing_end(&mut self, words: &[Word]) {
        if let Some(last) = words.last() {
            let error =
                Diagnostic::error("IV0006", "a statement is not ended", last.span, "`;` expected after this");
            self.error(error);
        }
    }

    fn unquote(&self, span: Span) -> String {
        let inner = &self.text[span.start + 1..span.end - 1];
        let mut text = String::with_capacity(inner.len());
        let mut characters = inner.chars();
        while let Some(c) = characters.next() {
            match c {
                '\\' => text.extend(characters.next()),
                c => text.push(c),
            }
        }
        text
    }
}

fn finish(
    words: Vec<Word>,
    block: Option<Block>,
    comments: Vec<Comment>,
    end: Option<Span>,
) -> Option<Statement> {
    let first = words.first()?.span;
    let last = end.or(words.last().map(|w| w.span)).unwrap_or(first);
    let span = Span { file: first.file, start: first.start, end: last.end };
    Some(Statement { words, block, comments, span })
}
