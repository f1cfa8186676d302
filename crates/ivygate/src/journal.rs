//! `ivygate journal`: what became of requests that must not run twice. Asks the process that has the journal open, or
//! opens it where none has.

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

/// Orders that are asked for at once.
const PAGE: usize = 1000;

/// What is asked.
#[derive(Subcommand)]
pub enum Question {
    /// Orders, in the order in which they were taken
    List(List),
    /// Orders that were sent and of which nobody knows what they did: the ones to call members about
    Unknown(Unknown),
    /// One order
    Show {
        /// The journal's folder
        folder: PathBuf,
        /// The client's id of it, or the sidecar's own
        id: String,
        /// For people, or as one JSON document
        #[arg(long, value_enum, default_value_t = crate::Form::Text)]
        format: crate::Form,
    },
    /// Look through the whole journal: records, their checksums, and what finds them
    Verify {
        /// The journal's folder
        folder: PathBuf,
    },
    /// All orders as JSON, one a line
    Export {
        /// The journal's folder
        folder: PathBuf,
        /// Where they are written, in one piece or not at all; standard output without it
        #[arg(short, long)]
        output: Option<PathBuf>,
    },
}

/// Which orders.
#[derive(Args)]
pub struct List {
    #[command(flatten)]
    common: Unknown,
    /// Only orders in this state
    #[arg(long, value_enum)]
    state: Option<Asked>,
}

/// Whose orders, and how they are shown.
#[derive(Args)]
pub struct Unknown {
    /// The journal's folder
    folder: PathBuf,
    /// Only this customer's, by name also where the journal holds pseudonyms
    #[arg(long)]
    customer: Option<String>,
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

impl Asked {
    fn word(self) -> &'static str {
        match self {
            Asked::NeverSent => State::NeverSent.as_str(),
            Asked::Answered => State::Answered(0).as_str(),
            Asked::Unknown => State::Unknown.as_str(),
        }
    }
}

/// Why there is no answer.
enum Failure {
    Journal(JournalError),
    Io(PathBuf, io::Error),
    /// What the journal says instead, or that what it says is malformed.
    Said(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Journal(error) => error.fmt(f),
            Failure::Io(path, error) => write!(f, "{}: {error}", path.display()),
            Failure::Said(text) => f.write_str(text),
        }
    }
}

/// Whom to ask.
enum Journal {
    /// It is open here.
    Here(Box<Store>),
    /// A process has it open.
    Running(PathBuf),
}

impl Journal {
    fn of(folder: &Path) -> Result<Self, Failure> {
        match Store::open(folder) {
            Ok(store) => {
                if store.changed_after_close() {
                    eprintln!("ivygate: {}", JournalError::ChangedAfterClose(folder.to_owned()));
                }
                Ok(Journal::Here(Box::new(store)))
            }
            Err(JournalError::InUse(_)) => Ok(Journal::Running(folder.to_owned())),
            Err(error) => Err(Failure::Journal(error)),
        }
    }

    fn ask(&self, target: &str) -> Result<QueryResponse, Failure> {
        let told = match self {
            Journal::Here(store) => answer_query(store, target),
            Journal::Running(folder) => query_running_process(folder, target).map_err(|error| {
                Failure::Said(format!(
                    "the journal {} is in use by a process that does not answer: {error}",
                    folder.display()
                ))
            })?,
        };
        if told.status == 200 {
            return Ok(told);
        }
        let said = serde_json::from_str::<Value>(&told.lines).ok();
        let error =
            said.as_ref().and_then(|said| said["error"].as_str()).unwrap_or("the answer is malformed");
        Err(Failure::Said(error.to_owned()))
    }

    /// All orders that fit, page by page: however many there are, one page is held.
    fn each(
        &self,
        state: Option<&str>,
        customer: Option<&str>,
        mut each: impl FnMut(&str) -> Result<(), Failure>,
    ) -> Result<u64, Failure> {
        let (mut after, mut count) = (None::<String>, 0);
        loop {
            let mut query = form_urlencoded::Serializer::new(String::new());
            query.append_pair("limit", &PAGE.to_string());
            for (name, value) in [("state", state), ("customer", customer), ("after", after.as_deref())] {
                if let Some(value) = value {
                    query.append_pair(name, value);
                }
            }
            let told = self.ask(&format!("/orders?{}", query.finish()))?;
            after = None;
            for line in told.lines.lines() {
                #[derive(Deserialize)]
                #[serde(deny_unknown_fields)]
                struct Next {
                    next: String,
                }
                if let Ok(Next { next }) = serde_json::from_str(line) {
                    after = Some(next);
                } else {
                    each(line)?;
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

/// Answers a question. Ends with 1 if it can't, an order is not there, or something is wrong with the journal.
pub fn run(question: &Question) -> ExitCode {
    match answered(question) {
        Ok(code) => code,
        // Whoever reads has seen enough.
        Err(Failure::Io(_, error)) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("ivygate: {failure}");
            ExitCode::FAILURE
        }
    }
}

fn answered(question: &Question) -> Result<ExitCode, Failure> {
    match question {
        Question::List(List { common, state }) => list(common, state.map(Asked::word))?,
        Question::Unknown(common) => list(common, Some(Asked::Unknown.word()))?,
        Question::Show { folder, id, format } => {
            let query = form_urlencoded::Serializer::new(String::new()).append_pair("id", id).finish();
            let told = Journal::of(folder)?.ask(&format!("/orders?{query}"))?;
            print(told.lines.trim_end(), *format)?;
        }
        Question::Verify { folder } => return verify(folder),
        Question::Export { folder, output } => export(folder, output.as_deref())?,
    }
    Ok(ExitCode::SUCCESS)
}

fn list(asked: &Unknown, state: Option<&str>) -> Result<(), Failure> {
    let journal = Journal::of(&asked.folder)?;
    let count = journal.each(state, asked.customer.as_deref(), |line| print(line, asked.format))?;
    if asked.format == crate::Form::Text {
        eprintln!("{count} orders");
    }
    Ok(())
}

fn print(line: &str, form: crate::Form) -> Result<(), Failure> {
    let text = match form {
        crate::Form::Json => line.to_owned(),
        crate::Form::Text => {
            let malformed = |error| Failure::Said(format!("the answer is malformed: {error}"));
            let found: Document = serde_json::from_str(line).map_err(malformed)?;
            self::line(&found.id, &found.order)
        }
    };
    writeln!(io::stdout(), "{text}").map_err(|error| Failure::Io("standard output".into(), error))
}

fn verify(folder: &Path) -> Result<ExitCode, Failure> {
    // Opening it looks at the checksums of all pages.
    let told = Journal::of(folder)?.ask("/verify")?;
    let malformed = || Failure::Said("the answer is malformed".to_owned());
    let found: Value = serde_json::from_str(&told.lines).map_err(|_| malformed())?;
    let wrong = found["wrong"].as_array().ok_or_else(malformed)?;
    for what in wrong.iter().filter_map(Value::as_str) {
        eprintln!("ivygate: {what}");
    }
    let whole = wrong.is_empty();
    let word = if whole { "whole" } else { "NOT whole" };
    println!("{word}: {} orders, {} unknown", found["orders"], found["unknown"]);
    Ok(if whole { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn export(folder: &Path, output: Option<&Path>) -> Result<(), Failure> {
    let journal = Journal::of(folder)?;
    let write = |out: &mut dyn Write, path: &Path| {
        let failed = |error| Failure::Io(path.to_owned(), error);
        let count = journal.each(None, None, |line| writeln!(out, "{line}").map_err(failed))?;
        out.flush().map_err(failed)?;
        Ok(count)
    };
    let Some(path) = output else {
        write(&mut io::BufWriter::new(io::stdout()), Path::new("standard output"))?;
        return Ok(());
    };
    // Beside it, and put in its place when it is whole: an export that is cut off is none.
    let mut beside = path.as_os_str().to_owned();
    beside.push(".part");
    let beside = PathBuf::from(beside);
    let failed = |error| Failure::Io(beside.clone(), error);
    let made = create_private(&beside).map_err(failed).and_then(|file| {
        let count = write(&mut io::BufWriter::new(&file), &beside)?;
        file.sync_all().map_err(failed)?;
        Ok(count)
    });
    let put = made.and_then(|count| {
        std::fs::rename(&beside, path).map_err(|error| Failure::Io(path.to_owned(), error))?;
        Ok(count)
    });
    match put {
        Ok(count) => eprintln!("{count} orders"),
        Err(failure) => {
            let _ = std::fs::remove_file(&beside);
            return Err(failure);
        }
    }
    Ok(())
}

fn create_private(path: &Path) -> io::Result<std::fs::File> {
    use std::os::unix::fs::OpenOptionsExt;
    std::fs::OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(path)
}

fn line(id: &str, order: &Order) -> String {
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
