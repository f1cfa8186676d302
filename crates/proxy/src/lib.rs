//! Reverse proxy that forwards client requests to servers. It is a front over the shared runtime and decision module,
//! configured by the replicated control state, which it also serves to the other proxies of its zone.
//!
//! Each processing step of a request has a module: `request` parses it, `routing_snapshot` finds its route and tenant, `quota`
//! acquires it from the tenant's quota, `upstream_pools` provides the decision module that dispatches it, and `response` maps
//! the outcome. The choice of the server, retries and rejections are decided by the decision module alone (`ivygate-gateway`).

mod body;
mod cluster_client;
mod front;
mod memory;
mod messages;
mod proxy;
mod quota;
mod request;
mod response;
mod routing_snapshot;
mod server_protocol;
mod service;
mod slow_start;
mod staleness;
mod upstream_pools;

pub use messages::{QuotaBorrowRequest, QuotaBorrowResponse, QUOTA_BORROW_PATH};
pub use service::run;
