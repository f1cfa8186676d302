//! A store whose disk fails: what it may say, and when it is back.

use ivygate_config_store::{Ballot, DiskState, Keeper, Kept, Saves};
use ivygate_rpc::{Fault, Kind};
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::rc::Rc;

/// A disk that is full from time to time.
#[derive(Default)]
struct Plate {
    held: Option<Kept>,
    full: bool,
    /// Whether what was to be saved when it failed is there later.
    keeps_what_failed: bool,
    handles: usize,
}

struct Handle(Rc<RefCell<Plate>>);

fn full() -> Fault {
    Fault::new(Kind::Disk, "no space")
}

fn open(plate: &Rc<RefCell<Plate>>) -> Result<(Handle, Kept), Fault> {
    let mut disk = plate.borrow_mut();
    assert_eq!(disk.handles, 0, "a disk is opened while it is open");
    if disk.full {
        return Err(full());
    }
    disk.handles += 1;
    let kept = disk.held.clone().unwrap_or_else(|| Kept::new(7));
    Ok((Handle(plate.clone()), kept))
}

impl Saves for Handle {
    fn save(&mut self, kept: &Kept) -> Result<(), Fault> {
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

fn promise(kept: &Kept, counter: u64) -> Kept {
    let promised = Ballot { counter, by: Ipv4Addr::new(10, 1, 0, 5), incarnation: 7 };
    Kept { promised, ..kept.clone() }
}

#[test]
fn given_a_disk_that_fills_up_when_the_store_saves_then_it_refuses_at_once_and_is_back_a_second_after_there_is_room(
) {
    for keeps_what_failed in [false, true] {
        let plate = Rc::new(RefCell::new(Plate { keeps_what_failed, ..Plate::default() }));
        let (mut keeper, kept) = Keeper::new(0.0, open(&plate));
        let kept = kept.expect("it opens");
        keeper.save(10.0, &promise(&kept, 1)).expect("there is room");
        assert!(keeper.fault().is_none());
        let term = keeper.term();

        plate.borrow_mut().full = true;
        let fault = keeper.save(20.0, &promise(&kept, 2)).expect_err("it is full");
        assert_eq!(fault.kind, Kind::Disk);
        assert_eq!(keeper.fault().expect("it refuses").kind, Kind::Disk);
        assert_eq!(plate.borrow().handles, 0, "the failed disk is let go of");
        // Room alone is not enough: what is in memory rests on a save that failed.
        plate.borrow_mut().full = false;
        assert!(keeper.save(30.0, &promise(&kept, 3)).is_err());
        plate.borrow_mut().full = true;

        assert!(!keeper.due(1_019.0) && keeper.due(1_020.0));
        assert!(keeper.opened(1_020.0, open(&plate)).is_none());
        assert!(!keeper.due(2_019.0) && keeper.due(2_020.0));
        plate.borrow_mut().full = false;
        let found = keeper.opened(2_020.0, open(&plate)).expect("there is room");
        assert_eq!(found.promised.counter, if keeps_what_failed { 2 } else { 1 });
        assert!(keeper.fault().is_none() && keeper.term() != term);
        keeper.save(2_030.0, &promise(&found, 3)).expect("there is room");
    }
}

#[test]
fn given_a_full_disk_when_the_store_starts_then_it_stays_up_and_opens_it_later() {
    let plate = Rc::new(RefCell::new(Plate { full: true, ..Plate::default() }));
    let (mut keeper, kept) = Keeper::new(0.0, open(&plate));
    assert!(kept.is_none());
    assert!(matches!(keeper.state(), DiskState::Refusing { since, .. } if *since == 0.0));
    assert!(keeper.save(1.0, &Kept::new(9)).is_err());
    plate.borrow_mut().full = false;
    assert!(keeper.due(1_000.0));
    assert_eq!(keeper.opened(1_000.0, open(&plate)).expect("it opens").incarnation, 7);
}

#[test]
fn given_an_old_opening_that_ends_late_when_the_disk_is_sound_then_it_changes_nothing() {
    let plate = Rc::new(RefCell::new(Plate::default()));
    let (mut keeper, _) = Keeper::new(0.0, open(&plate));
    assert!(!keeper.due(1e9));
    assert!(keeper.opened(5.0, Err(full())).is_none());
    assert!(keeper.fault().is_none());
}
