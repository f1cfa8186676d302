//! A store's disk, and what a loss of power leaves of it. A simulated disk holds of each file what its last sync
//! covered, and of each folder the names at its last sync; each later write is there, absent or torn, each later name
//! there or not.

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

/// A folder that goes when the test ends.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("ivygate-disk-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder for tests can be written");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Makes nothing safe: for what no loss of power follows.
struct Nothing;

impl Fsync for Nothing {
    fn file(&mut self, _: &Path) -> io::Result<()> {
        Ok(())
    }
    fn folder(&mut self, _: &Path) -> io::Result<()> {
        Ok(())
    }
}

/// What a folder surely holds after a loss of power.
#[derive(Default)]
struct Shadow {
    root: PathBuf,
    files: BTreeMap<PathBuf, Vec<u8>>,
    names: BTreeMap<PathBuf, BTreeSet<String>>,
    syncs: usize,
    /// Fails from this sync on.
    fails_from: Option<usize>,
    /// Losses of power to be played just before this sync: where each is left.
    cuts: BTreeMap<usize, (PathBuf, u64)>,
}

fn listed(folder: &Path) -> BTreeSet<String> {
    let Ok(entries) = fs::read_dir(folder) else { return BTreeSet::new() };
    entries.map(|e| e.expect("it can be read").file_name().to_string_lossy().into_owned()).collect()
}

impl Shadow {
    /// Of a folder that is as it is, safely.
    fn of(root: &Path) -> Self {
        fn take(shadow: &mut Shadow, folder: &Path) {
            let names = listed(folder);
            for name in &names {
                let path = folder.join(name);
                if path.is_dir() {
                    take(shadow, &path);
                } else {
                    shadow.files.insert(path.clone(), fs::read(path).expect("it can be read"));
                }
            }
            shadow.names.insert(folder.to_owned(), names);
        }
        let mut shadow = Self { root: root.to_owned(), ..Self::default() };
        take(&mut shadow, root);
        shadow
    }

    /// Leaves in a folder what a loss of power now may leave.
    fn cut(&self, into: &Path, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        // All that is later kept, all lost, or anything between.
        let kept = [0.0, 1.0, 0.5, 0.9, 0.1][rng.usize(..5)];
        let names_kept = [0.0, 1.0, 0.5][rng.usize(..3)];
        self.cut_folder(&self.root, into, &mut rng, kept, names_kept);
    }

    fn cut_folder(&self, from: &Path, into: &Path, rng: &mut fastrand::Rng, kept: f64, names_kept: f64) {
        fs::create_dir_all(into).expect("it can be written");
        let safe = self.names.get(from).cloned().unwrap_or_default();
        let now = listed(from);
        for name in safe.union(&now) {
            let path = from.join(name);
            let change_kept = rng.f64() < names_kept;
            let there = if change_kept { now.contains(name) } else { safe.contains(name) };
            if !there {
                continue;
            }
            let was_folder = self.names.contains_key(&path);
            if path.is_dir() || (!path.exists() && was_folder) {
                self.cut_folder(&path, &into.join(name), rng, kept, names_kept);
            } else {
                let base = self.files.get(&path).cloned().unwrap_or_default();
                let bytes = match fs::read(&path) {
                    Ok(later) => mixed(&base, &later, rng, kept),
                    Err(_) => base,
                };
                fs::write(into.join(name), bytes).expect("it can be written");
            }
        }
    }
}

/// A file of which each later write is there, absent or torn.
fn mixed(base: &[u8], later: &[u8], rng: &mut fastrand::Rng, kept: f64) -> Vec<u8> {
    const BLOCK: usize = 512;
    let length = if rng.f64() < kept { later.len() } else { base.len() };
    // What neither wrote reads as zeros.
    let mut out = base.to_vec();
    out.resize(length, 0);
    for start in (0..length).step_by(BLOCK) {
        let end = length.min(start + BLOCK);
        let torn = kept > 0.0 && kept < 1.0 && rng.u8(..8) == 0;
        let tear = if torn { rng.usize(start..end) } else { end };
        // Of a torn write the first or the last part is there.
        let (from, to) = if rng.f64() < kept { (start, tear) } else { (tear, end) };
        let to_there = to.min(later.len());
        if from < to_there {
            out[from..to_there].copy_from_slice(&later[from..to_there]);
        }
    }
    out
}

#[derive(Clone)]
struct Simulated(Rc<RefCell<Shadow>>);

impl Simulated {
    fn of(root: &Path) -> Self {
        Self(Rc::new(RefCell::new(Shadow::of(root))))
    }

    fn before(&self) -> io::Result<()> {
        let mut shadow = self.0.borrow_mut();
        shadow.syncs += 1;
        let number = shadow.syncs;
        if let Some((into, seed)) = shadow.cuts.get(&number).cloned() {
            shadow.cut(&into, seed);
        }
        if shadow.fails_from.is_some_and(|from| number >= from) {
            return Err(io::Error::other("the disk fails"));
        }
        Ok(())
    }
}

impl Fsync for Simulated {
    fn file(&mut self, path: &Path) -> io::Result<()> {
        self.before()?;
        let bytes = fs::read(path)?;
        self.0.borrow_mut().files.insert(path.to_owned(), bytes);
        Ok(())
    }

    fn folder(&mut self, path: &Path) -> io::Result<()> {
        self.before()?;
        self.0.borrow_mut().names.insert(path.to_owned(), listed(path));
        Ok(())
    }
}

const LIFE: u64 = 7;

fn ballot(counter: u64) -> Ballot {
    Ballot { counter, proposer: Ipv4Addr::new(10, 1, 0, 5), incarnation: LIFE }
}

fn item(name: &str, version: u64, bytes: usize) -> Item {
    let body = json!({ "gen": format!("r{version}"), "text": "x".repeat(bytes) });
    Item::new(Table::Routes, name, version, Some(body))
}

/// What must be the same of what was saved and what is read.
fn told(kept: &DurableState) -> String {
    let names = |item: &Arc<Item>| format!("{}:{}", item.key.name, item.version);
    let items: Vec<_> = kept.items.all(Tables::DURABLE).map(names).collect();
    let accepted: Option<(Ballot, Vec<_>)> =
        kept.accepted.as_ref().map(|a| (a.ballot, a.items.iter().map(names).collect()));
    let digest = kept.items.digest(Tables::DURABLE);
    let DurableState { incarnation, promised, chosen, .. } = kept;
    format!("{incarnation} {} {} {digest:x} {accepted:?} {items:?}", promised.counter, chosen.counter)
}

/// What a store may come to keep: promises, items accepted, items chosen.
fn step(kept: &mut DurableState, rng: &mut fastrand::Rng, round: u64) {
    kept.promised = ballot(round);
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
            kept.accepted = Some(AcceptedProposal { ballot: ballot(round), items });
        }
        2 => {
            if let Some(accepted) = kept.accepted.take() {
                kept.apply_chosen(accepted.ballot, accepted.items);
            }
        }
        _ => kept.apply_chosen(
            ballot(round),
            [Arc::new(item(&format!("route-{}", rng.u8(..200)), round, rng.usize(..2_000)))],
        ),
    }
}

/// A new folder, the simulated disk below it, and the store's disk opened there.
fn opened() -> (Folder, Simulated, Disk, DurableState) {
    let folder = Folder::new();
    let disk = Simulated::of(&folder.0);
    let (real, kept) = Disk::open_with(&folder.0, LIFE, Box::new(disk.clone())).expect("it opens");
    (folder, disk, real, kept)
}

#[test]
fn power_loss_at_any_point_keeps_the_last_acknowledged_save() {
    let mut opened_again = 0;
    for seed in 0..6_u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (_folder, disk, mut real, mut kept) = opened();
        let mut answered = told(&kept);
        for round in 1..=40 {
            // Before each sync of this save a power loss may have been.
            let lost: Vec<Folder> = (0..4).map(|_| Folder::new()).collect();
            {
                let mut shadow = disk.0.borrow_mut();
                let next = shadow.syncs + 1;
                shadow.cuts =
                    lost.iter().enumerate().map(|(i, to)| (next + i, (to.0.clone(), rng.u64(..)))).collect();
            }
            step(&mut kept, &mut rng, round);
            real.save(&kept).expect("it saves");
            let saved = told(&kept);
            for (number, left) in lost.iter().enumerate() {
                if listed(&left.0).is_empty() {
                    continue;
                }
                opened_again += 1;
                let (_, again) = Disk::open_with(&left.0, LIFE + 1, Box::new(Nothing)).expect("it opens");
                let found = told(&again);
                assert!(
                    found == answered || found == saved,
                    "seed {seed}, save {round}, before sync {number}:\nfound    {found:.300}\nanswered {answered:.300}\nsaved    {saved:.300}"
                );
            }
            answered = saved;
        }
        real.close();
    }
    assert!(opened_again >= 240, "only {opened_again} losses were played");
}

#[test]
fn power_loss_while_opening_loses_nothing() {
    for seed in 0..24_u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (_folder, disk, mut real, mut kept) = opened();
        for round in 1..=10 {
            step(&mut kept, &mut rng, round);
            real.save(&kept).expect("it saves");
        }
        let answered = told(&kept);
        let first = Folder::new();
        disk.0.borrow().cut(&first.0, rng.u64(..));
        real.close();
        let opening = Simulated::of(&first.0);
        let lost: Vec<Folder> = (0..8).map(|_| Folder::new()).collect();
        opening.0.borrow_mut().cuts =
            lost.iter().enumerate().map(|(i, to)| (i + 1, (to.0.clone(), rng.u64(..)))).collect();
        let (again, found) = Disk::open_with(&first.0, LIFE + 1, Box::new(opening)).expect("it opens");
        assert_eq!(told(&found), answered, "seed {seed}");
        again.close();
        for (number, left) in lost.iter().enumerate().filter(|(_, left)| !listed(&left.0).is_empty()) {
            let (_, found) = Disk::open_with(&left.0, LIFE + 2, Box::new(Nothing)).expect("it opens");
            assert_eq!(told(&found), answered, "seed {seed}, before sync {number} of the opening");
        }
    }
}

#[test]
fn failed_sync_keeps_the_last_acknowledged_save() {
    for seed in 0..24_u64 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (folder, disk, mut real, mut kept) = opened();
        let fails_from = disk.0.borrow().syncs + rng.usize(1..25);
        disk.0.borrow_mut().fails_from = Some(fails_from);
        let mut answered = told(&kept);
        let mut round = 0;
        let saved = loop {
            round += 1;
            step(&mut kept, &mut rng, round);
            if real.save(&kept).is_err() {
                break told(&kept);
            }
            answered = told(&kept);
        };
        assert!(real.save(&kept).is_err(), "seed {seed}: nothing is saved on a disk that has failed");
        real.close();
        let failing = Disk::open_with(&folder.0, LIFE, Box::new(disk.clone()));
        assert!(failing.is_err(), "seed {seed}: a disk that fails is not open");
        disk.0.borrow_mut().fails_from = None;
        let (_, found) = Disk::open_with(&folder.0, LIFE + 1, Box::new(disk.clone())).expect("it opens");
        let found = told(&found);
        assert!(found == answered || found == saved, "seed {seed}: {found:.300}");
    }
}

#[test]
fn each_save_costs_one_sync() {
    let (folder, disk, mut real, mut kept) = opened();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut folders = listed(&folder.0);
    for round in 1..=200 {
        let before = disk.0.borrow().syncs;
        step(&mut kept, &mut rng, round);
        real.save(&kept).expect("it saves");
        // Over 4 MB make the next folder: its log, its one file, three times a folder, and the mark that it counts.
        let anew = listed(&folder.0) != folders;
        let large =
            kept.accepted.as_ref().is_some_and(|a| a.ballot == ballot(round) && a.items.len() == 7_000);
        assert_eq!(anew, large, "save {round}");
        assert_eq!(disk.0.borrow().syncs - before, if anew { 6 } else { 1 }, "save {round}");
        folders = listed(&folder.0);
    }
    assert_eq!(folders.len(), 1, "{folders:?}");
    let place = folder.0.join(folders.first().expect("there is one"));
    assert_eq!(listed(&place).into_iter().collect::<Vec<_>>(), ["blobs", "conf", "db", "whole"]);
    assert!(listed(&place.join("blobs")).is_empty(), "sled has put a value beside its log");
}

#[test]
fn opens_with_a_half_written_sled_snapshot() {
    let folder = Folder::new();
    let (mut disk, mut kept) = Disk::open(&folder.0, LIFE).expect("it opens");
    kept.apply_chosen(ballot(1), [Arc::new(item("a", 1, 10))]);
    disk.save(&kept).expect("it saves");
    disk.close();
    for name in ["snap.0000000000000400", "snap.0000000000000400.generating"] {
        for place in listed(&folder.0) {
            fs::write(folder.0.join(place).join(name), b"half").expect("it can be written");
        }
    }
    let (_, found) = Disk::open(&folder.0, LIFE + 1).expect("it opens");
    assert_eq!(told(&found), told(&kept));
}

#[test]
fn puts_an_unreadable_folder_aside() {
    let folder = Folder::new();
    let (mut disk, mut kept) = Disk::open(&folder.0, LIFE).expect("it opens");
    kept.apply_chosen(ballot(1), [Arc::new(item("a", 1, 10))]);
    disk.save(&kept).expect("it saves");
    disk.close();
    let first = listed(&folder.0).into_iter().next().expect("there is a folder");
    let log = folder.0.join(first).join("db");
    fs::write(&log, vec![b'x'; 1 << 20]).expect("it can be written");
    let (_disk, found) = Disk::open(&folder.0, LIFE + 1).expect("it opens");
    assert_eq!(told(&found), told(&DurableState::new(LIFE + 1)));
    assert!(listed(&folder.0).contains("unread.1"), "{:?}", listed(&folder.0));
}

#[test]
fn tells_a_lagging_replica_what_it_lacks_after_a_restart() {
    let folder = Folder::new();
    let (mut disk, mut kept) = Disk::open(&folder.0, LIFE).expect("it opens");
    for (round, name) in [(1, "a"), (2, "b"), (3, "a"), (4, "c")] {
        kept.apply_chosen(ballot(round), [Arc::new(item(name, round, 10))]);
        disk.save(&kept).expect("it saves");
    }
    kept.apply_chosen(ballot(5), []);
    disk.save(&kept).expect("it saves");
    disk.close();
    let (_, found) = Disk::open(&folder.0, LIFE + 1).expect("it opens");
    for (chosen, lacks) in
        [(0, vec!["b", "a", "c"]), (2, vec!["a", "c"]), (3, vec!["c"]), (4, vec![]), (5, vec![])]
    {
        let told: Vec<_> = found.items_since(ballot(chosen)).iter().map(|i| i.key.name.clone()).collect();
        assert_eq!(told, lacks, "after round {chosen}");
    }
}
