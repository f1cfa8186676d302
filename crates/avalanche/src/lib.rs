//! The model checker of the store: it plays fleets of the real state machine `cairn::Store`, through made-up weather and
//! losses on seeds, and through every way that a small world can take; and judges each step by named invariants.
//!
//! Called by its own tests and by the program `avalanche`. Must never be shipped, nor be used by any other package; it
//! never does I/O beyond printing, and never eases what it judges by.
//!
//! # Why not stateright
//!
//! Stateright explores models written as its `Actor`: state that is `Hash` and `Eq`, timers without length, a message
//! handler whose commands take effect as one. The store is a machine with time passed in (ages and periods decide what it
//! does), a generator of random numbers of its own, and outputs whose order is the promise to be checked: what is sent
//! before a save and what after it. Through an `Actor` that order is gone (a handler and its commands are one step), and
//! time would have to be made a part of each state by hand. What is left of it for us is a loop with a set of hashes, and
//! that is [`small`]: some hundred lines, which share the judge, the faults of saves and the adapter with the random
//! explorer, so that one set of invariants holds for both. So we keep our own.

pub mod adapter;
pub mod defects;
pub mod judge;
pub mod linear;
pub mod shrink;
pub mod small;
pub mod story;
pub mod world;
