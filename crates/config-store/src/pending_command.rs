//! Commands that wait for a round, and what came of them in one.

use crate::messages::{Command, CommandId, CommandOutcome};
use ivygate_rpc::RpcError;
use ivygate_time::Timestamp;

/// A command that waits for a round, or is in one.
#[derive(Clone, Debug)]
pub(crate) struct PendingCommand {
    pub id: CommandId,
    pub command: Command,
    pub since: Timestamp,
    /// The version that a drain would have brought when it was first evaluated: nothing else tells whether it came into
    /// force in a round that was abandoned.
    pub first_version: Option<u64>,
}

/// A command with its outcome, which holds once the round's items are chosen.
#[derive(Clone, Debug)]
pub(crate) struct EvaluatedCommand {
    pub pending: PendingCommand,
    pub result: Result<CommandOutcome, RpcError>,
}
