//! The store's API: each endpoint passes its calls to the replica.

use super::replica::Replica;
use crate::messages::{Command, CommandOutcome, PeerEnvelope};
use ivygate_cluster::{PullRequest, ZoneOrder};
use ivygate_control_state::{config_document, ConfigUpdate};
use ivygate_rpc::{json_response, ErrorKind, RouteMatcher, RpcError, RpcRequest, RpcResponse};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::Ipv4Addr;
use std::rc::Rc;

#[derive(Clone, Copy)]
enum Endpoint {
    Peer,
    Pull,
    ApplyUpdate,
    ReadConfig,
    BeginDrain,
    FinishDrain,
    AcquireRole,
    Status,
    Clock,
}

/// A registry's request for a singleton role.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RoleRequest {
    /// The role.
    #[serde(rename = "name")]
    pub role: String,
    /// The registry's machine.
    pub holder: Ipv4Addr,
}

fn routes() -> Vec<RouteMatcher<Endpoint>> {
    use RouteMatcher::{Endpoint as End, Parameter, Segment};
    vec![
        Segment("round", vec![End("POST", Endpoint::Peer)]),
        Segment("news", vec![End("POST", Endpoint::Pull)]),
        Segment("duty", vec![End("POST", Endpoint::AcquireRole)]),
        Segment(
            "config",
            vec![
                Segment("amend", vec![End("POST", Endpoint::ApplyUpdate)]),
                Segment("read", vec![End("GET", Endpoint::ReadConfig)]),
            ],
        ),
        Segment(
            "drain",
            vec![Parameter(vec![
                Segment("begin", vec![End("POST", Endpoint::BeginDrain)]),
                Segment("finish", vec![End("POST", Endpoint::FinishDrain)]),
            ])],
        ),
        Segment("status", vec![End("GET", Endpoint::Status)]),
        Segment("clock", vec![End("GET", Endpoint::Clock)]),
    ]
}

/// The API of a replica.
pub(super) struct Api {
    replica: Rc<Replica>,
    routes: Vec<RouteMatcher<Endpoint>>,
}

impl Api {
    /// Creates the API of a replica.
    pub fn new(replica: Rc<Replica>) -> Self {
        Self { replica, routes: routes() }
    }

    /// Handles a call.
    pub async fn handle(self: Rc<Self>, request: RpcRequest) -> RpcResponse {
        let found = match RouteMatcher::find(&self.routes, &request.method, &request.path) {
            Ok(found) => found,
            Err(error) => return json_response::<()>(Err(error)),
        };
        let zone = || found.parameters.first().copied().unwrap_or_default();
        match found.endpoint {
            Endpoint::Peer => json_response(self.handle_peer(&request)),
            Endpoint::Pull => json_response(self.handle_pull(&request).await),
            Endpoint::ApplyUpdate => json_response(self.apply_update(&request).await),
            Endpoint::ReadConfig => json_response(self.read_config().await),
            Endpoint::BeginDrain => json_response(self.drain_zone(&request, zone(), true).await),
            Endpoint::FinishDrain => json_response(self.drain_zone(&request, zone(), false).await),
            Endpoint::AcquireRole => json_response(self.acquire_role(&request).await),
            Endpoint::Status => json_response(Ok(self.replica.status())),
            Endpoint::Clock => json_response(Ok(self.replica.clock_time())),
        }
    }

    fn handle_peer(&self, request: &RpcRequest) -> Result<crate::messages::PeerReply, RpcError> {
        let PeerEnvelope { from, request } = request.json()?;
        self.replica.step(|store, now| store.handle_request(now, from, request))
    }

    async fn handle_pull(&self, request: &RpcRequest) -> Result<ivygate_cluster::PullResponse, RpcError> {
        let pull: PullRequest = request.json()?;
        Ok(self.replica.published().handle_pull(pull).await)
    }

    async fn apply_update(&self, request: &RpcRequest) -> Result<(), RpcError> {
        let update = ConfigUpdate::parse(&request.body)?;
        self.replica.submit(Command::ApplyUpdate(update)).await.map(drop)
    }

    async fn read_config(&self) -> Result<Value, RpcError> {
        match self.replica.submit(Command::Read).await? {
            CommandOutcome::Read(items) => Ok(config_document(&items)),
            _ => Err(RpcError::new(ErrorKind::Timeout, "the read was discarded before it completed")),
        }
    }

    async fn drain_zone(&self, request: &RpcRequest, zone: &str, drained: bool) -> Result<(), RpcError> {
        let command = Command::DrainZone { zone: zone.to_owned(), drained };
        if request.body.is_empty() {
            return self.replica.submit(command).await.map(drop);
        }
        let ZoneOrder { deadline } = request.json()?;
        let deadline = self.replica.deadline_in_this_run(deadline)?;
        self.replica.submit_until(command, deadline).await.map(drop)
    }

    /// Returns the epoch acquired by this command. The epoch in force may already belong to a later command.
    async fn acquire_role(&self, request: &RpcRequest) -> Result<u64, RpcError> {
        let RoleRequest { role, holder } = request.json()?;
        match self.replica.submit(Command::AcquireRole { role, holder }).await? {
            CommandOutcome::RoleAcquired { epoch } => Ok(epoch),
            _ => Err(RpcError::new(
                ErrorKind::Timeout,
                "the role acquisition was discarded before it completed",
            )),
        }
    }
}
