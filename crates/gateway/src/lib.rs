//! All decisions of a gateway before a pool of servers: which server gets a request, whether it is retried, and what is rejected.
//!
//! [`Gateway`] is a state machine without I/O: the runtime and the simulator's adapter feed [`Event`]s to it and carry out the
//! [`Action`]s that come back. It never opens a connection or reads a clock.
//!
//! | module | decides |
//! | --- | --- |
//! | `quota` | whether a request is within its customer's quota and rate limit |
//! | `admission` | whether a request is sent at all (load shedding) |
//! | `load_balancing` | which server gets an attempt |
//! | `retry` | retries, hedged requests, and what the client may be told in the end |
//! | `outlier_ejection` | which servers are left alone, and how they come back |
//! | `slow_start` | what servers that warm up may be sent |
//! | `estimators` | work of requests, slowness of servers, requests of other gateways |
//! | `housekeeping` | timers, removal of old records, log lines |

mod admission;
mod api;
mod customer_record;
mod estimators;
mod gateway;
mod housekeeping;
mod load_balancing;
mod outlier_ejection;
mod quota;
mod request_record;
mod retry;
mod server_list;
mod server_record;
mod settings;
mod sketch;
mod slow_start;
mod wire_settings;

pub use api::*;
pub use gateway::Gateway;
pub use settings::{Effect, KeyScope, Plan, RequestClass, RetryBudget, Settings, SettingsError};
pub use sketch::CountMinSketch;
pub use wire_settings::{ConnectionSettings, RequestLimits, WireSettings, WireSettingsError};
