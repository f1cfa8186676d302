//! Records requests that must not run twice in the journal.

use crate::forward::REQUEST_ID;
use hyper::header::HeaderName;
use ivygate_gateway::RequestId;
use ivygate_journal::{
    Attempt, AttemptOutcome, DurabilityLevel, EndReason, Journal, JournalError, Order, Pseudonymizer,
    QuerySocket, RecordError, Retention, State, Store, Update,
};
use ivygate_runtime::{AttemptRecorder, FinalResponse};
use ivygate_time::Timestamp;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;

/// Recorder of orders, with the journal of this process.
pub struct OrderRecorder {
    /// `None` after the journal has been closed.
    open: RefCell<Option<OpenJournal>>,
    /// Set if keyed requests are recorded too.
    pub keyed: bool,
    /// Header with the client id.
    pub id_header: HeaderName,
    /// Present if customers are recorded by pseudonym.
    pseudonymizer: Option<Pseudonymizer>,
    accepted: RefCell<HashMap<RequestId, Entry>>,
}

struct OpenJournal {
    journal: Rc<Journal>,
    store: Arc<Store>,
    _query_socket: Option<QuerySocket>,
}

/// Accepted request whose response is pending.
struct Entry {
    /// Order that is yet to be recorded with its first attempt.
    order: Option<Order>,
    /// State of another order with the same client id, because of which this one is not sent.
    duplicate_of: Option<State>,
}

impl OrderRecorder {
    /// Opens the configured journal.
    ///
    /// # Errors
    /// Returns an error if it cannot be opened.
    pub fn open(settings: &ivygate_config::Journal) -> Result<Rc<Self>, JournalError> {
        let folder = Path::new(&settings.folder);
        let io = |error| JournalError::Io(folder.to_owned(), error);
        let level = if settings.synced { DurabilityLevel::Synced } else { DurabilityLevel::Written };
        let retention = Retention { max_age_ms: settings.keep, max_file_bytes: settings.disk };
        let store = Store::create(folder, level, retention)?;
        if store.was_repaired() {
            let orders = store.len()?;
            eprintln!(
                "ivygate: the journal {} was not closed cleanly; incomplete commits were discarded, and it holds {orders} \
                 orders",
                folder.display()
            );
        }
        let pseudonymizer = if settings.hashed {
            let mut new_salt = [0; 32];
            getrandom::fill(&mut new_salt).map_err(|error| io(std::io::Error::other(error.to_string())))?;
            let pseudonymizer = Pseudonymizer::new(&store.get_or_insert_salt(new_salt)?);
            Some(pseudonymizer.ok_or_else(|| io(std::io::ErrorKind::InvalidData.into()))?)
        } else {
            None
        };
        let store = Arc::new(store);
        let query_socket = QuerySocket::open(folder, store.clone()).map_err(|error| {
            // Clients do not depend on the socket, so the journal is used without it.
            eprintln!(
                "ivygate: the journal {} can be queried only after this process has ended: {error}",
                folder.display()
            );
        });
        let journal = Rc::new(Journal::start(store.clone()).map_err(io)?);
        Ok(Rc::new(Self {
            open: RefCell::new(Some(OpenJournal { journal, store, _query_socket: query_socket.ok() })),
            keyed: settings.keyed,
            id_header: HeaderName::try_from(&settings.id_header).unwrap_or(REQUEST_ID),
            pseudonymizer,
            accepted: RefCell::default(),
        }))
    }

    /// Returns the store for reading, unless the journal has been closed.
    pub fn store(&self) -> Option<Arc<Store>> {
        Some(self.open.borrow().as_ref()?.store.clone())
    }

    /// Returns the customer's name as recorded, possibly a pseudonym.
    pub fn customer(&self, customer: &str) -> String {
        self.pseudonymizer
            .as_ref()
            .map_or_else(|| customer.to_owned(), |pseudonymizer| pseudonymizer.pseudonym(customer))
    }

    /// Registers an accepted request, to be recorded with its first attempt. It is unregistered when the returned value
    /// is dropped.
    pub fn accept(self: &Rc<Self>, id: &RequestId, order: Order) -> AcceptedOrder {
        self.accepted.borrow_mut().insert(id.clone(), Entry { order: Some(order), duplicate_of: None });
        AcceptedOrder { orders: self.clone(), id: id.clone(), answered: Cell::new(false) }
    }

    async fn record(&self, id: &RequestId, attempt: Attempt) -> Result<(), RecordError> {
        let journal = self.journal().ok_or(RecordError::Failed)?;
        let order = match self.accepted.borrow_mut().get_mut(id) {
            // The client has its response, or has disconnected.
            None => return Err(RecordError::Failed),
            Some(Entry { duplicate_of: Some(state), .. }) => return Err(RecordError::Duplicate(*state)),
            Some(entry) => entry.order.take(),
        };
        let update = match order {
            Some(order) => Update::Accepted(Order { attempts: vec![attempt], ..order }),
            None => Update::AttemptStarted(attempt),
        };
        journal.record(id, update).await
    }

    /// Closes the journal after all queued updates have been recorded.
    pub fn close(&self) {
        let open = self.open.borrow_mut().take();
        drop(open);
    }

    fn journal(&self) -> Option<Rc<Journal>> {
        Some(self.open.borrow().as_ref()?.journal.clone())
    }

    fn enqueue(&self, id: &RequestId, update: Update) {
        if let Some(journal) = self.journal() {
            // A lost update leaves the order in the unknown state, which is safe.
            let _ = journal.enqueue(id, update);
        }
    }
}

impl AttemptRecorder for OrderRecorder {
    fn records_repeatable(&self, id: &RequestId) -> bool {
        self.keyed && self.accepted.borrow().contains_key(id)
    }

    fn record_send<'a>(
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
            // If this future is dropped while the record is pending, the attempt is never sent, even if it is recorded
            // later.
            let mut unsent = UnsentAttempt { orders: self, id, attempt: Some(attempt.number) };
            let recorded = self.record(id, attempt).await;
            unsent.attempt = None;
            if let (Err(RecordError::Duplicate(state)), Some(entry)) =
                (recorded, self.accepted.borrow_mut().get_mut(id))
            {
                entry.duplicate_of = Some(state);
            }
            recorded.is_ok()
        })
    }

    fn record_result(&self, id: &RequestId, attempt: u32, never_ran: bool, status: Option<u16>) {
        let outcome = match status {
            // A server that rejected the attempt has answered too, but the proof that it never ran is stronger.
            _ if never_ran => AttemptOutcome::NotRun,
            Some(status) => AttemptOutcome::Answer(status),
            None => return,
        };
        self.enqueue(id, Update::AttemptEnded(attempt, outcome));
    }
}

/// Attempt whose record is pending; recorded as not run on drop, unless `attempt` has been cleared.
struct UnsentAttempt<'a> {
    orders: &'a OrderRecorder,
    id: &'a RequestId,
    attempt: Option<u32>,
}

impl Drop for UnsentAttempt<'_> {
    fn drop(&mut self) {
        if let Some(attempt) = self.attempt {
            self.orders.enqueue(self.id, Update::AttemptEnded(attempt, AttemptOutcome::NotRun));
        }
    }
}

/// Accepted request, registered until dropped.
pub struct AcceptedOrder {
    orders: Rc<OrderRecorder>,
    id: RequestId,
    answered: Cell<bool>,
}

impl AcceptedOrder {
    /// Notes that the client has its response; a timeout is recorded.
    pub fn answered(&self, answer: &FinalResponse) {
        self.answered.set(true);
        if matches!(answer, FinalResponse::TimedOut) {
            self.close(EndReason::TimedOut);
        }
    }

    fn close(&self, reason: EndReason) {
        let recorded = self.orders.accepted.borrow().get(&self.id).is_some_and(|entry| entry.order.is_none());
        if recorded {
            self.orders.enqueue(&self.id, Update::Closed(reason));
        }
    }

    /// Returns the state of an earlier order with the same client id, if this one was not sent because of it.
    pub fn duplicate_of(&self) -> Option<State> {
        self.orders.accepted.borrow().get(&self.id)?.duplicate_of
    }
}

impl Drop for AcceptedOrder {
    fn drop(&mut self) {
        // The client has disconnected without a response.
        if !self.answered.get() {
            self.close(EndReason::ClientGone);
        }
        self.orders.accepted.borrow_mut().remove(&self.id);
    }
}

#[cfg(test)]
mod tests;
