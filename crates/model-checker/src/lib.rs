//! The model checker of the store: it plays fleets of the real state machine `ivygate_config_store::Store`, through made-up weather and
//! losses on seeds, and through every way that a small world can take; and judges each step by named invariants.
//!
//! Called by its own tests and by the program `avalanche`. Must never be shipped, nor be used by any other package; it
//! never does I/O beyond printing, and never eases what it judges by.
//!
//! # Why not stateright
//!
//! Stateright (0.31) explores models written as its `Actor`: state that is `Hash` and `Eq`, timers without length, and a
//! handler whose commands take effect as one step. It knows saves (`Command::Save`) and crashes, but a crash falls between
//! handlers: none comes after a save and before what is sent on the strength of it, nor in the middle of a save, and the
//! order of the store's outputs is just what is to be checked. The store takes time as a number (ages and periods decide what
//! it does) and draws its own random numbers, which would have to be made a part of each state by hand. What is left of it
//! for us is a loop over a set of hashes: that is [`small`], which shares the judge, the adapter and the faults of saves with
//! the random explorer, so that one set of invariants holds for both. So we keep our own.
//!
//! # What the random explorer does not do
//!
//! It names no cause: a story that breaks is shrunk by playing it again without parts of it, until each event that is left is
//! needed. Losses are kept within what a group bears: a machine counts as lost from the loss of its disk, or from its coming,
//! until it is a member that held all that was acknowledged for three seconds, and more than half of each group that stands
//! or is written down must not be lost.

pub mod adapter;
pub mod defects;
pub mod judge;
pub mod linear;
pub mod shrink;
pub mod small;
pub mod story;
pub mod world;
