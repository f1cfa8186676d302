//! The platform's server list: its pages, the state of a fetch, and the conversion of rows to server records.

use ivygate_time::Timestamp;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two steps of a fetch above which the process must have been paused, since the timeout of a page is shorter.
const MAX_STEP_TIME: Duration = Duration::from_millis(1_200);
/// Amount by which the remaining slow start may exceed the recorded one without counting as a new one, in seconds. The values
/// in the list are rounded.
const SLOW_START_TOLERANCE_S: f64 = 0.05;
/// Name that the platform uses for the state of a serving server.
const READY_STATE: &str = "ready";

/// Page of the list in the platform's format.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServerListPage {
    instances: Columns,
    /// Cursor of the next page; `None` on the last page.
    pub next_cursor: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct Columns {
    cols: Vec<String>,
    rows: Vec<Vec<Value>>,
}

/// Row of the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServerRow {
    /// ID of the server's incarnation.
    pub id: String,
    /// Service of the server.
    pub backend: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Zone of the server.
    #[serde(default)]
    pub az: String,
    /// Number of requests that it handles concurrently.
    #[serde(default = "one")]
    pub capacity: f64,
    /// State, `ready` or `draining`.
    pub state: String,
    /// Remaining time of its slow start, in seconds.
    #[serde(default)]
    pub warm_left_s: f64,
}

fn one() -> f64 {
    1.0
}

/// Fetch of the complete list, page by page, under the epoch in which it started.
#[derive(Clone, Debug)]
pub struct ServerListFetch {
    epoch: u64,
    /// Time of the start or of the last received page.
    last_step_at: Timestamp,
    /// `true` while no step has exceeded [`MAX_STEP_TIME`].
    is_fresh: bool,
    /// Last change of the replica at the start of the fetch. Later changes may be newer than the fetched rows.
    change_at_start: u64,
    rows: Vec<ServerRow>,
}

impl ServerListFetch {
    /// Starts a fetch under an epoch. `last_change` is the last change of the replica.
    pub fn new(now: Timestamp, epoch: u64, last_change: u64) -> Self {
        Self { epoch, last_step_at: now, is_fresh: true, change_at_start: last_change, rows: Vec::new() }
    }

    /// Returns the last change of the replica at the start of the fetch.
    pub(crate) fn change_at_start(&self) -> u64 {
        self.change_at_start
    }

    /// Adds the rows of a received page.
    pub fn add_page(&mut self, now: Timestamp, rows: Vec<ServerRow>) {
        self.step(now);
        self.rows.extend(rows);
    }

    /// Records a step of the fetch and whether it took too long.
    fn step(&mut self, now: Timestamp) {
        self.is_fresh &= now <= self.last_step_at + MAX_STEP_TIME;
        self.last_step_at = now;
    }

    /// Returns the rows if no step took too long and the epoch is still the current one.
    pub(crate) fn into_rows(mut self, now: Timestamp, epoch: u64) -> Option<Vec<ServerRow>> {
        self.step(now);
        (self.is_fresh && self.epoch == epoch).then_some(self.rows)
    }
}

/// Server as stored in the table of servers, whose items are named by the ID of the server's incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Service of the server.
    pub backend: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    /// Number of requests that it handles concurrently.
    pub capacity: f64,
    /// `true` if the server is draining.
    pub draining: bool,
    /// Duration of its slow start in seconds, from when it was first listed; 0 after the slow start.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
}

impl ServerListPage {
    /// Parses the rows of the page. Malformed rows are skipped, as if the server were not listed.
    pub fn rows(&self) -> Vec<ServerRow> {
        let columns = &self.instances;
        let parse_row = |values: &Vec<Value>| {
            let fields = columns.cols.iter().cloned().zip(values.iter().cloned());
            let fields = fields.filter(|(_, value)| !value.is_null());
            serde_json::from_value(Value::Object(fields.collect())).ok()
        };
        columns.rows.iter().filter_map(parse_row).collect()
    }
}

impl ServerRow {
    /// Converts the row to a server record. The countdown of a slow start does not change the record with every fetch.
    pub fn to_record(&self, previous: Option<&ServerRecord>) -> ServerRecord {
        ServerRecord {
            backend: self.backend.clone(),
            address: self.address,
            zone: self.az.clone(),
            capacity: self.capacity,
            draining: self.state != READY_STATE,
            slow_start_s: self.slow_start_s(previous.map_or(0.0, |previous| previous.slow_start_s)),
        }
    }

    /// Returns the duration of the slow start: the recorded one, unless it is over or a new one has started.
    fn slow_start_s(&self, recorded_s: f64) -> f64 {
        if self.warm_left_s <= 0.0 {
            return 0.0;
        }
        let is_same_start = recorded_s > 0.0 && self.warm_left_s <= recorded_s + SLOW_START_TOLERANCE_S;
        if is_same_start {
            recorded_s
        } else {
            self.warm_left_s
        }
    }
}
