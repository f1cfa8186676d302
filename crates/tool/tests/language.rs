//! Tests that the reference page, the parser, the checker and the formatter agree.

use ivygate_config::{load, parse, Block, Severity};
use ivygate_tool::{format, KEYWORDS};
use std::collections::HashMap;

const PAGE: &str = include_str!("../../../docs/reference/configuration.md");

// ---- Random sentences generated from the grammar on the reference page.

#[derive(Clone, Debug)]
enum Rule {
    Literal(String),
    Special(String),
    Named(String),
    All(Vec<Rule>),
    One(Vec<Rule>),
    Repeat(Box<Rule>),
}

struct GrammarParser<'a> {
    rest: &'a str,
}

impl GrammarParser<'_> {
    fn skip(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn take(&mut self, text: &str) -> bool {
        self.skip();
        let found = self.rest.strip_prefix(text);
        self.rest = found.unwrap_or(self.rest);
        found.is_some()
    }

    fn until(&mut self, end: char) -> String {
        let at = self.rest.find(end).unwrap();
        let text = self.rest[..at].to_owned();
        self.rest = &self.rest[at + 1..];
        text
    }

    fn name(&mut self) -> String {
        self.skip();
        let end = self.rest.find(|c: char| !c.is_alphanumeric()).unwrap();
        let name = self.rest[..end].to_owned();
        self.rest = &self.rest[end..];
        name
    }

    fn one(&mut self) -> Rule {
        let mut choices = vec![self.all()];
        while self.take("|") {
            choices.push(self.all());
        }
        Rule::One(choices)
    }

    fn all(&mut self) -> Rule {
        let mut parts = vec![self.part()];
        while self.take(",") {
            parts.push(self.part());
        }
        Rule::All(parts)
    }

    fn part(&mut self) -> Rule {
        if self.take("{") {
            let inner = self.one();
            assert!(self.take("}"));
            Rule::Repeat(Box::new(inner))
        } else if self.take("(") {
            let inner = self.one();
            assert!(self.take(")"));
            inner
        } else if self.take("\"") {
            Rule::Literal(self.until('"'))
        } else if self.take("'") {
            Rule::Literal(self.until('\''))
        } else if self.take("?") {
            Rule::Special(self.until('?').trim().to_owned())
        } else {
            Rule::Named(self.name())
        }
    }
}

fn grammar() -> HashMap<String, Rule> {
    let text = PAGE.split("```ebnf\n").nth(1).unwrap().split("```").next().unwrap();
    let mut reader = GrammarParser { rest: text };
    let mut rules = HashMap::new();
    loop {
        reader.skip();
        if reader.rest.is_empty() {
            return rules;
        }
        let name = reader.name();
        assert!(reader.take("="), "{name}");
        let rule = reader.one();
        assert!(reader.take(";"), "{name}");
        rules.insert(name, rule);
    }
}

/// Generates random sentences of the grammar.
struct SentenceGenerator {
    rules: HashMap<String, Rule>,
    rng: fastrand::Rng,
    text: String,
    depth: usize,
}

impl SentenceGenerator {
    fn name(&mut self, name: &str) {
        let rule = self.rules[name].clone();
        // Tokens may be separated by white space or comments; words must be.
        if ["statement", "block", "word"].contains(&name) {
            self.separator();
        }
        if name == "statement" {
            self.depth += 1;
        }
        self.rule(&rule);
        if name == "statement" {
            self.depth -= 1;
        }
    }

    fn separator(&mut self) {
        self.text.push_str(
            [" ", "\t", "\n", "\r\n", " # a { comment ; \"\n", "\u{FEFF}", "  \n\n "][self.rng.usize(..7)],
        );
    }

    fn rule(&mut self, rule: &Rule) {
        match rule {
            Rule::Literal(text) => self.text.push_str(text),
            Rule::Named(name) => self.name(name),
            Rule::All(parts) => parts.iter().for_each(|part| self.rule(part)),
            Rule::One(choices) => {
                // Below a certain depth the first choice, which ends the statement, keeps sentences finite.
                let must_end = self.depth > 4;
                let choice = if must_end { 0 } else { self.rng.usize(..choices.len()) };
                self.rule(&choices[choice].clone());
            }
            Rule::Repeat(inner) => {
                let max_repeats = if self.depth > 4 { 1 } else { 4 };
                for _ in 0..self.rng.usize(..max_repeats) {
                    self.rule(inner);
                }
            }
            Rule::Special(what) => self.special(&what.clone()),
        }
    }

    fn special(&mut self, what: &str) {
        let from: &[char] = match what {
            "any character but controls, space, U+FEFF, { } ; # and \"" => {
                &['a', 'Z', '9', '-', '/', '*', '\\', '\'', '=', 'ä', '日', '\u{a0}']
            }
            "any character but controls other than tab, \" and \\" => {
                &['a', ' ', '\t', '{', '}', ';', '#', 'ß', '$']
            }
            "any character but controls other than tab" => &['a', ' ', '\t', '"', '\\', '{', ';', 'é'],
            "LF or end of file" => &['\n'],
            other => panic!("the grammar speaks of `{other}`, which this test cannot make"),
        };
        self.text.push(from[self.rng.usize(..from.len())]);
    }
}

#[test]
fn files_generated_from_the_documented_grammar_parse_and_format() {
    let rules = grammar();
    assert!(rules.len() >= 9, "{rules:?}");
    let mut generator =
        SentenceGenerator { rules, rng: fastrand::Rng::with_seed(7), text: String::new(), depth: 0 };
    let (mut statements, mut comments) = (0, 0);
    for _ in 0..3000 {
        generator.text.clear();
        generator.name("file");
        if generator.rng.bool() {
            generator.name("comment");
        }
        let (block, errors) = parse(&generator.text, 0);
        assert!(errors.is_empty(), "{:?}: {errors:?}", generator.text);
        statements += block.statements.len();
        comments += generator.text.matches('#').count();
        assert_formatting_keeps_meaning(&generator.text);
    }
    assert!(statements > 1000 && comments > 1000, "{statements} {comments}");
}

/// Collects the words of all statements, and the comments.
fn collect_words(block: &Block, words: &mut String, comments: &mut Vec<String>) {
    for statement in &block.statements {
        comments.extend(statement.comments.iter().map(|c| c.text.clone()));
        for word in &statement.words {
            *words += &std::format!("{:?}{} ", word.text, word.quoted);
        }
        if let Some(inner) = &statement.block {
            words.push('{');
            collect_words(inner, words, comments);
            words.push('}');
        }
        words.push(';');
    }
    comments.extend(block.trailing.iter().map(|c| c.text.clone()));
}

fn assert_formatting_keeps_meaning(text: &str) {
    let once = format("x", text).unwrap();
    let twice = format("x", &once).unwrap();
    assert_eq!(once, twice, "from {text:?}");
    let read = |text: &str| {
        let (block, errors) = parse(text, 0);
        assert!(errors.is_empty(), "{text:?}");
        let (mut words, mut comments) = (String::new(), Vec::new());
        collect_words(&block, &mut words, &mut comments);
        comments.sort();
        (words, comments)
    };
    assert_eq!(read(text), read(&once), "from {text:?}");
    assert!(once.lines().all(|line| line.trim_end() == line), "{once:?}");
}

#[test]
fn keywords_match_the_statements_that_the_checker_accepts() {
    // An unknown statement makes the checker list the statements that a block may have.
    let probes = [
        ("", "odd;"),
        ("limits", "limits { odd; }"),
        ("listen", "listen 127.0.0.1:1 { odd; }"),
        ("class", "class c { odd; }"),
        ("plan", "plan p { odd; }"),
        ("identity", "identity { odd; }"),
        ("customer", "customer c { odd; }"),
        ("pool", "pool p { odd; }"),
        ("cold", "pool p { cold { odd; } }"),
        ("group", "group { odd; }"),
        ("domains", "pool p { domains { odd; } }"),
        ("server", "pool p { server s 127.0.0.1:1 { odd; } }"),
        ("route", "route r { odd; }"),
        ("sign-in", "sign-in s { odd; }"),
    ];
    for (within, text) in probes {
        let text = &text.replace("odd", "zzzzzzzz");
        let loaded = load("x", text);
        let finding = loaded.findings.iter().find(|f| f.code == "IV0010").unwrap();
        let help = &finding.help[0];
        let mut known: Vec<&str> = help.split(": ").nth(1).unwrap().split(", ").collect();
        if within.is_empty() {
            known.extend(["include", "let", "block", "use"]);
        }
        known.sort_unstable();
        known.dedup();
        let mut listed: Vec<&str> = KEYWORDS.iter().filter(|k| k.block == within).map(|k| k.name).collect();
        listed.sort_unstable();
        if within == "class" {
            known
                .extend(["key", "scope", "window"].iter().filter(|n| !known.contains(n)).collect::<Vec<_>>());
            known.sort_unstable();
        }
        assert_eq!(known, listed, "{within}");
    }
}

#[test]
fn reference_page_documents_every_statement_in_its_section() {
    for keyword in KEYWORDS {
        let section = match keyword.block {
            "" if ["include", "let", "block", "use"].contains(&keyword.name) => {
                "## Files, blocks and variables"
            }
            "" => {
                assert!(PAGE.contains(&std::format!("### `{}", keyword.name)), "{keyword:?}");
                continue;
            }
            "cold" | "domains" | "server" => "### `pool",
            "customer" => "### `customer",
            within => &std::format!("### `{within}"),
        };
        let at = PAGE.find(section).unwrap_or_else(|| panic!("{section}"));
        let body = &PAGE[at + 3..];
        let body = &body[..body.find("\n##").unwrap_or(body.len())];
        assert!(body.contains(&std::format!("{} ", keyword.name)), "{keyword:?} is not in {section}");
    }
}

// ---- Random and very large inputs.

const FRAGMENTS: [&str; 40] = [
    "limits",
    "listen",
    "127.0.0.1:8080",
    "class",
    "a",
    "{",
    "}",
    ";",
    "effect",
    "safe",
    "keyed",
    "deadline",
    "2s",
    "15ms",
    "meant",
    "plan",
    "quota",
    "20/s",
    "pool",
    "server",
    "route",
    "path",
    "prefix",
    "/a",
    "pattern",
    "/*/**",
    "include",
    "x.conf",
    "let",
    "time",
    "$a",
    "block",
    "use",
    "\"",
    "# c\n",
    "\0",
    "\u{FEFF}",
    "\r\n",
    "999999999999999999999999999999s",
    "1e999s",
];

#[test]
fn random_input_does_not_panic() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut read = 0;
    for _ in 0..4000 {
        let mut text = String::new();
        for _ in 0..rng.usize(..60) {
            text.push_str(FRAGMENTS[rng.usize(..FRAGMENTS.len())]);
            if rng.u8(..10) > 0 {
                text.push(' ');
            }
        }
        let loaded = load("x", &text);
        loaded.report(Severity::Note, rng.bool());
        ivygate_tool::findings_as_json(&loaded);
        match format("x", &text) {
            Ok(_) => {
                assert_formatting_keeps_meaning(&text);
                read += 1;
            }
            Err(error) => drop(error.sources.render(&error.findings, false)),
        }
    }
    assert!(read > 20, "{read}");
}

#[test]
fn random_edits_of_a_valid_file_do_not_panic() {
    let good = include_str!("../../../deploy/sidecar.conf");
    let mut rng = fastrand::Rng::with_seed(6);
    for _ in 0..1500 {
        let mut text: Vec<char> = good.chars().collect();
        for _ in 0..rng.usize(1..6) {
            if text.is_empty() {
                break;
            }
            let at = rng.usize(..text.len());
            match rng.u8(..4) {
                0 => drop(text.remove(at)),
                1 => text.insert(at, ['{', '}', ';', '"', '#', '9', '$', '\0', 'ä'][rng.usize(..9)]),
                2 => text.truncate(at.max(1)),
                _ => text[at] = ['{', '}', ';', '"', '\n', 's', 'm', '0'][rng.usize(..8)],
            }
        }
        let text: String = text.into_iter().collect();
        let loaded = load("x", &text);
        loaded.report(Severity::Note, false);
        assert_eq!(loaded.model.is_none(), loaded.count(Severity::Error) > 0, "{text}");
        if format("x", &text).is_ok() {
            assert_formatting_keeps_meaning(&text);
        }
    }
}

#[test]
fn very_large_inputs_produce_bounded_reports() {
    let deep = "a { ".repeat(100_000);
    let words = "word ".repeat(1_000_000);
    let line = std::format!("class x {{ deadline {}; }}", "9".repeat(10 << 20));
    let letters = "x".repeat(10 << 20);
    let braces = "}".repeat(10 << 20);
    let quotes = "\"".repeat(1 << 20);
    let comment = std::format!("#{}", " c".repeat(5 << 20));
    let path = std::format!("route r {{ path exact {}; }}", "/a".repeat(1 << 20));
    let nul = "\0".repeat(1 << 20);
    for text in [deep, words, line, letters, braces, quotes, comment, path, nul] {
        let loaded = load("x", &text);
        assert!(loaded.model.is_none());
        let report = loaded.report(Severity::Note, false);
        assert!(report.len() < 4 << 20, "{} of {}", report.len(), text.len());
    }
}

// ---- Formatting.

#[test]
fn format_produces_the_canonical_layout() {
    let text = "# head\r\n\r\n\r\nlimits{descriptors 2048;drain   5s ;}   # behind\nclass a{effect safe;# why\n\n\n deadline 2s;\n\
                # last\n}\npool p { server s 127.0.0.1:1 { zone \"a b\"; }; }\nlet a time # within\n 2s;\nplan e { }";
    let wanted = "# head\n\nlimits { descriptors 2048; drain 5s; } # behind\nclass a {\n    effect safe; # why\n\n    deadline 2s;\n\
                  \x20   # last\n}\npool p { server s 127.0.0.1:1 { zone \"a b\"; } }\n# within\nlet a time 2s;\nplan e { }\n";
    assert_eq!(format("x", text).unwrap(), wanted);
}

#[test]
fn block_too_long_for_one_line_is_split() {
    let text = std::format!("class a {{ effect safe; deadline 2s; aim 1s; key {}; }}\n", "k".repeat(80));
    let formatted = format("x", &text).unwrap();
    assert!(formatted.starts_with("class a {\n    effect safe;\n"), "{formatted}");
}

#[test]
fn text_with_syntax_errors_is_not_formatted() {
    let error = format("x.conf", "class a { effect safe").unwrap_err();
    assert!(error.sources.render(&error.findings, false).contains("x.conf:1:9"));
}
