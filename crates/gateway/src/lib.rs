//! Decision logic of a gateway in front of a pool of servers: admission, quotas, load balancing, retries and outlier ejection.
//!
//! [`Gateway`] is a state machine without I/O: the runtime and the simulator's adapter pass [`Event`]s to it and carry out the
//! [`Action`]s that it returns. It never opens a connection or reads a clock.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `quota` | checks a request against its customer's quota and rate limit |
//! | `admission` | accepts or rejects a request (load shedding) |
//! | `load_balancing` | selects the server of an attempt |
//! | `retry` | retries, hedged requests, and the final answer to the client |
//! | `outlier_ejection` | ejects failing servers and readmits them |
//! | `slow_start` | limits the load on servers that are warming up |
//! | `estimators` | estimates the work of requests, the slowness of servers and the requests of other gateways |
//! | `housekeeping` | timers, removal of stale records, log lines |

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
