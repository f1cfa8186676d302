//! Evaluation of commands against the register within a round.

use crate::member::Member;
use crate::membership::Membership;
use crate::messages::{Command, CommandOutcome};
use crate::pending_command::{EvaluatedCommand, PendingCommand};
use crate::round::Draft;
use crate::store::Store;
use ivygate_control_state::{apply_update, ConfigUpdate, Item, Items, Table};
use ivygate_rpc::RpcError;
use ivygate_time::Timestamp;
use serde_json::json;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;

impl Store {
    /// Returns the membership that the first pending command would produce, if it replaces a member.
    pub(crate) fn first_pending_change(&self, now: Timestamp, register: &Items) -> Option<Membership> {
        let pending = self.proposer.pending.front().filter(|pending| now <= pending.expires_at)?;
        let Command::ReplaceMember { leaving, joining } = pending.command else { return None };
        Membership::from_items(register)?.with_replacement(leaving, joining)
    }

    /// Evaluates the pending commands in order, each against the draft as left by the commands before it.
    ///
    /// A membership change is proposed in a round of its own, because the commands after it are accepted by the new
    /// members.
    pub(crate) fn evaluate_commands(
        &mut self,
        now: Timestamp,
        started_at: Timestamp,
        promised_by: &BTreeSet<Member>,
        draft: &mut Draft,
    ) -> Vec<EvaluatedCommand> {
        let (mut evaluated, mut later) = (Vec::new(), Vec::new());
        while let Some(mut pending) = self.proposer.pending.pop_front() {
            if now > pending.expires_at {
                // Its caller has retried at another replica, and may have reverted the command there.
                self.reject_expired(pending.id);
                continue;
            }
            let replaces_member = matches!(pending.command, Command::ReplaceMember { .. });
            let is_first = draft.items.is_empty() && evaluated.is_empty();
            if (replaces_member && !is_first) || Self::contains_membership_change(&draft.items) {
                self.proposer.pending.push_front(pending);
                break;
            }
            if matches!(pending.command, Command::DrainZone { .. }) && pending.since > started_at {
                // The promises may predate the command, so a change made in between would be mistaken for the command's
                // own effect.
                later.push(pending);
                continue;
            }
            let result = evaluate(&mut pending, promised_by, draft);
            evaluated.push(EvaluatedCommand { pending, result });
        }
        self.proposer.requeue(later.into_iter());
        evaluated
    }
}

fn evaluate(
    pending: &mut PendingCommand,
    promised_by: &BTreeSet<Member>,
    draft: &mut Draft,
) -> Result<CommandOutcome, RpcError> {
    match &pending.command {
        Command::Read => Ok(CommandOutcome::Read(Items::default())),
        Command::ApplyUpdate(update) => evaluate_update(update, draft),
        Command::DrainZone { zone, drained } => {
            pending.first_version = evaluate_drain(zone, *drained, pending.first_version, draft);
            Ok(CommandOutcome::Applied)
        }
        Command::ReplaceMember { leaving, joining } => {
            evaluate_replacement(*leaving, *joining, promised_by, draft);
            Ok(CommandOutcome::Applied)
        }
        Command::AcquireRole { role, holder } => Ok(evaluate_role(role, *holder, draft)),
    }
}

fn evaluate_update(update: &ConfigUpdate, draft: &mut Draft) -> Result<CommandOutcome, RpcError> {
    let (register, newer) = apply_update(&draft.register, update)?;
    draft.register = register;
    draft.items.extend(newer.into_iter().map(Arc::new));
    Ok(CommandOutcome::Applied)
}

/// Begins or ends draining a zone and returns the version that this produced when the command was first evaluated.
///
/// An earlier round may have had the command chosen, and another command may have reverted it since. Only a change
/// creates a version, so drains and their ends alternate: once the first version is reached, the zone was in the wanted
/// state at some time after the command arrived.
fn evaluate_drain(zone: &str, drained: bool, first_version: Option<u64>, draft: &mut Draft) -> Option<u64> {
    let current = draft.register.version(Table::Drains, zone);
    let was_in_force = first_version.is_some_and(|first| current >= first);
    let is_drained = draft.register.body(Table::Drains, zone).is_some();
    if was_in_force || is_drained == drained {
        return first_version;
    }
    let version = current + 1;
    draft.put(Item::new(Table::Drains, zone, version, drained.then(|| json!({}))));
    Some(version)
}

fn evaluate_replacement(
    leaving: Option<Member>,
    joining: Member,
    promised_by: &BTreeSet<Member>,
    draft: &mut Draft,
) {
    let membership = Membership::from_items(&draft.register);
    let next = membership.and_then(|membership| membership.with_replacement(leaving, joining));
    if let Some(next) = next.filter(|next| next.is_quorum(promised_by)) {
        draft.put(next.to_item());
    }
}

/// Assigns a role to a registry under the next epoch, which is the version of the role's item.
fn evaluate_role(role: &str, holder: Ipv4Addr, draft: &mut Draft) -> CommandOutcome {
    let epoch = draft.register.version(Table::SingletonRoles, role) + 1;
    draft.put(Item::new(Table::SingletonRoles, role, epoch, Some(json!({ "holder": holder }))));
    CommandOutcome::RoleAcquired { epoch }
}
