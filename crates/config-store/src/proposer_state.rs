//! The state of the proposer: pending commands and the round in progress.

use crate::messages::{Ballot, Command, CommandId};
use crate::pending_command::PendingCommand;
use crate::round::Round;
use ivygate_time::Timestamp;
use std::collections::VecDeque;

/// Maximum number of pending commands.
const MAX_PENDING_COMMANDS: usize = 256;

/// The proposer's state.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    pub round: Round,
    pub pending: VecDeque<PendingCommand>,
    /// The highest ballot counter seen.
    pub highest_counter: u64,
    /// The time before which no new round starts.
    pub paused_until: Timestamp,
    /// Rounds abandoned since a round was last chosen.
    pub preempted_rounds: u32,
    /// The time at which an accepted proposal that is not known to be chosen is proposed again.
    pub recovery_deadline: Option<Timestamp>,
}

impl Proposer {
    /// Creates an idle proposer whose next ballot counter is above `highest_counter`.
    pub fn new(highest_counter: u64) -> Self {
        Self {
            round: Round::Idle,
            pending: VecDeque::new(),
            highest_counter,
            paused_until: Timestamp::DISTANT_PAST,
            preempted_rounds: 0,
            recovery_deadline: None,
        }
    }

    /// Enqueues a command. Returns `false` if too many commands are pending.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        id: CommandId,
        command: Command,
        expires_at: Timestamp,
    ) -> bool {
        if self.pending.len() >= MAX_PENDING_COMMANDS {
            return false;
        }
        self.pending.push_back(PendingCommand { id, command, since: now, expires_at, first_version: None });
        true
    }

    /// Removes a command that waits for a round. Returns whether it did.
    pub fn withdraw(&mut self, id: CommandId) -> bool {
        let before = self.pending.len();
        self.pending.retain(|pending| pending.id != id || pending.command.is_idempotent());
        self.pending.len() < before
    }

    /// Records a ballot that was seen, so that this proposer's next ballot is higher.
    pub fn record_ballot(&mut self, ballot: Ballot) {
        self.highest_counter = self.highest_counter.max(ballot.counter);
    }

    /// Returns whether phase 1 of a round was started at exactly this time.
    pub fn has_prepared_at(&self, now: Timestamp) -> bool {
        matches!(&self.round, Round::Preparing(preparation) if preparation.since == now)
    }

    pub fn is_idle(&self) -> bool {
        matches!(self.round, Round::Idle)
    }

    /// Puts commands back at the front of the queue, preserving their order.
    pub fn requeue(&mut self, commands: impl DoubleEndedIterator<Item = PendingCommand>) {
        for command in commands.rev() {
            self.pending.push_front(command);
        }
    }
}
