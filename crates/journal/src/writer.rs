//! The thread that records. Whoever must not wait hands updates over and is told when they are recorded; one commit
//! serves all that have been handed over meanwhile.

use crate::order::{State, Update};
use crate::store::{JournalError, RecordOutcome, Store, Usage, NEAR};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Most updates that wait for a commit; beyond that nothing that must be recorded is taken.
const WAITING_MOST: usize = 8192;
/// Most updates in one commit.
const COMMIT_MOST: usize = 1024;
/// What came of orders is kept back for so long where nobody waits for a commit: the next order's may serve it too.
const LINGER: Duration = Duration::from_millis(10);

/// It is not recorded, so it must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The journal can't, or nobody knows whether it did.
    Failed,
    /// It takes as much of the disk as it may.
    Full,
    /// An order with the same client's id may have run: this is known of it.
    Duplicate(State),
}

struct Job {
    id: String,
    update: Update,
    told: Option<Told>,
}

/// Hears what became of an update.
type Told = oneshot::Sender<RecordOutcome>;

/// A journal that is being written.
pub struct Journal {
    jobs: Option<SyncSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Journal {
    /// Begins to write to a store.
    ///
    /// # Errors
    /// If no thread can be started.
    pub fn start(store: Arc<Store>) -> std::io::Result<Self> {
        let (jobs, incoming) = sync_channel(WAITING_MOST);
        let thread =
            std::thread::Builder::new().name("journal".into()).spawn(move || write(&store, &incoming))?;
        Ok(Self { jobs: Some(jobs), thread: Some(thread) })
    }

    /// Records an update, and waits until it is durable. Updates of one order are recorded in their order.
    ///
    /// # Errors
    /// If it is not recorded, or it is not known whether it is.
    pub async fn record(&self, id: &str, update: Update) -> Result<(), RecordError> {
        let (told, recorded) = oneshot::channel();
        self.hand_over(id, update, Some(told))?;
        match recorded.await {
            Ok(RecordOutcome::Recorded) => Ok(()),
            Ok(RecordOutcome::Duplicate(state)) => Err(RecordError::Duplicate(state)),
            Ok(RecordOutcome::Full) => Err(RecordError::Full),
            Err(_) => Err(RecordError::Failed),
        }
    }

    /// Hands an update over whose loss is on the safe side: the order is unknown until somebody asks.
    ///
    /// # Errors
    /// If too many wait, or nothing can be recorded any more.
    pub fn enqueue(&self, id: &str, update: Update) -> Result<(), RecordError> {
        self.hand_over(id, update, None)
    }

    fn hand_over(&self, id: &str, update: Update, told: Option<Told>) -> Result<(), RecordError> {
        let jobs = self.jobs.as_ref().ok_or(RecordError::Failed)?;
        match jobs.try_send(Job { id: id.to_owned(), update, told }) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(RecordError::Failed),
        }
    }
}

impl Drop for Journal {
    /// Waits until all that was handed over is recorded.
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            // A failure of its own was told where it happened.
            let _ = thread.join();
        }
    }
}

fn write(store: &Store, incoming: &Receiver<Job>) {
    let mut warned = false;
    while let Ok(first) = incoming.recv() {
        let mut jobs = vec![first];
        let until = Instant::now() + LINGER;
        while jobs.len() < COMMIT_MOST && jobs.iter().all(|job| job.told.is_none()) {
            match incoming.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(job) => jobs.push(job),
                // The time is up, or this ends and hears of it next.
                Err(_) => break,
            }
        }
        jobs.extend(incoming.try_iter().take(COMMIT_MOST - jobs.len()));
        let (updates, told): (Vec<_>, Vec<_>) =
            jobs.into_iter().map(|job| ((job.id, job.update), job.told)).unzip();
        let (became, usage) = match store.record(&updates) {
            Ok(recorded) => recorded,
            Err(error) => {
                // After a failed write or sync nobody knows what the disk holds: what the system shows may not be
                // there. Nothing is recorded any more by this process, and so nothing that must be is sent.
                failed(&error);
                return;
            }
        };
        for (told, became) in told.into_iter().zip(became) {
            if let Some(told) = told {
                // One who has left needs no word.
                let _ = told.send(became);
            }
        }
        if usage.is_near_limit() && !warned {
            near(&usage);
        }
        // Told again only after it was well below.
        warned = usage.is_near_limit() || warned && usage.fraction > 0.9 * NEAR;
    }
}

fn near(usage: &Usage) {
    eprintln!(
        "ivygate: the journal holds {} orders, {:.0} % of what its `disk` allows; at 100 % requests that must not run \
         twice are refused until some are past their `keep`",
        usage.orders,
        100.0 * usage.fraction
    );
}

fn failed(error: &JournalError) {
    eprintln!("ivygate: {error}; requests that must not run twice are refused until a restart");
}
