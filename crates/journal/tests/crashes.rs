//! Journals on a simulated failing disk: power cuts at every operation, with unsynced writes lost or kept at
//! random, and I/O errors.

use ivygate_journal::{
    Attempt, AttemptOutcome, DurabilityLevel, Journal, JournalError, Order, RecordOutcome, Retention, State,
    Store, Update,
};
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

/// Simulated disk with a page cache. A power cut loses any part of the unsynced data.
#[derive(Debug, Default)]
struct Disk {
    durable: Vec<u8>,
    cached: Vec<u8>,
    /// Writes and length changes since the last sync.
    unsynced: Vec<(u64, Option<Vec<u8>>)>,
    /// Number of write, resize and sync operations until the failure.
    operations_left: u64,
    /// Error returned from then on.
    error: Option<io::ErrorKind>,
}

/// Storage backend on a simulated disk.
#[derive(Clone, Debug, Default)]
struct SimulatedDisk(Arc<Mutex<Disk>>);

impl Disk {
    fn count_operation(&mut self) -> io::Result<()> {
        if self.operations_left == 0 {
            return Err(self.error.unwrap_or(io::ErrorKind::Other).into());
        }
        self.operations_left -= 1;
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

    /// Returns the contents after a power cut: each unsynced write is lost, complete or torn.
    fn after_power_cut(&self, rng: &mut fastrand::Rng) -> Vec<u8> {
        let mut contents = self.durable.clone();
        for (offset, data) in &self.unsynced {
            match (rng.u32(0..3), data) {
                (0, _) => {}
                (1, Some(data)) => {
                    let torn = data[..rng.usize(0..=data.len())].to_vec();
                    Self::apply(&mut contents, *offset, Some(&torn));
                }
                _ => Self::apply(&mut contents, *offset, data.as_ref()),
            }
        }
        // Synced data is never truncated.
        if contents.len() < self.durable.len() {
            contents.resize(self.durable.len(), 0);
        }
        contents
    }
}

impl StorageBackend for SimulatedDisk {
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
        disk.count_operation()?;
        Disk::apply(&mut disk.cached, len, None);
        disk.unsynced.push((len, None));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        let disk = &mut *self.0.lock().unwrap();
        disk.count_operation()?;
        disk.durable.clone_from(&disk.cached);
        disk.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let disk = &mut *self.0.lock().unwrap();
        disk.count_operation()?;
        let data = Some(data.to_vec());
        Disk::apply(&mut disk.cached, offset, data.as_ref());
        disk.unsynced.push((offset, data));
        Ok(())
    }
}

fn open(backend: &SimulatedDisk) -> Result<Store, JournalError> {
    Store::with_backend(PathBuf::from("simulated"), backend.clone(), Retention::default())
}

fn accepted(n: u32) -> Update {
    Update::Accepted(Order {
        client_id: Some(format!("c{n}")),
        accepted_at: f64::from(n),
        ..Order::default()
    })
}

fn attempt_started() -> Update {
    Update::AttemptStarted(Attempt {
        number: 0,
        server: ([127, 0, 0, 1], 9301).into(),
        sent_at: 1.0,
        outcome: AttemptOutcome::Unknown,
    })
}

/// Records orders and their outcomes. Returns the recorded orders with their answers, and the first error.
fn record_orders(store: &Store, orders: u32) -> (BTreeMap<String, Option<u16>>, Option<JournalError>) {
    let mut recorded = BTreeMap::new();
    for n in 0..orders {
        let id = format!("o{n}");
        if let Err(error) = store.record(&[(id.clone(), accepted(n)), (id.clone(), attempt_started())]) {
            return (recorded, Some(error));
        }
        recorded.insert(id.clone(), None);
        if n % 3 != 0 {
            if let Err(error) =
                store.record(&[(id.clone(), Update::AttemptEnded(0, AttemptOutcome::Answer(200)))])
            {
                return (recorded, Some(error));
            }
            recorded.insert(id, Some(200));
        }
    }
    (recorded, None)
}

#[test]
fn no_sent_order_is_reported_as_never_sent_after_a_power_cut() {
    let mut checked_cuts = 0;
    for operations in 0..150 {
        let backend = SimulatedDisk::default();
        backend.0.lock().unwrap().operations_left = operations;
        let recorded = match open(&backend) {
            Ok(store) => record_orders(&store, 8).0,
            Err(_) => BTreeMap::new(),
        };
        for seed in 0..2 {
            let mut rng = fastrand::Rng::with_seed(operations * 2 + seed);
            let after = backend.0.lock().unwrap().after_power_cut(&mut rng);
            let disk =
                Disk { durable: after.clone(), cached: after, operations_left: u64::MAX, ..Disk::default() };
            let store = match open(&SimulatedDisk(Arc::new(Mutex::new(disk)))) {
                Ok(store) => store,
                // A cut before the first commit leaves no valid journal, but then nothing was sent.
                Err(error) => {
                    assert!(recorded.is_empty(), "cut {operations}, seed {seed}: {error}");
                    continue;
                }
            };
            let mut found = BTreeMap::new();
            store.for_each(|(id, order)| drop(found.insert(id, order))).expect("it can be read");
            for (id, answer) in &recorded {
                let state = found.get(id).map(Order::state);
                let expected = answer.map_or(State::Unknown, State::Answered);
                let answered = state == Some(State::Answered(200));
                assert!(
                    state == Some(expected) || answered,
                    "cut {operations}, seed {seed}, {id}: {state:?}"
                );
            }
            checked_cuts += usize::from(!recorded.is_empty());
        }
    }
    assert!(checked_cuts > 100, "{checked_cuts}");
}

#[test]
fn nothing_is_reported_as_recorded_after_an_io_error() {
    for kind in [io::ErrorKind::StorageFull, io::ErrorKind::PermissionDenied, io::ErrorKind::Other] {
        let backend = SimulatedDisk::default();
        backend.0.lock().unwrap().operations_left = u64::MAX;
        let store = open(&backend).expect("it opens");
        store.record(&[("a".into(), attempt_started())]).expect("it is recorded");
        {
            let mut disk = backend.0.lock().unwrap();
            (disk.operations_left, disk.error) = (0, Some(kind));
        }
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let journal = Journal::start(Arc::new(store)).expect("a thread");
        assert!(runtime.block_on(journal.record("b", attempt_started())).is_err(), "{kind}");
        // The journal stays failed even after the disk has recovered.
        backend.0.lock().unwrap().operations_left = u64::MAX;
        assert!(runtime.block_on(journal.record("c", attempt_started())).is_err(), "{kind}");
    }
}

#[test]
fn queued_updates_are_recorded_in_order() {
    let backend = SimulatedDisk::default();
    backend.0.lock().unwrap().operations_left = u64::MAX;
    let journal = Journal::start(Arc::new(open(&backend).expect("it opens"))).expect("a thread");
    for n in 0..2000 {
        let id = format!("o{n}");
        journal.enqueue(&id, accepted(n)).expect("there is room");
        journal.enqueue(&id, attempt_started()).expect("there is room");
        journal.enqueue(&id, Update::AttemptEnded(0, AttemptOutcome::Answer(201))).expect("there is room");
    }
    drop(journal);
    let store = open(&backend).expect("it opens again");
    let mut answered = 0;
    store
        .for_each(|(_, order)| answered += usize::from(order.state() == State::Answered(201)))
        .expect("read");
    assert_eq!((answered, store.len().expect("read")), (2000, 2000));
}

#[test]
fn second_process_and_missing_journal_are_reported() {
    let folder = std::env::temp_dir().join(format!("ivygate-journal-{}", std::process::id()));
    assert!(matches!(Store::open(&folder), Err(JournalError::Missing(_))));
    let store = Store::create(&folder, DurabilityLevel::Synced, Retention::default()).expect("it is made");
    assert!(matches!(
        Store::create(&folder, DurabilityLevel::Synced, Retention::default()),
        Err(JournalError::InUse(_))
    ));
    store.record(&[("a".into(), attempt_started())]).expect("it is recorded");
    drop(store);
    assert_eq!(Store::open(&folder).expect("it opens").len().expect("read"), 1);
    // A file that is not a journal is reported and not modified.
    std::fs::write(folder.join("orders.redb"), b"something else").expect("written");
    assert!(matches!(Store::open(&folder), Err(JournalError::Store(..))));
    std::fs::remove_dir_all(&folder).expect("removed");
}

fn disk_with(bytes: Vec<u8>) -> SimulatedDisk {
    let disk = Disk { durable: bytes.clone(), cached: bytes, operations_left: u64::MAX, ..Disk::default() };
    SimulatedDisk(Arc::new(Mutex::new(disk)))
}

#[test]
fn flipped_bit_is_detected_or_has_no_effect() {
    let backend = disk_with(Vec::new());
    let recorded = record_orders(&open(&backend).expect("it opens"), 12).0;
    let intact = backend.0.lock().unwrap().cached.clone();
    let used: Vec<usize> = (0..intact.len()).filter(|at| intact[*at] != 0).collect();
    let (mut detected, mut unaffected) = (0, 0);
    std::panic::set_hook(Box::new(|_| {}));
    for flip in 0..300 {
        let mut rng = fastrand::Rng::with_seed(flip);
        let mut bytes = intact.clone();
        bytes[used[rng.usize(0..used.len())]] ^= 1 << rng.u32(0..8);
        let Ok(store) = open(&disk_with(bytes)) else {
            detected += 1;
            continue;
        };
        if store.changed_after_close() {
            assert!(!store.verify().expect("read").problems.is_empty());
            detected += 1;
            continue;
        }
        for (id, answer) in &recorded {
            let order =
                store.find(id).expect("read").unwrap_or_else(|| panic!("flip {flip}: {id} is missing"));
            assert_eq!(order.1.state(), answer.map_or(State::Unknown, State::Answered), "flip {flip}, {id}");
        }
        unaffected += 1;
    }
    let _ = std::panic::take_hook();
    assert!(detected > 50 && unaffected > 50, "{detected} detected, {unaffected} without effect");
}

#[test]
fn orders_expire_and_new_ones_are_refused_at_the_size_limit() {
    let backend = disk_with(Vec::new());
    let retention = Retention { max_age_ms: 1000.0, max_file_bytes: 4 << 20 };
    let store =
        Store::with_backend(PathBuf::from("simulated"), backend.clone(), retention).expect("it opens");
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
    let mut accepted_count = 0;
    let full = loop {
        let (outcome, usage) = store.record(&[order(accepted_count, 5000.0)]).expect("it is recorded");
        if outcome == [RecordOutcome::Full] {
            break usage;
        }
        accepted_count += 1;
        assert!(accepted_count < 20_000, "there is no size limit");
    };
    assert!(
        full.is_near_limit() && u64::from(accepted_count) == full.orders && accepted_count > 1000,
        "{accepted_count} {full:?}"
    );
    let length = backend.0.lock().unwrap().cached.len();
    assert!(length <= 4 << 20, "the file has {length} bytes");
    // Updates of existing orders are still recorded.
    let outcome = store
        .record(&[("o1".into(), Update::AttemptEnded(0, AttemptOutcome::Answer(200)))])
        .expect("recorded")
        .0;
    assert_eq!(outcome, [RecordOutcome::Recorded]);
    assert_eq!(store.find("c1").expect("read").expect("there").1.state(), State::Answered(200));
    // The same client id is refused until the earlier order has expired.
    let again = |at| {
        (
            "again".to_owned(),
            Update::Accepted(Order { client_id: Some("c1".into()), accepted_at: at, ..Order::default() }),
        )
    };
    let (outcome, _) = store.record(&[again(5000.0)]).expect("recorded");
    assert_eq!(outcome, [RecordOutcome::Full]);
    let mut attempts = 0;
    let last = loop {
        let outcome = store.record(&[again(6001.0)]).expect("recorded").0;
        attempts += 1;
        if store.len().expect("read") == 1 {
            break outcome;
        }
        assert!(attempts < accepted_count, "no order expires");
    };
    assert_eq!(last, [RecordOutcome::Recorded]);
    assert!(store.verify().expect("read").problems.is_empty());
    assert!(backend.0.lock().unwrap().cached.len() <= 4 << 20);
}

#[test]
fn earlier_format_is_migrated_and_a_later_one_is_refused() {
    const ORDERS: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("orders-1");
    const ABOUT: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("about-1");
    let backend = disk_with(Vec::new());
    let write_tables = |insert: &dyn Fn(&redb::WriteTransaction)| {
        let database = redb::Builder::new().create_with_backend(backend.clone()).expect("it opens");
        let write = database.begin_write().expect("a transaction");
        insert(&write);
        write.commit().expect("committed");
    };
    write_tables(&|write| {
        let mut orders = write.open_table(ORDERS).expect("a table");
        let first = br#"{"client_id":"c","customer":"m","route":"r","target":"/","taken_at":7.0,"attempts":[
            {"number":0,"server":"127.0.0.1:1","sent_at":8.0,"came":{"answer":201}}]}"#;
        orders.insert("o", first.as_slice()).expect("inserted");
        orders.insert("corrupt", b"{".as_slice()).expect("inserted");
    });
    let store = open(&backend).expect("it opens");
    let state = |id: &str| store.find(id).expect("read").expect("there").1.state();
    assert_eq!((state("o"), state("corrupt")), (State::Answered(201), State::Unknown));
    assert_eq!(store.verify().expect("read").problems, Vec::<String>::new());
    drop(store);
    write_tables(&|write| {
        let mut about = write.open_table(ABOUT).expect("a table");
        about.insert("format", 3_u64.to_be_bytes().as_slice()).expect("inserted");
    });
    assert!(matches!(open(&backend), Err(JournalError::UnsupportedFormat(_, 3))));
}
