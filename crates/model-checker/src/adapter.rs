//! All that touches the store's messages, disks and answers from the inside: the rest takes them as they come.

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

/// The address of a machine.
pub fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, machine as u8 + 1, 0, 5)
}

/// The machine of an address.
pub fn machine(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[1]) - 1
}

/// The machines that are known to all from the start: all founders, or as few as outnumber those that may be lost at once.
pub fn seeds(stores: usize, all: bool) -> Vec<Ipv4Addr> {
    let few = 3.max((stores - 1) / 2 + 1);
    (0..if all { stores } else { few.min(stores) }).map(ip).collect()
}

/// A store that starts with what its disk held.
pub fn start(machine: usize, seeds: Vec<Ipv4Addr>, first: bool, kept: DurableState, seed: u64) -> Store {
    Store::new(ip(machine), seeds, first, kept, seed)
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientCall {
    /// A route at a version.
    Put {
        /// Its name.
        name: String,
        /// Where it is.
        place: String,
        /// Its number.
        number: u64,
        /// What tells its contents apart.
        content: u64,
    },
    /// A route is dropped at a version.
    Remove {
        /// Its name.
        name: String,
        /// The number.
        number: u64,
    },
    /// A zone is emptied or taken back.
    Drain {
        /// The zone.
        zone: String,
        /// Emptied.
        on: bool,
    },
    /// A role is taken.
    Duty {
        /// The role.
        name: String,
        /// By whom: another at each call.
        holder: Ipv4Addr,
    },
    /// All is read.
    Read,
}

impl ClientCall {
    /// The call that the store takes.
    pub fn change(&self) -> Command {
        match self {
            Self::Put { name, place, number, content } => {
                let route = json!({ "vhost": "h", "pathPrefix": place, "kind": "idempotent", "backend": "b",
                    "timeoutS": *content as f64, "gen": format!("r{number}") });
                let mut routes = serde_json::Map::new();
                routes.insert(name.clone(), route);
                amended(&json!({ "upsert": { "routes": routes, "backends": { "b": { "gen": "r1" } } } }))
            }
            Self::Remove { name, number } => {
                amended(&json!({ "remove": { "routes": [{ "name": name, "gen": format!("r{number}") }] } }))
            }
            Self::Drain { zone, on } => Command::DrainZone { zone: zone.clone(), drained: *on },
            Self::Duty { name, holder } => Command::AcquireRole { role: name.clone(), holder: *holder },
            Self::Read => Command::Read,
        }
    }

    /// The item that it is about.
    pub fn key(&self) -> Option<Key> {
        let (table, name) = match self {
            Self::Put { name, .. } | Self::Remove { name, .. } => (Table::Routes, name),
            Self::Drain { zone, .. } => (Table::Drains, zone),
            Self::Duty { name, .. } => (Table::SingletonRoles, name),
            Self::Read => return None,
        };
        Some(Key { table, name: name.clone() })
    }
}

fn amended(call: &serde_json::Value) -> Command {
    Command::ApplyUpdate(ConfigUpdate::parse(call.to_string().as_bytes()).unwrap_or_default())
}

/// What tells a route's contents apart; 0 for one that was dropped.
pub fn content(item: &Item) -> u64 {
    let confirmation =
        item.body.as_ref().and_then(|body| body.get("timeoutS")).and_then(serde_json::Value::as_f64);
    confirmation.map_or(0, |confirmation| confirmation as u64)
}

/// The holder that a role's item names.
pub fn holder(item: &Item) -> Option<Ipv4Addr> {
    item.body.as_ref()?.get("holder")?.as_str()?.parse().ok()
}

/// The machines that a membership's item names, as they stand in it.
pub fn members_of(group: &Item) -> Vec<Ipv4Addr> {
    let members = group.body.as_ref().and_then(|body| body.get("members")).cloned().unwrap_or_default();
    serde_json::from_value(members).unwrap_or_default()
}

/// The membership's item.
pub fn group(items: &Items) -> Option<&Arc<Item>> {
    items.get(Table::Membership, "core")
}

/// Items that a request says to be chosen.
pub fn chosen_in_request(ask: &PeerRequest) -> &[Arc<Item>] {
    match ask {
        PeerRequest::Accept { missing, .. } => missing,
        PeerRequest::Learn { items, .. } => items,
        _ => &[],
    }
}

/// Items that an answer says to be chosen.
pub fn chosen_in_reply(reply: &PeerReply) -> &[Arc<Item>] {
    match &reply.response {
        PeerResponse::Promised { items: Some(items), .. } | PeerResponse::SnapshotChunk { items, .. } => {
            items
        }
        _ => &[],
    }
}

/// A round's items, where a request has them accepted.
pub fn proposal(ask: &PeerRequest) -> Option<(Ballot, &[Arc<Item>])> {
    match ask {
        PeerRequest::Accept { ballot, items, .. } => Some((*ballot, items)),
        _ => None,
    }
}

/// A round of a store's own that it has accepted itself: nobody else may have been asked yet.
pub fn own_proposal(n: usize, kept: &DurableState) -> Option<(Ballot, &[Arc<Item>])> {
    let own = kept.accepted.as_ref().filter(|accepted| accepted.ballot.proposer == ip(n))?;
    Some((own.ballot, &own.items))
}

/// A round that is chosen, where a request says so.
pub fn chosen_round(ask: &PeerRequest) -> Option<Ballot> {
    match ask {
        PeerRequest::Learn { ballot, .. } => Some(*ballot),
        _ => None,
    }
}

/// Whether an answer says that items are accepted.
pub fn is_accepted(reply: &PeerReply) -> bool {
    matches!(reply.response, PeerResponse::Accepted)
}

/// Which membership an answer tells of contact with: any, if who answers has a place in its own; that version, if it waits to
/// learn of its place; none, if it has no say.
pub fn contact_of(answerer: &Store, reply: &PeerReply) -> Option<u64> {
    let version = group(&answerer.state().items).map_or(0, |group| group.version);
    match (&reply.response, answerer.status()) {
        (PeerResponse::NotAMember, _) => None,
        (_, MembershipStatus::Member) => Some(0),
        _ => Some(version + 1),
    }
}

/// Whether an answer is contact to an asker: a machine that lost its place to another in a later membership is none.
pub fn is_contact(asker: &Store, least: Option<u64>) -> bool {
    let version = group(&asker.state().items).map_or(0, |group| group.version);
    least.is_some_and(|least| least <= version)
}

/// Questions that come again and again, without which nothing is wrong but late.
pub fn is_routine(ask: &PeerRequest) -> bool {
    matches!(ask, PeerRequest::CatchUp { .. } | PeerRequest::Ping { .. })
}

/// What a store has accepted and does not know to be chosen: its membership, if it is one.
pub fn pending_group(kept: &DurableState) -> Option<&Arc<Item>> {
    kept.accepted.as_ref()?.items.iter().find(|item| item.key.table == Table::Membership)
}

/// Which disk it is.
pub fn incarnation(kept: &DurableState) -> u64 {
    kept.incarnation
}

/// How long ago a store was in contact with a quorum.
pub fn contact(store: &Store, now: f64) -> Option<f64> {
    store.contact_age_ms(Timestamp::from_millis(now))
}

/// Begins a planned leave; tells whether it is worth waiting for.
pub fn leave(store: &mut Store, now: f64) -> bool {
    store.leave(Timestamp::from_millis(now))
}

/// Whether one that leaves has nothing left that is needed.
pub fn is_relieved(store: &Store) -> bool {
    store.can_stop()
}

/// What a call is answered with.
pub type Result = std::result::Result<CommandOutcome, RpcError>;

/// An answer in the spelling of the wire; of a fault only its kind, since its text is for people.
pub fn spelled(result: &Result) -> String {
    match result {
        Ok(CommandOutcome::Applied) => "applied".to_owned(),
        Ok(CommandOutcome::RoleAcquired { epoch }) => format!("epoch {epoch}"),
        Ok(CommandOutcome::Read(items)) => format!("read {:016x}", items.digest(Tables::DURABLE)),
        Err(fault) => serde_json::to_string(&fault.kind).unwrap_or_default(),
    }
}

/// The epoch that a role's call was answered with.
pub fn epoch(done: &CommandOutcome) -> Option<u64> {
    match done {
        CommandOutcome::RoleAcquired { epoch } => Some(*epoch),
        _ => None,
    }
}

/// What a read was answered with.
pub fn read(done: &CommandOutcome) -> Option<&Items> {
    match done {
        CommandOutcome::Read(items) => Some(items),
        _ => None,
    }
}

/// What a disk holds that was lost: nothing, and an incarnation of its own.
pub fn lost(before: &DurableState, incarnation: u64, defect: Option<Defect>) -> DurableState {
    match defect {
        Some(Defect::OldIncarnation) => DurableState::new(before.incarnation),
        _ => DurableState::new(incarnation),
    }
}

/// A disk of which the items were saved, and the rest was not.
pub fn torn(before: &DurableState, now: &DurableState) -> DurableState {
    DurableState { items: now.items.clone(), ..before.clone() }
}

/// What a store starts with, from a disk; with the rounds that it had marked or without.
pub fn loaded(mut kept: DurableState, marks: bool, defect: Option<Defect>) -> DurableState {
    if !marks {
        kept.watermarks.clear();
    }
    match defect {
        Some(Defect::PromiseLost) => {
            kept.promised = Ballot::NONE;
            kept.accepted = None;
        }
        Some(Defect::VersionForgotten) => {
            let past: Vec<_> = kept.items.all(Tables::VERSION_HISTORY).map(|item| item.key.clone()).collect();
            kept.items.purge(&past);
        }
        _ => {}
    }
    kept
}

fn without_past(items: &mut Vec<Arc<Item>>) {
    items.retain(|item| item.key.table != Table::VersionHistory);
}

/// A request as it arrives, with a defect.
pub fn tampered_request(mut ask: PeerRequest, defect: Option<Defect>) -> PeerRequest {
    if defect == Some(Defect::VersionForgotten) {
        match &mut ask {
            PeerRequest::Accept { missing, items, .. } => {
                without_past(missing);
                without_past(items);
            }
            PeerRequest::Learn { items, .. } => without_past(items),
            _ => {}
        }
    }
    ask
}

/// An answer as it arrives, with a defect.
pub fn tampered_reply(asker: &Store, mut reply: PeerReply, defect: Option<Defect>) -> PeerReply {
    match (defect, &mut reply.response) {
        (Some(Defect::MemberBeforeCatchUp), PeerResponse::SnapshotChunk { items, .. })
            if asker.status() == MembershipStatus::Learner =>
        {
            items.retain(|item| item.key.table == Table::Membership);
        }
        (Some(Defect::NoChosenBallot), PeerResponse::Promised { accepted: Some(accepted), .. }) => {
            // Whatever is known to be chosen, it seems to be newer.
            let chosen = asker.state().chosen;
            let above = Ballot { incarnation: chosen.incarnation.saturating_add(1), ..chosen };
            accepted.ballot = accepted.ballot.max(above);
        }
        _ => {}
    }
    reply
}

/// Whether a store that is no member waits for a place.
pub fn is_waiting_for_place(store: &Store) -> bool {
    store.status() == MembershipStatus::Learner
}

/// Whether an answer changes nothing but contact.
pub fn is_idle(reply: &PeerReply) -> bool {
    matches!(reply.response, PeerResponse::Learned | PeerResponse::Pong { .. })
}

/// How a store stands, in a line.
pub fn describe(store: &Store) -> String {
    let kept = store.state();
    let accepted = kept.accepted.as_ref().map(|accepted| accepted.ballot);
    let group = group(&kept.items).map(|group| group.body.clone().unwrap_or_default().to_string());
    format!(
        "{:?}, incarnation {}, chosen {:?}, promised {:?}, accepted {accepted:?}, group {}",
        store.status(),
        kept.incarnation,
        kept.chosen,
        kept.promised,
        group.unwrap_or_default()
    )
}
