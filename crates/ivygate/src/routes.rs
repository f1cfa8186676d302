//! `ivygate routes`: prints the route table, or the route of a request.

use crate::EXIT_USAGE;
use ivygate_config::{Model, Route};
use ivygate_routing::{LookupResult, MatchKind, MethodMatch, RequestTarget, RouteTable};
use std::path::Path;
use std::process::ExitCode;

/// Prints all routes and their overlaps, or the route that matches a request.
pub fn show(file: &Path, request: Option<(&str, &str)>) -> ExitCode {
    let loaded = match crate::load(file) {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    let Some(model) = &loaded.model else { return ExitCode::from(EXIT_USAGE) };
    let Ok(table) = RouteTable::build(model.routes.iter().map(|r| r.matcher.clone()).collect()) else {
        return ExitCode::from(EXIT_USAGE);
    };
    let position = |route: &Route| loaded.sources.position(route.at.0).to_string();
    match request {
        None => {
            for route in &model.routes {
                println!("{}", format_route(model, route, &position(route)));
            }
            let overlaps = table.overlaps();
            if !overlaps.is_empty() {
                println!("\nmatched by two routes; the first of each pair takes precedence:");
            }
            for overlap in overlaps {
                let (first, second) = (&model.routes[overlap.winner], &model.routes[overlap.shadowed]);
                println!(
                    "  {} ({}) before {} ({})",
                    first.name,
                    position(first),
                    second.name,
                    position(second)
                );
            }
            ExitCode::SUCCESS
        }
        Some((method, url)) => {
            let target = match RequestTarget::parse(url) {
                Ok(target) => target,
                Err(error) => {
                    println!("400: {error}");
                    return ExitCode::FAILURE;
                }
            };
            let host = target.host.clone().unwrap_or_default();
            println!("{method} {host}{}", target.path_and_query());
            match table.find(&host, &target.path, method) {
                LookupResult::Route(number, reason) => {
                    let route = &model.routes[number];
                    let explanation = match reason {
                        MatchKind::Exact => "its path is equal to this path",
                        MatchKind::Prefix => "it has the longest matching prefix",
                        MatchKind::Pattern => "it has the first matching pattern",
                    };
                    println!(
                        "{}\nmatched because {explanation}; its host is {}",
                        format_route(model, route, &position(route)),
                        route.matcher.host
                    );
                    ExitCode::SUCCESS
                }
                LookupResult::MethodNotAllowed(methods) => {
                    println!("405: routes match this path for {} only", methods.join(", "));
                    ExitCode::FAILURE
                }
                LookupResult::NotFound => {
                    println!("404: no route matches this host and path");
                    ExitCode::FAILURE
                }
            }
        }
    }
}

fn format_route(model: &Model, route: &Route, position: &str) -> String {
    let methods = match &route.matcher.methods {
        MethodMatch::Any => "any method".to_owned(),
        MethodMatch::Named(names) => names.join(" "),
    };
    let (class, pool) = (&model.classes[route.class].name, &model.pools[route.pool].name);
    let (host, path) = (&route.matcher.host, &route.matcher.path);
    format!("{}: host {host}, {path}, {methods} -> class {class}, pool {pool} ({position})", route.name)
}
