//! What a replica wants done by whoever runs it.

use crate::messages::{CommandId, CommandOutcome, PeerRequest};
use ivygate_rpc::RpcError;
use std::net::Ipv4Addr;

/// An effect of a step. Effects must be carried out in order: what comes after a save rests on it.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Save the durable state, safe against a loss of power, before anything that follows.
    Save,
    /// Send a request to a peer; its reply, if any, is handed back with the number.
    Send {
        /// The peer.
        to: Ipv4Addr,
        /// The number of the request.
        number: u64,
        /// The request.
        request: PeerRequest,
    },
    /// Answer a command.
    Complete {
        /// The command.
        command: CommandId,
        /// What came of it.
        result: Result<CommandOutcome, RpcError>,
    },
}
