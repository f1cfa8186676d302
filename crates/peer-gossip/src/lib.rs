//! Gossip between the processes of one installation about the zones of their pools: authenticated packets,
//! and the members that have sent some.
//!
//! The sidecar owns the socket. This crate does no I/O, reads no clock and draws no conclusions from the
//! reports: `ivygate-failure-domains` does.

mod members;
mod packet;

pub use members::{DropReason, Member, PeerGroup};
pub use packet::{Key, KeyError, MAX_PACKET_BYTES};
