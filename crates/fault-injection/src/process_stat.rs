//! Start time and CPU time of a process, read from `/proc`.

/// Returns the fields of `/proc/PID/stat` after the process name; empty if the file cannot be read.
fn fields(process: &str) -> Vec<String> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let behind = stat.rsplit(") ").next().unwrap_or_default();
    behind.split(' ').map(str::to_owned).collect()
}

/// Returns the start time of a process, in clock ticks since boot as the system prints it.
pub fn started(process: &str) -> Option<String> {
    fields(process).into_iter().nth(19)
}

/// Returns the CPU time of a process so far in seconds, user and system; 0 if it cannot be read.
pub fn cpu_seconds(process: &str) -> f64 {
    // Times in this file count clock ticks of 10 ms.
    fields(process).iter().skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() / 100.0
}
