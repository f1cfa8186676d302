//! Journals on a disk that fails: power cuts at every moment, with the unsynced writes lost or kept by chance, and
//! errors of every kind.

use ivygate_journal::{
    Attempt, AttemptOutcome, DurabilityLevel, Journal, JournalError, Order, RecordOutcome, Retention, State,
    Store, Update,
};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// A disk with a page cache of its own: what is not synced is lost at a power cut, in any part.
#[derive(Debug, Default)]
struct Disk {
    durable: Vec<u8>,
    cached: Vec<u8>,
    /// Writes and lengths since the last sync.
    unsynced: Vec<(u64, Option<Vec<u8>>)>,
    /// Operations until the power fails; writes and syncs count.
    left: u64,
    /// The error that comes then, in place of an end.
    error: Option<io::ErrorKind>,
}

#[derive(Clone, Debug, Default)]
struct Power(Arc<Mutex<Disk>>);

impl Disk {
    fn step(&mut self) -> io::Result<()> {
        if self.left == 0 {
            return Err(self.error.unwrap_or(io::ErrorKind::Other).into());
        }
        self.left -= 1;
        Ok(())
    }

    fn apply(to: &mut Vec<u8>, offset: u64, data: Option<&Vec<u8>>) {
        match data {
            None => to.resize(offset as usize, 0),
            Some(data) => {
                let end = offset as usize + data.len();
                if to.len() < end {
                    to.resize(end, 0);
                }
                to[offset as usize..end].copy_from_slice(data);
            }
        }
    }

    /// What is left after a power cut: of the unsynced writes any, in whole or torn.
    fn after_a_cut(&self, rng: &mut fastrand::Rng) -> Vec<u8> {
        let mut left = self.durable.clone();
        for (offset, data) in &self.unsynced {
            match (rng.u32(0..3), data) {
                (0, _) => {}
                (1, Some(data)) => {
                    let torn = data[..rng.usize(0..=data.len())].to_vec();
                    Self::apply(&mut left, *offset, Some(&torn));
                }
                _ => Self::apply(&mut left, *offset, data.as_ref()),
            }
        }
        // A file never ends before what was synced.
        if left.len() < self.durable.len() {
            left.resize(self.durable.len(), 0);
        }
        left
    }
}

impl StorageBackend for Power {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().cached.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let disk = self.0.lock().unwrap();
        let (from, to) = (offset as usize, offset as usize + len);
        disk.cached.get(from..to).map(<[u8]>::to_vec).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let disk = &mut *self.0.lock().unwrap();
        disk.step()?;
        Disk::apply(&mut disk.cached, len, None);
        disk.unsynced.push((len, None));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let disk = &mut *self.0.lock().unwrap();
        disk.step()?;
        disk.durable.clone_from(&disk.cached);
        disk.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let disk = &mut *self.0.lock().unwrap();
        disk.step()?;
        let data = Some(data.to_vec());
        Disk::apply(&mut disk.cached, offset, data.as_ref());
        disk.unsynced.push((offset, data));
        Ok(())
    }
}

fn open(power: &Power) -> Result<Store, JournalError> {
    Store::with_backend(PathBuf::from("simulated"), power.clone(), Retention::default())
}

fn taken(n: u32) -> Update {
    Update::Accepted(Order {
        client_id: Some(format!("c{n}")),
        accepted_at: f64::from(n),
        ..Order::default()
    })
}

fn sending() -> Update {
    Update::AttemptStarted(Attempt {
        number: 0,
        server: ([127, 0, 0, 1], 9301).into(),
        sent_at: 1.0,
        outcome: AttemptOutcome::Unknown,
    })
}

/// Orders as an application would see them: recorded, sent only when that is durable, answered, noted.
fn work(store: &Store, orders: u32) -> (BTreeMap<String, Option<u16>>, Option<JournalError>) {
    let mut seen = BTreeMap::new();
    for n in 0..orders {
        let id = format!("o{n}");
        if let Err(error) = store.record(&[(id.clone(), taken(n)), (id.clone(), sending())]) {
            return (seen, Some(error));
        }
        seen.insert(id.clone(), None);
        if n % 3 != 0 {
            if let Err(error) =
                store.record(&[(id.clone(), Update::AttemptEnded(0, AttemptOutcome::Answer(200)))])
            {
                return (seen, Some(error));
            }
            seen.insert(id, Some(200));
        }
    }
    (seen, None)
}

#[test]
fn after_a_power_cut_at_every_moment_no_order_that_was_sent_is_called_unsent() {
    let mut cuts = 0;
    for left in 0..150 {
        let power = Power::default();
        power.0.lock().unwrap().left = left;
        let seen = match open(&power) {
            Ok(store) => work(&store, 8).0,
            Err(_) => BTreeMap::new(),
        };
        for seed in 0..2 {
            let mut rng = fastrand::Rng::with_seed(left * 2 + seed);
            let after = power.0.lock().unwrap().after_a_cut(&mut rng);
            let disk = Disk { durable: after.clone(), cached: after, left: u64::MAX, ..Disk::default() };
            let store = match open(&Power(Arc::new(Mutex::new(disk)))) {
                Ok(store) => store,
                // A cut before the first commit leaves what is no journal yet; then nothing was sent.
                Err(error) => {
                    assert!(seen.is_empty(), "cut {left}, seed {seed}: {error}");
                    continue;
                }
            };
            let mut found = BTreeMap::new();
            store.for_each(|(id, order)| drop(found.insert(id, order))).expect("it can be read");
            for (id, answer) in &seen {
                let state = found.get(id).map(Order::state);
                let wanted = answer.map_or(State::Unknown, State::Answered);
                let more = state == Some(State::Answered(200));
                assert!(state == Some(wanted) || more, "cut {left}, seed {seed}, {id}: {state:?}");
            }
            cuts += usize::from(!seen.is_empty());
        }
    }
    assert!(cuts > 100, "{cuts}");
}

#[test]
fn after_an_error_of_any_kind_nothing_more_is_called_recorded() {
    for kind in [io::ErrorKind::StorageFull, io::ErrorKind::PermissionDenied, io::ErrorKind::Other] {
        let power = Power::default();
        power.0.lock().unwrap().left = u64::MAX;
        let store = open(&power).expect("it opens");
        store.record(&[("a".into(), sending())]).expect("it is recorded");
        {
            let mut disk = power.0.lock().unwrap();
            (disk.left, disk.error) = (0, Some(kind));
        }
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let journal = Journal::start(Arc::new(store)).expect("a thread");
        assert!(runtime.block_on(journal.record("b", sending())).is_err(), "{kind}");
        // The disk is well again, and the journal does not trust it.
        power.0.lock().unwrap().left = u64::MAX;
        assert!(runtime.block_on(journal.record("c", sending())).is_err(), "{kind}");
    }
}

#[test]
fn what_is_handed_over_is_recorded_in_order_and_by_few_commits() {
    let power = Power::default();
    power.0.lock().unwrap().left = u64::MAX;
    let journal = Journal::start(Arc::new(open(&power).expect("it opens"))).expect("a thread");
    for n in 0..2000 {
        let id = format!("o{n}");
        journal.enqueue(&id, taken(n)).expect("there is room");
        journal.enqueue(&id, sending()).expect("there is room");
        journal.enqueue(&id, Update::AttemptEnded(0, AttemptOutcome::Answer(201))).expect("there is room");
    }
    drop(journal);
    let store = open(&power).expect("it opens again");
    let mut answered = 0;
    store
        .for_each(|(_, order)| answered += usize::from(order.state() == State::Answered(201)))
        .expect("read");
    assert_eq!((answered, store.len().expect("read")), (2000, 2000));
}

#[test]
fn a_second_process_is_refused_and_a_missing_journal_is_told() {
    let folder = std::env::temp_dir().join(format!("ivygate-journal-{}", std::process::id()));
    assert!(matches!(Store::open(&folder), Err(JournalError::Missing(_))));
    let store = Store::create(&folder, DurabilityLevel::Synced, Retention::default()).expect("it is made");
    assert!(matches!(
        Store::create(&folder, DurabilityLevel::Synced, Retention::default()),
        Err(JournalError::InUse(_))
    ));
    store.record(&[("a".into(), sending())]).expect("it is recorded");
    drop(store);
    assert_eq!(Store::open(&folder).expect("it opens").len().expect("read"), 1);
    // No journal at all: told, and left as it is.
    std::fs::write(folder.join("orders.redb"), b"something else").expect("written");
    assert!(matches!(Store::open(&folder), Err(JournalError::Store(..))));
    std::fs::remove_dir_all(&folder).expect("removed");
}

fn disk_with(bytes: Vec<u8>) -> Power {
    let disk = Disk { durable: bytes.clone(), cached: bytes, left: u64::MAX, ..Disk::default() };
    Power(Arc::new(Mutex::new(disk)))
}

#[test]
fn a_bit_that_the_disk_changed_is_found_or_changes_nothing() {
    let power = disk_with(Vec::new());
    let seen = work(&open(&power).expect("it opens"), 12).0;
    let sound = power.0.lock().unwrap().cached.clone();
    let used: Vec<usize> = (0..sound.len()).filter(|at| sound[*at] != 0).collect();
    let (mut found, mut same) = (0, 0);
    std::panic::set_hook(Box::new(|_| {}));
    for flip in 0..300 {
        let mut rng = fastrand::Rng::with_seed(flip);
        let mut bytes = sound.clone();
        bytes[used[rng.usize(0..used.len())]] ^= 1 << rng.u32(0..8);
        let Ok(store) = open(&disk_with(bytes)) else {
            found += 1;
            continue;
        };
        if store.changed_after_close() {
            assert!(!store.verify().expect("read").problems.is_empty());
            found += 1;
            continue;
        }
        for (id, answer) in &seen {
            let order = store.find(id).expect("read").unwrap_or_else(|| panic!("flip {flip}: {id} is gone"));
            assert_eq!(order.1.state(), answer.map_or(State::Unknown, State::Answered), "flip {flip}, {id}");
        }
        same += 1;
    }
    let _ = std::panic::take_hook();
    assert!(found > 50 && same > 50, "{found} found, {same} of no effect");
}

#[test]
fn orders_are_dropped_when_their_time_is_past_and_new_ones_refused_at_the_bound() {
    let power = disk_with(Vec::new());
    let retention = Retention { max_age_ms: 1000.0, max_file_bytes: 4 << 20 };
    let store = Store::with_backend(PathBuf::from("simulated"), power.clone(), retention).expect("it opens");
    let order = |n: u32, at: f64| {
        let attempt = Attempt {
            number: 0,
            server: ([127, 0, 0, 1], 9301).into(),
            sent_at: at,
            outcome: AttemptOutcome::Unknown,
        };
        let order = Order {
            client_id: Some(format!("c{n}")),
            accepted_at: at,
            attempts: vec![attempt],
            ..Order::default()
        };
        (format!("o{n}"), Update::Accepted(order))
    };
    let mut taken = 0;
    let full = loop {
        let (became, usage) = store.record(&[order(taken, 5000.0)]).expect("it is recorded");
        if became == [RecordOutcome::Full] {
            break usage;
        }
        taken += 1;
        assert!(taken < 20_000, "there is no bound");
    };
    assert!(full.is_near_limit() && u64::from(taken) == full.orders && taken > 1000, "{taken} {full:?}");
    let length = power.0.lock().unwrap().cached.len();
    assert!(length <= 4 << 20, "the file has {length} bytes");
    // What came of those that are there, and further attempts, are still recorded.
    let came = store
        .record(&[("o1".into(), Update::AttemptEnded(0, AttemptOutcome::Answer(200)))])
        .expect("recorded")
        .0;
    assert_eq!(came, [RecordOutcome::Recorded]);
    assert_eq!(store.find("c1").expect("read").expect("there").1.state(), State::Answered(200));
    // The same client's id again is known, and after its time it is not.
    let again = |at| {
        (
            "again".to_owned(),
            Update::Accepted(Order { client_id: Some("c1".into()), accepted_at: at, ..Order::default() }),
        )
    };
    let (became, _) = store.record(&[again(5000.0)]).expect("recorded");
    assert_eq!(became, [RecordOutcome::Full]);
    let mut turns = 0;
    let last = loop {
        let became = store.record(&[again(6001.0)]).expect("recorded").0;
        turns += 1;
        if store.len().expect("read") == 1 {
            break became;
        }
        assert!(turns < taken, "nothing is dropped");
    };
    assert_eq!(last, [RecordOutcome::Recorded]);
    assert!(store.verify().expect("read").problems.is_empty());
    assert!(power.0.lock().unwrap().cached.len() <= 4 << 20);
}

#[test]
fn a_journal_of_an_earlier_format_is_read_and_one_of_a_later_is_refused() {
    const ORDERS: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("orders-1");
    const ABOUT: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("about-1");
    let power = disk_with(Vec::new());
    let written = |insert: &dyn Fn(&redb::WriteTransaction)| {
        let database = redb::Builder::new().create_with_backend(power.clone()).expect("it opens");
        let write = database.begin_write().expect("a transaction");
        insert(&write);
        write.commit().expect("committed");
    };
    written(&|write| {
        let mut orders = write.open_table(ORDERS).expect("a table");
        let first = br#"{"client_id":"c","customer":"m","route":"r","target":"/","taken_at":7.0,"attempts":[
            {"number":0,"server":"127.0.0.1:1","sent_at":8.0,"came":{"answer":201}}]}"#;
        orders.insert("o", first.as_slice()).expect("inserted");
        orders.insert("spoilt", b"{".as_slice()).expect("inserted");
    });
    let store = open(&power).expect("it opens");
    let state = |id: &str| store.find(id).expect("read").expect("there").1.state();
    assert_eq!((state("o"), state("spoilt")), (State::Answered(201), State::Unknown));
    assert_eq!(store.verify().expect("read").problems, Vec::<String>::new());
    drop(store);
    written(&|write| {
        let mut about = write.open_table(ABOUT).expect("a table");
        about.insert("format", 3_u64.to_be_bytes().as_slice()).expect("inserted");
    });
    assert!(matches!(open(&power), Err(JournalError::UnsupportedFormat(_, 3))));
}
