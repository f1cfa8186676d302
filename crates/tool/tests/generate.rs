//! Tests that generated configurations pass the checker, are formatted, and match their description.

use ivygate_config::{load, Effect, Model, Severity};
use ivygate_routing::{LookupResult, RouteTable};
use ivygate_tool::{format, from_openapi, generate, AppDescription, Route, RouteEffect};

fn generate_checked(app: &AppDescription) -> (String, Model) {
    let text = generate(app, "127.0.0.1:8080".parse().unwrap());
    let loaded = load("x", &text);
    let report = loaded.report(Severity::Warning, false);
    assert!(report.is_empty(), "{text}\n{report}");
    assert_eq!(format("x", &text).unwrap(), text);
    (text, loaded.model.unwrap())
}

fn app(routes: &[&str]) -> AppDescription {
    AppDescription {
        name: "shop".into(),
        servers: vec!["127.0.0.1:9000".parse().unwrap()],
        routes: routes.iter().map(|r| r.parse().unwrap()).collect(),
        ..AppDescription::default()
    }
}

/// Returns the effect of the class that a request is routed to, or `None` if no route matches.
fn effect(model: &Model, method: &str, path: &str) -> Option<Effect> {
    let table = RouteTable::build(model.routes.iter().map(|r| r.matcher.clone()).collect()).unwrap();
    match table.find("h", path, method) {
        LookupResult::Route(number, _) => Some(model.classes[model.routes[number].class].effect),
        _ => None,
    }
}

#[test]
fn routes_get_the_declared_effect_and_writes_default_to_unsafe() {
    let (_, model) = generate_checked(&app(&[
        "GET /tiles",
        "POST /orders",
        "POST,PUT /trails/*/edits keyed",
        "=/exact safe",
        "/rest",
    ]));
    assert_eq!(effect(&model, "GET", "/tiles/1"), Some(Effect::Safe));
    assert_eq!(effect(&model, "POST", "/orders"), Some(Effect::Unsafe));
    assert!(matches!(effect(&model, "PUT", "/trails/7/edits"), Some(Effect::Keyed(..))));
    assert_eq!(effect(&model, "GET", "/exact/below"), None);
    assert_eq!(effect(&model, "GET", "/rest"), Some(Effect::Unsafe));
}

#[test]
fn names_that_contain_syntax_are_quoted() {
    let mut app = app(&["/ safe"]);
    app.plans = vec![("a plan; {".into(), "20/s".into()), ("$x".into(), "5/s".into())];
    app.customer_header = Some("X-Customer".into());
    let (_, model) = generate_checked(&app);
    assert_eq!(model.plans.iter().map(|p| p.name.as_str()).collect::<Vec<_>>(), ["a plan; {", "$x"]);
}

#[test]
fn servers_and_routes_get_unique_names() {
    let mut many = app(&["/a safe", "GET /b", "POST /b", "POST /a-b", "POST /a/b", "/ safe"]);
    many.servers = (0..60).map(|n| ([127, 0, 0, 1], 9000 + n).into()).collect();
    let (_, model) = generate_checked(&many);
    assert_eq!((model.pools[0].servers.len(), model.routes.len()), (60, 6));
}

#[test]
fn invalid_routes_are_rejected_with_a_reason() {
    for invalid in ["", "orders", "POST", "POST /a often", "/a safe now", "po$t /a", "POST /a safe x"] {
        assert!(invalid.parse::<Route>().is_err(), "{invalid}");
    }
    assert!("POST /a often".parse::<Route>().unwrap_err().to_string().contains("`often`"));
}

#[test]
fn description_files_are_parsed_and_errors_carry_lines() {
    let text = "app tiles { server 127.0.0.1:9101; route /tiles safe; }\napp orders {\n  listen 127.0.0.1:8082;\n  server 127.0.0.1:9301; route POST /orders;\n  plan member 5/s; customer header X-Member;\n}";
    let apps = AppDescription::read("apps", text).unwrap();
    assert_eq!(apps.iter().map(|a| a.name.as_str()).collect::<Vec<_>>(), ["tiles", "orders"]);
    apps.iter().for_each(|app| drop(generate_checked(app)));
    let (sources, errors) =
        AppDescription::read("apps", "app x {\n server nowhere;\n route often;\n colour red;\n}\npool y { }")
            .unwrap_err();
    let lines: Vec<_> = errors.iter().map(|e| sources.position(e.at.0).line).collect();
    assert_eq!(lines, [2, 3, 4, 6]);
}

const OPENAPI_DOCUMENT: &str = r#"
openapi: 3.0.3
info: { title: Trails, version: "1" }
servers: [{ url: "https://api.example.org/v1/" }]
paths:
  /trails: { get: {}, post: {} }
  /trails/{id}: { get: {}, put: { x-ivygate-effect: keyed }, delete: {} }
  /trails/{trail}/edits: { post: {} }
  /trails/search: { post: {} }
  /files/{name}.{kind}: { get: {} }
"#;

#[test]
fn openapi_import_makes_only_reads_safe() {
    let document =
        from_openapi(OPENAPI_DOCUMENT, &[("POST /trails/search".into(), RouteEffect::Safe)]).unwrap();
    assert_eq!(document.title.as_deref(), Some("Trails"));
    let (text, model) =
        generate_checked(&AppDescription { routes: document.routes, remarks: document.remarks, ..app(&[]) });
    assert_eq!(effect(&model, "GET", "/v1/trails"), Some(Effect::Safe));
    assert_eq!(effect(&model, "POST", "/v1/trails"), Some(Effect::Unsafe));
    assert!(matches!(effect(&model, "PUT", "/v1/trails/7"), Some(Effect::Keyed(..))));
    assert_eq!(effect(&model, "DELETE", "/v1/trails/7"), Some(Effect::Unsafe));
    assert_eq!(effect(&model, "POST", "/v1/trails/7/edits"), Some(Effect::Unsafe));
    assert_eq!(effect(&model, "POST", "/v1/trails/search"), Some(Effect::Safe));
    assert_eq!(effect(&model, "GET", "/trails"), None);
    assert!(
        text.contains("`{name}.{kind}` of /v1/files/{name}.{kind} stands for a whole segment here"),
        "{text}"
    );
}

#[test]
fn json_and_yaml_documents_import_alike() {
    let json = r#"{"openapi":"3.1.0","paths":{"/a":{"get":{}}}}"#;
    assert_eq!(
        from_openapi(json, &[]).unwrap().routes,
        from_openapi("openapi: 3.1.0\npaths: { /a: { get: {} } }", &[]).unwrap().routes
    );
}

#[test]
fn templates_with_the_same_pattern_get_the_stricter_effect() {
    let text =
        "openapi: 3.0.0\npaths:\n  /a/{x}: { post: { x-ivygate-effect: safe } }\n  /a/{y}: { post: {} }\n";
    let document = from_openapi(text, &[]).unwrap();
    assert_eq!(document.routes.len(), 1);
    assert_eq!(document.routes[0].effect, RouteEffect::Unsafe);
    assert!(document.remarks[0].contains("the stricter effect holds"));
}

#[test]
fn invalid_documents_are_rejected_with_a_reason() {
    for (text, why) in [
        ("{\"openapi\": ", "neither JSON nor YAML"),
        ("a: [", "neither JSON nor YAML"),
        ("swagger: '2.0'\npaths: {}", "Swagger 2"),
        ("openapi: 4.0.0", "version `4.0.0`"),
        ("openapi: 3.0.0", "no `paths`"),
        ("openapi: 3.0.0\npaths: {}", "no operation"),
        ("openapi: 3.0.0\npaths: { /a: { post: { x-ivygate-effect: often } } }", "no effect `often`"),
    ] {
        let error = from_openapi(text, &[]).unwrap_err().to_string();
        assert!(error.contains(why), "{error}");
    }
    let error =
        from_openapi(OPENAPI_DOCUMENT, &[("POST /gone".into(), RouteEffect::Safe)]).unwrap_err().to_string();
    assert!(error.contains("`POST /gone`"), "{error}");
}
