//! The small configurations that are explored.

use crate::adapter::{self, ClientCall};

/// The bounds of a small configuration.
#[derive(Clone, Debug)]
pub struct ConfigurationBounds {
    /// The name of the configuration.
    pub name: &'static str,
    /// The number of stores.
    pub stores: usize,
    /// The calls and the stores that receive them. Each may be made at any step.
    pub calls: Vec<(usize, ClientCall)>,
    /// The number of power losses, each before a save, after a save or between steps.
    pub crashes: u8,
    /// The number of disk losses.
    pub disk_losses: u8,
    /// The number of times at which a second may pass without delivery of messages.
    pub seconds: u8,
    /// The number of calm periods.
    pub calms: u8,
    /// The number of messages that may be delivered twice.
    pub duplicates: u8,
}

fn put(name: &str, path_prefix: &str, version: u64, content: u64) -> ClientCall {
    ClientCall::Put { name: name.to_owned(), path_prefix: path_prefix.to_owned(), version, content }
}

fn acquire_role(holder: usize) -> ClientCall {
    ClientCall::AcquireRole { role: "d".to_owned(), holder: adapter::address_of(holder) }
}

impl ConfigurationBounds {
    /// Creates a configuration of three stores without calls and faults.
    fn named(name: &'static str) -> Self {
        Self {
            name,
            stores: 3,
            calls: Vec::new(),
            crashes: 0,
            disk_losses: 0,
            seconds: 0,
            calms: 0,
            duplicates: 0,
        }
    }
}

/// Returns two writes of different contents under one version, at two stores.
fn conflicting_writes() -> Vec<(usize, ClientCall)> {
    vec![(0, put("a", "/a/", 2, 1)), (1, put("a", "/a/", 2, 2))]
}

/// Returns two writes of different items with one path prefix, at two stores.
fn writes_with_one_prefix() -> Vec<(usize, ClientCall)> {
    vec![(0, put("a", "/same/", 2, 1)), (1, put("c", "/same/", 3, 2))]
}

/// Returns calls of two registries for one role.
fn role_calls() -> Vec<(usize, ClientCall)> {
    vec![(0, acquire_role(100)), (1, acquire_role(101))]
}

/// Returns the first of the two conflicting writes.
fn single_write() -> Vec<(usize, ClientCall)> {
    conflicting_writes().into_iter().take(1).collect()
}

/// Returns a drain at one store and a read at another.
fn drain_and_read() -> Vec<(usize, ClientCall)> {
    vec![(0, ClientCall::Drain { zone: "z".to_owned(), drained: true }), (1, ClientCall::Read)]
}

/// Returns the small configurations that are explored, smallest first.
pub fn small_configurations() -> Vec<ConfigurationBounds> {
    let named = ConfigurationBounds::named;
    vec![
        ConfigurationBounds { calls: conflicting_writes(), ..named("3-one-number") },
        ConfigurationBounds { calls: role_calls(), ..named("3-duties") },
        ConfigurationBounds { calls: single_write(), crashes: 1, seconds: 1, ..named("3-one-crash") },
        ConfigurationBounds { calls: single_write(), disk_losses: 1, calms: 1, ..named("3-one-loss") },
        ConfigurationBounds { calls: writes_with_one_prefix(), calms: 2, ..named("3-late-orphan") },
        ConfigurationBounds { calls: drain_and_read(), calms: 1, ..named("3-drain-and-read") },
        ConfigurationBounds { calls: conflicting_writes(), crashes: 1, ..named("3-two-calls-one-crash") },
        ConfigurationBounds {
            calls: conflicting_writes(),
            disk_losses: 1,
            calms: 2,
            ..named("3-two-calls-one-loss")
        },
        ConfigurationBounds { calls: role_calls(), disk_losses: 1, calms: 2, ..named("3-duties-one-loss") },
        ConfigurationBounds {
            stores: 4,
            calls: conflicting_writes(),
            disk_losses: 1,
            calms: 2,
            ..named("4-two-calls-one-loss")
        },
        ConfigurationBounds {
            stores: 5,
            calls: single_write(),
            disk_losses: 2,
            calms: 2,
            ..named("5-one-call-two-losses")
        },
        ConfigurationBounds {
            stores: 5,
            calls: conflicting_writes(),
            disk_losses: 1,
            calms: 2,
            ..named("5-two-calls-one-loss")
        },
    ]
}
