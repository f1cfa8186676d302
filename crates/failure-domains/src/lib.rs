//! Failure domains: which zones of a pool's servers to leave, how much may go there, and at what pace to come back.
//!
//! Called by the sidecar's pools and by measurements, through [`ZoneAwareGateway`], which stands round a [`Gateway`]. It gives the
//! gateway advice on zones and nothing else: it must never choose a server, send anything again or refuse, and it must
//! not do I/O or read a clock.
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
