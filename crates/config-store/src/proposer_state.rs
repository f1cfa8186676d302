//! The state of the proposer: pending commands, and the round under way.

use crate::messages::{Ballot, Command, CommandId};
use crate::pending_command::PendingCommand;
use crate::round::Round;
use ivygate_time::Timestamp;
use std::collections::VecDeque;

/// Most pending commands.
const MAX_PENDING_COMMANDS: usize = 256;

/// The proposer's state.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    pub round: Round,
    pub pending: VecDeque<PendingCommand>,
    /// The highest counter of a ballot seen.
    pub highest_counter: u64,
    /// No round starts before.
    pub paused_until: Timestamp,
    /// Rounds abandoned since the last that was chosen.
    pub preempted_rounds: u32,
    /// When an accepted proposal that is not known to be chosen is proposed again.
    pub recovery_deadline: Option<Timestamp>,
}

impl Proposer {
    /// No round is under way; ballots go on above `highest_counter`.
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

    /// Adds a command to the pending ones; `false` if there are too many.
    pub fn enqueue(&mut self, now: Timestamp, id: CommandId, command: Command) -> bool {
        if self.pending.len() >= MAX_PENDING_COMMANDS {
            return false;
        }
        self.pending.push_back(PendingCommand { id, command, since: now, first_version: None });
        true
    }

    /// A ballot was seen: own ones must be higher.
    pub fn note_counter(&mut self, ballot: Ballot) {
        self.highest_counter = self.highest_counter.max(ballot.counter);
    }

    /// Whether a round has started at this very time.
    pub fn has_prepared_at(&self, now: Timestamp) -> bool {
        matches!(&self.round, Round::Preparing(preparation) if preparation.since == now)
    }

    pub fn is_idle(&self) -> bool {
        matches!(self.round, Round::Idle)
    }

    /// Puts commands back to the front of the pending ones, in their order.
    pub fn requeue(&mut self, commands: impl DoubleEndedIterator<Item = PendingCommand>) {
        for command in commands.rev() {
            self.pending.push_front(command);
        }
    }
}
