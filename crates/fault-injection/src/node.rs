//! A node: one process of the program under test; and the guard process that kills all nodes if the harness is killed.

use crate::process_stat;
use crate::scenario::{NodeKind, Selection};
use crate::trace::{lock, Recorder};
use rustix::process::{getrlimit, kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::process::{Child, ChildStdin, Command};
use tokio::sync::Mutex;

/// Time limit for a node to print its address, and again to respond to `GET /up`.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest number of log lines per node that are kept for the report.
const MAX_LOG_LINES: usize = 500;

/// Programs to start.
#[derive(Clone, Debug, Default)]
pub struct Program {
    /// The program under test.
    pub program: PathBuf,
    /// Another version that some nodes run, as during a rollout.
    pub other: Option<(PathBuf, Selection)>,
    /// Defect to activate in a program with seeded defects; other programs ignore it.
    pub defect: Option<String>,
    /// The `ivygate-fleet` binary, whose `guard` command kills leftover nodes; `None` for no guard.
    pub guard: Option<PathBuf>,
}

impl Program {
    /// Returns the program of a node.
    fn program_of(&self, number: usize) -> &Path {
        match &self.other {
            Some((other, nodes)) if nodes.has(number) => other,
            _ => &self.program,
        }
    }
}

/// A process that kills the registered processes when its standard input ends.
pub struct Guard {
    input: Mutex<ChildStdin>,
    _child: Child,
}

impl Guard {
    pub fn start(program: &Path) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.arg("guard").stdin(Stdio::piped()).stdout(Stdio::null());
        let mut child = command.spawn()?;
        let input = child.stdin.take().ok_or(io::ErrorKind::BrokenPipe)?;
        Ok(Self { input: Mutex::new(input), _child: child })
    }

    async fn send(&self, sign: char, id: u32) {
        // Without the guard the harness still ends the nodes in its own orderly shutdown.
        let mut input = self.input.lock().await;
        let _ = input.write_all(format!("{sign}{id}\n").as_bytes()).await;
        let _ = input.flush().await;
    }
}

/// Reads lines `+ID` and `-ID` that register and unregister processes, and kills the registered ones at the end of
/// the input.
///
/// # Errors
/// If the input cannot be read; the processes registered so far are killed anyway.
pub fn run_guard(input: impl io::BufRead) -> io::Result<()> {
    let mut watched = std::collections::BTreeMap::new();
    let mut read = Ok(());
    for line in input.lines() {
        let line = match line {
            Ok(line) => line,
            Err(error) => {
                read = Err(error);
                break;
            }
        };
        match line.split_at_checked(1).map(|(sign, id)| (sign, id.parse::<i32>())) {
            Some(("+", Ok(id))) => drop(watched.insert(id, process_stat::started(&id.to_string()))),
            Some(("-", Ok(id))) => drop(watched.remove(&id)),
            _ => {}
        }
    }
    for (id, when) in watched {
        // The start time protects an unrelated process that reuses the id of one that has ended.
        if let Some(pid) =
            Pid::from_raw(id).filter(|_| when.is_some() && process_stat::started(&id.to_string()) == when)
        {
            let _ = kill_process(pid, Signal::KILL);
        }
    }
    read
}

/// Log lines of a node with their times.
pub type LogLines = Arc<std::sync::Mutex<Vec<(f64, String)>>>;

/// A node that may or may not be running.
pub struct Node {
    form: NodeKind,
    program: PathBuf,
    defect: Option<String>,
    recorder: Recorder,
    logs: LogLines,
    config: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Listening address, kept across restarts.
    pub address: SocketAddr,
}

impl Node {
    /// Creates a node without starting it; its files are written to `folder`.
    pub fn new(program: &Program, folder: &Path, number: usize, form: NodeKind, recorder: Recorder) -> Self {
        let end = if form == NodeKind::Sidecar { "conf" } else { "json" };
        let (config, log) = (folder.join(format!("n{number}.{end}")), folder.join(format!("n{number}.log")));
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let (path, defect) = (program.program_of(number).to_owned(), program.defect.clone());
        Self {
            form,
            program: path,
            defect,
            recorder,
            logs: Arc::default(),
            config,
            log,
            child: None,
            address,
        }
    }

    /// Starts the process and waits until it responds; `config` returns its configuration for a listening address.
    pub async fn start(
        &mut self,
        guard: Option<&Guard>,
        config: impl FnOnce(SocketAddr) -> String,
    ) -> io::Result<()> {
        std::fs::write(&self.config, config(self.address))?;
        let mut command = Command::new(&self.program);
        match self.form {
            NodeKind::EdgeNode => command.env("RELAY_CONFIG", &self.config),
            NodeKind::Sidecar => command.arg("serve").arg(&self.config),
        };
        command.stdin(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        if let Some(defect) = &self.defect {
            command.env("IVYGATE_DEFECT", defect);
        }
        // Spawning takes milliseconds, which would stall the links that this thread serves.
        let spawned = tokio::task::spawn_blocking(move || command.spawn()).await.map_err(io::Error::other)?;
        let mut child = spawned
            .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", self.program.display())))?;
        if let (Some(guard), Some(id)) = (guard, child.id()) {
            guard.send('+', id).await;
        }
        let mut lines = BufReader::new(child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?).lines();
        let mut log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log)?;
        let mut logs = String::new();
        self.address = loop {
            let line =
                tokio::time::timeout(START_TIMEOUT, lines.next_line()).await.map_err(io::Error::other)??;
            let line =
                line.ok_or_else(|| io::Error::other(format!("the node exited before listening: {logs}")))?;
            if let Some((_, address)) = line.split_once("listening on ") {
                break address.trim().parse().map_err(io::Error::other)?;
            }
            logs += &line;
        };
        let (recorder, logs) = (self.recorder.clone(), self.logs.clone());
        tokio::spawn(async move {
            use std::io::Write;
            while let Ok(Some(line)) = lines.next_line().await {
                let now = recorder.now();
                // A log file that cannot be written does not affect the run.
                let _ = writeln!(log, "{now:.0} {line}");
                let mut logs = lock(&logs);
                if logs.len() < MAX_LOG_LINES {
                    logs.push((now, line));
                }
            }
        });
        self.child = Some(child);
        tokio::time::timeout(START_TIMEOUT, self.wait_until_up()).await.map_err(io::Error::other)
    }

    /// Waits until it responds to `GET /up`.
    async fn wait_until_up(&self) {
        loop {
            let asked = async {
                let stream = tokio::net::TcpStream::connect(self.address).await.ok()?;
                let mut stream = BufReader::new(stream);
                stream.get_mut().write_all(b"GET /up HTTP/1.1\r\nHost: h\r\n\r\n").await.ok()?;
                crate::http::read(&mut stream).await.ok()?
            };
            // A sidecar has no route for this path and responds with 404.
            let sound = |status| status == 200 || self.form == NodeKind::Sidecar && status == 404;
            if asked.await.is_some_and(|answer| sound(answer.status())) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn id(&self) -> Option<Pid> {
        self.child.as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(id as i32))
    }

    /// Sends it a signal, if it runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.id() {
            // A process that has ended by itself is detected when it is waited for.
            let _ = kill_process(pid, signal);
        }
    }

    /// Sets a resource limit of the process if it runs; `None` restores the limit of this process.
    pub fn limit(&self, what: Resource, count: Option<u64>) {
        let own = getrlimit(what);
        let to = Rlimit { current: count.or(own.current), maximum: own.maximum };
        if let Some(pid) = self.id() {
            // A process that has ended by itself is detected when it is waited for.
            let _ = prlimit(Some(pid), what, to);
        }
    }

    /// Replaces its configuration file and makes it reload.
    pub fn reload(&self, config: &str) -> io::Result<()> {
        std::fs::write(&self.config, config)?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Returns the CPU time of the process so far, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        self.id().map_or(0.0, |pid| process_stat::cpu_seconds(&pid.as_raw_nonzero().to_string()))
    }

    /// Returns its log lines, which grow while it runs.
    pub fn logs(&self) -> LogLines {
        self.logs.clone()
    }

    /// Returns true if the process has ended by itself.
    pub fn crashed(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Waits for the process to end and kills it after `patience`. Returns the time that it took.
    pub async fn wait_for_end(&mut self, guard: Option<&Guard>, patience: Duration) -> Duration {
        let started_at = Instant::now();
        let Some(mut child) = self.child.take() else { return Duration::ZERO };
        let id = child.id();
        if tokio::time::timeout(patience, child.wait()).await.is_err() {
            let _ = child.kill().await;
        }
        if let (Some(guard), Some(id)) = (guard, id) {
            guard.send('-', id).await;
        }
        started_at.elapsed()
    }
}
