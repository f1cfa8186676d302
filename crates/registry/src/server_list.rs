//! The platform's list of servers: its pages, and the record that is made of a row.

use ivygate_time::Timestamp;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// A step of a reading that takes longer tells that the process was paused: no page is waited for so long.
const MAX_STEP_TIME: Duration = Duration::from_millis(1_200);
/// How much longer than told before a slow start may seem without being a new one, in seconds: readings are rounded.
const SLOW_START_TOLERANCE_S: f64 = 0.05;
/// The state of a server that takes requests, in the platform's word.
const READY_STATE: &str = "ready";

/// A page of the list, in the platform's words.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServerListPage {
    instances: Columns,
    /// Names the following page, if there is one.
    pub next_cursor: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct Columns {
    cols: Vec<String>,
    rows: Vec<Vec<Value>>,
}

/// A row of the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ServerRow {
    /// The incarnation of the server.
    pub id: String,
    /// Its service.
    pub backend: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// Requests that it works on at once.
    #[serde(default = "one")]
    pub capacity: f64,
    /// `ready` or `draining`.
    pub state: String,
    /// How much longer its slow start takes, in seconds.
    #[serde(default)]
    pub warm_left_s: f64,
}

fn one() -> f64 {
    1.0
}

/// A reading of the complete list, page by page, under the epoch in which it began.
#[derive(Clone, Debug)]
pub struct ServerListFetch {
    epoch: u64,
    /// When it began, or the last page came.
    last_step_at: Timestamp,
    /// Whether no step took too long.
    is_fresh: bool,
    /// The last change of the replica when it began: what came after that may be younger than what was read.
    first_change: u64,
    rows: Vec<ServerRow>,
}

impl ServerListFetch {
    /// A reading that begins now, under an epoch; `last_change` is the last change of the replica.
    pub fn new(now: Timestamp, epoch: u64, last_change: u64) -> Self {
        Self { epoch, last_step_at: now, is_fresh: true, first_change: last_change, rows: Vec::new() }
    }

    /// The last change of the replica when it began.
    pub(crate) fn first_change(&self) -> u64 {
        self.first_change
    }

    /// A page has come.
    pub fn add_page(&mut self, now: Timestamp, rows: Vec<ServerRow>) {
        self.step(now);
        self.rows.extend(rows);
    }

    fn step(&mut self, now: Timestamp) {
        self.is_fresh &= now <= self.last_step_at + MAX_STEP_TIME;
        self.last_step_at = now;
    }

    /// What was read, if it is no older than its pages took and the epoch is still this one.
    pub(crate) fn into_rows(mut self, now: Timestamp, epoch: u64) -> Option<Vec<ServerRow>> {
        self.step(now);
        (self.is_fresh && self.epoch == epoch).then_some(self.rows)
    }
}

/// A server as an item of the system's own table holds it, by the id of its incarnation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Its service.
    pub backend: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub capacity: f64,
    /// Whether it is draining.
    pub draining: bool,
    /// How long its slow start takes, in seconds from when this was first told; 0 for a server that has warmed up.
    #[serde(rename = "cold_s")]
    pub slow_start_s: f64,
}

impl ServerListPage {
    /// The page's rows. One that can't be read is passed over: it is as good as not there.
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
    /// The record of the row. Time that runs down does not make another record with each reading.
    pub fn to_record(&self, known: Option<&ServerRecord>) -> ServerRecord {
        ServerRecord {
            backend: self.backend.clone(),
            address: self.address,
            zone: self.az.clone(),
            capacity: self.capacity,
            draining: self.state != READY_STATE,
            slow_start_s: self.slow_start_s(known.map_or(0.0, |known| known.slow_start_s)),
        }
    }

    /// What is told of the slow start: what was told before, unless it is over or a new one has begun.
    fn slow_start_s(&self, told_s: f64) -> f64 {
        if self.warm_left_s <= 0.0 {
            return 0.0;
        }
        let is_same_start = told_s > 0.0 && self.warm_left_s <= told_s + SLOW_START_TOLERANCE_S;
        if is_same_start {
            told_s
        } else {
            self.warm_left_s
        }
    }
}
