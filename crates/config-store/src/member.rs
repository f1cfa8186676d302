//! The identity of an acceptor.

use std::net::Ipv4Addr;

/// One incarnation of one machine.
///
/// A machine that loses its disk also loses its promises, so it must not continue as the same acceptor. It draws a new
/// incarnation and is a different acceptor to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The machine's address.
    pub address: Ipv4Addr,
    /// The incarnation drawn at random when the machine's disk was empty.
    pub incarnation: u64,
}

impl Member {
    /// Creates the identity of an incarnation of the machine at an address.
    pub fn new(address: Ipv4Addr, incarnation: u64) -> Self {
        Self { address, incarnation }
    }
}
