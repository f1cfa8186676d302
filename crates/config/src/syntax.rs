//! Text to statements. Every word keeps its span and every comment its place; one run finds all mistakes.

use crate::diagnostic::{Diagnostic, Span};
use logos::Logos;

#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
#[logos(skip r"[ \t\r\n]+")]
enum Token {
    #[token("{")]
    Open,
    #[token("}")]
    Close,
    #[token(";")]
    End,
    #[regex(r"#[^\n]*", allow_greedy = true)]
    Comment,
    #[regex(r#""([^"\\\n]|\\[^\n])*""#)]
    Quoted,
    #[regex(r##"[^ \t\r\n{};#"]+"##)]
    Word,
}

/// A word of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// What it says, without quotes and escapes.
    pub text: String,
    /// Whether it stood in quotes.
    pub quoted: bool,
    /// Where it stands.
    pub span: Span,
}

/// A comment, from `#` to the end of its line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comment {
    /// Its text with the `#`.
    pub text: String,
    /// Where it stands.
    pub span: Span,
}

/// A statement: words, then `;` or a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Its words; the first names it.
    pub words: Vec<Word>,
    /// Its block, if it has one.
    pub block: Option<Block>,
    /// Comments that stand before it.
    pub comments: Vec<Comment>,
    /// From the first word to the `;` or the closing brace.
    pub span: Span,
}

/// Statements, with the comments behind the last one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Block {
    /// The statements in order.
    pub statements: Vec<Statement>,
    /// Comments behind the last statement.
    pub trailing: Vec<Comment>,
}

/// Deepest nesting of blocks; guards the stack.
const DEPTH_MOST: usize = 16;

/// Reads a file. What could be read comes back beside the mistakes.
pub fn parse(text: &str, file: u32) -> (Block, Vec<Diagnostic>) {
    let tokens = Token::lexer(text)
        .spanned()
        .map(|(token, range)| (token.ok(), Span { file, start: range.start, end: range.end }))
        .collect();
    let mut parser = Parser { text, tokens, at: 0, errors: Vec::new() };
    let block = parser.block(None, 0);
    (block, parser.errors)
}

struct Parser<'a> {
    text: &'a str,
    tokens: Vec<(Option<Token>, Span)>,
    at: usize,
    errors: Vec<Diagnostic>,
}

impl Parser<'_> {
    fn next(&mut self) -> Option<(Option<Token>, Span)> {
        let token = self.tokens.get(self.at).copied();
        self.at += 1;
        token
    }

    fn text(&self, span: Span) -> &str {
        &self.text[span.start..span.end]
    }

    /// Statements up to the closing brace, or to the end of the file where there is none to close.
    fn block(&mut self, opened: Option<Span>, depth: usize) -> Block {
        let mut block = Block::default();
        let mut comments = Vec::new();
        loop {
            let Some((token, span)) = self.next() else {
                if let Some(opened) = opened {
                    let error = Diagnostic::error("IV0003", "a block is not closed", opened, "opened here");
                    self.errors.push(error.help("write `}` where the block ends"));
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
                    self.errors.push(error.help("remove it, or look for a `}` too many above"));
                }
                // A stray `;` changes nothing.
                Some(Token::End) => {}
                Some(Token::Open) => {
                    let error = Diagnostic::error(
                        "IV0004",
                        "a block has no name",
                        span,
                        "a word must stand before `{`",
                    );
                    self.errors.push(error);
                    self.block(Some(span), depth + 1);
                }
                Some(Token::Word | Token::Quoted) | None => {
                    self.at -= 1;
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
                    words.push(Word { text, quoted: false, span });
                }
                Some(Token::Quoted) => {
                    let text = self.unquote(span);
                    words.push(Word { text, quoted: true, span });
                }
                Some(Token::Comment) => {
                    comments.push(Comment { text: self.text(span).trim_end().to_owned(), span });
                }
                Some(Token::End) => return finish(words, None, comments, Some(span)),
                Some(Token::Open) => {
                    if depth >= DEPTH_MOST {
                        let what = format!("blocks are nested more than {DEPTH_MOST} deep");
                        self.errors.push(Diagnostic::error("IV0005", what, span, "this one"));
                        self.at = self.tokens.len();
                        return finish(words, None, comments, Some(span));
                    }
                    let block = self.block(Some(span), depth + 1);
                    let end = self.tokens.get(self.at - 1).map(|(_, span)| *span);
                    return finish(words, Some(block), comments, end);
                }
                Some(Token::Close) => {
                    // The block ends here all the same, so that what follows is read in its place.
                    self.at -= 1;
                    self.missing_end(&words);
                    return finish(words, None, comments, None);
                }
                None => {
                    let what = if self.text(span).starts_with('"') {
                        "a quoted word is not closed on its line"
                    } else {
                        "this character has no place here"
                    };
                    self.errors.push(Diagnostic::error("IV0001", what, span, "from here"));
                    // The rest of the line can't be told apart.
                    let line_end = self.text[span.end..].find('\n').map_or(self.text.len(), |n| span.end + n);
                    while self.tokens.get(self.at).is_some_and(|(_, next)| next.start < line_end) {
                        self.at += 1;
                    }
                    return None;
                }
            }
        }
    }

    fn missing_end(&mut self, words: &[Word]) {
        if let Some(last) = words.last() {
            let error =
                Diagnostic::error("IV0006", "a statement is not ended", last.span, "`;` expected after this");
            self.errors.push(error);
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
