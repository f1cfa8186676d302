//! What two configurations do differently is told, and nothing else is.

use ivygate_config::{load, load_with, LoadedConfig, Loader};
use ivygate_tool::{compare, Difference};

const BASE: &str = "\
limits { descriptors 4096; }
listen 127.0.0.1:8080 { trusted 127.0.0.1 10.0.0.0/8; connections 1000; }
class read { effect safe; deadline 2s; }
class edit { effect keyed; scope zone; window 10s; deadline 3s; }
class order { effect unsafe; deadline 5s; }
plan small { quota 5/s; ceiling 10/s; }
plan large { quota 50/s; }
identity { customer header X-Customer; default-plan large; }
customer a { plan small; }
pool app { zone north; server a 127.0.0.1:9000; server b 127.0.0.1:9001; }
pool pay { zone north; server a 127.0.0.1:9100; }
sign-in m { pool app; path /check; answer-headers X-User; }
route tiles { path prefix /tiles; class read; pool app; }
route edits { path pattern /trails/*/edits; methods POST; class edit; pool app; }
route orders { path exact /orders; methods POST; class order; pool pay; }
";

fn good(text: &str) -> LoadedConfig {
    let loaded = load("x", text);
    assert!(loaded.model.is_some(), "{}", loaded.report(ivygate_config::Severity::Error, false));
    loaded
}

fn differences(old: &str, new: &str) -> Vec<Difference> {
    compare(&good(old), &good(new)).unwrap()
}

fn changed(from: &str, to: &str) -> Vec<Difference> {
    assert!(BASE.contains(from), "{from}");
    differences(BASE, &BASE.replacen(from, to, 1))
}

#[test]
fn reordered_and_reformatted_files_are_equal() {
    let mut lines: Vec<&str> = BASE.lines().collect();
    lines.reverse();
    assert_eq!(differences(BASE, &lines.join("\n# c\n\n")), []);
    assert_eq!(differences(BASE, &ivygate_tool::format("x", BASE).unwrap()), []);
    assert_eq!(changed("trusted 127.0.0.1 10.0.0.0/8", "trusted 10.0.0.0/8 127.0.0.1/32"), []);
    assert_eq!(changed("deadline 2s", "deadline 2000ms"), []);
}

#[test]
fn the_same_in_other_files_and_by_variables_is_equal() {
    struct One;
    impl Loader for One {
        fn find(&self, _: &str, pattern: &str) -> Result<Vec<String>, String> {
            Ok(vec![pattern.to_owned()])
        }
        fn read(&self, _: &str) -> Result<Vec<u8>, String> {
            Ok(BASE.replace("deadline 2s", "deadline $d").into_bytes())
        }
    }
    let other = load_with("y", b"let d time 2s;\ninclude all;", &One);
    assert_eq!(compare(&good(BASE), &other).unwrap(), []);
}

#[test]
fn a_route_that_is_renamed_or_split_without_effect_is_equal() {
    assert_eq!(changed("route tiles", "route maps"), []);
    let split = "sign-in m { pool app; path /check; answer-headers X-User; }
route tiles { path prefix /tiles; class read; pool app; }\nroute more { path exact /tiles/one; class read; pool app; }";
    assert_eq!(
        changed(
            "sign-in m { pool app; path /check; answer-headers X-User; }
route tiles { path prefix /tiles; class read; pool app; }",
            split
        ),
        []
    );
}

#[test]
fn requests_that_go_elsewhere_come_with_an_example_and_both_lines() {
    let all =
        changed("route tiles {", "route one { path exact /tiles/one; class read; pool pay; }\nroute tiles {");
    assert_eq!(all.len(), 1, "{all:?}");
    assert_eq!(all[0].example.as_deref(), Some("GET http://other/tiles/one"));
    assert_eq!(all[0].old.as_ref().unwrap().place, "x:13:1");
    assert!(all[0].new.as_ref().unwrap().value.contains("pool pay"));
    let gone = changed(
        "route orders { path exact /orders; methods POST; class order; pool pay; }\n",
        "route orders { path exact /order; methods POST; class order; pool pay; }\n",
    );
    let examples: Vec<_> = gone.iter().map(|d| (d.change.as_str(), d.example.as_deref().unwrap())).collect();
    assert_eq!(
        examples,
        [
            ("requests are served that were answered 404 or 405", "POST http://other/order"),
            ("requests are answered 404 or 405 now", "POST http://other/orders"),
        ]
    );
}

#[test]
fn what_is_risky_is_marked_and_what_is_not_is_not() {
    let cases = [
        ("effect unsafe", "effect safe", true),
        ("effect unsafe", "effect keyed; scope all; window 5s", true),
        ("effect keyed; scope zone; window 10s", "effect unsafe", false),
        ("window 10s", "window 15s", true),
        ("window 10s", "window 5s", false),
        ("scope zone", "scope all", true),
        ("ceiling 10/s", "ceiling 20/s", true),
        ("ceiling 10/s", "ceiling 8/s", false),
        ("; ceiling 10/s", "", true),
        ("quota 50/s;", "quota 50/s; ceiling 90/s;", false),
        ("trusted 127.0.0.1 10.0.0.0/8", "trusted 127.0.0.1 10.0.0.0/7", true),
        ("trusted 127.0.0.1 10.0.0.0/8", "trusted 127.0.0.1", false),
        ("customer header X-Customer", "customer address", true),
        ("pool pay {", "pool pay { declined Srv-Declined 1;", true),
        ("pool app {", "pool app { second-copies yes;", true),
        ("pool app {", "pool app { sidecars 2;", false),
        ("deadline 2s", "deadline 3s", false),
        ("class order; pool pay", "class edit; pool pay", true),
        ("class edit; pool app", "repeat unsent; class edit; pool app", false),
        ("127.0.0.1:8080", "127.0.0.1:8081", true),
        ("class read; pool app", "sign-in m; class read; pool app", false),
    ];
    for (from, to, risky) in cases {
        let all = changed(from, to);
        assert!(!all.is_empty(), "{to}");
        assert_eq!(all.iter().any(|d| d.risk.is_some()), risky, "{to}: {all:?}");
    }
}

#[test]
fn a_sign_in_that_is_removed_or_loosened_is_risky() {
    let asked = BASE.replace("class read; pool app", "sign-in m; class read; pool app");
    let all = differences(&asked, BASE);
    assert_eq!(all.len(), 1, "{all:?}");
    assert_eq!(all[0].risk.as_deref(), Some("sign-in is removed: these go on unchecked"));
    for (from, to, risky) in [
        ("path /check;", "path /check; on-failure open;", true),
        ("path /check;", "path /other;", true),
        ("answer-headers X-User;", "answer-headers X-User X-Plan;", false),
        ("answer-headers X-User;", "answer-headers X-Plan;", true),
        ("path /check;", "path /check; within 400ms;", false),
    ] {
        let all = differences(&asked, &asked.replacen(from, to, 1));
        assert_eq!((all.len(), all[0].risk.is_some()), (1, risky), "{to}: {all:?}");
    }
}

#[test]
fn each_change_names_its_subject_its_statement_and_both_lines() {
    let cases = [
        ("deadline 2s", "deadline 4s", "class read", "deadline", "x:3:27", "x:3:27"),
        (
            "server b 127.0.0.1:9001",
            "server b 127.0.0.1:9002",
            "pool app, server b",
            "address",
            "x:10:49",
            "x:10:49",
        ),
        ("quota 5/s", "quota 6/s", "plan small", "quota", "x:6:14", "x:6:14"),
        ("{ plan small; }", "{ plan large; }", "customer a", "plan", "x:9:14", "x:9:14"),
        ("default-plan large", "default-plan small", "identity", "default-plan", "x:8:40", "x:8:40"),
        ("descriptors 4096", "descriptors 5000", "limits", "descriptors", "x:1:10", "x:1:10"),
        ("connections 1000", "connections 1100", "listen 127.0.0.1:8080", "connections", "x:2:55", "x:2:55"),
    ];
    for (from, to, subject, what, old, new) in cases {
        let all = changed(from, to);
        let hit = all.iter().find(|d| d.subject == subject && d.change == what);
        let hit = hit.unwrap_or_else(|| panic!("{to}: {all:?}"));
        assert_eq!(
            (hit.old.as_ref().unwrap().place.as_str(), hit.new.as_ref().unwrap().place.as_str()),
            (old, new),
            "{to}"
        );
    }
}

#[test]
fn servers_that_come_and_go_are_told_once_each() {
    let all = changed("server b 127.0.0.1:9001", "server c 127.0.0.1:9001");
    let told: Vec<_> = all.iter().map(|d| (d.subject.as_str(), d.change.as_str())).collect();
    assert_eq!(told, [("pool app, server b", "is gone"), ("pool app, server c", "is new")]);
}
