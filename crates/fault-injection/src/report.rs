//! Renders a run as one self-contained HTML page: figures, findings, and charts over time with the faults as bands. No
//! I/O.

use crate::oracle::{Figures, Verdict};
use crate::runner::RunResult;
use crate::scenario::{Scenario, ZONES};
use crate::trace::{Execution, Outcome};
use plotters::prelude::*;
use std::fmt::Write;

/// Size of a chart in pixels.
const SIZE: (u32, u32) = (900, 240);
/// Interval by which responses and executions are counted, in seconds.
const BIN: f64 = 0.25;
/// Largest numbers of findings, and of log lines per node, that are shown.
const MAX_FINDINGS: usize = 200;
const MAX_LOG_LINES: usize = 60;

/// A line of a chart: its name, and points of seconds and values.
type Series = (String, Vec<(f64, f64)>);

/// Returns the report page of a run.
#[must_use]
pub fn report(scenario: &Scenario, result: &RunResult, seed: u64) -> String {
    let verdict = match result.verdict {
        Verdict::Kept => "kept: all rules".to_owned(),
        Verdict::Broken => format!("broken: {} findings", result.findings.len()),
        Verdict::Void => "void: the machine had too little to spare".to_owned(),
    };
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\n<style>body{{font:15px \
         sans-serif;max-width:60em;margin:2em auto}}td,th{{padding:.1em .8em;text-align:right}}td:first-child\
         {{text-align:left}}pre{{overflow:auto;background:#f4f4f4;padding:.6em}}</style>\n<h1>{name}</h1>\n<p>{about}. Seed \
         {seed}, {nodes} nodes, {servers} servers, {rate} requests a second.</p>\n<p><b>{verdict}</b></p>\n",
        name = escaped(&scenario.name),
        about = escaped(&scenario.about),
        nodes = scenario.nodes,
        servers = scenario.servers,
        rate = scenario.rate,
    );
    if !result.trace.faults.is_empty() {
        page += "<h2>Faults</h2>\n<ul>\n";
        for (fault, span) in &result.trace.faults {
            let (from, to) = (span.from / 1000.0, span.to / 1000.0);
            let _ = writeln!(page, "<li>{from:.1} to {to:.1} s: {}</li>", escaped(fault));
        }
        page += "</ul>\n";
    }
    if !result.findings.is_empty() {
        page += "<h2>Findings</h2>\n<ul>\n";
        for finding in result.findings.iter().take(MAX_FINDINGS) {
            let _ = writeln!(page, "<li>{}: {}</li>", escaped(finding.rule), escaped(&finding.description));
        }
        page += "</ul>\n";
    }
    page += &figures(&result.figures);
    for (title, unit, series) in charts(scenario, result) {
        let _ = writeln!(page, "<h2>{title}</h2>");
        // A chart that cannot be drawn is left out; the figures remain.
        page += &draw_chart(scenario, result, unit, &series).unwrap_or_default();
    }
    page += "<h2>What nodes said</h2>\n";
    for (node, logs) in result.logs.iter().enumerate().filter(|(_, logs)| !logs.is_empty()) {
        let lines: Vec<String> = logs
            .iter()
            .take(MAX_LOG_LINES)
            .map(|(at, line)| format!("{:7.2} s  {line}", at / 1000.0))
            .collect();
        let _ = writeln!(
            page,
            "<details><summary>node {node}</summary><pre>{}</pre></details>",
            escaped(&lines.join("\n"))
        );
    }
    page + "</html>\n"
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn figures(figures: &Figures) -> String {
    let mut table = "<h2>Figures</h2>\n<table>\n".to_owned();
    for (name, value) in figures.named() {
        let value = value.map_or("-".to_owned(), |value| format!("{value:.3}"));
        let _ = writeln!(table, "<tr><td>{name}</td><td>{value}</td></tr>");
    }
    table + "</table>\n"
}

/// Returns the charts: title, unit and lines.
fn charts(scenario: &Scenario, result: &RunResult) -> Vec<(&'static str, &'static str, Vec<Series>)> {
    let trace = &result.trace;
    let rate = |of: &dyn Fn(&crate::trace::Request) -> bool| {
        by_time(trace.requests.iter().filter(|r| of(r)).map(|r| (r.scheduled, 1.0)), 1.0 / BIN)
    };
    let answers = vec![
        ("offered".to_owned(), rate(&|_| true)),
        ("served".to_owned(), rate(&|r| r.outcome == Outcome::Served)),
        ("refused".to_owned(), rate(&|r| r.outcome == Outcome::Refused)),
        ("denied".to_owned(), rate(&|r| r.outcome == Outcome::Denied)),
        ("failed".to_owned(), rate(&|r| matches!(r.outcome, Outcome::Failed | Outcome::Wrong))),
        ("unanswered".to_owned(), rate(&|r| r.outcome == Outcome::Nothing)),
    ];
    let times =
        vec![("half".to_owned(), quantile(result, 0.5)), ("99 in 100".to_owned(), quantile(result, 0.99))];
    let executions = |of: &dyn Fn(&Execution) -> bool| {
        by_time(
            trace.executions.iter().filter(|execution| of(execution)).map(|execution| (execution.at, 1.0)),
            1.0 / BIN,
        )
    };
    let zones = ZONES
        .iter()
        .enumerate()
        .map(|(zone, name)| {
            ((*name).to_owned(), executions(&|execution: &Execution| execution.server % ZONES.len() == zone))
        })
        .collect();
    let servers = (0..scenario.servers)
        .map(|server| {
            (format!("server {server}"), executions(&|execution: &Execution| execution.server == server))
        })
        .collect();
    let ejections = result
        .logs
        .iter()
        .enumerate()
        .map(|(node, logs)| (format!("node {node}"), logs.iter().filter_map(ejected).collect::<Vec<_>>()))
        .filter(|(_, points)| !points.is_empty())
        .collect();
    vec![
        ("Answers", "a second", answers),
        ("Time to the answer", "ms", times),
        ("Runs by zone", "a second", zones),
        ("Runs by server", "a second", servers),
        ("Servers that each node calls ejected", "servers", ejections),
    ]
}

/// Parses the number of ejected servers from a log line of a node.
fn ejected((at, line): &(f64, String)) -> Option<(f64, f64)> {
    let (before, _) = line.split_once(" ejected")?;
    Some((at / 1000.0, before.rsplit(' ').next()?.parse().ok()?))
}

/// Sums values by interval and multiplies each sum by a factor.
fn by_time(values: impl Iterator<Item = (f64, f64)>, factor: f64) -> Vec<(f64, f64)> {
    let mut sums: Vec<f64> = Vec::new();
    for (at, value) in values {
        let bin = (at.max(0.0) / 1000.0 / BIN) as usize;
        if sums.len() <= bin {
            sums.resize(bin + 1, 0.0);
        }
        sums[bin] += value;
    }
    sums.iter().enumerate().map(|(bin, sum)| (bin as f64 * BIN, sum * factor)).collect()
}

/// Returns a quantile of the latency of served requests by interval.
fn quantile(result: &RunResult, part: f64) -> Vec<(f64, f64)> {
    let mut bins: Vec<Vec<f64>> = Vec::new();
    for request in result.trace.requests.iter().filter(|r| r.outcome == Outcome::Served) {
        let bin = (request.scheduled / 1000.0 / (2.0 * BIN)) as usize;
        if bins.len() <= bin {
            bins.resize(bin + 1, Vec::new());
        }
        bins[bin].push(request.ended - request.scheduled);
    }
    let mut points = Vec::new();
    for (bin, times) in bins.iter_mut().enumerate().filter(|(_, times)| !times.is_empty()) {
        times.sort_by(f64::total_cmp);
        points.push((bin as f64 * 2.0 * BIN, times[((times.len() - 1) as f64 * part) as usize]));
    }
    points
}

fn draw_chart(scenario: &Scenario, result: &RunResult, unit: &str, series: &[Series]) -> Option<String> {
    let most = series.iter().flat_map(|(_, points)| points).map(|(_, value)| *value).fold(0.0, f64::max);
    if most <= 0.0 {
        return Some("<p>Nothing.</p>\n".to_owned());
    }
    let length = scenario.length / 1000.0;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .margin(8)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..length, 0.0..most * 1.1)
            .ok()?;
        chart.configure_mesh().x_desc("s").y_desc(unit).disable_mesh().draw().ok()?;
        let bands = result.trace.faults.iter().map(|(_, span)| {
            let corners = [(span.from / 1000.0, 0.0), (span.to / 1000.0, most * 1.1)];
            Rectangle::new(corners, RED.mix(0.12).filled())
        });
        chart.draw_series(bands).ok()?;
        let named = series.len() <= 8;
        for (number, (name, points)) in series.iter().enumerate() {
            let colour = Palette99::pick(number).to_rgba();
            let line = chart.draw_series(LineSeries::new(points.iter().copied(), &colour)).ok()?;
            if named {
                line.label(name.as_str())
                    .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
            }
        }
        if named {
            let box_ = WHITE.mix(0.8);
            chart
                .configure_series_labels()
                .background_style(box_)
                .border_style(BLACK.mix(0.3))
                .draw()
                .ok()?;
        }
        root.present().ok()?;
    }
    Some(svg)
}
