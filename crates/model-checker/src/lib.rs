//! The model checker of the configuration store.
//!
//! It runs fleets of the real state machine, [`ivygate_config_store::Store`], on a simulated clock, network and disks, and checks
//! each step against named invariants ([`checker::Invariant`]):
//!
//! - [`simulation`] runs one [`schedule`] of calls and faults, drawn from a seed; [`shrink`] reduces one that violates an invariant.
//! - [`exhaustive`] explores every state that a small world can reach.
//! - [`linearizability`] searches the history of each item for an order that explains it.
//! - [`defects`] are seeded into messages, disks and answers, never into the store, to show that the checker finds them.
//!
//! For tests and people only: it is not shipped, no other package uses it, and it does no I/O beyond printing.
//!
//! # Why not stateright
//!
//! Stateright (0.31) explores models written as its `Actor`: state that is `Hash` and `Eq`, timers without length, and a handler
//! whose commands take effect as one step. It knows saves (`Command::Save`) and crashes, but a crash falls between handlers: none
//! comes after a save and before what is sent because of it, nor in the middle of a save. The order of the store's effects is just
//! what is to be checked. The store also takes time as a number and draws its own random numbers, which would have to be made a part
//! of each state by hand. What is left of it is a loop over a set of hashes: that is [`exhaustive`], which shares the checker, the
//! adapter and the faults of saves with the random simulation, so that one set of invariants holds for both.
//!
//! # What the random simulation does not do
//!
//! It names no cause: a schedule that violates an invariant is shrunk by running it again without parts of it, until each event that
//! is left is needed. Losses of disks are kept within what a membership tolerates: a machine counts as lost from the loss of its
//! disk, or from its joining, until it has been a member that held everything acknowledged for three seconds, and a majority of each
//! membership that is chosen or accepted anywhere must not be lost.

pub mod adapter;
pub mod checker;
pub mod defects;
pub mod exhaustive;
pub mod linearizability;
pub mod schedule;
pub mod shrink;
pub mod simulation;
