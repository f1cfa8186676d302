//! Requests that must not run twice, on their way into the journal.

use ivygate_gateway::RequestId;
use ivygate_journal::{Attempt, Came, Journal, Order, Update};
use ivygate_runtime::Ledger;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

/// The journal of this process, and what is known of requests that were taken and not yet sent.
pub struct Orders {
    /// Empty once the process ends.
    journal: RefCell<Option<Rc<Journal>>>,
    taken: RefCell<HashMap<RequestId, Order>>,
}

impl Orders {
    /// Begins with a journal.
    pub fn new(journal: Journal) -> Rc<Self> {
        Rc::new(Self { journal: RefCell::new(Some(Rc::new(journal))), taken: RefCell::default() })
    }

    /// A request has been taken; it is recorded with its first attempt. Forgotten when what comes back is dropped.
    pub fn taken(self: &Rc<Self>, id: &RequestId, order: Order) -> Taken {
        self.taken.borrow_mut().insert(id.clone(), order);
        Taken { orders: self.clone(), id: id.clone() }
    }

    /// Ends the journal: waits until all that was handed over is recorded.
    pub fn close(&self) {
        let journal = self.journal.borrow_mut().take();
        drop(journal);
    }

    fn note(&self, id: &RequestId, update: Update) {
        if let Some(journal) = &*self.journal.borrow() {
            // What is not noted leaves the order unknown, which is the safe side.
            let _ = journal.note(id, update);
        }
    }
}

impl Ledger for Orders {
    fn sending<'a>(
        &'a self,
        id: &'a RequestId,
        attempt: u32,
        server: SocketAddr,
        now: f64,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async move {
            let Some(journal) = self.journal.borrow().clone() else { return false };
            let taken = self.taken.borrow_mut().remove(id);
            if let Some(order) = taken {
                if journal.note(id, Update::Taken(order)).is_err() {
                    return false;
                }
            }
            let attempt = Attempt { number: attempt, server, sent_at: now, came: Came::Unknown };
            journal.record(id, Update::Sending(attempt)).await.is_ok()
        })
    }

    fn came(&self, id: &RequestId, attempt: u32, never_ran: bool, status: Option<u16>) {
        let came = match status {
            // A server that turned it away has answered too, and the proof says more.
            _ if never_ran => Came::NotRun,
            Some(status) => Came::Answer(status),
            None => return,
        };
        self.note(id, Update::Came(attempt, came));
    }
}

/// A request that was taken.
pub struct Taken {
    orders: Rc<Orders>,
    id: RequestId,
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.orders.taken.borrow_mut().remove(&self.id);
    }
}
