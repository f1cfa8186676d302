//! A test discovery agent of one node: serves the server list that this node sees and a watch of its changes.

use crate::accept::accept;
use crate::scenario::ZONES;
use crate::trace::{Drain, Recorder};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval of empty lines on a watch while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// An entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    pub server: usize,
    pub address: SocketAddr,
    pub state: &'static str,
    /// Unix time of the server's start in milliseconds; 0 if it was warm from the beginning.
    pub boot_ms: u64,
}

/// The server list: its revision, and the revision in which each entry last changed.
#[derive(Clone, Debug, Default)]
struct List {
    rev: u64,
    entries: BTreeMap<String, (u64, ListEntry)>,
    silent: bool,
}

impl List {
    /// Returns all entries, or those changed since a revision, in the JSON of the protocol.
    fn since(&self, rev: u64, all: bool) -> String {
        let entries = self.entries.iter().filter(|(_, (changed, _))| all || *changed > rev);
        let words: Vec<String> = entries
            .map(|(uid, (_, e))| {
                let (zone, group) = (ZONES[e.server % ZONES.len()], e.server % ZONES.len());
                format!(
                    r#"{{"uid":"{uid}","endpoint":"{}","az":"{zone}","model":"m","pod_group":{group},"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
                    e.address, e.state, e.boot_ms
                )
            })
            .collect();
        format!(r#"{{"rev":{},"all":{all},"targets":[{}]}}"#, self.rev, words.join(","))
    }

    /// Returns the servers whose state changed to draining or removed since a revision.
    fn drained(&self, rev: u64) -> Vec<usize> {
        let ended = |(changed, e): &&(u64, ListEntry)| *changed > rev && e.state != "SERVING";
        self.entries.values().filter(ended).map(|(_, e)| e.server).collect()
    }
}

/// The running agent of one node; stops when dropped.
pub struct Discovery {
    pub address: SocketAddr,
    list: watch::Sender<List>,
}

impl Discovery {
    pub async fn start(node: usize, recorder: Recorder) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (list, seen) = watch::channel(List::default());
        accept(listener, seen.clone(), move |stream, _| {
            tokio::spawn(answer(stream, node, seen.clone(), recorder.clone()));
        });
        Ok(Self { address, list })
    }

    /// Adds or replaces an entry.
    pub fn set(&self, uid: &str, listed: ListEntry) {
        self.list.send_modify(|list| {
            list.rev += 1;
            list.entries.insert(uid.to_owned(), (list.rev, listed));
        });
    }

    /// Suspends or resumes all responses; changes made meanwhile are sent afterwards.
    pub fn silence(&self, on: bool) {
        self.list.send_modify(|list| list.silent = on);
    }

    /// Returns the whole list as in the configuration of a node.
    pub fn known(&self) -> String {
        self.list.borrow().since(0, true)
    }
}

async fn answer(stream: TcpStream, node: usize, mut list: watch::Receiver<List>, recorder: Recorder) {
    let mut stream = BufReader::new(stream);
    let Ok(Some(request)) = crate::http::read(&mut stream).await else { return };
    let Ok(_) = list.wait_for(|list| !list.silent).await else { return };
    let Some((_, index)) = request.start.split_once("stream=1&index=") else {
        let text = list.borrow().since(0, true);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", text.len());
        let _ = stream.get_mut().write_all((head + &text).as_bytes()).await;
        return;
    };
    let mut told = index.split(' ').next().and_then(|i| i.parse().ok()).unwrap_or(0);
    let _ = stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await;
    loop {
        let changed = list.wait_for(|list| !list.silent && list.rev > told);
        let (line, drained) = match tokio::time::timeout(HEARTBEAT_INTERVAL, changed).await {
            Ok(Err(_)) => return,
            Ok(Ok(list)) => {
                let news = (list.since(told, false), list.drained(told));
                told = list.rev;
                news
            }
            Err(_) => (String::new(), Vec::new()),
        };
        if line.is_empty() && list.borrow().silent {
            continue;
        }
        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
        if stream.get_mut().write_all(chunk.as_bytes()).await.is_err() {
            return;
        }
        // A drain counts as announced once it has been written.
        let at = recorder.now();
        let until = f64::INFINITY;
        recorder.note(|trace| {
            trace.drains.extend(drained.into_iter().map(|server| Drain { node, server, at, until }));
        });
    }
}
