//! Tests of the store's disk against power losses and failed syncs. The simulated disk guarantees the contents of each
//! file as of its last sync, and the file names of each folder as of the folder's last sync. After a power loss, each
//! later write is present, absent or torn, and each later change of a name is present or absent.

use ivygate_config_store::{AcceptedProposal, Ballot, Disk, DurableState, Fsync};
use ivygate_control_state::{Item, Table, Tables};
use serde_json::json;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A temporary folder that is removed when dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("ivygate-disk-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).expect("can create the temporary folder");
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Syncs nothing; for disks that are not exposed to a power loss.
struct NoFsync;

impl Fsync for NoFsync {
    fn file(&mut self, _: &Path) -> io::Result<()> {
        Ok(())
    }
    fn folder(&mut self, _: &Path) -> io::Result<()> {
        Ok(())
    }
}

/// The contents of a folder that are guaranteed to survive a power loss.
#[derive(Default)]
struct SyncedState {
    root: PathBuf,
    files: BTreeMap<PathBuf, Vec<u8>>,
    names: BTreeMap<PathBuf, BTreeSet<String>>,
    syncs: usize,
    /// The number of the first sync that fails.
    fails_from: Option<usize>,
    /// Power losses to simulate just before the sync with this number: the folder that receives the result, and the
    /// seed.
    power_losses: BTreeMap<usize, (PathBuf, u64)>,
}

fn file_names(folder: &Path) -> BTreeSet<String> {
    let Ok(entries) = fs::read_dir(folder) else { return BTreeSet::new() };
    entries.map(|e| e.expect("the entry can be read").file_name().to_string_lossy().into_owned()).collect()
}

impl SyncedState {
    /// Records a folder whose current contents are all synced.
    fn of(root: &Path) -> Self {
        fn record(synced: &mut SyncedState, folder: &Path) {
            let names = file_names(folder);
            for name in &names {
                let path = folder.join(name);
                if path.is_dir() {
                    record(synced, &path);
                } else {
                    synced.files.insert(path.clone(), fs::read(path).expect("the entry can be read"));
                }
            }
            synced.names.insert(folder.to_owned(), names);
        }
        let mut synced = Self { root: root.to_owned(), ..Self::default() };
        record(&mut synced, root);
        synced
    }

    /// Writes to another folder one possible result of a power loss at this moment.
    fn write_crash_image(&self, into: &Path, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        // All unsynced writes survive, none do, or some do.
        let survival = [0.0, 1.0, 0.5, 0.9, 0.1][rng.usize(..5)];
        let name_survival = [0.0, 1.0, 0.5][rng.usize(..3)];
        self.write_crash_folder(&self.root, into, &mut rng, survival, name_survival);
    }

    fn write_crash_folder(
        &self,
        from: &Path,
        into: &Path,
        rng: &mut fastrand::Rng,
        survival: f64,
        name_survival: f64,
    ) {
        fs::create_dir_all(into).expect("the folder can be created");
        let synced_names = self.names.get(from).cloned().unwrap_or_default();
        let now = file_names(from);
        for name in synced_names.union(&now) {
            let path = from.join(name);
            let name_change_survives = rng.f64() < name_survival;
            let exists = if name_change_survives { now.contains(name) } else { synced_names.contains(name) };
            if !exists {
                continue;
            }
            let was_folder = self.names.contains_key(&path);
            if path.is_dir() || (!path.exists() && was_folder) {
                self.write_crash_folder(&path, &into.join(name), rng, survival, name_survival);
            } else {
                let base = self.files.get(&path).cloned().unwrap_or_default();
                let bytes = match fs::read(&path) {
                    Ok(later) => crashed_contents(&base, &later, rng, survival),
                    Err(_) => base,
                };
                fs::write(into.join(name), bytes).expect("the file can be written");
            }
        }
    }
}

/// Returns a file's contents in which each unsynced write is present, absent or torn.
fn crashed_contents(base: &[u8], later: &[u8], rng: &mut fastrand::Rng, survival: f64) -> Vec<u8> {
    const BLOCK: usize = 512;
    let length = if rng.f64() < survival { later.len() } else { base.len() };
    // A part that no write covers reads as zeros.
    let mut out = base.to_vec();
    out.resize(length, 0);
    for start in (0..length).step_by(BLOCK) {
        let end = length.min(start + BLOCK);
        let torn = survival > 0.0 && survival < 1.0 && rng.u8(..8) == 0;
        let tear = if torn { rng.usize(start..end) } else { end };
        // Of a torn write, either the first or the last part is present.
        let (from, to) = if rng.f64() < survival { (start, tear) } else { (tear, end) };
        let to_there = to.min(later.len());
        if from < to_there {
            out[from..to_there].copy_from_slice(&later[from..to_there]);
        }
    }
    out
}

#[derive(Clone)]
struct SimulatedFsync(Rc<RefCell<SyncedState>>);

impl SimulatedFsync {
    fn of(root: &Path) -> Self {
        Self(Rc::new(RefCell::new(SyncedState::of(root))))
    }

    fn before_sync(&self) -> io::Result<()> {
        let mut synced = self.0.borrow_mut();
        synced.syncs += 1;
        let number = synced.syncs;
        if let Some((into, seed)) = synced.power_losses.get(&number).cloned() {
            synced.write_crash_image(&into, seed);
        }
        if synced.fails_from.is_some_and(|from| number >= from) {
            return Err(io::Error::other("simulated disk failure"));
        }
        Ok(())
    }
}

impl Fsync for SimulatedFsync {
    fn file(&mut self, path: &Path) -> io::Result<()> {
        self.before_sync()?;
        let bytes = fs::read(path)?;
        self.0.borrow_mut().files.insert(path.to_owned(), bytes);
        Ok(())
    }

    fn folder(&mut self, path: &Path) -> io::Result<()> {
        self.before_sync()?;
        self.0.borrow_mut().names.insert(path.to_owned(), file_names(path));
        Ok(())
    }
}

const INCARNATION: u64 = 7;

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, proposer: Ipv4Addr::new(10, 1, 0, 5), incarnation: INCARNATION }
}

fn item(name: &str, version: u64, bytes: usize) -> Item {
    let body = json!({ "gen": format!("r{version}"), "text": "x".repeat(bytes) });
    Item::new(Table::Routes, name, version, Some(body))
}

/// Summarizes the parts of a state that must be equal when it is saved and read back.
fn summary(state: &DurableState) -> String {
    let names = |item: &Arc<Item>| format!("{}:{}", item.key.name, item.version);
    let items: Vec<_> = state.items.all(Tables::DURABLE).map(names).collect();
    let accepted: Option<(Ballot, Vec<_>)> =
        state.accepted.as_ref().map(|a| (a.ballot, a.items.iter().map(names).collect()));
    let digest = state.items.digest(Tables::DURABLE);
    let DurableState { incarnation, promised, chosen, .. } = state;
    format!("{incarnation} {} {} {digest:x} {accepted:?} {items:?}", promised.counter, chosen.counter)
}

/// Applies a random change to a state: a promise, accepted items or chosen items.
fn apply_random_change(state: &mut DurableState, rng: &mut fastrand::Rng, round: u64) {
    state.promised = ballot(round);
    match rng.u8(..4) {
        0 => {}
        1 => {
            let (count, bytes) = match rng.u8(..12) {
                0 => (1, 300_000),
                1 => (400, 700),
                2 => (30, 9_000),
                3 if rng.u8(..4) == 0 => (7_000, 600),
                _ => (rng.usize(1..30), rng.usize(..600)),
            };
            let items = (0..count).map(|n| Arc::new(item(&format!("route-{n}"), round, bytes))).collect();
            state.accepted = Some(AcceptedProposal { ballot: ballot(round), items });
        }
        2 => {
            if let Some(accepted) = state.accepted.take() {
                state.apply_chosen(accepted.ballot, accepted.items);
            }
        }
        _ => state.apply_chosen(
            ballot(round),
            [Arc::new(item(&format!("route-{}", rng.u8(..200)), round, rng.usize(..2_000)))],
        ),
    }
}

/// Opens a store's disk with simulated syncs in a new folder.
fn open_simulated() -> (TempFolder, SimulatedFsync, Disk, DurableState) {
    let folder = TempFolder::new();
    let simulated = SimulatedFsync::of(&folder.0);
    let (store_disk, state) =
        Disk::open_with(&folder.0, INCARNATION, Box::new(simulated.clone())).expect("the disk opens");
    (folder, simulated, store_disk, state)
}

#[test]
fn power_loss_at_any_point_keeps_the_last_acknowledged_save() {
    let mut reopened_count = 0;
    for seed in 0..6_u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (_folder, simulated, mut store_disk, mut state) = open_simulated();
        let mut acknowledged = summary(&state);
        for round in 1..=40 {
            // Simulates a power loss before each sync of this save.
            let crash_images: Vec<TempFolder> = (0..4).map(|_| TempFolder::new()).collect();
            {
                let mut synced = simulated.0.borrow_mut();
                let next = synced.syncs + 1;
                synced.power_losses = crash_images
                    .iter()
                    .enumerate()
                    .map(|(i, to)| (next + i, (to.0.clone(), rng.u64(..))))
                    .collect();
            }
            apply_random_change(&mut state, &mut rng, round);
            store_disk.save(&state).expect("the save succeeds");
            let saved = summary(&state);
            for (number, image) in crash_images.iter().enumerate() {
                if file_names(&image.0).is_empty() {
                    continue;
                }
                reopened_count += 1;
                let (_, reopened) =
                    Disk::open_with(&image.0, INCARNATION + 1, Box::new(NoFsync)).expect("the disk opens");
                let loaded = summary(&reopened);
                assert!(
                    loaded == acknowledged || loaded == saved,
                    "seed {seed}, save {round}, before sync {number}:\nloaded {loaded:.300}\nacknowledged {acknowledged:.300}\nsaved {saved:.300}"
                );
            }
            acknowledged = saved;
        }
        store_disk.close();
    }
    assert!(reopened_count >= 240, "only {reopened_count} power losses were simulated");
}

#[test]
fn power_loss_while_opening_loses_nothing() {
    for seed in 0..24_u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (_folder, simulated, mut store_disk, mut state) = open_simulated();
        for round in 1..=10 {
            apply_random_change(&mut state, &mut rng, round);
            store_disk.save(&state).expect("the save succeeds");
        }
        let acknowledged = summary(&state);
        let first = TempFolder::new();
        simulated.0.borrow().write_crash_image(&first.0, rng.u64(..));
        store_disk.close();
        let opening = SimulatedFsync::of(&first.0);
        let crash_images: Vec<TempFolder> = (0..8).map(|_| TempFolder::new()).collect();
        opening.0.borrow_mut().power_losses =
            crash_images.iter().enumerate().map(|(i, to)| (i + 1, (to.0.clone(), rng.u64(..)))).collect();
        let (reopened, loaded) =
            Disk::open_with(&first.0, INCARNATION + 1, Box::new(opening)).expect("the disk opens");
        assert_eq!(summary(&loaded), acknowledged, "seed {seed}");
        reopened.close();
        for (number, image) in
            crash_images.iter().enumerate().filter(|(_, image)| !file_names(&image.0).is_empty())
        {
            let (_, loaded) =
                Disk::open_with(&image.0, INCARNATION + 2, Box::new(NoFsync)).expect("the disk opens");
            assert_eq!(summary(&loaded), acknowledged, "seed {seed}, before sync {number} of the opening");
        }
    }
}

#[test]
fn failed_sync_keeps_the_last_acknowledged_save() {
    for seed in 0..24_u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (folder, simulated, mut store_disk, mut state) = open_simulated();
        let fails_from = simulated.0.borrow().syncs + rng.usize(1..25);
        simulated.0.borrow_mut().fails_from = Some(fails_from);
        let mut acknowledged = summary(&state);
        let mut round = 0;
        let saved = loop {
            round += 1;
            apply_random_change(&mut state, &mut rng, round);
            if store_disk.save(&state).is_err() {
                break summary(&state);
            }
            acknowledged = summary(&state);
        };
        assert!(store_disk.save(&state).is_err(), "seed {seed}: a disk that has failed must not save");
        store_disk.close();
        let failing = Disk::open_with(&folder.0, INCARNATION, Box::new(simulated.clone()));
        assert!(failing.is_err(), "seed {seed}: opening a failing disk must fail");
        simulated.0.borrow_mut().fails_from = None;
        let (_, loaded) =
            Disk::open_with(&folder.0, INCARNATION + 1, Box::new(simulated.clone())).expect("the disk opens");
        let loaded = summary(&loaded);
        assert!(loaded == acknowledged || loaded == saved, "seed {seed}: {loaded:.300}");
    }
}

#[test]
fn each_save_costs_one_sync() {
    let (folder, simulated, mut store_disk, mut state) = open_simulated();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut folders = file_names(&folder.0);
    for round in 1..=200 {
        let syncs_before = simulated.0.borrow().syncs;
        apply_random_change(&mut state, &mut rng, round);
        store_disk.save(&state).expect("the save succeeds");
        // A batch above 4 MB is written to the next folder, which takes six syncs: its log, its other file, three
        // folders, and the marker file.
        let is_new_folder = file_names(&folder.0) != folders;
        let large =
            state.accepted.as_ref().is_some_and(|a| a.ballot == ballot(round) && a.items.len() == 7_000);
        assert_eq!(is_new_folder, large, "save {round}");
        assert_eq!(
            simulated.0.borrow().syncs - syncs_before,
            if is_new_folder { 6 } else { 1 },
            "save {round}"
        );
        folders = file_names(&folder.0);
    }
    assert_eq!(folders.len(), 1, "{folders:?}");
    let state_folder = folder.0.join(folders.first().expect("a state folder exists"));
    assert_eq!(file_names(&state_folder).into_iter().collect::<Vec<_>>(), ["blobs", "conf", "db", "whole"]);
    assert!(file_names(&state_folder.join("blobs")).is_empty(), "sled stored a value outside its log");
}

#[test]
fn opens_with_a_partially_written_sled_snapshot() {
    let folder = TempFolder::new();
    let (mut disk, mut state) = Disk::open(&folder.0, INCARNATION).expect("the disk opens");
    state.apply_chosen(ballot(1), [Arc::new(item("a", 1, 10))]);
    disk.save(&state).expect("the save succeeds");
    disk.close();
    for name in ["snap.0000000000000400", "snap.0000000000000400.generating"] {
        for name_of_folder in file_names(&folder.0) {
            fs::write(folder.0.join(name_of_folder).join(name), b"half").expect("the file can be written");
        }
    }
    let (_, loaded) = Disk::open(&folder.0, INCARNATION + 1).expect("the disk opens");
    assert_eq!(summary(&loaded), summary(&state));
}

#[test]
fn quarantines_an_unreadable_folder() {
    let folder = TempFolder::new();
    let (mut disk, mut state) = Disk::open(&folder.0, INCARNATION).expect("the disk opens");
    state.apply_chosen(ballot(1), [Arc::new(item("a", 1, 10))]);
    disk.save(&state).expect("the save succeeds");
    disk.close();
    let first = file_names(&folder.0).into_iter().next().expect("a state folder exists");
    let log = folder.0.join(first).join("db");
    fs::write(&log, vec![b'x'; 1 << 20]).expect("the file can be written");
    let (_disk, loaded) = Disk::open(&folder.0, INCARNATION + 1).expect("the disk opens");
    assert_eq!(summary(&loaded), summary(&DurableState::new(INCARNATION + 1)));
    assert!(file_names(&folder.0).contains("unread.1"), "{:?}", file_names(&folder.0));
}

#[test]
fn sends_a_lagging_replica_only_missing_items_after_a_restart() {
    let folder = TempFolder::new();
    let (mut disk, mut state) = Disk::open(&folder.0, INCARNATION).expect("the disk opens");
    for (round, name) in [(1, "a"), (2, "b"), (3, "a"), (4, "c")] {
        state.apply_chosen(ballot(round), [Arc::new(item(name, round, 10))]);
        disk.save(&state).expect("the save succeeds");
    }
    state.apply_chosen(ballot(5), []);
    disk.save(&state).expect("the save succeeds");
    disk.close();
    let (_, loaded) = Disk::open(&folder.0, INCARNATION + 1).expect("the disk opens");
    for (chosen, missing) in
        [(0, vec!["b", "a", "c"]), (2, vec!["a", "c"]), (3, vec!["c"]), (4, vec![]), (5, vec![])]
    {
        let names: Vec<_> = loaded.items_since(ballot(chosen)).iter().map(|i| i.key.name.clone()).collect();
        assert_eq!(names, missing, "after round {chosen}");
    }
}
