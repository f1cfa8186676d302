//! What processes of one installation tell each other about the zones of their pools: packets with a key, and the members
//! that were heard.
//!
//! Called by the sidecar, which owns the socket. It must not do I/O, read a clock, or judge what is told: that is
//! `ivygate-domains`' part.

mod members;
mod packet;

pub use members::{DropReason, Member, PeerGroup};
pub use packet::{Key, KeyError, MAX_PACKET_BYTES};
