//! Tests of includes, named blocks and variables: expansion, limits, and the positions in error reports.

use ivygate_config::{load_with, LoadedConfig, Loader, Severity};
use std::collections::BTreeMap;

/// Loader of in-memory files by name; `*` in a pattern matches any text.
struct MemoryLoader(BTreeMap<String, Vec<u8>>);

impl Loader for MemoryLoader {
    fn find(&self, _: &str, pattern: &str) -> Result<Vec<String>, String> {
        match pattern.split_once('*') {
            Some((from, to)) => {
                Ok(self.0.keys().filter(|n| n.starts_with(from) && n.ends_with(to)).cloned().collect())
            }
            None if self.0.contains_key(pattern) => Ok(vec![pattern.to_owned()]),
            None => Err("no such file".to_owned()),
        }
    }

    fn read(&self, name: &str) -> Result<Vec<u8>, String> {
        self.0.get(name).cloned().ok_or_else(|| "gone".to_owned())
    }
}

fn loaded(files: &[(&str, &str)]) -> LoadedConfig {
    let all = files.iter().map(|(name, text)| ((*name).to_owned(), text.as_bytes().to_vec())).collect();
    load_with("main", files[0].1.as_bytes(), &MemoryLoader(all))
}

/// Returns code, file and line of each warning and error.
fn findings_by_line(loaded: &LoadedConfig) -> Vec<String> {
    let place = |f: &ivygate_config::Diagnostic| {
        let place = loaded.sources.position(f.at.0);
        format!("{} {}:{}", f.code, place.file, place.line)
    };
    loaded.findings.iter().filter(|f| f.severity >= Severity::Warning).map(place).collect()
}

const LISTEN: &str = "listen 127.0.0.1:8080 { }\n";
const READ: &str = "class read { effect safe; deadline 2s; }\n";
const POOL: &str = "pool app { server a 127.0.0.1:9000; }\n";
const ROUTE: &str = "route all { class read; pool app; }\n";

#[test]
fn includes_are_expanded_in_place_at_any_depth() {
    let main = format!("{LISTEN}include classes;\npool app {{ include servers/*; }}\ninclude more;\n");
    let all = loaded(&[
        ("main", &main),
        ("classes", READ),
        ("servers/a", "server a 127.0.0.1:9000;"),
        ("servers/b", "server b 127.0.0.1:9001;"),
        ("more", "include last;"),
        ("last", ROUTE),
    ]);
    assert!(findings_by_line(&all).is_empty(), "{}", all.report(Severity::Note, false));
    let model = all.model.unwrap();
    let names: Vec<_> = model.pools[0].servers.iter().map(|s| s.name.as_str()).collect();
    assert_eq!((names, model.routes.len()), (vec!["a", "b"], 1));
}

#[test]
fn splitting_a_file_into_includes_keeps_the_model() {
    let one = loaded(&[("main", &[LISTEN, READ, POOL, ROUTE].concat())]);
    let many = loaded(&[("main", &format!("include x;\n{POOL}{ROUTE}")), ("x", &format!("{READ}{LISTEN}"))]);
    assert!(one.model.is_some() && one.model == many.model);
}

#[test]
fn include_cycle_is_reported_with_every_include() {
    let all = loaded(&[
        ("main", "\ninclude a;"),
        ("a", "\n\ninclude b;"),
        ("b", "include c;"),
        ("c", "\ninclude a;"),
    ]);
    let circle = all.findings.iter().find(|f| f.code == "IV0062").unwrap();
    let line = |span| all.sources.position(span).to_string();
    assert_eq!(line(circle.at.0), "c:2:9");
    assert_eq!(circle.related.iter().map(|(at, _)| line(*at)).collect::<Vec<_>>(), ["a:3:9", "b:1:9"]);
    let report = all.report(Severity::Note, false);
    assert!(report.contains("this includes `b`") && report.contains("--> c:2"), "{report}");
}

#[test]
fn self_include_missing_file_and_invalid_utf8_are_reported() {
    assert_eq!(
        findings_by_line(&loaded(&[("main", "include main2;"), ("main2", "include main2;")]))[0],
        "IV0062 main2:1"
    );
    assert_eq!(findings_by_line(&loaded(&[("main", "\ninclude gone;")]))[0], "IV0064 main:2");
    let files = BTreeMap::from([("x".to_owned(), b"limits { }\nlet \xff\xfe".to_vec())]);
    let all = load_with("main", b"include x;", &MemoryLoader(files));
    assert_eq!(findings_by_line(&all)[0], "IV0060 x:2");
    all.report(Severity::Note, false);
}

#[test]
fn pattern_that_matches_no_file_is_a_warning() {
    let all = loaded(&[("main", &format!("include none/*;\n{LISTEN}{READ}{POOL}{ROUTE}"))]);
    assert!(all.model.is_some());
    assert_eq!(findings_by_line(&all), ["IV0104 main:1"]);
}

#[test]
fn nesting_depth_and_statement_count_are_limited() {
    let files: Vec<(String, String)> =
        (0..40).map(|n| (format!("f{n}"), format!("include f{};", n + 1))).collect();
    let files: Vec<(&str, &str)> = files.iter().map(|(n, t)| (n.as_str(), t.as_str())).collect();
    assert!(findings_by_line(&loaded(&files)).iter().any(|f| f.starts_with("IV0063")));
    // Each block uses the previous one ten times, so the number of statements grows tenfold per level.
    let mut text = "block b0 { odd; odd; }\n".to_owned();
    for level in 1..15 {
        text += &format!("block b{level} {{ {} }}\n", format!("use b{}; ", level - 1).repeat(10));
    }
    let all = loaded(&[("main", &(text + "use b14;"))]);
    assert!(
        findings_by_line(&all).iter().any(|f| f.starts_with("IV0063")),
        "{:?}",
        findings_by_line(&all).first()
    );
}

#[test]
fn variables_are_substituted_and_errors_name_use_and_definition() {
    let text = format!("let wait time 2s;\nlet odd size 4KiB;\n{LISTEN}class read {{ effect safe; deadline $wait; aim $odd; }}\n{POOL}{ROUTE}");
    let all = loaded(&[("main", &text)]);
    assert_eq!(findings_by_line(&all), ["IV0022 main:4"]);
    let wrong = all.findings.iter().find(|f| f.code == "IV0022").unwrap();
    let defined = all.sources.position(wrong.related[0].0).line;
    assert_eq!(defined, 2);
    let right = text.replace("aim $odd; ", "").replace("let odd size 4KiB;\n", "");
    assert_eq!(loaded(&[("main", &right)]).model.unwrap().classes[0].deadline, 2000.0);
}

#[test]
fn definitions_may_follow_their_use_or_be_in_other_files() {
    let text = format!("{LISTEN}class read {{ use quick; }}\n{POOL}{ROUTE}include later;");
    let all =
        loaded(&[("main", &text), ("later", "block quick { effect safe; deadline $d; }\nlet d time 3s;")]);
    assert_eq!(all.model.unwrap().classes[0].deadline, 3000.0);
}

#[test]
fn duplicate_definitions_are_reported_with_both_positions() {
    for (first, second) in [("let a time 1s;", "let a time 2s;"), ("block a { }", "block a { }")] {
        let all = loaded(&[("main", &format!("{first}\ninclude b;")), ("b", second)]);
        let twice = all.findings.iter().find(|f| f.code == "IV0032").unwrap();
        assert_eq!(all.sources.position(twice.at.0).file, "b");
        assert_eq!(all.sources.position(twice.related[0].0).to_string(), "main:1:1");
    }
}

#[test]
fn named_block_does_not_silently_override_a_statement() {
    let text = format!("block quick {{ deadline 1s; }}\n{LISTEN}class read {{ effect safe; deadline 2s; use quick; }}\n{POOL}{ROUTE}");
    assert_eq!(findings_by_line(&loaded(&[("main", &text)])), ["IV0012 main:1"]);
}

#[test]
fn random_files_do_not_panic() {
    let fragments = [
        "include ",
        "a;",
        "b;",
        "*;",
        "use ",
        "x;",
        "block x { ",
        "block y { use x; ",
        "} ",
        "let ",
        "v time 2s;",
        "$v ",
        "deadline ",
        "\u{0}",
        "\"",
        "# ",
    ];
    let mut rng = fastrand::Rng::with_seed(4);
    for _ in 0..3000 {
        let mut text =
            || -> String { (0..rng.usize(..12)).map(|_| fragments[rng.usize(..fragments.len())]).collect() };
        let (main, a, b) = (text(), text(), text());
        let all = loaded(&[("main", &main), ("a", &a), ("b", &b)]);
        all.report(Severity::Note, false);
    }
}
