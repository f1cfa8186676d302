//! Imports routes from an OpenAPI 3 document in JSON or YAML.

use crate::generate::{Route, RouteEffect};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

const METHODS: [&str; 8] = ["get", "head", "options", "put", "post", "delete", "patch", "trace"];
/// Extension field that declares the effect of an operation or path.
const EXTENSION: &str = "x-ivygate-effect";

/// Result of importing a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenApiImport {
    /// Title of the document.
    pub title: Option<String>,
    /// Operations as routes, in matching order.
    pub routes: Vec<Route>,
    /// Remarks on parts that could not be converted exactly.
    pub remarks: Vec<String>,
}

/// Error for a document that cannot be imported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenApiError(String);

impl fmt::Display for OpenApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for OpenApiError {}

/// Imports a document. `overrides` gives the effect of single operations, such as `POST /search`, and takes
/// precedence over the document.
///
/// # Errors
/// If the text is not an OpenAPI 3 document, declares an unknown effect or no operation, or an override names
/// no operation of it.
pub fn from_openapi(text: &str, overrides: &[(String, RouteEffect)]) -> Result<OpenApiImport, OpenApiError> {
    let document: Value = match serde_json::from_str(text) {
        Ok(document) => document,
        Err(json) => serde_yaml_ng::from_str(text).map_err(|yaml| {
            let error = if text.trim_start().starts_with('{') { json.to_string() } else { yaml.to_string() };
            OpenApiError(format!("it is neither JSON nor YAML: {error}"))
        })?,
    };
    let version = document.get("openapi").and_then(Value::as_str).unwrap_or("");
    if !version.starts_with("3.") {
        return Err(OpenApiError(match version {
            "" => "it has no `openapi: 3...`; Swagger 2 documents must be converted first".to_owned(),
            other => format!("it is of version `{other}`; OpenAPI 3 is read"),
        }));
    }
    let mut remarks = Vec::new();
    let base = base_path(&document, &mut remarks);
    let Some(paths) = document.get("paths").and_then(Value::as_object) else {
        return Err(OpenApiError("it has no `paths`".to_owned()));
    };
    let mut used = vec![false; overrides.len()];
    // Effect and source operations by path and method. Several templates may map to the same pattern.
    let mut operations: BTreeMap<(String, String), (RouteEffect, Vec<String>)> = BTreeMap::new();
    for (template, item) in paths {
        let path = to_pattern(&format!("{base}{template}"), &mut remarks);
        let Some(item) = item.as_object() else { continue };
        if item.contains_key("$ref") {
            remarks.push(format!("{template} is a reference to another document and is not carried over"));
        }
        for method in METHODS {
            let Some(operation) = item.get(method) else { continue };
            let name = format!("{} {template}", method.to_uppercase());
            let mut effect =
                if method == "get" || method == "head" { RouteEffect::Safe } else { RouteEffect::Unsafe };
            for source in [item.get(EXTENSION), operation.get(EXTENSION)].into_iter().flatten() {
                let text = source.as_str().unwrap_or_default();
                effect =
                    text.parse().map_err(|error| OpenApiError(format!("{name}: {EXTENSION}: {error}")))?;
            }
            for (number, (operation, override_effect)) in overrides.iter().enumerate() {
                if *operation == name {
                    effect = *override_effect;
                    used[number] = true;
                }
            }
            let key = (path.clone(), method.to_uppercase());
            let entry = operations.entry(key).or_insert((effect, Vec::new()));
            if !entry.1.is_empty() {
                remarks.push(format!(
                    "{name} claims the same requests as {}; the stricter effect holds",
                    entry.1[0]
                ));
            }
            entry.0 = entry.0.max(effect);
            entry.1.push(name);
        }
    }
    if let Some(number) = used.iter().position(|used| !used) {
        return Err(OpenApiError(format!(
            "it has no operation `{}`; write it as `POST /path`",
            overrides[number].0
        )));
    }
    if operations.is_empty() {
        return Err(OpenApiError("it has no operation".to_owned()));
    }
    let mut merged: BTreeMap<(String, RouteEffect), (Vec<String>, Vec<String>)> = BTreeMap::new();
    for ((path, method), (effect, names)) in operations {
        let entry = merged.entry((path, effect)).or_default();
        entry.0.push(method);
        entry.1.extend(names);
    }
    let mut routes: Vec<Route> = merged
        .into_iter()
        .map(|((path, effect), (methods, names))| Route {
            path: (if path.contains('*') { "pattern" } else { "exact" }, path),
            methods,
            effect,
            origin: Some(names.join(", ")),
        })
        .collect();
    // The first matching pattern wins, so literal segments sort before wildcards.
    let sort_key =
        |route: &Route| route.path.1.split('/').map(|s| (s == "*", s.to_owned())).collect::<Vec<_>>();
    routes.sort_by_cached_key(|route| (sort_key(route), route.effect));
    let title = document.pointer("/info/title").and_then(Value::as_str).map(str::to_owned);
    Ok(OpenApiImport { title, routes, remarks })
}

/// Returns the path of the document's first server URL.
fn base_path(document: &Value, remarks: &mut Vec<String>) -> String {
    let Some(url) = document.pointer("/servers/0/url").and_then(Value::as_str) else { return String::new() };
    if url.contains('{') {
        remarks.push(format!("the server `{url}` has variables; paths are taken without it"));
        return String::new();
    }
    let path = match url.split_once("://") {
        Some((_, rest)) => rest.find('/').map_or("", |at| &rest[at..]),
        None => url,
    };
    path.trim_end_matches('/').to_owned()
}

/// Converts a path template to a pattern: a segment with a parameter becomes `*`.
fn to_pattern(template: &str, remarks: &mut Vec<String>) -> String {
    let segments: Vec<&str> = template
        .split('/')
        .map(|segment| match segment {
            segment if segment.contains('{') => {
                if !(segment.starts_with('{') && segment.ends_with('}') && segment.matches('{').count() == 1)
                {
                    remarks.push(format!("`{segment}` of {template} stands for a whole segment here"));
                }
                "*"
            }
            segment => segment,
        })
        .collect();
    segments.join("/")
}
