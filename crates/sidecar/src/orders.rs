//! Requests that must not run twice, on their way into the journal.

use crate::forward::REQUEST_ID;
use hyper::header::HeaderName;
use ivygate_gateway::RequestId;
use ivygate_journal::{
    Attempt, AttemptOutcome, DurabilityLevel, EndReason, Journal, JournalError, Order, Pseudonymizer,
    QuerySocket, RecordError, Retention, State, Store, Update,
};
use ivygate_runtime::{Answer, Ledger};
use ivygate_time::Timestamp;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

/// The journal of this process, and requests on their way into it.
pub struct Orders {
    /// Empty once the process ends.
    open: RefCell<Option<Open>>,
    /// Whether keyed requests are recorded too.
    pub keyed: bool,
    /// The header with a client's id.
    pub id_header: HeaderName,
    /// Where customers are not recorded by name.
    pseudonymizer: Option<Pseudonymizer>,
    taken: RefCell<HashMap<RequestId, Entry>>,
}

struct Open {
    journal: Rc<Journal>,
    store: Arc<Store>,
    _query_socket: Option<QuerySocket>,
}

struct Entry {
    /// Until it is recorded, with its first attempt.
    order: Option<Order>,
    /// What is known of another with the same client's id: then this one is never sent.
    known: Option<State>,
}

impl Orders {
    /// Begins to record in a journal of this configuration.
    ///
    /// # Errors
    /// If it can't be opened.
    pub fn open(settings: &ivygate_config::Journal) -> Result<Rc<Self>, JournalError> {
        let folder = Path::new(&settings.folder);
        let io = |error| JournalError::Io(folder.to_owned(), error);
        let level = if settings.synced { DurabilityLevel::Synced } else { DurabilityLevel::Written };
        let retention = Retention { max_age_ms: settings.keep, max_file_bytes: settings.disk };
        let store = Store::create(folder, level, retention)?;
        if store.was_repaired() {
            let orders = store.len()?;
            eprintln!(
                "ivygate: the journal {} was not closed in order; what was not whole is cut off, and {orders} orders are \
                 there",
                folder.display()
            );
        }
        let pseudonymizer = if settings.hashed {
            let mut fresh = [0; 32];
            getrandom::fill(&mut fresh).map_err(|error| io(std::io::Error::other(error.to_string())))?;
            let made = Pseudonymizer::new(&store.get_or_insert_salt(fresh)?);
            Some(made.ok_or_else(|| io(std::io::ErrorKind::InvalidData.into()))?)
        } else {
            None
        };
        let store = Arc::new(store);
        let query_socket = QuerySocket::open(folder, store.clone()).map_err(|error| {
            // Nothing that clients get rests on it.
            eprintln!("ivygate: the journal {} can be asked when this ends only: {error}", folder.display());
        });
        let journal = Rc::new(Journal::start(store.clone()).map_err(io)?);
        Ok(Rc::new(Self {
            open: RefCell::new(Some(Open { journal, store, _query_socket: query_socket.ok() })),
            keyed: settings.keyed,
            id_header: HeaderName::try_from(&settings.id_header).unwrap_or(REQUEST_ID),
            pseudonymizer,
            taken: RefCell::default(),
        }))
    }

    /// The store, to be read.
    pub fn store(&self) -> Option<Arc<Store>> {
        Some(self.open.borrow().as_ref()?.store.clone())
    }

    /// A customer as it is recorded.
    pub fn customer(&self, customer: &str) -> String {
        self.pseudonymizer
            .as_ref()
            .map_or_else(|| customer.to_owned(), |pseudonymizer| pseudonymizer.pseudonym(customer))
    }

    /// A request has been taken; it is recorded with its first attempt. Forgotten when what comes back is dropped.
    pub fn taken(self: &Rc<Self>, id: &RequestId, order: Order) -> Taken {
        self.taken.borrow_mut().insert(id.clone(), Entry { order: Some(order), known: None });
        Taken { orders: self.clone(), id: id.clone(), answered: Cell::new(false) }
    }

    async fn record(&self, id: &RequestId, attempt: Attempt) -> Result<(), RecordError> {
        let journal = self.journal().ok_or(RecordError::Failed)?;
        let order = match self.taken.borrow_mut().get_mut(id) {
            // Whoever asked has its answer or has left.
            None => return Err(RecordError::Failed),
            Some(Entry { known: Some(state), .. }) => return Err(RecordError::Duplicate(*state)),
            Some(entry) => entry.order.take(),
        };
        let update = match order {
            Some(order) => Update::Accepted(Order { attempts: vec![attempt], ..order }),
            None => Update::AttemptStarted(attempt),
        };
        journal.record(id, update).await
    }

    /// Ends the journal: waits until all that was handed over is recorded.
    pub fn close(&self) {
        let open = self.open.borrow_mut().take();
        drop(open);
    }

    fn journal(&self) -> Option<Rc<Journal>> {
        Some(self.open.borrow().as_ref()?.journal.clone())
    }

    fn note(&self, id: &RequestId, update: Update) {
        if let Some(journal) = self.journal() {
            // What is not noted leaves the order unknown, which is the safe side.
            let _ = journal.enqueue(id, update);
        }
    }
}

impl Ledger for Orders {
    fn wants(&self, id: &RequestId) -> bool {
        self.keyed && self.taken.borrow().contains_key(id)
    }

    fn sending<'a>(
        &'a self,
        id: &'a RequestId,
        attempt: u32,
        server: SocketAddr,
        now: Timestamp,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async move {
            let attempt = Attempt {
                number: attempt,
                server,
                sent_at: now.as_millis(),
                outcome: AttemptOutcome::Unknown,
            };
            // Given up while its record waits, by now or later, it is never sent.
            let mut unsent = Unsent { orders: self, id, attempt: Some(attempt.number) };
            let recorded = self.record(id, attempt).await;
            unsent.attempt = None;
            if let (Err(RecordError::Duplicate(state)), Some(entry)) =
                (recorded, self.taken.borrow_mut().get_mut(id))
            {
                entry.known = Some(state);
            }
            recorded.is_ok()
        })
    }

    fn came(&self, id: &RequestId, attempt: u32, never_ran: bool, status: Option<u16>) {
        let outcome = match status {
            // A server that turned it away has answered too, and the proof says more.
            _ if never_ran => AttemptOutcome::NotRun,
            Some(status) => AttemptOutcome::Answer(status),
            None => return,
        };
        self.note(id, Update::AttemptEnded(attempt, outcome));
    }
}

/// An attempt whose record waits.
struct Unsent<'a> {
    orders: &'a Orders,
    id: &'a RequestId,
    attempt: Option<u32>,
}

impl Drop for Unsent<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt {
            self.orders.note(self.id, Update::AttemptEnded(attempt, AttemptOutcome::NotRun));
        }
    }
}

/// A request that was taken.
pub struct Taken {
    orders: Rc<Orders>,
    id: RequestId,
    answered: Cell<bool>,
}

impl Taken {
    /// It has its answer.
    pub fn answered(&self, answer: &Answer) {
        self.answered.set(true);
        if matches!(answer, Answer::TimeUp) {
            self.ended(EndReason::TimedOut);
        }
    }

    fn ended(&self, reason: EndReason) {
        let recorded = self.orders.taken.borrow().get(&self.id).is_some_and(|entry| entry.order.is_none());
        if recorded {
            self.orders.note(&self.id, Update::Closed(reason));
        }
    }

    /// What is known of an earlier order with the same client's id, if that is why this one was not sent.
    pub fn known(&self) -> Option<State> {
        self.orders.taken.borrow().get(&self.id)?.known
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        // Nobody waits for an answer any more.
        if !self.answered.get() {
            self.ended(EndReason::ClientGone);
        }
        self.orders.taken.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
