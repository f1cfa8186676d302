//! Stand-ins and scenarios of the review's scripts: `stand-in CASE FOLDER`. The scenario starts the project's programs,
//! plays the clients, servers, operator and platform of a small deployment, and writes FOLDER/record.txt.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.

mod deployment;
mod drain;
mod founding;
mod http;
mod memory;
mod net;
mod record;
mod role;
mod servers;
mod shutdown;

use std::path::PathBuf;

/// Result of a scenario: whether the rule was broken, or why the case could not run.
pub type Verdict = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-in drain|founding|memory|role|shutdown FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    record.line(&format!("case {case}, trouble {}", if has_trouble { "on" } else { "off" }));
    let verdict = match case.as_str() {
        "drain" => drain::run(&record, has_trouble),
        "founding" => founding::run(&record, has_trouble),
        "memory" => memory::run(&record, has_trouble),
        "role" => role::run(&record, has_trouble),
        "shutdown" => shutdown::run(&record, has_trouble),
        other => Err(format!("there is no case {other}")),
    };
    let status = match verdict {
        Ok(true) => {
            record.line("RESULT: the rule was broken");
            1
        }
        Ok(false) => {
            record.line("RESULT: the rule held");
            0
        }
        Err(cause) => {
            record.line(&format!("RESULT: the case could not run: {cause}"));
            2
        }
    };
    std::process::exit(status);
}
