//! `ivygate journal`: shows the outcomes of requests that must not run twice. Queries the process that has the journal
//! open, or opens the journal itself if no process has.

use clap::{Args, Subcommand, ValueEnum};
use ivygate_journal::{
    answer_query, query_running_process, AttemptOutcome, EndReason, JournalError, Order, QueryResponse,
    State, Store,
};
use serde::Deserialize;
use serde_json::Value;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Orders per query.
const PAGE_SIZE: usize = 1000;

/// Subcommands of `ivygate journal`.
#[derive(Subcommand)]
pub enum JournalCommand {
    /// List orders by the time of their acceptance
    List(ListArgs),
    /// List orders that were sent and whose outcome is unknown: the ones to clarify with customers
    Unknown(CommonArgs),
    /// Show one order
    Show {
        /// The journal's folder
        folder: PathBuf,
        /// The client's id of the order, or the sidecar's own
        id: String,
        /// Human-readable text, or one JSON document
        #[arg(long, value_enum, default_value_t = crate::OutputFormat::Text)]
        format: crate::OutputFormat,
    },
    /// Check the whole journal: records, checksums and indexes
    Verify {
        /// The journal's folder
        folder: PathBuf,
    },
    /// Export all orders as JSON, one per line
    Export {
        /// The journal's folder
        folder: PathBuf,
        /// The file to write, completely or not at all; standard output by default
        #[arg(short, long)]
        output: Option<PathBuf>,
    },
}

/// Arguments of `ivygate journal list`.
#[derive(Args)]
pub struct ListArgs {
    #[command(flatten)]
    common: CommonArgs,
    /// Only orders in this state
    #[arg(long, value_enum)]
    state: Option<StateFilter>,
}

/// Arguments shared by the subcommands that list orders.
#[derive(Args)]
pub struct CommonArgs {
    /// The journal's folder
    folder: PathBuf,
    /// Only orders of this customer; the name also works if the journal holds pseudonyms
    #[arg(long)]
    customer: Option<String>,
    /// A human-readable table, or one JSON document per line
    #[arg(long, value_enum, default_value_t = crate::OutputFormat::Text)]
    format: crate::OutputFormat,
}

/// State of orders to list.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum StateFilter {
    /// No server can have run the order.
    NeverSent,
    /// A server answered.
    Answered,
    /// The order was sent and its outcome is unknown.
    Unknown,
}

impl StateFilter {
    fn as_str(self) -> &'static str {
        match self {
            StateFilter::NeverSent => State::NeverSent.as_str(),
            StateFilter::Answered => State::Answered(0).as_str(),
            StateFilter::Unknown => State::Unknown.as_str(),
        }
    }
}

/// Error of a journal command.
enum Failure {
    Journal(JournalError),
    Io(PathBuf, io::Error),
    /// Error reported by the journal, or a malformed response.
    Response(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Journal(error) => error.fmt(f),
            Failure::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Failure::Response(text) => f.write_str(text),
        }
    }
}

/// Journal to query.
enum Journal {
    /// Opened by this process.
    Local(Box<Store>),
    /// Open in another process; holds the folder.
    Remote(PathBuf),
}

impl Journal {
    fn open(folder: &Path) -> Result<Self, Failure> {
        match Store::open(folder) {
            Ok(store) => {
                if store.changed_after_close() {
                    eprintln!("ivygate: {}", JournalError::ChangedAfterClose(folder.to_owned()));
                }
                Ok(Journal::Local(Box::new(store)))
            }
            Err(JournalError::InUse(_)) => Ok(Journal::Remote(folder.to_owned())),
            Err(error) => Err(Failure::Journal(error)),
        }
    }

    fn query(&self, target: &str) -> Result<QueryResponse, Failure> {
        let response = match self {
            Journal::Local(store) => answer_query(store, target),
            Journal::Remote(folder) => query_running_process(folder, target).map_err(|error| {
                Failure::Response(format!(
                    "the journal {} is in use by a process that does not answer: {error}",
                    folder.display()
                ))
            })?,
        };
        if response.status == 200 {
            return Ok(response);
        }
        let document = serde_json::from_str::<Value>(&response.lines).ok();
        let error = document.as_ref().and_then(|document| document["error"].as_str());
        let error = error.unwrap_or("the response is malformed");
        Err(Failure::Response(error.to_owned()))
    }

    /// Calls `visit` with each matching order and returns their number. Reads page by page, so that memory stays
    /// bounded.
    fn for_each(
        &self,
        state: Option<&str>,
        customer: Option<&str>,
        mut visit: impl FnMut(&str) -> Result<(), Failure>,
    ) -> Result<u64, Failure> {
        let (mut after, mut count) = (None::<String>, 0);
        loop {
            let mut query = form_urlencoded::Serializer::new(String::new());
            query.append_pair("limit", &PAGE_SIZE.to_string());
            for (name, value) in [("state", state), ("customer", customer), ("after", after.as_deref())] {
                if let Some(value) = value {
                    query.append_pair(name, value);
                }
            }
            let response = self.query(&format!("/orders?{}", query.finish()))?;
            after = None;
            for line in response.lines.lines() {
                #[derive(Deserialize)]
                #[serde(deny_unknown_fields)]
                struct Next {
                    next: String,
                }
                if let Ok(Next { next }) = serde_json::from_str(line) {
                    after = Some(next);
                } else {
                    visit(line)?;
                    count += 1;
                }
            }
            if after.is_none() {
                return Ok(count);
            }
        }
    }
}

#[derive(Deserialize)]
struct Document {
    id: String,
    order: Order,
}

/// Runs a journal command. The exit code is 1 if it fails, an order does not exist, or the journal is damaged.
pub fn run(command: &JournalCommand) -> ExitCode {
    match execute(command) {
        Ok(code) => code,
        // A reader that closes the pipe early is not an error.
        Err(Failure::Io(_, error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("ivygate: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn execute(command: &JournalCommand) -> Result<ExitCode, Failure> {
    match command {
        JournalCommand::List(ListArgs { common, state }) => list(common, state.map(StateFilter::as_str))?,
        JournalCommand::Unknown(common) => list(common, Some(StateFilter::Unknown.as_str()))?,
        JournalCommand::Show { folder, id, format } => {
            let query = form_urlencoded::Serializer::new(String::new()).append_pair("id", id).finish();
            let response = Journal::open(folder)?.query(&format!("/orders?{query}"))?;
            print(response.lines.trim_end(), *format)?;
        }
        JournalCommand::Verify { folder } => return verify(folder),
        JournalCommand::Export { folder, output } => export(folder, output.as_deref())?,
    }
    Ok(ExitCode::SUCCESS)
}

fn list(arguments: &CommonArgs, state: Option<&str>) -> Result<(), Failure> {
    let journal = Journal::open(&arguments.folder)?;
    let count =
        journal.for_each(state, arguments.customer.as_deref(), |line| print(line, arguments.format))?;
    if arguments.format == crate::OutputFormat::Text {
        eprintln!("{count} orders");
    }
    Ok(())
}

fn print(line: &str, format: crate::OutputFormat) -> Result<(), Failure> {
    let text = match format {
        crate::OutputFormat::Json => line.to_owned(),
        crate::OutputFormat::Text => {
            let malformed = |error| Failure::Response(format!("the response is malformed: {error}"));
            let found: Document = serde_json::from_str(line).map_err(malformed)?;
            format_order(&found.id, &found.order)
        }
    };
    writeln!(io::stdout(), "{text}").map_err(|error| Failure::Io("standard output".into(), error))
}

fn verify(folder: &Path) -> Result<ExitCode, Failure> {
    // Opening the journal verifies the checksums of all pages.
    let response = Journal::open(folder)?.query("/verify")?;
    let malformed = || Failure::Response("the response is malformed".to_owned());
    let found: Value = serde_json::from_str(&response.lines).map_err(|_| malformed())?;
    let problems = found["wrong"].as_array().ok_or_else(malformed)?;
    for problem in problems.iter().filter_map(Value::as_str) {
        eprintln!("ivygate: {problem}");
    }
    let intact = problems.is_empty();
    let word = if intact { "whole" } else { "NOT whole" };
    println!("{word}: {} orders, {} unknown", found["orders"], found["unknown"]);
    Ok(if intact { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn export(folder: &Path, output: Option<&Path>) -> Result<(), Failure> {
    let journal = Journal::open(folder)?;
    let write = |out: &mut dyn Write, path: &Path| {
        let failed = |error| Failure::Io(path.to_owned(), error);
        let count = journal.for_each(None, None, |line| writeln!(out, "{line}").map_err(failed))?;
        out.flush().map_err(failed)?;
        Ok(count)
    };
    let Some(path) = output else {
        write(&mut io::BufWriter::new(io::stdout()), Path::new("standard output"))?;
        return Ok(());
    };
    // Written to a temporary file and renamed when complete, so that an interrupted export leaves no partial file.
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".part");
    let temporary = PathBuf::from(temporary);
    let failed = |error| Failure::Io(temporary.clone(), error);
    let written = create_private(&temporary).map_err(failed).and_then(|file| {
        let count = write(&mut io::BufWriter::new(&file), &temporary)?;
        file.sync_all().map_err(failed)?;
        Ok(count)
    });
    let renamed = written.and_then(|count| {
        std::fs::rename(&temporary, path).map_err(|error| Failure::Io(path.to_owned(), error))?;
        Ok(count)
    });
    match renamed {
        Ok(count) => eprintln!("{count} orders"),
        Err(failure) => {
            let _ = std::fs::remove_file(&temporary);
            return Err(failure);
        }
    }
    Ok(())
}

fn create_private(path: &Path) -> io::Result<std::fs::File> {
    use std::os::unix::fs::OpenOptionsExt;
    std::fs::OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(path)
}

fn format_order(id: &str, order: &Order) -> String {
    let word = match order.state() {
        State::NeverSent => "never sent".to_owned(),
        State::Answered(status) => format!("answered {status}"),
        State::Unknown => "UNKNOWN".to_owned(),
    };
    let attempts: Vec<String> = order
        .attempts
        .iter()
        .map(|attempt| {
            let outcome = match attempt.outcome {
                AttemptOutcome::Unknown => "unknown".to_owned(),
                AttemptOutcome::NotRun => "not run".to_owned(),
                AttemptOutcome::Answer(status) => status.to_string(),
            };
            format!("{} at {:.3}: {outcome}", attempt.server, attempt.sent_at / 1000.0)
        })
        .collect();
    let end_reason = match order.end_reason {
        None => "",
        Some(EndReason::ClientGone) => "  client disconnected",
        Some(EndReason::TimedOut) => "  timed out",
    };
    format!(
        "{word:<14} {}  customer {}  {} {}  [{}]{end_reason}",
        order.client_id.as_deref().unwrap_or(id),
        order.customer,
        order.route,
        order.target,
        attempts.join("; ")
    )
}
