//! Failure domains: which zones of a pool's servers to leave, how much may go there, and at what pace to come back.
//!
//! Called by the sidecar's pools and by measurements, through [`Guarded`], which stands round a [`Gateway`]. It gives the
//! gateway advice on zones and nothing else: it must never choose a server, send anything again or refuse, and it must
//! not do I/O or read a clock.
//!
//! [`Gateway`]: ivygate_gateway::Gateway

mod domain;
mod evidence;
mod guarded;
mod hearsay;
mod judgement;
mod usual;

pub use domain::{Belief, Degree};
pub use evidence::{Finding, Sign};
pub use guarded::{Guarded, Kind};
pub use hearsay::{Tally, Voices};
pub use judgement::{Domains, Happening, Policy, Zone};
