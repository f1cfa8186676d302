//! Requests that must not run twice, on their way into the journal.

use ivygate_gateway::RequestId;
use ivygate_journal::{Attempt, Came, Journal, NotRecorded, Order, State, Update};
use ivygate_runtime::Ledger;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

/// The journal of this process, and requests on their way into it.
pub struct Orders {
    /// Empty once the process ends.
    journal: RefCell<Option<Rc<Journal>>>,
    taken: RefCell<HashMap<RequestId, Entry>>,
}

struct Entry {
    /// Until it is recorded, with its first attempt.
    order: Option<Order>,
    /// What is known of another with the same client's id: then this one is never sent.
    known: Option<State>,
}

impl Orders {
    /// Begins with a journal.
    pub fn new(journal: Journal) -> Rc<Self> {
        Rc::new(Self { journal: RefCell::new(Some(Rc::new(journal))), taken: RefCell::default() })
    }

    /// A request has been taken; it is recorded with its first attempt. Forgotten when what comes back is dropped.
    pub fn taken(self: &Rc<Self>, id: &RequestId, order: Order) -> Taken {
        self.taken.borrow_mut().insert(id.clone(), Entry { order: Some(order), known: None });
        Taken { orders: self.clone(), id: id.clone() }
    }

    async fn record(&self, id: &RequestId, attempt: Attempt) -> Result<(), NotRecorded> {
        let journal = self.journal.borrow().clone().ok_or(NotRecorded::Failed)?;
        let order = match self.taken.borrow_mut().get_mut(id) {
            // Whoever asked has its answer or has left.
            None => return Err(NotRecorded::Failed),
            Some(Entry { known: Some(state), .. }) => return Err(NotRecorded::Known(*state)),
            Some(entry) => entry.order.take(),
        };
        let update = match order {
            Some(order) => Update::Taken(Order { attempts: vec![attempt], ..order }),
            None => Update::Sending(attempt),
        };
        journal.record(id, update).await
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
            let attempt = Attempt { number: attempt, server, sent_at: now, came: Came::Unknown };
            let recorded = self.record(id, attempt).await;
            if let (Err(NotRecorded::Known(state)), Some(entry)) =
                (recorded, self.taken.borrow_mut().get_mut(id))
            {
                entry.known = Some(state);
            }
            recorded.is_ok()
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

impl Taken {
    /// What is known of an earlier order with the same client's id, if that is why this one was not sent.
    pub fn known(&self) -> Option<State> {
        self.orders.taken.borrow().get(&self.id)?.known
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.orders.taken.borrow_mut().remove(&self.id);
    }
}
