//! Pending commands, and commands evaluated in a round.

use crate::messages::{Command, CommandId, CommandOutcome};
use ivygate_rpc::RpcError;
use ivygate_time::Timestamp;

/// A command that waits for a round or is being executed in one.
#[derive(Clone, Debug)]
pub(crate) struct PendingCommand {
    pub id: CommandId,
    pub command: Command,
    pub since: Timestamp,
    /// The time after which the command is not evaluated any more: its caller has given it up.
    pub expires_at: Timestamp,
    /// The version that a drain produced when it was first evaluated. It is the only way to tell whether the drain came
    /// into force in a round that was abandoned.
    pub first_version: Option<u64>,
}

/// A command and its result, which becomes valid once the round's items are chosen.
#[derive(Clone, Debug)]
pub(crate) struct EvaluatedCommand {
    pub pending: PendingCommand,
    pub result: Result<CommandOutcome, RpcError>,
}
