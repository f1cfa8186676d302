//! The proxy of the whole system: one more front over the runtime and the decision module. It follows the news of
//! configuration, nodes and servers, and passes them on to the proxies of its zone.
//!
//! Called by the program `waymark` only. Must never decide which server, whether again or what is refused: that is the
//! gateway's.

mod answers;
mod front;
mod pools;
mod proxy;
mod sight;
mod team;

pub use proxy::run;
