//! `ivygate journal`: what became of requests that must not run twice.

use clap::{Args, ValueEnum};
use ivygate_journal::{Came, Found, Order, State, Store};
use std::path::PathBuf;
use std::process::ExitCode;

/// Which orders, and how they are shown.
#[derive(Args)]
pub struct Options {
    /// The journal's folder
    folder: PathBuf,
    /// Only the order of this id: the client's `Req-Id`, or the sidecar's own
    id: Option<String>,
    /// Only orders in this state
    #[arg(long, value_enum)]
    state: Option<Asked>,
    /// A table for people, or one JSON document a line
    #[arg(long, value_enum, default_value_t = crate::Form::Text)]
    format: crate::Form,
}

/// A state to ask for.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Asked {
    /// No server can have run it.
    NeverSent,
    /// A server answered.
    Answered,
    /// It was sent, and nobody knows what became of it.
    Unknown,
}

/// Shows orders, in the order in which they were taken. Ends with 1 if an id is asked for that is not there.
pub fn run(options: &Options) -> ExitCode {
    let mut found = Vec::new();
    let read = Store::open(&options.folder).and_then(|store| {
        store.each(|one| {
            if wanted(options, &one) {
                found.push(one);
            }
        })
    });
    if let Err(error) = read {
        eprintln!("ivygate: {error}");
        return ExitCode::FAILURE;
    }
    found.sort_by(|a, b| a.1.taken_at.total_cmp(&b.1.taken_at));
    for (id, order) in &found {
        match options.format {
            crate::Form::Json => println!("{}", json(id, order)),
            crate::Form::Text => println!("{}", line(id, order)),
        }
    }
    if let (Some(id), true) = (&options.id, found.is_empty()) {
        eprintln!("ivygate: the journal has no order {id}");
        return ExitCode::FAILURE;
    }
    if options.format == crate::Form::Text {
        eprintln!("{} orders", found.len());
    }
    ExitCode::SUCCESS
}

fn wanted(options: &Options, (id, order): &Found) -> bool {
    let state = match order.state() {
        State::NeverSent => Asked::NeverSent,
        State::Answered(_) => Asked::Answered,
        State::Unknown => Asked::Unknown,
    };
    options.state.is_none_or(|asked| asked == state)
        && options.id.as_ref().is_none_or(|asked| asked == id || order.client_id.as_ref() == Some(asked))
}

fn word(order: &Order) -> String {
    match order.state() {
        State::NeverSent => "never sent".to_owned(),
        State::Answered(status) => format!("answered {status}"),
        State::Unknown => "UNKNOWN".to_owned(),
    }
}

fn line(id: &str, order: &Order) -> String {
    let attempts: Vec<String> = order
        .attempts
        .iter()
        .map(|attempt| {
            let came = match attempt.came {
                Came::Unknown => "unknown".to_owned(),
                Came::NotRun => "not run".to_owned(),
                Came::Answer(status) => status.to_string(),
            };
            format!("{} at {:.3}: {came}", attempt.server, attempt.sent_at / 1000.0)
        })
        .collect();
    format!(
        "{:<14} {}  customer {}  {} {}  [{}]",
        word(order),
        order.client_id.as_deref().unwrap_or(id),
        order.customer,
        order.route,
        order.target,
        attempts.join("; ")
    )
}

fn json(id: &str, order: &Order) -> serde_json::Value {
    let (state, status) = match order.state() {
        State::NeverSent => ("never-sent", None),
        State::Answered(status) => ("answered", Some(status)),
        State::Unknown => ("unknown", None),
    };
    serde_json::json!({ "id": id, "state": state, "status": status, "order": order })
}
