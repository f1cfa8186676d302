//! Expands includes, named blocks and variables into a single tree of statements.
//!
//! Files are read through a [`Loader`]; this module performs no I/O.

use crate::diagnostic::{Diagnostic, Sources, Span};
use crate::fields::head_span;
use crate::syntax::{parse, Block, Statement, Word};
use crate::units;
use std::collections::{HashMap, HashSet};

/// Maximum depth of nested includes, and of nested `use` statements.
const MAX_INCLUDE_DEPTH: usize = 16;
/// Maximum number of files, bytes and statements of one configuration, counting repeated ones each time. They
/// bound memory use.
const MAX_FILES: usize = 10_000;
const MAX_TOTAL_BYTES: usize = 64 << 20;
const MAX_STATEMENTS: usize = 1_000_000;

/// Finds and reads included files.
pub trait Loader {
    /// Returns the names of the files that a path or pattern relative to the file `from` refers to, in order.
    /// The result is empty if a pattern matches no file.
    ///
    /// # Errors
    /// If a path that is not a pattern names no file; the error is text for the operator.
    fn find(&self, from: &str, pattern: &str) -> Result<Vec<String>, String>;

    /// Reads the bytes of a file.
    ///
    /// # Errors
    /// If the file cannot be read, is not a regular file or is too large; the error is text for the operator.
    fn read(&self, name: &str) -> Result<Vec<u8>, String>;

    /// Returns an identifier that is equal for all names of one file; include cycles are detected by it.
    fn identity(&self, name: &str) -> String {
        name.to_owned()
    }
}

/// Loader for configurations without includes; every lookup fails.
pub struct NoFiles;

impl Loader for NoFiles {
    fn find(&self, _: &str, _: &str) -> Result<Vec<String>, String> {
        Err("there are no files beside this text".to_owned())
    }

    fn read(&self, _: &str) -> Result<Vec<u8>, String> {
        Err("there are no files beside this text".to_owned())
    }
}

/// Result of the expansion.
pub struct Expanded {
    /// Source files that were read.
    pub sources: Sources,
    /// Statements with includes, named blocks and variables expanded.
    pub root: Block,
    /// Findings so far.
    pub findings: Vec<Diagnostic>,
    /// True if errors left statements out, so that later findings about missing items are unreliable.
    pub incomplete: bool,
}

/// Reads a configuration, starting with its first file.
pub fn expand(name: &str, bytes: &[u8], loader: &dyn Loader) -> Expanded {
    let mut reader = IncludeReader {
        loader,
        sources: Sources::default(),
        findings: Vec::new(),
        incomplete: false,
        bytes: 0,
        count: 0,
        include_chain: Vec::new(),
    };
    let mut root = reader.parse_file(name, bytes, None);
    reader.expand_includes(&mut root);
    let IncludeReader { sources, findings, incomplete, .. } = reader;
    let mut definitions = Definitions {
        blocks: HashMap::new(),
        variables: HashMap::new(),
        findings,
        incomplete,
        used: HashSet::new(),
        statements: 0,
        use_chain: Vec::new(),
    };
    definitions.collect_definitions(&mut root);
    let root = definitions.expand_block(root, true);
    definitions.report_unused();
    Expanded { sources, root, findings: definitions.findings, incomplete: definitions.incomplete }
}

/// File that is being read.
struct OpenFile {
    name: String,
    identity: String,
    /// Position of the include that led to it; `None` for the first file.
    from: Option<Span>,
}

struct IncludeReader<'a> {
    loader: &'a dyn Loader,
    sources: Sources,
    findings: Vec<Diagnostic>,
    incomplete: bool,
    bytes: usize,
    count: usize,
    /// Files that are being read, each included by the one before it.
    include_chain: Vec<OpenFile>,
}

impl IncludeReader<'_> {
    fn error(&mut self, error: Diagnostic) {
        self.incomplete = true;
        self.findings.push(error);
    }

    /// Parses one file without expanding its includes, and pushes it onto the include chain.
    fn parse_file(&mut self, name: &str, bytes: &[u8], from: Option<Span>) -> Block {
        self.count += 1;
        self.bytes += bytes.len();
        let identity = self.loader.identity(name);
        self.include_chain.push(OpenFile { name: name.to_owned(), identity, from });
        let text = match std::str::from_utf8(bytes) {
            Ok(text) => text,
            Err(error) => {
                // Keep the valid text before the error, so that the report can show it and locate the error.
                let good = String::from_utf8_lossy(&bytes[..error.valid_up_to()]);
                let end = good.len();
                let file = self.sources.add(name, format!("{good}\u{FFFD}"));
                let at = Span { file, start: end, end: end + '\u{FFFD}'.len_utf8() };
                let error = Diagnostic::error("IV0060", "this file is not UTF-8", at, "not UTF-8 from here");
                self.error(error.help("save it as UTF-8"));
                return Block::default();
            }
        };
        let file = self.sources.add(name, text);
        let (block, errors) = parse(text, file);
        self.incomplete |= !errors.is_empty();
        self.findings.extend(errors);
        block
    }

    /// Replaces the includes in a block, at any depth, with the statements of the included files.
    fn expand_includes(&mut self, block: &mut Block) {
        if !block.statements.iter().any(has_include) {
            return;
        }
        for mut statement in std::mem::take(&mut block.statements) {
            if !is_named(&statement, "include") {
                if let Some(inner) = &mut statement.block {
                    self.expand_includes(inner);
                }
                block.statements.push(statement);
                continue;
            }
            self.include(&statement, block);
        }
    }

    fn include(&mut self, statement: &Statement, into: &mut Block) {
        let [word, path] = &statement.words[..] else {
            let at = head_span(statement);
            let error = Diagnostic::error("IV0061", "an include names one file or pattern", at, "this one");
            self.error(error.help("write `include routes/*.conf;`"));
            return;
        };
        if statement.block.is_some() {
            let error = Diagnostic::error("IV0013", "`include` takes no block", word.span, "here");
            self.error(error.help("end it with `;`"));
            return;
        }
        let from = self.include_chain.last().map_or(String::new(), |open| open.name.clone());
        let names = match self.loader.find(&from, &path.text) {
            Ok(names) => names,
            Err(why) => return self.report_unreadable(&path.text, path.span, &why),
        };
        if names.is_empty() {
            let message = format!("no file matches `{}`", path.text);
            let warning = Diagnostic::warning("IV0104", message, path.span, "nothing is included");
            self.findings.push(warning.help("this is right where files may come later"));
        }
        for name in names {
            let identity = self.loader.identity(&name);
            if let Some(at) = self.include_chain.iter().position(|open| open.identity == identity) {
                let mut error =
                    Diagnostic::error("IV0062", "files include each other in a circle", path.span, "")
                        .help("move what both need into a file that includes neither");
                error.at.1 = format!("this includes `{name}`, which is being read");
                for open in &self.include_chain[at + 1..] {
                    if let Some(from) = open.from {
                        error = error.related(from, format!("this includes `{}`", open.name));
                    }
                }
                self.error(error);
                continue;
            }
            if self.include_chain.len() >= MAX_INCLUDE_DEPTH {
                let message = format!("files are included more than {MAX_INCLUDE_DEPTH} deep");
                self.error(Diagnostic::error("IV0063", message, path.span, "by this"));
                continue;
            }
            let bytes = match self.loader.read(&name) {
                Ok(bytes) => bytes,
                Err(why) => {
                    self.report_unreadable(&name, path.span, &why);
                    continue;
                }
            };
            if self.count >= MAX_FILES || self.bytes + bytes.len() > MAX_TOTAL_BYTES {
                let message = format!("this configuration has more than {MAX_FILES} files or 64 MiB");
                self.error(Diagnostic::error("IV0063", message, path.span, "no more is read from here"));
                return;
            }
            let mut block = self.parse_file(&name, &bytes, Some(path.span));
            self.expand_includes(&mut block);
            self.include_chain.pop();
            into.statements.append(&mut block.statements);
        }
    }

    fn report_unreadable(&mut self, name: &str, at: Span, why: &str) {
        let error = Diagnostic::error("IV0064", format!("`{name}` cannot be included"), at, why.to_owned());
        self.error(error.help("paths are relative to the file that includes them"));
    }
}

fn is_named(statement: &Statement, name: &str) -> bool {
    !statement.words[0].quoted && statement.words[0].text == name
}

fn has_include(statement: &Statement) -> bool {
    is_named(statement, "include")
        || statement.block.as_ref().is_some_and(|b| b.statements.iter().any(has_include))
}

struct Variable {
    value: Word,
    at: Span,
}

struct Definitions {
    blocks: HashMap<String, (Block, Span)>,
    variables: HashMap<String, Variable>,
    findings: Vec<Diagnostic>,
    incomplete: bool,
    used: HashSet<String>,
    statements: usize,
    /// Named blocks that are being expanded, with the position of each `use`.
    use_chain: Vec<(String, Span)>,
}

/// Types of variables, with a description and an example of a value.
const TYPES: [(&str, &str); 8] = [
    ("time", "a time such as `15s`"),
    ("size", "a size such as `64KiB`"),
    ("rate", "a rate such as `20/s`"),
    ("number", "a number such as `0.5`"),
    ("count", "a whole number such as `3`"),
    ("share", "a share from 0 to 1 such as `0.2`"),
    ("address", "an address with a port such as `127.0.0.1:9000`"),
    ("text", "any word"),
];

fn matches_type(kind: &str, text: &str) -> bool {
    match kind {
        "time" => units::duration(text).is_ok(),
        "size" => units::size(text).is_ok(),
        "rate" => units::rate(text).is_ok(),
        "number" => units::plain(text).is_ok(),
        "count" => units::plain(text).is_ok_and(|n| n.fract() == 0.0),
        "share" => units::plain(text).is_ok_and(|n| n <= 1.0),
        "address" => text.parse::<std::net::SocketAddr>().is_ok(),
        _ => true,
    }
}

impl Definitions {
    fn error(&mut self, error: Diagnostic) {
        self.incomplete = true;
        self.findings.push(error);
    }

    /// Removes the definitions of variables and named blocks from the outermost statements and records them.
    fn collect_definitions(&mut self, root: &mut Block) {
        for statement in std::mem::take(&mut root.statements) {
            if is_named(&statement, "let") {
                self.define_variable(statement);
            } else if is_named(&statement, "block") {
                self.define_block(statement);
            } else {
                root.statements.push(statement);
            }
        }
    }

    fn define_variable(&mut self, statement: Statement) {
        let at = head_span(&statement);
        let [_, name, kind, value] = &statement.words[..] else {
            let error =
                Diagnostic::error("IV0065", "a variable has a name, a type and one value", at, "here");
            return self.error(error.help("write `let patience time 2s;`"));
        };
        if statement.block.is_some() || !is_name(&name.text) {
            let error = Diagnostic::error("IV0065", "this cannot be a variable", name.span, "here");
            return self
                .error(error.help("write `let patience time 2s;`, the name of letters, digits and `-`"));
        }
        let Some((_, example)) = TYPES.iter().find(|(known, _)| *known == kind.text) else {
            let message = format!("there is no type `{}`", kind.text);
            let known: Vec<_> = TYPES.iter().map(|(name, _)| format!("`{name}`")).collect();
            let error = Diagnostic::error("IV0066", message, kind.span, "here");
            return self.error(error.help(format!("types are {}", known.join(", "))));
        };
        if !value.quoted && value.text.starts_with('$') {
            let error = Diagnostic::error("IV0065", "a variable's value is written out", value.span, "here");
            return self.error(error.help("write the value itself"));
        }
        if !matches_type(&kind.text, &value.text) {
            let message = format!("`{}` is not {}", value.text, example.split(" such").next().unwrap_or(""));
            let error =
                Diagnostic::error("IV0067", message, value.span, format!("its type is `{}`", kind.text));
            return self.error(error.help(format!("write {example}")));
        }
        let variable = Variable { value: value.clone(), at };
        if let Some(first) = self.variables.get(&name.text) {
            let message = format!("two variables are named `{}`", name.text);
            let error = Diagnostic::error("IV0032", message, name.span, "named again here");
            let error = error.related(first.at, "first named here");
            return self.error(error.help("give one of them another name"));
        }
        self.variables.insert(name.text.clone(), variable);
    }

    fn define_block(&mut self, statement: Statement) {
        let at = head_span(&statement);
        let (2, Some(block)) = (statement.words.len(), statement.block) else {
            let error = Diagnostic::error("IV0068", "a named block has one name and a block", at, "here");
            return self.error(error.help("write `block quick { aim 200ms; deadline 2s; }`"));
        };
        let name = &statement.words[1];
        if let Some((_, first)) = self.blocks.get(&name.text) {
            let message = format!("two blocks are named `{}`", name.text);
            let error = Diagnostic::error("IV0032", message, name.span, "named again here")
                .related(*first, "first here");
            return self.error(error.help("give one of them another name"));
        }
        self.blocks.insert(name.text.clone(), (block, at));
    }

    /// Expands the named blocks and variables in a block.
    fn expand_block(&mut self, block: Block, outermost: bool) -> Block {
        let mut done =
            Block { statements: Vec::with_capacity(block.statements.len()), trailing: block.trailing };
        for statement in block.statements {
            if self.statements >= MAX_STATEMENTS {
                return done;
            }
            if is_named(&statement, "use") {
                self.insert_named_block(&statement, outermost, &mut done);
                continue;
            }
            self.statements += 1;
            if self.statements == MAX_STATEMENTS {
                let message = format!("this configuration has more than {MAX_STATEMENTS} statements");
                let error = Diagnostic::error("IV0063", message, statement.span, "no more is read from here");
                self.error(error.help("named blocks that use others many times grow fast"));
            }
            let words = statement
                .words
                .into_iter()
                .enumerate()
                .map(|(n, word)| self.substitute(word, n == 0))
                .collect();
            let inner = statement.block.map(|inner| self.expand_block(inner, false));
            done.statements.push(Statement { words, block: inner, ..statement });
        }
        done
    }

    fn insert_named_block(&mut self, statement: &Statement, outermost: bool, into: &mut Block) {
        let [_, name] = &statement.words[..] else {
            let error = Diagnostic::error("IV0069", "`use` names one block", head_span(statement), "here");
            return self.error(error.help("write `use NAME;`"));
        };
        if statement.block.is_some() {
            let error = Diagnostic::error("IV0013", "`use` takes no block", name.span, "here");
            return self.error(error.help("end it with `;`"));
        }
        let Some((block, at)) = self.blocks.get(&name.text).cloned() else {
            let known: Vec<&str> = self.blocks.keys().map(String::as_str).collect();
            let help = suggestion(&name.text, &known);
            let error = Diagnostic::error(
                "IV0033",
                format!("there is no block named `{}`", name.text),
                name.span,
                "not defined",
            );
            return self.error(error.help(help));
        };
        self.used.insert(format!("block {}", name.text));
        if let Some(open) = self.use_chain.iter().position(|(open, _)| *open == name.text) {
            let mut error = Diagnostic::error("IV0062", "blocks use each other in a circle", name.span, "");
            error.at.1 = format!("this uses `{}`, which is being put in", name.text);
            for (name, from) in &self.use_chain[open + 1..] {
                error = error.related(*from, format!("this uses `{name}`"));
            }
            return self
                .error(error.related(at, "defined here").help("move what both need into a third block"));
        }
        if self.use_chain.len() >= MAX_INCLUDE_DEPTH {
            let message = format!("blocks use each other more than {MAX_INCLUDE_DEPTH} deep");
            return self.error(Diagnostic::error("IV0063", message, name.span, "by this"));
        }
        self.use_chain.push((name.text.clone(), name.span));
        let mut block = self.expand_block(block, outermost);
        self.use_chain.pop();
        into.statements.append(&mut block.statements);
    }

    fn substitute(&mut self, word: Word, first: bool) -> Word {
        let Some(name) = word.text.strip_prefix('$').filter(|_| !word.quoted) else { return word };
        if first {
            let error = Diagnostic::error("IV0070", "a variable cannot name a statement", word.span, "here");
            self.error(error.help("write the statement's name, or the word in quotes"));
            return word;
        }
        match self.variables.get(name) {
            Some(variable) => {
                self.used.insert(format!("variable {name}"));
                let Word { text, quoted, .. } = variable.value.clone();
                // `defined` keeps a substituted word from being read as the keyword `meant`.
                Word { text, quoted, span: word.span, defined: Some(variable.at) }
            }
            None => {
                let known: Vec<&str> = self.variables.keys().map(String::as_str).collect();
                let help = suggestion(name, &known);
                let error = Diagnostic::error(
                    "IV0033",
                    format!("there is no variable named `{name}`"),
                    word.span,
                    "not defined",
                );
                self.error(error.help(help));
                word
            }
        }
    }

    fn report_unused(&mut self) {
        let blocks = self.blocks.iter().map(|(name, (_, at))| ("block", name, *at));
        let variables = self.variables.iter().map(|(name, variable)| ("variable", name, variable.at));
        let unused: Vec<_> = blocks
            .chain(variables)
            .filter(|(kind, name, _)| !self.used.contains(&format!("{kind} {name}")))
            .map(|(kind, name, at)| {
                Diagnostic::warning("IV0105", format!("the {kind} `{name}` is not used"), at, "defined here")
                    .help("remove it, or write its name where it is meant")
            })
            .collect();
        self.findings.extend(unused);
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
}

/// Returns the edit distances of known names to a word. Names whose length differs by more than 2 are
/// skipped: they cannot match, and comparing very long words is slow.
pub fn close_names<'a>(text: &'a str, known: &'a [&'a str]) -> impl Iterator<Item = (usize, &'a str)> {
    let alike = |name: &&&str| name.len().abs_diff(text.len()) <= 2;
    known.iter().filter(alike).map(|name| (strsim::damerau_levenshtein(name, text), *name))
}

/// Returns a help text that names the closest known name or lists the known names.
pub fn suggestion(text: &str, known: &[&str]) -> String {
    let near = close_names(text, known).min();
    match near {
        Some((distance, near)) if distance <= 2 => format!("is `{near}` meant?"),
        _ if known.is_empty() => "none is defined".to_owned(),
        _ => {
            let mut known: Vec<_> = known.iter().map(|name| format!("`{name}`")).collect();
            known.sort_unstable();
            known.truncate(12);
            format!("defined are: {}", known.join(", "))
        }
    }
}
