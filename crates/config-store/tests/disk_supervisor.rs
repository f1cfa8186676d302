//! A store whose disk fails: what it may say, and when it is back.

use ivygate_config_store::{Ballot, DiskStatus, DiskSupervisor, DurableState, StateStorage, StorageError};
use ivygate_rpc::ErrorKind;
use ivygate_time::Timestamp;
use std::cell::RefCell;
use std::io;
use std::net::Ipv4Addr;
use std::rc::Rc;

/// A disk that is full from time to time.
#[derive(Default)]
struct Plate {
    held: Option<DurableState>,
    full: bool,
    /// Whether what was to be saved when it failed is there later.
    keeps_what_failed: bool,
    handles: usize,
}

struct Handle(Rc<RefCell<Plate>>);

fn at(millis: f64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn full() -> StorageError {
    StorageError::Io { action: "write", path: "db".into(), source: io::Error::other("no space") }
}

fn open(plate: &Rc<RefCell<Plate>>) -> Result<(Handle, DurableState), StorageError> {
    let mut disk = plate.borrow_mut();
    assert_eq!(disk.handles, 0, "a disk is opened while it is open");
    if disk.full {
        return Err(full());
    }
    disk.handles += 1;
    let kept = disk.held.clone().unwrap_or_else(|| DurableState::new(7));
    Ok((Handle(plate.clone()), kept))
}

impl StateStorage for Handle {
    fn save(&mut self, kept: &DurableState) -> Result<(), StorageError> {
        let mut disk = self.0.borrow_mut();
        if !disk.full || disk.keeps_what_failed {
            disk.held = Some(kept.clone());
        }
        if disk.full {
            return Err(full());
        }
        Ok(())
    }

    fn close(self) {
        self.0.borrow_mut().handles -= 1;
    }
}

fn promise(kept: &DurableState, counter: u64) -> DurableState {
    let promised = Ballot { counter, proposer: Ipv4Addr::new(10, 1, 0, 5), incarnation: 7 };
    DurableState { promised, ..kept.clone() }
}

#[test]
fn rejects_on_a_full_disk_and_recovers_within_a_second() {
    for keeps_what_failed in [false, true] {
        let plate = Rc::new(RefCell::new(Plate { keeps_what_failed, ..Plate::default() }));
        let (mut supervisor, kept) = DiskSupervisor::new(at(0.0), open(&plate));
        let kept = kept.expect("it opens");
        supervisor.save(at(10.0), &promise(&kept, 1)).expect("there is room");
        assert!(supervisor.error().is_none());
        let generation = supervisor.generation();

        plate.borrow_mut().full = true;
        let fault = supervisor.save(at(20.0), &promise(&kept, 2)).expect_err("it is full");
        assert_eq!(fault.kind, ErrorKind::Disk);
        assert_eq!(supervisor.error().expect("it refuses").kind, ErrorKind::Disk);
        assert_eq!(plate.borrow().handles, 0, "the failed disk is let go of");
        // Room alone is not enough: what is in memory rests on a save that failed.
        plate.borrow_mut().full = false;
        assert!(supervisor.save(at(30.0), &promise(&kept, 3)).is_err());
        plate.borrow_mut().full = true;

        assert!(!supervisor.is_reopen_due(at(1_019.0)) && supervisor.is_reopen_due(at(1_020.0)));
        assert!(supervisor.handle_opened(at(1_020.0), open(&plate)).is_none());
        assert!(!supervisor.is_reopen_due(at(2_019.0)) && supervisor.is_reopen_due(at(2_020.0)));
        plate.borrow_mut().full = false;
        let found = supervisor.handle_opened(at(2_020.0), open(&plate)).expect("there is room");
        assert_eq!(found.promised.counter, if keeps_what_failed { 2 } else { 1 });
        assert!(supervisor.error().is_none() && supervisor.generation() != generation);
        supervisor.save(at(2_030.0), &promise(&found, 3)).expect("there is room");
    }
}

#[test]
fn starts_on_a_full_disk_and_opens_it_later() {
    let plate = Rc::new(RefCell::new(Plate { full: true, ..Plate::default() }));
    let (mut supervisor, kept) = DiskSupervisor::new(at(0.0), open(&plate));
    assert!(kept.is_none());
    assert!(matches!(supervisor.status(), DiskStatus::Failed { since, .. } if *since == at(0.0)));
    assert!(supervisor.save(at(1.0), &DurableState::new(9)).is_err());
    plate.borrow_mut().full = false;
    assert!(supervisor.is_reopen_due(at(1_000.0)));
    assert_eq!(supervisor.handle_opened(at(1_000.0), open(&plate)).expect("it opens").incarnation, 7);
}

#[test]
fn ignores_a_late_result_of_an_earlier_opening() {
    let plate = Rc::new(RefCell::new(Plate::default()));
    let (mut supervisor, _) = DiskSupervisor::new(at(0.0), open(&plate));
    assert!(!supervisor.is_reopen_due(at(1e9)));
    assert!(supervisor.handle_opened(at(5.0), Err(full())).is_none());
    assert!(supervisor.error().is_none());
}
