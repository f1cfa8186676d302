//! Tests of the checker: errors are reported at their positions in one run, and valid files produce the
//! expected model.

use ivygate_config::*;

const VALID_CONFIG: &str = "\
listen 127.0.0.1:8080 { trusted 127.0.0.1 10.0.0.0/8; connections 200; idle 30s; }
class read { effect safe; aim 250ms; deadline 2s; worth 2; }
class edit { effect keyed; scope zone meant; window 15s; deadline 3s; key X-Key; }
class order { effect unsafe; deadline 5s; }
plan small { quota 300/m; burst 10; ceiling 10/s; ceiling-burst 20; }
plan large { }
identity { customer cookie who; plan header X-Plan; default-plan large; deadline header Req-Deadline; }
customer \"a b\" { plan small; }
pool app {
    zone north; sidecars 3; requests 64; repeat-limit 1MiB; errors 500 503; declined Srv-Declined 1;
    cold { from 0.3; warm 20s; }
    server one 127.0.0.1:9001 { weight 2; cell 4; }
    server two [::1]:9002 { zone south; state draining; }
}
route all { class read; pool app; }
route edits { host *.example.org; path pattern /trails/*/edits; class edit; pool app; methods POST; }
route orders { host shop.example.org; path exact /orders; class order; pool app; }
";

fn model(text: &str) -> Model {
    let loaded = load("test.conf", text);
    loaded.model.unwrap_or_else(|| panic!("{}", load("test.conf", text).report(Severity::Note, false)))
}

#[test]
fn valid_file_produces_the_expected_model() {
    let model = model(VALID_CONFIG);
    let listener = &model.listeners[0];
    assert_eq!((listener.connections, listener.idle, listener.trusted.len()), (200, 30_000.0, 2));
    assert_eq!(model.classes[1].effect, Effect::Keyed(Scope::Zone, 15_000.0));
    assert_eq!((model.classes[1].key_header.as_str(), model.classes[0].aim), ("x-key", 250.0));
    assert_eq!((model.plans[0].quota, model.plans[0].ceiling), (5.0, 10.0));
    assert_eq!(model.customers.iter().map(|c| (c.name.as_str(), c.plan)).collect::<Vec<_>>(), [("a b", 0)]);
    assert_eq!(model.identity.default_plan, 1);
    let pool = &model.pools[0];
    assert_eq!((pool.sidecars, pool.repeat_limit, pool.errors.as_slice()), (3, 1 << 20, &[500, 503][..]));
    assert_eq!(pool.cold.map(|c| (c.from, c.warm, c.fall)), Some((0.3, 20_000.0, 2.0)));
    let [one, two] = &pool.servers[..] else { panic!("two servers") };
    assert_eq!((one.zone.as_str(), one.weight, one.cell, one.draining), ("north", 2.0, 4, false));
    assert_eq!((two.zone.as_str(), two.draining), ("south", true));
    assert_eq!(model.routes.iter().map(|r| (r.class, r.pool)).collect::<Vec<_>>(), [(0, 0), (1, 0), (2, 0)]);
}

#[test]
fn safe_class_defaults_to_safe_methods() {
    let route_methods = |text: &str| match &model(text).routes[0].matcher.methods {
        ivygate_routing::MethodMatch::Any => vec!["any".to_owned()],
        ivygate_routing::MethodMatch::Named(names) => names.clone(),
    };
    assert_eq!(route_methods(VALID_CONFIG), ["GET", "HEAD", "OPTIONS"]);
    assert_eq!(
        route_methods(&VALID_CONFIG.replace("route all { class read;", "route all { class order;")),
        ["any"]
    );
    let with_post = VALID_CONFIG.replace("route all { class read;", "route all { methods POST; class read;");
    assert_eq!(route_methods(&with_post), ["POST"]);
    let warned = load("test.conf", &with_post);
    let warnings: Vec<_> = warned.findings.iter().filter(|f| f.severity == Severity::Warning).collect();
    assert_eq!((warnings.len(), warnings[0].code), (1, "IV0101"));
}

#[test]
fn model_comparison_ignores_positions() {
    assert!(
        model(VALID_CONFIG)
            == model(&VALID_CONFIG.replace("; ", ";\n  ").replace("pool app", "# comment\n\npool app"))
    );
    assert!(model(VALID_CONFIG) != model(&VALID_CONFIG.replace("250ms", "251ms")));
}

#[test]
fn each_mistake_is_reported_at_its_position() {
    // Text to replace, replacement, expected code, and the source text at the reported position.
    let cases = [
        ("idle 30s", "idle 30", "IV0021", "30"),
        ("idle 30s", "idle 30KiB", "IV0022", "30KiB"),
        ("idle 30s", "idle long", "IV0020", "long"),
        ("idle 30s", "idle 0s", "IV0024", "0s"),
        ("idle 30s", "idle 25h", "IV0023", "25h"),
        ("idle 30s", "idle", "IV0014", "idle"),
        ("idle 30s", "idel 30s", "IV0010", "idel"),
        ("idle 30s;", "idle 30s; idle 40s;", "IV0012", "idle"),
        ("connections 200", "connections 2.5", "IV0023", "2.5"),
        ("connections 200", "connections 20s", "IV0022", "20s"),
        ("127.0.0.1:8080", "localhost:8080", "IV0038", "localhost:8080"),
        ("10.0.0.0/8", "10.0.0.0/99", "IV0039", "10.0.0.0/99"),
        ("effect safe", "effect save", "IV0037", "save"),
        ("effect safe; aim", "aim", "IV0011", "class read"),
        ("deadline 2s; worth 2", "worth 2", "IV0011", "class read"),
        ("aim 250ms", "aim 3s", "IV0041", "aim 3s;"),
        ("scope zone meant; ", "", "IV0011", "class edit"),
        ("window 15s; ", "", "IV0011", "class edit"),
        ("scope zone", "scope town", "IV0036", "town"),
        ("effect unsafe;", "effect unsafe; window 15s;", "IV0042", "window 15s;"),
        ("quota 300/m", "quota 300", "IV0021", "300"),
        ("ceiling 10/s", "ceiling 1/s", "IV0040", "ceiling 1/s;"),
        ("burst 10;", "burst 0.5;", "IV0049", "burst 0.5;"),
        ("worth 2; }", "worth 2; units 12; }", "IV0049", "plan small"),
        ("plan large", "plan small", "IV0032", "small"),
        ("customer cookie who", "customer coookie who", "IV0034", "coookie"),
        ("plan header X-Plan", "plan cookie X-Plan", "IV0035", "cookie"),
        ("header X-Plan", "header X:Plan", "IV0030", "X:Plan"),
        ("{ plan small; }", "{ plan smal; }", "IV0033", "smal"),
        ("cold { from 0.3", "cold { from 30", "IV0023", "30"),
        ("cold { from 0.3", "cold { from 30%", "IV0022", "30%"),
        ("errors 500 503", "errors 404", "IV0046", "404"),
        ("[::1]:9002", "127.0.0.1:9001", "IV0047", "127.0.0.1:9001"),
        ("server two [::1]:9002", "server one [::1]:9002", "IV0032", "one"),
        ("state draining", "state drained", "IV0048", "drained"),
        ("host *.example.org", "host *.example..org", "IV0050", "*.example..org"),
        ("pattern /trails/*/edits", "glob /trails/*/edits", "IV0051", "glob"),
        ("pattern /trails/*/edits", "pattern /tr*/edits", "IV0052", "/tr*/edits"),
        ("exact /orders", "exact /a//orders", "IV0052", "/a//orders"),
        ("methods POST", "methods post", "IV0053", "post"),
        ("class order; pool app", "class order; pool apps", "IV0033", "apps"),
        ("route orders", "route edits", "IV0032", "edits"),
        (
            "host *.example.org; path pattern /trails/*/edits; class edit; pool app; methods POST;",
            "class order; pool app; methods GET;",
            "IV0054",
            "route edits",
        ),
        ("zone north;", "", "IV0055", "server one 127.0.0.1:9001"),
        ("connections 200", "connections 20000", "IV0056", "listen 127.0.0.1:8080"),
        ("requests 64", "requests 190", "IV0057", "listen 127.0.0.1:8080"),
        ("weight 2; cell 4; }", "weight 2; cell 4;", "IV0003", "{"),
        ("route all { class read; pool app; }", "route all { class read; pool app; } }", "IV0002", "}"),
        ("route all { class read", "{ class read", "IV0004", "{"),
        ("class read; pool app; }", "class read; pool app }", "IV0006", "app"),
        ("aim 250ms;", "aim 250ms", "IV0015", "deadline"),
        ("\"a b\"", "\"a b", "IV0001", "\"a b {"),
    ];
    for (from, to, code, place) in &cases {
        assert!(VALID_CONFIG.contains(from), "{from}");
        let text = VALID_CONFIG.replacen(from, to, 1);
        let loaded = load("test.conf", &text);
        assert!(loaded.model.is_none(), "{to}: taken");
        let found: Vec<_> =
            loaded.findings.iter().map(|f| (f.code, &text[f.at.0.start..f.at.0.end])).collect();
        let hit = loaded
            .findings
            .iter()
            .find(|f| f.code == *code && text[f.at.0.start..f.at.0.end].starts_with(place));
        let hit = hit.unwrap_or_else(|| panic!("{to}: {found:?}"));
        let report = loaded.report(Severity::Note, false);
        let line = text[..hit.at.0.start].matches('\n').count() + 1;
        assert!(report.contains(&format!("test.conf:{line}:")) && report.contains(code), "{report}");
    }
    assert_eq!(cases.len(), 52);
}

#[test]
fn one_run_reports_the_errors_of_all_blocks() {
    let text = VALID_CONFIG
        .replace("idle 30s", "idle 30")
        .replace("effect safe", "effect save")
        .replace("pool app; methods", "pool ap; methods");
    let loaded = load("test.conf", &text);
    let codes: Vec<_> = loaded.findings.iter().map(|f| f.code).collect();
    assert_eq!(codes, ["IV0021", "IV0037", "IV0033"]);
    assert!(loaded.report(Severity::Note, false).contains("is `app` meant?"));
}

#[test]
fn random_and_truncated_input_does_not_panic() {
    let mut rng = fastrand::Rng::with_seed(3);
    let fragments = [
        "{",
        "}",
        ";",
        "\"",
        "#",
        "listen",
        "pool",
        "a",
        "15s",
        "\n",
        " ",
        "\\",
        "é",
        "\0",
        "class",
        "effect keyed;",
        "server a 127.0.0.1:1",
    ];
    for _ in 0..3_000 {
        let text: String = (0..rng.usize(0..40)).map(|_| fragments[rng.usize(..fragments.len())]).collect();
        let loaded = load("test.conf", &text);
        assert!(loaded.model.is_none() && !loaded.findings.is_empty(), "{text:?}");
        loaded.report(Severity::Note, false);
    }
    let deep = "a {".repeat(100_000);
    assert!(load("test.conf", &deep).model.is_none());
    // A valid file truncated at any byte is either rejected or still a complete configuration.
    for end in 0..VALID_CONFIG.len() {
        let loaded = load("test.conf", &VALID_CONFIG[..end]);
        assert!(loaded.model.is_some() || !loaded.findings.is_empty());
    }
}

#[test]
fn comments_are_attached_to_the_following_statement() {
    let (block, errors) = parse("# first\na b; # behind\nc { # inside\n d; }\n# last\n", 0);
    assert!(errors.is_empty());
    let texts = |comments: &[Comment]| comments.iter().map(|c| c.text.clone()).collect::<Vec<_>>();
    assert_eq!(texts(&block.statements[0].comments), ["# first"]);
    assert_eq!(texts(&block.statements[1].comments), ["# behind"]);
    let inner = block.statements[1].block.as_ref().expect("a block");
    assert_eq!(texts(&inner.statements[0].comments), ["# inside"]);
    assert_eq!(texts(&block.trailing), ["# last"]);
}
