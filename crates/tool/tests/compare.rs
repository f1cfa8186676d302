//! Tests that a comparison reports all differences in behaviour and no others.

use ivygate_config::{load, load_with, LoadedConfig, Loader};
use ivygate_tool::{compare, Difference};

const BASE_CONFIG: &str = "\
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

fn load_valid(text: &str) -> LoadedConfig {
    let loaded = load("x", text);
    assert!(loaded.model.is_some(), "{}", loaded.report(ivygate_config::Severity::Error, false));
    loaded
}

fn differences(old: &str, new: &str) -> Vec<Difference> {
    compare(&load_valid(old), &load_valid(new)).unwrap()
}

fn differences_after_replacing(from: &str, to: &str) -> Vec<Difference> {
    assert!(BASE_CONFIG.contains(from), "{from}");
    differences(BASE_CONFIG, &BASE_CONFIG.replacen(from, to, 1))
}

#[test]
fn reordering_and_reformatting_make_no_difference() {
    let mut lines: Vec<&str> = BASE_CONFIG.lines().collect();
    lines.reverse();
    assert_eq!(differences(BASE_CONFIG, &lines.join("\n# c\n\n")), []);
    assert_eq!(differences(BASE_CONFIG, &ivygate_tool::format("x", BASE_CONFIG).unwrap()), []);
    assert_eq!(
        differences_after_replacing("trusted 127.0.0.1 10.0.0.0/8", "trusted 10.0.0.0/8 127.0.0.1/32"),
        []
    );
    assert_eq!(differences_after_replacing("deadline 2s", "deadline 2000ms"), []);
}

#[test]
fn includes_and_variables_make_no_difference() {
    struct SingleFileLoader;
    impl Loader for SingleFileLoader {
        fn find(&self, _: &str, pattern: &str) -> Result<Vec<String>, String> {
            Ok(vec![pattern.to_owned()])
        }
        fn read(&self, _: &str) -> Result<Vec<u8>, String> {
            Ok(BASE_CONFIG.replace("deadline 2s", "deadline $d").into_bytes())
        }
    }
    let other = load_with("y", b"let d time 2s;\ninclude all;", &SingleFileLoader);
    assert_eq!(compare(&load_valid(BASE_CONFIG), &other).unwrap(), []);
}

#[test]
fn renaming_or_splitting_a_route_makes_no_difference() {
    assert_eq!(differences_after_replacing("route tiles", "route maps"), []);
    let split = "sign-in m { pool app; path /check; answer-headers X-User; }
route tiles { path prefix /tiles; class read; pool app; }\nroute more { path exact /tiles/one; class read; pool app; }";
    assert_eq!(
        differences_after_replacing(
            "sign-in m { pool app; path /check; answer-headers X-User; }
route tiles { path prefix /tiles; class read; pool app; }",
            split
        ),
        []
    );
}

#[test]
fn rerouted_requests_are_reported_with_example_and_positions() {
    let all = differences_after_replacing(
        "route tiles {",
        "route one { path exact /tiles/one; class read; pool pay; }\nroute tiles {",
    );
    assert_eq!(all.len(), 1, "{all:?}");
    assert_eq!(all[0].example.as_deref(), Some("GET http://other/tiles/one"));
    assert_eq!(all[0].old.as_ref().unwrap().position, "x:13:1");
    assert!(all[0].new.as_ref().unwrap().value.contains("pool pay"));
    let rerouted = differences_after_replacing(
        "route orders { path exact /orders; methods POST; class order; pool pay; }\n",
        "route orders { path exact /order; methods POST; class order; pool pay; }\n",
    );
    let examples: Vec<_> =
        rerouted.iter().map(|d| (d.change.as_str(), d.example.as_deref().unwrap())).collect();
    assert_eq!(
        examples,
        [
            ("requests are served that were answered 404 or 405", "POST http://other/order"),
            ("requests are answered 404 or 405 now", "POST http://other/orders"),
        ]
    );
}

#[test]
fn only_risky_changes_are_marked_as_risky() {
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
        let all = differences_after_replacing(from, to);
        assert!(!all.is_empty(), "{to}");
        assert_eq!(all.iter().any(|d| d.risk.is_some()), risky, "{to}: {all:?}");
    }
}

#[test]
fn removing_or_loosening_a_sign_in_is_risky() {
    let with_sign_in = BASE_CONFIG.replace("class read; pool app", "sign-in m; class read; pool app");
    let all = differences(&with_sign_in, BASE_CONFIG);
    assert_eq!(all.len(), 1, "{all:?}");
    assert_eq!(all[0].risk.as_deref(), Some("sign-in is removed: these go on unchecked"));
    for (from, to, risky) in [
        ("path /check;", "path /check; on-failure open;", true),
        ("path /check;", "path /other;", true),
        ("answer-headers X-User;", "answer-headers X-User X-Plan;", false),
        ("answer-headers X-User;", "answer-headers X-Plan;", true),
        ("path /check;", "path /check; within 400ms;", false),
    ] {
        let all = differences(&with_sign_in, &with_sign_in.replacen(from, to, 1));
        assert_eq!((all.len(), all[0].risk.is_some()), (1, risky), "{to}: {all:?}");
    }
}

#[test]
fn each_change_names_block_setting_and_both_positions() {
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
        let all = differences_after_replacing(from, to);
        let difference = all.iter().find(|d| d.subject == subject && d.change == what);
        let difference = difference.unwrap_or_else(|| panic!("{to}: {all:?}"));
        assert_eq!(
            (
                difference.old.as_ref().unwrap().position.as_str(),
                difference.new.as_ref().unwrap().position.as_str()
            ),
            (old, new),
            "{to}"
        );
    }
}

#[test]
fn added_and_removed_servers_are_reported_once_each() {
    let all = differences_after_replacing("server b 127.0.0.1:9001", "server c 127.0.0.1:9001");
    let reported: Vec<_> = all.iter().map(|d| (d.subject.as_str(), d.change.as_str())).collect();
    assert_eq!(reported, [("pool app, server b", "is gone"), ("pool app, server c", "is new")]);
}
