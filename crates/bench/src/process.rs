//! Child processes under measurement.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// A child process that has reported its listening address; killed on drop.
pub struct Process {
    child: Child,
    /// Listening address.
    pub address: SocketAddr,
    /// Configuration file, removed on drop.
    file: Option<PathBuf>,
}

impl Process {
    /// Starts this program with other arguments.
    pub fn benchmark_command(arguments: &[&str]) -> io::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(arguments);
        Self::start(command, None)
    }

    /// Starts the sidecar with a configuration.
    pub fn sidecar(config: &str) -> io::Result<Self> {
        let binary = std::env::current_exe()?.with_file_name("ivygate");
        let file = std::env::temp_dir().join(format!(
            "ivygate-bench-{}-{}.conf",
            std::process::id(),
            fastrand::u32(..)
        ));
        std::fs::write(&file, config)?;
        let mut command = Command::new(&binary);
        command.arg("serve").arg(&file);
        Self::start(command, Some(file))
    }

    fn start(mut command: Command, file: Option<PathBuf>) -> io::Result<Self> {
        let mut child = command.stderr(Stdio::piped()).spawn().map_err(|error| {
            io::Error::new(
                error.kind(),
                format!("{:?}: {error}; build it with --release first", command.get_program()),
            )
        })?;
        let mut lines = BufReader::new(child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?).lines();
        let mut output = String::new();
        let address = loop {
            let Some(line) = lines.next().transpose()? else {
                return Err(io::Error::other(format!("the process exited before listening: {output}")));
            };
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.parse().map_err(io::Error::other)?;
            }
            output += &line;
        };
        std::thread::spawn(move || lines.for_each(drop));
        Ok(Self { child, address, file })
    }

    /// Returns the CPU time used so far in seconds, user and system.
    pub fn cpu_seconds(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
        let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
        // A tick is 10 ms on every Linux that Rust supports by default.
        (ticks(11) + ticks(12)) / 100.0
    }

    /// Returns the resident memory in MiB.
    pub fn memory_mib(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("");
        line.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1024.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(file) = &self.file {
            let _ = std::fs::remove_file(file);
        }
    }
}
