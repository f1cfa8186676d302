//! Effects that a replica requests from its runtime.

use crate::messages::{CommandId, CommandOutcome, PeerRequest};
use ivygate_rpc::RpcError;
use std::net::Ipv4Addr;

/// An effect of a step. Effects must be executed in order, since those after a save depend on it.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Save the durable state to stable storage before any following effect.
    Save,
    /// Send a request to a peer. Its reply, if any, is passed back together with the number.
    Send {
        /// The peer.
        to: Ipv4Addr,
        /// The number of the request.
        number: u64,
        /// The request.
        request: PeerRequest,
    },
    /// Report the result of a command to its submitter.
    Complete {
        /// The id of the command.
        command: CommandId,
        /// The result.
        result: Result<CommandOutcome, RpcError>,
    },
}
