//! Whether a store may speak: its disk, and what becomes of it when that fails.
//!
//! Called by the program, which asks before each act of the [`Store`](crate::Store). A save that fails is to the store
//! what its own end would be: all that it has in memory goes, calls are refused at once, and it begins anew with what
//! the disk surely holds, as soon as that can be read and written. So nothing is ever said that rests on a save that
//! failed, and what holds for a store that is killed holds here. It never does I/O but through [`Saves`].

use crate::disk::Disk;
use crate::messages::Kept;
use ivygate_rpc::{Fault, Kind};

/// A point on the caller's steady clock, in milliseconds.
type Millis = f64;
/// Pause between two tries to open a disk.
const PAUSE: Millis = 1_000.0;

/// What saves a state.
pub trait Saves {
    /// Saves all that is kept, or fails: it then holds this or what was saved before.
    ///
    /// # Errors
    /// If it fails; it is then to be closed and opened again.
    fn save(&mut self, kept: &Kept) -> Result<(), Fault>;
    /// Lets go of it, also after a failure.
    fn close(self);
}

impl Saves for Disk {
    fn save(&mut self, kept: &Kept) -> Result<(), Fault> {
        Disk::save(self, kept)
    }

    fn close(self) {
        Disk::close(self);
    }
}

/// Where a store's disk stands.
pub enum DiskState<D> {
    /// Its last save is safe.
    Sound(D),
    /// It could not be opened, or a save has failed.
    Refusing {
        /// From when on.
        since: Millis,
        /// When it is opened again.
        again_at: Millis,
        /// What it said last.
        cause: String,
    },
}

/// A store's disk, sound or not.
pub struct Keeper<D> {
    state: DiskState<D>,
    term: u64,
}

impl<D: Saves> Keeper<D> {
    /// A disk that was opened, or could not be; with what it kept.
    pub fn new(now: Millis, opened: Result<(D, Kept), Fault>) -> (Self, Option<Kept>) {
        let state = DiskState::Refusing { since: now, again_at: now, cause: String::new() };
        let mut keeper = Self { state, term: 0 };
        let kept = keeper.opened(now, opened);
        (keeper, kept)
    }

    /// How its disk stands.
    pub fn state(&self) -> &DiskState<D> {
        &self.state
    }

    /// What each call is answered while the store may not speak.
    pub fn fault(&self) -> Option<Fault> {
        match &self.state {
            DiskState::Sound(_) => None,
            DiskState::Refusing { cause, .. } => Some(Fault::new(Kind::Disk, cause.clone())),
        }
    }

    /// Counts openings. What was asked in one is not to be told to the store of another.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Whether the disk is to be opened again.
    pub fn due(&self, now: Millis) -> bool {
        matches!(&self.state, DiskState::Refusing { again_at, .. } if now >= *again_at)
    }

    /// Saves what is kept, before anything is said that rests on it.
    ///
    /// # Errors
    /// If the disk fails, or has failed: the store's memory is then void, and all that it wanted done with it.
    pub fn save(&mut self, now: Millis, kept: &Kept) -> Result<(), Fault> {
        let DiskState::Sound(disk) = &mut self.state else {
            return Err(self.fault().unwrap_or_else(|| Fault::new(Kind::Disk, "closed")));
        };
        disk.save(kept).inspect_err(|fault| self.failed(now, fault))
    }

    /// A save has failed.
    fn failed(&mut self, now: Millis, fault: &Fault) {
        let refusing = DiskState::Refusing { since: now, again_at: now + PAUSE, cause: fault.to_string() };
        if let DiskState::Sound(disk) = std::mem::replace(&mut self.state, refusing) {
            disk.close();
        }
        // Last: what writes logs may fail with the disk.
        tracing::error!("the disk failed; nothing is saved or said until it can be opened again: {fault}");
    }

    /// The disk was opened again, or still can't be; with what it kept, for a new store.
    pub fn opened(&mut self, now: Millis, opened: Result<(D, Kept), Fault>) -> Option<Kept> {
        let DiskState::Refusing { since, again_at, cause } = &mut self.state else { return None };
        match opened {
            Ok((disk, kept)) => {
                if self.term > 0 {
                    tracing::warn!("the disk is open again after {:.0} ms", now - *since);
                }
                self.term += 1;
                self.state = DiskState::Sound(disk);
                Some(kept)
            }
            Err(fault) => {
                let told = fault.to_string();
                if told != *cause {
                    tracing::error!("the disk can't be opened: {fault}");
                }
                (*again_at, *cause) = (now + PAUSE, told);
                None
            }
        }
    }
}
