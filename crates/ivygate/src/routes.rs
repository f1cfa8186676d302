//! `ivygate routes`: the table in words.

use crate::MISUSED;
use ivygate_config::{Model, Route};
use ivygate_routing::{LookupResult, MatchKind, MethodMatch, RequestTarget, RouteTable};
use std::path::Path;
use std::process::ExitCode;

/// Shows all routes and their overlaps, or the one that takes a request.
pub fn show(file: &Path, request: Option<(&str, &str)>) -> ExitCode {
    let loaded = match crate::load(file) {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    let Some(model) = &loaded.model else { return ExitCode::from(MISUSED) };
    let Ok(table) = RouteTable::build(model.routes.iter().map(|r| r.matcher.clone()).collect()) else {
        return ExitCode::from(MISUSED);
    };
    let place = |route: &Route| loaded.sources.position(route.at.0).to_string();
    match request {
        None => {
            for route in &model.routes {
                println!("{}", line(model, route, &place(route)));
            }
            let overlaps = table.overlaps();
            if !overlaps.is_empty() {
                println!("\nclaimed by two routes, and taken by the first of each pair:");
            }
            for overlap in overlaps {
                let (first, second) = (&model.routes[overlap.winner], &model.routes[overlap.shadowed]);
                println!("  {} ({}) before {} ({})", first.name, place(first), second.name, place(second));
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
                    let why = match reason {
                        MatchKind::Exact => "its path is this one exactly",
                        MatchKind::Prefix => "its prefix is the longest",
                        MatchKind::Pattern => "its pattern is the first that matches",
                    };
                    println!(
                        "{}\ntaken since {why}; its host is {}",
                        line(model, route, &place(route)),
                        route.matcher.host
                    );
                    ExitCode::SUCCESS
                }
                LookupResult::MethodNotAllowed(methods) => {
                    println!("405: routes claim this path for {} only", methods.join(", "));
                    ExitCode::FAILURE
                }
                LookupResult::NotFound => {
                    println!("404: no route claims this host and path");
                    ExitCode::FAILURE
                }
            }
        }
    }
}

fn line(model: &Model, route: &Route, place: &str) -> String {
    let methods = match &route.matcher.methods {
        MethodMatch::Any => "any method".to_owned(),
        MethodMatch::Named(names) => names.join(" "),
    };
    let (class, pool) = (&model.classes[route.class].name, &model.pools[route.pool].name);
    let (host, path) = (&route.matcher.host, &route.matcher.path);
    format!("{}: host {host}, {path}, {methods} -> class {class}, pool {pool} ({place})", route.name)
}
