//! The proxy: carries clients' requests to servers. One more front over the runtime and the decision module, which follows the
//! control state and passes it on to the other proxies of its zone.
//!
//! A request passes these steps, each a module: `request` parses it, `routing_snapshot` finds its route and tenant, `quota`
//! takes it off the tenant's quota, `upstream_pools` names the decision module that dispatches it, and `response` maps the
//! outcome. Which server, whether to retry and what to reject is the decision module's alone (`ivygate-gateway`).

mod body;
mod cluster_client;
mod front;
mod messages;
mod proxy;
mod quota;
mod request;
mod response;
mod routing_snapshot;
mod server_protocol;
mod service;
mod slow_start;
mod upstream_pools;

pub use messages::{QuotaBorrowRequest, QuotaBorrowResponse, QUOTA_BORROW_PATH};
pub use service::run;
