//! Lifetime of operators' orders on zones, from the registry that receives an order to the store that executes it.
//!
//! An order carries no version that would show whether it is outdated. Its operator gives it up after a second, sends it to
//! another machine, and may revert it there. Therefore no store may execute it later than that, and its age must include the
//! time on links and in processes that stand still. The registry knows a time before which the order cannot have been sent
//! ([`ORDER_LIFETIME`] runs from there) and reads the store's clock before it passes the order on, so that the deadline is a
//! point on the clock of the store that has to meet it.

use ivygate_time::{Millis, Timestamp};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Path at which a store returns the time of its clock.
pub const STORE_CLOCK_PATH: &str = "/clock";
/// Time from the sending of an order after which it is not executed. Operators give an order up after one second.
pub const ORDER_LIFETIME: Duration = Duration::from_millis(900);

/// Point in time on the clock of one run of a store. Points of different runs cannot be compared.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreTime {
    /// The run.
    pub run: u64,
    /// Milliseconds since its clock's origin.
    pub ms: Millis,
}

impl StoreTime {
    /// Creates the point of a run's clock.
    pub fn new(run: u64, time: Timestamp) -> Self {
        Self { run, ms: time.as_millis() }
    }

    /// Returns the point this much later.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        Self { ms: self.ms + ivygate_time::millis(duration), ..self }
    }

    /// Returns the time on the clock of a run; `None` if the point belongs to another one.
    pub fn in_run(self, run: u64) -> Option<Timestamp> {
        (self.run == run).then(|| Timestamp::from_millis(self.ms))
    }
}

/// Body of an order that a registry passes on to a store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Time after which the order must not be executed.
    pub deadline: StoreTime,
}
