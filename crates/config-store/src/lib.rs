//! The configuration store: a replicated register of items with no leader; every member accepts writes.
//!
//! [`Store`] is one replica as a state machine without I/O. [`Disk`] persists its state, and [`DiskSupervisor`] stops
//! the replica while the disk fails. The program `ivygate-config-store` ([`run`]) transports messages between the
//! network, the disk and the store, and makes no decisions of its own.
//!
//! ```
//! use ivygate_config_store::{DurableState, MembershipStatus, Store};
//! use ivygate_time::Timestamp;
//!
//! let address = "10.0.0.1".parse().unwrap();
//! let mut store = Store::new(address, vec![address], true, DurableState::new(7), 42);
//! // A single-machine store is founded after a period in which no other machine announces itself.
//! for tick in 0..40 {
//!     store.tick(Timestamp::from_millis(50.0 * f64::from(tick)));
//! }
//! assert_eq!(store.status(), MembershipStatus::Member);
//! ```

mod acceptor;
mod commands;
mod disk;
mod disk_supervisor;
mod durable_state;
mod effect;
mod freshness;
mod learner;
mod learner_state;
mod member;
mod membership;
mod membership_change;
mod membership_change_state;
mod messages;
mod peer_tracker;
mod peers;
mod pending_command;
mod proposer;
mod proposer_state;
mod round;
mod service;
mod snapshot_transfer;
mod store;

pub use disk::{Disk, Fsync, StorageError, SystemFsync};
pub use disk_supervisor::{DiskStatus, DiskSupervisor, StateStorage};
pub use durable_state::{DurableState, Watermark};
pub use effect::Effect;
pub use member::Member;
pub use membership::Membership;
pub use messages::{
    AcceptedProposal, Ballot, Command, CommandId, CommandOutcome, JoinCandidate, PeerEnvelope, PeerReply,
    PeerRequest, PeerResponse,
};
pub use service::{run, RoleRequest};
pub use store::{MembershipStatus, Store};
