//! The small worlds that are explored.

use crate::adapter::{self, ClientCall};

/// What bounds a small world.
#[derive(Clone, Debug)]
pub struct WorldBounds {
    /// Its name.
    pub name: &'static str,
    /// How many stores.
    pub stores: usize,
    /// The calls: at which store, and what for. Each may come at any step.
    pub calls: Vec<(usize, ClientCall)>,
    /// How often a store may lose power: before a save, after it, or between steps.
    pub crashes: u8,
    /// How many disks may be lost.
    pub wipes: u8,
    /// Seconds that may pass.
    pub seconds: u8,
    /// Calms that may pass.
    pub calms: u8,
    /// Messages that may come twice.
    pub doubled: u8,
}

fn put(name: &str, place: &str, number: u64, content: u64) -> ClientCall {
    ClientCall::Put { name: name.to_owned(), place: place.to_owned(), number, content }
}

fn duty(holder: usize) -> ClientCall {
    ClientCall::Duty { name: "d".to_owned(), holder: adapter::ip(holder) }
}

impl WorldBounds {
    /// A world of three stores without calls and faults.
    fn named(name: &'static str) -> Self {
        Self { name, stores: 3, calls: Vec::new(), crashes: 0, wipes: 0, seconds: 0, calms: 0, doubled: 0 }
    }
}

/// Two contents put under one version, at two stores.
fn one_version() -> Vec<(usize, ClientCall)> {
    vec![(0, put("a", "/a/", 2, 1)), (1, put("a", "/a/", 2, 2))]
}

/// Two items put at one place, at two stores.
fn one_place() -> Vec<(usize, ClientCall)> {
    vec![(0, put("a", "/same/", 2, 1)), (1, put("c", "/same/", 3, 2))]
}

/// Two registries that ask for one role.
fn one_role() -> Vec<(usize, ClientCall)> {
    vec![(0, duty(100)), (1, duty(101))]
}

/// The first of the two calls that conflict.
fn one_call() -> Vec<(usize, ClientCall)> {
    one_version().into_iter().take(1).collect()
}

/// A drain at one store and a read at another.
fn drain_and_read() -> Vec<(usize, ClientCall)> {
    vec![(0, ClientCall::Drain { zone: "z".to_owned(), on: true }), (1, ClientCall::Read)]
}

/// The small worlds that are explored, from the smallest on.
pub fn small_worlds() -> Vec<WorldBounds> {
    let named = WorldBounds::named;
    vec![
        WorldBounds { calls: one_version(), ..named("3-one-number") },
        WorldBounds { calls: one_role(), ..named("3-duties") },
        WorldBounds { calls: one_call(), crashes: 1, seconds: 1, ..named("3-one-crash") },
        WorldBounds { calls: one_call(), wipes: 1, calms: 1, ..named("3-one-loss") },
        WorldBounds { calls: one_place(), calms: 2, ..named("3-late-orphan") },
        WorldBounds { calls: drain_and_read(), calms: 1, ..named("3-drain-and-read") },
        WorldBounds { calls: one_version(), crashes: 1, ..named("3-two-calls-one-crash") },
        WorldBounds { calls: one_version(), wipes: 1, calms: 2, ..named("3-two-calls-one-loss") },
        WorldBounds { calls: one_role(), wipes: 1, calms: 2, ..named("3-duties-one-loss") },
        WorldBounds { stores: 4, calls: one_version(), wipes: 1, calms: 2, ..named("4-two-calls-one-loss") },
        WorldBounds { stores: 5, calls: one_call(), wipes: 2, calms: 2, ..named("5-one-call-two-losses") },
        WorldBounds { stores: 5, calls: one_version(), wipes: 1, calms: 2, ..named("5-two-calls-one-loss") },
    ]
}
