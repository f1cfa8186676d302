//! `ivygate domains` and `ivygate members`: zone states and gossip members of a running sidecar, queried from its
//! operator address.

use crate::{load_without_report, render_report, OutputFormat, EXIT_USAGE};
use ivygate_config::Severity;
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Timeout for connecting, reading and writing.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// Query to a sidecar.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// States of the zones.
    Domains,
    /// Members of the gossip group.
    Members,
}

/// Sends a query and prints the response.
pub fn run(file: &Path, format: OutputFormat, query: Query) -> ExitCode {
    let loaded = match load_without_report(file) {
        Ok(loaded) => loaded,
        Err(code) => return code,
    };
    let Some(model) = &loaded.model else {
        eprint!("{}", render_report(&loaded, Severity::Error));
        return ExitCode::from(EXIT_USAGE);
    };
    let Some(operator) = &model.operator else {
        eprintln!("ivygate: {} names no operators' address: write `operator ADDRESS:PORT;`", file.display());
        return ExitCode::from(EXIT_USAGE);
    };
    let path = if query == Query::Domains { "/domains" } else { "/members" };
    let lines = match send_query(operator.address, path) {
        Ok((200, lines)) => lines,
        Ok((_, lines)) => {
            let document = serde_json::from_str::<Value>(lines.trim()).ok();
            let error = document.as_ref().and_then(|document| document["error"].as_str());
            let error = error.unwrap_or("the response is malformed");
            eprintln!("ivygate: {}: {error}", operator.address);
            return ExitCode::FAILURE;
        }
        Err(error) => {
            eprintln!("ivygate: {} does not answer: {error}", operator.address);
            return ExitCode::FAILURE;
        }
    };
    let output = match (format, query) {
        (OutputFormat::Json, _) => lines,
        (OutputFormat::Text, Query::Domains) => domains_table(&lines),
        (OutputFormat::Text, Query::Members) => members_list(&lines),
    };
    // A reader that closes the pipe early is not an error.
    let _ = io::stdout().write_all(output.as_bytes());
    ExitCode::SUCCESS
}

fn send_query(address: SocketAddr, path: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut response = String::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_string(&mut response)?;
    let malformed = || io::Error::new(io::ErrorKind::InvalidData, "the response is malformed");
    let (head, body) = response.split_once("\r\n\r\n").ok_or_else(malformed)?;
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(malformed)?;
    Ok((status, body.to_owned()))
}

fn members_list(lines: &str) -> String {
    let mut output = String::new();
    for document in lines.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
        if let Some(member) = document["member"].as_str() {
            let ago = document["heard_ms_ago"].as_f64().unwrap_or(0.0) / 1000.0;
            output += &format!("{member}  heard {ago:.1} s ago, {} packets\n", document["packets"]);
            continue;
        }
        output += &format!(
            "{} peers configured, {} packets not sent; dropped:",
            document["peers"], document["unsent"]
        );
        for (reason, count) in document["dropped"].as_object().into_iter().flatten() {
            output += &format!(" {count} {reason}");
        }
        output += "\n";
    }
    output
}

fn domains_table(lines: &str) -> String {
    let mut output = format!(
        "{:<16} {:<12} {:<10} {:>9} {:>5} {:>5}  because\n",
        "pool", "zone", "degree", "for", "safe", "other"
    );
    for document in lines.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok()) {
        let text = |key: &str| document[key].as_str().unwrap_or("?").to_owned();
        let number = |key: &str| document[key].as_f64().unwrap_or(0.0);
        let degree = if document["distrusted"] == true { text("degree") + "?" } else { text("degree") };
        output += &format!(
            "{:<16} {:<12} {:<10} {:>8.1}s {:>5.2} {:>5.2}  {}\n",
            text("pool"),
            text("zone"),
            degree,
            number("since_ms") / 1000.0,
            number("safe"),
            number("other"),
            text("because")
        );
    }
    output
}
