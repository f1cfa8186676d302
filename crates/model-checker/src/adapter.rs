//! Access to the contents of the store's messages, disks and results. All other modules treat them as opaque.

use crate::defects::Defect;
use ivygate_config_store::{
    Ballot, Command, CommandOutcome, DurableState, MembershipStatus, PeerReply, PeerRequest, PeerResponse,
    Store,
};
use ivygate_control_state::{ConfigUpdate, Item, Items, Key, Table, Tables};
use ivygate_rpc::RpcError;
use ivygate_time::Timestamp;
use serde_json::json;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Returns the address of a machine.
pub fn address_of(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, machine as u8 + 1, 0, 5)
}

/// Returns the machine with this address.
pub fn machine_of(address: Ipv4Addr) -> usize {
    usize::from(address.octets()[1]) - 1
}

/// Returns the seed machines: all founders, or the smallest number of them that exceeds the tolerated number of
/// simultaneous losses.
pub fn seeds(stores: usize, all: bool) -> Vec<Ipv4Addr> {
    let few = 3.max((stores - 1) / 2 + 1);
    (0..if all { stores } else { few.min(stores) }).map(address_of).collect()
}

/// Starts a store from the state on its disk.
pub fn start_store(
    machine: usize,
    seeds: Vec<Ipv4Addr>,
    first: bool,
    state: DurableState,
    seed: u64,
) -> Store {
    Store::new(address_of(machine), seeds, first, state, seed)
}

/// A call of an operator or a registry.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCall {
    /// Writes a route at a version.
    Put {
        /// The route's name.
        name: String,
        /// The route's path prefix.
        path_prefix: String,
        /// The route's version.
        version: u64,
        /// A number that identifies the route's content.
        content: u64,
    },
    /// Removes a route at a version.
    Remove {
        /// The route's name.
        name: String,
        /// The version of the removal.
        version: u64,
    },
    /// Begins or ends draining a zone.
    Drain {
        /// The zone.
        zone: String,
        /// `true` to begin draining, `false` to end it.
        drained: bool,
    },
    /// Acquires a role.
    AcquireRole {
        /// The role.
        role: String,
        /// The registry that acquires it; a different one in each call.
        holder: Ipv4Addr,
    },
    /// Reads all items.
    Read,
}

impl ClientCall {
    /// Converts the call to a command.
    pub fn to_command(&self) -> Command {
        match self {
            Self::Put { name, path_prefix, version, content } => {
                let route = json!({ "vhost": "h", "pathPrefix": path_prefix, "kind": "idempotent", "backend": "b",
                    "timeoutS": *content as f64, "gen": format!("r{version}") });
                let mut routes = serde_json::Map::new();
                routes.insert(name.clone(), route);
                apply_update(&json!({ "upsert": { "routes": routes, "backends": { "b": { "gen": "r1" } } } }))
            }
            Self::Remove { name, version } => apply_update(
                &json!({ "remove": { "routes": [{ "name": name, "gen": format!("r{version}") }] } }),
            ),
            Self::Drain { zone, drained } => Command::DrainZone { zone: zone.clone(), drained: *drained },
            Self::AcquireRole { role, holder } => {
                Command::AcquireRole { role: role.clone(), holder: *holder }
            }
            Self::Read => Command::Read,
        }
    }

    /// Returns the key of the item that the call concerns.
    pub fn key(&self) -> Option<Key> {
        let (table, name) = match self {
            Self::Put { name, .. } | Self::Remove { name, .. } => (Table::Routes, name),
            Self::Drain { zone, .. } => (Table::Drains, zone),
            Self::AcquireRole { role, .. } => (Table::SingletonRoles, role),
            Self::Read => return None,
        };
        Some(Key { table, name: name.clone() })
    }
}

fn apply_update(call: &serde_json::Value) -> Command {
    Command::ApplyUpdate(ConfigUpdate::parse(call.to_string().as_bytes()).unwrap_or_default())
}

/// Returns the number that identifies a route's content, or 0 for a tombstone.
pub fn route_content(item: &Item) -> u64 {
    let marker = item.body.as_ref().and_then(|body| body.get("timeoutS")).and_then(serde_json::Value::as_f64);
    marker.map_or(0, |marker| marker as u64)
}

/// Returns the holder named by a role's item.
pub fn holder(item: &Item) -> Option<Ipv4Addr> {
    item.body.as_ref()?.get("holder")?.as_str()?.parse().ok()
}

/// Returns the addresses in a membership's item, in its order and including duplicates.
pub fn members_of(membership_item: &Item) -> Vec<Ipv4Addr> {
    let members =
        membership_item.body.as_ref().and_then(|body| body.get("members")).cloned().unwrap_or_default();
    serde_json::from_value(members).unwrap_or_default()
}

/// Returns the membership's item.
pub fn membership_item(items: &Items) -> Option<&Arc<Item>> {
    items.get(Table::Membership, "core")
}

/// Returns the items that a request states to be chosen.
pub fn chosen_in_request(request: &PeerRequest) -> &[Arc<Item>] {
    match request {
        PeerRequest::Accept { missing, .. } => missing,
        PeerRequest::Learn { items, .. } => items,
        _ => &[],
    }
}

/// Returns the items that a reply states to be chosen.
pub fn chosen_in_reply(reply: &PeerReply) -> &[Arc<Item>] {
    match &reply.response {
        PeerResponse::Promised { items: Some(items), .. } | PeerResponse::SnapshotChunk { items, .. } => {
            items
        }
        _ => &[],
    }
}

/// Returns the ballot and items of a request to accept a proposal.
pub fn proposal(request: &PeerRequest) -> Option<(Ballot, &[Arc<Item>])> {
    match request {
        PeerRequest::Accept { ballot, items, .. } => Some((*ballot, items)),
        _ => None,
    }
}

/// Returns a store's own proposal that it has accepted itself. It may not have been sent to any other store yet.
pub fn own_proposal(n: usize, state: &DurableState) -> Option<(Ballot, &[Arc<Item>])> {
    let own = state.accepted.as_ref().filter(|accepted| accepted.ballot.proposer == address_of(n))?;
    Some((own.ballot, &own.items))
}

/// Returns the round that a request announces as chosen.
pub fn announced_round(request: &PeerRequest) -> Option<Ballot> {
    match request {
        PeerRequest::Learn { ballot, .. } => Some(*ballot),
        _ => None,
    }
}

/// Returns whether a reply states that the items are accepted.
pub fn is_accepted(reply: &PeerReply) -> bool {
    matches!(reply.response, PeerResponse::Accepted)
}

/// Returns the lowest membership version with which a reply proves contact: 0, that is any membership, if the replying
/// store is a member; the version after its own if it is waiting to learn of its membership; `None` if it does not
/// vote.
pub fn contact_version(replier: &Store, reply: &PeerReply) -> Option<u64> {
    let version = membership_item(&replier.state().items).map_or(0, |item| item.version);
    match (&reply.response, replier.status()) {
        (PeerResponse::NotAMember, _) => None,
        (_, MembershipStatus::Member) => Some(0),
        _ => Some(version + 1),
    }
}

/// Returns whether a reply proves contact to the requesting store. A machine that lost its slot to another in a later
/// membership does not.
pub fn is_contact(requester: &Store, lowest_version: Option<u64>) -> bool {
    let version = membership_item(&requester.state().items).map_or(0, |item| item.version);
    lowest_version.is_some_and(|lowest_version| lowest_version <= version)
}

/// Returns whether a request is repeated periodically, so that losing it only causes a delay.
pub fn is_routine(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::CatchUp { .. } | PeerRequest::Ping { .. })
}

/// Returns the membership's item in the proposal that a store has accepted and does not know to be chosen, if there is
/// one.
pub fn accepted_membership(state: &DurableState) -> Option<&Arc<Item>> {
    state.accepted.as_ref()?.items.iter().find(|item| item.key.table == Table::Membership)
}

/// Returns the incarnation of a disk.
pub fn incarnation(state: &DurableState) -> u64 {
    state.incarnation
}

/// Returns how long ago a store was in contact with a quorum, in milliseconds.
pub fn contact_age_ms(store: &Store, now: f64) -> Option<f64> {
    store.contact_age_ms(Timestamp::from_millis(now))
}

/// Begins a planned leave. Returns whether to wait for its completion.
pub fn leave(store: &mut Store, now: f64) -> bool {
    store.leave(Timestamp::from_millis(now))
}

/// Returns whether the cluster no longer depends on a leaving store.
pub fn can_stop(store: &Store) -> bool {
    store.can_stop()
}

/// The result of a call.
pub type CommandResult = std::result::Result<CommandOutcome, RpcError>;

/// Encodes a result in the wire format. Of an error, only the kind is included, since its message may change.
pub fn encode_result(result: &CommandResult) -> String {
    match result {
        Ok(CommandOutcome::Applied) => "applied".to_owned(),
        Ok(CommandOutcome::RoleAcquired { epoch }) => format!("epoch {epoch}"),
        Ok(CommandOutcome::Read(items)) => format!("read {:016x}", items.digest(Tables::DURABLE)),
        Err(error) => serde_json::to_string(&error.kind).unwrap_or_default(),
    }
}

/// Returns the epoch acquired by a call for a role.
pub fn acquired_epoch(outcome: &CommandOutcome) -> Option<u64> {
    match outcome {
        CommandOutcome::RoleAcquired { epoch } => Some(*epoch),
        _ => None,
    }
}

/// Returns the items returned by a read.
pub fn read_items(outcome: &CommandOutcome) -> Option<&Items> {
    match outcome {
        CommandOutcome::Read(items) => Some(items),
        _ => None,
    }
}

/// Returns the state of a new disk that replaces a lost one: empty, with a new incarnation.
pub fn replacement_disk(before: &DurableState, incarnation: u64, defect: Option<Defect>) -> DurableState {
    match defect {
        Some(Defect::OldIncarnation) => DurableState::new(before.incarnation),
        _ => DurableState::new(incarnation),
    }
}

/// Returns the state of a disk after an interrupted save that included the items and nothing else.
pub fn partially_saved(before: &DurableState, now: &DurableState) -> DurableState {
    DurableState { items: now.items.clone(), ..before.clone() }
}

/// Returns the state that a store loads from its disk, with or without its watermarks.
pub fn restored_state(
    mut state: DurableState,
    with_watermarks: bool,
    defect: Option<Defect>,
) -> DurableState {
    if !with_watermarks {
        state.watermarks.clear();
    }
    match defect {
        Some(Defect::PromiseLost) => {
            state.promised = Ballot::NONE;
            state.accepted = None;
        }
        Some(Defect::VersionForgotten) => {
            let history: Vec<_> =
                state.items.all(Tables::VERSION_HISTORY).map(|item| item.key.clone()).collect();
            state.items.purge(&history);
        }
        _ => {}
    }
    state
}

fn remove_version_history(items: &mut Vec<Arc<Item>>) {
    items.retain(|item| item.key.table != Table::VersionHistory);
}

/// Applies a defect to a request on its arrival.
pub fn tampered_request(mut request: PeerRequest, defect: Option<Defect>) -> PeerRequest {
    if defect == Some(Defect::VersionForgotten) {
        match &mut request {
            PeerRequest::Accept { missing, items, .. } => {
                remove_version_history(missing);
                remove_version_history(items);
            }
            PeerRequest::Learn { items, .. } => remove_version_history(items),
            _ => {}
        }
    }
    request
}

/// Applies a defect to a reply on its arrival.
pub fn tampered_reply(requester: &Store, mut reply: PeerReply, defect: Option<Defect>) -> PeerReply {
    match (defect, &mut reply.response) {
        (Some(Defect::MemberBeforeCatchUp), PeerResponse::SnapshotChunk { items, .. })
            if requester.status() == MembershipStatus::Learner =>
        {
            items.retain(|item| item.key.table == Table::Membership);
        }
        (Some(Defect::NoChosenBallot), PeerResponse::Promised { accepted: Some(accepted), .. }) => {
            // Raises the ballot so that the proposal always appears newer than the chosen rounds known to the proposer.
            let chosen = requester.state().chosen;
            let above = Ballot { incarnation: chosen.incarnation.saturating_add(1), ..chosen };
            accepted.ballot = accepted.ballot.max(above);
        }
        _ => {}
    }
    reply
}

/// Returns whether a store is waiting to become a member.
pub fn is_waiting_for_membership(store: &Store) -> bool {
    store.status() == MembershipStatus::Learner
}

/// Returns whether a reply has no effect except proving contact.
pub fn only_proves_contact(reply: &PeerReply) -> bool {
    matches!(reply.response, PeerResponse::Learned | PeerResponse::Pong { .. })
}

/// Describes the state of a store in one line.
pub fn describe(store: &Store) -> String {
    let state = store.state();
    let accepted = state.accepted.as_ref().map(|accepted| accepted.ballot);
    let membership_item = membership_item(&state.items)
        .map(|membership_item| membership_item.body.clone().unwrap_or_default().to_string());
    format!(
        "{:?}, incarnation {}, chosen {:?}, promised {:?}, accepted {accepted:?}, membership {}",
        store.status(),
        state.incarnation,
        state.chosen,
        state.promised,
        membership_item.unwrap_or_default()
    )
}
