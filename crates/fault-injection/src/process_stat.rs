//! What the system tells of a process: when it started, and how much of a processor it has had.

/// Fields of its line behind its name; none where the system does not tell.
fn fields(process: &str) -> Vec<String> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let behind = stat.rsplit(") ").next().unwrap_or_default();
    behind.split(' ').map(str::to_owned).collect()
}

/// When a process started, in the system's words.
pub fn started(process: &str) -> Option<String> {
    fields(process).into_iter().nth(19)
}

/// Processor time of a process so far, in seconds; nothing where the system does not tell.
pub fn cpu_seconds(process: &str) -> f64 {
    // The system's unit in that file is a hundredth.
    fields(process).iter().skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / 100.0
}
