//! The platform's list of servers: its pages, and the entry that is made of a row.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

/// A page of the list, as the platform words it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Page {
    instances: Columns,
    /// The following page.
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
pub struct Row {
    /// The server's life.
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
    /// How much longer it is slow, in seconds.
    #[serde(default)]
    pub warm_left_s: f64,
}

fn one() -> f64 {
    1.0
}

/// A step of a reading that takes longer tells that the process stood still: each page is waited for less long.
const STEP: f64 = 1_200.0;

/// A reading of the whole list, page by page, under the epoch in which it began. Times are the caller's, in milliseconds.
#[derive(Clone, Debug)]
pub struct Reading {
    epoch: u64,
    /// When the last page came, or it began.
    at: f64,
    /// Whether no step took too long.
    fresh: bool,
    /// The last change of the copy when it began: what came after may be younger than what was read.
    change: u64,
    rows: Vec<Row>,
}

impl Reading {
    /// It begins now, under this epoch; `change` is the last change of the copy.
    pub fn new(now: f64, epoch: u64, change: u64) -> Self {
        Self { epoch, at: now, fresh: true, change, rows: Vec::new() }
    }

    /// The last change of the copy when it began.
    pub(crate) fn change(&self) -> u64 {
        self.change
    }

    /// A page has come.
    pub fn page(&mut self, now: f64, rows: Vec<Row>) {
        self.step(now);
        self.rows.extend(rows);
    }

    fn step(&mut self, now: f64) {
        self.fresh &= now <= self.at + STEP;
        self.at = now;
    }

    /// What was read, if that is no older than its pages took and the epoch is still this one.
    pub(crate) fn rows(mut self, now: f64, epoch: u64) -> Option<Vec<Row>> {
        self.step(now);
        (self.fresh && self.epoch == epoch).then_some(self.rows)
    }
}

/// A server as the system's own table names it, by the id of its life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its service.
    pub backend: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub capacity: f64,
    /// Whether it leaves.
    pub draining: bool,
    /// How long it stays cold, in seconds from when this was first told; 0 for one that is warm.
    pub cold_s: f64,
}

impl Page {
    /// Its rows; one that can't be read is passed over, for it is as good as not there.
    pub fn rows(&self) -> Vec<Row> {
        let columns = &self.instances;
        let row = |values: &Vec<Value>| {
            let fields =
                columns.cols.iter().cloned().zip(values.iter().cloned()).filter(|(_, v)| !v.is_null());
            serde_json::from_value(Value::Object(fields.collect())).ok()
        };
        columns.rows.iter().filter_map(row).collect()
    }
}

impl Row {
    /// The entry for it; what is told of a time that runs down does not change with each reading.
    pub fn server(&self, was: Option<&Server>) -> Server {
        let told = was.map_or(0.0, |was| was.cold_s);
        let cold_s = match (self.warm_left_s > 0.0, told > 0.0) {
            (false, _) => 0.0,
            // A longer time than was told is a new coldness.
            (true, true) if self.warm_left_s <= told + 0.05 => told,
            (true, _) => self.warm_left_s,
        };
        Server {
            backend: self.backend.clone(),
            address: self.address,
            zone: self.az.clone(),
            capacity: self.capacity,
            draining: self.state != "ready",
            cold_s,
        }
    }
}
