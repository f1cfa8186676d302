//! An operator's call on its way to a store, as a state machine: the own machine's first, and where that can't act, up to
//! two others. Time and answers are passed in; whom to ask comes out.
//!
//! A call goes on only where it is known that nothing was begun, or where doing it twice is doing it once:
//!
//! | answer | read | amend | drain |
//! | --- | --- | --- | --- |
//! | `unready`: the store takes no part and began nothing | goes on | goes on | goes on |
//! | `no_majority`, `disk`, `unreachable`: it may have begun | goes on | goes on | stands |
//! | `late`: the operator's second is over | stands | stands | stands |
//! | any other | stands | stands | stands |
//!
//! A read changes nothing. An item carries its own version: the same content under it is taken once however often it
//! comes, and an older one changes nothing. A drain has no version: one that lands late would undo what came after it.

use ivygate_rpc::Kind;
use std::net::SocketAddr;

/// A point on the caller's steady clock, or a length of time, in milliseconds.
type Millis = f64;

/// The operator leaves after a second of silence: no other store is waited for beyond this since the call came.
const END: Millis = 900.0;
/// With less time than this left none is asked.
const LEAST: Millis = 150.0;
/// Most others that are asked.
const OTHERS: usize = 2;
/// A machine that has answered within this time can be reached.
const LATELY: Millis = 2_000.0;

/// What an operator asks of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// What stands.
    Read,
    /// Items with versions.
    Amend,
    /// A zone emptied or taken back.
    Drain,
}

/// A store on another machine of the group.
#[derive(Clone, Debug)]
pub struct Other {
    /// Its address.
    pub at: SocketAddr,
    /// Whether it is in the same region.
    pub near: bool,
    /// When its machine last answered this one.
    pub answered: Option<Millis>,
}

/// One call on its way.
#[derive(Clone, Debug)]
pub struct Errand {
    order: Order,
    begun: Millis,
    /// Who may still be asked, the best last.
    others: Vec<Other>,
    asked: usize,
}

impl Errand {
    /// A call has come, and goes to the own machine's store now.
    pub fn new(now: Millis, order: Order, mut others: Vec<Other>) -> Self {
        let lately = |other: &Other| other.answered.is_some_and(|at| now <= at + LATELY);
        let rank = |other: &Other| (lately(other), other.near, other.answered.unwrap_or(f64::NEG_INFINITY));
        others.sort_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
        });
        Self { order, begun: now, others, asked: 0 }
    }

    /// The store that was asked last has answered with an error of this kind, or gave none for this reason: whom to ask
    /// next, and how long to wait for it. With nothing that error is the answer.
    pub fn failed(&mut self, now: Millis, kind: Kind) -> Option<(SocketAddr, Millis)> {
        let begun_nothing = kind == Kind::Unready;
        let may_have_begun = matches!(kind, Kind::NoMajority | Kind::Disk | Kind::Unreachable);
        let again = begun_nothing || (may_have_begun && self.order != Order::Drain);
        let left = self.begun + END - now;
        if !again || left < LEAST || self.asked >= OTHERS {
            return None;
        }
        let other = self.others.pop()?;
        // A store without a majority sits on a machine that is cut off, as a rule: its no must not wait for others that
        // can't be reached either.
        let reached = other.answered.is_some_and(|at| now <= at + LATELY);
        if kind == Kind::NoMajority && !reached {
            return None;
        }
        self.asked += 1;
        Some((other.at, left))
    }
}
