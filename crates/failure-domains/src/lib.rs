//! Failure domains: detects zones of a pool that fail, moves requests away from them, and returns requests gradually.
//!
//! The sidecar's pools and the benchmarks use [`ZoneAwareGateway`], which wraps a [`Gateway`]. It only tells the gateway the
//! shares of the requests that may go to each zone: it never selects a server, retries or rejects a request, and it does no I/O
//! and reads no clock.
//!
//! [`Gateway`]: ivygate_gateway::Gateway

mod domain;
mod domains;
mod evidence;
mod latency_baseline;
mod peer_reports;
mod zone_aware_gateway;

pub use domain::{DomainState, DomainStatus};
pub use domains::{DomainEvent, EjectionPolicy, FailureDomains, ZoneName};
pub use evidence::{Assessment, Observation};
pub use peer_reports::{PeerVotes, ZoneReport};
pub use zone_aware_gateway::{ClassProfile, ZoneAwareGateway};
