//! Writer thread of the journal. The event loop queues updates without blocking and is notified when they are recorded;
//! one commit covers all updates that have been queued in the meantime.

use crate::order::{State, Update};
use crate::store::{JournalError, RecordOutcome, Store, Usage, WARNING_FRACTION};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Maximum number of queued updates; further ones are refused.
const QUEUE_CAPACITY: usize = 8192;
/// Maximum number of updates per commit.
const MAX_UPDATES_PER_COMMIT: usize = 1024;
/// Delay of a commit that nobody waits for, so that the commit of the next order may cover it.
const COMMIT_DELAY: Duration = Duration::from_millis(10);

/// Reason why an update was not recorded; its request must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The journal failed, or it is not known whether the update was recorded.
    Failed,
    /// The journal has reached its size limit.
    Full,
    /// Another order with the same client id may have run; holds the state of that order.
    Duplicate(State),
}

struct Job {
    id: String,
    update: Update,
    done: Option<DoneSender>,
}

/// Sends the result of an update to its caller.
type DoneSender = oneshot::Sender<RecordOutcome>;

/// Handle of the writer thread of a journal.
pub struct Journal {
    jobs: Option<SyncSender<Job>>,
    thread: Option<JoinHandle<()>>,
}

impl Journal {
    /// Starts the writer thread for a store.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(store: Arc<Store>) -> std::io::Result<Self> {
        let (jobs, incoming) = sync_channel(QUEUE_CAPACITY);
        let thread =
            std::thread::Builder::new().name("journal".into()).spawn(move || write(&store, &incoming))?;
        Ok(Self { jobs: Some(jobs), thread: Some(thread) })
    }

    /// Records an update and waits until it is durable. Updates are recorded in the order of the calls.
    ///
    /// # Errors
    /// Returns an error if the update is not recorded, or possibly not.
    pub async fn record(&self, id: &str, update: Update) -> Result<(), RecordError> {
        let (done, recorded) = oneshot::channel();
        self.send(id, update, Some(done))?;
        match recorded.await {
            Ok(RecordOutcome::Recorded) => Ok(()),
            Ok(RecordOutcome::Duplicate(state)) => Err(RecordError::Duplicate(state)),
            Ok(RecordOutcome::Full) => Err(RecordError::Full),
            Err(_) => Err(RecordError::Failed),
        }
    }

    /// Queues an update without waiting for it. Its loss is safe: the order then stays in the unknown state.
    ///
    /// # Errors
    /// Returns an error if the queue is full or the writer has failed.
    pub fn enqueue(&self, id: &str, update: Update) -> Result<(), RecordError> {
        self.send(id, update, None)
    }

    fn send(&self, id: &str, update: Update, done: Option<DoneSender>) -> Result<(), RecordError> {
        let jobs = self.jobs.as_ref().ok_or(RecordError::Failed)?;
        match jobs.try_send(Job { id: id.to_owned(), update, done }) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => Err(RecordError::Failed),
        }
    }
}

impl Drop for Journal {
    /// Waits until all queued updates are recorded.
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            // The thread reports its own failures.
            let _ = thread.join();
        }
    }
}

fn write(store: &Store, incoming: &Receiver<Job>) {
    let mut warned = false;
    while let Ok(first) = incoming.recv() {
        let mut jobs = vec![first];
        let commit_at = Instant::now() + COMMIT_DELAY;
        while jobs.len() < MAX_UPDATES_PER_COMMIT && jobs.iter().all(|job| job.done.is_none()) {
            match incoming.recv_timeout(commit_at.saturating_duration_since(Instant::now())) {
                Ok(job) => jobs.push(job),
                // The delay is over, or the channel is closed, which the next receive reports.
                Err(_) => break,
            }
        }
        jobs.extend(incoming.try_iter().take(MAX_UPDATES_PER_COMMIT - jobs.len()));
        let (updates, waiting): (Vec<_>, Vec<_>) =
            jobs.into_iter().map(|job| ((job.id, job.update), job.done)).unzip();
        let (outcomes, usage) = match store.record(&updates) {
            Ok(recorded) => recorded,
            Err(error) => {
                // After a failed write or sync the contents of the disk are not known; the page cache may show data
                // that was never written. This process records nothing more, and so sends no request that must be
                // recorded.
                report_failure(&error);
                return;
            }
        };
        for (done, outcome) in waiting.into_iter().zip(outcomes) {
            if let Some(done) = done {
                // The receiver may have been dropped.
                let _ = done.send(outcome);
            }
        }
        if usage.is_near_limit() && !warned {
            warn_near_limit(&usage);
        }
        // Warns again only after the usage has been clearly below the limit.
        warned = usage.is_near_limit() || warned && usage.fraction > 0.9 * WARNING_FRACTION;
    }
}

fn warn_near_limit(usage: &Usage) {
    eprintln!(
        "ivygate: the journal holds {} orders and uses {:.0} % of its `disk` limit; at 100 % requests that must not run \
         twice are refused until some orders exceed `keep`",
        usage.orders,
        100.0 * usage.fraction
    );
}

fn report_failure(error: &JournalError) {
    eprintln!("ivygate: {error}; requests that must not run twice are refused until a restart");
}
