//! The model checker of the configuration store.
//!
//! It runs clusters of the real state machine, [`ivygate_config_store::Store`], on a simulated clock, network and
//! disks, and checks each step against named invariants ([`checker::Invariant`]):
//!
//! - [`simulation`] runs one [`schedule`] of calls and faults, drawn from a seed; [`shrink`] reduces a schedule that
//!   violates an invariant.
//! - [`exhaustive`] explores every reachable state of a small configuration.
//! - [`linearizability`] searches for an order of operations that explains the history of each item.
//! - [`defects`] are seeded into messages, disks and replies, never into the store, to show that the checker finds
//!   them.
//!
//! For development only: it is not shipped, no other package depends on it, and its only I/O is printing.
//!
//! # Why not stateright
//!
//! Stateright (0.31) explores models written as its `Actor`: state that implements `Hash` and `Eq`, timers without
//! durations, and handlers whose commands take effect in one step. It supports saves (`Command::Save`) and crashes, but
//! crashes occur only between handlers: never between a save and the messages that depend on it, and never during a
//! save. The order of the store's effects is precisely what must be checked. The store also takes time as a number and
//! draws its own random numbers, which would have to be made part of each state manually. What Stateright would then
//! still provide is a loop over a set of hashes. The module [`exhaustive`] implements that, and shares the checker, the
//! adapter and the save faults with the random simulation, so that one set of invariants applies to both.
//!
//! # Limits of the random simulation
//!
//! The simulation does not determine the cause of a violation: a schedule that violates an invariant is shrunk by
//! running it again without parts of it, until every remaining event is needed. Disk losses stay within what the
//! membership tolerates. A machine counts as lost from the loss of its disk, or from joining, until it has been a
//! member that has every acknowledged item for three seconds. A majority of each membership that is chosen or accepted
//! anywhere must not be lost.

pub mod adapter;
pub mod checker;
pub mod defects;
pub mod exhaustive;
pub mod linearizability;
pub mod schedule;
pub mod shrink;
pub mod simulation;
