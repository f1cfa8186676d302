//! What the journal costs: orders with it off, `written` and `synced`; its syncs against the disk's own; recovery.

use crate::process::Process;
use crate::turns;
use ivygate_journal::{Attempt, AttemptOutcome, DurabilityLevel, Journal, Order, Retention, Store, Update};
use redb::backends::FileBackend;
use redb::StorageBackend;
use std::fs::{File, OpenOptions};
use std::future::Future;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Orders in flight.
const IN_FLIGHT: [usize; 3] = [1, 16, 256];
/// Far more than a measurement fills.
const RETENTION: Retention = Retention { max_age_ms: 1e12, max_file_bytes: 1 << 40 };

/// Measures and prints; the folder is where the journals lie, on the disk that is to be measured.
pub fn measure(turns: usize, seconds: f64, orders: u32, folder: &Path) -> io::Result<()> {
    let folder = folder.join(format!("ivygate-bench-journal-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let done = sidecar(turns, &folder)
        .and_then(|()| alone(seconds, &folder))
        .and_then(|()| recovery(orders, &folder));
    std::fs::remove_dir_all(&folder)?;
    done
}

fn sidecar(turns: usize, folder: &Path) -> io::Result<()> {
    let application = Process::own(&["application"])?;
    let start = |journal: String| {
        Process::sidecar(&format!(
            "limits {{ descriptors 4096; }}
listen 127.0.0.1:0 {{ connections 1500; }}
{journal}
class read {{ effect safe; aim 500ms; deadline 5s; }}
class order {{ effect unsafe; aim 500ms; deadline 5s; }}
pool app {{ requests 512; connections 512; server a {}; }}
route reads {{ path prefix /app; class read; pool app; }}
route orders {{ path exact /orders; methods POST; class order; pool app; }}
",
            application.address
        ))
    };
    let journal = |level: &str| {
        let folder = folder.join(level);
        start(format!("journal {{ folder {}; level {level}; disk 100GiB; }}", folder.display()))
    };
    let (off, written, synced) = (start(String::new())?, journal("written")?, journal("synced")?);
    let order = "POST /orders HTTP/1.1\r\nHost: bench\r\nContent-Length: 4\r\n\r\npaid";
    let read = "GET /app HTTP/1.1\r\nHost: bench\r\n\r\n";
    let kinds = [
        ("orders, off", &off, order),
        ("orders, written", &written, order),
        ("orders, synced", &synced, order),
        ("reads, off", &off, read),
        ("reads, synced", &synced, read),
    ];
    println!("Through the sidecar.");
    turns::measure(&kinds, &IN_FLIGHT, turns)
}

/// A file whose syncs are counted.
#[derive(Debug)]
struct Counted {
    file: FileBackend,
    syncs: Arc<AtomicU64>,
    bytes: Arc<AtomicU64>,
}

impl StorageBackend for Counted {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        self.file.read(offset, len)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.file.set_len(len)
    }

    fn sync_data(&self, eventual: bool) -> io::Result<()> {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        self.file.sync_data(eventual)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
        self.file.write(offset, data)
    }
}

/// How often a second the disk writes so many pages here and there in 64 MiB, and syncs them.
fn own_syncs(file: &File, pages: u64, seconds: f64) -> io::Result<f64> {
    let (mut syncs, start) = (0_u32, Instant::now());
    while start.elapsed().as_secs_f64() < seconds {
        for _ in 0..pages {
            file.write_all_at(&[syncs as u8; 4096], fastrand::u64(0..16384) * 4096)?;
        }
        file.sync_data()?;
        syncs += 1;
    }
    Ok(f64::from(syncs) / start.elapsed().as_secs_f64())
}

fn open_file(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)
}

fn attempt() -> Attempt {
    Attempt {
        number: 0,
        server: ([127, 0, 0, 1], 9301).into(),
        sent_at: 1.8e12,
        outcome: AttemptOutcome::Unknown,
    }
}

fn order(number: u64) -> (String, Update) {
    let order = Order {
        client_id: Some(format!("order-{number}")),
        customer: "lodge-17".into(),
        route: "orders".into(),
        target: "/orders".into(),
        accepted_at: 1.8e12 + number as f64,
        attempts: vec![attempt()],
        ..Order::default()
    };
    (format!("{number:016x}-{:016x}", 7), Update::Accepted(order))
}

/// The journal's thread with so many orders that wait for it at once.
fn alone(seconds: f64, folder: &Path) -> io::Result<()> {
    let path = folder.join("syncs");
    let file = open_file(&path)?;
    let own = own_syncs(&file, 1, seconds)?;
    println!(
        "\nThe journal alone, `synced`. The disk by itself does {own:.0} syncs of one written page a second."
    );
    println!(
        "{:>9} {:>9} {:>12} {:>12} {:>9} {:>12} {:>12}",
        "in flight", "orders/s", "syncs/order", "orders/sync", "KiB/sync", "of the disk", "with as much"
    );
    for in_flight in IN_FLIGHT {
        let (counter, bytes) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
        let file = FileBackend::new(open_file(&path)?).map_err(io::Error::other)?;
        let backend = Counted { file, syncs: counter.clone(), bytes: bytes.clone() };
        let store = Store::with_backend(path.clone(), backend, RETENTION).map_err(io::Error::other)?;
        let journal = Journal::start(Arc::new(store))?;
        let before = [&counter, &bytes].map(|count| count.load(Ordering::Relaxed));
        let (start, next) = (Instant::now(), std::cell::Cell::new(0));
        let end = start + Duration::from_secs_f64(seconds);
        let runtime = tokio::runtime::Builder::new_current_thread().build()?;
        let client = || async {
            while Instant::now() < end {
                let (id, update) = order(next.replace(next.get() + 1));
                if journal.record(&id, update).await.is_err() {
                    return false;
                }
                // What came of it is noted without waiting, as in the sidecar.
                let _ = journal.enqueue(&id, Update::AttemptEnded(0, AttemptOutcome::Answer(200)));
            }
            true
        };
        let mut clients: Vec<_> = (0..in_flight).map(|_| Box::pin(client())).collect();
        let mut whole = true;
        runtime.block_on(std::future::poll_fn(|cx| {
            clients.retain_mut(|one| match one.as_mut().poll(cx) {
                Poll::Ready(recorded) => {
                    whole &= recorded;
                    false
                }
                Poll::Pending => true,
            });
            if clients.is_empty() {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        }));
        if !whole {
            return Err(io::Error::other("an order was not recorded"));
        }
        let (count, took) = (next.get() as f64, start.elapsed().as_secs_f64());
        let [syncs, bytes] =
            [0, 1].map(|n| ([&counter, &bytes][n].load(Ordering::Relaxed) - before[n]) as f64);
        let pages = (bytes / syncs / 4096.0).round().max(1.0);
        let as_much = own_syncs(&open_file(&folder.join("as-much"))?, pages as u64, seconds)?;
        println!(
            "{in_flight:>9} {:>9.0} {:>12.3} {:>12.1} {:>9.0} {:>12.2} {:>12.2}",
            count / took,
            syncs / count,
            count / syncs,
            bytes / syncs / 1024.0,
            syncs / took / own,
            syncs / took / as_much
        );
    }
    Ok(())
}

/// Opening a journal of so many orders, one in a thousand unknown: closed in order, and after a crash.
fn recovery(orders: u32, folder: &Path) -> io::Result<()> {
    let (made, crashed) = (folder.join("made"), folder.join("crashed"));
    let store = Store::create(&made, DurabilityLevel::Written, RETENTION).map_err(io::Error::other)?;
    let numbers: Vec<u64> = (0..u64::from(orders)).collect();
    let start = Instant::now();
    for part in numbers.chunks(1024) {
        let mut updates: Vec<_> = part.iter().map(|number| order(*number)).collect();
        let answered = part.iter().filter(|number| *number % 1000 != 0);
        updates.extend(
            answered.map(|number| (order(*number).0, Update::AttemptEnded(0, AttemptOutcome::Answer(200)))),
        );
        store.record(&updates).map_err(io::Error::other)?;
    }
    let took = start.elapsed().as_secs_f64();
    std::fs::create_dir_all(&crashed)?;
    // As it lies on the disk when the process dies.
    std::fs::copy(made.join("orders.redb"), crashed.join("orders.redb"))?;
    let size = std::fs::metadata(crashed.join("orders.redb"))?.len() >> 20;
    drop(store);
    println!("\nRecovery of {orders} orders, recorded in {took:.1} s, {size} MiB.");
    println!("{:>18} {:>9} {:>11} {:>8}", "", "open ms", "unknown ms", "MiB");
    for (name, folder) in [("closed in order", &made), ("after a crash", &crashed)] {
        let output =
            std::process::Command::new(std::env::current_exe()?).arg("open-journal").arg(folder).output()?;
        if !output.status.success() {
            return Err(io::Error::other(String::from_utf8_lossy(&output.stderr).into_owned()));
        }
        println!("{name:>18} {}", String::from_utf8_lossy(&output.stdout).trim_end());
    }
    Ok(())
}

/// Opens a journal in a process of its own and says how long that took, how long the unknown orders, and most memory.
pub fn open(folder: &Path) -> io::Result<()> {
    let start = Instant::now();
    let store = Store::open(folder).map_err(io::Error::other)?;
    let opened = start.elapsed();
    let mut unknown = 0_u32;
    store
        .for_each(|(_, order)| unknown += u32::from(order.state() == ivygate_journal::State::Unknown))
        .map_err(io::Error::other)?;
    let all = start.elapsed() - opened;
    let status = std::fs::read_to_string("/proc/self/status")?;
    let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("");
    let most = most.trim().trim_end_matches(" kB").parse::<f64>().unwrap_or(0.0) / 1024.0;
    println!("{:>9.0} {:>11.0} {most:>8.0}   ({unknown} unknown)", ms(opened), ms(all));
    Ok(())
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}
